//! Spreads accesses over time when many instances start, or fail, at the same moment.

use std::time::Duration;

use fescuewell_core::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Returns a point between now and `spread` later, derived from the instance's seed.
///
/// After a restart of the whole fleet, first reads, and first draws that no request waits for,
/// start there. Otherwise all instances would access the table in the same second and it would
/// answer none of them in time.
pub fn random_start(now: Instant, spread: Duration, seed: u64) -> Instant {
    let mut rng = SmallRng::seed_from_u64(seed);
    now + spread.mul_f64(rng.random::<f64>())
}

/// A token bucket: limits a rate, and allows bursts.
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
    rate_per_s: f64,
    burst: f64,
    tokens: f64,
    refilled_at: Option<Instant>,
}

impl TokenBucket {
    /// A full bucket that refills at `rate_per_s` and holds at most `burst` tokens.
    pub fn new(rate_per_s: f64, burst: f64) -> Self {
        Self {
            rate_per_s,
            burst,
            tokens: burst,
            refilled_at: None,
        }
    }

    /// Takes one token if there is one.
    pub fn take_one(&mut self, now: Instant) -> bool {
        self.take(now, 1.0)
    }

    /// Takes `amount` tokens if there are that many.
    pub fn take(&mut self, now: Instant, amount: f64) -> bool {
        let since = self.refilled_at.map_or(Duration::ZERO, |at| now.since(at));
        self.refilled_at = Some(now);
        let filled = self.tokens + since.as_secs_f64() * self.rate_per_s;
        self.tokens = filled.min(self.burst);
        if self.tokens < amount {
            return false;
        }
        self.tokens -= amount;
        true
    }
}

/// Exponential backoff with jitter and a maximum.
#[derive(Debug, Clone)]
pub struct Backoff {
    base: Duration,
    max: Duration,
    failures: u32,
    rng: SmallRng,
}

/// Doublings after which the delay no longer grows.
const MAX_DOUBLINGS: u32 = 16;

impl Backoff {
    /// A backoff whose first delay is at most `base`, and no delay longer than `max`.
    pub fn new(base: Duration, max: Duration, seed: u64) -> Self {
        Self {
            base,
            max,
            failures: 0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Records a failure and returns the delay before the next attempt.
    ///
    /// Half of the delay is random, so that instances which failed together do not retry together.
    pub fn next_delay(&mut self) -> Duration {
        let doubled = self.base * 2u32.pow(self.failures.min(MAX_DOUBLINGS));
        self.failures = self.failures.saturating_add(1);
        let wait = doubled.min(self.max);
        wait.mul_f64(self.rng.random_range(0.5..=1.0))
    }

    /// Records a success: the next failure starts with the shortest delay again.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
