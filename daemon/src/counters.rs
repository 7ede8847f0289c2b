//! Reads the counters of the adapters and records them as metrics.

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

/// Time within which an actor must reply with its counters. Another sample is taken a second later.
const REPLY_TIMEOUT: Duration = Duration::from_millis(500);

/// The parts of a metric's name, and its label.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct CounterName {
    /// First part of the name: the adapter.
    pub part: &'static str,
    /// Last part of the name: what is counted.
    pub name: &'static str,
    /// Key and value that distinguish counters of the same name, if there are several.
    pub label: Option<(&'static str, &'static str)>,
}

/// The counters of all adapters at one moment.
#[derive(Clone, Debug, Default)]
pub struct CounterSnapshot {
    /// Counts since the process started.
    pub counters: Vec<(CounterName, u64)>,
    /// Number of backend servers that are polled.
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

/// The actors whose counters are read.
pub struct CounterSources {
    pub callers: ActorRef<CallerSocket>,
    pub backend_servers: ActorRef<BackendSocket>,
    pub relay: ActorRef<RelaySocket>,
    pub links: ActorRef<PeerLinks>,
    pub prober: ActorRef<Prober>,
    pub store: ActorRef<Store>,
}

impl CounterSources {
    /// Requests the counters of all actors, and leaves out actors that do not reply in time.
    pub async fn read(&self) -> CounterSnapshot {
        let mut snapshot = CounterSnapshot::default();
        self.read_sockets(&mut snapshot).await;
        let request = self.links.ask(GetLinkCounts);
        if let Ok(counts) = request.reply_timeout(REPLY_TIMEOUT).await {
            for (counter, value) in counts.iter() {
                snapshot.push("link", counter.into(), value);
            }
        }
        let request = self.prober.ask(backend_servers::GetPollCounts);
        if let Ok(counts) = request.reply_timeout(REPLY_TIMEOUT).await {
            for outcome in Outcome::iter() {
                let label = Some(("outcome", outcome.into()));
                snapshot.push_labelled("prober", "polls", label, counts.outcome(outcome));
            }
            snapshot.push("prober", "overruns", counts.overruns);
            snapshot.polled = counts.polled;
        }
        let request = self.store.ask(store::GetCounts);
        if let Ok(counts) = request.reply_timeout(REPLY_TIMEOUT).await {
            snapshot.push("store", "calls", counts.calls);
            snapshot.push("store", "failures", counts.failures);
            snapshot.push("store", "snapshots", counts.snapshots);
        }
        snapshot
    }

    async fn read_sockets(&self, snapshot: &mut CounterSnapshot) {
        let request = self.callers.ask(callers::GetCounts);
        if let Ok(counts) = request.reply_timeout(REPLY_TIMEOUT).await {
            snapshot.push_socket("caller_socket", &counts);
        }
        let request = self.backend_servers.ask(backend_servers::GetCounts);
        if let Ok(counts) = request.reply_timeout(REPLY_TIMEOUT).await {
            snapshot.push_socket("backend_socket", &counts);
        }
        let request = self.relay.ask(GetRelayCounts);
        if let Ok(counts) = request.reply_timeout(REPLY_TIMEOUT).await {
            snapshot.push_socket("relay_socket", &counts);
        }
    }
}

/// Records how much the counters have grown. Instruments are created when a counter is first above
/// zero.
pub struct CounterDeltas {
    meter: Meter,
    /// Each instrument with the last recorded value.
    instruments: BTreeMap<CounterName, (Counter<u64>, u64)>,
}

impl CounterDeltas {
    /// Creates the recorder; `meter` creates the instruments.
    pub fn new(meter: Meter) -> CounterDeltas {
        CounterDeltas {
            meter,
            instruments: BTreeMap::new(),
        }
    }

    /// Adds the growth of each counter since it was last recorded.
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
