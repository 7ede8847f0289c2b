//! The actor that owns the links for control messages: the TCP listener and the connections to
//! other instances.

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
use crate::outgoing::OutgoingLink;

/// Settings of the links.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LinkSettings {
    /// Time limit for opening a link, and for the hello on an accepted link.
    #[serde(with = "humantime_serde")]
    pub connect_timeout: Duration,
    /// Time without frames after which the side that opened a link closes it. The accepting side
    /// closes it after twice this time.
    #[serde(with = "humantime_serde")]
    pub idle: Duration,
    /// Time limit for writing queued frames to a link, after which the link is closed.
    #[serde(with = "humantime_serde")]
    pub write_timeout: Duration,
    /// Maximum number of messages queued for one peer; a power of two. The oldest are dropped when
    /// the queue is full. The default covers the handover of 65,536 flows in messages of 256.
    pub queue: usize,
    /// Maximum number of received messages that a link passes on as one batch.
    pub batch: usize,
    /// Maximum number of accepted links that may be open at the same time.
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

/// Returns the codec of a link, which puts a length of four bytes before each frame.
pub(crate) fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME)
        .new_codec()
}

/// A command to the links.
#[derive(Debug)]
pub enum LinkCommand {
    /// Sends a message. Opens a link if there is none.
    Send {
        to: InstanceId,
        /// The address at which the instance accepts links.
        address: SocketAddr,
        message: Box<PeerMessage>,
    },
    /// Closes the link to an instance and opens a new one.
    Reconnect {
        to: InstanceId,
        /// The address at which the instance accepts links.
        address: SocketAddr,
    },
}

/// The arguments of [`PeerLinks`].
pub struct LinkArgs {
    /// This instance.
    pub me: InstanceId,
    /// A listener that is already bound, so that its address is known.
    pub listener: TcpListener,
    pub settings: LinkSettings,
    /// Receives the messages of other instances.
    pub events: Recipient<Vec<Event>>,
}

new_key_type! {
    /// Identifies a link that this instance opened. A reopened link has a new key.
    struct LinkKey;
}

struct Link {
    to: InstanceId,
    frames: broadcast::Sender<Bytes>,
    task: JoinHandle<()>,
}

/// Owns the listener and the links to other instances. Each link has a task of its own.
pub struct PeerLinks {
    me: InstanceId,
    settings: LinkSettings,
    counts: LinkCounts,
    links: SlotMap<LinkKey, Link>,
    /// The current link to each instance.
    index: FxHashMap<InstanceId, LinkKey>,
    /// The task that accepts links. Dropping it also closes all accepted links.
    acceptor: AbortOnDropHandle<()>,
    actor_ref: WeakActorRef<PeerLinks>,
}

/// Reports that the task of a link has ended, with the counts that it had not reported yet.
struct LinkEnded(LinkKey, LinkCounts);

/// Reports the counts of a link since the previous report.
pub(crate) struct CountsReport(LinkCounts);

impl CountsReport {
    /// Sends the counts to the actor and clears them. If the actor's mailbox is full, the counts
    /// are kept for the next report, so that a link never waits for the actor.
    pub(crate) fn send(links: &WeakActorRef<PeerLinks>, counts: &mut LinkCounts) {
        if let Some(links) = links.upgrade()
            && links.tell(CountsReport(*counts)).try_send().is_ok()
        {
            *counts = LinkCounts::default();
        }
    }
}

/// Requests the total counts of all links.
pub struct GetLinkCounts;

impl Actor for PeerLinks {
    type Args = LinkArgs;
    type Error = Infallible;

    async fn on_start(args: LinkArgs, actor_ref: ActorRef<Self>) -> Result<Self, Infallible> {
        let LinkArgs {
            me,
            listener,
            settings,
            events,
        } = args;
        let actor_ref = actor_ref.downgrade();
        let acceptor = Acceptor {
            me,
            settings,
            events,
            links: actor_ref.clone(),
        };
        Ok(PeerLinks {
            me,
            settings,
            counts: LinkCounts::default(),
            links: SlotMap::with_key(),
            index: FxHashMap::default(),
            acceptor: AbortOnDropHandle::new(tokio::spawn(acceptor.run(listener))),
            actor_ref,
        })
    }

    async fn on_stop(
        &mut self,
        _actor_ref: WeakActorRef<Self>,
        _reason: ActorStopReason,
    ) -> Result<(), Infallible> {
        self.acceptor.abort();
        // Wait until the listener is closed.
        let _ = (&mut self.acceptor).await;
        // Draining the map drops the senders, so that each task ends once its frames are written.
        // The last frames announce that this instance is leaving.
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
                log::warn!("failed to encode {name} message to instance {to}: {error}");
                return;
            }
        };
        let key = self.index.get(&to).copied();
        let sent = key
            .and_then(|key| self.links.get(key))
            .map(|link| link.frames.send(frame.clone()));
        if !matches!(sent, Some(Ok(_))) {
            // There is no link, or its task has ended and dropped the receiver.
            self.open(to, address, Some(frame));
        }
    }

    fn reconnect(&mut self, to: InstanceId, address: SocketAddr) {
        self.counts.add(LinkCounter::Reopened);
        if let Some(&key) = self.index.get(&to)
            && let Some(link) = self.links.get(key)
        {
            // A graceful end would wait for an unresponsive peer until the write timeout.
            link.task.abort();
            let dropped = link.frames.len() as u64;
            self.counts.add_many(LinkCounter::DroppedOut, dropped);
        }
        self.open(to, address, None);
    }

    /// Opens a link that replaces the current one, if any. `first` is its first message.
    fn open(&mut self, to: InstanceId, address: SocketAddr, first: Option<Bytes>) {
        if let Some(&key) = self.index.get(&to) {
            self.remove(key);
        }
        let (frames, receiver) = broadcast::channel(self.settings.queue.max(1));
        if let Some(first) = first {
            // Cannot fail: the receiver still exists.
            let _ = frames.send(first);
        }
        let link = OutgoingLink {
            me: self.me,
            to,
            address,
            settings: self.settings,
            counts: LinkCounts::default(),
            links: self.actor_ref.clone(),
            frames: receiver,
        };
        let actor_ref = self.actor_ref.clone();
        let key = self.links.insert_with_key(|key| {
            let task = tokio::spawn(async move {
                let counts = link.run().await;
                if let Some(actor_ref) = actor_ref.upgrade() {
                    // Fails only if the actor has stopped.
                    let _ = actor_ref.tell(LinkEnded(key, counts)).send().await;
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

/// Binds the listener of the links. Returns an error if the address is not available.
pub async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(address).await
}
