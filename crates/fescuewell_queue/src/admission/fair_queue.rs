//! Token-fair order of the groups that wait in one kind and pool.
//!
//! Start-time fair queueing (Goyal, Vin and Cheng, 1996), with tokens for packet lengths: each
//! group's next request carries a start tag, the lowest tag goes first, and the lane's virtual
//! time is the tag that went last. A group that was idle joins at the virtual time, so it saves up
//! no credit; a group that is served pays `cost / weight`.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use fescuewell_core::prelude::*;

/// Virtual time: tokens for each unit of weight, in 1/[`SCALE`].
type Tag = u64;

/// Fixed-point factor of [`Tag`], so that large weights lose little to rounding.
const SCALE: u64 = 1 << 10;

/// A request's place in its group's line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Place {
    /// The group in whose line it stands.
    pub group: GroupKey,
    /// Order of arrival; lower is earlier.
    pub sequence: u64,
    /// Its expected cost.
    pub cost: Tokens,
}

/// The queue of one kind in one pool.
#[derive(Debug, Default)]
pub(crate) struct Lane {
    flows: HashMap<GroupKey, Flow>,
    /// First request of each group that waits, by start tag and arrival.
    ready: BTreeMap<(Tag, u64, GroupKey), u64>,
    /// Groups with nothing waiting that still owe tokens: their tag lies ahead of the virtual time.
    owing: BTreeSet<(Tag, GroupKey)>,
    virtual_time: Tag,
    /// Sum of the weights of the groups in `ready`.
    weight: u64,
    tokens: Tokens,
    len: usize,
}

#[derive(Debug)]
struct Flow {
    line: BTreeMap<u64, Waiting>,
    /// Start tag of the first request, or finish tag of the last one when nothing waits.
    tag: Tag,
    /// Virtual time at which the group last began to wait: refunds never move its tag below.
    base: Tag,
    weight: u64,
    /// Tokens that ever joined the line, and tokens that left it.
    joined: u64,
    left: u64,
}

#[derive(Debug, Clone, Copy)]
struct Waiting {
    ticket: u64,
    /// `joined` before this request: with `left` it tells the tokens ahead of it.
    mark: u64,
}

impl Flow {
    fn new(virtual_time: Tag, weight: u32) -> Self {
        Self {
            line: BTreeMap::new(),
            tag: virtual_time,
            base: virtual_time,
            weight: u64::from(weight.max(1)),
            joined: 0,
            left: 0,
        }
    }

    fn price(&self, tokens: u64) -> Tag {
        tokens.saturating_mul(SCALE) / self.weight
    }

    /// Sequence number and ticket of the first request.
    fn first(&self) -> Option<(u64, u64)> {
        let first = self.line.first_key_value();
        first.map(|(&sequence, waiting)| (sequence, waiting.ticket))
    }
}

impl Lane {
    /// How many requests wait.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Expected cost of all that waits.
    pub fn tokens(&self) -> Tokens {
        self.tokens
    }

    /// Adds a request to its group's line.
    pub fn push(&mut self, place: Place, ticket: u64, weight: u32) {
        let now = self.virtual_time;
        self.detach(place.group);
        let flow = self
            .flows
            .entry(place.group)
            .or_insert_with(|| Flow::new(now, weight));
        flow.weight = u64::from(weight.max(1));
        if flow.line.is_empty() {
            flow.tag = flow.tag.max(now);
            flow.base = now;
        }
        let mark = flow.joined;
        flow.joined += place.cost.0;
        flow.line.insert(place.sequence, Waiting { ticket, mark });
        self.tokens += place.cost;
        self.len += 1;
        self.attach(place.group);
    }

    /// Puts a request that was started back where it stood, and returns what it was charged.
    pub fn requeue(&mut self, place: Place, ticket: u64, weight: u32) {
        self.push(place, ticket, weight);
        self.adjust(place.group, weight, place.cost, Tokens::ZERO);
        let Some(flow) = self.flows.get_mut(&place.group) else {
            return;
        };
        // It stands in front of those that joined after it, so it must not count them as ahead. The line
        // may have been forgotten meanwhile; then it counts as a newcomer.
        if flow.left >= place.cost.0 {
            flow.joined -= place.cost.0;
            flow.left -= place.cost.0;
        }
        if let Some(waiting) = flow.line.get_mut(&place.sequence) {
            waiting.mark = flow.left;
        }
    }

    /// The first requests of the `count` groups whose turn is nearest.
    pub fn heads(&self, count: usize) -> impl Iterator<Item = u64> {
        self.ready.values().take(count).copied()
    }

    /// Takes a request out because it starts, and charges its group.
    pub fn start(&mut self, place: Place) {
        self.detach(place.group);
        let Some(flow) = self.flows.get_mut(&place.group) else {
            return;
        };
        flow.line.remove(&place.sequence);
        flow.left += place.cost.0;
        self.virtual_time = self.virtual_time.max(flow.tag);
        flow.tag += flow.price(place.cost.0);
        self.forget(place.cost);
        self.attach(place.group);
        self.settle_debts();
    }

    /// Takes a request out that will not start; its group is charged nothing.
    pub fn remove(&mut self, place: Place) {
        self.detach(place.group);
        if let Some(flow) = self.flows.get_mut(&place.group) {
            flow.line.remove(&place.sequence);
            flow.left += place.cost.0;
        }
        self.forget(place.cost);
        self.attach(place.group);
        self.settle_debts();
    }

    /// Corrects what a group was charged, once the true cost of a request is known.
    pub fn adjust(&mut self, group: GroupKey, weight: u32, expected: Tokens, actual: Tokens) {
        let now = self.virtual_time;
        self.detach(group);
        let flow = self
            .flows
            .entry(group)
            .or_insert_with(|| Flow::new(now, weight));
        let more = flow.price(actual.minus(expected).0);
        let less = flow.price(expected.minus(actual).0);
        flow.tag = (flow.tag + more).saturating_sub(less).max(flow.base);
        self.attach(group);
        self.settle_debts();
    }

    /// Takes over a group's new weight.
    pub fn reweigh<Weight>(&mut self, weight: Weight)
    where
        Weight: Fn(GroupKey) -> u32,
    {
        self.weight = 0;
        for (&group, flow) in &mut self.flows {
            flow.weight = u64::from(weight(group).max(1));
            if !flow.line.is_empty() {
                self.weight += flow.weight;
            }
        }
    }

    /// Tokens of this lane that would start before a further request of the group.
    pub fn ahead_of_next(&self, group: GroupKey, weight: u32) -> Tokens {
        let Some(flow) = self.flows.get(&group) else {
            return Tokens::ZERO;
        };
        let newcomer = if flow.line.is_empty() {
            u64::from(weight.max(1))
        } else {
            0
        };
        self.ahead(flow, flow.joined - flow.left, newcomer)
            .min(self.tokens)
    }

    /// Tokens of this lane that start before the given waiting request.
    pub fn ahead_of(&self, place: Place) -> Tokens {
        let Some(flow) = self.flows.get(&place.group) else {
            return Tokens::ZERO;
        };
        let Some(waiting) = flow.line.get(&place.sequence) else {
            return Tokens::ZERO;
        };
        // A removal from the middle counts as if it had stood in front, so the figure may be too
        // low, never too high: nobody is refused for work that is not there.
        let own = waiting.mark.saturating_sub(flow.left);
        self.ahead(flow, own, 0).min(self.tokens.minus(place.cost))
    }

    /// While a group's tag moves by one, every waiting group is served its weight in tokens.
    fn ahead(&self, flow: &Flow, own: u64, newcomer: u64) -> Tokens {
        let tag = flow.tag + flow.price(own);
        let distance = u128::from(tag.saturating_sub(self.virtual_time));
        let weight = u128::from(self.weight + newcomer);
        let tokens = distance * weight / u128::from(SCALE);
        Tokens(u64::try_from(tokens).unwrap_or(u64::MAX))
    }

    fn forget(&mut self, cost: Tokens) {
        self.tokens = self.tokens.minus(cost);
        self.len -= 1;
    }

    fn detach(&mut self, group: GroupKey) {
        let Some(flow) = self.flows.get(&group) else {
            return;
        };
        let Some((first, _)) = flow.first() else {
            self.owing.remove(&(flow.tag, group));
            return;
        };
        let removed = self.ready.remove(&(flow.tag, first, group));
        if removed.is_some() {
            self.weight -= flow.weight;
        }
    }

    fn attach(&mut self, group: GroupKey) {
        let Some(flow) = self.flows.get(&group) else {
            return;
        };
        let Some((first, ticket)) = flow.first() else {
            self.owing.insert((flow.tag, group));
            return;
        };
        self.ready.insert((flow.tag, first, group), ticket);
        self.weight += flow.weight;
    }

    /// Drops idle groups that owe nothing any more; all of them once nothing waits, since a debt
    /// only matters to groups that compete.
    fn settle_debts(&mut self) {
        if self.len == 0 {
            let last = self.owing.last().map_or(0, |&(tag, _)| tag);
            self.virtual_time = self.virtual_time.max(last);
        }
        while let Some(&(tag, group)) = self.owing.first() {
            if tag > self.virtual_time {
                return;
            }
            self.owing.pop_first();
            self.flows.remove(&group);
        }
    }
}
