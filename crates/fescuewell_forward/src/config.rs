//! The configuration in force: routes, services, client accounts and limits, and lookups in them.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::warmup;

/// What a request of a route may suffer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// May run more than once.
    Safe,
    /// Runs at most once.
    Unsafe,
    /// Answered by a series of events; runs at most once unless `resumable`.
    Stream {
        /// Whether another backend server may go on after the last event.
        resumable: bool,
    },
}

impl Kind {
    /// Whether a second run does no harm.
    pub fn is_idempotent(self) -> bool {
        matches!(self, Self::Safe | Self::Stream { resumable: true })
    }

    /// Whether the answer is a series of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// One service of a route and its part of the route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Split {
    /// Name of the service.
    pub service: Arc<str>,
    /// Weight against the route's other services.
    pub weight: u32,
}

/// How requests of one host and path prefix are served.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Unique name.
    pub name: Arc<str>,
    /// Host that it belongs to.
    pub host: Arc<str>,
    /// Start of the paths that it serves.
    pub prefix: Arc<str>,
    /// What its requests may suffer.
    pub kind: Kind,
    /// Longest time that a request is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer has its full value.
    pub target_latency: Duration,
    /// Rank; 0 is served first.
    pub priority: u8,
    /// Services that serve it.
    pub splits: Vec<Split>,
    /// Most backend servers to which one request is sent.
    pub max_attempts: u32,
    /// Whether it is served without an account key.
    pub public: bool,
    /// Whether its requests name prompts whose parts backend servers keep.
    pub sticky: bool,
    /// Longest pause between two events of an answer that is still on time.
    pub gap: Duration,
}

impl Route {
    /// The service for a request, by a number that is spread evenly over the requests.
    pub fn service(&self, draw: u64) -> Option<&Arc<str>> {
        let total: u64 = self
            .splits
            .iter()
            .map(|split| u64::from(split.weight))
            .sum();
        let mut left = draw.checked_rem(total)?;
        for split in &self.splits {
            if left < u64::from(split.weight) {
                return Some(&split.service);
            }
            left -= u64::from(split.weight);
        }
        None
    }
}

/// Properties of the model engines of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Engine {
    /// Requests in one batch.
    pub slots: u32,
    /// Memory for tokens of one backend server.
    pub capacity: u64,
    /// Output tokens that one event holds.
    pub tokens_per_event: u64,
}

/// A group of backend servers that do the same work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Unique name.
    pub name: Arc<str>,
    /// Connections that one backend server accepts from all its clients.
    pub max_connections: usize,
    /// Set where the backend servers are model engines.
    pub engine: Option<Engine>,
    /// Set where its backend servers bear few requests after their start.
    pub warmup: Option<warmup::Bound>,
}

/// A client account.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Tenant {
    /// Unique name.
    pub name: Arc<str>,
    /// Keys that its callers show.
    pub keys: Vec<Arc<str>>,
    /// Rank that goes before that of the route.
    pub priority: Option<u8>,
    /// Total of tokens that it may consume; none where it does not pay by tokens.
    pub prepaid: Option<u64>,
}

/// Bounds on what a caller may send and for how long it may stay idle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Largest head, in bytes.
    pub head_bytes: usize,
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Time for a whole head.
    pub head_time: Duration,
    /// Time between two requests of a connection.
    pub idle_time: Duration,
}

/// A whole configuration.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Configuration {
    /// Rises with each change.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Arc<Route>>,
    /// All services.
    pub services: Vec<Service>,
    /// All client accounts; none where callers show no keys.
    pub tenants: Vec<Arc<Tenant>>,
    /// Bounds for callers, where the operator sets them.
    pub limits: Option<Limits>,
}

/// A configuration with the lookups that each request needs.
#[derive(Debug, Default)]
pub struct Table {
    configuration: Configuration,
    hosts: HashMap<Arc<str>, Vec<Arc<Route>>>,
    keys: HashMap<Arc<str>, Arc<Tenant>>,
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
        for tenant in &configuration.tenants {
            for key in &tenant.keys {
                keys.insert(key.clone(), tenant.clone());
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

    /// The configuration itself.
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// The route with the longest prefix among those of the host; a port behind the host is ignored.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.split(':').next().unwrap_or_default();
        let routes = self.hosts.get(name.to_ascii_lowercase().as_str())?;
        routes
            .iter()
            .find(|route| path.starts_with(route.prefix.as_ref()))
    }

    /// The client account that a key belongs to.
    pub fn tenant(&self, key: &str) -> Option<&Arc<Tenant>> {
        self.keys.get(key)
    }

    /// Whether callers have to show keys.
    pub fn has_tenants(&self) -> bool {
        !self.configuration.tenants.is_empty()
    }

    /// A service by its name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }
}
