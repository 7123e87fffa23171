//! Tests of a store that is restored from a backup some seconds old, through the whole forwarding
//! path.

use fescuewell::standin::rows::{Copy, Fault};
use fescuewell::standin::worker::wait_until;

use crate::fixture::{Fixture, GROUP, Request, configuration};

fn stream(id: &str, prompt: u64) -> Request {
    Request::new("POST /stream/x", id)
        .with_tokens(prompt, 100)
        .with_body(b"")
}

/// Makes the store unavailable and restores it from a backup.
fn restore(fixture: &Fixture, backup: &Copy) {
    fixture.store.set_fault(Fault::Reset);
    fixture.store.restore(backup);
    fixture.store.set_fault(Fault::None);
}

/// Tokens of the account that no holder is granted, as last read by the instance.
fn unallocated_tokens(fixture: &Fixture) -> u64 {
    let gateway = fixture.daemon.as_ref().unwrap().gateway();
    let state = gateway.state();
    let account = state.quota.account(GROUP);
    account.map_or(0, |account| account.unallocated())
}

fn era(fixture: &Fixture) -> u32 {
    let gateway = fixture.daemon.as_ref().unwrap().gateway();
    gateway.state().quota.era()
}

/// Guards against spending tokens twice: most of them are spent, the store is restored from an
/// earlier backup, and the restarted instance reads the rows and the journal of that backup.
#[test]
fn tokens_spent_since_the_copy_are_not_spent_again() {
    let mut fixture = Fixture::ready(1, 10_000);
    let backup = fixture.store.copy();
    assert_eq!(fixture.send(&stream("r-1", 8_000)).status, 200);
    restore(&fixture, &backup);

    fixture.kill();
    fixture.start();
    fixture.wait_ready();
    let second = fixture.send(&stream("r-2", 8_000));

    assert_ne!(second.status, 200);
    assert_eq!(fixture.runs("r-2"), 0);
}

/// After a restore the instance switches to the new era, confirms its grant and continues to serve
/// from the rest.
#[test]
fn an_instance_goes_on_in_the_new_era() {
    let fixture = Fixture::ready(1, 100_000);
    let backup = fixture.store.copy();
    assert_eq!(fixture.send(&stream("r-1", 8_000)).status, 200);

    restore(&fixture, &backup);

    assert!(wait_until(|| era(&fixture) == 1));
    let is_served = || fixture.send(&stream("r-2", 60_000)).status == 200;
    assert!(wait_until(is_served));
    assert!(wait_until(|| unallocated_tokens(&fixture) < 100_000 - 8_000));
    let is_refused = || fixture.send(&stream("r-3", 60_000)).status == 402;
    assert!(
        wait_until(is_refused),
        "the spent tokens are not accounted for"
    );
}

/// Guards against serving an older configuration again when the store is restored from a backup
/// that lacks the active one and the operator writes it again only later.
#[test]
fn a_configuration_does_not_revert_with_the_store() {
    let fixture = Fixture::ready(1, 100_000);
    let backup = fixture.store.copy();
    fixture.configure(&configuration(2, 100_000));
    assert!(wait_until(|| fixture.version() == 2));

    restore(&fixture, &backup);
    assert!(wait_until(|| era(&fixture) == 1));
    assert_eq!(fixture.version(), 2);
    fixture.configure(&configuration(3, 100_000));

    assert!(wait_until(|| fixture.version() == 3));
}

/// Guards against sending requests to a draining server whose update is lost by a restore: the
/// backup lists it as ready until it writes its entry again.
#[test]
fn a_server_that_leaves_gets_no_work_from_a_copy_of_the_list() {
    let fixture = Fixture::ready(2, 100_000);
    let backup = fixture.store.copy();
    fixture.register(0, "draining");
    fixture.wait_server("i-0", false);

    restore(&fixture, &backup);
    assert!(wait_until(|| era(&fixture) == 1));
    fixture.register(1, "ready");
    for number in 0..20 {
        let request = Request::new("GET /safe/x", &format!("r-{number}"));
        assert_eq!(fixture.send(&request).status, 200);
    }

    assert!(fixture.workers[0].runs().is_empty());
}

/// Guards against ignoring a server that drains in the new era: versions of that era have lower
/// numbers than those already known, so the row may be taken for an old one.
#[test]
fn a_server_that_leaves_in_the_new_era_is_noticed() {
    let fixture = Fixture::ready(2, 100_000);
    let backup = fixture.store.copy();
    for _ in 0..50 {
        fixture.register(0, "ready");
    }

    restore(&fixture, &backup);
    fixture.register(0, "draining");

    fixture.wait_server("i-0", false);
}

/// Guards against sending requests to an evacuated zone when the evacuation is lost by a restore
/// and written again a second later.
#[test]
fn an_evacuation_outlives_the_return_of_a_copy() {
    let fixture = Fixture::ready(1, 100_000);
    let backup = fixture.store.copy();
    fixture.store.put("op", "", "evacuate/a", b"{}");
    fixture.wait_server("i-0", false);

    restore(&fixture, &backup);
    assert!(wait_until(|| era(&fixture) == 1));
    let refused = fixture.send(&Request::new("GET /safe/x", "r-1"));
    fixture.store.put("op", "", "evacuate/a", b"{}");
    fixture.store.remove("op", "", "evacuate/a");

    assert_eq!(refused.status, 503);
    fixture.wait_server("i-0", true);
}
