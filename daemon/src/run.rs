//! Runs one instance until it has shut down.

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

/// How many messages wait for the router. Sockets drop packets beyond that. At 20,000 packets a
/// second that arrive one by one, kameo's default of 64 lasts for 3 ms, less than one pause of the
/// scheduler; these last for 50 ms, after which callers are better served by their retries.
const MAILBOX: usize = 1024;

/// Why a run failed.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The instance did not start.
    #[error(transparent)]
    Start(StartError),
    /// Signals can't be received.
    #[error("signals cannot be received: {0}")]
    Signals(std::io::Error),
    /// The shutdown was cut short.
    #[error("the graceful shutdown was ended by a second signal")]
    Interrupted,
    /// The router failed.
    #[error("the router failed")]
    Router,
}

/// Starts an instance.
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
    let router = Router::spawn_with_mailbox(arguments, mailbox::bounded(MAILBOX));
    match router.wait_for_startup_result().await {
        Ok(()) => Ok(router),
        Err(HookError::Error(error)) => Err(error),
        Err(HookError::Panicked(_)) => Err(StartError::Actor("router")),
    }
}

/// Runs an instance until a signal has shut it down.
pub async fn run(settings: Settings) -> Result<(), RunError> {
    let mut terminate = signal(SignalKind::terminate()).map_err(RunError::Signals)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(RunError::Signals)?;
    let router = start(settings).await.map_err(RunError::Start)?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        () = router.wait_for_shutdown() => return Err(RunError::Router),
    }
    // Fails only if the router is gone, which the wait below finds out.
    let _ = router.tell(Event::Leave).await;
    tokio::select! {
        _ = terminate.recv() => Err(RunError::Interrupted),
        _ = interrupt.recv() => Err(RunError::Interrupted),
        () = router.wait_for_shutdown() => Ok(()),
    }
}

/// Draws a random number from the keys that the standard library draws from the system.
pub(crate) fn random() -> u64 {
    RandomState::new().hash_one(0)
}
