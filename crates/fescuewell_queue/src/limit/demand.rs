//! How much urgent work ran at once lately.

use fescuewell_core::prelude::*;

/// Time-weighted mean and variance of the urgent requests in flight.
#[derive(Debug, Clone, Default)]
pub(crate) struct Demand {
    mean: f64,
    variance: f64,
    last: Instant,
}

/// Time over which past demand is forgotten, in seconds.
const MEMORY: f64 = 30.0;

impl Demand {
    /// `in_flight` requests ran since the last observation.
    pub fn observe(&mut self, now: Instant, in_flight: u32) {
        *self = self.at(now, in_flight);
    }

    /// At least so many are needed.
    pub fn raise(&mut self, needed: u32) {
        self.mean = self.mean.max(f64::from(needed));
    }

    /// Places that urgent work is expected to need at once.
    pub fn expected(&self, deviations: f64) -> f64 {
        self.mean + deviations * self.variance.sqrt()
    }

    /// The state after `in_flight` requests ran since the last observation.
    pub fn at(&self, now: Instant, in_flight: u32) -> Self {
        let seconds = now.since(self.last).as_secs_f64();
        let weight = 1.0 - (-seconds / MEMORY).exp();
        let difference = f64::from(in_flight) - self.mean;
        Self {
            mean: self.mean + weight * difference,
            variance: (1.0 - weight) * (self.variance + weight * difference * difference),
            last: now.max(self.last),
        }
    }
}
