//! The all-seeing ledger: what one ledger that knows every cost at once would have accepted.

use std::collections::BTreeMap;

use fescuewell_core::tokens::Tokens;
use serde::{Deserialize, Serialize};

/// One request, for the ledger.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Entry {
    /// When it was sent, in milliseconds.
    pub at_ms: f64,
    /// Index of the router.
    pub router: usize,
    /// What it may cost at most.
    pub limit: Tokens,
    /// What it cost, if it was accepted.
    pub cost: Option<Tokens>,
    /// Whether it was refused for its group's budget.
    pub is_refused: bool,
}

/// What the ledger says of one group.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Verdict {
    /// Requests refused for the budget.
    pub refused: u64,
    /// Of these, those that the ledger would have accepted: their limit fitted into what was left after all
    /// that was accepted before, at its true cost.
    pub falsely: u64,
    /// Share of the budget spent when the first false refusal came.
    pub spent_at_first: Option<f64>,
    /// False refusals when each router had an equal, fixed part of the budget, on the same arrivals.
    pub equal_split_falsely: u64,
    /// Share spent at the first of those.
    pub equal_split_spent_at_first: Option<f64>,
}

/// Judges the requests of one group.
pub fn judge(prepaid: Tokens, routers: usize, mut entries: Vec<Entry>) -> Verdict {
    entries.sort_by(|one, other| one.at_ms.total_cmp(&other.at_ms));
    let mut verdict = Verdict::default();
    let mut left = prepaid.0;
    for entry in &entries {
        if let Some(cost) = entry.cost {
            left = left.saturating_sub(cost.0);
            continue;
        }
        if !entry.is_refused {
            continue;
        }
        verdict.refused += 1;
        if entry.limit.0 <= left {
            verdict.falsely += 1;
            let share = 1.0 - left as f64 / prepaid.0.max(1) as f64;
            verdict.spent_at_first.get_or_insert(share);
        }
    }
    split(prepaid, routers, &entries, &mut verdict);
    verdict
}

// What a refused request would have cost is not known; its limit stands for it.
fn split(prepaid: Tokens, routers: usize, entries: &[Entry], verdict: &mut Verdict) {
    let part = prepaid.0 / routers.max(1) as u64;
    let mut parts: BTreeMap<usize, u64> = BTreeMap::new();
    let mut left = prepaid.0;
    for entry in entries {
        let own = parts.entry(entry.router).or_insert(part);
        if entry.limit.0 <= *own {
            let cost = entry.cost.unwrap_or(entry.limit).0;
            *own -= cost.min(*own);
            left = left.saturating_sub(cost);
        } else if entry.limit.0 <= left {
            verdict.equal_split_falsely += 1;
            let share = 1.0 - left as f64 / prepaid.0.max(1) as f64;
            verdict.equal_split_spent_at_first.get_or_insert(share);
        }
    }
}
