//! Gets updates from other instances: from the leader of the zone, which watches the store for the
//! others, or from any instance while the store is unreachable.

use std::net::SocketAddrV4;
use std::time::Duration;

use lovagespindle_decisions::dsr::peers::Peer;
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

use crate::dsr::publisher::PublisherCommand;

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
/// arrives within 2 s; 3 s are allowed.
const MAX_AGE: Duration = Duration::from_millis(1_500);

/// Interval between two checks of which instance is the leader.
const LEADER_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between two exchanges of known peers.
const REFRESH_INTERVAL: Duration = Duration::from_secs(5);

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
    #[error("last confirmed by the store {0:?} ago")]
    Stale(Duration),
    #[error("no documents from the store")]
    Empty,
}

/// Gets updates from other instances and keeps the list of known peers up to date.
pub struct PeerSync {
    me: Peer,
    seeds: Vec<SocketAddrV4>,
    publisher: mpsc::Sender<PublisherCommand>,
    known: watch::Receiver<Option<Revision>>,
    /// Set to whether this instance watches the store for its zone.
    is_leader: watch::Sender<bool>,
    /// Whether the store is reachable.
    store: watch::Receiver<bool>,
    last_refresh: Instant,
}

impl PeerSync {
    /// Creates a task that sends updates and known peers to the publisher.
    pub fn new(
        me: Peer,
        seeds: Vec<SocketAddrV4>,
        publisher: mpsc::Sender<PublisherCommand>,
        known: watch::Receiver<Option<Revision>>,
        is_leader: watch::Sender<bool>,
        store: watch::Receiver<bool>,
    ) -> PeerSync {
        PeerSync {
            me,
            seeds,
            publisher,
            known,
            is_leader,
            store,
            last_refresh: Instant::now(),
        }
    }

    /// Runs until the publisher has stopped.
    pub async fn run(mut self) {
        for seed in self.seeds.clone() {
            self.exchange_peers(seed).await;
        }
        while !self.publisher.is_closed() {
            // Returns early when the store becomes unreachable.
            let lost = timeout(LEADER_INTERVAL, self.store.wait_for(|reachable| !reachable)).await;
            if lost.map(drop).is_ok() {
                sleep(STORE_GRACE).await;
                self.sync_without_store().await;
            } else if let Some(leader) = self.query_publisher(PublisherCommand::GetLeader).await {
                self.use_leader(leader).await;
            } else {
                self.refresh().await;
            }
        }
    }

    /// Exchanges known peers with one instance if [`REFRESH_INTERVAL`] has passed.
    async fn refresh(&mut self) {
        if self.last_refresh.elapsed() < REFRESH_INTERVAL {
            return;
        }
        self.last_refresh = Instant::now();
        if let Some(address) = self.query_publisher(PublisherCommand::PickPeer).await {
            self.exchange_peers(address).await;
        }
    }

    /// Exchanges known peers with an instance, without an update.
    async fn exchange_peers(&mut self, address: SocketAddrV4) {
        let exchange = async {
            let mut client = SyncClient::connect(address, TIMEOUT).await?;
            self.request(&mut client, Query::Peers, Duration::ZERO)
                .await
        };
        if let Err(error) = exchange.await {
            self.report_failure(address, &error.into()).await;
        }
    }

    /// Gets updates from the leader until it changes, is stale or fails. Then this instance watches
    /// the store itself.
    async fn use_leader(&mut self, leader: SocketAddrV4) {
        let synced = self.sync_with_leader(leader).await;
        self.is_leader.send_replace(true);
        if let Err(error) = synced {
            self.report_failure(leader, &error).await;
        }
    }

    async fn sync_with_leader(&mut self, leader: SocketAddrV4) -> Result<(), PeerError> {
        let mut client = SyncClient::connect(leader, TIMEOUT).await?;
        while self.query_publisher(PublisherCommand::GetLeader).await == Some(leader) {
            let age = self
                .request_update(&mut client)
                .await?
                .ok_or(PeerError::Empty)?;
            if age > MAX_AGE {
                return Err(PeerError::Stale(age));
            }
            if self.is_leader.send_replace(false) {
                log::info!("event=leader_followed peer={leader}");
            }
            self.refresh().await;
        }
        Ok(())
    }

    /// Gets updates from other instances while the store is unreachable.
    async fn sync_without_store(&mut self) {
        while !*self.store.borrow() && !self.publisher.is_closed() {
            let Some(address) = self.query_publisher(PublisherCommand::PickPeer).await else {
                sleep(RETRY_DELAY).await;
                continue;
            };
            match self.sync_with_peer(address).await {
                Ok(()) => {}
                Err(error @ PeerError::Sync(_)) => {
                    self.report_failure(address, &error).await;
                    sleep(RETRY_DELAY).await;
                }
                Err(error @ (PeerError::Empty | PeerError::Stale(_))) => {
                    let empty = matches!(error, PeerError::Empty);
                    log::info!(
                        "event=peer_stale peer={address} reason={:?}",
                        error.to_string()
                    );
                    self.send_command(PublisherCommand::PeerStale(address))
                        .await;
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
            let age = self.request_update(&mut client).await?;
            let age = age.ok_or(PeerError::Empty)?;
            if age > MAX_AGE {
                return Err(PeerError::Stale(age));
            }
        }
        Ok(())
    }

    /// Requests an update since the known revision. Returns the age of the other instance's last
    /// confirmation by the store, or `None` if it has no documents.
    async fn request_update(&self, client: &mut SyncClient) -> Result<Option<Duration>, SyncError> {
        let known = self.known.borrow().unwrap_or_default();
        self.request(client, Query::Since(known), MAX_WAIT).await
    }

    async fn request(
        &self,
        client: &mut SyncClient,
        query: Query,
        max_wait: Duration,
    ) -> Result<Option<Duration>, SyncError> {
        let request = Request {
            query,
            max_wait,
            sender: self.me.clone(),
        };
        let reply = client.call(&request).await?;
        self.send_command(PublisherCommand::AddPeers(reply.peers))
            .await;
        let age = reply.update.as_ref().map(|update| update.age);
        if let Some(update) = reply.update {
            self.send_command(PublisherCommand::Apply(update)).await;
        }
        Ok(age)
    }

    async fn report_failure(&self, address: SocketAddrV4, error: &PeerError) {
        log::info!(
            "event=peer_lost peer={address} reason={:?}",
            error.to_string()
        );
        self.send_command(PublisherCommand::PeerFailed(address))
            .await;
    }

    async fn query_publisher(
        &self,
        command: impl FnOnce(oneshot::Sender<Option<SocketAddrV4>>) -> PublisherCommand,
    ) -> Option<SocketAddrV4> {
        let (reply, result) = oneshot::channel();
        self.send_command(command(reply)).await;
        result.await.ok().flatten()
    }

    /// Sends a command to the publisher. Sending fails only if the publisher has stopped, which
    /// `run` checks.
    async fn send_command(&self, command: PublisherCommand) {
        let _ = self.publisher.send(command).await;
    }
}
