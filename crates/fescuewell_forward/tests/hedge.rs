//! Tests of the knowledge which servers were heard lately.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use fescuewell_forward::hedge::{Activity, Monitor};
use proptest::prelude::*;

/// Time within which a server must have been heard, in milliseconds.
const WINDOW_MS: u64 = 500;

fn service() -> Arc<str> {
    "pool".into()
}

fn name(index: usize) -> Arc<str> {
    format!("i-{index}").into()
}

/// Servers that each got a request at `now_ms` and were heard at that time.
fn heard(count: usize, now_ms: u64) -> (Monitor, Vec<Arc<Activity>>) {
    let mut monitor = Monitor::default();
    let begun = (0..count).map(|index| monitor.begin(&service(), &name(index), now_ms));
    let begun: Vec<Arc<Activity>> = begun.collect();
    for activity in &begun {
        activity.record(now_ms);
    }
    (monitor, begun)
}

fn may_answer(monitor: &Monitor, server: &str, now_ms: u64) -> bool {
    let candidates = monitor.candidates(&service(), WINDOW_MS, now_ms);
    candidates(server)
}

/// Guards against retries that are spent on servers that fell silent at the same moment.
#[test]
fn no_server_is_asked_while_all_are_silent() {
    let (monitor, _heard) = heard(4, 1_000);

    let now_ms = 1_000 + WINDOW_MS;

    for index in 0..4 {
        assert!(!may_answer(&monitor, &name(index), now_ms));
    }
    assert!(!may_answer(&monitor, "i-unused", now_ms));
    assert_eq!(monitor.quiet(WINDOW_MS, now_ms), 4);
}

/// Guards against a stream that waits for one silent server although others serve.
#[test]
fn servers_that_are_heard_or_unused_are_asked_instead_of_a_single_silent_one() {
    let (monitor, heard) = heard(3, 1_000);
    heard[1].record(1_400);
    heard[2].record(1_400);

    assert!(!may_answer(&monitor, &name(0), 1_500));
    assert!(may_answer(&monitor, &name(1), 1_500));
    assert!(may_answer(&monitor, "i-unused", 1_500));
}

/// Guards against a server that counts as heard because it has just got its first request, which it may
/// never answer.
#[test]
fn a_server_that_has_sent_nothing_yet_is_not_heard() {
    let (mut monitor, _heard) = heard(2, 1_000);
    monitor.begin(&service(), &name(2), 1_450);

    assert!(monitor.is_service_quiet(&service(), WINDOW_MS, 1_500));
    assert!(!may_answer(&monitor, &name(2), 1_500));
}

/// Guards against a service that is taken for silent because another one is.
#[test]
fn services_are_silent_by_themselves() {
    let (mut monitor, _heard) = heard(3, 1_000);
    monitor.begin(&"desk".into(), &"d-1".into(), 1_400);

    let may_answer = monitor.candidates("desk", WINDOW_MS, 1_500);

    assert!(may_answer("d-1"));
}

proptest! {
    /// Guards against entries of servers that work on nothing, and against servers in use without one.
    #[test]
    fn servers_with_requests_in_flight_have_an_entry(steps in prop::collection::vec((0usize..6, any::<bool>()), 0..200)) {
        let mut monitor = Monitor::default();
        let mut in_flight: HashMap<usize, u32> = HashMap::new();
        for (index, is_begin) in steps {
            let count = in_flight.entry(index).or_default();
            if is_begin {
                *count += 1;
                monitor.begin(&service(), &name(index), 0);
            } else if *count > 0 {
                *count -= 1;
                monitor.end(&name(index));
            }
        }

        let busy: HashSet<usize> = (0..6).filter(|index| in_flight.get(index).is_some_and(|count| *count > 0)).collect();

        prop_assert_eq!(monitor.len(), busy.len());
        for index in 0..6 {
            prop_assert_eq!(monitor.is_quiet(&name(index), WINDOW_MS, WINDOW_MS), busy.contains(&index));
        }
    }
}
