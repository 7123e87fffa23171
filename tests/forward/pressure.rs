//! Tests of an instance whose link is overloaded by its callers.

use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

use fescuewell::forward::directory::Member;
use fescuewell::standin::rows;
use fescuewell::standin::worker::wait_until;

use crate::fixture::{Fixture, Request, read_response};

/// Link bandwidth of the instance under test in Mbit/s; one large request saturates it.
const NARROW_MBPS: f64 = 0.1;

/// Number of other instances, with enough bandwidth.
const STRONG_INSTANCES: u16 = 2;

/// Number of weak instances of a zone, so many that the instance under test may become unready for
/// half a minute after it was cut off from the store.
const WEAK_INSTANCES: u16 = 60;

/// Time within which a caller of an overloaded instance must be served by another one.
const MAX_MOVE: Duration = Duration::from_secs(10);

/// Pause between two requests of that caller.
const REQUEST_INTERVAL: Duration = Duration::from_millis(10);

fn add_strong_instances(fixture: &Fixture) {
    add_instances(fixture, "strong", STRONG_INSTANCES, 1_000);
}

/// Writes the member rows of other instances; they never expire.
fn add_instances(fixture: &Fixture, kind: &str, count: u16, weight: u32) {
    for index in 0..count {
        let member = Member {
            address: ([127, 0, 0, 1], 1 + index).into(),
            peer: None,
            zone: "a".into(),
            weight,
            requests_per_s: 0,
            usage: Vec::new(),
            era: 0,
            knows_grants: true,
            interval_ms: 0,
            heartbeat_at_ms: u64::MAX / 2,
            unready_until_ms: 0,
        };
        let value = postcard::to_allocvec(&member).unwrap();
        let name = format!("{kind}-{index}");
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
    // The listener is closed for a moment after each request over the limit.
    let is_closed = || {
        let mut open = open.try_clone().unwrap();
        open.write_all(&large.bytes()).unwrap();
        read_response(&mut open).expect("no response");
        TcpStream::connect(fixture.front).is_err()
    };
    assert!(wait_until(is_closed));
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

/// Returns `true` if the instance has read no heartbeats for the time after which members count as
/// failed.
fn are_heartbeats_old(fixture: &Fixture) -> bool {
    let gateway = fixture.daemon.as_ref().unwrap().gateway();
    let now_ms = gateway.now_ms();
    let state = gateway.state();
    let store_ms = state.quota.store_time(now_ms);
    store_ms > state.directory.read_at_ms() + state.directory.member_timeout_ms()
}

/// Sends requests of a caller that stays with the narrow instance while that is ready, each on a new
/// connection, until the strong one has served one.
fn assert_caller_moves(is_store_away: bool) {
    let mut narrow = Fixture::without_configuration(1);
    narrow.configure(&crate::fixture::configuration(1, 1_000_000));
    add_instances(&narrow, "weak", WEAK_INSTANCES, 1);
    let mut strong = narrow.add_instance();
    narrow.link_mbps = NARROW_MBPS;
    for fixture in [&mut strong, &mut narrow] {
        fixture.start();
    }
    for fixture in [&strong, &narrow] {
        assert!(wait_until(|| fixture.readiness() == 200));
        fixture.wait_server("i-0", true);
        let gateway = fixture.daemon.as_ref().unwrap().gateway();
        let is_known = || gateway.state().directory.has_stronger_peer("entry-1");
        assert!(wait_until(is_known), "the instances are not known");
        let is_listed = || gateway.state().directory.is_advertised("entry-2");
        assert!(
            wait_until(is_listed),
            "the strong instance is not advertised"
        );
    }
    if is_store_away {
        narrow.store.set_fault(rows::Fault::Silent);
        let are_old = || are_heartbeats_old(&narrow);
        assert!(wait_until(are_old), "the heartbeats are still recent");
    }
    let large = Request::new("POST /unsafe/x", "").with_body(&[b'x'; 20_000]);

    let overloaded_at = Instant::now();
    let mut number = 0;
    let moved_after = loop {
        assert!(
            overloaded_at.elapsed() < MAX_MOVE,
            "the caller is not served"
        );
        number += 1;
        let request = large
            .clone()
            .with(crate::wire::REQUEST_ID, &format!("r-{number}"));
        let has_moved = narrow.readiness() == 503;
        let at = if has_moved { &strong } else { &narrow };
        let served = crate::fixture::send(at.front, &request);
        if has_moved && served.is_some_and(|response| response.status == 200) {
            break overloaded_at.elapsed();
        }
        std::thread::sleep(REQUEST_INTERVAL);
    };

    assert!(moved_after < MAX_MOVE, "served after {moved_after:?}");
    assert_eq!(strong.readiness(), 200);
}

/// Guards against callers that stay with an overloaded instance although a stronger one has capacity.
#[test]
fn callers_of_an_overloaded_instance_are_served_by_a_strong_one() {
    assert_caller_moves(false);
}

/// Guards against callers that an overloaded instance keeps because it is cut off from the store: it
/// had no recent heartbeats, so that it had to stay ready.
#[test]
fn callers_of_an_overloaded_instance_move_while_the_store_is_away() {
    assert_caller_moves(true);
}
