//! A fleet of ledgers that share one table, with injected faults.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use fescuewell_budget::reclaim::Reclaim;
use fescuewell_budget::{Ledger, Message, Notification, Policy, Settings, Shortage};
use fescuewell_core::prelude::*;
use fescuewell_core::table::{Error, Reply, Step, Transaction, execute};

use super::memory::MemoryTable;
use super::node::{GROUPS, Node, OpenHold, Refused, check_node, policies};

/// What happens to one table operation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    None,
    /// Applied, but the reply is lost.
    ReplyLost,
    /// Never arrives, and the sender cannot know.
    RequestLost,
    /// Applied long after the sender was told that the outcome is unknown.
    Delayed,
    Unreachable,
    Busy,
}

/// Ledgers, their table, and the messages and writes in transit.
pub struct Fleet {
    pub now: Instant,
    pub table: MemoryTable,
    pub nodes: Vec<Node>,
    pub messages: Vec<(Arc<str>, Arc<str>, Message)>,
    pub delayed_writes: Vec<Transaction>,
    pub reclaims: Vec<Reclaim>,
    pub refused: Vec<Refused>,
    pub granted: usize,
    /// Tokens charged to terminated holders.
    terminated_charged: [Tokens; 2],
    /// When the available tokens of each group last increased.
    last_increase: [Instant; 2],
    policies: Vec<Policy>,
    seed: u64,
}

impl Fleet {
    /// Creates a fleet of `size` instances; each group has `prepaid` tokens.
    pub fn new(size: usize, prepaid: Tokens, seed: u64) -> Self {
        let table = MemoryTable::default();
        for group in GROUPS {
            table.top_up(group, prepaid);
        }
        let mut fleet = Self {
            now: Instant::from_millis(1_000),
            table,
            nodes: Vec::new(),
            messages: Vec::new(),
            delayed_writes: Vec::new(),
            reclaims: Vec::new(),
            refused: Vec::new(),
            granted: 0,
            terminated_charged: [Tokens::ZERO; 2],
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

    fn is_running(&self, node: usize) -> bool {
        !self.nodes[node].is_paused
    }

    /// Handles the arrival of a request.
    pub fn request(&mut self, node: usize, group: usize, amount: Tokens) {
        if self.is_running(node) {
            self.hold(node, group, amount);
        }
    }

    fn hold(&mut self, index: usize, group: usize, amount: Tokens) {
        let now = self.now;
        let node = &mut self.nodes[index];
        match node.ledger.hold(now, GroupKey(group as u32), amount) {
            Ok(key) => {
                self.granted += 1;
                node.open.push(OpenHold {
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
        // "Exhausted" must be true: unless tokens were released within the last seconds, a ledger
        // with global knowledge could not grant the amount either.
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

    /// Settles a request at its actual cost.
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
        self.handle_output(index);
    }

    /// Makes a bill durable, or absorbs it as a duplicate.
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
        self.handle_output(index);
    }

    /// Releases the hold of a request that did not run.
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
        self.handle_output(index);
    }

    /// Lets a node perform one table operation; returns whether there was any.
    pub fn step(&mut self, index: usize, fault: Fault) -> bool {
        if !self.is_running(index) {
            return false;
        }
        let step = self.nodes[index].ledger.next_step(self.now);
        let had_step = step.is_some();
        if let Some(step) = step {
            let fault = match self.nodes[index].is_cut_off {
                true => Fault::Unreachable,
                false => fault,
            };
            let reply = self.carry_out(&step, fault);
            self.nodes[index].ledger.reply(self.now, reply);
        }
        self.handle_output(index);
        had_step
    }

    fn carry_out(&mut self, step: &Step, fault: Fault) -> Reply {
        let reason: Arc<str> = "fault".into();
        match fault {
            Fault::None => execute(&self.table, step),
            Fault::Unreachable => Reply::Failed(Error::Unreachable { reason }),
            Fault::Busy => Reply::Failed(Error::Busy),
            Fault::ReplyLost => {
                execute(&self.table, step);
                Reply::Failed(Error::Unknown { reason })
            }
            Fault::RequestLost => Reply::Failed(Error::Unknown { reason }),
            Fault::Delayed => {
                if let Step::Commit(transaction) = step {
                    self.delayed_writes.push(transaction.clone());
                }
                Reply::Failed(Error::Unknown { reason })
            }
        }
    }

    /// Handles the outgoing messages and notifications of a node.
    fn handle_output(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        let from = node.holder.clone();
        for outgoing in node.ledger.take_outbox() {
            let message = (from.clone(), outgoing.to, outgoing.message);
            self.messages.push(message);
        }
        for notification in node.ledger.take_notifications() {
            match notification {
                Notification::Funded(group) => self.retry_waiting(index, group.0 as usize),
                Notification::Refused(group, shortage) => {
                    self.refuse_waiting(index, group.0 as usize, shortage)
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

    fn retry_waiting(&mut self, index: usize, group: usize) {
        for (group, amount) in self.take_waiting(index, group) {
            self.hold(index, group, amount);
        }
    }

    fn refuse_waiting(&mut self, index: usize, group: usize, shortage: Shortage) {
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
        let Some(index) = position.filter(|&index| !is_lost && self.is_running(index)) else {
            return;
        };
        self.nodes[index].ledger.receive(self.now, from, message);
        self.handle_output(index);
    }

    /// Applies a delayed write whose sender does not know the outcome.
    pub fn deliver_delayed(&mut self, pick: usize) {
        if self.delayed_writes.is_empty() {
            return;
        }
        let transaction = self
            .delayed_writes
            .swap_remove(pick % self.delayed_writes.len());
        execute(&self.table, &Step::Commit(transaction));
    }

    pub fn top_up(&mut self, group: usize, amount: Tokens) {
        self.table.top_up(GROUPS[group], amount);
        self.last_increase[group] = self.now;
    }

    /// Terminates a node and starts its next incarnation and the reclaim.
    ///
    /// The sweep has settled the node's streams: settled requests are charged at cost, open ones at
    /// their hold ("in doubt").
    pub fn kill(&mut self, index: usize) {
        let incarnation = self.nodes[index].incarnation + 1;
        let fresh = self.start(index, incarnation);
        let mut terminated = std::mem::replace(&mut self.nodes[index], fresh);
        for open in &terminated.open {
            terminated.charged[open.group] += open.cost.unwrap_or(open.amount);
        }
        let mut totals: Vec<(Arc<str>, Tokens)> = Vec::new();
        for (group, name) in GROUPS.iter().enumerate() {
            self.terminated_charged[group] += terminated.charged[group];
            totals.push(((*name).into(), terminated.charged[group]));
        }
        let reclaim = Reclaim::new(terminated.holder, &totals, self.seed);
        self.reclaims.push(reclaim);
    }

    /// Lets a reclaim perform one table operation.
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

    /// Starts draining a node.
    pub fn close(&mut self, index: usize) {
        if self.is_running(index) && !self.nodes[index].is_closing {
            self.nodes[index].is_closing = true;
            self.nodes[index].ledger.close(self.now);
            self.handle_output(index);
        }
    }

    /// Returns a node that accepts requests; the first is replaced if all are draining.
    pub fn open_node(&mut self) -> usize {
        let open = self.nodes.iter().position(|node| !node.is_closing);
        open.unwrap_or_else(|| {
            self.kill(0);
            self.recover();
            0
        })
    }

    pub fn advance(&mut self, millis: u64) {
        self.now = self.now + Duration::from_millis(millis);
    }

    /// Tokens that a ledger with global knowledge could grant: prepaid minus charged, held and
    /// owed.
    pub fn available(&self, group: usize) -> Tokens {
        let prepaid = self.table.budget(GROUPS[group]).prepaid;
        prepaid.saturating_sub(self.used(group))
    }

    /// Tokens charged, held or owed anywhere.
    pub fn used(&self, group: usize) -> Tokens {
        let mut used = self.terminated_charged[group];
        for node in &self.nodes {
            used += node.charged[group];
            let open = node.open.iter().filter(|open| open.group == group);
            used += open.map(|open| open.cost.unwrap_or(open.amount)).sum();
        }
        used
    }

    /// Checks the invariants that must hold after every step.
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

    /// Runs one round without faults: all nodes and reclaims proceed and all messages arrive.
    pub fn round(&mut self) {
        self.advance(50);
        for index in 0..self.nodes.len() {
            let mut steps = 0;
            while self.step(index, Fault::None) {
                steps += 1;
                assert!(steps < 100, "a ledger issues table steps without end");
            }
        }
        for index in 0..self.reclaims.len() {
            self.reclaim(index, Fault::None);
        }
        while !self.messages.is_empty() {
            self.deliver(0, false);
        }
    }

    /// Ends all faults and finishes everything in progress.
    pub fn recover(&mut self) {
        while !self.delayed_writes.is_empty() {
            self.deliver_delayed(0);
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
            assert!(
                node.waiting.is_empty(),
                "{} still has waiting requests",
                node.holder
            );
        }
        assert!(
            self.reclaims.iter().all(Reclaim::is_done),
            "a reclaim is not done"
        );
    }

    /// Settles and bills all open requests.
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
