//! The promise not to consume faster than a rate.
//!
//! A process that was killed is back within a second or two, while the store stays out of reach for many. So
//! the promise is tight for the first seconds after a journal, which is what a restart costs, and wide after
//! that, which is what an instance without the store lives on. It is no wider than its demand needs: what an instance may
//! have spent by the end of a long outage is charged whole if it is killed then.

use super::row::Entry;

/// Time after a journal for which the promise is tight, in milliseconds: the age of a journal, a restart and the first
/// reading.
pub const BURST_ONLY_MS: u64 = 1_500;

/// A ceiling of consumption that rises with time.
///
/// ```text
/// ceiling                      ______ sustained_rate
///                     ________/
///                    / peak_rate, up to `bucket_size`
///  base + burst ____/
///               0   BURST_ONLY_MS         time since the journal
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
    /// The pace of a journal entry.
    pub fn new(entry: &Entry, at_ms: u64) -> Self {
        Self {
            base: entry.consumed.saturating_add(entry.burst),
            peak_rate: entry.peak_rate,
            bucket_size: entry.bucket_size,
            sustained_rate: entry.sustained_rate,
            at_ms,
        }
    }

    /// What may have been consumed in all by `store_ms`.
    pub fn limit_at(&self, store_ms: u64) -> u64 {
        let elapsed = store_ms.saturating_sub(self.at_ms);
        let wide = elapsed.saturating_sub(BURST_ONLY_MS);
        let first = self.peak_rate.saturating_mul(wide) / 1_000;
        let later = self.sustained_rate.saturating_mul(wide) / 1_000;
        let later = self.bucket_size.saturating_add(later);
        self.base.saturating_add(first.min(later))
    }

    /// Earliest moment at which the ceiling reaches `total`; `None` if it never does.
    pub fn reached_at(&self, total: u64) -> Option<u64> {
        let missing = total.saturating_sub(self.base);
        if missing == 0 {
            return Some(self.at_ms);
        }
        let first = duration_ms(missing, self.peak_rate)?;
        let later = duration_ms(
            missing.saturating_sub(self.bucket_size),
            self.sustained_rate,
        )?;
        Some(self.at_ms + BURST_ONLY_MS + first.max(later))
    }
}

/// Milliseconds, rounded up, in which a rate gives an amount.
fn duration_ms(amount: u64, rate: u64) -> Option<u64> {
    match (amount, rate) {
        (0, _) => Some(0),
        (_, 0) => None,
        _ => Some(amount.saturating_mul(1_000).div_ceil(rate)),
    }
}
