//! Waiting times of urgent requests next to bulk requests at three times the capacity, in virtual time.
//!
//! `cargo run --release -p fescuewell_queue --example waits`

#[allow(dead_code, reason = "each example uses its part of the model")]
mod model;

use std::time::Duration;

use fescuewell_core::prelude::*;
use fescuewell_queue::admission::{KindPolicy, Queue, Settings};
use fescuewell_queue::limit::{self, Limit};
use fescuewell_queue::preempt::{self, Policy};
use model::{Attempt, Callers, End, Request, Router, TIME_PER_TOKEN, TIME_TO_FIRST_TOKEN, URGENT};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const BULK: KindKey = KindKey(1);
const SERVERS: usize = 4;
const CONCURRENCY: f64 = 16.0;
const FLOOR_PERCENT: u8 = 10;
const LENGTH: Duration = Duration::from_secs(1_200);
const WARM_UP: Duration = Duration::from_secs(120);
const URGENT_TOKENS: f64 = 100.0;
const BULK_TOKENS: f64 = 600.0;
const CALLERS: Callers = Callers {
    timeout: Duration::from_secs(120),
    max_attempts: 1,
};

/// Returns Poisson arrivals of one kind at `load` times the capacity, with exponentially distributed costs.
fn arrivals(rng: &mut SmallRng, kind: KindKey, load: f64, mean_tokens: f64) -> Vec<Request> {
    let mut requests = Vec::new();
    if load <= 0.0 {
        return requests;
    }
    let service = mean_tokens * TIME_PER_TOKEN.as_secs_f64() + TIME_TO_FIRST_TOKEN.as_secs_f64();
    let per_second = load * SERVERS as f64 * CONCURRENCY / service;
    let mut at = 0.0;
    while at < LENGTH.as_secs_f64() {
        at += -(1.0 - rng.random::<f64>()).ln() / per_second;
        let cost = (-(1.0 - rng.random::<f64>()).ln() * mean_tokens).clamp(1.0, 2_000.0);
        requests.push(Request {
            at: Instant((at * 1e6) as u64),
            kind,
            group: GroupKey(rng.random_range(0..10)),
            expected: Tokens(mean_tokens as u64),
            actual: Tokens(cost as u64),
        });
    }
    requests
}

/// Whether urgent requests arrive all the time or only in the first part of each cycle.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Shape {
    Steady,
    Bursts,
}

const CYCLE_SECONDS: u64 = 150;
const BURST_SECONDS: u64 = 30;

fn load(shape: Shape, urgent: f64, bulk: f64) -> Vec<Request> {
    // Separate seeds, so that the urgent arrivals are the same with and without bulk requests.
    let mut rng = SmallRng::seed_from_u64(1);
    let mut requests = arrivals(&mut rng, URGENT, urgent, URGENT_TOKENS);
    if shape == Shape::Bursts {
        requests.retain(|request| request.at.0 / 1_000_000 % CYCLE_SECONDS < BURST_SECONDS);
    }
    let mut rng = SmallRng::seed_from_u64(2);
    requests.extend(arrivals(&mut rng, BULK, bulk, BULK_TOKENS));
    requests
}

/// Configuration of a simulated router.
#[derive(Clone, Copy)]
struct Variant {
    name: &'static str,
    ignores_kinds: bool,
    preempts: bool,
    limit: fn() -> limit::Settings,
}

const VARIANTS: [Variant; 5] = [
    Variant {
        name: "reserve, preemption",
        ignores_kinds: false,
        preempts: true,
        limit: limit::Settings::default,
    },
    Variant {
        name: "mean reserve, preempt.",
        ignores_kinds: false,
        preempts: true,
        limit: mean_reserve,
    },
    Variant {
        name: "reserve alone",
        ignores_kinds: false,
        preempts: false,
        limit: limit::Settings::default,
    },
    Variant {
        name: "no reserve",
        ignores_kinds: false,
        preempts: false,
        limit: no_reserve,
    },
    Variant {
        name: "first come, no kinds",
        ignores_kinds: true,
        preempts: false,
        limit: no_reserve,
    },
];

fn mean_reserve() -> limit::Settings {
    limit::Settings {
        reserve_deviations: 0.0,
        ..limit::Settings::default()
    }
}

fn no_reserve() -> limit::Settings {
    limit::Settings {
        reserve_percent: 0,
        min_bulk_percent: 100,
        ..limit::Settings::default()
    }
}

fn router(variant: Variant) -> Router {
    let mut queue = Queue::new(Settings::default(), 3);
    queue.set_kinds(&[
        KindPolicy {
            key: URGENT,
            priority: 0,
            floor_percent: 0,
        },
        KindPolicy {
            key: BULK,
            priority: 5,
            floor_percent: FLOOR_PERCENT,
        },
    ]);
    let policy = Policy::new(preempt::Settings::default());
    Router {
        queue,
        limits: vec![Limit::new((variant.limit)(), CONCURRENCY); SERVERS],
        budget: None,
        enforces_deadlines: true,
        preemption: variant.preempts.then_some(policy),
        ignores_kinds: variant.ignores_kinds,
    }
}

struct Measurements {
    wait: [Duration; 3],
    bulk_share: f64,
    urgent_refused: usize,
    utilization: f64,
    /// Pauses per hundred started bulk requests.
    pauses: f64,
    cancelled: usize,
    unfinished: usize,
}

fn measure(requests: &[Request], router: Router) -> Measurements {
    let end = Instant::default() + LENGTH + Duration::from_secs(300);
    let attempts = model::run(requests, CALLERS, router, end);
    let from = Instant::default() + WARM_UP;
    let until = Instant::default() + LENGTH;
    let kind = |attempt: &Attempt| requests[attempt.request].kind;
    let counted = attempts
        .iter()
        .filter(|attempt| attempt.at >= from && attempt.at < until);
    let mut waits: Vec<Duration> = counted
        .filter(|attempt| kind(attempt) == URGENT)
        .filter_map(|attempt| Some(attempt.started?.since(attempt.at)))
        .collect();
    waits.sort();
    let quantile = |share: f64| waits[((waits.len() - 1) as f64 * share) as usize];
    let mut tokens = [0.0; 2];
    for attempt in &attempts {
        if attempt.started.is_some_and(|at| at >= from && at < until) {
            let request = requests[attempt.request];
            tokens[request.kind.0 as usize] += request.actual.0 as f64;
        }
    }
    let window = until.since(from).as_secs_f64();
    let capacity = SERVERS as f64 * CONCURRENCY * window / TIME_PER_TOKEN.as_secs_f64();
    let bulk = attempts.iter().filter(|attempt| kind(attempt) == BULK);
    let started = bulk.filter(|attempt| attempt.started.is_some());
    let pauses: Vec<u32> = started.map(|attempt| attempt.pauses).collect();
    let is_cancelled = |attempt: &&Attempt| matches!(attempt.ended, Some((_, End::Cancelled)));
    let is_refused = |attempt: &&Attempt| matches!(attempt.ended, Some((_, End::Refused(_))));
    Measurements {
        wait: [quantile(0.5), quantile(0.95), quantile(0.99)],
        bulk_share: tokens[1] / (tokens[0] + tokens[1]),
        urgent_refused: attempts
            .iter()
            .filter(is_refused)
            .filter(|attempt| kind(attempt) == URGENT)
            .count(),
        utilization: (tokens[0] + tokens[1]) / capacity,
        pauses: 100.0 * f64::from(pauses.iter().sum::<u32>()) / pauses.len().max(1) as f64,
        cancelled: attempts.iter().filter(is_cancelled).count(),
        unfinished: attempts
            .iter()
            .filter(|attempt| attempt.ended.is_none())
            .count(),
    }
}

fn print(name: &str, urgent: f64, measurements: &Measurements, alone: &Measurements) {
    let p95_to_first_token =
        |measurements: &Measurements| (measurements.wait[1] + TIME_TO_FIRST_TOKEN).as_secs_f64();
    let [median, p95, p99] = measurements.wait.map(|wait| wait.as_secs_f64() * 1e3);
    println!(
        "{name:<24} {urgent:>6.2} {median:>8.1} {p95:>8.1} {p99:>8.1} {:>9.2} {:>6.1}% {:>6.1}% {:>6} {:>6} {:>6.1} {:>8}",
        p95_to_first_token(measurements) / p95_to_first_token(alone),
        measurements.bulk_share * 100.0,
        measurements.utilization * 100.0,
        measurements.urgent_refused,
        measurements.cancelled,
        measurements.pauses,
        measurements.unfinished,
    );
}

fn main() {
    println!(
        "{:<24} {:>6} {:>8} {:>8} {:>8} {:>9} {:>7} {:>7} {:>6} {:>6} {:>6} {:>8}",
        "bulk at 3x",
        "urgent",
        "p50 ms",
        "p95 ms",
        "p99 ms",
        "first/al.",
        "bulk",
        "used",
        "refus.",
        "cut",
        "pauses",
        "vanished"
    );
    for shape in [Shape::Steady, Shape::Bursts] {
        println!("urgent work: {shape:?}");
        for urgent in [0.1, 0.3, 0.5, 0.6, 0.7, 1.5] {
            let alone = measure(&load(shape, urgent, 0.0), router(VARIANTS[0]));
            print("urgent alone", urgent, &alone, &alone);
            let both = load(shape, urgent, 3.0);
            for variant in VARIANTS {
                let measurements = measure(&both, router(variant));
                print(variant.name, urgent, &measurements, &alone);
            }
        }
    }
}
