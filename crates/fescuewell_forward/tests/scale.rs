//! Work per request in a large fleet, as counts.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use fescuewell_forward::choice::{Criteria, Load, Report, SUBSET_SIZE, hash, pick};
use fescuewell_forward::health::Health;
use fescuewell_forward::server::{Change, Entry, Registry, State, Update};
use proptest::prelude::*;

const SERVICE: &str = "pool";

/// Servers of a report: number of the server, requests, tokens.
type Loads = Vec<(u8, u32, u64)>;

fn update(index: usize, version: u64) -> Update {
    let entry = Entry {
        id: format!("i-{index:05}").into(),
        started_at_ms: None,
        service: SERVICE.into(),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: "a".into(),
        slots: 8,
        cold_left_ms: 0,
        version: None,
        state: State::Ready,
    };
    Update {
        id: entry.id.clone(),
        version,
        change: Change::Entry(entry),
    }
}

fn registry(servers: usize) -> Registry {
    let mut registry = Registry::default();
    let rows = (0..servers).map(|index| update(index, 1));
    registry.apply_snapshot(1, rows.collect(), 0);
    registry
}

fn subset_ids(registry: &Registry, key: u64) -> BTreeSet<Arc<str>> {
    let subset = registry.subset(SERVICE, key, SUBSET_SIZE, 0);
    subset.iter().map(|entry| entry.id.clone()).collect()
}

fn shared(prefix: &str) -> Criteria<'_> {
    Criteria {
        affinity: Some(prefix),
        shared_tokens: 10_000,
        random: 1,
    }
}

fn report(instance: u8, sequence: u64, servers: &[(u8, u32, u64)]) -> Report {
    let servers = servers.iter().map(|(id, in_flight, pending)| {
        let id: Arc<str> = format!("i-{id}").into();
        (id, *in_flight, *pending)
    });
    Report {
        instance: format!("peer-{instance}").into(),
        sequence,
        servers: servers.collect(),
        locations: Vec::new(),
    }
}

/// Guards against choices whose work grows with the number of servers: 82 ms each among 9,795.
#[test]
fn a_choice_looks_at_as_many_servers_however_many_there_are() {
    for servers in [1_000, 10_000, 20_000] {
        let registry = registry(servers);

        let subset = subset_ids(&registry, hash("prefix"));

        assert_eq!(subset.len(), SUBSET_SIZE, "{servers} servers");
    }
}

#[test]
fn a_small_service_is_considered_as_a_whole() {
    let registry = registry(SUBSET_SIZE / 2);

    let subset = subset_ids(&registry, hash("prefix"));

    assert_eq!(subset.len(), SUBSET_SIZE / 2);
}

/// Guards against cached prefixes that are lost when any server of the fleet joins or leaves.
#[test]
fn a_server_that_leaves_changes_only_the_subsets_it_was_in() {
    let mut registry = registry(1_000);
    let keys: Vec<u64> = (0..500).map(|key| hash(&format!("key-{key}"))).collect();
    let before: Vec<_> = keys.iter().map(|key| subset_ids(&registry, *key)).collect();
    let gone = update(7, 2).id;

    registry.apply(
        Update {
            id: gone.clone(),
            version: 2,
            change: Change::Removed,
        },
        0,
    );

    for (key, before) in keys.iter().zip(before) {
        let after = subset_ids(&registry, *key);
        let changed = usize::from(before.contains(&gone));
        assert_eq!(before.difference(&after).count(), changed);
    }
}

/// Guards against subsets that concentrate the prefixes on a few servers.
#[test]
fn prefixes_spread_over_the_servers() {
    const PREFIXES: usize = 5_000;
    let registry = registry(500);
    let (load, health) = (Load::default(), Health::default());
    let mut counts: HashMap<Arc<str>, usize> = HashMap::new();

    for number in 0..PREFIXES {
        let prefix = format!("prefix-{number}");
        let subset = registry.subset(SERVICE, hash(&prefix), SUBSET_SIZE, 0);
        let chosen = pick(&subset, &shared(&prefix), &load, &health, |_| false, 0).unwrap();
        *counts.entry(chosen.id.clone()).or_default() += 1;
    }

    let most = counts.values().copied().max().unwrap();
    assert!(counts.len() > 490, "{} servers used", counts.len());
    assert!(most <= 4 * PREFIXES / 500, "{most} prefixes at one server");
}

/// Guards against a connection that is opened for each request: among thousands of servers an
/// instance hardly ever picked one twice.
#[test]
fn a_server_with_a_connection_is_picked_again_until_it_is_busy() {
    let registry = registry(1_000);
    let subset = registry.subset(SERVICE, hash("instance"), SUBSET_SIZE, 0);
    let connected = &subset[7].id;
    let health = Health::default();
    let mut load = Load::default();
    let chosen = |load: &Load, random| {
        let criteria = Criteria {
            random,
            ..Criteria::default()
        };
        let is_connected = |entry: &Entry| entry.id == *connected;
        pick(&subset, &criteria, load, &health, is_connected, 0)
            .unwrap()
            .id
            .clone()
    };

    let idle: BTreeSet<Arc<str>> = (0..50).map(|random| chosen(&load, random)).collect();
    load.begin(connected, 0);
    let busy: BTreeSet<Arc<str>> = (0..50).map(|random| chosen(&load, random)).collect();

    assert_eq!(idle, BTreeSet::from([connected.clone()]));
    assert!(!busy.contains(connected));
}

/// Guards against a walk over all known prefixes for each server that ends.
#[test]
fn forgetting_a_server_keeps_the_prefixes_of_others() {
    let mut load = Load::default();
    let (one, other): (Arc<str>, Arc<str>) = ("one".into(), "other".into());
    load.record_prefix("both", &one, 0);
    load.record_prefix("both", &other, 0);

    load.forget("one");

    let left: Vec<&Arc<str>> = load.servers_caching(hash("both")).collect();
    assert_eq!(left, [&other]);
}

proptest! {
    /// Guards against sums that differ from the sum of the reports in force.
    #[test]
    fn sums_equal_the_reports_in_force(
        reports in proptest::collection::vec(
            (0u8..4, proptest::collection::vec((0u8..6, 0u32..50, 0u64..9_000), 0..6), 0u64..900),
            1..40,
        )
    ) {
        let mut load = Load::default();
        let mut in_force: HashMap<u8, (u64, Loads)> = HashMap::new();
        let mut now_ms = 0;

        for (sequence, (instance, servers, pause_ms)) in reports.into_iter().enumerate() {
            now_ms += pause_ms;
            load.apply_report(report(instance, sequence as u64 + 1, &servers), now_ms);
            in_force.insert(instance, (now_ms, servers));
            load.expire(now_ms);
            in_force.retain(|_, (at_ms, _)| now_ms < *at_ms + 1_500);
            for id in 0..6 {
                let listed = in_force.values().flat_map(|(_, servers)| servers);
                let listed = listed.filter(|(server, _, _)| *server == id);
                let (requests, tokens) = listed.fold((0, 0), |sum, (_, requests, tokens)| {
                    (sum.0 + requests, sum.1 + tokens)
                });
                let id = format!("i-{id}");
                prop_assert_eq!(load.in_flight(&id), requests);
                prop_assert_eq!(load.pending_prefill(&id), tokens);
            }
        }
    }
}
