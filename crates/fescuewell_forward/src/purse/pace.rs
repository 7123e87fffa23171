//! The promise not to consume faster than a rate.

use super::row::Entry;

/// A ceiling of consumption that rises with time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pace {
    base: u64,
    rate: u64,
    at_ms: u64,
}

impl Pace {
    /// The pace of a journal entry.
    pub fn new(entry: &Entry, at_ms: u64) -> Self {
        Self {
            base: entry.consumed.saturating_add(entry.burst),
            rate: entry.rate,
            at_ms,
        }
    }

    /// What may have been consumed in all by `store_ms`.
    pub fn ceiling(&self, store_ms: u64) -> u64 {
        let elapsed = store_ms.saturating_sub(self.at_ms);
        let gained = self.rate.saturating_mul(elapsed) / 1_000;
        self.base.saturating_add(gained)
    }
}
