//! The receiving half of a datagram socket.

use std::io::{
    self,
    IoSliceMut, //
};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kameo::actor::Recipient;
use kameo::error::SendError;
use lovagespindle_decisions::{
    Event,
    Time, //
};
use quinn_udp::RecvMeta;
use tokio::sync::{
    mpsc,
    oneshot, //
};
use tokio_util::task::AbortOnDropHandle;

use crate::clock::Clock;
use crate::counts::Counts;
use crate::error::DecodeError;
use crate::socket::BatchSocket;

/// The most events in one batch. Bounds how long a full socket keeps the task from its commands.
pub const MAX_BATCH: usize = 64;

/// How many buffers one system call fills.
const BUFFERS: usize = 16;

/// The size of a buffer. The kernel may put up to 64 datagrams of one source into one buffer.
const BUFFER: usize = 1 << 16;

/// How many commands wait for the receiving task before their sender waits.
const COMMANDS: usize = 16;

/// How long the task waits for room in the consumer's mailbox before it drops a batch. Meanwhile
/// the operating system queues datagrams, so that the next batches are fuller and fewer.
const ROOM: Duration = Duration::from_millis(20);

/// How long the task pauses after the operating system refused to receive, so that a lasting
/// failure does not keep a thread busy.
const PAUSE: Duration = Duration::from_millis(10);

/// Turns the datagrams of one kind of peer into events.
pub trait Ingress: Send + 'static {
    /// A change of what is known about the peers.
    type Update: Send + 'static;

    /// Applies a change.
    fn update(&mut self, update: Self::Update);

    /// Returns the event for a datagram that arrived at `now`.
    fn accept(&mut self, now: Time, source: SocketAddr, bytes: &[u8])
    -> Result<Event, DecodeError>;
}

enum Command<U> {
    Update(U),
    Report(oneshot::Sender<Counts>),
}

/// Handle of the task that receives from a socket. The task ends when the handle is dropped.
pub struct Receiver<U> {
    commands: mpsc::Sender<Command<U>>,
    _task: AbortOnDropHandle<()>,
}

impl<U: Send + 'static> Receiver<U> {
    /// Starts a task that sends the events of a socket to the consumer in batches.
    ///
    /// A batch that finds the consumer's mailbox full for 20 ms is dropped and counted.
    pub fn start<I: Ingress<Update = U>>(
        socket: Arc<BatchSocket>,
        clock: Clock,
        ingress: I,
        consumer: Recipient<Vec<Event>>,
    ) -> Receiver<U> {
        let (commands, inbox) = mpsc::channel(COMMANDS);
        let task = Task {
            socket,
            clock,
            ingress,
            consumer,
            inbox,
            batch: Vec::new(),
            counts: Counts::default(),
        };
        Receiver {
            commands,
            _task: AbortOnDropHandle::new(tokio::spawn(task.run())),
        }
    }

    /// Applies a change before any datagram that is received later.
    pub async fn update(&self, update: U) {
        // The task ends only with the runtime while its handle exists.
        let _ = self.commands.send(Command::Update(update)).await;
    }

    /// Returns the counts of this half.
    pub async fn counts(&self) -> Counts {
        let (sender, counts) = oneshot::channel();
        let _ = self.commands.send(Command::Report(sender)).await;
        counts.await.unwrap_or_default()
    }
}

struct Task<I: Ingress> {
    socket: Arc<BatchSocket>,
    clock: Clock,
    ingress: I,
    consumer: Recipient<Vec<Event>>,
    inbox: mpsc::Receiver<Command<I::Update>>,
    /// Events that wait for delivery; empty between system calls.
    batch: Vec<Event>,
    counts: Counts,
}

impl<I: Ingress> Task<I> {
    async fn run(mut self) {
        let mut memory = vec![0; BUFFERS * BUFFER];
        loop {
            tokio::select! {
                biased;
                command = self.inbox.recv() => match command {
                    Some(command) => self.obey(command),
                    None => return,
                },
                ready = self.socket.readable() => {
                    if ready.is_err() {
                        return; // The runtime shuts down.
                    }
                    self.drain(&mut memory).await;
                }
            }
        }
    }

    fn obey(&mut self, command: Command<I::Update>) {
        match command {
            Command::Update(update) => self.ingress.update(update),
            Command::Report(sender) => {
                let _ = sender.send(self.counts);
            }
        }
    }

    /// Receives what one system call gives.
    async fn drain(&mut self, memory: &mut [u8]) {
        let now = self.clock.now();
        let mut metas = [RecvMeta::default(); BUFFERS];
        match self.receive(memory, &mut metas) {
            Ok(filled) => {
                for (meta, buffer) in metas[..filled].iter().zip(memory.chunks(BUFFER)) {
                    self.split(now, meta, buffer).await;
                }
                self.deliver().await;
                // The consumer may be scheduled on this thread: let it run before the next batch.
                tokio::task::yield_now().await;
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(_) => {
                self.counts.failures += 1;
                tokio::time::sleep(PAUSE).await;
            }
        }
    }

    fn receive(&self, memory: &mut [u8], metas: &mut [RecvMeta]) -> io::Result<usize> {
        let mut chunks = memory.chunks_mut(BUFFER);
        let mut buffers: [IoSliceMut<'_>; BUFFERS] =
            std::array::from_fn(|_| IoSliceMut::new(chunks.next().unwrap_or_default()));
        self.socket.receive(&mut buffers, metas)
    }

    /// Takes the datagrams of one buffer, and delivers each full batch.
    async fn split(&mut self, now: Time, meta: &RecvMeta, buffer: &[u8]) {
        let bytes = buffer.get(..meta.len).unwrap_or_default();
        if bytes.is_empty() {
            self.accept(now, meta.addr, bytes);
        }
        for datagram in bytes.chunks(meta.stride.max(1)) {
            self.accept(now, meta.addr, datagram);
            if self.batch.len() == MAX_BATCH {
                self.deliver().await;
            }
        }
    }

    fn accept(&mut self, now: Time, source: SocketAddr, bytes: &[u8]) {
        self.counts.received += 1;
        match self.ingress.accept(now, source, bytes) {
            Ok(event) => self.batch.push(event),
            Err(error) => self.counts.add_defect(error.into()),
        }
    }

    async fn deliver(&mut self) {
        let batch = std::mem::take(&mut self.batch);
        let length = batch.len();
        if length == 0 {
            return;
        }
        let sent = match self.consumer.tell(batch).try_send() {
            Err(SendError::MailboxFull(batch)) => {
                let request = self.consumer.tell(batch).mailbox_timeout(ROOM);
                request.send().await
            }
            sent => sent,
        };
        if sent.is_err() {
            self.counts.overruns += length as u64;
        }
    }
}
