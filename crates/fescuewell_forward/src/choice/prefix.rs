//! Index of the prompt prefixes that the backend servers cache.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

/// Time after its last use from which a prefix may have been evicted, in milliseconds.
const PREFIX_TTL_MS: u64 = 20_000;
/// Maximum number of prefixes in the index.
const MAX_PREFIXES: usize = 20_000;

/// The servers that cache each prefix, from own requests and reports of other instances.
#[derive(Debug, Default)]
pub(super) struct Index {
    locations: HashMap<u64, Vec<Location>>,
    prefixes: HashMap<Arc<str>, HashSet<u64>>,
    /// New locations to report: prefix, server, time.
    pub(super) unreported: Vec<(u64, Arc<str>, u64)>,
}

/// A server that caches a prefix and the time of the last use.
#[derive(Debug)]
struct Location {
    server: Arc<str>,
    used_at_ms: u64,
}

impl Index {
    /// Records a use. Returns `true` if the location is new.
    pub(super) fn record(&mut self, prefix: u64, server: &Arc<str>, now_ms: u64) -> bool {
        if self.locations.len() >= MAX_PREFIXES {
            self.locations.clear();
            self.prefixes.clear();
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
        let prefixes = self.prefixes.entry(server.clone()).or_default();
        prefixes.insert(prefix);
        true
    }

    pub(super) fn contains(&self, prefix: u64, server: &str) -> bool {
        self.servers(prefix).any(|known| &**known == server)
    }

    /// Returns the servers that cache a prefix.
    pub(super) fn servers(&self, prefix: u64) -> impl Iterator<Item = &Arc<str>> {
        let locations = self.locations.get(&prefix).into_iter().flatten();
        locations.map(|location| &location.server)
    }

    /// Forgets the prefixes of a server.
    pub(super) fn forget(&mut self, server: &str) {
        for prefix in self.prefixes.remove(server).unwrap_or_default() {
            let Some(locations) = self.locations.get_mut(&prefix) else {
                continue;
            };
            locations.retain(|location| &*location.server != server);
        }
        self.unreported.retain(|(_, known, _)| &**known != server);
    }
}
