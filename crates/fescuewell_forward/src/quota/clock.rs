//! Estimate of the store clock.

/// A lower bound of the store clock.
///
/// Every store response carries the clock of the store, which has advanced by the time the response
/// is read. Each reading is therefore a lower bound, and the largest one is kept.
#[derive(Debug, Default, Clone, Copy)]
pub struct StoreClock {
    /// Store time minus local time.
    offset: Option<i64>,
}

impl StoreClock {
    /// Records a store clock reading received at `now_ms` of the local monotonic clock.
    pub fn observe(&mut self, store_ms: u64, now_ms: u64) {
        let offset = store_ms as i64 - now_ms as i64;
        self.offset = Some(self.offset.map_or(offset, |known| known.max(offset)));
    }

    /// Converts a local time to store time. The result is never ahead of the store clock, and 0
    /// before the first reading.
    pub fn at(&self, now_ms: u64) -> u64 {
        self.offset
            .map_or(0, |offset| (now_ms as i64 + offset).max(0) as u64)
    }
}
