//! Time for each token, against its least of late.

use std::time::Duration;

use fescuewell_core::prelude::*;

/// Smoothed time for each token, and the least one within a sliding window.
#[derive(Debug, Clone, Default)]
pub(crate) struct Latency {
    recent: Option<f64>,
    /// Least of the present window and of the one before, in seconds.
    least: Option<f64>,
    least_before: Option<f64>,
    window_start: Instant,
}

/// Weight of one sample.
const GAIN: f64 = 0.2;

/// Length of a window. The least is taken over one to two of them: long enough to hold a quiet moment,
/// short enough to follow a server that was given another model.
const WINDOW: Duration = Duration::from_secs(120);

impl Latency {
    /// Takes in a sample.
    pub fn add(&mut self, now: Instant, per_token: Duration) {
        let sample = per_token.as_secs_f64();
        if now.since(self.window_start) >= WINDOW {
            self.least_before = self.least.take();
            self.window_start = now;
        }
        self.least = Some(self.least.map_or(sample, |least| least.min(sample)));
        let recent = self
            .recent
            .map_or(sample, |recent| recent + GAIN * (sample - recent));
        self.recent = Some(recent);
    }

    /// How far the time for each token exceeds what is tolerated: 1 when it does not, less the slower it is.
    pub fn gradient(&self, tolerance: f64) -> f64 {
        let (Some(recent), Some(least)) = (self.recent, self.least_of_late()) else {
            return 1.0;
        };
        if recent <= 0.0 {
            return 1.0;
        }
        (tolerance * least / recent).min(1.0)
    }

    fn least_of_late(&self) -> Option<f64> {
        let windows = [self.least, self.least_before];
        windows.into_iter().flatten().reduce(f64::min)
    }
}
