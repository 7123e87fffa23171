//! What one node's control costs at the wanted size, summed over the axes and held against the limits.

use serde::{Deserialize, Serialize};

use super::series::Series;
use super::wanted;

/// One sum and its limit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Total {
    /// What is limited.
    pub name: String,
    /// Its unit.
    pub unit: String,
    /// The parts of the sum: from which series, and how much.
    pub parts: Vec<(String, f64)>,
    /// The limit.
    pub limit: f64,
}

/// A part: axis, start of the quantity's name, and the factor to the total's unit.
type Part = (&'static str, &'static str, f64);

const DAY_SECONDS: f64 = 86_400.0;
/// From milliseconds for each change to percent of a core.
const CHANGE_SHARE: f64 = wanted::CHANGES / DAY_SECONDS / 1e3 * 100.0;
const KB: f64 = 1e-3;

const PROCESSOR: [Part; 4] = [
    ("nodes", "control", 1.0),
    ("workers", "control", 1.0),
    ("budgets in use", "control", 1.0),
    ("budgets", "a change", CHANGE_SHARE),
];
const MEMORY: [Part; 5] = [
    ("budgets", "one instance", 1.0),
    ("budgets", "the listener's index", 1.0),
    ("workers", "one instance", 1.0),
    ("nodes", "one instance", KB),
    ("budgets in use", "allowances", KB),
];
const BYTES: [Part; 3] = [
    ("nodes", "gossip", KB),
    ("nodes", "bytes of rows", KB),
    ("changes a day", "objects", KB),
];
const WRITES: [Part; 2] = [
    ("nodes", "row writes", wanted::NODES),
    ("the fleet's", "64 slots on one instance, 50 ms", 1.0),
];
const READS: [Part; 1] = [("nodes", "table reads", wanted::NODES)];

/// The totals whose parts were all measured.
///
/// Parts overlap a little: each axis has the ticks and the base document in it. What no axis measures is not
/// in here: renewals of allowances, load reports, the instance list.
pub fn totals(series: &[Series]) -> Vec<Total> {
    let all = [
        sum(
            series,
            "control of a node: processor",
            "% of a core",
            &PROCESSOR,
            2.0,
        ),
        sum(series, "control of a node: memory", "MB", &MEMORY, 32.0),
        sum(
            series,
            "control of a node: bytes, without renewals, load reports and instance list",
            "kB/s",
            &BYTES,
            4.0,
        ),
        sum(
            series,
            "fleet: row writes, without renewals",
            "1/s",
            &WRITES,
            400.0,
        ),
        sum(series, "fleet: table reads", "1/s", &READS, 2_000.0),
    ];
    all.into_iter().flatten().collect()
}

fn sum(series: &[Series], name: &str, unit: &str, parts: &[Part], limit: f64) -> Option<Total> {
    let mut total = Total {
        name: name.into(),
        unit: unit.into(),
        parts: Vec::new(),
        limit,
    };
    for (axis, quantity, factor) in parts {
        let mut candidates = series.iter();
        let found = candidates
            .find(|series| series.axis.starts_with(axis) && series.quantity.starts_with(quantity));
        let found = found?;
        let value = found.at_wanted()? * factor;
        total
            .parts
            .push((format!("{}, {}", found.axis, found.quantity), value));
    }
    Some(total)
}

impl Total {
    /// The sum.
    pub fn value(&self) -> f64 {
        self.parts.iter().map(|(_, value)| value).sum()
    }

    /// Whether it is within its limit.
    pub fn holds(&self) -> bool {
        self.value() <= self.limit
    }

    /// The total in one line of text, and a line for each part.
    pub fn text(&self) -> String {
        let verdict = if self.holds() {
            "holds"
        } else {
            "DOES NOT HOLD"
        };
        let mut text = format!(
            "{}: {:.2} of {} {}: {verdict}\n",
            self.name,
            self.value(),
            self.limit,
            self.unit
        );
        for (name, value) in &self.parts {
            text.push_str(&format!("    {value:.2} {name}\n"));
        }
        text
    }
}
