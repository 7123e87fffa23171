//! Property tests of the queue with random histories. The seed is fixed, so that all runs give the same result.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use fescuewell_core::prelude::*;
use fescuewell_queue::admission::{Entry, GroupPolicy, KindPolicy, Queue, Settings};
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};

const MAX_QUEUED: usize = 60;
const KINDS: u32 = 3;
const FLOORS: [u8; KINDS as usize] = [0, 10, 20];
const CASES: u32 = 64;

fn runner() -> TestRunner {
    let config = ProptestConfig {
        cases: CASES,
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    TestRunner::new_with_rng(config, rng)
}

fn policies() -> Vec<KindPolicy> {
    let kinds = (0..KINDS).map(|index| KindPolicy {
        key: KindKey(index),
        priority: index as u8,
        floor_percent: FLOORS[index as usize],
    });
    kinds.collect()
}

#[derive(Debug, Clone)]
enum Step {
    Push {
        group: u32,
        kind: u32,
        pool: u32,
        cost: u64,
        patience: u64,
    },
    /// Pops until `None`, with `places` free places in each of pools 0 and 1 and one in pool 2.
    Pop {
        places: u32,
    },
    Requeue,
    Settle {
        actual: u64,
    },
    Remove {
        ticket: u64,
    },
    Expire,
    DropKind {
        kind: u32,
    },
    RestoreKinds,
    SetWeight {
        group: u32,
        weight: u32,
    },
    Wait {
        millis: u64,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let push = (0..6u32, 0..KINDS, 0..3u32, 1..2_000u64, 1..20_000u64);
    prop_oneof![
        10 => push.prop_map(|(group, kind, pool, cost, patience)| Step::Push { group, kind, pool, cost, patience }),
        5 => (0..4u32).prop_map(|places| Step::Pop { places }),
        1 => Just(Step::Requeue),
        2 => (0..4_000u64).prop_map(|actual| Step::Settle { actual }),
        1 => (0..200u64).prop_map(|ticket| Step::Remove { ticket }),
        2 => Just(Step::Expire),
        1 => (0..KINDS).prop_map(|kind| Step::DropKind { kind }),
        1 => Just(Step::RestoreKinds),
        1 => (0..6u32, 0..5u32).prop_map(|(group, weight)| Step::SetWeight { group, weight }),
        3 => (0..2_000u64).prop_map(|millis| Step::Wait { millis }),
    ]
}

/// The queue together with a reference model of its content.
struct Model {
    queue: Queue,
    now: Instant,
    next_ticket: u64,
    queued: HashMap<u64, Entry>,
    running: Vec<Entry>,
}

impl Model {
    fn new() -> Self {
        let settings = Settings {
            max_queued: MAX_QUEUED,
            max_bypasses: 3,
            ..Settings::default()
        };
        let mut queue = Queue::new(settings, 5);
        queue.set_kinds(&policies());
        Self {
            queue,
            now: Instant::from_millis(0),
            next_ticket: 0,
            queued: HashMap::new(),
            running: Vec::new(),
        }
    }

    fn remove_queued(&mut self, entry: &Entry) {
        assert_eq!(self.queued.remove(&entry.ticket), Some(*entry));
    }

    fn push(&mut self, entry: Entry) {
        self.next_ticket += 1;
        if self.queue.push(self.now, entry).is_ok() {
            self.queued.insert(entry.ticket, entry);
        }
        assert!(self.queue.len() <= MAX_QUEUED);
    }

    fn pop(&mut self, places: u32) {
        let mut free = BTreeMap::from([(0, places), (1, places), (2, 1)]);
        loop {
            let mut can_start = |entry: &Entry| {
                let free = free.get_mut(&entry.pool).expect("three pools");
                let starts = *free > 0 && !entry.cost.0.is_multiple_of(7);
                *free -= u32::from(starts);
                starts
            };
            let Some(entry) = self.queue.pop(self.now, &mut can_start) else {
                return;
            };
            self.remove_queued(&entry);
            self.running.push(entry);
        }
    }

    fn requeue(&mut self) {
        // A full queue accepts requeued requests, so the bound does not apply to them; the test skips that case.
        let Some(entry) = self.running.pop() else {
            return;
        };
        if self.queue.len() == MAX_QUEUED {
            return;
        }
        self.queue.requeue(self.now, entry);
        self.queued.insert(entry.ticket, entry);
    }

    fn settle(&mut self, actual: u64) {
        let Some(entry) = self.running.pop() else {
            return;
        };
        self.queue
            .finish(&entry, Some(Duration::from_millis(actual)));
        self.queue.correct_cost(&entry, Tokens(actual));
    }

    fn expire(&mut self) {
        for entry in self.queue.expire(self.now) {
            self.remove_queued(&entry);
        }
        let late = self.queued.values().any(|entry| entry.deadline <= self.now);
        assert!(!late, "held past its deadline");
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Push {
                group,
                kind,
                pool,
                cost,
                patience,
            } => self.push(Entry {
                ticket: self.next_ticket,
                group: GroupKey(group),
                kind: KindKey(kind),
                pool,
                cost: Tokens(cost),
                deadline: self.now + Duration::from_millis(patience),
            }),
            Step::Pop { places } => self.pop(places),
            Step::Requeue => self.requeue(),
            Step::Settle { actual } => self.settle(actual),
            Step::Remove { ticket } => {
                let removed = self.queue.remove(self.now, ticket);
                assert_eq!(removed, self.queued.remove(&ticket));
            }
            Step::Expire => self.expire(),
            Step::DropKind { kind } => {
                let mut left = policies();
                left.remove(kind as usize);
                self.queue.set_kinds(&left);
            }
            Step::RestoreKinds => self.queue.set_kinds(&policies()),
            Step::SetWeight { group, weight } => self.queue.set_groups(&[GroupPolicy {
                key: GroupKey(group),
                weight,
            }]),
            Step::Wait { millis } => self.now = self.now + Duration::from_millis(millis),
        }
        assert_eq!(self.queue.len(), self.queued.len());
    }

    /// Checks that all queued requests start if there is capacity for them.
    fn drain(&mut self) {
        while let Some(entry) = self.queue.pop(self.now, &mut |_| true) {
            self.remove_queued(&entry);
        }
        assert!(self.queued.is_empty(), "{:?}", self.queued);
        let depths = (0..KINDS).map(|kind| self.queue.depth(KindKey(kind)));
        assert_eq!(depths.sum::<usize>(), 0);
    }
}

#[test]
fn every_accepted_request_leaves_exactly_once_and_the_queue_stays_bounded() {
    // Guards against requests that are neither started nor refused, or started twice, under pushes, starts, failed sends,
    // cancellations, deadlines and new documents in random order.
    let histories = prop::collection::vec(step(), 1..300);
    let result = runner().run(&histories, |history| {
        let mut model = Model::new();
        for step in &history {
            model.apply(step);
        }
        model.drain();
        Ok(())
    });
    result.unwrap();
}

fn waiting(ticket: u64, group: u32, kind: u32, cost: u64) -> Entry {
    Entry {
        ticket,
        group: GroupKey(group),
        kind: KindKey(kind),
        pool: 0,
        cost: Tokens(cost),
        deadline: Instant::from_millis(1_000_000),
    }
}

fn large_queue() -> Queue {
    let settings = Settings {
        max_queued: 100_000,
        group_factor: 1_000,
        ..Settings::default()
    };
    let mut queue = Queue::new(settings, 5);
    queue.set_kinds(&policies());
    queue
}

#[test]
fn groups_that_wait_all_the_time_get_tokens_by_weight() {
    // Bound of start-time fair queueing: the normalized service of two groups that both wait differs by at most the
    // largest request of each.
    let groups = prop::collection::vec((1..6u32, 1..1_500u64), 2..8);
    let result = runner().run(&groups, |groups| {
        let mut queue = large_queue();
        let now = Instant::from_millis(0);
        let weights = groups
            .iter()
            .zip(0..)
            .map(|(&(weight, _), group)| GroupPolicy {
                key: GroupKey(group),
                weight,
            });
        queue.set_groups(&weights.collect::<Vec<_>>());
        let mut ticket = 0;
        for _ in 0..200 {
            for (&(_, max_cost), group) in groups.iter().zip(0..) {
                ticket += 1;
                let cost = 1 + ticket * 7919 % max_cost;
                queue.push(now, waiting(ticket, group, 0, cost)).unwrap();
            }
        }
        let mut served = vec![0f64; groups.len()];
        // 100 starts do not exhaust any group, since each has 200 requests.
        for _ in 0..100 {
            let entry = queue.pop(now, &mut |_| true).unwrap();
            served[entry.group.0 as usize] += entry.cost.0 as f64;
            for (&(weight, max_cost), &tokens) in groups.iter().zip(&served) {
                for (&(other_weight, other_max_cost), &other_tokens) in groups.iter().zip(&served) {
                    let own = tokens / f64::from(weight);
                    let other = other_tokens / f64::from(other_weight);
                    let bound = max_cost as f64 / f64::from(weight)
                        + other_max_cost as f64 / f64::from(other_weight);
                    prop_assert!((own - other).abs() <= bound + 1.0);
                }
            }
        }
        Ok(())
    });
    result.unwrap();
}

#[test]
fn kinds_that_wait_all_the_time_get_their_floors_and_the_rest_goes_in_order() {
    let costs = prop::collection::vec(1..800u64, 3..30);
    let result = runner().run(&costs, |costs| {
        let mut queue = large_queue();
        let now = Instant::from_millis(0);
        let mut ticket = 0;
        for _ in 0..(3_000 / costs.len()) {
            for &cost in &costs {
                for kind in 0..KINDS {
                    ticket += 1;
                    let entry = waiting(ticket, 0, kind, cost);
                    queue.push(now, entry).unwrap();
                }
            }
        }
        let mut started = [0u64; KINDS as usize];
        for _ in 0..1_000 {
            let entry = queue.pop(now, &mut |_| true).unwrap();
            started[entry.kind.0 as usize] += entry.cost.0;
        }
        let total: u64 = started.iter().sum();
        let largest = costs.iter().max().copied().unwrap_or(0);
        for (&tokens, &floor) in started.iter().zip(&FLOORS).skip(1) {
            let expected = total * u64::from(floor) / 100;
            prop_assert!(tokens.abs_diff(expected) <= 2 * largest, "{started:?}");
        }
        Ok(())
    });
    result.unwrap();
}

#[test]
fn requests_of_one_group_and_kind_start_in_the_order_of_arrival() {
    let arrivals = prop::collection::vec((0..4u32, 0..KINDS, 1..500u64), 1..200);
    let result = runner().run(&arrivals, |arrivals| {
        let mut queue = large_queue();
        let now = Instant::from_millis(0);
        for (&(group, kind, cost), ticket) in arrivals.iter().zip(0..) {
            queue.push(now, waiting(ticket, group, kind, cost)).unwrap();
        }
        let mut last: HashMap<(GroupKey, KindKey), u64> = HashMap::new();
        let mut seen = BTreeSet::new();
        while let Some(entry) = queue.pop(now, &mut |_| true) {
            let before = last.insert((entry.group, entry.kind), entry.ticket);
            prop_assert!(before.is_none_or(|before| before < entry.ticket));
            prop_assert!(seen.insert(entry.ticket));
        }
        prop_assert_eq!(seen.len(), arrivals.len());
        Ok(())
    });
    result.unwrap();
}
