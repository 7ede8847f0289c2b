//! Probes of backend servers by instances.

use std::net::SocketAddrV4;
use std::time::Duration;

use lovagespindle_decisions::dsr::server_loss::{
    ProbeAnswer,
    ServerProbe, //
};
use lovagespindle_decisions::dsr::servers::ServerKey as TargetKey;

use super::machines::{
    MachineKey,
    zone_at, //
};
use super::minds::Mind;
use super::servers::Condition;
use super::world::{
    Event,
    World, //
};

/// How long a round of probes waits for its answers, as the daemon's.
const PROBE: Duration = Duration::from_millis(300);

/// How long the probe of a single server waits, as the daemon's.
const SERVER_PROBE: Duration = Duration::from_millis(100);

/// When the attempts of such a probe start, as the daemon's.
const ATTEMPTS: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(25),
    Duration::from_millis(50),
];

impl World {
    pub(super) fn probe(&mut self, key: MachineKey, addresses: &[SocketAddrV4]) {
        let epoch = self.machines[key.0].epoch;
        let mut answered: Option<Duration> = None;
        for address in addresses {
            self.measure.probes += 1;
            let up = self
                .holder(*address)
                .is_some_and(|s| self.servers[s.0].is_up());
            match self.server_delay(key, zone_at(*address)) {
                Ok(delay) if up => {
                    let after = delay * 2;
                    answered = Some(answered.map_or(after, |first| first.min(after)));
                }
                _ => {}
            }
        }
        let reached = usize::from(answered.is_some());
        let outcome = Event::Probed(key, epoch, addresses.len(), reached);
        self.send(answered.unwrap_or(PROBE), outcome);
    }

    pub(super) fn probed(&mut self, key: MachineKey, epoch: u32, probed: usize, reached: usize) {
        if !self.takes(key, || Event::Probed(key, epoch, probed, reached)) {
            return;
        }
        let now = self.now;
        let machine = &mut self.machines[key.0];
        if machine.epoch == epoch
            && let Mind::Decisions(balancer) = &mut machine.mind
        {
            balancer.record_probes(now, probed, reached);
            self.act(key);
        }
    }

    /// Tries to connect to a backend server, as the daemon's prober does.
    pub(super) fn probe_server(
        &mut self,
        key: MachineKey,
        server: TargetKey,
        address: SocketAddrV4,
    ) {
        self.measure.probes += 1;
        let epoch = self.machines[key.0].epoch;
        let condition = self.holder(address).map(|at| self.servers[at.0].condition);
        let zone = zone_at(address);
        // Each attempt needs a packet in both directions.
        let mut attempt =
            || Some(self.server_delay(key, zone).ok()? + self.server_delay(key, zone).ok()?);
        let delay = ATTEMPTS.iter().find_map(|start| Some(*start + attempt()?));
        let (answer, delay) = match (delay, condition) {
            (Some(delay), Some(Condition::Up)) => (ProbeAnswer::Accepted, delay),
            (Some(delay), Some(Condition::Closed)) => (ProbeAnswer::Refused, delay),
            _ => (ProbeAnswer::Silent, SERVER_PROBE),
        };
        let probe = ServerProbe {
            server,
            started_at: self.now,
            answer,
        };
        self.send(delay, Event::ProbedServer(key, epoch, probe));
    }

    pub(super) fn probed_server(&mut self, key: MachineKey, epoch: u32, probe: ServerProbe) {
        if !self.takes(key, || Event::ProbedServer(key, epoch, probe)) {
            return;
        }
        let now = self.now;
        let machine = &mut self.machines[key.0];
        if machine.epoch == epoch
            && let Mind::Decisions(balancer) = &mut machine.mind
        {
            balancer.record_server_probe(now, probe);
            self.act(key);
        }
    }
}
