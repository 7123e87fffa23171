//! Spreading accesses when everything starts, or fails, at the same moment.

use std::time::Duration;

use fescuewell_core::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// A point between now and `spread` later, chosen by the instance's seed.
///
/// After a restart of the whole fleet, first readings and first draws that are not waited for by a
/// request start there. Without it all instances would ask the table in the same second and it would
/// answer none of them in time.
pub fn random_start(now: Instant, spread: Duration, seed: u64) -> Instant {
    let mut rng = SmallRng::seed_from_u64(seed);
    now + spread.mul_f64(rng.random::<f64>())
}

/// Limits how often something may be done, with room for a burst.
///
/// ```
/// use fescuewell_core::prelude::*;
/// use fescuewell_membership::pacing::TokenBucket;
/// let mut bucket = TokenBucket::new(2.0, 1.0);
/// assert!(bucket.take_one(Instant::from_millis(0)));
/// assert!(!bucket.take_one(Instant::from_millis(100)));
/// assert!(bucket.take_one(Instant::from_millis(600)));
/// ```
#[derive(Debug, Clone)]
pub struct TokenBucket {
    per_second: f64,
    burst: f64,
    tokens: f64,
    filled_at: Option<Instant>,
}

impl TokenBucket {
    /// A bucket that lets `per_second` through in the long run and `burst` at once.
    pub fn new(per_second: f64, burst: f64) -> Self {
        Self {
            per_second,
            burst,
            tokens: burst,
            filled_at: None,
        }
    }

    /// Takes one passage if there is one.
    pub fn take_one(&mut self, now: Instant) -> bool {
        self.take(now, 1.0)
    }

    /// Takes `amount` passages if there are as many.
    pub fn take(&mut self, now: Instant, amount: f64) -> bool {
        let since = self.filled_at.map_or(Duration::ZERO, |at| now.since(at));
        self.filled_at = Some(now);
        let filled = self.tokens + since.as_secs_f64() * self.per_second;
        self.tokens = filled.min(self.burst);
        if self.tokens < amount {
            return false;
        }
        self.tokens -= amount;
        true
    }
}

/// Waits between attempts that fail: doubling, with full jitter, up to a limit.
#[derive(Debug, Clone)]
pub struct Backoff {
    base: Duration,
    most: Duration,
    failures: u32,
    rng: SmallRng,
}

/// Doublings after which the wait no longer grows.
const MOST_DOUBLINGS: u32 = 16;

impl Backoff {
    /// A backoff whose first wait is at most `base`, and no wait longer than `most`.
    pub fn new(base: Duration, most: Duration, seed: u64) -> Self {
        Self {
            base,
            most,
            failures: 0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Notes a failure and returns how long to wait.
    ///
    /// Half of the wait is random, so that instances which failed together do not come back together.
    pub fn next_delay(&mut self) -> Duration {
        let doubled = self.base * 2u32.pow(self.failures.min(MOST_DOUBLINGS));
        self.failures = self.failures.saturating_add(1);
        let wait = doubled.min(self.most);
        wait.mul_f64(self.rng.random_range(0.5..=1.0))
    }

    /// Notes a success: the next failure waits for the shortest time again.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
