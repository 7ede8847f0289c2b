//! Exports metrics with OpenTelemetry.

use std::time::Duration;

use crate::counters::{
    CounterDeltas,
    CounterSources, //
};
use kameo::Actor;
use kameo::message::{
    Context,
    Message, //
};
use lovagespindle_decisions::counter::{
    Counter,
    Counters, //
};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{
    Gauge,
    Meter,
    MeterProvider, //
};
use opentelemetry_otlp::WithExportConfig;
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::metrics::{
    PeriodicReader,
    SdkMeterProvider, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use strum::IntoEnumIterator;

/// Settings of metrics.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct MetricSettings {
    /// URL to which metrics are exported with OTLP over gRPC. Nothing is exported without it.
    pub endpoint: Option<String>,
    /// Interval between exports.
    #[serde(with = "humantime_serde")]
    pub period: Duration,
}

impl Default for MetricSettings {
    fn default() -> MetricSettings {
        MetricSettings {
            endpoint: None,
            period: Duration::from_secs(10),
        }
    }
}

/// An error in setting up the metrics.
#[derive(Debug, thiserror::Error)]
pub enum MetricError {
    #[error("cannot create a metric exporter for {endpoint:?}: {source}")]
    Exporter {
        endpoint: String,
        source: opentelemetry_otlp::ExporterBuildError,
    },
}

/// Values of an instance at one moment.
#[derive(Clone, Debug, Default)]
pub struct Sample {
    /// Counts since the process started.
    pub counters: Counters,
    /// Number of flow records.
    pub flows: u64,
    /// Number of requests in progress.
    pub requests: u64,
    /// Number of owned backend servers.
    pub owned: u64,
    /// Revision of the active configuration.
    pub revision: u64,
}

/// Records samples and the counters of the adapters as metrics.
#[derive(Actor)]
pub struct Metrics {
    /// Keeps the exporter running; it is shut down when the actor stops.
    provider: SdkMeterProvider,
    counters: Vec<(Counter, opentelemetry::metrics::Counter<u64>)>,
    flows: Gauge<u64>,
    requests: Gauge<u64>,
    owned: Gauge<u64>,
    revision: Gauge<u64>,
    polled: Gauge<u64>,
    /// Values of the last sample.
    last_counters: Counters,
    sources: CounterSources,
    adapter_counters: CounterDeltas,
}

impl Metrics {
    /// Creates the metrics of the instance `name` in `zone`. Returns an error if the exporter cannot
    /// be created.
    pub fn new(
        settings: &MetricSettings,
        name: &str,
        zone: &str,
        sources: CounterSources,
    ) -> Result<Metrics, MetricError> {
        let resource = Resource::builder()
            .with_service_name("lovagespindle")
            .with_attribute(KeyValue::new("service.instance.id", name.to_owned()))
            .with_attribute(KeyValue::new("cloud.availability_zone", zone.to_owned()))
            .build();
        let mut builder = SdkMeterProvider::builder().with_resource(resource);
        if let Some(endpoint) = &settings.endpoint {
            let exporter = opentelemetry_otlp::MetricExporter::builder()
                .with_tonic()
                .with_endpoint(endpoint)
                .build()
                .map_err(|source| MetricError::Exporter {
                    endpoint: endpoint.clone(),
                    source,
                })?;
            let reader = PeriodicReader::builder(exporter)
                .with_interval(settings.period)
                .build();
            builder = builder.with_reader(reader);
        }
        let provider = builder.build();
        Ok(Metrics::with_provider(provider, sources))
    }

    fn with_provider(provider: SdkMeterProvider, sources: CounterSources) -> Metrics {
        let meter = provider.meter("lovagespindle");
        Metrics {
            counters: Counter::iter().map(|c| (c, counter(&meter, c))).collect(),
            flows: gauge(&meter, "flows"),
            requests: gauge(&meter, "requests"),
            owned: gauge(&meter, "owned_backend_servers"),
            revision: gauge(&meter, "configuration_revision"),
            polled: gauge(&meter, "polled_backend_servers"),
            last_counters: Counters::default(),
            sources,
            adapter_counters: CounterDeltas::new(meter),
            provider,
        }
    }

    fn record(&mut self, sample: Sample) {
        for (counter, instrument) in &self.counters {
            let delta = sample.counters.get(*counter) - self.last_counters.get(*counter);
            if delta > 0 {
                instrument.add(delta, &[]);
            }
        }
        self.flows.record(sample.flows, &[]);
        self.requests.record(sample.requests, &[]);
        self.owned.record(sample.owned, &[]);
        self.revision.record(sample.revision, &[]);
        self.last_counters = sample.counters;
    }
}

fn counter(meter: &Meter, counter: Counter) -> opentelemetry::metrics::Counter<u64> {
    meter.u64_counter(metric_name(counter.into())).build()
}

fn gauge(meter: &Meter, name: &str) -> Gauge<u64> {
    meter.u64_gauge(metric_name(name)).build()
}

fn metric_name(name: &str) -> String {
    format!("lovagespindle_{name}")
}

impl Message<Sample> for Metrics {
    type Reply = ();

    async fn handle(&mut self, sample: Sample, _context: &mut Context<Self, ()>) {
        self.record(sample);
        // The adapters may reply late. Only this actor waits for them; the router never does.
        let snapshot = self.sources.read().await;
        self.polled.record(snapshot.polled, &[]);
        self.adapter_counters.record(&snapshot.counters);
    }
}

impl Drop for Metrics {
    fn drop(&mut self) {
        if let Err(error) = self.provider.shutdown() {
            log::warn!("cannot shut the metric exporter down: {error}");
        }
    }
}
