//! Waits of urgent work beside bulk work at three times the capacity, in virtual time.
//!
//! `cargo run --release -p fescuewell_queue --example waits`

#[allow(dead_code, reason = "each example uses its part of the model")]
mod model;

use std::time::Duration;

use fescuewell_core::prelude::*;
use fescuewell_queue::admission::{KindPolicy, Queue, Settings};
use fescuewell_queue::limit::{self, Limit};
use fescuewell_queue::preempt::{self, Policy};
use model::{Callers, End, PER_TOKEN, Request, Router, TO_FIRST_TOKEN, Try, URGENT};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const BULK: KindKey = KindKey(1);
const SERVERS: usize = 4;
const PLACES: f64 = 16.0;
const FLOOR_PERCENT: u8 = 10;
const LENGTH: Duration = Duration::from_secs(1_200);
const WARM_UP: Duration = Duration::from_secs(120);
const URGENT_TOKENS: f64 = 100.0;
const BULK_TOKENS: f64 = 600.0;
const CALLERS: Callers = Callers {
    patience: Duration::from_secs(120),
    tries: 1,
};

/// Poisson arrivals of one kind at `load` times the capacity, with costs of exponential distribution.
fn arrivals(rng: &mut SmallRng, kind: KindKey, load: f64, mean_tokens: f64) -> Vec<Request> {
    let mut requests = Vec::new();
    if load <= 0.0 {
        return requests;
    }
    let service = mean_tokens * PER_TOKEN.as_secs_f64() + TO_FIRST_TOKEN.as_secs_f64();
    let per_second = load * SERVERS as f64 * PLACES / service;
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

/// Urgent work comes all the time, or only in the first part of each cycle.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Shape {
    Steady,
    Bursts,
}

const CYCLE_SECONDS: u64 = 150;
const BURST_SECONDS: u64 = 30;

fn load(shape: Shape, urgent: f64, bulk: f64) -> Vec<Request> {
    // Separate seeds: the urgent arrivals are the same with and without bulk work.
    let mut rng = SmallRng::seed_from_u64(1);
    let mut requests = arrivals(&mut rng, URGENT, urgent, URGENT_TOKENS);
    if shape == Shape::Bursts {
        requests.retain(|request| request.at.0 / 1_000_000 % CYCLE_SECONDS < BURST_SECONDS);
    }
    let mut rng = SmallRng::seed_from_u64(2);
    requests.extend(arrivals(&mut rng, BULK, bulk, BULK_TOKENS));
    requests
}

/// What the compared routers do.
#[derive(Clone, Copy)]
struct Variant {
    name: &'static str,
    is_blind: bool,
    preempts: bool,
    limit: fn() -> limit::Settings,
}

const VARIANTS: [Variant; 5] = [
    Variant {
        name: "reserve, preemption",
        is_blind: false,
        preempts: true,
        limit: limit::Settings::default,
    },
    Variant {
        name: "mean reserve, preempt.",
        is_blind: false,
        preempts: true,
        limit: mean_reserve,
    },
    Variant {
        name: "reserve alone",
        is_blind: false,
        preempts: false,
        limit: limit::Settings::default,
    },
    Variant {
        name: "no reserve",
        is_blind: false,
        preempts: false,
        limit: no_reserve,
    },
    Variant {
        name: "first come, no kinds",
        is_blind: true,
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
    let mut admission = Queue::new(Settings::default(), 3);
    admission.set_kinds(&[
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
        admission,
        limits: vec![Limit::new((variant.limit)(), PLACES); SERVERS],
        budget: None,
        keeps_deadlines: true,
        preempt: variant.preempts.then_some(policy),
        is_blind: variant.is_blind,
    }
}

struct Figures {
    wait: [Duration; 3],
    bulk_share: f64,
    urgent_refused: usize,
    used: f64,
    /// Pauses for each hundred bulk requests that started.
    pauses: f64,
    cut: usize,
    vanished: usize,
}

fn measure(requests: &[Request], router: Router) -> Figures {
    let end = Instant::default() + LENGTH + Duration::from_secs(300);
    let tries = model::run(requests, CALLERS, router, end);
    let from = Instant::default() + WARM_UP;
    let until = Instant::default() + LENGTH;
    let kind = |each: &Try| requests[each.request].kind;
    let counted = tries
        .iter()
        .filter(|each| each.at >= from && each.at < until);
    let mut waits: Vec<Duration> = counted
        .filter(|each| kind(each) == URGENT)
        .filter_map(|each| Some(each.started?.since(each.at)))
        .collect();
    waits.sort();
    let quantile = |share: f64| waits[((waits.len() - 1) as f64 * share) as usize];
    let mut tokens = [0.0; 2];
    for each in &tries {
        if each.started.is_some_and(|at| at >= from && at < until) {
            let request = requests[each.request];
            tokens[request.kind.0 as usize] += request.actual.0 as f64;
        }
    }
    let window = until.since(from).as_secs_f64();
    let capacity = SERVERS as f64 * PLACES * window / PER_TOKEN.as_secs_f64();
    let bulk = tries.iter().filter(|each| kind(each) == BULK);
    let started = bulk.filter(|each| each.started.is_some());
    let pauses: Vec<u32> = started.map(|each| each.pauses).collect();
    let is_cut = |each: &&Try| matches!(each.ended, Some((_, End::Cut)));
    let is_refused = |each: &&Try| matches!(each.ended, Some((_, End::Refused(_))));
    Figures {
        wait: [quantile(0.5), quantile(0.95), quantile(0.99)],
        bulk_share: tokens[1] / (tokens[0] + tokens[1]),
        urgent_refused: tries
            .iter()
            .filter(is_refused)
            .filter(|each| kind(each) == URGENT)
            .count(),
        used: (tokens[0] + tokens[1]) / capacity,
        pauses: 100.0 * f64::from(pauses.iter().sum::<u32>()) / pauses.len().max(1) as f64,
        cut: tries.iter().filter(is_cut).count(),
        vanished: tries.iter().filter(|each| each.ended.is_none()).count(),
    }
}

fn print(name: &str, urgent: f64, figures: &Figures, alone: &Figures) {
    let first = |figures: &Figures| (figures.wait[1] + TO_FIRST_TOKEN).as_secs_f64();
    let [median, p95, p99] = figures.wait.map(|wait| wait.as_secs_f64() * 1e3);
    println!(
        "{name:<24} {urgent:>6.2} {median:>8.1} {p95:>8.1} {p99:>8.1} {:>9.2} {:>6.1}% {:>6.1}% {:>6} {:>6} {:>6.1} {:>8}",
        first(figures) / first(alone),
        figures.bulk_share * 100.0,
        figures.used * 100.0,
        figures.urgent_refused,
        figures.cut,
        figures.pauses,
        figures.vanished,
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
                let figures = measure(&both, router(variant));
                print(variant.name, urgent, &figures, &alone);
            }
        }
    }
}
