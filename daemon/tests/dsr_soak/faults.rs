//! Injects faults into daemons, the store and backend servers, and ends them.

use std::net::{
    Ipv4Addr,
    SocketAddrV4, //
};
use std::time::{
    Duration,
    Instant, //
};

use lovagespindle_platform_stand_in::Fault;
use lovagespindle_platform_stand_in::documents::delete_server;
use rand_core::RngCore;
use rustix::process::Signal;

use super::proxy::Mode;
use super::{
    DAEMONS,
    FIRST_IDENTITY,
    Route,
    SERVERS,
    Soak, //
};

/// One in this many faults restores the store.
const RESTORATION_ODDS: u32 = 12;

/// A fault, with the index of the daemon or backend server. Its effect ends after a random time.
#[derive(Clone, Copy, Debug)]
pub(super) enum InjectedFault {
    /// Kills a daemon; the end restarts it.
    Kill(usize),
    /// Stops a daemon's process; the end continues it.
    Pause(usize),
    /// Shuts a daemon down; the end restarts it.
    Terminate(usize),
    /// Makes a daemon reload its settings.
    Hangup(usize),
    /// Changes a daemon's settings file without a signal.
    Settings(usize),
    /// Disturbs a daemon's connections to the store.
    StoreLink(usize, Mode),
    /// Disturbs the store.
    Store(Fault),
    /// Discards the store's history of changes.
    Compact,
    /// Restores the store from a copy: at the end, it has the contents of the beginning, and what was
    /// written since is written again.
    Restore,
    /// Drains a backend server; the end restarts it under a new identity.
    Drain(usize),
    /// Makes a backend server ignore all packets.
    Silence(usize),
    /// Restarts a backend server under a new identity.
    Restart(usize),
    /// Adds a route and removes the one added before.
    Routes,
}

impl Soak {
    /// Injects a random fault. Does nothing if the fault does not apply to the current state.
    pub(super) fn inject_fault(&mut self, now: Instant) {
        let fault = self.random_fault();
        self.record_history(format!("{fault:?}"));
        let duration = Duration::from_secs_f64(0.3 + 2.0 * self.random_fraction());
        match fault {
            InjectedFault::Kill(n) if !self.down[n] => {
                self.fleet.signal(n, Signal::CONT);
                self.fleet.kill(n);
                self.down[n] = true;
            }
            InjectedFault::Pause(n) if !self.down[n] => self.fleet.signal(n, Signal::STOP),
            InjectedFault::Terminate(n) if !self.down[n] => {
                self.fleet.signal(n, Signal::CONT);
                self.fleet.signal(n, Signal::TERM);
                self.down[n] = true;
            }
            InjectedFault::Hangup(n) if !self.down[n] => self.fleet.signal(n, Signal::HUP),
            InjectedFault::Settings(n) => {
                let preference = 1.0 + self.random_fraction();
                let text = format!("[decisions]\nzone_preference = {preference:.2}\n");
                self.fleet.write_settings(n, &text);
            }
            InjectedFault::StoreLink(n, mode) => self.proxies[n].set_mode(mode),
            InjectedFault::Store(mode) => self.fleet.store.set_fault(mode),
            InjectedFault::Compact => self.fleet.store.compact(),
            InjectedFault::Restore if self.copy.is_none() => {
                self.copy = Some(self.fleet.store.copy());
            }
            InjectedFault::Drain(n) if self.servers[n].drained.is_none() => {
                self.servers[n].drained = Some(now);
                self.register(n);
            }
            InjectedFault::Silence(n) => {
                self.servers[n].unresponsive = true;
                self.servers[n].last_disturbed = now;
            }
            InjectedFault::Restart(n) => self.restart_server(n),
            InjectedFault::Routes => self.change_routes(now),
            InjectedFault::Kill(_)
            | InjectedFault::Pause(_)
            | InjectedFault::Terminate(_)
            | InjectedFault::Hangup(_)
            | InjectedFault::Restore
            | InjectedFault::Drain(_) => return,
        }
        self.mark_disturbed(now, fault);
        self.active_faults.push((now + duration, fault));
    }

    fn random_fault(&mut self) -> InjectedFault {
        // Drawn apart, so that the other faults of a seed stay in their order.
        if self
            .restorations
            .next_u32()
            .is_multiple_of(RESTORATION_ODDS)
        {
            return InjectedFault::Restore;
        }
        let (daemon, backend) = (self.random_below(DAEMONS), self.random_below(SERVERS));
        let modes = [Mode::Delay, Mode::Reset, Mode::NoReplies, Mode::Blocked];
        match self.random_below(14) {
            0 | 1 => InjectedFault::Kill(daemon),
            2 | 3 => InjectedFault::Pause(daemon),
            4 => InjectedFault::Terminate(daemon),
            5 => InjectedFault::Hangup(daemon),
            6 => InjectedFault::Settings(daemon),
            7 => InjectedFault::StoreLink(daemon, modes[self.random_below(modes.len())]),
            8 => InjectedFault::Store([Fault::Down, Fault::Silent][self.random_below(2)]),
            9 => InjectedFault::Compact,
            10 => InjectedFault::Drain(backend),
            11 => InjectedFault::Silence(backend),
            12 => InjectedFault::Restart(backend),
            _ => InjectedFault::Routes,
        }
    }

    /// Records that a fault has just begun or ended.
    fn mark_disturbed(&mut self, now: Instant, fault: InjectedFault) {
        match fault {
            InjectedFault::Kill(n)
            | InjectedFault::Pause(n)
            | InjectedFault::Terminate(n)
            | InjectedFault::Hangup(n)
            | InjectedFault::Settings(n)
            | InjectedFault::StoreLink(n, _) => self.last_disturbed[n] = now,
            InjectedFault::Store(_) | InjectedFault::Compact | InjectedFault::Restore => {
                self.store_disturbed = now;
            }
            InjectedFault::Drain(_)
            | InjectedFault::Silence(_)
            | InjectedFault::Restart(_)
            | InjectedFault::Routes => {}
        }
    }

    /// Restarts a backend server under a new identity and replaces its entry in the store.
    fn restart_server(&mut self, n: usize) {
        self.fleet
            .store
            .write(delete_server(u64::from(self.servers[n].identity)));
        self.last_identity += 1;
        self.servers[n].restart(self.last_identity);
        self.register(n);
    }

    /// Restores the store, and lets operators and backend servers write again what was lost. Entries
    /// of servers that ended are removed, as they would expire.
    fn restore_store(&mut self) {
        let Some(copy) = self.copy.take() else { return };
        self.fleet.store.restore(copy);
        self.write_routes();
        let live: Vec<u32> = self.servers.iter().map(|server| server.identity).collect();
        for n in 0..self.servers.len() {
            self.register(n);
        }
        let ended = (FIRST_IDENTITY..=self.last_identity).filter(|n| !live.contains(n));
        for identity in ended.collect::<Vec<_>>() {
            self.fleet.store.write(delete_server(identity.into()));
        }
    }

    /// Adds a route and removes the one added before.
    fn change_routes(&mut self, now: Instant) {
        if let Some(last) = self.routes.iter_mut().skip(1).last() {
            last.removed.get_or_insert(now);
        }
        let host = Ipv4Addr::new(198, 18, 1, self.routes.len() as u8);
        self.routes.push(Route {
            service: SocketAddrV4::new(host, 443),
            removed: None,
        });
        self.put_routes();
    }

    /// Makes all active faults due to end.
    pub(super) fn expire_faults(&mut self, now: Instant) {
        for (end, _) in &mut self.active_faults {
            *end = (*end).min(now);
        }
    }

    /// Ends the faults that are due to end.
    pub(super) fn end_due_faults(&mut self, now: Instant) {
        let ended: Vec<InjectedFault> = self
            .active_faults
            .extract_if(.., |(end, _)| *end <= now)
            .map(|(_, fault)| fault)
            .collect();
        for fault in ended {
            match fault {
                InjectedFault::Kill(n) | InjectedFault::Terminate(n) => {
                    self.fleet.restart(n);
                    self.down[n] = false;
                }
                InjectedFault::Pause(n) if !self.down[n] => self.fleet.signal(n, Signal::CONT),
                InjectedFault::StoreLink(n, _) => self.proxies[n].set_mode(Mode::Pass),
                InjectedFault::Store(_) => self.fleet.store.set_fault(Fault::None),
                InjectedFault::Silence(n) => {
                    self.servers[n].unresponsive = false;
                    self.servers[n].last_disturbed = now;
                }
                InjectedFault::Drain(n) => self.restart_server(n),
                InjectedFault::Restore => self.restore_store(),
                InjectedFault::Pause(_)
                | InjectedFault::Hangup(_)
                | InjectedFault::Settings(_)
                | InjectedFault::Compact
                | InjectedFault::Restart(_)
                | InjectedFault::Routes => {}
            }
            self.mark_disturbed(now, fault);
        }
    }
}
