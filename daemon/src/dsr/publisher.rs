//! The task that owns the document cache. It applies updates, decodes them for the forwarder and
//! serves them to other instances.

use std::net::SocketAddrV4;
use std::time::Duration;

use kameo::actor::ActorRef;
use lovagespindle_datagram::Clock;
use lovagespindle_decisions::Time;
use lovagespindle_decisions::dsr::document_cache::DocumentCache;
use lovagespindle_decisions::dsr::peers::{
    Peer,
    Peers, //
};
use lovagespindle_decisions::dsr::store_update::{
    DocumentUpdate,
    Revision,
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

/// A command to the publisher.
pub enum PublisherCommand {
    /// Applies an update from the store or from another instance.
    Apply(DocumentUpdate),
    /// Merges the instances that another instance knows.
    AddPeers(Vec<Peer>),
    /// Replaces the instances that the settings name.
    SetSeeds(Vec<SocketAddrV4>),
    /// Records that another instance did not reply.
    PeerFailed(SocketAddrV4),
    /// Records that another instance has no recent confirmation by the store.
    PeerStale(SocketAddrV4),
    /// Returns the leader of the zone, or `None` if that is this instance.
    GetLeader(oneshot::Sender<Option<SocketAddrV4>>),
    /// Returns an instance to get updates from while the store is unreachable.
    PickPeer(oneshot::Sender<Option<SocketAddrV4>>),
}

/// A request of another instance that waits for an update.
struct LongPoll {
    incoming: IncomingRequest,
    deadline: Time,
}

/// Owns the document cache and the list of known peers.
pub struct Publisher {
    clock: Clock,
    documents: DocumentCache,
    peers: Peers,
    forwarder: ActorRef<Forwarder>,
    commands: mpsc::Receiver<PublisherCommand>,
    requests: mpsc::Receiver<IncomingRequest>,
    /// Revision up to which the document cache is complete.
    known: watch::Sender<Option<Revision>>,
    long_polls: Vec<LongPoll>,
}

impl Publisher {
    /// Creates a publisher that handles commands of this process and requests of other instances.
    pub fn new(
        clock: Clock,
        peers: Peers,
        forwarder: ActorRef<Forwarder>,
        commands: mpsc::Receiver<PublisherCommand>,
        requests: mpsc::Receiver<IncomingRequest>,
        known: watch::Sender<Option<Revision>>,
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
            PublisherCommand::AddPeers(peers) => self.peers.merge(now, &peers),
            PublisherCommand::SetSeeds(seeds) => self.peers.set_seeds(&seeds),
            PublisherCommand::PeerFailed(address) => self.peers.record_failure(now, address),
            PublisherCommand::PeerStale(address) => self.peers.record_stale(now, address),
            // The requester may have stopped waiting.
            PublisherCommand::GetLeader(reply) => drop(reply.send(self.peers.leader(now))),
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
        // Fails only if the forwarder has stopped, and then the process exits.
        let _ = self.forwarder.tell(decode(update)).await;
    }

    fn add_long_poll(&mut self, incoming: IncomingRequest) {
        let now = self.clock.now();
        self.peers
            .merge(now, std::slice::from_ref(&incoming.request.sender));
        if self.long_polls.len() < MAX_LONG_POLLS {
            let wait = incoming.request.max_wait.min(MAX_WAIT);
            let deadline = now + wait;
            self.long_polls.push(LongPoll { incoming, deadline });
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
        let ready = |poll: &mut LongPoll| match poll.incoming.request.query {
            Query::Peers => true,
            Query::Since(base) => known > Some(base) || now >= poll.deadline,
        };
        let ready: Vec<_> = self.long_polls.extract_if(.., ready).collect();
        for poll in ready {
            let update = match poll.incoming.request.query {
                Query::Peers => None,
                Query::Since(base) => self.documents.since(now, base),
            };
            let reply = Reply {
                update,
                peers: self.peers.known(now),
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
                document.revision.0,
                error.to_string()
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
