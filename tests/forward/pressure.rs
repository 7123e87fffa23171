//! An instance whose link is too narrow for what its callers send.

use std::io::Write;
use std::net::TcpStream;

use fescuewell::forward::directory::Member;
use fescuewell::standin::worker::wait_until;

use crate::fixture::{Fixture, Request, read_answer};

/// Link of the instance under test, in Mbit/s: one large request fills it.
const NARROW_MBPS: f64 = 0.1;

/// Strong instances beside the one under test.
const STRONG: u16 = 2;

/// Writes the signs of strong instances, which never lapse.
fn add_strong_instances(fixture: &Fixture) {
    for index in 0..STRONG {
        let member = Member {
            address: ([127, 0, 0, 1], 1 + index).into(),
            peer: None,
            zone: "a".into(),
            weight: 1_000,
            requests_per_s: 0,
            usage: Vec::new(),
            era: 0,
            is_certain: true,
            heartbeat_at_ms: u64::MAX / 2,
            unready_until_ms: 0,
        };
        let value = postcard::to_allocvec(&member).unwrap();
        let name = format!("strong-{index}");
        fixture.store.put("member", "fleet", &name, &value);
    }
}

fn knows_the_fleet(fixture: &Fixture) -> bool {
    let state = fixture.daemon.as_ref().unwrap().gateway().state();
    state.directory.count() > usize::from(STRONG)
}

/// The mark in the instance's own row that callers were sent away.
fn is_written(fixture: &Fixture) -> bool {
    let row = fixture.store.get("member", "fleet", "entry-1");
    let member: Option<Member> = row.and_then(|row| postcard::from_bytes(&row).ok());
    member.is_some_and(|member| member.unready_until_ms > 0)
}

/// Symptom: callers came back to an overloaded instance as soon as it was restarted. Sequence: its link is full, it says
/// that it is not ready, callers go elsewhere, its process is replaced. Cause: the next process did not know why.
#[test]
fn a_pressed_instance_sends_callers_away_and_serves_open_connections() {
    let mut fixture = Fixture::empty(1);
    fixture.configure(&crate::fixture::configuration(1, 1_000_000));
    add_strong_instances(&fixture);
    fixture.link_mbps = NARROW_MBPS;
    fixture.start();
    fixture.wait_ready();
    assert!(wait_until(|| knows_the_fleet(&fixture)));

    let large = Request::new("POST /unsafe/x", "r-1").with_body(&[b'x'; 20_000]);
    let mut open = fixture.connect();
    open.write_all(&large.bytes()).unwrap();
    let served = read_answer(&mut open).expect("an answer").status;

    assert_eq!(served, 200);
    // It leaves once it has kept new connections out for most of three seconds.
    let presses_on = || {
        let mut open = open.try_clone().unwrap();
        open.write_all(&large.bytes()).unwrap();
        read_answer(&mut open).expect("an answer");
        fixture.readiness() == 503
    };
    assert!(wait_until(presses_on));
    let small = Request::new("GET /safe/x", "r-2");
    assert!(wait_until(|| TcpStream::connect(fixture.front).is_err()));
    open.write_all(&small.bytes()).unwrap();
    assert_eq!(read_answer(&mut open).expect("an answer").status, 200);

    assert!(wait_until(|| is_written(&fixture)));
    fixture.kill();
    fixture.start();
    let takes = || fixture.daemon.as_ref().unwrap().gateway().is_ready();
    assert!(wait_until(takes));
    assert_eq!(fixture.readiness(), 503);
}

#[test]
fn an_instance_alone_stays_ready() {
    let mut fixture = Fixture::empty(1);
    fixture.configure(&crate::fixture::configuration(1, 1_000_000));
    fixture.link_mbps = NARROW_MBPS;
    fixture.start();
    fixture.wait_ready();

    let large = Request::new("POST /unsafe/x", "r-1").with_body(&[b'x'; 20_000]);
    let served = fixture.send(&large).status;

    assert_eq!(served, 200);
    assert_eq!(fixture.readiness(), 200);
}
