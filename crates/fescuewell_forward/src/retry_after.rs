//! Retry delays for rejected requests.

/// Minimum retry delay during a store outage in milliseconds; a few store calls.
pub const OUTAGE_LEAST_MS: u64 = 150;
/// Maximum retry delay during a store outage in milliseconds; callers honour up to a third of their remaining time.
pub const OUTAGE_MOST_MS: u64 = 4_000;

/// Estimates the remaining time of a store outage in milliseconds as its duration so far, with a jitter of 50% taken from the random
/// number `draw`.
pub fn outage_left_ms(silence_ms: u64, draw: u64) -> u64 {
    let part = 0.5 + draw as f64 / u64::MAX as f64;
    let left_ms = (silence_ms as f64 * part) as u64;
    left_ms.clamp(OUTAGE_LEAST_MS, OUTAGE_MOST_MS)
}
