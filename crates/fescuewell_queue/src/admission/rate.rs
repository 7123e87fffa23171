//! Estimates of the throughput of a pool and of its arrival rate.

use std::time::Duration;

use fescuewell_core::prelude::*;

/// Rate at which a pool starts queued requests, in expected tokens per second.
///
/// Measured only while requests wait and cannot start, because only then the starts show what the servers can process.
/// At other times the estimate relies more on the speed of finished requests.
#[derive(Debug, Default)]
pub(crate) struct Throughput {
    /// Tokens per second of one running request, smoothed over finished requests.
    speed: Option<f64>,
    /// Running time of a request in seconds, smoothed over finished requests.
    duration: Option<f64>,
    in_flight: u32,
    /// Number of running requests when the pool was last found full.
    concurrency: u32,
    blocked_since: Option<Instant>,
    tokens: f64,
    seconds: f64,
}

/// Time constant of the decay of the measurement, in seconds.
const DECAY_SECONDS: f64 = 10.0;

/// Weight of the prior (speed times concurrency), as the number of seconds of measurement that it equals.
const PRIOR_SECONDS: f64 = 2.0;

/// Weight of one finished request in the smoothed speed and duration.
const FINISH_WEIGHT: f64 = 0.05;

/// Fraction of the measurement that is kept when the queue empties.
const KEPT_FRACTION: f64 = 0.5;

impl Throughput {
    /// Number of running requests.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Records that requests wait and none of them can start.
    pub fn record_blocked(&mut self, now: Instant) {
        self.concurrency = self.in_flight;
        self.accumulate(now);
        self.blocked_since = Some(now);
    }

    /// Records the start of a request.
    pub fn record_start(&mut self, cost: Tokens) {
        self.in_flight += 1;
        if self.blocked_since.is_some() {
            self.tokens += cost.0 as f64;
        }
    }

    /// Records that the queue is empty.
    ///
    /// Drops half of the measurement. Since throughput is only measured while the pool is full, a low value from an
    /// outage would otherwise cause refusals long after the servers are available again.
    pub fn record_empty(&mut self, now: Instant) {
        if self.blocked_since.is_none() {
            return;
        }
        self.accumulate(now);
        self.blocked_since = None;
        self.tokens *= KEPT_FRACTION;
        self.seconds *= KEPT_FRACTION;
    }

    /// Reverts the start of a request that was requeued.
    pub fn revert_start(&mut self, cost: Tokens) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.tokens = (self.tokens - cost.0 as f64).max(0.0);
    }

    /// Records the end of a request. `took` is `None` if it failed, since its running time does not reflect the speed.
    pub fn record_finish(&mut self, cost: Tokens, took: Option<Duration>) {
        self.in_flight = self.in_flight.saturating_sub(1);
        let Some(took) = took else {
            return;
        };
        if took.is_zero() || cost.is_zero() {
            return;
        }
        let took = took.as_secs_f64();
        let duration = self.duration.unwrap_or(took);
        self.duration = Some(duration + FINISH_WEIGHT * (took - duration));
        let sample = cost.0 as f64 / took;
        // Averaging the inverse gives each token the same weight, so that short requests do not dominate.
        let speed = self.speed.map_or(sample, |speed| {
            1.0 / ((1.0 - FINISH_WEIGHT) / speed + FINISH_WEIGHT / sample)
        });
        self.speed = Some(speed);
    }

    /// Returns the mean time until a running request ends (Little's law), or `None` if no request has finished yet.
    pub fn next_finish(&self) -> Option<Duration> {
        let duration = self.duration?;
        let running = self.in_flight.max(1);
        Some(Duration::from_secs_f64(duration / f64::from(running)))
    }

    /// Returns the throughput in expected tokens per second, or `None` if nothing has been measured.
    pub fn per_second(&self, now: Instant) -> Option<f64> {
        let unaccumulated = self
            .blocked_since
            .map_or(0.0, |since| now.since(since).as_secs_f64());
        let seconds = self.seconds + unaccumulated;
        let Some(speed) = self.speed else {
            return (seconds > PRIOR_SECONDS && self.tokens > 0.0).then(|| self.tokens / seconds);
        };
        let concurrency = self.concurrency.max(self.in_flight).max(1);
        let prior = speed * f64::from(concurrency);
        Some((self.tokens + prior * PRIOR_SECONDS) / (seconds + PRIOR_SECONDS))
    }

    fn accumulate(&mut self, now: Instant) {
        let Some(since) = self.blocked_since else {
            return;
        };
        let seconds = now.since(since).as_secs_f64();
        let kept = (-seconds / DECAY_SECONDS).exp();
        self.tokens *= kept;
        self.seconds = self.seconds * kept + seconds;
    }
}

/// Smoothed arrival rate, in tokens per second.
#[derive(Debug, Default)]
pub(crate) struct ArrivalRate {
    per_second: f64,
    last: Instant,
}

/// Time constant of the decay of the arrival rate, in seconds.
const ARRIVAL_DECAY_SECONDS: f64 = 5.0;

impl ArrivalRate {
    /// Records an arrival.
    pub fn add(&mut self, now: Instant, cost: Tokens) {
        self.per_second = self.per_second(now) + cost.0 as f64 / ARRIVAL_DECAY_SECONDS;
        self.last = now;
    }

    /// Returns the recent arrival rate in tokens per second.
    pub fn per_second(&self, now: Instant) -> f64 {
        let seconds = now.since(self.last).as_secs_f64();
        self.per_second * (-seconds / ARRIVAL_DECAY_SECONDS).exp()
    }
}
