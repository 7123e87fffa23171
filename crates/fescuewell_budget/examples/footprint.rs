//! Measures the memory and time that a ledger needs with 22,000 known budgets, some of them in use.
//!
//! Memory is the growth of the process's resident set, from `/proc/self/statm`. Run with `cargo run
//! --release -p fescuewell_budget --example footprint [groups in use]`.

#[path = "../tests/common/memory.rs"]
mod memory;

use std::time::Duration;

use fescuewell_budget::row::{Budget, Grant};
use fescuewell_budget::{HoldKey, Ledger, Policy, Settings, row};
use fescuewell_core::prelude::*;
use fescuewell_core::table::{Table, Transaction, execute};
use memory::MemoryTable;

const GROUPS: u32 = 22_000;
const HOLDERS: u32 = 9;
const ROUNDS: usize = 10;
const PAGE_BYTES: u64 = 4_096;

fn main() {
    let argument = std::env::args().nth(1);
    let in_use = argument.and_then(|text| text.parse().ok()).unwrap_or(2_000);
    let policies: Vec<Policy> = (0..GROUPS).map(policy).collect();
    let table = table(&policies);
    measure(&table, &policies, in_use);
}

fn measure(table: &MemoryTable, policies: &[Policy], in_use: u32) {
    let mut now = Instant::from_millis(1_000);
    let before = resident_bytes();
    let mut ledger = Ledger::new(Settings::default(), "measured.1".into(), 1);
    ledger.set_groups(now, policies);
    let known = (resident_bytes() - before) / u64::from(GROUPS);
    let before = resident_bytes();
    for group in 0..in_use {
        let _ = ledger.hold(now, GroupKey(group), Tokens(100));
    }
    run_table_steps(&mut ledger, table, now);
    let used = (resident_bytes() - before) / u64::from(in_use);
    let started = std::time::Instant::now();
    for _ in 0..ROUNDS {
        for group in 0..in_use {
            request(&mut ledger, now, GroupKey(group));
        }
    }
    let each = started.elapsed() / (ROUNDS as u32 * in_use);
    let recent_tick = measure_step(&mut ledger, table, now + Duration::from_secs(1));
    for _ in 0..200 {
        now = now + Duration::from_secs(1);
        run_table_steps(&mut ledger, table, now);
    }
    let later_tick = measure_step(&mut ledger, table, now + Duration::from_secs(1));
    println!("{GROUPS} groups known, {in_use} in use, {HOLDERS} holders in each row");
    println!("memory: {known} bytes for each known group, {used} more for each in use");
    println!("hold, settle and bill: {} ns a request", each.as_nanos());
    println!(
        "a step that looks at all groups in use: {} us",
        recent_tick.as_micros()
    );
    println!(
        "the same 200 s after their last use: {} us",
        later_tick.as_micros()
    );
}

/// Measures one step that checks every group in use.
fn measure_step(ledger: &mut Ledger, table: &MemoryTable, now: Instant) -> Duration {
    let started = std::time::Instant::now();
    let step = ledger.next_step(now);
    let elapsed = started.elapsed();
    if let Some(step) = step {
        ledger.reply(now, execute(table, &step));
    }
    elapsed
}

fn request(ledger: &mut Ledger, now: Instant, group: GroupKey) {
    let hold: Option<HoldKey> = ledger.hold(now, group, Tokens(10)).ok();
    if let Some(hold) = hold {
        ledger.settle(now, hold, Tokens(1));
        ledger.bill_durable(now, hold, Tokens(1));
    }
}

fn run_table_steps(ledger: &mut Ledger, table: &MemoryTable, now: Instant) {
    while let Some(step) = ledger.next_step(now) {
        ledger.reply(now, execute(table, &step));
    }
    ledger.take_notifications();
}

fn table(policies: &[Policy]) -> MemoryTable {
    let table = MemoryTable::default();
    for policy in policies {
        let mut budget = Budget::new(Tokens(10_000_000));
        for holder in 1..HOLDERS {
            let grant = Grant {
                granted: Tokens(100_000),
                draw_id: "00000000000000ff".into(),
                ..Grant::default()
            };
            budget
                .grants
                .insert(format!("entry-{holder}.18a5f").into(), grant);
        }
        let key = row::key(&policy.name);
        let transaction = Transaction::default().with_put(key, budget.encode());
        table.commit(&transaction).expect("memory does not fail");
    }
    table
}

fn policy(index: u32) -> Policy {
    Policy {
        key: GroupKey(index),
        name: format!("group-{index}").into(),
        outage: Duration::from_secs(60),
        share_percent: 10,
        min_allowance: Tokens(2_000),
    }
}

fn resident_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1);
    pages
        .and_then(|pages| pages.parse::<u64>().ok())
        .unwrap_or(0)
        * PAGE_BYTES
}
