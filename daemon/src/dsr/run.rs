//! Runs one instance on the users' platform until it has shut down.

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
    watch, //
};

use crate::dsr::forwarder::{
    Arguments,
    Forwarder,
    Leave, //
};
use crate::dsr::http;
use crate::dsr::metrics::{
    self,
    GetPage,
    Instruments,
    Latencies,
    Metrics,
    MetricsError, //
};
use crate::dsr::peer_follower::PeerFollower;
use crate::dsr::publisher::{
    Order,
    Publisher, //
};
use crate::dsr::reload::{
    Reloader,
    contents, //
};
use crate::dsr::settings::{
    Settings,
    StoreSettings, //
};
use crate::dsr::store_follower::StoreFollower;
use crate::run::random;

/// How many messages wait for the forwarder. News of the store come one at a time.
const MAILBOX: usize = 64;

/// The time between two looks at the settings file, which may change without a signal.
const LOOK: Duration = Duration::from_secs(5);

/// Why a run failed.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The socket for packets did not open.
    #[error(transparent)]
    Socket(SocketError),
    /// The address for readiness checks cannot be bound.
    #[error("cannot listen for readiness checks: {0}")]
    Readiness(std::io::Error),
    /// The address for questions of other instances cannot be bound.
    #[error("cannot listen for other instances: {0}")]
    Peers(std::io::Error),
    /// Metrics cannot be served.
    #[error(transparent)]
    Metrics(#[from] MetricsError),
    /// Signals cannot be received.
    #[error("signals cannot be received: {0}")]
    Signals(std::io::Error),
    /// The forwarder failed.
    #[error("the forwarder failed")]
    Forwarder,
}

/// Runs an instance with the settings of a file until a signal has shut it down.
pub async fn run(settings: Settings, path: PathBuf) -> Result<(), RunError> {
    let mut terminate = signal(SignalKind::terminate()).map_err(RunError::Signals)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(RunError::Signals)?;
    let mut hangup = signal(SignalKind::hangup()).map_err(RunError::Signals)?;
    let name = &settings.instance.name;
    log::info!(
        "event=start instance={name} zone={}",
        settings.instance.zone
    );
    let (ready, shown) = watch::channel(false);
    let listener = TcpListener::bind(settings.listen.readiness).await;
    let listener = listener.map_err(RunError::Readiness)?;
    tokio::spawn(http::serve(listener, READINESS_PATH, move || {
        let ready = *shown.borrow();
        async move { readiness(ready) }
    }));
    let instruments = Instruments::new(name)?;
    let latencies = instruments.latencies.clone();
    let clock = Clock::start();
    let forwarder = start(settings.clone(), clock, ready, latencies.clone()).await?;
    let (publisher, store) = follow(&settings, clock, &forwarder, latencies).await?;
    if let Some(address) = settings.listen.metrics {
        // Packets are forwarded without metrics as well.
        if let Err(error) = show_metrics(address, instruments, &forwarder).await {
            log::error!("event=metrics_unavailable reason={:?}", error.to_string());
        }
    }
    let mut text = contents(&path);
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
            () = tokio::time::sleep(LOOK) => {
                let found = contents(&reloader.path);
                if found != text {
                    text = found;
                    reloader.reload().await;
                }
            }
            () = forwarder.wait_for_shutdown() => return Err(RunError::Forwarder),
        }
    }
    log::info!("event=stopping");
    // Fails only if the forwarder has ended, and then there is nothing to wait for.
    let _ = forwarder.tell(Leave).await;
    tokio::time::sleep(reloader.settings.shutdown.linger).await;
    log::info!("event=stop");
    Ok(())
}

fn readiness(ready: bool) -> http::Page {
    let status = match ready {
        true => StatusCode::OK,
        false => StatusCode::SERVICE_UNAVAILABLE,
    };
    (status, String::new())
}

async fn show_metrics(
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

/// Starts the tasks that learn of the store and tell other instances.
async fn follow(
    settings: &Settings,
    clock: Clock,
    forwarder: &ActorRef<Forwarder>,
    latencies: Latencies,
) -> Result<(mpsc::Sender<Order>, watch::Sender<StoreSettings>), RunError> {
    let listener = TcpListener::bind(settings.listen.peers).await;
    let listener = listener.map_err(RunError::Peers)?;
    let (orders, ordered) = mpsc::channel(MAILBOX);
    let (questions, asked) = mpsc::channel(MAILBOX);
    let (shown, known) = watch::channel(None);
    let (duty, on_duty) = watch::channel(true);
    let (connected, store) = watch::channel(false);
    let peers = Peers::new(
        settings.listen.peers,
        &settings.instance.zone,
        &settings.peers.seeds,
        random(),
    );
    let (me, seeds) = (peers.me(), peers.seeds().to_vec());
    let publisher = Publisher::new(clock, peers, forwarder.clone(), ordered, asked, shown);
    let (store_settings, latest) = watch::channel(settings.store.clone());
    let stores = StoreFollower::new(
        latest,
        orders.clone(),
        known.clone(),
        on_duty,
        connected,
        latencies,
    );
    let others = PeerFollower::new(me, seeds, orders.clone(), known, duty, store);
    tokio::spawn(sync_link::serve(listener, questions));
    tokio::spawn(publisher.run());
    tokio::spawn(stores.run());
    tokio::spawn(others.run());
    Ok((orders, store_settings))
}

async fn start(
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
    let forwarder = Forwarder::spawn_with_mailbox(arguments, mailbox::bounded(MAILBOX));
    match forwarder.wait_for_startup_result().await {
        Ok(()) => Ok(forwarder),
        Err(HookError::Error(error)) => Err(RunError::Socket(error)),
        Err(HookError::Panicked(_)) => Err(RunError::Forwarder),
    }
}
