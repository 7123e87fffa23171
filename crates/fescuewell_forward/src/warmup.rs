//! Slow start: rate limits for cold backend servers.
//!
//! A server that has just started handles few requests a second and fails at many more. The limit
//! holds over all instances, also those that do not receive each other's messages: only the few
//! instances *assigned* to a cold server send to it, and each keeps to its share of the rate. All
//! instances compute the same assignment from the same list of instances.
//!
//! This protects an availability zone that returns all at once: its servers are idle, so that every
//! instance would pick them.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::share::{self, Bucket};

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

/// This instance's share of the limits.
#[derive(Debug, Default)]
pub struct Warmup {
    buckets: HashMap<Arc<str>, Bucket>,
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
        let bucket = self.buckets.get(server);
        bucket.is_none_or(|bucket| bucket.has_credit(limit.share_per_s(assigned), now_ms))
    }

    /// Takes the credit for a request to a cold server.
    pub fn record_send(&mut self, server: &Arc<str>, limit: &Limit, assigned: usize, now_ms: u64) {
        let bucket = self.buckets.entry(server.clone());
        let bucket = bucket.or_insert_with(|| Bucket::full(now_ms));
        bucket.take(limit.share_per_s(assigned), now_ms);
    }

    /// Forgets servers that are no longer cold.
    pub fn retain<Cold>(&mut self, cold: Cold)
    where
        Cold: Fn(&str) -> bool,
    {
        self.buckets.retain(|id, _| cold(id));
        self.assignments.retain(|id, _| cold(id));
    }
}

impl Limit {
    /// Returns the requests per second of one of so many assigned instances.
    fn share_per_s(&self, assigned: usize) -> f64 {
        1.0 / (self.interval.as_secs_f64() * assigned.max(1) as f64)
    }
}

/// Returns the instances that may send to a server while it is cold.
pub fn assigned_instances<'a>(server: &str, instances: &[&'a Arc<str>]) -> Vec<&'a Arc<str>> {
    share::assigned_instances(server, instances, INSTANCES_PER_SERVER)
}
