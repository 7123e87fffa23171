//! Independence of the control tasks that use the store.

mod common;

use std::time::Duration;

use common::ACCOUNT;

/// Time limit for a journal that requests wait for: one transaction and the pause between two.
const WRITTEN_WITHIN: Duration = Duration::from_millis(60);

/// Guards against a journal that waits for a reconciliation. Requests use up what the journal
/// permits while a reconciliation of 40 ledgers is retrying conflicts with other instances. When
/// the journal was written after it, an instance that held 13 million tokens refused 356 requests
/// in five seconds at twice the usual traffic (`BudgetUnknown`, after half of the target latency).
#[test]
fn a_journal_does_not_wait_for_a_plan() {
    for step in 0..10 {
        let written = common::run_scenario(10_000_000, step, async move |gateway, store| {
            for _ in 0..40 {
                tokio::time::sleep(Duration::from_millis(100)).await;
                let now_ms = gateway.now_ms();
                gateway
                    .state()
                    .quota
                    .record_demand(&ACCOUNT.into(), 5_000, now_ms);
            }
            store.delay_ledgers(Duration::from_millis(1_000));
            // Some point during a reconciliation.
            tokio::time::sleep(Duration::from_millis(2_000 + step * 90)).await;
            let requested_ms = store.now_ms();

            gateway.request_journal();
            tokio::time::sleep(WRITTEN_WITHIN).await;

            store.journal().at_ms >= requested_ms
        });

        assert!(written, "step {step}");
    }
}
