//! The actor that polls the health and load of backend servers.

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

/// Settings of the polls.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ProberSettings {
    /// The time from one poll of a backend server to the next.
    #[serde(with = "humantime_serde")]
    pub period: Duration,
    /// How much earlier or later than the period a poll may start, so that polls of many
    /// instances do not fall into step.
    #[serde(with = "humantime_serde")]
    pub jitter: Duration,
    /// How long a poll waits for each answer.
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

/// What a [`Prober`] starts with.
pub struct ProberArguments {
    /// Its settings.
    pub settings: ProberSettings,
    /// Feeds the random numbers that spread the polls.
    pub seed: u64,
    /// Who takes the events.
    pub consumer: Recipient<Vec<Event>>,
}

/// Polls the health and load of backend servers, each in a task of its own.
pub struct Prober {
    settings: ProberSettings,
    random: Pcg32,
    consumer: Recipient<Vec<Event>>,
    /// Polls in progress. A task is aborted when its entry is removed.
    polls: HashMap<BackendServerId, Polling>,
    /// Numbers the tasks, so that a result of a stopped one can be told from those of its
    /// successor.
    next: u64,
    counts: PollCounts,
}

struct Polling {
    task: u64,
    _handle: AbortOnDropHandle<()>,
}

/// How polls ended since the prober started.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, kameo::Reply)]
pub struct PollCounts {
    /// Events dropped because the consumer's mailbox was full or closed.
    pub overruns: u64,
    /// Backend servers polled at present.
    pub polled: u64,
    outcomes: [u64; Outcome::COUNT],
}

impl PollCounts {
    /// Returns how many health polls ended in this way.
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
            next: 0,
            counts: PollCounts::default(),
        })
    }
}

/// Polls a backend server from now on. Replaces polls of it at another address.
pub struct StartPolling {
    /// The backend server.
    pub backend_server: BackendServerId,
    /// Where it answers health and load calls.
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
            task: self.next,
            poll,
        };
        let polling = Polling {
            task: self.next,
            _handle: AbortOnDropHandle::new(tokio::spawn(task.run())),
        };
        self.next += 1;
        self.polls.insert(message.backend_server, polling);
    }
}

/// Polls a backend server no more.
pub struct StopPolling {
    /// The backend server.
    pub backend_server: BackendServerId,
}

impl Message<StopPolling> for Prober {
    type Reply = ();

    async fn handle(&mut self, message: StopPolling, _context: &mut Context<Self, ()>) {
        self.polls.remove(&message.backend_server);
    }
}

/// Asks for the counts.
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

/// What a task found.
struct Polled {
    backend_server: BackendServerId,
    task: u64,
    result: PollResult,
}

impl Message<Polled> for Prober {
    type Reply = ();

    async fn handle(&mut self, message: Polled, _context: &mut Context<Self, ()>) {
        let polling = self.polls.get(&message.backend_server);
        if polling.is_none_or(|polling| polling.task != message.task) {
            return; // Stopped while the result was on its way.
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

impl Polled {
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

/// Polls one backend server until it is aborted or the prober is gone.
struct Task {
    prober: WeakActorRef<Prober>,
    settings: ProberSettings,
    random: Pcg32,
    backend_server: BackendServerId,
    task: u64,
    poll: Poll,
}

impl Task {
    async fn run(mut self) {
        // The first poll is at a random point of the period, which spreads the backend servers
        // that an instance acquires at once.
        let mut next = Instant::now() + self.random_up_to(self.settings.period);
        loop {
            tokio::time::sleep_until(next).await;
            let result = self.poll.run().await;
            let Some(prober) = self.prober.upgrade() else {
                return;
            };
            let polled = Polled {
                backend_server: self.backend_server,
                task: self.task,
                result,
            };
            if prober.tell(polled).send().await.is_err() {
                return;
            }
            next = self.after(next).max(Instant::now());
        }
    }

    /// Returns when to poll after the poll at `last`.
    fn after(&mut self, last: Instant) -> Instant {
        let jitter = self.settings.jitter.min(self.settings.period);
        last + (self.settings.period - jitter) + self.random_up_to(2 * jitter)
    }

    fn random_up_to(&mut self, limit: Duration) -> Duration {
        limit.mul_f64(f64::from(self.random.next_u32()) / f64::from(u32::MAX))
    }
}
