//! A stand-in for the fabric that distributes packets of callers randomly over entry instances.

use std::net::SocketAddr;

use proxy_header::{
    ParseConfig,
    ProxyHeader, //
};
use rand_core::{
    RngCore,
    SeedableRng, //
};
use rand_pcg::Pcg32;
use tokio::net::UdpSocket;
use tokio::sync::{
    mpsc,
    oneshot, //
};
use tokio_util::task::AbortOnDropHandle;

use crate::error::Error;
use crate::peer::open_socket;

/// Packet counters of a fabric.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct FabricReport {
    /// Packets of callers forwarded to an instance.
    pub forwarded: u64,
    /// Packets returned to callers.
    pub returned: u64,
    /// Packets dropped for lack of an instance, a malformed header or a socket error.
    pub dropped: u64,
}

enum Command {
    SetInstances(Vec<SocketAddr>, oneshot::Sender<()>),
    Report(oneshot::Sender<FabricReport>),
}

/// A fabric that runs until it is dropped.
pub struct Fabric {
    /// Address that callers send packets to.
    pub front: SocketAddr,
    /// Address that instances send packets for callers to.
    pub back: SocketAddr,
    commands: mpsc::Sender<Command>,
    task: AbortOnDropHandle<()>,
}

impl Fabric {
    /// Starts a fabric without instances; `seed` seeds the random choice of instances.
    ///
    /// Returns an error if a socket cannot be opened.
    pub async fn start(seed: u64) -> Result<Fabric, Error> {
        let front = open_socket()?;
        let back = open_socket()?;
        let addresses = (front.local_addr()?, back.local_addr()?);
        let (commands, inbox) = mpsc::channel(16);
        let task = Task {
            front,
            back,
            inbox,
            instances: Vec::new(),
            random: Pcg32::seed_from_u64(seed),
            report: FabricReport::default(),
        };
        Ok(Fabric {
            front: addresses.0,
            back: addresses.1,
            commands,
            task: AbortOnDropHandle::new(tokio::spawn(task.run())),
        })
    }

    /// Replaces the entry instances. Packets received later are sent only to these.
    pub async fn set_instances(&self, instances: &[SocketAddr]) -> Result<(), Error> {
        let (sender, done) = oneshot::channel();
        let command = Command::SetInstances(instances.to_vec(), sender);
        self.commands
            .send(command)
            .await
            .map_err(|_| Error::Closed)?;
        done.await.map_err(|_| Error::Closed)
    }

    /// Returns the counters so far, or an error if the fabric has stopped.
    pub async fn report(&self) -> Result<FabricReport, Error> {
        let (sender, report) = oneshot::channel();
        let command = Command::Report(sender);
        self.commands
            .send(command)
            .await
            .map_err(|_| Error::Closed)?;
        report.await.map_err(|_| Error::Closed)
    }

    /// Stops the fabric and closes its sockets.
    pub async fn stop(self) {
        self.task.abort();
        let _ = self.task.await;
    }
}

struct Task {
    front: UdpSocket,
    back: UdpSocket,
    inbox: mpsc::Receiver<Command>,
    instances: Vec<SocketAddr>,
    random: Pcg32,
    report: FabricReport,
}

impl Task {
    async fn run(mut self) {
        let (mut front, mut back) = ([0; 2048], [0; 2048]);
        loop {
            tokio::select! {
                command = self.inbox.recv() => match command {
                    Some(command) => self.handle_command(command),
                    None => return,
                },
                received = self.front.recv_from(&mut front) => match received {
                    Ok((length, _)) => self.forward(&front[..length]).await,
                    Err(_) => self.report.dropped += 1,
                },
                received = self.back.recv_from(&mut back) => match received {
                    Ok((length, _)) => self.return_packet(&back[..length]).await,
                    Err(_) => self.report.dropped += 1,
                },
            }
        }
    }

    fn handle_command(&mut self, command: Command) {
        match command {
            Command::SetInstances(instances, sender) => {
                self.instances = instances;
                let _ = sender.send(());
            }
            Command::Report(sender) => {
                let _ = sender.send(self.report);
            }
        }
    }

    async fn forward(&mut self, bytes: &[u8]) {
        match self.choose() {
            Some(to) if self.back.send_to(bytes, to).await.is_ok() => self.report.forwarded += 1,
            _ => self.report.dropped += 1,
        }
    }

    /// Chooses an instance uniformly at random.
    fn choose(&mut self) -> Option<SocketAddr> {
        let count = self.instances.len() as u64;
        let index = (u64::from(self.random.next_u32()) * count) >> 32;
        self.instances.get(index as usize).copied()
    }

    async fn return_packet(&mut self, bytes: &[u8]) {
        match caller(bytes) {
            Some(to) if self.front.send_to(bytes, to).await.is_ok() => self.report.returned += 1,
            _ => self.report.dropped += 1,
        }
    }
}

/// Returns the caller's address in the header.
fn caller(bytes: &[u8]) -> Option<SocketAddr> {
    let (header, _) = ProxyHeader::parse(bytes, ParseConfig::default()).ok()?;
    header.proxied_address().map(|address| address.source)
}
