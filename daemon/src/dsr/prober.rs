//! Probes whether backend servers accept TCP connections.

use std::net::SocketAddrV4;
use std::time::Duration;

use futures::future::join_all;
use kameo::actor::WeakActorRef;
use smallvec::SmallVec;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::dsr::forwarder::Forwarder;

/// Time after which a connection attempt has failed: several times the latency between the most
/// distant zones, and long enough for at most one retransmission by the operating system.
const TIMEOUT: Duration = Duration::from_millis(300);

/// Result of a round of probes.
pub struct ProbeResult {
    /// Number of backend servers probed.
    pub attempted: usize,
    /// Number of backend servers that accepted a connection.
    pub reached: usize,
}

/// Starts a task that probes all addresses and reports to the forwarder.
pub fn start(addresses: SmallVec<[SocketAddrV4; 4]>, forwarder: WeakActorRef<Forwarder>) {
    tokio::spawn(async move {
        let results = join_all(addresses.iter().map(is_reachable)).await;
        let outcome = ProbeResult {
            attempted: results.len(),
            reached: results.iter().filter(|reached| **reached).count(),
        };
        if let Some(forwarder) = forwarder.upgrade() {
            // Fails only if the forwarder has stopped.
            let _ = forwarder.tell(outcome).await;
        }
    });
}

/// Returns whether a connection was accepted. A refused connection counts as unreachable, because a
/// partition in the network may refuse it as well.
async fn is_reachable(address: &SocketAddrV4) -> bool {
    let reason = match timeout(TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(_)) => return true,
        Ok(Err(error)) => error.to_string(),
        Err(_) => "timed out".to_owned(),
    };
    log::info!("event=probe_failed address={address} reason={reason:?}");
    false
}
