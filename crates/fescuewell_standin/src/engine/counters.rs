//! What an engine really did, for tests and benches.

use std::collections::HashMap;
use std::sync::Arc;

/// Counts since the engine's start.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Counters {
    /// How often each response id was taken in; never above 1.
    pub runs: HashMap<Arc<str>, u32>,
    /// Responses that reached their end.
    pub finished: u64,
    /// Responses that were cancelled, or forgotten before their end.
    pub cancelled: u64,
    /// Responses that went back to the queue for a more urgent one.
    pub preempted: u64,
    /// Responses that stopped since nobody read them.
    pub paused: u64,
    /// Paused responses that were taken up again.
    pub resumed: u64,
    /// Requests refused since their id was used before.
    pub duplicates: u64,
    /// Requests taken in while the engine was leaving.
    pub started_while_leaving: u64,
    /// Tokens produced.
    pub tokens: u64,
    /// Prompt tokens of what was admitted.
    pub prompt_tokens: u64,
    /// Prompt tokens found in the prefix cache.
    pub cached_tokens: u64,
    /// Orders carried out.
    pub orders: u64,
    /// Orders refused for their fencing number.
    pub stale_orders: u64,
}

impl Counters {
    /// Counts a response that was taken in.
    pub fn started(&mut self, id: &Arc<str>) {
        *self.runs.entry(id.clone()).or_default() += 1;
    }
}
