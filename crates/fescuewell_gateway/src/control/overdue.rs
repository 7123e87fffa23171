//! Tells in the log what a kill would cost while the journal cannot be renewed.
//!
//! After a kill nobody knows what the process had consumed: its successor logs what it is charged, and only these lines
//! say how much of that had been spent.

use std::time::Duration;

use fescuewell_core::log_event;
use fescuewell_core::prelude::*;

use super::Control;

/// Time between two looks: some ten lines in a usual outage.
const EVERY: Duration = Duration::from_secs(1);
/// Age from which a journal is overdue, in milliseconds: four times the time between two journals in a small fleet.
pub(super) const OVERDUE_MS: u64 = 2_000;

/// Looks at the journal's age for as long as it is polled.
pub(super) async fn run(control: &Control) {
    loop {
        tokio::time::sleep(EVERY).await;
        tell(control);
    }
}

/// Whether the journal could not be renewed for long. While nothing is held it is renewed rarely, and a kill costs nothing.
pub(super) fn is_overdue(control: &Control) -> bool {
    let gateway = &control.gateway;
    let now_ms = gateway.now_ms();
    let quota = &gateway.state().quota;
    !quota.is_depleted() && quota.exposure(now_ms).age_ms >= OVERDUE_MS
}

fn tell(control: &Control) {
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
