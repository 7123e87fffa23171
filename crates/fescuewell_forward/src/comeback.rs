//! When a caller that is refused is told to come back.

/// Shortest time after which a caller is told to come back where only the store can give more, in milliseconds: a few answers of
/// a store that is back at once.
pub const OUTAGE_LEAST_MS: u64 = 150;
/// Longest such time, in milliseconds: callers wait some eight seconds for the longest answers, and go by a third of what is left.
pub const OUTAGE_MOST_MS: u64 = 4_000;

/// How much longer an outage of the store may last, in milliseconds, after `silence_ms` of it: as long as it has lasted, since
/// nothing else is known. It varies from half to one and a half of that with `draw`, a random number, so that callers do not come back
/// all at once. A short fixed time brings them back into the same outage.
pub fn outage_left_ms(silence_ms: u64, draw: u64) -> u64 {
    let part = 0.5 + draw as f64 / u64::MAX as f64;
    let left_ms = (silence_ms as f64 * part) as u64;
    left_ms.clamp(OUTAGE_LEAST_MS, OUTAGE_MOST_MS)
}
