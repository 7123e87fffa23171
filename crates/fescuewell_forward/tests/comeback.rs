//! When callers are told to come back.

use fescuewell_forward::comeback::{OUTAGE_LEAST_MS, OUTAGE_MOST_MS, outage_left_ms};

/// Symptom: a third of the requests of a cut of the whole fleet came back 0.15 s after a refusal, and were refused again. Cause: the
/// time did not depend on how long the store had been away.
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
    assert_eq!(outage_left_ms(0, 7), OUTAGE_LEAST_MS);
    assert_eq!(outage_left_ms(60_000, 7), OUTAGE_MOST_MS);
}
