//! Simulates, in virtual time and with fixed seeds, how nine ledgers with skewed load spend prepaid
//! budgets.
//!
//! Prints for several allowance sizes: how much of a budget is spent before the first request is
//! refused that a ledger with global knowledge would have accepted, the effect of a table outage of
//! 60 s with 20% of the budget left, the tokens in doubt after the death of an instance, and the
//! number of table writes.
//!
//! Run with `cargo run --release -p fescuewell_budget --example spend`.

#[path = "../../tests/common/memory.rs"]
mod memory;
mod simulation;

use std::time::Duration;

use fescuewell_core::prelude::*;
use simulation::{Load, Simulation, Stats};

/// Number of seeds summed up in each row of the tables.
const SEEDS: u64 = 10;

/// Allowance sizes: name, outage in seconds, share in percent, minimum allowance.
const SIZES: [(&str, u64, u8, u64); 9] = [
    ("tight", 20, 5, 200),
    ("ready", 120, 25, 2_000),
    ("5 s", 5, 5, 200),
    ("10 s", 10, 5, 200),
    ("40 s", 40, 5, 200),
    ("60 s", 60, 5, 200),
    ("75 s", 75, 5, 200),
    ("90 s", 90, 10, 200),
    ("180 s", 180, 25, 2_000),
];

fn main() {
    let loads = [
        (
            "large group, 4 requests/s",
            Load::new(4.0, Tokens(4_000_000)),
        ),
        (
            "small group, 0.5 requests/s",
            Load::new(0.5, Tokens(500_000)),
        ),
    ];
    for (title, load) in loads {
        println!(
            "\n{title}, prepaid {}, nine instances, {SEEDS} seeds",
            load.prepaid
        );
        print_healthy(&load);
        print_outage(&load, 60);
    }
    let load = Load::new(4.0, Tokens(40_000_000));
    println!(
        "\nlarge group, 4 requests/s, prepaid {}: the rest lasts an hour",
        load.prepaid
    );
    print_outage(&load, 24);
}

fn print_healthy(load: &Load) {
    println!("healthy table, spent to the end");
    println!(
        "{:>7} {:>9} {:>9} {:>8} {:>9} {:>9} {:>9} {:>8} {:>9} {:>9}",
        "size",
        "requests",
        "accepted",
        "false",
        "false %",
        "first at",
        "least at",
        "writes/k",
        "wait p99",
        "wait max"
    );
    for (name, outage, share, min_allowance) in SIZES {
        let mut total = Stats::default();
        let mut first_at = Vec::new();
        for seed in 0..SEEDS {
            let mut simulation = Simulation::new(load, outage, share, Tokens(min_allowance), seed);
            simulation.run_until_spent();
            let stats = simulation.stats();
            first_at.push(stats.first_false_refusal.unwrap_or(1.0) * 100.0);
            total.add(stats);
        }
        let mean = first_at.iter().sum::<f64>() / first_at.len() as f64;
        let worst = first_at.iter().copied().fold(100.0, f64::min);
        println!(
            "{name:>7} {:>9} {:>9} {:>8} {:>8.3}% {mean:>8.2}% {worst:>8.2}% {:>8.1} {:>7}ms {:>7}ms",
            total.requests,
            total.accepted,
            total.false_refusals,
            total.false_refusal_percent(),
            total.writes_per_thousand(),
            total.wait_percentile(99),
            total.wait_percentile(100),
        );
    }
}

fn print_outage(load: &Load, percent_at_start: u64) {
    // The instances reach a steady state while the budget is spent down to 20%.
    let warm = load.with_remaining(percent_at_start);
    println!(
        "table down 60 s with 20% left; tokens in doubt if the busiest instance dies as the outage begins"
    );
    println!(
        "{:>7} {:>9} {:>8} {:>10} {:>12} {:>10} {:>9} {:>10}",
        "size",
        "requests",
        "false",
        "false %",
        "false % rest",
        "in doubt",
        "% of left",
        "idle total"
    );
    for (name, outage, share, min_allowance) in SIZES {
        let mut outage_stats = Stats::default();
        let mut rest = Stats::default();
        let mut in_doubt = 0;
        let mut left = 0;
        let mut idle = 0;
        for seed in 0..SEEDS {
            let mut simulation = Simulation::new(&warm, outage, share, Tokens(min_allowance), seed);
            simulation.run_until_remaining(0.2);
            in_doubt += simulation.in_doubt().0;
            left += simulation.remaining().0;
            idle += simulation.idle().0;
            simulation.reset_stats();
            simulation.run_outage(Duration::from_secs(60));
            outage_stats.add(simulation.stats());
            simulation.run_until_spent();
            rest.add(simulation.stats());
        }
        println!(
            "{name:>7} {:>9} {:>8} {:>9.2}% {:>11.2}% {:>10} {:>8.2}% {:>10}",
            outage_stats.requests,
            outage_stats.false_refusals,
            outage_stats.false_refusal_percent(),
            rest.false_refusal_percent(),
            in_doubt / SEEDS,
            in_doubt as f64 * 100.0 / left as f64,
            idle / SEEDS,
        );
    }
}
