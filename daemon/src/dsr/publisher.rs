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
use lovagespindle_instances::news::{
    Reply,
    Wanted, //
};
use lovagespindle_instances::news_link::Question;
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
const MAX_LONG_POLLS: usize = 512;

/// What the publisher is told or asked.
pub enum PublisherCommand {
    /// News from the store or from another instance.
    Apply(Bulletin),
    /// What another instance tells of others.
    AddPeers(Vec<Peer>),
    /// The settings name other instances.
    SetSeeds(Vec<SocketAddrV4>),
    /// Another instance did not answer.
    PeerFailed(SocketAddrV4),
    /// Another instance has no recent word of the store.
    PeerStale(SocketAddrV4),
    /// Asks for the instance of the zone that follows the store, if that is another one.
    GetLeader(oneshot::Sender<Option<SocketAddrV4>>),
    /// Asks for an instance to follow while the store is out of reach.
    PickPeer(oneshot::Sender<Option<SocketAddrV4>>),
}

/// A request of another instance that waits for news.
struct LongPoll {
    incoming: Question,
    deadline: Time,
}

/// Owns what is known of the store.
pub struct Publisher {
    clock: Clock,
    documents: Archive,
    peers: Peers,
    forwarder: ActorRef<Forwarder>,
    commands: mpsc::Receiver<PublisherCommand>,
    requests: mpsc::Receiver<Question>,
    /// Shows the revision up to which everything is known.
    known: watch::Sender<Option<Revision>>,
    long_polls: Vec<LongPoll>,
}

impl Publisher {
    /// Creates a publisher that takes commands of the followers and requests of other instances.
    pub fn new(
        clock: Clock,
        peers: Peers,
        forwarder: ActorRef<Forwarder>,
        commands: mpsc::Receiver<PublisherCommand>,
        requests: mpsc::Receiver<Question>,
        known: watch::Sender<Option<Revision>>,
    ) -> Publisher {
        Publisher {
            clock,
            documents: Archive::default(),
            peers,
            forwarder,
            commands,
            requests,
            known,
            long_polls: Vec::new(),
        }
    }

    /// Runs until all senders of commands are gone.
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
            self.answer();
        }
    }

    async fn handle_command(&mut self, command: PublisherCommand) {
        let now = self.clock.now();
        match command {
            PublisherCommand::Apply(bulletin) => self.apply(now, bulletin).await,
            PublisherCommand::AddPeers(peers) => self.peers.learn(now, &peers),
            PublisherCommand::SetSeeds(seeds) => self.peers.set_seeds(&seeds),
            PublisherCommand::PeerFailed(address) => self.peers.fail(now, address),
            PublisherCommand::PeerStale(address) => self.peers.note_stale(now, address),
            // The asker may have given up.
            PublisherCommand::GetLeader(reply) => drop(reply.send(self.peers.leader(now))),
            PublisherCommand::PickPeer(reply) => drop(reply.send(self.peers.pick(now))),
        }
    }

    async fn apply(&mut self, now: Time, bulletin: Bulletin) {
        self.documents.learn(now, &bulletin);
        let known = self.documents.known();
        self.known.send_if_modified(|shown| {
            let changed = *shown != known;
            *shown = known;
            changed
        });
        // Fails only if the forwarder has ended, and the process with it.
        let _ = self.forwarder.tell(decode(bulletin)).await;
    }

    fn add_long_poll(&mut self, incoming: Question) {
        let now = self.clock.now();
        self.peers
            .learn(now, std::slice::from_ref(&incoming.request.sender));
        if self.long_polls.len() < MAX_LONG_POLLS {
            let wait = incoming.request.wait.min(MAX_WAIT);
            let deadline = now + wait;
            self.long_polls.push(LongPoll { incoming, deadline });
        } else {
            // The asker's connection is closed, and it tries another instance.
            let asker = incoming.request.sender.address;
            log::warn!("event=news_refused peer={asker} waiting={MAX_LONG_POLLS}");
        }
    }

    /// Answers the requests for which there is news, or whose wait is over.
    fn answer(&mut self) {
        let now = self.clock.now();
        let known = self.documents.known();
        let ready = |poll: &mut LongPoll| match poll.incoming.request.wanted {
            Wanted::Peers => true,
            Wanted::Since(base) => known > Some(base) || now >= poll.deadline,
        };
        let ready: Vec<_> = self.long_polls.extract_if(.., ready).collect();
        for poll in ready {
            let bulletin = match poll.incoming.request.wanted {
                Wanted::Peers => None,
                Wanted::Since(base) => self.documents.since(now, base),
            };
            let reply = Reply {
                bulletin,
                peers: self.peers.told(now),
            };
            // The connection of the asker may be gone.
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
