//! Writes of a process that take effect after the next process of the same holder has started.

mod common;

use std::sync::Arc;

use common::{ACCOUNT, Cluster, WriteOutcome};
use fescuewell_forward::quota::HoldOutcome;
use proptest::prelude::*;

const INSTANCES: usize = 3;
const PREPAID: u64 = 60_000;
const REQUEST_TOKENS: u64 = 1_000;

/// Creates a cluster of running instances, the first with a grant of more than it has used.
fn started_cluster() -> Cluster {
    let mut cluster = Cluster::new(INSTANCES, PREPAID);
    for index in 0..INSTANCES {
        cluster.adopt(index, WriteOutcome::Committed);
    }
    for _ in 0..3 {
        for index in 0..INSTANCES {
            cluster.hold(index, REQUEST_TOKENS);
            cluster.settle(index, 100);
        }
        round(&mut cluster, &[0, 1, 2]);
    }
    cluster.read_ledger(0);
    let account = cluster.instances[0].quota.account(ACCOUNT);
    assert!(account.is_some_and(|account| account.remaining() >= 10 * REQUEST_TOKENS));
    cluster
}

/// Makes instances plan and write their journals, as they do each second.
fn round(cluster: &mut Cluster, who: &[usize]) {
    cluster.store.now_ms += 500;
    for index in who {
        cluster.publish_status(*index);
    }
    for index in who {
        cluster.exchange_usage(*index);
        cluster.plan(*index, WriteOutcome::Committed);
        cluster.write_journal(*index, WriteOutcome::Committed);
    }
}

/// Makes requests at one instance until one gets no tokens.
fn spend(cluster: &mut Cluster, index: usize, outcome: WriteOutcome) {
    for _ in 0..PREPAID / REQUEST_TOKENS {
        if cluster.hold(index, REQUEST_TOKENS) == HoldOutcome::Held {
            continue;
        }
        cluster.exchange_usage(index);
        cluster.plan(index, outcome);
        cluster.write_journal(index, WriteOutcome::Committed);
        if cluster.hold(index, REQUEST_TOKENS) != HoldOutcome::Held {
            return;
        }
    }
}

/// Makes the other instances use what appears to be left, while the store does not answer the first one.
fn spend_rest(cluster: &mut Cluster) {
    for _ in 0..20 {
        round(cluster, &[1, 2]);
        for index in 1..INSTANCES {
            spend(cluster, index, WriteOutcome::Committed);
        }
    }
}

fn assert_not_overspent(cluster: &Cluster) {
    let used = cluster.total_used();
    assert!(used <= PREPAID, "{used} of {PREPAID} tokens");
}

/// Guards against tokens that are spent twice: an instance returns them by a write without a response and
/// ends, the next process spends them, and then the write takes effect.
#[test]
fn a_return_that_takes_effect_after_the_next_start_takes_no_tokens_twice() {
    let mut cluster = started_cluster();
    cluster.stop(0, 300, WriteOutcome::Delayed);
    cluster.adopt(0, WriteOutcome::Committed);

    // The store does not answer this instance.
    spend(&mut cluster, 0, WriteOutcome::Rejected);
    cluster.store.deliver_write();
    spend_rest(&mut cluster);

    assert_not_overspent(&cluster);
}

/// Guards against the same by a return of an instance that is killed.
#[test]
fn a_return_that_takes_effect_after_a_kill_takes_no_tokens_twice() {
    let mut cluster = started_cluster();
    spend(&mut cluster, 0, WriteOutcome::Committed);
    cluster.store.now_ms += 60_000;
    while !cluster.instances[0].held.is_empty() {
        // What the requests did not use is returned.
        cluster.settle(0, 10);
    }
    cluster.write_journal(0, WriteOutcome::Committed);
    cluster.read_ledger(0);
    cluster.exchange_usage(0);
    cluster.plan(0, WriteOutcome::Delayed);
    cluster.restart(0, 300);
    cluster.adopt(0, WriteOutcome::Committed);

    spend(&mut cluster, 0, WriteOutcome::Rejected);
    cluster.store.deliver_write();
    spend_rest(&mut cluster);

    assert_not_overspent(&cluster);
}

/// Guards against the same over two starts in a row: the process in between does not reach the store again
/// after its journal.
#[test]
fn a_return_that_takes_effect_after_two_starts_takes_no_tokens_twice() {
    let mut cluster = started_cluster();
    cluster.stop(0, 300, WriteOutcome::Delayed);
    cluster.adopt(0, WriteOutcome::Committed);
    cluster.restart(0, 300);
    cluster.adopt(0, WriteOutcome::Committed);

    spend(&mut cluster, 0, WriteOutcome::Rejected);
    cluster.store.deliver_write();
    spend_rest(&mut cluster);

    assert_not_overspent(&cluster);
}

/// Guards against tokens that are locked up: the return before never takes effect, or does so late.
#[test]
fn what_was_announced_as_returned_is_used_again() {
    for is_delivered in [false, true] {
        let mut cluster = started_cluster();
        cluster.stop(0, 300, WriteOutcome::Delayed);
        cluster.adopt(0, WriteOutcome::Committed);
        if is_delivered {
            cluster.store.deliver_write();
        }

        for _ in 0..20 {
            round(&mut cluster, &[0, 1, 2]);
            for index in 0..INSTANCES {
                spend(&mut cluster, index, WriteOutcome::Committed);
            }
        }

        // Each instance may be left with less than a request.
        let unused = PREPAID - cluster.total_used();
        assert!(
            unused < INSTANCES as u64 * REQUEST_TOKENS,
            "{unused} unused, delivered: {is_delivered}"
        );
    }
}

/// Guards against a return that is sent while the journal in force does not announce it.
#[test]
fn a_return_waits_for_the_journal_that_announces_it() {
    let mut cluster = started_cluster();
    let row = cluster.store.ledger.version;
    cluster.instances[0].quota.begin_shutdown(0);

    cluster.plan_once(0, WriteOutcome::Committed);
    assert_eq!(cluster.store.ledger.version, row);
    assert!(cluster.instances[0].quota.has_unannounced_returns());
    // Its outcome is unknown.
    cluster.write_journal(0, WriteOutcome::Delayed);
    cluster.plan_once(0, WriteOutcome::Committed);
    assert_eq!(cluster.store.ledger.version, row);
    cluster.write_journal(0, WriteOutcome::Committed);
    cluster.plan_once(0, WriteOutcome::Committed);

    let row = cluster.store.ledger.clone();
    let ledger = row.content.unwrap();
    assert_eq!(ledger.granted("entry-0"), cluster.consumed(0));
    assert!(cluster.instances[0].quota.is_returned());
}

/// Makes an instance plan a return of tokens that is not announced yet, and returns its grant.
fn plan_return(cluster: &mut Cluster, index: usize) -> u64 {
    cluster.store.now_ms += 60_000;
    cluster.write_journal(index, WriteOutcome::Committed);
    cluster.read_ledger(index);
    cluster.exchange_usage(index);
    cluster.plan_once(index, WriteOutcome::Committed);
    assert!(cluster.instances[index].quota.has_unannounced_returns());
    cluster.row_grant(index)
}

/// Makes requests at one instance until its grant is used, with journals but without ledger writes.
fn spend_grant(cluster: &mut Cluster, index: usize) {
    let mut outcome = HoldOutcome::Held;
    while outcome != HoldOutcome::InsufficientGrant {
        outcome = cluster.hold(index, REQUEST_TOKENS);
        if matches!(outcome, HoldOutcome::RateLimited(_)) {
            cluster.write_journal(index, WriteOutcome::Committed);
        }
    }
}

/// Guards against refusals for want of tokens that an instance is about to return: it may spend them until
/// the return is sent, also after the journal has announced it.
#[test]
fn tokens_are_spent_until_their_return_is_sent() {
    let mut cluster = started_cluster();
    let granted = plan_return(&mut cluster, 0);

    spend_grant(&mut cluster, 0);

    let left = granted - cluster.consumed(0);
    assert!(left < REQUEST_TOKENS, "{left} of {granted} left");
}

/// Guards against tokens that nobody can use for the time between two reconciliations: an announced return is
/// sent by the next draw.
#[test]
fn an_announced_return_is_sent_without_waiting_for_the_next_reconciliation() {
    let mut cluster = started_cluster();
    let granted = plan_return(&mut cluster, 0);
    assert!(cluster.instances[0].quota.urgent_accounts().is_empty());

    cluster.write_journal(0, WriteOutcome::Committed);
    let urgent = cluster.instances[0].quota.urgent_accounts();
    cluster.plan_once(0, WriteOutcome::Committed);

    assert_eq!(urgent, [Arc::from(ACCOUNT)]);
    assert!(cluster.row_grant(0) < granted);
    assert!(cluster.instances[0].quota.urgent_accounts().is_empty());
}

/// Guards against tokens that are spent twice: an instance spends more than it has announced to keep, and
/// ends before it sends the return.
#[test]
fn a_return_that_was_announced_and_not_sent_hides_no_consumption() {
    let mut cluster = started_cluster();
    let granted = plan_return(&mut cluster, 0);
    spend_grant(&mut cluster, 0);
    assert!(granted - cluster.consumed(0) < REQUEST_TOKENS);
    cluster.restart(0, 300);
    cluster.adopt(0, WriteOutcome::Committed);

    for _ in 0..4 {
        round(&mut cluster, &[0, 1, 2]);
    }
    spend_rest(&mut cluster);

    assert_not_overspent(&cluster);
}

/// Guards against a restart that costs the store more writes than before in a large fleet: a return is
/// announced by the journal that is written at a stop anyway, and a start writes one journal.
#[test]
fn a_restart_costs_the_store_the_same_writes_in_a_small_and_a_large_fleet() {
    for instances in [9_u64, 985] {
        let mut cluster = Cluster::new(1, PREPAID);
        let others =
            (1..instances).map(|number| (Arc::from(format!("other-{number}")), Vec::new()));
        let others: Vec<_> = others.collect();
        cluster.adopt(0, WriteOutcome::Committed);
        for _ in 0..3 {
            cluster.store.now_ms += 500;
            cluster.hold(0, REQUEST_TOKENS);
            cluster.exchange_usage_with(0, &others);
            cluster.plan(0, WriteOutcome::Committed);
            cluster.write_journal(0, WriteOutcome::Committed);
        }

        let before = cluster.store.number;
        cluster.stop(0, 300, WriteOutcome::Committed);
        let stopped = cluster.store.number;
        cluster.adopt(0, WriteOutcome::Committed);
        let started = cluster.store.number;

        // Journal, ledger, journal; the first one is that of the stop request.
        assert!(
            stopped - before <= 3,
            "{} writes of a stop",
            stopped - before
        );
        assert_eq!(started - stopped, 1, "writes of a start");
    }
}

/// A simulated event.
#[derive(Debug, Clone)]
enum Event {
    Pass(u64),
    Hold(usize, u64),
    Spend(usize, WriteOutcome),
    Settle(usize, u64),
    Journal(usize, WriteOutcome),
    Plan(usize, WriteOutcome),
    PlanOnce(usize, WriteOutcome),
    BeginShutdown(usize),
    Stop(usize, u64, WriteOutcome),
    Kill(usize, u64),
    KillAll(u64),
    Adopt(usize, WriteOutcome),
    Late(usize),
    Loan(usize, usize, u64, WriteOutcome),
    LateAnswer,
}

fn outcome() -> impl Strategy<Value = WriteOutcome> {
    prop_oneof![
        6 => Just(WriteOutcome::Committed),
        1 => Just(WriteOutcome::ReplyLost),
        4 => Just(WriteOutcome::Delayed),
        1 => Just(WriteOutcome::Rejected),
    ]
}

fn event() -> impl Strategy<Value = Event> {
    let who = || 0..INSTANCES;
    prop_oneof![
        4 => (1u64..4_000).prop_map(Event::Pass),
        14 => (who(), 1u64..9_000).prop_map(|(who, tokens)| Event::Hold(who, tokens)),
        6 => (who(), outcome()).prop_map(|(who, outcome)| Event::Spend(who, outcome)),
        6 => (who(), 0u64..=100).prop_map(|(who, part)| Event::Settle(who, part)),
        5 => (who(), outcome()).prop_map(|(who, outcome)| Event::Journal(who, outcome)),
        6 => (who(), outcome()).prop_map(|(who, outcome)| Event::Plan(who, outcome)),
        6 => (who(), outcome()).prop_map(|(who, outcome)| Event::PlanOnce(who, outcome)),
        1 => who().prop_map(Event::BeginShutdown),
        6 => (who(), 0u64..3_000, outcome()).prop_map(|(who, down, outcome)| Event::Stop(who, down, outcome)),
        3 => (who(), 0u64..3_000).prop_map(|(who, down)| Event::Kill(who, down)),
        1 => (0u64..3_000).prop_map(Event::KillAll),
        16 => (who(), outcome()).prop_map(|(who, outcome)| Event::Adopt(who, outcome)),
        3 => (0usize..4).prop_map(Event::Late),
        3 => (who(), who(), 1u64..9_000, outcome()).prop_map(|(who, lender, tokens, outcome)| Event::Loan(who, lender, tokens, outcome)),
        1 => Just(Event::LateAnswer),
    ]
}

fn apply(cluster: &mut Cluster, event: &Event) {
    match *event {
        Event::Pass(ms) => cluster.store.now_ms += ms,
        Event::Hold(who, tokens) => {
            cluster.hold(who, tokens);
        }
        Event::Spend(who, outcome) => spend(cluster, who, outcome),
        Event::Settle(who, percent) => cluster.settle(who, percent),
        Event::Journal(who, outcome) => cluster.write_journal(who, outcome),
        Event::Plan(who, outcome) => {
            cluster.exchange_usage(who);
            cluster.plan(who, outcome);
        }
        Event::PlanOnce(who, outcome) => {
            cluster.exchange_usage(who);
            cluster.plan_once(who, outcome);
        }
        Event::BeginShutdown(who) => cluster.instances[who].quota.begin_shutdown(0),
        Event::Stop(who, down_ms, outcome) => cluster.stop(who, down_ms, outcome),
        Event::Kill(who, down_ms) => cluster.restart(who, down_ms),
        Event::KillAll(down_ms) => {
            for who in 0..INSTANCES {
                cluster.restart(who, down_ms / INSTANCES as u64);
            }
        }
        Event::Adopt(who, outcome) => cluster.adopt(who, outcome),
        Event::Late(age) => cluster.store.deliver_write_of(age),
        Event::Loan(who, lender, tokens, outcome) => {
            cluster.borrow(who, lender, tokens, outcome);
            cluster.hold(who, tokens);
        }
        Event::LateAnswer => cluster.deliver_response(),
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1_000, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(71), ..ProptestConfig::default() })]

    /// Guards against spending more than the total while late writes of any kind take effect over stops,
    /// kills of one and of all processes, and starts in a row.
    #[test]
    fn never_more_than_prepaid_with_late_writes(events in prop::collection::vec(event(), 1..80)) {
        let mut cluster = started_cluster();
        for event in &events {
            apply(&mut cluster, event);
            prop_assert!(cluster.total_used() <= PREPAID, "{} of {PREPAID} in {ACCOUNT}", cluster.total_used());
        }
        // Spends everything that is or appears to be unallocated.
        for index in 0..INSTANCES {
            cluster.adopt(index, WriteOutcome::Committed);
        }
        for _ in 0..12 {
            cluster.store.deliver_write();
            round(&mut cluster, &[0, 1, 2]);
            for index in 0..INSTANCES {
                spend(&mut cluster, index, WriteOutcome::Committed);
            }
            prop_assert!(cluster.total_used() <= PREPAID, "{} of {PREPAID} at the end", cluster.total_used());
        }
    }
}
