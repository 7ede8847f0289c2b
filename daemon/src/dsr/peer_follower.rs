//! Follows other instances: the one of the zone that follows the store for all, or any while the
//! store is out of reach.

use std::net::SocketAddrV4;
use std::time::Duration;

use lovagespindle_decisions::dsr::news::Revision;
use lovagespindle_decisions::dsr::peers::Peer;
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

use crate::dsr::publisher::Order;

/// How long the store may be out of reach before another instance is followed. At the start, the
/// store answers within 60 ms.
const GRACE: Duration = Duration::from_millis(150);

/// How long a connection to another instance and its reply may take, several times the way between
/// the most distant zones.
const PATIENCE: Duration = Duration::from_millis(400);

/// How long another instance may wait for news before it replies. With [`PATIENCE`], it bounds how
/// long the silence of the instance that is followed goes unnoticed.
const WAIT: Duration = Duration::from_millis(500);

/// The oldest word of the store that is taken from the instance that follows it. A watch confirms
/// once a second, and a slow store answers within a quarter of a second. With the wait for replies,
/// changes are known in 2 s, and 3 s are allowed.
const MAX_AGE: Duration = Duration::from_millis(1_500);

/// The time between two looks at which instance follows the store.
const ELECTION: Duration = Duration::from_secs(1);

/// The time between two exchanges that only keep the instances in touch.
const REFRESH: Duration = Duration::from_secs(5);

/// The pause after an instance did not answer.
const PAUSE: Duration = Duration::from_millis(100);

/// The pause after an instance turned out to have no recent word of the store. While nobody reaches
/// the store, instances ask each other in turn.
const STALE_PAUSE: Duration = Duration::from_millis(500);

/// Why an instance is not followed any more.
#[derive(Debug, thiserror::Error)]
enum FollowError {
    #[error(transparent)]
    News(#[from] SyncError),
    #[error("its word of the store is {0:?} old")]
    Old(Duration),
    #[error("it has no word of the store")]
    Empty,
}

/// Follows other instances.
pub struct PeerFollower {
    me: Peer,
    seeds: Vec<SocketAddrV4>,
    publisher: mpsc::Sender<Order>,
    known: watch::Receiver<Option<Revision>>,
    /// Says whether this instance follows the store itself.
    duty: watch::Sender<bool>,
    /// Whether the store is reached.
    store: watch::Receiver<bool>,
    refreshed: Instant,
}

impl PeerFollower {
    /// Creates a follower of other instances.
    pub fn new(
        me: Peer,
        seeds: Vec<SocketAddrV4>,
        publisher: mpsc::Sender<Order>,
        known: watch::Receiver<Option<Revision>>,
        duty: watch::Sender<bool>,
        store: watch::Receiver<bool>,
    ) -> PeerFollower {
        PeerFollower {
            me,
            seeds,
            publisher,
            known,
            duty,
            store,
            refreshed: Instant::now(),
        }
    }

    /// Follows other instances until the publisher has ended.
    pub async fn run(mut self) {
        for seed in self.seeds.clone() {
            self.meet(seed).await;
        }
        while !self.publisher.is_closed() {
            // Ends early when the store is lost.
            let lost = timeout(ELECTION, self.store.wait_for(|reached| !reached)).await;
            if lost.map(drop).is_ok() {
                sleep(GRACE).await;
                self.replace_store().await;
            } else if let Some(leader) = self.ask_publisher(Order::Lead).await {
                self.obey_leader(leader).await;
            } else {
                self.refresh().await;
            }
        }
    }

    /// Keeps in touch with a seed or another instance from time to time.
    async fn refresh(&mut self) {
        if self.refreshed.elapsed() < REFRESH {
            return;
        }
        self.refreshed = Instant::now();
        if let Some(address) = self.ask_publisher(Order::Pick).await {
            self.meet(address).await;
        }
    }

    /// Exchanges the names of instances, and no news.
    async fn meet(&mut self, address: SocketAddrV4) {
        let met = async {
            let mut client = SyncClient::connect(address, PATIENCE).await?;
            self.ask(&mut client, Query::Peers, Duration::ZERO).await
        };
        if let Err(error) = met.await {
            self.fail(address, &error.into()).await;
        }
    }

    /// Takes the store's news from the instance that follows it, until its word is old or it fails.
    /// Then this instance follows the store itself.
    async fn obey_leader(&mut self, leader: SocketAddrV4) {
        let followed = self.follow_leader(leader).await;
        self.duty.send_replace(true);
        if let Err(error) = followed {
            self.fail(leader, &error).await;
        }
    }

    async fn follow_leader(&mut self, leader: SocketAddrV4) -> Result<(), FollowError> {
        let mut client = SyncClient::connect(leader, PATIENCE).await?;
        while self.ask_publisher(Order::Lead).await == Some(leader) {
            let age = self
                .ask_news(&mut client)
                .await?
                .ok_or(FollowError::Empty)?;
            if age > MAX_AGE {
                return Err(FollowError::Old(age));
            }
            if self.duty.send_replace(false) {
                log::info!("event=leader_followed peer={leader}");
            }
            self.refresh().await;
        }
        Ok(())
    }

    /// Follows other instances while the store is out of reach.
    async fn replace_store(&mut self) {
        while !*self.store.borrow() && !self.publisher.is_closed() {
            let Some(address) = self.ask_publisher(Order::Pick).await else {
                sleep(PAUSE).await;
                continue;
            };
            match self.follow(address).await {
                Ok(()) => {}
                Err(error @ FollowError::News(_)) => {
                    self.fail(address, &error).await;
                    sleep(PAUSE).await;
                }
                Err(error @ (FollowError::Empty | FollowError::Old(_))) => {
                    let empty = matches!(error, FollowError::Empty);
                    log::info!(
                        "event=peer_stale peer={address} reason={:?}",
                        error.to_string()
                    );
                    self.tell(Order::Stale(address)).await;
                    sleep(if empty { PAUSE } else { STALE_PAUSE }).await;
                }
            }
        }
    }

    /// Follows an instance until it fails, its word of the store is old, or the store is reached.
    async fn follow(&mut self, address: SocketAddrV4) -> Result<(), FollowError> {
        let mut client = SyncClient::connect(address, PATIENCE).await?;
        log::info!("event=peer_followed peer={address}");
        while !*self.store.borrow() {
            let age = self.ask_news(&mut client).await?;
            let age = age.ok_or(FollowError::Empty)?;
            if age > MAX_AGE {
                return Err(FollowError::Old(age));
            }
        }
        Ok(())
    }

    /// Asks for news since what is known. Returns how old the other's word of the store is.
    async fn ask_news(&self, client: &mut SyncClient) -> Result<Option<Duration>, SyncError> {
        let known = self.known.borrow().unwrap_or_default();
        self.ask(client, Query::Since(known), WAIT).await
    }

    async fn ask(
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
        self.tell(Order::Meet(reply.peers)).await;
        let age = reply.update.as_ref().map(|bulletin| bulletin.age);
        if let Some(bulletin) = reply.update {
            self.tell(Order::Learn(bulletin)).await;
        }
        Ok(age)
    }

    async fn fail(&self, address: SocketAddrV4, error: &FollowError) {
        log::info!(
            "event=peer_lost peer={address} reason={:?}",
            error.to_string()
        );
        self.tell(Order::Failed(address)).await;
    }

    async fn ask_publisher(
        &self,
        order: impl FnOnce(oneshot::Sender<Option<SocketAddrV4>>) -> Order,
    ) -> Option<SocketAddrV4> {
        let (reply, answer) = oneshot::channel();
        self.tell(order(reply)).await;
        answer.await.ok().flatten()
    }

    /// Fails only if the publisher has ended, which the caller finds out.
    async fn tell(&self, order: Order) {
        let _ = self.publisher.send(order).await;
    }
}
