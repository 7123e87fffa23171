//! Budgets that bound retries, and the pauses between them.
//!
//! ```
//! use fescuewell_core::prelude::*;
//! use fescuewell_queue::retry::{Budget, BudgetSettings};
//!
//! let mut budget = Budget::new(BudgetSettings { ratio_percent: 50, min_retries: 1, ..Default::default() });
//! let now = Instant::from_millis(0);
//! budget.record_request(now);
//! budget.record_request(now);
//! assert!(budget.try_retry(now)); // from the ratio
//! assert!(budget.try_retry(now)); // from the constant
//! assert!(!budget.try_retry(now));
//! ```

use std::collections::VecDeque;
use std::time::Duration;

use fescuewell_core::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// How many retries a [`Budget`] allows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BudgetSettings {
    /// Retries for each hundred first tries.
    pub ratio_percent: u32,
    /// Retries that are allowed in each window whatever the first tries, so that a quiet instance can retry at all.
    pub min_retries: u32,
    /// Time over which first tries and retries are counted.
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

/// A bound on retries as a share of first tries.
///
/// A token bucket whose deposits lapse: each first try pays in a share of a retry, and both count for one
/// window. Without a bound, each failure of an overloaded server brings more requests, which keep it
/// overloaded after the surge that started it has ended; one would see more attempts than requests.
#[derive(Debug, Clone)]
pub struct Budget {
    settings: BudgetSettings,
    cells: VecDeque<Cell>,
    first_tries: u64,
    retries: u64,
}

/// Counts of one part of the window.
#[derive(Debug, Clone, Copy, Default)]
struct Cell {
    start: Instant,
    first_tries: u64,
    retries: u64,
}

/// Parts into which the window is cut.
const CELLS: u32 = 10;

impl Budget {
    /// A budget with nothing counted yet.
    pub fn new(settings: BudgetSettings) -> Self {
        Self {
            settings,
            cells: VecDeque::new(),
            first_tries: 0,
            retries: 0,
        }
    }

    /// Counts the first try of a request.
    pub fn record_request(&mut self, now: Instant) {
        self.first_tries += 1;
        self.cell(now).first_tries += 1;
    }

    /// Takes a retry out of the budget, if there is one left.
    pub fn try_retry(&mut self, now: Instant) -> bool {
        self.cell(now);
        if self.remaining() == 0 {
            return false;
        }
        self.retries += 1;
        self.cell(now).retries += 1;
        true
    }

    /// Retries left as of the last call.
    pub fn remaining(&self) -> u64 {
        let earned = self.first_tries * u64::from(self.settings.ratio_percent) / 100;
        (earned + u64::from(self.settings.min_retries)).saturating_sub(self.retries)
    }

    fn cell(&mut self, now: Instant) -> &mut Cell {
        self.lapse(now);
        let width = self.settings.window / CELLS;
        let fresh = self.cells.back();
        if fresh.is_none_or(|cell| now.since(cell.start) >= width) {
            let cell = Cell {
                start: now,
                ..Cell::default()
            };
            self.cells.push_back(cell);
        }
        let last = self.cells.len() - 1;
        &mut self.cells[last]
    }

    fn lapse(&mut self, now: Instant) {
        while let Some(&cell) = self.cells.front() {
            if now.since(cell.start) < self.settings.window {
                return;
            }
            self.first_tries -= cell.first_tries;
            self.retries -= cell.retries;
            self.cells.pop_front();
        }
    }
}

/// How long to pause before a retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BackoffSettings {
    /// Longest pause before the first retry.
    pub base_interval: Duration,
    /// Longest pause of all.
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

/// Pauses that double and are drawn at random, so that requests that failed together do not come back together.
#[derive(Debug, Clone)]
pub struct Backoff {
    settings: BackoffSettings,
    rng: SmallRng,
}

/// Doublings after which the longest pause is reached in any case.
const MOST_DOUBLINGS: u32 = 20;

/// Share of "retry after" that is added at random.
const RETRY_AFTER_JITTER: f64 = 0.5;

impl Backoff {
    /// Pauses drawn from `seed`.
    pub fn new(settings: BackoffSettings, seed: u64) -> Self {
        Self {
            settings,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// The pause before retry number `retry` (0 is the first): uniform between nothing and the doubled
    /// bound ("full jitter"). A "retry after" from the server is the least, with jitter of its own.
    pub fn delay_for(&mut self, retry: u32, retry_after: Option<Duration>) -> Duration {
        let factor = 1u32 << retry.min(MOST_DOUBLINGS);
        let most = self
            .settings
            .base_interval
            .saturating_mul(factor)
            .min(self.settings.max_interval);
        let drawn = most.mul_f64(self.rng.random::<f64>());
        let Some(least) = retry_after else {
            return drawn;
        };
        let jitter = self.rng.random::<f64>() * RETRY_AFTER_JITTER;
        drawn.max(least.mul_f64(1.0 + jitter))
    }

    /// Like [`Backoff::delay_for`], or `None` when the retry could not start before the deadline.
    pub fn delay_before(
        &mut self,
        now: Instant,
        deadline: Instant,
        retry: u32,
        retry_after: Option<Duration>,
    ) -> Option<Duration> {
        let pause = self.delay_for(retry, retry_after);
        (now + pause < deadline).then_some(pause)
    }
}
