//! Properties of the queue under random histories; the seed is fixed, so every run gives the same verdict.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use fescuewell_core::prelude::*;
use fescuewell_queue::admission::{Entry, GroupPolicy, KindPolicy, Queue, Settings};
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};

const MOST_QUEUED: usize = 60;
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
    /// Pop until `None` with so many free places in each pool.
    Pop {
        places: u32,
    },
    PutBack,
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
    Reweigh {
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
        1 => Just(Step::PutBack),
        2 => (0..4_000u64).prop_map(|actual| Step::Settle { actual }),
        1 => (0..200u64).prop_map(|ticket| Step::Remove { ticket }),
        2 => Just(Step::Expire),
        1 => (0..KINDS).prop_map(|kind| Step::DropKind { kind }),
        1 => Just(Step::RestoreKinds),
        1 => (0..6u32, 0..5u32).prop_map(|(group, weight)| Step::Reweigh { group, weight }),
        3 => (0..2_000u64).prop_map(|millis| Step::Wait { millis }),
    ]
}

/// The queue with a plain account of what is inside.
struct Model {
    admission: Queue,
    now: Instant,
    next: u64,
    inside: HashMap<u64, Entry>,
    running: Vec<Entry>,
}

impl Model {
    fn new() -> Self {
        let settings = Settings {
            max_queued: MOST_QUEUED,
            max_bypasses: 3,
            ..Settings::default()
        };
        let mut admission = Queue::new(settings, 5);
        admission.set_kinds(&policies());
        Self {
            admission,
            now: Instant::from_millis(0),
            next: 0,
            inside: HashMap::new(),
            running: Vec::new(),
        }
    }

    fn leave(&mut self, entry: &Entry) {
        assert_eq!(self.inside.remove(&entry.ticket), Some(*entry));
    }

    fn push(&mut self, entry: Entry) {
        self.next += 1;
        if self.admission.push(self.now, entry).is_ok() {
            self.inside.insert(entry.ticket, entry);
        }
        assert!(self.admission.len() <= MOST_QUEUED);
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
            let Some(entry) = self.admission.pop(self.now, &mut can_start) else {
                return;
            };
            self.leave(&entry);
            self.running.push(entry);
        }
    }

    fn requeue(&mut self) {
        // A full queue takes back what it gave out, so the bound does not apply here.
        let Some(entry) = self.running.pop() else {
            return;
        };
        if self.admission.len() == MOST_QUEUED {
            return;
        }
        self.admission.requeue(self.now, entry);
        self.inside.insert(entry.ticket, entry);
    }

    fn settle(&mut self, actual: u64) {
        let Some(entry) = self.running.pop() else {
            return;
        };
        self.admission
            .finish(&entry, Some(Duration::from_millis(actual)));
        self.admission.correct_cost(&entry, Tokens(actual));
    }

    fn expire(&mut self) {
        for entry in self.admission.expire(self.now) {
            self.leave(&entry);
        }
        let late = self.inside.values().any(|entry| entry.deadline <= self.now);
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
                ticket: self.next,
                group: GroupKey(group),
                kind: KindKey(kind),
                pool,
                cost: Tokens(cost),
                deadline: self.now + Duration::from_millis(patience),
            }),
            Step::Pop { places } => self.pop(places),
            Step::PutBack => self.requeue(),
            Step::Settle { actual } => self.settle(actual),
            Step::Remove { ticket } => {
                let removed = self.admission.remove(self.now, ticket);
                assert_eq!(removed, self.inside.remove(&ticket));
            }
            Step::Expire => self.expire(),
            Step::DropKind { kind } => {
                let mut left = policies();
                left.remove(kind as usize);
                self.admission.set_kinds(&left);
            }
            Step::RestoreKinds => self.admission.set_kinds(&policies()),
            Step::Reweigh { group, weight } => self.admission.set_groups(&[GroupPolicy {
                key: GroupKey(group),
                weight,
            }]),
            Step::Wait { millis } => self.now = self.now + Duration::from_millis(millis),
        }
        assert_eq!(self.admission.len(), self.inside.len());
    }

    /// All that is left starts once there is room for everything.
    fn drain(&mut self) {
        while let Some(entry) = self.admission.pop(self.now, &mut |_| true) {
            self.leave(&entry);
        }
        assert!(self.inside.is_empty(), "{:?}", self.inside);
        let depths = (0..KINDS).map(|kind| self.admission.depth(KindKey(kind)));
        assert_eq!(depths.sum::<usize>(), 0);
    }
}

#[test]
fn every_accepted_request_leaves_exactly_once_and_the_queue_stays_bounded() {
    // Symptom looked for: a request that is neither started nor refused, or started twice.
    // Sequence: pushes, starts, failed sends, cancellations, deadlines, new documents in random order.
    let histories = prop::collection::vec(step(), 1..300);
    let verdict = runner().run(&histories, |history| {
        let mut model = Model::new();
        for step in &history {
            model.apply(step);
        }
        model.drain();
        Ok(())
    });
    verdict.unwrap();
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

fn roomy() -> Queue {
    let settings = Settings {
        max_queued: 100_000,
        group_factor: 1_000,
        ..Settings::default()
    };
    let mut admission = Queue::new(settings, 5);
    admission.set_kinds(&policies());
    admission
}

#[test]
fn groups_that_wait_all_the_time_get_tokens_by_weight() {
    // Bound of start-time fair queueing: normalized service of two groups that both wait differs by at
    // most one largest request of each.
    let groups = prop::collection::vec((1..6u32, 1..1_500u64), 2..8);
    let verdict = runner().run(&groups, |groups| {
        let mut admission = roomy();
        let now = Instant::from_millis(0);
        let weights = groups
            .iter()
            .zip(0..)
            .map(|(&(weight, _), group)| GroupPolicy {
                key: GroupKey(group),
                weight,
            });
        admission.set_groups(&weights.collect::<Vec<_>>());
        let mut ticket = 0;
        for _ in 0..200 {
            for (&(_, most), group) in groups.iter().zip(0..) {
                ticket += 1;
                let cost = 1 + ticket * 7919 % most;
                admission
                    .push(now, waiting(ticket, group, 0, cost))
                    .unwrap();
            }
        }
        let mut served = vec![0f64; groups.len()];
        // While nobody has run out: each group has 200 requests.
        for _ in 0..100 {
            let entry = admission.pop(now, &mut |_| true).unwrap();
            served[entry.group.0 as usize] += entry.cost.0 as f64;
            for (&(weight, most), &tokens) in groups.iter().zip(&served) {
                for (&(other_weight, other_most), &other_tokens) in groups.iter().zip(&served) {
                    let own = tokens / f64::from(weight);
                    let other = other_tokens / f64::from(other_weight);
                    let bound = most as f64 / f64::from(weight)
                        + other_most as f64 / f64::from(other_weight);
                    prop_assert!((own - other).abs() <= bound + 1.0);
                }
            }
        }
        Ok(())
    });
    verdict.unwrap();
}

#[test]
fn kinds_that_wait_all_the_time_get_their_floors_and_the_rest_goes_in_order() {
    let costs = prop::collection::vec(1..800u64, 3..30);
    let verdict = runner().run(&costs, |costs| {
        let mut admission = roomy();
        let now = Instant::from_millis(0);
        let mut ticket = 0;
        for _ in 0..(3_000 / costs.len()) {
            for &cost in &costs {
                for kind in 0..KINDS {
                    ticket += 1;
                    let entry = waiting(ticket, 0, kind, cost);
                    admission.push(now, entry).unwrap();
                }
            }
        }
        let mut started = [0u64; KINDS as usize];
        for _ in 0..1_000 {
            let entry = admission.pop(now, &mut |_| true).unwrap();
            started[entry.kind.0 as usize] += entry.cost.0;
        }
        let total: u64 = started.iter().sum();
        let largest = costs.iter().max().copied().unwrap_or(0);
        for (&tokens, &floor) in started.iter().zip(&FLOORS).skip(1) {
            let promised = total * u64::from(floor) / 100;
            prop_assert!(tokens.abs_diff(promised) <= 2 * largest, "{started:?}");
        }
        Ok(())
    });
    verdict.unwrap();
}

#[test]
fn requests_of_one_group_and_kind_start_in_the_order_of_arrival() {
    let arrivals = prop::collection::vec((0..4u32, 0..KINDS, 1..500u64), 1..200);
    let verdict = runner().run(&arrivals, |arrivals| {
        let mut admission = roomy();
        let now = Instant::from_millis(0);
        for (&(group, kind, cost), ticket) in arrivals.iter().zip(0..) {
            admission
                .push(now, waiting(ticket, group, kind, cost))
                .unwrap();
        }
        let mut last: HashMap<(GroupKey, KindKey), u64> = HashMap::new();
        let mut seen = BTreeSet::new();
        while let Some(entry) = admission.pop(now, &mut |_| true) {
            let before = last.insert((entry.group, entry.kind), entry.ticket);
            prop_assert!(before.is_none_or(|before| before < entry.ticket));
            prop_assert!(seen.insert(entry.ticket));
        }
        prop_assert_eq!(seen.len(), arrivals.len());
        Ok(())
    });
    verdict.unwrap();
}
