//! Asks the store whether it is back.
//!
//! The other duties wait up to a second for each call, since a slow store is better than none. Beside them a small reading
//! that is given up soon is sent again and again while the store does not answer. The first one that is answered tells all
//! duties, so that what is urgent then, the journal before all, does not wait for calls that were sent into the outage.

use std::time::Duration;

use super::Control;
use super::journal::read_own;

/// Time between two questions in a small fleet, and the time that each is waited for.
const EVERY: Duration = Duration::from_millis(100);
/// Part of the store's reading calls that the questions of the whole fleet may take.
const READ_SHARE: f64 = 0.25;

/// Asks while the store does not answer, for as long as it is polled.
pub(super) async fn run(control: &Control) {
    loop {
        let every = control.spread(every(control));
        let next = tokio::time::Instant::now() + every;
        if !control.gateway.is_store_up() {
            // The answer itself is of no use; `call` tells the duties that there was one.
            let _ = read_own(control, EVERY).await;
        }
        tokio::time::sleep_until(next).await;
    }
}

/// A larger fleet asks less often: a store that comes back must not be kept busy by questions.
fn every(control: &Control) -> Duration {
    let instances = control.gateway.state().directory.count() as f64;
    let share = instances / (control.gateway.settings.reads_per_s * READ_SHARE);
    EVERY.max(Duration::from_secs_f64(share))
}
