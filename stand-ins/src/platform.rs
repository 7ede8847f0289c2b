//! A stand-in for the platform's key-value service that can inject faults.

use std::io;
use std::net::{
    Ipv4Addr,
    SocketAddr, //
};
use std::time::Duration;

use bytes::Bytes;
use lovagespindle_decisions::event::RegistryEntry;
use lovagespindle_store::codec::encode_registry;
use lovagespindle_store::generated::etcdserverpb::kv_server::KvServer;
use lovagespindle_store::generated::etcdserverpb::lease_server::LeaseServer;
use lovagespindle_store::generated::etcdserverpb::watch_server::WatchServer;
use lovagespindle_store::keys;
use tokio::net::TcpListener;
use tokio::sync::{
    mpsc,
    oneshot,
    watch, //
};
use tokio::task::JoinSet;
use tokio_stream::StreamExt;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::Status;
use tonic::transport::Server;

use crate::platform_calls::Calls;
use crate::platform_connection::Connection;
use crate::platform_data::{
    Data,
    WriteHold, //
};

/// Numbers of calls that the service received, including those received while it is down.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counts {
    /// Range requests.
    pub ranges: u64,
    /// Writes outside of transactions.
    pub puts: u64,
    /// Deletions outside of transactions.
    pub deletes: u64,
    pub txns: u64,
    /// Grants, renewals and revocations of leases.
    pub leases: u64,
    /// Watches that were opened. Each counts once, however long it stays open.
    pub watches: u64,
    /// Watches that are open now.
    pub waiting: usize,
    /// Events sent to watches.
    pub events: u64,
    /// Length of the longest value written, in bytes.
    pub longest: usize,
}

impl Counts {
    /// Returns the total number of calls.
    pub fn calls(&self) -> u64 {
        self.ranges + self.puts + self.deletes + self.txns + self.leases + self.watches
    }
}

/// A closure that the task owning the state of the service runs.
type StoreTask = Box<dyn FnOnce(&mut Data) + Send>;

/// Sends closures to the task that owns the state of the service.
#[derive(Clone)]
pub(crate) struct StoreTasks(mpsc::UnboundedSender<StoreTask>);

impl StoreTasks {
    /// Runs a closure on the state and returns its result.
    ///
    /// Returns an error if the stand-in has stopped.
    pub(crate) async fn run<T: Send + 'static>(
        &self,
        task: impl FnOnce(&mut Data) -> T + Send + 'static,
    ) -> Result<T, Status> {
        let (answer, wait) = oneshot::channel();
        let task: StoreTask = Box::new(move |data| {
            // Fails only if the call was cancelled.
            let _ = answer.send(task(data));
        });
        let stopped = || Status::unavailable("the stand-in has stopped");
        self.0.send(task).map_err(|_| stopped())?;
        wait.await.map_err(|_| stopped())
    }
}

/// A write that is held back once it arrives.
pub struct HeldWrite {
    reached: oneshot::Receiver<()>,
    release: oneshot::Sender<()>,
}

impl HeldWrite {
    /// Waits until the write arrives.
    pub async fn reached(&mut self) {
        // Fails only if the stand-in has stopped, which the next call reports.
        let _ = (&mut self.reached).await;
    }

    /// Lets the write take effect, even if its client has given up.
    pub fn release(self) {
        // Fails only if the write never arrived.
        let _ = self.release.send(());
    }
}

/// A running platform stand-in. Dropping it stops the service.
pub struct Platform {
    address: SocketAddr,
    tasks: StoreTasks,
    silenced: watch::Sender<u64>,
    _background: JoinSet<()>,
}

impl Platform {
    /// Starts the service on a free loopback port.
    ///
    /// Returns an error if the port cannot be opened.
    pub async fn start() -> io::Result<Platform> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let (sender, receiver) = mpsc::unbounded_channel();
        let tasks = StoreTasks(sender);
        let mut background = JoinSet::new();
        background.spawn(run_store(receiver));
        let (silenced, silence) = watch::channel(0);
        background.spawn(serve(listener, silence, Calls::new(tasks.clone())));
        Ok(Platform {
            address,
            tasks,
            silenced,
            _background: background,
        })
    }

    /// Returns the URL of the service.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Refuses all calls and ends all watches if `down` is true, and answers again otherwise.
    pub async fn set_down(&self, down: bool) -> Result<(), Status> {
        self.tasks.run(move |data| data.set_down(down)).await
    }

    /// Delays every call before it takes effect.
    pub async fn set_delay(&self, delay: Duration) -> Result<(), Status> {
        self.tasks.run(move |data| data.faults.delay = delay).await
    }

    /// Drops the reply to the next call that changes a key.
    pub async fn drop_next_reply(&self) -> Result<(), Status> {
        self.tasks.run(|data| data.faults.drop_reply = true).await
    }

    /// Holds back the next transaction that contains a write.
    pub async fn hold_next_write(&self) -> Result<HeldWrite, Status> {
        let (reached, wait) = oneshot::channel();
        let (release, released) = oneshot::channel();
        let hold = WriteHold {
            reached,
            release: released,
        };
        self.tasks.run(|data| data.faults.hold = Some(hold)).await?;
        Ok(HeldWrite {
            reached: wait,
            release,
        })
    }

    /// Freezes what reads of the instance registry return if `stale` is true, and returns the
    /// current registry otherwise.
    pub async fn set_registry_stale(&self, stale: bool) -> Result<(), Status> {
        self.tasks.run(move |data| data.set_stale(stale)).await
    }

    /// Writes the registry of one zone's instances.
    pub async fn set_registry(&self, zone: &str, list: &[RegistryEntry]) -> Result<(), Status> {
        let mut key = keys::instances(zone).to_vec();
        key.extend_from_slice(b"all");
        self.put(key.into(), encode_registry(list)).await
    }

    /// Expires all leases.
    pub async fn expire_leases(&self) -> Result<(), Status> {
        self.tasks.run(Data::expire_all).await
    }

    /// Expires all leases as soon as a key with the prefix is written.
    pub async fn expire_leases_after(&self, prefix: &'static str) -> Result<(), Status> {
        self.tasks
            .run(move |data| data.faults.expire = Some(prefix))
            .await
    }

    /// Ends all watches, as a broken connection would.
    pub async fn break_watches(&self) -> Result<(), Status> {
        self.tasks.run(Data::break_watches).await
    }

    /// Makes all open connections unresponsive permanently. New connections work.
    pub fn silence_connections(&self) {
        self.silenced.send_modify(|times| *times += 1);
    }

    /// Discards the history, so that watches cannot start at an earlier revision.
    pub async fn compact(&self) -> Result<(), Status> {
        self.tasks.run(Data::compact).await
    }

    /// Writes a key directly, without counting a call.
    pub async fn put(&self, key: Bytes, value: Bytes) -> Result<(), Status> {
        self.tasks.run(|data| data.write_one(key, value, 0)).await
    }

    /// Returns the keys with a prefix.
    pub async fn keys(&self, prefix: &'static str) -> Result<Vec<Bytes>, Status> {
        self.tasks.run(move |data| data.keys(prefix)).await
    }

    /// Returns the numbers of calls so far.
    pub async fn counts(&self) -> Result<Counts, Status> {
        self.tasks.run(|data| data.counts()).await
    }
}

/// Owns the state of the service and runs the tasks one after another.
async fn run_store(mut tasks: mpsc::UnboundedReceiver<StoreTask>) {
    let mut data = Data::default();
    while let Some(task) = tasks.recv().await {
        task(&mut data);
    }
}

async fn serve(listener: TcpListener, silence: watch::Receiver<u64>, calls: Calls) {
    let streams = TcpListenerStream::new(listener);
    let connections = streams.map(|s| s.map(|s| Connection::new(s, silence.clone())));
    // Fails only if the listener fails; clients then see an outage.
    let _ = Server::builder()
        .add_service(KvServer::new(calls.clone()))
        .add_service(WatchServer::new(calls.clone()))
        .add_service(LeaseServer::new(calls))
        .serve_with_incoming(connections)
        .await;
}
