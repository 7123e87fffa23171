//! The router's side: what is sent again, when, and what the router is told.

mod support;

use std::time::Duration;

use fescuewell_claims::client::{ClaimRequest, Client, Cost, Event, Settings};
use fescuewell_claims::message::{Reply, Request};
use fescuewell_core::prelude::{Digest, Instant, Tokens};

use support::*;

fn courier(holder: &str) -> Client {
    let settings = Settings {
        slots: 1,
        ..Settings::default()
    };
    let mut courier = Client::new(settings, holder, 7);
    courier.set_holder(Instant::from_millis(0), SLOT, Some("a".into()));
    courier
}

fn ask(id: &str, repeatable: bool) -> ClaimRequest {
    ClaimRequest {
        request: digest(id),
        fingerprint: Digest::of(b"body"),
        group: "signwise".into(),
        hold: Tokens(500),
        repeatable,
        lost: None,
    }
}

fn cost(tokens: u64) -> Cost {
    Cost {
        tokens: Tokens(tokens),
        complete: true,
        response: None,
    }
}

fn granted(attempt: u32, durable: bool) -> Reply {
    Reply::Granted { attempt, durable }
}

/// Sends everything that is due to the node, lets it commit, and passes the answers back.
fn exchange(courier: &mut Client, node: &mut Node, now: &mut Instant, table: &mut Table) {
    let mut tickets = Vec::new();
    for outgoing in courier.take_outgoing(*now) {
        let ticket = node.ask(*now, &outgoing.request);
        tickets.push((ticket, outgoing.correlation));
    }
    node.run(now, table, 200);
    for (ticket, correlation) in tickets {
        let reply = node.replies.remove(&ticket).expect("an answer");
        courier.receive(*now, correlation, reply);
    }
}

#[test]
fn a_message_is_sent_again_until_answered_with_growing_waits() {
    // Symptom: a bill is lost with its answer, or a silent holder is flooded when it comes back.
    // Events: the holder takes messages and does not answer for a minute.
    // Cause: no repetition, or one at a fixed short interval.
    let mut now = Instant::from_millis(0);
    let mut courier = courier("r.1");
    courier.bill(now, 1, &ask("x", true), 1, cost(70));

    let mut sends = 0;
    for _ in 0..60_000 {
        sends += courier.take_outgoing(now).len();
        now = now + Duration::from_millis(1);
    }

    assert!((8..=16).contains(&sends), "{sends} sends in a minute");
    assert!(!courier.is_idle());
}

#[test]
fn a_new_holder_gets_everything_at_once() {
    let now = Instant::from_millis(0);
    let mut courier = courier("r.1");
    courier.bill(now, 1, &ask("x", true), 1, cost(70));
    courier.take_outgoing(now);

    courier.set_holder(now, SLOT, Some("b".into()));
    let again = courier.take_outgoing(now);

    assert_eq!(again.len(), 1);
    assert_eq!(&*again[0].instance, "b");
}

#[test]
fn a_single_call_without_an_answer_is_given_up_and_released() {
    // Symptom: the caller's retry of a refused booking is told that it is under way.
    // Events: the claim reaches its holder, the answer is lost, the router refuses the call.
    // Cause: the holder is never told that nothing was sent.
    let (mut now, mut table) = (Instant::from_millis(0), Table::default());
    let mut node = Node::holding("a.1", &mut now, &mut table);
    let mut courier = courier("r.1");
    let attempt = courier.claim(now, 5, &ask("x", false));

    let claim = courier.take_outgoing(now).remove(0);
    node.ask(now, &claim.request);
    // Longer than the patience for calls that may not be repeated.
    node.run(&mut now, &mut table, 3_000);
    exchange(&mut courier, &mut node, &mut now, &mut table);
    let late = granted(attempt, true);
    courier.receive(now, claim.correlation, late);
    let events = courier.take_events();
    exchange(&mut courier, &mut node, &mut now, &mut table);
    let retry = Request::Claim(non_repeatable("x", "s.1", 1));
    let retried = node.after_commit(&mut now, &mut table, &retry);

    assert_eq!(events, [Event::ClaimTimedOut { ticket: 5, attempt }]);
    assert_eq!(retried, granted(1, true));
    assert!(courier.is_idle() && courier.unfinished() == 0);
}

#[test]
fn a_single_call_does_not_go_on_a_claim_that_is_not_durable() {
    // Symptom: a booking runs twice after its slot's holder died.
    // Events: a holder grants it from memory and dies; the next holder grants the caller's retry.
    // Cause: the router sends on a claim that nothing but memory holds.
    let now = Instant::from_millis(0);
    let mut courier = courier("r.1");
    courier.claim(now, 5, &ask("x", false));
    let claim = courier.take_outgoing(now).remove(0);

    courier.receive(now, claim.correlation, granted(1, false));

    assert_eq!(courier.take_events(), []);
}

#[test]
fn a_repeatable_call_goes_on_when_its_claim_cannot_be_recorded() {
    let now = Instant::from_millis(0);
    let mut courier = courier("r.1");
    let attempt = courier.claim(now, 5, &ask("x", true));
    let claim = courier.take_outgoing(now).remove(0);

    courier.receive(now, claim.correlation, Reply::Unavailable);

    let ticket = 5;
    assert_eq!(
        courier.take_events(),
        [Event::ClaimUnavailable { ticket, attempt }]
    );
    assert!(
        courier.is_idle(),
        "nothing to release: its bill will follow"
    );
}

#[test]
fn the_courier_is_full_before_a_bill_would_find_no_room() {
    // Symptom: a bill is dropped, or memory grows through an outage.
    // Events: the table is down for an hour and the router keeps accepting.
    // Cause: room is looked for when the bill comes instead of when the request does.
    let now = Instant::from_millis(0);
    let settings = Settings {
        slots: 1,
        capacity: 3,
        ..Settings::default()
    };
    let mut courier = Client::new(settings, "r.1", 7);
    courier.set_holder(now, SLOT, Some("a".into()));

    let mut attempts = Vec::new();
    for ticket in 0..3 {
        attempts.push(courier.claim(now, ticket, &ask(&format!("x{ticket}"), true)));
    }
    let while_under_way = courier.is_full();
    for outgoing in courier.take_outgoing(now) {
        courier.receive(now, outgoing.correlation, granted(0, false));
    }
    courier.bill(now, 9, &ask("x0", true), attempts[0], cost(70));
    let while_billing = courier.is_full();
    let bill = courier.take_outgoing(now).remove(0);
    courier.receive(now, bill.correlation, billed(70));

    assert!(while_under_way && while_billing);
    assert!(!courier.is_full());
}

#[test]
fn bills_taken_over_by_a_peer_are_charged_to_their_own_router_once() {
    // Symptom: a bill is lost at a drain, charged twice, or hides a later bill of the same router.
    // Events: r drains while the slot is out of reach and hands two of its bills to s; r is still finishing a
    // stream; s delivers one bill, r delivers the other and then the stream's.
    // Cause: s passes off the oldest of the bills it has as r's oldest unfinished attempt.
    let (mut now, mut table) = (Instant::from_millis(0), Table::default());
    let mut node = Node::holding("a.1", &mut now, &mut table);
    let (mut leaving, mut peer) = (courier("r.1"), courier("s.1"));
    let attempts: Vec<u32> = (0..3)
        .map(|ticket| leaving.claim(now, ticket, &ask(&format!("x{ticket}"), true)))
        .collect();
    for outgoing in leaving.take_outgoing(now) {
        leaving.receive(now, outgoing.correlation, Reply::Unavailable);
    }
    leaving.bill(now, 1, &ask("x1", true), attempts[1], cost(10));
    leaving.bill(now, 2, &ask("x2", true), attempts[2], cost(20));

    peer.import_bills(now, leaving.export_bills());
    exchange(&mut peer, &mut node, &mut now, &mut table);
    exchange(&mut leaving, &mut node, &mut now, &mut table);
    leaving.bill(now, 0, &ask("x0", true), attempts[0], cost(40));
    exchange(&mut leaving, &mut node, &mut now, &mut table);

    let charged: Vec<u64> = leaving
        .take_events()
        .into_iter()
        .filter_map(|event| match event {
            Event::BillDurable { charged, .. } => Some(charged.0),
            _ => None,
        })
        .collect();
    assert_eq!(charged, [10, 20, 40]);
    assert!(peer.is_idle() && leaving.is_idle());
}
