//! Benchmark of the queue with 10,000 queued requests and 1,200 groups.
//!
//! `cargo run --release -p fescuewell_queue --example cost`

use std::collections::VecDeque;
use std::hint::black_box;
use std::time::{Duration, Instant as WallInstant};

use fescuewell_core::prelude::*;
use fescuewell_queue::admission::{Entry, KindPolicy, Queue, Settings};
use fescuewell_queue::limit::{Class, Limit, Outcome};
use fescuewell_queue::retry::{Budget, BudgetSettings};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const QUEUED: u64 = 10_000;
const GROUPS: u32 = 1_200;
const KINDS: u32 = 4;
const POOLS: u32 = 30;
const ROUNDS: u64 = 200_000;
const RUNNING: usize = 500;
const ROUND_MICROS: u64 = 10_000;

fn entry(rng: &mut SmallRng, ticket: u64, now: Instant) -> Entry {
    Entry {
        ticket,
        group: GroupKey(rng.random_range(0..GROUPS)),
        kind: KindKey(rng.random_range(0..KINDS)),
        pool: rng.random_range(0..POOLS),
        cost: Tokens(rng.random_range(50..2_000)),
        deadline: now + Duration::from_millis(rng.random_range(10_000_000..90_000_000)),
    }
}

fn filled(rng: &mut SmallRng) -> Queue {
    let settings = Settings {
        max_queued: 4 * QUEUED as usize,
        ..Settings::default()
    };
    let mut queue = Queue::new(settings, 1);
    let kinds = (0..KINDS).map(|index| KindPolicy {
        key: KindKey(index),
        priority: index as u8,
        floor_percent: 5 * index as u8,
    });
    queue.set_kinds(&kinds.collect::<Vec<_>>());
    for ticket in 0..QUEUED {
        let entry = entry(rng, ticket, Instant::default());
        queue.push(Instant::default(), entry).expect("room");
    }
    queue
}

fn report(name: &str, count: u64, since: WallInstant) {
    let each = since.elapsed().as_nanos() as f64 / count as f64;
    println!("{name:<44} {each:>10.0} ns");
}

fn main() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut queue = filled(&mut rng);
    let now = |round: u64| Instant(round * ROUND_MICROS);
    let entries: Vec<Entry> = (0..ROUNDS)
        .map(|round| entry(&mut rng, QUEUED + round, now(round)))
        .collect();

    let (mut push_time, mut pop_time, mut finish_time) =
        (Duration::ZERO, Duration::ZERO, Duration::ZERO);
    let mut running = VecDeque::new();
    let mut refused = 0;
    for (round, &entry) in (0..).zip(&entries) {
        let now = now(round);
        let start = WallInstant::now();
        refused += u32::from(queue.push(now, entry).is_err());
        let pushed = WallInstant::now();
        let started = queue.pop(now, &mut |_| true);
        let popped = WallInstant::now();
        running.extend(started);
        if running.len() > RUNNING
            && let Some(ended) = running.pop_front()
        {
            queue.finish(&ended, Some(Duration::from_secs(5)));
            queue.correct_cost(&ended, Tokens(ended.cost.0 / 2));
        }
        finish_time += popped.elapsed();
        pop_time += popped - pushed;
        push_time += pushed - start;
    }
    let each = |sum: Duration| sum.as_nanos() as f64 / ROUNDS as f64;
    println!("queued {}, refused {refused} of {ROUNDS}", queue.len());
    println!("{:<44} {:>10.0} ns", "push", each(push_time));
    println!("{:<44} {:>10.0} ns", "pop that starts", each(pop_time));
    println!(
        "{:<44} {:>10.0} ns",
        "finished and settled",
        each(finish_time)
    );

    let start = WallInstant::now();
    for round in 0..ROUNDS / 100 {
        black_box(queue.pop(now(ROUNDS + round), &mut |_| false));
    }
    report("pop that finds all pools full", ROUNDS / 100, start);

    let last = KindKey(KINDS - 1);
    let start = WallInstant::now();
    for round in 0..ROUNDS / 100 {
        let mut can_start = |entry: &Entry| entry.pool == POOLS - 1 && entry.kind == last;
        if let Some(started) = queue.pop(now(ROUNDS + round), &mut can_start) {
            queue.requeue(now(ROUNDS + round), started);
        }
    }
    report("pop after 29 full pools, and put back", ROUNDS / 100, start);

    let later = now(ROUNDS);
    let start = WallInstant::now();
    let given_up = queue.expire(later).len();
    report(
        &format!("expire that looks and gives up {given_up}"),
        1,
        start,
    );

    let mut limit = Limit::new(fescuewell_queue::limit::Settings::default(), 64.0);
    let outcome = Outcome::Done {
        per_token: Some(Duration::from_millis(20)),
    };
    let start = WallInstant::now();
    for round in 0..ROUNDS {
        black_box(limit.try_start(now(round), Class::Bulk));
        limit.finish(now(round), Class::Bulk, outcome);
    }
    report("limit: start and end", ROUNDS, start);

    let mut budget = Budget::new(BudgetSettings::default());
    let start = WallInstant::now();
    for round in 0..ROUNDS {
        budget.record_request(now(round));
        black_box(budget.try_retry(now(round)));
    }
    report("retry budget: first try and retry", ROUNDS, start);
}
