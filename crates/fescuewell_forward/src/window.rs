//! Sums over a sliding time window, kept in a ring of equal slices.

/// Number of slices; the resolution of the window.
const SLICES: usize = 10;

/// A sum over a sliding time window.
#[derive(Debug, Clone)]
pub struct Window {
    slice_ms: u64,
    sums: [u64; SLICES],
    current: u64,
}

impl Window {
    /// Creates a window of `span_ms` milliseconds.
    pub fn new(span_ms: u64) -> Self {
        Self {
            slice_ms: (span_ms / SLICES as u64).max(1),
            sums: [0; SLICES],
            current: 0,
        }
    }

    /// Adds an amount at `now_ms` of a monotonic clock.
    pub fn add(&mut self, now_ms: u64, amount: u64) {
        self.advance(now_ms);
        self.sums[self.current as usize % SLICES] += amount;
    }

    /// Returns the sum over the window that ends at `now_ms`.
    pub fn sum(&mut self, now_ms: u64) -> u64 {
        self.advance(now_ms);
        self.sums.iter().sum()
    }

    /// Clears the slices that are older than the window.
    fn advance(&mut self, now_ms: u64) {
        let slice = now_ms / self.slice_ms;
        if slice <= self.current {
            return;
        }
        let steps = (slice - self.current).min(SLICES as u64);
        for step in 1..=steps {
            self.sums[(self.current + step) as usize % SLICES] = 0;
        }
        if steps == SLICES as u64 {
            self.sums = [0; SLICES];
        }
        self.current = slice;
    }
}
