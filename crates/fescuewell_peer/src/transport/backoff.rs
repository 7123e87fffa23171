//! Pauses between attempts to connect to one peer.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

const FIRST: Duration = Duration::from_millis(50);
const LONGEST: Duration = Duration::from_secs(5);

/// Doubles from 50 ms to 5 s. Each pause is cut by a random part of up to a half: after an outage
/// that ended for all at once, instances would otherwise all connect in the same moment, again and again.
pub(super) struct Backoff {
    pause: Duration,
    random: SmallRng,
}

impl Backoff {
    pub(super) fn new(random: SmallRng) -> Self {
        Self {
            pause: FIRST,
            random,
        }
    }

    pub(super) fn reset(&mut self) {
        self.pause = FIRST;
    }

    /// The pause before the next attempt.
    pub(super) fn next(&mut self) -> Duration {
        let pause = self.pause.mul_f64(self.random.random_range(0.5..1.0));
        self.pause = (self.pause * 2).min(LONGEST);
        pause
    }
}
