//! Measures a bare datagram forwarder on loopback: packets per second and CPU time per packet.
//!
//! The figures bound what any instance can reach on the same machine. A load thread keeps at most
//! a window of packets on the way, a forwarder on a multi-threaded runtime passes them on, and a
//! sink thread counts them. Only the threads of the forwarder's runtime count as CPU time.
//!
//! `cargo run --release -p lovagespindle-stand-ins --example forwarder -- --mode codec`

use std::fs;
use std::io;
use std::net::{
    SocketAddr,
    UdpSocket, //
};
use std::sync::Arc;
use std::sync::atomic::{
    AtomicBool,
    AtomicU64,
    Ordering, //
};
use std::sync::mpsc;
use std::thread;
use std::time::{
    Duration,
    Instant, //
};

use bytes::Bytes;
use lovagespindle_datagram::socket::{
    RECEIVE_BUFFER,
    SocketError,
    bind, //
};
use lovagespindle_datagram::{
    Clock,
    Datagram,
    Sender,
    encode, //
};
use lovagespindle_decisions::Time;
use lovagespindle_decisions::packet::PacketKind;
use lovagespindle_stand_ins::Error as StandInError;
use lovagespindle_stand_ins::peer::{
    localhost,
    packet,
    services, //
};
use tokio::runtime::{
    Builder,
    Runtime, //
};

/// The name of the forwarder's threads; at most 15 bytes, or the kernel cuts it.
const THREADS: &str = "forwarder";

/// How many datagrams the forwarder takes per wake-up.
const BATCH: usize = 64;

/// How many packets are returned to the load thread at once.
const CREDIT: u64 = 32;

#[derive(Debug, thiserror::Error)]
enum Error {
    #[error("an argument is missing or malformed")]
    Arguments(#[from] pico_args::Error),
    #[error("the mode is neither plain nor codec")]
    Mode(#[from] strum::ParseError),
    #[error("a socket or a file of the process failed")]
    Io(#[from] io::Error),
    #[error("a datagram socket cannot be opened")]
    Socket(#[from] SocketError),
    #[error("the packet cannot be encoded")]
    Packet(#[from] StandInError),
    #[error("a thread panicked")]
    Thread,
}

/// What the forwarder does with a datagram.
#[derive(Clone, Copy, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
enum Mode {
    /// Sends the bytes as they are.
    Plain,
    /// Decodes the packet and encodes it again.
    Codec,
}

struct Options {
    mode: Mode,
    run: Duration,
    /// The size of the payload in bytes.
    size: usize,
    /// How many packets may be on the way.
    window: u64,
    /// How many threads the forwarder's runtime has.
    threads: usize,
}

fn main() -> Result<(), Error> {
    let options = options()?;
    let runtime = Builder::new_multi_thread()
        .worker_threads(options.threads)
        .thread_name(THREADS)
        .enable_all()
        .build()?;
    let sink = UdpSocket::bind(localhost())?;
    sink.set_read_timeout(Some(Duration::from_millis(50)))?;
    let entry = start(&runtime, options.mode, sink.local_addr()?)?;
    measure(&options, entry, sink)
}

fn options() -> Result<Options, Error> {
    let mut arguments = pico_args::Arguments::from_env();
    let mode: Option<String> = arguments.opt_value_from_str("--mode")?;
    let seconds: Option<u64> = arguments.opt_value_from_str("--seconds")?;
    let size: Option<usize> = arguments.opt_value_from_str("--size")?;
    let window: Option<u64> = arguments.opt_value_from_str("--window")?;
    let threads: Option<usize> = arguments.opt_value_from_str("--threads")?;
    Ok(Options {
        mode: mode.map_or(Ok(Mode::Plain), |mode| mode.parse())?,
        run: Duration::from_secs(seconds.unwrap_or(5).min(60)),
        size: size.unwrap_or(64),
        window: window.unwrap_or(256).max(CREDIT),
        threads: threads.unwrap_or(2),
    })
}

/// Starts the forwarder and returns where it takes packets.
fn start(runtime: &Runtime, mode: Mode, to: SocketAddr) -> Result<SocketAddr, Error> {
    let _context = runtime.enter();
    let entry = bind(localhost(), RECEIVE_BUFFER)?;
    let exit = Arc::new(bind(localhost(), RECEIVE_BUFFER)?);
    let address = entry.local_addr()?;
    let clock = Clock::start();
    let sender = Sender::new(exit.clone(), clock);
    runtime.spawn(async move {
        let ended = match mode {
            Mode::Plain => forward(&entry, &exit, to).await,
            Mode::Codec => recode(&entry, sender, clock, to).await,
        };
        if let Err(error) = ended {
            eprintln!("the forwarder stopped: {error}");
        }
    });
    Ok(address)
}

async fn forward(
    entry: &tokio::net::UdpSocket,
    exit: &tokio::net::UdpSocket,
    to: SocketAddr,
) -> io::Result<()> {
    let mut buffer = [0; 2048];
    loop {
        entry.readable().await?;
        for _ in 0..BATCH {
            let Some(length) = receive(entry, &mut buffer)? else {
                break;
            };
            exit.send_to(&buffer[..length], to).await?;
        }
    }
}

async fn recode(
    entry: &tokio::net::UdpSocket,
    mut sender: Sender,
    clock: Clock,
    to: SocketAddr,
) -> io::Result<()> {
    let services = services();
    let mut buffer = [0; 2048];
    loop {
        entry.readable().await?;
        for _ in 0..BATCH {
            let Some(length) = receive(entry, &mut buffer)? else {
                break;
            };
            if let Ok(datagram) = Datagram::decode(&buffer[..length], &services, clock.now()) {
                sender.send(to, &datagram.packet, None).await;
            }
        }
    }
}

/// Returns the length of the next datagram, if there is one.
fn receive(entry: &tokio::net::UdpSocket, buffer: &mut [u8]) -> io::Result<Option<usize>> {
    match entry.try_recv_from(buffer) {
        Ok((length, _)) => Ok(Some(length)),
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(None),
        Err(error) => Err(error),
    }
}

/// Loads the forwarder for the time of the run and prints the figures.
fn measure(options: &Options, entry: SocketAddr, sink: UdpSocket) -> Result<(), Error> {
    let mut packet = packet(PacketKind::Request, 1);
    packet.payload = Bytes::from(vec![7; options.size]);
    let mut bytes = Vec::new();
    encode(&packet, None, Time::ZERO, &mut bytes).map_err(StandInError::from)?;
    let length = bytes.len();
    let sent = Arc::new(AtomicU64::new(0));
    let stop = Arc::new(AtomicBool::new(false));
    let (credits, credit) = mpsc::channel();
    let _ = credits.send(options.window);
    let load = {
        let sent = sent.clone();
        thread::spawn(move || load(entry, &bytes, &sent, &credit))
    };
    let sink = {
        let (sent, stop) = (sent.clone(), stop.clone());
        thread::spawn(move || count(&sink, &sent, &stop, &credits))
    };
    let (before, started) = (cpu_time()?, Instant::now());
    thread::sleep(options.run);
    let (cpu, elapsed) = (cpu_time()? - before, started.elapsed());
    stop.store(true, Ordering::Relaxed);
    let received = sink.join().map_err(|_| Error::Thread)??;
    load.join().map_err(|_| Error::Thread)??;
    print(
        options,
        length,
        received,
        sent.load(Ordering::Relaxed),
        cpu,
        elapsed,
    );
    Ok(())
}

/// Sends as many packets as there are credits, until the sink is gone.
fn load(
    entry: SocketAddr,
    bytes: &[u8],
    sent: &AtomicU64,
    credit: &mpsc::Receiver<u64>,
) -> io::Result<()> {
    let socket = UdpSocket::bind(localhost())?;
    while let Ok(credit) = credit.recv() {
        for _ in 0..credit {
            socket.send_to(bytes, entry)?;
            sent.fetch_add(1, Ordering::Relaxed);
        }
    }
    Ok(())
}

/// Counts packets and returns a credit for each, also for those that were lost.
fn count(
    sink: &UdpSocket,
    sent: &AtomicU64,
    stop: &AtomicBool,
    credits: &mpsc::Sender<u64>,
) -> io::Result<u64> {
    let mut buffer = [0; 2048];
    let (mut received, mut returned, mut pending) = (0, 0, 0);
    while !stop.load(Ordering::Relaxed) {
        match sink.recv(&mut buffer) {
            Ok(_) => {
                received += 1;
                pending += 1;
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                pending = sent.load(Ordering::Relaxed) - returned;
            }
            Err(error) => return Err(error),
        }
        if pending >= CREDIT {
            returned += pending;
            let _ = credits.send(pending);
            pending = 0;
        }
    }
    Ok(received)
}

/// Returns the CPU time of the forwarder's threads so far.
fn cpu_time() -> io::Result<Duration> {
    let mut nanos = 0;
    for thread in fs::read_dir("/proc/self/task")? {
        let path = thread?.path();
        if fs::read_to_string(path.join("comm"))?.trim_end() == THREADS {
            let times = fs::read_to_string(path.join("schedstat"))?;
            let on_cpu = times.split_ascii_whitespace().next();
            nanos += on_cpu.and_then(|n| n.parse::<u64>().ok()).unwrap_or(0);
        }
    }
    Ok(Duration::from_nanos(nanos))
}

fn print(
    options: &Options,
    length: usize,
    received: u64,
    sent: u64,
    cpu: Duration,
    elapsed: Duration,
) {
    let rate = received as f64 / elapsed.as_secs_f64();
    let each = cpu.as_secs_f64() * 1e6 / received.max(1) as f64;
    println!("mode {}", options.mode);
    println!("threads {}", options.threads);
    println!("window {}", options.window);
    println!("datagram_bytes {length}");
    println!("seconds {:.2}", elapsed.as_secs_f64());
    println!("sent {sent}");
    println!("received {received}");
    println!("packets_per_second {rate:.0}");
    println!("cpu_us_per_packet {each:.2}");
}
