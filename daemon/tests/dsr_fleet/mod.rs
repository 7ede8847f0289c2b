//! Starts daemon processes together with a store, two backend servers and a client. Each test uses
//! its own network in 127.78.0.0/16.

#![allow(clippy::unwrap_used)] // test helpers may panic
#![allow(dead_code)] // each test file uses only a part

use std::fs::File;
use std::net::{
    Ipv4Addr,
    SocketAddr,
    SocketAddrV4, //
};
use std::path::{
    Path,
    PathBuf, //
};
use std::process::{
    Child,
    Command, //
};
use std::time::{
    Duration,
    Instant, //
};

use lovagespindle_platform_stand_in::documents::{
    self,
    ServerState, //
};
use lovagespindle_platform_stand_in::{
    Endpoint,
    StoreStandIn, //
};
use rustix::process::{
    Pid,
    Resource,
    Rlimit,
    Signal, //
};
use tokio::io::{
    AsyncReadExt,
    AsyncWriteExt, //
};
use tokio::net::{
    TcpListener,
    TcpStream,
    UdpSocket, //
};
use tokio::time::{
    sleep,
    timeout, //
};

/// Address of the service to which clients open flows.
const SERVICE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);

/// Timeout of each step: several times the duration of the slowest one on a busy machine.
const TIMEOUT: Duration = Duration::from_secs(10);

const PACKET_PORT: u16 = 8_172;
const READINESS_PORT: u16 = 8_167;
const PEER_PORT: u16 = 8_166;
const METRICS_PORT: u16 = 9_464;

/// Returns a SYN from a port of the client. [`Fleet::send`] fills in the client's address.
pub(crate) fn syn(port: u16) -> Vec<u8> {
    let mut packet = vec![0; 31];
    packet[8] = 1;
    packet[17..19].copy_from_slice(&SERVICE.port().to_be_bytes());
    packet[23..25].copy_from_slice(&port.to_be_bytes());
    packet[25..29].copy_from_slice(&SERVICE.ip().octets());
    packet
}

struct Daemon {
    process: Child,
    host: Ipv4Addr,
    settings: PathBuf,
    /// Settings file without the extra settings of the test.
    base_settings: String,
    log: PathBuf,
}

/// Processes and stand-ins of one test. The processes are killed when it is dropped.
pub(crate) struct Fleet {
    pub(crate) store: StoreStandIn,
    network: u8,
    daemons: Vec<Daemon>,
    servers: Vec<UdpSocket>,
    /// Accept the probes of daemons.
    _listeners: Vec<TcpListener>,
    client: UdpSocket,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for daemon in &mut self.daemons {
            // The process may have exited already.
            let _ = daemon.process.kill();
            let _ = daemon.process.wait();
        }
    }
}

impl Fleet {
    /// Starts a store with two backend servers and one route, without daemons.
    pub(crate) async fn start(network: u8) -> Fleet {
        let store = StoreStandIn::start([127, 78, network, 1]).await.unwrap();
        let client = UdpSocket::bind((Ipv4Addr::new(127, 78, network, 2), PACKET_PORT));
        let (mut servers, mut listeners) = (Vec::new(), Vec::new());
        for number in 0..2 {
            let host = Ipv4Addr::new(127, 78, network, 10 + number);
            servers.push(UdpSocket::bind((host, 8_080)).await.unwrap());
            let address = SocketAddrV4::new(host, 8_080);
            listeners.push(TcpListener::bind(address).await.unwrap());
            store.put_server(u64::from(number) + 1, "desk", address, "a");
        }
        store.put_config(1, &[(SERVICE, "desk")]);
        Fleet {
            store,
            network,
            daemons: Vec::new(),
            servers,
            _listeners: listeners,
            client: client.await.unwrap(),
        }
    }

    /// Writes a version of the routes, always with the same route.
    pub(crate) fn put_config(&self, version: u64) {
        self.store.put_config(version, &[(SERVICE, "desk")]);
    }

    /// Writes a further entry of a backend server, as one that leaves.
    pub(crate) fn drain_server(&self, server: u8) {
        let host = Ipv4Addr::new(127, 78, self.network, 10 + server);
        let state = ServerState {
            service: "desk",
            address: SocketAddrV4::new(host, 8_080),
            zone: "a",
            slots: 4,
            draining: true,
            warmup_left: Duration::ZERO,
            sequence: 2,
        };
        self.store
            .write(documents::server(u64::from(server) + 1, &state));
    }

    /// Starts a daemon in zone `a` with other daemons as seeds. Returns its index.
    pub(crate) async fn start_daemon(&mut self, seeds: &[usize]) -> usize {
        self.start_daemon_in("a", seeds, self.store.address())
    }

    /// Opens an address of the store of its own for one daemon, so that the store can fail for it
    /// alone.
    pub(crate) async fn store_endpoint(&self) -> Endpoint {
        let host = [127, 78, self.network, 1];
        self.store.add_endpoint(host).await.unwrap()
    }

    /// Activates a version of the routes, and returns for each daemon the time until it is in force.
    pub(crate) async fn lag_of(&self, daemons: &[usize], version: u64) -> Vec<Duration> {
        self.put_config(version);
        let written = Instant::now();
        let line = format!("event=routes version={version} ");
        let mut lags = Vec::new();
        for daemon in daemons {
            self.wait_for_line_of(*daemon, &line).await;
            lags.push(written.elapsed());
        }
        lags
    }

    /// Activates a version of the routes every 100 ms, and returns for each daemon the longest time
    /// until one was in force.
    pub(crate) async fn measure_lag(&self, daemons: &[usize], versions: u64) -> Vec<Duration> {
        let mut written = Vec::new();
        let mut in_force = vec![0; daemons.len()];
        let mut longest = vec![Duration::ZERO; daemons.len()];
        let last = versions + 1;
        while in_force.iter().any(|version| *version < last) {
            if (written.len() as u64) < versions {
                self.put_config(written.len() as u64 + 2);
                written.push(Instant::now());
            }
            sleep(Duration::from_millis(100)).await;
            for (position, daemon) in daemons.iter().enumerate() {
                let version = latest_version(&self.read_log(*daemon));
                for pending in in_force[position].max(1) + 1..=version {
                    let lag = written[pending as usize - 2].elapsed();
                    longest[position] = longest[position].max(lag);
                }
                in_force[position] = version;
            }
            let oldest = written.last().unwrap();
            assert!(
                oldest.elapsed() < TIMEOUT,
                "versions in force: {in_force:?}"
            );
        }
        longest
    }

    /// Starts a daemon in a zone, with the store at a given address. Returns its index.
    pub(crate) fn start_daemon_in(
        &mut self,
        zone: &str,
        seeds: &[usize],
        store: SocketAddrV4,
    ) -> usize {
        let index = self.daemons.len();
        let host = Ipv4Addr::new(127, 78, self.network, 100 + index as u8);
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
        let settings = directory.join(format!("dsr-{}-{index}.toml", self.network));
        let log = directory.join(format!("dsr-{}-{index}.log", self.network));
        let seeds = seeds
            .iter()
            .map(|seed| format!("\"{}:{PEER_PORT}\"", self.daemons[*seed].host));
        let base_settings = format!(
            "[instance]\nname = \"entry-{index}\"\nzone = \"{zone}\"\n\
             [listen]\nclients = \"{host}:{PACKET_PORT}\"\n\
             readiness = \"{host}:{READINESS_PORT}\"\n\
             peers = \"{host}:{PEER_PORT}\"\nmetrics = \"{host}:{METRICS_PORT}\"\n\
             [peers]\nseeds = [{}]\n[store]\naddress = \"{}\"\n",
            seeds.collect::<Vec<_>>().join(","),
            store,
        );
        std::fs::write(&settings, &base_settings).unwrap();
        let process = spawn_daemon(&settings, File::create(&log).unwrap());
        self.daemons.push(Daemon {
            process,
            host,
            settings,
            base_settings,
            log,
        });
        index
    }

    /// Waits until a daemon has exited and starts it again, with the same settings and log.
    pub(crate) fn restart(&mut self, daemon: usize) {
        let daemon = &mut self.daemons[daemon];
        let log = File::options().append(true).open(&daemon.log).unwrap();
        daemon.process.wait().unwrap();
        daemon.process = spawn_daemon(&daemon.settings, log);
    }

    /// Replaces the settings file of a daemon by its base settings followed by extra settings.
    pub(crate) fn write_settings(&self, daemon: usize, extra: &str) {
        let daemon = &self.daemons[daemon];
        std::fs::write(&daemon.settings, format!("{}{extra}", daemon.base_settings)).unwrap();
    }

    pub(crate) fn signal(&self, daemon: usize, signal: Signal) {
        let process = Pid::from_child(&self.daemons[daemon].process);
        rustix::process::kill_process(process, signal).unwrap();
    }

    pub(crate) fn kill(&mut self, daemon: usize) {
        self.daemons[daemon].process.kill().unwrap();
    }

    /// Sets the limit of open file descriptors of a daemon. Returns the previous limit.
    pub(crate) fn limit_descriptors(&self, daemon: usize, limit: Option<u64>) -> Option<u64> {
        let process = Pid::from_child(&self.daemons[daemon].process);
        let before = rustix::process::getrlimit(Resource::Nofile);
        let limits = Rlimit {
            current: limit,
            maximum: before.maximum,
        };
        let before = rustix::process::prlimit(Some(process), Resource::Nofile, limits).unwrap();
        before.current
    }

    /// Connects to the metrics port of a daemon.
    pub(crate) async fn connect_metrics(&self, daemon: usize) -> TcpStream {
        let host = self.daemons[daemon].host;
        TcpStream::connect((host, METRICS_PORT)).await.unwrap()
    }

    /// Waits for a daemon to exit. Returns whether it did so within a duration.
    pub(crate) async fn exits_within(&mut self, daemon: usize, within: Duration) -> bool {
        let deadline = Instant::now() + within;
        while Instant::now() < deadline {
            if self.daemons[daemon].process.try_wait().unwrap().is_some() {
                return true;
            }
            sleep(Duration::from_millis(20)).await;
        }
        false
    }

    /// Returns the address at which a daemon receives packets.
    pub(crate) fn packet_address(&self, daemon: usize) -> SocketAddr {
        (self.daemons[daemon].host, PACKET_PORT).into()
    }

    /// Returns the address of a daemon's readiness checks.
    pub(crate) fn readiness_address(&self, daemon: usize) -> SocketAddr {
        (self.daemons[daemon].host, READINESS_PORT).into()
    }

    pub(crate) fn has_exited(&mut self, daemon: usize) -> bool {
        self.daemons[daemon].process.try_wait().unwrap().is_some()
    }

    async fn http_get(&self, daemon: usize, port: u16, path: &str) -> std::io::Result<String> {
        http_get((self.daemons[daemon].host, port).into(), path).await
    }

    /// Waits until a daemon reports that it is ready, or that it is not. Panics after [`TIMEOUT`].
    pub(crate) async fn wait_until_ready(&self, daemon: usize, ready: bool) {
        let status = if ready { "200" } else { "503" };
        let deadline = Instant::now() + TIMEOUT;
        loop {
            let path = lovagespindle_platform::READINESS_PATH;
            let response = self
                .http_get(daemon, READINESS_PORT, path)
                .await
                .unwrap_or_default();
            if response.starts_with(&format!("HTTP/1.1 {status}")) {
                return;
            }
            assert!(
                Instant::now() < deadline,
                "readiness is not {ready}: {response}"
            );
            sleep(Duration::from_millis(20)).await;
        }
    }

    pub(crate) async fn metrics(&self, daemon: usize) -> String {
        self.http_get(daemon, METRICS_PORT, "/metrics")
            .await
            .unwrap()
    }

    /// Sends a packet from the client to a daemon.
    pub(crate) fn send(&self, daemon: usize, packet: &[u8]) {
        let mut packet = packet.to_vec();
        let client = Ipv4Addr::new(127, 78, self.network, 2);
        packet[19..23].copy_from_slice(&client.octets());
        let to = (self.daemons[daemon].host, PACKET_PORT).into();
        self.client.try_send_to(&packet, to).unwrap();
    }

    /// Sends a SYN. Returns the backend server that receives it, and the datagram. Panics if the
    /// datagram does not carry the identity of this backend server.
    pub(crate) async fn open(&self, daemon: usize, packet: Vec<u8>) -> (usize, Vec<u8>) {
        self.send(daemon, &packet);
        let received = tokio::select! {
            datagram = self.receive_at_server(0) => (0, datagram),
            datagram = self.receive_at_server(1) => (1, datagram),
        };
        let identity = u64::from_be_bytes(received.1[..8].try_into().unwrap());
        assert_eq!(identity, received.0 as u64 + 1);
        received
    }

    /// Returns a data packet of the flow whose SYN a backend server received as `datagram`, with
    /// the same tag.
    pub(crate) fn data_packet(&self, datagram: &[u8]) -> Vec<u8> {
        let mut packet = datagram[8..].to_vec();
        packet[8] = 2;
        packet
    }

    /// Returns the next datagram that a backend server receives.
    pub(crate) async fn receive_at_server(&self, server: usize) -> Vec<u8> {
        receive(&self.servers[server]).await
    }

    /// Returns the next datagram that the client receives.
    pub(crate) async fn receive_at_client(&self) -> Vec<u8> {
        receive(&self.client).await
    }

    pub(crate) fn read_log(&self, daemon: usize) -> String {
        std::fs::read_to_string(&self.daemons[daemon].log).unwrap()
    }

    /// Waits until the log of one of the daemons contains a text. Panics after [`TIMEOUT`].
    pub(crate) async fn wait_for_line(&self, daemons: &[usize], text: &str) {
        let deadline = Instant::now() + TIMEOUT;
        while !daemons
            .iter()
            .any(|daemon| self.read_log(*daemon).contains(text))
        {
            assert!(Instant::now() < deadline, "no {text:?} in the logs");
            sleep(Duration::from_millis(20)).await;
        }
    }

    pub(crate) async fn wait_for_line_of(&self, daemon: usize, text: &str) {
        self.wait_for_line(&[daemon], text).await;
    }

    /// Returns the event by which a daemon last logged where it gets updates from.
    pub(crate) fn last_source(&self, daemon: usize) -> &'static str {
        let log = self.read_log(daemon);
        let mut lines = log.lines().rev();
        let events = ["leader_followed", "store_used"];
        let found = lines.find_map(|line| {
            events
                .into_iter()
                .find(|event| line.contains(&format!("event={event}")))
        });
        found.unwrap_or("none")
    }

    /// Returns which of two daemons watches the store for the other.
    pub(crate) fn leader(&self, first: usize, second: usize) -> usize {
        let has_leader = |daemon| self.read_log(daemon).contains("event=leader_followed");
        if has_leader(first) { second } else { first }
    }
}

async fn http_get(address: SocketAddr, path: &str) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(address).await?;
    let request = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await?;
    let mut text = String::new();
    stream.read_to_string(&mut text).await?;
    Ok(text)
}

/// Returns whether a daemon reports that it is ready.
pub(crate) async fn is_ready(address: SocketAddr) -> bool {
    let response = http_get(address, lovagespindle_platform::READINESS_PATH).await;
    response.is_ok_and(|response| response.starts_with("HTTP/1.1 200"))
}

fn spawn_daemon(settings: &Path, log: File) -> Child {
    Command::new(env!("CARGO_BIN_EXE_lovagespindled"))
        .args(["--dsr", "--config"])
        .arg(settings)
        .stdout(log)
        .spawn()
        .unwrap()
}

async fn receive(socket: &UdpSocket) -> Vec<u8> {
    let mut bytes = vec![0; 2_048];
    let received = timeout(TIMEOUT, socket.recv(&mut bytes)).await;
    let length = received.expect("no datagram received").unwrap();
    bytes.truncate(length);
    bytes
}

/// Returns the version of the routes that a log shows last.
fn latest_version(log: &str) -> u64 {
    let lines = log.lines().rev();
    let mut versions = lines.filter_map(|line| line.split_once("event=routes version="));
    let version = versions.next().and_then(|(_, rest)| rest.split(' ').next());
    version
        .and_then(|version| version.parse().ok())
        .unwrap_or(0)
}
