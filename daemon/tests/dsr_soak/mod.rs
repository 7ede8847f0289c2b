//! A randomized soak: daemon processes under faults from outside, judged by what clients and backend
//! servers see.

mod ends;
mod faults;
mod judge;
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

use lovagespindle_platform_stand_in::documents::{
    ServerState,
    config,
    server, //
};
use rand_core::{
    RngCore,
    SeedableRng, //
};
use rand_pcg::Pcg32;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::sleep;

use self::ends::{
    Clients,
    PACKETS,
    Server,
    Stage, //
};
use self::faults::Trouble;
use self::judge::CHECKS;
use self::proxy::Proxy;
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
/// The time between two readiness checks of a daemon.
const CHECK: Duration = Duration::from_millis(100);

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
            warmup_left: Duration::ZERO,
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
