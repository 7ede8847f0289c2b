//! Answers HTTP requests for single pages.

use std::convert::Infallible;
use std::future::Future;
use std::time::Duration;

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
use tokio::net::{
    TcpListener,
    TcpStream, //
};

/// The pause after a connection could not be accepted, for instance for want of descriptors.
const PAUSE: Duration = Duration::from_millis(10);

/// A status and the text of a page.
pub type Page = (StatusCode, String);

/// Answers GET requests for one path with the page of that moment. Runs until it is dropped.
pub async fn serve<F>(
    listener: TcpListener,
    path: &'static str,
    page: impl Fn() -> F + Clone + Send + Sync + 'static,
) where
    F: Future<Output = Page> + Send + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(answer(stream, path, page.clone()));
            }
            Err(_) => tokio::time::sleep(PAUSE).await,
        }
    }
}

/// Answers the requests of one connection.
async fn answer<F>(stream: TcpStream, path: &'static str, page: impl Fn() -> F + Clone)
where
    F: Future<Output = Page>,
{
    let service = service_fn(move |request: Request<Incoming>| {
        let known = request.method() == Method::GET && request.uri().path() == path;
        let page = page.clone();
        async move {
            let (status, text) = match known {
                true => page().await,
                false => (StatusCode::NOT_FOUND, String::new()),
            };
            let mut response = Response::new(text);
            *response.status_mut() = status;
            Ok::<_, Infallible>(response)
        }
    });
    let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    if let Err(error) = served.await {
        log::debug!(
            "event=http_broken path={path} reason={:?}",
            error.to_string()
        );
    }
}
