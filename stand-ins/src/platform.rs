//! Stand-in for the platform's key-value service, with faults.

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

/// How many calls the service got. Calls count even if it is down.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counts {
    /// Reads.
    pub ranges: u64,
    /// Single writes.
    pub puts: u64,
    /// Deletions.
    pub deletes: u64,
    /// Transactions.
    pub txns: u64,
    /// Grants, renewals and revocations of leases.
    pub leases: u64,
    /// Watches that were opened; each counts once however long it waits.
    pub watches: u64,
    /// Watches that wait at the moment.
    pub waiting: usize,
    /// Changes that were sent to watches.
    pub events: u64,
    /// The length of the longest value that was written.
    pub longest: usize,
}

impl Counts {
    /// Returns the number of calls.
    pub fn calls(&self) -> u64 {
        self.ranges + self.puts + self.deletes + self.txns + self.leases + self.watches
    }
}

/// The service's state is owned by one task, which runs these one after the other.
type StoreTask = Box<dyn FnOnce(&mut Data) + Send>;

/// Passes tasks to the task that owns the state.
#[derive(Clone)]
pub(crate) struct StoreTasks(mpsc::UnboundedSender<StoreTask>);

impl StoreTasks {
    /// Runs a task and returns its result.
    pub(crate) async fn run<T: Send + 'static>(
        &self,
        task: impl FnOnce(&mut Data) -> T + Send + 'static,
    ) -> Result<T, Status> {
        let (answer, wait) = oneshot::channel();
        let task: StoreTask = Box::new(move |data| {
            // Nobody waits if the call was cancelled.
            let _ = answer.send(task(data));
        });
        let stopped = || Status::unavailable("the stand-in has stopped");
        self.0.send(task).map_err(|_| stopped())?;
        wait.await.map_err(|_| stopped())
    }
}

/// A write that is held back, or will be once it is there.
pub struct HeldWrite {
    reached: oneshot::Receiver<()>,
    release: oneshot::Sender<()>,
}

impl HeldWrite {
    /// Waits until the write is there.
    pub async fn reached(&mut self) {
        // An error says that the stand-in has stopped, which the next call shows as well.
        let _ = (&mut self.reached).await;
    }

    /// Lets the write take effect, even if its caller has given up.
    pub fn release(self) {
        // Fails only if the write never came.
        let _ = self.release.send(());
    }
}

/// A running stand-in. Dropping it stops the service.
pub struct Platform {
    address: SocketAddr,
    tasks: StoreTasks,
    silenced: watch::Sender<u64>,
    _tasks: JoinSet<()>,
}

impl Platform {
    /// Starts the service on a free loopback port.
    pub async fn start() -> io::Result<Platform> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let (sender, receiver) = mpsc::unbounded_channel();
        let tasks = StoreTasks(sender);
        let mut tasks = JoinSet::new();
        tasks.spawn(own(receiver));
        let (silenced, silence) = watch::channel(0);
        tasks.spawn(serve(listener, silence, Calls::new(tasks.clone())));
        Ok(Platform {
            address,
            tasks,
            silenced,
            _tasks: tasks,
        })
    }

    /// Returns the URL of the service.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Refuses all calls and ends all watches (true), or answers again (false).
    pub async fn set_down(&self, down: bool) -> Result<(), Status> {
        self.tasks.run(move |data| data.set_down(down)).await
    }

    /// Holds each call back for `delay` before it takes effect.
    pub async fn set_delay(&self, delay: Duration) -> Result<(), Status> {
        self.tasks.run(move |data| data.faults.delay = delay).await
    }

    /// Loses the answer of the next call that changes a key.
    pub async fn drop_next_reply(&self) -> Result<(), Status> {
        self.tasks.run(|data| data.faults.drop_reply = true).await
    }

    /// Holds back the next transaction that may write.
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

    /// Shows the list of instances as it is now (true), whatever is written, or as it is written
    /// (false).
    pub async fn set_registry_stale(&self, stale: bool) -> Result<(), Status> {
        self.tasks.run(move |data| data.set_stale(stale)).await
    }

    /// Writes the list of one zone's instances.
    pub async fn set_registry(&self, zone: &str, list: &[RegistryEntry]) -> Result<(), Status> {
        let mut key = keys::instances(zone).to_vec();
        key.extend_from_slice(b"all");
        self.put(key.into(), encode_registry(list)).await
    }

    /// Ends all leases.
    pub async fn expire_leases(&self) -> Result<(), Status> {
        self.tasks.run(Data::expire_all).await
    }

    /// Ends all leases as soon as a key with a prefix is written.
    pub async fn expire_leases_after(&self, prefix: &'static str) -> Result<(), Status> {
        self.tasks
            .run(move |data| data.faults.expire = Some(prefix))
            .await
    }

    /// Ends all watches, as a broken connection does.
    pub async fn break_watches(&self) -> Result<(), Status> {
        self.tasks.run(Data::break_watches).await
    }

    /// Silences all open connections for ever. New ones work.
    pub fn silence_connections(&self) {
        self.silenced.send_modify(|times| *times += 1);
    }

    /// Drops the history, so that no watch can start before now.
    pub async fn compact(&self) -> Result<(), Status> {
        self.tasks.run(Data::compact).await
    }

    /// Writes a key without a call.
    pub async fn put(&self, key: Bytes, value: Bytes) -> Result<(), Status> {
        self.tasks.run(|data| data.write_one(key, value, 0)).await
    }

    /// Returns the keys with a prefix.
    pub async fn keys(&self, prefix: &'static str) -> Result<Vec<Bytes>, Status> {
        self.tasks.run(move |data| data.keys(prefix)).await
    }

    /// Returns the counts.
    pub async fn counts(&self) -> Result<Counts, Status> {
        self.tasks.run(|data| data.counts()).await
    }
}

async fn own(mut tasks: mpsc::UnboundedReceiver<StoreTask>) {
    let mut data = Data::default();
    while let Some(task) = tasks.recv().await {
        task(&mut data);
    }
}

async fn serve(listener: TcpListener, silence: watch::Receiver<u64>, calls: Calls) {
    let streams = TcpListenerStream::new(listener);
    let connections = streams.map(|s| s.map(|s| Connection::new(s, silence.clone())));
    // Fails only if the listener breaks; the clients then see an outage.
    let _ = Server::builder()
        .add_service(KvServer::new(calls.clone()))
        .add_service(WatchServer::new(calls.clone()))
        .add_service(LeaseServer::new(calls))
        .serve_with_incoming(connections)
        .await;
}
