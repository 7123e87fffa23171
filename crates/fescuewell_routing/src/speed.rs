//! Estimate of the engines' prompt processing speed from this instance's streams.

use std::time::Duration;

use crate::router::Backlog;

/// Weight of a new sample in the moving averages.
const WEIGHT: f32 = 0.02;
/// Maximum factor between the measured and the configured rate.
const MAX_DEVIATION: f32 = 20.0;
/// Lower bound of a sample's tokens; shorter prompts say little about the rate.
const MIN_TOKENS: f32 = 16.0;

/// Moving averages over all streams of this instance.
#[derive(Debug, Clone)]
pub(crate) struct Speed {
    initial_seconds_per_token: f32,
    mean_wait: f32,
    mean_tokens: f32,
    mean_duration: f32,
    mean_prompt: f32,
}

impl Speed {
    pub(crate) fn new(tokens_per_second: u32) -> Self {
        let prompt = 1_000.0;
        let initial = 1.0 / tokens_per_second.max(1) as f32;
        Self {
            initial_seconds_per_token: initial,
            mean_wait: prompt * initial,
            mean_tokens: prompt,
            mean_duration: 5.0,
            mean_prompt: prompt,
        }
    }

    /// Records that a first token arrived after `took`, with `tokens` prompt tokens before it.
    pub(crate) fn record_first_token(&mut self, took: Duration, tokens: f32) {
        // The rate is a ratio of means; in a mean of ratios short prompts would dominate.
        self.mean_wait += (took.as_secs_f32() - self.mean_wait) * WEIGHT;
        self.mean_tokens += (tokens.max(MIN_TOKENS) - self.mean_tokens) * WEIGHT;
    }

    /// Records that a stream ended after `took`, with `tokens` prompt tokens to compute.
    pub(crate) fn record_completion(&mut self, took: Duration, tokens: u32) {
        self.mean_duration += (took.as_secs_f32() - self.mean_duration) * WEIGHT;
        self.mean_prompt += (tokens as f32 - self.mean_prompt) * WEIGHT;
    }

    /// Predicts the seconds to the first token.
    pub(crate) fn predict(&self, backlog: &Backlog) -> f32 {
        let per_token = self.seconds_per_token();
        let tokens = backlog.prompt_tokens + backlog.outstanding * backlog.stream_tokens;
        tokens * per_token + backlog.waiting * self.dequeue_interval(per_token, backlog.running)
    }

    /// Seconds between two requests that the engine takes from its queue.
    fn dequeue_interval(&self, per_token: f32, running: f32) -> f32 {
        let completion_interval = self.mean_duration / running.max(1.0);
        completion_interval.max(self.mean_prompt * per_token)
    }

    fn seconds_per_token(&self) -> f32 {
        let learned = self.mean_wait / self.mean_tokens;
        learned.clamp(
            self.initial_seconds_per_token / MAX_DEVIATION,
            self.initial_seconds_per_token * MAX_DEVIATION,
        )
    }
}
