//! The store's clock as this process can know it.

/// A lower bound of the store's clock.
///
/// Every answer of the store carries its clock; when the answer is read the clock has gone on. Each reading
/// therefore gives a lower bound, and the largest of them is kept.
#[derive(Debug, Default, Clone, Copy)]
pub struct StoreClock {
    /// Store time less own time.
    offset: Option<i64>,
}

impl StoreClock {
    /// Takes a reading that was received at `now_ms` of the own sustained_rate clock.
    pub fn observe(&mut self, store_ms: u64, now_ms: u64) {
        let offset = store_ms as i64 - now_ms as i64;
        self.offset = Some(self.offset.map_or(offset, |known| known.max(offset)));
    }

    /// The store's time at a moment of the own clock: never later than the truth; 0 before the first reading.
    pub fn at(&self, now_ms: u64) -> u64 {
        self.offset
            .map_or(0, |offset| (now_ms as i64 + offset).max(0) as u64)
    }
}
