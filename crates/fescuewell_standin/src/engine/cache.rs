//! The prefix cache: hashed blocks of prompt text, least recently used first out, and its events.
//!
//! Block `k` of a text holds the bytes `[64 k, 64 (k + 1))`; only whole blocks are cached. Its hash is
//! the first 64 bits (little endian) of BLAKE3 over the hash of the block before it (8 bytes, little endian) and
//! the block's bytes. The chain starts with the first 64 bits of BLAKE3 over `model`, a zero byte and the cache salt,
//! so that neither another model nor another group's salt ever matches.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Bytes of text in a block.
pub const BLOCK_BYTES: usize = 64;

/// Events that are remembered.
const EVENTS: usize = 20_000;

/// The chain of block hashes of a text.
pub fn block_hashes(model: &str, salt: &str, text: &str) -> Vec<u64> {
    let mut start = blake3::Hasher::new();
    start.update(model.as_bytes());
    start.update(&[0]);
    start.update(salt.as_bytes());
    let mut last = first_bits(&start);
    let blocks = text.as_bytes().chunks_exact(BLOCK_BYTES);
    let mut hashes = Vec::with_capacity(blocks.len());
    for block in blocks {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&last.to_le_bytes());
        hasher.update(block);
        last = first_bits(&hasher);
        hashes.push(last);
    }
    hashes
}

fn first_bits(hasher: &blake3::Hasher) -> u64 {
    let mut first = [0u8; 8];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(first)
}

/// What happened to a block.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// It came into the cache.
    Stored,
    /// It was dropped for want of room.
    Removed,
}

/// A change of the cache, as published.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Rises by one with each event; a number that is missing is a gap.
    pub seq: u64,
    /// What happened.
    pub kind: Kind,
    /// To which blocks.
    pub blocks: Vec<u64>,
    at: Instant,
}

/// The cache and the log of its changes.
pub struct Cache {
    stamps: HashMap<u64, u64>,
    order: BTreeMap<u64, u64>,
    clock: u64,
    events: VecDeque<Event>,
    seq: u64,
    loss: f64,
    rng: SmallRng,
}

impl Cache {
    /// An empty cache that loses the given share (0 to 1) of its events.
    pub fn new(loss: f64, seed: u64) -> Self {
        Self {
            stamps: HashMap::new(),
            order: BTreeMap::new(),
            clock: 0,
            events: VecDeque::new(),
            seq: 0,
            loss,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Sets the share of events that are lost.
    pub fn set_loss(&mut self, loss: f64) {
        self.loss = loss;
    }

    /// How many blocks are cached.
    pub fn len(&self) -> usize {
        self.stamps.len()
    }

    /// Whether nothing is cached.
    pub fn is_empty(&self) -> bool {
        self.stamps.is_empty()
    }

    /// How many blocks at the start of the chain are cached.
    pub fn matching(&self, chain: &[u64]) -> usize {
        let known = chain.iter().take_while(|hash| self.contains(**hash));
        known.count()
    }

    /// Whether a block is cached.
    pub fn contains(&self, hash: u64) -> bool {
        self.stamps.contains_key(&hash)
    }

    /// Marks a chain as just used and adds what is missing of it; then drops what is beyond `room`.
    pub fn store(&mut self, chain: &[u64], room: usize, now: Instant) {
        let mut added = Vec::new();
        // From the end, so that the start of a chain is always younger than its end: a block
        // without the one before it can never be matched, so the end has to go first.
        for hash in chain.iter().rev() {
            self.clock += 1;
            match self.stamps.insert(*hash, self.clock) {
                Some(stamp) => drop(self.order.remove(&stamp)),
                None => added.push(*hash),
            }
            self.order.insert(self.clock, *hash);
        }
        added.reverse();
        self.publish(Kind::Stored, added, now);
        self.shrink(room, now);
    }

    /// Drops the blocks that were used longest ago until at most `room` are left.
    pub fn shrink(&mut self, room: usize, now: Instant) {
        let mut removed = Vec::new();
        while self.stamps.len() > room {
            let Some((_, hash)) = self.order.pop_first() else {
                break;
            };
            self.stamps.remove(&hash);
            removed.push(hash);
        }
        self.publish(Kind::Removed, removed, now);
    }

    fn publish(&mut self, kind: Kind, blocks: Vec<u64>, now: Instant) {
        if blocks.is_empty() {
            return;
        }
        self.seq += 1;
        if self.rng.random::<f64>() < self.loss {
            return;
        }
        if self.events.len() == EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(Event {
            seq: self.seq,
            kind,
            blocks,
            at: now,
        });
    }

    /// The events after `after` that are at least `lag` old, at most `limit` of them.
    pub fn events(&self, after: u64, lag: Duration, limit: usize, now: Instant) -> Vec<&Event> {
        let ripe = |event: &&Event| now.saturating_duration_since(event.at) >= lag;
        let later = self.events.iter().filter(|event| event.seq > after);
        later.take_while(ripe).take(limit).collect()
    }
}
