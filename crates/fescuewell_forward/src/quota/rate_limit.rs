//! Commitment of a holder not to consume tokens faster than a given rate.
//!
//! A killed process is back within a second or two, while the store may stay unreachable for much
//! longer. The limit is therefore tight for the first seconds after a journal, which bounds the
//! charge of a restart, and wide after that, so that an instance without the store can keep
//! serving. It is no wider than the demand requires: if the instance is killed at the end of a long
//! outage, everything it could have spent by then is charged.

use super::row::Entry;

/// Time after a journal, in milliseconds, during which only the burst may be spent. Covers the age
/// of a journal, a restart and the first read.
pub const BURST_ONLY_MS: u64 = 1_500;

/// A limit on total consumption that rises with time: a token bucket with a peak rate.
///
/// ```text
/// limit                        ______ sustained_rate
///                     ________/
///                    / peak_rate, up to `bucket_size`
///  base + burst ____/
///               0   BURST_ONLY_MS    time since the journal
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limit {
    base: u64,
    peak_rate: u64,
    bucket_size: u64,
    sustained_rate: u64,
    at_ms: u64,
}

impl Limit {
    /// Limit that permits no consumption: that of a journal without an entry for the account.
    pub const NONE: Self = Self {
        base: 0,
        peak_rate: 0,
        bucket_size: 0,
        sustained_rate: 0,
        at_ms: 0,
    };

    /// Creates the rate limit described by a journal entry written at `at_ms`.
    pub fn new(entry: &Entry, at_ms: u64) -> Self {
        Self {
            base: entry.consumed.saturating_add(entry.burst),
            peak_rate: entry.peak_rate,
            bucket_size: entry.bucket_size,
            sustained_rate: entry.sustained_rate,
            at_ms,
        }
    }

    /// Returns the maximum total consumption at `store_ms`.
    pub fn limit_at(&self, store_ms: u64) -> u64 {
        let elapsed = store_ms.saturating_sub(self.at_ms);
        let active_ms = elapsed.saturating_sub(BURST_ONLY_MS);
        let peak = self.peak_rate.saturating_mul(active_ms) / 1_000;
        let sustained = self.sustained_rate.saturating_mul(active_ms) / 1_000;
        let sustained = self.bucket_size.saturating_add(sustained);
        self.base.saturating_add(peak.min(sustained))
    }

    /// Returns the earliest time at which the limit reaches `total`, or `None` if it never does.
    pub fn reached_at(&self, total: u64) -> Option<u64> {
        let needed = total.saturating_sub(self.base);
        if needed == 0 {
            return Some(self.at_ms);
        }
        let peak = duration_ms(needed, self.peak_rate)?;
        let sustained = duration_ms(needed.saturating_sub(self.bucket_size), self.sustained_rate)?;
        Some(self.at_ms + BURST_ONLY_MS + peak.max(sustained))
    }
}

/// Returns the time, in milliseconds rounded up, in which `rate` yields `amount`.
fn duration_ms(amount: u64, rate: u64) -> Option<u64> {
    match (amount, rate) {
        (0, _) => Some(0),
        (_, 0) => None,
        _ => Some(amount.saturating_mul(1_000).div_ceil(rate)),
    }
}
