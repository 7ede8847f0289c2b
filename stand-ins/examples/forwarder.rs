//! Measures a bare datagram forwarder on loopback: packets per second and CPU time per packet.
//!
//! The results are an upper bound for any instance on the same machine. A load thread keeps at
//! most a window of packets in flight, a forwarder on a multi-threaded runtime forwards them, and a
//! sink thread counts them. CPU time includes only the threads of the forwarder's runtime.
//!
//! `cargo run --release -p lovagespindle-stand-ins --example forwarder -- --mode codec`

use std::io;
use std::net::UdpSocket;
use std::time::Duration;

use bytes::Bytes;
use lovagespindle_datagram::encode;
use lovagespindle_decisions::Time;
use lovagespindle_decisions::packet::PacketKind;
use lovagespindle_stand_ins::Error as StandInError;
use lovagespindle_stand_ins::forwarder::{
    Mode,
    start, //
};
use lovagespindle_stand_ins::load::{
    Load,
    LoadResult,
    SendRate, //
};
use lovagespindle_stand_ins::peer::{
    localhost,
    packet, //
};
use tokio::runtime::Builder;

const THREADS: &str = "forwarder";

#[derive(Debug, thiserror::Error)]
enum Error {
    #[error("an argument is missing or malformed")]
    Arguments(#[from] pico_args::Error),
    #[error("the mode is neither plain nor codec")]
    Mode(#[from] strum::ParseError),
    #[error("failed to use a socket or read a file of the process")]
    Io(#[from] io::Error),
    #[error("the forwarder or its load failed")]
    Load(#[from] StandInError),
}

struct Options {
    mode: Mode,
    run: Duration,
    /// Size of the payload in bytes.
    size: usize,
    /// Maximum number of packets in flight.
    window: u64,
    /// Number of threads of the forwarder's runtime.
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
    let entry = start(&runtime, options.mode, sink.local_addr()?)?;
    let mut packet = packet(PacketKind::Request, 1);
    packet.payload = Bytes::from(vec![7; options.size]);
    let mut bytes = Vec::new();
    encode(&packet, None, Time::ZERO, &mut bytes).map_err(StandInError::from)?;
    let length = bytes.len();
    let load = Load {
        entry,
        datagrams: vec![bytes],
        pace: SendRate::Window(options.window),
        run: options.run,
        threads: THREADS,
    };
    let result = load.measure(&sink, |_, _| {})?;
    print(&options, length, &result);
    Ok(())
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
        window: window.unwrap_or(256),
        threads: threads.unwrap_or(2),
    })
}

fn print(options: &Options, length: usize, result: &LoadResult) {
    println!("mode {}", options.mode);
    println!("threads {}", options.threads);
    println!("window {}", options.window);
    println!("datagram_bytes {length}");
    println!("seconds {:.2}", result.elapsed.as_secs_f64());
    println!("sent {}", result.sent);
    println!("received {}", result.received);
    println!("packets_per_second {:.0}", result.rate());
    println!("cpu_us_per_packet {:.2}", result.micros());
}
