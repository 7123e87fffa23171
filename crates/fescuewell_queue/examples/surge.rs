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
use model::{Attempt, Callers, Request, Router, TIME_PER_TOKEN, TIME_TO_FIRST_TOKEN, URGENT};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const SERVERS: usize = 4;
const CONCURRENCY: f64 = 16.0;
const MEAN_TOKENS: f64 = 100.0;
const SURGE_FROM: u64 = 60;
const SURGE_UNTIL: u64 = 90;
const LENGTH: u64 = 300;
const SURGE_LOAD: f64 = 3.0;
const CALLERS: Callers = Callers {
    timeout: Duration::from_secs(10),
    max_attempts: 5,
};

/// Requests per second that use the whole capacity.
fn capacity() -> f64 {
    let service = MEAN_TOKENS * TIME_PER_TOKEN.as_secs_f64() + TIME_TO_FIRST_TOKEN.as_secs_f64();
    SERVERS as f64 * CONCURRENCY / service
}

fn load(base_load: f64) -> Vec<Request> {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut requests = Vec::new();
    let mut at = 0.0;
    while at < LENGTH as f64 {
        let is_surge = (SURGE_FROM..SURGE_UNTIL).contains(&(at as u64));
        let load = if is_surge { SURGE_LOAD } else { base_load };
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

/// Configuration of a simulated router.
#[derive(Clone, Copy)]
struct Policy {
    name: &'static str,
    enforces_deadlines: bool,
    has_budget: bool,
    max_queued: usize,
}

const UNBOUNDED: usize = 1_000_000;

const POLICIES: [Policy; 5] = [
    Policy {
        name: "fescuewell",
        enforces_deadlines: true,
        has_budget: true,
        max_queued: 2_000,
    },
    Policy {
        name: "without retry budget",
        enforces_deadlines: true,
        has_budget: false,
        max_queued: 2_000,
    },
    Policy {
        name: "without deadlines",
        enforces_deadlines: false,
        has_budget: true,
        max_queued: 2_000,
    },
    Policy {
        name: "bounded queue alone",
        enforces_deadlines: false,
        has_budget: false,
        max_queued: 2_000,
    },
    Policy {
        name: "none of them",
        enforces_deadlines: false,
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
    let mut queue = Queue::new(settings, 3);
    queue.set_kinds(&[KindPolicy {
        key: URGENT,
        priority: 0,
        floor_percent: 0,
    }]);
    let settings = limit::Settings::default();
    Router {
        queue,
        limits: vec![Limit::new(settings, CONCURRENCY); SERVERS],
        budget: policy
            .has_budget
            .then(|| Budget::new(BudgetSettings::default())),
        enforces_deadlines: policy.enforces_deadlines,
        preemption: None,
        ignores_kinds: false,
    }
}

/// Returns the tokens of responses that completed in time in each second, as a fraction of the capacity.
fn goodput(requests: &[Request], attempts: &[Attempt]) -> Vec<f64> {
    let mut tokens = vec![0.0; LENGTH as usize + 1];
    let in_time = attempts
        .iter()
        .filter(|attempt| attempt.is_in_time(&CALLERS));
    for attempt in in_time {
        let Some((at, _)) = attempt.ended else {
            continue;
        };
        let second = (at.0 / 1_000_000) as usize;
        if let Some(sum) = tokens.get_mut(second) {
            *sum += requests[attempt.request].actual.0 as f64;
        }
    }
    let full = capacity() * MEAN_TOKENS;
    tokens.into_iter().map(|sum| sum / full).collect()
}

/// Returns the fraction of the first attempts of each second whose response was in time.
fn first_attempts(attempts: &[Attempt]) -> Vec<f64> {
    let mut counts = vec![(0.0, 0.0); LENGTH as usize + 1];
    for attempt in attempts.iter().filter(|attempt| attempt.number == 0) {
        let second = (attempt.at.0 / 1_000_000) as usize;
        let (total, in_time) = &mut counts[second];
        *total += 1.0;
        *in_time += f64::from(u8::from(attempt.is_in_time(&CALLERS)));
    }
    counts
        .into_iter()
        .map(|(total, in_time)| in_time / total)
        .collect()
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len() as f64
}

/// Fraction of first attempts that must be in time, averaged over [`STEADY_SECONDS`], to count as recovered.
const RECOVERED: f64 = 0.99;
const STEADY_SECONDS: usize = 5;

/// Returns the seconds after the surge until first attempts succeed permanently, or `None` if they never do.
fn recovery(first: &[f64]) -> Option<usize> {
    let after = &first[SURGE_UNTIL as usize..LENGTH as usize - 20];
    let last_failure = after
        .windows(STEADY_SECONDS)
        .rposition(|window| mean(window) < RECOVERED);
    match last_failure {
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
    for base_load in [0.5, 0.7, 0.9] {
        for policy in POLICIES {
            print(policy, base_load);
        }
    }
}

fn print(policy: Policy, base_load: f64) {
    let requests = load(base_load);
    let end = Instant::default() + Duration::from_secs(LENGTH + 120);
    let attempts = model::run(&requests, CALLERS, router(policy), end);
    let goodput = goodput(&requests, &attempts);
    let (from, until) = (SURGE_FROM as usize, SURGE_UNTIL as usize);
    let recovery_time = recovery(&first_attempts(&attempts));
    let mut answered = vec![false; requests.len()];
    for attempt in attempts
        .iter()
        .filter(|attempt| attempt.is_in_time(&CALLERS))
    {
        answered[attempt.request] = true;
    }
    let answered = answered.iter().filter(|&&in_time| in_time).count();
    println!(
        "{:<22} {:>6.2} {:>8.1}% {:>9.1}% {:>9.1}% {:>8} {:>8.1}% {:>8.2}",
        policy.name,
        base_load,
        // Skips the first 3 s, in which the servers fill up.
        100.0 * mean(&goodput[from + 3..until]),
        100.0 * mean(&goodput[until + 5..until + 15]),
        100.0 * base_load,
        recovery_time.map_or("never".into(), |seconds| seconds.to_string()),
        100.0 * answered as f64 / requests.len() as f64,
        attempts.len() as f64 / requests.len() as f64,
    );
}
