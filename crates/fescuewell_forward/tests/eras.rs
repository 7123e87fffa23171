//! Grants when the store comes back from a copy that is some seconds old.

mod common;

use common::{ACCOUNT, Fate, World};
use fescuewell_forward::quota::Verdict;
use fescuewell_forward::version;
use proptest::prelude::*;

const INSTANCES: usize = 3;
/// More than the time in which an instance that lives gives its next sign, in milliseconds.
const LAPSE_MS: u64 = 4_000;

/// Instances that run and have drawn nothing yet.
fn started(prepaid: u64) -> World {
    let mut world = World::new(INSTANCES, prepaid);
    for index in 0..INSTANCES {
        world.adopt(index, Fate::Done);
    }
    round(&mut world, &[0, 1, 2]);
    world
}

/// Instances sign, journal and plan as they do each second.
fn round(world: &mut World, who: &[usize]) {
    world.store.now_ms += 500;
    for index in who {
        world.sign(*index);
    }
    for index in who {
        world.hear(*index);
        world.plan(*index, Fate::Done);
        world.journal(*index, Fate::Done);
    }
}

/// An instance serves what it can of so many requests of a size, drawing as it goes; returns how many.
fn serve(world: &mut World, index: usize, count: usize, tokens: u64) -> usize {
    let mut served = 0;
    for _ in 0..count {
        for _ in 0..3 {
            if world.hold(index, tokens) == Verdict::Held {
                served += 1;
                break;
            }
            world.hear(index);
            world.plan(index, Fate::Done);
            world.journal(index, Fate::Done);
        }
    }
    served
}

/// Symptom looked for: an account gets more than its total. Sequence: an instance draws and spends; the store comes back from a copy
/// that is older; another instance finds the same tokens free. Cause: the rows were believed.
#[test]
fn what_was_drawn_since_the_copy_is_not_drawn_again() {
    let mut world = started(100_000);
    let copy = world.store.copy();
    serve(&mut world, 0, 9, 10_000);

    world.store.restore(&copy);
    for _ in 0..20 {
        round(&mut world, &[0, 1, 2]);
        serve(&mut world, 1, 3, 10_000);
        serve(&mut world, 2, 3, 10_000);
    }

    assert!(world.exposed() <= 100_000, "{}", world.exposed());
}

/// The way back: what is really left can be drawn once all have confirmed their grants.
#[test]
fn what_is_left_is_drawn_after_a_while() {
    let mut world = started(100_000);
    let copy = world.store.copy();
    let before = serve(&mut world, 0, 3, 10_000);

    world.store.restore(&copy);
    world.store.now_ms += LAPSE_MS;
    let mut after = 0;
    for _ in 0..20 {
        round(&mut world, &[0, 1, 2]);
        after += serve(&mut world, 1, 1, 10_000);
    }

    assert_eq!(before, 3);
    assert!(after >= 5, "{after} of 7 that were left");
    assert!(world.exposed() <= 100_000);
}

/// Symptom looked for: tokens are spent twice. Sequence: an instance draws and spends all, and is killed; the store comes back from a
/// copy from before; the next process finds a journal without any of it.
#[test]
fn an_instance_that_died_in_the_lost_seconds_is_charged_for_all_that_it_may_have_drawn() {
    let mut world = started(100_000);
    let copy = world.store.copy();
    serve(&mut world, 0, 9, 10_000);

    world.store.restore(&copy);
    world.restart(0, 500);
    world.adopt(0, Fate::Done);
    for _ in 0..20 {
        round(&mut world, &[0, 1, 2]);
        for index in 0..INSTANCES {
            serve(&mut world, index, 2, 10_000);
        }
    }

    assert!(world.exposed() <= 100_000, "{}", world.exposed());
}

/// Symptom looked for: the same, with an instance that never comes back.
#[test]
fn an_instance_that_is_gone_is_charged_for_all_that_it_may_have_drawn() {
    let mut world = started(100_000);
    let copy = world.store.copy();
    serve(&mut world, 0, 9, 10_000);

    world.store.restore(&copy);
    for _ in 0..30 {
        round(&mut world, &[1, 2]);
        serve(&mut world, 1, 2, 10_000);
        serve(&mut world, 2, 2, 10_000);
    }

    assert!(world.exposed() <= 100_000, "{}", world.exposed());
}

/// Symptom looked for: an instance that was cut off while the store came back spends what others have drawn meanwhile.
#[test]
fn an_instance_that_missed_the_change_goes_by_its_own_grant() {
    let mut world = started(100_000);
    let copy = world.store.copy();
    serve(&mut world, 0, 2, 10_000);

    world.store.restore(&copy);
    for _ in 0..20 {
        round(&mut world, &[1, 2]);
        serve(&mut world, 1, 2, 10_000);
        while world.hold(0, 10_000) == Verdict::Held {}
    }
    for _ in 0..10 {
        round(&mut world, &[0, 1, 2]);
        serve(&mut world, 0, 2, 10_000);
    }

    assert!(world.exposed() <= 100_000, "{}", world.exposed());
}

/// Symptom looked for: tokens are free twice. Sequence: an instance gives tokens back, another draws them; the copy shows them with the
/// first one still.
#[test]
fn what_was_given_back_is_not_spent_after_the_return_of_a_copy() {
    let mut world = started(100_000);
    serve(&mut world, 0, 2, 10_000);
    let copy = world.store.copy();
    for _ in 0..20 {
        world.settle(0, 0);
    }
    world.store.now_ms += 20_000;
    round(&mut world, &[0, 1, 2]);
    serve(&mut world, 1, 9, 10_000);

    world.store.restore(&copy);
    for _ in 0..20 {
        round(&mut world, &[0, 1, 2]);
        serve(&mut world, 0, 3, 10_000);
        serve(&mut world, 1, 3, 10_000);
    }

    assert!(world.exposed() <= 100_000, "{}", world.exposed());
}

/// Symptom looked for: a draw of the new era vanishes from the row, and its tokens are drawn again. Sequence: a draw of the former era is on
/// its way for seconds; the store comes back from a copy, counts on, and gives the row the very number that the draw expects. Cause: the
/// store compares numbers, and numbers are given out again.
#[test]
fn a_write_of_a_former_era_that_arrives_late_has_no_effect() {
    let mut world = started(100_000);
    let copy = world.store.copy();
    world.store.number += 1_000;
    serve(&mut world, 0, 2, 1_000);
    let number = version::number(world.store.ledger.version);
    world.read_ledger(1);
    world.hold(1, 1_000);
    world.plan(1, Fate::Late);

    world.store.restore(&copy);
    for _ in 0..10 {
        round(&mut world, &[0, 1, 2]);
    }
    world.store.number = number - 1;
    serve(&mut world, 0, 1, 75_000);
    assert_eq!(version::number(world.store.ledger.version), number);
    world.store.deliver_late();
    for _ in 0..10 {
        round(&mut world, &[1, 2]);
        serve(&mut world, 2, 2, 10_000);
    }

    assert!(world.exposed() <= 100_000, "{}", world.exposed());
}

/// One thing that happens.
#[derive(Debug, Clone)]
enum Step {
    Pass(u64),
    Hold(usize, u64),
    Settle(usize, u64),
    Journal(usize, Fate),
    Plan(usize, Fate),
    Sign(usize),
    Restart(usize, u64),
    Adopt(usize, Fate),
    Late,
    Loan(usize, usize, u64, Fate),
    LateAnswer,
    Copy,
    Restore,
}

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        7 => Just(Fate::Done),
        1 => Just(Fate::Lost),
        1 => Just(Fate::Late),
        1 => Just(Fate::Refused),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let who = 0..INSTANCES;
    prop_oneof![
        5 => (1u64..2_500).prop_map(Step::Pass),
        12 => (who.clone(), 1u64..9_000).prop_map(|(who, tokens)| Step::Hold(who, tokens)),
        3 => (who.clone(), 60u64..=100).prop_map(|(who, part)| Step::Settle(who, part)),
        5 => (who.clone(), fate()).prop_map(|(who, fate)| Step::Journal(who, fate)),
        8 => (who.clone(), fate()).prop_map(|(who, fate)| Step::Plan(who, fate)),
        8 => who.clone().prop_map(Step::Sign),
        1 => (who.clone(), 0u64..4_000).prop_map(|(who, down)| Step::Restart(who, down)),
        3 => (who.clone(), fate()).prop_map(|(who, fate)| Step::Adopt(who, fate)),
        3 => (who.clone(), who, 1u64..9_000, fate()).prop_map(|(who, lender, tokens, fate)| Step::Loan(who, lender, tokens, fate)),
        1 => Just(Step::LateAnswer),
        2 => Just(Step::Late),
        2 => Just(Step::Copy),
        1 => Just(Step::Restore),
    ]
}

fn play(world: &mut World, copy: &mut Option<common::Copy>, step: &Step) {
    match *step {
        Step::Pass(ms) => world.store.now_ms += ms,
        Step::Hold(who, tokens) => {
            world.hold(who, tokens);
        }
        Step::Settle(who, percent) => world.settle(who, percent),
        Step::Journal(who, fate) => world.journal(who, fate),
        Step::Plan(who, fate) => {
            world.hear(who);
            world.plan(who, fate);
        }
        Step::Sign(who) => world.sign(who),
        Step::Restart(who, down_ms) => world.restart(who, down_ms),
        Step::Adopt(who, fate) => world.adopt(who, fate),
        Step::Late => world.store.deliver_late(),
        Step::Loan(who, lender, tokens, fate) => {
            world.loan(who, lender, tokens, fate);
            world.hold(who, tokens);
        }
        Step::LateAnswer => world.deliver_answer(),
        Step::Copy => *copy = Some(world.store.copy()),
        Step::Restore => {
            if let Some(copy) = copy {
                world.store.restore(copy);
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1_500, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(41), ..ProptestConfig::default() })]

    /// Symptom looked for: an account gets more than its total. Sequence: any mix of requests, draws, journals, loans, kills, lost and late
    /// writes, copies of the store and returns from them, some of them twice in a row.
    #[test]
    fn never_more_than_prepaid_over_eras(steps in prop::collection::vec(step(), 1..160)) {
        let mut world = started(60_000);
        let mut copy = Some(world.store.copy());
        for step in &steps {
            play(&mut world, &mut copy, step);
            prop_assert!(world.exposed() <= world.most, "{} of {} in {}", world.exposed(), world.most, ACCOUNT);
        }
        // Whatever is free, or looks so, is used up now.
        for index in 0..INSTANCES {
            world.adopt(index, Fate::Done);
        }
        for _ in 0..12 {
            world.store.deliver_late();
            round(&mut world, &[0, 1, 2]);
            for index in 0..INSTANCES {
                serve(&mut world, index, 2, 3_000);
            }
            prop_assert!(world.exposed() <= world.most, "{} of {} at the end", world.exposed(), world.most);
        }
    }
}
