//! Report of the requests, and of the parts of their prompts, that were running when backend servers crashed.

use std::collections::{BTreeMap, BTreeSet};

use crate::command::lines::Line;

/// Maximum number of requests printed; those with the most crashes come first.
const MAX_PRINTED: usize = 8;
/// Minimum number of crashes for a request to be printed: a single crash does not distinguish the request that
/// caused it from those that were running at the same time.
const MIN_CRASHES: usize = 2;

/// Servers that crashed under a request or part, by its name.
type Crashed<'a> = BTreeMap<&'a str, BTreeSet<&'a str>>;

/// Prints how many backend servers crashed, and the requests and parts of prompts that were running at several
/// of them.
pub(super) fn print(lines: &[Line]) {
    let mut servers: BTreeSet<&str> = BTreeSet::new();
    let mut requests = Crashed::new();
    let mut parts = Crashed::new();
    for line in lines {
        if line.title() != "server.crashed" {
            continue;
        }
        let server = line.field("server");
        servers.insert(server);
        for (field, crashed) in [("fingerprints", &mut requests), ("parts", &mut parts)] {
            let names = line.field(field).split(',');
            for name in names.filter(|name| !name.is_empty()) {
                crashed.entry(name).or_default().insert(server);
            }
        }
    }
    if servers.is_empty() {
        return;
    }
    println!("servers crashed {}", servers.len());
    print_ranked("request", requests);
    print_ranked("part", parts);
}

fn print_ranked(kind: &str, crashed: Crashed<'_>) {
    let mut ranked: Vec<_> = crashed.into_iter().collect();
    ranked.retain(|(_, servers)| servers.len() >= MIN_CRASHES);
    ranked.sort_by_key(|(name, servers)| (std::cmp::Reverse(servers.len()), *name));
    for (name, servers) in ranked.into_iter().take(MAX_PRINTED) {
        println!("  {kind} {name} was running at {} of them", servers.len());
    }
}
