//! Shows how an instance spends a prepaid budget: it draws an allowance, holds and settles tokens for each request, records the
//! bill, and refuses requests once the budget is exhausted.

use std::time::Duration;

use fescuewell::budget::{Ledger, Policy, Settings, Shortage, row};
use fescuewell::core::prelude::*;
use fescuewell::core::table::{Table, Transaction, execute};
use fescuewell::platform::memory;

/// Upper bound of the cost of each request, held before it runs.
const MAX_COST: Tokens = Tokens(400);
/// Actual cost of each request.
const COST: Tokens = Tokens(150);
/// Simulated time between two table operations of the ledger.
const STEP: Duration = Duration::from_millis(10);
/// Number of requests, more than the budget covers.
const REQUESTS: u32 = 20;

fn main() {
    let table = table_with("signwise", Tokens(2_000));
    let group = GroupKey(0);
    let mut now = Instant::from_millis(0);
    let mut ledger = Ledger::new(Settings::default(), "entry-1.1f".into(), 7);
    ledger.set_groups(now, &[policy(group, "signwise")]);

    for number in 1..=REQUESTS {
        let hold = loop {
            match ledger.hold(now, group, MAX_COST) {
                Err(Shortage::Pending) => now = run_table_step(&mut ledger, &table, now),
                outcome => break outcome,
            }
        };
        let hold = match hold {
            Ok(hold) => hold,
            Err(shortage) => {
                println!("request {number}: refused, {shortage:?}");
                break;
            }
        };
        ledger.settle(now, hold, COST);
        // The bill is durable in the log of the slot. Only now does the cost count as spent.
        ledger.bill_durable(now, hold, COST);
        println!("request {number}: held {MAX_COST}, cost {COST}");
    }

    for line in ledger.snapshot() {
        println!(
            "{}: spent {} of 2000, idle {}",
            line.name, line.spent, line.idle
        );
    }
}

/// Returns a table with one budget of `prepaid` tokens.
fn table_with(group: &str, prepaid: Tokens) -> memory::Table {
    let table = memory::Table::default();
    let top_up =
        Transaction::default().with_put(row::key(group), row::Budget::new(prepaid).encode());
    table.commit(&top_up).expect("the table is in memory");
    table
}

fn policy(key: GroupKey, name: &str) -> Policy {
    Policy {
        key,
        name: name.into(),
        outage: Duration::from_secs(60),
        share_percent: 10,
        min_allowance: Tokens(500),
    }
}

/// Executes the next table operation of the ledger, if any, and returns the time after it.
fn run_table_step(ledger: &mut Ledger, table: &dyn Table, now: Instant) -> Instant {
    if let Some(step) = ledger.next_step(now) {
        ledger.reply(now, execute(table, &step));
    }
    now + STEP
}
