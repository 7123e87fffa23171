//! Load balancing: which backend server receives a request.
//!
//! Model engines cache the prompt prefixes that they have processed, and processing them again
//! takes time. All instances rank the engines for a prefix in the same order (rendezvous hashing),
//! so that they agree without coordination. The first in that order is picked unless it is clearly
//! busier than the others.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::health::Health;
use crate::server::Entry;

/// Properties of a request that the balancer uses.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Criteria<'a> {
    /// Identity of the longest prompt prefix that is shared with other requests.
    pub affinity: Option<&'a str>,
    /// Number of tokens in that prefix.
    pub shared_tokens: u64,
    /// Availability zone of the instance.
    pub zone: &'a str,
    /// Random number that breaks ties.
    pub random: u64,
}

/// Load that one instance places on a backend server.
#[derive(Debug, Default, Clone, Copy)]
struct ServerLoad {
    in_flight: u32,
    pending_prefill: u64,
}

/// Load of the backend servers and the prefixes that they cache, from own requests and from reports
/// of other instances.
#[derive(Debug, Default)]
pub struct Load {
    servers: HashMap<Arc<str>, ServerLoad>,
    peers: HashMap<Arc<str>, PeerLoad>,
    prefixes: PrefixIndex,
}

/// Index of the servers that cache a prompt prefix, from own requests and reports of other
/// instances.
#[derive(Debug, Default)]
struct PrefixIndex {
    locations: HashMap<u64, Vec<Location>>,
    /// New locations to report: prefix, server, time.
    unreported: Vec<(u64, Arc<str>, u64)>,
}

/// A server that caches a prefix and the time of the last use.
#[derive(Debug)]
struct Location {
    server: Arc<str>,
    used_at_ms: u64,
}

/// Time after its last use from which a prefix may have been evicted, in milliseconds.
const PREFIX_TTL_MS: u64 = 20_000;
/// Time for which a new location is repeated in reports, in milliseconds, since reports may be
/// lost.
const LOCATION_REPEAT_MS: u64 = 300;
/// Maximum number of servers in a report, the busiest first; each takes some 20 bytes. A report of
/// a hundred servers does not fit a packet and is not sent at all.
const MAX_REPORTED_SERVERS: usize = 40;
/// Maximum number of prefix locations in a report, which must fit a packet.
const MAX_REPORTED_LOCATIONS: usize = 24;
/// Maximum number of prefixes in the index.
const MAX_PREFIXES: usize = 20_000;

impl PrefixIndex {
    /// Records a use. Returns `true` if the location is new.
    fn record(&mut self, prefix: u64, server: &Arc<str>, now_ms: u64) -> bool {
        if self.locations.len() >= MAX_PREFIXES {
            self.locations.clear();
        }
        let locations = self.locations.entry(prefix).or_default();
        locations.retain(|location| now_ms < location.used_at_ms + PREFIX_TTL_MS);
        if let Some(location) = locations
            .iter_mut()
            .find(|location| location.server == *server)
        {
            location.used_at_ms = now_ms;
            return false;
        }
        locations.push(Location {
            server: server.clone(),
            used_at_ms: now_ms,
        });
        true
    }

    fn contains(&self, prefix: u64, server: &str) -> bool {
        let locations = self.locations.get(&prefix);
        locations
            .is_some_and(|locations| locations.iter().any(|location| &*location.server == server))
    }
}

/// Load reported by another instance.
#[derive(Debug)]
struct PeerLoad {
    received_at_ms: u64,
    sequence: u64,
    servers: HashMap<Arc<str>, ServerLoad>,
}

/// Age from which a report of another instance is ignored, in milliseconds; instances repeat their
/// reports more often.
const REPORT_TTL_MS: u64 = 1_500;

/// Load report of one instance.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Name of the instance.
    pub instance: Arc<str>,
    /// Sequence number; increases for the lifetime of the process.
    pub sequence: u64,
    /// Server, number of in-flight requests, prompt tokens pending prefill.
    pub servers: Vec<(Arc<str>, u32, u64)>,
    /// New prefix locations: prefix and server.
    pub locations: Vec<(u64, Arc<str>)>,
}

impl Load {
    /// Adds an in-flight request with `pending_prefill` prompt tokens to process.
    pub fn begin(&mut self, id: &Arc<str>, pending_prefill: u64) {
        let load = self.servers.entry(id.clone()).or_default();
        load.in_flight += 1;
        load.pending_prefill += pending_prefill;
    }

    /// Removes prompt tokens that the server has processed, or that belong to an abandoned request.
    pub fn finish_prefill(&mut self, id: &str, pending_prefill: u64) {
        if let Some(load) = self.servers.get_mut(id) {
            load.pending_prefill = load.pending_prefill.saturating_sub(pending_prefill);
        }
    }

    /// Removes an in-flight request, after [`Load::finish_prefill`].
    pub fn end(&mut self, id: &str) {
        let Some(load) = self.servers.get_mut(id) else {
            return;
        };
        load.in_flight = load.in_flight.saturating_sub(1);
        if load.in_flight == 0 {
            self.servers.remove(id);
        }
    }

    /// Records that a server receives a prompt with this prefix.
    pub fn record_prefix(&mut self, prefix: &str, server: &Arc<str>, now_ms: u64) {
        let prefix = prefix_hash(prefix);
        if self.prefixes.record(prefix, server, now_ms) {
            self.prefixes
                .unreported
                .push((prefix, server.clone(), now_ms));
        }
    }

    /// Number of tokens of a prompt that a server has to process: all of them, less the shared
    /// prefix if it is cached there.
    pub fn uncached_tokens(&self, prompt: u64, criteria: &Criteria<'_>, id: &str) -> u64 {
        let is_cached = criteria
            .affinity
            .is_some_and(|prefix| self.prefixes.contains(prefix_hash(prefix), id));
        match is_cached {
            true => prompt.saturating_sub(criteria.shared_tokens),
            false => prompt,
        }
    }

    /// Builds the report of the own load.
    pub fn report(&mut self, instance: Arc<str>, sequence: u64, now_ms: u64) -> Report {
        self.prefixes
            .unreported
            .retain(|(_, _, at)| now_ms < at + LOCATION_REPEAT_MS);
        let locations = self
            .prefixes
            .unreported
            .iter()
            .rev()
            .take(MAX_REPORTED_LOCATIONS);
        let locations = locations.map(|(prefix, server, _)| (*prefix, server.clone()));
        let locations = locations.collect();
        let mut busiest: Vec<(&Arc<str>, &ServerLoad)> = self.servers.iter().collect();
        busiest.sort_by_key(|(_, load)| std::cmp::Reverse((load.pending_prefill, load.in_flight)));
        let servers = busiest.into_iter().take(MAX_REPORTED_SERVERS);
        let servers = servers.map(|(id, load)| (id.clone(), load.in_flight, load.pending_prefill));
        Report {
            instance,
            sequence,
            servers: servers.collect(),
            locations,
        }
    }

    /// Applies another instance's report. Older reports than the last one are ignored until that
    /// one expires.
    pub fn apply_report(&mut self, report: Report, now_ms: u64) {
        let known = self.peers.get(&report.instance);
        let is_old = known.is_some_and(|known| {
            report.sequence <= known.sequence && now_ms < known.received_at_ms + REPORT_TTL_MS
        });
        if is_old {
            return;
        }
        for (prefix, server) in &report.locations {
            self.prefixes.record(*prefix, server, now_ms);
        }
        let servers = report.servers.into_iter();
        let servers = servers.map(|(id, in_flight, pending_prefill)| {
            (
                id,
                ServerLoad {
                    in_flight,
                    pending_prefill,
                },
            )
        });
        let peer = PeerLoad {
            received_at_ms: now_ms,
            sequence: report.sequence,
            servers: servers.collect(),
        };
        self.peers.insert(report.instance, peer);
    }

    /// Forgets the prefixes cached by a server that has restarted or is gone.
    pub fn forget(&mut self, id: &str) {
        for locations in self.prefixes.locations.values_mut() {
            locations.retain(|location| &*location.server != id);
        }
        self.prefixes
            .unreported
            .retain(|(_, server, _)| &**server != id);
    }

    /// Drops expired reports.
    pub fn expire(&mut self, now_ms: u64) {
        self.peers
            .retain(|_, peer| now_ms < peer.received_at_ms + REPORT_TTL_MS);
    }

    /// Returns the loads that this instance and others place on a server.
    fn loads(&self, id: &str) -> impl Iterator<Item = &ServerLoad> {
        let reported = self
            .peers
            .values()
            .filter_map(move |peer| peer.servers.get(id));
        self.servers.get(id).into_iter().chain(reported)
    }

    /// Number of in-flight requests at a server, including reported ones.
    pub fn in_flight(&self, id: &str) -> u32 {
        self.loads(id).map(|load| load.in_flight).sum()
    }

    /// Number of prompt tokens pending prefill at a server, including reported ones.
    pub fn pending_prefill(&self, id: &str) -> u64 {
        self.loads(id).map(|load| load.pending_prefill).sum()
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

/// Picks one of the candidates, or returns `None` without candidates.
pub fn pick<'a>(
    candidates: &[&'a Arc<Entry>],
    criteria: &Criteria<'_>,
    load: &Load,
    health: &Health,
    now_ms: u64,
) -> Option<&'a Arc<Entry>> {
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
    match criteria.affinity {
        Some(prefix) if criteria.shared_tokens >= MIN_SHARED_TOKENS => {
            pick_by_cost(from, prefix, criteria, load)
        }
        _ => pick_by_load(&without_slow(from, health, now_ms), criteria, load, health),
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

/// Picks the server with the lowest cost in prompt tokens: its pending tokens, its in-flight
/// requests, and the prefix tokens to process again.
fn pick_by_cost<'a>(
    from: &[&'a Arc<Entry>],
    prefix: &str,
    criteria: &Criteria<'_>,
    load: &Load,
) -> Option<&'a Arc<Entry>> {
    let mut ranked: Vec<&Arc<Entry>> = from.to_vec();
    ranked.sort_by_key(|entry| std::cmp::Reverse(rendezvous_weight(prefix, &entry.id)));
    let hash = prefix_hash(prefix);
    let is_cached = ranked
        .iter()
        .any(|entry| load.prefixes.contains(hash, &entry.id));
    let recompute = criteria.shared_tokens * RECOMPUTE_PERCENT / 100;
    let cost = |rank: usize, entry: &Arc<Entry>| {
        let recompute = match (is_cached, rank) {
            (true, _) if load.prefixes.contains(hash, &entry.id) => 0,
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
    let tie = |entry: &Arc<Entry>| rendezvous_weight(&criteria.random.to_string(), &entry.id);
    from.iter().copied().min_by(|left, right| {
        let order = cost(left).total_cmp(&cost(right));
        order.then_with(|| tie(left).cmp(&tie(right)))
    })
}

/// Hash of a prefix's identity; equal on all instances of one program version.
fn prefix_hash(prefix: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    prefix.hash(&mut hasher);
    hasher.finish()
}

/// Rendezvous weight of a server for a key; equal on all instances of one program version.
fn rendezvous_weight(key: &str, id: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    key.hash(&mut hasher);
    id.hash(&mut hasher);
    hasher.finish()
}
