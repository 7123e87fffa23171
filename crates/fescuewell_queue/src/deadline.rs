//! Deadline propagation between processes.
//!
//! Instants of two processes cannot be compared, so the sender transmits the remaining time and the receiver adds it
//! to the time of arrival. This ignores the transit time: the sender subtracts an allowance for it, or the
//! receiver's deadline would lie after the sender's.
//!
//! ```
//! use std::time::Duration;
//! use fescuewell_core::prelude::*;
//! use fescuewell_queue::deadline;
//!
//! let sent = Instant::from_millis(1_000);
//! let millis = deadline::to_millis(sent, Instant::from_millis(4_000), Duration::from_millis(5));
//! assert_eq!(millis, 2_995);
//! // The receiver has another clock:
//! let received = Instant::from_millis(70_000);
//! assert_eq!(deadline::from_millis(received, millis), Instant::from_millis(72_995));
//! ```

use std::time::Duration;

use fescuewell_core::prelude::*;

/// Maximum remaining time accepted from another process, so that an invalid value cannot keep a request queued indefinitely.
pub const MAX_REMAINING: Duration = Duration::from_secs(24 * 3_600);

/// Returns the time until the deadline minus the `transit` allowance, or zero if the deadline has passed.
pub fn remaining(now: Instant, deadline: Instant, transit: Duration) -> Duration {
    deadline.since(now).saturating_sub(transit)
}

/// Returns the remaining time to send, in milliseconds rounded down.
pub fn to_millis(now: Instant, deadline: Instant, transit: Duration) -> u64 {
    remaining(now, deadline, transit).as_millis() as u64
}

/// Returns the deadline of a request that arrives now with `millis` remaining.
pub fn from_millis(now: Instant, millis: u64) -> Instant {
    now + Duration::from_millis(millis).min(MAX_REMAINING)
}

/// Returns the latest time at which a request that runs for `service_time` can start and still meet its deadline.
///
/// A request that starts later is cut off by its deadline and its tokens are wasted. Under overload, such requests
/// can use up the whole capacity.
pub fn latest_start(deadline: Instant, service_time: Duration) -> Instant {
    deadline - service_time
}
