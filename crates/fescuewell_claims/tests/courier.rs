//! The router's client: retransmissions, their timing, and the events it reports.

mod support;

use std::time::Duration;

use fescuewell_claims::client::{ClaimRequest, Client, Cost, Event, Settings};
use fescuewell_claims::message::{Reply, Request};
use fescuewell_claims::sweep;
use fescuewell_core::prelude::{Digest, Instant, Tokens};

use support::*;

fn client(holder: &str) -> Client {
    let settings = Settings {
        slots: 1,
        ..Settings::default()
    };
    let mut client = Client::new(settings, holder, 7);
    client.set_holder(Instant::from_millis(0), SLOT, Some("a".into()));
    client
}

fn claim_request(id: &str, repeatable: bool) -> ClaimRequest {
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

/// Sends all due messages to the node, lets it commit, and passes the replies back.
fn exchange(client: &mut Client, node: &mut Node, now: &mut Instant, table: &mut Table) {
    let mut tickets = Vec::new();
    for outgoing in client.take_outgoing(*now) {
        let ticket = node.submit(*now, &outgoing.request);
        tickets.push((ticket, outgoing.correlation));
    }
    node.run(now, table, 200);
    for (ticket, correlation) in tickets {
        let reply = node.replies.remove(&ticket).expect("a reply");
        client.receive(*now, correlation, reply);
    }
}

#[test]
fn a_message_is_sent_again_until_answered_with_growing_waits() {
    // A holder receives messages but does not reply for a minute. The bill must be sent again, but
    // not so often that the holder is flooded when it recovers.
    let mut now = Instant::from_millis(0);
    let mut client = client("r.1");
    client.bill(now, 1, &claim_request("x", true), 1, cost(70));

    let mut sends = 0;
    for _ in 0..60_000 {
        sends += client.take_outgoing(now).len();
        now = now + Duration::from_millis(1);
    }

    assert!((8..=16).contains(&sends), "{sends} sends in a minute");
    assert!(!client.is_idle());
}

#[test]
fn a_new_holder_gets_everything_at_once() {
    let now = Instant::from_millis(0);
    let mut client = client("r.1");
    client.bill(now, 1, &claim_request("x", true), 1, cost(70));
    client.take_outgoing(now);

    client.set_holder(now, SLOT, Some("b".into()));
    let again = client.take_outgoing(now);

    assert_eq!(again.len(), 1);
    assert_eq!(&*again[0].instance, "b");
}

#[test]
fn a_single_call_without_an_answer_is_given_up_and_released() {
    // The holder receives the claim, its reply is lost, and the router refuses the call. Without a
    // release, the caller's retry would be refused as in progress.
    let (mut now, mut table) = (Instant::from_millis(0), Table::default());
    let mut node = Node::holding("a.1", &mut now, &mut table);
    let mut client = client("r.1");
    let attempt = client.claim(now, 5, &claim_request("x", false));

    let claim = client.take_outgoing(now).remove(0);
    node.submit(now, &claim.request);
    // Longer than the claim timeout of non-repeatable calls.
    node.run(&mut now, &mut table, 3_000);
    exchange(&mut client, &mut node, &mut now, &mut table);
    let late = granted(attempt, true);
    client.receive(now, claim.correlation, late);
    let events = client.take_events();
    exchange(&mut client, &mut node, &mut now, &mut table);
    let retry = Request::Claim(non_repeatable("x", "s.1", 1));
    let retried = node.reply_after_commit(&mut now, &mut table, &retry);

    assert_eq!(events, [Event::ClaimTimedOut { ticket: 5, attempt }]);
    assert_eq!(retried, granted(1, true));
    assert!(client.is_idle() && client.unfinished() == 0);
}

#[test]
fn a_single_call_does_not_go_on_a_claim_that_is_not_durable() {
    // A holder grants a claim from memory and crashes; its successor grants the caller's retry. A
    // booking would run twice if the router sent it on a claim that is not durable.
    let now = Instant::from_millis(0);
    let mut client = client("r.1");
    client.claim(now, 5, &claim_request("x", false));
    let claim = client.take_outgoing(now).remove(0);

    client.receive(now, claim.correlation, granted(1, false));

    assert_eq!(client.take_events(), []);
}

#[test]
fn a_repeatable_call_goes_on_when_its_claim_cannot_be_recorded() {
    let now = Instant::from_millis(0);
    let mut client = client("r.1");
    let attempt = client.claim(now, 5, &claim_request("x", true));
    let claim = client.take_outgoing(now).remove(0);

    client.receive(now, claim.correlation, Reply::Unavailable);

    let ticket = 5;
    assert_eq!(
        client.take_events(),
        [Event::ClaimUnavailable { ticket, attempt }]
    );
    assert!(client.is_idle(), "nothing to release: its bill will follow");
}

/// Guards against a response that is charged as another attempt's stream: its bill reaches a slot that was
/// without a holder for seconds after the sweep has billed that stream.
#[test]
fn a_bill_reaches_the_next_holder_of_a_slot_before_a_sweep_lists_streams() {
    let listing_delay = sweep::Settings::default().listing_delay;
    let mut now = Instant::from_millis(0);
    let mut client = client("r.1");
    let attempt = client.claim(now, 1, &claim_request("x", true));
    client.bill(now, 1, &claim_request("x", true), attempt, cost(90));

    // The instance that the slot is assigned to does not hold it yet.
    let mut last = now;
    let mut longest = Duration::ZERO;
    while now < Instant::from_millis(30_000) {
        now = now + Duration::from_millis(10);
        for outgoing in client.take_outgoing(now) {
            client.receive(now, outgoing.correlation, Reply::NotHolder);
            if matches!(outgoing.request, Request::Bill(_)) {
                longest = longest.max(now.since(last));
                last = now;
            }
        }
    }

    assert!(longest * 2 < listing_delay, "{longest:?} between two sends");
}

#[test]
fn the_courier_is_full_before_a_bill_would_find_no_room() {
    // The table is down for an hour and the router keeps accepting requests. Capacity is reserved
    // when a request is accepted; otherwise a bill would be dropped or memory would grow without
    // limit.
    let now = Instant::from_millis(0);
    let settings = Settings {
        slots: 1,
        capacity: 3,
        ..Settings::default()
    };
    let mut client = Client::new(settings, "r.1", 7);
    client.set_holder(now, SLOT, Some("a".into()));

    let mut attempts = Vec::new();
    for ticket in 0..3 {
        attempts.push(client.claim(now, ticket, &claim_request(&format!("x{ticket}"), true)));
    }
    let while_under_way = client.is_full();
    for outgoing in client.take_outgoing(now) {
        client.receive(now, outgoing.correlation, granted(0, false));
    }
    client.bill(now, 9, &claim_request("x0", true), attempts[0], cost(70));
    let while_billing = client.is_full();
    let bill = client.take_outgoing(now).remove(0);
    client.receive(now, bill.correlation, billed(70));

    assert!(while_under_way && while_billing);
    assert!(!client.is_full());
}

#[test]
fn bills_taken_over_by_a_peer_are_charged_to_their_own_router_once() {
    // A draining router r hands two bills to its peer s while the slot is unreachable, and still
    // finishes a stream. Then s delivers one bill, and r delivers the other and the one of the
    // stream. If s reported the oldest attempt of the bills it has as r's oldest unfinished
    // attempt, the stream's bill would be lost.
    let (mut now, mut table) = (Instant::from_millis(0), Table::default());
    let mut node = Node::holding("a.1", &mut now, &mut table);
    let (mut draining, mut peer) = (client("r.1"), client("s.1"));
    let attempts: Vec<u32> = (0..3)
        .map(|ticket| draining.claim(now, ticket, &claim_request(&format!("x{ticket}"), true)))
        .collect();
    for outgoing in draining.take_outgoing(now) {
        draining.receive(now, outgoing.correlation, Reply::Unavailable);
    }
    draining.bill(now, 1, &claim_request("x1", true), attempts[1], cost(10));
    draining.bill(now, 2, &claim_request("x2", true), attempts[2], cost(20));

    peer.import_bills(now, draining.export_bills());
    exchange(&mut peer, &mut node, &mut now, &mut table);
    exchange(&mut draining, &mut node, &mut now, &mut table);
    draining.bill(now, 0, &claim_request("x0", true), attempts[0], cost(40));
    exchange(&mut draining, &mut node, &mut now, &mut table);

    let charged: Vec<u64> = draining
        .take_events()
        .into_iter()
        .filter_map(|event| match event {
            Event::BillDurable { charged, .. } => Some(charged.0),
            _ => None,
        })
        .collect();
    assert_eq!(charged, [10, 20, 40]);
    assert!(peer.is_idle() && draining.is_idle());
}
