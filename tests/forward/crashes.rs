//! Requests that crash the backend servers which run them.

use std::io::Write;

use fescuewell::standin::worker::{Behaviour, wait_until};

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

/// Guards against servers that fail some of their requests: a failure is no sign that the request is harmless.
#[test]
fn a_failure_does_not_clear_a_request_that_crashes_servers() {
    let fixture = fixture();
    fixture.send(&stream("r-0", POISON));
    fixture.revive();
    for worker in &fixture.workers {
        worker.next(&[Behaviour::Fail]);
    }

    let failed = fixture.send(&stream("r-1", POISON));
    for number in 2..6 {
        fixture.send(&stream(&format!("r-{number}"), POISON));
        fixture.revive();
    }

    assert_eq!(failed.status, 500);
    assert_eq!(fixture.crashes(), 3);
}

/// Guards against callers that leave before their request crashes its server: nobody is left to see the connection break.
#[test]
fn a_crash_counts_after_the_caller_has_left() {
    let fixture = Fixture::ready(1, PREPAID);
    fixture.crash_on(POISON);
    let worker = &fixture.workers[0];
    worker.next(&[Behaviour::Wait]);
    let mut connection = fixture.connect();
    connection
        .write_all(&stream("r-0", POISON).bytes())
        .unwrap();
    assert!(worker.wait_for(1));
    drop(connection);
    fixture.wait_idle();

    worker.release();
    assert!(wait_until(|| worker.is_down()));
    fixture.store.remove("servers", "", "i-0");

    fixture.wait_suspects(1);
}

/// Guards against a planned removal that passes for a crash: a server may leave the list and go on with its work for a while.
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

    fixture.wait_settled(incarnation);
    fixture.wait_suspects(0);
}
