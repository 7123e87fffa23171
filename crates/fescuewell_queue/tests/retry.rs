//! Tests of the retry budget, the backoff and the overload limiter.

use std::time::Duration;

use fescuewell_core::prelude::*;
use fescuewell_queue::overload::{Bounds, Limiter, Size};
use fescuewell_queue::retry::{Backoff, BackoffSettings, Budget, BudgetSettings};

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

#[test]
fn retries_stay_a_share_of_first_tries() {
    // Guards against four attempts per request while a server fails, which keep it from recovering: every attempt fails,
    // and without a shared budget each request is retried regardless of the others.
    let mut budget = Budget::new(BudgetSettings::default());
    let mut retries = 0;
    for request in 0..6_000 {
        let now = at(request * 10);
        budget.record_request(now);
        for _ in 0..3 {
            retries += u64::from(budget.try_retry(now));
        }
    }

    let most = 6_000 / 10 + 3 * 7;
    assert!((600..=most).contains(&retries), "{retries}");
}

#[test]
fn unused_retries_lapse() {
    let mut budget = Budget::new(BudgetSettings::default());
    for request in 0..1_000 {
        budget.record_request(at(request));
    }

    let later = (0..50).filter(|_| budget.try_retry(at(60_000))).count();

    assert_eq!(later, 3);
}

#[test]
fn a_spent_budget_recovers_by_itself() {
    let mut budget = Budget::new(BudgetSettings::default());
    while budget.try_retry(at(0)) {}

    assert!(!budget.try_retry(at(9_000)));
    assert!(budget.try_retry(at(10_000)));
}

#[test]
fn pauses_grow_are_spread_and_heed_retry_after() {
    let settings = BackoffSettings::default();
    let mut backoff = Backoff::new(settings, 3);
    let mut mean = |retry| {
        let sum: Duration = (0..200).map(|_| backoff.delay_for(retry, None)).sum();
        sum / 200
    };
    let (first, fifth, last) = (mean(0), mean(4), mean(30));

    assert!((20..30).contains(&first.as_millis()), "{first:?}");
    assert!((320..480).contains(&fifth.as_millis()), "{fifth:?}");
    assert!((2_000..3_000).contains(&last.as_millis()), "{last:?}");
    let retry_after = Duration::from_secs(2);
    assert!((0..100).all(|_| backoff.delay_for(0, Some(retry_after)) >= retry_after));
    assert_eq!(
        backoff.delay_before(at(0), at(1_000), 0, Some(retry_after)),
        None
    );
}

#[test]
fn the_guard_keeps_room_for_urgent_work_and_forgets_the_surge() {
    // Guards against an instance that refuses requests for a minute after a surge although it has no open ones: a surge
    // fills it, all streams end, one request arrives. There must be no refusing state that ends only after some time.
    let bounds = Bounds {
        streams: 100,
        bytes: 1_000_000,
    };
    let size = Size { bytes: 1_000 };
    let mut limiter = Limiter::new(bounds);
    let bulk = (0..200).filter(|_| limiter.admit(at(0), 1, 2, size).is_ok());
    let bulk = bulk.count();
    let urgent = (0..200).filter(|_| limiter.admit(at(0), 0, 2, size).is_ok());
    let urgent = urgent.count();
    let refusal = limiter.admit(at(0), 0, 2, size).unwrap_err();

    for _ in 0..100 {
        limiter.release(at(1_000), size);
    }

    assert_eq!((bulk, urgent), (80, 20));
    assert_eq!(refusal.code, Code::Overloaded);
    assert!(limiter.admit(at(1_000), 1, 2, size).is_ok());
}

#[test]
fn the_guard_bounds_memory() {
    let bounds = Bounds {
        streams: 100,
        bytes: 10_000,
    };
    let mut limiter = Limiter::new(bounds);
    let size = Size { bytes: 3_000 };

    let accepted = (0..10).filter(|_| limiter.admit(at(0), 0, 1, size).is_ok());

    assert_eq!(accepted.count(), 3);
    assert_eq!(limiter.bytes(), 9_000);
}
