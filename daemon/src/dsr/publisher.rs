//! The task that owns what is known of the store. It passes news on to the forwarder and to other
//! instances that ask.

use std::net::SocketAddrV4;
use std::time::Duration;

use kameo::actor::ActorRef;
use lovagespindle_datagram::Clock;
use lovagespindle_decisions::Time;
use lovagespindle_decisions::dsr::archive::Archive;
use lovagespindle_decisions::dsr::news::{
    Bulletin,
    Dated,
    News,
    Revision, //
};
use lovagespindle_decisions::dsr::peers::{
    Peer,
    Peers, //
};
use lovagespindle_instances::sync::{
    Query,
    Reply, //
};
use lovagespindle_instances::sync_link::IncomingRequest;
use lovagespindle_platform::documents;
use tokio::sync::{
    mpsc,
    oneshot,
    watch, //
};

use crate::dsr::forwarder::Forwarder;

/// The longest wait of a request that is granted. Instances ask for a second.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// The most requests that wait at once: an instance of each connection that is accepted.
const MAX_WAITING: usize = 512;

/// What the publisher is told or asked.
pub enum Order {
    /// News from the store or from another instance.
    Learn(Bulletin),
    /// What another instance tells of others.
    Meet(Vec<Peer>),
    /// The settings name other instances.
    Seeds(Vec<SocketAddrV4>),
    /// Another instance did not answer.
    Failed(SocketAddrV4),
    /// Another instance has no recent word of the store.
    Stale(SocketAddrV4),
    /// Asks for the instance of the zone that follows the store, if that is another one.
    Lead(oneshot::Sender<Option<SocketAddrV4>>),
    /// Asks for an instance to follow while the store is out of reach.
    Pick(oneshot::Sender<Option<SocketAddrV4>>),
}

/// A request of another instance that waits for news.
struct Waiting {
    question: IncomingRequest,
    until: Time,
}

/// Owns what is known of the store.
pub struct Publisher {
    clock: Clock,
    archive: Archive,
    peers: Peers,
    forwarder: ActorRef<Forwarder>,
    orders: mpsc::Receiver<Order>,
    questions: mpsc::Receiver<IncomingRequest>,
    /// Shows the revision up to which everything is known.
    known: watch::Sender<Option<Revision>>,
    waiting: Vec<Waiting>,
}

impl Publisher {
    /// Creates a publisher that takes orders of the followers and questions of other instances.
    pub fn new(
        clock: Clock,
        peers: Peers,
        forwarder: ActorRef<Forwarder>,
        orders: mpsc::Receiver<Order>,
        questions: mpsc::Receiver<IncomingRequest>,
        known: watch::Sender<Option<Revision>>,
    ) -> Publisher {
        Publisher {
            clock,
            archive: Archive::default(),
            peers,
            forwarder,
            orders,
            questions,
            known,
            waiting: Vec::new(),
        }
    }

    /// Runs until all senders of orders are gone.
    pub async fn run(mut self) {
        loop {
            let until = self.waiting.iter().map(|waiting| waiting.until).min();
            let wake = until.map(|until| self.clock.instant(until));
            tokio::select! {
                order = self.orders.recv() => match order {
                    Some(order) => self.obey(order).await,
                    None => return,
                },
                Some(question) = self.questions.recv() => self.ask(question),
                () = sleep_until(wake) => {}
            }
            self.answer();
        }
    }

    async fn obey(&mut self, order: Order) {
        let now = self.clock.now();
        match order {
            Order::Learn(bulletin) => self.learn(now, bulletin).await,
            Order::Meet(peers) => self.peers.learn(now, &peers),
            Order::Seeds(seeds) => self.peers.set_seeds(&seeds),
            Order::Failed(address) => self.peers.fail(now, address),
            Order::Stale(address) => self.peers.note_stale(now, address),
            // The asker may have given up.
            Order::Lead(reply) => drop(reply.send(self.peers.leader(now))),
            Order::Pick(reply) => drop(reply.send(self.peers.pick(now))),
        }
    }

    async fn learn(&mut self, now: Time, bulletin: Bulletin) {
        self.archive.learn(now, &bulletin);
        let known = self.archive.known();
        self.known.send_if_modified(|shown| {
            let changed = *shown != known;
            *shown = known;
            changed
        });
        // Fails only if the forwarder has ended, and the process with it.
        let _ = self.forwarder.tell(decode(bulletin)).await;
    }

    fn ask(&mut self, question: IncomingRequest) {
        let now = self.clock.now();
        self.peers
            .learn(now, std::slice::from_ref(&question.request.sender));
        if self.waiting.len() < MAX_WAITING {
            let wait = question.request.max_wait.min(MAX_WAIT);
            let until = now + wait;
            self.waiting.push(Waiting { question, until });
        } else {
            // The asker's connection is closed, and it tries another instance.
            let asker = question.request.sender.address;
            log::warn!("event=news_refused peer={asker} waiting={MAX_WAITING}");
        }
    }

    /// Answers the requests for which there is news, or whose wait is over.
    fn answer(&mut self) {
        let now = self.clock.now();
        let known = self.archive.known();
        let ready = |waiting: &mut Waiting| match waiting.question.request.query {
            Query::Peers => true,
            Query::Since(base) => known > Some(base) || now >= waiting.until,
        };
        let ready: Vec<_> = self.waiting.extract_if(.., ready).collect();
        for waiting in ready {
            let update = match waiting.question.request.query {
                Query::Peers => None,
                Query::Since(base) => self.archive.since(now, base),
            };
            let reply = Reply {
                update,
                peers: self.peers.told(now),
            };
            // The connection of the asker may be gone.
            let _ = waiting.question.reply.send(reply);
        }
    }
}

async fn sleep_until(wake: Option<tokio::time::Instant>) {
    match wake {
        Some(wake) => tokio::time::sleep_until(wake).await,
        None => std::future::pending().await,
    }
}

/// Decodes the documents of a bulletin. Unreadable ones are logged and left out.
fn decode(bulletin: Bulletin) -> News {
    let mut changes = Vec::with_capacity(bulletin.documents.len());
    for document in &bulletin.documents {
        match documents::decode(document) {
            Ok(Some(change)) => changes.push(Dated {
                revision: document.revision,
                change,
            }),
            Ok(None) => {}
            Err(error) => log::warn!(
                "event=document_unreadable key={:?} revision={} reason={:?}",
                document.key,
                document.revision.0,
                error.to_string()
            ),
        }
    }
    News {
        changes,
        at: bulletin.at,
        scope: bulletin.scope,
        age: bulletin.age,
    }
}
