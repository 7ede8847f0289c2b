//! Daemon processes between a store, two backend servers and a client. Each test has a network of
//! its own in 127.78.0.0/16.

#![allow(clippy::unwrap_used)] // helpers of tests may panic
#![allow(dead_code)] // each test file uses a part

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

use lovagespindle_platform_stand_in::StoreStandIn;
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
    TcpStream,
    UdpSocket, //
};
use tokio::time::{
    sleep,
    timeout, //
};

/// The address that clients open flows to.
const SERVICE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);

/// How long anything may take: several times the slowest step, on a busy machine.
const PATIENCE: Duration = Duration::from_secs(10);

/// The port of clients' packets, on all hosts.
const PACKETS: u16 = 8_172;
const READINESS: u16 = 8_167;
const PEERS: u16 = 8_166;
const METRICS: u16 = 9_464;

/// Returns an opening packet of the client of a network, on that port.
pub(crate) fn opening(port: u16) -> Vec<u8> {
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
    least: String,
    log: PathBuf,
}

/// The processes and stand-ins of one test; processes are killed at its end.
pub(crate) struct Fleet {
    pub(crate) store: StoreStandIn,
    network: u8,
    daemons: Vec<Daemon>,
    servers: Vec<UdpSocket>,
    client: UdpSocket,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for daemon in &mut self.daemons {
            // It may have ended already.
            let _ = daemon.process.kill();
            let _ = daemon.process.wait();
        }
    }
}

impl Fleet {
    /// Starts a store that knows two backend servers and a route.
    pub(crate) async fn start(network: u8) -> Fleet {
        let store = StoreStandIn::start([127, 78, network, 1]).await.unwrap();
        let client = UdpSocket::bind((Ipv4Addr::new(127, 78, network, 2), PACKETS));
        let mut servers = Vec::new();
        for number in 0..2 {
            let host = Ipv4Addr::new(127, 78, network, 10 + number);
            servers.push(UdpSocket::bind((host, 8_080)).await.unwrap());
            let address = SocketAddrV4::new(host, 8_080);
            store.put_server(u64::from(number) + 1, "desk", address, "a");
        }
        store.put_config(1, &[(SERVICE, "desk")]);
        Fleet {
            store,
            network,
            daemons: Vec::new(),
            servers,
            client: client.await.unwrap(),
        }
    }

    /// Writes a version of the configuration with the one route.
    pub(crate) fn put_config(&self, version: u64) {
        self.store.put_config(version, &[(SERVICE, "desk")]);
    }

    /// Starts a daemon that knows others as seeds.
    pub(crate) async fn daemon(&mut self, seeds: &[usize]) -> usize {
        self.daemon_at("a", seeds, self.store.address())
    }

    /// Starts a daemon of a zone that finds the store at an address.
    pub(crate) fn daemon_at(&mut self, zone: &str, seeds: &[usize], store: SocketAddrV4) -> usize {
        let index = self.daemons.len();
        let host = Ipv4Addr::new(127, 78, self.network, 100 + index as u8);
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
        let settings = folder.join(format!("dsr-{}-{index}.toml", self.network));
        let log = folder.join(format!("dsr-{}-{index}.log", self.network));
        let seeds = seeds
            .iter()
            .map(|seed| format!("\"{}:{PEERS}\"", self.daemons[*seed].host));
        let least = format!(
            "[instance]\nname = \"entry-{index}\"\nzone = \"{zone}\"\n\
             [listen]\nclients = \"{host}:{PACKETS}\"\nreadiness = \"{host}:{READINESS}\"\n\
             peers = \"{host}:{PEERS}\"\nmetrics = \"{host}:{METRICS}\"\n\
             [peers]\nseeds = [{}]\n[store]\naddress = \"{}\"\n",
            seeds.collect::<Vec<_>>().join(","),
            store,
        );
        std::fs::write(&settings, &least).unwrap();
        let process = launch(&settings, File::create(&log).unwrap());
        self.daemons.push(Daemon {
            process,
            host,
            settings,
            least,
            log,
        });
        index
    }

    /// Starts a daemon again that has ended.
    pub(crate) fn restart(&mut self, daemon: usize) {
        let daemon = &mut self.daemons[daemon];
        let log = File::options().append(true).open(&daemon.log).unwrap();
        daemon.process.wait().unwrap();
        daemon.process = launch(&daemon.settings, log);
    }

    pub(crate) fn append_settings(&self, daemon: usize, more: &str) {
        let daemon = &self.daemons[daemon];
        std::fs::write(&daemon.settings, format!("{}{more}", daemon.least)).unwrap();
    }

    pub(crate) fn signal(&self, daemon: usize, signal: Signal) {
        let process = Pid::from_child(&self.daemons[daemon].process);
        rustix::process::kill_process(process, signal).unwrap();
    }

    pub(crate) fn kill(&mut self, daemon: usize) {
        self.daemons[daemon].process.kill().unwrap();
    }

    /// Limits how many descriptors a daemon may open. Returns the limit before.
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

    /// Opens a connection to a daemon's metrics.
    pub(crate) async fn connect_metrics(&self, daemon: usize) -> TcpStream {
        let host = self.daemons[daemon].host;
        TcpStream::connect((host, METRICS)).await.unwrap()
    }

    /// Returns whether a daemon ends by itself in time.
    pub(crate) async fn ended(&mut self, daemon: usize, within: Duration) -> bool {
        let deadline = Instant::now() + within;
        while Instant::now() < deadline {
            if self.daemons[daemon].process.try_wait().unwrap().is_some() {
                return true;
            }
            sleep(Duration::from_millis(20)).await;
        }
        false
    }

    /// Returns where a daemon takes packets.
    pub(crate) fn packets(&self, daemon: usize) -> SocketAddr {
        (self.daemons[daemon].host, PACKETS).into()
    }

    /// Returns where a daemon answers readiness checks.
    pub(crate) fn readiness(&self, daemon: usize) -> SocketAddr {
        (self.daemons[daemon].host, READINESS).into()
    }

    /// Returns whether a daemon's process has ended.
    pub(crate) fn has_ended(&mut self, daemon: usize) -> bool {
        self.daemons[daemon].process.try_wait().unwrap().is_some()
    }

    async fn get(&self, daemon: usize, port: u16, path: &str) -> std::io::Result<String> {
        get((self.daemons[daemon].host, port).into(), path).await
    }

    /// Waits until a daemon says that it is ready, or that it is not.
    pub(crate) async fn until_ready(&self, daemon: usize, ready: bool) {
        let status = if ready { "200" } else { "503" };
        let deadline = Instant::now() + PATIENCE;
        loop {
            let path = lovagespindle_platform::READINESS_PATH;
            let answer = self.get(daemon, READINESS, path).await.unwrap_or_default();
            if answer.starts_with(&format!("HTTP/1.1 {status}")) {
                return;
            }
            assert!(
                Instant::now() < deadline,
                "readiness is not {ready}: {answer}"
            );
            sleep(Duration::from_millis(20)).await;
        }
    }

    pub(crate) async fn metrics(&self, daemon: usize) -> String {
        self.get(daemon, METRICS, "/metrics").await.unwrap()
    }

    pub(crate) fn send(&self, daemon: usize, packet: &[u8]) {
        let mut packet = packet.to_vec();
        let client = Ipv4Addr::new(127, 78, self.network, 2);
        packet[19..23].copy_from_slice(&client.octets());
        let to = (self.daemons[daemon].host, PACKETS).into();
        self.client.try_send_to(&packet, to).unwrap();
    }

    /// Sends an opening packet. Returns the backend server that gets it, and the datagram.
    pub(crate) async fn open(&self, daemon: usize, packet: Vec<u8>) -> (usize, Vec<u8>) {
        self.send(daemon, &packet);
        let received = tokio::select! {
            datagram = self.received(0) => (0, datagram),
            datagram = self.received(1) => (1, datagram),
        };
        let identity = u64::from_be_bytes(received.1[..8].try_into().unwrap());
        assert_eq!(identity, received.0 as u64 + 1);
        received
    }

    /// Returns a packet that follows an opening, with the tag that the backend server returned.
    pub(crate) fn data_after(&self, datagram: &[u8]) -> Vec<u8> {
        let mut packet = datagram[8..].to_vec();
        packet[8] = 2;
        packet
    }

    /// Returns the next datagram that a backend server gets.
    pub(crate) async fn received(&self, server: usize) -> Vec<u8> {
        receive(&self.servers[server]).await
    }

    /// Returns the next datagram that the client gets.
    pub(crate) async fn client_received(&self) -> Vec<u8> {
        receive(&self.client).await
    }

    pub(crate) fn log(&self, daemon: usize) -> String {
        std::fs::read_to_string(&self.daemons[daemon].log).unwrap()
    }

    /// Waits until the log of one of the daemons holds a text.
    pub(crate) async fn until_line(&self, daemons: &[usize], text: &str) {
        let deadline = Instant::now() + PATIENCE;
        while !daemons
            .iter()
            .any(|daemon| self.log(*daemon).contains(text))
        {
            assert!(Instant::now() < deadline, "no {text:?} in the logs");
            sleep(Duration::from_millis(20)).await;
        }
    }

    pub(crate) async fn until_line_of(&self, daemon: usize, text: &str) {
        self.until_line(&[daemon], text).await;
    }

    /// Returns which of two daemons follows the store for the other.
    pub(crate) fn leader(&self, first: usize, second: usize) -> usize {
        let follows = |daemon| self.log(daemon).contains("event=leader_followed");
        if follows(first) { second } else { first }
    }
}

async fn get(address: SocketAddr, path: &str) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(address).await?;
    let request = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await?;
    let mut text = String::new();
    stream.read_to_string(&mut text).await?;
    Ok(text)
}

/// Returns whether a daemon says that it is ready.
pub(crate) async fn is_ready(address: SocketAddr) -> bool {
    let answer = get(address, lovagespindle_platform::READINESS_PATH).await;
    answer.is_ok_and(|answer| answer.starts_with("HTTP/1.1 200"))
}

fn launch(settings: &Path, log: File) -> Child {
    Command::new(env!("CARGO_BIN_EXE_lovagespindled"))
        .args(["--dsr", "--config"])
        .arg(settings)
        .stdout(log)
        .spawn()
        .unwrap()
}

async fn receive(socket: &UdpSocket) -> Vec<u8> {
    let mut bytes = vec![0; 2_048];
    let received = timeout(PATIENCE, socket.recv(&mut bytes)).await;
    let length = received.expect("a datagram").unwrap();
    bytes.truncate(length);
    bytes
}
