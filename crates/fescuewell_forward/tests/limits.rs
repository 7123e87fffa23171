//! Retry budget, sliding windows, routes and advertised addresses.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use fescuewell_forward::config::{Configuration, Kind, Route, Split, Table};
use fescuewell_forward::directory::{Directory, Member};
use fescuewell_forward::retry::{Bounds, Budget};
use fescuewell_forward::window::Window;

const BOUNDS: Bounds = Bounds {
    ratio: 0.2,
    slack: 52.0,
    window_ms: 10_000,
};

/// Guards against an overload that retries prolong: all requests failed, and each instance used the
/// fleet's whole allowance.
#[test]
fn instances_together_keep_within_the_budget() {
    let service: Arc<str> = "pool".into();
    let instances = 6;
    let mut fleet: Vec<Budget> = (0..instances).map(|_| Budget::new(BOUNDS)).collect();
    let mut requests = 0u32;
    let mut retries = 0u32;

    for now_ms in (0..10_000).step_by(50) {
        for budget in &mut fleet {
            budget.request(&service, now_ms);
            requests += 1;
            retries += u32::from(budget.try_retry(&service, instances, now_ms));
        }
    }

    let allowed = f64::from(requests) * BOUNDS.ratio + BOUNDS.slack;
    assert!(f64::from(retries) <= allowed, "{retries} of {allowed}");
    assert!(retries > 100, "{retries}");
}

#[test]
fn a_budget_comes_back_when_the_window_has_passed() {
    let service: Arc<str> = "pool".into();
    let mut budget = Budget::new(BOUNDS);
    while budget.try_retry(&service, 1, 0) {}

    assert!(!budget.try_retry(&service, 1, 5_000));
    assert!(budget.try_retry(&service, 1, 11_000));
}

#[test]
fn a_window_forgets_what_is_older_than_its_span() {
    let mut window = Window::new(1_000);
    window.add(100, 5);
    window.add(900, 7);

    assert_eq!(window.sum(950), 12);
    assert_eq!(window.sum(1_250), 7);
    assert_eq!(window.sum(90_000), 0);
}

fn route(name: &str, prefix: &str) -> Arc<Route> {
    Arc::new(Route {
        name: name.into(),
        host: "Desk.example".into(),
        prefix: prefix.into(),
        kind: Kind::Safe,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_millis(100),
        priority: 0,
        splits: vec![
            Split {
                service: "large".into(),
                weight: 90,
            },
            Split {
                service: "small".into(),
                weight: 10,
            },
        ],
        max_attempts: 1,
        public: false,
        sticky: false,
        target_gap: Duration::ZERO,
    })
}

#[test]
fn the_longest_prefix_of_the_host_decides() {
    let table = Table::new(Configuration {
        routes: vec![
            route("all", "/"),
            route("deep", "/a/b/"),
            route("mid", "/a/"),
        ],
        ..Configuration::default()
    });
    let name = |host: &str, path: &str| table.route(host, path).map(|route| route.name.clone());

    assert_eq!(name("desk.example:80", "/a/b/c").as_deref(), Some("deep"));
    assert_eq!(name("desk.example", "/a/x").as_deref(), Some("mid"));
    assert_eq!(name("desk.example", "/a").as_deref(), Some("all"));
    assert_eq!(name("other.example", "/a/x"), None);
}

#[test]
fn weights_divide_a_route_between_services() {
    let route = route("all", "/");

    let large = (0..1_000)
        .filter(|draw| &**route.service(*draw).unwrap() == "large")
        .count();

    assert_eq!(large, 900);
}

fn member(port: u16, zone: &str, requests_per_s: u32, heartbeat_at_ms: u64) -> Member {
    Member {
        address: ([127, 0, 0, 1], port).into(),
        peer: None,
        zone: zone.into(),
        weight: 250,
        requests_per_s,
        usage: Vec::new(),
        unready_until_ms: 0,
        era: 0,
        knows_grants: true,
        interval_ms: 0,
        heartbeat_at_ms,
    }
}

fn directory(count: u16, requests: u32) -> Directory {
    let mut members: BTreeMap<Arc<str>, Member> = BTreeMap::new();
    for port in 0..count {
        let zone = ["a", "b", "c"][usize::from(port % 3)];
        members.insert(
            format!("entry-{port}").into(),
            member(port, zone, requests, 1_000),
        );
    }
    let mut directory = Directory::default();
    directory.replace(members, 1_000);
    directory
}

#[test]
fn few_callers_are_sent_to_one_instance_in_each_zone() {
    let directory = directory(6, 10);

    let named = directory.advertised();

    let mut zones: Vec<&str> = named.iter().map(|(_, member)| &*member.zone).collect();
    zones.sort_unstable();
    assert_eq!(zones, ["a", "b", "c"]);
}

#[test]
fn many_callers_are_sent_to_all() {
    assert_eq!(directory(60, 70).advertised().len(), 60);
}

/// Guards against advertising an instance just because it is the best of its zone: with a link of
/// 10 Mbit/s it delayed callers of all zones.
#[test]
fn a_weak_instance_is_not_named_for_its_zone() {
    let mut members: BTreeMap<Arc<str>, Member> = BTreeMap::new();
    for port in 1..=3 {
        members.insert(
            format!("strong-{port}").into(),
            member(port, "a", 10, 1_000),
        );
    }
    let mut weak = member(9, "b", 10, 1_000);
    weak.weight = 50;
    members.insert("weak".into(), weak.clone());
    let mut directory = Directory::default();
    directory.replace(members, 1_000);

    let addresses = directory.addresses(None, 0);

    assert!(!addresses.contains(&weak.address));
    assert!(!addresses.is_empty());
}

#[test]
fn no_answer_has_more_than_64_addresses() {
    assert_eq!(directory(200, 70).addresses(None, 7).len(), 64);
}

#[test]
fn all_instances_name_the_same_ones() {
    let one = directory(30, 20).addresses(None, 1);
    let other = directory(30, 20).addresses(None, 2);

    assert_eq!(one, other);
}

#[test]
fn an_instance_without_a_sign_is_not_named() {
    let mut members: BTreeMap<Arc<str>, Member> = BTreeMap::new();
    members.insert("old".into(), member(1, "a", 5, 1_000));
    members.insert("new".into(), member(2, "a", 5, 19_000));
    let mut directory = Directory::default();

    directory.replace(members, 20_000);

    assert_eq!(directory.addresses(None, 0), [member(2, "a", 5, 0).address]);
    assert_eq!(directory.count(), 1);
}

#[test]
fn an_instance_that_knows_nobody_names_itself() {
    let own = member(3, "a", 0, 0).address;

    assert_eq!(Directory::default().addresses(Some(own), 0), [own]);
    assert!(Directory::default().addresses(None, 0).is_empty());
}

/// Guards against new instances that cannot decode heartbeats of the two previous program versions,
/// which lack the last field and the last three, and treat those members as failed during a rolling
/// update.
#[test]
fn a_sign_of_the_version_before_is_read() {
    let member = member(1, "a", 5, 1_000);
    let bytes = member.encode();

    let former = Member::decode(&bytes[..bytes.len() - 1]).unwrap();
    let earlier = Member::decode(&bytes[..bytes.len() - 3]).unwrap();

    assert_eq!(former, member);
    assert_eq!(earlier, member);
    assert_eq!(Member::decode(&bytes).unwrap(), member);
}

/// Guards against advertising a killed instance whose last heartbeat is still read.
#[test]
fn an_instance_that_is_gone_is_not_named_six_seconds_after_its_last_sign() {
    let mut members: BTreeMap<Arc<str>, Member> = BTreeMap::new();
    members.insert("gone".into(), member(1, "a", 5, 1_000));
    members.insert("live".into(), member(2, "a", 5, 6_900));
    let mut directory = Directory::default();

    directory.replace(members.clone(), 6_999);
    let just_before = directory.is_advertised("gone");
    directory.replace(members, 7_000);

    assert!(just_before);
    assert!(!directory.is_advertised("gone"));
    assert!(directory.is_advertised("live"));
}
