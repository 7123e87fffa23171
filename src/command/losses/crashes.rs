//! Requests that were running when backend servers crashed.

use std::collections::{BTreeMap, BTreeSet};

use crate::command::lines::Line;

/// Requests that are printed: those that saw most crashes.
const MOST_PRINTED: usize = 8;
/// Crashes from which a request is printed: one alone says nothing of those that ran beside it.
const LEAST_CRASHES: usize = 2;

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
        let named = line.field("fingerprints").split(',');
        for fingerprint in named.filter(|name| !name.is_empty()) {
            requests.entry(fingerprint).or_default().insert(server);
        }
    }
    if servers.is_empty() {
        return;
    }
    println!("servers crashed {}", servers.len());
    let mut ranked: Vec<_> = requests.into_iter().collect();
    ranked.retain(|(_, crashed)| crashed.len() >= LEAST_CRASHES);
    ranked.sort_by_key(|(name, crashed)| (std::cmp::Reverse(crashed.len()), *name));
    for (fingerprint, crashed) in ranked.into_iter().take(MOST_PRINTED) {
        println!(
            "  request {fingerprint} was running at {} of them",
            crashed.len()
        );
    }
}
