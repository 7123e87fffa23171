//! Probes the store during an outage to detect its recovery.
//!
//! Other store calls wait for up to about a second, because a slow store is better than none.
//! During an outage, this task repeats a small read with a short timeout. The first response wakes
//! all other tasks, so that urgent work, above all the journal, does not wait for calls that were
//! sent during the outage.

use std::time::Duration;

use super::Control;
use super::journal::read_journal;

/// Interval between two probes in a small fleet, and the timeout of each.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Fraction of the store's read capacity that the probes of the whole fleet may use.
const READ_SHARE: f64 = 0.25;

/// Probes the store while it does not respond, until the future is dropped.
pub(super) async fn run(control: &Control) {
    loop {
        let interval = control.jitter(probe_interval(control));
        let next = tokio::time::Instant::now() + interval;
        if !control.gateway.is_store_up() {
            // The result is not needed; `call` notifies the other tasks of a response.
            let _ = read_journal(control, PROBE_INTERVAL).await;
        }
        tokio::time::sleep_until(next).await;
    }
}

/// Returns the probe interval. It grows with the fleet, so that probes do not overload a store that
/// is recovering.
fn probe_interval(control: &Control) -> Duration {
    let instances = control.gateway.state().directory.count() as f64;
    let share = instances / (control.gateway.settings.reads_per_s * READ_SHARE);
    PROBE_INTERVAL.max(Duration::from_secs_f64(share))
}
