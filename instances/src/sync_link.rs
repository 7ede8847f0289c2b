//! Connections on which instances ask each other for news: one request and one reply at a time.

use std::io;
use std::net::SocketAddrV4;
use std::time::Duration;

use futures::{
    SinkExt,
    StreamExt, //
};
use tokio::net::{
    TcpListener,
    TcpStream, //
};
use tokio::sync::{
    Semaphore,
    mpsc,
    oneshot, //
};
use tokio::time::timeout;
use tokio_util::codec::{
    Framed,
    LengthDelimitedCodec, //
};

use crate::accept::Listener;
use crate::error::FrameError;
use crate::sync::{
    MAX_FRAME,
    Reply,
    Request,
    decode_reply,
    decode_request,
    encode_reply,
    encode_request, //
};

/// How long an accepted connection may be silent. Instances that follow ask again every second.
const IDLE: Duration = Duration::from_secs(10);

/// The most connections that are answered at once. Each instance of a zone may follow this one.
const MAX_LINKS: usize = 512;

/// Why no news came.
#[derive(Debug, thiserror::Error)]
pub enum SyncError {
    /// The connection could not be opened or broke.
    #[error("the connection failed: {0}")]
    Io(#[from] io::Error),
    /// The other instance closed the connection.
    #[error("the connection was closed")]
    Closed,
    /// The answer cannot be read.
    #[error("the reply cannot be read: {0}")]
    Frame(#[from] FrameError),
    /// No answer came in time.
    #[error("no reply came in time")]
    Timeout(#[from] tokio::time::error::Elapsed),
}

type Frames = Framed<TcpStream, LengthDelimitedCodec>;

fn frames(stream: TcpStream) -> Frames {
    let mut codec = LengthDelimitedCodec::new();
    codec.set_max_frame_length(MAX_FRAME);
    Framed::new(stream, codec)
}

/// A connection to another instance.
pub struct SyncClient {
    frames: Frames,
    timeout: Duration,
}

impl SyncClient {
    /// Connects to an instance. `limit` is how long that may take, and how long a reply may take
    /// beyond the wait that the request allows.
    pub async fn connect(address: SocketAddrV4, limit: Duration) -> Result<SyncClient, SyncError> {
        let stream = timeout(limit, TcpStream::connect(address)).await??;
        stream.set_nodelay(true)?;
        Ok(SyncClient {
            frames: frames(stream),
            timeout: limit,
        })
    }

    /// Asks for news.
    pub async fn call(&mut self, request: &Request) -> Result<Reply, SyncError> {
        timeout(request.max_wait + self.timeout, self.exchange(request)).await?
    }

    async fn exchange(&mut self, request: &Request) -> Result<Reply, SyncError> {
        self.frames.send(encode_request(request)).await?;
        let frame = self.frames.next().await.ok_or(SyncError::Closed)??;
        Ok(decode_reply(frame.freeze())?)
    }
}

/// A request that waits for its reply.
pub struct IncomingRequest {
    /// The request.
    pub request: Request,
    /// Takes the reply.
    pub reply: oneshot::Sender<Reply>,
}

/// Accepts connections and passes their requests on, until the receiver of the requests is gone.
pub async fn serve(listener: TcpListener, requests: mpsc::Sender<IncomingRequest>) {
    let links = std::sync::Arc::new(Semaphore::new(MAX_LINKS));
    let mut listener = Listener::new(listener, "news");
    let mut full = false;
    while !requests.is_closed() {
        let stream = listener.accept().await;
        let link = links.clone().try_acquire_owned().ok();
        note_full(&mut full, link.is_none());
        // Instances that are turned away try another one.
        let Some(link) = link else { continue };
        let requests = requests.clone();
        tokio::spawn(async move {
            if let Err(error) = answer(stream, requests).await {
                log::debug!("event=news_link_closed reason={:?}", error.to_string());
            }
            drop(link);
        });
    }
}

/// Logs when connections begin to be turned away, and when that ends.
fn note_full(full: &mut bool, now: bool) {
    if *full != now {
        log::warn!("event=news_links_full full={now} limit={MAX_LINKS}");
        *full = now;
    }
}

async fn answer(
    stream: TcpStream,
    requests: mpsc::Sender<IncomingRequest>,
) -> Result<(), SyncError> {
    stream.set_nodelay(true)?;
    let mut frames = frames(stream);
    loop {
        let frame = timeout(IDLE, frames.next()).await?;
        let frame = frame.ok_or(SyncError::Closed)??;
        let (reply, answered) = oneshot::channel();
        let incoming = IncomingRequest {
            request: decode_request(frame.freeze())?,
            reply,
        };
        requests
            .send(incoming)
            .await
            .map_err(|_| SyncError::Closed)?;
        let reply = answered.await.map_err(|_| SyncError::Closed)?;
        timeout(IDLE, frames.send(encode_reply(reply))).await??;
    }
}
