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

/// What a counter_name counts.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct CounterName {
    /// The first part of the metric's name.
    pub part: &'static str,
    /// The last part of the metric's name.
    pub name: &'static str,
    /// What tells figures of one name apart, if anything.
    pub label: Option<(&'static str, &'static str)>,
}

/// The counts of all adapters at one moment.
#[derive(Clone, Debug, Default)]
pub struct CounterSnapshot {
    /// Counts since the start.
    pub counters: Vec<(CounterName, u64)>,
    /// Backend servers that are polled.
    pub polled: u64,
}

impl CounterSnapshot {
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
        self.counters
            .push((CounterName { part, name, label }, value));
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
pub struct CounterSources {
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

impl CounterSources {
    /// Asks all actors for their counts; those that do not answer in time are left out.
    pub async fn read(&self) -> CounterSnapshot {
        let mut snapshot = CounterSnapshot::default();
        self.read_sockets(&mut snapshot).await;
        let asked = self.links.ask(GetLinkCounts);
        if let Ok(counts) = asked.reply_timeout(PATIENCE).await {
            for (counter, value) in counts.iter() {
                snapshot.push("link", counter.into(), value);
            }
        }
        let asked = self.prober.ask(backend_servers::GetPollCounts);
        if let Ok(counts) = asked.reply_timeout(PATIENCE).await {
            for outcome in Outcome::iter() {
                let label = Some(("outcome", outcome.into()));
                snapshot.push_labelled("prober", "polls", label, counts.outcome(outcome));
            }
            snapshot.push("prober", "overruns", counts.overruns);
            snapshot.polled = counts.polled;
        }
        let asked = self.store.ask(store::GetCounts);
        if let Ok(counts) = asked.reply_timeout(PATIENCE).await {
            snapshot.push("store", "calls", counts.calls);
            snapshot.push("store", "failures", counts.failures);
            snapshot.push("store", "snapshots", counts.snapshots);
        }
        snapshot
    }

    async fn read_sockets(&self, snapshot: &mut CounterSnapshot) {
        let asked = self.callers.ask(callers::GetCounts);
        if let Ok(counts) = asked.reply_timeout(PATIENCE).await {
            snapshot.push_socket("caller_socket", &counts);
        }
        let asked = self.backend_servers.ask(backend_servers::GetCounts);
        if let Ok(counts) = asked.reply_timeout(PATIENCE).await {
            snapshot.push_socket("backend_socket", &counts);
        }
        let asked = self.relay.ask(GetRelayCounts);
        if let Ok(counts) = asked.reply_timeout(PATIENCE).await {
            snapshot.push_socket("relay_socket", &counts);
        }
    }
}

/// Counters of figures, made when a counter_name first rises.
pub struct CounterDeltas {
    meter: Meter,
    instruments: BTreeMap<CounterName, (Counter<u64>, u64)>,
}

impl CounterDeltas {
    /// Creates counters in a meter.
    pub fn new(meter: Meter) -> CounterDeltas {
        CounterDeltas {
            meter,
            instruments: BTreeMap::new(),
        }
    }

    /// Adds what the figures rose since they were last recorded.
    pub fn record(&mut self, counters: &[(CounterName, u64)]) {
        for (counter_name, value) in counters {
            if *value == 0 {
                continue;
            }
            let (counter, last) = self.instruments.entry(*counter_name).or_insert_with(|| {
                let name = format!("lovagespindle_{}_{}", counter_name.part, counter_name.name);
                (self.meter.u64_counter(name).build(), 0)
            });
            let delta = value.saturating_sub(*last);
            *last = *value;
            match counter_name.label {
                _ if delta == 0 => {}
                Some((key, value)) => counter.add(delta, &[KeyValue::new(key, value)]),
                None => counter.add(delta, &[]),
            }
        }
    }
}
