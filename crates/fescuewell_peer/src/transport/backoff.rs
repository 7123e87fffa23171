//! Delays between attempts to connect to a peer.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

const MIN_DELAY: Duration = Duration::from_millis(50);
const MAX_DELAY: Duration = Duration::from_secs(5);

/// Exponential backoff from 50 ms to 5 s with random jitter, which shortens each delay by up to half.
/// Without jitter, all instances would retry at the same moments after a common outage.
pub(super) struct Backoff {
    delay: Duration,
    rng: SmallRng,
}

impl Backoff {
    pub(super) fn new(rng: SmallRng) -> Self {
        Self {
            delay: MIN_DELAY,
            rng,
        }
    }

    pub(super) fn reset(&mut self) {
        self.delay = MIN_DELAY;
    }

    /// Returns the delay before the next attempt.
    pub(super) fn next(&mut self) -> Duration {
        let delay = self.delay.mul_f64(self.rng.random_range(0.5..1.0));
        self.delay = (self.delay * 2).min(MAX_DELAY);
        delay
    }
}
