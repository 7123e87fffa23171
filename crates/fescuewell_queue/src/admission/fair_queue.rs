//! Fair queue of the requests of one kind and pool, shared among groups by tokens.
//!
//! Implements start-time fair queueing (Goyal, Vin and Cheng, 1996) with tokens as packet lengths. The first request of
//! each group has a start tag; the request with the lowest tag is scheduled first, and the virtual time is the tag of
//! the last scheduled request. A group that was idle joins at the virtual time, so that it accumulates no credit.
//! Scheduling a request advances the tag of its group by `cost / weight`.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use fescuewell_core::prelude::*;

/// Virtual time: tokens per unit of weight, in units of 1/[`SCALE`].
type Tag = u64;

/// Fixed-point factor of [`Tag`]; keeps the rounding error small for large weights.
const SCALE: u64 = 1 << 10;

/// Position and cost of a request in the queue of its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Item {
    /// The group that pays for the request.
    pub group: GroupKey,
    /// Order of arrival; lower is earlier.
    pub sequence: u64,
    /// Expected cost.
    pub cost: Tokens,
}

/// The requests of one kind in one pool.
#[derive(Debug, Default)]
pub(crate) struct FairQueue {
    flows: HashMap<GroupKey, Flow>,
    /// Tickets of the first request of each waiting group, ordered by start tag and arrival.
    ready: BTreeMap<(Tag, u64, GroupKey), u64>,
    /// Groups without waiting requests whose tag is ahead of the virtual time: they were served more than their share.
    indebted: BTreeSet<(Tag, GroupKey)>,
    virtual_time: Tag,
    /// Sum of the weights of the groups in `ready`.
    weight: u64,
    tokens: Tokens,
    len: usize,
}

#[derive(Debug)]
struct Flow {
    queue: BTreeMap<u64, Waiting>,
    /// Start tag of the first request, or finish tag of the last one if none waits.
    tag: Tag,
    /// Virtual time at which the group last became active. Refunds do not move the tag below it.
    base: Tag,
    weight: u64,
    /// Total tokens added to and removed from the queue.
    added: u64,
    removed: u64,
}

#[derive(Debug, Clone, Copy)]
struct Waiting {
    ticket: u64,
    /// Value of `added` before this request; `offset - removed` is the number of tokens ahead of it in its group.
    offset: u64,
}

impl Flow {
    fn new(virtual_time: Tag, weight: u32) -> Self {
        Self {
            queue: BTreeMap::new(),
            tag: virtual_time,
            base: virtual_time,
            weight: u64::from(weight.max(1)),
            added: 0,
            removed: 0,
        }
    }

    fn virtual_cost(&self, tokens: u64) -> Tag {
        tokens.saturating_mul(SCALE) / self.weight
    }

    /// Sequence number and ticket of the first request.
    fn first(&self) -> Option<(u64, u64)> {
        let first = self.queue.first_key_value();
        first.map(|(&sequence, waiting)| (sequence, waiting.ticket))
    }
}

impl FairQueue {
    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Expected cost of all waiting requests.
    pub fn tokens(&self) -> Tokens {
        self.tokens
    }

    /// Adds a request to the queue of its group.
    pub fn push(&mut self, item: Item, ticket: u64, weight: u32) {
        let virtual_now = self.virtual_time;
        self.unlink(item.group);
        let flow = self
            .flows
            .entry(item.group)
            .or_insert_with(|| Flow::new(virtual_now, weight));
        flow.weight = u64::from(weight.max(1));
        if flow.queue.is_empty() {
            flow.tag = flow.tag.max(virtual_now);
            flow.base = virtual_now;
        }
        let offset = flow.added;
        flow.added += item.cost.0;
        flow.queue.insert(item.sequence, Waiting { ticket, offset });
        self.tokens += item.cost;
        self.len += 1;
        self.link(item.group);
    }

    /// Puts a started request back at its former position and refunds its group.
    pub fn requeue(&mut self, item: Item, ticket: u64, weight: u32) {
        self.push(item, ticket, weight);
        self.correct_cost(item.group, weight, item.cost, Tokens::ZERO);
        let Some(flow) = self.flows.get_mut(&item.group) else {
            return;
        };
        // The request is in front of those that were added after it, so they must not count as ahead of it. If the
        // flow was dropped in the meantime, the request counts as new.
        if flow.removed >= item.cost.0 {
            flow.added -= item.cost.0;
            flow.removed -= item.cost.0;
        }
        if let Some(waiting) = flow.queue.get_mut(&item.sequence) {
            waiting.offset = flow.removed;
        }
    }

    /// Returns the first requests of the `count` groups that are scheduled next.
    pub fn heads(&self, count: usize) -> impl Iterator<Item = u64> {
        self.ready.values().take(count).copied()
    }

    /// Removes a request that starts and charges its group.
    pub fn start(&mut self, item: Item) {
        self.unlink(item.group);
        let Some(flow) = self.flows.get_mut(&item.group) else {
            return;
        };
        flow.queue.remove(&item.sequence);
        flow.removed += item.cost.0;
        self.virtual_time = self.virtual_time.max(flow.tag);
        flow.tag += flow.virtual_cost(item.cost.0);
        self.subtract(item.cost);
        self.link(item.group);
        self.drop_idle_flows();
    }

    /// Removes a request that will not start. Its group is not charged.
    pub fn remove(&mut self, item: Item) {
        self.unlink(item.group);
        if let Some(flow) = self.flows.get_mut(&item.group) {
            flow.queue.remove(&item.sequence);
            flow.removed += item.cost.0;
        }
        self.subtract(item.cost);
        self.link(item.group);
        self.drop_idle_flows();
    }

    /// Corrects the charge of a group once the actual cost of a request is known.
    pub fn correct_cost(&mut self, group: GroupKey, weight: u32, expected: Tokens, actual: Tokens) {
        let virtual_now = self.virtual_time;
        self.unlink(group);
        let flow = self
            .flows
            .entry(group)
            .or_insert_with(|| Flow::new(virtual_now, weight));
        let extra_cost = flow.virtual_cost(actual.minus(expected).0);
        let refund = flow.virtual_cost(expected.minus(actual).0);
        flow.tag = (flow.tag + extra_cost)
            .saturating_sub(refund)
            .max(flow.base);
        self.link(group);
        self.drop_idle_flows();
    }

    /// Updates the weights of all groups.
    pub fn set_weights<Weight>(&mut self, weight: Weight)
    where
        Weight: Fn(GroupKey) -> u32,
    {
        self.weight = 0;
        for (&group, flow) in &mut self.flows {
            flow.weight = u64::from(weight(group).max(1));
            if !flow.queue.is_empty() {
                self.weight += flow.weight;
            }
        }
    }

    /// Returns the tokens of this queue that would start before a new request of the group.
    pub fn ahead_of_next(&self, group: GroupKey, weight: u32) -> Tokens {
        let Some(flow) = self.flows.get(&group) else {
            return Tokens::ZERO;
        };
        let new_weight = if flow.queue.is_empty() {
            u64::from(weight.max(1))
        } else {
            0
        };
        self.ahead(flow, flow.added - flow.removed, new_weight)
            .min(self.tokens)
    }

    /// Returns the tokens of this queue that start before a waiting request.
    pub fn ahead_of(&self, item: Item) -> Tokens {
        let Some(flow) = self.flows.get(&item.group) else {
            return Tokens::ZERO;
        };
        let Some(waiting) = flow.queue.get(&item.sequence) else {
            return Tokens::ZERO;
        };
        // A request removed from behind this one is subtracted as if it had been in front, so the result may be too low
        // but never too high: no request is refused because of work that does not exist.
        let own = waiting.offset.saturating_sub(flow.removed);
        self.ahead(flow, own, 0).min(self.tokens.minus(item.cost))
    }

    /// Returns the tokens served before the flow's tag plus `own` tokens is reached: per unit of virtual time, each
    /// waiting group is served its weight in tokens.
    fn ahead(&self, flow: &Flow, own: u64, new_weight: u64) -> Tokens {
        let tag = flow.tag + flow.virtual_cost(own);
        let distance = u128::from(tag.saturating_sub(self.virtual_time));
        let weight = u128::from(self.weight + new_weight);
        let tokens = distance * weight / u128::from(SCALE);
        Tokens(u64::try_from(tokens).unwrap_or(u64::MAX))
    }

    fn subtract(&mut self, cost: Tokens) {
        self.tokens = self.tokens.minus(cost);
        self.len -= 1;
    }

    /// Removes the group from `ready` or `indebted`, so that its tag and queue can change.
    fn unlink(&mut self, group: GroupKey) {
        let Some(flow) = self.flows.get(&group) else {
            return;
        };
        let Some((first, _)) = flow.first() else {
            self.indebted.remove(&(flow.tag, group));
            return;
        };
        let removed = self.ready.remove(&(flow.tag, first, group));
        if removed.is_some() {
            self.weight -= flow.weight;
        }
    }

    /// Adds the group to `ready` or `indebted`.
    fn link(&mut self, group: GroupKey) {
        let Some(flow) = self.flows.get(&group) else {
            return;
        };
        let Some((first, ticket)) = flow.first() else {
            self.indebted.insert((flow.tag, group));
            return;
        };
        self.ready.insert((flow.tag, first, group), ticket);
        self.weight += flow.weight;
    }

    /// Drops idle groups whose tag has been reached by the virtual time. If no request waits, drops all of them, since
    /// debts only matter between competing groups.
    fn drop_idle_flows(&mut self) {
        if self.len == 0 {
            let last = self.indebted.last().map_or(0, |&(tag, _)| tag);
            self.virtual_time = self.virtual_time.max(last);
        }
        while let Some(&(tag, group)) = self.indebted.first() {
            if tag > self.virtual_time {
                return;
            }
            self.indebted.pop_first();
            self.flows.remove(&group);
        }
    }
}
