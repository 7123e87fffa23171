//! Logs that the configuration in force is older than that of other instances.

use std::time::Duration;

use fescuewell_core::log_event;
use fescuewell_core::prelude::*;

use super::Control;

/// Interval between two checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time behind from which it is logged, in milliseconds; a copy normally takes a tenth of it.
const LOGGED_MS: u64 = 1_000;

/// Checks the configuration until the future is dropped.
pub(super) async fn run(control: &Control) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        log_behind(control);
    }
}

fn log_behind(control: &Control) {
    let gateway = &control.gateway;
    let now_ms = gateway.now_ms();
    let (behind_ms, reported, follows) = {
        let state = gateway.state();
        let follows = state.cursor.is_following(now_ms);
        (state.lag.behind_ms(now_ms), state.lag.reported(), follows)
    };
    if behind_ms < LOGGED_MS {
        return;
    }
    let version = gateway.table().map(|table| table.configuration().version);
    log_event!(
        Event::DocumentBehind,
        "configuration={} reported={reported} behind_ms={behind_ms} digests={follows} store_up={} store_silent_ms={}",
        version.unwrap_or_default(),
        gateway.is_store_up(),
        gateway.time_since_store_response().as_millis()
    );
}
