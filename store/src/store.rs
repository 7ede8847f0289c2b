//! The actor that owns the channel to the platform's key-value service.

use std::sync::Arc;

use kameo::actor::{
    Actor,
    ActorRef,
    Recipient,
    Spawn,
    WeakActorRef, //
};
use kameo::error::{
    ActorStopReason,
    Infallible, //
};
use kameo::mailbox;
use kameo::message::{
    Context,
    Message, //
};
use kameo::reply::DelegatedReply;
use log::{
    info,
    warn, //
};
use lovagespindle_decisions::Event;
use lovagespindle_decisions::config::Record;
use lovagespindle_decisions::event::RegistryEntry;
use lovagespindle_decisions::ids::{
    InstanceId,
    Revision,
    ZoneId, //
};
use rand_core::{
    RngCore,
    SeedableRng, //
};
use rand_pcg::Pcg32;
use tokio::task::AbortHandle;
use tonic::transport::Endpoint;

use crate::append::append;
use crate::backoff::Backoff;
use crate::client::{
    self,
    Client, //
};
use crate::error::StoreError;
use crate::list;
use crate::read::{
    self,
    News, //
};
use crate::settings::Settings;
use crate::snapshot;
use crate::watch::Watcher;

/// Appends a record to the configuration log. Answers the revision once it is written.
#[derive(Debug)]
pub struct Append(pub Record);

/// Reads the configuration log after a revision and delivers what there is. Answers the revision
/// that was reached.
#[derive(Clone, Copy, Debug)]
pub struct ReadAfter(pub Revision);

/// Begins or ends a watch on the configuration log.
#[derive(Clone, Copy, Debug)]
pub enum Watch {
    /// Delivers all records after a revision, those to come too.
    Hold {
        /// The revision that the recipient has.
        after: Revision,
    },
    /// Ends the watch.
    End,
}

/// Reads the platform's list of some zones' instances, now and in intervals from now on.
#[derive(Clone, Debug)]
pub struct ReadList {
    /// The zones.
    pub zones: Vec<(String, ZoneId)>,
}

/// Puts an instance on the list of its zone. Not repeated after a failure: the next reading of the
/// list shows whether it is there.
#[derive(Clone, Debug)]
pub struct Enlist {
    /// The name of the zone.
    pub zone: String,
    /// The entry.
    pub listed: RegistryEntry,
}

/// Takes an instance off the list of its zone. Not repeated after a failure.
#[derive(Clone, Debug)]
pub struct Unlist {
    /// The name of the zone.
    pub zone: String,
    /// The instance.
    pub instance: InstanceId,
}

/// Asks for the counts.
#[derive(Clone, Copy, Debug)]
pub struct GetCounts;

/// What the store has done.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, kameo::Reply)]
pub struct Counts {
    /// Calls, with or without an answer. A waiting watch counts once.
    pub calls: u64,
    /// Calls without an answer and watches that broke.
    pub failures: u64,
    /// Snapshots that were written or found written by another instance.
    pub snapshots: u64,
}

/// How a call ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Called {
    Answered,
    Failed,
    /// A watch broke that was counted when it opened.
    Broke,
}

struct Appended(Revision);

struct SnapshotEnded(Result<Revision, StoreError>);

/// The actor that owns the channel to the platform's key-value service.
///
/// Calls run in tasks of their own, so that a slow one delays no other.
pub struct Store {
    settings: Settings,
    client: Client,
    recipient: Recipient<Event>,
    rng: Pcg32,
    counts: Counts,
    /// Whether the platform answers, once that is known.
    reachable: Option<bool>,
    /// Failures since the last answer.
    failures: u32,
    /// The revision of the newest snapshot that is known.
    snapshot: Revision,
    /// Whether a task is writing a snapshot.
    writing: bool,
    watch: Option<AbortHandle>,
    poll: Option<AbortHandle>,
}

/// What a store starts with.
pub struct Start {
    settings: Settings,
    endpoint: Endpoint,
    seed: u64,
    recipient: Recipient<Event>,
}

impl Store {
    /// Starts a store that delivers to `recipient`; `seed` feeds its random numbers.
    pub fn start(
        settings: Settings,
        seed: u64,
        recipient: Recipient<Event>,
    ) -> Result<ActorRef<Store>, StoreError> {
        let endpoint = client::endpoint(&settings)?;
        let start = Start {
            settings,
            endpoint,
            seed,
            recipient,
        };
        // Unbounded, because a recipient that waits for room here while the store waits for room
        // there would never go on. Every message here is a call of bounded rate or its report.
        Ok(Store::spawn_with_mailbox(start, mailbox::unbounded()))
    }

    fn backoff(&mut self) -> Backoff {
        Backoff::new(&self.settings, self.rng.next_u64())
    }

    async fn set_reachable(&mut self, reachable: bool) {
        if self.reachable == Some(reachable) {
            return;
        }
        self.reachable = Some(reachable);
        match reachable {
            true => info!("the platform answers"),
            false => warn!("the platform does not answer"),
        }
        // Fails only while the instance is stopping.
        let _ = self.recipient.tell(Event::Platform(reachable)).await;
    }
}

impl Actor for Store {
    type Args = Start;
    type Error = Infallible;

    async fn on_start(start: Start, store: ActorRef<Store>) -> Result<Store, Infallible> {
        let timeout = start.settings.call_timeout;
        Ok(Store {
            client: Client::new(&start.endpoint, timeout, store.downgrade()),
            settings: start.settings,
            recipient: start.recipient,
            rng: Pcg32::seed_from_u64(start.seed),
            counts: Counts::default(),
            reachable: None,
            failures: 0,
            snapshot: Revision(0),
            writing: false,
            watch: None,
            poll: None,
        })
    }

    async fn on_stop(
        &mut self,
        _: WeakActorRef<Store>,
        _: ActorStopReason,
    ) -> Result<(), Infallible> {
        replace(&mut self.watch, None);
        replace(&mut self.poll, None);
        Ok(())
    }
}

impl Message<Append> for Store {
    type Reply = DelegatedReply<Result<Revision, StoreError>>;

    async fn handle(
        &mut self,
        Append(record): Append,
        context: &mut Context<Store, Self::Reply>,
    ) -> Self::Reply {
        let client = self.client.clone();
        let attempts = self.settings.write_attempts;
        let backoff = self.backoff();
        let store = context.actor_ref().clone();
        context.spawn(async move {
            let revision = append(&client, &record, attempts, backoff).await?;
            // Fails only while the store is stopping.
            let _ = store.tell(Appended(revision)).await;
            Ok(revision)
        })
    }
}

impl Message<ReadAfter> for Store {
    type Reply = DelegatedReply<Result<Revision, StoreError>>;

    async fn handle(
        &mut self,
        ReadAfter(after): ReadAfter,
        context: &mut Context<Store, Self::Reply>,
    ) -> Self::Reply {
        let client = self.client.clone();
        let recipient = self.recipient.clone();
        context.spawn(async move {
            let news = read::news(&client, after).await?;
            Ok(deliver(&recipient, news).await.unwrap_or(after))
        })
    }
}

impl Message<Watch> for Store {
    type Reply = ();

    async fn handle(&mut self, watch: Watch, _: &mut Context<Store, ()>) {
        let task = match watch {
            Watch::Hold { after } => {
                let watcher = Watcher {
                    client: self.client.clone(),
                    recipient: self.recipient.clone(),
                    backoff: self.backoff(),
                    last: after,
                    seen: None,
                };
                Some(tokio::spawn(watcher.run()).abort_handle())
            }
            Watch::End => None,
        };
        replace(&mut self.watch, task);
    }
}

impl Message<ReadList> for Store {
    type Reply = ();

    async fn handle(&mut self, read: ReadList, _: &mut Context<Store, ()>) {
        let backoff = self.backoff();
        let poll = list::poll(
            self.client.clone(),
            self.settings.clone(),
            read.zones,
            backoff,
            self.recipient.clone(),
        );
        replace(&mut self.poll, Some(tokio::spawn(poll).abort_handle()));
    }
}

impl Message<Enlist> for Store {
    type Reply = DelegatedReply<Result<(), StoreError>>;

    async fn handle(
        &mut self,
        enlist: Enlist,
        context: &mut Context<Store, Self::Reply>,
    ) -> Self::Reply {
        let client = self.client.clone();
        context.spawn(async move { list::enlist(&client, &enlist.zone, enlist.listed).await })
    }
}

impl Message<Unlist> for Store {
    type Reply = DelegatedReply<Result<(), StoreError>>;

    async fn handle(
        &mut self,
        unlist: Unlist,
        context: &mut Context<Store, Self::Reply>,
    ) -> Self::Reply {
        let client = self.client.clone();
        context.spawn(async move { list::unlist(&client, &unlist.zone, unlist.instance).await })
    }
}

impl Message<GetCounts> for Store {
    type Reply = Counts;

    async fn handle(&mut self, _: GetCounts, _: &mut Context<Store, Counts>) -> Counts {
        self.counts
    }
}

impl Message<Called> for Store {
    type Reply = ();

    async fn handle(&mut self, called: Called, _: &mut Context<Store, ()>) {
        if called != Called::Broke {
            self.counts.calls += 1;
        }
        if called == Called::Answered {
            self.failures = 0;
            return self.set_reachable(true).await;
        }
        self.counts.failures += 1;
        self.failures = self.failures.saturating_add(1);
        if self.failures >= self.settings.lost_after {
            self.set_reachable(false).await;
        }
    }
}

impl Message<Appended> for Store {
    type Reply = ();

    async fn handle(&mut self, Appended(revision): Appended, context: &mut Context<Store, ()>) {
        if self.writing || revision.0 < self.snapshot.0 + self.settings.snapshot_every {
            return;
        }
        self.writing = true;
        let client = self.client.clone();
        let settings = self.settings.clone();
        let store = context.actor_ref().clone();
        tokio::spawn(async move {
            let ended = snapshot::write(&client, &settings).await;
            // Fails only while the store is stopping.
            let _ = store.tell(SnapshotEnded(ended)).await;
        });
    }
}

impl Message<SnapshotEnded> for Store {
    type Reply = ();

    async fn handle(&mut self, SnapshotEnded(ended): SnapshotEnded, _: &mut Context<Store, ()>) {
        self.writing = false;
        match ended {
            Ok(revision) => {
                self.snapshot = revision;
                self.counts.snapshots += 1;
            }
            Err(error) => warn!("no snapshot was written, the next change tries again: {error}"),
        }
    }
}

/// Delivers what was read. Returns the last revision, if there is any.
pub(crate) async fn deliver(recipient: &Recipient<Event>, news: News) -> Option<Revision> {
    let mut last = None;
    // Deliveries fail only while the instance is stopping.
    if let Some(snapshot) = news.snapshot {
        last = Some(snapshot.revision);
        let _ = recipient.tell(Event::Snapshot(Arc::new(snapshot))).await;
    }
    if let Some(record) = news.records.last() {
        last = Some(record.revision);
        let _ = recipient.tell(Event::Records(news.records)).await;
    }
    last
}

fn replace(slot: &mut Option<AbortHandle>, task: Option<AbortHandle>) {
    if let Some(old) = std::mem::replace(slot, task) {
        old.abort();
    }
}
