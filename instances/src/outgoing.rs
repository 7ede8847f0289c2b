//! The task that writes one link that this instance opened. A link carries messages in one
//! direction only.

use std::io;
use std::net::SocketAddr;

use bytes::Bytes;
use futures::SinkExt;
use kameo::actor::WeakActorRef;
use lovagespindle_decisions::ids::InstanceId;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::net::tcp::{
    OwnedReadHalf,
    OwnedWriteHalf, //
};
use tokio::sync::broadcast::Receiver;
use tokio::sync::broadcast::error::{
    RecvError,
    TryRecvError, //
};
use tokio::time::timeout;
use tokio_util::codec::{
    FramedWrite,
    LengthDelimitedCodec, //
};

use crate::counter::{
    LinkCounter,
    LinkCounts, //
};
use crate::frame::encode_hello;
use crate::links::{
    CountsReport,
    LinkSettings,
    PeerLinks,
    codec, //
};

/// The opening side of a link, which only writes.
pub(crate) struct OutgoingLink {
    pub(crate) me: InstanceId,
    pub(crate) to: InstanceId,
    pub(crate) address: SocketAddr,
    pub(crate) settings: LinkSettings,
    /// Counts that were not reported to the actor yet.
    pub(crate) counts: LinkCounts,
    pub(crate) links: WeakActorRef<PeerLinks>,
    /// Frames to write. A broadcast channel with one receiver, because it drops the oldest frame
    /// when it is full, which happens when the peer does not read.
    pub(crate) frames: Receiver<Bytes>,
}

/// The next step of the task.
enum Next {
    /// Writes a frame.
    Frame(Bytes),
    /// Ends the link, because it is idle, the peer closed it, or the actor dropped the sender.
    End,
}

type Writer = FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>;

impl OutgoingLink {
    /// Opens the link and writes frames until it ends. Returns the counts that were not reported.
    pub(crate) async fn run(mut self) -> LinkCounts {
        match self.open().await {
            Ok((reader, writer)) => {
                self.counts.add(LinkCounter::Opened);
                if let Err(error) = self.write(reader, writer).await {
                    log::debug!("link to instance {} failed: {error}", self.to);
                }
            }
            Err(error) => {
                self.counts.add(LinkCounter::OpenFailures);
                log::debug!("failed to open link to instance {}: {error}", self.to);
            }
        }
        let dropped = self.frames.len() as u64;
        self.counts.add_many(LinkCounter::DroppedOut, dropped);
        self.counts
    }

    /// Connects and sends the hello. Returns an error if the connection fails or times out.
    async fn open(&self) -> io::Result<(OwnedReadHalf, Writer)> {
        let connect = TcpStream::connect(self.address);
        let stream = timeout(self.settings.connect_timeout, connect).await??;
        stream.set_nodelay(true)?;
        let (reader, writer) = stream.into_split();
        let mut writer = FramedWrite::new(writer, codec());
        writer.send(encode_hello(self.me, self.to)).await?;
        Ok((reader, writer))
    }

    /// Writes frames until the link ends. Returns an error if a write fails or times out.
    async fn write(&mut self, mut reader: OwnedReadHalf, mut writer: Writer) -> io::Result<()> {
        while let Next::Frame(frame) = self.next(&mut reader).await {
            let write_timeout = self.settings.write_timeout;
            timeout(write_timeout, self.write_queued(&mut writer, frame)).await??;
            CountsReport::send(&self.links, &mut self.counts);
        }
        Ok(())
    }

    /// Waits for a frame. The peer never writes to this link, so that a completed read, which is
    /// normally the end of the stream, ends the link.
    async fn next(&mut self, reader: &mut OwnedReadHalf) -> Next {
        let idle = tokio::time::sleep(self.settings.idle);
        tokio::pin!(idle);
        loop {
            let mut byte = [0];
            tokio::select! {
                received = self.frames.recv() => match received {
                    Ok(frame) => return Next::Frame(frame),
                    Err(RecvError::Lagged(n)) => self.count_dropped(n),
                    Err(RecvError::Closed) => return Next::End,
                },
                _ = reader.read(&mut byte) => return Next::End,
                () = &mut idle => return Next::End,
            }
        }
    }

    /// Writes a frame and all frames queued behind it, and then flushes once.
    async fn write_queued(&mut self, writer: &mut Writer, first: Bytes) -> io::Result<()> {
        let mut next = Some(first);
        while let Some(frame) = next {
            let len = frame.len() as u64;
            writer.feed(frame).await?;
            self.counts.add(LinkCounter::MessagesOut);
            self.counts.add_many(LinkCounter::BytesOut, len);
            next = self.next_queued();
        }
        SinkExt::<Bytes>::flush(writer).await
    }

    /// Returns the next queued frame, if any.
    fn next_queued(&mut self) -> Option<Bytes> {
        loop {
            match self.frames.try_recv() {
                Ok(frame) => return Some(frame),
                Err(TryRecvError::Lagged(n)) => self.count_dropped(n),
                Err(TryRecvError::Empty | TryRecvError::Closed) => return None,
            }
        }
    }

    fn count_dropped(&mut self, n: u64) {
        self.counts.add_many(LinkCounter::DroppedOut, n);
    }
}
