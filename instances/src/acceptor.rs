//! The task that accepts links from other instances.

use kameo::actor::{
    Recipient,
    WeakActorRef, //
};
use lovagespindle_decisions::event::Event;
use lovagespindle_decisions::ids::InstanceId;
use tokio::net::{
    TcpListener,
    TcpStream, //
};
use tokio::task::JoinSet;

use crate::accept::Listener;
use crate::counter::{
    LinkCounter,
    LinkCounts, //
};
use crate::incoming::IncomingLink;
use crate::links::{
    CountsReport,
    LinkSettings,
    PeerLinks, //
};

/// Owns the listener of the links.
pub(crate) struct Acceptor {
    pub(crate) me: InstanceId,
    pub(crate) settings: LinkSettings,
    pub(crate) events: Recipient<Vec<Event>>,
    pub(crate) links: WeakActorRef<PeerLinks>,
}

impl Acceptor {
    /// Accepts links and starts a task for each. Dropping this future aborts those tasks.
    pub(crate) async fn run(self, listener: TcpListener) {
        let mut listener = Listener::new(listener, "links");
        let mut tasks = JoinSet::new();
        loop {
            tokio::select! {
                stream = listener.accept() => self.start(stream, &mut tasks),
                Some(_) = tasks.join_next() => {}
            }
        }
    }

    /// Starts a task for an accepted link, or closes the link if too many are open.
    fn start(&self, stream: TcpStream, tasks: &mut JoinSet<()>) {
        if tasks.len() >= self.settings.accepted {
            let mut counts = LinkCounts::default();
            counts.add(LinkCounter::Refused);
            CountsReport::send(&self.links, &mut counts);
            return;
        }
        let link = IncomingLink {
            me: self.me,
            settings: self.settings,
            counts: LinkCounts::default(),
            links: self.links.clone(),
            events: self.events.clone(),
            peer: None,
        };
        tasks.spawn(link.run(stream));
    }
}
