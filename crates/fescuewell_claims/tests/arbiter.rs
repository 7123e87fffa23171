//! Replies of a slot's holder, their order relative to commits, and what a successor restores.

mod support;

use fescuewell_claims::message::{
    Claim, MAX_RESPONSE_BYTES, Reply, Request, RequestState, StoredResponse,
};
use fescuewell_claims::note::Note;
use fescuewell_core::prelude::*;

use support::*;

#[test]
fn a_repeatable_claim_is_granted_at_once_and_logged_in_the_next_commit() {
    let (mut now, mut table) = (Instant::from_millis(0), Table::default());
    let mut node = Node::holding("a.1", &mut now, &mut table);

    let reply = node.reply_now(now, &Request::Claim(claim("x", "r.1", 1)));
    node.run(&mut now, &mut table, 100);
    let mut successor = Node::new("b.1", settings());
    successor.take(&mut now, &mut table, &["a.1"]);
    let known = successor.reply_now(now, &lookup("x"));

    assert_eq!(
        reply,
        Reply::Granted {
            attempt: 1,
            durable: false
        }
    );
    let owner = owner("r.1", 1);
    assert_eq!(
        known,
        Reply::Known(RequestState::InProgress {
            owner,
            assignment: None
        })
    );
}

#[test]
fn a_single_claim_is_granted_only_after_its_commit() {
    let (mut now, mut table) = (Instant::from_millis(0), Table::default());
    let mut node = Node::holding("a.1", &mut now, &mut table);
    node.run(&mut now, &mut table, 100);

    let ticket = node.submit(now, &Request::Claim(non_repeatable("x", "r.1", 1)));
    let before = node.replies.get(&ticket).cloned();
    node.run_due_steps(now, &mut table);

    assert_eq!(before, None);
    assert_eq!(
        node.replies[&ticket],
        Reply::Granted {
            attempt: 1,
            durable: true
        }
    );
}

#[test]
fn a_repeat_at_a_second_router_is_told_that_the_first_is_under_way() {
    // A caller that times out sends its request to a second router while the first still runs it.
    // The slot must not grant both.
    let (mut now, mut table) = (Instant::from_millis(0), Table::default());
    let mut node = Node::holding("a.1", &mut now, &mut table);

    node.reply_now(now, &Request::Claim(claim("x", "r.1", 1)));
    let second = node.reply_now(now, &Request::Claim(claim("x", "s.1", 9)));

    let owner = owner("r.1", 1);
    assert_eq!(
        second,
        Reply::Known(RequestState::InProgress {
            owner,
            assignment: None
        })
    );
}

#[test]
fn another_body_under_the_same_id_is_refused() {
    // A caller reuses a request id for another body. It must not get the response to the earlier
    // request, so the id alone must not identify the request.
    let (mut now, mut table) = (Instant::from_millis(0), Table::default());
    let mut node = Node::holding("a.1", &mut now, &mut table);
    let other = Claim {
        fingerprint: Digest::of(b"another body"),
        ..claim("x", "s.1", 1)
    };

    node.reply_now(now, &Request::Claim(claim("x", "r.1", 1)));
    let under_way = node.reply_now(now, &Request::Claim(other.clone()));
    node.reply_after_commit(
        &mut now,
        &mut table,
        &Request::Bill(bill("x", "r.1", 1, 70)),
    );
    let afterwards = node.reply_now(now, &Request::Claim(other));

    assert_eq!(under_way, Reply::Known(RequestState::Conflict));
    assert_eq!(afterwards, Reply::Known(RequestState::Conflict));
}

#[test]
fn a_bill_counts_once_whoever_sends_it() {
    // Two routers serve one request id, and one of them sends its bill again after a lost reply.
    // The group must be charged only once.
    let (mut now, mut table) = (Instant::from_millis(0), Table::default());
    let mut node = Node::holding("a.1", &mut now, &mut table);

    let first = node.reply_after_commit(
        &mut now,
        &mut table,
        &Request::Bill(bill("x", "r.1", 1, 70)),
    );
    let again = node.reply_after_commit(
        &mut now,
        &mut table,
        &Request::Bill(bill("x", "r.1", 1, 70)),
    );
    let other = node.reply_after_commit(
        &mut now,
        &mut table,
        &Request::Bill(bill("x", "s.1", 4, 90)),
    );

    assert_eq!((first, again, other), (billed(70), billed(70), billed(0)));
    let is_absorbed = |note: &Note| matches!(note, Note::BillAbsorbed { .. });
    assert!(node.notes.iter().any(is_absorbed));
}

#[test]
fn a_bill_is_never_above_its_hold() {
    let (mut now, mut table) = (Instant::from_millis(0), Table::default());
    let mut node = Node::holding("a.1", &mut now, &mut table);

    let reply = node.reply_after_commit(
        &mut now,
        &mut table,
        &Request::Bill(bill("x", "r.1", 1, 501)),
    );

    assert_eq!(reply, billed(500));
}

#[test]
fn a_repeat_of_a_single_call_gets_the_kept_answer_from_the_next_holder() {
    let (mut now, mut table) = (Instant::from_millis(0), Table::default());
    let mut node = Node::holding("a.1", &mut now, &mut table);
    let response = StoredResponse {
        status: 201,
        content_type: "application/json".into(),
        body: b"{\"booked\":true}"[..].into(),
    };
    let mut paid = bill("x", "r.1", 1, 5);
    paid.response = Some(response.clone());
    paid.repeatable = false;

    node.reply_after_commit(
        &mut now,
        &mut table,
        &Request::Claim(non_repeatable("x", "r.1", 1)),
    );
    node.reply_after_commit(&mut now, &mut table, &Request::Bill(paid));
    let mut successor = Node::new("b.1", settings());
    successor.take(&mut now, &mut table, &["a.1"]);
    let reply = successor.reply_now(now, &Request::Claim(non_repeatable("x", "s.1", 1)));

    let done = RequestState::Done {
        assignment: None,
        response: Some(response),
        in_doubt: false,
    };
    assert_eq!(reply, Reply::Known(done));
}

#[test]
fn a_slot_that_is_not_wanted_is_flushed_and_handed_back() {
    let (mut now, mut table) = (Instant::from_millis(0), Table::default());
    let mut node = Node::holding("a.1", &mut now, &mut table);

    node.reply_now(now, &Request::Claim(claim("x", "r.1", 1)));
    node.arbiter.set_wanted(now, &[]);
    let refused = node.reply_now(now, &Request::Claim(claim("y", "r.1", 2)));
    node.run(&mut now, &mut table, 200);
    let mut successor = Node::new("b.1", settings());
    successor.take(&mut now, &mut table, &[]);
    let known = successor.reply_now(now, &lookup("x"));

    assert_eq!(refused, Reply::NotHolder);
    assert!(node.arbiter.is_idle());
    assert!(matches!(
        known,
        Reply::Known(RequestState::InProgress { .. })
    ));
}

#[test]
fn an_answer_above_the_limit_is_not_kept() {
    let (mut now, mut table) = (Instant::from_millis(0), Table::default());
    let mut node = Node::holding("a.1", &mut now, &mut table);
    let mut paid = bill("x", "r.1", 1, 5);
    paid.repeatable = false;
    paid.response = Some(StoredResponse {
        status: 200,
        content_type: "text/plain".into(),
        body: vec![b'x'; MAX_RESPONSE_BYTES].into(),
    });

    node.reply_after_commit(&mut now, &mut table, &Request::Bill(paid));
    let repeat = node.reply_now(now, &Request::Claim(non_repeatable("x", "s.1", 1)));

    let done = RequestState::Done {
        assignment: None,
        response: None,
        in_doubt: false,
    };
    assert_eq!(repeat, Reply::Known(done));
}

#[test]
fn a_slot_that_is_unwanted_while_its_log_is_read_is_handed_back() {
    // An instance takes a slot and then, before it has loaded the log, stops wanting it because a
    // third instance joins. If only held slots were released, its name would stay in the slot's
    // row, the slot would have no holder, and its requests would run without claims. This happened
    // when three routers started together.
    let (mut now, mut table) = (Instant::from_millis(0), Table::default());
    let mut first = Node::new("a.1", settings());
    first.arbiter.set_wanted(now, &[SLOT]);
    for _ in ["poll", "take"] {
        let step = first.arbiter.next_step(now).expect("a slot is missing");
        let reply = table.carry_out(&step);
        first.arbiter.reply(now, reply);
    }
    assert!(!table.rows.is_empty() && !first.arbiter.holds(SLOT));

    first.arbiter.set_wanted(now, &[]);
    first.run(&mut now, &mut table, 1_000);
    let mut second = Node::new("b.1", settings());
    second.arbiter.set_wanted(now, &[SLOT]);
    second.run(&mut now, &mut table, 5_000);

    assert!(second.arbiter.holds(SLOT));
}
