//! The receiving half of a datagram socket.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kameo::actor::Recipient;
use kameo::error::SendError;
use lovagespindle_decisions::{
    Event,
    Time, //
};
use tokio::net::UdpSocket;
use tokio::sync::{
    mpsc,
    oneshot, //
};
use tokio_util::task::AbortOnDropHandle;

use crate::clock::Clock;
use crate::counts::Counts;
use crate::error::DecodeError;
use crate::field::MAX_DATAGRAM;

/// The most events in one batch. Bounds how long a full socket keeps the task from its commands.
pub const MAX_BATCH: usize = 64;

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
        socket: Arc<UdpSocket>,
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
    socket: Arc<UdpSocket>,
    clock: Clock,
    ingress: I,
    consumer: Recipient<Vec<Event>>,
    inbox: mpsc::Receiver<Command<I::Update>>,
    counts: Counts,
}

impl<I: Ingress> Task<I> {
    async fn run(mut self) {
        // One byte more than allowed, to tell an oversized datagram from one that just fits.
        let mut buffer = [0; MAX_DATAGRAM + 1];
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
                    self.drain(&mut buffer).await;
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

    /// Receives what is there, up to one batch.
    async fn drain(&mut self, buffer: &mut [u8]) {
        let now = self.clock.now();
        let mut batch = Vec::new();
        for _ in 0..MAX_BATCH {
            match self.socket.try_recv_from(buffer) {
                Ok((length, source)) => {
                    let bytes = buffer.get(..length).unwrap_or_default();
                    self.accept(now, source, bytes, &mut batch);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    self.deliver(batch).await;
                    return;
                }
                Err(_) => {
                    self.counts.failures += 1;
                    self.deliver(batch).await;
                    tokio::time::sleep(PAUSE).await;
                    return;
                }
            }
        }
        self.deliver(batch).await;
        // The consumer may be scheduled on this thread: let it run before the next batch.
        tokio::task::yield_now().await;
    }

    fn accept(&mut self, now: Time, source: SocketAddr, bytes: &[u8], batch: &mut Vec<Event>) {
        self.counts.received += 1;
        match self.ingress.accept(now, source, bytes) {
            Ok(event) => batch.push(event),
            Err(error) => self.counts.add_defect(error.into()),
        }
    }

    async fn deliver(&mut self, batch: Vec<Event>) {
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
