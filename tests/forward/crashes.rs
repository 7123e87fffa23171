//! Tests of the quarantine of requests that crash backend servers.

use std::io::Write;

use fescuewell::standin::worker::{Behaviour, wait_until};

use crate::fixture::{Fixture, Request};

const SERVERS: usize = 4;
const PREPAID: u64 = 10_000_000;
const CRASHING_PROMPT: &[u8] = b"a prompt that crashes engines";

fn fixture() -> Fixture {
    let fixture = Fixture::ready(SERVERS, PREPAID);
    fixture.crash_on(CRASHING_PROMPT);
    fixture
}

fn stream(id: &str, body: &[u8]) -> Request {
    Request::new("POST /stream/x", id)
        .with_tokens(100, 100)
        .with_body(body)
}

/// Guards against a request that crashes one backend server after another, since each retry has its
/// own id.
#[test]
fn a_request_that_crashes_servers_reaches_three_at_most() {
    let fixture = fixture();

    for number in 0..6 {
        let response = fixture.send(&stream(&format!("r-{number}"), CRASHING_PROMPT));
        assert_eq!(response.status, 502);
        fixture.restart_crashed();
    }

    assert_eq!(fixture.crashes(), 3);
    let other = fixture.send(&stream("r-other", b"another prompt"));
    assert_eq!(other.status, 200);
    assert!(other.is_complete);
}

/// Guards against instances that do not share the crashes that they observe.
#[test]
fn an_instance_learns_from_the_crashes_of_another() {
    let mut fixture = Fixture::without_instance(SERVERS, PREPAID);
    fixture.crash_on(CRASHING_PROMPT);
    let mut other = fixture.add_instance();
    for instance in [&mut fixture, &mut other] {
        instance.start();
        instance.wait_listed("i-0");
    }
    fixture.wait_discovered(&other);

    for number in 0..2 {
        fixture.send(&stream(&format!("r-{number}"), CRASHING_PROMPT));
        fixture.restart_crashed();
    }
    other.wait_quarantined(1);
    let response = other.send(&stream("r-other", CRASHING_PROMPT));

    assert_eq!(response.status, 502);
    assert_eq!(fixture.crashes(), 3);
}

/// Guards against losing a quarantine when the whole fleet loses power: the request could then
/// crash three more servers.
#[test]
fn a_quarantine_outlives_a_kill_of_all_instances() {
    let mut fixture = fixture();
    for number in 0..2 {
        fixture.send(&stream(&format!("r-{number}"), CRASHING_PROMPT));
        fixture.restart_crashed();
    }
    fixture.wait_quarantined(1);

    fixture.wait_persisted();
    fixture.kill();
    fixture.start();
    fixture.wait_ready();
    let response = fixture.send(&stream("r-after", CRASHING_PROMPT));

    assert_eq!(response.status, 502);
    assert_eq!(fixture.crashes(), 3);
}

/// Guards against clearing a suspected request because a server responded to it with an error.
#[test]
fn a_failure_does_not_clear_a_request_that_crashes_servers() {
    let fixture = fixture();
    fixture.send(&stream("r-0", CRASHING_PROMPT));
    fixture.restart_crashed();
    for worker in &fixture.workers {
        worker.next(&[Behaviour::Fail]);
    }

    let failed = fixture.send(&stream("r-1", CRASHING_PROMPT));
    for number in 2..6 {
        fixture.send(&stream(&format!("r-{number}"), CRASHING_PROMPT));
        fixture.restart_crashed();
    }

    assert_eq!(failed.status, 500);
    assert_eq!(fixture.crashes(), 3);
}

/// Guards against missing a crash when the caller has already disconnected and the connection to
/// the server is closed.
#[test]
fn a_crash_counts_after_the_caller_has_left() {
    let fixture = Fixture::ready(1, PREPAID);
    fixture.crash_on(CRASHING_PROMPT);
    let worker = &fixture.workers[0];
    worker.next(&[Behaviour::Wait]);
    let mut connection = fixture.connect();
    connection
        .write_all(&stream("r-0", CRASHING_PROMPT).bytes())
        .unwrap();
    assert!(worker.wait_for(1));
    drop(connection);
    fixture.wait_idle();

    worker.release();
    assert!(wait_until(|| worker.is_down()));
    fixture.store.remove("servers", "", "i-0");

    fixture.wait_suspects(1);
}

/// Guards against treating a planned removal as a crash: a server may leave the list and continue
/// to work for a while.
#[test]
fn a_server_that_leaves_the_list_and_still_accepts_connections_has_not_crashed() {
    let fixture = Fixture::ready(2, PREPAID);
    for worker in &fixture.workers {
        worker.next(&[Behaviour::Wait]);
    }
    let mut connection = fixture.connect();
    let request = stream("r-0", b"another prompt");
    connection.write_all(&request.bytes()).unwrap();
    let busy = || {
        fixture
            .workers
            .iter()
            .position(|worker| !worker.runs().is_empty())
    };
    assert!(wait_until(|| busy().is_some()));
    let busy = busy().unwrap();
    drop(connection);
    fixture.wait_idle();

    let id = format!("i-{busy}");
    let incarnation = fixture.incarnation(&id);
    fixture.store.remove("servers", "", &id);
    fixture.wait_server_gone(&id);

    fixture.wait_cleared(incarnation);
    fixture.wait_suspects(0);
}
