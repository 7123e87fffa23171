//! Limits that backend servers declare, kept by fleets of different sizes whose messages are lost,
//! repeated and late, and whose instances join, die and restart.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use fescuewell_forward::condition::Declared;
use fescuewell_forward::condition::limit::{Limits, MIN_ASSIGNED, Moment, Rate, Update};
use fescuewell_forward::message::{Key, Message};
use fescuewell_forward::server::{Entry, State};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

/// Simulation step in milliseconds.
const STEP_MS: u64 = 20;
/// Window over which the limit holds, in milliseconds.
const WINDOW_MS: u64 = 4_000;
/// Time after the first declaration from which the limit holds, in milliseconds.
const STABLE_MS: u64 = 3_000;
/// Time after an instance was told of a limit from which its requests count, in milliseconds.
const TOLD_MS: u64 = 500;
/// Maximum delay of a response or message in milliseconds.
const MAX_DELAY_MS: u64 = 300;
/// Interval between two samples of an instance in milliseconds.
const SAMPLE_MS: u64 = 600;
/// Time within which instances learn of a change of the members, in milliseconds.
const MEMBERS_DELAY_MS: u64 = 1_000;
/// Offset of the store's clock.
const STORE_OFFSET_MS: u64 = 1_000_000;

fn entry(incarnation: u64) -> Entry {
    Entry {
        id: "i-0".into(),
        started_at_ms: Some(incarnation),
        service: "pool".into(),
        address: ([10, 0, 0, 1], 80).into(),
        zone: "a".into(),
        slots: 8,
        cold_left_ms: 0,
        version: None,
        state: State::Ready,
    }
}

fn rate(per_s: f64) -> Rate {
    Rate::from_per_s(per_s).unwrap()
}

fn at(local_ms: u64) -> Moment {
    Moment {
        local_ms,
        store_ms: STORE_OFFSET_MS + local_ms,
    }
}

fn name(index: usize) -> Arc<str> {
    format!("instance-{index}").into()
}

/// A message or response that is under way to an instance.
enum Delivery {
    Response {
        sent_at_ms: u64,
        limit: Option<Rate>,
    },
    Gossip(Vec<Update>),
    Members(Vec<Arc<str>>),
}

/// How unreliable a fleet is.
#[derive(Debug, Clone, Copy)]
struct Trouble {
    /// Probability that a message between instances is lost.
    loss: f64,
    /// Whether advertised instances are replaced now and then.
    replaces: bool,
    /// Whether instances restart now and then.
    restarts: bool,
}

const NO_TROUBLE: Trouble = Trouble {
    loss: 0.0,
    replaces: false,
    restarts: false,
};

/// Instances that send to one server as many requests as they may.
struct Fleet {
    random: SmallRng,
    now_ms: u64,
    trouble: Trouble,
    instances: Vec<Limits>,
    /// When an instance was told of the limit by a response.
    told_at_ms: Vec<Option<u64>>,
    advertised: Vec<usize>,
    deliveries: BTreeMap<u64, VecDeque<(usize, Delivery)>>,
    limit: Option<Rate>,
    /// Requests in order: time, instance, and whether it had been told long before.
    requests: Vec<(u64, usize, bool)>,
    messages: usize,
}

impl Fleet {
    fn new(size: usize, advertised: usize, trouble: Trouble, seed: u64) -> Self {
        let advertised: Vec<usize> = (0..advertised).collect();
        let names: Vec<Arc<str>> = advertised.iter().map(|index| name(*index)).collect();
        let instances = (0..size).map(|index| {
            let mut limits = Limits::new(name(index));
            limits.set_instances(&names, size);
            limits
        });
        Self {
            random: SmallRng::seed_from_u64(seed),
            now_ms: 0,
            trouble,
            instances: instances.collect(),
            told_at_ms: vec![None; size],
            advertised,
            deliveries: BTreeMap::new(),
            limit: None,
            requests: Vec::new(),
            messages: 0,
        }
    }

    fn run(&mut self, duration_ms: u64) {
        let end_ms = self.now_ms + duration_ms;
        while self.now_ms < end_ms {
            self.deliver();
            self.change_members();
            for index in 0..self.instances.len() {
                self.send_request(index);
                self.gossip(index);
            }
            self.now_ms += STEP_MS;
        }
    }

    fn schedule(&mut self, index: usize, delay_ms: u64, delivery: Delivery) {
        let due_ms = self.now_ms + STEP_MS + delay_ms;
        let due = self.deliveries.entry(due_ms).or_default();
        due.push_back((index, delivery));
    }

    fn deliver(&mut self) {
        let later = self.deliveries.split_off(&(self.now_ms + 1));
        let due = std::mem::replace(&mut self.deliveries, later);
        let now = at(self.now_ms);
        for (index, delivery) in due.into_values().flatten() {
            let limits = &mut self.instances[index];
            match delivery {
                Delivery::Response { sent_at_ms, limit } => {
                    let declared = limit.map_or(Declared::Absent, Declared::Value);
                    limits.record(&entry(1), declared, sent_at_ms, now);
                    if limit.is_some() {
                        self.told_at_ms[index].get_or_insert(self.now_ms);
                    }
                }
                Delivery::Gossip(updates) => {
                    for update in updates {
                        limits.merge(update, now);
                    }
                }
                Delivery::Members(names) => {
                    let size = self.told_at_ms.len();
                    limits.set_instances(&names, size);
                }
            }
        }
    }

    fn send_request(&mut self, index: usize) {
        let now = at(self.now_ms);
        if self.instances[index].wait_ms("i-0", now) > 0 {
            return;
        }
        self.instances[index].record_send("i-0", now);
        let told_at_ms = self.told_at_ms[index];
        let is_counted = told_at_ms.is_some_and(|told_ms| told_ms + TOLD_MS <= self.now_ms);
        self.requests.push((self.now_ms, index, is_counted));
        let delay_ms = self.random.random_range(0..MAX_DELAY_MS);
        let response = Delivery::Response {
            sent_at_ms: self.now_ms,
            limit: self.limit,
        };
        self.schedule(index, delay_ms, response);
    }

    fn gossip(&mut self, index: usize) {
        let fresh = self.instances[index].take_fresh(16);
        if !fresh.is_empty() {
            self.send_gossip(4, &fresh);
        }
        let is_due = (self.now_ms + index as u64 * STEP_MS).is_multiple_of(SAMPLE_MS);
        if is_due {
            let sample = self.instances[index].sample(16);
            if !sample.is_empty() {
                self.send_gossip(1, &sample);
            }
        }
    }

    fn send_gossip(&mut self, fanout: usize, updates: &[Update]) {
        for _ in 0..fanout {
            self.messages += 1;
            let peer = self.random.random_range(0..self.instances.len());
            if self.random.random_bool(self.trouble.loss) {
                continue;
            }
            let copies = if self.random.random_bool(0.1) { 2 } else { 1 };
            for _ in 0..copies {
                let delay_ms = self.random.random_range(0..MAX_DELAY_MS);
                self.schedule(peer, delay_ms, Delivery::Gossip(updates.to_vec()));
            }
        }
    }

    fn change_members(&mut self) {
        let per_step = STEP_MS as f64 / 5_000.0;
        if self.trouble.replaces && self.random.random_bool(per_step) {
            let new = self.random.random_range(0..self.instances.len());
            if !self.advertised.contains(&new) {
                let replaced = self.random.random_range(0..self.advertised.len());
                self.advertised[replaced] = new;
            }
            let names: Vec<Arc<str>> = self.advertised.iter().map(|index| name(*index)).collect();
            for index in 0..self.instances.len() {
                let delay_ms = self.random.random_range(0..MEMBERS_DELAY_MS);
                self.schedule(index, delay_ms, Delivery::Members(names.clone()));
            }
        }
        if self.trouble.restarts && self.random.random_bool(per_step) {
            let indices: Vec<usize> = (0..self.instances.len()).collect();
            let index = *indices.choose(&mut self.random).unwrap();
            let names: Vec<Arc<str>> = self.advertised.iter().map(|index| name(*index)).collect();
            let mut limits = Limits::new(name(index));
            limits.set_instances(&names, self.instances.len());
            self.instances[index] = limits;
            self.told_at_ms[index] = None;
        }
    }

    /// Returns the maximum number of counted requests in a window that ends after `from_ms`.
    fn max_in_a_window(&self, from_ms: u64) -> usize {
        let counted = self.requests.iter().filter(|(_, _, counted)| *counted);
        let times: Vec<u64> = counted.map(|(time, _, _)| *time).collect();
        let times: Vec<u64> = times.into_iter().filter(|time| *time >= from_ms).collect();
        let in_window = |first: usize| {
            let until_ms = times[first] + WINDOW_MS;
            times[first..]
                .iter()
                .take_while(|time| **time < until_ms)
                .count()
        };
        (0..times.len()).map(in_window).max().unwrap_or_default()
    }

    fn requests_since(&self, from_ms: u64) -> usize {
        let requests = self.requests.iter();
        requests.filter(|(time, _, _)| *time >= from_ms).count()
    }
}

/// Requests that a server may get in a window.
fn allowed(per_s: f64) -> usize {
    (1.5 * per_s * WINDOW_MS as f64 / 1_000.0 + 5.0) as usize
}

/// Fleet sizes with the number of advertised instances.
const FLEETS: [(usize, usize); 4] = [(6, 2), (9, 9), (100, 6), (985, 10)];

fn assert_kept(trouble: Trouble, seeds: u64) {
    for (size, advertised) in FLEETS {
        for (case, per_s) in [0.0, 0.2, 1.0, 2.5, 10.0].into_iter().enumerate() {
            for seed in 0..seeds {
                let mut fleet = Fleet::new(size, advertised, trouble, seed * 10 + case as u64);
                fleet.limit = Some(rate(per_s));

                fleet.run(20_000);

                let most = fleet.max_in_a_window(STABLE_MS);
                assert!(
                    most <= allowed(per_s),
                    "{most} requests in a window, {} allowed: {size} instances, limit {per_s}, seed {seed}",
                    allowed(per_s)
                );
                let got = fleet.requests_since(5_000) as f64;
                assert!(
                    got >= (0.5 * per_s * 15.0).floor(),
                    "{got} requests in 15 s: {size} instances, limit {per_s}, seed {seed}"
                );
            }
        }
    }
}

/// Guards against a share or burst for each instance: a limit of one request per second allows 11
/// in 4 s, and one from each instance that knows of it would be 985.
#[test]
fn a_limit_holds_at_nine_and_at_985_instances() {
    assert_kept(NO_TROUBLE, 2);
}

/// Guards against a limit that is exceeded, or a server that gets nothing, because messages are
/// lost and instances disagree on the members.
#[test]
fn a_limit_holds_while_messages_are_lost_and_members_change() {
    let trouble = Trouble {
        loss: 0.5,
        replaces: true,
        restarts: true,
    };
    assert_kept(trouble, 3);
}

/// Guards against instances that rely on each other's messages: all of them are lost.
#[test]
fn a_limit_holds_without_messages() {
    let trouble = Trouble {
        loss: 1.0,
        replaces: true,
        restarts: false,
    };
    assert_kept(trouble, 2);
}

/// Guards against the gossip of a limit that grows with the square of the fleet, or never ends.
#[test]
fn a_limit_costs_each_instance_a_few_messages() {
    let mut fleet = Fleet::new(985, 10, NO_TROUBLE, 1);
    fleet.limit = Some(rate(1.0));

    fleet.run(12_000);

    let samples = 985 * (12_000 / SAMPLE_MS as usize);
    let changes = fleet.messages - samples.min(fleet.messages);
    assert!(changes <= 985 * 4 * 2, "{changes} messages for one change");
    let known = fleet.instances.iter().filter(|limits| limits.count() == 1);
    assert_eq!(known.count(), 985);
}

/// Guards against samples that exceed a datagram, or an instance's share of the control traffic,
/// while hundreds of servers are in need.
#[test]
fn a_sample_of_limits_fits_a_datagram() {
    let mut limits = alone();
    for index in 0..200 {
        let server = Entry {
            id: format!("i-{index:022}").into(),
            ..entry(1)
        };
        let limit = Declared::Value(rate(f64::MAX));
        limits.record(&server, limit, 0, at(1_700_000_000_000));
    }

    let sample = Message::Limits(limits.sample(16));
    let bytes = Key::new([7; 32]).seal(&sample).len();

    assert!(bytes <= 1_400, "{bytes} bytes");
    let per_s = bytes as u64 * 1_000 / SAMPLE_MS;
    assert!(per_s <= 2_048, "{per_s} bytes per second");
}

/// Guards against instances that keep away from a server whose limit has ended.
#[test]
fn all_instances_learn_of_the_end_of_a_limit() {
    for (size, advertised) in FLEETS {
        let trouble = Trouble {
            loss: 0.3,
            ..NO_TROUBLE
        };
        let mut fleet = Fleet::new(size, advertised, trouble, 7);
        fleet.limit = Some(rate(1.0));
        fleet.run(5_000);
        fleet.limit = None;

        fleet.run(8_000);

        let limited = fleet.instances.iter().filter(|limits| limits.count() > 0);
        assert_eq!(limited.count(), 0, "{size} instances");
    }
}

/// Guards against an instance that no other reaches and that never uses a server again.
#[test]
fn an_unassigned_instance_finds_out_the_end_of_a_limit_by_itself() {
    let trouble = Trouble {
        loss: 1.0,
        ..NO_TROUBLE
    };
    let mut fleet = Fleet::new(9, 2, trouble, 7);
    fleet.limit = Some(rate(1.0));
    fleet.run(5_000);
    fleet.limit = None;

    fleet.run(200_000);

    let limited = fleet.instances.iter().filter(|limits| limits.count() > 0);
    assert_eq!(limited.count(), 0);
}

/// Guards against an instance that spends the credit of a higher limit after it was lowered.
#[test]
fn a_lowered_limit_holds() {
    for (size, advertised) in FLEETS {
        let mut fleet = Fleet::new(size, advertised, NO_TROUBLE, 3);
        fleet.limit = Some(rate(20.0));
        fleet.run(6_000);
        fleet.limit = Some(rate(1.0));

        fleet.run(10_000);

        let most = fleet.max_in_a_window(6_000 + STABLE_MS);
        assert!(most <= allowed(1.0), "{most}: {size} instances");
    }
}

fn alone() -> Limits {
    let mut limits = Limits::new(name(0));
    limits.set_instances(&[name(0)], 1);
    limits
}

fn update(incarnation: u64, limit: Option<Rate>, at_ms: u64) -> Update {
    let entry = entry(incarnation);
    Update {
        server: entry.id.clone(),
        incarnation: entry.incarnation(),
        limit,
        at_ms,
    }
}

#[test]
fn a_server_without_a_limit_is_not_restricted() {
    let mut limits = alone();

    let change = limits.record(&entry(1), Declared::Absent, 0, at(1));

    assert_eq!(change, None);
    assert!(limits.is_empty());
    assert_eq!(limits.wait_ms("i-0", at(2)), 0);
}

/// Guards against a response that was sent before the limit was declared, arrives after it, and
/// ends it.
#[test]
fn a_response_that_was_overtaken_does_not_end_a_limit() {
    let mut limits = alone();
    limits.record(&entry(1), Declared::Value(rate(1.0)), 0, at(100));

    let overtaken = limits.record(&entry(1), Declared::Absent, 50, at(120));
    let later = limits.record(&entry(1), Declared::Absent, 110, at(150));

    assert_eq!(overtaken, None);
    assert_eq!(later.and_then(|change| change.limit), None);
    assert_eq!(limits.get("i-0"), None);
}

#[test]
fn a_malformed_limit_changes_nothing() {
    let mut limits = alone();
    limits.record(&entry(1), Declared::Value(rate(1.0)), 0, at(100));

    let change = limits.record(&entry(1), Declared::Malformed, 200, at(210));

    assert_eq!(change, None);
    assert_eq!(limits.get("i-0"), Some(rate(1.0)));
}

/// Guards against an old declaration that arrives late and restores a limit that has ended.
#[test]
fn the_newest_declaration_counts_in_any_order() {
    let updates = [
        update(1, Some(rate(1.0)), STORE_OFFSET_MS + 100),
        update(1, None, STORE_OFFSET_MS + 200),
        update(1, Some(rate(4.0)), STORE_OFFSET_MS + 50),
    ];
    for order in [[0, 1, 2], [2, 1, 0], [1, 0, 2], [1, 2, 0]] {
        let mut limits = alone();

        for index in order {
            limits.merge(updates[index].clone(), at(300));
        }

        assert_eq!(limits.get("i-0"), None, "{order:?}");
    }
}

/// Guards against a message with a wrong time that hides all later declarations.
#[test]
fn a_declaration_from_the_future_does_not_hide_later_ones() {
    let mut limits = alone();
    limits.merge(update(1, Some(rate(1.0)), u64::MAX), at(100));

    limits.record(&entry(1), Declared::Absent, 110, at(120));

    assert_eq!(limits.get("i-0"), None);
}

#[test]
fn the_limit_of_a_former_incarnation_is_replaced() {
    let mut limits = alone();
    limits.merge(update(1, Some(rate(1.0)), STORE_OFFSET_MS + 100), at(100));

    limits.merge(update(2, Some(rate(3.0)), STORE_OFFSET_MS + 50), at(110));

    assert_eq!(limits.get("i-0"), Some(rate(3.0)));
}

/// Guards against changes that pile up at an instance without peers, which never sends them.
#[test]
fn changes_of_servers_that_are_gone_are_not_kept() {
    let mut limits = alone();
    limits.record(&entry(1), Declared::Value(rate(1.0)), 0, at(100));

    limits.forget("i-0");

    assert!(limits.take_fresh(1).is_empty());
    assert!(limits.is_empty());
}

/// Guards against a table that grows without end.
#[test]
fn the_oldest_declarations_are_dropped() {
    let mut limits = alone();
    for index in 0..5_000 {
        let server = Entry {
            id: format!("i-{index}").into(),
            ..entry(1)
        };
        limits.record(&server, Declared::Value(rate(1.0)), 0, at(index));
    }

    assert_eq!(limits.count(), 4_096);
    assert_eq!(limits.get("i-0"), None);
    assert!(limits.take_fresh(usize::MAX).len() <= 4_096);
}

#[test]
fn the_number_of_assigned_instances_follows_the_limit() {
    assert_eq!(rate(0.0).assigned_count(), MIN_ASSIGNED);
    assert_eq!(rate(2.5).assigned_count(), 3);
    assert_eq!(rate(40.0).assigned_count(), 40);
}
