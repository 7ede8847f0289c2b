//! Connections on which instances request updates from each other. On each connection, the next
//! request is sent after the reply to the previous one.

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
use tokio::time::{
    Instant,
    timeout, //
};
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

/// Time without a request after which an accepted connection is closed, and the time limit for
/// writing a reply. Instances that get their updates from this one send a request at least about
/// once a second.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum number of accepted connections. Every instance of a zone may get its updates from this
/// one.
const MAX_CONNECTIONS: usize = 512;

/// The reason why a request or a connection failed.
#[derive(Debug, thiserror::Error)]
pub enum SyncError {
    /// The connection could not be opened, or it broke.
    #[error("connection failed: {0}")]
    Io(#[from] io::Error),
    /// The other instance closed the connection, or a request to this instance was dropped without
    /// a reply.
    #[error("connection closed")]
    Closed,
    /// A request or a reply is invalid.
    #[error("invalid frame: {0}")]
    Frame(#[from] FrameError),
    /// The time limit for connecting, a request or a reply expired.
    #[error("timed out")]
    Timeout(#[from] tokio::time::error::Elapsed),
}

type Frames = Framed<TcpStream, LengthDelimitedCodec>;

fn frames(stream: TcpStream) -> Frames {
    let mut codec = LengthDelimitedCodec::new();
    codec.set_max_frame_length(MAX_FRAME);
    Framed::new(stream, codec)
}

/// A connection on which this instance sends requests to another instance.
pub struct SyncClient {
    frames: Frames,
    timeout: Duration,
}

impl SyncClient {
    /// Connects to an instance. `limit` is the time limit for connecting, and for each reply in
    /// addition to [`Request::max_wait`].
    ///
    /// Returns an error if the connection fails or times out.
    pub async fn connect(address: SocketAddrV4, limit: Duration) -> Result<SyncClient, SyncError> {
        let stream = timeout(limit, TcpStream::connect(address)).await??;
        stream.set_nodelay(true)?;
        Ok(SyncClient {
            frames: frames(stream),
            timeout: limit,
        })
    }

    /// Sends a request and waits for its reply. All of the time that the request did not wait at the
    /// other instance is added to the age of the update: how much of it the reply took is unknown,
    /// and ages must not be too low.
    ///
    /// Returns an error if the connection breaks or is closed, the reply is invalid, or the time
    /// limit expires. Do not use the client after an error: a late reply would be taken for the
    /// reply to the next request.
    pub async fn call(&mut self, request: &Request) -> Result<Reply, SyncError> {
        let sent_at = Instant::now();
        let limit = request.max_wait + self.timeout;
        let mut reply = timeout(limit, self.exchange(request)).await??;
        if let Some(update) = &mut reply.update {
            update.age += sent_at.elapsed().saturating_sub(reply.waited);
        }
        Ok(reply)
    }

    async fn exchange(&mut self, request: &Request) -> Result<Reply, SyncError> {
        self.frames.send(encode_request(request)).await?;
        let frame = self.frames.next().await.ok_or(SyncError::Closed)??;
        Ok(decode_reply(frame.freeze())?)
    }
}

/// A request of another instance and the sender for its reply.
pub struct IncomingRequest {
    pub request: Request,
    /// Dropping this without a reply closes the connection.
    pub reply: oneshot::Sender<Reply>,
}

/// Accepts connections and sends their requests to `requests`. After the receiver of the requests
/// was dropped, returns when the next connection is accepted.
pub async fn serve(listener: TcpListener, requests: mpsc::Sender<IncomingRequest>) {
    let permits = std::sync::Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let mut listener = Listener::new(listener, "news");
    let mut full = false;
    while !requests.is_closed() {
        let stream = listener.accept().await;
        let permit = permits.clone().try_acquire_owned().ok();
        record_full(&mut full, permit.is_none());
        // Closes the connection by dropping the stream. The other instance then gets its updates
        // from a different instance or from the store.
        let Some(permit) = permit else { continue };
        let requests = requests.clone();
        tokio::spawn(async move {
            if let Err(error) = serve_connection(stream, requests).await {
                log::debug!("event=news_link_closed reason={:?}", error.to_string());
            }
            drop(permit);
        });
    }
}

/// Records whether connections are refused because too many are open, and logs when that changes.
fn record_full(full: &mut bool, is_full: bool) {
    if *full != is_full {
        log::warn!("event=news_links_full full={is_full} limit={MAX_CONNECTIONS}");
        *full = is_full;
    }
}

/// Sends the requests of a connection to `requests` one by one and writes their replies.
///
/// Returns an error when the connection ends or times out, a request is invalid, or the receiver of
/// the requests drops one without a reply.
async fn serve_connection(
    stream: TcpStream,
    requests: mpsc::Sender<IncomingRequest>,
) -> Result<(), SyncError> {
    stream.set_nodelay(true)?;
    let mut frames = frames(stream);
    loop {
        let frame = timeout(IDLE_TIMEOUT, frames.next()).await?;
        let frame = frame.ok_or(SyncError::Closed)??;
        let (reply, receiver) = oneshot::channel();
        let incoming = IncomingRequest {
            request: decode_request(frame.freeze())?,
            reply,
        };
        requests
            .send(incoming)
            .await
            .map_err(|_| SyncError::Closed)?;
        let reply = receiver.await.map_err(|_| SyncError::Closed)?;
        timeout(IDLE_TIMEOUT, frames.send(encode_reply(reply))).await??;
    }
}
