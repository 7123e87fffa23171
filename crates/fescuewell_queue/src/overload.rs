//! Overload protection: refuses requests by the load of the instance itself.
//!
//! ```
//! use fescuewell_core::prelude::*;
//! use fescuewell_queue::overload::{Bounds, Limiter, Size};
//!
//! let mut limiter = Limiter::new(Bounds { streams: 10, bytes: 1_000 });
//! let now = Instant::from_millis(0);
//! let size = Size { bytes: 600 };
//! assert!(limiter.admit(now, 0, 1, size).is_ok());
//! assert!(limiter.admit(now, 0, 1, size).is_err());
//! limiter.release(now, size);
//! assert!(limiter.admit(now, 0, 1, size).is_ok());
//! ```

use std::time::Duration;

use fescuewell_core::prelude::*;

/// Capacity of one instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Maximum number of open requests, queued or running.
    pub streams: usize,
    /// Maximum memory of all open requests.
    pub bytes: usize,
}

/// Resources that one request uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Size {
    /// Memory for its body, its buffers and its queue entry.
    pub bytes: usize,
}

/// Tracks open requests and refuses those that exceed the bounds.
///
/// The decision depends only on the current load, never on past refusals. There is no refusing state that could outlast
/// the surge: once streams close, the next request is accepted.
#[derive(Debug, Clone)]
pub struct Limiter {
    bounds: Bounds,
    streams: usize,
    bytes: usize,
    release_rate: ReleaseRate,
}

/// Smoothed rate at which requests are released, for "retry after".
#[derive(Debug, Clone, Default)]
struct ReleaseRate {
    per_second: f64,
    last: Instant,
}

/// Time constant of the release rate, in seconds.
const RELEASE_DECAY_SECONDS: f64 = 5.0;

/// Part of the bounds that the least urgent tier may use. The tiers between are interpolated linearly up to 100.
const LEAST_URGENT_TIER_PERCENT: usize = 80;

/// Range of "retry after".
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

impl Limiter {
    /// Creates a limiter without open requests.
    pub fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            streams: 0,
            bytes: 0,
            release_rate: ReleaseRate::default(),
        }
    }

    /// Replaces the bounds. Open requests are not affected.
    pub fn set_bounds(&mut self, bounds: Bounds) {
        self.bounds = bounds;
    }

    /// Admits or refuses a request. `tier` is the index of its kind's tier among `tiers`; 0 is the most urgent.
    ///
    /// Call [`release`](Limiter::release) with the same size when an admitted request ends.
    ///
    /// # Errors
    ///
    /// `Overloaded`, with the time after which to retry.
    pub fn admit(
        &mut self,
        now: Instant,
        tier: usize,
        tiers: usize,
        size: Size,
    ) -> Result<(), Refusal> {
        let percent = tier_percent(tier, tiers);
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
        let wait = self.release_rate.time_to_release(now, excess);
        Err(Refusal::new(Code::Overloaded).with_retry_after(wait))
    }

    /// Releases the resources of a request that ended.
    pub fn release(&mut self, now: Instant, size: Size) {
        self.streams = self.streams.saturating_sub(1);
        self.bytes = self.bytes.saturating_sub(size.bytes);
        self.release_rate.add(now);
    }

    /// Number of open requests.
    pub fn streams(&self) -> usize {
        self.streams
    }

    /// Memory of all open requests.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

impl ReleaseRate {
    fn at(&self, now: Instant) -> f64 {
        let seconds = now.since(self.last).as_secs_f64();
        self.per_second * (-seconds / RELEASE_DECAY_SECONDS).exp()
    }

    fn add(&mut self, now: Instant) {
        self.per_second = self.at(now) + 1.0 / RELEASE_DECAY_SECONDS;
        self.last = now;
    }

    fn time_to_release(&self, now: Instant, count: usize) -> Duration {
        let seconds = count as f64 / self.at(now).max(f64::MIN_POSITIVE);
        let longest = MAX_RETRY_AFTER.as_secs_f64();
        Duration::from_secs_f64(seconds.min(longest)).max(MIN_RETRY_AFTER)
    }
}

fn tier_percent(tier: usize, tiers: usize) -> usize {
    let steps = tiers.saturating_sub(1).max(1);
    100 - (100 - LEAST_URGENT_TIER_PERCENT) * tier.min(steps) / steps
}
