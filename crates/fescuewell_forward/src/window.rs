//! Sums over a sliding span of time, kept in a ring of equal slices.

/// Slices of the ring; the span is known to one part in so many.
const SLICES: usize = 10;

/// A sum over the last span.
#[derive(Debug, Clone)]
pub struct Window {
    slice_ms: u64,
    sums: [u64; SLICES],
    current: u64,
}

impl Window {
    /// A window over `span_ms` milliseconds.
    pub fn new(span_ms: u64) -> Self {
        Self {
            slice_ms: (span_ms / SLICES as u64).max(1),
            sums: [0; SLICES],
            current: 0,
        }
    }

    /// Adds an amount at a moment, in milliseconds of any steady clock.
    pub fn add(&mut self, now_ms: u64, amount: u64) {
        self.advance(now_ms);
        self.sums[self.current as usize % SLICES] += amount;
    }

    /// The sum over the span that ends now.
    pub fn sum(&mut self, now_ms: u64) -> u64 {
        self.advance(now_ms);
        self.sums.iter().sum()
    }

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
