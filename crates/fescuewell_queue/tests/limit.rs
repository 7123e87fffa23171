//! Tests of the adaptive concurrency limit.

use std::time::Duration;

use fescuewell_core::prelude::*;
use fescuewell_queue::limit::{Class, Limit, Outcome, Settings};

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

fn done(millis: u64) -> Outcome {
    Outcome::Done {
        per_token: Some(Duration::from_millis(millis)),
    }
}

/// Once a second, starts as many urgent requests as the limit allows and ends all of them with the outcome.
fn rounds(limit: &mut Limit, from_second: u64, count: u64, outcome: Outcome) {
    for second in from_second..from_second + count {
        let mut started = 0;
        while limit.try_start(at(second * 1_000), Class::Urgent) {
            started += 1;
        }
        for _ in 0..started {
            limit.finish(at(second * 1_000 + 900), Class::Urgent, outcome);
        }
    }
}

#[test]
fn busy_answers_shrink_the_limit_and_success_regains_it() {
    let mut limit = Limit::new(Settings::default(), 20.0);
    rounds(&mut limit, 0, 3, Outcome::Busy);
    let shrunk = limit.max_in_flight();

    rounds(&mut limit, 3, 10, done(20));

    assert!((5..=8).contains(&shrunk), "{shrunk}");
    assert_eq!(limit.max_in_flight(), 20);
}

#[test]
fn one_burst_of_busy_answers_is_one_cut() {
    let mut limit = Limit::new(Settings::default(), 20.0);

    rounds(&mut limit, 0, 1, Outcome::Busy);

    assert_eq!(limit.max_in_flight(), 14);
}

#[test]
fn slow_tokens_shrink_the_limit() {
    // Guards against overloading a server that never responds "busy": tokens take 20 ms, then 200 ms because of load from
    // elsewhere. The limit must also follow the time per token.
    let mut limit = Limit::new(Settings::default(), 20.0);
    rounds(&mut limit, 0, 5, done(20));

    rounds(&mut limit, 5, 10, done(200));

    assert!(limit.max_in_flight() <= 4, "{}", limit.max_in_flight());
}

#[test]
fn a_quiet_limit_returns_to_its_share() {
    // Guards against a limit that stays low after a single overload: it is reduced to one, then a few requests arrive per
    // minute. A limit that only grows by use stays low, because the low limit keeps the use low.
    let mut limit = Limit::new(Settings::default(), 20.0);
    rounds(&mut limit, 0, 20, Outcome::Busy);
    let shrunk = limit.max_in_flight();

    limit.try_start(at(60_000), Class::Urgent);

    assert_eq!(shrunk, 1);
    assert_eq!(limit.max_in_flight(), 20);
}

#[test]
fn urgent_work_finds_room_while_bulk_work_fills_its_part() {
    let mut limit = Limit::new(Settings::default(), 50.0);

    let bulk = (0..100).filter(|_| limit.try_start(at(0), Class::Bulk));

    assert_eq!(bulk.count(), 40);
    assert!(limit.can_start(at(0), Class::Urgent));
}

#[test]
fn the_reserve_follows_urgent_work_but_leaves_bulk_its_part() {
    // Guards against urgent requests that each wait for a bulk stream to end: 30 of 50 running requests are urgent for
    // minutes, and with a reserve of fixed size bulk requests take all capacity that becomes free.
    let mut limit = Limit::new(Settings::default(), 50.0);
    for _ in 0..30 {
        limit.try_start(at(0), Class::Urgent);
    }

    let usual = limit.max_bulk(at(120_000));
    for _ in 0..20 {
        limit.try_start(at(120_000), Class::Urgent);
    }
    let crowded = limit.max_bulk(at(600_000));

    assert!((10..=20).contains(&usual), "{usual}");
    assert_eq!(crowded, 5);
}

#[test]
fn bulk_work_takes_any_place_within_its_part() {
    // Guards against bulk requests that cannot start although fewer of them run than are guaranteed: urgent requests use
    // the whole limit and one of them ends. The bound on bulk requests must not count urgent ones.
    let mut limit = Limit::new(Settings::default(), 10.0);
    for _ in 0..10 {
        assert!(limit.try_start(at(0), Class::Urgent));
    }

    limit.finish(at(1), Class::Urgent, done(20));

    assert!(limit.try_start(at(1), Class::Bulk));
}

#[test]
fn a_share_below_one_spaces_requests() {
    let mut limit = Limit::new(Settings::default(), 0.25);
    assert!(limit.try_start(at(0), Class::Bulk));
    assert!(!limit.can_start(at(1), Class::Urgent));

    limit.finish(at(1_000), Class::Bulk, done(20));

    assert!(!limit.can_start(at(3_900), Class::Urgent));
    assert!(limit.can_start(at(4_000), Class::Urgent));
}

#[test]
fn the_limit_follows_its_share() {
    let mut limit = Limit::new(Settings::default(), 10.0);
    limit.set_share(5.0);
    let fewer = limit.max_in_flight();
    limit.set_share(30.0);

    assert_eq!(fewer, 5);
    assert_eq!(limit.max_in_flight(), 30);
}

#[test]
fn the_reserve_grows_at_once_when_urgent_work_finds_no_place() {
    // Guards against urgent requests that wait for bulk streams in the first 30 s of a burst: bulk requests use their part
    // of the limit, a burst of urgent ones the rest, and requests end one by one. If the reserve only followed a slow
    // mean, bulk requests would take the capacity that becomes free.
    let mut limit = Limit::new(Settings::default(), 50.0);
    while limit.try_start(at(0), Class::Bulk) {}
    while limit.try_start(at(0), Class::Urgent) {}

    limit.raise_reserve(at(0));
    let crowded = limit.max_bulk(at(0));
    let later = limit.max_bulk(at(600_000));

    assert_eq!(crowded, 50 - 11);
    assert_eq!(limit.preemptible_bulk(), 40 - 5);
    assert!(later >= 38, "{later}");
}
