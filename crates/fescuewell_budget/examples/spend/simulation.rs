//! A fleet of ledgers under random load, as a discrete-event simulation in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::Duration;

use fescuewell_budget::{HoldKey, Ledger, Message, Notification, Policy, Settings, Shortage};
use fescuewell_core::prelude::*;
use fescuewell_core::table::{Error, Reply, Step, execute};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::memory::MemoryTable;

const GROUP: GroupKey = GroupKey(0);
const NAME: &str = "signwise";

/// Number of entry instances in the present deployment.
const NODES: usize = 9;

/// One-way latency between an instance and the table.
const TABLE_LATENCY: Duration = Duration::from_millis(3);

/// Latency between two instances.
const PEER_LATENCY: Duration = Duration::from_millis(1);

/// Time between two ticks of an instance.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Time until a bill is durable in its slot.
const BILL_DELAY: Duration = Duration::from_millis(500);

/// Mean duration of a request in seconds.
const MEAN_REQUEST_SECONDS: f64 = 8.0;

/// Number of justified refusals after which a run ends.
const FINAL_REFUSALS: u64 = 50;

/// Request load and budget of a run.
#[derive(Debug, Clone)]
pub struct Load {
    /// Requests per second over all instances.
    pub rate: f64,
    pub prepaid: Tokens,
    /// Part of the prepaid total that was spent before the run.
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

    /// Returns the same load with only `percent` of the budget left.
    pub fn with_remaining(&self, percent: u64) -> Self {
        let spent = Tokens(self.prepaid.0 / 100 * (100 - percent));
        Self {
            spent,
            ..self.clone()
        }
    }
}

/// Counters of a run.
#[derive(Debug, Clone, Default)]
pub struct Stats {
    pub requests: u64,
    pub accepted: u64,
    /// Refusals although a ledger with global knowledge had enough tokens at that moment.
    pub false_refusals: u64,
    pub true_refusals: u64,
    /// Fraction of the budget charged, held or owed at the first false refusal.
    pub first_false_refusal: Option<f64>,
    commits: u64,
    waits: Vec<u64>,
}

impl Stats {
    pub fn add(&mut self, other: Self) {
        self.requests += other.requests;
        self.accepted += other.accepted;
        self.false_refusals += other.false_refusals;
        self.true_refusals += other.true_refusals;
        self.commits += other.commits;
        self.waits.extend(other.waits);
    }

    /// False refusals in percent of the requests that a ledger with global knowledge would have
    /// accepted.
    pub fn false_refusal_percent(&self) -> f64 {
        let acceptable = self.accepted + self.false_refusals;
        self.false_refusals as f64 * 100.0 / acceptable.max(1) as f64
    }

    pub fn writes_per_thousand(&self) -> f64 {
        self.commits as f64 * 1_000.0 / self.requests.max(1) as f64
    }

    /// Percentile, in milliseconds, of the time that accepted requests waited for their holds.
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
    TableRequest(usize, Step),
    TableReply(usize, Reply),
    Deliver(Arc<str>, usize, Message),
}

struct Node {
    ledger: Ledger,
    holder: Arc<str>,
    waiting: Vec<(Instant, Tokens)>,
}

/// The simulated fleet.
pub struct Simulation {
    now: Instant,
    rng: SmallRng,
    load: Load,
    table: MemoryTable,
    is_table_down: bool,
    nodes: Vec<Node>,
    queue: BinaryHeap<Reverse<(Instant, u64)>>,
    events: std::collections::HashMap<u64, Event>,
    sequence: u64,
    used: Tokens,
    stats: Stats,
    commits_at_reset: u64,
}

impl Simulation {
    pub fn new(
        load: &Load,
        outage: u64,
        share_percent: u8,
        min_allowance: Tokens,
        seed: u64,
    ) -> Self {
        let table = MemoryTable::default();
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
            stats: Stats::default(),
            commits_at_reset: 0,
        };
        simulation.after(Duration::ZERO, Event::Arrive);
        for index in 0..NODES {
            simulation.after(
                TICK_INTERVAL * index as u32 / NODES as u32,
                Event::Tick(index),
            );
        }
        simulation
    }

    pub fn stats(&self) -> Stats {
        let mut stats = self.stats.clone();
        stats.commits = self.table.counts().commits - self.commits_at_reset;
        stats
    }

    pub fn reset_stats(&mut self) {
        self.stats = Stats::default();
        self.commits_at_reset = self.table.counts().commits;
    }

    /// Tokens that a ledger with global knowledge could still grant.
    pub fn remaining(&self) -> Tokens {
        self.load.prepaid.saturating_sub(self.used)
    }

    /// Idle tokens of all instances.
    pub fn idle(&self) -> Tokens {
        let lines = self.nodes.iter().flat_map(|node| node.ledger.snapshot());
        lines.map(|line| line.idle).sum()
    }

    /// Tokens granted but not charged at the instance with most of them, which the group could not
    /// use if that instance died now.
    pub fn in_doubt(&self) -> Tokens {
        let lines = self.nodes.iter().flat_map(|node| node.ledger.snapshot());
        lines
            .map(|line| line.granted.saturating_sub(line.spent))
            .max()
            .unwrap_or_default()
    }

    pub fn run_until_remaining(&mut self, share: f64) {
        let goal = (self.load.prepaid.0 as f64 * share) as u64;
        while self.remaining().0 > goal {
            self.run_event();
        }
    }

    pub fn run_outage(&mut self, duration: Duration) {
        let end = self.now + duration;
        self.is_table_down = true;
        while self.now < end {
            self.run_event();
        }
        self.is_table_down = false;
    }

    pub fn run_until_spent(&mut self) {
        while self.stats.true_refusals < FINAL_REFUSALS {
            self.run_event();
        }
    }

    fn after(&mut self, delay: Duration, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse((self.now + delay, self.sequence)));
        self.events.insert(self.sequence, event);
    }

    fn run_event(&mut self) {
        let Some(Reverse((at, sequence))) = self.queue.pop() else {
            return;
        };
        self.now = at;
        let event = self.events.remove(&sequence);
        match event.expect("queued events are kept") {
            Event::Arrive => self.arrive(),
            Event::Settle(index, hold, amount, cost) => {
                self.nodes[index].ledger.settle(at, hold, cost);
                self.used = self.used.saturating_sub(amount.saturating_sub(cost));
                self.after(BILL_DELAY, Event::Billed(index, hold, cost));
                self.drive(index);
            }
            Event::Billed(index, hold, cost) => {
                self.nodes[index].ledger.bill_durable(at, hold, cost);
                self.drive(index);
            }
            Event::Tick(index) => {
                self.drive(index);
                self.after(TICK_INTERVAL, Event::Tick(index));
            }
            Event::TableRequest(index, step) => {
                let reply = match self.is_table_down {
                    true => Reply::Failed(Error::Unreachable {
                        reason: "down".into(),
                    }),
                    false => execute(&self.table, &step),
                };
                self.after(TABLE_LATENCY, Event::TableReply(index, reply));
            }
            Event::TableReply(index, reply) => {
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
        self.stats.requests += 1;
        self.hold(index, self.now, amount);
        self.drive(index);
    }

    /// Chooses an instance by a Zipf distribution: the first gets about a third of the requests,
    /// the last about 4%.
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
                self.stats.accepted += 1;
                let waited = self.now.since(arrived).as_millis() as u64;
                self.stats.waits.push(waited);
                let part = self.rng.random_range(0.2..1.0);
                let cost = Tokens((amount.0 as f64 * part) as u64);
                let seconds =
                    -self.rng.random_range(f64::EPSILON..1.0f64).ln() * MEAN_REQUEST_SECONDS;
                let end = Event::Settle(index, hold, amount, cost);
                self.after(Duration::from_secs_f64(seconds), end);
            }
            Err(Shortage::Pending) => node.waiting.push((arrived, amount)),
            Err(_) => self.refuse(amount),
        }
    }

    fn refuse(&mut self, amount: Tokens) {
        if self.remaining() < amount {
            self.stats.true_refusals += 1;
            return;
        }
        self.stats.false_refusals += 1;
        let spent = self.used.0 as f64 / self.load.prepaid.0 as f64;
        self.stats.first_false_refusal.get_or_insert(spent);
    }

    fn drive(&mut self, index: usize) {
        if let Some(step) = self.nodes[index].ledger.next_step(self.now) {
            self.after(TABLE_LATENCY, Event::TableRequest(index, step));
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
            self.after(
                PEER_LATENCY,
                Event::Deliver(from.clone(), to, outgoing.message),
            );
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
