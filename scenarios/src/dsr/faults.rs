//! Troubles: what each does to whom, and how it ends.

use std::time::Duration;

use lovagespindle_decisions::dsr::shutdown::{
    Shutdown,
    ShutdownSettings, //
};

use super::day::Fault;
use super::machines::{
    MachineKey,
    State, //
};
use super::servers::{
    Condition,
    ServerKey, //
};
use super::store::StoreState;
use super::world::{
    Event,
    World, //
};

/// How long the platform takes to start a process that ended.
const RESTART: Duration = Duration::from_millis(500);
/// How often it is checked whether a process that was told to stop may end.
const SHUTDOWN_CHECK: Duration = Duration::from_millis(50);
/// The time between two steps of a trouble that concerns one thing after the other.
const STEP: Duration = Duration::from_secs(1);
/// How long a backend server stays after it began to drain.
const DRAIN: Duration = Duration::from_secs(5);
/// How long an address stays unused before another backend server gets it.
const REUSE: Duration = Duration::from_secs(2);
/// How old the copy is from which the store is restored.
const COPY_AGE: Duration = Duration::from_secs(6);
/// How long operators take to write again what the restored store has lost.
const REWRITE: Duration = Duration::from_millis(700);
/// The part of the packets that a lossy link loses.
const LOSS: f64 = 0.03;
/// How long the backend servers of a zone that comes back are cold.
const COLD: Duration = Duration::from_secs(2);
/// How long all instances are without power at the end.
const CLOSING: Duration = Duration::from_millis(1_500);

/// What a running trouble concerns.
#[derive(Clone, Debug, Default)]
pub(super) struct Concerned {
    machines: Vec<MachineKey>,
    servers: Vec<ServerKey>,
    zone: usize,
    /// Whether this trouble took the zone out of service.
    out: bool,
}

impl World {
    pub(super) fn begin_trouble(&mut self, index: usize) {
        let trouble = self.day.troubles[index];
        let concerned = Concerned {
            machines: self.some_machines(trouble.share),
            servers: self.some_servers(trouble.share),
            zone: self.fate.below(self.site.zones),
            out: false,
        };
        self.concerned.insert(index, concerned.clone());
        let lasts = Duration::from_secs_f64(trouble.lasts);
        match trouble.fault {
            Fault::ServerCrash | Fault::ServerGone => {
                for key in &concerned.servers {
                    let dark = self.fate.chance(0.5) || trouble.fault == Fault::ServerGone;
                    let condition = if dark {
                        Condition::Dark
                    } else {
                        Condition::Closed
                    };
                    self.fail_server(*key, condition);
                }
            }
            Fault::AddressReuse => {
                for key in &concerned.servers {
                    self.fail_server(*key, Condition::Closed);
                }
            }
            Fault::ScaleIn => {
                for key in &concerned.servers {
                    self.drain_server(*key, DRAIN);
                }
            }
            Fault::ScaleOut => self.add_cold(&concerned.servers),
            Fault::Release | Fault::RollingRestart => self.step_trouble(index, 0),
            Fault::Kill | Fault::PowerLoss => {
                let again = if trouble.fault == Fault::Kill {
                    RESTART
                } else {
                    lasts
                };
                for key in &concerned.machines {
                    self.stop_machine(*key, Some(again));
                }
            }
            Fault::Freeze => {
                for key in &concerned.machines {
                    let machine = &mut self.machines[key.0];
                    if machine.state == State::Up {
                        machine.state = State::Frozen;
                        machine.disturbed = self.now;
                    }
                }
            }
            Fault::AddInstances => self.add_machine(concerned.zone),
            Fault::ZoneCut => self.network.cut.push(concerned.zone),
            Fault::ServerCut => self.network.no_servers.extend(&concerned.machines),
            Fault::StoreCut => self.network.no_store.extend(&concerned.machines),
            Fault::StoreDown | Fault::StoreLapse | Fault::StoreRestored => {
                self.set_store(StoreState::Down);
            }
            Fault::StoreSilent => self.set_store(StoreState::Silent),
            Fault::StoreSlow => self.set_store(StoreState::Slow),
            Fault::StoreCompact => {
                self.store.compact();
                self.store.disturbed = Some(self.now);
            }
            Fault::Lossy => self.network.loss = LOSS,
            Fault::ConfigChange => self.change_config(),
            Fault::Evacuate => {
                let out = self.take_zone_out(concerned.zone);
                self.concerned.insert(
                    index,
                    Concerned {
                        out,
                        ..concerned.clone()
                    },
                );
            }
        }
        self.touch(&concerned);
        self.send(lasts, Event::Recover(index));
    }

    pub(super) fn end_trouble(&mut self, index: usize) {
        let fault = self.day.troubles[index].fault;
        let concerned = self.concerned.get(&index).cloned().unwrap_or_default();
        match fault {
            Fault::ServerCrash => self.restart_servers(&concerned.servers),
            Fault::AddressReuse => self.reuse_addresses(&concerned.servers),
            Fault::Freeze => {
                for key in &concerned.machines {
                    self.wake_machine(*key);
                }
            }
            Fault::ZoneCut => {
                let cut = self
                    .network
                    .cut
                    .iter()
                    .position(|zone| *zone == concerned.zone);
                cut.map(|at| self.network.cut.swap_remove(at));
                self.network.healed.insert(concerned.zone, self.now);
                let all = 0..self.machines.len();
                let touched = Concerned {
                    machines: all.map(MachineKey).collect(),
                    ..Concerned::default()
                };
                self.touch(&touched);
            }
            Fault::ServerCut => {
                for key in &concerned.machines {
                    self.network.no_servers.remove(key);
                }
            }
            Fault::StoreCut => {
                for key in &concerned.machines {
                    self.network.no_store.remove(key);
                }
            }
            Fault::StoreDown | Fault::StoreSilent | Fault::StoreSlow => {
                self.set_store(StoreState::Up);
            }
            Fault::StoreLapse => {
                self.set_store(StoreState::Up);
                self.lapse_all();
            }
            Fault::StoreRestored => {
                self.set_store(StoreState::Up);
                self.store.restore(self.now - COPY_AGE);
                self.forget_entries();
                self.send(REWRITE, Event::Rewrite);
            }
            Fault::Lossy => self.network.loss = 0.0,
            Fault::Evacuate if !concerned.out => {}
            Fault::Evacuate if !self.store_takes_writes() => {
                self.send(STEP, Event::Recover(index));
            }
            Fault::Evacuate => {
                let (zone, warm) = (concerned.zone, self.now + COLD);
                for server in self.servers.iter_mut().filter(|server| server.zone == zone) {
                    server.warm = server.warm.max(warm);
                    server.changed = true;
                }
                self.bring_zone_back(zone);
            }
            Fault::ServerGone
            | Fault::Release
            | Fault::ScaleIn
            | Fault::ScaleOut
            | Fault::Kill
            | Fault::PowerLoss
            | Fault::RollingRestart
            | Fault::AddInstances
            | Fault::StoreCompact
            | Fault::ConfigChange => {}
        }
        self.touch(&concerned);
    }

    /// Concerns the next thing of a trouble that takes one after the other.
    pub(super) fn step_trouble(&mut self, index: usize, step: usize) {
        let concerned = self.concerned.get(&index).cloned().unwrap_or_default();
        match self.day.troubles[index].fault {
            Fault::Release => {
                let Some(key) = concerned.servers.get(step).copied() else {
                    return;
                };
                self.add_cold(&[key]);
                self.drain_server(key, DRAIN);
            }
            Fault::RollingRestart => {
                let Some(key) = concerned.machines.get(step / 2).copied() else {
                    return;
                };
                if step.is_multiple_of(2) {
                    self.machines[key.0].shutdown = Some(Shutdown::new(self.now));
                    self.machines[key.0].disturbed = self.now;
                    self.send(SHUTDOWN_CHECK, Event::Step(index, step + 1));
                    return;
                }
                let shutdown = self.machines[key.0].shutdown;
                let settings = ShutdownSettings::default();
                if shutdown.is_some_and(|shutdown| !shutdown.is_complete(self.now, &settings)) {
                    self.send(SHUTDOWN_CHECK, Event::Step(index, step));
                    return;
                }
                self.stop_machine(key, Some(RESTART));
            }
            _ => return,
        }
        self.send(STEP, Event::Step(index, step + 1));
    }

    /// All instances lose power at the end of the day.
    pub(super) fn closing(&mut self, down: bool) {
        if !down {
            return;
        }
        self.change_config();
        for index in 0..self.machines.len() {
            if !self.machines[index].removed {
                self.stop_machine(MachineKey(index), Some(CLOSING));
            }
        }
    }

    fn set_store(&mut self, state: StoreState) {
        self.store.state = state;
        self.store.disturbed = Some(self.now);
    }

    /// Notes that something was done to instances and backend servers.
    fn touch(&mut self, concerned: &Concerned) {
        for key in &concerned.machines {
            self.machines[key.0].disturbed = self.now;
        }
        for key in &concerned.servers {
            self.servers[key.0].disturbed = self.now;
        }
    }

    fn add_cold(&mut self, like: &[ServerKey]) {
        for key in like {
            let (service, zone) = (self.servers[key.0].service, self.servers[key.0].zone);
            self.add_server(service, zone, true, None);
        }
    }

    /// Starts servers that crashed anew, cold and under other identities.
    fn restart_servers(&mut self, keys: &[ServerKey]) {
        for key in keys {
            let server = &self.servers[key.0];
            if !server.is_up() && self.holder(server.address) == Some(*key) {
                let (service, zone, address) = (server.service, server.zone, server.address);
                self.add_server(service, zone, true, Some(address));
            }
        }
    }

    /// Gives the addresses of servers that ended to servers of other services.
    fn reuse_addresses(&mut self, keys: &[ServerKey]) {
        for key in keys {
            let server = &self.servers[key.0];
            let old = self.now.since(server.disturbed) >= REUSE;
            if !server.is_up() && old && self.holder(server.address) == Some(*key) {
                let other = (server.service + 1) % self.site.services.len();
                let (zone, address) = (server.zone, server.address);
                self.add_server(other, zone, true, Some(address));
            }
        }
    }

    /// Draws instances that run.
    fn some_machines(&mut self, share: f64) -> Vec<MachineKey> {
        let all = self.machines.iter().enumerate();
        let up = all.filter(|(_, machine)| machine.state == State::Up);
        let mut up: Vec<MachineKey> = up.map(|(index, _)| MachineKey(index)).collect();
        let count = ((up.len() as f64 * share).ceil() as usize).min(up.len());
        self.shuffle(&mut up);
        up.truncate(count);
        up
    }

    /// Draws backend servers of each service; one of each service is spared.
    fn some_servers(&mut self, share: f64) -> Vec<ServerKey> {
        let mut chosen = Vec::new();
        for service in 0..self.site.services.len() {
            let all = self.servers.iter().enumerate();
            let up = all.filter(|(_, s)| s.service == service && s.is_up() && s.drained.is_none());
            let mut up: Vec<ServerKey> = up.map(|(index, _)| ServerKey(index)).collect();
            let count = ((up.len() as f64 * share).ceil() as usize).min(up.len().max(1) - 1);
            self.shuffle(&mut up);
            chosen.extend(up.into_iter().take(count));
        }
        chosen
    }

    fn shuffle<T>(&mut self, items: &mut [T]) {
        for n in (1..items.len()).rev() {
            let other = self.fate.below(n + 1);
            items.swap(n, other);
        }
    }
}
