//! Announcements received from other instances.

use std::collections::HashMap;
use std::sync::Arc;

use super::{Batch, MAX_PROMPTS};

/// Prefill rate in tokens per millisecond from which the lifetime of an announcement follows. Low,
/// so that a prompt still counts while a slow server processes it.
const TOKENS_PER_MS: u64 = 20;
/// Maximum lifetime of an announcement in milliseconds. It bounds how long a prompt counts that the
/// sender never sent, since there is no release message.
pub const MAX_LIFETIME_MS: u64 = 2_000;
/// Maximum number of prompts known at once, of all senders; some 400 KB.
pub const MAX_KNOWN_PROMPTS: usize = 4_096;
/// Maximum number of senders known at once; more than a fleet has instances.
pub const MAX_SENDERS: usize = 2_048;
/// Maximum number of tokens that one prompt counts. Keeps sums within range.
const MAX_PROMPT_TOKENS: u64 = 1 << 32;
/// Number of batch numbers below the highest one of a sender of which duplicates are detected.
/// Lower ones are dropped.
const NUMBERS_WINDOW: u64 = 64;

/// Prompts announced for one server.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Sum {
    /// Number of the prompts.
    pub requests: u32,
    /// Sum of their uncached tokens.
    pub uncached_tokens: u64,
}

/// Prompts announced by other instances that count at present.
#[derive(Debug, Default)]
pub struct Received {
    senders: HashMap<Arc<str>, Sender>,
    sums: HashMap<Arc<str>, Sum>,
    prompt_count: usize,
    /// Time before which nothing expires.
    next_expiry_ms: u64,
}

/// Announcements of one instance.
#[derive(Debug, Default)]
struct Sender {
    numbers: Numbers,
    /// Time from which the numbers are forgotten. A restarted sender begins with 1 again.
    expires_at_ms: u64,
    prompts: Vec<Known>,
}

#[derive(Debug)]
struct Known {
    server: Arc<str>,
    uncached_tokens: u64,
    report: u64,
    expires_at_ms: u64,
}

/// Numbers of the batches that arrived: the highest one, and a bit for each of those below.
#[derive(Debug, Default)]
struct Numbers {
    highest: u64,
    seen: u64,
}

impl Numbers {
    /// Records a number. Returns `false` if it was recorded before or is too low to tell.
    fn record(&mut self, number: u64) -> bool {
        if number > self.highest {
            let shift = number - self.highest;
            let seen = if shift < NUMBERS_WINDOW {
                self.seen << shift
            } else {
                0
            };
            self.seen = seen | 1;
            self.highest = number;
            return true;
        }
        let age = self.highest - number;
        if age >= NUMBERS_WINDOW || self.seen & (1 << age) != 0 {
            return false;
        }
        self.seen |= 1 << age;
        true
    }
}

impl Received {
    /// Adds the prompts of a batch. Returns `false` if it is a duplicate, has too many prompts or
    /// exceeds what is kept.
    pub(in crate::choice) fn apply(&mut self, batch: Batch, now_ms: u64) -> bool {
        self.expire(now_ms);
        let count = batch.prompts.len();
        let is_new_sender = !self.senders.contains_key(&batch.instance);
        let is_full = self.prompt_count + count > MAX_KNOWN_PROMPTS
            || (is_new_sender && self.senders.len() >= MAX_SENDERS);
        if count > MAX_PROMPTS || is_full {
            return false;
        }
        let sender = self.senders.entry(batch.instance).or_default();
        if !sender.numbers.record(batch.number) {
            return false;
        }
        sender.expires_at_ms = now_ms + MAX_LIFETIME_MS;
        let mut first_expiry_ms = sender.expires_at_ms;
        for prompt in batch.prompts {
            let uncached_tokens = prompt.uncached_tokens.min(MAX_PROMPT_TOKENS);
            let lifetime_ms = (uncached_tokens / TOKENS_PER_MS).min(MAX_LIFETIME_MS);
            let known = Known {
                server: prompt.server,
                uncached_tokens,
                report: batch.report,
                expires_at_ms: now_ms + lifetime_ms,
            };
            let sum = self.sums.entry(known.server.clone()).or_default();
            sum.requests += 1;
            sum.uncached_tokens += uncached_tokens;
            first_expiry_ms = first_expiry_ms.min(known.expires_at_ms);
            sender.prompts.push(known);
        }
        self.prompt_count += count;
        self.next_expiry_ms = self.next_expiry_ms.min(first_expiry_ms);
        true
    }

    /// Drops the prompts that the sender's load report with this sequence number contains.
    pub(in crate::choice) fn confirm(&mut self, instance: &str, sequence: u64) {
        let Some(sender) = self.senders.get_mut(instance) else {
            return;
        };
        let reported = sender
            .prompts
            .extract_if(.., |known| known.report <= sequence);
        let reported: Vec<Known> = reported.collect();
        self.subtract(&reported);
    }

    /// Drops expired prompts and senders.
    pub(in crate::choice) fn expire(&mut self, now_ms: u64) {
        if now_ms < self.next_expiry_ms {
            return;
        }
        let mut expired = Vec::new();
        let mut next_expiry_ms = u64::MAX;
        self.senders.retain(|_, sender| {
            let prompts = &mut sender.prompts;
            expired.extend(prompts.extract_if(.., |known| known.expires_at_ms <= now_ms));
            let left = prompts.iter().map(|known| known.expires_at_ms);
            let first_ms = left.fold(sender.expires_at_ms, u64::min);
            // No prompt outlives its sender's entry.
            let is_known = now_ms < sender.expires_at_ms;
            if is_known {
                next_expiry_ms = next_expiry_ms.min(first_ms);
            }
            is_known
        });
        self.next_expiry_ms = next_expiry_ms;
        self.subtract(&expired);
    }

    /// Returns the prompts announced for a server.
    pub(in crate::choice) fn sum(&self, server: &str) -> Sum {
        self.sums.get(server).copied().unwrap_or_default()
    }

    fn subtract(&mut self, prompts: &[Known]) {
        self.prompt_count -= prompts.len();
        for known in prompts {
            let Some(sum) = self.sums.get_mut(&known.server) else {
                continue;
            };
            sum.requests -= 1;
            sum.uncached_tokens -= known.uncached_tokens;
            if sum.requests == 0 {
                self.sums.remove(&known.server);
            }
        }
    }
}
