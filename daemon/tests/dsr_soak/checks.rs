//! Checks of the packets that clients and backend servers receive, and of the daemon processes.

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

/// Time for which neither the daemon that sent a packet nor the store must have had a fault begin
/// or end before the checks of SYNs and resets apply to the packet.
const SETTLE_TIME: Duration = Duration::from_secs(4);
/// Maximum time from a change in the store, the draining of a backend server or the removal of a
/// route, until daemons apply it.
const MAX_APPLY_TIME: Duration = Duration::from_secs(3);
/// Number of packets of an open flow received by other backend servers at which the flow counts as
/// misdelivered. Fewer are allowed.
const MISDELIVERED_LIMIT: u32 = 3;
/// Number of flows opened after the quiet phase, when all injected faults have ended. All of them
/// must finish.
pub(super) const RECOVERY_FLOWS: usize = 40;

impl Soak {
    /// Returns whether the daemon that sent a packet runs, and [`SETTLE_TIME`] has passed since a
    /// fault of that daemon or of the store began or ended.
    fn is_undisturbed(&self, now: Instant, sender: SocketAddr) -> bool {
        let daemon = (0..DAEMONS).find(|n| self.fleet.packet_address(*n).ip() == sender.ip());
        let settled = |since: Instant| now.duration_since(since) >= SETTLE_TIME;
        daemon.is_some_and(|n| !self.down[n] && settled(self.last_disturbed[n]))
            && settled(self.store_disturbed)
    }

    /// Checks one observation. Records a failure if a flow was opened at a draining backend server
    /// or on a removed route, if packets of an open flow reached other servers, or if an open flow
    /// of a responsive server was reset.
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
                if matches!(flow.stage, Stage::Open(expected) if expected != server) {
                    flow.misdelivered += 1;
                    if flow.misdelivered == MISDELIVERED_LIMIT {
                        self.record_failure(format!(
                            "packets of open flow {port} reached the wrong server {server}"
                        ));
                    }
                }
            }
            Observation::Reset { port, sender } => {
                let stage = self.clients.flows.get(&port).map(|flow| flow.stage);
                let Some(Stage::Open(expected)) = stage else {
                    return;
                };
                let responsive = self
                    .servers
                    .iter()
                    .any(|s| s.identity == expected && !s.unresponsive);
                if responsive && self.is_undisturbed(now, sender) {
                    self.record_failure(format!(
                        "open flow {port} at responsive server {expected} was reset by {sender}"
                    ));
                }
            }
        }
    }

    /// Opens flows after the quiet phase and checks that all of them finish.
    pub(super) async fn check_recovery(&mut self) {
        let now = Instant::now();
        let service = self.routes[0].service;
        let ports: Vec<u16> = (0..RECOVERY_FLOWS)
            .map(|_| self.clients.open(now, service))
            .collect();
        // The maximum time in which all of these flows must finish.
        let deadline = now + Duration::from_secs(6);
        while Instant::now() < deadline {
            self.step(Instant::now());
            sleep(Duration::from_millis(2)).await;
        }
        for port in ports {
            let stage = self.clients.flows[&port].stage;
            if stage != Stage::Finished {
                self.record_failure(format!(
                    "flow {port} opened after the quiet phase did not finish: {stage:?}"
                ));
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
