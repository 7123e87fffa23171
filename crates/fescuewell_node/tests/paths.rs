//! Requests through a fleet of nodes without infrastructure faults: one run, one bill, correct refusals.

mod common;

use std::time::Duration;

use common::backend::Reaction;
use common::document::document;
use common::world::World;
use fescuewell_core::prelude::*;
use fescuewell_node::prelude::*;

const PREPAID: u64 = 100_000;

fn world() -> World {
    World::new(3, &document(PREPAID, 8), 11)
}

fn is_settled(world: &World) -> bool {
    world.open() == (Tokens::ZERO, 0)
}

#[test]
fn a_repeatable_request_is_answered_and_billed_once() {
    let mut world = world();

    let ticket = world.submit(0, "job-1");
    let settled = world.run_until(5_000, is_settled);

    let cost = world.backend.cost("job-1");
    assert!(settled && world.is_answered(ticket));
    assert_eq!(world.bills("job-1"), [cost.0]);
}

#[test]
fn a_call_that_may_not_be_repeated_is_claimed_before_it_is_sent_and_billed_once() {
    let mut world = world();

    let ticket = world.call(1, "file-1", false);
    let settled = world.run_until(5_000, is_settled);

    assert!(settled && world.is_answered(ticket));
    assert_eq!(world.backend.sent.len(), 1);
    assert_eq!(world.bills("file-1"), [20]);
}

#[test]
fn a_duplicate_at_another_node_does_not_run_again() {
    // Guards against billing a caller twice that sends a request to two addresses at once.
    let mut world = world();

    world.backend.reactions.push_back(Reaction::RunFor(300));
    let first = world.submit(0, "job-1");
    let second = world.submit(1, "job-1");
    let settled = world.run_until(10_000, is_settled);

    assert!(settled, "{:?}", world.requests);
    assert_eq!(world.backend.sent.len(), 1);
    assert_eq!(world.bills("job-1").len(), 1);
    let (mut answered, mut in_progress) = (0, 0);
    for ticket in [first, second] {
        answered += usize::from(world.is_answered(ticket));
        in_progress += usize::from(world.code(ticket) == Some(Code::InProgress));
    }
    assert!(answered >= 1 && answered + in_progress == 2);
}

#[test]
fn a_repeat_of_a_call_that_is_about_to_end_gets_its_answer() {
    // Guards against refusing a repeat as in progress after the first router has responded. The router responds
    // to its caller before it reports to the slot's holder, and the repeat reaches the holder in between.
    let mut world = world();
    world.backend.reactions.push_back(Reaction::RunFor(300));
    let first = world.call(0, "file-1", false);
    let sent = world.run_until(5_000, |world| !world.backend.sent.is_empty());

    let repeat = world.call(2, "file-1", false);
    let settled = world.run_until(5_000, is_settled);

    assert!(sent && settled);
    assert!(world.is_answered(first));
    assert!(world.is_answered(repeat), "{:?}", world.code(repeat));
    assert_eq!(world.backend.sent.len(), 1);
    assert_eq!(world.bills("file-1"), [20]);
}

#[test]
fn a_repeat_of_a_call_that_lasts_is_told_so_within_seconds() {
    let mut world = world();
    world.backend.reactions.push_back(Reaction::RunFor(8_000));
    world.call(0, "file-1", false);
    world.run_until(5_000, |world| !world.backend.sent.is_empty());

    let repeat = world.call(2, "file-1", false);
    world.run_for(4_000);

    assert_eq!(world.code(repeat), Some(Code::InProgress));
    assert_eq!(world.backend.sent.len(), 1);
}

#[test]
fn a_repeat_of_a_finished_call_gets_the_kept_answer() {
    let mut world = world();
    world.call(0, "file-1", false);
    world.run_until(5_000, is_settled);

    let repeat = world.call(2, "file-1", false);
    let settled = world.run_until(5_000, is_settled);

    assert!(settled && world.is_answered(repeat) && world.requests[&repeat].is_reader);
    assert_eq!(world.backend.sent.len(), 1);
    assert_eq!(world.bills("file-1"), [20]);
}

#[test]
fn the_same_id_with_another_body_is_a_conflict() {
    let mut world = world();
    world.submit(0, "job-1");
    world.run_until(5_000, is_settled);

    let other = world.submit_model(1, "job-1", "summary", (41, 60));
    let settled = world.run_until(5_000, is_settled);

    assert!(settled);
    assert_eq!(world.code(other), Some(Code::Conflict));
}

#[test]
fn an_exhausted_budget_is_refused_as_such_and_only_then() {
    let mut world = World::new(3, &document(1_000, 8), 12);
    let mut refused = Vec::new();
    for number in 0..60 {
        let ticket = world.submit(number % 3, &format!("job-{number}"));
        world.run_until(5_000, |world| {
            world.is_answered(ticket) || world.code(ticket).is_some()
        });
        if let Some(code) = world.code(ticket) {
            refused.push((code, world.charged()));
        }
        world.run_for(200);
    }

    let charged = world.charged();
    // A request holds 100 tokens; with fewer left, none can be accepted.
    assert!(
        charged > Tokens(900) && charged <= Tokens(1_000),
        "{charged}"
    );
    assert!(!refused.is_empty());
    for (code, charged) in refused {
        assert_eq!(code, Code::BudgetExhausted, "charged {charged}");
        assert!(charged > Tokens(900), "refused at {charged}");
    }
}

#[test]
fn an_attempt_that_was_not_sent_goes_to_another_server_and_is_refused_in_the_end() {
    let mut world = world();

    world
        .backend
        .reactions
        .push_back(Reaction::RefuseConnection);
    let first = world.submit(0, "job-1");
    let settled = world.run_until(5_000, is_settled);
    world
        .backend
        .reactions
        .extend([Reaction::RefuseConnection; 3]);
    let second = world.submit(0, "job-2");
    world.run_until(5_000, is_settled);

    let runs = &world.requests[&first].runs;
    assert!(settled && world.is_answered(first));
    assert_eq!(runs.len(), 2);
    assert_ne!(runs[0].1.server, runs[1].1.server);
    assert_eq!(world.code(second), Some(Code::NoServer));
    assert_eq!(Code::NoServer.run(), Run::NotRun);
    assert_eq!(world.requests[&second].runs.len(), 3);
    assert!(world.bills("job-2").is_empty());
    assert!(is_settled(&world));
}

#[test]
fn a_lost_answer_of_which_nothing_was_delivered_runs_again_as_a_new_attempt() {
    let mut world = world();

    world.backend.reactions.push_back(Reaction::LoseResponse);
    let ticket = world.submit(0, "job-1");
    let settled = world.run_until(10_000, is_settled);

    let runs = &world.requests[&ticket].runs;
    assert!(
        settled && world.is_answered(ticket),
        "{:?}",
        world.requests[&ticket]
    );
    assert_eq!(runs.len(), 2);
    assert_ne!(runs[0].1.attempt, runs[1].1.attempt);
    assert_ne!(runs[0].1.stream, runs[1].1.stream);
    assert_eq!(world.bills("job-1").len(), 1);
}

#[test]
fn a_caller_that_goes_away_leaves_no_hold_and_no_claim() {
    let mut world = World::new(3, &document(PREPAID, 1), 13);
    world.backend.reactions.extend([Reaction::RunFor(3_000); 3]);
    for number in 0..3 {
        world.submit(0, &format!("long-{number}"));
    }
    world.run_for(500);

    let ticket = world.submit(0, "job-1");
    world.run_for(500);
    let queued = world.members[0].node.as_ref().unwrap().summary().queued;
    world.withdraw(ticket);
    world.run_for(3_500);
    let settled = world.run_until(10_000, is_settled);
    let again = world.submit(1, "job-1");
    world.run_until(5_000, is_settled);

    assert_eq!(queued, 1);
    assert!(settled && world.requests[&ticket].runs.is_empty());
    assert!(world.is_answered(again));
}

#[test]
fn a_request_that_cannot_start_before_its_deadline_is_refused_before_it() {
    let mut world = World::new(3, &document(PREPAID, 1), 14);
    world.backend.reactions.extend([Reaction::RunFor(8_000); 3]);
    for number in 0..3 {
        world.submit(0, &format!("long-{number}"));
    }
    world.run_for(500);

    let work = Work::Model {
        model: common::document::MODEL.into(),
        prefix: Vec::new(),
        prompt_bound: 40,
        output_limit: 60,
    };
    let ticket = world.submit_work(0, "job-1", "summary", work, Duration::from_secs(2));
    world.run_for(2_100);

    let refused = world.requests[&ticket].refused.clone();
    let (_, refusal) = refused.expect("it was refused");
    assert!(matches!(
        refusal.code,
        Code::DeadlineTooNear | Code::DeadlinePassed
    ));
    assert!(world.requests[&ticket].runs.is_empty());
    assert!(world.run_until(10_000, is_settled));
}

#[test]
fn a_verdict_that_nobody_takes_gives_its_place_on_the_server_back() {
    // Guards against attempts that count as in flight but were never sent, until this instance sends nothing
    // to the server. The caller disconnects at the moment at which its request is dispatched.
    let mut world = world();
    world.backend.reactions.push_back(Reaction::RunFor(60_000));
    let ticket = world.submit(0, "job-1");
    world.run_until(1_000, |world| !world.requests[&ticket].runs.is_empty());

    world.withdraw(ticket);

    let summary = world.members[0].node.as_ref().unwrap().summary();
    assert_eq!(
        summary
            .servers
            .iter()
            .map(|server| server.in_flight)
            .sum::<usize>(),
        0
    );
    assert_eq!(summary.requests, 0);
}

#[test]
fn waiting_bulk_work_does_not_keep_urgent_requests_out() {
    // Guards against refusing urgent requests as overload while the backend servers have capacity for them.
    let mut world = World::new(0, &document(PREPAID, 8), 15);
    world.settings.max_requests = 40;
    world.start();
    world.run_for(8_000);
    world
        .backend
        .reactions
        .extend([Reaction::RunFor(20_000); 40]);
    let bulk: Vec<Ticket> = (0..40)
        .map(|number| world.submit(0, &format!("bulk-{number}")))
        .collect();
    world.run_for(1_000);

    world.backend.reactions.clear();
    let urgent = world.submit_model(0, "urgent-1", "status", (40, 60));
    world.run_for(1_000);

    let refused = bulk
        .iter()
        .filter(|ticket| world.code(**ticket) == Some(Code::Overloaded));
    assert_eq!(refused.count(), 8);
    assert!(world.is_answered(urgent), "{:?}", world.code(urgent));
}

#[test]
fn a_request_that_every_server_is_too_busy_for_waits_and_runs() {
    // Guards against a refusal after three "busy" responses within milliseconds, a minute before the deadline.
    let mut world = world();
    world.backend.reactions.extend([Reaction::Busy; 7]);

    let ticket = world.submit(0, "job-1");
    let settled = world.run_until(5_000, is_settled);

    assert!(
        settled && world.is_answered(ticket),
        "{:?}",
        world.code(ticket)
    );
    assert_eq!(world.requests[&ticket].runs.len(), 8);
    assert_eq!(world.bills("job-1").len(), 1);
}
