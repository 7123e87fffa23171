//! Adaptive concurrency limit of one instance on one backend server.
//!
//! The limit starts at the instance's share of the server's concurrency. It shrinks when the server responds "busy" or
//! when the time per token rises far above its recent minimum, and grows again by one for each round of requests
//! (additive increase, multiplicative decrease). Part of it is reserved for urgent requests, so that they need not wait
//! for a bulk stream to end.
//!
//! ```
//! use fescuewell_core::prelude::*;
//! use fescuewell_queue::limit::{Class, Limit, Settings};
//!
//! let now = Instant::from_millis(0);
//! let mut limit = Limit::new(Settings::default(), 10.0);
//! let bulk = (0..20).filter(|_| limit.try_start(now, Class::Bulk)).count();
//! let urgent = (0..20).filter(|_| limit.try_start(now, Class::Urgent)).count();
//! assert_eq!((bulk, urgent), (8, 2));
//! ```

mod demand;
mod latency;

use std::time::Duration;

use fescuewell_core::prelude::*;

use demand::Demand;
use latency::Latency;

fescuewell_core::data! {
    /// Whether a request may use the part of the limit that is reserved for urgent requests.
    #[derive(Copy, Hash)]
    pub enum Class {
        /// May use the reserve.
        Urgent,
        /// May not use the reserve.
        Bulk,
    }
}

/// Outcome of a request on the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The request ran to completion.
    Done {
        /// Time per token of the response; `None` for calls without tokens.
        per_token: Option<Duration>,
    },
    /// The server refused the request because it is at capacity.
    Busy,
    /// The request failed or was cancelled. Does not affect the limit, since the cause is not load.
    Failed,
}

/// Settings of a [`Limit`].
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Minimum part of the limit reserved for urgent requests, in percent.
    pub reserve_percent: u32,
    /// Part of the limit that bulk requests may use regardless of urgent demand, in percent. Must be at least the sum
    /// of the floors of all bulk kinds, or the floors cannot be met.
    pub min_bulk_percent: u32,
    /// The reserve is the mean number of urgent requests in flight over the last 30 s plus this many standard
    /// deviations. A lower value leaves less capacity unused, but bursts of urgent requests wait or preempt more often.
    pub reserve_deviations: f64,
    /// Maximum limit, in percent of the share. Above 100, an instance under high load can use capacity that others leave
    /// unused, but the fleet may exceed the server's concurrency until the server responds "busy".
    pub max_limit_percent: u32,
    /// The limit shrinks when the time per token exceeds this percentage of its recent minimum. Well above 100, since a
    /// batching engine is slower with a full batch than with an empty one.
    pub latency_tolerance_percent: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            reserve_percent: 20,
            min_bulk_percent: 10,
            reserve_deviations: 1.0,
            max_limit_percent: 100,
            latency_tolerance_percent: 300,
        }
    }
}

/// The limit of one instance on one backend server.
#[derive(Debug, Clone)]
pub struct Limit {
    settings: Settings,
    share: f64,
    limit: f64,
    urgent: u32,
    bulk: u32,
    demand: Demand,
    latency: Latency,
    /// Whether at least [`USED_PART`] of the limit was in use at some time in this round of requests.
    was_near_limit: bool,
    /// Number of requests that ended in this round.
    ended: u32,
    last_reduction: Option<Instant>,
    last_start: Instant,
    idle_until: Instant,
}

/// Factor applied to the limit on a "busy" response.
const BUSY_FACTOR: f64 = 0.7;

/// Minimum factor of a single reduction because of slow tokens.
const MIN_SLOW_FACTOR: f64 = 0.8;

/// Minimum time between two reductions: requests sent before the first one were still subject to the old limit.
const MIN_REDUCTION_INTERVAL: Duration = Duration::from_millis(500);

/// Time after the last reduction at which the limit returns to the share.
const RECOVERY_TIME: Duration = Duration::from_secs(30);

/// The limit grows only if this part of it was in use: an unused limit does not show that the server can take more.
const USED_PART: f64 = 0.8;

/// Part of the share by which the limit grows in each round while it is below the share.
const RECOVERY_PART: f64 = 0.25;

/// Maximum idle time between two requests of an instance whose limit is below 1.
const MAX_IDLE: Duration = Duration::from_secs(60);

impl Limit {
    /// Creates a limit that starts at `share`: the server's concurrency divided by the number of live instances. A share
    /// below 1 allows one request at a time, with idle time in between.
    pub fn new(settings: Settings, share: f64) -> Self {
        let share = valid_share(share);
        Self {
            settings,
            share,
            limit: share,
            urgent: 0,
            bulk: 0,
            demand: Demand::default(),
            latency: Latency::default(),
            was_near_limit: false,
            ended: 0,
            last_reduction: None,
            last_start: Instant::default(),
            idle_until: Instant::default(),
        }
    }

    /// Changes the share, for instance when an instance joined or left. Scales the limit in proportion.
    pub fn set_share(&mut self, share: f64) {
        let share = valid_share(share);
        self.limit *= share / self.share;
        self.share = share;
        self.limit = self.limit.clamp(self.min_limit(), self.max_limit());
    }

    /// Starts a request of the class if the limit allows it.
    pub fn try_start(&mut self, now: Instant, class: Class) -> bool {
        self.recover(now);
        if !self.can_start(now, class) {
            return false;
        }
        self.demand.observe(now, self.urgent);
        match class {
            Class::Urgent => self.urgent += 1,
            Class::Bulk => self.bulk += 1,
        }
        self.was_near_limit |= self.is_near_limit();
        self.last_start = now;
        true
    }

    /// Returns whether [`Limit::try_start`] would succeed.
    pub fn can_start(&self, now: Instant, class: Class) -> bool {
        if self.in_flight() >= self.max_in_flight() || now < self.idle_until {
            return false;
        }
        class == Class::Urgent || self.bulk < self.max_bulk(now)
    }

    /// Raises the reserve to at least one more than the urgent requests in flight. To be called when an urgent request could
    /// start neither on this server nor on any other that can serve it.
    ///
    /// The reserve decays again with time. Without this, bulk requests would take the next free capacity, and a burst of
    /// urgent requests would wait or preempt repeatedly until the mean has followed.
    pub fn raise_reserve(&mut self, now: Instant) {
        self.demand.observe(now, self.urgent);
        self.demand.raise(self.urgent + 1);
    }

    /// Ends a request and adapts the limit to its outcome.
    pub fn finish(&mut self, now: Instant, class: Class, outcome: Outcome) {
        self.demand.observe(now, self.urgent);
        match class {
            Class::Urgent => self.urgent = self.urgent.saturating_sub(1),
            Class::Bulk => self.bulk = self.bulk.saturating_sub(1),
        }
        self.idle(now);
        match outcome {
            Outcome::Busy => self.reduce(now, BUSY_FACTOR),
            Outcome::Done { per_token } => self.record_completion(now, per_token),
            Outcome::Failed => {}
        }
    }

    /// Number of running requests.
    pub fn in_flight(&self) -> u32 {
        self.urgent + self.bulk
    }

    /// Maximum number of running requests.
    pub fn max_in_flight(&self) -> u32 {
        (self.limit as u32).max(1)
    }

    /// Maximum number of running bulk requests.
    ///
    /// This is what the reserve leaves. The reserve follows the recent urgent concurrency: with a fixed one, further
    /// urgent requests wait for bulk streams to end, on average the duration of a bulk stream divided by the number of
    /// running requests. At least one bulk request may always run, or bulk work would never start on small shares.
    pub fn max_bulk(&self, now: Instant) -> u32 {
        let max_in_flight = f64::from(self.max_in_flight());
        let reserve = (max_in_flight * f64::from(self.settings.reserve_percent) / 100.0).ceil();
        let demand = self.demand.at(now, self.urgent);
        let expected = demand.expected(self.settings.reserve_deviations).ceil();
        let bulk = (max_in_flight - reserve.max(expected)) as u32;
        bulk.max(self.min_bulk())
    }

    /// Number of running bulk requests beyond their guaranteed minimum, which urgent requests may preempt.
    pub fn preemptible_bulk(&self) -> u32 {
        self.bulk.saturating_sub(self.min_bulk())
    }

    fn min_bulk(&self) -> u32 {
        let part = self.max_in_flight() * self.settings.min_bulk_percent.min(100);
        part.div_ceil(100).max(1)
    }

    fn record_completion(&mut self, now: Instant, per_token: Option<Duration>) {
        if let Some(per_token) = per_token {
            self.latency.add(now, per_token);
        }
        let tolerance = f64::from(self.settings.latency_tolerance_percent) / 100.0;
        let gradient = self.latency.gradient(tolerance);
        if gradient < 1.0 {
            self.reduce(now, gradient.max(MIN_SLOW_FACTOR));
            return;
        }
        if self.was_near_limit {
            self.grow();
        }
        self.ended += 1;
        // Evaluated per round: within a round, all requests may end before the next ones start.
        if self.ended >= self.max_in_flight() {
            self.ended = 0;
            self.was_near_limit = self.is_near_limit();
        }
    }

    fn is_near_limit(&self) -> bool {
        f64::from(self.in_flight()) >= (self.limit * USED_PART).floor()
    }

    fn grow(&mut self) {
        // Each request adds a fraction, so that a whole round adds one step.
        let step = if self.limit < self.share {
            (self.share * RECOVERY_PART).max(1.0)
        } else {
            1.0
        };
        self.limit = (self.limit + step / self.limit.max(1.0)).min(self.max_limit());
    }

    fn reduce(&mut self, now: Instant, factor: f64) {
        if self
            .last_reduction
            .is_some_and(|last| now.since(last) < MIN_REDUCTION_INTERVAL)
        {
            return;
        }
        self.last_reduction = Some(now);
        self.limit = (self.limit * factor).max(self.min_limit());
    }

    /// Returns to the share some time after the last reduction. If the limit only grew by use, it would stay low on a
    /// server that receives few requests because of the low limit.
    fn recover(&mut self, now: Instant) {
        if self
            .last_reduction
            .is_some_and(|last| now.since(last) >= RECOVERY_TIME)
        {
            self.last_reduction = None;
            self.limit = self.limit.max(self.share);
        }
    }

    /// Inserts idle time after a request if the limit is below 1, so that all instances together stay within the
    /// server's concurrency.
    fn idle(&mut self, now: Instant) {
        if self.limit >= 1.0 {
            return;
        }
        let duration = now.since(self.last_start);
        let idle = duration.mul_f64(1.0 / self.limit - 1.0).min(MAX_IDLE);
        self.idle_until = now + idle;
    }

    fn min_limit(&self) -> f64 {
        self.share.min(1.0)
    }

    fn max_limit(&self) -> f64 {
        self.share * f64::from(self.settings.max_limit_percent.max(1)) / 100.0
    }
}

/// Minimum share; bounds the idle time between requests.
const MIN_SHARE: f64 = 0.01;

fn valid_share(share: f64) -> f64 {
    if share.is_finite() {
        share.max(MIN_SHARE)
    } else {
        MIN_SHARE
    }
}
