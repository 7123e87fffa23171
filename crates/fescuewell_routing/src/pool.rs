//! Which servers may take a model within a reach, indexed so that no choice scans the fleet.

use std::collections::HashMap;
use std::num::NonZeroUsize;
use std::sync::Arc;

use fescuewell_core::intern::Index;
use fescuewell_core::prelude::*;
use lru::LruCache;

use crate::server::Entry;

fescuewell_core::key! {
    /// A model, as an index into the router's arena.
    pub struct ModelKey(pub u32);
    /// An interned reach set.
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

/// Servers of one model within one reach, each list sorted by ring position.
#[derive(Debug, Clone, Default)]
pub(crate) struct Pool {
    /// Those that have the model, as far as is known.
    pub(crate) loaded: Vec<Member>,
    /// Those that may be ordered to load it.
    pub(crate) orderable: Vec<Member>,
}

/// A server at its place on the ring.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Member {
    ring: u64,
    pub(crate) server: ServerKey,
}

/// The place in the ring of a server of that name, the same on every instance.
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
                ring: entry.ring,
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

    /// Whether the server has the model and is in reach.
    pub(crate) fn holds(&self, server: ServerKey, ring: u64) -> bool {
        self.loaded.binary_search(&Member { ring, server }).is_ok()
    }

    /// The servers after `point` on the ring, once round.
    pub(crate) fn after(&self, point: u64) -> impl Iterator<Item = ServerKey> + '_ {
        let split = self.loaded.partition_point(|member| member.ring < point);
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

type Name = (Option<ModelKey>, ReachKey);

/// All pools in use, bounded by the number of their members.
#[derive(Debug)]
pub(crate) struct Pools {
    reaches: Reaches,
    pools: LruCache<Name, Pool>,
    members: usize,
}

/// Most members of all pools together; at 16 bytes each, 8 MB.
const MEMBERS_MOST: usize = 512 * 1024;

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
    /// Forgets all pools, after the set of servers changed.
    pub(crate) fn clear(&mut self) {
        *self = Self::default();
    }

    /// The pool of a model within a reach, built when it is asked for the first time.
    pub(crate) fn find(
        &mut self,
        model: Option<ModelKey>,
        reach: &[ServerKey],
        entries: &[Option<Entry>],
    ) -> &Pool {
        if self.reaches.len > MEMBERS_MOST {
            self.clear();
        }
        let name = (model, self.reaches.intern(reach));
        if !self.pools.contains(&name) {
            let pool = Pool::build(model, reach, entries);
            self.make_room(pool.len());
            self.members += pool.len();
            self.pools.put(name, pool);
        }
        self.pools
            .get_or_insert(name, || unreachable!("the pool was put in above"))
    }

    /// Moves a server between the lists of the pools of `model`.
    pub(crate) fn relocate(&mut self, model: ModelKey, server: ServerKey, entry: &Entry) {
        let member = Member {
            ring: entry.ring,
            server,
        };
        let loaded = entry.has_loaded(model);
        for (name, pool) in &mut self.pools {
            if name.0 == Some(model) {
                pool.relocate(member, loaded);
            }
        }
    }

    fn make_room(&mut self, needed: usize) {
        while self.members + needed > MEMBERS_MOST {
            let Some((_, pool)) = self.pools.pop_lru() else {
                return;
            };
            self.members -= pool.len();
        }
    }
}

/// Interned reach sets, so that groups of the same reach share their pools.
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
            // Two sets of one fingerprint would give a group the servers of another, so the
            // content is compared and a clash moves on to the next free place.
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

/// Odd multiplier of the fingerprint (2^64 divided by the golden ratio).
const SPREAD: u64 = 0x9E37_79B9_7F4A_7C15;
/// Independent hash chains of the fingerprint.
const LANES: usize = 8;

fn fingerprint(reach: &[ServerKey]) -> u64 {
    // Independent lanes: one chain of multiplications over 12,000 keys would take 20 us.
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
        (hash.rotate_left(5) ^ lane).wrapping_mul(SPREAD)
    })
}

fn mix(lane: u64, server: u32) -> u64 {
    (lane.rotate_left(5) ^ u64::from(server)).wrapping_mul(SPREAD)
}

/// The capacity of a cache, at least one.
pub(crate) fn capacity(count: u32) -> NonZeroUsize {
    NonZeroUsize::new(count as usize).unwrap_or(NonZeroUsize::MIN)
}
