//! Report of the requests that were running when backend servers crashed.

use std::collections::{BTreeMap, BTreeSet};

use crate::command::lines::Line;

/// Maximum number of requests printed; those with the most crashes come first.
const MAX_PRINTED: usize = 8;
/// Minimum number of crashes for a request to be printed: a single crash does not distinguish the request that
/// caused it from those that were running at the same time.
const MIN_CRASHES: usize = 2;

/// Prints how many backend servers crashed, and the requests that were running at several of them.
pub(super) fn print(lines: &[Line]) {
    let mut servers: BTreeSet<&str> = BTreeSet::new();
    let mut requests: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
    for line in lines {
        if line.title() != "server.crashed" {
            continue;
        }
        let server = line.field("server");
        servers.insert(server);
        let fingerprints = line.field("fingerprints").split(',');
        for fingerprint in fingerprints.filter(|name| !name.is_empty()) {
            requests.entry(fingerprint).or_default().insert(server);
        }
    }
    if servers.is_empty() {
        return;
    }
    println!("servers crashed {}", servers.len());
    let mut ranked: Vec<_> = requests.into_iter().collect();
    ranked.retain(|(_, crashed)| crashed.len() >= MIN_CRASHES);
    ranked.sort_by_key(|(name, crashed)| (std::cmp::Reverse(crashed.len()), *name));
    for (fingerprint, crashed) in ranked.into_iter().take(MAX_PRINTED) {
        println!(
            "  request {fingerprint} was running at {} of them",
            crashed.len()
        );
    }
}
