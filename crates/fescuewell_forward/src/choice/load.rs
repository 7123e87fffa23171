//! Load of the backend servers, from own requests and from reports of other instances.

use std::collections::HashMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::prefix::Index;
use super::{Criteria, hash};

/// Load that one or more instances place on a backend server.
#[derive(Debug, Default, Clone, Copy)]
struct ServerLoad {
    in_flight: u32,
    pending_prefill: u64,
}

/// Load of the backend servers and the prefixes that they cache.
#[derive(Debug, Default)]
pub struct Load {
    own: HashMap<Arc<str>, ServerLoad>,
    /// Sums of the peers' reports.
    reported: HashMap<Arc<str>, ServerLoad>,
    peers: HashMap<Arc<str>, PeerLoad>,
    prefixes: Index,
}

/// Load reported by another instance.
#[derive(Debug)]
struct PeerLoad {
    received_at_ms: u64,
    sequence: u64,
    servers: Vec<(Arc<str>, ServerLoad)>,
}

/// Time for which a new location is repeated in reports, in milliseconds, since reports may be
/// lost.
const LOCATION_REPEAT_MS: u64 = 300;
/// Maximum number of servers in a report, the busiest first; each takes some 20 bytes. A report of
/// a hundred servers does not fit a packet and is not sent at all.
const MAX_REPORTED_SERVERS: usize = 40;
/// Maximum number of prefix locations in a report, which must fit a packet.
const MAX_REPORTED_LOCATIONS: usize = 24;
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
        let load = self.own.entry(id.clone()).or_default();
        load.in_flight += 1;
        load.pending_prefill += pending_prefill;
    }

    /// Removes prompt tokens that the server has processed, or that belong to an abandoned request.
    pub fn finish_prefill(&mut self, id: &str, pending_prefill: u64) {
        if let Some(load) = self.own.get_mut(id) {
            load.pending_prefill = load.pending_prefill.saturating_sub(pending_prefill);
        }
    }

    /// Removes an in-flight request, after [`Load::finish_prefill`].
    pub fn end(&mut self, id: &str) {
        let Some(load) = self.own.get_mut(id) else {
            return;
        };
        load.in_flight = load.in_flight.saturating_sub(1);
        if load.in_flight == 0 {
            self.own.remove(id);
        }
    }

    /// Records that a server receives a prompt with this prefix.
    pub fn record_prefix(&mut self, prefix: &str, server: &Arc<str>, now_ms: u64) {
        let prefix = hash(prefix);
        if !self.prefixes.record(prefix, server, now_ms) {
            return;
        }
        let unreported = &mut self.prefixes.unreported;
        unreported.retain(|(_, _, at)| now_ms < at + LOCATION_REPEAT_MS);
        unreported.push((prefix, server.clone(), now_ms));
    }

    /// Number of tokens of a prompt that a server has to process: all of them, less the shared
    /// prefix if it is cached there.
    pub fn uncached_tokens(&self, prompt: u64, criteria: &Criteria<'_>, id: &str) -> u64 {
        let is_cached = criteria
            .affinity
            .is_some_and(|prefix| self.caches_prefix(hash(prefix), id));
        match is_cached {
            true => prompt.saturating_sub(criteria.shared_tokens),
            false => prompt,
        }
    }

    /// Returns the servers that cache a prefix, given its [`hash`].
    pub fn servers_caching(&self, prefix: u64) -> impl Iterator<Item = &Arc<str>> {
        self.prefixes.servers(prefix)
    }

    pub(super) fn caches_prefix(&self, prefix: u64, id: &str) -> bool {
        self.prefixes.contains(prefix, id)
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
        let mut busiest: Vec<(&Arc<str>, &ServerLoad)> = self.own.iter().collect();
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
        let mut servers = Vec::with_capacity(report.servers.len());
        for (id, in_flight, pending_prefill) in report.servers {
            let load = ServerLoad {
                in_flight,
                pending_prefill,
            };
            self.reported.entry(id.clone()).or_default().add(load);
            servers.push((id, load));
        }
        let peer = PeerLoad {
            received_at_ms: now_ms,
            sequence: report.sequence,
            servers,
        };
        if let Some(former) = self.peers.insert(report.instance, peer) {
            self.subtract(&former);
        }
    }

    /// Forgets the prefixes cached by a server that has restarted or is gone.
    pub fn forget(&mut self, id: &str) {
        self.prefixes.forget(id);
    }

    /// Drops expired reports.
    pub fn expire(&mut self, now_ms: u64) {
        let expired = self
            .peers
            .extract_if(|_, peer| now_ms >= peer.received_at_ms + REPORT_TTL_MS);
        let expired: Vec<PeerLoad> = expired.map(|(_, peer)| peer).collect();
        for peer in expired {
            self.subtract(&peer);
        }
    }

    /// Takes a former report out of the sums.
    fn subtract(&mut self, former: &PeerLoad) {
        for (id, load) in &former.servers {
            let Some(sum) = self.reported.get_mut(id) else {
                continue;
            };
            sum.subtract(*load);
            if sum.is_zero() {
                self.reported.remove(id);
            }
        }
    }

    /// Number of in-flight requests at a server, including reported ones.
    pub fn in_flight(&self, id: &str) -> u32 {
        let own = self.own.get(id).map_or(0, |load| load.in_flight);
        let reported = self.reported.get(id).map_or(0, |load| load.in_flight);
        own.saturating_add(reported)
    }

    /// Number of prompt tokens pending prefill at a server, including reported ones.
    pub fn pending_prefill(&self, id: &str) -> u64 {
        let own = self.own.get(id).map_or(0, |load| load.pending_prefill);
        let reported = self.reported.get(id).map_or(0, |load| load.pending_prefill);
        own.saturating_add(reported)
    }
}

impl ServerLoad {
    fn add(&mut self, other: Self) {
        self.in_flight = self.in_flight.saturating_add(other.in_flight);
        self.pending_prefill = self.pending_prefill.saturating_add(other.pending_prefill);
    }

    fn subtract(&mut self, other: Self) {
        self.in_flight = self.in_flight.saturating_sub(other.in_flight);
        self.pending_prefill = self.pending_prefill.saturating_sub(other.pending_prefill);
    }

    fn is_zero(&self) -> bool {
        self.in_flight == 0 && self.pending_prefill == 0
    }
}
