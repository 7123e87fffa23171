//! Which backend server gets a request.
//!
//! Model engines keep the prompt parts that they have read, and reading them again costs time. All instances
//! rank the engines of a prompt in the same order (rendezvous hashing), so that they agree without a word
//! between them. The first in that order is taken unless it is clearly busier than the others.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

use crate::health::Health;
use crate::server::Entry;

/// A request as the choice sees it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Wish<'a> {
    /// The prompt part, shared with other requests, that is worth finding again.
    pub affinity: Option<&'a str>,
    /// Tokens of the prompt up to that part.
    pub shared_tokens: u64,
    /// Availability zone of the instance.
    pub zone: &'a str,
    /// A number that differs from request to request.
    pub draw: u64,
}

/// Requests under way at each backend server, sent by this instance.
#[derive(Debug, Default)]
pub struct Load {
    running: HashMap<Arc<str>, u32>,
}

impl Load {
    /// One more request.
    pub fn begin(&mut self, id: &Arc<str>) {
        *self.running.entry(id.clone()).or_default() += 1;
    }

    /// One request fewer.
    pub fn end(&mut self, id: &str) {
        let Some(count) = self.running.get_mut(id) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.running.remove(id);
        }
    }

    /// Requests under way.
    pub fn running(&self, id: &str) -> u32 {
        self.running.get(id).copied().unwrap_or_default()
    }

    /// All requests under way.
    pub fn total(&self) -> u32 {
        self.running.values().sum()
    }
}

/// A server may have so many times the mean number of own requests, and a few more, before the next one in the
/// order is taken.
const BOUND_FACTOR: f64 = 1.5;
/// The few more.
const BOUND_SLACK: f64 = 2.0;
/// Shared tokens from which finding them again is worth more than an even load.
const LEAST_SHARED: u64 = 1_000;

/// Picks one of the candidates; `None` when there are none.
pub fn pick<'a>(
    candidates: &[&'a Arc<Entry>],
    wish: &Wish<'_>,
    load: &Load,
    health: &Health,
    now_ms: u64,
) -> Option<&'a Arc<Entry>> {
    let sound: Vec<&Arc<Entry>> = candidates
        .iter()
        .copied()
        .filter(|entry| !health.is_out(&entry.id, now_ms))
        .collect();
    // With all of them left out, the judgement is more likely wrong than every server.
    let from = if sound.is_empty() { candidates } else { &sound };
    match wish.affinity {
        Some(part) if wish.shared_tokens >= LEAST_SHARED => by_rank(from, part, load),
        _ => by_load(from, wish, load, health),
    }
}

fn by_rank<'a>(from: &[&'a Arc<Entry>], part: &str, load: &Load) -> Option<&'a Arc<Entry>> {
    let mut ranked: Vec<&Arc<Entry>> = from.to_vec();
    ranked.sort_by_key(|entry| std::cmp::Reverse(rank(part, &entry.id)));
    let running: u32 = ranked.iter().map(|entry| load.running(&entry.id)).sum();
    let mean = f64::from(running) / ranked.len().max(1) as f64;
    let bound = mean * BOUND_FACTOR + BOUND_SLACK;
    let below = |entry: &&&Arc<Entry>| f64::from(load.running(&entry.id)) < bound;
    ranked.iter().find(below).or(ranked.first()).copied()
}

fn by_load<'a>(
    from: &[&'a Arc<Entry>],
    wish: &Wish<'_>,
    load: &Load,
    health: &Health,
) -> Option<&'a Arc<Entry>> {
    let cost = |entry: &Arc<Entry>| {
        let running = f64::from(load.running(&entry.id));
        let busy = running / f64::from(entry.slots.max(1));
        busy + health.penalty(&entry.id)
    };
    let tie = |entry: &Arc<Entry>| rank(&wish.draw.to_string(), &entry.id);
    from.iter().copied().min_by(|left, right| {
        let order = cost(left).total_cmp(&cost(right));
        order.then_with(|| tie(left).cmp(&tie(right)))
    })
}

/// Rank of a server for a prompt part; equal on all instances of one program version.
fn rank(part: &str, id: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    part.hash(&mut hasher);
    id.hash(&mut hasher);
    hasher.finish()
}
