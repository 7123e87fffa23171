//! Lets nine ledgers spend a budget completely, in virtual time, and bounds the resulting figures.

#[path = "common/memory.rs"]
mod memory;
#[path = "../examples/spend/simulation.rs"]
#[allow(dead_code, reason = "the example prints more figures")]
mod simulation;

use std::time::Duration;

use fescuewell_core::prelude::*;
use simulation::{Load, Simulation, Stats};

fn load() -> Load {
    Load::new(4.0, Tokens(1_000_000))
}

fn spend(outage: u64, share_percent: u8, min_allowance: u64) -> Stats {
    let mut simulation = Simulation::new(&load(), outage, share_percent, Tokens(min_allowance), 3);
    simulation.run_until_spent();
    simulation.stats()
}

#[test]
fn a_tight_group_spends_all_but_half_a_percent_before_a_false_refusal() {
    // Guards against refusals while the group has tokens, caused by the last tokens being split
    // into small amounts on nine instances.
    let stats = spend(20, 5, 200);

    let first = stats.first_false_refusal.unwrap_or(1.0);
    assert!(first >= 0.995, "{first}");
    assert!(stats.writes_per_thousand() < 500.0);
}

#[test]
fn a_ready_group_spends_all_but_half_a_percent_before_a_false_refusal() {
    // Guards against the same failure with larger allowances to recall.
    let stats = spend(120, 25, 2_000);

    let first = stats.first_false_refusal.unwrap_or(1.0);
    assert!(first >= 0.995, "{first}");
    assert!(stats.writes_per_thousand() < 300.0);
}

#[test]
fn a_ready_group_survives_a_minute_without_the_table() {
    // Guards against refusing more than 1% of the requests although the group has tokens. The table
    // is down for 60 s with 20% of the budget left, so allowances that are too small or on the
    // wrong instances cause refusals.
    let load = Load::new(4.0, Tokens(4_000_000)).with_remaining(30);
    let mut simulation = Simulation::new(&load, 120, 25, Tokens(2_000), 3);
    simulation.run_until_remaining(0.2);
    simulation.reset_stats();

    simulation.run_outage(Duration::from_secs(60));

    let stats = simulation.stats();
    assert!(stats.accepted > 100);
    assert!(
        stats.false_refusal_percent() <= 1.0,
        "{}",
        stats.false_refusal_percent()
    );
}
