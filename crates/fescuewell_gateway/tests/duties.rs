//! What the duties towards the store owe each other.

mod common;

use std::time::Duration;

use common::ACCOUNT;

/// Time in which a journal that requests wait for has to be written: a transaction and the pause between two.
const WRITTEN_WITHIN: Duration = Duration::from_millis(60);

/// Symptom: an instance that held 13 million tokens of an account refused 356 of its requests in five seconds of twice the usual traffic
/// (`BudgetUnknown`, after half of the target latency). Sequence: requests use up what the journal lets through; a plan of 40 ledgers is under way, whose
/// transactions are in conflict with those of other instances; the requests ask for a journal. Cause: the journal was written after the plan.
#[test]
fn a_journal_does_not_wait_for_a_plan() {
    for step in 0..10 {
        let written = common::play(10_000_000, step, async move |gateway, store| {
            for _ in 0..40 {
                tokio::time::sleep(Duration::from_millis(100)).await;
                let now_ms = gateway.now_ms();
                gateway.state().quota.ask(&ACCOUNT.into(), 5_000, now_ms);
            }
            store.delay_ledgers(Duration::from_millis(1_000));
            // Somewhere within a plan.
            tokio::time::sleep(Duration::from_millis(2_000 + step * 90)).await;
            let asked_ms = store.now_ms();

            gateway.request_journal();
            tokio::time::sleep(WRITTEN_WITHIN).await;

            store.journal().at_ms >= asked_ms
        });

        assert!(written, "step {step}");
    }
}
