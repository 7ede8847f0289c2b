//! Follows another instance while the store is not reached, and keeps the instances in touch.

use std::net::SocketAddrV4;
use std::time::Duration;

use lovagespindle_decisions::dsr::news::Revision;
use lovagespindle_decisions::dsr::peers::Peer;
use lovagespindle_instances::news::{
    Request,
    Wanted, //
};
use lovagespindle_instances::news_link::{
    NewsClient,
    NewsError, //
};
use tokio::sync::{
    mpsc,
    oneshot,
    watch, //
};
use tokio::time::{
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

/// How long another instance may wait for news before it replies.
const WAIT: Duration = Duration::from_secs(1);

/// The time between two exchanges that only keep the instances in touch.
const REFRESH: Duration = Duration::from_secs(5);

/// The pause after an instance did not answer.
const PAUSE: Duration = Duration::from_millis(100);

/// Asks other instances.
pub struct PeerFollower {
    me: Peer,
    seeds: Vec<SocketAddrV4>,
    publisher: mpsc::Sender<Order>,
    known: watch::Receiver<Option<Revision>>,
    /// Whether the store is reached.
    store: watch::Receiver<bool>,
}

impl PeerFollower {
    /// Creates a follower of other instances.
    pub fn new(
        me: Peer,
        seeds: Vec<SocketAddrV4>,
        publisher: mpsc::Sender<Order>,
        known: watch::Receiver<Option<Revision>>,
        store: watch::Receiver<bool>,
    ) -> PeerFollower {
        PeerFollower {
            me,
            seeds,
            publisher,
            known,
            store,
        }
    }

    /// Asks other instances until the publisher has ended.
    pub async fn run(mut self) {
        for seed in self.seeds.clone() {
            self.meet(seed).await;
        }
        while !self.publisher.is_closed() {
            // Ends early when the store is lost; the wait below looks again.
            let lost = timeout(REFRESH, self.store.wait_for(|reached| !reached)).await;
            if lost.map(drop).is_err() {
                if let Some(address) = self.pick().await {
                    self.meet(address).await;
                }
                continue;
            }
            sleep(GRACE).await;
            self.follow_until_store().await;
        }
    }

    /// Exchanges the names of instances, and no news.
    async fn meet(&mut self, address: SocketAddrV4) {
        let met = async {
            let mut client = NewsClient::connect(address, PATIENCE).await?;
            self.ask(&mut client, Wanted::Peers, Duration::ZERO).await
        };
        if let Err(error) = met.await {
            self.fail(address, &error).await;
        }
    }

    async fn follow_until_store(&mut self) {
        while !*self.store.borrow() && !self.publisher.is_closed() {
            let Some(address) = self.pick().await else {
                sleep(PAUSE).await;
                continue;
            };
            if let Err(error) = self.follow(address).await {
                self.fail(address, &error).await;
                sleep(PAUSE).await;
            }
        }
    }

    /// Follows an instance until it fails or the store is reached.
    async fn follow(&mut self, address: SocketAddrV4) -> Result<(), NewsError> {
        let mut client = NewsClient::connect(address, PATIENCE).await?;
        log::info!("event=peer_followed peer={address}");
        while !*self.store.borrow() {
            let known = self.known.borrow().unwrap_or_default();
            self.ask(&mut client, Wanted::Since(known), WAIT).await?;
        }
        Ok(())
    }

    async fn ask(
        &self,
        client: &mut NewsClient,
        wanted: Wanted,
        wait: Duration,
    ) -> Result<(), NewsError> {
        let request = Request {
            wanted,
            wait,
            sender: self.me.clone(),
        };
        let reply = client.ask(&request).await?;
        self.tell(Order::Meet(reply.peers)).await;
        if let Some(bulletin) = reply.bulletin {
            self.tell(Order::Learn(bulletin)).await;
        }
        Ok(())
    }

    async fn fail(&self, address: SocketAddrV4, error: &NewsError) {
        log::info!(
            "event=peer_lost peer={address} reason={:?}",
            error.to_string()
        );
        self.tell(Order::Failed(address)).await;
    }

    async fn pick(&self) -> Option<SocketAddrV4> {
        let (reply, picked) = oneshot::channel();
        self.tell(Order::Pick(reply)).await;
        picked.await.ok().flatten()
    }

    /// Fails only if the publisher has ended, which the caller finds out.
    async fn tell(&self, order: Order) {
        let _ = self.publisher.send(order).await;
    }
}
