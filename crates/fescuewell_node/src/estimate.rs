//! What requests of one group and kind usually cost and take, learned from those that ended.

use std::collections::HashMap;
use std::time::Duration;

use fescuewell_core::prelude::*;

/// Weight of the newest request in the running means.
const GAIN: f64 = 0.1;
/// Part of the remaining time that the expected time of an answer may claim at most.
///
/// An estimate that has become too long would otherwise refuse every request as too late, and no request would
/// ever run to correct it.
const MOST_PART: f64 = 0.5;

/// Running means of one group and kind.
#[derive(Debug, Clone, Copy)]
struct Mean {
    /// True cost as part of the worst case.
    part: f64,
    /// Seconds from the send to the end.
    seconds: f64,
}

/// Running means of all groups and kinds that were seen.
///
/// ```
/// use std::time::Duration;
/// use fescuewell_core::prelude::*;
/// use fescuewell_node::estimate::{Usual, Whose};
///
/// let whose = Whose { group: GroupKey(0), kind: KindKey(0) };
/// let mut usual = Usual::default();
/// assert_eq!(usual.cost(whose, Tokens(400)), Tokens(400));
/// usual.learn(whose, (Tokens(100), Tokens(400)), Duration::from_secs(2));
/// assert_eq!(usual.cost(whose, Tokens(400)), Tokens(100));
/// assert_eq!(usual.time(whose, Duration::from_secs(60)), Duration::from_secs(2));
/// ```
#[derive(Debug, Default)]
pub struct Usual {
    means: HashMap<Whose, Mean>,
}

fescuewell_core::key! {
    /// A group and a kind of request.
    pub struct Whose {
        /// The group that pays.
        pub group: GroupKey,
        /// The kind of request.
        pub kind: KindKey,
    }
}

impl Usual {
    /// Takes in a request that ended: its true cost, its worst case, and how long it ran.
    pub fn learn(&mut self, whose: Whose, (cost, bound): (Tokens, Tokens), took: Duration) {
        let part = cost.0 as f64 / bound.0.max(1) as f64;
        let sample = Mean {
            part: part.min(1.0),
            seconds: took.as_secs_f64(),
        };
        let mean = self.means.entry(whose).or_insert(sample);
        mean.part += GAIN * (sample.part - mean.part);
        mean.seconds += GAIN * (sample.seconds - mean.seconds);
    }

    /// Expected cost of a request whose worst case is `bound`: for the queue's fairness, never for money.
    pub fn cost(&self, whose: Whose, bound: Tokens) -> Tokens {
        let part = self.means.get(&whose).map_or(1.0, |mean| mean.part);
        Tokens((bound.0 as f64 * part).ceil() as u64)
    }

    /// Expected time of an answer, at most half of the time that is left.
    pub fn time(&self, whose: Whose, left: Duration) -> Duration {
        let seconds = self.means.get(&whose).map_or(0.0, |mean| mean.seconds);
        Duration::from_secs_f64(seconds).min(left.mul_f64(MOST_PART))
    }
}
