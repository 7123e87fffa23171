//! Behaviour of an instance during and after a store outage.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::{ACCOUNT, Behaviour};
use fescuewell_forward::quota::HoldOutcome;
use fescuewell_gateway::gateway::Gateway;

/// Time limit for renewing the journal once the store is back. A power loss of the whole fleet can
/// follow 0.05 to 0.4 s after that.
const RENEWED_WITHIN: Duration = Duration::from_millis(200);

/// Sends requests of an account, ten per second, and returns the tokens held.
async fn send_requests(gateway: &Arc<Gateway>, span: Duration) -> u64 {
    let account = ACCOUNT.into();
    let mut held = 0;
    for _ in 0..span.as_millis() / 100 {
        tokio::time::sleep(Duration::from_millis(100)).await;
        let now_ms = gateway.now_ms();
        let mut state = gateway.state();
        state.quota.record_demand(&account, 1_000, now_ms);
        if state.quota.hold(&account, 1_000, now_ms) == HoldOutcome::Held {
            held += 1_000;
        }
    }
    held
}

/// Runs an outage and returns whether the journal is renewed within [`RENEWED_WITHIN`] after the
/// store is back.
fn is_renewed(behaviour: Behaviour, outage: Duration, seed: u64) -> bool {
    common::run_scenario(10_000_000, seed, async move |gateway, store| {
        send_requests(&gateway, Duration::from_secs(4)).await;
        store.set_behaviour(behaviour);
        send_requests(&gateway, outage).await;
        store.set_behaviour(Behaviour::Answer);
        let back_ms = store.now_ms();
        tokio::time::sleep(RENEWED_WITHIN).await;
        store.journal().at_ms >= back_ms
    })
}

/// Guards against a late journal after an outage: tasks waited for calls sent during the outage, up
/// to 1.2 s each, and the journal was queued behind four of them. Only one instance of six noticed
/// the recovery (`table.up`). A power loss 0.4 s after the recovery then charged each instance for
/// 14 s without a journal (`journal.adopted journal_age_ms=14203`): 4.58 of 14.07 million tokens,
/// and nearly every later request was refused.
#[test]
fn the_journal_is_renewed_as_soon_as_the_store_is_back() {
    for behaviour in [Behaviour::Silent, Behaviour::Refuse] {
        for step in 0..25 {
            let outage = Duration::from_millis(5_000 + step * 300);

            let renewed = is_renewed(behaviour, outage, step);

            assert!(renewed, "{behaviour:?} for {outage:?}");
        }
    }
}
