//! Starts one instance and runs it until it has shut down.

use std::hash::{
    BuildHasher,
    RandomState, //
};

use kameo::actor::{
    ActorRef,
    Spawn, //
};
use kameo::error::HookError;
use kameo::mailbox;
use lovagespindle_datagram::Clock;
use lovagespindle_decisions::Event;
use lovagespindle_decisions::ids::{
    InstanceId,
    ZoneId, //
};
use lovagespindle_decisions::peer::Member;
use tokio::signal::unix::{
    SignalKind,
    signal, //
};

use crate::adapters::StartError;
use crate::router::{
    Arguments,
    Router, //
};
use crate::settings::Settings;

/// Capacity of the router's mailbox in messages; sockets drop packets when it is full. At 20,000
/// packets per second, one per message, kameo's default of 64 fills up in 3 ms, which is shorter
/// than one scheduler delay. This capacity lasts for 50 ms; after that, retries by the callers are
/// better than a longer queue.
const MAILBOX_CAPACITY: usize = 1024;

/// An error that ended the process.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    #[error(transparent)]
    Start(StartError),
    #[error("cannot install a signal handler: {0}")]
    Signals(std::io::Error),
    /// A second signal arrived during the graceful shutdown.
    #[error("a second signal interrupted the graceful shutdown")]
    Interrupted,
    /// The router stopped without a signal.
    #[error("the router stopped unexpectedly")]
    Router,
}

/// Starts an instance and returns its router. Returns an error if one of its actors cannot start.
pub async fn start(settings: Settings) -> Result<ActorRef<Router>, StartError> {
    let member = Member {
        id: InstanceId(random()),
        zone: ZoneId::of(&settings.instance.zone),
        control: settings.instance.control,
        relay: settings.instance.relay,
    };
    let arguments = Arguments {
        settings,
        member,
        clock: Clock::start(),
        seed: random(),
    };
    let router = Router::spawn_with_mailbox(arguments, mailbox::bounded(MAILBOX_CAPACITY));
    match router.wait_for_startup_result().await {
        Ok(()) => Ok(router),
        Err(HookError::Error(error)) => Err(error),
        Err(HookError::Panicked(_)) => Err(StartError::Actor("router")),
    }
}

/// Runs an instance until SIGTERM or SIGINT has shut it down. Returns an error if the instance
/// cannot start, stops by itself, or receives a second signal before it has shut down.
pub async fn run(settings: Settings) -> Result<(), RunError> {
    let mut terminate = signal(SignalKind::terminate()).map_err(RunError::Signals)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(RunError::Signals)?;
    let router = start(settings).await.map_err(RunError::Start)?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        () = router.wait_for_shutdown() => return Err(RunError::Router),
    }
    // Fails only if the router has stopped, which the wait below detects.
    let _ = router.tell(Event::Leave).await;
    tokio::select! {
        _ = terminate.recv() => Err(RunError::Interrupted),
        _ = interrupt.recv() => Err(RunError::Interrupted),
        () = router.wait_for_shutdown() => Ok(()),
    }
}

/// Returns a random number. It is derived from the random hash keys of the standard library, which
/// come from the operating system.
pub(crate) fn random() -> u64 {
    RandomState::new().hash_one(0)
}
