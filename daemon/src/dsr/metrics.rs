//! Counters and latency histograms with OpenTelemetry, served in the Prometheus text format.

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

/// Path of the metrics page.
pub const PATH: &str = "/metrics";

/// Bucket bounds of the latency histograms, in seconds: from a handshake inside a zone to the
/// longest time that a client waits for one.
const LATENCY_BUCKETS: [f64; 12] = [
    0.002, 0.005, 0.01, 0.02, 0.04, 0.08, 0.16, 0.3, 0.6, 1.0, 1.4, 3.0,
];

/// Error that prevents metrics.
#[derive(Debug, thiserror::Error)]
pub enum MetricsError {
    #[error("cannot build the metrics exporter: {0}")]
    Exporter(#[from] opentelemetry_sdk::error::OTelSdkError),
    #[error("cannot listen for metrics: {0}")]
    Listen(#[from] std::io::Error),
}

/// Latency histograms that several tasks record into.
#[derive(Clone)]
pub struct Latencies {
    /// From a SYN to the client's next packet, in seconds.
    handshake: Histogram<f64>,
    /// From the first call of a snapshot to its response, in seconds. Watches are not measured.
    store: Histogram<f64>,
}

impl Latencies {
    /// Records the duration of a handshake.
    pub fn record_handshake(&self, latency: Duration) {
        self.handshake.record(latency.as_secs_f64(), &[]);
    }

    /// Records the response time of the store.
    pub fn record_store(&self, latency: Duration) {
        self.store.record(latency.as_secs_f64(), &[]);
    }
}

/// The kinds of calls of the store. Their names in snake case are labels of a metric.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum StoreCall {
    /// The first page of a snapshot.
    FirstPage,
    /// A further page of a snapshot.
    Page,
    /// The changes of zones before a snapshot.
    History,
    /// Changes as they are made.
    Watch,
}

/// Counts the calls of the store by kind.
#[derive(Clone)]
pub struct StoreCalls(Counter<u64>);

impl StoreCalls {
    /// Counts a call, whatever its outcome.
    pub fn add(&self, call: StoreCall) {
        let kind: &'static str = call.into();
        self.0.add(1, &[opentelemetry::KeyValue::new("kind", kind)]);
    }
}

/// Requests the metrics page.
pub struct GetPage;

/// Updates the metrics on request and encodes them as a page.
#[derive(Actor)]
pub struct Metrics {
    /// Instruments stop recording when the provider is dropped.
    _provider: SdkMeterProvider,
    registry: Registry,
    counters: Vec<(Count, Counter<u64>)>,
    flows: Gauge<u64>,
    view_age: Gauge<f64>,
    /// Counts at the last request, as counters can only add differences.
    last: Counts,
    forwarder: ActorRef<Forwarder>,
}

/// Instruments of a process, created before the actors start.
pub struct Instruments {
    provider: SdkMeterProvider,
    registry: Registry,
    meter: Meter,
    pub latencies: Latencies,
    pub store_calls: StoreCalls,
}

impl Instruments {
    /// Creates the instruments of the instance `name`. Returns an error if the exporter cannot be
    /// built.
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
            store_calls: StoreCalls(meter.u64_counter("lovagespindle_store_calls").build()),
            meter,
            latencies,
        })
    }
}

fn histogram(meter: &Meter, name: &'static str) -> Histogram<f64> {
    let builder = meter.f64_histogram(name).with_unit("s");
    builder.with_boundaries(LATENCY_BUCKETS.to_vec()).build()
}

impl Metrics {
    /// Creates an actor that serves the instruments together with the counts of the forwarder.
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
            view_age: meter
                .f64_gauge("lovagespindle_view_age")
                .with_unit("s")
                .build(),
            registry: instruments.registry,
            _provider: instruments.provider,
            last: Counts::default(),
            forwarder,
        }
    }

    async fn collect(&mut self) -> Page {
        let Ok(all) = self.forwarder.ask(GetCounts).await else {
            return unavailable("forwarder has stopped");
        };
        for (count, counter) in &self.counters {
            counter.add(all.counts.get(*count) - self.last.get(*count), &[]);
        }
        self.last = all.counts;
        self.flows.record(all.flows as u64, &[]);
        self.view_age.record(all.view_age.as_secs_f64(), &[]);
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
