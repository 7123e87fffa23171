//! Retry delays for rejected requests.

/// Minimum retry delay during a store outage in milliseconds; the duration of a few store calls.
pub const MIN_OUTAGE_DELAY_MS: u64 = 150;
/// Maximum retry delay during a store outage in milliseconds; callers honour up to a third of their
/// remaining time.
pub const MAX_OUTAGE_DELAY_MS: u64 = 4_000;

/// Estimates the remaining time of a store outage in milliseconds as its duration so far, with a
/// jitter of 50% derived from `random`.
pub fn outage_left_ms(silence_ms: u64, random: u64) -> u64 {
    let factor = 0.5 + random as f64 / u64::MAX as f64;
    let left_ms = (silence_ms as f64 * factor) as u64;
    left_ms.clamp(MIN_OUTAGE_DELAY_MS, MAX_OUTAGE_DELAY_MS)
}

/// Minimum retry delay while backend servers accept no requests, in milliseconds. By then one of
/// them has answered.
const MIN_SPREAD_DELAY_MS: u64 = 150;

/// Returns the retry delay of a caller for whom a backend server is free after `wait_ms`: somewhat
/// later, derived from `random`, so that callers that were refused together do not return together.
pub fn spread_ms(wait_ms: u64, random: u64) -> u64 {
    let factor = 1.0 + random as f64 / u64::MAX as f64;
    (wait_ms.max(MIN_SPREAD_DELAY_MS) as f64 * factor) as u64
}
