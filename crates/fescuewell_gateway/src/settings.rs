//! Settings of one instance.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fescuewell_forward::retry;

/// Identity, addresses and resource limits of an instance.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Name of the instance. It must stay the same after a restart on the same machine.
    pub name: Arc<str>,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Whether the whole fleet starts for the first time.
    pub is_first_start: bool,
    /// Listening address for callers.
    pub front: SocketAddr,
    /// Listening address for readiness checks.
    pub ready: Option<SocketAddr>,
    /// Listening address for requests for the address list.
    pub directory: Option<SocketAddr>,
    /// Listening address for messages from other instances.
    pub peer: Option<SocketAddr>,
    /// Listening address for metrics.
    pub metrics: Option<SocketAddr>,
    /// Processor cores available; may be a fraction.
    pub cores: f64,
    /// Link bandwidth in Mbit/s.
    pub link_mbps: f64,
    /// Maximum number of sockets the process may open.
    pub max_sockets: usize,
    /// Memory limit of the process in bytes.
    pub memory_bytes: usize,
    /// Time between the stop request and the kill of the process.
    pub grace_period: Duration,
    /// How long callers may cache an address list.
    pub address_ttl: Duration,
    /// Retry budget of the fleet.
    pub retry_budget: retry::Bounds,
    /// Transactions per second that one partition of the store can commit.
    pub partition_writes_per_s: f64,
    /// Write calls per second allowed for all instances together.
    pub writes_per_s: f64,
    /// Read calls per second allowed for all instances together.
    pub reads_per_s: f64,
}

impl Settings {
    /// Creates settings with the limits of a small fleet.
    pub fn new<Name>(name: Name, front: SocketAddr) -> Self
    where
        Name: Into<Arc<str>>,
    {
        Self {
            name: name.into(),
            zone: "".into(),
            is_first_start: false,
            front,
            ready: None,
            directory: None,
            peer: None,
            metrics: None,
            cores: 1.0,
            link_mbps: 1_000.0,
            max_sockets: 4_096,
            memory_bytes: 110 * 1024 * 1024,
            grace_period: Duration::from_secs(8),
            address_ttl: Duration::from_secs(2),
            retry_budget: retry::Bounds {
                ratio: 0.2,
                slack: 50.0,
                window_ms: 10_000,
            },
            partition_writes_per_s: 200.0,
            writes_per_s: 600.0,
            reads_per_s: 2_000.0,
        }
    }
}
