//! Bounded load on one datagram socket, and the CPU time of the threads that serve it.

use std::fs;
use std::io;
use std::net::{
    SocketAddr,
    UdpSocket, //
};
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

use crate::error::Error;
use crate::peer::localhost;

/// Number of received packets after which credits are returned to the sending thread.
const CREDIT: u64 = 32;

/// Time between two bursts of a load with a fixed rate.
const BURST: Duration = Duration::from_millis(1);

/// Limit on how fast packets are sent.
#[derive(Clone, Copy, Debug)]
pub enum SendRate {
    /// Number of packets that may be in flight.
    Window(u64),
    /// Packets per second.
    Rate(u64),
}

/// A load that sends its datagrams round robin.
pub struct Load {
    /// Destination of the datagrams.
    pub entry: SocketAddr,
    /// Datagrams to send; at least one.
    pub datagrams: Vec<Vec<u8>>,
    /// Limit on the sending rate.
    pub pace: SendRate,
    /// Duration of the load.
    pub run: Duration,
    /// Name of the threads whose CPU time is measured. The kernel truncates names to 15 bytes.
    pub threads: &'static str,
}

/// Measurements of a load.
#[derive(Clone, Copy, Debug)]
pub struct LoadResult {
    /// Packets sent.
    pub sent: u64,
    /// Packets that reached the sink.
    pub received: u64,
    /// CPU time of the measured threads.
    pub cpu: Duration,
    /// Measured duration of the load.
    pub elapsed: Duration,
}

impl LoadResult {
    /// Returns the packets per second that reached the sink.
    pub fn rate(&self) -> f64 {
        self.received as f64 / self.elapsed.as_secs_f64()
    }

    /// Returns the CPU time per packet that reached the sink, in microseconds.
    pub fn micros(&self) -> f64 {
        self.cpu.as_secs_f64() * 1e6 / self.received.max(1) as f64
    }
}

/// State shared by the threads of a load.
#[derive(Default)]
struct Progress {
    sent: AtomicU64,
    stop: AtomicBool,
}

impl Load {
    /// Sends the load, counts the datagrams that reach `sink` and passes each one to `handle`.
    ///
    /// Returns an error if a socket fails or the CPU time cannot be read.
    pub fn measure(
        &self,
        sink: &UdpSocket,
        handle: impl FnMut(&[u8], SocketAddr) + Send,
    ) -> Result<LoadResult, Error> {
        sink.set_read_timeout(Some(Duration::from_millis(50)))?;
        let progress = Progress::default();
        let (credits, credit) = mpsc::channel();
        thread::scope(|scope| {
            let load = scope.spawn(|| match self.pace {
                SendRate::Window(window) => self.send_window(window, &progress, credit),
                SendRate::Rate(rate) => self.send_rate(rate, &progress),
            });
            let count = scope.spawn(|| count(sink, &progress, &credits, handle));
            let (before, started) = (cpu_time(self.threads)?, Instant::now());
            thread::sleep(self.run);
            let (cpu, elapsed) = (cpu_time(self.threads)? - before, started.elapsed());
            progress.stop.store(true, Ordering::Relaxed);
            let received = count.join().map_err(|_| Error::Closed)??;
            load.join().map_err(|_| Error::Closed)??;
            Ok(LoadResult {
                sent: progress.sent.load(Ordering::Relaxed),
                received,
                cpu,
                elapsed,
            })
        })
    }

    /// Sends as many packets as there are credits until the load ends.
    fn send_window(
        &self,
        window: u64,
        progress: &Progress,
        credit: mpsc::Receiver<u64>,
    ) -> io::Result<()> {
        let socket = UdpSocket::bind(localhost())?;
        let mut datagrams = self.datagrams.iter().cycle();
        let mut quota = window.max(CREDIT);
        while !progress.stop.load(Ordering::Relaxed) {
            self.burst(&socket, quota, &mut datagrams, progress)?;
            quota = credit.recv_timeout(10 * BURST).unwrap_or(0);
        }
        Ok(())
    }

    /// Sends the packets that are due every [`BURST`] until the load ends.
    fn send_rate(&self, rate: u64, progress: &Progress) -> io::Result<()> {
        let socket = UdpSocket::bind(localhost())?;
        let mut datagrams = self.datagrams.iter().cycle();
        let started = Instant::now();
        while !progress.stop.load(Ordering::Relaxed) {
            thread::sleep(BURST);
            let due = (started.elapsed().as_secs_f64() * rate as f64) as u64;
            let quota = due.saturating_sub(progress.sent.load(Ordering::Relaxed));
            self.burst(&socket, quota, &mut datagrams, progress)?;
        }
        Ok(())
    }

    fn burst<'a>(
        &self,
        socket: &UdpSocket,
        quota: u64,
        datagrams: &mut impl Iterator<Item = &'a Vec<u8>>,
        progress: &Progress,
    ) -> io::Result<()> {
        for (_, datagram) in (0..quota).zip(datagrams) {
            socket.send_to(datagram, self.entry)?;
            progress.sent.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }
}

/// Counts packets and returns a credit for each one. Packets that were lost are credited when
/// none arrives within the read timeout.
fn count(
    sink: &UdpSocket,
    progress: &Progress,
    credits: &mpsc::Sender<u64>,
    mut handle: impl FnMut(&[u8], SocketAddr),
) -> io::Result<u64> {
    let mut buffer = [0; 2048];
    let (mut received, mut returned, mut pending) = (0, 0, 0);
    while !progress.stop.load(Ordering::Relaxed) {
        match sink.recv_from(&mut buffer) {
            Ok((length, source)) => {
                handle(buffer.get(..length).unwrap_or_default(), source);
                received += 1;
                pending += 1;
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                pending = progress.sent.load(Ordering::Relaxed) - returned;
            }
            Err(error) => return Err(error),
        }
        if pending >= CREDIT {
            returned += pending;
            // Fails only for a load that needs no credits or has ended.
            let _ = credits.send(pending);
            pending = 0;
        }
    }
    Ok(received)
}

/// Returns the total CPU time of the threads with this name.
fn cpu_time(name: &str) -> io::Result<Duration> {
    let mut nanos = 0;
    for thread in fs::read_dir("/proc/self/task")? {
        let path = thread?.path();
        if fs::read_to_string(path.join("comm"))?.trim_end() == name {
            let times = fs::read_to_string(path.join("schedstat"))?;
            let on_cpu = times.split_ascii_whitespace().next();
            nanos += on_cpu.and_then(|n| n.parse::<u64>().ok()).unwrap_or(0);
        }
    }
    Ok(Duration::from_nanos(nanos))
}
