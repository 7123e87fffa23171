//! One instance of the test fleet.

use std::sync::Arc;
use std::time::Duration;

use fescuewell_budget::row::Budget;
use fescuewell_budget::{HoldKey, Ledger, Policy, Shortage};
use fescuewell_core::prelude::*;

/// Names of the groups in the fleet.
pub const GROUPS: [&str; 2] = ["signwise", "reef-relay"];

/// An open hold and the request's cost.
#[derive(Debug, Clone, Copy)]
pub struct OpenHold {
    pub key: HoldKey,
    pub group: usize,
    pub amount: Tokens,
    /// The actual cost once settled.
    pub cost: Option<Tokens>,
}

/// One instance and its requests.
#[derive(Debug)]
pub struct Node {
    pub ledger: Ledger,
    pub holder: Arc<str>,
    pub is_paused: bool,
    pub is_cut_off: bool,
    pub is_closing: bool,
    pub open: Vec<OpenHold>,
    pub waiting: Vec<(usize, Tokens)>,
    /// Tokens charged to this holder in the slots, for each group.
    pub charged: [Tokens; 2],
    pub incarnation: u32,
}

/// A refused request.
#[derive(Debug, Clone, Copy)]
pub struct Refused {
    pub group: usize,
    pub amount: Tokens,
    pub shortage: Shortage,
}

/// Checks that a node cannot spend more than its grant in the row.
pub fn check_node(node: &Node, group: usize, budget: &Budget) {
    let lines = node.ledger.snapshot();
    let mut lines = lines.iter();
    let Some(line) = lines.find(|line| line.group == GroupKey(group as u32)) else {
        return;
    };
    let granted = budget.grants.get(&node.holder);
    let granted = granted.map(|grant| grant.granted).unwrap_or_default();
    let committed = line.spent + line.held + line.owed + line.idle;
    // A closed ledger has moved its spending from its grant to the row's total.
    let is_removed = granted.is_zero() && line.idle.is_zero();
    assert!(
        committed <= granted || is_removed,
        "{}: may spend {committed} of {granted}: {line:?}",
        node.holder
    );
}

/// One group with small allowances and one for long outages.
pub fn policies() -> Vec<Policy> {
    let sizes = [(20, 5, 20), (120, 25, 50)];
    let sizes = GROUPS.iter().enumerate().zip(sizes);
    sizes
        .map(|((index, name), (outage, share_percent, least))| Policy {
            key: GroupKey(index as u32),
            name: (*name).into(),
            outage: Duration::from_secs(outage),
            share_percent,
            min_allowance: Tokens(least),
        })
        .collect()
}
