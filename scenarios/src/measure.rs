//! What a run is judged by.

use hdrhistogram::Histogram;

use crate::prelude::*;

/// A measured quantity. All but `Answered` are better when lower.
#[derive(
    Clone,
    Copy,
    Debug,
    Eq,
    PartialEq,
    strum::Display,
    strum::EnumCount,
    strum::EnumIter,
    strum::EnumString,
)]
#[strum(serialize_all = "snake_case")]
pub enum Metric {
    /// Established flows that were reset, interrupted or forgotten.
    Broken,
    /// Non-idempotent requests that ran more than once.
    Doubled,
    /// Packets at a backend server of another service.
    Misrouted,
    /// Answers whose content belongs to another request.
    WrongAnswers,
    /// Attempts that were refused as "not run" but ran.
    FalseRefusals,
    /// Moments at which a backend server got more than its slots or its warm-up allowed.
    Overruns,
    /// Seconds until the last packet to a zone that was taken out.
    ZoneSilent,
    /// Seconds until the last new work at a draining backend server.
    Drained,
    /// Seconds until a configuration was in force everywhere.
    InForce,
    /// Times that an instance went to a lower revision.
    Reverted,
    /// Largest over mean of the time-averaged running requests of a service.
    Imbalance,
    /// Share of requests with a whole answer in time.
    Answered,
    /// Requests that got no reply at all.
    Lost,
    /// Median and 99th percentile of the response time of short requests, in ms.
    P50,
    /// See `P50`.
    P99,
    /// Control bytes per second of the busiest instance.
    ControlBytes,
    /// Store calls of all instances in the busiest second; a waiting watch counts as one.
    StoreCalls,
    /// Moments at which two instances could admit to one backend server.
    TwoOwners,
}

/// A fault seen during the run.
#[derive(Clone, Debug)]
pub(crate) struct Violation {
    pub(crate) at: Time,
    pub(crate) metric: Metric,
    pub(crate) flow: Option<FlowId>,
    pub(crate) text: String,
}

/// Sums that the run builds up.
#[derive(Default)]
pub(crate) struct Measures {
    pub(crate) violations: Vec<Violation>,
    pub(crate) zone_silent: Duration,
    pub(crate) drained: Duration,
    pub(crate) in_force: Duration,
    pub(crate) answered: u64,
    pub(crate) calls: u64,
    /// Response times of short requests, in ms.
    pub(crate) latency: Vec<u64>,
    /// Store calls in each second.
    pub(crate) store: Vec<u64>,
}

impl World {
    /// Notes a fault.
    pub(crate) fn fault(&mut self, metric: Metric, flow: Option<FlowId>, text: String) {
        let fault = Violation {
            at: self.now,
            metric,
            flow,
            text,
        };
        self.measures.violations.push(fault);
    }

    /// Counts one call to the store.
    pub(crate) fn count_store(&mut self) {
        let second = self.now.since_start().as_secs() as usize;
        let len = self.measures.store.len().max(second + 1);
        self.measures.store.resize(len, 0);
        self.measures.store[second] += 1;
    }

    /// Looks at every instance for two owners, old configurations and held watches.
    pub(crate) fn sweep(&mut self) {
        let mut owners = FxHashMap::default();
        let mut late = Duration::ZERO;
        for n in 0..self.nodes.len() {
            let node = &self.nodes[n];
            if node.state != State::Live {
                continue;
            }
            let revision = node.mind.configuration().revision.0 as usize;
            if revision < self.platform.accepted.len() && !self.isolated(node.zone) {
                let base = self.platform.accepted[revision].max(node.excused);
                late = late.max(self.now.since(base));
            }
            let zone = node.zone;
            for owned in node.mind.owned(self.now) {
                let server = self.server_index(owned.backend_server);
                let reached = server.is_some_and(|s| !self.is_cut(zone, self.servers[s].zone));
                if owned.fenced || !reached {
                    continue;
                }
                if let Some(other) = owners.insert(owned.backend_server, n) {
                    let text = format!("{n} and {other} own {}", owned.backend_server);
                    self.fault(Metric::TwoOwners, None, text);
                }
            }
        }
        self.measures.in_force = self.measures.in_force.max(late);
        if self.now.since_start().subsec_nanos() < SWEEP.subsec_nanos() {
            let held = |n: &&Node| n.watch && n.state != State::Gone;
            let watches = self.nodes.iter().filter(held).count();
            (0..watches).for_each(|_| self.count_store());
        }
    }

    /// Returns the value of a metric so far.
    pub fn value(&self, metric: Metric) -> f64 {
        let m = &self.measures;
        match metric {
            Metric::ZoneSilent => m.zone_silent.as_secs_f64(),
            Metric::Drained => m.drained.as_secs_f64(),
            Metric::InForce => m.in_force.as_secs_f64(),
            Metric::Imbalance => self.imbalance(),
            Metric::Answered => m.answered as f64 / m.calls.max(1) as f64,
            Metric::P50 => self.latency(0.5),
            Metric::P99 => self.latency(0.99),
            Metric::StoreCalls => m.store.iter().copied().max().unwrap_or(0) as f64,
            Metric::ControlBytes => (self.nodes.iter())
                .map(|n| (n.bytes as f64, n.gone.unwrap_or(self.now).since(n.started)))
                .filter(|(_, life)| *life > Duration::from_secs(5))
                .map(|(bytes, life)| bytes / life.as_secs_f64())
                .fold(0.0, f64::max),
            _ => m.violations.iter().filter(|v| v.metric == metric).count() as f64,
        }
    }

    fn latency(&self, quantile: f64) -> f64 {
        let mut histogram = Histogram::<u64>::new(3).expect("3 digits are allowed");
        let latency = self.measures.latency.iter();
        latency.for_each(|value| histogram.saturating_record(*value));
        histogram.value_at_quantile(quantile) as f64
    }

    /// Returns the expectations that do not hold, as text.
    pub fn failures(&self) -> Vec<String> {
        let checked = self.expectations.iter().map(|&(metric, bound)| {
            let value = self.value(metric);
            let holds = match metric {
                Metric::Answered => value >= bound,
                _ => value <= bound,
            };
            let seed = self.seed;
            (!holds).then(|| format!("{metric}: {value:.4}, expected {bound} (seed {seed})"))
        });
        let failures: Vec<String> = checked.flatten().collect();
        if let Some(trace) = self.trace.as_ref().filter(|_| !failures.is_empty()) {
            trace.print(self);
        }
        failures
    }

    /// Ends the sums and compares the refusals with what ran.
    pub(crate) fn judge(&mut self) {
        let servers = self.servers.iter_mut();
        servers.for_each(|server| server.advance(self.now));
        for (flow, request, attempt) in std::mem::take(&mut self.refused) {
            let ran = self.executed.get(&(flow, request));
            if ran.is_some_and(|attempts| attempts.contains(&attempt)) {
                let text = format!("r{request} a{attempt} was refused and ran");
                self.fault(Metric::FalseRefusals, Some(flow), text);
            }
        }
    }

    /// Returns the largest over the mean load, for the service where it is worst. Services with
    /// few requests are left out, because chance alone unbalances them.
    fn imbalance(&self) -> f64 {
        let worst = self.platform.configuration.services.keys().map(|&service| {
            let servers = self.servers.iter();
            let same = servers.filter(|s| s.service == service && !s.touched);
            let (loads, served): (Vec<f64>, Vec<u64>) = same.map(|s| (s.area, s.served)).unzip();
            let count = loads.len().max(1);
            let largest = loads.iter().copied().fold(0.0, f64::max);
            let enough = served.iter().sum::<u64>() >= LITTLE * count as u64;
            let ratio = largest * count as f64 / loads.iter().sum::<f64>();
            if enough { ratio } else { 0.0 }
        });
        worst.fold(0.0, f64::max)
    }
}

/// Mean requests of a backend server below which imbalance says nothing.
const LITTLE: u64 = 100;

/// Estimates the encoded size of a control message with its framing, in bytes.
pub(crate) fn size(message: &PeerMessage) -> u64 {
    const UPDATE: usize = 44;
    const ADDRESSES: usize = 40;
    let body = match message {
        PeerMessage::Heartbeat { updates, loads, .. } => {
            UPDATE * (1 + updates.len()) + 16 * loads.len() + 12
        }
        PeerMessage::HeartbeatAck { updates, .. } => UPDATE * (1 + updates.len()) + 12,
        PeerMessage::Members { updates } => UPDATE * updates.len(),
        PeerMessage::Changes { records } => records.iter().map(|r| 24 + 80 * r.changes.len()).sum(),
        PeerMessage::RegisterOverrides { overrides } => 26 * overrides.len() + 8,
        PeerMessage::Handover { flows, .. } => {
            let sizes = flows.iter().map(|f| 46 + ADDRESSES + 16 * f.requests.len());
            sizes.sum::<usize>() + 12
        }
        _ => UPDATE + 12,
    };
    body as u64 + 44 // length prefix, TCP and IP headers
}
