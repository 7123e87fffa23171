//! How many requests one instance keeps running on one backend server.
//!
//! The limit starts from the instance's share of the server's concurrency and adapts: it shrinks when the
//! server answers "busy" or takes much longer for each token than at its best, and grows back by one for
//! each round of requests (additive increase, multiplicative decrease). Part of it is kept free of bulk work,
//! so that urgent requests need not wait for a bulk stream to end.
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
    /// Whether a request may use the room that is kept free of bulk work.
    #[derive(Copy, Hash)]
    pub enum Class {
        /// It may.
        Urgent,
        /// It may not.
        Bulk,
    }
}

/// How a request on the backend server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It ran.
    Done {
        /// Time for each token of the answer; `None` for calls that have none.
        per_token: Option<Duration>,
    },
    /// The server answered that it takes no more for now.
    Busy,
    /// It failed or was cancelled, which says nothing about load.
    Failed,
}

/// How a limit adapts.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Least part of the limit that is kept free of bulk work, in percent.
    pub reserve_percent: u32,
    /// Part of the limit that bulk work may use however much urgent work there is, in percent. At least the
    /// sum of the floors of bulk kinds, or these floors cannot be kept.
    pub min_bulk_percent: u32,
    /// The reserve holds the mean number of urgent requests in flight over the last 30 s and so many standard
    /// deviations. Less wastes less room and makes bursts of urgent work wait, or preempt.
    pub reserve_deviations: f64,
    /// Largest limit, in percent of the share. More than 100 lets an instance with much work use what others leave,
    /// at the price that the fleet together may exceed the server's concurrency until the server answers "busy".
    pub max_limit_percent: u32,
    /// The limit shrinks when a token takes longer than so many percent of its least time. A batching
    /// engine is slower with a full batch than with an empty one, so this is well above 100.
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
    /// Whether the limit was nearly used up in this round of requests.
    was_used: bool,
    /// Requests that ended in this round.
    ended: u32,
    last_cut: Option<Instant>,
    last_start: Instant,
    rest_until: Instant,
}

/// Factor by which an explicit "busy" shrinks the limit.
const BUSY_FACTOR: f64 = 0.7;

/// Smallest factor by which slow tokens shrink the limit at once.
const LEAST_SLOW_FACTOR: f64 = 0.8;

/// Least time between two cuts: the answers of requests that were sent before the first one say nothing new.
const CUT_PAUSE: Duration = Duration::from_millis(500);

/// Without a cut for so long, the limit returns to the share.
const CUT_MEMORY: Duration = Duration::from_secs(30);

/// The limit grows only if this part of it was used: unused room proves nothing.
const USED_PART: f64 = 0.8;

/// Part of the share by which the limit grows in each round while it lies below the share.
const REGAIN_PART: f64 = 0.25;

/// Longest rest between two requests of an instance whose share is below one.
const MOST_REST: Duration = Duration::from_secs(60);

impl Limit {
    /// A limit that starts from `share`: the server's concurrency divided by the live instances. A share
    /// below 1 allows one request at a time, with rests in between.
    pub fn new(settings: Settings, share: f64) -> Self {
        let share = sane(share);
        Self {
            settings,
            share,
            limit: share,
            urgent: 0,
            bulk: 0,
            demand: Demand::default(),
            latency: Latency::default(),
            was_used: false,
            ended: 0,
            last_cut: None,
            last_start: Instant::default(),
            rest_until: Instant::default(),
        }
    }

    /// Takes over a new share, for instance when an instance came or went; the limit moves in proportion.
    pub fn set_share(&mut self, share: f64) {
        let share = sane(share);
        self.limit *= share / self.share;
        self.share = share;
        self.limit = self.limit.clamp(self.least(), self.most());
    }

    /// Takes a place if there is one for the class.
    pub fn try_start(&mut self, now: Instant, class: Class) -> bool {
        self.forgive(now);
        if !self.can_start(now, class) {
            return false;
        }
        self.demand.observe(now, self.urgent);
        match class {
            Class::Urgent => self.urgent += 1,
            Class::Bulk => self.bulk += 1,
        }
        self.was_used |= self.is_used();
        self.last_start = now;
        true
    }

    /// Whether [`Limit::try_start`] would take a place.
    pub fn can_start(&self, now: Instant, class: Class) -> bool {
        if self.in_flight() >= self.max_in_flight() || now < self.rest_until {
            return false;
        }
        class == Class::Urgent || self.bulk < self.max_bulk(now)
    }

    /// An urgent request found no place on this server nor on any other that would do.
    ///
    /// The reserve grows at once to what urgent work uses now and one more, and shrinks again as that is forgotten.
    /// Otherwise bulk work would take the next places that come free, and a burst of urgent work
    /// would wait, or preempt, again and again until the mean has caught up.
    pub fn raise_reserve(&mut self, now: Instant) {
        self.demand.observe(now, self.urgent);
        self.demand.raise(self.urgent + 1);
    }

    /// Gives a place back and learns from how the request ended.
    pub fn finish(&mut self, now: Instant, class: Class, outcome: Outcome) {
        self.demand.observe(now, self.urgent);
        match class {
            Class::Urgent => self.urgent = self.urgent.saturating_sub(1),
            Class::Bulk => self.bulk = self.bulk.saturating_sub(1),
        }
        self.rest(now);
        match outcome {
            Outcome::Busy => self.cut(now, BUSY_FACTOR),
            Outcome::Done { per_token } => self.done(now, per_token),
            Outcome::Failed => {}
        }
    }

    /// Requests running now.
    pub fn in_flight(&self) -> u32 {
        self.urgent + self.bulk
    }

    /// Most requests that run at once.
    pub fn max_in_flight(&self) -> u32 {
        (self.limit as u32).max(1)
    }

    /// Most bulk requests that run at once.
    ///
    /// What is left besides the reserve, which follows the urgent work of late: with a fixed reserve, urgent
    /// work beyond it waits for bulk streams to end, which one sees as urgent waits as long as a
    /// bulk stream divided by the places. One place is always left, or bulk work would never run on small shares.
    pub fn max_bulk(&self, now: Instant) -> u32 {
        let places = f64::from(self.max_in_flight());
        let reserve = (places * f64::from(self.settings.reserve_percent) / 100.0).ceil();
        let demand = self.demand.at(now, self.urgent);
        let expected = demand.expected(self.settings.reserve_deviations).ceil();
        let bulk = (places - reserve.max(expected)) as u32;
        bulk.max(self.bulk_least())
    }

    /// Bulk requests that run beyond their least part: so many may be preempted for urgent work.
    pub fn preemptible_bulk(&self) -> u32 {
        self.bulk.saturating_sub(self.bulk_least())
    }

    fn bulk_least(&self) -> u32 {
        let part = self.max_in_flight() * self.settings.min_bulk_percent.min(100);
        part.div_ceil(100).max(1)
    }

    fn done(&mut self, now: Instant, per_token: Option<Duration>) {
        if let Some(per_token) = per_token {
            self.latency.add(now, per_token);
        }
        let tolerance = f64::from(self.settings.latency_tolerance_percent) / 100.0;
        let gradient = self.latency.gradient(tolerance);
        if gradient < 1.0 {
            self.cut(now, gradient.max(LEAST_SLOW_FACTOR));
            return;
        }
        if self.was_used {
            self.grow();
        }
        self.ended += 1;
        // Judged by rounds: within one, the requests may all end before the next ones start.
        if self.ended >= self.max_in_flight() {
            self.ended = 0;
            self.was_used = self.is_used();
        }
    }

    fn is_used(&self) -> bool {
        f64::from(self.in_flight()) >= (self.limit * USED_PART).floor()
    }

    fn grow(&mut self) {
        // Each request adds its part, so that a whole round of them adds one step.
        let step = if self.limit < self.share {
            (self.share * REGAIN_PART).max(1.0)
        } else {
            1.0
        };
        self.limit = (self.limit + step / self.limit.max(1.0)).min(self.most());
    }

    fn cut(&mut self, now: Instant, factor: f64) {
        if self
            .last_cut
            .is_some_and(|last| now.since(last) < CUT_PAUSE)
        {
            return;
        }
        self.last_cut = Some(now);
        self.limit = (self.limit * factor).max(self.least());
    }

    /// Returns to the share a while after the last cut. A limit that only grew by use would stay low on a
    /// server that gets little work because its limit is low.
    fn forgive(&mut self, now: Instant) {
        if self
            .last_cut
            .is_some_and(|last| now.since(last) >= CUT_MEMORY)
        {
            self.last_cut = None;
            self.limit = self.limit.max(self.share);
        }
    }

    /// Spaces the requests of an instance whose limit is below one, so that many such instances together
    /// keep to the server's concurrency.
    fn rest(&mut self, now: Instant) {
        if self.limit >= 1.0 {
            return;
        }
        let took = now.since(self.last_start);
        let rest = took.mul_f64(1.0 / self.limit - 1.0).min(MOST_REST);
        self.rest_until = now + rest;
    }

    fn least(&self) -> f64 {
        self.share.min(1.0)
    }

    fn most(&self) -> f64 {
        self.share * f64::from(self.settings.max_limit_percent.max(1)) / 100.0
    }
}

/// Smallest share that is reckoned with; it bounds the rests.
const LEAST_SHARE: f64 = 0.01;

fn sane(share: f64) -> f64 {
    if share.is_finite() {
        share.max(LEAST_SHARE)
    } else {
        LEAST_SHARE
    }
}
