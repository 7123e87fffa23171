//! Tests of preemption.

use std::time::Duration;

use fescuewell_core::prelude::*;
use fescuewell_queue::preempt::{Policy, Settings, Stream};

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

fn stream(ticket: u64, produced: u64, pauses: u32) -> Stream {
    Stream {
        ticket,
        produced: Tokens(produced),
        pauses,
        latest_resume: at(60_000),
    }
}

#[test]
fn the_stream_that_loses_least_is_paused() {
    let policy = Policy::new(Settings::default());

    let chosen = policy.choose(
        at(0),
        [stream(1, 500, 0), stream(2, 20, 0), stream(3, 90, 1)],
    );

    assert_eq!(chosen, Some(2));
}

#[test]
fn no_stream_is_paused_for_ever_or_beyond_its_deadline() {
    // Guards against a stream that successive bursts pause until its deadline has passed, because it has produced the
    // fewest tokens each time. The choice must also consider pauses and the deadline.
    let policy = Policy::new(Settings::default());
    let often = stream(1, 20, 2);
    let long = stream(2, 5_000, 0);

    assert_eq!(policy.choose(at(0), [often, long]), None);
    assert_eq!(policy.choose(at(40_001), [stream(3, 20, 0)]), None);
    assert_eq!(policy.choose(at(40_000), [stream(3, 20, 0)]), Some(3));
}

#[test]
fn nothing_is_paused_when_a_place_comes_free_soon() {
    let policy = Policy::new(Settings::default());

    assert!(!policy.should_preempt(Some(Duration::from_millis(10))));
    assert!(policy.should_preempt(Some(Duration::from_millis(100))));
    assert!(policy.should_preempt(None));
}
