//! Task that receives from a datagram socket.

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

/// Largest number of events in one batch. Bounds how long a busy socket delays the task's commands.
pub const MAX_BATCH: usize = 64;

/// Number of buffers that one system call can fill.
const BUFFER_COUNT: usize = 16;

/// Size of a buffer in bytes. The kernel may put up to 64 datagrams of one source into it.
const BUFFER_SIZE: usize = 1 << 16;

/// Capacity of the command queue. Senders wait while it is full.
const COMMAND_CAPACITY: usize = 16;

/// Time to wait for capacity in the consumer's mailbox before a batch is dropped. The operating
/// system queues datagrams in the meantime, so that the following batches are larger and fewer.
const DELIVERY_TIMEOUT: Duration = Duration::from_millis(20);

/// Delay after a failure to receive, so that a persistent failure does not keep a thread busy.
const RETRY_DELAY: Duration = Duration::from_millis(10);

/// Converts datagrams from one kind of peer to events.
pub trait Ingress: Send + 'static {
    /// Change to the data that datagrams are checked against, such as the services.
    type Update: Send + 'static;

    fn update(&mut self, update: Self::Update);

    /// Returns the event for a datagram that arrived at `now`, or why the datagram is rejected.
    fn accept(&mut self, now: Time, source: SocketAddr, bytes: &[u8])
    -> Result<Event, DecodeError>;
}

enum Command<U> {
    Update(U),
    GetCounts(oneshot::Sender<Counts>),
}

/// Handle of the task that receives from a socket. Dropping it stops the task.
pub struct Receiver<U> {
    commands: mpsc::Sender<Command<U>>,
    _task: AbortOnDropHandle<()>,
}

impl<U: Send + 'static> Receiver<U> {
    /// Starts a task that receives from a socket and sends the events to the consumer in batches.
    ///
    /// If the consumer's mailbox stays full for 20 ms, the batch is dropped and counted.
    pub fn start<I: Ingress<Update = U>>(
        socket: Arc<BatchSocket>,
        clock: Clock,
        ingress: I,
        consumer: Recipient<Vec<Event>>,
    ) -> Receiver<U> {
        let (commands, inbox) = mpsc::channel(COMMAND_CAPACITY);
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

    /// Updates the ingress. All datagrams that are received afterwards are checked against it.
    pub async fn update(&self, update: U) {
        // Fails only while the runtime shuts down, because this handle keeps the task running.
        let _ = self.commands.send(Command::Update(update)).await;
    }

    /// Returns the counts of the datagrams received and dropped.
    pub async fn counts(&self) -> Counts {
        let (sender, counts) = oneshot::channel();
        let _ = self.commands.send(Command::GetCounts(sender)).await;
        counts.await.unwrap_or_default()
    }
}

struct Task<I: Ingress> {
    socket: Arc<BatchSocket>,
    clock: Clock,
    ingress: I,
    consumer: Recipient<Vec<Event>>,
    inbox: mpsc::Receiver<Command<I::Update>>,
    /// Events to be delivered. Empty between system calls.
    batch: Vec<Event>,
    counts: Counts,
}

impl<I: Ingress> Task<I> {
    async fn run(mut self) {
        let mut memory = vec![0; BUFFER_COUNT * BUFFER_SIZE];
        loop {
            tokio::select! {
                biased;
                command = self.inbox.recv() => match command {
                    Some(command) => self.handle_command(command),
                    None => return,
                },
                ready = self.socket.readable() => {
                    if ready.is_err() {
                        return; // The runtime is shutting down.
                    }
                    self.receive_batch(&mut memory).await;
                }
            }
        }
    }

    fn handle_command(&mut self, command: Command<I::Update>) {
        match command {
            Command::Update(update) => self.ingress.update(update),
            Command::GetCounts(sender) => {
                let _ = sender.send(self.counts);
            }
        }
    }

    /// Receives the datagrams of one system call and delivers their events.
    async fn receive_batch(&mut self, memory: &mut [u8]) {
        let now = self.clock.now();
        let mut metas = [RecvMeta::default(); BUFFER_COUNT];
        match self.read_socket(memory, &mut metas) {
            Ok(filled) => {
                for (meta, buffer) in metas[..filled].iter().zip(memory.chunks(BUFFER_SIZE)) {
                    self.split(now, meta, buffer).await;
                }
                self.deliver().await;
                // The consumer may be scheduled on this thread. Lets it run before the next batch.
                tokio::task::yield_now().await;
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(_) => {
                self.counts.failures += 1;
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }

    fn read_socket(&self, memory: &mut [u8], metas: &mut [RecvMeta]) -> io::Result<usize> {
        let mut chunks = memory.chunks_mut(BUFFER_SIZE);
        let mut buffers: [IoSliceMut<'_>; BUFFER_COUNT] =
            std::array::from_fn(|_| IoSliceMut::new(chunks.next().unwrap_or_default()));
        self.socket.receive(&mut buffers, metas)
    }

    /// Splits a buffer into datagrams, adds their events to the batch and delivers full batches.
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
                let request = self.consumer.tell(batch).mailbox_timeout(DELIVERY_TIMEOUT);
                request.send().await
            }
            sent => sent,
        };
        if sent.is_err() {
            self.counts.overruns += length as u64;
        }
    }
}
