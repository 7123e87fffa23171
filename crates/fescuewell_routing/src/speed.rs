//! How fast engines compute prompts, learned from the first tokens of own streams.

use std::time::Duration;

use crate::router::Ahead;

/// Weight of a new observation.
const WEIGHT: f32 = 0.02;
/// The learned rate stays within this factor of the configured one.
const RANGE: f32 = 20.0;
/// Tokens below this say little about the rate.
const TOKENS_LEAST: f32 = 16.0;

/// Learned means over all own streams.
#[derive(Debug, Clone)]
pub(crate) struct Speed {
    initial: f32,
    wait: f32,
    tokens: f32,
    residence: f32,
    prompt: f32,
}

impl Speed {
    pub(crate) fn new(tokens_per_second: u32) -> Self {
        let prompt = 1_000.0;
        let initial = 1.0 / tokens_per_second.max(1) as f32;
        Self {
            initial,
            wait: prompt * initial,
            tokens: prompt,
            residence: 5.0,
            prompt,
        }
    }

    /// A first token came after `took`, with so many prompt tokens to compute before it.
    pub(crate) fn first_token(&mut self, took: Duration, tokens: f32) {
        // A ratio of means, not a mean of ratios: short prompts would dominate the latter.
        self.wait += (took.as_secs_f32() - self.wait) * WEIGHT;
        self.tokens += (tokens.max(TOKENS_LEAST) - self.tokens) * WEIGHT;
    }

    /// A stream ended after `took`; its prompt had `tokens` tokens to compute.
    pub(crate) fn finished(&mut self, took: Duration, tokens: u32) {
        self.residence += (took.as_secs_f32() - self.residence) * WEIGHT;
        self.prompt += (tokens as f32 - self.prompt) * WEIGHT;
    }

    /// Predicted seconds to the first token.
    pub(crate) fn predict(&self, ahead: &Ahead) -> f32 {
        let per_token = self.seconds_per_token();
        let tokens = ahead.prompt_tokens + ahead.outstanding * ahead.stream_tokens;
        tokens * per_token + ahead.waiting * self.turn(per_token, ahead.running)
    }

    /// Seconds until the engine takes one more request from its queue.
    fn turn(&self, per_token: f32, running: f32) -> f32 {
        let leaves = self.residence / running.max(1.0);
        leaves.max(self.prompt * per_token)
    }

    fn seconds_per_token(&self) -> f32 {
        let learned = self.wait / self.tokens;
        learned.clamp(self.initial / RANGE, self.initial * RANGE)
    }
}
