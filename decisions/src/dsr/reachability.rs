//! Probes of backend servers, to detect isolation.

use std::net::SocketAddrV4;

use rand_core::RngCore;
use smallvec::SmallVec;

use crate::time::Time;

use super::balancer::{
    Action,
    Balancer, //
};
use super::decision::Decision;
use super::isolation::{
    PROBES_PER_ROUND,
    START_PROBES, //
};
use super::servers::Registration;

impl Balancer {
    /// Starts the check whether an instance that has started reaches any backend server, once it
    /// knows some.
    pub(super) fn check_start(&mut self, now: Time) {
        let known = self.view.servers.iter().any(|(_, server)| {
            server.registration == Registration::Ready
                && !self.view.evacuated.contains(&server.entry.zone)
        });
        if known && self.isolation.begin_check() {
            self.check_isolation(now);
        }
    }

    /// Starts a round of probes if none ran recently. Called when no backend server answers a flow,
    /// and while the instance is isolated.
    pub(super) fn check_isolation(&mut self, now: Time) {
        if self.isolation.permit_round(now) {
            self.probe(now);
        }
    }

    /// Probes some backend servers, chosen at random: those of other zones, and until one has
    /// answered since the start, those of the own zone too.
    fn probe(&mut self, now: Time) {
        let mut chosen = SmallVec::new();
        if self.isolation.is_unchecked() {
            let (own, other) = START_PROBES;
            self.pick_probes(true, own, &mut chosen);
            self.pick_probes(false, own + other - chosen.len(), &mut chosen);
        } else {
            self.pick_probes(false, PROBES_PER_ROUND, &mut chosen);
        }
        if chosen.is_empty() {
            return;
        }
        self.log.push(Decision::Probe {
            count: chosen.len(),
            view_age: self.view.age(now),
        });
        self.actions.push(Action::Probe(chosen));
    }

    /// Appends at most `count` ready backend servers of the own zone or of other zones. Those of an
    /// evacuated zone are left out until one has answered since the start, as they may not serve.
    fn pick_probes(&mut self, own: bool, count: usize, chosen: &mut SmallVec<[SocketAddrV4; 4]>) {
        let unchecked = self.isolation.is_unchecked();
        let servers = self.view.servers.iter().map(|(_, server)| server);
        let servers = servers.filter(|server| {
            let usable = !unchecked || !self.view.evacuated.contains(&server.entry.zone);
            let local = server.entry.zone == self.zone;
            usable && local == own && server.registration == Registration::Ready
        });
        let mut addresses: Vec<_> = servers.map(|server| server.target.address).collect();
        for _ in 0..count.min(addresses.len()) {
            let index = self.random.next_u32() as usize % addresses.len();
            chosen.push(addresses.swap_remove(index));
        }
    }

    /// Records how many backend servers were probed and how many of them were reached.
    pub fn record_probes(&mut self, now: Time, probed: usize, reached: usize) {
        if !self.isolation.record_round(probed, reached) {
            return;
        }
        let isolated = self.isolation.is_isolated();
        self.log.push(Decision::Isolation {
            isolated,
            probed,
            reached,
        });
        if !isolated {
            self.view.servers.retry_all(now);
            self.zone_health.retry_all(now);
        }
    }
}
