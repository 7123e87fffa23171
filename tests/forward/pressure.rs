//! Tests of an instance whose link is overloaded by its callers.

use std::io::Write;
use std::net::TcpStream;

use fescuewell::forward::directory::Member;
use fescuewell::standin::worker::wait_until;

use crate::fixture::{Fixture, Request, read_response};

/// Link bandwidth of the instance under test in Mbit/s; one large request saturates it.
const NARROW_MBPS: f64 = 0.1;

/// Number of other instances, with enough bandwidth.
const STRONG_INSTANCES: u16 = 2;

/// Writes the member rows of the other instances; they never expire.
fn add_strong_instances(fixture: &Fixture) {
    for index in 0..STRONG_INSTANCES {
        let member = Member {
            address: ([127, 0, 0, 1], 1 + index).into(),
            peer: None,
            zone: "a".into(),
            weight: 1_000,
            requests_per_s: 0,
            usage: Vec::new(),
            era: 0,
            knows_grants: true,
            interval_ms: 0,
            heartbeat_at_ms: u64::MAX / 2,
            unready_until_ms: 0,
        };
        let value = postcard::to_allocvec(&member).unwrap();
        let name = format!("strong-{index}");
        fixture.store.put("member", "fleet", &name, &value);
    }
}

fn has_all_members(fixture: &Fixture) -> bool {
    let state = fixture.daemon.as_ref().unwrap().gateway().state();
    state.directory.count() > usize::from(STRONG_INSTANCES)
}

/// Whether the instance's member row declares it unready because of an overload.
fn is_overload_recorded(fixture: &Fixture) -> bool {
    let row = fixture.store.get("member", "fleet", "entry-1");
    let member: Option<Member> = row.and_then(|row| postcard::from_bytes(&row).ok());
    member.is_some_and(|member| member.unready_until_ms > 0)
}

/// Guards against callers that return to an overloaded instance as soon as it is restarted: it is
/// not ready because its link is saturated, and the next process does not know this.
#[test]
fn a_pressed_instance_sends_callers_away_and_serves_open_connections() {
    let mut fixture = Fixture::without_configuration(1);
    fixture.configure(&crate::fixture::configuration(1, 1_000_000));
    add_strong_instances(&fixture);
    fixture.link_mbps = NARROW_MBPS;
    fixture.start();
    fixture.wait_ready();
    assert!(wait_until(|| has_all_members(&fixture)));

    let large = Request::new("POST /unsafe/x", "r-1").with_body(&[b'x'; 20_000]);
    let mut open = fixture.connect();
    open.write_all(&large.bytes()).unwrap();
    let served = read_response(&mut open).expect("no response").status;

    assert_eq!(served, 200);
    // It becomes not ready once it has refused new connections for most of three seconds.
    let becomes_not_ready = || {
        let mut open = open.try_clone().unwrap();
        open.write_all(&large.bytes()).unwrap();
        read_response(&mut open).expect("no response");
        fixture.readiness() == 503
    };
    assert!(wait_until(becomes_not_ready));
    let small = Request::new("GET /safe/x", "r-2");
    assert!(wait_until(|| TcpStream::connect(fixture.front).is_err()));
    open.write_all(&small.bytes()).unwrap();
    assert_eq!(read_response(&mut open).expect("no response").status, 200);

    assert!(wait_until(|| is_overload_recorded(&fixture)));
    fixture.kill();
    fixture.start();
    let is_ready = || fixture.daemon.as_ref().unwrap().gateway().is_ready();
    assert!(wait_until(is_ready));
    assert_eq!(fixture.readiness(), 503);
}

#[test]
fn an_instance_alone_stays_ready() {
    let mut fixture = Fixture::without_configuration(1);
    fixture.configure(&crate::fixture::configuration(1, 1_000_000));
    fixture.link_mbps = NARROW_MBPS;
    fixture.start();
    fixture.wait_ready();

    let large = Request::new("POST /unsafe/x", "r-1").with_body(&[b'x'; 20_000]);
    let served = fixture.send(&large).status;

    assert_eq!(served, 200);
    assert_eq!(fixture.readiness(), 200);
}
