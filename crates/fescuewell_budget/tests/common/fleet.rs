//! A fleet of ledgers around one table, with faults between them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use fescuewell_budget::reclaim::Reclaim;
use fescuewell_budget::{Ledger, Message, Notification, Policy, Settings, Shortage};
use fescuewell_core::prelude::*;
use fescuewell_core::table::{Error, Reply, Step, Transaction, carry_out};

use super::memory::Memory;
use super::node::{GROUPS, Node, Open, Refused, check_node, policies};

/// What becomes of one step on its way to the table and back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    None,
    /// Carried out; the reply is lost.
    ReplyLost,
    /// Never arrives, and nobody can tell.
    RequestLost,
    /// Arrives long after the sender was told that nothing is known.
    Late,
    Unreachable,
    Busy,
}

/// The fleet.
pub struct Fleet {
    pub now: Instant,
    pub table: Memory,
    pub nodes: Vec<Node>,
    pub messages: Vec<(Arc<str>, Arc<str>, Message)>,
    pub late: Vec<Transaction>,
    pub reclaims: Vec<Reclaim>,
    pub refused: Vec<Refused>,
    pub granted: usize,
    /// Charged to holders of the past.
    past_charged: [Tokens; 2],
    /// When each group last had more available than just before.
    last_increase: [Instant; 2],
    policies: Vec<Policy>,
    seed: u64,
}

impl Fleet {
    /// `size` instances; each group has `prepaid` tokens.
    pub fn new(size: usize, prepaid: Tokens, seed: u64) -> Self {
        let table = Memory::default();
        for group in GROUPS {
            table.top_up(group, prepaid);
        }
        let mut fleet = Self {
            now: Instant::from_millis(1_000),
            table,
            nodes: Vec::new(),
            messages: Vec::new(),
            late: Vec::new(),
            reclaims: Vec::new(),
            refused: Vec::new(),
            granted: 0,
            past_charged: [Tokens::ZERO; 2],
            last_increase: [Instant::from_millis(1_000); 2],
            policies: policies(),
            seed,
        };
        for index in 0..size {
            let node = fleet.start(index, 1);
            fleet.nodes.push(node);
        }
        fleet
    }

    fn start(&mut self, index: usize, incarnation: u32) -> Node {
        let holder: Arc<str> = format!("entry-{index}.{incarnation:x}").into();
        self.seed += 1;
        let mut ledger = Ledger::new(Settings::default(), holder.clone(), self.seed);
        ledger.set_groups(self.now, &self.policies);
        Node {
            ledger,
            holder,
            is_paused: false,
            is_cut_off: false,
            is_closing: false,
            open: Vec::new(),
            waiting: Vec::new(),
            charged: [Tokens::ZERO; 2],
            incarnation,
        }
    }

    fn runs(&self, node: usize) -> bool {
        !self.nodes[node].is_paused
    }

    /// A request arrives.
    pub fn request(&mut self, node: usize, group: usize, amount: Tokens) {
        if self.runs(node) {
            self.hold(node, group, amount);
        }
    }

    fn hold(&mut self, index: usize, group: usize, amount: Tokens) {
        let now = self.now;
        let node = &mut self.nodes[index];
        match node.ledger.hold(now, GroupKey(group as u32), amount) {
            Ok(key) => {
                self.granted += 1;
                node.open.push(Open {
                    key,
                    group,
                    amount,
                    cost: None,
                });
            }
            Err(Shortage::Pending) => node.waiting.push((group, amount)),
            Err(shortage) => self.refuse(group, amount, shortage),
        }
    }

    fn refuse(&mut self, group: usize, amount: Tokens, shortage: Shortage) {
        // "Exhausted" has to be true: unless money came back within the last seconds, an all-seeing
        // ledger must not have enough either.
        let is_settled = self.now.since(self.last_increase[group]) > Duration::from_secs(5);
        if shortage == Shortage::Exhausted && is_settled {
            let available = self.available(group);
            assert!(
                available < amount,
                "{available} available, {amount} refused"
            );
        }
        self.refused.push(Refused {
            group,
            amount,
            shortage,
        });
    }

    /// The request's true cost becomes known.
    pub fn settle(&mut self, index: usize, pick: usize, percent: u64) {
        let now = self.now;
        let node = &mut self.nodes[index];
        if node.is_paused {
            return;
        }
        let count = node.open.len().max(1);
        let Some(open) = node.open.get_mut(pick % count) else {
            return;
        };
        if open.cost.is_some() {
            return;
        }
        let cost = Tokens(open.amount.0 * percent / 100);
        open.cost = Some(cost);
        let group = open.group;
        assert_eq!(node.ledger.settle(now, open.key, cost), cost);
        self.last_increase[group] = now;
        self.hear(index);
    }

    /// The bill becomes durable, or turns out to be a duplicate.
    pub fn bill(&mut self, index: usize, pick: usize, is_duplicate: bool) {
        let now = self.now;
        let node = &mut self.nodes[index];
        if node.is_paused {
            return;
        }
        let settled = node.open.iter().enumerate();
        let settled: Vec<usize> = settled
            .filter(|(_, open)| open.cost.is_some())
            .map(|(position, _)| position)
            .collect();
        let Some(&position) = settled.get(pick % settled.len().max(1)) else {
            return;
        };
        let open = node.open.swap_remove(position);
        let cost = open.cost.unwrap_or_default();
        let charged = if is_duplicate { Tokens::ZERO } else { cost };
        node.charged[open.group] += charged;
        node.ledger.bill_durable(now, open.key, charged);
        if is_duplicate {
            self.last_increase[open.group] = now;
        }
        self.hear(index);
    }

    /// A request did not run.
    pub fn release(&mut self, index: usize, pick: usize) {
        let now = self.now;
        let node = &mut self.nodes[index];
        if node.is_paused || node.open.is_empty() {
            return;
        }
        let position = pick % node.open.len();
        if node.open[position].cost.is_some() {
            return;
        }
        let open = node.open.swap_remove(position);
        node.ledger.release(now, open.key);
        self.last_increase[open.group] = now;
        self.hear(index);
    }

    /// Lets a node do one piece of table work; whether there was any.
    pub fn step(&mut self, index: usize, fault: Fault) -> bool {
        if !self.runs(index) {
            return false;
        }
        let step = self.nodes[index].ledger.next_step(self.now);
        let did = step.is_some();
        if let Some(step) = step {
            let fault = match self.nodes[index].is_cut_off {
                true => Fault::Unreachable,
                false => fault,
            };
            let reply = self.carry_out(&step, fault);
            self.nodes[index].ledger.reply(self.now, reply);
        }
        self.hear(index);
        did
    }

    fn carry_out(&mut self, step: &Step, fault: Fault) -> Reply {
        let reason: Arc<str> = "fault".into();
        match fault {
            Fault::None => carry_out(&self.table, step),
            Fault::Unreachable => Reply::Failed(Error::Unreachable { reason }),
            Fault::Busy => Reply::Failed(Error::Busy),
            Fault::ReplyLost => {
                carry_out(&self.table, step);
                Reply::Failed(Error::Unknown { reason })
            }
            Fault::RequestLost => Reply::Failed(Error::Unknown { reason }),
            Fault::Late => {
                if let Step::Commit(transaction) = step {
                    self.late.push(transaction.clone());
                }
                Reply::Failed(Error::Unknown { reason })
            }
        }
    }

    /// Takes a node's messages and news.
    fn hear(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        let from = node.holder.clone();
        for outgoing in node.ledger.take_outbox() {
            let message = (from.clone(), outgoing.to, outgoing.message);
            self.messages.push(message);
        }
        for notification in node.ledger.take_notifications() {
            match notification {
                Notification::Funded(group) => self.ask_again(index, group.0 as usize),
                Notification::Refused(group, shortage) => {
                    self.turn_away(index, group.0 as usize, shortage)
                }
                Notification::Lost(group) => panic!("{group:?} lost by a live holder"),
                _ => {}
            }
        }
    }

    fn take_waiting(&mut self, index: usize, group: usize) -> Vec<(usize, Tokens)> {
        let waiting = &mut self.nodes[index].waiting;
        waiting.extract_if(.., |(of, _)| *of == group).collect()
    }

    fn ask_again(&mut self, index: usize, group: usize) {
        for (group, amount) in self.take_waiting(index, group) {
            self.hold(index, group, amount);
        }
    }

    fn turn_away(&mut self, index: usize, group: usize, shortage: Shortage) {
        for (group, amount) in self.take_waiting(index, group) {
            self.refuse(group, amount, shortage);
        }
    }

    /// Delivers or loses one message.
    pub fn deliver(&mut self, pick: usize, is_lost: bool) {
        if self.messages.is_empty() {
            return;
        }
        let pick = pick % self.messages.len();
        let (from, to, message) = self.messages.remove(pick);
        let position = self.nodes.iter().position(|node| node.holder == to);
        let Some(index) = position.filter(|&index| !is_lost && self.runs(index)) else {
            return;
        };
        self.nodes[index].ledger.receive(self.now, from, message);
        self.hear(index);
    }

    /// Lets a write arrive that its sender was told nothing about.
    pub fn land_late(&mut self, pick: usize) {
        if self.late.is_empty() {
            return;
        }
        let transaction = self.late.swap_remove(pick % self.late.len());
        carry_out(&self.table, &Step::Commit(transaction));
    }

    pub fn top_up(&mut self, group: usize, amount: Tokens) {
        self.table.top_up(GROUPS[group], amount);
        self.last_increase[group] = self.now;
    }

    /// A node dies. The sweep has settled its streams: what was settled is charged at cost, what was
    /// open at its hold ("in doubt"). The reclaim starts, and a new incarnation takes its place.
    pub fn kill(&mut self, index: usize) {
        let incarnation = self.nodes[index].incarnation + 1;
        let fresh = self.start(index, incarnation);
        let mut dead = std::mem::replace(&mut self.nodes[index], fresh);
        for open in &dead.open {
            dead.charged[open.group] += open.cost.unwrap_or(open.amount);
        }
        let mut totals: Vec<(Arc<str>, Tokens)> = Vec::new();
        for (group, name) in GROUPS.iter().enumerate() {
            self.past_charged[group] += dead.charged[group];
            totals.push(((*name).into(), dead.charged[group]));
        }
        let reclaim = Reclaim::new(dead.holder, &totals, self.seed);
        self.reclaims.push(reclaim);
    }

    /// One piece of work of a reclaim.
    pub fn reclaim(&mut self, pick: usize, fault: Fault) {
        if self.reclaims.is_empty() {
            return;
        }
        let pick = pick % self.reclaims.len();
        if let Some(step) = self.reclaims[pick].next_step(self.now) {
            let reply = self.carry_out(&step, fault);
            self.reclaims[pick].reply(self.now, reply);
        }
    }

    /// Asks a node to drain.
    pub fn close(&mut self, index: usize) {
        if self.runs(index) && !self.nodes[index].is_closing {
            self.nodes[index].is_closing = true;
            self.nodes[index].ledger.close(self.now);
            self.hear(index);
        }
    }

    /// A node that takes requests; the first is replaced if all are draining.
    pub fn open_node(&mut self) -> usize {
        let open = self.nodes.iter().position(|node| !node.is_closing);
        open.unwrap_or_else(|| {
            self.kill(0);
            self.heal();
            0
        })
    }

    pub fn advance(&mut self, millis: u64) {
        self.now = self.now + Duration::from_millis(millis);
    }

    /// What an all-seeing ledger could still hand out: prepaid less charged, held and owed.
    pub fn available(&self, group: usize) -> Tokens {
        let prepaid = self.table.budget(GROUPS[group]).prepaid;
        prepaid.minus(self.used(group))
    }

    /// Charged, held and owed anywhere.
    pub fn used(&self, group: usize) -> Tokens {
        let mut used = self.past_charged[group];
        for node in &self.nodes {
            used += node.charged[group];
            let open = node.open.iter().filter(|open| open.group == group);
            used += open.map(|open| open.cost.unwrap_or(open.amount)).sum();
        }
        used
    }

    /// What must hold after every step.
    pub fn check(&self) {
        for (group, name) in GROUPS.iter().enumerate() {
            let budget = self.table.budget(name);
            assert!(budget.is_sound(), "{name}: {budget:?}");
            let used = self.used(group);
            assert!(
                used <= budget.prepaid,
                "{name}: used {used} of {}",
                budget.prepaid
            );
            for node in &self.nodes {
                check_node(node, group, &budget);
            }
        }
    }

    /// One round without faults: everybody works and all messages arrive.
    pub fn round(&mut self) {
        self.advance(50);
        for index in 0..self.nodes.len() {
            let mut steps = 0;
            while self.step(index, Fault::None) {
                steps += 1;
                assert!(steps < 100, "a ledger keeps the table busy without end");
            }
        }
        for index in 0..self.reclaims.len() {
            self.reclaim(index, Fault::None);
        }
        while !self.messages.is_empty() {
            self.deliver(0, false);
        }
    }

    /// Ends all faults and lets what is under way end.
    pub fn heal(&mut self) {
        while !self.late.is_empty() {
            self.land_late(0);
            self.check();
        }
        for node in &mut self.nodes {
            node.is_paused = false;
            node.is_cut_off = false;
        }
        for _ in 0..200 {
            self.round();
            self.check();
        }
        for node in &self.nodes {
            assert!(node.waiting.is_empty(), "{} waits for ever", node.holder);
        }
        assert!(
            self.reclaims.iter().all(Reclaim::is_done),
            "a reclaim is stuck"
        );
    }

    /// Settles and bills everything.
    pub fn finish_requests(&mut self) {
        for index in 0..self.nodes.len() {
            while !self.nodes[index].open.is_empty() {
                self.settle(index, 0, 50);
                self.bill(index, 0, false);
            }
        }
    }

    /// Whether a request gets its hold within `rounds`.
    pub fn is_granted(&mut self, node: usize, group: usize, amount: Tokens, rounds: usize) -> bool {
        let before = self.granted;
        for round in 0..rounds {
            if round % 40 == 0 && self.nodes[node].waiting.is_empty() {
                self.request(node, group, amount);
            }
            self.round();
            self.check();
            if self.granted > before {
                return true;
            }
        }
        false
    }

    /// Closes every ledger and checks that the rows account for every token.
    pub fn close_all(&mut self) {
        for index in 0..self.nodes.len() {
            self.close(index);
        }
        for _ in 0..100 {
            self.round();
            self.check();
        }
        for node in &self.nodes {
            assert!(node.ledger.is_closed(), "{} does not close", node.holder);
        }
        for (group, name) in GROUPS.iter().enumerate() {
            let budget = self.table.budget(name);
            assert_eq!(budget.grants, BTreeMap::new(), "{name}");
            assert_eq!(budget.spent, self.used(group), "{name}");
        }
    }
}
