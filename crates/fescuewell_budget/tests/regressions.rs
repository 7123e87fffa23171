//! Step-by-step regression tests for failures that the random schedules of `faults.rs` found or
//! that the design has to rule out.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::fleet::{Fault, Fleet};
use common::node::GROUPS;
use fescuewell_budget::reclaim::Reclaim;
use fescuewell_budget::{Message, Notification, Shortage};
use fescuewell_core::prelude::*;
use fescuewell_core::table::{Error, Reply, Step, Table, execute};

fn fleet(prepaid: u64) -> Fleet {
    Fleet::new(3, Tokens(prepaid), 11)
}

fn granted(fleet: &Fleet, node: usize) -> Tokens {
    let budget = fleet.table.budget(GROUPS[0]);
    let grant = budget.grants.get(&fleet.nodes[node].holder);
    grant.map(|grant| grant.granted).unwrap_or_default()
}

fn idle(fleet: &Fleet, node: usize) -> Tokens {
    let lines = fleet.nodes[node].ledger.snapshot();
    lines.first().map(|line| line.idle).unwrap_or_default()
}

#[test]
fn a_draw_whose_reply_is_lost_is_not_made_twice() {
    // Guards against an orphaned allowance in the row: a draw takes effect, its reply is lost, and
    // the holder draws again instead of checking the row for its draw id.
    let mut fleet = fleet(10_000);
    fleet.request(0, 0, Tokens(500));
    fleet.step(0, Fault::None);

    fleet.step(0, Fault::ReplyLost);
    let drawn = granted(&fleet, 0);
    fleet.recover();

    assert!(drawn >= Tokens(500));
    assert_eq!(granted(&fleet, 0), drawn);
    assert_eq!(fleet.granted, 1);
}

#[test]
fn a_draw_that_never_arrived_is_made_again() {
    // Guards against a request that waits forever: the transaction is lost in transit, the rows
    // read back are unchanged, and the ledger has to send the same transaction again.
    let mut fleet = fleet(10_000);
    fleet.request(0, 0, Tokens(500));
    fleet.step(0, Fault::None);

    fleet.step(0, Fault::RequestLost);
    fleet.recover();

    assert_eq!(fleet.granted, 1);
}

#[test]
fn a_return_that_arrives_late_is_not_spent_twice() {
    // Guards against overspending by the amount of a return: the return is delayed and its outcome
    // unknown, the holder reads the row unchanged and spends the amount, and then the return
    // arrives and another holder draws it.
    let mut fleet = fleet(1_000);
    fleet.request(0, 0, Tokens(900));
    fleet.round();
    fleet.release(0, 0);
    fleet.request(1, 0, Tokens(900));
    fleet.step(1, Fault::None);
    fleet.step(1, Fault::None);
    fleet.deliver(0, false);

    fleet.step(0, Fault::Delayed);
    assert_eq!(idle(&fleet, 0), Tokens::ZERO);
    fleet.advance(200);
    fleet.step(0, Fault::None);
    assert_eq!(idle(&fleet, 0), Tokens::ZERO);
    fleet.deliver_delayed(0);
    fleet.check();
    fleet.recover();

    assert_eq!(fleet.used(0), Tokens(900));
}

#[test]
fn the_table_s_return_is_noticed_when_nothing_else_is_due() {
    // Guards against endless "unknown" refusals after a short outage: a read fails and its request
    // is refused. With nothing else due, no further operation is issued and the table counts as
    // down.
    let mut fleet = fleet(1_000);
    fleet.request(0, 0, Tokens(1));
    fleet.step(0, Fault::ReplyLost);
    fleet.advance(3_000);
    fleet.step(0, Fault::ReplyLost);

    fleet.request(0, 0, Tokens(1));
    fleet.recover();

    assert!(fleet.is_granted(0, 0, Tokens(1), 50));
}

#[test]
fn a_dead_holder_s_draw_does_not_land_behind_the_reclaim() {
    // Guards against lost tokens: a holder dies with a draw in transit, the reclaim passes the row,
    // which has no grant yet, and then the draw takes effect without an owner.
    let mut fleet = fleet(1_000);
    fleet.request(2, 0, Tokens(100));
    fleet.step(2, Fault::None);
    fleet.step(2, Fault::Delayed);

    fleet.kill(2);
    fleet.recover();

    assert!(fleet.is_granted(0, 0, Tokens(1_000), 100));
}

#[test]
fn a_holder_that_was_declared_ended_stops_spending() {
    // Guards against overspending by a running holder that the instance list reports as terminated.
    // Its idle tokens were freed and drawn by another holder; its next write must fail on the
    // fence.
    let mut fleet = fleet(1_000);
    fleet.request(0, 0, Tokens(400));
    fleet.round();
    fleet.release(0, 0);
    let holder = fleet.nodes[0].holder.clone();
    let mut reclaim = Reclaim::new(holder, &[], 1);
    while let Some(step) = reclaim.next_step(fleet.now) {
        reclaim.reply(fleet.now, execute(&fleet.table, &step));
    }

    let now = fleet.now + Duration::from_secs(20);
    let group = GroupKey(0);
    let ledger = &mut fleet.nodes[0].ledger;
    let first = ledger.hold(now, group, Tokens(900));
    while let Some(step) = ledger.next_step(now) {
        ledger.reply(now, execute(&fleet.table, &step));
    }

    assert!(reclaim.is_done());
    assert_eq!(first, Err(Shortage::Pending));
    assert!(
        ledger
            .take_notifications()
            .contains(&Notification::Lost(group))
    );
    assert!(matches!(
        ledger.hold(now, group, Tokens(1)),
        Err(Shortage::Unknown { .. })
    ));
}

#[test]
fn exhausted_is_not_said_when_a_third_holder_drew_meanwhile() {
    // Guards against "exhausted" while another instance has idle tokens: the first holder returns
    // everything, and a third holder, not in the row when the recall started, draws it.
    let mut fleet = fleet(180);
    fleet.request(0, 0, Tokens(126));
    fleet.round();
    fleet.release(0, 0);
    fleet.advance(10_000);
    fleet.request(1, 0, Tokens(56));
    fleet.request(1, 0, Tokens(125));
    fleet.request(2, 0, Tokens(55));

    fleet.recover();

    let exhausted = fleet.refused.iter();
    let exhausted = exhausted.filter(|refused| refused.shortage == Shortage::Exhausted);
    assert_eq!(exhausted.count(), 0);
}

#[test]
fn exhausted_is_not_said_from_an_old_view() {
    // Guards against "exhausted" right after a top-up: the process pauses between reading the row
    // and refusing, and the top-up arrives during the pause.
    let mut fleet = fleet(100);
    fleet.request(0, 0, Tokens(101));
    fleet.step(0, Fault::None);
    fleet.top_up(0, Tokens(1));

    fleet.advance(10_000);
    fleet.recover();

    assert_eq!(fleet.granted, 1);
}

#[test]
fn a_silent_holder_makes_the_refusal_say_in_use() {
    // Guards against "exhausted" while tokens are only unreachable: a holder with idle tokens does
    // not reply to the recall, and whether it has terminated is unknown here.
    let mut fleet = fleet(100);
    fleet.request(0, 0, Tokens(100));
    fleet.round();
    fleet.nodes[0].is_paused = true;

    fleet.request(1, 0, Tokens(50));
    for _ in 0..100 {
        fleet.round();
    }

    let shortage = fleet.refused[0].shortage;
    assert!(matches!(shortage, Shortage::InUse { .. }), "{shortage:?}");
}

#[test]
fn exhausted_ends_with_a_top_up() {
    // Guards against refusals that continue after a top-up: the refusal is cached and repeated
    // without reading the row, but only for a limited time.
    let mut fleet = fleet(100);
    fleet.request(0, 0, Tokens(100));
    fleet.round();
    fleet.settle(0, 0, 100);
    fleet.bill(0, 0, false);
    fleet.request(0, 0, Tokens(10));
    fleet.round();
    assert_eq!(fleet.refused[0].shortage, Shortage::Exhausted);

    let before = fleet.table.counts().reads;
    for _ in 0..100 {
        fleet.request(0, 0, Tokens(10));
    }
    assert_eq!(fleet.table.counts().reads, before);
    fleet.top_up(0, Tokens(10));

    assert!(fleet.is_granted(0, 0, Tokens(10), 50));
}

#[test]
fn an_outage_is_survived_from_the_allowance() {
    // Guards against refusals as soon as the table is down. The allowance drawn in advance has to
    // last; after that the refusal must be "unknown" and not "exhausted".
    let mut fleet = fleet(1_000_000);
    for _ in 0..200 {
        fleet.request(0, 1, Tokens(100));
        fleet.round();
        fleet.settle(0, 0, 100);
        fleet.bill(0, 0, false);
    }
    let before = fleet.granted;

    fleet.nodes[0].is_cut_off = true;
    let mut at_first_refusal = None;
    for second in 0..600 {
        fleet.advance(1_000);
        for _ in 0..20 {
            fleet.request(0, 1, Tokens(100));
        }
        fleet.step(0, Fault::None);
        if !fleet.refused.is_empty() {
            at_first_refusal.get_or_insert(second);
        }
    }

    assert!(fleet.granted > before);
    assert!(
        at_first_refusal.is_some_and(|second| second >= 110),
        "{at_first_refusal:?}"
    );
    let shortage = fleet.refused[0].shortage;
    assert!(matches!(shortage, Shortage::Unknown { .. }), "{shortage:?}");
}

#[test]
fn a_repeated_or_foreign_message_moves_no_money() {
    // Guards against messages that change the available tokens. Messages may be duplicated, late,
    // or from holders that were never asked; only the table may change what can be spent.
    let mut fleet = fleet(1_000);
    fleet.request(0, 0, Tokens(100));
    fleet.round();
    let stranger: Arc<str> = "entry-9.1".into();
    let recalled = Message::Recalled {
        group: GROUPS[0].into(),
        returned: Tokens(1_000_000),
        in_use: Tokens::ZERO,
    };

    let before = idle(&fleet, 0);
    let now = fleet.now;
    fleet.nodes[0]
        .ledger
        .receive(now, stranger.clone(), recalled.clone());
    fleet.nodes[0].ledger.receive(now, stranger, recalled);

    assert_eq!(idle(&fleet, 0), before);
    fleet.check();
}

#[test]
fn a_reclaim_whose_replies_are_lost_frees_each_grant_once() {
    // Guards against counting the spending of a terminated holder twice: the removal takes effect,
    // its reply is lost, and the reclaim repeats it.
    let mut fleet = fleet(1_000);
    fleet.request(0, 0, Tokens(300));
    fleet.round();
    fleet.settle(0, 0, 100);
    fleet.kill(0);

    for _ in 0..40 {
        fleet.advance(3_000);
        fleet.reclaim(0, Fault::ReplyLost);
        fleet.advance(3_000);
        fleet.reclaim(0, Fault::None);
    }

    let budget = fleet.table.budget(GROUPS[0]);
    assert!(fleet.reclaims[0].is_done());
    assert_eq!(budget.spent, Tokens(300));
    assert!(budget.grants.is_empty());
}

#[test]
fn a_group_without_a_row_is_unknown() {
    // Guards against "exhausted" for a group whose row the console has not written yet.
    let mut fleet = fleet(1_000);
    let policy = fescuewell_budget::Policy {
        key: GroupKey(7),
        name: "brolga-access".into(),
        outage: Duration::from_secs(60),
        share_percent: 10,
        min_allowance: Tokens(10),
    };
    let now = fleet.now;
    let ledger = &mut fleet.nodes[0].ledger;
    ledger.set_groups(now, &[policy]);

    assert_eq!(
        ledger.hold(now, GroupKey(7), Tokens(1)),
        Err(Shortage::Pending)
    );
    let step = ledger.next_step(now).unwrap();
    ledger.reply(now, execute(&fleet.table, &step));

    let retry_after = Duration::from_secs(1);
    let shortage = Shortage::Unknown { retry_after };
    assert_eq!(
        ledger.take_notifications(),
        [Notification::Refused(GroupKey(7), shortage)]
    );
}

#[test]
fn ledgers_spread_out_when_the_table_returns() {
    // Guards against overloading a recovered table: all instances fail at the same time and must
    // not retry at the same time.
    let mut fleet = Fleet::new(9, Tokens(100_000), 11);
    for node in 0..9 {
        fleet.request(node, 0, Tokens(10));
        for _ in 0..6 {
            let now = fleet.now;
            let ledger = &mut fleet.nodes[node].ledger;
            if ledger.next_step(now).is_some() {
                ledger.reply(now, Reply::Failed(Error::Busy));
            }
            fleet.advance(5_000);
        }
        fleet.now = Instant::from_millis(1_000);
    }

    // Every ledger has just failed for the sixth time; find the tick at which each one retries.
    let start = Instant::from_millis(1_000) + Duration::from_secs(25);
    let mut retries_per_tick = vec![0; 41];
    for node in &mut fleet.nodes {
        let tick = (0..41).find(|tick| {
            let now = start + Duration::from_millis(50) * *tick;
            node.ledger.next_step(now).is_some()
        });
        retries_per_tick[tick.expect("no pause is longer than two seconds") as usize] += 1;
    }

    assert!(
        retries_per_tick.iter().all(|&count| count <= 4),
        "{retries_per_tick:?}"
    );
}

#[test]
fn many_groups_share_one_transaction() {
    // Guards against table writes that grow with the number of budgets. Draws due at the same time
    // must be batched.
    let mut fleet = fleet(1_000);
    let names: Vec<String> = (0..70).map(|index| format!("salon-{index}")).collect();
    let policies: Vec<fescuewell_budget::Policy> = names
        .iter()
        .enumerate()
        .map(|(index, name)| fescuewell_budget::Policy {
            key: GroupKey(index as u32),
            name: name.as_str().into(),
            outage: Duration::from_secs(20),
            share_percent: 5,
            min_allowance: Tokens(10),
        })
        .collect();
    for name in &names {
        fleet.table.top_up(name, Tokens(1_000));
    }
    let before = fleet.table.counts();
    let now = fleet.now;
    let ledger = &mut fleet.nodes[0].ledger;
    ledger.set_groups(now, &policies);

    for policy in &policies {
        assert_eq!(
            ledger.hold(now, policy.key, Tokens(5)),
            Err(Shortage::Pending)
        );
    }
    while let Some(step) = ledger.next_step(now) {
        if let Step::Commit(transaction) = &step {
            assert!(transaction.writes.len() <= 33);
        }
        ledger.reply(now, execute(&fleet.table as &dyn Table, &step));
    }

    assert_eq!(fleet.table.counts().commits - before.commits, 3);
    let funded = ledger.take_notifications().into_iter();
    assert_eq!(
        funded
            .filter(|notification| matches!(notification, Notification::Funded(_)))
            .count(),
        70
    );
}
