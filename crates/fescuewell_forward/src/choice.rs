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

/// What this instance has under way at one backend server.
#[derive(Debug, Default, Clone, Copy)]
struct Busy {
    running: u32,
    unread: u64,
}

/// Requests under way at each backend server, sent by this instance.
#[derive(Debug, Default)]
pub struct Load {
    servers: HashMap<Arc<str>, Busy>,
}

impl Load {
    /// One more request, with a prompt of so many tokens that are still to be read.
    pub fn begin(&mut self, id: &Arc<str>, unread: u64) {
        let busy = self.servers.entry(id.clone()).or_default();
        busy.running += 1;
        busy.unread += unread;
    }

    /// A prompt has been read.
    pub fn read(&mut self, id: &str, unread: u64) {
        if let Some(busy) = self.servers.get_mut(id) {
            busy.unread = busy.unread.saturating_sub(unread);
        }
    }

    /// One request fewer, its prompt having been read or given up.
    pub fn end(&mut self, id: &str) {
        let Some(busy) = self.servers.get_mut(id) else {
            return;
        };
        busy.running = busy.running.saturating_sub(1);
        if busy.running == 0 {
            self.servers.remove(id);
        }
    }

    /// Requests under way.
    pub fn running(&self, id: &str) -> u32 {
        self.servers.get(id).map_or(0, |busy| busy.running)
    }

    /// Prompt tokens still to be read.
    pub fn unread(&self, id: &str) -> u64 {
        self.servers.get(id).map_or(0, |busy| busy.unread)
    }
}

/// A server may have so many times the mean number of own requests, and a few more, before the next one in the
/// order is taken.
const BOUND_FACTOR: f64 = 1.5;
/// The few more.
const BOUND_SLACK: f64 = 2.0;
/// Prompt tokens that may wait to be read at one server beyond that: about a quarter of a second of reading.
const UNREAD_SLACK: f64 = 40_000.0;
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
    let open: Vec<&Arc<Entry>> = candidates
        .iter()
        .copied()
        .filter(|entry| !health.is_out(&entry.id, now_ms))
        .collect();
    // With all of them left out, the judgement is more likely wrong than every server.
    let from = if open.is_empty() { candidates } else { &open };
    match wish.affinity {
        Some(part) if wish.shared_tokens >= LEAST_SHARED => by_rank(from, part, load),
        _ => by_load(&not_slow(from, health, now_ms), wish, load, health),
    }
}

/// Those that are not much slower than the others. Only where nothing is kept for the request: reading a
/// long prompt again costs more than a slow server does.
fn not_slow<'a>(from: &[&'a Arc<Entry>], health: &Health, now_ms: u64) -> Vec<&'a Arc<Entry>> {
    let ids = from.iter().map(|entry| &*entry.id);
    let limit = health.slow_from(ids, now_ms).unwrap_or(f64::INFINITY);
    let is_slow = |id: &str| health.measured(id, now_ms).is_some_and(|time| time > limit);
    let fast: Vec<&Arc<Entry>> = from
        .iter()
        .copied()
        .filter(|entry| !is_slow(&entry.id))
        .collect();
    if fast.is_empty() { from.to_vec() } else { fast }
}

fn by_rank<'a>(from: &[&'a Arc<Entry>], part: &str, load: &Load) -> Option<&'a Arc<Entry>> {
    let mut ranked: Vec<&Arc<Entry>> = from.to_vec();
    ranked.sort_by_key(|entry| std::cmp::Reverse(rank(part, &entry.id)));
    let count = ranked.len().max(1) as f64;
    let running: u32 = ranked.iter().map(|entry| load.running(&entry.id)).sum();
    let unread: u64 = ranked.iter().map(|entry| load.unread(&entry.id)).sum();
    let most_running = f64::from(running) / count * BOUND_FACTOR + BOUND_SLACK;
    let most_unread = unread as f64 / count * BOUND_FACTOR + UNREAD_SLACK;
    let below = |entry: &&&Arc<Entry>| {
        f64::from(load.running(&entry.id)) < most_running
            && (load.unread(&entry.id) as f64) < most_unread
    };
    let least = || ranked.iter().min_by_key(|entry| load.unread(&entry.id));
    ranked.iter().find(below).or_else(least).copied()
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
