//! Counters and gauges of one instance, kept by `opentelemetry` and shown as Prometheus text.

use fescuewell_core::prelude::*;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use snafu::Snafu;

/// The exporter could not be set up.
#[derive(Debug, Snafu)]
#[snafu(display("metrics cannot be set up: {reason}"))]
pub struct Error {
    reason: String,
}

/// Everything that one instance counts.
pub struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    /// Requests that reached the callers' listener.
    pub requests: Counter<u64>,
    /// Tokens billed here.
    pub tokens: Counter<u64>,
    /// Time to the verdict, in seconds.
    pub verdict_seconds: Histogram<f64>,
    refusals: Counter<u64>,
    events: Counter<u64>,
}

impl Metrics {
    /// Sets the instruments up.
    ///
    /// # Errors
    ///
    /// When the exporter cannot be built.
    pub fn new() -> Result<Self, Error> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .map_err(|error| Error {
                reason: error.to_string(),
            })?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("fescuewell");
        Ok(Self {
            registry,
            requests: meter.u64_counter("fescuewell_requests").build(),
            tokens: meter.u64_counter("fescuewell_tokens").build(),
            verdict_seconds: meter.f64_histogram("fescuewell_verdict_seconds").build(),
            refusals: meter.u64_counter("fescuewell_refusals").build(),
            events: meter.u64_counter("fescuewell_events").build(),
            _provider: provider,
        })
    }

    /// Counts a refusal by its code.
    pub fn count_refusal(&self, code: Code) {
        let attributes = [
            KeyValue::new("code", i64::from(code.number())),
            KeyValue::new("name", code.name()),
        ];
        self.refusals.add(1, &attributes);
    }

    /// Counts a numbered log event.
    pub fn count_event(&self, event: Event) {
        self.events.add(1, &[KeyValue::new("event", event.title())]);
    }

    /// The present values in the Prometheus text format.
    pub fn text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        // Writing to memory fails for no other reason than a broken metric, which is then left out.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        text
    }
}
