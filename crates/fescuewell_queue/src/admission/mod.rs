//! The queue of one instance: what starts next, and what is refused.
//!
//! Kinds go in strict order of priority, except that a kind with a floor gets its share of the tokens
//! started while more urgent work waits. Within a kind, groups share by tokens and weight. Requests wait for
//! a *pool*: a set of backend servers of which any will do. Pools do not wait for each other. A pool has to be
//! chosen so that all of its requests may use all of its servers: groups of different reach wait in different pools.
//!
//! A queued request never vanishes: it leaves by [`Queue::pop`], [`Queue::remove`] or
//! [`Queue::expire`], exactly once.
//!
//! ```
//! use fescuewell_core::prelude::*;
//! use fescuewell_queue::admission::{Queue, Entry, KindPolicy, Settings};
//!
//! let (status, summary) = (KindKey(0), KindKey(1));
//! let mut admission = Queue::new(Settings::default(), 7);
//! admission.set_kinds(&[
//!     KindPolicy { key: status, priority: 0, floor_percent: 0 },
//!     KindPolicy { key: summary, priority: 5, floor_percent: 10 },
//! ]);
//! let now = Instant::from_millis(0);
//! let entry = |ticket, kind| Entry {
//!     ticket,
//!     group: GroupKey(0),
//!     kind,
//!     pool: 0,
//!     cost: Tokens(400),
//!     deadline: Instant::from_millis(10_000),
//! };
//! admission.push(now, entry(1, summary)).unwrap();
//! admission.push(now, entry(2, status)).unwrap();
//! let first = admission.pop(now, &mut |_| true).unwrap();
//! assert_eq!(first.ticket, 2);
//! ```

mod fair_queue;
mod kinds;
mod order;
mod pool;
mod rate;
mod wait;

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::time::Duration;

use fescuewell_core::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use fair_queue::Place;
use kinds::Kinds;
use pool::{Arrival, Correction, Pool};

fescuewell_core::key! {
    /// Priority and floor of one kind of request.
    pub struct KindPolicy {
        /// The kind.
        pub key: KindKey,
        /// 0 is the most urgent.
        pub priority: u8,
        /// Share of the tokens started, in percent, that the kind gets while more urgent work waits.
        pub floor_percent: u8,
    }

    /// Share of one group within a kind.
    pub struct GroupPolicy {
        /// The group.
        pub key: GroupKey,
        /// Relative share; 0 counts as 1, and so does a group without a policy.
        pub weight: u32,
    }

    /// One waiting request.
    pub struct Entry {
        /// The caller's name for it, unique among those that wait.
        pub ticket: u64,
        /// Who pays.
        pub group: GroupKey,
        /// Its kind.
        pub kind: KindKey,
        /// Which set of interchangeable backend servers it needs.
        pub pool: u32,
        /// Expected cost, for fairness and predictions.
        pub cost: Tokens,
        /// The latest time at which starting it makes sense.
        pub deadline: Instant,
    }
}

/// Bounds of the queue.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Most requests that wait at once.
    pub max_queued: usize,
    /// A group may hold so many times the places of its kind that are still free.
    pub group_factor: usize,
    /// How many groups' first requests are tried in each kind and pool before it counts as blocked.
    pub look_ahead: usize,
    /// How many others may start ahead of a request that could not, before its pool is kept free for it.
    pub max_bypasses: u32,
    /// Longest time for which a pool is kept free.
    pub max_reservation: Duration,
    /// A request is accepted only if its predicted wait is at most so many percent of the time it has left. The rest
    /// is room for urgent work that comes later, and keeps the queue short, so that it empties soon
    /// after a surge.
    pub accept_percent: u32,
    /// A queued request is given up once its predicted wait exceeds so many percent of the time it has left.
    pub give_up_percent: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            max_queued: 2_000,
            group_factor: 2,
            look_ahead: 4,
            max_bypasses: 16,
            max_reservation: Duration::from_secs(5),
            accept_percent: 50,
            give_up_percent: 125,
        }
    }
}

/// Where an accepted request stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Position {
    /// Requests of the same pool that wait and are as urgent or more.
    pub ahead: usize,
    /// Predicted time until it starts; `None` while the pool's speed has not been measured.
    pub wait: Option<Duration>,
}

/// The queue of one instance.
#[derive(Debug)]
pub struct Queue {
    settings: Settings,
    rng: SmallRng,
    kinds: Kinds,
    weights: HashMap<GroupKey, u32>,
    waiting: HashMap<u64, Waiting>,
    deadlines: BTreeSet<(Instant, u64)>,
    /// Popped, and neither finished nor put back: a request that failed is often reported as finished before
    /// it is put back, and must not free two places in the estimate of the pool's speed.
    running: HashSet<u64>,
    pools: BTreeMap<u32, Pool>,
    /// Pool that started a request last: the others are asked first next time.
    last_pool: u32,
    /// Sequence number of the request that was pushed last.
    sequence: u64,
    /// Sequence number of the request that was put back last; it stands before all pushed ones.
    front: u64,
}

#[derive(Debug, Clone, Copy)]
struct Waiting {
    entry: Entry,
    sequence: u64,
    /// How many others started while this one could not.
    passed: u32,
}

impl Waiting {
    fn place(&self) -> Place {
        Place {
            group: self.entry.group,
            sequence: self.sequence,
            cost: self.entry.cost,
        }
    }
}

/// Pushed requests count up from here, those put back count down.
const FIRST_SEQUENCE: u64 = 1 << 63;

/// Pools that were unused for so long are forgotten, with what was measured of them.
const POOL_MEMORY: Duration = Duration::from_secs(600);

impl Queue {
    /// An empty queue without kinds; `seed` feeds the jitter of "retry after".
    pub fn new(settings: Settings, seed: u64) -> Self {
        Self {
            settings,
            rng: SmallRng::seed_from_u64(seed),
            kinds: Kinds::default(),
            weights: HashMap::new(),
            waiting: HashMap::new(),
            deadlines: BTreeSet::new(),
            running: HashSet::new(),
            pools: BTreeMap::new(),
            last_pool: 0,
            sequence: FIRST_SEQUENCE,
            front: FIRST_SEQUENCE,
        }
    }

    /// Takes over the kinds of a new document. Requests of a kind that is gone are served last.
    pub fn set_kinds(&mut self, kinds: &[KindPolicy]) {
        self.kinds.set(kinds);
    }

    /// Takes over the groups' weights of a new document.
    pub fn set_groups(&mut self, groups: &[GroupPolicy]) {
        let weights = groups.iter().map(|group| (group.key, group.weight.max(1)));
        self.weights = weights.collect();
        let weights = &self.weights;
        for pool in self.pools.values_mut() {
            pool.reweigh(|group| weights.get(&group).copied().unwrap_or(1));
        }
    }

    /// Queues a request, or refuses it truthfully.
    ///
    /// # Errors
    ///
    /// `QueueFull` or `DeadlineTooNear`, both with the time after which to ask again; `DeadlinePassed`;
    /// `UnknownKind`; `Internal` when the ticket already waits.
    pub fn push(&mut self, now: Instant, entry: Entry) -> Result<Position, Refusal> {
        let position = self.check(now, &entry)?;
        self.sequence += 1;
        let waiting = Waiting {
            entry,
            sequence: self.sequence,
            passed: 0,
        };
        let arrival = self.arrival(&waiting);
        let pool = self.pools.entry(entry.pool).or_default();
        pool.last_used = now;
        pool.push(now, &self.kinds, entry.kind, arrival);
        self.enlist(waiting);
        Ok(position)
    }

    /// Puts a popped request back where it stood, because the backend server did not take it after all or
    /// because it was [preempted](crate::preempt).
    ///
    /// It was accepted before, so it is not refused for want of room; its group's charge is undone. A
    /// ticket that waits already stays as it is.
    pub fn requeue(&mut self, now: Instant, entry: Entry) {
        if self.waiting.contains_key(&entry.ticket) {
            return;
        }
        self.front -= 1;
        let waiting = Waiting {
            entry,
            sequence: self.front,
            passed: 0,
        };
        let arrival = self.arrival(&waiting);
        let pool = self.pools.entry(entry.pool).or_default();
        pool.last_used = now;
        if self.running.remove(&entry.ticket) {
            pool.rate.requeue(entry.cost);
        }
        pool.requeue(&self.kinds, entry.kind, arrival);
        self.enlist(waiting);
    }

    /// Takes a request out, for instance because its caller went away.
    pub fn remove(&mut self, now: Instant, ticket: u64) -> Option<Entry> {
        let waiting = self.delist(ticket)?;
        let entry = waiting.entry;
        let pool = self.pools.get_mut(&entry.pool)?;
        pool.remove(now, entry.kind, waiting.place());
        Some(entry)
    }

    /// Takes out the requests whose deadline has passed or will pass before they could start.
    ///
    /// They are to be refused at once (`DeadlinePassed`, `DeadlineTooNear`): holding a request until a
    /// deadline that it cannot meet only keeps its caller from going elsewhere.
    pub fn expire(&mut self, now: Instant) -> Vec<Entry> {
        let mut gone = Vec::new();
        for (deadline, ticket) in self.in_danger(now) {
            if deadline > now && !self.is_hopeless(now, ticket) {
                continue;
            }
            gone.extend(self.remove(now, ticket));
        }
        self.forget_pools(now);
        gone
    }

    /// Feeds back that a popped request ended: frees its place in the estimate of the pool's speed.
    ///
    /// `took` is the time since it was popped, or `None` when it failed and says nothing about speed.
    pub fn finish(&mut self, entry: &Entry, took: Option<Duration>) {
        if !self.running.remove(&entry.ticket) {
            return;
        }
        if let Some(pool) = self.pools.get_mut(&entry.pool) {
            pool.rate.finish(entry.cost, took);
        }
    }

    /// Mean time until a running request of the pool ends; `None` while that is unknown.
    pub fn next_finish(&self, pool: u32) -> Option<Duration> {
        self.pools.get(&pool)?.rate.next_end()
    }

    /// Corrects the group's share once the true cost of a popped request is known.
    pub fn correct_cost(&mut self, entry: &Entry, actual: Tokens) {
        let correction = Correction {
            group: entry.group,
            weight: self.weight(entry.group),
            expected: entry.cost,
            actual,
        };
        if let Some(pool) = self.pools.get_mut(&entry.pool) {
            pool.adjust(&self.kinds, entry.kind, correction);
        }
    }

    /// How many requests of the kind wait.
    pub fn depth(&self, kind: KindKey) -> usize {
        self.kinds.queued(kind)
    }

    /// How many requests wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// The priority number for engines; 0 goes first.
    pub fn engine_priority(&self, kind: KindKey) -> u32 {
        self.kinds.tier(kind) as u32
    }

    fn weight(&self, group: GroupKey) -> u32 {
        self.weights.get(&group).copied().unwrap_or(1)
    }

    fn arrival(&self, waiting: &Waiting) -> Arrival {
        Arrival {
            place: waiting.place(),
            ticket: waiting.entry.ticket,
            weight: self.weight(waiting.entry.group),
        }
    }

    fn enlist(&mut self, waiting: Waiting) {
        let entry = waiting.entry;
        self.kinds.add(entry.kind, entry.group);
        self.deadlines.insert((entry.deadline, entry.ticket));
        self.waiting.insert(entry.ticket, waiting);
    }

    fn delist(&mut self, ticket: u64) -> Option<Waiting> {
        let waiting = self.waiting.remove(&ticket)?;
        let entry = waiting.entry;
        self.kinds.subtract(entry.kind, entry.group);
        self.deadlines.remove(&(entry.deadline, ticket));
        if let Some(pool) = self.pools.get_mut(&entry.pool)
            && pool.hold.is_some_and(|hold| hold.ticket == ticket)
        {
            pool.hold = None;
        }
        Some(waiting)
    }

    fn forget_pools(&mut self, now: Instant) {
        self.pools.retain(|_, pool| {
            let idle = pool.is_empty() && pool.rate.in_flight() == 0;
            !idle || now.since(pool.last_used) < POOL_MEMORY
        });
    }
}
