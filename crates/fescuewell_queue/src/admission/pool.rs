//! What waits for one set of interchangeable backend servers.

use std::collections::BTreeMap;

use fescuewell_core::prelude::*;

use super::fair_queue::{Lane, Place};
use super::kinds::Kinds;
use super::rate::{Arrivals, Rate};

/// The lanes of one pool, with the accounts that keep the floors.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    queues: BTreeMap<KindKey, KindQueue>,
    pub rate: Rate,
    pub hold: Option<Hold>,
    pub last_used: Instant,
    len: usize,
}

/// One kind's queue within the pool.
#[derive(Debug, Default)]
struct KindQueue {
    lane: Lane,
    arrivals: Arrivals,
    /// Tokens that the kind's floor owes it; negative after a start on credit.
    deficit: f64,
    /// Tokens started, for turns among kinds of equal priority.
    served: u64,
}

/// A request for which the pool is kept free, since too many others went past it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Hold {
    pub ticket: u64,
    pub kind: KindKey,
    pub since: Instant,
}

/// Most tokens that a floor may owe. It stops a kind that could not start for a long time, for instance
/// while its servers were away, from crowding out urgent work afterwards.
const MOST_OWED: f64 = 20_000.0;

impl Pool {
    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// The lane of a kind, if it was ever used.
    pub fn lane(&self, kind: KindKey) -> Option<&Lane> {
        self.queues.get(&kind).map(|queue| &queue.lane)
    }

    /// The lanes in which something waits.
    pub fn lanes(&self) -> impl Iterator<Item = (KindKey, &Lane)> {
        let queues = self.queues.iter();
        let waiting = queues.filter(|(_, queue)| !queue.lane.is_empty());
        waiting.map(|(&kind, queue)| (kind, &queue.lane))
    }

    /// Adds a request.
    pub fn push(&mut self, now: Instant, kinds: &Kinds, kind: KindKey, arrival: Arrival) {
        self.join_turns(kinds, kind);
        let queue = self.queues.entry(kind).or_default();
        queue.arrivals.add(now, arrival.place.cost);
        let Arrival {
            place,
            ticket,
            weight,
        } = arrival;
        queue.lane.push(place, ticket, weight);
        self.len += 1;
    }

    /// Puts a request that was started in vain back where it stood.
    pub fn requeue(&mut self, kinds: &Kinds, kind: KindKey, arrival: Arrival) {
        self.join_turns(kinds, kind);
        let queue = self.queues.entry(kind).or_default();
        let Arrival {
            place,
            ticket,
            weight,
        } = arrival;
        queue.lane.requeue(place, ticket, weight);
        let repaid = (queue.deficit + place.cost.0 as f64).min(0.0);
        queue.deficit = queue.deficit.max(repaid);
        self.len += 1;
    }

    /// A kind that was idle takes its turn among its equals from now on; it saved up no turns.
    fn join_turns(&mut self, kinds: &Kinds, kind: KindKey) {
        let tier = kinds.tier(kind);
        let equals = self
            .queues
            .iter()
            .filter(|(key, queue)| kinds.tier(**key) == tier && !queue.lane.is_empty());
        let least = equals.map(|(_, queue)| queue.served).min();
        let queue = self.queues.entry(kind).or_default();
        if queue.lane.is_empty() {
            queue.served = queue.served.max(least.unwrap_or(0));
        }
    }

    /// Takes a request out because it starts, and keeps the accounts of the floors.
    pub fn start(&mut self, now: Instant, kinds: &Kinds, kind: KindKey, place: Place) {
        self.charge_floors(kinds, kind, place.cost.0 as f64);
        let Some(queue) = self.queues.get_mut(&kind) else {
            return;
        };
        queue.lane.start(place);
        queue.served += place.cost.0;
        self.rate.started(place.cost);
        self.leave(now, kind);
    }

    /// Takes a request out that will not start.
    pub fn remove(&mut self, now: Instant, kind: KindKey, place: Place) {
        let Some(queue) = self.queues.get_mut(&kind) else {
            return;
        };
        queue.lane.remove(place);
        self.leave(now, kind);
    }

    fn leave(&mut self, now: Instant, kind: KindKey) {
        self.len -= 1;
        if self.len == 0 {
            self.rate.drained(now);
        }
        let Some(queue) = self.queues.get_mut(&kind) else {
            return;
        };
        if queue.lane.is_empty() {
            // Nothing is saved up for later: a kind that comes back after an idle time would otherwise start
            // a burst ahead of urgent work. Debts stay, or single requests would each start on new credit.
            queue.deficit = queue.deficit.min(0.0);
        }
    }

    fn charge_floors(&mut self, kinds: &Kinds, started: KindKey, cost: f64) {
        let contended = self.has_more_urgent(kinds, started);
        for (&kind, queue) in &mut self.queues {
            let floor = kinds.floor(kind);
            let most = if queue.lane.is_empty() {
                0.0
            } else {
                MOST_OWED
            };
            queue.deficit = (queue.deficit + floor * cost).min(most);
            if kind != started {
                continue;
            }
            let least = if contended {
                -MOST_OWED
            } else {
                queue.deficit.min(0.0)
            };
            queue.deficit = (queue.deficit - cost).max(least);
        }
    }

    fn has_more_urgent(&self, kinds: &Kinds, kind: KindKey) -> bool {
        let tier = kinds.tier(kind);
        let mut queues = self.queues.iter();
        queues.any(|(&key, queue)| kinds.tier(key) < tier && !queue.lane.is_empty())
    }

    /// Kinds with something waiting whose floor owes them a start, most urgent first.
    pub fn owed(&self, kinds: &Kinds) -> Vec<KindKey> {
        let queues = self.queues.iter();
        let mut owed: Vec<KindKey> = queues
            .filter(|(_, queue)| queue.deficit > 0.0 && !queue.lane.is_empty())
            .map(|(&kind, _)| kind)
            .collect();
        owed.sort_by_key(|&kind| kinds.tier(kind));
        owed
    }

    /// Kinds of one tier with something waiting, in the order of their turns.
    pub fn turns(&self, tier: &[KindKey]) -> Vec<KindKey> {
        let waiting = tier.iter().filter(|kind| {
            let queue = self.queues.get(kind);
            queue.is_some_and(|queue| !queue.lane.is_empty())
        });
        let mut turns: Vec<KindKey> = waiting.copied().collect();
        turns.sort_by_key(|kind| self.queues[kind].served);
        turns
    }

    /// Corrects charges once the true cost of a request is known.
    pub fn adjust(&mut self, kinds: &Kinds, kind: KindKey, correction: Correction) {
        let Correction {
            group,
            weight,
            expected,
            actual,
        } = correction;
        let Some(queue) = self.queues.get_mut(&kind) else {
            return;
        };
        queue.lane.adjust(group, weight, expected, actual);
        let floor = kinds.floor(kind);
        if floor <= 0.0 || queue.lane.is_empty() {
            return;
        }
        let difference = expected.0 as f64 - actual.0 as f64;
        queue.deficit = (queue.deficit + difference * (1.0 - floor)).min(MOST_OWED);
    }

    /// Takes over new weights of the groups.
    pub fn reweigh<Weight>(&mut self, weight: Weight)
    where
        Weight: Fn(GroupKey) -> u32,
    {
        for queue in self.queues.values_mut() {
            queue.lane.reweigh(&weight);
        }
    }

    /// Seconds until a request with `ahead` tokens of its own kind before it starts; `None` while
    /// nothing has been measured.
    pub fn wait(&self, now: Instant, kinds: &Kinds, kind: KindKey, ahead: Tokens) -> Option<f64> {
        let tier = kinds.tier(kind);
        let mut urgent_tokens = 0.0;
        let mut urgent_arrivals = 0.0;
        let mut floors_below = 0.0;
        for (&other, queue) in &self.queues {
            let tokens = queue.lane.tokens().0 as f64;
            if other == kind {
                continue;
            }
            match kinds.tier(other).cmp(&tier) {
                std::cmp::Ordering::Less => {
                    urgent_tokens += tokens;
                    urgent_arrivals += queue.arrivals.per_second(now);
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
        let rate = self.rate.per_second(now)?;
        let in_order = (ahead + urgent_tokens)
            / (rate * (1.0 - floors_below).max(0.0) - urgent_arrivals).max(0.0);
        let by_floor = (ahead + 1.0) / (rate * kinds.floor(kind));
        Some(in_order.min(by_floor))
    }
}

/// A request as it joins a lane.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Arrival {
    pub place: Place,
    pub ticket: u64,
    pub weight: u32,
}

/// What a request was expected to cost and what it did cost.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Correction {
    pub group: GroupKey,
    pub weight: u32,
    pub expected: Tokens,
    pub actual: Tokens,
}
