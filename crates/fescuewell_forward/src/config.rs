//! The configuration: routes, services, client accounts and limits, and an index for lookups.

mod change;
mod lag;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::warmup;

pub use change::{Change, Edit, History};
pub use lag::Lag;

/// Retry and streaming semantics of a route's requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// May be executed more than once.
    Safe,
    /// Executed at most once.
    Unsafe,
    /// Streams events; executed at most once unless `resumable`.
    Stream {
        /// Whether another backend server can resume after the last event received.
        resumable: bool,
    },
}

impl Kind {
    /// Returns `true` if the request may be executed more than once.
    pub fn is_idempotent(self) -> bool {
        matches!(self, Self::Safe | Self::Stream { resumable: true })
    }

    /// Returns `true` if the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service of a route and its share of the route's requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Split {
    /// Name of the service.
    pub service: Arc<str>,
    /// Weight relative to the route's other services.
    pub weight: u32,
}

/// How requests of one host and path prefix are served.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Unique name.
    pub name: Arc<str>,
    /// Host that it matches.
    pub host: Arc<str>,
    /// Path prefix that it matches.
    pub prefix: Arc<str>,
    /// Retry and streaming semantics of its requests.
    pub kind: Kind,
    /// Request timeout.
    pub timeout: Duration,
    /// Latency objective: a response within this time has its full value.
    pub target_latency: Duration,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Services that serve it.
    pub splits: Vec<Split>,
    /// Maximum number of backend servers that a request is sent to.
    pub max_attempts: u32,
    /// Whether requests need no account key.
    pub public: bool,
    /// Whether backend servers cache prompt prefixes of its requests.
    pub sticky: bool,
    /// Objective for the gap between two events of a stream.
    pub target_gap: Duration,
}

impl Route {
    /// Selects a service by weight, or returns `None` if all weights are 0. `random` is uniformly
    /// distributed.
    pub fn service(&self, random: u64) -> Option<&Arc<str>> {
        let total: u64 = self
            .splits
            .iter()
            .map(|split| u64::from(split.weight))
            .sum();
        let mut left = random.checked_rem(total)?;
        for split in &self.splits {
            if left < u64::from(split.weight) {
                return Some(&split.service);
            }
            left -= u64::from(split.weight);
        }
        None
    }
}

/// Properties of a service's model engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Engine {
    /// Maximum batch size in requests.
    pub slots: u32,
    /// Capacity of a backend server's KV cache in tokens.
    pub kv_capacity: u64,
    /// Number of output tokens per event.
    pub tokens_per_event: u64,
}

/// A group of interchangeable backend servers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Unique name.
    pub name: Arc<str>,
    /// Maximum number of connections that a backend server accepts from all clients together.
    pub max_connections: usize,
    /// Set if the backend servers are model engines.
    pub engine: Option<Engine>,
    /// Rate limit for cold backend servers, if any.
    pub warmup: Option<warmup::Limit>,
}

/// A client account.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// Unique name.
    pub name: Arc<str>,
    /// API keys of its callers.
    pub keys: Vec<Arc<str>>,
    /// Priority that overrides the route's.
    pub priority: Option<u8>,
    /// Prepaid tokens in total, or `None` if it is not billed by tokens.
    pub prepaid: Option<u64>,
}

/// Limits on the size and duration of callers' requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Maximum size of a request head in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub body_bytes: usize,
    /// Timeout for receiving a complete request head.
    pub head_timeout: Duration,
    /// Timeout for the next request on an open connection.
    pub idle_timeout: Duration,
}

/// A complete configuration.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Configuration {
    /// Increases with each change.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Arc<Route>>,
    /// All services.
    pub services: Vec<Service>,
    /// All client accounts; empty if callers need no keys.
    pub accounts: Vec<Arc<Account>>,
    /// Limits for callers, if the operator sets them.
    pub limits: Option<Limits>,
}

impl Configuration {
    /// Sorts all lists by name. The operator lists the same items in another order each time.
    pub fn normalize(&mut self) {
        self.routes
            .sort_by(|left, right| left.name.cmp(&right.name));
        self.services
            .sort_by(|left, right| left.name.cmp(&right.name));
        self.accounts
            .sort_by(|left, right| left.name.cmp(&right.name));
    }
}

/// A configuration with an index for the lookups of each request.
#[derive(Debug, Default)]
pub struct Table {
    configuration: Configuration,
    hosts: HashMap<Arc<str>, Vec<Arc<Route>>>,
    keys: HashMap<Arc<str>, Arc<Account>>,
    services: HashMap<Arc<str>, Service>,
}

impl Table {
    /// Indexes a configuration.
    pub fn new(configuration: Configuration) -> Self {
        let mut hosts: HashMap<Arc<str>, Vec<Arc<Route>>> = HashMap::new();
        for route in &configuration.routes {
            let host = route.host.to_ascii_lowercase().into();
            hosts.entry(host).or_default().push(route.clone());
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let mut keys = HashMap::new();
        for account in &configuration.accounts {
            for key in &account.keys {
                keys.insert(key.clone(), account.clone());
            }
        }
        let services = configuration.services.iter();
        let services = services.map(|service| (service.name.clone(), service.clone()));
        Self {
            services: services.collect(),
            hosts,
            keys,
            configuration,
        }
    }

    /// Returns the configuration.
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// Finds the route of a host with the longest matching prefix; a port in the host is ignored.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.split(':').next().unwrap_or_default();
        let routes = self.hosts.get(name.to_ascii_lowercase().as_str())?;
        routes
            .iter()
            .find(|route| path.starts_with(route.prefix.as_ref()))
    }

    /// Finds the client account of an API key.
    pub fn account(&self, key: &str) -> Option<&Arc<Account>> {
        self.keys.get(key)
    }

    /// Returns `true` if callers need a key, except on public routes.
    pub fn has_accounts(&self) -> bool {
        !self.configuration.accounts.is_empty()
    }

    /// Finds a service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }
}
