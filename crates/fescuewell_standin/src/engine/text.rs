//! The deterministic answers of the stand-in.
//!
//! Every token of an answer follows from the prompt, the response's id and the token's index, so
//! that a test can compute the whole answer and see at once a token that is missing, repeated or another
//! caller's.

use std::fmt::Write;

const WORDS: [&str; 64] = [
    "amber", "anchor", "apple", "arch", "autumn", "badge", "basin", "bell", "birch", "blue",
    "bridge", "bright", "candle", "cedar", "chair", "clear", "cloud", "coast", "copper", "corner",
    "crane", "dawn", "delta", "door", "dune", "early", "east", "elm", "ember", "fern", "field",
    "fine", "first", "flint", "garden", "gate", "glass", "grain", "green", "harbor", "hazel",
    "hill", "island", "ivory", "kite", "lake", "lantern", "leaf", "lemon", "maple", "meadow",
    "mint", "north", "oak", "olive", "pearl", "pine", "plain", "quiet", "rain", "reed", "river",
    "stone", "willow",
];

/// What the text of one answer follows from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Seed([u8; 32]);

impl Seed {
    /// The seed of the answer to `prompt` (as rendered by [`super::prompt`]) under the response id `id`.
    pub fn new(prompt: &str, id: &str) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&(prompt.len() as u64).to_le_bytes());
        hasher.update(prompt.as_bytes());
        hasher.update(id.as_bytes());
        Self(*hasher.finalize().as_bytes())
    }

    /// The length, in tokens, that the answer has by itself, within `least..=most`.
    pub fn length(&self, least: u32, most: u32) -> u32 {
        let spread = most.saturating_sub(least).saturating_add(1).max(1);
        least + self.number(0) % spread
    }

    /// Appends the text of token `index`, counted from 1.
    pub fn push_token(&self, index: u32, out: &mut String) {
        let number = self.number(index);
        let word = WORDS[number as usize % WORDS.len()];
        let _ = write!(out, "{word}{} ", (number >> 8) % 100);
    }

    /// The text of the first `count` tokens.
    pub fn answer(&self, count: u32) -> String {
        let mut text = String::new();
        for index in 1..=count {
            self.push_token(index, &mut text);
        }
        text
    }

    fn number(&self, index: u32) -> u32 {
        let mut input = [0u8; 36];
        input[..32].copy_from_slice(&self.0);
        input[32..].copy_from_slice(&index.to_le_bytes());
        let hash = blake3::hash(&input);
        let mut first = [0u8; 4];
        first.copy_from_slice(&hash.as_bytes()[..4]);
        u32::from_le_bytes(first)
    }
}
