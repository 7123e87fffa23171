//! Recent rate of use, as an exponentially weighted moving average.

use std::time::Duration;

use fescuewell_core::prelude::*;

/// Time constant of the fast average, which follows a rise in requests within a minute.
pub const FAST_TIME_CONSTANT: Duration = Duration::from_secs(30);

/// Time constant of the slow average, for callers with infrequent requests. With the fast average
/// alone, an allowance would be returned between two requests of a small group, and an outage in
/// between would find none.
pub const SLOW_TIME_CONSTANT: Duration = Duration::from_secs(300);

/// Weight of the latest request in the averages over requests.
const SMOOTHING_FACTOR: f32 = 0.1;

/// Expected cost of requests in tokens per second, from their holds and earlier settlements.
///
/// A hold counts when it is made, since its settlement may follow much later. It counts only by the
/// fraction that earlier requests used, since allowances sized by the worst case would tie up too
/// many tokens.
#[derive(Debug, Clone)]
pub struct Rate {
    /// Exponentially decayed sums of expected costs.
    fast: f32,
    slow: f32,
    updated_at: Instant,
    created_at: Instant,
    /// Moving average of cost divided by hold.
    used_fraction: f32,
    /// Moving average of the amount of a hold.
    mean_hold: f32,
}

impl Rate {
    /// Creates a rate of zero.
    pub fn new(now: Instant) -> Self {
        Self {
            fast: 0.0,
            slow: 0.0,
            updated_at: now,
            created_at: now,
            used_fraction: 1.0,
            mean_hold: 0.0,
        }
    }

    /// Adds a hold to the averages.
    pub fn record_hold(&mut self, now: Instant, amount: Tokens) {
        let amount = amount.0 as f32;
        let cost = amount * self.used_fraction;
        let elapsed = now.since(self.updated_at);
        self.fast = self.fast * decay(elapsed, FAST_TIME_CONSTANT) + cost;
        self.slow = self.slow * decay(elapsed, SLOW_TIME_CONSTANT) + cost;
        self.updated_at = self.updated_at.max(now);
        if self.mean_hold == 0.0 {
            self.mean_hold = amount;
        }
        self.mean_hold += SMOOTHING_FACTOR * (amount - self.mean_hold);
    }

    /// Updates the used fraction from a settled hold.
    pub fn record_settlement(&mut self, hold: Tokens, cost: Tokens) {
        if hold.is_zero() {
            return;
        }
        let share = cost.0 as f32 / hold.0 as f32;
        self.used_fraction += SMOOTHING_FACTOR * (share - self.used_fraction);
    }

    /// Returns the expected cost in tokens per second: the larger of the two averages.
    ///
    /// Until a time constant has passed since creation, the sum is divided by the elapsed time;
    /// otherwise the rate would start far too low.
    pub fn per_second(&self, now: Instant) -> f32 {
        let elapsed = now.since(self.updated_at);
        let age = now.since(self.created_at);
        let fast = self.fast * decay(elapsed, FAST_TIME_CONSTANT)
            / averaging_window(age, FAST_TIME_CONSTANT);
        let slow = self.slow * decay(elapsed, SLOW_TIME_CONSTANT)
            / averaging_window(age, SLOW_TIME_CONSTANT);
        fast.max(slow)
    }

    /// Mean amount of recent holds, in tokens.
    pub fn mean_hold(&self) -> Tokens {
        Tokens(self.mean_hold as u64)
    }
}

/// Minimum time over which a rate is computed. The first request of a group says little about its
/// rate.
const MIN_WINDOW: Duration = Duration::from_secs(10);

fn averaging_window(age: Duration, constant: Duration) -> f32 {
    age.clamp(MIN_WINDOW, constant).as_secs_f32()
}

fn decay(elapsed: Duration, constant: Duration) -> f32 {
    (-elapsed.as_secs_f32() / constant.as_secs_f32()).exp()
}
