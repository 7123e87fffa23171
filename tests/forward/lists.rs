//! Tests of instances whose list of backend servers is not up to date, through the whole forwarding
//! path.

use std::time::Duration;

use fescuewell::standin::rows::Fault;
use fescuewell::standin::worker::wait_until;

use crate::fixture::{Fixture, Request};
use crate::wire;

/// Age of a list, in milliseconds, that is certainly not up to date.
const OLD_MS: u64 = 2_500;

/// Time after which each call of the store has been given up.
const LONGEST_CALL: Duration = Duration::from_millis(1_500);

fn safe_request(id: &str) -> Request {
    Request::new("GET /safe/x", id)
}

/// A request whose first prompt part no other one shares, so that its server follows from the part. It
/// needs no tokens, which an instance without the store may lack.
fn prompt(number: u32) -> Request {
    Request::new("POST /stream/x", &format!("p-{number}"))
        .with(wire::PARTS, &format!("a{number:x}:2000,b{number:x}:10"))
        .with_body(b"x")
}

/// Starts two instances that know each other. The second one has a store endpoint of its own, whose
/// faults do not concern the first one.
fn instances(workers: usize) -> (Fixture, Fixture) {
    let mut first = Fixture::without_instance(workers, 1_000_000);
    let mut second = first.add_instance();
    second.use_own_store_endpoint();
    first.start();
    second.start();
    for fixture in [&first, &second] {
        fixture.wait_listed("i-0");
    }
    first.wait_discovered(&second);
    (first, second)
}

/// Age of the list of backend servers at an instance, in milliseconds.
fn list_age_ms(fixture: &Fixture) -> u64 {
    let gateway = fixture.daemon.as_ref().unwrap().gateway();
    let now_ms = gateway.now_ms();
    gateway.state().cursor.age_ms(now_ms).unwrap()
}

/// Waits until no response of the store to an earlier call can arrive any more.
fn wait_store_silent(fixture: &Fixture) {
    let gateway = fixture.daemon.as_ref().unwrap().gateway();
    let is_silent = || gateway.time_since_store_response() > LONGEST_CALL;
    assert!(wait_until(is_silent), "the store still responds");
}

fn assert_learns_of_a_leaving_server(fault: Fault) {
    let (first, second) = instances(2);

    second.store.set_fault(fault);
    wait_store_silent(&second);
    first.register(0, "draining");
    first.wait_server("i-0", false);

    second.wait_server("i-0", false);
    for number in 0..8 {
        second.send(&safe_request(&format!("r-{number}")));
    }
    assert_eq!(first.workers[0].runs().len(), 0);
    assert_eq!(first.workers[1].runs().len(), 8);
}

/// Guards against requests to a leaving server from an instance that the store refuses, while other
/// instances know that it leaves.
#[test]
fn a_refused_instance_learns_of_a_leaving_server_from_another_one() {
    assert_learns_of_a_leaving_server(Fault::Busy);
}

/// Guards against the same at an instance to which the store does not respond.
#[test]
fn an_instance_that_the_store_does_not_answer_learns_of_a_leaving_server() {
    assert_learns_of_a_leaving_server(Fault::Silent);
}

/// Guards against the same at an instance behind a narrow link that is full: responses of the store
/// arrive at 20 bytes a second.
#[test]
fn an_instance_behind_a_full_link_learns_of_a_leaving_server() {
    assert_learns_of_a_leaving_server(Fault::Narrow(20));
}

/// Guards against requests to a leaving server from an instance that no message reaches and the
/// store refuses: it chose all servers of its old list alike, also one whose responses close their
/// connections.
#[test]
fn a_cut_off_instance_prefers_servers_that_do_not_close_their_connections() {
    let mut first = Fixture::without_instance(2, 1_000_000);
    let mut second = first.add_instance();
    second.use_own_store_endpoint();
    second.block_messages();
    first.start();
    second.start();
    second.wait_listed("i-0");
    first.wait_listed("i-1");
    let knows_both = || {
        let gateway = second.daemon.as_ref().unwrap().gateway();
        gateway.state().directory.count() == 2
    };
    assert!(wait_until(knows_both), "the instance was not discovered");

    second.store.set_fault(Fault::Busy);
    assert!(wait_until(|| list_age_ms(&second) > OLD_MS));
    first.workers[0].set_closing(true);
    let is_confirmed = || {
        second.send(&safe_request("confirm"));
        !first.workers[1].runs().is_empty()
    };
    assert!(wait_until(is_confirmed), "i-1 got no request");
    let before = first.workers[0].runs().len();
    for number in 0..16 {
        assert_eq!(second.send(&prompt(number)).status, 200);
    }

    assert_eq!(first.workers[0].runs().len(), before);
}

/// Guards against an instance that refuses requests because its list is old: while the store is away
/// from all instances, no list is newer.
#[test]
fn requests_are_served_while_the_store_is_away_from_all_instances() {
    let (first, second) = instances(4);
    for fixture in [&first, &second] {
        fixture.store.set_fault(Fault::Busy);
    }
    assert!(wait_until(|| list_age_ms(&second) > OLD_MS));

    for number in 0..32 {
        assert_eq!(second.send(&prompt(number)).status, 200);
    }

    let used = first.workers.iter();
    let used = used.filter(|worker| !worker.runs().is_empty());
    assert_eq!(
        used.count(),
        4,
        "the servers of the old list are not used alike"
    );
}
