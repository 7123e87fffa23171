//! Token loans between instances: who may request them, and the effect of duplicate, late and
//! forged messages.

mod common;

use common::{ACCOUNT, Cluster, WriteOutcome};
use fescuewell_forward::loan::{Borrower, Lender, Reception, Request};
use fescuewell_forward::message::{Key, Message};
use fescuewell_forward::quota::HoldOutcome;
use proptest::prelude::*;

/// Creates two instances, the first of which holds nearly all tokens.
fn lender_and_borrower() -> Cluster {
    let mut cluster = Cluster::new(2, 400_000);
    cluster.adopt(0, WriteOutcome::Committed);
    // Demand high enough that its share is all there is.
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

fn loan_request(cluster: &Cluster, id: u64, tokens: u64) -> Request {
    Request {
        id,
        account: ACCOUNT.into(),
        required_tokens: tokens,
        wanted_tokens: tokens,
        sent_at_ms: cluster.store.now_ms,
    }
}

/// Guards against refusing requests (`route.refused cause=BudgetUnknown`) while the store is
/// unreachable although the account has tokens: only the store can move grants, and the tokens are
/// held by an instance that its callers do not use.
#[test]
fn tokens_of_another_instance_serve_a_request_in_a_cut() {
    let mut cluster = lender_and_borrower();

    let alone = cluster.hold(1, 5_000);
    let together = cluster.serve(1, 5_000);

    assert_eq!(alone, HoldOutcome::InsufficientGrant);
    assert!(together);
}

#[test]
fn the_richest_lender_is_asked_first() {
    let mut cluster = lender_and_borrower();
    let quota = &mut cluster.instances[1].quota;

    let before = quota.candidates(ACCOUNT, 0);
    quota.record_report(&ACCOUNT.into(), &"entry-0".into(), 0, 0);
    let refused = quota.candidates(ACCOUNT, 1);
    let later = quota.candidates(ACCOUNT, 1_000);

    assert_eq!(&*before[0].holder, "entry-0");
    assert!(refused.is_empty());
    // The rate limit of the lender may have risen meanwhile.
    assert_eq!(later, before);
}

/// Guards against a duplicate datagram costing the lender the tokens twice, and against a lost
/// response costing them at all: 2.3% of an account's tokens were lent and never used.
#[test]
fn a_repeated_request_gets_the_same_response_and_books_nothing_again() {
    let mut cluster = lender_and_borrower();
    let request = loan_request(&cluster, 7, 1_000);
    let now_ms = cluster.local_ms(0);
    let mut lender = Lender::default();
    let quota = &mut cluster.instances[0].quota;
    let before = quota.available(ACCOUNT, now_ms);

    let first = lender.respond(quota, &request, now_ms);
    let second = lender.respond(quota, &request, now_ms + 900);

    assert_eq!(first.as_ref().map(|response| response.tokens), Some(1_000));
    assert_eq!(second, first);
    assert_eq!(quota.available(ACCOUNT, now_ms), before - 1_000);
}

/// Guards against a repeat that outlives the lender's memory of the first request and is booked
/// like a new one.
#[test]
fn a_repeat_after_the_lender_forgot_the_request_is_ignored() {
    let mut cluster = lender_and_borrower();
    let request = loan_request(&cluster, 7, 1_000);
    let now_ms = cluster.local_ms(0);
    let mut lender = Lender::default();
    let quota = &mut cluster.instances[0].quota;
    let first = lender.respond(quota, &request, now_ms);
    let consumed = quota.account(ACCOUNT).unwrap().consumed();

    let late = lender.respond(quota, &request, now_ms + 1_000);

    assert!(first.is_some());
    assert_eq!(late, None);
    assert_eq!(quota.account(ACCOUNT).unwrap().consumed(), consumed);
}

/// Guards against one loan that two borrowers spend because their requests have the same ID.
#[test]
fn another_request_with_the_same_id_gets_no_response() {
    let mut cluster = lender_and_borrower();
    let request = loan_request(&cluster, 7, 1_000);
    let other = loan_request(&cluster, 7, 2_000);
    let now_ms = cluster.local_ms(0);
    let mut lender = Lender::default();
    let quota = &mut cluster.instances[0].quota;

    let first = lender.respond(quota, &request, now_ms);
    let second = lender.respond(quota, &other, now_ms);

    assert!(first.is_some());
    assert_eq!(second, None);
}

/// Guards against a repeat that arrives while the first request waits for the lender's journal: the
/// journal would admit its tokens twice, and both would be booked.
#[test]
fn a_repeat_of_a_deferred_request_is_booked_once() {
    let mut cluster = lender_and_borrower();
    cluster.store.now_ms += 100;
    let now_ms = cluster.local_ms(0);
    let limit = cluster.instances[0].quota.available(ACCOUNT, now_ms);
    let tokens = limit + 10_000;
    let request = loan_request(&cluster, 7, tokens);
    let consumed = cluster.consumed(0);
    let mut lender = Lender::default();
    let quota = &mut cluster.instances[0].quota;

    let first = lender.receive(quota, &request, true, now_ms);
    let repeat = lender.receive(quota, &request, true, now_ms + 15);
    let repeat_when_full = lender.receive(quota, &request, false, now_ms + 15);
    cluster.write_journal(0, WriteOutcome::Committed);
    let quota = &mut cluster.instances[0].quota;
    let response = lender.respond(quota, &request, now_ms + 20).unwrap();
    let repeat_after = lender.receive(quota, &request, true, now_ms + 25);

    assert_eq!(first, Reception::Defer);
    assert_eq!(repeat, Reception::Ignore);
    assert_eq!(repeat_when_full, Reception::Ignore);
    assert_eq!(response.tokens, tokens);
    assert_eq!(repeat_after, Reception::Respond(response));
    assert_eq!(cluster.consumed(0), consumed + tokens);
}

/// Guards against tokens that are spent twice because both the response and the response to the
/// repeat arrive, and against tokens that are lost because only the second one does.
#[test]
fn a_loan_is_credited_once_whichever_of_its_responses_arrive() {
    for arriving in [&[0][..], &[1], &[0, 1], &[1, 0], &[1, 1]] {
        let mut cluster = lender_and_borrower();
        let mut lender = Lender::default();
        let mut borrower = Borrower::default();
        let quota = &cluster.instances[1].quota;
        let request = borrower.request(quota, &ACCOUNT.into(), (1_000, 0), 7, cluster.local_ms(1));
        let now_ms = cluster.local_ms(0);
        let quota = &mut cluster.instances[0].quota;
        let responses = [
            lender.respond(quota, &request, now_ms).unwrap(),
            lender.respond(quota, &request, now_ms + 15).unwrap(),
        ];

        for index in arriving {
            let quota = &mut cluster.instances[1].quota;
            borrower.accept(quota, &responses[*index], now_ms + 20);
        }

        let account = cluster.instances[1].quota.account(ACCOUNT).unwrap();
        assert_eq!(account.borrowed(), 1_000, "{arriving:?}");
    }
}

#[test]
fn an_ask_of_long_ago_is_not_answered() {
    let mut cluster = lender_and_borrower();
    let request = loan_request(&cluster, 7, 1_000);
    cluster.store.now_ms += 1_500;
    let now_ms = cluster.local_ms(0);

    let response = Lender::default().respond(&mut cluster.instances[0].quota, &request, now_ms);

    assert_eq!(response, None);
}

/// Guards against spending tokens twice: the process of the borrower is killed between request and
/// response, and the next one accepts the response to a request that it did not send.
#[test]
fn an_answer_to_nobody_gives_nothing() {
    let mut cluster = lender_and_borrower();
    let request = loan_request(&cluster, 7, 1_000);
    let now_ms = cluster.local_ms(0);
    let quota = &mut cluster.instances[0].quota;
    let response = Lender::default().respond(quota, &request, now_ms).unwrap();
    let mut borrower = Borrower::default();
    let quota = &mut cluster.instances[1].quota;

    let is_accepted = borrower.accept(quota, &response, 0);

    assert!(!is_accepted);
    assert_eq!(quota.account(ACCOUNT).unwrap().borrowed(), 0);
}

/// Checks that borrowed tokens left over from one request serve the next one.
#[test]
fn unused_borrowed_tokens_serve_the_next_request() {
    let mut cluster = lender_and_borrower();
    assert!(cluster.serve(1, 5_000));

    cluster.settle(1, 20);
    let next = cluster.hold(1, 4_000);

    assert_eq!(next, HoldOutcome::Held);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(13), ..ProptestConfig::default() })]

    /// Guards against giving tokens to senders outside the fleet: random bytes, or a message with
    /// one flipped bit, must not be accepted as sealed.
    #[test]
    fn only_what_the_fleet_sealed_is_read(
        bytes in prop::collection::vec(any::<u8>(), 0..120),
        bit in 8usize..400,
    ) {
        let key = Key::new([1; 32]);
        let message = Message::LoanRequest(Request { id: 1, account: ACCOUNT.into(), required_tokens: 1, wanted_tokens: 2, sent_at_ms: 3 });
        let mut sealed = key.seal(&message);
        let bit = bit % (8 * sealed.len());

        sealed[bit / 8] ^= 1 << (bit % 8);

        prop_assert_eq!(key.open(&sealed), None);
        prop_assert_eq!(key.open(&bytes), None);
    }
}
