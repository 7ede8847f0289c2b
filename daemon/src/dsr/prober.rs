//! Probes of backend servers: whether they can be connected to at all.

use std::net::SocketAddrV4;
use std::time::Duration;

use futures::future::join_all;
use kameo::actor::WeakActorRef;
use smallvec::SmallVec;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::dsr::forwarder::Forwarder;

/// How long a connection may take: several times the way between the most distant zones, and one
/// retransmission of the system's at the latest.
const PATIENCE: Duration = Duration::from_millis(300);

/// The outcome of a round of probes.
pub struct ProbeResult {
    /// How many backend servers were probed.
    pub attempted: usize,
    /// How many of them were reached.
    pub reached: usize,
}

/// Starts a round of probes that reports to the forwarder.
pub fn start(addresses: SmallVec<[SocketAddrV4; 4]>, forwarder: WeakActorRef<Forwarder>) {
    tokio::spawn(async move {
        let results = join_all(addresses.iter().map(reach)).await;
        let outcome = ProbeResult {
            attempted: results.len(),
            reached: results.iter().filter(|reached| **reached).count(),
        };
        if let Some(forwarder) = forwarder.upgrade() {
            // Fails only if the forwarder has ended.
            let _ = forwarder.tell(outcome).await;
        }
    });
}

/// A refusal does not count: a cut on the way may cause it as well.
async fn reach(address: &SocketAddrV4) -> bool {
    let reason = match timeout(PATIENCE, TcpStream::connect(address)).await {
        Ok(Ok(_)) => return true,
        Ok(Err(error)) => error.to_string(),
        Err(_) => "no answer in time".to_owned(),
    };
    log::info!("event=probe_failed address={address} reason={reason:?}");
    false
}
