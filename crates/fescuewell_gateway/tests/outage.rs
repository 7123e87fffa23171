//! What an instance does when the store falls silent, and when it is back.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::{ACCOUNT, Behaviour};
use fescuewell_forward::quota::Verdict;
use fescuewell_gateway::gateway::Gateway;

/// Time from the store's return in which the journal has to be renewed: a loss of power of the whole fleet has been seen
/// 0.05 to 0.4 s after it.
const RENEWED_WITHIN: Duration = Duration::from_millis(200);

/// Requests of an account for a while, ten a second.
async fn ask(gateway: &Arc<Gateway>, span: Duration) -> u64 {
    let account = ACCOUNT.into();
    let mut held = 0;
    for _ in 0..span.as_millis() / 100 {
        tokio::time::sleep(Duration::from_millis(100)).await;
        let now_ms = gateway.now_ms();
        let mut state = gateway.state();
        state.quota.ask(&account, 1_000, now_ms);
        if state.quota.hold(&account, 1_000, now_ms) == Verdict::Held {
            held += 1_000;
        }
    }
    held
}

/// An outage of `outage`, after which the store is back for [`RENEWED_WITHIN`]. Returns whether the journal speaks of the
/// time after the return then.
fn is_renewed(behaviour: Behaviour, outage: Duration, seed: u64) -> bool {
    common::run_scenario(10_000_000, seed, async move |gateway, store| {
        ask(&gateway, Duration::from_secs(4)).await;
        store.set_behaviour(behaviour);
        ask(&gateway, outage).await;
        store.set_behaviour(Behaviour::Answer);
        let back_ms = store.now_ms();
        tokio::time::sleep(RENEWED_WITHIN).await;
        store.journal().at_ms >= back_ms
    })
}

/// All instances had lost power 0.4 s after the store had come back from an outage, and each was charged for 14 s without a
/// journal (`journal.adopted journal_age_ms=14203`): 4.58 of 14.07 million tokens, after which nearly every request to the
/// engines was refused. One instance of six had noticed the return (`table.up`). The others waited for calls that they had
/// sent into the outage, up to 1.2 s each, and the journal stood behind four of them.
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
