//! Faults: what each does, and how it is lifted.

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
use rustix::process::Signal;

use super::proxy::Mode;
use super::{
    DAEMONS,
    Route,
    SERVERS,
    Soak, //
};

/// A fault that is lifted later.
#[derive(Clone, Copy, Debug)]
pub(super) enum Trouble {
    Kill(usize),
    Pause(usize),
    Terminate(usize),
    Hangup(usize),
    Settings(usize),
    StoreLink(usize, Mode),
    Store(Fault),
    Compact,
    Drain(usize),
    Silence(usize),
    Restart(usize),
    Routes,
}

impl Soak {
    pub(super) fn begin(&mut self, now: Instant) {
        let trouble = self.draw();
        self.note(format!("{trouble:?}"));
        let lasts = Duration::from_secs_f64(0.3 + 2.0 * self.unit());
        match trouble {
            Trouble::Kill(n) if !self.down[n] => {
                self.fleet.signal(n, Signal::CONT);
                self.fleet.kill(n);
                self.down[n] = true;
            }
            Trouble::Pause(n) if !self.down[n] => self.fleet.signal(n, Signal::STOP),
            Trouble::Terminate(n) if !self.down[n] => {
                self.fleet.signal(n, Signal::CONT);
                self.fleet.signal(n, Signal::TERM);
                self.down[n] = true;
            }
            Trouble::Hangup(n) if !self.down[n] => self.fleet.signal(n, Signal::HUP),
            Trouble::Settings(n) => {
                let preference = 1.0 + self.unit();
                let text = format!("[decisions]\nzone_preference = {preference:.2}\n");
                self.fleet.append_settings(n, &text);
            }
            Trouble::StoreLink(n, mode) => self.proxies[n].set(mode),
            Trouble::Store(fault) => self.fleet.store.set_fault(fault),
            Trouble::Compact => self.fleet.store.compact(),
            Trouble::Drain(n) if self.servers[n].drained.is_none() => {
                self.servers[n].drained = Some(now);
                self.list(n);
            }
            Trouble::Silence(n) => {
                self.servers[n].silent = true;
                self.servers[n].touched = now;
            }
            Trouble::Restart(n) => self.restart_server(n),
            Trouble::Routes => self.change_routes(now),
            Trouble::Kill(_)
            | Trouble::Pause(_)
            | Trouble::Terminate(_)
            | Trouble::Hangup(_)
            | Trouble::Drain(_) => return,
        }
        self.touch(now, trouble);
        self.due.push((now + lasts, trouble));
    }

    fn draw(&mut self) -> Trouble {
        let (daemon, backend) = (self.below(DAEMONS), self.below(SERVERS));
        let modes = [Mode::Delay, Mode::Reset, Mode::Answerless, Mode::Silent];
        match self.below(14) {
            0 | 1 => Trouble::Kill(daemon),
            2 | 3 => Trouble::Pause(daemon),
            4 => Trouble::Terminate(daemon),
            5 => Trouble::Hangup(daemon),
            6 => Trouble::Settings(daemon),
            7 => Trouble::StoreLink(daemon, modes[self.below(modes.len())]),
            8 => Trouble::Store([Fault::Down, Fault::Silent][self.below(2)]),
            9 => Trouble::Compact,
            10 => Trouble::Drain(backend),
            11 => Trouble::Silence(backend),
            12 => Trouble::Restart(backend),
            _ => Trouble::Routes,
        }
    }

    fn touch(&mut self, now: Instant, trouble: Trouble) {
        match trouble {
            Trouble::Kill(n)
            | Trouble::Pause(n)
            | Trouble::Terminate(n)
            | Trouble::Hangup(n)
            | Trouble::Settings(n)
            | Trouble::StoreLink(n, _) => self.touched[n] = now,
            Trouble::Store(_) | Trouble::Compact => self.store_touched = now,
            Trouble::Drain(_) | Trouble::Silence(_) | Trouble::Restart(_) | Trouble::Routes => {}
        }
    }

    fn restart_server(&mut self, n: usize) {
        self.fleet
            .store
            .write(delete_server(u64::from(self.servers[n].number)));
        self.numbers += 1;
        self.servers[n].restart(self.numbers);
        self.list(n);
    }

    /// Adds a route, and removes the one that was added before.
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

    pub(super) fn lift_all(&mut self, now: Instant) {
        for (at, _) in &mut self.due {
            *at = (*at).min(now);
        }
    }

    pub(super) fn lift(&mut self, now: Instant) {
        let over: Vec<Trouble> = self
            .due
            .extract_if(.., |(at, _)| *at <= now)
            .map(|(_, trouble)| trouble)
            .collect();
        for trouble in over {
            match trouble {
                Trouble::Kill(n) | Trouble::Terminate(n) => {
                    self.fleet.restart(n);
                    self.down[n] = false;
                }
                Trouble::Pause(n) if !self.down[n] => self.fleet.signal(n, Signal::CONT),
                Trouble::StoreLink(n, _) => self.proxies[n].set(Mode::Pass),
                Trouble::Store(_) => self.fleet.store.set_fault(Fault::None),
                Trouble::Silence(n) => {
                    self.servers[n].silent = false;
                    self.servers[n].touched = now;
                }
                Trouble::Drain(n) => self.restart_server(n),
                Trouble::Pause(_)
                | Trouble::Hangup(_)
                | Trouble::Settings(_)
                | Trouble::Compact
                | Trouble::Restart(_)
                | Trouble::Routes => {}
            }
            self.touch(now, trouble);
        }
    }
}
