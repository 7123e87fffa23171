//! The page on which a process shows its metrics: instruments of `opentelemetry`, shown as Prometheus text.
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

/// Scope of all instruments.
const SCOPE: &str = "fescuewell";

/// The exporter could not be set up.
#[derive(Debug, Snafu)]
#[snafu(display("metrics cannot be set up: {reason}"))]
pub struct Error {
    reason: Arc<str>,
}

/// Where instruments are made and their values read.
pub struct Exporter {
    registry: Registry,
    provider: SdkMeterProvider,
}

impl Exporter {
    /// A page without instruments.
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
                reason: error.to_string().into(),
            })?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Ok(Self { registry, provider })
    }

    /// Makes instruments.
    pub fn meter(&self) -> Meter {
        self.provider.meter(SCOPE)
    }

    /// The present values in the Prometheus text format.
    pub fn encode(&self) -> Vec<u8> {
        let mut text = Vec::new();
        // Writing to memory fails for no other reason than a broken metric, which is then left out.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        text
    }
}
