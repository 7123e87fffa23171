//! A metrics exporter: OpenTelemetry instruments, encoded in the Prometheus text format.
//!
//! ```
//! use fescuewell_metrics::Exporter;
//!
//! let exporter = Exporter::new().unwrap();
//! let requests = exporter.meter().u64_counter("requests").build();
//! requests.add(2, &[]);
//! let text = String::from_utf8(exporter.encode()).unwrap();
//! assert!(text.contains("requests_total"));
//! ```

use std::sync::Arc;

use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use snafu::Snafu;

/// Instrumentation scope of all instruments.
const SCOPE: &str = "fescuewell";

/// The exporter could not be created.
#[derive(Debug, Snafu)]
#[snafu(display("failed to set up the metrics exporter: {reason}"))]
pub struct Error {
    reason: Arc<str>,
}

/// Creates instruments and encodes their current values for Prometheus.
pub struct Exporter {
    registry: Registry,
    provider: SdkMeterProvider,
}

impl Exporter {
    /// Creates an exporter without instruments.
    ///
    /// # Errors
    ///
    /// Returns an error if the Prometheus exporter cannot be built.
    pub fn new() -> Result<Self, Error> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .map_err(|error| Error {
                reason: error.to_string().into(),
            })?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Ok(Self { registry, provider })
    }

    /// Returns the meter that creates instruments.
    pub fn meter(&self) -> Meter {
        self.provider.meter(SCOPE)
    }

    /// Encodes the current values of all instruments in the Prometheus text format.
    pub fn encode(&self) -> Vec<u8> {
        let mut text = Vec::new();
        // Writing to memory cannot fail; an error means an invalid metric, which is left out.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        text
    }
}
