//! The drain hands over everything, interrupts no stream and always ends.

use std::time::Duration;

use fescuewell_core::prelude::*;
use fescuewell_membership::drain::{Action, Drain, Remaining, Settings};
use fescuewell_membership::pacing::{Backoff, random_start};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

fn at_second(count: u64) -> Instant {
    Instant::from_millis(count * 1_000)
}

fn remaining(streams: usize, bills: usize, allowances: usize, slots: usize) -> Remaining {
    Remaining {
        streams,
        bills,
        allowances,
        slots,
    }
}

/// Polls once a second. What is left decreases by `rates`: streams at once, the rest after the
/// drain has requested it and the table is up.
fn run_drain(
    rates: Remaining,
    start: Remaining,
    table_up_from: u64,
) -> Vec<(u64, Action, Remaining)> {
    let mut drain = Drain::new(Settings::default());
    let mut left = start;
    let mut requested: Vec<Action> = drain.stop(at_second(0), true);
    let mut log = vec![(0, requested[0], left)];
    let mut published = false;
    for now in 0..2_000 {
        left.streams = left.streams.saturating_sub(rates.streams);
        if now >= table_up_from {
            published = requested.contains(&Action::Farewell);
            if requested.contains(&Action::FlushBills) {
                left.bills = left.bills.saturating_sub(rates.bills);
            }
            if requested.contains(&Action::ReturnAllowances) {
                left.allowances = left.allowances.saturating_sub(rates.allowances);
                left.slots = left.slots.saturating_sub(rates.slots);
            }
        }
        for action in drain.poll(at_second(now), &left, published) {
            requested.push(action);
            log.push((now, action, left));
        }
        if drain.state() == "gone" {
            break;
        }
    }
    log
}

fn first_time(log: &[(u64, Action, Remaining)], wanted: Action) -> Option<u64> {
    let found = log.iter().find(|(_, action, _)| *action == wanted);
    found.map(|(at, ..)| *at)
}

#[test]
fn a_drain_goes_through_its_states_in_order() {
    let log = run_drain(remaining(1, 1, 1, 1), remaining(30, 3, 2, 7), 0);

    let actions: Vec<Action> = log.iter().map(|(_, action, _)| *action).collect();
    let expected = [
        Action::Announce,
        Action::RefuseNew,
        Action::FlushBills,
        Action::ReturnAllowances,
        Action::ReleaseSlots,
        Action::Farewell,
        Action::Exit { clean: true },
    ];
    assert_eq!(actions, expected);
    assert_eq!(first_time(&log, Action::RefuseNew), Some(15));
}

#[test]
fn cached_addresses_are_served_until_they_expire() {
    // SIGTERM may come just after a response listed the instance. If it refused at once, callers
    // would be refused by an instance that they were just told to use.
    let mut drain = Drain::new(Settings::default());
    drain.stop(at_second(100), true);

    for now in 100..115 {
        drain.poll(at_second(now), &Remaining::default(), false);
        assert!(drain.accepts_requests(), "{now}");
    }
    drain.poll(at_second(115), &Remaining::default(), false);

    assert!(!drain.accepts_requests());
}

#[test]
fn an_instance_that_nobody_was_told_of_refuses_at_once() {
    let mut drain = Drain::new(Settings::default());

    let actions = drain.stop(at_second(0), false);

    assert_eq!(actions, [Action::Announce, Action::RefuseNew]);
    assert!(
        drain.stop(at_second(1), true).is_empty(),
        "a second signal changes nothing"
    );
}

#[test]
fn bills_go_to_a_peer_while_the_table_is_down() {
    // SIGTERM during a table outage must not lose the bills.
    let log = run_drain(remaining(10, 1, 1, 1), remaining(10, 4, 1, 1), 300);

    // Addresses expire at 15 s, the next poll sees no stream, and the bill timeout of 5 s follows.
    assert_eq!(first_time(&log, Action::HandBillsToPeer), Some(21));
    assert!(first_time(&log, Action::Farewell) > Some(300));
    assert!(first_time(&log, Action::Exit { clean: true }).is_some());
}

#[test]
fn what_never_ends_is_left_to_the_sweep_without_a_farewell() {
    // A stream outlasts the limit. A farewell would then be untrue and free allowances that the
    // stream still spends.
    let log = run_drain(remaining(0, 1, 1, 1), remaining(1, 0, 2, 3), 0);

    assert_eq!(first_time(&log, Action::Exit { clean: false }), Some(900));
    assert_eq!(first_time(&log, Action::Farewell), None);
    assert_eq!(first_time(&log, Action::ReturnAllowances), None);
}

#[test]
fn no_drain_stops_early_and_each_one_ends() {
    let config = Config {
        cases: 300,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let values = |most: usize| (0..most, 0..most, 0..most, 0..most);
    let cases = (values(4), values(900), 0u64..1_200);
    let checked = runner.run(&cases, |(rates, start, table_up_from)| {
        let rates = remaining(rates.0, rates.1, rates.2, rates.3);
        let start = remaining(start.0, start.1, start.2, start.3);

        let log = run_drain(rates, start, table_up_from);

        let (ended, last, left) = log.last().copied().unwrap();
        prop_assert!(first_time(&log, Action::RefuseNew) >= Some(15));
        match last {
            Action::Exit { clean: true } => prop_assert_eq!(left, Remaining::default()),
            Action::Exit { clean: false } => prop_assert_eq!(ended, 900),
            other => prop_assert!(false, "ended with {:?}", other),
        }
        for (_, action, left) in log {
            if action == Action::ReturnAllowances {
                prop_assert!(left.streams == 0 && left.bills == 0);
            }
            if action == Action::Farewell {
                prop_assert_eq!(left, Remaining::default());
            }
        }
        Ok(())
    });
    checked.unwrap();
}

#[test]
fn instances_that_start_together_come_one_by_one() {
    // If 850 instances that start at the same moment accessed the table at once, it would answer
    // none of them in time.
    let spread = Duration::from_secs(10);
    let mut busiest = [0u32; 10];

    for seed in 0..850 {
        let at = random_start(at_second(0), spread, seed);
        busiest[(at.0 / 1_000_000) as usize] += 1;
    }

    assert!(
        busiest.iter().all(|count| (50..130).contains(count)),
        "{busiest:?}"
    );
}

#[test]
fn waits_between_failures_grow_to_a_limit_and_start_anew() {
    let mut backoff = Backoff::new(Duration::from_millis(100), Duration::from_secs(5), 1);
    let delays: Vec<Duration> = (0..12).map(|_| backoff.next_delay()).collect();
    backoff.reset();

    assert!(delays[0] <= Duration::from_millis(100));
    assert!(delays[11] >= Duration::from_millis(2_500) && delays[11] <= Duration::from_secs(5));
    assert!(backoff.next_delay() <= Duration::from_millis(100));
}
