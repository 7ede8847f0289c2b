//! Starts the tasks of one instance in direct server return mode and runs it until shutdown.

use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::time::Duration;

use hyper::StatusCode;
use kameo::actor::{
    ActorRef,
    Spawn, //
};
use kameo::error::HookError;
use kameo::mailbox;
use lovagespindle_datagram::Clock;
use lovagespindle_datagram::socket::SocketError;
use lovagespindle_decisions::dsr::peers::Peers;
use lovagespindle_instances::sync_link;
use lovagespindle_platform::READINESS_PATH;
use tokio::net::TcpListener;
use tokio::signal::unix::{
    SignalKind,
    signal, //
};
use tokio::sync::{
    mpsc,
    oneshot,
    watch, //
};

use crate::dsr::forwarder::{
    Arguments,
    FailedCheck,
    Forwarder,
    StartShutdown, //
};
use crate::dsr::http;
use crate::dsr::metrics::{
    self,
    GetPage,
    Instruments,
    Latencies,
    Metrics,
    MetricsError,
    StoreCalls, //
};
use crate::dsr::peer_sync::PeerSync;
use crate::dsr::publisher::{
    Publisher,
    PublisherCommand, //
};
use crate::dsr::reload::{
    Reloader,
    read_contents, //
};
use crate::dsr::settings::{
    Settings,
    StoreAccess, //
};
use crate::dsr::store_watcher::{
    StoreUse,
    StoreWatcher,
    WatcherInputs, //
};
use crate::run::random;

/// Capacity of the queues between tasks. Updates from the store arrive one at a time.
const QUEUE_CAPACITY: usize = 64;

/// Interval at which the settings file is checked for changes without a signal.
const FILE_CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Error that ends an instance or prevents its start.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The socket for client packets cannot be opened.
    #[error(transparent)]
    Socket(SocketError),
    #[error("cannot listen for readiness checks: {0}")]
    Readiness(std::io::Error),
    #[error("cannot listen for other instances: {0}")]
    Peers(std::io::Error),
    /// The metrics cannot be set up.
    #[error(transparent)]
    Metrics(#[from] MetricsError),
    #[error("cannot handle signals: {0}")]
    Signals(std::io::Error),
    /// The forwarder panicked, or its socket failed.
    #[error("forwarder failed")]
    Forwarder,
}

/// Runs an instance until SIGTERM or SIGINT has shut it down. `path` is the settings file, which is
/// reloaded on SIGHUP and when it changes.
///
/// Returns an error if a socket, the metrics or the signal handlers cannot be set up, or if the
/// forwarder stops. An address for metrics that cannot be bound is only logged.
pub async fn run(settings: Settings, path: PathBuf) -> Result<(), RunError> {
    let mut terminate = signal(SignalKind::terminate()).map_err(RunError::Signals)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(RunError::Signals)?;
    let mut hangup = signal(SignalKind::hangup()).map_err(RunError::Signals)?;
    let name = &settings.instance.name;
    log::info!(
        "event=start instance={name} zone={}",
        settings.instance.zone
    );
    let (ready, readiness) = watch::channel(false);
    let listener = TcpListener::bind(settings.listen.readiness).await;
    let listener = listener.map_err(RunError::Readiness)?;
    let instruments = Instruments::new(name)?;
    let latencies = instruments.latencies.clone();
    let calls = instruments.store_calls.clone();
    let clock = Clock::start();
    let forwarder = start_forwarder(settings.clone(), clock, ready, latencies.clone()).await?;
    let checked = forwarder.clone();
    tokio::spawn(http::serve(listener, READINESS_PATH, move || {
        let (ready, forwarder) = (*readiness.borrow(), checked.clone());
        async move { readiness_page(ready, &forwarder).await }
    }));
    let (publisher, store) = start_sync(&settings, clock, &forwarder, (latencies, calls)).await?;
    if let Some(address) = settings.listen.metrics {
        // Without metrics, packets are still forwarded.
        if let Err(error) = serve_metrics(address, instruments, &forwarder).await {
            log::error!("event=metrics_unavailable reason={:?}", error.to_string());
        }
    }
    let mut text = read_contents(&path);
    let mut reloader = Reloader {
        path,
        settings,
        forwarder: forwarder.clone(),
        publisher,
        store,
    };
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => reloader.reload().await,
            () = tokio::time::sleep(FILE_CHECK_INTERVAL) => {
                let found = read_contents(&reloader.path);
                if found != text {
                    text = found;
                    reloader.reload().await;
                }
            }
            () = forwarder.wait_for_shutdown() => return Err(RunError::Forwarder),
        }
    }
    log::info!("event=stopping");
    let (complete, completed) = oneshot::channel();
    let start = StartShutdown {
        settings: reloader.settings.shutdown.clone(),
        complete,
    };
    // Both fail only if the forwarder has already stopped.
    let _ = forwarder.tell(start).await;
    let _ = completed.await;
    log::info!("event=stop");
    Ok(())
}

async fn readiness_page(ready: bool, forwarder: &ActorRef<Forwarder>) -> http::Page {
    if !ready {
        // Fails only if the forwarder has stopped.
        let _ = forwarder.tell(FailedCheck).await;
    }
    let status = match ready {
        true => StatusCode::OK,
        false => StatusCode::SERVICE_UNAVAILABLE,
    };
    (status, String::new())
}

async fn serve_metrics(
    address: SocketAddrV4,
    instruments: Instruments,
    forwarder: &ActorRef<Forwarder>,
) -> Result<(), MetricsError> {
    let listener = TcpListener::bind(address).await?;
    let metrics = Metrics::spawn(Metrics::new(instruments, forwarder.clone()));
    tokio::spawn(http::serve(listener, metrics::PATH, move || {
        let metrics = metrics.clone();
        async move {
            let page = metrics.ask(GetPage).await;
            page.unwrap_or((StatusCode::SERVICE_UNAVAILABLE, String::new()))
        }
    }));
    Ok(())
}

/// Starts the tasks that get updates from the store and other instances, and the listener that
/// serves them to other instances. Returns the senders for commands to the publisher and for store
/// settings.
async fn start_sync(
    settings: &Settings,
    clock: Clock,
    forwarder: &ActorRef<Forwarder>,
    instruments: (Latencies, StoreCalls),
) -> Result<(mpsc::Sender<PublisherCommand>, watch::Sender<StoreAccess>), RunError> {
    let listener = TcpListener::bind(settings.listen.peers).await;
    let listener = listener.map_err(RunError::Peers)?;
    let (commands, received) = mpsc::channel(QUEUE_CAPACITY);
    let (requests, incoming) = mpsc::channel(QUEUE_CAPACITY);
    let (revision, known) = watch::channel(None);
    let (store_use, used) = watch::channel(StoreUse::Start);
    let (connected, reachable) = watch::channel(false);
    let peers = Peers::new(
        settings.listen.peers,
        &settings.instance.zone,
        &settings.peers.seeds,
        random(),
    );
    let (me, seeds) = (peers.local_peer(), peers.seeds().to_vec());
    let publisher = Publisher::new(
        clock,
        peers,
        forwarder.clone(),
        received,
        incoming,
        revision,
    );
    let (store_settings, latest) = watch::channel(StoreAccess::from(settings));
    let store_watcher = StoreWatcher::new(
        clock,
        WatcherInputs {
            access: latest,
            known: known.clone(),
            store_use: used,
        },
        commands.clone(),
        connected,
        instruments,
        random(),
    );
    // The upper 32 bits convert to a float without rounding.
    let spread = f64::from((random() >> 32) as u32) / f64::from(u32::MAX);
    let peer_sync = PeerSync::new(
        me,
        seeds,
        commands.clone(),
        known,
        store_use,
        reachable,
        spread,
    );
    tokio::spawn(sync_link::serve(listener, requests));
    tokio::spawn(publisher.run());
    tokio::spawn(store_watcher.run());
    tokio::spawn(peer_sync.run());
    Ok((commands, store_settings))
}

async fn start_forwarder(
    settings: Settings,
    clock: Clock,
    ready: watch::Sender<bool>,
    latencies: Latencies,
) -> Result<ActorRef<Forwarder>, RunError> {
    let arguments = Arguments {
        settings,
        clock,
        seed: random(),
        ready,
        latencies,
    };
    let forwarder = Forwarder::spawn_with_mailbox(arguments, mailbox::bounded(QUEUE_CAPACITY));
    match forwarder.wait_for_startup_result().await {
        Ok(()) => Ok(forwarder),
        Err(HookError::Error(error)) => Err(RunError::Socket(error)),
        Err(HookError::Panicked(_)) => Err(RunError::Forwarder),
    }
}
