//! Accepts the links that other instances open.

use std::io;
use std::time::Duration;

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

use crate::counter::{
    LinkCounter,
    LinkCounts, //
};
use crate::incoming::Incoming;
use crate::links::{
    LinkSettings,
    PeerLinks,
    Report, //
};

/// How long to wait after the operating system refused to accept. Without file descriptors it
/// fails at once, again and again.
const PAUSE: Duration = Duration::from_millis(100);

/// The task that owns the listener.
pub(crate) struct Acceptor {
    pub(crate) me: InstanceId,
    pub(crate) settings: LinkSettings,
    pub(crate) events: Recipient<Vec<Event>>,
    pub(crate) links: WeakActorRef<PeerLinks>,
}

impl Acceptor {
    /// Accepts links and starts a task for each; the tasks end with this one.
    pub(crate) async fn run(self, listener: TcpListener) {
        let mut tasks = JoinSet::new();
        loop {
            tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => self.start(stream, &mut tasks),
                    Err(error) => pause(error).await,
                },
                Some(_) = tasks.join_next() => {}
            }
        }
    }

    fn start(&self, stream: TcpStream, tasks: &mut JoinSet<()>) {
        if tasks.len() >= self.settings.accepted {
            let mut counts = LinkCounts::default();
            counts.add(LinkCounter::Refused);
            Report::send(&self.links, &mut counts);
            return;
        }
        let incoming = Incoming {
            me: self.me,
            settings: self.settings,
            counts: LinkCounts::default(),
            links: self.links.clone(),
            events: self.events.clone(),
            peer: None,
        };
        tasks.spawn(incoming.run(stream));
    }
}

async fn pause(error: io::Error) {
    log::warn!("no link could be accepted: {error}");
    tokio::time::sleep(PAUSE).await;
}
