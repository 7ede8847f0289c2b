//! The actor that owns the connection to the platform's key-value service.

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
use crate::read::{
    self,
    ReadResult, //
};
use crate::registry;
use crate::settings::Settings;
use crate::snapshot;
use crate::watch::Watcher;

/// Appends a record to the configuration log. Replies with its revision after the write.
#[derive(Debug)]
pub struct Append(pub Record);

/// Reads the configuration log after a revision and delivers the changes. Replies with the latest
/// revision.
#[derive(Clone, Copy, Debug)]
pub struct ReadAfter(pub Revision);

/// Starts or stops the watch on the configuration log.
#[derive(Clone, Copy, Debug)]
pub enum Watch {
    /// Delivers all records after a revision, including future ones. Replaces an existing watch.
    Start {
        /// The revision of the recipient's configuration.
        after: Revision,
    },
    Stop,
}

/// Starts to poll the instance registry of some availability zones, beginning immediately.
#[derive(Clone, Debug)]
pub struct ReadRegistry {
    /// Names and identifiers of the zones.
    pub zones: Vec<(String, ZoneId)>,
}

/// Adds an instance to the registry. Not retried after a failure, because the next poll shows
/// whether the entry exists.
#[derive(Clone, Debug)]
pub struct Register {
    /// The name of the zone.
    pub zone: String,
    pub entry: RegistryEntry,
}

/// Removes an instance from the registry. Not retried after a failure.
#[derive(Clone, Debug)]
pub struct Deregister {
    /// The name of the zone.
    pub zone: String,
    pub instance: InstanceId,
}

/// Requests the [`Counts`].
#[derive(Clone, Copy, Debug)]
pub struct GetCounts;

/// Counters of a [`Store`].
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, kameo::Reply)]
pub struct Counts {
    /// Calls, with or without a response. A watch counts once, when it is opened.
    pub calls: u64,
    /// Calls without a response and watches that failed after they were opened.
    pub failures: u64,
    /// Snapshots that this instance wrote or found already written by another one.
    pub snapshots: u64,
}

/// How a call result.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CallOutcome {
    Answered,
    Failed,
    /// A watch failed; its call was counted when it was opened.
    WatchBroken,
}

struct Appended(Revision);

struct SnapshotEnded(Result<Revision, StoreError>);

/// The actor that owns the connection to the platform's key-value service.
///
/// Each call runs in a separate task, so that a slow call does not delay others.
pub struct Store {
    settings: Settings,
    client: Client,
    recipient: Recipient<Event>,
    rng: Pcg32,
    counts: Counts,
    /// Whether the platform responds; `None` before the first result.
    reachable: Option<bool>,
    /// Consecutive failures since the last response.
    failures: u32,
    /// The revision of the newest known snapshot.
    snapshot: Revision,
    /// Whether a task is writing a snapshot.
    writing: bool,
    watch: Option<AbortHandle>,
    poll: Option<AbortHandle>,
}

/// Start arguments of a [`Store`].
pub struct Start {
    settings: Settings,
    endpoint: Endpoint,
    seed: u64,
    recipient: Recipient<Event>,
}

impl Store {
    /// Starts a store that delivers events to `recipient`. `seed` initializes its random numbers.
    ///
    /// Returns [`StoreError::Endpoint`] if the URL in the settings is invalid.
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
        // Unbounded, because with two bounded mailboxes the store and the recipient could block
        // each other. Each message is a call, whose rate is limited, or the report of its outcome.
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
            true => info!("the platform is reachable"),
            false => warn!("the platform is unreachable"),
        }
        // Fails only during shutdown.
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
            // Fails only during shutdown.
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
            let result = read::read_after(&client, after).await?;
            Ok(deliver(&recipient, result).await.unwrap_or(after))
        })
    }
}

impl Message<Watch> for Store {
    type Reply = ();

    async fn handle(&mut self, watch: Watch, _: &mut Context<Store, ()>) {
        let task = match watch {
            Watch::Start { after } => {
                let watcher = Watcher {
                    client: self.client.clone(),
                    recipient: self.recipient.clone(),
                    backoff: self.backoff(),
                    last: after,
                    store_revision: None,
                };
                Some(tokio::spawn(watcher.run()).abort_handle())
            }
            Watch::Stop => None,
        };
        replace(&mut self.watch, task);
    }
}

impl Message<ReadRegistry> for Store {
    type Reply = ();

    async fn handle(&mut self, read: ReadRegistry, _: &mut Context<Store, ()>) {
        let backoff = self.backoff();
        let poll = registry::poll(
            self.client.clone(),
            self.settings.clone(),
            read.zones,
            backoff,
            self.recipient.clone(),
        );
        replace(&mut self.poll, Some(tokio::spawn(poll).abort_handle()));
    }
}

impl Message<Register> for Store {
    type Reply = DelegatedReply<Result<(), StoreError>>;

    async fn handle(
        &mut self,
        register: Register,
        context: &mut Context<Store, Self::Reply>,
    ) -> Self::Reply {
        let client = self.client.clone();
        context
            .spawn(async move { registry::register(&client, &register.zone, register.entry).await })
    }
}

impl Message<Deregister> for Store {
    type Reply = DelegatedReply<Result<(), StoreError>>;

    async fn handle(
        &mut self,
        deregister: Deregister,
        context: &mut Context<Store, Self::Reply>,
    ) -> Self::Reply {
        let client = self.client.clone();
        context.spawn(async move {
            registry::deregister(&client, &deregister.zone, deregister.instance).await
        })
    }
}

impl Message<GetCounts> for Store {
    type Reply = Counts;

    async fn handle(&mut self, _: GetCounts, _: &mut Context<Store, Counts>) -> Counts {
        self.counts
    }
}

impl Message<CallOutcome> for Store {
    type Reply = ();

    async fn handle(&mut self, outcome: CallOutcome, _: &mut Context<Store, ()>) {
        if outcome != CallOutcome::WatchBroken {
            self.counts.calls += 1;
        }
        if outcome == CallOutcome::Answered {
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
            let result = snapshot::write(&client, &settings).await;
            // Fails only during shutdown.
            let _ = store.tell(SnapshotEnded(result)).await;
        });
    }
}

impl Message<SnapshotEnded> for Store {
    type Reply = ();

    async fn handle(&mut self, SnapshotEnded(result): SnapshotEnded, _: &mut Context<Store, ()>) {
        self.writing = false;
        match result {
            Ok(revision) => {
                self.snapshot = revision;
                self.counts.snapshots += 1;
            }
            Err(error) => warn!("snapshot failed, retrying after the next change: {error}"),
        }
    }
}

/// Delivers the result of a read. Returns the last delivered revision, or `None` if there is none.
pub(crate) async fn deliver(recipient: &Recipient<Event>, result: ReadResult) -> Option<Revision> {
    let mut last = None;
    // Deliveries fail only during shutdown.
    if let Some(snapshot) = result.snapshot {
        last = Some(snapshot.revision);
        let _ = recipient.tell(Event::Snapshot(Arc::new(snapshot))).await;
    }
    if let Some(record) = result.records.last() {
        last = Some(record.revision);
        let _ = recipient.tell(Event::Records(result.records)).await;
    }
    last
}

fn replace(slot: &mut Option<AbortHandle>, task: Option<AbortHandle>) {
    if let Some(old) = std::mem::replace(slot, task) {
        old.abort();
    }
}
