//! Tests of prompt parts that crash the backend servers which run requests with them.

use fescuewell::standin::worker::{Behaviour, Worker, wait_until};

use crate::fixture::{Fixture, Request, Response};
use crate::wire;

const SERVERS: usize = 4;
const PREPAID: u64 = 10_000_000;
/// Part that crashes servers.
const CRASHING_PART: &str = "c0ffee";
/// First part of all prompts.
const FIRST_PART: &str = "f1";
/// Crashes after which at most [`MAX_FURTHER_SENDS`] requests with the part may be sent.
const CRASHES: u64 = 5;
const MAX_FURTHER_SENDS: u64 = 3;
/// Result code with which the response to a request with a quarantined part begins.
const QUARANTINED_CODE: &str = "4019 ";

/// A request whose prompt has a first part that all share, one of some more parts, and a last one of its own.
fn request(id: &str, part: &str) -> Request {
    Request::new("POST /stream/x", id)
        .with_tokens(1_000, 6)
        .with(
            wire::PARTS,
            &format!("{FIRST_PART}:600,{part}:300,{}:100", hex(id)),
        )
        .with_body(id.as_bytes())
}

fn hex(text: &str) -> String {
    text.bytes().map(|byte| format!("{byte:02x}")).collect()
}

fn crash_on_part(fixture: &Fixture) {
    for worker in &fixture.workers {
        worker.crash_on_part(Some(CRASHING_PART));
    }
}

fn is_refused(response: &Response) -> bool {
    response.status == 502 && response.text().starts_with(QUARANTINED_CODE)
}

fn fixture() -> Fixture {
    let fixture = Fixture::ready(SERVERS, PREPAID);
    crash_on_part(&fixture);
    fixture
}

/// Sends different requests with the part that crashes servers, each followed by a sound one, and starts
/// crashed servers again.
fn send_alternately(fixtures: &[&Fixture], count: usize, name: &str) {
    let first = fixtures[0];
    for number in 0..count {
        let fixture = fixtures[number % fixtures.len()];
        fixture.send(&request(&format!("{name}-{number}"), CRASHING_PART));
        first.restart_crashed();
        let sound = format!("{name}-sound-{number}");
        let response = fixture.send(&request(&sound, &hex(&sound)));
        assert_eq!(response.status, 200, "{sound}");
        assert!(response.is_complete, "{sound}");
    }
}

/// Guards against requests that differ in all but one part of their prompts and crash one server after the
/// other, since each of them is quarantined by itself.
#[test]
fn a_part_that_crashes_servers_reaches_few_of_them() {
    let fixture = fixture();

    send_alternately(&[&fixture], 14, "r");

    assert!(
        fixture.crashes() <= CRASHES + MAX_FURTHER_SENDS,
        "{}",
        fixture.crashes()
    );
    assert!(is_refused(&fixture.send(&request("last", CRASHING_PART))));
}

/// Guards against instances that count the crashes under a part each for themselves.
#[test]
fn instances_share_what_they_know_of_a_part_that_crashes_servers() {
    let mut first = Fixture::without_instance(SERVERS, PREPAID);
    crash_on_part(&first);
    let mut second = first.add_instance();
    for instance in [&mut first, &mut second] {
        instance.start();
        instance.wait_listed("i-0");
    }
    first.wait_discovered(&second);

    send_alternately(&[&first, &second], 14, "r");

    assert!(
        first.crashes() <= CRASHES + MAX_FURTHER_SENDS,
        "{}",
        first.crashes()
    );
    for instance in [&first, &second] {
        assert!(is_refused(&instance.send(&request("last", CRASHING_PART))));
    }
}

/// Guards against an answer without a length or chunks that passes for whole although its server crashed:
/// told to the caller as complete, and taken as a sign that the part is sound.
#[test]
fn an_answer_that_ends_with_the_crash_of_its_server_is_not_whole() {
    let fixture = fixture();
    for worker in &fixture.workers {
        worker.set_unframed(true);
    }

    let first = fixture.send(&request("first", CRASHING_PART));
    fixture.restart_crashed();
    send_alternately(&[&fixture], 14, "r");

    assert!(!first.is_complete);
    assert!(
        fixture.crashes() <= CRASHES + MAX_FURTHER_SENDS,
        "{}",
        fixture.crashes()
    );
}

/// Guards against a whole answer without a length or chunks that passes for broken off.
#[test]
fn an_answer_without_a_length_whose_server_lives_is_whole() {
    let fixture = Fixture::ready(2, PREPAID);
    for worker in &fixture.workers {
        worker.set_unframed(true);
    }

    let stream = fixture.send(&request("stream", "a1"));
    let plain = fixture.send(&Request::new("GET /safe/x", "plain"));

    assert_eq!((stream.status, plain.status), (200, 200));
    assert!(stream.is_complete && plain.is_complete);
    assert_eq!(plain.text(), "plain ran");
    let runs: usize = fixture
        .workers
        .iter()
        .map(|worker: &Worker| worker.runs().len())
        .sum();
    assert_eq!(runs, 2);
}

/// Sends requests with the part until it is refused.
fn quarantine(fixture: &Fixture) {
    for number in 0..CRASHES + MAX_FURTHER_SENDS {
        if is_refused(&fixture.send(&request(&format!("q-{number}"), CRASHING_PART))) {
            return;
        }
        fixture.restart_crashed();
    }
    panic!("the part is not quarantined");
}

/// Guards against a part that counts as sound since a server that had not run its request answered with an error.
#[test]
fn a_failure_does_not_clear_a_part_that_crashes_servers() {
    let fixture = fixture();
    fixture.send(&request("first", CRASHING_PART));
    fixture.restart_crashed();
    for worker in &fixture.workers {
        worker.next(&[Behaviour::Fail]);
    }

    let failed = fixture.send(&request("failed", CRASHING_PART));
    for worker in &fixture.workers {
        worker.clear_next();
    }
    send_alternately(&[&fixture], 10, "r");

    assert_eq!(failed.status, 500);
    assert!(
        fixture.crashes() <= CRASHES + MAX_FURTHER_SENDS,
        "{}",
        fixture.crashes()
    );
}

/// Guards against a quarantine that outlasts its cause: a false verdict, or a part that the servers can run again.
#[test]
fn a_part_that_no_longer_crashes_servers_is_served_again_within_seconds() {
    let fixture = fixture();
    quarantine(&fixture);
    fixture.restart_crashed();
    let crashes = fixture.crashes();
    for worker in &fixture.workers {
        worker.crash_on_part(None);
    }

    let is_served = || fixture.send(&request("again", CRASHING_PART)).status == 200;
    assert!(wait_until(is_served), "the part is still refused");
    let next = fixture.send(&request("next", CRASHING_PART));

    assert_eq!(next.status, 200);
    assert_eq!(fixture.crashes(), crashes);
}

/// Guards against servers that crash once more under a known part after all instances have lost power.
#[test]
fn a_quarantined_part_outlives_a_kill_of_all_instances() {
    let mut fixture = fixture();
    quarantine(&fixture);
    fixture.restart_crashed();
    let crashes = fixture.crashes();

    fixture.wait_persisted();
    fixture.kill();
    fixture.start();
    fixture.wait_ready();
    let response = fixture.send(&request("after", CRASHING_PART));

    assert!(is_refused(&response), "{}", response.status);
    assert_eq!(fixture.crashes(), crashes);
}
