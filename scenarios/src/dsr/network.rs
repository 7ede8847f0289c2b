//! Ways of packets: delays, loss and cuts.

use std::collections::{
    HashMap,
    HashSet, //
};
use std::time::Duration;

use lovagespindle_decisions::Time;

use super::machines::MachineKey;
use super::world::World;

/// The part of a delay that is added at most.
const JITTER: f64 = 0.3;

/// What is wrong with the network.
#[derive(Debug, Default)]
pub(super) struct Network {
    /// Zones that are cut off from the other zones; one that is cut twice is here twice.
    pub(super) cut: Vec<usize>,
    /// When the last cut of each zone ended.
    pub(super) healed: HashMap<usize, Time>,
    /// Instances that reach no backend server.
    pub(super) no_servers: HashSet<MachineKey>,
    /// Instances that do not reach the store.
    pub(super) no_store: HashSet<MachineKey>,
    /// The part of the packets between zones that is lost besides.
    pub(super) loss: f64,
}

/// Why a packet does not arrive.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Gap {
    Lost,
    Cut,
}

impl World {
    /// Returns whether the link between two zones was open for a while.
    pub(super) fn is_steady(&self, from: usize, to: usize, since: Duration) -> bool {
        let healed = |zone: usize| {
            let at = self.network.healed.get(&zone);
            at.is_none_or(|at| self.now.since(*at) >= since)
        };
        self.is_open(from, to) && (from == to || healed(from) && healed(to))
    }

    /// Returns whether packets pass between two zones.
    pub(super) fn is_open(&self, from: usize, to: usize) -> bool {
        from == to
            || !self
                .network
                .cut
                .iter()
                .any(|cut| *cut == from || *cut == to)
    }

    /// Returns the delay from one zone to another.
    pub(super) fn zone_delay(&mut self, from: usize, to: usize) -> Result<Duration, Gap> {
        if !self.is_open(from, to) {
            return Err(Gap::Cut);
        }
        let (delay, loss) = match from == to {
            true => (self.site.inside, self.site.loss),
            false => (self.site.between, self.site.loss + self.network.loss),
        };
        self.draw(delay, loss)
    }

    /// Returns the delay between a client and its own zone.
    pub(super) fn client_delay(&mut self) -> Result<Duration, Gap> {
        self.draw(self.site.clients, self.site.loss)
    }

    /// Returns the delay from a zone to a client of another. Cuts between zones do not concern
    /// clients.
    pub(super) fn client_delay_from(&mut self, from: usize, to: usize) -> Result<Duration, Gap> {
        let more = match from == to {
            true => Duration::ZERO,
            false => self.site.between,
        };
        self.draw(self.site.clients + more, self.site.loss)
    }

    /// Returns the delay from an instance to a backend server's zone.
    pub(super) fn server_delay(
        &mut self,
        machine: MachineKey,
        zone: usize,
    ) -> Result<Duration, Gap> {
        if self.network.no_servers.contains(&machine) {
            return Err(Gap::Cut);
        }
        let from = self.machines[machine.0].zone;
        self.zone_delay(from, zone)
    }

    fn draw(&mut self, delay: Duration, loss: f64) -> Result<Duration, Gap> {
        if self.noise.chance(loss) {
            return Err(Gap::Lost);
        }
        Ok(delay.mul_f64(1.0 + JITTER * self.noise.unit()))
    }
}
