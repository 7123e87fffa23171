//! Settings of one instance.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fescuewell_forward::retry;

/// What an instance has to know of itself and of the bounds it keeps.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Name of the instance; the same after a restart on the same machine.
    pub name: Arc<str>,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Whether the whole fleet starts for the first time.
    pub is_first_start: bool,
    /// Where callers connect.
    pub front: SocketAddr,
    /// Where readiness is asked for.
    pub ready: Option<SocketAddr>,
    /// Where callers ask for addresses.
    pub directory: Option<SocketAddr>,
    /// Where other instances send their load reports.
    pub peer: Option<SocketAddr>,
    /// Where metrics are served.
    pub metrics: Option<SocketAddr>,
    /// Part of a core.
    pub cores: f64,
    /// Link in Mbit/s.
    pub link_mbps: f64,
    /// Most sockets that the process may have open.
    pub max_sockets: usize,
    /// Memory of the process in bytes.
    pub memory_bytes: usize,
    /// Time from the request to stop until the process is killed.
    pub grace_period: Duration,
    /// How long callers may keep an address answer.
    pub address_ttl: Duration,
    /// The fleet's budget of repeats.
    pub retry_budget: retry::Bounds,
    /// Transactions a second that one part of the store takes.
    pub partition_writes_per_s: f64,
    /// Writing calls a second that all instances together may make.
    pub writes_per_s: f64,
    /// Reading calls a second that all instances together may make.
    pub reads_per_s: f64,
}

impl Settings {
    /// Settings with the bounds of a small fleet.
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
