//! Grants after the store is restored from a backup that is a few seconds old.

mod common;

use common::{ACCOUNT, Cluster, WriteOutcome};
use fescuewell_forward::quota::HoldOutcome;
use fescuewell_forward::version;
use proptest::prelude::*;

const INSTANCES: usize = 3;
/// More than the time in milliseconds within which a live instance publishes its next status.
const HEARTBEAT_TIMEOUT_MS: u64 = 4_000;

/// Creates a cluster of running instances that have drawn no tokens yet.
fn started_cluster(prepaid: u64) -> Cluster {
    let mut cluster = Cluster::new(INSTANCES, prepaid);
    for index in 0..INSTANCES {
        cluster.adopt(index, WriteOutcome::Committed);
    }
    round(&mut cluster, &[0, 1, 2]);
    cluster
}

/// Makes instances publish their statuses, plan and write their journals, as they do each second.
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

/// Requests tokens for `count` requests on one instance, drawing more when needed. Returns how many
/// requests got theirs.
fn serve(cluster: &mut Cluster, index: usize, count: usize, tokens: u64) -> usize {
    let mut served = 0;
    for _ in 0..count {
        for _ in 0..3 {
            if cluster.hold(index, tokens) == HoldOutcome::Held {
                served += 1;
                break;
            }
            cluster.exchange_usage(index);
            cluster.plan(index, WriteOutcome::Committed);
            cluster.write_journal(index, WriteOutcome::Committed);
        }
    }
    served
}

/// Guards against spending more than the total: an instance draws and spends tokens, the store is
/// restored from an older backup, and another instance finds the same tokens unallocated.
#[test]
fn what_was_drawn_since_the_copy_is_not_drawn_again() {
    let mut cluster = started_cluster(100_000);
    let backup = cluster.store.backup();
    serve(&mut cluster, 0, 9, 10_000);

    cluster.store.restore(&backup);
    for _ in 0..20 {
        round(&mut cluster, &[0, 1, 2]);
        serve(&mut cluster, 1, 3, 10_000);
        serve(&mut cluster, 2, 3, 10_000);
    }

    assert!(
        cluster.total_used() <= 100_000,
        "{} tokens in use",
        cluster.total_used()
    );
}

/// Checks that the tokens actually left can be drawn once all instances have confirmed their
/// grants.
#[test]
fn what_is_left_is_drawn_after_a_while() {
    let mut cluster = started_cluster(100_000);
    let backup = cluster.store.backup();
    let before = serve(&mut cluster, 0, 3, 10_000);

    cluster.store.restore(&backup);
    cluster.store.now_ms += HEARTBEAT_TIMEOUT_MS;
    let mut after = 0;
    for _ in 0..20 {
        round(&mut cluster, &[0, 1, 2]);
        after += serve(&mut cluster, 1, 1, 10_000);
    }

    assert_eq!(before, 3);
    assert!(after >= 5, "{after} of 7 that were left");
    assert!(cluster.total_used() <= 100_000);
}

/// Guards against spending tokens twice: an instance draws and spends them and is killed, the store
/// is restored from an older backup, and the next process finds a journal without them.
#[test]
fn an_instance_that_died_in_the_lost_seconds_is_charged_for_all_that_it_may_have_drawn() {
    let mut cluster = started_cluster(100_000);
    let backup = cluster.store.backup();
    serve(&mut cluster, 0, 9, 10_000);

    cluster.store.restore(&backup);
    cluster.restart(0, 500);
    cluster.adopt(0, WriteOutcome::Committed);
    for _ in 0..20 {
        round(&mut cluster, &[0, 1, 2]);
        for index in 0..INSTANCES {
            serve(&mut cluster, index, 2, 10_000);
        }
    }

    assert!(
        cluster.total_used() <= 100_000,
        "{} tokens in use",
        cluster.total_used()
    );
}

/// Guards against the same failure with an instance that never returns.
#[test]
fn an_instance_that_is_gone_is_charged_for_all_that_it_may_have_drawn() {
    let mut cluster = started_cluster(100_000);
    let backup = cluster.store.backup();
    serve(&mut cluster, 0, 9, 10_000);

    cluster.store.restore(&backup);
    for _ in 0..30 {
        round(&mut cluster, &[1, 2]);
        serve(&mut cluster, 1, 2, 10_000);
        serve(&mut cluster, 2, 2, 10_000);
    }

    assert!(
        cluster.total_used() <= 100_000,
        "{} tokens in use",
        cluster.total_used()
    );
}

/// Guards against spending tokens twice: an instance that cannot reach the store during the restore
/// spends what others draw meanwhile.
#[test]
fn an_instance_that_missed_the_change_goes_by_its_own_grant() {
    let mut cluster = started_cluster(100_000);
    let backup = cluster.store.backup();
    serve(&mut cluster, 0, 2, 10_000);

    cluster.store.restore(&backup);
    for _ in 0..20 {
        round(&mut cluster, &[1, 2]);
        serve(&mut cluster, 1, 2, 10_000);
        while cluster.hold(0, 10_000) == HoldOutcome::Held {}
    }
    for _ in 0..10 {
        round(&mut cluster, &[0, 1, 2]);
        serve(&mut cluster, 0, 2, 10_000);
    }

    assert!(
        cluster.total_used() <= 100_000,
        "{} tokens in use",
        cluster.total_used()
    );
}

/// Guards against spending tokens twice: an instance returns tokens and another one draws them, but
/// the backup still shows them with the first one.
#[test]
fn what_was_given_back_is_not_spent_after_the_return_of_a_copy() {
    let mut cluster = started_cluster(100_000);
    serve(&mut cluster, 0, 2, 10_000);
    let backup = cluster.store.backup();
    for _ in 0..20 {
        cluster.settle(0, 0);
    }
    cluster.store.now_ms += 20_000;
    round(&mut cluster, &[0, 1, 2]);
    serve(&mut cluster, 1, 9, 10_000);

    cluster.store.restore(&backup);
    for _ in 0..20 {
        round(&mut cluster, &[0, 1, 2]);
        serve(&mut cluster, 0, 3, 10_000);
        serve(&mut cluster, 1, 3, 10_000);
    }

    assert!(
        cluster.total_used() <= 100_000,
        "{} tokens in use",
        cluster.total_used()
    );
}

/// Guards against losing a draw of the new era, whose tokens would be drawn again: a draw of the
/// previous era is delayed, the store is restored, and its write count reaches the very number that
/// the delayed draw expects, since the store compares only the count.
#[test]
fn a_write_of_a_former_era_that_arrives_late_has_no_effect() {
    let mut cluster = started_cluster(100_000);
    let backup = cluster.store.backup();
    cluster.store.number += 1_000;
    serve(&mut cluster, 0, 2, 1_000);
    let number = version::number(cluster.store.ledger.version);
    cluster.read_ledger(1);
    cluster.hold(1, 1_000);
    cluster.plan(1, WriteOutcome::Delayed);

    cluster.store.restore(&backup);
    for _ in 0..10 {
        round(&mut cluster, &[0, 1, 2]);
    }
    cluster.store.number = number - 1;
    serve(&mut cluster, 0, 1, 75_000);
    assert_eq!(version::number(cluster.store.ledger.version), number);
    cluster.store.deliver_write();
    for _ in 0..10 {
        round(&mut cluster, &[1, 2]);
        serve(&mut cluster, 2, 2, 10_000);
    }

    assert!(
        cluster.total_used() <= 100_000,
        "{} tokens in use",
        cluster.total_used()
    );
}

/// Guards against spending tokens twice: after a restore, an instance writes its journal of the new
/// era and is killed before it confirms its grant. The others settle the account with the grant of
/// the backup, which is smaller than what the instance had spent. The next process must not confirm
/// that grant, since the reserve is released as soon as it does.
#[test]
fn an_instance_killed_between_its_journal_and_its_confirmation_is_charged_for_its_journal() {
    let mut cluster = started_cluster(100_000);
    let backup = cluster.store.backup();
    serve(&mut cluster, 2, 9, 10_000);

    cluster.store.restore(&backup);
    cluster.write_journal(2, WriteOutcome::Committed);
    cluster.restart(2, 500);
    for _ in 0..12 {
        round(&mut cluster, &[0, 1]);
    }
    cluster.adopt(2, WriteOutcome::Committed);
    for _ in 0..20 {
        round(&mut cluster, &[0, 1, 2]);
        for index in 0..INSTANCES {
            serve(&mut cluster, index, 2, 10_000);
        }
    }

    assert!(
        cluster.total_used() <= 100_000,
        "{} tokens in use",
        cluster.total_used()
    );
}

/// Checks that each instance reports the confirmation of its grant once per era, with all that it
/// has consumed, and none before a restore.
#[test]
fn a_confirmed_grant_is_reported_once_per_era() {
    let mut cluster = started_cluster(100_000);
    serve(&mut cluster, 0, 2, 10_000);
    let before = cluster.instances[0].quota.take_confirmations();
    let backup = cluster.store.backup();
    serve(&mut cluster, 0, 1, 10_000);

    cluster.store.restore(&backup);
    round(&mut cluster, &[0, 1, 2]);
    let first = cluster.instances[0].quota.take_confirmations();
    round(&mut cluster, &[0, 1, 2]);
    let second = cluster.instances[0].quota.take_confirmations();

    assert_eq!(before, []);
    let [confirmation] = &first[..] else {
        panic!("{first:?} instead of one confirmation");
    };
    assert_eq!((confirmation.era, confirmation.consumed), (1, 30_000));
    assert!(confirmation.granted >= 30_000, "{confirmation:?}");
    assert_eq!(second, []);
}

/// A simulated event.
#[derive(Debug, Clone)]
enum Step {
    Pass(u64),
    Hold(usize, u64),
    Settle(usize, u64),
    Journal(usize, WriteOutcome),
    Plan(usize, WriteOutcome),
    Sign(usize),
    Restart(usize, u64),
    Adopt(usize, WriteOutcome),
    Late,
    Loan(usize, usize, u64, WriteOutcome),
    LateAnswer,
    Copy,
    Restore,
}

fn outcome() -> impl Strategy<Value = WriteOutcome> {
    prop_oneof![
        7 => Just(WriteOutcome::Committed),
        1 => Just(WriteOutcome::ReplyLost),
        1 => Just(WriteOutcome::Delayed),
        1 => Just(WriteOutcome::Rejected),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let who = 0..INSTANCES;
    prop_oneof![
        5 => (1u64..2_500).prop_map(Step::Pass),
        12 => (who.clone(), 1u64..9_000).prop_map(|(who, tokens)| Step::Hold(who, tokens)),
        3 => (who.clone(), 60u64..=100).prop_map(|(who, part)| Step::Settle(who, part)),
        5 => (who.clone(), outcome()).prop_map(|(who, outcome)| Step::Journal(who, outcome)),
        8 => (who.clone(), outcome()).prop_map(|(who, outcome)| Step::Plan(who, outcome)),
        8 => who.clone().prop_map(Step::Sign),
        1 => (who.clone(), 0u64..4_000).prop_map(|(who, down)| Step::Restart(who, down)),
        3 => (who.clone(), outcome()).prop_map(|(who, outcome)| Step::Adopt(who, outcome)),
        3 => (who.clone(), who, 1u64..9_000, outcome()).prop_map(|(who, lender, tokens, outcome)| Step::Loan(who, lender, tokens, outcome)),
        1 => Just(Step::LateAnswer),
        2 => Just(Step::Late),
        2 => Just(Step::Copy),
        1 => Just(Step::Restore),
    ]
}

fn apply(cluster: &mut Cluster, backup: &mut Option<common::Backup>, step: &Step) {
    match *step {
        Step::Pass(ms) => cluster.store.now_ms += ms,
        Step::Hold(who, tokens) => {
            cluster.hold(who, tokens);
        }
        Step::Settle(who, percent) => cluster.settle(who, percent),
        Step::Journal(who, outcome) => cluster.write_journal(who, outcome),
        Step::Plan(who, outcome) => {
            cluster.exchange_usage(who);
            cluster.plan(who, outcome);
        }
        Step::Sign(who) => cluster.publish_status(who),
        Step::Restart(who, down_ms) => cluster.restart(who, down_ms),
        Step::Adopt(who, outcome) => cluster.adopt(who, outcome),
        Step::Late => cluster.store.deliver_write(),
        Step::Loan(who, lender, tokens, outcome) => {
            cluster.borrow(who, lender, tokens, outcome);
            cluster.hold(who, tokens);
        }
        Step::LateAnswer => cluster.deliver_response(),
        Step::Copy => *backup = Some(cluster.store.backup()),
        Step::Restore => {
            if let Some(backup) = backup {
                cluster.store.restore(backup);
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1_500, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(41), ..ProptestConfig::default() })]

    /// Guards against spending more than the total: applies any mix of requests, draws, journals,
    /// loans, kills, lost and delayed writes, backups and restores, some of them repeated.
    #[test]
    fn never_more_than_prepaid_over_eras(steps in prop::collection::vec(step(), 1..160)) {
        let mut cluster = started_cluster(60_000);
        let mut backup = Some(cluster.store.backup());
        for step in &steps {
            apply(&mut cluster, &mut backup, step);
            prop_assert!(cluster.total_used() <= cluster.max_prepaid, "{} of {} in {}", cluster.total_used(), cluster.max_prepaid, ACCOUNT);
        }
        // Spends everything that is or appears to be unallocated.
        for index in 0..INSTANCES {
            cluster.adopt(index, WriteOutcome::Committed);
        }
        for _ in 0..12 {
            cluster.store.deliver_write();
            round(&mut cluster, &[0, 1, 2]);
            for index in 0..INSTANCES {
                serve(&mut cluster, index, 2, 3_000);
            }
            prop_assert!(cluster.total_used() <= cluster.max_prepaid, "{} of {} at the end", cluster.total_used(), cluster.max_prepaid);
        }
    }
}

/// A simulated event around one restore, besides the ones of [`Step`].
#[derive(Debug, Clone)]
enum Event {
    Step(Step),
    Serve(usize, u64),
    TopUp(u64),
    Stop(usize, u64, WriteOutcome),
    Rounds(Vec<usize>),
}

/// Loans, draws and restarts are frequent, and no event copies or restores the store.
fn event() -> impl Strategy<Value = Event> {
    let who = 0..INSTANCES;
    let several = prop::collection::vec(0..INSTANCES, 1..=INSTANCES);
    let steps = prop_oneof![
        3 => (1u64..1_200).prop_map(Step::Pass),
        4 => (who.clone(), 60u64..=100).prop_map(|(who, part)| Step::Settle(who, part)),
        5 => (who.clone(), outcome()).prop_map(|(who, outcome)| Step::Journal(who, outcome)),
        5 => (who.clone(), outcome()).prop_map(|(who, outcome)| Step::Plan(who, outcome)),
        3 => who.clone().prop_map(Step::Sign),
        3 => (who.clone(), 0u64..1_500).prop_map(|(who, down)| Step::Restart(who, down)),
        8 => (who.clone(), outcome()).prop_map(|(who, outcome)| Step::Adopt(who, outcome)),
        5 => (who.clone(), who.clone(), 1u64..9_000, outcome()).prop_map(|(who, lender, tokens, outcome)| Step::Loan(who, lender, tokens, outcome)),
        1 => Just(Step::LateAnswer),
        1 => Just(Step::Late),
    ];
    prop_oneof![
        38 => steps.prop_map(Event::Step),
        8 => (who.clone(), 500u64..9_000).prop_map(|(who, tokens)| Event::Serve(who, tokens)),
        1 => (1u64..30_000).prop_map(Event::TopUp),
        2 => (who, 0u64..1_500, outcome()).prop_map(|(who, down, outcome)| Event::Stop(who, down, outcome)),
        4 => several.prop_map(Event::Rounds),
    ]
}

fn apply_event(cluster: &mut Cluster, event: &Event) {
    match event {
        Event::Step(step) => apply(cluster, &mut None, step),
        Event::Serve(who, tokens) => {
            serve(cluster, *who, 1, *tokens);
        }
        Event::TopUp(tokens) => cluster.top_up(*tokens),
        Event::Stop(who, down_ms, outcome) => cluster.stop(*who, *down_ms, *outcome),
        Event::Rounds(who) => {
            for _ in 0..4 {
                round(cluster, who);
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1_500, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(46), ..ProptestConfig::default() })]

    /// Guards against spending more than the total around one restore: loans, draws, returns,
    /// kills, orderly stops and a raised total before the copy, between copy and restore, and after
    /// the restore. All instances always know the current total.
    #[test]
    fn never_more_than_prepaid_around_a_restore(
        before in prop::collection::vec(event(), 0..25),
        lost in prop::collection::vec(event(), 0..25),
        after in prop::collection::vec(event(), 0..50),
    ) {
        let mut cluster = started_cluster(60_000);
        for event in &before {
            apply_event(&mut cluster, event);
        }
        let backup = cluster.store.backup();
        for event in &lost {
            apply_event(&mut cluster, event);
        }
        prop_assert!(cluster.total_used() <= cluster.max_prepaid, "{} of {} before the restore", cluster.total_used(), cluster.max_prepaid);
        cluster.store.restore(&backup);
        for event in &after {
            apply_event(&mut cluster, event);
            prop_assert!(cluster.total_used() <= cluster.max_prepaid, "{} of {} after the restore", cluster.total_used(), cluster.max_prepaid);
        }
        // Spends everything that is or appears to be unallocated.
        for index in 0..INSTANCES {
            cluster.adopt(index, WriteOutcome::Committed);
        }
        for _ in 0..16 {
            cluster.store.deliver_write();
            round(&mut cluster, &[0, 1, 2]);
            for index in 0..INSTANCES {
                serve(&mut cluster, index, 2, 3_000);
            }
            prop_assert!(cluster.total_used() <= cluster.max_prepaid, "{} of {} at the end", cluster.total_used(), cluster.max_prepaid);
        }
    }
}
