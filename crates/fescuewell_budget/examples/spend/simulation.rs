//! A fleet of ledgers under random load, driven by events in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::Duration;

use fescuewell_budget::{HoldKey, Ledger, Message, Notification, Policy, Settings, Shortage};
use fescuewell_core::prelude::*;
use fescuewell_core::table::{Error, Reply, Step, carry_out};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::memory::Memory;

const GROUP: GroupKey = GroupKey(0);
const NAME: &str = "signwise";

/// Entry instances of today's size.
const NODES: usize = 9;

/// Time from an instance to the table, one way.
const TO_TABLE: Duration = Duration::from_millis(3);

/// Time from one instance to another.
const TO_PEER: Duration = Duration::from_millis(1);

/// Time between two ticks of an instance.
const TICK: Duration = Duration::from_millis(50);

/// Time until a bill is durable in its slot.
const TO_BILL: Duration = Duration::from_millis(500);

/// Mean duration of a request in seconds.
const MEAN_SECONDS: f64 = 8.0;

/// Requests that the budget must have refused for good before a run ends.
const FINAL_REFUSALS: u64 = 50;

/// What arrives.
#[derive(Debug, Clone)]
pub struct Load {
    /// Requests per second, over all instances.
    pub rate: f64,
    pub prepaid: Tokens,
    /// Part of it that was spent before the run.
    pub spent: Tokens,
}

impl Load {
    pub fn new(rate: f64, prepaid: Tokens) -> Self {
        Self {
            rate,
            prepaid,
            spent: Tokens::ZERO,
        }
    }

    /// The same load with only `percent` of the budget left.
    pub fn with_left(&self, percent: u64) -> Self {
        let spent = Tokens(self.prepaid.0 / 100 * (100 - percent));
        Self {
            spent,
            ..self.clone()
        }
    }
}

/// What was counted.
#[derive(Debug, Clone, Default)]
pub struct Figures {
    pub requests: u64,
    pub accepted: u64,
    /// Refused although an all-seeing ledger had enough at that moment.
    pub false_refusals: u64,
    pub true_refusals: u64,
    /// Part of the budget charged, held or owed at the first false refusal.
    pub first_false: Option<f64>,
    commits: u64,
    waits: Vec<u64>,
}

impl Figures {
    pub fn add(&mut self, other: Self) {
        self.requests += other.requests;
        self.accepted += other.accepted;
        self.false_refusals += other.false_refusals;
        self.true_refusals += other.true_refusals;
        self.commits += other.commits;
        self.waits.extend(other.waits);
    }

    /// False refusals in percent of what an all-seeing ledger would have accepted.
    pub fn false_percent(&self) -> f64 {
        let acceptable = self.accepted + self.false_refusals;
        self.false_refusals as f64 * 100.0 / acceptable.max(1) as f64
    }

    pub fn writes_per_thousand(&self) -> f64 {
        self.commits as f64 * 1_000.0 / self.requests.max(1) as f64
    }

    /// Percentile, in milliseconds, of how long an accepted request waited for its hold.
    pub fn wait_percentile(&self, percent: usize) -> u64 {
        let mut waits = self.waits.clone();
        waits.sort_unstable();
        let rank = (waits.len() * percent / 100).min(waits.len().saturating_sub(1));
        waits.get(rank).copied().unwrap_or(0)
    }
}

#[derive(Debug)]
enum Event {
    Arrive,
    Settle(usize, HoldKey, Tokens, Tokens),
    Billed(usize, HoldKey, Tokens),
    Tick(usize),
    AtTable(usize, Step),
    Answer(usize, Reply),
    Deliver(Arc<str>, usize, Message),
}

struct Node {
    ledger: Ledger,
    holder: Arc<str>,
    waiting: Vec<(Instant, Tokens)>,
}

/// The fleet.
pub struct Simulation {
    now: Instant,
    rng: SmallRng,
    load: Load,
    table: Memory,
    is_table_down: bool,
    nodes: Vec<Node>,
    queue: BinaryHeap<Reverse<(Instant, u64)>>,
    events: std::collections::HashMap<u64, Event>,
    sequence: u64,
    used: Tokens,
    figures: Figures,
    commits_before: u64,
}

impl Simulation {
    pub fn new(
        load: &Load,
        outage: u64,
        share_percent: u8,
        min_allowance: Tokens,
        seed: u64,
    ) -> Self {
        let table = Memory::default();
        table.top_up(NAME, load.prepaid);
        table.spend(NAME, load.spent);
        let policy = Policy {
            key: GROUP,
            name: NAME.into(),
            outage: Duration::from_secs(outage),
            share_percent,
            min_allowance,
        };
        let now = Instant::from_millis(1_000);
        let nodes = (0..NODES)
            .map(|index| start(now, index, &policy, seed))
            .collect();
        let mut simulation = Self {
            now,
            rng: SmallRng::seed_from_u64(seed),
            load: load.clone(),
            table,
            is_table_down: false,
            nodes,
            queue: BinaryHeap::new(),
            events: std::collections::HashMap::new(),
            sequence: 0,
            used: load.spent,
            figures: Figures::default(),
            commits_before: 0,
        };
        simulation.after(Duration::ZERO, Event::Arrive);
        for index in 0..NODES {
            simulation.after(TICK * index as u32 / NODES as u32, Event::Tick(index));
        }
        simulation
    }

    pub fn figures(&self) -> Figures {
        let mut figures = self.figures.clone();
        figures.commits = self.table.counts().commits - self.commits_before;
        figures
    }

    pub fn clear_figures(&mut self) {
        self.figures = Figures::default();
        self.commits_before = self.table.counts().commits;
    }

    /// What an all-seeing ledger could still hand out.
    pub fn left(&self) -> Tokens {
        self.load.prepaid.minus(self.used)
    }

    /// Idle allowance at all instances.
    pub fn idle(&self) -> Tokens {
        let lines = self.nodes.iter().flat_map(|node| node.ledger.snapshot());
        lines.map(|line| line.idle).sum()
    }

    /// What the group could not use if the instance with most of it died now: granted but not charged.
    pub fn in_doubt(&self) -> Tokens {
        let lines = self.nodes.iter().flat_map(|node| node.ledger.snapshot());
        lines
            .map(|line| line.granted.minus(line.spent))
            .max()
            .unwrap_or_default()
    }

    pub fn run_until_left(&mut self, share: f64) {
        let goal = (self.load.prepaid.0 as f64 * share) as u64;
        while self.left().0 > goal {
            self.run_one();
        }
    }

    pub fn run_outage(&mut self, duration: Duration) {
        let end = self.now + duration;
        self.is_table_down = true;
        while self.now < end {
            self.run_one();
        }
        self.is_table_down = false;
    }

    pub fn run_until_spent(&mut self) {
        while self.figures.true_refusals < FINAL_REFUSALS {
            self.run_one();
        }
    }

    fn after(&mut self, delay: Duration, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse((self.now + delay, self.sequence)));
        self.events.insert(self.sequence, event);
    }

    fn run_one(&mut self) {
        let Some(Reverse((at, sequence))) = self.queue.pop() else {
            return;
        };
        self.now = at;
        let event = self.events.remove(&sequence);
        match event.expect("queued events are kept") {
            Event::Arrive => self.arrive(),
            Event::Settle(index, hold, amount, cost) => {
                self.nodes[index].ledger.settle(at, hold, cost);
                self.used = self.used.minus(amount.minus(cost));
                self.after(TO_BILL, Event::Billed(index, hold, cost));
                self.drive(index);
            }
            Event::Billed(index, hold, cost) => {
                self.nodes[index].ledger.bill_durable(at, hold, cost);
                self.drive(index);
            }
            Event::Tick(index) => {
                self.drive(index);
                self.after(TICK, Event::Tick(index));
            }
            Event::AtTable(index, step) => {
                let reply = match self.is_table_down {
                    true => Reply::Failed(Error::Unreachable {
                        reason: "down".into(),
                    }),
                    false => carry_out(&self.table, &step),
                };
                self.after(TO_TABLE, Event::Answer(index, reply));
            }
            Event::Answer(index, reply) => {
                self.nodes[index].ledger.reply(at, reply);
                self.drive(index);
            }
            Event::Deliver(from, index, message) => {
                self.nodes[index].ledger.receive(at, from, message);
                self.drive(index);
            }
        }
    }

    fn arrive(&mut self) {
        let pause = -self.rng.random_range(f64::EPSILON..1.0f64).ln() / self.load.rate;
        self.after(Duration::from_secs_f64(pause), Event::Arrive);
        let index = self.choose_node();
        let amount = Tokens(self.rng.random_range(200..1_800));
        self.figures.requests += 1;
        self.hold(index, self.now, amount);
        self.drive(index);
    }

    /// Zipf over the instances: the first gets about a third of the requests, the last about 4%.
    fn choose_node(&mut self) -> usize {
        let total: f64 = (1..=NODES).map(|rank| 1.0 / rank as f64).sum();
        let mut point = self.rng.random_range(0.0..total);
        for index in 0..NODES {
            point -= 1.0 / (index + 1) as f64;
            if point < 0.0 {
                return index;
            }
        }
        NODES - 1
    }

    fn hold(&mut self, index: usize, arrived: Instant, amount: Tokens) {
        let node = &mut self.nodes[index];
        match node.ledger.hold(self.now, GROUP, amount) {
            Ok(hold) => {
                self.used += amount;
                assert!(self.used <= self.load.prepaid, "overspent");
                self.figures.accepted += 1;
                let waited = self.now.since(arrived).as_millis() as u64;
                self.figures.waits.push(waited);
                let part = self.rng.random_range(0.2..1.0);
                let cost = Tokens((amount.0 as f64 * part) as u64);
                let seconds = -self.rng.random_range(f64::EPSILON..1.0f64).ln() * MEAN_SECONDS;
                let end = Event::Settle(index, hold, amount, cost);
                self.after(Duration::from_secs_f64(seconds), end);
            }
            Err(Shortage::Pending) => node.waiting.push((arrived, amount)),
            Err(_) => self.refuse(amount),
        }
    }

    fn refuse(&mut self, amount: Tokens) {
        if self.left() < amount {
            self.figures.true_refusals += 1;
            return;
        }
        self.figures.false_refusals += 1;
        let spent = self.used.0 as f64 / self.load.prepaid.0 as f64;
        self.figures.first_false.get_or_insert(spent);
    }

    fn drive(&mut self, index: usize) {
        if let Some(step) = self.nodes[index].ledger.next_step(self.now) {
            self.after(TO_TABLE, Event::AtTable(index, step));
        }
        let from = self.nodes[index].holder.clone();
        for outgoing in self.nodes[index].ledger.take_outbox() {
            let to = self
                .nodes
                .iter()
                .position(|node| node.holder == outgoing.to);
            let Some(to) = to else {
                continue;
            };
            self.after(TO_PEER, Event::Deliver(from.clone(), to, outgoing.message));
        }
        for notification in self.nodes[index].ledger.take_notifications() {
            match notification {
                Notification::Funded(_) => {
                    for (arrived, amount) in std::mem::take(&mut self.nodes[index].waiting) {
                        self.hold(index, arrived, amount);
                    }
                }
                Notification::Refused(..) => {
                    for (_, amount) in std::mem::take(&mut self.nodes[index].waiting) {
                        self.refuse(amount);
                    }
                }
                _ => {}
            }
        }
    }
}

fn start(now: Instant, index: usize, policy: &Policy, seed: u64) -> Node {
    let holder: Arc<str> = format!("entry-{index}.1").into();
    let seed = seed * NODES as u64 + index as u64;
    let mut ledger = Ledger::new(Settings::default(), holder.clone(), seed);
    ledger.set_groups(now, std::slice::from_ref(policy));
    Node {
        ledger,
        holder,
        waiting: Vec::new(),
    }
}
