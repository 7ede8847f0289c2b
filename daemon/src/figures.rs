//! Counts of the adapters.

use std::collections::BTreeMap;
use std::time::Duration;

use kameo::actor::ActorRef;
use lovagespindle_backend_servers::{
    self as backend_servers,
    BackendSocket,
    Outcome,
    Prober, //
};
use lovagespindle_callers::{
    self as callers,
    CallerSocket, //
};
use lovagespindle_datagram::Counts as SocketCounts;
use lovagespindle_instances::links::{
    GetLinkCounts,
    PeerLinks, //
};
use lovagespindle_instances::relay::{
    GetRelayCounts,
    RelaySocket, //
};
use lovagespindle_store::store::{
    self,
    Store, //
};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{
    Counter,
    Meter, //
};
use strum::IntoEnumIterator;

/// How long an actor may take to say its counts. Another sample follows a second later.
const PATIENCE: Duration = Duration::from_millis(500);

/// What a figure counts.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct FigureName {
    /// The first part of the metric's name.
    pub part: &'static str,
    /// The last part of the metric's name.
    pub name: &'static str,
    /// What tells figures of one name apart, if anything.
    pub label: Option<(&'static str, &'static str)>,
}

/// The counts of all adapters at one moment.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    /// Counts since the start.
    pub figures: Vec<(FigureName, u64)>,
    /// Backend servers that are polled.
    pub polled: u64,
}

impl Figures {
    fn push(&mut self, part: &'static str, name: &'static str, value: u64) {
        self.push_labelled(part, name, None, value);
    }

    fn push_labelled(
        &mut self,
        part: &'static str,
        name: &'static str,
        label: Option<(&'static str, &'static str)>,
        value: u64,
    ) {
        self.figures.push((FigureName { part, name, label }, value));
    }

    fn push_socket(&mut self, part: &'static str, counts: &SocketCounts) {
        for (name, value) in [
            ("received", counts.received),
            ("overruns", counts.overruns),
            ("receive_failures", counts.failures),
            ("sent", counts.sent),
            ("unencodable", counts.unencodable),
            ("unsent", counts.unsent),
        ] {
            self.push(part, name, value);
        }
        for (defect, value) in counts.defects() {
            let label = Some(("defect", defect.into()));
            self.push_labelled(part, "malformed", label, value);
        }
    }
}

/// The actors that are asked.
pub struct Sources {
    /// The socket towards callers.
    pub callers: ActorRef<CallerSocket>,
    /// The socket towards backend servers.
    pub backend_servers: ActorRef<BackendSocket>,
    /// The socket towards other instances.
    pub relay: ActorRef<RelaySocket>,
    /// The links to other instances.
    pub links: ActorRef<PeerLinks>,
    /// The prober.
    pub prober: ActorRef<Prober>,
    /// The store.
    pub store: ActorRef<Store>,
}

impl Sources {
    /// Asks all actors for their counts; those that do not answer in time are left out.
    pub async fn read(&self) -> Figures {
        let mut figures = Figures::default();
        self.read_sockets(&mut figures).await;
        let asked = self.links.ask(GetLinkCounts);
        if let Ok(counts) = asked.reply_timeout(PATIENCE).await {
            for (counter, value) in counts.iter() {
                figures.push("link", counter.into(), value);
            }
        }
        let asked = self.prober.ask(backend_servers::GetPollCounts);
        if let Ok(counts) = asked.reply_timeout(PATIENCE).await {
            for outcome in Outcome::iter() {
                let label = Some(("outcome", outcome.into()));
                figures.push_labelled("prober", "polls", label, counts.outcome(outcome));
            }
            figures.push("prober", "overruns", counts.overruns);
            figures.polled = counts.polled;
        }
        let asked = self.store.ask(store::GetCounts);
        if let Ok(counts) = asked.reply_timeout(PATIENCE).await {
            figures.push("store", "calls", counts.calls);
            figures.push("store", "failures", counts.failures);
            figures.push("store", "snapshots", counts.snapshots);
        }
        figures
    }

    async fn read_sockets(&self, figures: &mut Figures) {
        let asked = self.callers.ask(callers::GetCounts);
        if let Ok(counts) = asked.reply_timeout(PATIENCE).await {
            figures.push_socket("caller_socket", &counts);
        }
        let asked = self.backend_servers.ask(backend_servers::GetCounts);
        if let Ok(counts) = asked.reply_timeout(PATIENCE).await {
            figures.push_socket("backend_socket", &counts);
        }
        let asked = self.relay.ask(GetRelayCounts);
        if let Ok(counts) = asked.reply_timeout(PATIENCE).await {
            figures.push_socket("relay_socket", &counts);
        }
    }
}

/// Counters of figures, made when a figure first rises.
pub struct Rises {
    meter: Meter,
    counters: BTreeMap<FigureName, (Counter<u64>, u64)>,
}

impl Rises {
    /// Creates counters in a meter.
    pub fn new(meter: Meter) -> Rises {
        Rises {
            meter,
            counters: BTreeMap::new(),
        }
    }

    /// Adds what the figures rose since they were last recorded.
    pub fn record(&mut self, figures: &[(FigureName, u64)]) {
        for (figure, value) in figures {
            if *value == 0 {
                continue;
            }
            let (counter, last) = self.counters.entry(*figure).or_insert_with(|| {
                let name = format!("lovagespindle_{}_{}", figure.part, figure.name);
                (self.meter.u64_counter(name).build(), 0)
            });
            let rise = value.saturating_sub(*last);
            *last = *value;
            match figure.label {
                _ if rise == 0 => {}
                Some((key, value)) => counter.add(rise, &[KeyValue::new(key, value)]),
                None => counter.add(rise, &[]),
            }
        }
    }
}
