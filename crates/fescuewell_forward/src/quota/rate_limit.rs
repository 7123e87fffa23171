//! The promise not to consume faster than a rate.
//!
//! A process that was killed is back within a second or two, while the store stays out of reach for many. So
//! the promise is tight for the first seconds after a journal, which is what a restart costs, and wide after
//! that, which is what an instance without the store lives on. It is no wider than its demand needs: what an instance may
//! have spent by the end of a long outage is charged whole if it is killed then.

use super::row::Entry;

/// Time after a journal for which the promise is tight, in milliseconds: the age of a journal, a restart and the first
/// reading.
pub const TIGHT_MS: u64 = 1_500;

/// A ceiling of consumption that rises with time.
///
/// ```text
/// ceiling                      ______ steady
///                     ________/
///                    / rate, up to `lump`
///  base + burst ____/
///               0   TIGHT_MS         time since the journal
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pace {
    base: u64,
    rate: u64,
    lump: u64,
    steady: u64,
    at_ms: u64,
}

impl Pace {
    /// The pace of a journal entry.
    pub fn new(entry: &Entry, at_ms: u64) -> Self {
        Self {
            base: entry.consumed.saturating_add(entry.burst),
            rate: entry.rate,
            lump: entry.lump,
            steady: entry.steady,
            at_ms,
        }
    }

    /// What may have been consumed in all by `store_ms`.
    pub fn ceiling(&self, store_ms: u64) -> u64 {
        let elapsed = store_ms.saturating_sub(self.at_ms);
        let wide = elapsed.saturating_sub(TIGHT_MS);
        let first = self.rate.saturating_mul(wide) / 1_000;
        let later = self.steady.saturating_mul(wide) / 1_000;
        let later = self.lump.saturating_add(later);
        self.base.saturating_add(first.min(later))
    }

    /// Earliest moment at which the ceiling reaches `total`; `None` if it never does.
    pub fn when(&self, total: u64) -> Option<u64> {
        let missing = total.saturating_sub(self.base);
        if missing == 0 {
            return Some(self.at_ms);
        }
        let first = time(missing, self.rate)?;
        let later = time(missing.saturating_sub(self.lump), self.steady)?;
        Some(self.at_ms + TIGHT_MS + first.max(later))
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
