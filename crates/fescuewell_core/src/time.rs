//! Points in time on a clock that is injected into the decision logic.

use std::fmt;
use std::ops::{Add, Sub};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

crate::key! {
    /// A point in time, in microseconds since the origin of the process's [`Clock`].
    ///
    /// Instants of different processes are not comparable.
    pub struct Instant(pub u64);
}

impl Instant {
    /// Creates an instant `millis` milliseconds after the clock's origin.
    pub fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Returns the time since `earlier`, or zero if `earlier` is later than this instant.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Instant {
    type Output = Self;
    fn add(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(duration.as_micros() as u64))
    }
}

impl Sub<Duration> for Instant {
    type Output = Self;
    fn sub(self, duration: Duration) -> Self {
        Self(self.0.saturating_sub(duration.as_micros() as u64))
    }
}

impl fmt::Display for Instant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06}s", self.0 / 1_000_000, self.0 % 1_000_000)
    }
}

/// A source of the current time.
pub trait Clock: Send + Sync {
    /// Returns the current time.
    fn now(&self) -> Instant;
}

/// The machine's monotonic clock. Its origin is the time of construction.
#[derive(Debug, Clone)]
pub struct SystemClock {
    origin: std::time::Instant,
}

impl Default for SystemClock {
    fn default() -> Self {
        Self {
            origin: std::time::Instant::now(),
        }
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant(self.origin.elapsed().as_micros() as u64)
    }
}

/// A clock that is advanced manually, for tests and benchmarks.
#[derive(Debug, Clone, Default)]
pub struct ManualClock {
    micros: Arc<AtomicU64>,
}

impl ManualClock {
    /// Advances the clock.
    pub fn advance(&self, duration: Duration) {
        self.micros
            .fetch_add(duration.as_micros() as u64, Ordering::SeqCst);
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Instant {
        Instant(self.micros.load(Ordering::SeqCst))
    }
}
