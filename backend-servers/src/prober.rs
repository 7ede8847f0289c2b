//! Actor that polls the health and load of backend servers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use kameo::actor::{
    Actor,
    ActorRef,
    Recipient,
    WeakActorRef, //
};
use kameo::error::Infallible;
use kameo::message::{
    Context,
    Message, //
};
use lovagespindle_decisions::Event;
use lovagespindle_decisions::ids::BackendServerId;
use rand_core::{
    RngCore,
    SeedableRng, //
};
use rand_pcg::Pcg32;
use serde::{
    Deserialize,
    Serialize, //
};
use strum::EnumCount;
use tokio::time::Instant;
use tokio_util::task::AbortOnDropHandle;

use crate::poll::{
    Outcome,
    Poll,
    PollResult, //
};

/// Settings of health and load polls.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ProberSettings {
    /// Nominal interval between two polls of a backend server.
    #[serde(with = "humantime_serde")]
    pub period: Duration,
    /// Maximum random deviation of each interval from the period, which keeps the polls of many
    /// instances from synchronizing.
    #[serde(with = "humantime_serde")]
    pub jitter: Duration,
    /// Timeout of each call of a poll.
    #[serde(with = "humantime_serde")]
    pub timeout: Duration,
}

impl Default for ProberSettings {
    fn default() -> ProberSettings {
        ProberSettings {
            period: Duration::from_secs(1),
            jitter: Duration::from_millis(100),
            timeout: Duration::from_millis(500),
        }
    }
}

/// Arguments of a new [`Prober`].
pub struct ProberArguments {
    pub settings: ProberSettings,
    /// Seed of the random numbers that distribute the polls over time.
    pub seed: u64,
    /// Receives the health and load events.
    pub consumer: Recipient<Vec<Event>>,
}

/// Actor that polls the health and load of backend servers, with one task for each server.
pub struct Prober {
    settings: ProberSettings,
    random: Pcg32,
    consumer: Recipient<Vec<Event>>,
    /// Polling tasks. Removing an entry aborts its task.
    polls: HashMap<BackendServerId, Polling>,
    /// Number of the next task. Task numbers distinguish the results of a stopped task from those
    /// of its replacement.
    next_task: u64,
    counts: PollCounts,
}

struct Polling {
    task_number: u64,
    _handle: AbortOnDropHandle<()>,
}

/// Counters of the polls since the prober started, and the number of polled backend servers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, kameo::Reply)]
pub struct PollCounts {
    /// Events dropped because the consumer's mailbox was full or closed.
    pub overruns: u64,
    /// Number of backend servers that are currently polled.
    pub polled: u64,
    outcomes: [u64; Outcome::COUNT],
}

impl PollCounts {
    /// Returns the number of health calls with this outcome.
    pub fn outcome(&self, outcome: Outcome) -> u64 {
        self.outcomes[outcome as usize]
    }
}

impl Actor for Prober {
    type Args = ProberArguments;
    type Error = Infallible;

    async fn on_start(
        arguments: ProberArguments,
        _actor: ActorRef<Prober>,
    ) -> Result<Prober, Infallible> {
        Ok(Prober {
            settings: arguments.settings,
            random: Pcg32::seed_from_u64(arguments.seed),
            consumer: arguments.consumer,
            polls: HashMap::new(),
            next_task: 0,
            counts: PollCounts::default(),
        })
    }
}

/// Starts polling a backend server. Replaces its existing polling task, if there is one.
pub struct StartPolling {
    pub backend_server: BackendServerId,
    /// Address of its health and load services.
    pub health: SocketAddr,
}

impl Message<StartPolling> for Prober {
    type Reply = ();

    async fn handle(&mut self, message: StartPolling, context: &mut Context<Self, ()>) {
        let poll = match Poll::new(message.health, self.settings.timeout) {
            Ok(poll) => poll,
            Err(error) => {
                log::error!("cannot poll {}: {error}", message.health);
                return;
            }
        };
        let task = Task {
            prober: context.actor_ref().downgrade(),
            settings: self.settings,
            random: Pcg32::seed_from_u64(self.random.next_u64()),
            backend_server: message.backend_server,
            task_number: self.next_task,
            poll,
        };
        let polling = Polling {
            task_number: self.next_task,
            _handle: AbortOnDropHandle::new(tokio::spawn(task.run())),
        };
        self.next_task += 1;
        self.polls.insert(message.backend_server, polling);
    }
}

/// Stops polling a backend server.
pub struct StopPolling {
    pub backend_server: BackendServerId,
}

impl Message<StopPolling> for Prober {
    type Reply = ();

    async fn handle(&mut self, message: StopPolling, _context: &mut Context<Self, ()>) {
        self.polls.remove(&message.backend_server);
    }
}

/// Requests the counters of the polls.
pub struct GetPollCounts;

impl Message<GetPollCounts> for Prober {
    type Reply = PollCounts;

    async fn handle(
        &mut self,
        _: GetPollCounts,
        _context: &mut Context<Self, PollCounts>,
    ) -> PollCounts {
        PollCounts {
            polled: self.polls.len() as u64,
            ..self.counts
        }
    }
}

/// Result of a poll, sent by a task to the prober.
struct PollFinished {
    backend_server: BackendServerId,
    task_number: u64,
    result: PollResult,
}

impl Message<PollFinished> for Prober {
    type Reply = ();

    async fn handle(&mut self, message: PollFinished, _context: &mut Context<Self, ()>) {
        let polling = self.polls.get(&message.backend_server);
        if polling.is_none_or(|polling| polling.task_number != message.task_number) {
            return; // The task was stopped after it sent the result.
        }
        let outcome = message.result.outcome;
        self.counts.outcomes[outcome as usize] += 1;
        let events = message.events();
        let length = events.len() as u64;
        if self.consumer.tell(events).try_send().is_err() {
            self.counts.overruns += length;
        }
    }
}

impl PollFinished {
    fn events(&self) -> Vec<Event> {
        let backend_server = self.backend_server;
        let health = Event::Health {
            backend_server,
            health: self.result.outcome.health(),
        };
        let load = self.result.load.map(|report| Event::Load {
            backend_server,
            report,
        });
        std::iter::once(health).chain(load).collect()
    }
}

/// Task that polls one backend server until it is aborted or the prober has stopped.
struct Task {
    prober: WeakActorRef<Prober>,
    settings: ProberSettings,
    random: Pcg32,
    backend_server: BackendServerId,
    task_number: u64,
    poll: Poll,
}

impl Task {
    async fn run(mut self) {
        // Starts at a random point of the period, so that polls of backend servers that an instance
        // acquires at the same time are distributed over the period.
        let mut next = Instant::now() + self.random_up_to(self.settings.period);
        loop {
            tokio::time::sleep_until(next).await;
            let result = self.poll.run().await;
            let Some(prober) = self.prober.upgrade() else {
                return;
            };
            let message = PollFinished {
                backend_server: self.backend_server,
                task_number: self.task_number,
                result,
            };
            if prober.tell(message).send().await.is_err() {
                return;
            }
            next = self.next_poll(next).max(Instant::now());
        }
    }

    /// Returns the time of the poll that follows the one scheduled for `last`.
    fn next_poll(&mut self, last: Instant) -> Instant {
        let jitter = self.settings.jitter.min(self.settings.period);
        last + (self.settings.period - jitter) + self.random_up_to(2 * jitter)
    }

    fn random_up_to(&mut self, limit: Duration) -> Duration {
        limit.mul_f64(f64::from(self.random.next_u32()) / f64::from(u32::MAX))
    }
}
