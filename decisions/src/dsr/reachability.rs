//! Probes of backend servers of other zones, to detect isolation.

use rand_core::RngCore;
use smallvec::SmallVec;

use crate::time::Time;

use super::balancer::{
    Action,
    Balancer, //
};
use super::decision::Decision;
use super::isolation::PROBES_PER_ROUND;
use super::servers::Registration;

impl Balancer {
    /// Starts a round of probes if none ran recently. Called when no backend server answers a flow,
    /// and while the instance is isolated.
    pub(super) fn check_isolation(&mut self, now: Time) {
        if self.isolation.permit_round(now) {
            self.probe(now);
        }
    }

    /// Probes some backend servers of other zones, chosen at random.
    fn probe(&mut self, now: Time) {
        let remote = self.view.servers.iter().map(|(_, server)| server);
        let remote =
            remote.filter(|s| s.entry.zone != self.zone && s.registration == Registration::Ready);
        let mut addresses: Vec<_> = remote.map(|server| server.target.address).collect();
        let mut chosen = SmallVec::new();
        while chosen.len() < PROBES_PER_ROUND && !addresses.is_empty() {
            let index = self.random.next_u32() as usize % addresses.len();
            chosen.push(addresses.swap_remove(index));
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
