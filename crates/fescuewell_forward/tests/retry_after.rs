//! Retry delays during a store outage.

use fescuewell_forward::retry_after::{MAX_OUTAGE_DELAY_MS, MIN_OUTAGE_DELAY_MS, outage_left_ms};

/// Guards against callers that retry within the same outage and are rejected again: the delay must
/// grow with the outage's duration.
#[test]
fn a_long_outage_tells_callers_to_come_back_late() {
    let early = outage_left_ms(400, u64::MAX / 2);
    let late = outage_left_ms(3_000, u64::MAX / 2);

    assert_eq!(early, 400);
    assert_eq!(late, 3_000);
}

#[test]
fn callers_do_not_come_back_all_at_once() {
    let first = outage_left_ms(2_000, 0);
    let last = outage_left_ms(2_000, u64::MAX);

    assert_eq!((first, last), (1_000, 3_000));
}

#[test]
fn the_time_is_bounded() {
    assert_eq!(outage_left_ms(0, 7), MIN_OUTAGE_DELAY_MS);
    assert_eq!(outage_left_ms(60_000, 7), MAX_OUTAGE_DELAY_MS);
}
