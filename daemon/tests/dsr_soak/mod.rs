//! Soak test: daemon processes under random faults, checked by what clients and backend servers
//! observe.

mod checks;
mod endpoints;
mod faults;
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

use lovagespindle_platform_stand_in::StoreCopy;
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

use self::checks::RECOVERY_FLOWS;
use self::endpoints::{
    Clients,
    PACKET_PORT,
    Server,
    Stage, //
};
use self::faults::InjectedFault;
use self::proxy::Proxy;
use crate::dsr_fleet::Fleet;

const ZONES: [&str; 2] = ["a", "b"];
const DAEMONS: usize = 4;
const SERVERS: usize = 6;

/// Duration of the phase in which faults are injected.
const FAULT_PHASE: Duration = Duration::from_secs(8);
/// Duration of the phase without faults before the recovery check.
const QUIET_PHASE: Duration = Duration::from_secs(5);
/// Interval between two flows.
const FLOW_INTERVAL: Duration = Duration::from_millis(20);
/// Mean interval between two faults.
const FAULT_INTERVAL: Duration = Duration::from_millis(350);
/// Interval between two readiness checks of a daemon, and their timeout.
const READINESS_INTERVAL: Duration = Duration::from_millis(100);

struct Route {
    service: SocketAddrV4,
    removed: Option<Instant>,
}

/// The first identity of a backend server; later ones count up.
const FIRST_IDENTITY: u32 = 101;

/// State of one run.
pub(crate) struct Soak {
    fleet: Fleet,
    proxies: Vec<Proxy>,
    clients: Clients,
    servers: Vec<Server>,
    routes: Vec<Route>,
    /// Version of the routes in the store.
    version: u64,
    /// Latest identity given to a backend server.
    last_identity: u32,
    /// Draws which faults restore the store.
    restorations: Pcg32,
    /// Contents from which the store will be restored.
    copy: Option<StoreCopy>,
    /// Number of entries that backend servers wrote.
    entries_written: u64,
    random: Pcg32,
    /// Daemons to which the routers send packets, as their last readiness check succeeded.
    in_rotation: [bool; DAEMONS],
    /// Time at which a fault of each daemon last began or ended.
    last_disturbed: [Instant; DAEMONS],
    /// Time at which a fault of the store last began or ended.
    store_disturbed: Instant,
    down: [bool; DAEMONS],
    /// Active faults with the time at which they end.
    active_faults: Vec<(Instant, InjectedFault)>,
    /// Injected faults, printed if the run fails.
    history: Vec<String>,
    failures: Vec<String>,
    started: Instant,
}

/// Result of a run.
#[derive(Debug)]
pub(crate) struct Outcome {
    pub(crate) flows: usize,
    pub(crate) served: usize,
    pub(crate) failures: Vec<String>,
    pub(crate) history: Vec<String>,
}

impl Soak {
    /// Starts daemons, backend servers and clients in their own network.
    pub(crate) async fn start(network: u8, seed: u64) -> Soak {
        let mut fleet = Fleet::start(network).await;
        let store = fleet.store.address();
        let mut proxies = Vec::new();
        for n in 0..DAEMONS {
            let proxy = Proxy::start([127, 78, network, 200 + n as u8], store).await;
            let seeds: Vec<usize> = (0..n.min(2)).collect();
            fleet.start_daemon_in(ZONES[n % 2], &seeds, proxy.address);
            proxies.push(proxy);
        }
        // The soak test uses its own backend servers instead of those of the fleet.
        fleet.store.remove_server(1);
        fleet.store.remove_server(2);
        let client = Ipv4Addr::new(127, 78, network, 3);
        let socket = UdpSocket::bind((client, PACKET_PORT)).await.unwrap();
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
            last_identity: FIRST_IDENTITY - 1,
            restorations: Pcg32::seed_from_u64(!seed),
            copy: None,
            entries_written: 0,
            random: Pcg32::seed_from_u64(seed),
            in_rotation: [false; DAEMONS],
            last_disturbed: [now; DAEMONS],
            store_disturbed: now,
            down: [false; DAEMONS],
            active_faults: Vec::new(),
            history: Vec::new(),
            failures: Vec::new(),
            started: now,
        };
        for n in 0..SERVERS {
            let host = Ipv4Addr::new(127, 78, network, 20 + n as u8);
            let socket = UdpSocket::bind((host, 8_080)).await.unwrap();
            soak.last_identity += 1;
            soak.servers.push(Server::new(socket, soak.last_identity));
            soak.register(n);
        }
        soak.put_routes();
        soak
    }

    /// Runs the phase with faults, the quiet phase and the recovery check.
    pub(crate) async fn run(mut self) -> Outcome {
        let (results, mut checks) = mpsc::channel(64);
        for daemon in 0..DAEMONS {
            tokio::spawn(poll_readiness(
                daemon,
                self.fleet.readiness_address(daemon),
                results.clone(),
            ));
        }
        let begin = self.started + Duration::from_secs(2);
        let (faults_end, end) = (begin + FAULT_PHASE, begin + FAULT_PHASE + QUIET_PHASE);
        let (mut next_flow, mut next_fault) = (begin, begin);
        while Instant::now() < end {
            let now = Instant::now();
            while let Ok((daemon, ready)) = checks.try_recv() {
                self.in_rotation[daemon] = ready;
            }
            if now >= next_flow && now < faults_end {
                next_flow = now + FLOW_INTERVAL;
                let service = self.routes[0].service;
                self.clients.open(now, service);
            }
            if now >= next_fault && now < faults_end {
                next_fault = now + FAULT_INTERVAL.mul_f64(2.0 * self.random_fraction());
                self.inject_fault(now);
            }
            if now >= faults_end {
                self.expire_faults(now);
            }
            self.end_due_faults(now);
            self.step(now);
            let next = self
                .clients
                .next_send()
                .unwrap_or(end)
                .min(now + FLOW_INTERVAL);
            sleep(
                next.saturating_duration_since(now)
                    .max(Duration::from_millis(1)),
            )
            .await;
        }
        let opened = self.clients.flows.len();
        self.check_recovery().await;
        self.check_processes();
        let flows = self.clients.flows.values();
        let served = flows.filter(|flow| flow.stage == Stage::Finished).count();
        Outcome {
            flows: opened + RECOVERY_FLOWS,
            served,
            failures: self.failures,
            history: self.history,
        }
    }

    /// Returns a random number from 0 to 1.
    fn random_fraction(&mut self) -> f64 {
        f64::from(self.random.next_u32()) / f64::from(u32::MAX)
    }

    /// Returns a random index below `count`.
    fn random_below(&mut self, count: usize) -> usize {
        self.random.next_u32() as usize % count
    }

    fn record_history(&mut self, text: String) {
        let seconds = self.started.elapsed().as_secs_f64();
        self.history.push(format!("{seconds:.3} {text}"));
    }

    fn record_failure(&mut self, text: String) {
        let seconds = self.started.elapsed().as_secs_f64();
        self.failures.push(format!("{seconds:.3} {text}"));
    }

    /// Writes the entry of a backend server to the store.
    fn register(&mut self, n: usize) {
        self.entries_written += 1;
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
            sequence: self.entries_written,
        };
        self.fleet
            .store
            .write(server(u64::from(backend.identity), &state));
    }

    /// Writes the routes that are not removed to the store, as a new version.
    fn put_routes(&mut self) {
        self.version += 1;
        self.write_routes();
    }

    fn write_routes(&mut self) {
        let routes = self.routes.iter().filter(|route| route.removed.is_none());
        let routes: Vec<(SocketAddrV4, &str)> = routes.map(|r| (r.service, "desk")).collect();
        self.fleet.store.write(config(self.version, &routes));
    }

    /// Handles all received packets, checks the observations and sends the packets that are due.
    fn step(&mut self, now: Instant) {
        let mut observations = Vec::new();
        for server in &mut self.servers {
            server.receive(&mut observations);
        }
        self.clients.receive(now, &mut observations);
        for observation in observations {
            self.check_observation(now, observation);
        }
        for (port, bytes) in self.clients.due_packets(now) {
            if let Some(daemon) = self.select_daemon(port) {
                let to = self.fleet.packet_address(daemon);
                // A datagram that the system does not accept counts as lost, as in the network.
                let _ = self.clients.socket.try_send_to(&bytes, to);
            }
        }
    }

    /// Returns the daemon to which the routers send the packets of a flow: one of those in
    /// rotation, selected by the flow's port. Returns `None` if none is in rotation.
    fn select_daemon(&self, port: u16) -> Option<usize> {
        let available: Vec<usize> = (0..DAEMONS).filter(|n| self.in_rotation[*n]).collect();
        let index = usize::from(port) % available.len().max(1);
        available.get(index).copied()
    }
}

/// Polls a daemon's readiness as routers do, and sends the results.
async fn poll_readiness(daemon: usize, address: SocketAddr, results: mpsc::Sender<(usize, bool)>) {
    loop {
        let checked =
            tokio::time::timeout(READINESS_INTERVAL, crate::dsr_fleet::is_ready(address)).await;
        if results
            .send((daemon, checked.unwrap_or(false)))
            .await
            .is_err()
        {
            return;
        }
        sleep(READINESS_INTERVAL).await;
    }
}
