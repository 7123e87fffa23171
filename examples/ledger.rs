//! Shows how one instance spends a prepaid budget: draw an allowance, hold, settle, bill, and say truthfully when it is spent.

use std::time::Duration;

use fescuewell::budget::{Ledger, Policy, Settings, Shortage, row};
use fescuewell::core::prelude::*;
use fescuewell::core::table::{Table, Transaction, execute};
use fescuewell::platform::memory;

/// Worst case of each request.
const BOUND: Tokens = Tokens(400);
/// What each request turns out to cost.
const COST: Tokens = Tokens(150);
/// Simulated time between two looks at the ledger.
const STEP: Duration = Duration::from_millis(10);
/// Requests to try; more than the budget pays for.
const REQUESTS: u32 = 20;

fn main() {
    let table = table_with("signwise", Tokens(2_000));
    let group = GroupKey(0);
    let mut now = Instant::from_millis(0);
    let mut ledger = Ledger::new(Settings::default(), "entry-1.1f".into(), 7);
    ledger.set_groups(now, &[policy(group, "signwise")]);

    for number in 1..=REQUESTS {
        let hold = loop {
            match ledger.hold(now, group, BOUND) {
                Err(Shortage::Pending) => now = serve(&mut ledger, &table, now),
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
        // The slot's log has the bill: only now is the cost spent.
        ledger.bill_durable(now, hold, COST);
        println!("request {number}: held {BOUND}, cost {COST}");
    }

    for line in ledger.snapshot() {
        println!(
            "{}: spent {} of 2000, idle {}",
            line.name, line.spent, line.idle
        );
    }
}

/// A table whose only budget has `prepaid` tokens.
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

/// Lets the ledger do its next piece of table work, and time pass.
fn serve(ledger: &mut Ledger, table: &dyn Table, now: Instant) -> Instant {
    if let Some(step) = ledger.next_step(now) {
        ledger.reply(now, execute(table, &step));
    }
    now + STEP
}
