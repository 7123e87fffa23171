//! How fast cold backend servers may be sent requests.
//!
//! A server that has just started bears few requests a second and falls over at many more. The bound holds over all instances
//! together, also those that do not hear each other. So only a few of them, the *introducers* of a server, send to it while it is
//! cold, and each keeps to its part of the rate. All instances compute the same introducers from the same list.
//!
//! The load that this answers: an availability zone comes back at once. Its servers are idle, so that every instance's choice
//! falls on them.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

/// What cold servers of a service bear.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bound {
    /// Time for which a server is cold after its start.
    pub time: Duration,
    /// Time between two requests that a cold server bears, in the mean.
    pub pause: Duration,
}

/// Instances that send to one cold server. Two, so that one may be down or have no traffic; while their list changes another one
/// or two may take part, which the slack of the bound covers.
pub const INTRODUCERS: usize = 2;
/// Requests that an introducer may send at one moment.
const AT_ONCE: f64 = 1.0;

/// What is left of an introducer's part at one server.
#[derive(Debug, Clone, Copy)]
struct Credit {
    requests: f64,
    at_ms: u64,
}

/// This instance's parts at cold servers.
#[derive(Debug, Default)]
pub struct Warmup {
    credits: HashMap<Arc<str>, Credit>,
    named: Vec<Arc<str>>,
    /// By server: how many instances share it if this one is among them. Ranking the instances for each of hundreds of cold servers at
    /// each request would cost a narrow instance more than the request itself.
    shares: HashMap<Arc<str>, Option<usize>>,
}

impl Warmup {
    /// Sets the instances that callers are sent to.
    pub fn set_named(&mut self, named: Vec<Arc<str>>) {
        if self.named != named {
            self.named = named;
            self.shares.clear();
        }
    }

    /// How many instances share a cold server, if `instance` is one of them.
    pub fn share(&mut self, server: &Arc<str>, instance: &str) -> Option<usize> {
        if let Some(share) = self.shares.get(server) {
            return *share;
        }
        let named: Vec<&Arc<str>> = self.named.iter().collect();
        let chosen = introducers(server, &named);
        let is_own = chosen.iter().any(|name| &***name == instance);
        let share = is_own.then_some(chosen.len());
        self.shares.insert(server.clone(), share);
        share
    }

    /// Whether a cold server may be sent a request now, by an introducer of it that is one of `introducers`.
    pub fn has_credit(&self, server: &str, bound: &Bound, introducers: usize, now_ms: u64) -> bool {
        self.left(server, bound, introducers, now_ms) >= 1.0
    }

    /// Counts a request that is sent to a cold server.
    pub fn send(&mut self, server: &Arc<str>, bound: &Bound, introducers: usize, now_ms: u64) {
        let left = self.left(server, bound, introducers, now_ms);
        let credit = Credit {
            requests: (left - 1.0).max(0.0),
            at_ms: now_ms,
        };
        self.credits.insert(server.clone(), credit);
    }

    /// Forgets servers that are not cold any more.
    pub fn retain<Cold>(&mut self, cold: Cold)
    where
        Cold: Fn(&str) -> bool,
    {
        self.credits.retain(|id, _| cold(id));
        self.shares.retain(|id, _| cold(id));
    }

    fn left(&self, server: &str, bound: &Bound, introducers: usize, now_ms: u64) -> f64 {
        let Some(credit) = self.credits.get(server) else {
            return AT_ONCE;
        };
        let pause_ms = bound.pause.as_secs_f64() * 1_000.0 * introducers.max(1) as f64;
        let since_ms = now_ms.saturating_sub(credit.at_ms) as f64;
        (credit.requests + since_ms / pause_ms).min(AT_ONCE)
    }
}

/// The instances that send to a server while it is cold, of those that callers are sent to.
pub fn introducers<'a>(server: &str, named: &[&'a Arc<str>]) -> Vec<&'a Arc<str>> {
    let mut ranked = named.to_vec();
    ranked.sort_by_key(|name| Reverse(rank(server, name)));
    ranked.truncate(INTRODUCERS);
    ranked
}

/// Rank of an instance for a server; equal on all instances of one program version.
fn rank(server: &str, instance: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    server.hash(&mut hasher);
    instance.hash(&mut hasher);
    hasher.finish()
}
