//! Tests of holds, settlements and bills of one ledger, and of the sizing of its allowances.

mod common;

use std::time::Duration;

use common::fleet::{Fault, Fleet};
use common::node::GROUPS;
use fescuewell_budget::sizing::{Inputs, target};
use fescuewell_budget::{HoldKey, Policy};
use fescuewell_core::prelude::*;

const GROUP: GroupKey = GroupKey(0);

/// Returns a fleet of one whose ledger has a hold of 400 out of 1,000 tokens.
fn with_hold() -> (Fleet, HoldKey) {
    let mut fleet = Fleet::new(1, Tokens(1_000), 5);
    fleet.request(0, 0, Tokens(400));
    fleet.round();
    let hold = fleet.nodes[0].open[0].key;
    (fleet, hold)
}

fn sums(fleet: &Fleet) -> (u64, u64, u64) {
    let line = &fleet.nodes[0].ledger.snapshot()[0];
    (line.held.0, line.owed.0, line.spent.0)
}

fn inputs(free: u64) -> Inputs {
    Inputs {
        rate: 10.0,
        others_rate: 90,
        mean_hold: Tokens(100),
        unallocated: Tokens(free),
        idle: Tokens::ZERO,
    }
}

fn policy() -> Policy {
    Policy {
        key: GROUP,
        name: GROUPS[0].into(),
        outage: Duration::from_secs(60),
        share_percent: 10,
        min_allowance: Tokens(200),
    }
}

#[test]
fn a_cost_above_the_hold_is_cut_to_it() {
    // Guards against overspending by a stream that was not stopped at its hold. No grant covers the
    // difference, so it must not be charged to the allowance.
    let (mut fleet, hold) = with_hold();
    let now = fleet.now;

    let owed = fleet.nodes[0].ledger.settle(now, hold, Tokens(500));

    assert_eq!(owed, Tokens(400));
    assert_eq!(sums(&fleet), (0, 400, 0));
}

#[test]
fn a_cost_stays_owed_until_its_bill_is_durable() {
    // Guards against spending tokens twice when a router dies between settlement and bill.
    let (mut fleet, hold) = with_hold();
    let now = fleet.now;

    fleet.nodes[0].ledger.settle(now, hold, Tokens(150));
    let before = sums(&fleet);
    fleet.nodes[0].ledger.bill_durable(now, hold, Tokens(150));

    assert_eq!(before, (0, 150, 0));
    assert_eq!(sums(&fleet), (0, 0, 150));
}

#[test]
fn an_absorbed_bill_frees_its_amount() {
    // Guards against charging a group twice for a request that two routers served. The second bill
    // is absorbed.
    let (mut fleet, hold) = with_hold();
    let now = fleet.now;

    fleet.nodes[0].ledger.settle(now, hold, Tokens(150));
    fleet.nodes[0].ledger.bill_durable(now, hold, Tokens::ZERO);

    assert_eq!(sums(&fleet), (0, 0, 0));
}

#[test]
fn a_hold_that_ended_cannot_end_again() {
    // Guards against idle tokens that grow with each repeated settlement or release of one request.
    let (mut fleet, hold) = with_hold();
    let now = fleet.now;
    let ledger = &mut fleet.nodes[0].ledger;

    ledger.release(now, hold);
    let idle = ledger.snapshot()[0].idle;
    ledger.release(now, hold);
    ledger.settle(now, hold, Tokens(10));
    ledger.bill_durable(now, hold, Tokens(10));

    assert_eq!(ledger.snapshot()[0].idle, idle);
    assert_eq!(sums(&fleet), (0, 0, 0));
}

#[test]
fn a_drain_keeps_what_is_owed_until_the_bill_is_durable() {
    // Guards against uncharged requests of a drained instance, whose grant is removed while a bill
    // is still in transit.
    let (mut fleet, hold) = with_hold();
    let now = fleet.now;
    fleet.nodes[0].ledger.settle(now, hold, Tokens(150));

    fleet.nodes[0].ledger.close(now);
    for _ in 0..20 {
        fleet.round();
    }
    let while_owed = fleet.table.budget(GROUPS[0]);
    assert!(!fleet.nodes[0].ledger.is_closed());
    let now = fleet.now;
    fleet.nodes[0].ledger.bill_durable(now, hold, Tokens(150));
    fleet.step(0, Fault::None);
    fleet.step(0, Fault::None);

    assert_eq!(while_owed.unallocated(), Tokens(850));
    assert!(fleet.nodes[0].ledger.is_closed());
    let after = fleet.table.budget(GROUPS[0]);
    assert_eq!((after.spent, after.grants.len()), (Tokens(150), 0));
}

#[test]
fn a_group_that_the_document_drops_gets_its_idle_money_back() {
    // Guards against tokens that stay with instances that no longer serve a group after it was
    // moved.
    let (mut fleet, hold) = with_hold();
    let now = fleet.now;
    fleet.nodes[0].ledger.release(now, hold);

    fleet.nodes[0].ledger.set_groups(now, &[]);
    for _ in 0..5 {
        fleet.round();
    }

    assert_eq!(fleet.table.budget(GROUPS[0]).unallocated(), Tokens(1_000));
}

#[test]
fn allowances_cover_the_outage_and_shrink_with_the_money() {
    // Guards against the last tokens being split into small amounts on many instances. An allowance
    // shrinks with the unallocated tokens.
    let policy = policy();

    let plenty = target(&policy, inputs(1_000_000));
    let less = target(&policy, inputs(5_000));
    let little = target(&policy, inputs(900));

    assert!(plenty >= Tokens(600), "{plenty}");
    assert!(less <= Tokens(500) && less >= Tokens(200), "{less}");
    assert_eq!(little, Tokens::ZERO);
}

#[test]
fn scarce_money_lies_where_the_callers_are() {
    // Guards against an outage that finds as many tokens on instances without callers as on busy
    // ones.
    let mut policy = policy();
    policy.share_percent = 50;
    policy.outage = Duration::from_secs(600);
    let busy = Inputs {
        rate: 90.0,
        others_rate: 10,
        ..inputs(10_000)
    };

    let quiet_target = target(&policy, inputs(10_000));
    let busy_target = target(&policy, busy);

    assert!(
        quiet_target.0 * 4 < busy_target.0,
        "{quiet_target} {busy_target}"
    );
}
