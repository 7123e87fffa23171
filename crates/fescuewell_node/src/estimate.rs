//! Estimates of request cost and duration per group and kind, learned from completed requests.

use std::collections::HashMap;
use std::time::Duration;

use fescuewell_core::prelude::*;

/// Weight of a new sample in the exponential moving averages.
const GAIN: f64 = 0.1;
/// Maximum estimated duration as a fraction of the remaining time.
///
/// Without this cap, an estimate that is too long would refuse every request as too late, and none would run
/// to correct it.
const MAX_TIME_RATIO: f64 = 0.5;

/// Moving averages of one group and kind.
#[derive(Debug, Clone, Copy)]
struct Mean {
    /// Actual cost as a fraction of the maximum cost.
    cost_ratio: f64,
    /// Duration from send to completion, in seconds.
    seconds: f64,
}

/// Moving averages of every group and kind seen so far.
///
/// ```
/// use std::time::Duration;
/// use fescuewell_core::prelude::*;
/// use fescuewell_node::estimate::{Estimator, Key};
///
/// let key = Key { group: GroupKey(0), kind: KindKey(0) };
/// let mut estimator = Estimator::default();
/// assert_eq!(estimator.cost(key, Tokens(400)), Tokens(400));
/// estimator.learn(key, (Tokens(100), Tokens(400)), Duration::from_secs(2));
/// assert_eq!(estimator.cost(key, Tokens(400)), Tokens(100));
/// assert_eq!(estimator.time(key, Duration::from_secs(60)), Duration::from_secs(2));
/// ```
#[derive(Debug, Default)]
pub struct Estimator {
    means: HashMap<Key, Mean>,
}

fescuewell_core::key! {
    /// A group and a request kind.
    pub struct Key {
        /// The group that pays.
        pub group: GroupKey,
        /// The request kind.
        pub kind: KindKey,
    }
}

impl Estimator {
    /// Adds a completed request: its actual cost, its maximum cost and its duration.
    pub fn learn(&mut self, key: Key, (cost, bound): (Tokens, Tokens), took: Duration) {
        let cost_ratio = cost.0 as f64 / bound.0.max(1) as f64;
        let sample = Mean {
            cost_ratio: cost_ratio.min(1.0),
            seconds: took.as_secs_f64(),
        };
        let mean = self.means.entry(key).or_insert(sample);
        mean.cost_ratio += GAIN * (sample.cost_ratio - mean.cost_ratio);
        mean.seconds += GAIN * (sample.seconds - mean.seconds);
    }

    /// Returns the expected cost of a request whose maximum cost is `bound`. Used for fairness in the queue,
    /// never for billing.
    pub fn cost(&self, key: Key, bound: Tokens) -> Tokens {
        let cost_ratio = self.means.get(&key).map_or(1.0, |mean| mean.cost_ratio);
        Tokens((bound.0 as f64 * cost_ratio).ceil() as u64)
    }

    /// Returns the expected duration, at most half of the time that is left.
    pub fn time(&self, key: Key, left: Duration) -> Duration {
        let seconds = self.means.get(&key).map_or(0.0, |mean| mean.seconds);
        Duration::from_secs_f64(seconds).min(left.mul_f64(MAX_TIME_RATIO))
    }
}
