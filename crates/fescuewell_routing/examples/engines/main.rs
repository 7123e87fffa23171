//! Benchmark of the router against baseline policies in a simple simulation in virtual time.
//!
//! `cargo run --release -p fescuewell_routing --example engines [-- SEEDS]`. The simulation covers
//! engines with a formula for the step time and an LRU cache, and the instances that share them.

mod cost;
mod engine;
mod load;
mod policy;
mod world;

use fescuewell_core::prelude::*;
use fescuewell_routing::prelude::*;
use world::{Results, Scenario};

const ENGINES: usize = 12;
const ROUTERS: usize = 9;
const WARM_US: u64 = 30_000_000;
const END_US: u64 = 120_000_000;

/// Settings under test. `ROUTING_SETTINGS` overrides the defaults with JSON.
pub fn settings() -> Settings {
    let text = std::env::var("ROUTING_SETTINGS").unwrap_or_else(|_| "{}".into());
    serde_json::from_str(&text).expect("ROUTING_SETTINGS holds settings")
}

fn scenario(
    policy: &'static str,
    workload: load::Workload,
    seed: u64,
    rate: Option<f64>,
) -> Scenario {
    Scenario {
        policy,
        workload,
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

/// Requests per second that full engines serve with the least-in-flight baseline.
fn capacity(workload: load::Workload, seed: u64) -> f64 {
    let results = world::run(scenario("least in flight", workload, seed, None));
    results.done as f64 * 1e6 / (END_US - WARM_US) as f64
}

fn percentile(sorted: &[u64], share: f64) -> f64 {
    if sorted.is_empty() {
        return f64::NAN;
    }
    let index = ((sorted.len() - 1) as f64 * share) as usize;
    sorted[index] as f64 / 1e3
}

/// Mean and 95th percentile of the time to first token in milliseconds, and the cache hit rate.
fn summary(results: &mut Results) -> (f64, f64, f64) {
    results.waits.sort_unstable();
    let sum: u64 = results.waits.iter().sum();
    let mean = sum as f64 / results.waits.len().max(1) as f64 / 1e3;
    let hit = results.hit as f64 / results.prompt.max(1) as f64;
    (mean, percentile(&results.waits, 0.95), hit)
}

fn compare(workload: load::Workload, seeds: u64, events: bool) {
    let share = 0.7;
    let word = if events { "with" } else { "without" };
    println!("\n{}, {word} cache events, {seeds} seeds", workload.name);
    println!(
        "{:<16} {:>9} {:>9} {:>7}",
        "policy", "mean ms", "p95 ms", "hit"
    );
    let mut best = (f64::MAX, f64::MAX, 0.0f64);
    for name in policy::NAMES {
        let mut total = (0.0, 0.0, 0.0);
        for seed in 1..=seeds {
            let rate = capacity(workload, seed) * share;
            let mut scenario = scenario(name, workload, seed, Some(rate));
            scenario.events = events;
            let (mean, p95, hit) = summary(&mut world::run(scenario));
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

fn slow_engine(workload: load::Workload, seed: u64) {
    let from = 60_000_000;
    println!(
        "\none of {ENGINES} engines five times slower from 60 s on, {}, seed {seed}",
        workload.name
    );
    let rate = capacity(workload, seed) * 0.7;
    for name in policy::NAMES {
        let mut scenario = scenario(name, workload, seed, Some(rate));
        scenario.warm_us = from;
        scenario.slow = Some((3, from));
        let mut results = world::run(scenario);
        let (mean, p95, _) = summary(&mut results);
        let sent = results.to_slow;
        println!("{name:<16} mean {mean:.1} ms, p95 {p95:.1} ms, sent to it {sent}");
        let mut first = [None; ROUTERS];
        for (at, router, change) in &results.changes {
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
    for workload in load::WORKLOADS {
        compare(workload, seeds, true);
    }
    compare(load::WORKLOADS[0], seeds, false);
    for seed in 1..=seeds {
        slow_engine(load::WORKLOADS[0], seed);
    }
}
