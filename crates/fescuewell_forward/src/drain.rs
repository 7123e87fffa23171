//! Shutdown of an instance: which requests it still accepts, so that all of them end before the process does.
//!
//! ```text
//!  stop request                   serve_until                 ends          grace period
//!       |--- accepts what can end ----|--- refuses new ones ----|--- returns tokens ---|
//! ```
//!
//! A request that was accepted either ends by its own deadline, or, while servers answer as usual, ends as requests
//! of its route usually do. Callers of all others are told at once that their request has not run.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// Part of the grace period, in percent, in which requests are accepted.
const SERVE_PERCENT: u64 = 37;
/// Maximum age of the address lists of callers in milliseconds, after which none sends requests any more.
const MAX_ADDRESS_AGE_MS: u64 = 6_000;
/// Part of the grace period that is left for the end of the process, in milliseconds.
const RESERVE_MS: u64 = 600;
/// The same as a divisor of the grace period; the smaller value applies.
const RESERVE_DIVISOR: u64 = 4;
/// Length of a period over which the longest duration of a route is kept, in milliseconds. The current one
/// and the one before count.
const PERIOD_MS: u64 = 30_000;
/// Minimum number of requests whose longest duration says how long the next one takes.
const MIN_SAMPLES: u64 = 8;
/// Time that a request is expected to take, in percent of the longest recent one.
const MARGIN_PERCENT: u64 = 150;

/// Times of a shutdown, in milliseconds of the local clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Schedule {
    /// Until when new requests are accepted.
    pub serve_until_ms: u64,
    /// When every request has its response.
    pub ends_ms: u64,
}

impl Schedule {
    /// Creates the schedule of a shutdown that is requested at `now_ms`.
    pub fn new(grace_ms: u64, now_ms: u64) -> Self {
        let serve_ms = (grace_ms * SERVE_PERCENT / 100).min(MAX_ADDRESS_AGE_MS);
        let reserve_ms = RESERVE_MS.min(grace_ms / RESERVE_DIVISOR);
        Self {
            serve_until_ms: now_ms + serve_ms,
            ends_ms: now_ms + grace_ms - reserve_ms,
        }
    }
}

/// What shows that a request ends in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Evidence {
    /// Its deadline alone.
    Deadline,
    /// Its deadline, or how long requests of its route usually take.
    Durations,
}

/// Why a request is refused during a shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Late {
    /// Time until the end of the shutdown in milliseconds.
    pub left_ms: u64,
    /// Time that the request is expected to take in milliseconds, if that is known.
    pub expected_ms: Option<u64>,
}

/// Number and longest duration of the requests of a route in one period.
#[derive(Debug, Clone, Copy, Default)]
struct Period {
    number: u64,
    count: u64,
    longest_ms: u64,
}

/// Durations of the requests of a route.
#[derive(Debug, Default)]
struct Durations {
    current: Period,
    previous: Period,
    /// Number of open requests by when they were sent.
    open: BTreeMap<u64, u32>,
}

impl Durations {
    fn record(&mut self, took_ms: u64, now_ms: u64) {
        let number = now_ms / PERIOD_MS;
        if number != self.current.number {
            self.previous = self.current;
            self.current = Period {
                number,
                ..Period::default()
            };
        }
        self.current.count += 1;
        self.current.longest_ms = self.current.longest_ms.max(took_ms);
    }

    fn begin(&mut self, now_ms: u64) {
        *self.open.entry(now_ms).or_default() += 1;
    }

    fn end(&mut self, began_ms: u64) {
        let Some(count) = self.open.get_mut(&began_ms) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.open.remove(&began_ms);
        }
    }

    /// Returns how long a request is expected to take, or `None` if too few have ended recently. One that is
    /// still open takes at least as long as until now.
    fn expected_ms(&self, now_ms: u64) -> Option<u64> {
        let number = now_ms / PERIOD_MS;
        let periods = [self.current, self.previous];
        let recent = periods
            .iter()
            .filter(|period| period.number + 1 >= number && period.count > 0);
        let (count, longest_ms) = recent.fold((0, 0), |(count, longest_ms), period| {
            (count + period.count, period.longest_ms.max(longest_ms))
        });
        let oldest = self.open.first_key_value();
        let open_ms = oldest.map_or(0, |(began_ms, _)| now_ms.saturating_sub(*began_ms));
        (count >= MIN_SAMPLES).then(|| longest_ms.max(open_ms) * MARGIN_PERCENT / 100)
    }
}

/// Shutdown of an instance, and how long its requests take.
#[derive(Debug, Default)]
pub struct Drain {
    schedule: Option<Schedule>,
    durations: HashMap<Arc<str>, Durations>,
}

impl Drain {
    /// Begins the shutdown. A second request changes nothing.
    pub fn begin(&mut self, grace_ms: u64, now_ms: u64) {
        self.schedule
            .get_or_insert_with(|| Schedule::new(grace_ms, now_ms));
    }

    /// Returns the times of the shutdown, or `None` before it was requested.
    pub fn schedule(&self) -> Option<Schedule> {
        self.schedule
    }

    /// Records that a request of a route is sent.
    pub fn begin_request(&mut self, route: &Arc<str>, now_ms: u64) {
        self.durations_of(route).begin(now_ms);
    }

    /// Records the end of a request that was sent at `began_ms`, whatever its outcome.
    pub fn end_request(&mut self, route: &str, began_ms: u64) {
        if let Some(durations) = self.durations.get_mut(route) {
            durations.end(began_ms);
        }
    }

    /// Records how long the response to a request of a route took, from when it was sent.
    pub fn record(&mut self, route: &Arc<str>, took_ms: u64, now_ms: u64) {
        self.durations_of(route).record(took_ms, now_ms);
    }

    fn durations_of(&mut self, route: &Arc<str>) -> &mut Durations {
        self.durations.entry(route.clone()).or_default()
    }

    /// Removes the durations of routes that no longer exist.
    pub fn retain_routes<Exists>(&mut self, exists: Exists)
    where
        Exists: Fn(&str) -> bool,
    {
        self.durations.retain(|route, _| exists(route));
    }

    /// Checks whether a new request is accepted whose deadline is in `deadline_ms` milliseconds.
    ///
    /// # Errors
    ///
    /// [`Late`] if the request may not have ended when the process does.
    pub fn check_new(
        &self,
        route: &str,
        deadline_ms: u64,
        evidence: Evidence,
        now_ms: u64,
    ) -> Result<(), Late> {
        match self.schedule {
            Some(schedule) if now_ms >= schedule.serve_until_ms => Err(Late {
                left_ms: schedule.ends_ms.saturating_sub(now_ms),
                expected_ms: None,
            }),
            _ => self.check_send(route, deadline_ms, evidence, now_ms),
        }
    }

    /// Checks whether an accepted request may be sent now.
    ///
    /// # Errors
    ///
    /// As for [`Drain::check_new`].
    pub fn check_send(
        &self,
        route: &str,
        deadline_ms: u64,
        evidence: Evidence,
        now_ms: u64,
    ) -> Result<(), Late> {
        let Some(schedule) = self.schedule else {
            return Ok(());
        };
        let left_ms = schedule.ends_ms.saturating_sub(now_ms);
        if deadline_ms <= left_ms {
            return Ok(());
        }
        let durations = self.durations.get(route);
        let expected_ms = durations.and_then(|durations| durations.expected_ms(now_ms));
        // A stream that takes longer than others is cut; later than this, no such risk is taken.
        let may_expect = evidence == Evidence::Durations && now_ms < schedule.serve_until_ms;
        match expected_ms {
            Some(expected_ms) if may_expect && expected_ms <= left_ms => Ok(()),
            _ => Err(Late {
                left_ms,
                expected_ms,
            }),
        }
    }
}
