//! The task that owns the document cache. It applies updates, decodes them for the forwarder and
//! serves them to other instances.

use std::net::SocketAddrV4;
use std::time::Duration;

use kameo::actor::ActorRef;
use lovagespindle_datagram::Clock;
use lovagespindle_decisions::Time;
use lovagespindle_decisions::dsr::document_cache::{
    DocumentCache,
    Known, //
};
use lovagespindle_decisions::dsr::peers::{
    Peer,
    Peers,
    Source, //
};
use lovagespindle_decisions::dsr::source_path::SourcePath;
use lovagespindle_decisions::dsr::store_update::{
    DocumentUpdate,
    Revisioned,
    StoreUpdate, //
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

/// Upper bound on the wait of a long poll, whatever the request says. Instances request half a
/// second.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// Maximum number of pending long polls: one for each connection that the listener accepts.
const MAX_LONG_POLLS: usize = 512;

/// A long poll is answered when the store confirmed the documents this much later than the requester
/// knows, so that confirmations pass through the tree at once.
const MIN_ADVANCE: Duration = Duration::from_millis(300);

/// A command to the publisher.
pub enum PublisherCommand {
    /// Applies an update from the store or from another instance.
    Apply(DocumentUpdate),
    /// Merges the instances that another instance knows.
    AddPeers(Vec<Peer>),
    /// Replaces the instances that the settings name.
    SetSeeds(Vec<SocketAddrV4>),
    /// Applies the first documents of a snapshot that is still being read.
    ApplyPart(DocumentUpdate),
    /// Records that another instance replied.
    PeerAnswered(SocketAddrV4),
    /// Records that another instance did not reply.
    PeerFailed(SocketAddrV4),
    /// Records that another instance has no recent confirmation by the store.
    PeerStale(SocketAddrV4),
    /// Sets the instances between this one and the store.
    SetPath(SourcePath),
    /// Returns where this instance gets updates from.
    GetPosition(oneshot::Sender<Position>),
    /// Returns an instance to get updates from while the store is unreachable.
    PickPeer(oneshot::Sender<Option<SocketAddrV4>>),
}

/// The position of this instance among those of its zone.
#[derive(Clone, Copy, Debug)]
pub struct Position {
    pub source: Source,
    /// Whether the instance calls the store if the updates of the others are stale.
    pub is_candidate: bool,
    /// Time since the store confirmed the documents, or `None` before that.
    pub age: Option<Duration>,
    /// Digest of the known instances of the zone.
    pub digest: u32,
}

/// A request of another instance that waits for an update.
struct LongPoll {
    incoming: IncomingRequest,
    arrived: Time,
    deadline: Time,
    /// Time at which the store confirmed what the requester knows, if it did.
    confirmed: Option<Time>,
}

/// Owns the document cache and the list of known peers.
pub struct Publisher {
    clock: Clock,
    documents: DocumentCache,
    peers: Peers,
    forwarder: ActorRef<Forwarder>,
    commands: mpsc::Receiver<PublisherCommand>,
    requests: mpsc::Receiver<IncomingRequest>,
    /// What the document cache holds.
    known: watch::Sender<Option<Known>>,
    long_polls: Vec<LongPoll>,
    /// The instances between this one and the store.
    path: SourcePath,
}

impl Publisher {
    /// Creates a publisher that handles commands of this process and requests of other instances.
    pub fn new(
        clock: Clock,
        peers: Peers,
        forwarder: ActorRef<Forwarder>,
        commands: mpsc::Receiver<PublisherCommand>,
        requests: mpsc::Receiver<IncomingRequest>,
        known: watch::Sender<Option<Known>>,
    ) -> Publisher {
        Publisher {
            clock,
            documents: DocumentCache::default(),
            peers,
            forwarder,
            commands,
            requests,
            known,
            long_polls: Vec::new(),
            path: SourcePath::default(),
        }
    }

    /// Runs until all senders of commands have been dropped.
    pub async fn run(mut self) {
        loop {
            let deadline = self.long_polls.iter().map(|poll| poll.deadline).min();
            let wake = deadline.map(|deadline| self.clock.instant(deadline));
            tokio::select! {
                command = self.commands.recv() => match command {
                    Some(command) => self.handle_command(command).await,
                    None => return,
                },
                Some(incoming) = self.requests.recv() => self.add_long_poll(incoming),
                () = sleep_until(wake) => {}
            }
            self.answer_long_polls();
        }
    }

    async fn handle_command(&mut self, command: PublisherCommand) {
        let now = self.clock.now();
        match command {
            PublisherCommand::Apply(update) => self.apply(now, update).await,
            // The cache keeps complete snapshots only, as other instances build on it.
            PublisherCommand::ApplyPart(update) => self.update_forwarder(update).await,
            PublisherCommand::SetPath(path) => self.path = path,
            PublisherCommand::PeerAnswered(address) => self.peers.record_answer(address),
            PublisherCommand::AddPeers(peers) => self.peers.merge(now, &peers),
            PublisherCommand::SetSeeds(seeds) => self.peers.set_seeds(&seeds),
            PublisherCommand::PeerFailed(address) => self.peers.record_failure(now, address),
            PublisherCommand::PeerStale(address) => self.peers.record_stale(now, address),
            // The requester may have stopped waiting.
            PublisherCommand::GetPosition(reply) => drop(reply.send(self.position(now))),
            PublisherCommand::PickPeer(reply) => drop(reply.send(self.peers.pick(now))),
        }
    }

    async fn apply(&mut self, now: Time, update: DocumentUpdate) {
        self.documents.apply(now, &update);
        let known = self.documents.known();
        self.known.send_if_modified(|current| {
            let changed = *current != known;
            *current = known;
            changed
        });
        self.update_forwarder(update).await;
    }

    async fn update_forwarder(&self, update: DocumentUpdate) {
        // Fails only if the forwarder has stopped, and then the process exits.
        let _ = self.forwarder.tell(decode(update)).await;
    }

    fn position(&self, now: Time) -> Position {
        Position {
            source: self.peers.source(now),
            is_candidate: self.peers.is_candidate(now),
            age: self.documents.age(now),
            digest: self.peers.digest(now),
        }
    }

    fn add_long_poll(&mut self, incoming: IncomingRequest) {
        let now = self.clock.now();
        self.peers
            .merge(now, std::slice::from_ref(&incoming.request.sender));
        if self.long_polls.len() < MAX_LONG_POLLS {
            let wait = incoming.request.max_wait.min(MAX_WAIT);
            let age = incoming.request.age;
            self.long_polls.push(LongPoll {
                incoming,
                arrived: now,
                deadline: now + wait,
                confirmed: age.map(|age| now - age),
            });
        } else {
            // Dropping the request closes the connection; the peer then tries another instance.
            let peer = incoming.request.sender.address;
            log::warn!("event=news_refused peer={peer} waiting={MAX_LONG_POLLS}");
        }
    }

    /// Replies to the requests for which there is an update, and to those past their deadline.
    fn answer_long_polls(&mut self) {
        let now = self.clock.now();
        let known = self.documents.known();
        let revision = known.map(|known| known.revision);
        let confirmed = known.map(|known| known.confirmed);
        let ready = |poll: &mut LongPoll| match poll.incoming.request.query {
            Query::Peers => true,
            Query::Since(base) => {
                let later = poll.confirmed.map(|confirmed| confirmed + MIN_ADVANCE);
                revision > Some(base) || confirmed > later || now >= poll.deadline
            }
        };
        let ready: Vec<_> = self.long_polls.extract_if(.., ready).collect();
        for poll in ready {
            let update = match poll.incoming.request.query {
                Query::Peers => None,
                Query::Since(base) => self.documents.since(now, base),
            };
            let request = &poll.incoming.request;
            let same = self.peers.digest(now) == request.digest;
            let peers = match same && request.query != Query::Peers {
                true => Vec::new(),
                false => self.peers.known(now, &request.sender.zone),
            };
            let reply = Reply {
                update,
                peers,
                path: self.path.clone(),
                waited: now.since(poll.arrived),
            };
            // The connection may have been closed.
            let _ = poll.incoming.reply.send(reply);
        }
    }
}

async fn sleep_until(wake: Option<tokio::time::Instant>) {
    match wake {
        Some(wake) => tokio::time::sleep_until(wake).await,
        None => std::future::pending().await,
    }
}

/// Decodes the documents of an update. Invalid ones are logged and skipped.
fn decode(update: DocumentUpdate) -> StoreUpdate {
    let mut changes = Vec::with_capacity(update.documents.len());
    for document in &update.documents {
        match documents::decode(document) {
            Ok(Some(change)) => changes.push(Revisioned {
                revision: document.revision,
                change,
            }),
            Ok(None) => {}
            Err(error) => log::warn!(
                "event=document_unreadable key={:?} revision={} reason={:?}",
                document.key,
                document.revision,
                error.summary()
            ),
        }
    }
    StoreUpdate {
        changes,
        revision: update.revision,
        kind: update.kind,
        age: update.age,
    }
}
