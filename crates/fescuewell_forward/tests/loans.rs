//! Loans of tokens between instances: who may ask, and what a message that is repeated, late or forged does.

mod common;

use common::{ACCOUNT, Cluster, WriteOutcome};
use fescuewell_forward::loan::{Borrower, Lender, Request};
use fescuewell_forward::message::{Key, Message};
use fescuewell_forward::quota::HoldOutcome;
use proptest::prelude::*;

/// Two instances, of which the first holds nearly all tokens.
fn rich_and_poor() -> Cluster {
    let mut cluster = Cluster::new(2, 400_000);
    cluster.adopt(0, WriteOutcome::Committed);
    // So much demand that its part is as much as there is.
    let account = ACCOUNT.into();
    cluster.instances[0]
        .quota
        .record_demand(&account, 40_000, 0);
    cluster.plan(0, WriteOutcome::Committed);
    cluster.write_journal(0, WriteOutcome::Committed);
    cluster.adopt(1, WriteOutcome::Committed);
    cluster.exchange_usage(0);
    cluster.exchange_usage(1);
    cluster.read_ledger(1);
    cluster
}

fn ask(cluster: &Cluster, id: u64, tokens: u64) -> Request {
    Request {
        id,
        account: ACCOUNT.into(),
        required_tokens: tokens,
        wanted_tokens: tokens,
        sent_at_ms: cluster.store.now_ms,
    }
}

/// Requests were refused during a cut of the whole fleet (`route.refused cause=BudgetUnknown`) although the account had
/// tokens: they stood at an instance to which its callers did not come, and only the store moves grants.
#[test]
fn tokens_of_another_instance_serve_a_request_in_a_cut() {
    let mut cluster = rich_and_poor();

    let alone = cluster.hold(1, 5_000);
    let together = cluster.serve(1, 5_000);

    assert_eq!(alone, HoldOutcome::InsufficientGrant);
    assert!(together);
}

#[test]
fn the_richest_lender_is_asked_first() {
    let mut cluster = rich_and_poor();
    let quota = &mut cluster.instances[1].quota;

    let before = quota.candidates(ACCOUNT, 0);
    quota.record_report(&ACCOUNT.into(), &"entry-0".into(), 0, 0);
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
    let mut cluster = rich_and_poor();
    let ask = ask(&cluster, 7, 1_000);
    let now_ms = cluster.local_ms(0);
    let mut lender = Lender::default();
    let quota = &mut cluster.instances[0].quota;
    let before = quota.available(ACCOUNT, now_ms);

    let first = lender.respond(quota, &ask, now_ms);
    let second = lender.respond(quota, &ask, now_ms);

    assert_eq!(first.map(|answer| answer.tokens), Some(1_000));
    assert_eq!(second, None);
    assert_eq!(quota.available(ACCOUNT, now_ms), before - 1_000);
}

#[test]
fn an_ask_of_long_ago_is_not_answered() {
    let mut cluster = rich_and_poor();
    let ask = ask(&cluster, 7, 1_000);
    cluster.store.now_ms += 1_500;
    let now_ms = cluster.local_ms(0);

    let answer = Lender::default().respond(&mut cluster.instances[0].quota, &ask, now_ms);

    assert_eq!(answer, None);
}

/// Tokens were spent twice: the borrower's process was killed between its ask and the answer, and the next one took an answer
/// to an ask that it had not sent, twice.
#[test]
fn an_answer_to_nobody_gives_nothing() {
    let mut cluster = rich_and_poor();
    let ask = ask(&cluster, 7, 1_000);
    let now_ms = cluster.local_ms(0);
    let quota = &mut cluster.instances[0].quota;
    let answer = Lender::default().respond(quota, &ask, now_ms).unwrap();
    let mut borrower = Borrower::default();
    let quota = &mut cluster.instances[1].quota;

    let taken = borrower.accept(quota, &answer, 0);

    assert!(!taken);
    assert_eq!(quota.account(ACCOUNT).unwrap().borrowed(), 0);
}

/// What a request did not use of borrowed tokens can be used by the next one.
#[test]
fn unused_borrowed_tokens_serve_the_next_request() {
    let mut cluster = rich_and_poor();
    assert!(cluster.serve(1, 5_000));

    cluster.settle(1, 20);
    let next = cluster.hold(1, 4_000);

    assert_eq!(next, HoldOutcome::Held);
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
        let message = Message::Ask(Request { id: 1, account: ACCOUNT.into(), required_tokens: 1, wanted_tokens: 2, sent_at_ms: 3 });
        let mut sealed = key.seal(&message);
        let bit = bit % (8 * sealed.len());

        sealed[bit / 8] ^= 1 << (bit % 8);

        prop_assert_eq!(key.open(&sealed), None);
        prop_assert_eq!(key.open(&bytes), None);
    }
}
