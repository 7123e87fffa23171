//! Metrics of one instance, recorded with `opentelemetry` and exported in the Prometheus text format.

use fescuewell_core::prelude::*;
pub use fescuewell_metrics::Error;
use fescuewell_metrics::Exporter;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram};

/// The metric instruments of one instance.
pub struct Metrics {
    exporter: Exporter,
    /// Requests received by the callers' listener.
    pub requests: Counter<u64>,
    /// Tokens billed by this instance.
    pub tokens: Counter<u64>,
    /// Time from the arrival of a request to its first verdict, in seconds.
    pub verdict_seconds: Histogram<f64>,
    refusals: Counter<u64>,
    events: Counter<u64>,
}

impl Metrics {
    /// Creates the instruments.
    ///
    /// # Errors
    ///
    /// When the metrics page cannot be created.
    pub fn new() -> Result<Self, Error> {
        let exporter = Exporter::new()?;
        let meter = exporter.meter();
        Ok(Self {
            requests: meter.u64_counter("fescuewell_requests").build(),
            tokens: meter.u64_counter("fescuewell_tokens").build(),
            verdict_seconds: meter.f64_histogram("fescuewell_verdict_seconds").build(),
            refusals: meter.u64_counter("fescuewell_refusals").build(),
            events: meter.u64_counter("fescuewell_events").build(),
            exporter,
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

    /// Returns the current values in the Prometheus text format.
    pub fn text(&self) -> Vec<u8> {
        self.exporter.encode()
    }
}
