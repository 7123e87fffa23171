//! Robust fit of a service's times to the first event.

use std::collections::VecDeque;

use super::Sent;

/// Number of observations that are kept.
const WINDOW: usize = 48;
/// Number of observations from which the fit is used, and between two fits. An instance with two
/// requests per second reaches it soon after its start.
const MIN_SAMPLES: usize = 4;
const REFIT_INTERVAL: usize = 4;
/// Minimum difference of two observations in prompt tokens, and in in-flight requests, for which
/// their slope is meaningful.
const MIN_TOKEN_DIFFERENCE: f64 = 1_000.0;
const MIN_IN_FLIGHT_DIFFERENCE: f64 = 2.0;
/// Minimum number of such pairs; with fewer the former value is kept.
const MIN_PAIRS: usize = 12;
/// Bounds of the time for a token and for an in-flight request, in milliseconds.
const TOKEN_MS: (f64, f64) = (0.000_1, 1.0);
const REQUEST_MS: (f64, f64) = (0.0, 50.0);
/// Quantile of the ratios of times to their forecast.
const SLOWNESS_QUANTILE: f64 = 0.9;
/// Number of pauses that are kept, and quantile of them that is the forecast.
const PAUSES: usize = 32;
const PAUSE_QUANTILE: f64 = 0.9;
/// Minimum number of pauses for a forecast.
const MIN_PAUSES: usize = 8;
/// Added to both times before their ratio is taken, in milliseconds; short times vary for reasons
/// other than the server's speed.
const TOLERANCE_MS: f64 = 50.0;
/// Upper bound of [`Fit::slowness`].
const MAX_SLOWNESS: f64 = 4.0;
/// Minimum number of tokens pending prefill for a gap to tell how the engine divides prompts.
const MIN_PAUSE_TOKENS: u64 = 4_000;

/// An observed time to the first event.
#[derive(Debug, Clone, Copy)]
pub(super) struct Sample {
    pub(super) sent: Sent,
    pub(super) took_ms: f64,
}

impl Sample {
    fn tokens(&self) -> f64 {
        tokens(self.sent)
    }

    fn in_flight(&self) -> f64 {
        f64::from(self.sent.in_flight)
    }
}

/// Coefficients of the time to the first event, and the observations that they come from.
#[derive(Debug)]
pub(super) struct Fit {
    fixed_ms: f64,
    token_ms: f64,
    request_ms: f64,
    /// Ratio of the time to its forecast that one observation in ten exceeds.
    slowness: f64,
    samples: VecDeque<Sample>,
    until_refit: usize,
    /// Longest gaps while more tokens were pending than the engine processes in a gap.
    pauses: VecDeque<f64>,
    longest_pause_ms: Option<f64>,
}

/// Values before anything was observed. Only their ratio matters: an in-flight request counts as 300
/// tokens, as in [`crate::choice::pick`].
pub(super) static DEFAULT: Fit = Fit {
    fixed_ms: 0.0,
    token_ms: 0.02,
    request_ms: 6.0,
    slowness: 1.0,
    samples: VecDeque::new(),
    until_refit: MIN_SAMPLES,
    pauses: VecDeque::new(),
    longest_pause_ms: None,
};

impl Default for Fit {
    fn default() -> Self {
        Self {
            fixed_ms: DEFAULT.fixed_ms,
            token_ms: DEFAULT.token_ms,
            request_ms: DEFAULT.request_ms,
            slowness: DEFAULT.slowness,
            samples: VecDeque::new(),
            until_refit: DEFAULT.until_refit,
            pauses: VecDeque::new(),
            longest_pause_ms: DEFAULT.longest_pause_ms,
        }
    }
}

impl Fit {
    pub(super) fn is_learned(&self) -> bool {
        self.samples.len() >= MIN_SAMPLES
    }

    pub(super) fn first_event_ms(&self, sent: Sent) -> f64 {
        let decoding_ms = f64::from(sent.in_flight) * self.request_ms;
        self.fixed_ms + tokens(sent) * self.token_ms + decoding_ms
    }

    pub(super) fn prefill_ms(&self, tokens: u64) -> f64 {
        tokens as f64 * self.token_ms
    }

    /// The whole prefill time, unless the engine was observed to divide prompts.
    pub(super) fn pause_ms(&self, tokens: u64) -> f64 {
        let longest_ms = self.longest_pause_ms.unwrap_or(f64::INFINITY);
        self.prefill_ms(tokens).min(longest_ms)
    }

    pub(super) fn slowness(&self) -> f64 {
        self.slowness
    }

    pub(super) fn record(&mut self, sample: Sample) {
        if self.samples.len() >= WINDOW {
            self.samples.pop_front();
        }
        self.samples.push_back(sample);
        self.until_refit = self.until_refit.saturating_sub(1);
        if self.until_refit == 0 {
            self.until_refit = REFIT_INTERVAL;
            self.refit();
        }
    }

    pub(super) fn record_pause(&mut self, gap_ms: f64, pending: u64) {
        if pending < MIN_PAUSE_TOKENS || !self.is_learned() {
            return;
        }
        if self.pauses.len() >= PAUSES {
            self.pauses.pop_front();
        }
        self.pauses.push_back(gap_ms);
        if self.pauses.len() < MIN_PAUSES {
            return;
        }
        let pauses = self.pauses.iter().copied().collect();
        self.longest_pause_ms = quantile(pauses, PAUSE_QUANTILE);
    }

    /// Fits the coefficients one after the other, each by the median of the slopes of all pairs of
    /// observations (Theil-Sen). Up to a quarter of the observations may be arbitrarily wrong.
    fn refit(&mut self) {
        let request_ms = self.request_ms;
        let rest = |sample: &Sample| sample.took_ms - sample.in_flight() * request_ms;
        if let Some(slope) = self.slope(Sample::tokens, rest, MIN_TOKEN_DIFFERENCE) {
            self.token_ms = slope.clamp(TOKEN_MS.0, TOKEN_MS.1);
        }
        let token_ms = self.token_ms;
        let rest = |sample: &Sample| sample.took_ms - sample.tokens() * token_ms;
        if let Some(slope) = self.slope(Sample::in_flight, rest, MIN_IN_FLIGHT_DIFFERENCE) {
            self.request_ms = slope.clamp(REQUEST_MS.0, REQUEST_MS.1);
        }
        let request_ms = self.request_ms;
        let fixed = self.samples.iter().map(|sample| {
            sample.took_ms - sample.tokens() * token_ms - sample.in_flight() * request_ms
        });
        if let Some(fixed_ms) = median(fixed.collect()) {
            self.fixed_ms = fixed_ms.max(0.0);
        }
        let ratios = self.samples.iter().map(|sample| {
            let predicted_ms = self.first_event_ms(sample.sent);
            (sample.took_ms + TOLERANCE_MS) / (predicted_ms + TOLERANCE_MS)
        });
        let slowness = quantile(ratios.collect(), SLOWNESS_QUANTILE);
        self.slowness = slowness.unwrap_or(1.0).clamp(1.0, MAX_SLOWNESS);
    }

    fn slope<X, Y>(&self, x: X, y: Y, min_difference: f64) -> Option<f64>
    where
        X: Fn(&Sample) -> f64,
        Y: Fn(&Sample) -> f64,
    {
        let points: Vec<(f64, f64)> = self.samples.iter().map(|s| (x(s), y(s))).collect();
        let mut slopes = Vec::with_capacity(points.len() * points.len() / 2);
        for (index, left) in points.iter().enumerate() {
            for right in &points[index + 1..] {
                let difference = right.0 - left.0;
                if difference.abs() >= min_difference {
                    slopes.push((right.1 - left.1) / difference);
                }
            }
        }
        if slopes.len() < MIN_PAIRS {
            return None;
        }
        median(slopes)
    }
}

fn tokens(sent: Sent) -> f64 {
    sent.tokens_ahead.saturating_add(sent.own_tokens) as f64
}

fn median(values: Vec<f64>) -> Option<f64> {
    quantile(values, 0.5)
}

fn quantile(mut values: Vec<f64>, quantile: f64) -> Option<f64> {
    if values.is_empty() {
        return None;
    }
    let index = (values.len() as f64 * quantile) as usize;
    let (_, value, _) = values.select_nth_unstable_by(index, f64::total_cmp);
    Some(*value)
}
