//! The platform's routers: which instance gets a packet.

use std::hash::Hasher;
use std::time::Duration;

use siphasher::sip::SipHasher13;

use super::clients::FlowKey;
use super::machines::{
    MachineKey,
    State, //
};
use super::site::Hashing;
use super::world::{
    Event,
    Policy,
    World, //
};

/// The time between two checks of an instance.
pub(super) const CHECK: Duration = Duration::from_millis(500);

/// So many failed checks take an instance out of rotation.
const MISSES: u32 = 2;

impl World {
    pub(super) fn check_readiness(&mut self) {
        for machine in &mut self.machines {
            let ready = machine.state == State::Up && machine.is_ready();
            machine.misses = if ready { 0 } else { machine.misses + 1 };
            if let Some(shutdown) = &mut machine.shutdown {
                shutdown.record_failed_check();
            }
            if ready {
                machine.rotated = true;
            } else if machine.misses >= MISSES {
                machine.rotated = false;
            }
        }
        self.send(CHECK, Event::Check);
    }

    /// Returns the instance that gets the packets of a flow.
    pub(super) fn route(&self, flow: FlowKey) -> Option<MachineKey> {
        let zone = self.flows[flow.0].zone;
        let zones = (0..self.site.zones).map(|n| (zone + n) % self.site.zones);
        for zone in zones {
            let present = self.members(zone);
            let usable: Vec<MachineKey> = match self.policy {
                Policy::Omniscient => present
                    .into_iter()
                    .filter(|key| self.machines[key.0].state == State::Up && self.serves(zone))
                    .filter(|key| !self.network.no_servers.contains(key))
                    .filter(|key| self.machines[key.0].shutdown.is_none())
                    .collect(),
                Policy::Decisions(_) | Policy::InTurn => self.in_rotation(&present),
            };
            if !usable.is_empty() {
                return Some(self.pick(flow, &usable));
            }
        }
        // No instance of any zone is in rotation. The platform then sends to all of the zone, as its
        // logs show after a loss of power: instances get packets before their first check.
        let present = self.members(zone);
        match self.policy {
            Policy::Omniscient => None,
            _ => (!present.is_empty()).then(|| self.pick(flow, &present)),
        }
    }

    /// Returns whether instances of a zone reach any backend server that may be used.
    fn serves(&self, zone: usize) -> bool {
        !self.operator.is_out(zone) || !self.network.cut.contains(&zone)
    }

    fn members(&self, zone: usize) -> Vec<MachineKey> {
        let all = self.machines.iter().enumerate();
        let near = all.filter(|(_, machine)| machine.zone == zone && !machine.removed);
        near.map(|(index, _)| MachineKey(index)).collect()
    }

    /// All instances of a zone get packets if less than half of them are in rotation.
    fn in_rotation(&self, present: &[MachineKey]) -> Vec<MachineKey> {
        let rotated = present.iter().filter(|key| self.machines[key.0].rotated);
        let rotated: Vec<MachineKey> = rotated.copied().collect();
        match rotated.len() * 2 < present.len() && !rotated.is_empty() {
            true => present.to_vec(),
            false => rotated,
        }
    }

    fn pick(&self, flow: FlowKey, usable: &[MachineKey]) -> MachineKey {
        let tuple = self.flows[flow.0].tuple;
        let hash = |salt: usize| {
            let mut hasher = SipHasher13::new();
            hasher.write(&tuple.client.ip().octets());
            hasher.write_u16(tuple.client.port());
            hasher.write(&tuple.service.ip().octets());
            hasher.write_u16(tuple.service.port());
            hasher.write_usize(salt);
            hasher.finish()
        };
        let steady = || usable.iter().copied().max_by_key(|key| hash(key.0));
        match self.site.hashing {
            Hashing::Modulo => usable[(hash(0) % usable.len() as u64) as usize],
            Hashing::Steady => steady().unwrap_or(usable[0]),
        }
    }
}
