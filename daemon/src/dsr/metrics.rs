//! Metrics: counters and latency histograms by OpenTelemetry, served as text.

use std::time::Duration;

use hyper::StatusCode;
use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::{
    Context,
    Message, //
};
use lovagespindle_decisions::dsr::counts::{
    Count,
    Counts, //
};
use opentelemetry::metrics::{
    Counter,
    Gauge,
    Histogram,
    Meter,
    MeterProvider, //
};
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{
    Registry,
    TextEncoder, //
};
use strum::IntoEnumIterator;

use crate::dsr::forwarder::{
    Forwarder,
    GetCounts, //
};
use crate::dsr::http::Page;

/// Where metrics are served.
pub const PATH: &str = "/metrics";

/// Bounds of the buckets of latencies, in seconds: from a handshake inside a zone to the longest
/// wait of a client's attempt.
const LATENCIES: [f64; 12] = [
    0.002, 0.005, 0.01, 0.02, 0.04, 0.08, 0.16, 0.3, 0.6, 1.0, 1.4, 3.0,
];

/// Why metrics cannot be set up.
#[derive(Debug, thiserror::Error)]
pub enum MetricsError {
    /// The exporter cannot be built.
    #[error("the metrics exporter cannot be built: {0}")]
    Exporter(#[from] opentelemetry_sdk::error::OTelSdkError),
    /// The address cannot be bound.
    #[error("cannot listen for metrics: {0}")]
    Listen(#[from] std::io::Error),
}

/// Latencies that several tasks record.
#[derive(Clone)]
pub struct Latencies {
    /// From an opening packet to the client's next packet, in seconds.
    handshake: Histogram<f64>,
    /// From a call of the store, other than a watch, to its answer, in seconds.
    store: Histogram<f64>,
}

impl Latencies {
    /// Records how long a handshake took.
    pub fn record_handshake(&self, after: Duration) {
        self.handshake.record(after.as_secs_f64(), &[]);
    }

    /// Records how long the store took to answer.
    pub fn record_store(&self, after: Duration) {
        self.store.record(after.as_secs_f64(), &[]);
    }
}

/// Asks for the metrics as text.
pub struct GetPage;

/// Keeps the metrics and turns them into text.
#[derive(Actor)]
pub struct Metrics {
    /// Keeps the instruments alive.
    _provider: SdkMeterProvider,
    registry: Registry,
    counters: Vec<(Count, Counter<u64>)>,
    flows: Gauge<u64>,
    last: Counts,
    forwarder: ActorRef<Forwarder>,
}

/// The instruments of a process, before the actors start.
pub struct Instruments {
    provider: SdkMeterProvider,
    registry: Registry,
    meter: Meter,
    /// Latencies that several tasks record.
    pub latencies: Latencies,
}

impl Instruments {
    /// Sets the instruments up for the instance of that name.
    pub fn new(name: &str) -> Result<Instruments, MetricsError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()?;
        let resource = Resource::builder()
            .with_service_name("lovagespindle")
            .with_attribute(opentelemetry::KeyValue::new(
                "service.instance.id",
                name.to_owned(),
            ))
            .build();
        let provider = SdkMeterProvider::builder()
            .with_resource(resource)
            .with_reader(exporter)
            .build();
        let meter = provider.meter("lovagespindle");
        let latencies = Latencies {
            handshake: histogram(&meter, "lovagespindle_handshake"),
            store: histogram(&meter, "lovagespindle_store_answer"),
        };
        Ok(Instruments {
            provider,
            registry,
            meter,
            latencies,
        })
    }
}

fn histogram(meter: &Meter, name: &'static str) -> Histogram<f64> {
    let builder = meter.f64_histogram(name).with_unit("s");
    builder.with_boundaries(LATENCIES.to_vec()).build()
}

impl Metrics {
    /// Serves the instruments together with the counts of the forwarder.
    pub fn new(instruments: Instruments, forwarder: ActorRef<Forwarder>) -> Metrics {
        let meter = &instruments.meter;
        let counter = |count: Count| {
            let name: &str = count.into();
            let counter = meter.u64_counter(format!("lovagespindle_{name}"));
            (count, counter.build())
        };
        Metrics {
            counters: Count::iter().map(counter).collect(),
            flows: meter.u64_gauge("lovagespindle_flows").build(),
            registry: instruments.registry,
            _provider: instruments.provider,
            last: Counts::default(),
            forwarder,
        }
    }

    async fn collect(&mut self) -> Page {
        let Ok(all) = self.forwarder.ask(GetCounts).await else {
            return unavailable("the forwarder does not answer");
        };
        for (count, counter) in &self.counters {
            counter.add(all.counts.get(*count) - self.last.get(*count), &[]);
        }
        self.last = all.counts;
        self.flows.record(all.flows as u64, &[]);
        match TextEncoder::new().encode_to_string(&self.registry.gather()) {
            Ok(text) => (StatusCode::OK, text),
            Err(error) => unavailable(&error.to_string()),
        }
    }
}

fn unavailable(reason: &str) -> Page {
    log::warn!("event=metrics_failed reason={reason:?}");
    (StatusCode::SERVICE_UNAVAILABLE, String::new())
}

impl Message<GetPage> for Metrics {
    type Reply = Result<Page, kameo::error::Infallible>;

    async fn handle(&mut self, _: GetPage, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        Ok(self.collect().await)
    }
}
