//! The actor that owns the decision state and passes it events and the time.

use std::sync::Arc;
use std::time::Duration;

use kameo::actor::{
    Actor,
    ActorRef,
    WeakActorRef, //
};
use kameo::mailbox::{
    MailboxReceiver,
    Signal, //
};
use kameo::message::{
    Context,
    Message, //
};
use lovagespindle_datagram::Clock;
use lovagespindle_datagram::flow::flow_id;
use lovagespindle_decisions::config::Configuration;
use lovagespindle_decisions::packet::Route;
use lovagespindle_decisions::peer::Member;
use lovagespindle_decisions::status::Status;
use lovagespindle_decisions::{
    Action,
    Event,
    Instance,
    Time, //
};
use lovagespindle_operators::messages::{
    ExplainFlow,
    FlowExplanation,
    GetStatus,
    ReadConfiguration, //
};

use crate::adapters::{
    Adapters,
    StartError, //
};
use crate::metrics::Sample;
use crate::settings::Settings;

/// Interval between samples for the metrics.
const SAMPLE_PERIOD: Duration = Duration::from_secs(1);

pub struct Arguments {
    pub settings: Settings,
    /// Identity and addresses of this instance.
    pub member: Member,
    pub clock: Clock,
    /// Seed of the random numbers of the decision state, the prober and the store client.
    pub seed: u64,
}

/// Owns the decision state, and executes its actions through the adapters.
pub struct Router {
    instance: Instance,
    clock: Clock,
    adapters: Adapters,
    /// Actions of the events being handled; empty between messages. Reused to save allocations.
    actions: Vec<Action>,
    next_sample: Time,
    /// Whether the decision state requested to stop the process.
    stopped: bool,
}

impl Router {
    async fn handle_all(&mut self, events: impl IntoIterator<Item = Event>) {
        let now = self.clock.now();
        for event in events {
            self.instance.handle(now, event, &mut self.actions);
        }
        let configuration = self.instance.configuration().clone();
        if self
            .adapters
            .execute(&mut self.actions, &configuration)
            .await
        {
            self.stopped = true;
        }
    }

    /// Sends a sample to the metrics if one is due.
    fn sample(&mut self) {
        let now = self.clock.now();
        if now < self.next_sample {
            return;
        }
        self.next_sample = now + SAMPLE_PERIOD;
        let status = self.instance.status(now);
        let sample = Sample {
            counters: self.instance.counters().clone(),
            flows: status.flows,
            requests: status.requests,
            owned: status.owned.len() as u64,
            revision: status.revision.0,
        };
        self.adapters.record(sample);
    }

    /// Returns the time of the next tick or sample, whichever is earlier.
    fn next_wakeup(&self) -> Time {
        let deadline = self.instance.deadline().unwrap_or(self.next_sample);
        deadline.min(self.next_sample)
    }
}

impl Actor for Router {
    type Args = Arguments;
    type Error = StartError;

    async fn on_start(
        arguments: Arguments,
        router: ActorRef<Router>,
    ) -> Result<Router, StartError> {
        let settings = &arguments.settings;
        let adapters = Adapters::start(settings, &arguments, &router).await?;
        Ok(Router {
            instance: Instance::new(arguments.member, settings.decisions.clone(), arguments.seed),
            clock: arguments.clock,
            adapters,
            actions: Vec::new(),
            next_sample: Time::ZERO,
            stopped: false,
        })
    }

    async fn next(
        &mut self,
        _router: WeakActorRef<Router>,
        mailbox: &mut MailboxReceiver<Router>,
    ) -> Result<Option<Signal<Router>>, StartError> {
        while !self.stopped {
            let wake = self.clock.instant(self.next_wakeup());
            tokio::select! {
                biased;
                signal = mailbox.recv() => return Ok(signal),
                () = tokio::time::sleep_until(wake) => {
                    self.handle_all([Event::Tick]).await;
                    self.sample();
                }
            }
        }
        Ok(None)
    }
}

impl Message<Vec<Event>> for Router {
    type Reply = ();

    async fn handle(&mut self, events: Vec<Event>, _context: &mut Context<Self, ()>) {
        self.handle_all(events).await;
        self.tick_if_due().await;
    }
}

impl Router {
    /// Handles a tick and a sample that are due after a message. `next` prefers messages to ticks,
    /// so a mailbox that is never empty would otherwise prevent ticks.
    async fn tick_if_due(&mut self) {
        if self.clock.now() >= self.next_wakeup() {
            self.handle_all([Event::Tick]).await;
            self.sample();
        }
    }
}

impl Message<Event> for Router {
    type Reply = ();

    async fn handle(&mut self, event: Event, _context: &mut Context<Self, ()>) {
        self.handle_all([event]).await;
    }
}

impl Message<GetStatus> for Router {
    type Reply = Result<Status, kameo::error::Infallible>;

    async fn handle(&mut self, _: GetStatus, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        Ok(self.instance.status(self.clock.now()))
    }
}

impl Message<ReadConfiguration> for Router {
    type Reply = Result<Arc<Configuration>, kameo::error::Infallible>;

    async fn handle(
        &mut self,
        _: ReadConfiguration,
        _: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        Ok(self.instance.configuration().clone())
    }
}

impl Message<ExplainFlow> for Router {
    type Reply = Result<FlowExplanation, kameo::error::Infallible>;

    async fn handle(
        &mut self,
        request: ExplainFlow,
        _: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        let flow = flow_id(&Route {
            caller: request.caller,
            address: request.address,
            unique_id: request.unique_id,
        });
        Ok(FlowExplanation {
            flow,
            explanation: self.instance.explain(request.service, flow),
        })
    }
}
