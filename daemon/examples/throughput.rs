//! Measures packets per second and CPU time per packet of one instance, compared with a plain
//! forwarder in the same run.
//!
//! The instance has its own runtime; the platform stand-in, a caller and a backend server run beside
//! it. The caller opens flows. In each round, Data packets of these flows are sent through the plain
//! forwarder and then through the instance. The CPU time is that of the threads of the forwarder's
//! or the instance's runtime only.
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
use lovagespindle_daemon::adapters::StartError;
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

/// Id of the service: the first id that the configuration assigns.
const SERVICE_ID: ServiceId = ServiceId(0);

/// Time within which the instance must serve a flow.
const OPEN_TIMEOUT: Duration = Duration::from_secs(20);

/// The backend server answers one of this many packets, so that the instance considers it alive. At
/// a low rate this leaves flows without an answer for a long time, so the settings raise
/// `decisions.hosting.silence`.
const ANSWER_INTERVAL: u64 = 63;

#[derive(Debug, thiserror::Error)]
enum Error {
    #[error("invalid arguments")]
    Arguments(#[from] pico_args::Error),
    #[error("cannot use a socket, a file or a runtime")]
    Io(#[from] io::Error),
    #[error("a stand-in or the load failed")]
    StandIn(#[from] StandInError),
    #[error("the settings are invalid")]
    Settings(#[from] toml::de::Error),
    #[error("the instance cannot start")]
    Start(#[from] StartError),
    #[error("cannot encode a packet")]
    Encode(#[from] EncodeError),
    #[error("cannot decode a packet")]
    Decode(#[from] DecodeError),
    #[error("the instance did not serve flow {0} in time")]
    NotServed(u16),
}

struct Options {
    pace: SendRate,
    run: Duration,
    rounds: u32,
    flows: u16,
    /// Payload size in bytes.
    size: usize,
    /// Number of threads of the instance's and of the forwarder's runtime.
    threads: usize,
}

fn main() -> Result<(), Error> {
    let options = options()?;
    let sink = UdpSocket::bind(localhost())?;
    let setup = Setup::start(&options, &sink)?;
    let mut datagrams = Vec::new();
    for n in 0..options.flows {
        setup.open_flow(n, &sink)?;
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
        let baseline = load(plain, FORWARDER).measure(&sink, |_, _| {})?;
        print(round, FORWARDER, &baseline, &baseline)?;
        let mut received = 0_u64;
        let result = load(setup.entry, INSTANCE).measure(&sink, |bytes, source| {
            received += 1;
            if received.is_multiple_of(ANSWER_INTERVAL) {
                // Ignored here: missing answers show in the results.
                let _ = answer(&sink, bytes, source);
            }
        })?;
        print(round, INSTANCE, &result, &baseline)?;
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

/// The instance and what runs beside it.
struct Setup {
    instance: Runtime,
    forwarder: Runtime,
    /// Address at which the instance receives packets of callers.
    entry: SocketAddr,
    caller: UdpSocket,
    _platform: Platform,
    /// Provides only the health endpoint; packets go to the sink socket.
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
        // Starts on a thread of this runtime, so that all of the instance's work is measured.
        let started = instance.spawn(run::start(settings));
        let router = instance.block_on(started).map_err(io::Error::from)??;
        // The actor would stop when its last reference is dropped. The instance has to run until the
        // process ends.
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

    /// Opens flow `n` and answers its first request. Retries until the caller gets the answer, as the
    /// instance may still be starting.
    fn open_flow(&self, n: u16, sink: &UdpSocket) -> Result<(), Error> {
        let _ = &self.instance;
        let mut bytes = Vec::new();
        let open = packet(n, PacketKind::Open, Bytes::new());
        encode(&open, None, Time::ZERO, &mut bytes)?;
        let mut buffer = [0; 2048];
        let deadline = Instant::now() + OPEN_TIMEOUT;
        while Instant::now() < deadline {
            self.caller.send_to(&bytes, self.entry)?;
            let Ok((length, source)) = sink.recv_from(&mut buffer) else {
                // The instance refuses packets while it is starting.
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

/// Returns an address that is currently free. Port 0 is no option, because the instance does not
/// report which port the operating system chose.
fn free_udp() -> io::Result<SocketAddr> {
    UdpSocket::bind(localhost())?.local_addr()
}

fn free_tcp() -> io::Result<SocketAddr> {
    TcpListener::bind(localhost())?.local_addr()
}

fn service_address() -> SocketAddr {
    SocketAddr::from(([198, 51, 100, 7], 80))
}

fn services() -> Services {
    [(service_address(), SERVICE_ID)].into_iter().collect()
}

fn changes(address: SocketAddr, health: SocketAddr) -> Vec<Change> {
    let zone = "nz-north-a".to_owned();
    let pool = "pool".to_owned();
    vec![
        Change::PutService {
            name: SERVICE.to_owned(),
            address: service_address(),
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

/// Applies the configuration. A failure is only printed, because opening the first flow fails then.
async fn apply(operators: SocketAddr, changes: Vec<Change>) {
    let client = Client::new(vec![operators], ClientSettings::default());
    let call = ApplyChanges {
        operation: OperationId(1),
        expected: None,
        changes,
    };
    if let Err(error) = client.apply(&call).await {
        eprintln!("cannot apply the configuration: {error}");
    }
}

fn packet(n: u16, kind: PacketKind, payload: Bytes) -> Packet {
    let route = Route {
        caller: SocketAddr::from(([192, 0, 2, 1], 1024 + n)),
        address: service_address(),
        unique_id: n.into(),
    };
    Packet {
        service: SERVICE_ID,
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

/// Sends an answer to the request of a packet.
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

fn print(round: u32, path: &str, result: &LoadResult, baseline: &LoadResult) -> io::Result<()> {
    let load = fs::read_to_string("/proc/loadavg")?;
    let load = load.split_ascii_whitespace().next().unwrap_or_default();
    println!(
        "| {round} | {path} | {} | {} | {:.0} | {:.2} | {:.2} | {load} |",
        result.sent,
        result.received,
        result.rate(),
        result.micros(),
        result.micros() / baseline.micros(),
    );
    Ok(())
}
