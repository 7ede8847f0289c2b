//! One link that another instance opened: this instance only reads.

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

/// The reading side of a link.
pub(crate) struct Incoming {
    pub(crate) me: InstanceId,
    pub(crate) settings: LinkSettings,
    /// What was not reported yet.
    pub(crate) counts: LinkCounts,
    pub(crate) links: WeakActorRef<PeerLinks>,
    pub(crate) events: Recipient<Vec<Event>>,
    /// The instance that said hello.
    pub(crate) peer: Option<InstanceId>,
}

/// Why a link ended.
#[derive(Debug, thiserror::Error)]
enum LinkError {
    #[error("no frame arrived in time")]
    Idle,
    #[error("{0}")]
    Frame(#[from] FrameError),
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("the decisions stopped")]
    Stopped,
}

impl Incoming {
    /// Reads frames until the link ends, and passes them on in order.
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

    async fn read(&mut self, stream: TcpStream) -> Result<(), LinkError> {
        let frames = FramedRead::new(stream, codec());
        let mut chunks = frames.ready_chunks(self.settings.batch.max(1));
        loop {
            let wait = match self.peer {
                Some(_) => self.settings.idle * 2,
                None => self.settings.connect_timeout,
            };
            let next = timeout(wait, chunks.next()).await;
            let Some(chunk) = next.map_err(|_| LinkError::Idle)? else {
                return Ok(());
            };
            let mut events = Vec::with_capacity(chunk.len());
            let result = self.decode_all(chunk, &mut events);
            CountsReport::send(&self.links, &mut self.counts);
            if !events.is_empty() {
                let told = self.events.tell(events).send().await;
                told.map_err(|_| LinkError::Stopped)?;
            }
            result?;
        }
    }

    fn decode_all(
        &mut self,
        chunk: Vec<io::Result<BytesMut>>,
        events: &mut Vec<Event>,
    ) -> Result<(), LinkError> {
        for frame in chunk {
            let bytes = match frame {
                Ok(bytes) => bytes,
                // The codec reports an oversized frame this way.
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

    /// Checks a frame and returns its event, if it is not the hello.
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
