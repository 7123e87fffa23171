//! The request queue of one instance.
//!
//! Kinds are scheduled in strict order of priority, except that a kind with a floor receives its percentage of the
//! started tokens while more urgent requests wait. Within a kind, groups share tokens by weight. Each request waits for
//! a *pool*, a set of interchangeable backend servers. A full pool does not block the others. All requests of a pool must
//! be allowed to use all of its servers, so groups that may use different servers need different pools.
//!
//! Each queued request leaves the queue exactly once, by [`Queue::pop`], [`Queue::remove`] or [`Queue::expire`].
//!
//! ```
//! use fescuewell_core::prelude::*;
//! use fescuewell_queue::admission::{Queue, Entry, KindPolicy, Settings};
//!
//! let (status, summary) = (KindKey(0), KindKey(1));
//! let mut queue = Queue::new(Settings::default(), 7);
//! queue.set_kinds(&[
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
//! queue.push(now, entry(1, summary)).unwrap();
//! queue.push(now, entry(2, status)).unwrap();
//! let first = queue.pop(now, &mut |_| true).unwrap();
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

use fair_queue::Item;
use kinds::Kinds;
use pool::{Arrival, Correction, Pool};

fescuewell_core::key! {
    /// Priority and floor of one kind of request.
    pub struct KindPolicy {
        /// The kind.
        pub key: KindKey,
        /// Priority; 0 is the most urgent.
        pub priority: u8,
        /// Percentage of the started tokens that the kind receives while more urgent requests wait.
        pub floor_percent: u8,
    }

    /// Weight of one group within each kind.
    pub struct GroupPolicy {
        /// The group.
        pub key: GroupKey,
        /// Relative share. 0 counts as 1, as does a group without a policy.
        pub weight: u32,
    }

    /// A queued request.
    pub struct Entry {
        /// Identifier chosen by the caller, unique among queued requests.
        pub ticket: u64,
        /// The group that pays.
        pub group: GroupKey,
        /// The kind.
        pub kind: KindKey,
        /// The set of interchangeable backend servers that can run it.
        pub pool: u32,
        /// Expected cost, for fair sharing and predictions.
        pub cost: Tokens,
        /// Latest time at which the request can start and still meet the deadline of its caller.
        pub deadline: Instant,
    }
}

/// Settings of a [`Queue`].
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Maximum number of queued requests.
    pub max_queued: usize,
    /// A group may have this many times as many requests of a kind queued as there is free room for the kind.
    pub group_factor: usize,
    /// Number of groups whose first request is tried in each pool and kind before it counts as blocked.
    pub look_ahead: usize,
    /// Number of times that other requests may bypass a request that could not start, before its pool is reserved for it.
    pub max_bypasses: u32,
    /// Maximum duration of a reservation.
    pub max_reservation: Duration,
    /// A request is accepted only if its predicted wait is at most this percentage of its remaining time. The rest leaves
    /// room for urgent requests that arrive later and keeps the queue short, so that it empties soon after a surge.
    pub accept_percent: u32,
    /// A queued request is given up when its predicted wait exceeds this percentage of its remaining time.
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

/// Position of an accepted request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Position {
    /// Number of queued requests of the same pool that are at least as urgent.
    pub ahead: usize,
    /// Predicted time until it starts; `None` if the throughput of the pool has not been measured yet.
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
    /// Requests that were popped and neither finished nor requeued. A failed request is often finished and then requeued,
    /// and must be subtracted only once from the running requests of the pool.
    running: HashSet<u64>,
    pools: BTreeMap<u32, Pool>,
    /// Pool that started a request last; the search for the next one begins after it.
    last_pool: u32,
    /// Sequence number of the request pushed last.
    sequence: u64,
    /// Sequence number of the request requeued last; lower than those of all pushed requests.
    front_sequence: u64,
}

#[derive(Debug, Clone, Copy)]
struct Waiting {
    entry: Entry,
    sequence: u64,
    /// Number of requests that started while this one could not.
    bypasses: u32,
}

impl Waiting {
    fn item(&self) -> Item {
        Item {
            group: self.entry.group,
            sequence: self.sequence,
            cost: self.entry.cost,
        }
    }
}

/// Sequence numbers of pushed requests count up from here, those of requeued requests count down.
const FIRST_SEQUENCE: u64 = 1 << 63;

/// Unused pools are dropped after this time, including their measurements.
const POOL_TTL: Duration = Duration::from_secs(600);

impl Queue {
    /// Creates an empty queue without kinds. `seed` determines the jitter of "retry after".
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
            front_sequence: FIRST_SEQUENCE,
        }
    }

    /// Replaces the kinds with those of a new document. Queued requests of a removed kind are served last.
    pub fn set_kinds(&mut self, kinds: &[KindPolicy]) {
        self.kinds.set(kinds);
    }

    /// Replaces the weights of the groups with those of a new document.
    pub fn set_groups(&mut self, groups: &[GroupPolicy]) {
        let weights = groups.iter().map(|group| (group.key, group.weight.max(1)));
        self.weights = weights.collect();
        let weights = &self.weights;
        for pool in self.pools.values_mut() {
            pool.set_weights(|group| weights.get(&group).copied().unwrap_or(1));
        }
    }

    /// Queues a request.
    ///
    /// # Errors
    ///
    /// `QueueFull` or `DeadlineTooNear`, both with the time after which to retry; `DeadlinePassed`; `UnknownKind`;
    /// `Internal` if the ticket is already queued.
    pub fn push(&mut self, now: Instant, entry: Entry) -> Result<Position, Refusal> {
        let position = self.check(now, &entry)?;
        self.sequence += 1;
        let waiting = Waiting {
            entry,
            sequence: self.sequence,
            bypasses: 0,
        };
        let arrival = self.arrival(&waiting);
        let pool = self.pools.entry(entry.pool).or_default();
        pool.last_used = now;
        pool.push(now, &self.kinds, entry.kind, arrival);
        self.track(waiting);
        Ok(position)
    }

    /// Puts a popped request back at the front of its group, because the backend server did not accept it or because it
    /// was [preempted](crate::preempt).
    ///
    /// The request was accepted before, so it is not refused if the queue is full. Its group is refunded. Does nothing if
    /// the ticket is already queued.
    pub fn requeue(&mut self, now: Instant, entry: Entry) {
        if self.waiting.contains_key(&entry.ticket) {
            return;
        }
        self.front_sequence -= 1;
        let waiting = Waiting {
            entry,
            sequence: self.front_sequence,
            bypasses: 0,
        };
        let arrival = self.arrival(&waiting);
        let pool = self.pools.entry(entry.pool).or_default();
        pool.last_used = now;
        if self.running.remove(&entry.ticket) {
            pool.throughput.revert_start(entry.cost);
        }
        pool.requeue(&self.kinds, entry.kind, arrival);
        self.track(waiting);
    }

    /// Removes a request, for instance because its caller disconnected.
    pub fn remove(&mut self, now: Instant, ticket: u64) -> Option<Entry> {
        let waiting = self.untrack(ticket)?;
        let entry = waiting.entry;
        let pool = self.pools.get_mut(&entry.pool)?;
        pool.remove(now, entry.kind, waiting.item());
        Some(entry)
    }

    /// Removes and returns the requests whose deadline has passed or will pass before they can start.
    ///
    /// The caller of this method refuses them at once (`DeadlinePassed`, `DeadlineTooNear`): keeping a request until a
    /// deadline that it cannot meet only prevents its caller from trying elsewhere.
    pub fn expire(&mut self, now: Instant) -> Vec<Entry> {
        let mut expired = Vec::new();
        for (deadline, ticket) in self.at_risk(now) {
            if deadline > now && !self.will_miss_deadline(now, ticket) {
                continue;
            }
            expired.extend(self.remove(now, ticket));
        }
        self.drop_unused_pools(now);
        expired
    }

    /// Records the end of a popped request, which updates the throughput estimate of its pool.
    ///
    /// `took` is the time since it was popped, or `None` if it failed, since that time does not reflect the speed.
    pub fn finish(&mut self, entry: &Entry, took: Option<Duration>) {
        if !self.running.remove(&entry.ticket) {
            return;
        }
        if let Some(pool) = self.pools.get_mut(&entry.pool) {
            pool.throughput.record_finish(entry.cost, took);
        }
    }

    /// Returns the mean time until a running request of the pool ends, or `None` if that is unknown.
    pub fn next_finish(&self, pool: u32) -> Option<Duration> {
        self.pools.get(&pool)?.throughput.next_finish()
    }

    /// Corrects the charge of the group once the actual cost of a popped request is known.
    pub fn correct_cost(&mut self, entry: &Entry, actual: Tokens) {
        let correction = Correction {
            group: entry.group,
            weight: self.weight(entry.group),
            expected: entry.cost,
            actual,
        };
        if let Some(pool) = self.pools.get_mut(&entry.pool) {
            pool.correct_cost(&self.kinds, entry.kind, correction);
        }
    }

    /// Returns the number of queued requests of the kind.
    pub fn depth(&self, kind: KindKey) -> usize {
        self.kinds.queued(kind)
    }

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the priority to send to engines; 0 is the most urgent.
    pub fn engine_priority(&self, kind: KindKey) -> u32 {
        self.kinds.tier(kind) as u32
    }

    fn weight(&self, group: GroupKey) -> u32 {
        self.weights.get(&group).copied().unwrap_or(1)
    }

    fn arrival(&self, waiting: &Waiting) -> Arrival {
        Arrival {
            item: waiting.item(),
            ticket: waiting.entry.ticket,
            weight: self.weight(waiting.entry.group),
        }
    }

    fn track(&mut self, waiting: Waiting) {
        let entry = waiting.entry;
        self.kinds.add(entry.kind, entry.group);
        self.deadlines.insert((entry.deadline, entry.ticket));
        self.waiting.insert(entry.ticket, waiting);
    }

    fn untrack(&mut self, ticket: u64) -> Option<Waiting> {
        let waiting = self.waiting.remove(&ticket)?;
        let entry = waiting.entry;
        self.kinds.remove(entry.kind, entry.group);
        self.deadlines.remove(&(entry.deadline, ticket));
        if let Some(pool) = self.pools.get_mut(&entry.pool)
            && pool
                .reservation
                .is_some_and(|reservation| reservation.ticket == ticket)
        {
            pool.reservation = None;
        }
        Some(waiting)
    }

    fn drop_unused_pools(&mut self, now: Instant) {
        self.pools.retain(|_, pool| {
            let idle = pool.is_empty() && pool.throughput.in_flight() == 0;
            !idle || now.since(pool.last_used) < POOL_TTL
        });
    }
}
