//! Minimal HTTP/1 server for the readiness and metrics pages.

use std::convert::Infallible;
use std::future::Future;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{
    Method,
    Request,
    Response,
    StatusCode, //
};
use hyper_util::rt::TokioIo;
use lovagespindle_instances::accept::Listener;
use tokio::net::{
    TcpListener,
    TcpStream, //
};

/// Status and body of a page.
pub type Page = (StatusCode, String);

/// Serves GET requests for one path with the page that `page` returns at that time, and status 404
/// for all other requests.
///
/// Accepts connections until it is dropped. Accepted connections are tasks of their own and
/// continue after that.
pub async fn serve<F>(
    listener: TcpListener,
    path: &'static str,
    page: impl Fn() -> F + Clone + Send + Sync + 'static,
) where
    F: Future<Output = Page> + Send + 'static,
{
    let mut listener = Listener::new(listener, path);
    loop {
        let stream = listener.accept().await;
        tokio::spawn(serve_connection(stream, path, page.clone()));
    }
}

/// Serves the requests of one connection.
async fn serve_connection<F>(stream: TcpStream, path: &'static str, page: impl Fn() -> F + Clone)
where
    F: Future<Output = Page>,
{
    let service = service_fn(move |request: Request<Incoming>| {
        let found = request.method() == Method::GET && request.uri().path() == path;
        let page = page.clone();
        async move {
            let (status, text) = match found {
                true => page().await,
                false => (StatusCode::NOT_FOUND, String::new()),
            };
            let mut response = Response::new(text);
            *response.status_mut() = status;
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    if let Err(error) = connection.await {
        log::debug!(
            "event=http_broken path={path} reason={:?}",
            error.to_string()
        );
    }
}
