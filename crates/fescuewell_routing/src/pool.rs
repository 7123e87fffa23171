//! Index of the servers per model and reach set, so that a choice does not scan all servers.

use std::collections::HashMap;
use std::num::NonZeroUsize;
use std::sync::Arc;

use fescuewell_core::intern::Index;
use fescuewell_core::prelude::*;
use lru::LruCache;

use crate::server::Entry;

fescuewell_core::key! {
    /// Index of an interned model name.
    pub struct ModelKey(pub u32);
    /// Index of an interned reach set.
    pub struct ReachKey(pub u32);
}

impl Index for ModelKey {
    fn from_index(index: u32) -> Self {
        Self(index)
    }
    fn index(self) -> usize {
        self.0 as usize
    }
}

/// Servers of one model within one reach set. Each list is sorted by ring position.
#[derive(Debug, Clone, Default)]
pub(crate) struct Pool {
    /// Servers that have the model loaded, as far as is known.
    pub(crate) loaded: Vec<Member>,
    /// Servers that may be ordered to load it.
    pub(crate) orderable: Vec<Member>,
}

/// A server and its position on the hash ring.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Member {
    position: u64,
    pub(crate) server: ServerKey,
}

/// Returns the ring position of a server name, which is the same on every instance.
pub(crate) fn ring_position(name: &str) -> u64 {
    Digest::of(name.as_bytes()).0 as u64
}

impl Pool {
    fn build(model: Option<ModelKey>, reach: &[ServerKey], entries: &[Option<Entry>]) -> Self {
        let mut pool = Self::default();
        for &server in reach {
            let Some(Some(entry)) = entries.get(server.0 as usize) else {
                continue;
            };
            let member = Member {
                position: entry.ring_position,
                server,
            };
            match model {
                None => pool.loaded.push(member),
                Some(model) if entry.has_loaded(model) => pool.loaded.push(member),
                Some(model) if entry.may_load(model) => pool.orderable.push(member),
                Some(_) => {}
            }
        }
        pool.loaded.sort_unstable();
        pool.loaded.dedup();
        pool.orderable.sort_unstable();
        pool.orderable.dedup();
        pool
    }

    /// Whether the server has the model loaded and is in the reach set.
    pub(crate) fn contains(&self, server: ServerKey, position: u64) -> bool {
        self.loaded
            .binary_search(&Member { position, server })
            .is_ok()
    }

    /// Iterates once around the ring, starting at the first server at or after `point`.
    pub(crate) fn clockwise_from(&self, point: u64) -> impl Iterator<Item = ServerKey> + '_ {
        let split = self
            .loaded
            .partition_point(|member| member.position < point);
        let (before, behind) = self.loaded.split_at(split);
        behind.iter().chain(before).map(|member| member.server)
    }

    fn relocate(&mut self, member: Member, loaded: bool) {
        let (from, to) = if loaded {
            (&mut self.orderable, &mut self.loaded)
        } else {
            (&mut self.loaded, &mut self.orderable)
        };
        let Ok(position) = from.binary_search(&member) else {
            return;
        };
        from.remove(position);
        if let Err(position) = to.binary_search(&member) {
            to.insert(position, member);
        }
    }

    fn len(&self) -> usize {
        self.loaded.len() + self.orderable.len()
    }
}

type PoolKey = (Option<ModelKey>, ReachKey);

/// Cache of pools, bounded by their total number of members.
#[derive(Debug)]
pub(crate) struct Pools {
    reaches: Reaches,
    pools: LruCache<PoolKey, Pool>,
    members: usize,
}

/// Maximum number of members of all pools; at 16 bytes each, 8 MB.
const MAX_MEMBERS: usize = 512 * 1024;

impl Default for Pools {
    fn default() -> Self {
        Self {
            reaches: Reaches::default(),
            pools: LruCache::unbounded(),
            members: 0,
        }
    }
}

impl Pools {
    /// Removes all pools, as after a change of the set of servers.
    pub(crate) fn clear(&mut self) {
        *self = Self::default();
    }

    /// Returns the pool of a model and reach set, and builds it on first use.
    pub(crate) fn find(
        &mut self,
        model: Option<ModelKey>,
        reach: &[ServerKey],
        entries: &[Option<Entry>],
    ) -> &Pool {
        if self.reaches.len > MAX_MEMBERS {
            self.clear();
        }
        let key = (model, self.reaches.intern(reach));
        if !self.pools.contains(&key) {
            let pool = Pool::build(model, reach, entries);
            self.evict(pool.len());
            self.members += pool.len();
            self.pools.put(key, pool);
        }
        self.pools
            .get_or_insert(key, || unreachable!("the pool was inserted above"))
    }

    /// Moves a server between the `loaded` and `orderable` lists of all pools of `model`.
    pub(crate) fn relocate(&mut self, model: ModelKey, server: ServerKey, entry: &Entry) {
        let member = Member {
            position: entry.ring_position,
            server,
        };
        let loaded = entry.has_loaded(model);
        for (key, pool) in &mut self.pools {
            if key.0 == Some(model) {
                pool.relocate(member, loaded);
            }
        }
    }

    fn evict(&mut self, needed: usize) {
        while self.members + needed > MAX_MEMBERS {
            let Some((_, pool)) = self.pools.pop_lru() else {
                return;
            };
            self.members -= pool.len();
        }
    }
}

/// Interned reach sets. Groups with the same reach set share their pools.
#[derive(Debug, Default)]
struct Reaches {
    sets: Vec<Arc<[ServerKey]>>,
    index: HashMap<u64, ReachKey>,
    len: usize,
}

impl Reaches {
    fn intern(&mut self, reach: &[ServerKey]) -> ReachKey {
        let mut hash = fingerprint(reach);
        while let Some(&key) = self.index.get(&hash) {
            // On a hash collision a group would get the servers of another one, so the sets are
            // compared and a collision probes the next slot.
            if *self.sets[key.0 as usize] == *reach {
                return key;
            }
            hash = hash.wrapping_add(1);
        }
        let key = ReachKey(self.sets.len() as u32);
        self.sets.push(reach.into());
        self.index.insert(hash, key);
        self.len += reach.len();
        key
    }
}

/// Odd multiplier of the hash: 2^64 divided by the golden ratio.
const MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;
/// Number of independent hash lanes.
const LANES: usize = 8;

fn fingerprint(reach: &[ServerKey]) -> u64 {
    // A single dependent chain of multiplications over 12,000 keys takes 20 us.
    let mut lanes = [reach.len() as u64; LANES];
    let chunks = reach.chunks_exact(LANES);
    for (lane, server) in lanes.iter_mut().zip(chunks.remainder()) {
        *lane = mix(*lane, server.0);
    }
    for chunk in chunks {
        for (lane, server) in lanes.iter_mut().zip(chunk) {
            *lane = mix(*lane, server.0);
        }
    }
    lanes.iter().fold(0, |hash: u64, lane| {
        (hash.rotate_left(5) ^ lane).wrapping_mul(MULTIPLIER)
    })
}

fn mix(lane: u64, server: u32) -> u64 {
    (lane.rotate_left(5) ^ u64::from(server)).wrapping_mul(MULTIPLIER)
}

/// Converts a count to a cache capacity of at least one.
pub(crate) fn capacity(count: u32) -> NonZeroUsize {
    NonZeroUsize::new(count as usize).unwrap_or(NonZeroUsize::MIN)
}
