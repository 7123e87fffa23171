//! The remaining time of a request, as it travels from one process to the next.
//!
//! Instants of two processes cannot be compared, so what is sent is the time that remains; the receiver
//! counts from the arrival. The time on the wire is lost to the request, which errs on the safe side only
//! if the sender subtracts an allowance for it.
//!
//! ```
//! use std::time::Duration;
//! use fescuewell_core::prelude::*;
//! use fescuewell_queue::deadline;
//!
//! let sent = Instant::from_millis(1_000);
//! let millis = deadline::to_millis(sent, Instant::from_millis(4_000), Duration::from_millis(5));
//! assert_eq!(millis, 2_995);
//! // On another clock:
//! let received = Instant::from_millis(70_000);
//! assert_eq!(deadline::from_millis(received, millis), Instant::from_millis(72_995));
//! ```

use std::time::Duration;

use fescuewell_core::prelude::*;

/// Longest remaining time that is believed, so that a nonsensical figure cannot hold a place for ever.
pub const MAX_REMAINING: Duration = Duration::from_secs(24 * 3_600);

/// What remains until the deadline, less an allowance for the way; zero when it has passed.
pub fn remaining(now: Instant, deadline: Instant, transit: Duration) -> Duration {
    deadline.since(now).saturating_sub(transit)
}

/// The remaining time in milliseconds, rounded down, as it is sent.
pub fn to_millis(now: Instant, deadline: Instant, transit: Duration) -> u64 {
    remaining(now, deadline, transit).as_millis() as u64
}

/// The deadline of a request that arrives now with so many milliseconds left.
pub fn from_millis(now: Instant, millis: u64) -> Instant {
    now + Duration::from_millis(millis).min(MAX_REMAINING)
}

/// The latest time at which starting makes sense when the answer will take `service`.
///
/// A request started later would be cut by its deadline: its tokens would be spent for nothing, and under
/// overload all capacity can go into such answers.
pub fn latest_start(deadline: Instant, service: Duration) -> Instant {
    deadline - service
}
