//! Recent rate of use, as an exponentially weighted moving average.

use std::time::Duration;

use fescuewell_core::prelude::*;

/// Time constant of the fast average, which follows a surge of callers within a minute.
pub const FAST: Duration = Duration::from_secs(30);

/// Time constant of the slow average, which remembers callers that ask only now and then. With the fast
/// one alone an allowance would be returned between two requests of a small group, and an outage
/// in between would find none.
pub const SLOW: Duration = Duration::from_secs(300);

/// How strongly the latest request moves the averages over requests.
const WEIGHT: f32 = 0.1;

/// Tokens per second that requests are expected to cost, from their holds and earlier settlements.
///
/// A hold counts when it is taken, since its settlement may come much later; it counts for the share of
/// it that earlier requests used up, since allowances sized by worst cases would tie up too much.
#[derive(Debug, Clone)]
pub struct Rate {
    /// Decayed sums of expected costs.
    fast: f32,
    slow: f32,
    at: Instant,
    first: Instant,
    /// Decayed average of cost over hold.
    used_share: f32,
    /// Decayed average size of a hold.
    hold: f32,
}

impl Rate {
    /// A rate of zero.
    pub fn new(now: Instant) -> Self {
        Self {
            fast: 0.0,
            slow: 0.0,
            at: now,
            first: now,
            used_share: 1.0,
            hold: 0.0,
        }
    }

    /// Takes a hold into account.
    pub fn count_hold(&mut self, now: Instant, amount: Tokens) {
        let amount = amount.0 as f32;
        let cost = amount * self.used_share;
        let elapsed = now.since(self.at);
        self.fast = self.fast * decay(elapsed, FAST) + cost;
        self.slow = self.slow * decay(elapsed, SLOW) + cost;
        self.at = self.at.max(now);
        if self.hold == 0.0 {
            self.hold = amount;
        }
        self.hold += WEIGHT * (amount - self.hold);
    }

    /// Learns which part of a hold was really used.
    pub fn count_settlement(&mut self, hold: Tokens, cost: Tokens) {
        if hold.is_zero() {
            return;
        }
        let share = cost.0 as f32 / hold.0 as f32;
        self.used_share += WEIGHT * (share - self.used_share);
    }

    /// Expected cost in tokens per second: the larger of the two averages.
    ///
    /// While less than a time constant has passed since the first hold, the sum is divided by the
    /// time that has passed, or the rate would start far too low.
    pub fn per_second(&self, now: Instant) -> f32 {
        let elapsed = now.since(self.at);
        let known = now.since(self.first);
        let fast = self.fast * decay(elapsed, FAST) / span(known, FAST);
        let slow = self.slow * decay(elapsed, SLOW) / span(known, SLOW);
        fast.max(slow)
    }

    /// Average size of recent holds, in tokens.
    pub fn usual_hold(&self) -> Tokens {
        Tokens(self.hold as u64)
    }
}

/// Shortest time over which a rate is worked out. The first request of a group says little about its rate.
const SHORTEST_SPAN: Duration = Duration::from_secs(10);

fn span(known: Duration, constant: Duration) -> f32 {
    known.clamp(SHORTEST_SPAN, constant).as_secs_f32()
}

fn decay(elapsed: Duration, constant: Duration) -> f32 {
    (-elapsed.as_secs_f32() / constant.as_secs_f32()).exp()
}
