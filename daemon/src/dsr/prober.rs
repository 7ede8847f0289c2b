//! Probes whether backend servers accept TCP connections.

use std::io;
use std::net::SocketAddrV4;
use std::time::Duration;

use futures::future::select_all;
use futures::stream::{
    FuturesUnordered,
    StreamExt, //
};
use kameo::actor::WeakActorRef;
use lovagespindle_decisions::Time;
use lovagespindle_decisions::dsr::server_loss::{
    ProbeAnswer,
    ServerProbe, //
};
use lovagespindle_decisions::dsr::servers::ServerKey;
use smallvec::SmallVec;
use tokio::net::TcpStream;
use tokio::time::{
    sleep,
    timeout, //
};

use crate::dsr::forwarder::Forwarder;

/// Time after which a connection attempt has failed: several times the latency between the most
/// distant zones, and long enough for at most one retransmission by the operating system.
const TIMEOUT: Duration = Duration::from_millis(300);

/// Timeout of a probe of a server that does not answer a client. Clients wait meanwhile, so it is
/// shorter than [`TIMEOUT`]; it is several times the round-trip time between the most distant zones.
const SERVER_TIMEOUT: Duration = Duration::from_millis(100);

/// Delays of the connection attempts of such a probe. On a link that loses 3 % of the packets, all
/// three fail with a probability of 0.0002.
const ATTEMPTS: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(25),
    Duration::from_millis(50),
];

/// Result of a round of probes.
pub struct ProbeResult {
    /// Number of backend servers probed.
    pub attempted: usize,
    /// 1 if any backend server accepted a connection, otherwise 0.
    pub reached: usize,
}

/// Starts a task that probes all addresses and reports to the forwarder, as soon as one of them has
/// accepted a connection.
pub fn start(addresses: SmallVec<[SocketAddrV4; 4]>, forwarder: WeakActorRef<Forwarder>) {
    tokio::spawn(async move {
        let mut probes: FuturesUnordered<_> = addresses.iter().map(is_reachable).collect();
        let mut reached = 0;
        while let Some(accepted) = probes.next().await {
            if accepted {
                reached = 1;
                break;
            }
        }
        let outcome = ProbeResult {
            attempted: addresses.len(),
            reached,
        };
        if let Some(forwarder) = forwarder.upgrade() {
            // Fails only if the forwarder has stopped.
            let _ = forwarder.tell(outcome).await;
        }
    });
}

/// Starts a task that probes one backend server and reports to the forwarder.
pub fn start_server_probe(
    server: ServerKey,
    address: SocketAddrV4,
    started_at: Time,
    forwarder: WeakActorRef<Forwarder>,
) {
    tokio::spawn(async move {
        let result = ServerProbe {
            server,
            started_at,
            answer: probe_server(address).await,
        };
        if let Some(forwarder) = forwarder.upgrade() {
            // Fails only if the forwarder has stopped.
            let _ = forwarder.tell(result).await;
        }
    });
}

/// Tries to connect several times, with short delays. Returns the first answer.
async fn probe_server(address: SocketAddrV4) -> ProbeAnswer {
    let attempts = ATTEMPTS.map(|delay| {
        Box::pin(async move {
            sleep(delay).await;
            TcpStream::connect(address).await
        })
    });
    let first = async { select_all(attempts).await.0 };
    match timeout(SERVER_TIMEOUT, first).await {
        Ok(Ok(_)) => ProbeAnswer::Accepted,
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => ProbeAnswer::Refused,
        Ok(Err(error)) => {
            log::info!("event=probe_failed address={address} reason={error:?}");
            ProbeAnswer::Silent
        }
        Err(_) => ProbeAnswer::Silent,
    }
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
