//! Queued requests of one pool, which is a set of interchangeable backend servers.

use std::collections::BTreeMap;

use fescuewell_core::prelude::*;

use super::fair_queue::{FairQueue, Item};
use super::kinds::Kinds;
use super::rate::{ArrivalRate, Throughput};

/// The queues of one pool, with the deficits that enforce the floors.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    queues: BTreeMap<KindKey, KindQueue>,
    pub throughput: Throughput,
    pub reservation: Option<Reservation>,
    pub last_used: Instant,
    len: usize,
}

/// The queue of one kind within the pool.
#[derive(Debug, Default)]
struct KindQueue {
    fair_queue: FairQueue,
    arrival_rate: ArrivalRate,
    /// Tokens by which the kind is below its floor; negative if it started more than its floor while more urgent
    /// requests waited.
    deficit: f64,
    /// Tokens started, to alternate among kinds of equal priority.
    served: u64,
}

/// Reservation of the pool for a request that was bypassed too often.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Reservation {
    pub ticket: u64,
    pub kind: KindKey,
    pub since: Instant,
}

/// Maximum absolute deficit. Keeps a kind that could not start for a long time, for instance because its servers were
/// unavailable, from delaying urgent requests afterwards.
const MAX_DEFICIT_TOKENS: f64 = 20_000.0;

impl Pool {
    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the queue of a kind, if it was ever used.
    pub fn fair_queue(&self, kind: KindKey) -> Option<&FairQueue> {
        self.queues.get(&kind).map(|queue| &queue.fair_queue)
    }

    /// Returns the queues with waiting requests.
    pub fn fair_queues(&self) -> impl Iterator<Item = (KindKey, &FairQueue)> {
        let queues = self.queues.iter();
        let waiting = queues.filter(|(_, queue)| !queue.fair_queue.is_empty());
        waiting.map(|(&kind, queue)| (kind, &queue.fair_queue))
    }

    /// Adds a request.
    pub fn push(&mut self, now: Instant, kinds: &Kinds, kind: KindKey, arrival: Arrival) {
        self.sync_served(kinds, kind);
        let queue = self.queues.entry(kind).or_default();
        queue.arrival_rate.add(now, arrival.item.cost);
        let Arrival {
            item,
            ticket,
            weight,
        } = arrival;
        queue.fair_queue.push(item, ticket, weight);
        self.len += 1;
    }

    /// Puts a started request back at its former position.
    pub fn requeue(&mut self, kinds: &Kinds, kind: KindKey, arrival: Arrival) {
        self.sync_served(kinds, kind);
        let queue = self.queues.entry(kind).or_default();
        let Arrival {
            item,
            ticket,
            weight,
        } = arrival;
        queue.fair_queue.requeue(item, ticket, weight);
        let refunded = (queue.deficit + item.cost.0 as f64).min(0.0);
        queue.deficit = queue.deficit.max(refunded);
        self.len += 1;
    }

    /// Raises the served tokens of an idle kind to those of its tier, so that it accumulates no credit while idle.
    fn sync_served(&mut self, kinds: &Kinds, kind: KindKey) {
        let tier = kinds.tier(kind);
        let peers = self
            .queues
            .iter()
            .filter(|(key, queue)| kinds.tier(**key) == tier && !queue.fair_queue.is_empty());
        let least_served = peers.map(|(_, queue)| queue.served).min();
        let queue = self.queues.entry(kind).or_default();
        if queue.fair_queue.is_empty() {
            queue.served = queue.served.max(least_served.unwrap_or(0));
        }
    }

    /// Removes a request that starts and updates the deficits.
    pub fn start(&mut self, now: Instant, kinds: &Kinds, kind: KindKey, item: Item) {
        self.update_deficits(kinds, kind, item.cost.0 as f64);
        let Some(queue) = self.queues.get_mut(&kind) else {
            return;
        };
        queue.fair_queue.start(item);
        queue.served += item.cost.0;
        self.throughput.record_start(item.cost);
        self.record_removal(now, kind);
    }

    /// Removes a request that will not start.
    pub fn remove(&mut self, now: Instant, kind: KindKey, item: Item) {
        let Some(queue) = self.queues.get_mut(&kind) else {
            return;
        };
        queue.fair_queue.remove(item);
        self.record_removal(now, kind);
    }

    fn record_removal(&mut self, now: Instant, kind: KindKey) {
        self.len -= 1;
        if self.len == 0 {
            self.throughput.record_empty(now);
        }
        let Some(queue) = self.queues.get_mut(&kind) else {
            return;
        };
        if queue.fair_queue.is_empty() {
            // A positive deficit is dropped, or a kind that was idle would start a burst ahead of urgent requests. A
            // negative one is kept, or a trickle of single requests would exceed the floor.
            queue.deficit = queue.deficit.min(0.0);
        }
    }

    fn update_deficits(&mut self, kinds: &Kinds, started: KindKey, cost: f64) {
        let contended = self.has_more_urgent(kinds, started);
        for (&kind, queue) in &mut self.queues {
            let floor = kinds.floor(kind);
            let max_deficit = if queue.fair_queue.is_empty() {
                0.0
            } else {
                MAX_DEFICIT_TOKENS
            };
            queue.deficit = (queue.deficit + floor * cost).min(max_deficit);
            if kind != started {
                continue;
            }
            let min_deficit = if contended {
                -MAX_DEFICIT_TOKENS
            } else {
                queue.deficit.min(0.0)
            };
            queue.deficit = (queue.deficit - cost).max(min_deficit);
        }
    }

    fn has_more_urgent(&self, kinds: &Kinds, kind: KindKey) -> bool {
        let tier = kinds.tier(kind);
        let mut queues = self.queues.iter();
        queues.any(|(&key, queue)| kinds.tier(key) < tier && !queue.fair_queue.is_empty())
    }

    /// Returns the kinds with waiting requests that are below their floor, most urgent first.
    pub fn below_floor(&self, kinds: &Kinds) -> Vec<KindKey> {
        let queues = self.queues.iter();
        let mut below_floor: Vec<KindKey> = queues
            .filter(|(_, queue)| queue.deficit > 0.0 && !queue.fair_queue.is_empty())
            .map(|(&kind, _)| kind)
            .collect();
        below_floor.sort_by_key(|&kind| kinds.tier(kind));
        below_floor
    }

    /// Returns the kinds of the tier with waiting requests, least served first.
    pub fn by_served(&self, tier: &[KindKey]) -> Vec<KindKey> {
        let waiting = tier.iter().filter(|kind| {
            let queue = self.queues.get(kind);
            queue.is_some_and(|queue| !queue.fair_queue.is_empty())
        });
        let mut by_served: Vec<KindKey> = waiting.copied().collect();
        by_served.sort_by_key(|kind| self.queues[kind].served);
        by_served
    }

    /// Corrects the charges once the actual cost of a request is known.
    pub fn correct_cost(&mut self, kinds: &Kinds, kind: KindKey, correction: Correction) {
        let Correction {
            group,
            weight,
            expected,
            actual,
        } = correction;
        let Some(queue) = self.queues.get_mut(&kind) else {
            return;
        };
        queue
            .fair_queue
            .correct_cost(group, weight, expected, actual);
        let floor = kinds.floor(kind);
        if floor <= 0.0 || queue.fair_queue.is_empty() {
            return;
        }
        let difference = expected.0 as f64 - actual.0 as f64;
        queue.deficit = (queue.deficit + difference * (1.0 - floor)).min(MAX_DEFICIT_TOKENS);
    }

    /// Updates the weights of all groups.
    pub fn set_weights<Weight>(&mut self, weight: Weight)
    where
        Weight: Fn(GroupKey) -> u32,
    {
        for queue in self.queues.values_mut() {
            queue.fair_queue.set_weights(&weight);
        }
    }

    /// Predicts the seconds until a request with `ahead` tokens of its own kind in front of it starts; `None` if nothing
    /// has been measured.
    pub fn predicted_wait(
        &self,
        now: Instant,
        kinds: &Kinds,
        kind: KindKey,
        ahead: Tokens,
    ) -> Option<f64> {
        let tier = kinds.tier(kind);
        let mut urgent_tokens = 0.0;
        let mut urgent_arrivals = 0.0;
        let mut floors_below = 0.0;
        for (&other, queue) in &self.queues {
            let tokens = queue.fair_queue.tokens().0 as f64;
            if other == kind {
                continue;
            }
            match kinds.tier(other).cmp(&tier) {
                std::cmp::Ordering::Less => {
                    urgent_tokens += tokens;
                    urgent_arrivals += queue.arrival_rate.per_second(now);
                }
                std::cmp::Ordering::Equal => urgent_tokens += tokens.min(ahead.0 as f64),
                std::cmp::Ordering::Greater if tokens > 0.0 => floors_below += kinds.floor(other),
                std::cmp::Ordering::Greater => {}
            }
        }
        let ahead = ahead.0 as f64;
        if ahead + urgent_tokens <= 0.0 {
            return Some(0.0);
        }
        let throughput = self.throughput.per_second(now)?;
        let in_order = (ahead + urgent_tokens)
            / (throughput * (1.0 - floors_below).max(0.0) - urgent_arrivals).max(0.0);
        let by_floor = (ahead + 1.0) / (throughput * kinds.floor(kind));
        Some(in_order.min(by_floor))
    }
}

/// A request to be queued.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Arrival {
    pub item: Item,
    pub ticket: u64,
    pub weight: u32,
}

/// Expected and actual cost of a request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Correction {
    pub group: GroupKey,
    pub weight: u32,
    pub expected: Tokens,
    pub actual: Tokens,
}
