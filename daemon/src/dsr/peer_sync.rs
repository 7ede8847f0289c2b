//! Gets updates from other instances: from the parent in the zone's tree, or from any instance while
//! the store is unreachable. Decides whether this instance calls the store.

use std::net::SocketAddrV4;
use std::time::Duration;

use futures::future::join_all;
use lovagespindle_decisions::dsr::document_cache::Known;
use lovagespindle_decisions::dsr::peers::{
    Peer,
    Source, //
};
use lovagespindle_decisions::dsr::source_path::SourcePath;
use lovagespindle_decisions::dsr::store_update::Revision;
use lovagespindle_instances::sync::{
    Query,
    Request, //
};
use lovagespindle_instances::sync_link::{
    SyncClient,
    SyncError, //
};
use tokio::sync::{
    mpsc,
    oneshot,
    watch, //
};
use tokio::time::{
    Instant,
    sleep,
    timeout, //
};

use crate::dsr::publisher::{
    Position,
    PublisherCommand, //
};
use crate::dsr::store_watcher::StoreUse;

/// Grace period for the store to answer before updates are requested from another instance. At
/// startup the store answers within 60 ms.
const STORE_GRACE: Duration = Duration::from_millis(150);

/// Timeout of a connection to another instance, and of its reply beyond the requested wait: several
/// times the latency between the most distant zones.
const TIMEOUT: Duration = Duration::from_millis(400);

/// Time that another instance may wait for an update before it replies. Together with [`TIMEOUT`],
/// it bounds the time until an unresponsive instance is detected.
const MAX_WAIT: Duration = Duration::from_millis(500);

/// Maximum age of a peer's last confirmation by the store. A watch returns at least once a second,
/// and a slow store answers within a quarter of a second. Including the wait for replies, a change
/// arrives within 2 s. An instance whose view gets older than that asks the store itself, whatever
/// its source does.
const MAX_AGE: Duration = Duration::from_millis(1_500);

/// Time for which an instance waits for a stale parent, for each instance between the parent and the
/// store: those nearer to the store replace a source that failed.
const PATIENCE_PER_HOP: Duration = Duration::from_millis(300);

/// Time for which a parent may have no documents: it may be reading them.
const EMPTY_PATIENCE: Duration = Duration::from_secs(2);

/// Number of parents that fail one after the other before the instance calls the store itself.
const MAX_FAILURES: u32 = 2;

/// Interval between two checks of the position in the tree.
const POSITION_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between two exchanges of known peers.
const REFRESH_INTERVAL: Duration = Duration::from_secs(5);

/// Longest delay of the first exchange with the seeds. It is drawn at random, so that instances that
/// start together do not all connect to the seeds at the same moment.
const MAX_START_DELAY: Duration = Duration::from_millis(800);

/// Time between the two exchanges with the seeds at the start. Instances that start together do so
/// within 0.3 s, so the second exchange finds all of them.
const SETTLE_TIME: Duration = Duration::from_millis(1_200);

/// Retry delay after an instance did not reply.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Retry delay after an instance turned out to be stale. It limits the requests among instances
/// while none of them reaches the store.
const STALE_DELAY: Duration = Duration::from_millis(500);

/// Error that ends the updates from one instance.
#[derive(Debug, thiserror::Error)]
enum PeerError {
    #[error(transparent)]
    Sync(#[from] SyncError),
    /// The other instance's documents are too old.
    #[error("last confirmed by the store {age:?} ago, {hops} hops away")]
    Stale {
        /// Time since the store confirmed its documents.
        age: Duration,
        /// Number of instances between it and the store.
        hops: u32,
    },
    #[error("no documents from the store")]
    Empty,
    /// The other instance gets its updates from this one, directly or through others.
    #[error("it gets its updates from this instance")]
    Cycle,
}

/// The state of an instance's updates as its reply shows it.
#[derive(Clone, Debug)]
struct PeerState {
    /// Time since the store confirmed its documents, or `None` if it has none.
    age: Option<Duration>,
    /// The instances between it and the store.
    path: SourcePath,
}

impl PeerState {
    /// Returns the path of the instance at `me` if it gets its updates from this one at `address`.
    fn path_through(&self, address: SocketAddrV4, me: &Peer) -> Result<SourcePath, PeerError> {
        let path = self.path.through(address, me.address);
        path.ok_or(PeerError::Cycle)
    }
}

/// Gets updates from other instances and keeps the list of known peers up to date.
pub struct PeerSync {
    me: Peer,
    seeds: Vec<SocketAddrV4>,
    publisher: mpsc::Sender<PublisherCommand>,
    known: watch::Receiver<Option<Known>>,
    /// Set to what this instance calls the store for.
    store_use: watch::Sender<StoreUse>,
    /// Whether the store is reachable.
    store: watch::Receiver<bool>,
    last_refresh: Instant,
    /// Whether the second exchange with the seeds took place.
    settled: bool,
    /// Delay of the first exchange with the seeds, at most [`MAX_START_DELAY`].
    start_delay: Duration,
    /// Parents that failed one after the other.
    failures: u32,
}

impl PeerSync {
    /// Creates a task that sends updates and known peers to the publisher. `spread` is a random
    /// number between 0 and 1, by which instances that start together differ.
    pub fn new(
        me: Peer,
        seeds: Vec<SocketAddrV4>,
        publisher: mpsc::Sender<PublisherCommand>,
        known: watch::Receiver<Option<Known>>,
        store_use: watch::Sender<StoreUse>,
        store: watch::Receiver<bool>,
        spread: f64,
    ) -> PeerSync {
        PeerSync {
            me,
            seeds,
            publisher,
            known,
            store_use,
            store,
            last_refresh: Instant::now(),
            settled: false,
            start_delay: MAX_START_DELAY.mul_f64(spread),
            failures: 0,
        }
    }

    /// Runs until the publisher has stopped.
    pub async fn run(mut self) {
        if timeout(STORE_GRACE, self.store.wait_for(|reachable| *reachable))
            .await
            .is_err()
        {
            self.sync_without_store().await;
        }
        sleep(self.start_delay).await;
        self.exchange_with_seeds().await;
        self.last_refresh = Instant::now();
        while let Some(position) = self.position().await {
            match position.source {
                Source::Store => {
                    self.use_store("first in the zone").await;
                    self.watch_store().await;
                }
                Source::Peer(parent) => self.follow(parent).await,
            }
        }
    }

    async fn exchange_with_seeds(&self) {
        join_all(self.seeds.iter().map(|seed| self.exchange_peers(*seed))).await;
    }

    /// Lets this instance watch the store. Logs the reason if it did not do so before.
    async fn use_store(&mut self, reason: &str) {
        self.failures = 0;
        if self.store_use.send_replace(StoreUse::Watch) != StoreUse::Watch {
            log::info!("event=store_used reason={reason:?}");
        }
        self.send_command(PublisherCommand::SetPath(SourcePath::default()))
            .await;
    }

    /// Waits while this instance watches the store. Returns when it is time to check the position
    /// again. While the store is unreachable, gets updates from other instances.
    async fn watch_store(&mut self) {
        let lost = timeout(
            POSITION_INTERVAL,
            self.store.wait_for(|reachable| !reachable),
        );
        if lost.await.map(drop).is_ok() {
            sleep(STORE_GRACE).await;
            self.sync_without_store().await;
        } else {
            self.refresh().await;
        }
    }

    /// Exchanges known peers if it is time: first with the seeds once more, then with one instance
    /// at a time.
    async fn refresh(&mut self) {
        let interval = if self.settled {
            REFRESH_INTERVAL
        } else {
            SETTLE_TIME
        };
        if self.last_refresh.elapsed() < interval {
            return;
        }
        self.last_refresh = Instant::now();
        if !std::mem::replace(&mut self.settled, true) {
            return self.exchange_with_seeds().await;
        }
        if let Some(address) = self.pick_peer().await {
            self.exchange_peers(address).await;
        }
    }

    /// Exchanges known peers with an instance, without an update.
    async fn exchange_peers(&self, address: SocketAddrV4) {
        let exchange = async {
            let mut client = SyncClient::connect(address, TIMEOUT).await?;
            self.request(&mut client, Query::Peers, Duration::ZERO)
                .await
        };
        if let Err(error) = exchange.await {
            self.report_failure(address, &error.into()).await;
        }
    }

    /// Gets updates from the parent until it changes, is stale or fails. Then another instance takes
    /// its place; the store is called only if that does not help.
    async fn follow(&mut self, parent: SocketAddrV4) {
        let Err(error) = self.sync_with_parent(parent).await else {
            return;
        };
        match &error {
            PeerError::Sync(_) => {
                self.failures += 1;
                self.report_failure(parent, &error).await;
            }
            PeerError::Stale { .. } | PeerError::Empty | PeerError::Cycle => {
                self.report_stale(parent, &error).await
            }
        }
        let Some(position) = self.position().await else {
            return;
        };
        let stale = !matches!(error, PeerError::Sync(_));
        if self.failures >= MAX_FAILURES {
            self.use_store("parents failed").await;
        } else if stale && position.is_candidate {
            self.use_store("parent is stale").await;
        }
    }

    async fn sync_with_parent(&mut self, parent: SocketAddrV4) -> Result<(), PeerError> {
        let mut client = SyncClient::connect(parent, TIMEOUT).await?;
        let mut stale_since = None;
        while let Some(position) = self.position().await
            && position.source == Source::Peer(parent)
        {
            let state = self.request_update(&mut client, &position).await?;
            let path = state.path_through(parent, &self.me)?;
            let hops = state.path.hops();
            let (limit, patience) = match state.age {
                Some(_) => (MAX_AGE, PATIENCE_PER_HOP * hops),
                None => (Duration::ZERO, EMPTY_PATIENCE),
            };
            if state.age.is_some_and(|age| age <= limit) {
                stale_since = None;
                self.confirm_parent(parent, path).await;
            } else if stale_since.get_or_insert_with(Instant::now).elapsed() >= patience {
                let stale = |age| PeerError::Stale { age, hops };
                return Err(state.age.map_or(PeerError::Empty, stale));
            }
            self.refresh().await;
        }
        Ok(())
    }

    /// Records that the parent has recent updates, so that this instance need not call the store.
    async fn confirm_parent(&mut self, parent: SocketAddrV4, path: SourcePath) {
        self.failures = 0;
        if self.store_use.send_replace(StoreUse::None) != StoreUse::None {
            let hops = path.hops() - 1;
            log::info!("event=leader_followed peer={parent} hops={hops}");
            self.send_command(PublisherCommand::PeerAnswered(parent))
                .await;
        }
        self.send_command(PublisherCommand::SetPath(path)).await;
    }

    /// Gets updates from other instances while the store is unreachable.
    async fn sync_without_store(&mut self) {
        while !*self.store.borrow() && !self.publisher.is_closed() {
            let Some(address) = self.pick_peer().await else {
                sleep(RETRY_DELAY).await;
                continue;
            };
            match self.sync_with_peer(address).await {
                Ok(()) => {}
                Err(error @ PeerError::Sync(_)) => {
                    self.report_failure(address, &error).await;
                    sleep(RETRY_DELAY).await;
                }
                Err(error @ (PeerError::Empty | PeerError::Stale { .. } | PeerError::Cycle)) => {
                    let empty = matches!(error, PeerError::Empty);
                    self.report_stale(address, &error).await;
                    sleep(if empty { RETRY_DELAY } else { STALE_DELAY }).await;
                }
            }
        }
    }

    /// Gets updates from an instance until the store is reachable. Returns an error if the instance
    /// fails or is stale.
    async fn sync_with_peer(&mut self, address: SocketAddrV4) -> Result<(), PeerError> {
        let mut client = SyncClient::connect(address, TIMEOUT).await?;
        log::info!("event=peer_followed peer={address}");
        while !*self.store.borrow() {
            let Some(position) = self.position().await else {
                return Ok(());
            };
            let state = self.request_update(&mut client, &position).await?;
            let age = state.age.ok_or(PeerError::Empty)?;
            if age > MAX_AGE {
                let hops = state.path.hops();
                return Err(PeerError::Stale { age, hops });
            }
            let path = state.path_through(address, &self.me)?;
            self.send_command(PublisherCommand::SetPath(path)).await;
        }
        Ok(())
    }

    /// Requests an update since the known revision.
    async fn request_update(
        &self,
        client: &mut SyncClient,
        position: &Position,
    ) -> Result<PeerState, SyncError> {
        let known = *self.known.borrow();
        let known = known.map_or(Revision::default(), |known| known.revision);
        let request = Request {
            age: position.age,
            digest: position.digest,
            ..self.new_request(Query::Since(known), MAX_WAIT)
        };
        self.call(client, &request).await
    }

    async fn request(
        &self,
        client: &mut SyncClient,
        query: Query,
        max_wait: Duration,
    ) -> Result<PeerState, SyncError> {
        self.call(client, &self.new_request(query, max_wait)).await
    }

    fn new_request(&self, query: Query, max_wait: Duration) -> Request {
        Request {
            query,
            max_wait,
            sender: self.me.clone(),
            age: None,
            digest: 0,
        }
    }

    async fn call(
        &self,
        client: &mut SyncClient,
        request: &Request,
    ) -> Result<PeerState, SyncError> {
        let reply = client.call(request).await?;
        if !reply.peers.is_empty() {
            self.send_command(PublisherCommand::AddPeers(reply.peers))
                .await;
        }
        let state = PeerState {
            age: reply.update.as_ref().map(|update| update.age),
            path: reply.path,
        };
        if let Some(update) = reply.update {
            self.send_command(PublisherCommand::Apply(update)).await;
        }
        Ok(state)
    }

    async fn report_failure(&self, address: SocketAddrV4, error: &PeerError) {
        log::info!(
            "event=peer_lost peer={address} reason={:?}",
            error.to_string()
        );
        self.send_command(PublisherCommand::PeerFailed(address))
            .await;
    }

    async fn report_stale(&self, address: SocketAddrV4, error: &PeerError) {
        log::info!(
            "event=peer_stale peer={address} reason={:?}",
            error.to_string()
        );
        self.send_command(PublisherCommand::PeerStale(address))
            .await;
    }

    /// Returns the position of this instance, or `None` if the publisher has stopped.
    async fn position(&self) -> Option<Position> {
        self.query_publisher(PublisherCommand::GetPosition).await
    }

    async fn pick_peer(&self) -> Option<SocketAddrV4> {
        self.query_publisher(PublisherCommand::PickPeer)
            .await
            .flatten()
    }

    async fn query_publisher<T>(
        &self,
        command: impl FnOnce(oneshot::Sender<T>) -> PublisherCommand,
    ) -> Option<T> {
        let (reply, result) = oneshot::channel();
        self.send_command(command(reply)).await;
        result.await.ok()
    }

    /// Sends a command to the publisher. Sending fails only if the publisher has stopped, which
    /// `run` notices by the missing position.
    async fn send_command(&self, command: PublisherCommand) {
        let _ = self.publisher.send(command).await;
    }
}
