//! Links for control messages: the TCP listener and the connections to other instances.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures::future::join_all;
use kameo::Actor;
use kameo::actor::{
    ActorRef,
    Recipient,
    WeakActorRef, //
};
use kameo::error::ActorStopReason;
use kameo::message::{
    Context,
    Message, //
};
use lovagespindle_decisions::event::Event;
use lovagespindle_decisions::ids::InstanceId;
use lovagespindle_decisions::peer::PeerMessage;
use rustc_hash::FxHashMap;
use serde::{
    Deserialize,
    Serialize, //
};
use slotmap::{
    SlotMap,
    new_key_type, //
};
use tokio::net::TcpListener;
use tokio::sync::broadcast;
use tokio::task::JoinHandle;
use tokio::time::timeout;
use tokio_util::codec::LengthDelimitedCodec;
use tokio_util::task::AbortOnDropHandle;

use crate::acceptor::Acceptor;
use crate::counter::{
    LinkCounter,
    LinkCounts, //
};
use crate::frame::{
    MAX_FRAME,
    encode, //
};
use crate::outgoing::Outgoing;

/// Settings of the links.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LinkSettings {
    /// How long opening a link may take, and how long an accepted link may take to say hello.
    #[serde(with = "humantime_serde")]
    pub connect_timeout: Duration,
    /// A link without frames is closed after this time by the side that opened it, and after
    /// twice this time by the other.
    #[serde(with = "humantime_serde")]
    pub idle: Duration,
    /// A link is closed when the peer takes no bytes for this time.
    #[serde(with = "humantime_serde")]
    pub write_timeout: Duration,
    /// How many messages wait for one peer; a power of two. The oldest are dropped beyond that.
    /// Covers the handover of 65,536 flows in messages of 256.
    pub queue: usize,
    /// How many messages of one link are passed on at once.
    pub batch: usize,
    /// How many accepted links may be open at once.
    pub accepted: usize,
}

impl Default for LinkSettings {
    fn default() -> LinkSettings {
        LinkSettings {
            connect_timeout: Duration::from_secs(1),
            idle: Duration::from_secs(60),
            write_timeout: Duration::from_secs(5),
            queue: 256,
            batch: 64,
            accepted: 1024,
        }
    }
}

/// Returns the framing of a link: a length of four bytes, then the frame.
pub(crate) fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME)
        .new_codec()
}

/// What the links are asked to do.
#[derive(Debug)]
pub enum LinkCommand {
    /// Send a message, on a link that is opened if there is none.
    Send {
        /// The instance.
        to: InstanceId,
        /// Where it takes control messages.
        address: SocketAddr,
        /// The message.
        message: Box<PeerMessage>,
    },
    /// Close the link to an instance and open a new one.
    Reconnect {
        /// The instance.
        to: InstanceId,
        /// Where it takes control messages.
        address: SocketAddr,
    },
}

/// What the links are made of.
pub struct LinkArgs {
    /// This instance.
    pub me: InstanceId,
    /// The listener, already bound so that its address is known.
    pub listener: TcpListener,
    /// The settings.
    pub settings: LinkSettings,
    /// Takes the received messages.
    pub events: Recipient<Vec<Event>>,
}

new_key_type! {
    /// One opened link. A reopened link has a new key.
    struct LinkKey;
}

struct Link {
    to: InstanceId,
    frames: broadcast::Sender<Bytes>,
    task: JoinHandle<()>,
}

/// Owns the listener and the links to other instances.
pub struct PeerLinks {
    me: InstanceId,
    settings: LinkSettings,
    counts: LinkCounts,
    links: SlotMap<LinkKey, Link>,
    /// One entry for each opened link.
    index: FxHashMap<InstanceId, LinkKey>,
    /// Ends all accepted links too when it is dropped.
    acceptor: AbortOnDropHandle<()>,
    own: WeakActorRef<PeerLinks>,
}

/// The task of a link ended, with its last counts.
struct LinkEnded(LinkKey, LinkCounts);

/// Counts of a link that goes on.
pub(crate) struct CountsReport(LinkCounts);

impl CountsReport {
    /// Reports counts and clears them, unless the actor is too busy to take them now.
    pub(crate) fn send(links: &WeakActorRef<PeerLinks>, counts: &mut LinkCounts) {
        if let Some(links) = links.upgrade()
            && links.tell(CountsReport(*counts)).try_send().is_ok()
        {
            *counts = LinkCounts::default();
        }
    }
}

/// Asks for the counts of all links.
pub struct GetLinkCounts;

impl Actor for PeerLinks {
    type Args = LinkArgs;
    type Error = Infallible;

    async fn on_start(args: LinkArgs, own: ActorRef<Self>) -> Result<Self, Infallible> {
        let LinkArgs {
            me,
            listener,
            settings,
            events,
        } = args;
        let own = own.downgrade();
        let acceptor = Acceptor {
            me,
            settings,
            events,
            links: own.clone(),
        };
        Ok(PeerLinks {
            me,
            settings,
            counts: LinkCounts::default(),
            links: SlotMap::with_key(),
            index: FxHashMap::default(),
            acceptor: AbortOnDropHandle::new(tokio::spawn(acceptor.run(listener))),
            own,
        })
    }

    async fn on_stop(
        &mut self,
        _own: WeakActorRef<Self>,
        _reason: ActorStopReason,
    ) -> Result<(), Infallible> {
        self.acceptor.abort();
        // Waits until the listener is closed.
        let _ = (&mut self.acceptor).await;
        // Without senders the tasks end once their frames are written. The last ones say that
        // this instance leaves.
        let links = self.links.drain().map(|(_, link)| link.task);
        let tasks: Vec<_> = links.collect();
        let _ = timeout(self.settings.write_timeout, join_all(tasks)).await;
        Ok(())
    }
}

impl Message<Vec<LinkCommand>> for PeerLinks {
    type Reply = ();

    async fn handle(&mut self, commands: Vec<LinkCommand>, _: &mut Context<Self, ()>) {
        for command in commands {
            match command {
                LinkCommand::Send {
                    to,
                    address,
                    message,
                } => self.send(to, address, &message),
                LinkCommand::Reconnect { to, address } => self.reconnect(to, address),
            }
        }
    }
}

impl Message<LinkEnded> for PeerLinks {
    type Reply = ();

    async fn handle(&mut self, LinkEnded(key, counts): LinkEnded, _: &mut Context<Self, ()>) {
        self.counts.add_all(&counts);
        self.remove(key);
    }
}

impl Message<CountsReport> for PeerLinks {
    type Reply = ();

    async fn handle(&mut self, CountsReport(counts): CountsReport, _: &mut Context<Self, ()>) {
        self.counts.add_all(&counts);
    }
}

impl Message<GetLinkCounts> for PeerLinks {
    type Reply = LinkCounts;

    async fn handle(&mut self, _: GetLinkCounts, _: &mut Context<Self, LinkCounts>) -> LinkCounts {
        self.counts
    }
}

impl PeerLinks {
    fn send(&mut self, to: InstanceId, address: SocketAddr, message: &PeerMessage) {
        let frame = match encode(self.me, message) {
            Ok(frame) => frame,
            Err(error) => {
                self.counts.add(LinkCounter::Unencodable);
                let name: &str = message.into();
                log::warn!("{name} message to instance {to} was not sent: {error}");
                return;
            }
        };
        let key = self.index.get(&to).copied();
        let sent = key
            .and_then(|key| self.links.get(key))
            .map(|link| link.frames.send(frame.clone()));
        if !matches!(sent, Some(Ok(_))) {
            // The receiver of a link that ended is gone.
            self.open(to, address, Some(frame));
        }
    }

    fn reconnect(&mut self, to: InstanceId, address: SocketAddr) {
        self.counts.add(LinkCounter::Reopened);
        if let Some(&key) = self.index.get(&to)
            && let Some(link) = self.links.get(key)
        {
            // A silent link would hold its frames back until the write timeout.
            link.task.abort();
            let dropped = link.frames.len() as u64;
            self.counts.add_many(LinkCounter::DroppedOut, dropped);
        }
        self.open(to, address, None);
    }

    /// Opens a link in place of the present one, if any.
    fn open(&mut self, to: InstanceId, address: SocketAddr, first: Option<Bytes>) {
        if let Some(&key) = self.index.get(&to) {
            self.remove(key);
        }
        let (frames, receiver) = broadcast::channel(self.settings.queue.max(1));
        if let Some(first) = first {
            // Cannot fail: the receiver is at hand.
            let _ = frames.send(first);
        }
        let outgoing = Outgoing {
            me: self.me,
            to,
            address,
            settings: self.settings,
            counts: LinkCounts::default(),
            links: self.own.clone(),
            frames: receiver,
        };
        let own = self.own.clone();
        let key = self.links.insert_with_key(|key| {
            let task = tokio::spawn(async move {
                let counts = outgoing.run().await;
                if let Some(own) = own.upgrade() {
                    // Fails only if the actor has stopped.
                    let _ = own.tell(LinkEnded(key, counts)).send().await;
                }
            });
            Link { to, frames, task }
        });
        self.index.insert(to, key);
    }

    fn remove(&mut self, key: LinkKey) {
        if let Some(link) = self.links.remove(key)
            && self.index.get(&link.to) == Some(&key)
        {
            self.index.remove(&link.to);
        }
    }
}

/// Binds the listener of the links.
pub async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(address).await
}
