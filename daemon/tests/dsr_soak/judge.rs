//! What must hold, judged by what clients and backend servers see.

use std::net::SocketAddr;
use std::time::{
    Duration,
    Instant, //
};

use tokio::time::sleep;

use super::ends::{
    Sight,
    Stage, //
};
use super::{
    DAEMONS,
    Soak, //
};

/// Rules with a time bound hold for daemons that were left alone for this long.
const CONTACT: Duration = Duration::from_secs(4);
/// When a change of the store must be in force.
const APPLY: Duration = Duration::from_secs(3);
/// How many packets of an open flow may reach other backend servers.
const STRAYS: u32 = 3;
/// Flows after the storm that must all be served.
pub(super) const CHECKS: usize = 40;

impl Soak {
    /// Returns whether rules with a time bound hold for a daemon.
    fn is_calm(&self, now: Instant, by: SocketAddr) -> bool {
        let daemon = (0..DAEMONS).find(|n| self.fleet.packet_address(*n).ip() == by.ip());
        let calm = |since: Instant| now.duration_since(since) >= CONTACT;
        daemon.is_some_and(|n| !self.down[n] && calm(self.touched[n])) && calm(self.store_touched)
    }

    pub(super) fn judge(&mut self, now: Instant, sight: Sight) {
        match sight {
            Sight::Opening { port, server, by } => {
                let drained = self.servers.iter().find(|s| s.number == server);
                let drained = drained.and_then(|server| server.drained);
                let late = drained.is_some_and(|since| now.duration_since(since) > APPLY);
                if late && self.is_calm(now, by) {
                    self.fail(format!("flow {port} opened at draining {server} by {by}"));
                }
                let service = self.clients.flows.get(&port).map(|flow| flow.service);
                let mut routes = self.routes.iter();
                let route = routes.find(|route| Some(route.service) == service);
                let removed = route.and_then(|route| route.removed);
                let late = removed.is_some_and(|since| now.duration_since(since) > APPLY);
                if late && self.is_calm(now, by) {
                    self.fail(format!("flow {port} opened on a removed route by {by}"));
                }
            }
            Sight::Data { port, server } => {
                let Some(flow) = self.clients.flows.get_mut(&port) else {
                    return;
                };
                if matches!(flow.stage, Stage::Open(own) if own != server) {
                    flow.strays += 1;
                    if flow.strays == STRAYS {
                        self.fail(format!("packets of flow {port} went to {server}"));
                    }
                }
            }
            Sight::Reset { port, by } => {
                let stage = self.clients.flows.get(&port).map(|flow| flow.stage);
                let Some(Stage::Open(own)) = stage else {
                    return;
                };
                let alive = self.servers.iter().any(|s| s.number == own && !s.silent);
                if alive && self.is_calm(now, by) {
                    self.fail(format!("open flow {port} at {own} was reset by {by}"));
                }
            }
        }
    }

    /// After the storm, each flow must be served.
    pub(super) async fn check_service(&mut self) {
        let now = Instant::now();
        let service = self.routes[0].service;
        let ports: Vec<u16> = (0..CHECKS)
            .map(|_| self.clients.open(now, service))
            .collect();
        let end = now + Duration::from_secs(6);
        while Instant::now() < end {
            self.exchange(Instant::now());
            sleep(Duration::from_millis(2)).await;
        }
        for port in ports {
            let stage = self.clients.flows[&port].stage;
            if stage != Stage::Finished {
                self.fail(format!("flow {port} after the storm: {stage:?}"));
            }
        }
    }

    pub(super) fn check_processes(&mut self) {
        for daemon in 0..DAEMONS {
            if self.fleet.has_exited(daemon) {
                self.fail(format!("daemon {daemon} ended by itself"));
            }
            if self.fleet.read_log(daemon).contains("panicked") {
                self.fail(format!("daemon {daemon} panicked"));
            }
        }
    }
}
