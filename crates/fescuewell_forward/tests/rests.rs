//! Times in which backend servers want no requests from an instance.

use std::sync::Arc;
use std::time::Duration;

use fescuewell_forward::condition::rest::Rests;

fn server() -> Arc<str> {
    "i-0".into()
}

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

#[test]
fn a_server_rests_for_the_time_that_it_asks_for() {
    let mut rests = Rests::default();

    rests.record(&server(), seconds(3), 1_000);

    assert_eq!(rests.wait_ms("i-0", 1_000), 3_000);
    assert_eq!(rests.wait_ms("i-0", 3_999), 1);
    assert_eq!(rests.wait_ms("i-0", 4_000), 0);
    assert_eq!(rests.wait_ms("i-1", 1_000), 0);
}

/// Guards against a second, shorter rest that ends the first one early.
#[test]
fn a_shorter_rest_does_not_shorten_a_longer_one() {
    let mut rests = Rests::default();
    rests.record(&server(), seconds(10), 0);

    rests.record(&server(), seconds(1), 1_000);
    let after_shorter_ms = rests.wait_ms("i-0", 1_000);
    rests.record(&server(), seconds(20), 1_000);

    assert_eq!(after_shorter_ms, 9_000);
    assert_eq!(rests.wait_ms("i-0", 1_000), 20_000);
}

/// Guards against a rest of a day, or an overflow, that takes the next start of the server away.
#[test]
fn a_restarted_server_does_not_rest() {
    let mut rests = Rests::default();
    rests.record(&server(), Duration::MAX, 5);
    let before_ms = rests.wait_ms("i-0", 10);

    rests.forget("i-0");

    assert!(before_ms > 86_400_000);
    assert_eq!(rests.wait_ms("i-0", 10), 0);
}

#[test]
fn ended_rests_are_dropped() {
    let mut rests = Rests::default();
    rests.record(&server(), seconds(1), 0);

    rests.expire(1_000);

    assert!(rests.is_empty());
    assert_eq!(rests.count(1_000), 0);
}
