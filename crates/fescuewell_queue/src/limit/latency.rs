//! Time per output token, compared with its recent minimum.

use std::time::Duration;

use fescuewell_core::prelude::*;

/// Smoothed time per token and its minimum within a sliding window.
#[derive(Debug, Clone, Default)]
pub(crate) struct Latency {
    smoothed: Option<f64>,
    /// Minimum of the current window, in seconds; `previous_minimum` is that of the window before.
    minimum: Option<f64>,
    previous_minimum: Option<f64>,
    window_start: Instant,
}

/// Weight of one sample in the smoothed time per token.
const SAMPLE_WEIGHT: f64 = 0.2;

/// Length of a window. The minimum covers one to two windows: long enough to include a period of low load, short
/// enough to adapt when a server loads another model.
const WINDOW: Duration = Duration::from_secs(120);

impl Latency {
    /// Adds a sample.
    pub fn add(&mut self, now: Instant, per_token: Duration) {
        let sample = per_token.as_secs_f64();
        if now.since(self.window_start) >= WINDOW {
            self.previous_minimum = self.minimum.take();
            self.window_start = now;
        }
        self.minimum = Some(self.minimum.map_or(sample, |minimum| minimum.min(sample)));
        let smoothed = self
            .smoothed
            .map_or(sample, |last| last + SAMPLE_WEIGHT * (sample - last));
        self.smoothed = Some(smoothed);
    }

    /// Returns the ratio of the tolerated time per token to the smoothed one, at most 1.
    pub fn gradient(&self, tolerance: f64) -> f64 {
        let (Some(smoothed), Some(minimum)) = (self.smoothed, self.recent_minimum()) else {
            return 1.0;
        };
        if smoothed <= 0.0 {
            return 1.0;
        }
        (tolerance * minimum / smoothed).min(1.0)
    }

    fn recent_minimum(&self) -> Option<f64> {
        let windows = [self.minimum, self.previous_minimum];
        windows.into_iter().flatten().reduce(f64::min)
    }
}
