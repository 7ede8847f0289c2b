//! Measures one instance against a bare forwarder in the same run: packets per second and CPU time
//! per packet.
//!
//! An instance runs on a runtime of its own beside the platform stand-in, a caller and a backend
//! server. The caller opens flows; then Data packets of these flows go through the instance and,
//! in turn, the same datagrams through the bare forwarder. Only the threads of the instance's or
//! the forwarder's runtime count as CPU time.
//!
//! `cargo run --release -p lovagespindle-daemon --example throughput -- --rate 20000`

use std::fs;
use std::io;
use std::net::{
    SocketAddr,
    TcpListener,
    UdpSocket, //
};
use std::time::{
    Duration,
    Instant, //
};

use bytes::Bytes;
use lovagespindle_daemon::edges::StartError;
use lovagespindle_daemon::run;
use lovagespindle_daemon::settings::Settings;
use lovagespindle_datagram::{
    Datagram,
    DecodeError,
    EncodeError,
    Services,
    encode,
    flow_id, //
};
use lovagespindle_decisions::Time;
use lovagespindle_decisions::config::Change;
use lovagespindle_decisions::ids::{
    OperationId,
    RequestId,
    ServiceId, //
};
use lovagespindle_decisions::packet::{
    Packet,
    PacketKind,
    Route, //
};
use lovagespindle_operators::client::{
    Client,
    Settings as ClientSettings, //
};
use lovagespindle_operators::messages::ApplyChanges;
use lovagespindle_stand_ins::backend_server::ServerSettings;
use lovagespindle_stand_ins::forwarder::{
    self,
    Mode, //
};
use lovagespindle_stand_ins::load::{
    Load,
    LoadResult,
    SendRate, //
};
use lovagespindle_stand_ins::peer::localhost;
use lovagespindle_stand_ins::platform::Platform;
use lovagespindle_stand_ins::{
    BackendServer,
    Error as StandInError, //
};
use tokio::runtime::{
    Builder,
    Runtime, //
};

const INSTANCE: &str = "instance";
const FORWARDER: &str = "forwarder";
const SERVICE: &str = "ticket-desk";

/// The service is the first object of the configuration that takes a number.
const NUMBER: ServiceId = ServiceId(0);

/// How long the instance may take until it serves the first flow.
const PATIENCE: Duration = Duration::from_secs(20);

/// The backend server answers one packet in so many, so that it counts as alive. That is too few
/// for a flow of a slow load, so the settings let flows be silent.
const ANSWERED: u64 = 63;

#[derive(Debug, thiserror::Error)]
enum Error {
    #[error("an argument is missing or malformed")]
    Arguments(#[from] pico_args::Error),
    #[error("a socket or a file of the process failed")]
    Io(#[from] io::Error),
    #[error("a stand-in or the load failed")]
    StandIn(#[from] StandInError),
    #[error("the settings are wrong")]
    Settings(#[from] toml::de::Error),
    #[error("the instance does not start")]
    Start(#[from] StartError),
    #[error("a packet cannot be encoded")]
    Encode(#[from] EncodeError),
    #[error("a packet cannot be decoded")]
    Decode(#[from] DecodeError),
    #[error("the instance did not serve flow {0} in time")]
    NotServed(u16),
}

struct Options {
    pace: SendRate,
    run: Duration,
    rounds: u32,
    flows: u16,
    /// The size of the payload in bytes.
    size: usize,
    /// How many threads each runtime has.
    threads: usize,
}

fn main() -> Result<(), Error> {
    let options = options()?;
    let sink = UdpSocket::bind(localhost())?;
    let setup = Setup::start(&options, &sink)?;
    let mut datagrams = Vec::new();
    for n in 0..options.flows {
        setup.open(n, &sink)?;
        let mut bytes = Vec::new();
        let payload = Bytes::from(vec![7; options.size]);
        encode(
            &packet(n, PacketKind::Data, payload),
            None,
            Time::ZERO,
            &mut bytes,
        )?;
        datagrams.push(bytes);
    }
    let plain = forwarder::start(&setup.forwarder, Mode::Plain, sink.local_addr()?)?;
    println!("pace {:?}, {} flows", options.pace, options.flows);
    println!("| run | path | sent | received | packets/s | CPU us/packet | ratio | load |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for round in 1..=options.rounds {
        let load = |entry, threads| Load {
            entry,
            datagrams: datagrams.clone(),
            pace: options.pace,
            run: options.run,
            threads,
        };
        let bare = load(plain, FORWARDER).measure(&sink, |_, _| {})?;
        print(round, FORWARDER, &bare, &bare)?;
        let mut taken = 0_u64;
        let figures = load(setup.entry, INSTANCE).measure(&sink, |bytes, source| {
            taken += 1;
            if taken.is_multiple_of(ANSWERED) {
                // A missing answer shows in the figures.
                let _ = answer(&sink, bytes, source);
            }
        })?;
        print(round, INSTANCE, &figures, &bare)?;
    }
    Ok(())
}

fn options() -> Result<Options, Error> {
    let mut arguments = pico_args::Arguments::from_env();
    let rate: Option<u64> = arguments.opt_value_from_str("--rate")?;
    let window: Option<u64> = arguments.opt_value_from_str("--window")?;
    let seconds: Option<u64> = arguments.opt_value_from_str("--seconds")?;
    let rounds: Option<u32> = arguments.opt_value_from_str("--rounds")?;
    let flows: Option<u16> = arguments.opt_value_from_str("--flows")?;
    let size: Option<usize> = arguments.opt_value_from_str("--size")?;
    let threads: Option<usize> = arguments.opt_value_from_str("--threads")?;
    Ok(Options {
        pace: rate.map_or(SendRate::Window(window.unwrap_or(256)), SendRate::Rate),
        run: Duration::from_secs(seconds.unwrap_or(3).min(60)),
        rounds: rounds.unwrap_or(3),
        flows: flows.unwrap_or(64).max(1),
        size: size.unwrap_or(64),
        threads: threads.unwrap_or(2),
    })
}

/// Everything that runs beside the load.
struct Setup {
    instance: Runtime,
    forwarder: Runtime,
    /// Where the instance takes packets of callers.
    entry: SocketAddr,
    caller: UdpSocket,
    _platform: Platform,
    /// Only its health endpoint is used.
    _server: BackendServer,
    _stand_ins: Runtime,
}

impl Setup {
    fn start(options: &Options, sink: &UdpSocket) -> Result<Setup, Error> {
        let stand_ins = runtime("stand-ins", 1)?;
        let instance = runtime(INSTANCE, options.threads)?;
        let platform = stand_ins.block_on(Platform::start())?;
        let server = stand_ins.block_on(BackendServer::start(ServerSettings::default()))?;
        let caller = UdpSocket::bind(localhost())?;
        caller.set_read_timeout(Some(Duration::from_millis(100)))?;
        sink.set_read_timeout(Some(Duration::from_millis(100)))?;
        let (entry, operators) = (free_udp()?, free_tcp()?);
        let text = format!(
            "[instance]\nname = \"throughput\"\nzone = \"nz-north-a\"\n\
             control = \"127.0.0.1:0\"\nrelay = \"127.0.0.1:0\"\n\
             [callers]\nlisten = \"{entry}\"\nfabric = \"{}\"\n\
             [backend_servers]\nlisten = \"127.0.0.1:0\"\n\
             [operators]\nlisten = \"{operators}\"\n\
             [decisions.hosting]\nsilence = \"1h\"\n\
             [platform]\nendpoint = \"{}\"\n",
            caller.local_addr()?,
            platform.url(),
        );
        let settings: Settings = toml::from_str(&text)?;
        // On a thread of the runtime, so that all of the instance's work counts as its own.
        let started = instance.spawn(run::start(settings));
        let router = instance.block_on(started).map_err(io::Error::from)??;
        // The actor stops with its last reference, and the instance lives as long as the process.
        std::mem::forget(router);
        let changes = changes(sink.local_addr()?, server.health);
        stand_ins.block_on(apply(operators, changes));
        Ok(Setup {
            instance,
            forwarder: runtime(FORWARDER, options.threads)?,
            entry,
            caller,
            _platform: platform,
            _server: server,
            _stand_ins: stand_ins,
        })
    }

    /// Opens a flow: its first request is answered. Repeated until the instance serves it.
    fn open(&self, n: u16, sink: &UdpSocket) -> Result<(), Error> {
        let _ = &self.instance;
        let mut bytes = Vec::new();
        let open = packet(n, PacketKind::Open, Bytes::new());
        encode(&open, None, Time::ZERO, &mut bytes)?;
        let mut buffer = [0; 2048];
        let deadline = Instant::now() + PATIENCE;
        while Instant::now() < deadline {
            self.caller.send_to(&bytes, self.entry)?;
            let Ok((length, source)) = sink.recv_from(&mut buffer) else {
                // Refused while the instance is starting.
                continue;
            };
            answer(sink, &buffer[..length], source)?;
            while let Ok((length, _)) = self.caller.recv_from(&mut buffer) {
                let packet = Datagram::decode(&buffer[..length], &services(), Time::ZERO)?.packet;
                if packet.kind == PacketKind::Answer && packet.flow == open.flow {
                    return Ok(());
                }
            }
        }
        Err(Error::NotServed(n))
    }
}

fn runtime(name: &str, threads: usize) -> io::Result<Runtime> {
    Builder::new_multi_thread()
        .worker_threads(threads)
        .thread_name(name)
        .enable_all()
        .build()
}

/// Returns an address that was free a moment ago. The instance does not tell which port the
/// operating system would choose for it.
fn free_udp() -> io::Result<SocketAddr> {
    UdpSocket::bind(localhost())?.local_addr()
}

fn free_tcp() -> io::Result<SocketAddr> {
    TcpListener::bind(localhost())?.local_addr()
}

fn service() -> SocketAddr {
    SocketAddr::from(([198, 51, 100, 7], 80))
}

fn services() -> Services {
    [(service(), NUMBER)].into_iter().collect()
}

fn changes(address: SocketAddr, health: SocketAddr) -> Vec<Change> {
    let zone = "nz-north-a".to_owned();
    let pool = "pool".to_owned();
    vec![
        Change::PutService {
            name: SERVICE.to_owned(),
            address: service(),
            idle: Duration::from_secs(600),
        },
        Change::CreateZone {
            name: zone.clone(),
            region: "nz-north".to_owned(),
        },
        Change::CreatePool {
            name: pool.clone(),
            service: SERVICE.to_owned(),
            zone,
        },
        Change::PutServer {
            name: "server".to_owned(),
            pool,
            address,
            health,
            weight: 100,
            slots: 4,
            connections: 2000,
        },
    ]
}

/// Applies the configuration. If that fails, no flow can be opened.
async fn apply(operators: SocketAddr, changes: Vec<Change>) {
    let client = Client::new(vec![operators], ClientSettings::default());
    let call = ApplyChanges {
        operation: OperationId(1),
        expected: None,
        changes,
    };
    if let Err(error) = client.apply(&call).await {
        eprintln!("the configuration was not applied: {error}");
    }
}

fn packet(n: u16, kind: PacketKind, payload: Bytes) -> Packet {
    let route = Route {
        caller: SocketAddr::from(([192, 0, 2, 1], 1024 + n)),
        address: service(),
        unique_id: n.into(),
    };
    Packet {
        service: NUMBER,
        flow: flow_id(&route),
        kind,
        request: RequestId(1),
        attempt: 0,
        idempotent: true,
        deadline: None,
        part: 0,
        last: false,
        reason: None,
        route,
        payload,
    }
}

/// Answers a packet on its flow.
fn answer(sink: &UdpSocket, bytes: &[u8], to: SocketAddr) -> Result<(), Error> {
    let packet = Datagram::decode(bytes, &services(), Time::ZERO)?.packet;
    let answer = Packet {
        kind: PacketKind::Answer,
        last: true,
        ..packet
    };
    let mut bytes = Vec::new();
    encode(&answer, None, Time::ZERO, &mut bytes)?;
    sink.send_to(&bytes, to)?;
    Ok(())
}

fn print(round: u32, path: &str, figures: &LoadResult, bare: &LoadResult) -> io::Result<()> {
    let load = fs::read_to_string("/proc/loadavg")?;
    let load = load.split_ascii_whitespace().next().unwrap_or_default();
    println!(
        "| {round} | {path} | {} | {} | {:.0} | {:.2} | {:.2} | {load} |",
        figures.sent,
        figures.received,
        figures.rate(),
        figures.micros(),
        figures.micros() / bare.micros(),
    );
    Ok(())
}
