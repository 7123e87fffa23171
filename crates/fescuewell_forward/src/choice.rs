//! Load balancing: which backend server receives a request.
//!
//! Model engines cache the prompt prefixes that they have processed, and processing them again
//! takes time. All instances rank the engines for a prefix in the same order (rendezvous hashing),
//! so that they agree without coordination. The first in that order is picked unless it is clearly
//! busier than the others.

mod load;
mod prefix;

use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

pub use load::{Load, Report};

use crate::health::Health;
use crate::server::Entry;

/// Properties of a request that the balancer uses.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Criteria<'a> {
    /// Identity of the longest prompt prefix that is shared with other requests.
    pub affinity: Option<&'a str>,
    /// Number of tokens in that prefix.
    pub shared_tokens: u64,
    /// Random number that breaks ties.
    pub random: u64,
}

impl Criteria<'_> {
    /// Hash of the prefix, if it is long enough to prefer the servers that cache it.
    pub fn affinity_hash(&self) -> Option<u64> {
        let prefix = self.affinity?;
        (self.shared_tokens >= MIN_SHARED_TOKENS).then(|| hash(prefix))
    }
}

/// Cost of processing a cached prefix again at another server, in percent of its tokens. Above 100,
/// since a second copy costs more than its computation time.
const RECOMPUTE_PERCENT: u64 = 400;
/// The same if no server is known to cache the prefix; keeps instances in agreement that have not
/// received each other's reports.
const UNKNOWN_PERCENT: u64 = 50;
/// Cost of an in-flight request, in prompt tokens; it slows the others down about as much as
/// processing these would.
const IN_FLIGHT_TOKENS: u64 = 300;
/// Minimum number of shared tokens for which reuse of the prefix is worth more than an even load.
const MIN_SHARED_TOKENS: u64 = 1_000;

/// Number of servers among which a request chooses at first.
pub const SUBSET_SIZE: usize = 64;
/// Maximum number of servers among which a request chooses if the first ones are busy.
pub const MAX_SUBSET_SIZE: usize = 4 * SUBSET_SIZE;

/// Returns `true` if every candidate is ejected or uses all its slots, or if there is none.
pub fn is_saturated(candidates: &[&Arc<Entry>], load: &Load, health: &Health, now_ms: u64) -> bool {
    candidates.iter().all(|entry| {
        health.is_ejected(&entry.id, now_ms) || load.in_flight(&entry.id) >= entry.slots
    })
}

/// A server with an open connection is preferred while it uses less than one in this many of its
/// slots.
const CONNECTED_DIVISOR: u32 = 8;

/// Picks one of the candidates, or returns `None` without candidates. `is_connected` tells whether
/// there is an idle connection to a server.
pub fn pick<'a, Connected>(
    candidates: &[&'a Arc<Entry>],
    criteria: &Criteria<'_>,
    load: &Load,
    health: &Health,
    is_connected: Connected,
    now_ms: u64,
) -> Option<&'a Arc<Entry>>
where
    Connected: Fn(&Entry) -> bool,
{
    let healthy: Vec<&Arc<Entry>> = candidates
        .iter()
        .copied()
        .filter(|entry| !health.is_ejected(&entry.id, now_ms))
        .collect();
    // If all servers are ejected, the cause is more likely elsewhere than in every server.
    let from = if healthy.is_empty() {
        candidates
    } else {
        &healthy
    };
    match criteria.affinity_hash() {
        Some(prefix) => pick_by_cost(from, prefix, criteria, load),
        None => {
            let fast = without_slow(from, health, now_ms);
            let preferred = prefer_connected(fast, load, is_connected);
            pick_by_load(&preferred, criteria, load, health)
        }
    }
}

/// Picks the candidate with the fewest in-flight requests, an ejected one only if all are, or
/// returns `None` without candidates.
pub fn least_loaded<'a>(
    candidates: &[&'a Arc<Entry>],
    load: &Load,
    health: &Health,
    now_ms: u64,
) -> Option<&'a Arc<Entry>> {
    let cost = |entry: &Arc<Entry>| {
        let is_ejected = health.is_ejected(&entry.id, now_ms);
        (is_ejected, load.in_flight(&entry.id), entry.id.clone())
    };
    candidates.iter().copied().min_by_key(|entry| cost(entry))
}

/// Returns the candidates that are not much slower than the others, or all of them if none remains.
/// Not used for requests with a shared prefix: processing a long prefix again costs more than a
/// slow server does.
fn without_slow<'a>(from: &[&'a Arc<Entry>], health: &Health, now_ms: u64) -> Vec<&'a Arc<Entry>> {
    let ids = from.iter().map(|entry| &*entry.id);
    let limit_ms = health
        .slow_threshold_ms(ids, now_ms)
        .unwrap_or(f64::INFINITY);
    let is_slow = |id: &str| {
        health
            .latency_ms(id, now_ms)
            .is_some_and(|latency_ms| latency_ms > limit_ms)
    };
    let fast: Vec<&Arc<Entry>> = from
        .iter()
        .copied()
        .filter(|entry| !is_slow(&entry.id))
        .collect();
    if fast.is_empty() { from.to_vec() } else { fast }
}

/// Returns the candidates with an idle connection and little load, or all of them if there are none.
/// With thousands of servers an instance would otherwise open a connection for each request.
fn prefer_connected<'a, Connected>(
    from: Vec<&'a Arc<Entry>>,
    load: &Load,
    is_connected: Connected,
) -> Vec<&'a Arc<Entry>>
where
    Connected: Fn(&Entry) -> bool,
{
    let has_room =
        |entry: &Entry| load.in_flight(&entry.id).saturating_mul(CONNECTED_DIVISOR) < entry.slots;
    let connected = from.iter().copied();
    let connected = connected.filter(|entry| has_room(entry) && is_connected(entry));
    let connected: Vec<&Arc<Entry>> = connected.collect();
    if connected.is_empty() {
        from
    } else {
        connected
    }
}

/// Picks the server with the lowest cost in prompt tokens: its pending tokens, its in-flight
/// requests, and the prefix tokens to process again.
fn pick_by_cost<'a>(
    from: &[&'a Arc<Entry>],
    prefix: u64,
    criteria: &Criteria<'_>,
    load: &Load,
) -> Option<&'a Arc<Entry>> {
    let mut ranked: Vec<&Arc<Entry>> = from.to_vec();
    ranked.sort_by_cached_key(|entry| std::cmp::Reverse(rendezvous_weight(prefix, &entry.id)));
    let is_cached = ranked
        .iter()
        .any(|entry| load.caches_prefix(prefix, &entry.id));
    let recompute = criteria.shared_tokens * RECOMPUTE_PERCENT / 100;
    let cost = |rank: usize, entry: &Arc<Entry>| {
        let recompute = match (is_cached, rank) {
            (true, _) if load.caches_prefix(prefix, &entry.id) => 0,
            (true, _) => recompute,
            // Every server has to process the prefix.
            (false, 0) => 0,
            (false, _) => criteria.shared_tokens * UNKNOWN_PERCENT / 100,
        };
        let decoding = u64::from(load.in_flight(&entry.id)) * IN_FLIGHT_TOKENS;
        load.pending_prefill(&entry.id) + recompute + decoding
    };
    let costs = ranked.iter().enumerate();
    let costs = costs.map(|(rank, entry)| (cost(rank, entry), rank, *entry));
    costs
        .min_by_key(|(cost, rank, _)| (*cost, *rank))
        .map(|(_, _, entry)| entry)
}

/// Picks the server with the lowest sum of utilization and health penalty.
fn pick_by_load<'a>(
    from: &[&'a Arc<Entry>],
    criteria: &Criteria<'_>,
    load: &Load,
    health: &Health,
) -> Option<&'a Arc<Entry>> {
    let cost = |entry: &Arc<Entry>| {
        let in_flight = f64::from(load.in_flight(&entry.id));
        let utilization = in_flight / f64::from(entry.slots.max(1));
        utilization + health.penalty(&entry.id)
    };
    let mut costs: Vec<(f64, u64, &Arc<Entry>)> = Vec::with_capacity(from.len());
    for entry in from {
        let tie = rendezvous_weight(criteria.random, &entry.id);
        costs.push((cost(entry), tie, entry));
    }
    let lowest = costs.into_iter().min_by(|left, right| {
        let order = left.0.total_cmp(&right.0);
        order.then_with(|| left.1.cmp(&right.1))
    });
    lowest.map(|(_, _, entry)| entry)
}

/// Hash of a key, such as a prefix; equal on all instances of one program version.
pub fn hash(key: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    key.hash(&mut hasher);
    hasher.finish()
}

/// Rendezvous weight of a server for a hashed key; equal on all instances of one program version.
fn rendezvous_weight(key: u64, id: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    key.hash(&mut hasher);
    id.hash(&mut hasher);
    hasher.finish()
}
