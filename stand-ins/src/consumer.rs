//! An event consumer for tests of sockets.

use kameo::actor::{
    Recipient,
    Spawn, //
};
use kameo::message::{
    Context,
    Message, //
};
use lovagespindle_decisions::Event;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::error::Error;
use crate::peer::TIMEOUT;

/// An actor that forwards batches of events to a test.
#[derive(kameo::Actor)]
struct Collector(mpsc::Sender<Vec<Event>>);

impl Message<Vec<Event>> for Collector {
    type Reply = ();

    async fn handle(&mut self, batch: Vec<Event>, _context: &mut Context<Self, ()>) {
        let _ = self.0.send(batch).await;
    }
}

/// Batches that a consumer received.
pub struct Batches(mpsc::Receiver<Vec<Event>>);

impl Batches {
    /// Waits for the next batch, or returns an error after [`TIMEOUT`].
    pub async fn next(&mut self) -> Result<Vec<Event>, Error> {
        let batch = timeout(TIMEOUT, self.0.recv()).await?;
        batch.ok_or(Error::Closed)
    }

    /// Receives batches until there are at least `count` events.
    ///
    /// Returns an error if a batch does not arrive within [`TIMEOUT`].
    pub async fn events(&mut self, count: usize) -> Result<Vec<Event>, Error> {
        let mut events = Vec::new();
        while events.len() < count {
            events.extend(self.next().await?);
        }
        Ok(events)
    }
}

/// Starts a consumer whose mailbox and channel of batches each have this capacity.
pub fn consumer(capacity: usize) -> (Recipient<Vec<Event>>, Batches) {
    let (sender, batches) = mpsc::channel(capacity);
    let mailbox = kameo::mailbox::bounded(capacity);
    let collector = Collector::spawn_with_mailbox(Collector(sender), mailbox);
    (collector.recipient(), Batches(batches))
}
