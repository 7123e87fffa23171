//! The configuration in force, and the list of backend servers.

use fescuewell::standin::rows::Fault;
use fescuewell::standin::worker::wait_until;

use crate::fixture::{Fixture, Request, configuration};

#[test]
fn an_accepted_configuration_is_in_force_without_a_restart() {
    let fixture = Fixture::ready(1, 1_000_000);
    let mut next = configuration(2, 1_000_000);
    next["routes"][0]["prefix"] = "/renamed/".into();

    fixture.configure(&next);

    assert!(wait_until(|| fixture.version() == 2));
    assert_eq!(
        fixture.send(&Request::new("GET /renamed/x", "r-1")).status,
        200
    );
    assert_eq!(
        fixture.send(&Request::new("GET /safe/x", "r-2")).status,
        404
    );
}

/// Symptom: a dropped route was served again. Sequence: an old configuration is read after a newer one. Cause: what was
/// read last counted, whatever its version.
#[test]
fn an_older_version_never_comes_back() {
    let fixture = Fixture::ready(1, 1_000_000);
    fixture.configure(&configuration(5, 1_000_000));
    assert!(wait_until(|| fixture.version() == 5));

    fixture.configure(&configuration(4, 1_000_000));
    fixture.configure(&configuration(6, 1_000_000));

    assert!(wait_until(|| fixture.version() != 5));
    assert_eq!(fixture.version(), 6);
}

/// Symptom: a change was never in force. Sequence: the feed stays silent while the change is made, then its history is
/// dropped. Cause: only the feed was followed.
#[test]
fn a_change_that_the_feed_missed_is_found() {
    let fixture = Fixture::ready(1, 1_000_000);
    fixture.store.set_fault(Fault::SilentFeeds);

    fixture.configure(&configuration(2, 1_000_000));
    fixture.store.compact();
    fixture.store.set_fault(Fault::None);

    assert!(wait_until(|| fixture.version() == 2));
}

/// Symptom: a server that was leaving got new work. Sequence: it reports that it drains. Cause: the list was read
/// too seldom.
#[test]
fn a_draining_server_gets_no_more_requests() {
    let fixture = Fixture::ready(2, 1_000_000);

    fixture.register(0, "draining");
    fixture.wait_server("i-0", false);
    for number in 0..20 {
        fixture.send(&Request::new("GET /safe/x", &format!("r-{number}")));
    }

    assert!(fixture.workers[0].runs().is_empty());
    assert_eq!(fixture.workers[1].runs().len(), 20);
}

#[test]
fn an_outage_of_the_store_leaves_requests_served() {
    let fixture = Fixture::ready(1, 1_000_000);

    for fault in [Fault::Busy, Fault::Reset, Fault::Silent] {
        fixture.store.set_fault(fault);
        let answer = fixture.send(&Request::new("GET /safe/x", "r-1"));
        assert_eq!(answer.status, 200, "{fault:?}");
    }
}

/// Symptom: all callers of a zone came to one instance with a narrow link. Sequence: they ask while it has not read the list
/// of instances yet. Cause: it named itself alone.
#[test]
fn no_address_is_told_before_the_list_was_read() {
    let mut fixture = Fixture::platform(1, 1_000_000);
    fixture.store.set_fault(Fault::Silent);
    fixture.start();
    let directory_answers = || fixture.directory_status().is_some();
    assert!(wait_until(directory_answers));

    let status = fixture.directory_status();

    assert_eq!(status, Some(503));
}

#[test]
fn callers_are_told_the_address_of_a_ready_instance() {
    let fixture = Fixture::ready(1, 1_000_000);

    let addresses = fixture.addresses();

    assert_eq!(addresses, [fixture.front.to_string()]);
}
