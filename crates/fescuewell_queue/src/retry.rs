//! Retry budget and exponential backoff.
//!
//! ```
//! use fescuewell_core::prelude::*;
//! use fescuewell_queue::retry::{Budget, BudgetSettings};
//!
//! let mut budget = Budget::new(BudgetSettings { ratio_percent: 50, min_retries: 1, ..Default::default() });
//! let now = Instant::from_millis(0);
//! budget.record_request(now);
//! budget.record_request(now);
//! assert!(budget.try_retry(now)); // allowed by the ratio
//! assert!(budget.try_retry(now)); // allowed by `min_retries`
//! assert!(!budget.try_retry(now));
//! ```

use std::collections::VecDeque;
use std::time::Duration;

use fescuewell_core::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Settings of a [`Budget`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BudgetSettings {
    /// Retries allowed per hundred requests of the window.
    pub ratio_percent: u32,
    /// Retries allowed in each window regardless of the number of requests, so that an instance with few requests can
    /// retry at all.
    pub min_retries: u32,
    /// Length of the sliding window in which requests and retries are counted.
    pub window: Duration,
}

impl Default for BudgetSettings {
    fn default() -> Self {
        Self {
            ratio_percent: 10,
            min_retries: 3,
            window: Duration::from_secs(10),
        }
    }
}

/// Limits retries to a percentage of requests, plus a constant, within a sliding window.
///
/// Without a limit, each failure of an overloaded server causes further attempts, and these keep the server overloaded
/// after the surge has ended: the number of attempts exceeds the number of requests.
#[derive(Debug, Clone)]
pub struct Budget {
    settings: BudgetSettings,
    sections: VecDeque<Section>,
    requests: u64,
    retries: u64,
}

/// Counts of one section of the window.
#[derive(Debug, Clone, Copy, Default)]
struct Section {
    start: Instant,
    requests: u64,
    retries: u64,
}

/// Number of sections of the window.
const SECTIONS: u32 = 10;

impl Budget {
    /// Creates a budget with empty counts.
    pub fn new(settings: BudgetSettings) -> Self {
        Self {
            settings,
            sections: VecDeque::new(),
            requests: 0,
            retries: 0,
        }
    }

    /// Counts the first attempt at a request.
    pub fn record_request(&mut self, now: Instant) {
        self.requests += 1;
        self.current_section(now).requests += 1;
    }

    /// Takes one retry from the budget. Returns `false` if none is left.
    pub fn try_retry(&mut self, now: Instant) -> bool {
        if !self.can_retry(now) {
            return false;
        }
        self.retries += 1;
        self.current_section(now).retries += 1;
        true
    }

    /// Whether [`Budget::try_retry`] would succeed.
    pub fn can_retry(&mut self, now: Instant) -> bool {
        self.remove_expired(now);
        self.remaining() > 0
    }

    /// Number of retries left as of the last call.
    pub fn remaining(&self) -> u64 {
        let from_ratio = self.requests * u64::from(self.settings.ratio_percent) / 100;
        (from_ratio + u64::from(self.settings.min_retries)).saturating_sub(self.retries)
    }

    fn current_section(&mut self, now: Instant) -> &mut Section {
        self.remove_expired(now);
        let width = self.settings.window / SECTIONS;
        let newest = self.sections.back();
        if newest.is_none_or(|section| now.since(section.start) >= width) {
            let section = Section {
                start: now,
                ..Section::default()
            };
            self.sections.push_back(section);
        }
        let last = self.sections.len() - 1;
        &mut self.sections[last]
    }

    fn remove_expired(&mut self, now: Instant) {
        while let Some(&section) = self.sections.front() {
            if now.since(section.start) < self.settings.window {
                return;
            }
            self.requests -= section.requests;
            self.retries -= section.retries;
            self.sections.pop_front();
        }
    }
}

/// Settings of a [`Backoff`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BackoffSettings {
    /// Maximum delay before the first retry.
    pub base_interval: Duration,
    /// Maximum delay before any retry.
    pub max_interval: Duration,
}

impl Default for BackoffSettings {
    fn default() -> Self {
        Self {
            base_interval: Duration::from_millis(50),
            max_interval: Duration::from_secs(5),
        }
    }
}

/// Exponential backoff with random delays, so that requests that failed together are not retried together.
#[derive(Debug, Clone)]
pub struct Backoff {
    settings: BackoffSettings,
    rng: SmallRng,
}

/// Maximum exponent; keeps the shift from overflowing. The delay has reached the maximum by then.
const MAX_DOUBLINGS: u32 = 20;

/// Maximum random addition to "retry after", as a fraction of it.
const RETRY_AFTER_JITTER: f64 = 0.5;

impl Backoff {
    /// Creates a backoff whose random delays are derived from `seed`.
    pub fn new(settings: BackoffSettings, seed: u64) -> Self {
        Self {
            settings,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Returns the delay before retry number `retry` (0 is the first).
    ///
    /// The delay is uniform between zero and the base interval doubled `retry` times ("full jitter"). A "retry after"
    /// from the server is the minimum, with separate jitter.
    pub fn delay_for(&mut self, retry: u32, retry_after: Option<Duration>) -> Duration {
        let factor = 1u32 << retry.min(MAX_DOUBLINGS);
        let max_delay = self
            .settings
            .base_interval
            .saturating_mul(factor)
            .min(self.settings.max_interval);
        let random_delay = max_delay.mul_f64(self.rng.random::<f64>());
        let Some(min_delay) = retry_after else {
            return random_delay;
        };
        let jitter = self.rng.random::<f64>() * RETRY_AFTER_JITTER;
        random_delay.max(min_delay.mul_f64(1.0 + jitter))
    }

    /// Like [`Backoff::delay_for`], but returns `None` if the retry would not start before the deadline.
    pub fn delay_before(
        &mut self,
        now: Instant,
        deadline: Instant,
        retry: u32,
        retry_after: Option<Duration>,
    ) -> Option<Duration> {
        let delay = self.delay_for(retry, retry_after);
        (now + delay < deadline).then_some(delay)
    }
}
