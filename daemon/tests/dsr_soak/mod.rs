//! A randomized soak: daemon processes under faults from outside, judged by what clients and backend
//! servers see.

mod ends;
mod proxy;

use std::net::{
    Ipv4Addr,
    SocketAddr,
    SocketAddrV4, //
};
use std::time::{
    Duration,
    Instant, //
};

use lovagespindle_platform_stand_in::Fault;
use lovagespindle_platform_stand_in::documents::{
    ServerState,
    config,
    no_server,
    server, //
};
use rand_core::{
    RngCore,
    SeedableRng, //
};
use rand_pcg::Pcg32;
use rustix::process::Signal;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::sleep;

use self::ends::{
    Clients,
    PACKETS,
    Server,
    Sight,
    Stage, //
};
use self::proxy::{
    Mode,
    Proxy, //
};
use crate::dsr_fleet::Fleet;

const ZONES: [&str; 2] = ["a", "b"];
const DAEMONS: usize = 4;
const SERVERS: usize = 6;

/// How long faults come, and how long nothing does before the last check.
const STORM: Duration = Duration::from_secs(8);
const CALM: Duration = Duration::from_secs(5);
/// The time between two flows, and the mean time between two faults.
const FLOWS: Duration = Duration::from_millis(20);
const FAULTS: Duration = Duration::from_millis(350);
/// Rules with a time bound hold for daemons that were left alone for this long.
const CONTACT: Duration = Duration::from_secs(4);
/// When a change of the store must be in force.
const APPLY: Duration = Duration::from_secs(3);
/// How many packets of an open flow may reach other backend servers.
const STRAYS: u32 = 3;
/// Flows after the storm that must all be served.
const CHECKS: usize = 40;
/// The time between two readiness checks of a daemon.
const CHECK: Duration = Duration::from_millis(100);

/// A fault that is lifted later.
#[derive(Clone, Copy, Debug)]
enum Trouble {
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

struct Route {
    service: SocketAddrV4,
    removed: Option<Instant>,
}

/// A run.
pub(crate) struct Soak {
    fleet: Fleet,
    proxies: Vec<Proxy>,
    clients: Clients,
    servers: Vec<Server>,
    routes: Vec<Route>,
    version: u64,
    numbers: u32,
    random: Pcg32,
    rotated: [bool; DAEMONS],
    /// When something was last done to each daemon, and to the store.
    touched: [Instant; DAEMONS],
    store_touched: Instant,
    down: [bool; DAEMONS],
    due: Vec<(Instant, Trouble)>,
    /// What was done, for the report of a failure.
    history: Vec<String>,
    failures: Vec<String>,
    started: Instant,
}

/// What a run came to.
#[derive(Debug)]
pub(crate) struct Outcome {
    pub(crate) flows: usize,
    pub(crate) served: usize,
    pub(crate) failures: Vec<String>,
    pub(crate) history: Vec<String>,
}

impl Soak {
    /// Starts daemons, backend servers and clients in a network of their own.
    pub(crate) async fn start(network: u8, seed: u64) -> Soak {
        let mut fleet = Fleet::start(network).await;
        let store = fleet.store.address();
        let mut proxies = Vec::new();
        for n in 0..DAEMONS {
            let proxy = Proxy::start([127, 78, network, 200 + n as u8], store).await;
            let seeds: Vec<usize> = (0..n.min(2)).collect();
            fleet.daemon_at(ZONES[n % 2], &seeds, proxy.address);
            proxies.push(proxy);
        }
        // The fleet's own backend servers give way to those of the soak.
        fleet.store.remove_server(1);
        fleet.store.remove_server(2);
        let client = Ipv4Addr::new(127, 78, network, 3);
        let socket = UdpSocket::bind((client, PACKETS)).await.unwrap();
        let now = Instant::now();
        let mut soak = Soak {
            fleet,
            proxies,
            clients: Clients::new(socket, client),
            servers: Vec::new(),
            routes: vec![Route {
                service: SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443),
                removed: None,
            }],
            version: 10,
            numbers: 100,
            random: Pcg32::seed_from_u64(seed),
            rotated: [false; DAEMONS],
            touched: [now; DAEMONS],
            store_touched: now,
            down: [false; DAEMONS],
            due: Vec::new(),
            history: Vec::new(),
            failures: Vec::new(),
            started: now,
        };
        for n in 0..SERVERS {
            let host = Ipv4Addr::new(127, 78, network, 20 + n as u8);
            let socket = UdpSocket::bind((host, 8_080)).await.unwrap();
            soak.numbers += 1;
            soak.servers.push(Server::new(socket, soak.numbers));
            soak.list(n);
        }
        soak.put_routes();
        soak
    }

    /// Runs the storm, the calm and the last check.
    pub(crate) async fn run(mut self) -> Outcome {
        let (results, mut checks) = mpsc::channel(64);
        for daemon in 0..DAEMONS {
            tokio::spawn(check(daemon, self.fleet.readiness(daemon), results.clone()));
        }
        let begin = self.started + Duration::from_secs(2);
        let (storm, end) = (begin + STORM, begin + STORM + CALM);
        let (mut flow, mut fault) = (begin, begin);
        while Instant::now() < end {
            let now = Instant::now();
            while let Ok((daemon, ready)) = checks.try_recv() {
                self.rotated[daemon] = ready;
            }
            if now >= flow && now < storm {
                flow = now + FLOWS;
                let service = self.routes[0].service;
                self.clients.open(now, service);
            }
            if now >= fault && now < storm {
                fault = now + FAULTS.mul_f64(2.0 * self.unit());
                self.begin(now);
            }
            if now >= storm {
                self.lift_all(now);
            }
            self.lift(now);
            self.exchange(now);
            let next = self.clients.next().unwrap_or(end).min(now + FLOWS);
            sleep(
                next.saturating_duration_since(now)
                    .max(Duration::from_millis(1)),
            )
            .await;
        }
        let before = self.clients.flows.len();
        self.check_service().await;
        self.check_processes();
        let flows = self.clients.flows.values();
        let served = flows.filter(|flow| flow.stage == Stage::Finished).count();
        Outcome {
            flows: before + CHECKS,
            served,
            failures: self.failures,
            history: self.history,
        }
    }

    fn unit(&mut self) -> f64 {
        f64::from(self.random.next_u32()) / f64::from(u32::MAX)
    }

    fn below(&mut self, count: usize) -> usize {
        self.random.next_u32() as usize % count
    }

    fn note(&mut self, text: String) {
        let at = self.started.elapsed().as_secs_f64();
        self.history.push(format!("{at:.3} {text}"));
    }

    fn fail(&mut self, text: String) {
        let at = self.started.elapsed().as_secs_f64();
        self.failures.push(format!("{at:.3} {text}"));
    }

    /// Writes the entry of a backend server.
    fn list(&mut self, n: usize) {
        let backend = &self.servers[n];
        let SocketAddr::V4(address) = backend.socket.local_addr().unwrap() else {
            return;
        };
        let state = ServerState {
            service: "desk",
            address,
            zone: ZONES[n % 2],
            slots: 4,
            draining: backend.drained.is_some(),
            cold: Duration::ZERO,
        };
        self.fleet
            .store
            .write(server(u64::from(backend.number), &state));
    }

    fn put_routes(&mut self) {
        self.version += 1;
        let routes = self.routes.iter().filter(|route| route.removed.is_none());
        let routes: Vec<(SocketAddrV4, &str)> = routes.map(|r| (r.service, "desk")).collect();
        self.fleet.store.write(config(self.version, &routes));
    }

    fn begin(&mut self, now: Instant) {
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
            .write(no_server(u64::from(self.servers[n].number)));
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

    fn lift_all(&mut self, now: Instant) {
        for (at, _) in &mut self.due {
            *at = (*at).min(now);
        }
    }

    fn lift(&mut self, now: Instant) {
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

    /// Lets both ends act once.
    fn exchange(&mut self, now: Instant) {
        let mut seen = Vec::new();
        for server in &mut self.servers {
            server.answer(&mut seen);
        }
        self.clients.receive(now, &mut seen);
        for sight in seen {
            self.judge(now, sight);
        }
        for (port, bytes) in self.clients.due(now) {
            if let Some(daemon) = self.router(port) {
                let to = self.fleet.packets(daemon);
                // A datagram that does not fit is lost, as on the way.
                let _ = self.clients.socket.try_send_to(&bytes, to);
            }
        }
    }

    /// Returns the daemon that gets the packets of a flow: one in rotation, by the flow's port.
    fn router(&self, port: u16) -> Option<usize> {
        let usable: Vec<usize> = (0..DAEMONS).filter(|n| self.rotated[*n]).collect();
        let index = usize::from(port) % usable.len().max(1);
        usable.get(index).copied()
    }

    /// Returns whether rules with a time bound hold for a daemon.
    fn is_calm(&self, now: Instant, by: SocketAddr) -> bool {
        let daemon = (0..DAEMONS).find(|n| self.fleet.packets(*n).ip() == by.ip());
        let calm = |since: Instant| now.duration_since(since) >= CONTACT;
        daemon.is_some_and(|n| !self.down[n] && calm(self.touched[n])) && calm(self.store_touched)
    }

    fn judge(&mut self, now: Instant, sight: Sight) {
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
    async fn check_service(&mut self) {
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

    fn check_processes(&mut self) {
        for daemon in 0..DAEMONS {
            if self.fleet.has_ended(daemon) {
                self.fail(format!("daemon {daemon} ended by itself"));
            }
            if self.fleet.log(daemon).contains("panicked") {
                self.fail(format!("daemon {daemon} panicked"));
            }
        }
    }
}

/// Checks a daemon's readiness as routers do.
async fn check(daemon: usize, address: SocketAddr, results: mpsc::Sender<(usize, bool)>) {
    loop {
        let checked = tokio::time::timeout(CHECK, crate::dsr_fleet::is_ready(address)).await;
        if results
            .send((daemon, checked.unwrap_or(false)))
            .await
            .is_err()
        {
            return;
        }
        sleep(CHECK).await;
    }
}
