//! Requests that crash the backend servers which run them.

use crate::fixture::{Fixture, Request};

const SERVERS: usize = 4;
const PREPAID: u64 = 10_000_000;
const POISON: &[u8] = b"a prompt that crashes engines";

fn fixture() -> Fixture {
    let fixture = Fixture::ready(SERVERS, PREPAID);
    fixture.crash_on(POISON);
    fixture
}

fn stream(id: &str, body: &[u8]) -> Request {
    Request::new("POST /stream/x", id)
        .with_tokens(100, 100)
        .with_body(body)
}

/// Guards against a request that takes one backend server after the other with it, since its tries have ids of their own.
#[test]
fn a_request_that_crashes_servers_reaches_three_at_most() {
    let fixture = fixture();

    for number in 0..6 {
        let answer = fixture.send(&stream(&format!("r-{number}"), POISON));
        assert_eq!(answer.status, 502);
        fixture.revive();
    }

    assert_eq!(fixture.crashes(), 3);
    let other = fixture.send(&stream("r-other", b"another prompt"));
    assert_eq!(other.status, 200);
    assert!(other.whole);
}

/// Guards against a fleet in which each instance learns by its own crashes.
#[test]
fn an_instance_learns_from_the_crashes_of_another() {
    let mut fixture = Fixture::platform(SERVERS, PREPAID);
    fixture.crash_on(POISON);
    let mut other = fixture.beside();
    for instance in [&mut fixture, &mut other] {
        instance.start();
        instance.wait_listed("i-0");
    }
    fixture.wait_acquainted(&other);

    for number in 0..2 {
        fixture.send(&stream(&format!("r-{number}"), POISON));
        fixture.revive();
    }
    other.wait_quarantined(1);
    let answer = other.send(&stream("r-other", POISON));

    assert_eq!(answer.status, 502);
    assert_eq!(fixture.crashes(), 3);
}

/// Guards against a loss of power of the whole fleet after which the request is served three servers again.
#[test]
fn a_quarantine_outlives_a_kill_of_all_instances() {
    let mut fixture = fixture();
    for number in 0..2 {
        fixture.send(&stream(&format!("r-{number}"), POISON));
        fixture.revive();
    }
    fixture.wait_quarantined(1);

    fixture.wait_recorded();
    fixture.kill();
    fixture.start();
    fixture.wait_ready();
    let answer = fixture.send(&stream("r-after", POISON));

    assert_eq!(answer.status, 502);
    assert_eq!(fixture.crashes(), 3);
}
