//! Index of the prompt prefixes that the servers' caches probably hold.
//!
//! It has two sources: the requests that this instance sent, and the cache events that engines
//! publish. Events arrive late and may be lost, so they are only hints. `n` lost events may include
//! the eviction of any `n` blocks, so the confidence in each block of that server drops by `n` over
//! the number of its blocks; a gap of at least that number invalidates them all. A lost
//! [`Event::Cleared`] shows in the next load report, where the cache is nearly empty.

use std::hash::{BuildHasherDefault, Hasher};

use fescuewell_core::prelude::*;
use lru::LruCache;

use crate::pool::capacity;
use crate::settings::{Settings, millis};

fescuewell_core::message! {
    /// A cache event of an engine.
    #[derive(Copy, Eq)]
    pub enum Event {
        /// The block was stored in the cache.
        Stored(Digest),
        /// The block was evicted from the cache.
        Evicted(Digest),
        /// The whole cache was cleared.
        Cleared,
    }
}

/// Maximum number of servers kept per block.
const MAX_HOLDERS: usize = 16;
/// Maximum number of blocks looked up per prompt. For longer prompts only every second, fourth, ...
/// block is looked up.
const MAX_DEPTHS: usize = 64;
/// An event this far behind the newest one is not late: the server has restarted its sequence.
const MAX_LATE_EVENTS: u64 = 1_024;
/// Used share of a cache above which blocks are assumed to be evicted.
const EVICTION_USAGE: f32 = 0.85;
/// A cache whose usage falls below this share of the last reported usage was cleared.
const CLEARED_USAGE_RATIO: f32 = 0.5;
/// Confidence in a request that was sent before a gap that invalidated all hints.
const STALE_CONFIDENCE: f32 = 0.5;
/// Holders with a lower confidence are ignored.
const MIN_CONFIDENCE: f32 = 0.05;

/// A server that probably caches a prefix.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Hit {
    pub(crate) server: ServerKey,
    /// Number of cached blocks from the start of the prompt.
    pub(crate) blocks: u32,
    /// Probability that they are cached, from 0 to 1.
    pub(crate) confidence: f32,
}

#[derive(Debug, Clone, Copy)]
struct Holder {
    server: ServerKey,
    confirmed: bool,
    generation: u32,
    /// The feed's `log_retention` when the block was last known to be cached.
    log_retention: f32,
    sent: Option<Instant>,
}

/// State of a server's event sequence.
#[derive(Debug, Clone, Copy, Default)]
struct Feed {
    last_sequence: Option<u64>,
    generation: u32,
    /// Blocks of earlier generations are not cached, since the cache was cleared.
    cleared_generation: u32,
    /// Logarithm of the expected share of blocks that survived all gaps of this generation.
    log_retention: f32,
    /// Number of indexed blocks that the server holds according to its events.
    held_blocks: u32,
    /// Used share of its cache in the last report.
    usage: f32,
}

#[derive(Default)]
struct PassThrough(u64);

// Digests are hashes already and need no second hashing.
impl Hasher for PassThrough {
    fn finish(&self) -> u64 {
        self.0
    }
    fn write(&mut self, bytes: &[u8]) {
        for &byte in bytes {
            self.0 = self.0.rotate_left(8) ^ u64::from(byte);
        }
    }
    fn write_u128(&mut self, value: u128) {
        self.0 = value as u64;
    }
}

type Blocks = LruCache<Digest, Vec<Holder>, BuildHasherDefault<PassThrough>>;

/// Bounded index of prefixes.
pub(crate) struct History {
    // Blocks of this instance's requests and blocks known only from events have separate
    // capacities: the events of a large fleet would otherwise evict the blocks that this instance's
    // callers use.
    own: Blocks,
    hints: Blocks,
    feeds: Vec<Feed>,
    settings: Settings,
}

impl History {
    pub(crate) fn new(settings: Settings) -> Self {
        let bounded =
            |blocks| LruCache::with_hasher(capacity(blocks), BuildHasherDefault::default());
        Self {
            own: bounded(settings.history_blocks),
            hints: bounded(settings.hint_blocks),
            feeds: Vec::new(),
            settings,
        }
    }

    /// Finds the servers that cache a prefix of the prompt, by descending expected number of
    /// blocks.
    pub(crate) fn lookup(&mut self, now: Instant, prefix: &[Digest], hits: &mut Vec<Hit>) {
        hits.clear();
        let stride = stride(prefix.len());
        for depth in depths(prefix.len(), stride) {
            self.adopt_hint(prefix[depth]);
            let Some(holders) = self.own.get(&prefix[depth]) else {
                break;
            };
            let mut found = false;
            for holder in holders {
                let confidence = confidence(&self.feeds, &self.settings, now, holder);
                if confidence < MIN_CONFIDENCE {
                    continue;
                }
                found |= extend_hits(hits, holder.server, depth, stride, confidence);
            }
            if !found {
                break;
            }
        }
        hits.sort_by(|a, b| {
            let value = |hit: &Hit| hit.blocks as f32 * hit.confidence;
            value(b).total_cmp(&value(a))
        });
    }

    /// Records that this instance sends a prompt to a server.
    pub(crate) fn record_send(&mut self, now: Instant, prefix: &[Digest], server: ServerKey) {
        let Feed {
            generation,
            log_retention,
            ..
        } = *self.feed(server);
        // From the deepest block up, so that the blocks that most prompts share are evicted last.
        for depth in depths(prefix.len(), stride(prefix.len())).rev() {
            let block = prefix[depth];
            self.adopt_hint(block);
            if !self.own.contains(&block) {
                let dropped = self.own.push(block, Vec::with_capacity(1));
                uncount_all(&mut self.feeds, dropped);
            }
            let Some(holders) = self.own.get_mut(&block) else {
                continue;
            };
            let holder = holder_entry(holders, server);
            holder.sent = Some(now);
            if holder.generation != generation {
                holder.generation = generation;
                holder.confirmed = false;
            }
            if !holder.confirmed {
                holder.log_retention = log_retention;
            }
        }
    }

    /// Records a cache event. Returns whether its sequence number shows that events were lost.
    pub(crate) fn record_event(&mut self, server: ServerKey, sequence: u64, event: Event) -> bool {
        let feed = self.feed(server);
        let last = feed.last_sequence;
        let next = last.is_none_or(|last| sequence == last + 1);
        let late = last.is_some_and(|last| sequence <= last && last - sequence < MAX_LATE_EVENTS);
        if !late {
            feed.last_sequence = Some(sequence);
        }
        let gap = !next && !late;
        if gap {
            let missed = sequence.saturating_sub(last.unwrap_or(0)).saturating_sub(1);
            // A number far below the last one means a restarted server, whose cache is empty.
            let restarted = last.is_some_and(|last| sequence <= last);
            feed.discount(if restarted { u64::MAX } else { missed });
        }
        if event == Event::Cleared {
            feed.clear();
        }
        match event {
            Event::Evicted(block) => self.remove(block, server),
            // A late `Stored` may precede an eviction that was already applied.
            Event::Stored(block) if !late => self.confirm(block, server),
            Event::Stored(_) | Event::Cleared => {}
        }
        gap
    }

    /// Records the used share of a server's cache.
    pub(crate) fn record_usage(&mut self, server: ServerKey, usage: f32) {
        let feed = self.feed(server);
        if usage < feed.usage * CLEARED_USAGE_RATIO {
            feed.clear();
        }
        feed.usage = usage;
    }

    /// Invalidates everything known of a server, as when it was replaced.
    pub(crate) fn forget(&mut self, server: ServerKey) {
        let feed = self.feed(server);
        feed.clear();
        feed.last_sequence = None;
        // Until the first report, the cache is assumed to be full and evicting.
        feed.usage = 1.0;
    }

    /// Returns the number of indexed blocks.
    pub(crate) fn len(&self) -> usize {
        self.own.len() + self.hints.len()
    }

    fn feed(&mut self, server: ServerKey) -> &mut Feed {
        let index = server.0 as usize;
        if index >= self.feeds.len() {
            let unknown = Feed {
                usage: 1.0,
                ..Feed::default()
            };
            self.feeds.resize(index + 1, unknown);
        }
        &mut self.feeds[index]
    }

    /// Moves a block that is known only from events to the blocks of this instance's requests.
    fn adopt_hint(&mut self, block: Digest) {
        if let Some(holders) = self.hints.pop(&block) {
            let dropped = self.own.push(block, holders);
            uncount_all(&mut self.feeds, dropped);
        }
    }

    fn confirm(&mut self, block: Digest, server: ServerKey) {
        let Feed {
            generation,
            log_retention,
            ..
        } = *self.feed(server);
        if !self.own.contains(&block) && !self.hints.contains(&block) {
            let dropped = self.hints.push(block, Vec::with_capacity(1));
            uncount_all(&mut self.feeds, dropped);
        }
        let found = self.own.peek_mut(&block);
        let Some(holders) = found.or_else(|| self.hints.get_mut(&block)) else {
            return;
        };
        let holder = holder_entry(holders, server);
        let known = holder.confirmed && holder.generation == generation;
        holder.generation = generation;
        holder.log_retention = log_retention;
        holder.confirmed = true;
        self.feed(server).held_blocks += u32::from(!known);
    }

    fn remove(&mut self, block: Digest, server: ServerKey) {
        let found = self.own.peek_mut(&block);
        let Some(holders) = found.or_else(|| self.hints.peek_mut(&block)) else {
            return;
        };
        let Some(position) = holders.iter().position(|holder| holder.server == server) else {
            return;
        };
        let holder = holders.remove(position);
        if holders.is_empty() {
            self.hints.pop(&block);
        }
        self.feed(server).uncount(&holder);
    }
}

impl Feed {
    /// Subtracts a removed holder from the server's block count.
    fn uncount(&mut self, holder: &Holder) {
        if holder.confirmed && holder.generation == self.generation {
            self.held_blocks = self.held_blocks.saturating_sub(1);
        }
    }

    /// Lowers the confidence in all blocks after `missed` lost events.
    fn discount(&mut self, missed: u64) {
        if missed >= u64::from(self.held_blocks) {
            self.invalidate();
            return;
        }
        self.log_retention += (1.0 - missed as f32 / self.held_blocks as f32).ln();
    }

    /// Begins a new generation, in which no block is known to be cached.
    fn invalidate(&mut self) {
        self.generation += 1;
        self.held_blocks = 0;
        self.log_retention = 0.0;
    }

    /// Records that the server's cache was cleared.
    fn clear(&mut self) {
        self.invalidate();
        self.cleared_generation = self.generation;
    }
}

/// Subtracts the holders of a block that was evicted from the index from their servers' counts.
fn uncount_all(feeds: &mut [Feed], dropped: Option<(Digest, Vec<Holder>)>) {
    for holder in dropped.into_iter().flat_map(|(_, holders)| holders) {
        if let Some(feed) = feeds.get_mut(holder.server.0 as usize) {
            feed.uncount(&holder);
        }
    }
}

/// Distance between the blocks that are looked up. It is a power of two, so that the lookups of
/// prompts of different lengths share blocks.
fn stride(blocks: usize) -> usize {
    blocks.div_ceil(MAX_DEPTHS).next_power_of_two()
}

fn depths(blocks: usize, stride: usize) -> impl DoubleEndedIterator<Item = usize> {
    (0..blocks / stride).map(move |step| (step + 1) * stride - 1)
}

/// Extends a server's hit to `depth`, if it has all looked-up blocks before. Returns whether it
/// did.
fn extend_hits(
    hits: &mut Vec<Hit>,
    server: ServerKey,
    depth: usize,
    stride: usize,
    confidence: f32,
) -> bool {
    let blocks = depth as u32 + 1;
    let before = blocks - stride as u32;
    if before == 0 {
        hits.push(Hit {
            server,
            blocks,
            confidence,
        });
        return true;
    }
    for hit in hits {
        if hit.server == server && hit.blocks == before {
            hit.blocks = blocks;
            hit.confidence = hit.confidence.min(confidence);
            return true;
        }
    }
    false
}

fn holder_entry(holders: &mut Vec<Holder>, server: ServerKey) -> &mut Holder {
    let position = holders.iter().position(|holder| holder.server == server);
    let position = position.unwrap_or_else(|| {
        if holders.len() == MAX_HOLDERS {
            holders.remove(0);
        }
        holders.push(Holder {
            server,
            confirmed: false,
            generation: 0,
            log_retention: 0.0,
            sent: None,
        });
        holders.len() - 1
    });
    &mut holders[position]
}

fn confidence(feeds: &[Feed], settings: &Settings, now: Instant, holder: &Holder) -> f32 {
    let feed = feeds.get(holder.server.0 as usize);
    let feed = feed.copied().unwrap_or_default();
    let current = holder.generation == feed.generation;
    let retention = if current {
        (feed.log_retention - holder.log_retention).exp()
    } else {
        STALE_CONFIDENCE
    };
    if holder.confirmed && current {
        return retention;
    }
    let Some(sent) = holder.sent else {
        return 0.0;
    };
    if holder.generation < feed.cleared_generation {
        return 0.0;
    }
    let half_life = millis(settings.history_half_life_ms).as_secs_f32();
    let age = now.since(sent).as_secs_f32() / half_life;
    let fresh = (-age).exp2();
    let is_evicting = feed.usage >= EVICTION_USAGE;
    if is_evicting || !current {
        return fresh * retention;
    }
    retention
}
