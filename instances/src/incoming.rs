//! The task that reads one link that another instance opened. A link carries messages in one
//! direction only.

use std::io;

use bytes::BytesMut;
use futures::StreamExt;
use kameo::actor::{
    Recipient,
    WeakActorRef, //
};
use lovagespindle_decisions::event::Event;
use lovagespindle_decisions::ids::InstanceId;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::FramedRead;

use crate::counter::{
    LinkCounter,
    LinkCounts, //
};
use crate::error::FrameError;
use crate::frame::{
    Content,
    VERSION,
    decode, //
};
use crate::links::{
    CountsReport,
    LinkSettings,
    PeerLinks,
    codec, //
};

/// The accepting side of a link, which only reads.
pub(crate) struct IncomingLink {
    pub(crate) me: InstanceId,
    pub(crate) settings: LinkSettings,
    /// Counts that were not reported to the actor yet.
    pub(crate) counts: LinkCounts,
    pub(crate) links: WeakActorRef<PeerLinks>,
    pub(crate) events: Recipient<Vec<Event>>,
    /// The sender of the hello, once that has arrived.
    pub(crate) peer: Option<InstanceId>,
}

/// The reason why a link failed.
#[derive(Debug, thiserror::Error)]
enum LinkError {
    #[error("timed out waiting for a frame")]
    TimedOut,
    #[error("{0}")]
    Frame(#[from] FrameError),
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("receiver of the messages has stopped")]
    Stopped,
}

impl IncomingLink {
    /// Reads frames and passes their messages on in order until the link ends.
    pub(crate) async fn run(mut self, stream: TcpStream) {
        self.counts.add(LinkCounter::Accepted);
        let peer = stream.peer_addr();
        if let Err(error) = self.read(stream).await {
            if matches!(error, LinkError::Frame(_)) {
                self.counts.add(LinkCounter::MalformedIn);
            }
            log::debug!("link from {peer:?} failed: {error}");
        }
        CountsReport::send(&self.links, &mut self.counts);
    }

    /// Reads until the peer closes the link.
    ///
    /// Returns an error if the link times out or breaks, a frame is invalid, or the receiver of the
    /// messages has stopped.
    async fn read(&mut self, stream: TcpStream) -> Result<(), LinkError> {
        let frames = FramedRead::new(stream, codec());
        let mut chunks = frames.ready_chunks(self.settings.batch.max(1));
        loop {
            let wait = match self.peer {
                Some(_) => self.settings.idle * 2,
                None => self.settings.connect_timeout,
            };
            let next = timeout(wait, chunks.next()).await;
            let Some(chunk) = next.map_err(|_| LinkError::TimedOut)? else {
                return Ok(());
            };
            let mut events = Vec::with_capacity(chunk.len());
            let result = self.decode_all(chunk, &mut events);
            CountsReport::send(&self.links, &mut self.counts);
            if !events.is_empty() {
                let sent = self.events.tell(events).send().await;
                sent.map_err(|_| LinkError::Stopped)?;
            }
            result?;
        }
    }

    /// Decodes a chunk of frames. If one is invalid, `events` contains the messages before it.
    fn decode_all(
        &mut self,
        chunk: Vec<io::Result<BytesMut>>,
        events: &mut Vec<Event>,
    ) -> Result<(), LinkError> {
        for frame in chunk {
            let bytes = match frame {
                Ok(bytes) => bytes,
                // The codec reports a frame over the maximum size this way.
                Err(error) if error.kind() == io::ErrorKind::InvalidData => {
                    return Err(FrameError::Oversized.into());
                }
                Err(error) => return Err(error.into()),
            };
            let len = bytes.len() as u64;
            self.counts.add_many(LinkCounter::BytesIn, len);
            events.extend(self.accept(bytes)?);
        }
        Ok(())
    }

    /// Decodes and validates a frame. Returns `None` for the hello.
    ///
    /// Returns an error if the frame is invalid, the hello has another protocol version or target,
    /// the sender changes, or the frames are not one hello and then messages.
    fn accept(&mut self, bytes: BytesMut) -> Result<Option<Event>, FrameError> {
        let frame = decode(bytes.freeze())?;
        match (self.peer, frame.content) {
            (None, Content::Hello { version, target }) => {
                if version != VERSION {
                    return Err(FrameError::Version(version));
                }
                if target != self.me {
                    return Err(FrameError::Target(target));
                }
                self.peer = Some(frame.sender);
                Ok(None)
            }
            (Some(peer), Content::Message(message)) => {
                if frame.sender != peer {
                    return Err(FrameError::SenderChanged(frame.sender));
                }
                self.counts.add(LinkCounter::MessagesIn);
                let from = peer;
                Ok(Some(Event::PeerMessage { from, message }))
            }
            _ => Err(FrameError::Unexpected),
        }
    }
}
