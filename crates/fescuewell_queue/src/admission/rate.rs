//! Estimates of how fast work starts and arrives.

use std::time::Duration;

use fescuewell_core::prelude::*;

/// How quickly a pool starts queued work, in expected tokens a second.
///
/// Measured only while something waits and cannot start: then what starts is what the servers
/// have room for. At other times the figure leans on the speed of finished requests.
#[derive(Debug, Default)]
pub(crate) struct Rate {
    /// Tokens a second of one running request, smoothed over finished ones.
    speed: Option<f64>,
    /// Seconds that a request runs, smoothed over finished ones.
    duration: Option<f64>,
    in_flight: u32,
    /// Requests that ran when the pool was last found full.
    slots: u32,
    blocked_since: Option<Instant>,
    tokens: f64,
    seconds: f64,
}

/// Time over which blocked seconds are forgotten, in seconds.
const MEMORY: f64 = 10.0;

/// Weight of the estimate by speed and slots, as if it had been measured for so many seconds.
const PRIOR_SECONDS: f64 = 2.0;

/// Weight of one finished request in the smoothed speed.
const SPEED_GAIN: f64 = 0.05;

/// Share of the measurement that is kept when the queue empties.
const KEPT_WHEN_DRAINED: f64 = 0.5;

impl Rate {
    /// Requests started and not finished.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Something waits and nothing of it can start.
    pub fn blocked(&mut self, now: Instant) {
        self.slots = self.in_flight;
        self.accumulate(now);
        self.blocked_since = Some(now);
    }

    /// A request started.
    pub fn started(&mut self, cost: Tokens) {
        self.in_flight += 1;
        if self.blocked_since.is_some() {
            self.tokens += cost.0 as f64;
        }
    }

    /// The queue is empty.
    ///
    /// Half of the measurement is dropped: a figure taken during an outage would otherwise go on refusing
    /// work after the servers have come back, since only a full pool is measured again.
    pub fn drained(&mut self, now: Instant) {
        if self.blocked_since.is_none() {
            return;
        }
        self.accumulate(now);
        self.blocked_since = None;
        self.tokens *= KEPT_WHEN_DRAINED;
        self.seconds *= KEPT_WHEN_DRAINED;
    }

    /// A request was started in vain and waits again.
    pub fn requeue(&mut self, cost: Tokens) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.tokens = (self.tokens - cost.0 as f64).max(0.0);
    }

    /// A request ended; `took` is `None` when it failed and says nothing about the speed.
    pub fn finish(&mut self, cost: Tokens, took: Option<Duration>) {
        self.in_flight = self.in_flight.saturating_sub(1);
        let Some(took) = took else {
            return;
        };
        if took.is_zero() || cost.is_zero() {
            return;
        }
        let took = took.as_secs_f64();
        let duration = self.duration.unwrap_or(took);
        self.duration = Some(duration + SPEED_GAIN * (took - duration));
        let sample = cost.0 as f64 / took;
        // Averaging the inverse weighs each token alike, so that short requests do not dominate.
        let speed = self.speed.map_or(sample, |speed| {
            1.0 / ((1.0 - SPEED_GAIN) / speed + SPEED_GAIN / sample)
        });
        self.speed = Some(speed);
    }

    /// Mean time until one of the running requests ends, by Little's law; `None` while that is unknown.
    pub fn next_end(&self) -> Option<Duration> {
        let duration = self.duration?;
        let running = self.in_flight.max(1);
        Some(Duration::from_secs_f64(duration / f64::from(running)))
    }

    /// Expected tokens a second, or `None` while nothing has been measured.
    pub fn per_second(&self, now: Instant) -> Option<f64> {
        let open = self
            .blocked_since
            .map_or(0.0, |since| now.since(since).as_secs_f64());
        let seconds = self.seconds + open;
        let Some(speed) = self.speed else {
            return (seconds > PRIOR_SECONDS && self.tokens > 0.0).then(|| self.tokens / seconds);
        };
        let slots = self.slots.max(self.in_flight).max(1);
        let prior = speed * f64::from(slots);
        Some((self.tokens + prior * PRIOR_SECONDS) / (seconds + PRIOR_SECONDS))
    }

    fn accumulate(&mut self, now: Instant) {
        let Some(since) = self.blocked_since else {
            return;
        };
        let seconds = now.since(since).as_secs_f64();
        let kept = (-seconds / MEMORY).exp();
        self.tokens *= kept;
        self.seconds = self.seconds * kept + seconds;
    }
}

/// Smoothed arrivals, in tokens a second.
#[derive(Debug, Default)]
pub(crate) struct Arrivals {
    per_second: f64,
    last: Instant,
}

/// Time over which arrivals are forgotten, in seconds.
const ARRIVAL_MEMORY: f64 = 5.0;

impl Arrivals {
    /// Counts an arrival.
    pub fn add(&mut self, now: Instant, cost: Tokens) {
        self.per_second = self.per_second(now) + cost.0 as f64 / ARRIVAL_MEMORY;
        self.last = now;
    }

    /// Tokens a second that arrived lately.
    pub fn per_second(&self, now: Instant) -> f64 {
        let seconds = now.since(self.last).as_secs_f64();
        self.per_second * (-seconds / ARRIVAL_MEMORY).exp()
    }
}
