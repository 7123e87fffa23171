//! Measures how nine ledgers with skewed callers spend prepaid budgets, in virtual time and seeded.
//!
//! Prints, for several sizes of allowance: how much of a budget is spent before the first request is refused
//! although an all-seeing ledger would have accepted it, what a table outage of 60 s costs with 20%
//! of the budget left, what is in doubt after a death, and how often the table is written.
//!
//! Run with `cargo run --release -p fescuewell_budget --example spend`.

#[path = "../../tests/common/memory.rs"]
mod memory;
mod simulation;

use std::time::Duration;

use fescuewell_core::prelude::*;
use simulation::{Figures, Load, Simulation};

/// Seeds over which each row of the tables is added up.
const SEEDS: u64 = 10;

/// Sizes of allowance: name, outage in seconds, share in percent, least draw.
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
    for (name, outage, share, least) in SIZES {
        let mut total = Figures::default();
        let mut first_at = Vec::new();
        for seed in 0..SEEDS {
            let mut simulation = Simulation::new(load, outage, share, Tokens(least), seed);
            simulation.run_until_spent();
            let figures = simulation.figures();
            first_at.push(figures.first_false.unwrap_or(1.0) * 100.0);
            total.add(figures);
        }
        let mean = first_at.iter().sum::<f64>() / first_at.len() as f64;
        let worst = first_at.iter().copied().fold(100.0, f64::min);
        println!(
            "{name:>7} {:>9} {:>9} {:>8} {:>8.3}% {mean:>8.2}% {worst:>8.2}% {:>8.1} {:>7}ms {:>7}ms",
            total.requests,
            total.accepted,
            total.false_refusals,
            total.false_percent(),
            total.writes_per_thousand(),
            total.wait_percentile(99),
            total.wait_percentile(100),
        );
    }
}

fn print_outage(load: &Load, percent_at_start: u64) {
    // What is spent down to 20% warms the instances up.
    let warm = load.with_left(percent_at_start);
    println!(
        "table down 60 s with 20% left; money in doubt if the busiest instance dies as the outage begins"
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
    for (name, outage, share, least) in SIZES {
        let mut during = Figures::default();
        let mut rest = Figures::default();
        let mut in_doubt = 0;
        let mut left = 0;
        let mut idle = 0;
        for seed in 0..SEEDS {
            let mut simulation = Simulation::new(&warm, outage, share, Tokens(least), seed);
            simulation.run_until_left(0.2);
            in_doubt += simulation.in_doubt().0;
            left += simulation.left().0;
            idle += simulation.idle().0;
            simulation.clear_figures();
            simulation.run_outage(Duration::from_secs(60));
            during.add(simulation.figures());
            simulation.run_until_spent();
            rest.add(simulation.figures());
        }
        println!(
            "{name:>7} {:>9} {:>8} {:>9.2}% {:>11.2}% {:>10} {:>8.2}% {:>10}",
            during.requests,
            during.false_refusals,
            during.false_percent(),
            rest.false_percent(),
            in_doubt / SEEDS,
            in_doubt as f64 * 100.0 / left as f64,
            idle / SEEDS,
        );
    }
}
