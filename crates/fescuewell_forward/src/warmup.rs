//! Slow start: rate limits for cold backend servers.
//!
//! A server that has just started handles few requests a second and fails at many more. The limit
//! holds over all instances, also those that do not receive each other's messages: only the few
//! instances *assigned* to a cold server send to it, and each keeps to its share of the rate. All
//! instances compute the same assignment from the same list of instances.
//!
//! This protects an availability zone that returns all at once: its servers are idle, so that every
//! instance would pick them.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Rate limit for cold servers of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limit {
    /// Time for which a server is cold after its start.
    pub duration: Duration,
    /// Mean interval between two requests to a cold server.
    pub interval: Duration,
}

/// Number of instances assigned to a cold server. Two, so that one may be down or without traffic.
/// While the list of instances changes, one or two more may send; the margin of the limit covers
/// them.
pub const INSTANCES_PER_SERVER: usize = 2;
/// Maximum number of requests in a burst.
const BURST: f64 = 1.0;

/// Requests that this instance may send to a server, as of a time.
#[derive(Debug, Clone, Copy)]
struct Credit {
    requests: f64,
    at_ms: u64,
}

/// This instance's share of the limits.
#[derive(Debug, Default)]
pub struct Warmup {
    credits: HashMap<Arc<str>, Credit>,
    instances: Vec<Arc<str>>,
    /// Number of instances assigned to a server if this one is among them. Cached, since ranking
    /// the instances for hundreds of cold servers at each request would cost more than the request
    /// itself.
    assignments: HashMap<Arc<str>, Option<usize>>,
}

impl Warmup {
    /// Sets the instances that receive callers' requests.
    pub fn set_instances(&mut self, instances: Vec<Arc<str>>) {
        if self.instances != instances {
            self.instances = instances;
            self.assignments.clear();
        }
    }

    /// Returns the number of instances assigned to a cold server, or `None` if `instance` is not
    /// one of them.
    pub fn assigned_count(&mut self, server: &Arc<str>, instance: &str) -> Option<usize> {
        if let Some(count) = self.assignments.get(server) {
            return *count;
        }
        let instances: Vec<&Arc<str>> = self.instances.iter().collect();
        let assigned = assigned_instances(server, &instances);
        let is_assigned = assigned.iter().any(|name| &***name == instance);
        let count = is_assigned.then_some(assigned.len());
        self.assignments.insert(server.clone(), count);
        count
    }

    /// Returns `true` if this instance, one of `assigned`, may send a request to a cold server now.
    pub fn has_credit(&self, server: &str, limit: &Limit, assigned: usize, now_ms: u64) -> bool {
        self.available(server, limit, assigned, now_ms) >= 1.0
    }

    /// Takes the credit for a request to a cold server.
    pub fn record_send(&mut self, server: &Arc<str>, limit: &Limit, assigned: usize, now_ms: u64) {
        let available = self.available(server, limit, assigned, now_ms);
        let credit = Credit {
            requests: (available - 1.0).max(0.0),
            at_ms: now_ms,
        };
        self.credits.insert(server.clone(), credit);
    }

    /// Forgets servers that are no longer cold.
    pub fn retain<Cold>(&mut self, cold: Cold)
    where
        Cold: Fn(&str) -> bool,
    {
        self.credits.retain(|id, _| cold(id));
        self.assignments.retain(|id, _| cold(id));
    }

    fn available(&self, server: &str, limit: &Limit, assigned: usize, now_ms: u64) -> f64 {
        let Some(credit) = self.credits.get(server) else {
            return BURST;
        };
        let interval_ms = limit.interval.as_secs_f64() * 1_000.0 * assigned.max(1) as f64;
        let elapsed_ms = now_ms.saturating_sub(credit.at_ms) as f64;
        (credit.requests + elapsed_ms / interval_ms).min(BURST)
    }
}

/// Returns the instances that may send to a server while it is cold.
pub fn assigned_instances<'a>(server: &str, instances: &[&'a Arc<str>]) -> Vec<&'a Arc<str>> {
    let mut ranked = instances.to_vec();
    ranked.sort_by_key(|name| Reverse(rendezvous_weight(server, name)));
    ranked.truncate(INSTANCES_PER_SERVER);
    ranked
}

/// Rendezvous weight of an instance for a server; equal on all instances of one program version.
fn rendezvous_weight(server: &str, instance: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    server.hash(&mut hasher);
    instance.hash(&mut hasher);
    hasher.finish()
}
