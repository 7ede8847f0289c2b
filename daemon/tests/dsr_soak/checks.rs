//! Checks of the behaviour that clients and backend servers observe.

use std::net::SocketAddr;
use std::time::{
    Duration,
    Instant, //
};

use tokio::time::sleep;

use super::endpoints::{
    Observation,
    Stage, //
};
use super::{
    DAEMONS,
    Soak, //
};

/// Time after the last fault from which checks with a time bound apply to a daemon.
const SETTLE_TIME: Duration = Duration::from_secs(4);
/// Time within which a change in the store must be active.
const MAX_APPLY_TIME: Duration = Duration::from_secs(3);
/// Number of packets of an open flow at other backend servers that counts as a failure.
const MISDELIVERED_LIMIT: u32 = 3;
/// Number of flows opened after the last fault, which must all be served.
pub(super) const RECOVERY_FLOWS: usize = 40;

impl Soak {
    /// Returns whether checks with a time bound apply to the daemon that sent a packet.
    fn is_undisturbed(&self, now: Instant, sender: SocketAddr) -> bool {
        let daemon = (0..DAEMONS).find(|n| self.fleet.packet_address(*n).ip() == sender.ip());
        let settled = |since: Instant| now.duration_since(since) >= SETTLE_TIME;
        daemon.is_some_and(|n| !self.down[n] && settled(self.last_disturbed[n]))
            && settled(self.store_disturbed)
    }

    /// Checks one observation and records a failure if it violates a guarantee.
    pub(super) fn check_observation(&mut self, now: Instant, observation: Observation) {
        match observation {
            Observation::Syn {
                port,
                server,
                sender,
            } => {
                let backend = self.servers.iter().find(|s| s.identity == server);
                let drained = backend.and_then(|server| server.drained);
                let late = drained.is_some_and(|since| now.duration_since(since) > MAX_APPLY_TIME);
                if late && self.is_undisturbed(now, sender) {
                    self.record_failure(format!(
                        "flow {port} opened at draining {server} by {sender}"
                    ));
                }
                let service = self.clients.flows.get(&port).map(|flow| flow.service);
                let mut routes = self.routes.iter();
                let route = routes.find(|route| Some(route.service) == service);
                let removed = route.and_then(|route| route.removed);
                let late = removed.is_some_and(|since| now.duration_since(since) > MAX_APPLY_TIME);
                if late && self.is_undisturbed(now, sender) {
                    self.record_failure(format!(
                        "flow {port} opened on a removed route by {sender}"
                    ));
                }
            }
            Observation::Data { port, server } => {
                let Some(flow) = self.clients.flows.get_mut(&port) else {
                    return;
                };
                if matches!(flow.stage, Stage::Open(own) if own != server) {
                    flow.misdelivered += 1;
                    if flow.misdelivered == MISDELIVERED_LIMIT {
                        self.record_failure(format!(
                            "packets of flow {port} were sent to {server}"
                        ));
                    }
                }
            }
            Observation::Reset { port, sender } => {
                let stage = self.clients.flows.get(&port).map(|flow| flow.stage);
                let Some(Stage::Open(own)) = stage else {
                    return;
                };
                let alive = self
                    .servers
                    .iter()
                    .any(|s| s.identity == own && !s.unresponsive);
                if alive && self.is_undisturbed(now, sender) {
                    self.record_failure(format!("open flow {port} at {own} was reset by {sender}"));
                }
            }
        }
    }

    /// Opens flows after the last fault and checks that all of them are served.
    pub(super) async fn check_recovery(&mut self) {
        let now = Instant::now();
        let service = self.routes[0].service;
        let ports: Vec<u16> = (0..RECOVERY_FLOWS)
            .map(|_| self.clients.open(now, service))
            .collect();
        let deadline = now + Duration::from_secs(6);
        while Instant::now() < deadline {
            self.step(Instant::now());
            sleep(Duration::from_millis(2)).await;
        }
        for port in ports {
            let stage = self.clients.flows[&port].stage;
            if stage != Stage::Finished {
                self.record_failure(format!("flow {port} after the last fault: {stage:?}"));
            }
        }
    }

    /// Checks that no daemon has exited by itself or panicked.
    pub(super) fn check_processes(&mut self) {
        for daemon in 0..DAEMONS {
            if self.fleet.has_exited(daemon) {
                self.record_failure(format!("daemon {daemon} exited by itself"));
            }
            if self.fleet.read_log(daemon).contains("panicked") {
                self.record_failure(format!("daemon {daemon} panicked"));
            }
        }
    }
}
