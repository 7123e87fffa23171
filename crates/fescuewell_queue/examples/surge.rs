//! Goodput through and after a surge of three times the capacity, with callers that retry, in virtual time.
//!
//! `cargo run --release -p fescuewell_queue --example surge`

#[allow(dead_code, reason = "each example uses its part of the model")]
mod model;

use std::time::Duration;

use fescuewell_core::prelude::*;
use fescuewell_queue::admission::{KindPolicy, Queue, Settings};
use fescuewell_queue::limit::{self, Limit};
use fescuewell_queue::retry::{Budget, BudgetSettings};
use model::{Callers, PER_TOKEN, Request, Router, TO_FIRST_TOKEN, Try, URGENT};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const SERVERS: usize = 4;
const PLACES: f64 = 16.0;
const MEAN_TOKENS: f64 = 100.0;
const SURGE_FROM: u64 = 60;
const SURGE_UNTIL: u64 = 90;
const LENGTH: u64 = 300;
const SURGE_LOAD: f64 = 3.0;
const CALLERS: Callers = Callers {
    patience: Duration::from_secs(10),
    tries: 5,
};

/// Requests a second that keep all places busy.
fn capacity() -> f64 {
    let service = MEAN_TOKENS * PER_TOKEN.as_secs_f64() + TO_FIRST_TOKEN.as_secs_f64();
    SERVERS as f64 * PLACES / service
}

fn load(usual: f64) -> Vec<Request> {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut requests = Vec::new();
    let mut at = 0.0;
    while at < LENGTH as f64 {
        let surges = (SURGE_FROM..SURGE_UNTIL).contains(&(at as u64));
        let load = if surges { SURGE_LOAD } else { usual };
        at += -(1.0 - rng.random::<f64>()).ln() / (load * capacity());
        let expected = MEAN_TOKENS * rng.random_range(0.5..1.5);
        let actual = expected * rng.random_range(0.8..1.2);
        requests.push(Request {
            at: Instant((at * 1e6) as u64),
            kind: URGENT,
            group: GroupKey(rng.random_range(0..10)),
            expected: Tokens(expected as u64),
            actual: Tokens(actual as u64),
        });
    }
    requests
}

/// What the compared routers do.
#[derive(Clone, Copy)]
struct Policy {
    name: &'static str,
    keeps_deadlines: bool,
    has_budget: bool,
    max_queued: usize,
}

const UNBOUNDED: usize = 1_000_000;

const POLICIES: [Policy; 5] = [
    Policy {
        name: "fescuewell",
        keeps_deadlines: true,
        has_budget: true,
        max_queued: 2_000,
    },
    Policy {
        name: "without retry budget",
        keeps_deadlines: true,
        has_budget: false,
        max_queued: 2_000,
    },
    Policy {
        name: "without deadlines",
        keeps_deadlines: false,
        has_budget: true,
        max_queued: 2_000,
    },
    Policy {
        name: "bounded queue alone",
        keeps_deadlines: false,
        has_budget: false,
        max_queued: 2_000,
    },
    Policy {
        name: "none of them",
        keeps_deadlines: false,
        has_budget: false,
        max_queued: UNBOUNDED,
    },
];

fn router(policy: Policy) -> Router {
    let settings = Settings {
        max_queued: policy.max_queued,
        group_factor: 2,
        ..Settings::default()
    };
    let mut admission = Queue::new(settings, 3);
    admission.set_kinds(&[KindPolicy {
        key: URGENT,
        priority: 0,
        floor_percent: 0,
    }]);
    let settings = limit::Settings::default();
    Router {
        admission,
        limits: vec![Limit::new(settings, PLACES); SERVERS],
        budget: policy
            .has_budget
            .then(|| Budget::new(BudgetSettings::default())),
        keeps_deadlines: policy.keeps_deadlines,
        preempt: None,
        is_blind: false,
    }
}

/// Tokens of good answers that ended in each second, as a share of the capacity.
fn goodput(requests: &[Request], tries: &[Try]) -> Vec<f64> {
    let mut tokens = vec![0.0; LENGTH as usize + 1];
    let good = tries.iter().filter(|each| each.is_good(&CALLERS));
    for each in good {
        let Some((at, _)) = each.ended else {
            continue;
        };
        let second = (at.0 / 1_000_000) as usize;
        if let Some(sum) = tokens.get_mut(second) {
            *sum += requests[each.request].actual.0 as f64;
        }
    }
    let whole = capacity() * MEAN_TOKENS;
    tokens.into_iter().map(|sum| sum / whole).collect()
}

/// Share of first tries of each second that were answered in time.
fn first_tries(tries: &[Try]) -> Vec<f64> {
    let mut counts = vec![(0.0, 0.0); LENGTH as usize + 1];
    for each in tries.iter().filter(|each| each.number == 0) {
        let second = (each.at.0 / 1_000_000) as usize;
        let (all, good) = &mut counts[second];
        *all += 1.0;
        *good += f64::from(u8::from(each.is_good(&CALLERS)));
    }
    counts.into_iter().map(|(all, good)| good / all).collect()
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len() as f64
}

/// Share of good first tries that counts as recovered, over [`STEADY_SECONDS`].
const RECOVERED: f64 = 0.99;
const STEADY_SECONDS: usize = 5;

/// Seconds after the surge from which first tries are answered again, and stay so.
fn recovery(first: &[f64]) -> Option<usize> {
    let after = &first[SURGE_UNTIL as usize..LENGTH as usize - 20];
    let bad = after
        .windows(STEADY_SECONDS)
        .rposition(|window| mean(window) < RECOVERED);
    match bad {
        None => Some(0),
        Some(last) if last + STEADY_SECONDS >= after.len() => None,
        Some(last) => Some(last + 1),
    }
}

fn main() {
    println!(
        "{:<22} {:>6} {:>9} {:>10} {:>10} {:>8} {:>9} {:>8}",
        "policy", "usual", "in surge", "5-15 after", "offered", "back s", "answered", "tries"
    );
    for usual in [0.5, 0.7, 0.9] {
        for policy in POLICIES {
            print(policy, usual);
        }
    }
}

fn print(policy: Policy, usual: f64) {
    let requests = load(usual);
    let end = Instant::default() + Duration::from_secs(LENGTH + 120);
    let tries = model::run(&requests, CALLERS, router(policy), end);
    let goodput = goodput(&requests, &tries);
    let (from, until) = (SURGE_FROM as usize, SURGE_UNTIL as usize);
    let back = recovery(&first_tries(&tries));
    let mut answered = vec![false; requests.len()];
    for each in tries.iter().filter(|each| each.is_good(&CALLERS)) {
        answered[each.request] = true;
    }
    let answered = answered.iter().filter(|&&good| good).count();
    println!(
        "{:<22} {:>6.2} {:>8.1}% {:>9.1}% {:>9.1}% {:>8} {:>8.1}% {:>8.2}",
        policy.name,
        usual,
        // The first seconds only fill the places.
        100.0 * mean(&goodput[from + 3..until]),
        100.0 * mean(&goodput[until + 5..until + 15]),
        100.0 * usual,
        back.map_or("never".into(), |seconds| seconds.to_string()),
        100.0 * answered as f64 / requests.len() as f64,
        tries.len() as f64 / requests.len() as f64,
    );
}
