//! Division of a backend server's request rate among the instances.
//!
//! Only the few instances *assigned* to a server send to it, each at its share of the rate. All
//! instances compute the same assignment from the same list of instances, without messages.

use std::cmp::Reverse;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

/// Maximum number of requests in a burst.
const BURST: f64 = 1.0;

/// Returns the `count` instances that send to a server, or all if there are fewer.
pub fn assigned_instances<'a>(
    server: &str,
    instances: &[&'a Arc<str>],
    count: usize,
) -> Vec<&'a Arc<str>> {
    let mut ranked = instances.to_vec();
    ranked.sort_by_cached_key(|name| Reverse(rendezvous_weight(server, name)));
    ranked.truncate(count);
    ranked
}

/// Rendezvous weight of an instance for a server; equal on all instances of one program version.
pub fn rendezvous_weight(server: &str, instance: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    server.hash(&mut hasher);
    instance.hash(&mut hasher);
    hasher.finish()
}

/// Token bucket with a burst of one request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bucket {
    requests: f64,
    at_ms: u64,
}

impl Bucket {
    /// Creates a bucket that allows a request at once.
    pub fn full(now_ms: u64) -> Self {
        Self {
            requests: BURST,
            at_ms: now_ms,
        }
    }

    /// Creates a bucket without credit.
    pub fn empty(now_ms: u64) -> Self {
        Self {
            requests: 0.0,
            at_ms: now_ms,
        }
    }

    /// Returns `true` if a request may be sent at `now_ms`, with a rate in requests per second.
    pub fn has_credit(&self, per_s: f64, now_ms: u64) -> bool {
        self.available(per_s, now_ms) >= 1.0
    }

    /// Takes the credit for a request.
    pub fn take(&mut self, per_s: f64, now_ms: u64) {
        let available = self.available(per_s, now_ms);
        self.requests = (available - 1.0).max(0.0);
        self.at_ms = now_ms;
    }

    /// Returns the time until a request may be sent, in milliseconds, with a rate above 0.
    pub fn wait_ms(&self, per_s: f64, now_ms: u64) -> u64 {
        let missing = 1.0 - self.available(per_s, now_ms);
        (missing.max(0.0) * 1_000.0 / per_s).ceil() as u64
    }

    fn available(&self, per_s: f64, now_ms: u64) -> f64 {
        let elapsed_ms = now_ms.saturating_sub(self.at_ms) as f64;
        (self.requests + elapsed_ms * per_s / 1_000.0).min(BURST)
    }
}
