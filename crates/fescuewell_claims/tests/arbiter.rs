//! The holder of a slot: what it answers, when, and what survives it.

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

    let reply = node.at_once(now, &Request::Claim(claim("x", "r.1", 1)));
    node.run(&mut now, &mut table, 100);
    let mut successor = Node::new("b.1", settings());
    successor.take(&mut now, &mut table, &["a.1"]);
    let known = successor.at_once(now, &lookup("x"));

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

    let ticket = node.ask(now, &Request::Claim(non_repeatable("x", "r.1", 1)));
    let before = node.replies.get(&ticket).cloned();
    node.turn(now, &mut table);

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
    // Symptom: one request runs at two routers.
    // Events: a caller sends it to r, loses patience and sends it to s at the same moment.
    // Cause: nobody arbitrates between the two.
    let (mut now, mut table) = (Instant::from_millis(0), Table::default());
    let mut node = Node::holding("a.1", &mut now, &mut table);

    node.at_once(now, &Request::Claim(claim("x", "r.1", 1)));
    let second = node.at_once(now, &Request::Claim(claim("x", "s.1", 9)));

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
    // Symptom: a caller gets the answer to an earlier question.
    // Events: it reuses a request id for another body.
    // Cause: the id alone is taken for the request.
    let (mut now, mut table) = (Instant::from_millis(0), Table::default());
    let mut node = Node::holding("a.1", &mut now, &mut table);
    let other = Claim {
        fingerprint: Digest::of(b"another body"),
        ..claim("x", "s.1", 1)
    };

    node.at_once(now, &Request::Claim(claim("x", "r.1", 1)));
    let under_way = node.at_once(now, &Request::Claim(other.clone()));
    node.after_commit(
        &mut now,
        &mut table,
        &Request::Bill(bill("x", "r.1", 1, 70)),
    );
    let afterwards = node.at_once(now, &Request::Claim(other));

    assert_eq!(under_way, Reply::Known(RequestState::Conflict));
    assert_eq!(afterwards, Reply::Known(RequestState::Conflict));
}

#[test]
fn a_bill_counts_once_whoever_sends_it() {
    // Symptom: a group is charged twice for one answer.
    // Events: two routers serve one request id, and one of them sends its bill again because the answer was lost.
    // Cause: bills are added up without a look at what they are for.
    let (mut now, mut table) = (Instant::from_millis(0), Table::default());
    let mut node = Node::holding("a.1", &mut now, &mut table);

    let first = node.after_commit(
        &mut now,
        &mut table,
        &Request::Bill(bill("x", "r.1", 1, 70)),
    );
    let again = node.after_commit(
        &mut now,
        &mut table,
        &Request::Bill(bill("x", "r.1", 1, 70)),
    );
    let other = node.after_commit(
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

    let reply = node.after_commit(
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

    node.after_commit(
        &mut now,
        &mut table,
        &Request::Claim(non_repeatable("x", "r.1", 1)),
    );
    node.after_commit(&mut now, &mut table, &Request::Bill(paid));
    let mut successor = Node::new("b.1", settings());
    successor.take(&mut now, &mut table, &["a.1"]);
    let reply = successor.at_once(now, &Request::Claim(non_repeatable("x", "s.1", 1)));

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

    node.at_once(now, &Request::Claim(claim("x", "r.1", 1)));
    node.arbiter.set_wanted(now, &[]);
    let refused = node.at_once(now, &Request::Claim(claim("y", "r.1", 2)));
    node.run(&mut now, &mut table, 200);
    let mut successor = Node::new("b.1", settings());
    successor.take(&mut now, &mut table, &[]);
    let known = successor.at_once(now, &lookup("x"));

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

    node.after_commit(&mut now, &mut table, &Request::Bill(paid));
    let repeat = node.at_once(now, &Request::Claim(non_repeatable("x", "s.1", 1)));

    let done = RequestState::Done {
        assignment: None,
        response: None,
        in_doubt: false,
    };
    assert_eq!(repeat, Reply::Known(done));
}

#[test]
fn a_slot_that_is_unwanted_while_its_log_is_read_is_handed_back() {
    // Symptom: after three routers started together, some slots had no holder for good, and every request
    // of theirs went without a claim.
    // Events: an instance takes a slot; before it has read the log, a third instance joins and the slot is to be
    // that one's; the first one forgets what it was reading, its name stays in the row.
    // Cause: only held slots were handed back, and the one in between was not held yet.
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
