//! Loans of tokens between instances: who may ask, and what a message that is repeated, late or forged does.

mod common;

use common::{ACCOUNT, Fate, World};
use fescuewell_forward::loan::{Ask, Borrower, Lender};
use fescuewell_forward::message::{Key, Message};
use fescuewell_forward::quota::Verdict;
use proptest::prelude::*;

/// Two instances, of which the first holds nearly all tokens.
fn rich_and_poor() -> World {
    let mut world = World::new(2, 400_000);
    world.adopt(0, Fate::Done);
    // So much demand that its part is as much as there is.
    let account = ACCOUNT.into();
    world.instances[0].quota.ask(&account, 40_000, 0);
    world.plan(0, Fate::Done);
    world.journal(0, Fate::Done);
    world.adopt(1, Fate::Done);
    world.hear(0);
    world.hear(1);
    world.read_ledger(1);
    world
}

fn ask(world: &World, id: u64, tokens: u64) -> Ask {
    Ask {
        id,
        account: ACCOUNT.into(),
        least: tokens,
        tokens,
        at_ms: world.store.now_ms,
    }
}

/// Requests were refused during a cut of the whole fleet (`route.refused cause=BudgetUnknown`) although the account had
/// tokens: they stood at an instance to which its callers did not come, and only the store moves grants.
#[test]
fn tokens_of_another_instance_serve_a_request_in_a_cut() {
    let mut world = rich_and_poor();

    let alone = world.hold(1, 5_000);
    let together = world.serve(1, 5_000);

    assert_eq!(alone, Verdict::Short);
    assert!(together);
}

#[test]
fn the_richest_lender_is_asked_first() {
    let mut world = rich_and_poor();
    let quota = &mut world.instances[1].quota;

    let before = quota.candidates(ACCOUNT, 0);
    quota.lender_said(&ACCOUNT.into(), &"entry-0".into(), 0, 0);
    let refused = quota.candidates(ACCOUNT, 1);
    let later = quota.candidates(ACCOUNT, 1_000);

    assert_eq!(&*before[0].holder, "entry-0");
    assert!(refused.is_empty());
    // Its pace has moved on meanwhile.
    assert_eq!(later, before);
}

/// A datagram that came twice cost the lender the tokens twice, though only one answer was taken.
#[test]
fn an_ask_that_is_repeated_is_not_answered_again() {
    let mut world = rich_and_poor();
    let ask = ask(&world, 7, 1_000);
    let now_ms = world.local(0);
    let mut lender = Lender::default();
    let quota = &mut world.instances[0].quota;
    let before = quota.spare(ACCOUNT, now_ms);

    let first = lender.answer(quota, &ask, now_ms);
    let second = lender.answer(quota, &ask, now_ms);

    assert_eq!(first.map(|answer| answer.tokens), Some(1_000));
    assert_eq!(second, None);
    assert_eq!(quota.spare(ACCOUNT, now_ms), before - 1_000);
}

#[test]
fn an_ask_of_long_ago_is_not_answered() {
    let mut world = rich_and_poor();
    let ask = ask(&world, 7, 1_000);
    world.store.now_ms += 1_500;
    let now_ms = world.local(0);

    let answer = Lender::default().answer(&mut world.instances[0].quota, &ask, now_ms);

    assert_eq!(answer, None);
}

/// Tokens were spent twice: the borrower's process was killed between its ask and the answer, and the next one took an answer
/// to an ask that it had not sent, twice.
#[test]
fn an_answer_to_nobody_gives_nothing() {
    let mut world = rich_and_poor();
    let ask = ask(&world, 7, 1_000);
    let now_ms = world.local(0);
    let quota = &mut world.instances[0].quota;
    let answer = Lender::default().answer(quota, &ask, now_ms).unwrap();
    let mut borrower = Borrower::default();
    let quota = &mut world.instances[1].quota;

    let taken = borrower.take(quota, &answer, 0);

    assert!(!taken);
    assert_eq!(quota.view(ACCOUNT).unwrap().credit(), 0);
}

/// What a request did not use of borrowed tokens can be used by the next one.
#[test]
fn unused_borrowed_tokens_serve_the_next_request() {
    let mut world = rich_and_poor();
    assert!(world.serve(1, 5_000));

    world.settle(1, 20);
    let next = world.hold(1, 4_000);

    assert_eq!(next, Verdict::Held);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(13), ..ProptestConfig::default() })]

    /// Tokens were given to who does not belong to the fleet. Sequence looked for: any bytes, or a message with one bit changed,
    /// that pass for a sealed one.
    #[test]
    fn only_what_the_fleet_sealed_is_read(
        bytes in prop::collection::vec(any::<u8>(), 0..120),
        bit in 8usize..400,
    ) {
        let key = Key::new([1; 32]);
        let message = Message::Ask(Ask { id: 1, account: ACCOUNT.into(), least: 1, tokens: 2, at_ms: 3 });
        let mut sealed = key.seal(&message);
        let bit = bit % (8 * sealed.len());

        sealed[bit / 8] ^= 1 << (bit % 8);

        prop_assert_eq!(key.open(&sealed), None);
        prop_assert_eq!(key.open(&bytes), None);
    }
}
