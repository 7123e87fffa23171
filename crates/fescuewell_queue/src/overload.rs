//! Early refusal by the load of the instance itself.
//!
//! ```
//! use fescuewell_core::prelude::*;
//! use fescuewell_queue::overload::{Bounds, Limiter, Size};
//!
//! let mut guard = Limiter::new(Bounds { streams: 10, bytes: 1_000 });
//! let now = Instant::from_millis(0);
//! let size = Size { bytes: 600 };
//! assert!(guard.admit(now, 0, 1, size).is_ok());
//! assert!(guard.admit(now, 0, 1, size).is_err());
//! guard.release(now, size);
//! assert!(guard.admit(now, 0, 1, size).is_ok());
//! ```

use std::time::Duration;

use fescuewell_core::prelude::*;

/// What one instance can carry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Most requests that are open at once, queued or running.
    pub streams: usize,
    /// Most memory that they take together.
    pub bytes: usize,
}

/// What one request takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Size {
    /// Memory for its body, its buffers and its place in the queue.
    pub bytes: usize,
}

/// Counts what is open and refuses what does not fit.
///
/// The decision depends on the present load alone, never on past refusals: when the surge ends and streams
/// close, the next request is taken. There is nothing that could go on refusing.
#[derive(Debug, Clone)]
pub struct Limiter {
    bounds: Bounds,
    streams: usize,
    bytes: usize,
    closings: Closings,
}

/// How quickly requests close, for "retry after".
#[derive(Debug, Clone, Default)]
struct Closings {
    per_second: f64,
    last: Instant,
}

/// Time over which closings are forgotten, in seconds.
const CLOSING_MEMORY: f64 = 5.0;

/// Share of the bounds, in percent, that the least urgent tier may fill; those between lie evenly.
const LEAST_URGENT_PERCENT: usize = 80;

/// Bounds of "retry after".
const LEAST_RETRY_AFTER: Duration = Duration::from_millis(200);
const MOST_RETRY_AFTER: Duration = Duration::from_secs(30);

impl Limiter {
    /// A guard with nothing open.
    pub fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            streams: 0,
            bytes: 0,
            closings: Closings::default(),
        }
    }

    /// Takes over new bounds; what is open stays open.
    pub fn set_bounds(&mut self, bounds: Bounds) {
        self.bounds = bounds;
    }

    /// Counts a request in, or refuses it. `tier` is the place of its kind among `tiers`; 0 is the most urgent.
    /// Each accepted request has to be [`release`](Limiter::release)d with the same size.
    ///
    /// # Errors
    ///
    /// `Overloaded`, with the time after which to ask again.
    pub fn admit(
        &mut self,
        now: Instant,
        tier: usize,
        tiers: usize,
        size: Size,
    ) -> Result<(), Refusal> {
        let percent = percent_of(tier, tiers);
        let streams = self.bounds.streams * percent / 100;
        let bytes = self.bounds.bytes * percent / 100;
        let stream_fits = self.streams < streams;
        let bytes_fit = self.bytes.saturating_add(size.bytes) <= bytes;
        if stream_fits && bytes_fit {
            self.streams += 1;
            self.bytes += size.bytes;
            return Ok(());
        }
        let excess = (self.streams + 1).saturating_sub(streams).max(1);
        let wait = self.closings.time_for(now, excess);
        Err(Refusal::new(Code::Overloaded).with_retry_after(wait))
    }

    /// A request of that size ended.
    pub fn release(&mut self, now: Instant, size: Size) {
        self.streams = self.streams.saturating_sub(1);
        self.bytes = self.bytes.saturating_sub(size.bytes);
        self.closings.add(now);
    }

    /// Requests open now.
    pub fn streams(&self) -> usize {
        self.streams
    }

    /// Memory taken now.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

impl Closings {
    fn rate(&self, now: Instant) -> f64 {
        let seconds = now.since(self.last).as_secs_f64();
        self.per_second * (-seconds / CLOSING_MEMORY).exp()
    }

    fn add(&mut self, now: Instant) {
        self.per_second = self.rate(now) + 1.0 / CLOSING_MEMORY;
        self.last = now;
    }

    fn time_for(&self, now: Instant, count: usize) -> Duration {
        let seconds = count as f64 / self.rate(now).max(f64::MIN_POSITIVE);
        let most = MOST_RETRY_AFTER.as_secs_f64();
        Duration::from_secs_f64(seconds.min(most)).max(LEAST_RETRY_AFTER)
    }
}

fn percent_of(tier: usize, tiers: usize) -> usize {
    let steps = tiers.saturating_sub(1).max(1);
    100 - (100 - LEAST_URGENT_PERCENT) * tier.min(steps) / steps
}
