//! The promise not to consume faster than a rate.
//!
//! A process that was killed is back within a second or two, while the store stays out of reach for many. So
//! the promise is tight for the first seconds after a journal, which is what a restart costs, and wide after
//! that, which is what an instance without the store lives on.

use super::row::Entry;

/// Time after a journal for which the promise is tight, in milliseconds: the age of a journal, a restart and the first
/// reading.
pub const TIGHT_MS: u64 = 1_500;

/// A ceiling of consumption that rises with time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pace {
    base: u64,
    rate: u64,
    later_rate: u64,
    at_ms: u64,
}

impl Pace {
    /// The pace of a journal entry.
    pub fn new(entry: &Entry, at_ms: u64) -> Self {
        Self {
            base: entry.consumed.saturating_add(entry.burst),
            rate: entry.rate,
            later_rate: entry.later_rate,
            at_ms,
        }
    }

    /// What may have been consumed in all by `store_ms`.
    pub fn ceiling(&self, store_ms: u64) -> u64 {
        let elapsed = store_ms.saturating_sub(self.at_ms);
        let tight = elapsed.min(TIGHT_MS);
        let first = self.rate.saturating_mul(tight) / 1_000;
        let later = self.later_rate.saturating_mul(elapsed - tight) / 1_000;
        self.base.saturating_add(first).saturating_add(later)
    }

    /// Earliest moment at which the ceiling reaches `total`; `None` if it never does.
    pub fn when(&self, total: u64) -> Option<u64> {
        let missing = total.saturating_sub(self.base);
        let tight = self.rate.saturating_mul(TIGHT_MS) / 1_000;
        if missing <= tight {
            let wait = time(missing, self.rate)?;
            return Some(self.at_ms + wait);
        }
        let wait = time(missing - tight, self.later_rate)?;
        Some(self.at_ms + TIGHT_MS + wait)
    }
}

/// Milliseconds, rounded up, in which a rate gives an amount.
fn time(amount: u64, rate: u64) -> Option<u64> {
    match (amount, rate) {
        (0, _) => Some(0),
        (_, 0) => None,
        _ => Some(amount.saturating_mul(1_000).div_ceil(rate)),
    }
}
