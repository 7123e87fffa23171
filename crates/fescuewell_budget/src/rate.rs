//! Recent rate of use, as an exponentially weighted moving average.

use std::time::Duration;

use fescuewell_core::prelude::*;

/// Time constant of the average. Long enough to smooth single requests of a small group, short
/// enough that allowances follow a shift of callers within a minute.
pub const TIME_CONSTANT: Duration = Duration::from_secs(30);

/// How strongly the latest request moves the expected share of a hold that is really used.
const USE_WEIGHT: f32 = 0.1;

/// Tokens per second that requests are expected to cost, from their holds and earlier settlements.
///
/// A hold counts when it is taken, since its settlement may come much later; it counts for the share of
/// it that earlier requests used up, since allowances sized by worst cases would tie up too much.
#[derive(Debug, Clone)]
pub struct Rate {
    /// Decayed sum of expected costs.
    sum: f32,
    at: Instant,
    first: Instant,
    /// Decayed average of cost over hold.
    used_share: f32,
    /// Decayed average size of a hold, for reserves.
    hold: f32,
}

impl Rate {
    /// A rate of zero.
    pub fn new(now: Instant) -> Self {
        Self {
            sum: 0.0,
            at: now,
            first: now,
            used_share: 1.0,
            hold: 0.0,
        }
    }

    /// Takes a hold into account.
    pub fn count_hold(&mut self, now: Instant, amount: Tokens) {
        let amount = amount.0 as f32;
        self.sum = self.decayed(now) + amount * self.used_share;
        self.at = self.at.max(now);
        if self.hold == 0.0 {
            self.hold = amount;
        }
        self.hold += USE_WEIGHT * (amount - self.hold);
    }

    /// Learns which part of a hold was really used.
    pub fn count_settlement(&mut self, hold: Tokens, cost: Tokens) {
        if hold.is_zero() {
            return;
        }
        let share = cost.0 as f32 / hold.0 as f32;
        self.used_share += USE_WEIGHT * (share - self.used_share);
    }

    /// Expected cost in tokens per second.
    ///
    /// While less than a time constant has passed since the first hold, the sum is divided by the
    /// time that has passed (at least a second), or the rate would start far too low.
    pub fn per_second(&self, now: Instant) -> f32 {
        let known = now.since(self.first).as_secs_f32().max(1.0);
        self.decayed(now) / known.min(TIME_CONSTANT.as_secs_f32())
    }

    /// Average size of recent holds, in tokens.
    pub fn usual_hold(&self) -> Tokens {
        Tokens(self.hold as u64)
    }

    fn decayed(&self, now: Instant) -> f32 {
        let elapsed = now.since(self.at).as_secs_f32();
        self.sum * (-elapsed / TIME_CONSTANT.as_secs_f32()).exp()
    }
}
