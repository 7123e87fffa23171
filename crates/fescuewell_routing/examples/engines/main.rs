//! Measures the routing decisions against baselines on a small model of engines in virtual time.
//!
//! `cargo run --release -p fescuewell_routing --example engines [-- SEEDS]`. No cluster simulator:
//! engines are a step-time formula and an LRU cache, instances share them, and that is all.

mod cost;
mod engine;
mod load;
mod policy;
mod world;

use fescuewell_core::prelude::*;
use fescuewell_routing::prelude::*;
use world::{Figures, Plan};

const ENGINES: usize = 12;
const ROUTERS: usize = 9;
const WARM_US: u64 = 30_000_000;
const END_US: u64 = 120_000_000;

/// Settings under test; `ROUTING_SETTINGS` may hold other ones as JSON for trials.
pub fn settings() -> Settings {
    let text = std::env::var("ROUTING_SETTINGS").unwrap_or_else(|_| "{}".into());
    serde_json::from_str(&text).expect("ROUTING_SETTINGS holds settings")
}

fn plan(policy: &'static str, shape: load::Shape, seed: u64, rate: Option<f64>) -> Plan {
    Plan {
        policy,
        shape,
        seed,
        engines: ENGINES,
        routers: ROUTERS,
        rate,
        warm_us: WARM_US,
        end_us: END_US,
        slow: None,
        events: true,
    }
}

/// Requests a second that the engines serve when always full, under the least-in-flight baseline.
fn capacity(shape: load::Shape, seed: u64) -> f64 {
    let figures = world::run(plan("least in flight", shape, seed, None));
    figures.done as f64 * 1e6 / (END_US - WARM_US) as f64
}

fn percentile(sorted: &[u64], share: f64) -> f64 {
    if sorted.is_empty() {
        return f64::NAN;
    }
    let index = ((sorted.len() - 1) as f64 * share) as usize;
    sorted[index] as f64 / 1e3
}

/// Mean and 95th percentile of the time to first token in milliseconds, and the cache hit share.
fn summary(figures: &mut Figures) -> (f64, f64, f64) {
    figures.waits.sort_unstable();
    let sum: u64 = figures.waits.iter().sum();
    let mean = sum as f64 / figures.waits.len().max(1) as f64 / 1e3;
    let hit = figures.hit as f64 / figures.prompt.max(1) as f64;
    (mean, percentile(&figures.waits, 0.95), hit)
}

fn compare(shape: load::Shape, seeds: u64, events: bool) {
    let share = 0.7;
    let words = if events { "with" } else { "without" };
    println!("\n{}, {words} cache events, {seeds} seeds", shape.name);
    println!(
        "{:<16} {:>9} {:>9} {:>7}",
        "policy", "mean ms", "p95 ms", "hit"
    );
    let mut best = (f64::MAX, f64::MAX, 0.0f64);
    for name in policy::NAMES {
        let mut total = (0.0, 0.0, 0.0);
        for seed in 1..=seeds {
            let rate = capacity(shape, seed) * share;
            let mut plan = plan(name, shape, seed, Some(rate));
            plan.events = events;
            let (mean, p95, hit) = summary(&mut world::run(plan));
            total = (total.0 + mean, total.1 + p95, total.2 + hit);
        }
        let n = seeds as f64;
        let (mean, p95, hit) = (total.0 / n, total.1 / n, total.2 / n);
        println!("{name:<16} {mean:>9.1} {p95:>9.1} {hit:>7.3}");
        if name != "fescuewell" {
            best = (best.0.min(mean), best.1.min(p95), best.2.max(hit));
            continue;
        }
        println!(
            "against the best: mean {:+.0} %, p95 {:+.0} %, hit x{:.2}",
            (mean / best.0 - 1.0) * 100.0,
            (p95 / best.1 - 1.0) * 100.0,
            hit / best.2
        );
    }
}

fn slow_engine(shape: load::Shape, seed: u64) {
    let from = 60_000_000;
    println!(
        "\none of {ENGINES} engines five times slower from 60 s on, {}, seed {seed}",
        shape.name
    );
    let rate = capacity(shape, seed) * 0.7;
    for name in policy::NAMES {
        let mut plan = plan(name, shape, seed, Some(rate));
        plan.warm_us = from;
        plan.slow = Some((3, from));
        let mut figures = world::run(plan);
        let (mean, p95, _) = summary(&mut figures);
        let sent = figures.to_slow;
        println!("{name:<16} mean {mean:.1} ms, p95 {p95:.1} ms, sent to it {sent}");
        let mut first = [None; ROUTERS];
        for (at, router, change) in &figures.changes {
            let Change::Ejected { server, cause } = change else {
                continue;
            };
            if *server != ServerKey(3) || *at < from {
                println!("  also ejected: {server:?} by {router} at {at} us, {cause}");
                continue;
            }
            first[*router].get_or_insert((at - from) as f64 / 1e6);
        }
        if name == "fescuewell" {
            println!("  seconds to the ejection, by instance: {first:.2?}");
        }
    }
}

fn main() {
    cost::measure();
    let seeds = std::env::args().nth(1).and_then(|text| text.parse().ok());
    let seeds = seeds.unwrap_or(3);
    for shape in load::SHAPES {
        compare(shape, seeds, true);
    }
    compare(load::SHAPES[0], seeds, false);
    for seed in 1..=seeds {
        slow_engine(load::SHAPES[0], seed);
    }
}
