//! Reads and validates the settings file of a router.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fescuewell_document::fault::Fault;
use fescuewell_platform::settings::Secret;
use serde::{Deserialize, Serialize};

/// Settings of one router instance.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the instance, as in the instance list and in its certificate.
    pub instance: Arc<str>,
    /// Availability zone of the instance.
    pub zone: Arc<str>,
    /// Address of the callers' listener.
    pub listen: SocketAddr,
    /// Address of the operators' listener, which serves state and metrics.
    pub operator_listen: SocketAddr,
    /// Token that operators must send; without one, only loopback addresses are allowed.
    #[serde(default)]
    pub operator_token: Option<Secret>,
    /// Certificate and key of the callers' listener; it serves plain HTTP without them.
    #[serde(default)]
    pub tls: Option<Tls>,
    /// Listener and certificates for other instances.
    pub peers: fescuewell_peer::Settings,
    /// Platform services.
    pub platform: fescuewell_platform::settings::Settings,
    /// Number of instances that rate limits are calculated for.
    #[serde(default = "default_fleet")]
    pub fleet: u32,
    /// Resource limits.
    #[serde(default)]
    pub limits: Limits,
    /// Timeouts and intervals.
    #[serde(default)]
    pub timing: Timing,
}

/// Files of a listener's certificate and key.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tls {
    /// PEM file of the certificate chain.
    pub certificate: Arc<str>,
    /// PEM file of the key.
    pub key: Arc<str>,
}

/// Resource limits of one instance.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Maximum number of open connections of callers.
    pub connections: usize,
    /// Maximum size of a request body.
    pub body_bytes: usize,
    /// Maximum size of a request head; at least 8192.
    pub head_bytes: usize,
    /// Memory of the process in MiB; the connections of callers may hold half of it.
    pub memory_mb: usize,
    /// Maximum number of requests that the instance handles at once.
    pub requests: usize,
    /// Number of threads that serve callers.
    pub threads: usize,
}

/// Timeouts and intervals of one instance, in milliseconds.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Timing {
    /// Timeout for connecting to a backend server.
    pub connect_ms: u64,
    /// Timeout from sending a request to the head of its response.
    pub first_byte_ms: u64,
    /// Timeout between two chunks of a response.
    pub progress_ms: u64,
    /// How long callers may use an address from the instance list (its TTL).
    pub address_ttl_ms: u64,
    /// How long a draining instance waits for all peers to learn of the drain.
    pub drain_spread_ms: u64,
    /// Time after which a draining process exits, even with requests in flight.
    pub drain_limit_ms: u64,
    /// Minimum interval between two group commits of claims and bills.
    pub commit_interval_ms: u64,
    /// Timeout of a claim, after which a repeatable request proceeds without it.
    pub claim_patience_ms: u64,
    /// Maximum lag of the instance list.
    pub list_lag_ms: u64,
    /// Time without contact to both the table service and all peers after which requests are refused.
    pub isolation_ms: u64,
    /// Time without heartbeats after which other instances may take over an instance's slots.
    pub lease_ms: u64,
}

fn default_fleet() -> u32 {
    9
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 4_096,
            body_bytes: 4 * 1024 * 1024,
            head_bytes: 16 * 1024,
            memory_mb: 512,
            requests: 4_000,
            threads: 2,
        }
    }
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            connect_ms: 500,
            first_byte_ms: 30_000,
            progress_ms: 10_000,
            address_ttl_ms: 10_000,
            drain_spread_ms: 2_000,
            drain_limit_ms: 120_000,
            commit_interval_ms: 20,
            claim_patience_ms: 300,
            list_lag_ms: 60_000,
            isolation_ms: 30_000,
            lease_ms: 5_000,
        }
    }
}

/// Maximum length of an instance or zone name, so that it fits a DNS label.
const MAX_NAME_LENGTH: usize = 63;
/// Smallest limit of the head size that the HTTP library accepts.
const MIN_HEAD_BYTES: usize = 8_192;

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// The first invalid setting, with file and, if known, line.
    pub fn read(text: &str, file: &str) -> Result<Self, fescuewell_document::settings::Error> {
        let settings: Self = fescuewell_document::settings::read(text, file)?;
        settings
            .check()
            .map_err(|fault| fescuewell_document::settings::Error::new(file, fault))?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), Fault> {
        check_name("instance", &self.instance)?;
        check_name("zone", &self.zone)?;
        let bounds = [
            ("limits.connections", self.limits.connections, 1, 100_000),
            (
                "limits.body_bytes",
                self.limits.body_bytes,
                1_024,
                256 * 1024 * 1024,
            ),
            (
                "limits.head_bytes",
                self.limits.head_bytes,
                MIN_HEAD_BYTES,
                1024 * 1024,
            ),
            ("limits.memory_mb", self.limits.memory_mb, 64, 1024 * 1024),
            ("limits.requests", self.limits.requests, 1, 100_000),
            ("limits.threads", self.limits.threads, 1, 64),
            ("fleet", self.fleet as usize, 1, 10_000),
        ];
        for (name, value, min, max) in bounds {
            if !(min..=max).contains(&value) {
                return Err(Fault::new(
                    name,
                    format!("{value} is not between {min} and {max}"),
                ));
            }
        }
        self.check_timing()
    }

    fn check_timing(&self) -> Result<(), Fault> {
        let timing = &self.timing;
        let all = [
            ("timing.connect_ms", timing.connect_ms),
            ("timing.first_byte_ms", timing.first_byte_ms),
            ("timing.progress_ms", timing.progress_ms),
            ("timing.commit_interval_ms", timing.commit_interval_ms),
            ("timing.claim_patience_ms", timing.claim_patience_ms),
            ("timing.isolation_ms", timing.isolation_ms),
            ("timing.lease_ms", timing.lease_ms),
        ];
        for (name, value) in all {
            if value == 0 {
                return Err(Fault::new(name, "must be at least 1"));
            }
        }
        if timing.drain_limit_ms <= timing.address_ttl_ms + timing.drain_spread_ms {
            let text = "must be longer than address_ttl_ms and drain_spread_ms together";
            return Err(Fault::new("timing.drain_limit_ms", text));
        }
        Ok(())
    }

    /// Returns the settings of the decision logic.
    pub fn node(&self) -> fescuewell_node::settings::Settings {
        let timing = &self.timing;
        let mut node = fescuewell_node::settings::Settings::sized(self.fleet);
        node.max_requests = self.limits.requests;
        node.arbiter.commit_interval = Duration::from_millis(timing.commit_interval_ms);
        node.claims_client.claim_timeout = Duration::from_millis(timing.claim_patience_ms);
        node.members.list_lag = Duration::from_millis(timing.list_lag_ms);
        node.members.isolation_limit = Duration::from_millis(timing.isolation_ms);
        node.members.lease = Duration::from_millis(timing.lease_ms);
        node.drain.address_ttl = Duration::from_millis(timing.address_ttl_ms);
        node.drain.announcement_time = Duration::from_millis(timing.drain_spread_ms);
        node.drain.limit = Duration::from_millis(timing.drain_limit_ms);
        node
    }
}

fn check_name(setting: &str, name: &str) -> Result<(), Fault> {
    let allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    if name.is_empty() || name.len() > MAX_NAME_LENGTH || !name.bytes().all(allowed) {
        let text = format!("`{name}` is not 1 to {MAX_NAME_LENGTH} of a-z, 0-9 and -");
        return Err(Fault::new(setting, text));
    }
    Ok(())
}
