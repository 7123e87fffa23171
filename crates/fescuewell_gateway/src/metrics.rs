//! Metrics of one instance, recorded with `opentelemetry` and exported in the Prometheus text
//! format.

use std::sync::{Arc, Weak};
use std::time::Duration;

use fescuewell_core::prelude::*;
pub use fescuewell_metrics::Error;
use fescuewell_metrics::Exporter;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram, Meter};

use crate::gateway::Gateway;

/// Maximum number of accounts with token gauges. With more accounts only the first ones by name
/// have them, which bounds the size of the page.
const MAX_ACCOUNTS: usize = 64;

/// Instruments of one instance.
pub struct Metrics {
    exporter: Exporter,
    requests: Counter<u64>,
    attempts: Counter<u64>,
    store_calls: Counter<u64>,
    crashes: Counter<u64>,
    malformed_headers: Counter<u64>,
    foreign_responses: Counter<u64>,
    late_requests: Counter<u64>,
    loan_requests: Counter<u64>,
    digests: Counter<u64>,
    list_queries: Counter<u64>,
    hops: Counter<u64>,
    stream_records: Counter<u64>,
    resumptions: Counter<u64>,
    cut_streams: Counter<u64>,
    silent_attempts: Counter<u64>,
    overtaken_attempts: Counter<u64>,
    configurations: Counter<u64>,
    first_event: Histogram<f64>,
    request_duration: Histogram<f64>,
}

impl Metrics {
    /// Creates the instruments.
    ///
    /// # Errors
    ///
    /// Returns an error if the metrics page cannot be created.
    pub fn new() -> Result<Self, Error> {
        let exporter = Exporter::new()?;
        let meter = exporter.meter();
        Ok(Self {
            requests: meter.u64_counter("fescuewell_forward_requests").build(),
            attempts: meter.u64_counter("fescuewell_forward_attempts").build(),
            store_calls: meter.u64_counter("fescuewell_store_calls").build(),
            crashes: meter.u64_counter("fescuewell_server_crashes").build(),
            malformed_headers: meter.u64_counter("fescuewell_malformed_headers").build(),
            foreign_responses: meter.u64_counter("fescuewell_foreign_responses").build(),
            late_requests: meter.u64_counter("fescuewell_drain_refusals").build(),
            loan_requests: meter.u64_counter("fescuewell_loan_requests").build(),
            hops: meter.u64_counter("fescuewell_hops").build(),
            stream_records: meter.u64_counter("fescuewell_stream_records").build(),
            resumptions: meter.u64_counter("fescuewell_stream_resumptions").build(),
            cut_streams: meter.u64_counter("fescuewell_streams_cut").build(),
            silent_attempts: meter.u64_counter("fescuewell_silent_attempts").build(),
            overtaken_attempts: meter.u64_counter("fescuewell_overtaken_attempts").build(),
            digests: meter.u64_counter("fescuewell_digests").build(),
            list_queries: meter.u64_counter("fescuewell_list_queries").build(),
            configurations: meter.u64_counter("fescuewell_configuration_copies").build(),
            first_event: meter
                .f64_histogram("fescuewell_first_event_seconds")
                .build(),
            request_duration: meter.f64_histogram("fescuewell_request_seconds").build(),
            exporter,
        })
    }

    /// Registers gauges of the gateway's state: tokens by account, and sizes and ages of the local
    /// state.
    pub fn register_gauges(&self, gateway: &Arc<Gateway>) {
        let meter = self.exporter.meter();
        register_tokens(&meter, Arc::downgrade(gateway));
        register_state(&meter, Arc::downgrade(gateway));
    }

    /// Counts a finished request and records its duration.
    pub fn count_request(&self, route: &str, outcome: &str, took: Duration) {
        let attributes = [
            KeyValue::new("route", route.to_owned()),
            KeyValue::new("outcome", outcome.to_owned()),
        ];
        self.requests.add(1, &attributes);
        self.request_duration
            .record(took.as_secs_f64(), &attributes[..1]);
    }

    /// Counts a refused request by its code.
    pub fn count_refusal(&self, route: &str, code: Code, took: Duration) {
        self.count_request(route, code.name(), took);
    }

    /// Counts an attempt at a backend server of a service.
    pub fn count_attempt(&self, service: &str, outcome: &'static str) {
        let attributes = [
            KeyValue::new("service", service.to_owned()),
            KeyValue::new("outcome", outcome),
        ];
        self.attempts.add(1, &attributes);
    }

    /// Counts a crash of a backend server of a service.
    pub fn count_server_crash(&self, service: &str) {
        let attributes = [KeyValue::new("service", service.to_owned())];
        self.crashes.add(1, &attributes);
    }

    /// Counts responses from a backend server that name another request, or none.
    pub fn count_foreign_responses(&self, service: &str, outcome: &'static str, count: u64) {
        let attributes = [
            KeyValue::new("service", service.to_owned()),
            KeyValue::new("outcome", outcome),
        ];
        self.foreign_responses.add(count, &attributes);
    }

    /// Counts a request that may not end before the process does.
    pub fn count_late_request(&self) {
        self.late_requests.add(1, &[]);
    }

    /// Counts a malformed header of a response from a backend server.
    pub fn count_malformed_header(&self, service: &str, header: &'static str) {
        let attributes = [
            KeyValue::new("service", service.to_owned()),
            KeyValue::new("header", header),
        ];
        self.malformed_headers.add(1, &attributes);
    }

    /// Counts a loan request sent to another instance.
    pub fn count_loan_request(&self, is_repeat: bool) {
        let kind = if is_repeat { "repeated" } else { "asked" };
        self.loan_requests.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Counts a digest of the server list that another instance sent: `applied`, or the name of a
    /// [`Rejection`](fescuewell_forward::relay::Rejection).
    pub fn count_digest(&self, outcome: &'static str) {
        self.digests.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a query for changes of the server list: `asked` of others, or `answered` or `declined`
    /// here.
    pub fn count_list_query(&self, outcome: &'static str) {
        self.list_queries
            .add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts an attempt to obtain a newer configuration.
    pub fn count_configuration(&self, source: &'static str, outcome: &'static str) {
        let attributes = [
            KeyValue::new("source", source),
            KeyValue::new("outcome", outcome),
        ];
        self.configurations.add(1, &attributes);
    }

    /// Counts a request that was passed to another instance (`sent`) or came from one (`served`).
    pub fn count_hop(&self, direction: &'static str, outcome: &'static str) {
        let attributes = [
            KeyValue::new("direction", direction),
            KeyValue::new("outcome", outcome),
        ];
        self.hops.add(1, &attributes);
    }

    /// Counts records of streams that were sent to another instance or received from one.
    pub fn count_stream_records(&self, direction: &'static str, count: u64) {
        let attributes = [KeyValue::new("direction", direction)];
        self.stream_records.add(count, &attributes);
    }

    /// Counts a stream that is resumed: within its response, or by another attempt of its caller.
    pub fn count_resumption(&self, way: &'static str, outcome: &'static str) {
        let attributes = [KeyValue::new("way", way), KeyValue::new("outcome", outcome)];
        self.resumptions.add(1, &attributes);
    }

    /// Counts a stream that ended before its last event: who ended it, and why.
    pub fn count_cut_stream(&self, by: &'static str, cause: &'static str) {
        let attributes = [KeyValue::new("by", by), KeyValue::new("cause", cause)];
        self.cut_streams.add(1, &attributes);
    }

    /// Counts an attempt whose server is silent: a `second` server is asked, or the request has to `wait`.
    pub fn count_silent_attempt(&self, decision: &'static str) {
        self.silent_attempts
            .add(1, &[KeyValue::new("decision", decision)]);
    }

    /// Counts an attempt that was cancelled because another one of its request delivered first.
    pub fn count_overtaken_attempt(&self) {
        self.overtaken_attempts.add(1, &[]);
    }

    /// Counts a call to the store.
    pub fn count_store_call(&self, call: &str, outcome: &'static str) {
        let attributes = [
            KeyValue::new("call", call.to_owned()),
            KeyValue::new("outcome", outcome),
        ];
        self.store_calls.add(1, &attributes);
    }

    /// Records the time to the first event of a stream.
    pub fn record_first_event(&self, route: &str, took: Duration) {
        let attributes = [KeyValue::new("route", route.to_owned())];
        self.first_event.record(took.as_secs_f64(), &attributes);
    }

    /// Returns the current values in the Prometheus text format.
    pub fn text(&self) -> Vec<u8> {
        self.exporter.encode()
    }
}

fn register_tokens(meter: &Meter, gateway: Weak<Gateway>) {
    meter
        .u64_observable_gauge("fescuewell_tokens")
        .with_callback(move |gauge| {
            let Some(gateway) = gateway.upgrade() else {
                return;
            };
            let state = gateway.state();
            for name in state.quota.prepaid_accounts().iter().take(MAX_ACCOUNTS) {
                let Some(account) = state.quota.account(name) else {
                    continue;
                };
                let values = [
                    ("prepaid", account.prepaid().unwrap_or_default()),
                    ("granted", account.granted()),
                    ("consumed", account.consumed()),
                ];
                for (kind, value) in values {
                    let attributes = [
                        KeyValue::new("account", name.to_string()),
                        KeyValue::new("kind", kind),
                    ];
                    gauge.observe(value, &attributes);
                }
            }
        })
        .build();
}

fn register_state(meter: &Meter, gateway: Weak<Gateway>) {
    meter
        .f64_observable_gauge("fescuewell_state")
        .with_callback(move |gauge| {
            let Some(gateway) = gateway.upgrade() else {
                return;
            };
            let version = gateway
                .table()
                .map_or(0, |table| table.configuration().version);
            let now_ms = gateway.now_ms();
            let (servers, limited, resting, instances, exposure, suspects, quarantined) = {
                let state = gateway.state();
                let servers = state.registry.entries().count();
                let limited = state.conditions.limits.count();
                let exposure = state.quota.exposure(now_ms);
                let store_ms = state.store_ms(now_ms);
                let suspects = state.quarantine.suspects(store_ms);
                let quarantined = state.quarantine.quarantined(store_ms).len();
                let instances = state.directory.count();
                let resting = state.conditions.rests.count(now_ms);
                (
                    servers,
                    limited,
                    resting,
                    instances,
                    exposure,
                    suspects,
                    quarantined,
                )
            };
            let unready_left_ms = gateway.state().admission.unready_left_ms(now_ms);
            let behind_ms = gateway.state().lag.behind_ms(now_ms);
            let list_age_ms = gateway.state().cursor.age_ms(now_ms).unwrap_or_default();
            let (suspect_parts, quarantined_parts) = {
                let state = gateway.state();
                let store_ms = state.store_ms(now_ms);
                let parts = &state.part_quarantine;
                (parts.suspects(store_ms), parts.quarantined(store_ms).len())
            };
            let is_path_lost = gateway.state().path.is_lost();
            let server_paths_lost = gateway.state().server_paths.count();
            let (stream_records, dropped_records) = {
                let state = gateway.state();
                let dropped = state.stream_records.dropped() + state.stream_outbox.dropped();
                (state.stream_records.count(), dropped)
            };
            let memory = gateway.memory.usage();
            let values = [
                ("connection_bytes", memory.used_bytes as f64),
                ("connection_bytes_max", memory.max_bytes as f64),
                ("connections_closed", memory.closed as f64),
                ("requests_without_memory", memory.refused as f64),
                ("suspect_parts", suspect_parts as f64),
                ("quarantined_parts", quarantined_parts as f64),
                ("path_lost", f64::from(u8::from(is_path_lost))),
                ("server_paths_lost", server_paths_lost as f64),
                ("unready_left_seconds", unready_left_ms as f64 / 1_000.0),
                ("configuration_version", version as f64),
                ("configuration_behind_seconds", behind_ms as f64 / 1_000.0),
                ("server_list_age_seconds", list_age_ms as f64 / 1_000.0),
                (
                    "store_silent_seconds",
                    gateway.time_since_store_response().as_secs_f64(),
                ),
                ("journal_age_seconds", exposure.age_ms as f64 / 1_000.0),
                ("tokens_recorded", exposure.recorded as f64),
                ("tokens_consumed", exposure.consumed as f64),
                ("tokens_promised", exposure.promised as f64),
                ("servers", servers as f64),
                ("limited_servers", limited as f64),
                ("resting_servers", resting as f64),
                ("stream_records", stream_records as f64),
                ("stream_records_dropped", dropped_records as f64),
                ("suspects", suspects as f64),
                ("quarantined", quarantined as f64),
                ("instances", instances as f64),
                ("ready", f64::from(u8::from(gateway.reports_ready()))),
                ("accepting", f64::from(u8::from(gateway.is_accepting()))),
            ];
            for (kind, value) in values {
                gauge.observe(value, &[KeyValue::new("of", kind)]);
            }
        })
        .build();
}
