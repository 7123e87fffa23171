//! Which server's cache probably holds which prompt prefix.
//!
//! Two sources: what this instance sent where, and the cache events that engines publish. Events
//! come late and with gaps, so they are hints. A gap of `n` events may have hidden the eviction of
//! any `n` blocks, nobody knows which, so each block that the server was believed to hold loses
//! trust by `n` in the number held; a gap as large as that number voids them all. A gap that hid
//! the clearing of the whole cache shows in the next load report, as the cache is nearly empty then.

use std::hash::{BuildHasherDefault, Hasher};

use fescuewell_core::prelude::*;
use lru::LruCache;

use crate::pool::capacity;
use crate::settings::{Settings, millis};

fescuewell_core::message! {
    /// One cache event of an engine.
    #[derive(Copy, Eq)]
    pub enum Event {
        /// The block is in the cache now.
        Stored(Digest),
        /// The block is no longer in the cache.
        Evicted(Digest),
        /// The cache is empty.
        Cleared,
    }
}

/// Servers remembered per block.
const HOLDERS_MOST: usize = 16;
/// Blocks looked at per prompt; of longer prompts every second, fourth, ... block is looked at.
const DEPTHS_MOST: usize = 64;
/// An event this far behind the newest one is not late: the server counts from the start again.
const LATE_MOST: u64 = 1_024;
/// Part of the cache in use from which on blocks are being evicted.
const EVICTING_FROM: f32 = 0.85;
/// A cache whose use falls below this part of its last use was cleared.
const CLEARED_BELOW: f32 = 0.5;
/// Trust in an own send from before a gap that voided all hints.
const VOIDED_TRUST: f32 = 0.5;
/// Holders that are trusted less than this are dropped.
const TRUST_LEAST: f32 = 0.05;

/// A server that probably holds a prefix.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Hit {
    pub(crate) server: ServerKey,
    /// Blocks from the start of the prompt.
    pub(crate) blocks: u32,
    /// How likely that is, from 0 to 1.
    pub(crate) trust: f32,
}

#[derive(Debug, Clone, Copy)]
struct Holder {
    server: ServerKey,
    confirmed: bool,
    era: u32,
    /// The feed's `kept` when the holder was last known to be one.
    kept: f32,
    sent: Option<Instant>,
}

/// Where a server's event sequence stands.
#[derive(Debug, Clone, Copy, Default)]
struct Feed {
    last: Option<u64>,
    era: u32,
    /// What was believed in earlier eras is worthless: the cache was emptied.
    empty_before: u32,
    /// Logarithm of the part of the blocks that outlived all gaps of this era.
    kept: f32,
    /// Blocks that events say the server holds, as far as they are remembered.
    held: u32,
    /// Part of its cache in use at the last report.
    used: f32,
}

#[derive(Default)]
struct PassThrough(u64);

// Digests are hashes already; hashing them again would only cost time.
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

/// The bounded history of prefixes.
pub(crate) struct History {
    // Blocks of own requests and blocks known from events alone have room of their own: a large
    // fleet's events would otherwise push out what this instance's callers use.
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

    /// The servers with the longest held prefixes, longest first.
    pub(crate) fn lookup(&mut self, now: Instant, prefix: &[Digest], hits: &mut Vec<Hit>) {
        hits.clear();
        let stride = stride(prefix.len());
        for depth in depths(prefix.len(), stride) {
            self.take_up(prefix[depth]);
            let Some(holders) = self.own.get(&prefix[depth]) else {
                break;
            };
            let mut found = false;
            for holder in holders {
                let trust = trust(&self.feeds, &self.settings, now, holder);
                if trust < TRUST_LEAST {
                    continue;
                }
                found |= extend(hits, holder.server, depth, stride, trust);
            }
            if !found {
                break;
            }
        }
        hits.sort_by(|a, b| {
            let value = |hit: &Hit| hit.blocks as f32 * hit.trust;
            value(b).total_cmp(&value(a))
        });
    }

    /// Notes that this instance sends a prompt to a server.
    pub(crate) fn sent(&mut self, now: Instant, prefix: &[Digest], server: ServerKey) {
        let Feed { era, kept, .. } = *self.feed(server);
        // Deepest first, so that the blocks most prompts share are the last to be forgotten.
        for depth in depths(prefix.len(), stride(prefix.len())).rev() {
            let block = prefix[depth];
            self.take_up(block);
            if !self.own.contains(&block) {
                let dropped = self.own.push(block, Vec::with_capacity(1));
                release(&mut self.feeds, dropped);
            }
            let Some(holders) = self.own.get_mut(&block) else {
                continue;
            };
            let holder = place(holders, server);
            holder.sent = Some(now);
            if holder.era != era {
                holder.era = era;
                holder.confirmed = false;
            }
            if !holder.confirmed {
                holder.kept = kept;
            }
        }
    }

    /// Takes in a cache event. Returns whether it revealed a gap.
    pub(crate) fn event(&mut self, server: ServerKey, sequence: u64, event: Event) -> bool {
        let feed = self.feed(server);
        let last = feed.last;
        let next = last.is_none_or(|last| sequence == last + 1);
        let late = last.is_some_and(|last| sequence <= last && last - sequence < LATE_MOST);
        if !late {
            feed.last = Some(sequence);
        }
        let gap = !next && !late;
        if gap {
            let hidden = sequence.saturating_sub(last.unwrap_or(0)).saturating_sub(1);
            // A number that went back far is that of a restarted server, whose cache is empty.
            let restarted = last.is_some_and(|last| sequence <= last);
            feed.doubt(if restarted { u64::MAX } else { hidden });
        }
        if event == Event::Cleared {
            feed.empty();
        }
        match event {
            Event::Evicted(block) => self.remove(block, server),
            // A late "stored" may have been followed by an eviction that was already applied.
            Event::Stored(block) if !late => self.confirm(block, server),
            Event::Stored(_) | Event::Cleared => {}
        }
        gap
    }

    /// Notes how full a server's cache is.
    pub(crate) fn cache_used(&mut self, server: ServerKey, used: f32) {
        let feed = self.feed(server);
        if used < feed.used * CLEARED_BELOW {
            feed.empty();
        }
        feed.used = used;
    }

    /// Forgets what was believed of a server, as when it was replaced.
    pub(crate) fn forget(&mut self, server: ServerKey) {
        let feed = self.feed(server);
        feed.empty();
        feed.last = None;
        // Until a report says more, the cache may be evicting already.
        feed.used = 1.0;
    }

    /// How many blocks are remembered.
    pub(crate) fn len(&self) -> usize {
        self.own.len() + self.hints.len()
    }

    fn feed(&mut self, server: ServerKey) -> &mut Feed {
        let index = server.0 as usize;
        if index >= self.feeds.len() {
            let unknown = Feed {
                used: 1.0,
                ..Feed::default()
            };
            self.feeds.resize(index + 1, unknown);
        }
        &mut self.feeds[index]
    }

    /// Moves a block that was known from events alone to the own blocks.
    fn take_up(&mut self, block: Digest) {
        if let Some(holders) = self.hints.pop(&block) {
            let dropped = self.own.push(block, holders);
            release(&mut self.feeds, dropped);
        }
    }

    fn confirm(&mut self, block: Digest, server: ServerKey) {
        let Feed { era, kept, .. } = *self.feed(server);
        if !self.own.contains(&block) && !self.hints.contains(&block) {
            let dropped = self.hints.push(block, Vec::with_capacity(1));
            release(&mut self.feeds, dropped);
        }
        let found = self.own.peek_mut(&block);
        let Some(holders) = found.or_else(|| self.hints.get_mut(&block)) else {
            return;
        };
        let holder = place(holders, server);
        let known = holder.confirmed && holder.era == era;
        holder.era = era;
        holder.kept = kept;
        holder.confirmed = true;
        self.feed(server).held += u32::from(!known);
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
        self.feed(server).release(&holder);
    }
}

impl Feed {
    /// Counts a holder of this server out.
    fn release(&mut self, holder: &Holder) {
        if holder.confirmed && holder.era == self.era {
            self.held = self.held.saturating_sub(1);
        }
    }

    /// Takes trust away after `hidden` events that were not seen.
    fn doubt(&mut self, hidden: u64) {
        if hidden >= u64::from(self.held) {
            self.void();
            return;
        }
        self.kept += (1.0 - hidden as f32 / self.held as f32).ln();
    }

    /// Begins a new era, in which nothing is known to be held.
    fn void(&mut self) {
        self.era += 1;
        self.held = 0;
        self.kept = 0.0;
    }

    /// Notes that the server's cache was emptied.
    fn empty(&mut self) {
        self.void();
        self.empty_before = self.era;
    }
}

/// Counts the holders of a block that was pushed out of the bounded history.
fn release(feeds: &mut [Feed], dropped: Option<(Digest, Vec<Holder>)>) {
    for holder in dropped.into_iter().flat_map(|(_, holders)| holders) {
        if let Some(feed) = feeds.get_mut(holder.server.0 as usize) {
            feed.release(&holder);
        }
    }
}

/// Distance of the blocks that are looked at. A power of two, so that prompts of different lengths
/// look at common blocks.
fn stride(blocks: usize) -> usize {
    blocks.div_ceil(DEPTHS_MOST).next_power_of_two()
}

fn depths(blocks: usize, stride: usize) -> impl DoubleEndedIterator<Item = usize> {
    (0..blocks / stride).map(move |step| (step + 1) * stride - 1)
}

/// Adds a holder found at `depth`; only one that holds all blocks before it counts.
fn extend(hits: &mut Vec<Hit>, server: ServerKey, depth: usize, stride: usize, trust: f32) -> bool {
    let blocks = depth as u32 + 1;
    let before = blocks - stride as u32;
    if before == 0 {
        hits.push(Hit {
            server,
            blocks,
            trust,
        });
        return true;
    }
    for hit in hits {
        if hit.server == server && hit.blocks == before {
            hit.blocks = blocks;
            hit.trust = hit.trust.min(trust);
            return true;
        }
    }
    false
}

fn place(holders: &mut Vec<Holder>, server: ServerKey) -> &mut Holder {
    let position = holders.iter().position(|holder| holder.server == server);
    let position = position.unwrap_or_else(|| {
        if holders.len() == HOLDERS_MOST {
            holders.remove(0);
        }
        holders.push(Holder {
            server,
            confirmed: false,
            era: 0,
            kept: 0.0,
            sent: None,
        });
        holders.len() - 1
    });
    &mut holders[position]
}

fn trust(feeds: &[Feed], settings: &Settings, now: Instant, holder: &Holder) -> f32 {
    let feed = feeds.get(holder.server.0 as usize);
    let feed = feed.copied().unwrap_or_default();
    let current = holder.era == feed.era;
    let kept = if current {
        (feed.kept - holder.kept).exp()
    } else {
        VOIDED_TRUST
    };
    if holder.confirmed && current {
        return kept;
    }
    let Some(sent) = holder.sent else {
        return 0.0;
    };
    if holder.era < feed.empty_before {
        return 0.0;
    }
    let half_life = millis(settings.history_half_life_ms).as_secs_f32();
    let age = now.since(sent).as_secs_f32() / half_life;
    let fresh = (-age).exp2();
    let evicting = feed.used >= EVICTING_FROM;
    if evicting || !current {
        return fresh * kept;
    }
    kept
}
