//! A fleet of nodes under faults of the table, the instances and the backend servers.

mod common;

use common::backend::Reaction;
use common::document::document;
use common::world::World;
use fescuewell_core::prelude::*;

const PREPAID: u64 = 100_000;

fn world(seed: u64) -> World {
    World::new(3, &document(PREPAID, 8), seed)
}

fn is_settled(world: &World) -> bool {
    world.open() == (Tokens::ZERO, 0)
}

/// Returns a world whose nodes have allowances and have measured their use.
fn warm_world(seed: u64) -> World {
    let mut world = world(seed);
    for number in 0..6 {
        world.submit(number % 3, &format!("warm-{number}"));
        world.run_for(300);
    }
    assert!(world.run_until(5_000, is_settled));
    world
}

/// Drains every instance; returns `true` if all of them exited.
fn leave(world: &mut World) -> bool {
    for node in world.alive() {
        world.terminate(node);
    }
    world.run_until(60_000, |world| world.alive().is_empty())
}

#[test]
fn without_the_table_repeatable_requests_go_on_and_others_are_refused_at_once() {
    // Guards against running a non-repeatable call twice because it was sent while its claim could not be
    // recorded, and against refusing all requests while the table is unavailable.
    let mut world = warm_world(21);
    world.table.fault().set_down(true);
    world.run_for(1_000);

    let model = world.submit(0, "job-1");
    let call = world.call(1, "file-1", false);
    world.run_for(3_000);
    let before = world.bills("job-1");
    let refused = world.requests[&call].refused.clone();
    let submitted_at = world.requests[&call].submitted_at;
    world.table.fault().set_down(false);
    let settled = world.run_until(30_000, is_settled);

    let (at, refusal) = refused.expect("the call was refused");
    assert!(world.is_answered(model) && before.is_empty());
    assert_eq!(refusal.code, Code::NoClaim);
    assert!(
        at.since(submitted_at).as_millis() <= 1_500,
        "{:?}",
        at.since(submitted_at)
    );
    assert!(settled);
    assert_eq!(world.bills("job-1").len(), 1);
    assert!(world.requests[&call].runs.is_empty() && world.bills("file-1").is_empty());
}

#[test]
fn streams_of_a_node_that_dies_are_settled_once_and_its_grant_comes_back() {
    // Guards against tokens of a terminated router's streams that are never billed or billed twice, and
    // against an allowance that is not returned to the group.
    let mut world = warm_world(22);
    world.backend.reactions.push_back(Reaction::RunFor(2_000));
    world.submit(0, "job-1");
    world.run_for(500);
    let cost = world.backend.cost("job-1");

    world.kill(0);
    let swept = world.run_until(90_000, |world| {
        !world.bills("job-1").is_empty() && !world.budget().grants.contains_key("entry-0.1")
    });

    assert!(swept, "{:?}", world.budget());
    assert_eq!(world.bills("job-1"), [cost.0]);
    assert!(leave(&mut world));
    assert!(world.budget().grants.is_empty());
    assert_eq!(world.budget().spent, world.charged());
}

#[test]
fn a_caller_that_asks_again_elsewhere_reads_the_stream_of_a_dead_node() {
    // Guards against a second run and bill of a request whose router terminated.
    let mut world = warm_world(23);
    world.backend.reactions.push_back(Reaction::RunFor(3_000));
    world.submit(0, "job-1");
    world.run_for(500);
    world.kill(0);

    world.run_for(200);
    let again = world.submit(1, "job-1");
    world.run_until(5_000, |world| {
        world.is_answered(again) || world.code(again).is_some()
    });
    let swept = world.run_until(90_000, |world| !world.bills("job-1").is_empty());

    let code = world.code(again);
    assert!(
        world.is_answered(again) || code == Some(Code::InProgress),
        "{code:?}"
    );
    assert!(swept);
    assert_eq!(world.bills("job-1").len(), 1);
}

#[test]
fn a_drain_serves_on_then_refuses_then_leaves_with_nothing_behind() {
    // Guards against a cancelled stream, a lost bill or an allowance not returned when an instance drains.
    let mut world = warm_world(24);
    world.backend.reactions.push_back(Reaction::RunFor(4_000));
    let long = world.submit(0, "long-1");
    world.run_for(100);

    world.terminate(0);
    let early = world.submit(0, "early-1");
    world.run_for(2_000);
    let late = world.submit(0, "late-1");
    let left = world.run_until(60_000, |world| world.members[0].has_exited);

    assert!(left);
    assert!(world.is_answered(long) && world.is_answered(early));
    assert_eq!(world.code(late), Some(Code::Draining));
    assert_eq!(world.bills("long-1").len(), 1);
    assert!(!world.budget().grants.contains_key("entry-0.1"));
    assert!(leave(&mut world));
    assert_eq!(world.budget().spent, world.charged());
}

#[test]
fn a_drain_during_an_outage_of_the_table_hands_its_bills_over() {
    // Guards against losing the bills of an instance that drains while the table is unavailable.
    let mut world = warm_world(25);
    world.table.fault().set_down(true);
    let ticket = world.submit(0, "job-1");
    world.run_for(1_500);
    world.terminate(0);
    world.run_for(10_000);
    world.kill(0);
    world.table.fault().set_down(false);

    let billed = world.run_until(90_000, |world| !world.bills("job-1").is_empty());

    assert!(world.is_answered(ticket) && billed);
    assert_eq!(world.bills("job-1").len(), 1);
    let settled = world.run_until(90_000, |world| {
        !world.budget().grants.contains_key("entry-0.1")
    });
    assert!(settled, "{:?}", world.budget());
    assert!(
        world.run_until(20_000, is_settled),
        "{:#?}",
        world.summaries()
    );
    assert!(leave(&mut world), "{:#?}", world.summaries());
    assert_eq!(world.budget().spent, world.charged());
}

#[test]
fn a_lost_reply_of_the_table_neither_doubles_nor_strands_anything() {
    let mut world = world(26);
    for number in 0..20 {
        world.table.fault().lose_next_replies(2);
        world.submit(number % 3, &format!("job-{number}"));
        world.run_for(400);
    }
    world.table.fault().lose_next_replies(0);

    assert!(world.run_until(20_000, is_settled));
    for number in 0..20 {
        assert_eq!(
            world.bills(&format!("job-{number}")).len(),
            1,
            "job-{number}"
        );
    }
    assert!(leave(&mut world));
    assert_eq!(world.budget().spent, world.charged());
}

#[test]
fn a_document_never_goes_back_to_an_older_version() {
    // Guards against applying an older document on a node that reads late or does not reach its peers.
    let mut world = world(27);
    let mut before = document(PREPAID, 8);
    world.loss = 300;
    for step in 1..=4 {
        let after = document(PREPAID + step * 1_000, 8);
        world.accept(&before, &after);
        before = after;
        if step % 2 == 0 {
            world.pause(1, 3_000);
        }
        world.run_for(700);
    }
    let arrived = world.run_until(20_000, |world| {
        let versions = world.members.iter().map(|member| member.versions.last());
        versions.into_iter().all(|last| last == Some(&Version(5)))
    });

    assert!(arrived);
    for member in &world.members {
        assert!(member.versions.is_sorted(), "{:?}", member.versions);
    }
}

#[test]
fn a_withdrawn_claim_never_blocks_the_request() {
    // Guards against a request that stays in progress forever after its caller disconnected. Its claim arrives
    // after its own release, or is granted after it, and is never released.
    let mut world = world(28);
    world.loss = 100;
    let mut tickets = Vec::new();
    for number in 0..60 {
        let id = format!("job-{number}");
        let first = world.call(number % 3, &id, number % 2 == 0);
        world.run_for(number as u64 % 7);
        world.withdraw(first);
        tickets.push((id, first));
    }
    world.loss = 0;
    world.run_for(20_000);

    for (number, (id, first)) in tickets.into_iter().enumerate() {
        if !world.requests[&first].runs.is_empty() {
            continue;
        }
        let again = world.call((number + 1) % 3, &id, number % 2 == 0);
        world.run_until(5_000, |world| {
            world.is_answered(again) || world.code(again).is_some()
        });
        assert!(world.is_answered(again), "{id}: {:?}", world.code(again));
    }
    assert!(world.run_until(20_000, is_settled));
}

#[test]
fn answers_lost_before_delivery_run_again_whatever_the_order_of_messages() {
    // Guards against a request that is refused because of its own first attempt: the claim for the second
    // attempt arrives before the release of the first. Each world has few enough requests to stay within the
    // retry budget.
    for seed in 40..46 {
        let mut world = world(seed);
        for number in 0..8 {
            world.backend.reactions.push_back(Reaction::LoseResponse);
            let ticket = world.submit(number % 3, &format!("job-{number}"));
            world.run_until(10_000, |world| {
                world.is_answered(ticket) || world.code(ticket).is_some()
            });
            assert!(
                world.is_answered(ticket),
                "{seed} {:?}",
                world.requests[&ticket]
            );
            world.run_for(300);
        }
        assert!(world.run_until(20_000, is_settled));
        assert!(world.doubly_billed().is_empty());
    }
}

#[test]
fn an_answer_broken_off_late_is_billed_once_for_what_it_used() {
    let mut world = world(30);
    world.backend.reactions.push_back(Reaction::BreakAfterRun);
    world.submit(0, "job-1");

    assert!(world.run_until(10_000, is_settled));
    let cost = world.backend.cost("job-1");
    assert_eq!(world.bills("job-1"), [cost.0]);
    assert_eq!(
        world
            .backend
            .sends(RequestKey::new("signwise", "job-1").digest()),
        1
    );
}

#[test]
fn a_whole_fleet_that_leaves_at_once_bills_what_was_open() {
    // Guards against a drain of the whole fleet that hangs until its limit and leaves bills in doubt, because
    // no instance is eligible for slots any more and none can record the bills.
    let mut world = warm_world(31);
    for number in 0..9 {
        world
            .backend
            .reactions
            .push_back(Reaction::RunFor(2_000 + 300 * number));
        world.submit(number as usize % 3, &format!("job-{number}"));
    }
    world.run_for(100);

    let left = leave(&mut world);

    assert!(left, "{:#?}", world.summaries());
    for number in 0..9 {
        assert_eq!(
            world.bills(&format!("job-{number}")).len(),
            1,
            "job-{number}"
        );
    }
    assert!(world.budget().grants.is_empty());
    assert_eq!(world.budget().spent, world.charged());
}

#[test]
fn a_claim_of_a_node_that_dies_before_it_has_money_costs_nothing() {
    // Guards against a group's bills that exceed the grants of its routers. A router claims, terminates before
    // it has drawn an allowance, and the sweep bills its open claim at the hold.
    for wait in 0..20 {
        let mut world = world(50);
        world.submit(0, "job-1");
        world.call(0, "file-1", false);
        world.run_for(wait);
        world.kill(0);

        // Longer than the lease, the lag of the instance list and the sweep.
        world.run_for(20_000);
        let swept = world.run_until(90_000, |world| {
            let summaries = world.summaries();
            let mut gone = summaries
                .iter()
                .map(|summary| summary.terminated.is_empty());
            gone.all(|is_gone| is_gone) && !world.budget().grants.contains_key("entry-0.1")
        });

        assert!(swept, "{wait} {:#?}", world.summaries());
        assert!(leave(&mut world));
        assert_eq!(
            world.budget().spent,
            world.charged(),
            "killed after {wait} ms"
        );
    }
}

#[test]
fn a_node_that_restarts_under_its_name_settles_what_its_last_start_left() {
    // Guards against attributing the allowance or streams of the previous process to its successor, or to no
    // holder.
    let mut world = warm_world(32);
    world.backend.reactions.push_back(Reaction::RunFor(2_000));
    world.submit(0, "job-1");
    world.run_for(500);
    let cost = world.backend.cost("job-1");
    world.kill(0);
    world.run_for(300);
    world.restart(0);

    let swept = world.run_until(90_000, |world| {
        !world.bills("job-1").is_empty() && !world.budget().grants.contains_key("entry-0.1")
    });
    let next = world.submit(0, "job-2");
    world.run_until(10_000, |world| world.is_answered(next));

    assert!(swept, "{:#?} {:?}", world.summaries(), world.budget());
    assert!(world.is_answered(next), "{:?}", world.code(next));
    assert_eq!(world.bills("job-1"), [cost.0]);
    assert!(leave(&mut world));
    assert_eq!(world.budget().spent, world.charged());
}

#[test]
fn a_fleet_that_restarts_at_once_with_the_table_slow_recovers_and_settles() {
    // Guards against streams of the old processes that are settled never or twice after a full restart.
    let mut world = warm_world(33);
    for number in 0..9 {
        world.submit(number % 3, &format!("job-{number}"));
    }
    world.run_for(30);
    for node in 0..3 {
        world.kill(node);
    }
    world.run_for(1_000);
    world.table.fault().set_down(true);
    for node in 0..3 {
        world.restart(node);
    }
    world.run_for(4_000);
    world.table.fault().set_down(false);

    let swept = world.run_until(120_000, |world| {
        let budget = world.budget();
        let mut holders = budget.grants.keys();
        holders.all(|holder| holder.ends_with(".2")) && world.open() == (Tokens::ZERO, 0)
    });
    let next = world.submit(1, "job-10");
    world.run_until(10_000, |world| world.is_answered(next));
    world.run_until(10_000, is_settled);

    assert!(swept, "{:#?} {:?}", world.summaries(), world.budget());
    assert!(world.is_answered(next), "{:?}", world.code(next));
    assert!(world.doubly_billed().is_empty());
    let used: Tokens = world
        .backend
        .streams
        .values()
        .map(|stream| stream.cost)
        .sum();
    assert_eq!(world.charged(), used);
    assert!(leave(&mut world));
    assert_eq!(world.budget().spent, world.charged());
}

#[test]
fn without_the_table_a_spent_allowance_is_not_called_a_spent_budget() {
    // Guards against a refusal for an exhausted budget while the budget's state cannot be read.
    let mut world = warm_world(34);
    world.table.fault().set_down(true);
    let mut codes = Vec::new();
    for number in 0..200 {
        let ticket = world.submit(0, &format!("job-{number}"));
        world.run_for(60);
        codes.push(ticket);
    }
    world.run_for(5_000);
    let codes: Vec<Code> = codes
        .iter()
        .filter_map(|ticket| world.code(*ticket))
        .collect();
    world.table.fault().set_down(false);

    assert!(!codes.is_empty());
    assert!(
        codes.iter().all(|code| *code == Code::BudgetUnknown),
        "{codes:?}"
    );
    assert!(world.run_until(60_000, is_settled));
    assert!(leave(&mut world));
    assert_eq!(world.budget().spent, world.charged());
}

#[test]
fn streams_on_a_server_that_left_the_document_are_settled_too() {
    // Guards against freeing a grant that a stream still spends. The stream's router terminated, and its server
    // was removed from the document before the sweep listed the streams of the document's servers.
    let mut world = warm_world(35);
    world.backend.reactions.push_back(Reaction::RunFor(12_000));
    let ticket = world.submit(0, "job-1");
    world.run_for(500);
    let cost = world.backend.cost("job-1");
    let server = world.requests[&ticket].runs[0].1.server.clone();
    let before = document(PREPAID, 8);
    let mut after = before.clone();
    after.servers.retain(|known| known.name != server);
    for group in &mut after.groups {
        group.reach.retain(|name| *name != server);
    }
    world.accept(&before, &after);
    world.run_for(4_000);
    world.kill(0);

    let swept = world.run_until(90_000, |world| {
        !world.budget().grants.contains_key("entry-0.1")
    });

    assert!(swept);
    assert_eq!(world.bills("job-1"), [cost.0]);
    assert!(leave(&mut world));
    assert_eq!(world.budget().spent, world.charged());
}

/// Guards against a request that crashes one backend server after another, since each try has its own id.
#[test]
fn a_request_whose_answers_are_lost_again_and_again_is_sent_no_more() {
    let mut world = World::new(1, &document(PREPAID, 8), 31);
    world.run_for(3_000);
    world.backend.reactions = [Reaction::LoseResponse; 20].into();

    let mut last = None;
    for number in 0..6 {
        let ticket = world.submit(0, &format!("crashing-{number}"));
        world.run_for(3_000);
        last = world.requests[&ticket].refused.clone();
    }

    let (_, refusal) = last.expect("the last one was refused");
    assert_eq!(refusal.code, Code::Quarantined);
    assert_eq!(world.backend.sent.len(), 3);
}
