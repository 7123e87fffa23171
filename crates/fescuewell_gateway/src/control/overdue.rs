//! Logs what a kill of this process would cost while the journal cannot be renewed.
//!
//! After a kill, the actual consumption of the process is unknown: the next process logs only what
//! it is charged. These log lines show how much of that had been consumed.

use std::time::Duration;

use fescuewell_core::log_event;
use fescuewell_core::prelude::*;

use super::Control;

/// Interval between two checks, which gives about ten log lines in a typical outage.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Age from which a journal is overdue, in milliseconds: four journal intervals of a small fleet.
pub(super) const OVERDUE_MS: u64 = 2_000;

/// Checks the journal's age until the future is dropped.
pub(super) async fn run(control: &Control) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        log_overdue(control);
    }
}

/// Returns `true` if the journal is overdue. While the instance holds no tokens, the journal is
/// renewed rarely and a kill costs nothing.
pub(super) fn is_overdue(control: &Control) -> bool {
    let gateway = &control.gateway;
    let now_ms = gateway.now_ms();
    let quota = &gateway.state().quota;
    !quota.is_depleted() && quota.exposure(now_ms).age_ms >= OVERDUE_MS
}

fn log_overdue(control: &Control) {
    if control.gateway.is_store_up() || !is_overdue(control) {
        return;
    }
    let now_ms = control.gateway.now_ms();
    let exposure = control.gateway.state().quota.exposure(now_ms);
    log_event!(
        Event::JournalOverdue,
        "journal_age_ms={} recorded={} consumed={} promised={}",
        exposure.age_ms,
        exposure.recorded,
        exposure.consumed,
        exposure.promised
    );
}
