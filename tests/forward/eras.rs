//! A store that comes back from a copy some seconds old, through the whole path.

use fescuewell::standin::rows::{Copy, Fault};
use fescuewell::standin::worker::wait_until;

use crate::fixture::{Fixture, GROUP, Request, configuration};

fn stream(id: &str, prompt: u64) -> Request {
    Request::new("POST /stream/x", id)
        .with_tokens(prompt, 100)
        .with_body(b"")
}

/// The store is away for a moment and comes back from a copy.
fn drill(fixture: &Fixture, copy: &Copy) {
    fixture.store.set_fault(Fault::Reset);
    fixture.store.restore(copy);
    fixture.store.set_fault(Fault::None);
}

/// What the instance holds of the account, as the store has it.
fn stored(fixture: &Fixture) -> u64 {
    let gateway = fixture.daemon.as_ref().unwrap().gateway();
    let state = gateway.state();
    let account = state.quota.account(GROUP);
    account.map_or(0, |account| account.unallocated())
}

fn era(fixture: &Fixture) -> u32 {
    let gateway = fixture.daemon.as_ref().unwrap().gateway();
    gateway.state().quota.era()
}

/// Symptom looked for: an account gets its tokens twice. Sequence: most of them are drawn and spent; the store comes back from a copy from
/// before; the instance is killed, and the next process reads rows and journal of the copy.
#[test]
fn tokens_spent_since_the_copy_are_not_spent_again() {
    let mut fixture = Fixture::ready(1, 10_000);
    let copy = fixture.store.copy();
    assert_eq!(fixture.send(&stream("r-1", 8_000)).status, 200);
    drill(&fixture, &copy);

    fixture.kill();
    fixture.start();
    fixture.wait_ready();
    let again = fixture.send(&stream("r-2", 8_000));

    assert_ne!(again.status, 200);
    assert_eq!(fixture.runs("r-2"), 0);
}

/// The way back: the instance goes over to the new era, confirms what it holds and goes on serving from the rest.
#[test]
fn an_instance_goes_on_in_the_new_era() {
    let fixture = Fixture::ready(1, 100_000);
    let copy = fixture.store.copy();
    assert_eq!(fixture.send(&stream("r-1", 8_000)).status, 200);

    drill(&fixture, &copy);

    assert!(wait_until(|| era(&fixture) == 1));
    let served = || fixture.send(&stream("r-2", 60_000)).status == 200;
    assert!(wait_until(served));
    assert!(wait_until(|| stored(&fixture) < 100_000 - 8_000));
    let told = || fixture.send(&stream("r-3", 60_000)).status == 402;
    assert!(wait_until(told), "what is left is never told");
}

/// Symptom looked for: callers see an older configuration again. Sequence: a change is in force; the store comes back from a copy without
/// it; the operator writes it again some time later.
#[test]
fn a_configuration_does_not_revert_with_the_store() {
    let fixture = Fixture::ready(1, 100_000);
    let copy = fixture.store.copy();
    fixture.configure(&configuration(2, 100_000));
    assert!(wait_until(|| fixture.version() == 2));

    drill(&fixture, &copy);
    assert!(wait_until(|| era(&fixture) == 1));
    assert_eq!(fixture.version(), 2);
    fixture.configure(&configuration(3, 100_000));

    assert!(wait_until(|| fixture.version() == 3));
}

/// Symptom looked for: a server that has said that it leaves gets work again. Sequence: its word is lost with the store's last seconds; the
/// copy lists it as ready until it writes again.
#[test]
fn a_server_that_leaves_gets_no_work_from_a_copy_of_the_list() {
    let fixture = Fixture::ready(2, 100_000);
    let copy = fixture.store.copy();
    fixture.register(0, "draining");
    fixture.wait_server("i-0", false);

    drill(&fixture, &copy);
    assert!(wait_until(|| era(&fixture) == 1));
    fixture.register(1, "ready");
    for number in 0..20 {
        let request = Request::new("GET /safe/x", &format!("r-{number}"));
        assert_eq!(fixture.send(&request).status, 200);
    }

    assert!(fixture.workers[0].runs().is_empty());
}

/// Symptom looked for: a server that leaves in the new era is not noticed. Sequence: versions of the new era are lower than those that were
/// known; the row seems to be an old one.
#[test]
fn a_server_that_leaves_in_the_new_era_is_noticed() {
    let fixture = Fixture::ready(2, 100_000);
    let copy = fixture.store.copy();
    for _ in 0..50 {
        fixture.register(0, "ready");
    }

    drill(&fixture, &copy);
    fixture.register(0, "draining");

    fixture.wait_server("i-0", false);
}

/// Symptom looked for: a zone that is evacuated gets work again. Sequence: the order is lost with the store's last seconds and written again
/// a second later.
#[test]
fn an_evacuation_outlives_the_return_of_a_copy() {
    let fixture = Fixture::ready(1, 100_000);
    let copy = fixture.store.copy();
    fixture.store.put("op", "", "evacuate/a", b"{}");
    fixture.wait_server("i-0", false);

    drill(&fixture, &copy);
    assert!(wait_until(|| era(&fixture) == 1));
    let refused = fixture.send(&Request::new("GET /safe/x", "r-1"));
    fixture.store.put("op", "", "evacuate/a", b"{}");
    fixture.store.remove("op", "", "evacuate/a");

    assert_eq!(refused.status, 503);
    fixture.wait_server("i-0", true);
}
