//! Tests of streams while backend servers of several software versions serve side by side.

use std::collections::BTreeSet;

use fescuewell::standin::worker::{Behaviour, EVENTS};

use crate::fixture::{Fixture, Request, Response};
use crate::wire;

/// Prepaid tokens of the client account; more than any test uses.
const PREPAID: u64 = 1_000_000;
/// Number of streams in tests that depend on a random choice.
const STREAMS: usize = 12;

fn stream(id: &str) -> Request {
    Request::new("POST /stream/x", id)
        .with_tokens(10, 100)
        .with_body(b"prompt")
}

/// The request of a caller that received events up to `last`, the first of them from attempt `first`.
fn resume(id: &str, first: &str, last: u64) -> Request {
    stream(id)
        .with(wire::RESUMES, first)
        .with(wire::LAST_EVENT_ID, &last.to_string())
}

/// An instance and backend servers of these software versions.
fn instance(versions: &[&str]) -> Fixture {
    let mut fixture = Fixture::without_instance(versions.len(), PREPAID);
    for (index, version) in versions.iter().enumerate() {
        fixture.set_version(index, version);
    }
    fixture.start();
    fixture.wait_ready();
    fixture
}

/// Two instances that know each other, and backend servers of these software versions.
fn instances(versions: &[&str]) -> [Fixture; 2] {
    let mut first = Fixture::without_instance(versions.len(), PREPAID);
    for (index, version) in versions.iter().enumerate() {
        first.set_version(index, version);
    }
    let mut second = first.add_instance();
    for instance in [&mut first, &mut second] {
        instance.start();
        instance.wait_listed("i-0");
    }
    first.wait_ready();
    first.wait_discovered(&second);
    [first, second]
}

/// Begins a stream at an instance, where it breaks after `last` events.
fn begin(instance: &Fixture, id: &str, last: u64) -> Response {
    for worker in &instance.workers {
        // The second one is for an attempt that goes on at this server.
        worker.next(&[Behaviour::Break(last); 2]);
    }
    let response = instance.send(&stream(id));
    for worker in &instance.workers {
        worker.clear_next();
    }
    assert_eq!(response.status, 200, "{}", response.text());
    assert_eq!(response.events(), (1..=last).collect::<Vec<u64>>());
    assert!(!response.is_complete);
    response
}

fn all_events() -> Vec<u64> {
    (1..=EVENTS).collect()
}

/// Guards against a response whose events come from servers of two software versions.
#[test]
fn a_broken_stream_goes_on_only_at_the_version_that_began_it() {
    let fixture = instance(&["v1", "v2"]);
    let mut broken = 0;
    for number in 0..STREAMS {
        fixture.workers[0].clear_next();
        fixture.workers[0].next(&[Behaviour::Break(2)]);

        let response = fixture.send(&stream(&format!("r-{number}")));

        assert_eq!(response.versions().len(), 1, "{}", response.text());
        broken += usize::from(response.events() == [1, 2] && !response.is_complete);
    }
    assert!(broken > 0, "no stream began at the server that breaks off");
}

/// Guards against a stream that is taken up at another instance and goes on at another software
/// version than the one that began it.
#[test]
fn a_stream_taken_up_elsewhere_goes_on_only_at_the_version_that_began_it() {
    let [first, second] = instances(&["v1", "v2"]);
    let mut begun_at = BTreeSet::new();
    for number in 0..STREAMS {
        let id = format!("r-{number}");
        let before = begin(&first, &id, 2);
        begun_at.extend(before.versions());

        let after = second.send(&resume(&format!("{id}-again"), &id, 2));

        assert_eq!(after.status, 200, "{}", after.text());
        assert_eq!(before.versions(), after.versions());
        assert_eq!([before.events(), after.events()].concat(), all_events());
        assert!(after.is_complete);
    }
    assert_eq!(begun_at.len(), 2, "all streams began at one version");
}
