//! Logs that the configuration in force is older than that of other instances, and that the list of
//! backend servers is not up to date.

use std::time::Duration;

use fescuewell_core::log_event;
use fescuewell_core::prelude::*;

use super::Control;

/// Interval between two checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time behind from which it is logged, in milliseconds; a copy normally takes a tenth of it.
const LOGGED_MS: u64 = 1_000;

/// Age of the server list from which it is logged, in milliseconds; digests normally arrive three
/// times in it.
const LOGGED_AGE_MS: u64 = 1_000;

/// Checks the configuration and the server list until the future is dropped.
pub(super) async fn run(control: &Control) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        log_behind(control);
        log_servers_behind(control);
    }
}

fn log_servers_behind(control: &Control) {
    let gateway = &control.gateway;
    let now_ms = gateway.now_ms();
    let digests = control.digest_counts.take();
    let (age_ms, version, follows) = {
        let state = gateway.state();
        let cursor = &state.cursor;
        (
            cursor.age_ms(now_ms),
            cursor.version(),
            cursor.is_following(now_ms),
        )
    };
    let Some(age_ms) = age_ms.filter(|age_ms| *age_ms >= LOGGED_AGE_MS) else {
        return;
    };
    log_event!(
        Event::ServersBehind,
        "age_ms={age_ms} version={version} role={:?} digests={follows} {digests} store_up={} store_silent_ms={}",
        control.role(),
        gateway.is_store_up(),
        gateway.time_since_store_response().as_millis()
    );
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
