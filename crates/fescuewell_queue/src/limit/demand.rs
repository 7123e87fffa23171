//! Recent concurrency of urgent requests.

use fescuewell_core::prelude::*;

/// Time-weighted mean and variance of the number of urgent requests in flight.
#[derive(Debug, Clone, Default)]
pub(crate) struct Demand {
    mean: f64,
    variance: f64,
    last: Instant,
}

/// Time constant of the exponential decay, in seconds.
const DECAY_SECONDS: f64 = 30.0;

impl Demand {
    /// Records that `in_flight` requests ran since the last observation.
    pub fn observe(&mut self, now: Instant, in_flight: u32) {
        *self = self.at(now, in_flight);
    }

    /// Raises the mean to at least `needed`.
    pub fn raise(&mut self, needed: u32) {
        self.mean = self.mean.max(f64::from(needed));
    }

    /// Returns the expected concurrency: the mean plus `deviations` standard deviations.
    pub fn expected(&self, deviations: f64) -> f64 {
        self.mean + deviations * self.variance.sqrt()
    }

    /// Returns the state after `in_flight` requests ran since the last observation.
    pub fn at(&self, now: Instant, in_flight: u32) -> Self {
        let seconds = now.since(self.last).as_secs_f64();
        let weight = 1.0 - (-seconds / DECAY_SECONDS).exp();
        let difference = f64::from(in_flight) - self.mean;
        Self {
            mean: self.mean + weight * difference,
            variance: (1.0 - weight) * (self.variance + weight * difference * difference),
            last: now.max(self.last),
        }
    }
}
