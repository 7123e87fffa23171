//! When an instance decides that it has no path to the backend servers.

use std::sync::Arc;

use fescuewell_forward::path::{Check, Monitor, Servers};
use fescuewell_forward::server::{Entry, State};
use proptest::prelude::*;

const LISTED: usize = 15;
/// Nobody reaches a server: they are down.
const DOWN: Check = Check {
    is_reached: false,
    is_reached_by_other: false,
};
/// Only another instance reaches one.
const LOST: Check = Check {
    is_reached: false,
    is_reached_by_other: true,
};
const REACHED: Check = Check {
    is_reached: true,
    is_reached_by_other: false,
};

fn server(number: usize) -> Arc<str> {
    format!("i-{number}").into()
}

/// A monitor that has found the path lost at some time.
fn lost(now_ms: u64) -> Monitor {
    let mut monitor = Monitor::default();
    assert!(!monitor.connection_failed(&server(0), LISTED, now_ms));
    assert!(monitor.connection_failed(&server(1), LISTED, now_ms));
    assert!(monitor.end_check(LOST, now_ms));
    monitor
}

/// Guards against a check, which costs connections, for each server that is down.
#[test]
fn one_unreachable_server_starts_no_check() {
    let mut monitor = Monitor::default();

    let checks =
        (0..100).filter(|number| monitor.connection_failed(&server(0), LISTED, number * 10));

    assert_eq!(checks.count(), 0);
}

/// Guards against a fleet of one server in which a lost path is never found out.
#[test]
fn the_only_server_is_enough_for_a_check() {
    let mut monitor = Monitor::default();

    assert!(monitor.connection_failed(&server(0), 1, 0));
}

/// Guards against taking a service whose servers are all down for a lost path.
#[test]
fn servers_that_nobody_reaches_are_down() {
    let mut monitor = Monitor::default();
    monitor.connection_failed(&server(0), LISTED, 0);
    monitor.connection_failed(&server(1), LISTED, 0);

    assert!(!monitor.end_check(DOWN, 300));
    assert!(!monitor.is_lost());
}

/// Guards against checks without a pause while servers are down.
#[test]
fn checks_have_a_minimum_interval() {
    let mut monitor = Monitor::default();
    let mut checks = 0;
    for now_ms in (0..10_000).step_by(10) {
        if monitor.connection_failed(&server(now_ms as usize % 7), LISTED, now_ms) {
            checks += 1;
            monitor.end_check(REACHED, now_ms);
        }
    }

    assert!(checks <= 20, "{checks} checks in 10 s");
}

/// Guards against a path that counts as back after a single connection, while most of them fail.
#[test]
fn the_path_is_back_after_two_good_rounds() {
    let mut monitor = lost(0);

    assert!(!monitor.probed(3, 3, 300));
    assert!(!monitor.probed(1, 3, 1_200));
    assert!(!monitor.probed(2, 3, 1_500));
    assert!(monitor.probed(3, 3, 1_800));
    assert!(!monitor.is_lost());
}

/// Guards against checks, which cost connections, at an instance whose servers respond slowly but do
/// respond.
#[test]
fn a_response_in_between_makes_silence_no_evidence() {
    let mut monitor = Monitor::default();
    let mut checks = 0;
    for number in 0..100 {
        checks +=
            usize::from(monitor.server_silent(&server(number % 7), LISTED, number as u64 * 100));
        monitor.server_responded();
    }

    assert_eq!(checks, 0);
}

/// Guards against a partition that is detected only after all pooled connections have failed.
#[test]
fn two_silent_servers_start_a_check() {
    let mut monitor = Monitor::default();

    assert!(!monitor.server_silent(&server(0), LISTED, 0));
    assert!(!monitor.server_silent(&server(0), LISTED, 100));
    assert!(monitor.server_silent(&server(1), LISTED, 200));
}

proptest! {
    /// Guards against a path that is lost and back many times a second.
    #[test]
    fn the_path_is_lost_for_a_minimum_time(rounds in prop::collection::vec((0_usize..4, 1_u64..400), 1..60)) {
        let mut monitor = lost(0);
        let mut now_ms = 0;
        for (reached, pause_ms) in rounds {
            now_ms += pause_ms;
            if monitor.probed(reached, 3, now_ms) {
                prop_assert!(now_ms >= 1_000);
                break;
            }
        }
    }
}

fn entry(number: u64) -> Arc<Entry> {
    Arc::new(Entry {
        id: format!("i-{number}").into(),
        started_at_ms: Some(number),
        service: "pool".into(),
        address: ([10, 0, 0, 1], 80).into(),
        zone: "a".into(),
        slots: 8,
        cold_left_ms: 0,
        version: None,
        state: State::Ready,
    })
}

/// Guards against a server that is down, or whose path is back, and gets its requests through others.
#[test]
fn the_path_to_a_server_is_lost_until_two_probes_reach_it() {
    let mut paths = Servers::default();
    let (cut, down) = (entry(1), entry(2));
    for server in [&cut, &down] {
        assert!(paths.begin_check(server, 0));
        assert!(!paths.begin_check(server, 0), "one check at a time");
    }

    assert!(paths.end_check(&cut, true, 0));
    assert!(!paths.end_check(&down, false, 0));

    assert!(paths.is_lost(&cut) && !paths.is_lost(&down));
    assert!(!paths.begin_check(&down, 499) && paths.begin_check(&down, 500));
    for (is_reached, now_ms, is_back) in [
        (true, 300, false),
        (false, 600, false),
        (true, 900, false),
        (true, 1_200, true),
    ] {
        assert_eq!(paths.probed(&cut, is_reached, now_ms), is_back);
    }
    assert!(!paths.is_lost(&cut));
}

/// Guards against a path that alternates within a second.
#[test]
fn the_path_to_a_server_is_not_back_within_a_second() {
    let mut paths = Servers::default();
    paths.begin_check(&entry(1), 0);
    paths.end_check(&entry(1), true, 0);

    assert!(!paths.probed(&entry(1), true, 300));
    assert!(!paths.probed(&entry(1), true, 600));
    assert!(paths.probed(&entry(1), true, 1_000));
}

/// Guards against state that grows with the number of servers: of 12,000, a zone is cut off.
#[test]
fn lost_paths_are_bounded() {
    let mut paths = Servers::default();
    for number in 0..12_000 {
        if paths.begin_check(&entry(number), 0) {
            paths.end_check(&entry(number), true, 0);
        }
    }

    assert_eq!(paths.count(), 512);
}
