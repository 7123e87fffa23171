//! Figures of a run: made, printed, compared.

use std::collections::BTreeMap;
use std::fmt::Write as _;

use fescuewell_core::code::Code;
use fescuewell_core::tokens::Tokens;
use fescuewell_standin::engine::Counters;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::audit::Audit;
use super::drive::{Outcome, Record, Run};
use super::ledger::{self, Entry, Verdict};
use super::plan::Plan;

/// Counters around the run.
#[derive(Debug, Default)]
pub struct Around {
    /// Processor time of the whole process, if known.
    pub processor_seconds: Option<f64>,
    /// Transactions that reached the table.
    pub table_transactions: u64,
    /// Rows written or removed.
    pub table_rows: u64,
    /// Reads and scans.
    pub table_reads: u64,
    /// Of each engine.
    pub engines: Vec<Counters>,
    /// The most that any one call ran.
    pub most_runs: u32,
}

/// Median, 95th and 99th percentile, in milliseconds.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Spread {
    /// How many were measured.
    pub count: usize,
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
}

/// One sort of traffic.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Traffic {
    /// Requests sent, without repeats.
    pub requests: u64,
    /// Whole answers.
    pub whole: u64,
    /// Connections that failed.
    pub broken: u64,
    /// Refusals by code.
    pub refused: BTreeMap<String, u64>,
    /// Repeats under the same id, by how they came out.
    pub repeats: BTreeMap<String, u64>,
    /// Time to the first token, or to a call's answer.
    pub first_token_ms: Spread,
}

/// One group's money.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Group {
    /// Prepaid tokens.
    pub prepaid: u64,
    /// What the answers say was used.
    pub answered: u64,
    /// What the slots charged.
    pub charged: u64,
    /// What the budget row says was spent.
    pub spent: u64,
    /// The largest of the three beyond the prepaid tokens.
    pub overspend: u64,
    /// Against the all-seeing ledger.
    pub refusals: Verdict,
    /// Requests that were accepted or refused for the budget.
    pub judged: u64,
    /// False refusals of those, in per cent.
    pub false_refusal_percent: f64,
}

/// Everything measured in a run.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Requests sent, without repeats.
    pub requests: u64,
    /// Whole answers.
    pub whole: u64,
    /// Arrivals left out by the callers' own bound.
    pub left_out: u64,
    /// Requests without an outcome.
    pub unfinished: u64,
    /// By sort of traffic.
    pub traffic: BTreeMap<String, Traffic>,
    /// By group.
    pub groups: BTreeMap<String, Group>,
    /// Output tokens of whole answers, a second of the load.
    pub goodput: f64,
    /// The same by second of the run, by the tokens' arrival.
    pub goodput_by_second: Vec<u64>,
    /// Whole answers that the slots have as ended.
    pub billed: u64,
    /// Whole answers that they do not have.
    pub unbilled: u64,
    /// Grants left in the budget rows after the drain.
    pub grants_left: u64,
    /// The most that one call ran.
    pub most_runs: u32,
    /// Transactions of the table for 1,000 requests.
    pub transactions_per_1000: f64,
    /// Rows written for 1,000 requests.
    pub rows_per_1000: f64,
    /// Reads and scans for 1,000 requests.
    pub reads_per_1000: f64,
    /// Share of prompt tokens found in the engines' caches.
    pub cache_hit_share: f64,
    /// Processor time for an output token, in microseconds: fleet, stand-ins and callers together.
    pub processor_us_per_token: Option<f64>,
    /// Probes straight to an engine.
    pub direct_ms: Spread,
    /// Probes through a router.
    pub routed_ms: Spread,
    /// Differences within the pairs of probes.
    pub added_ms: Spread,
    /// Pairs of probes of which one failed.
    pub failed_pairs: u64,
}

/// Makes the figures.
pub fn make(plan: &Plan, run: &Run, audit: &Audit, around: &Around) -> Report {
    let mut report = Report {
        left_out: run.left_out,
        unfinished: run.unfinished,
        billed: audit.billed,
        unbilled: audit.unbilled,
        grants_left: audit.grants_left,
        most_runs: around.most_runs,
        failed_pairs: run.failed_pairs,
        ..Report::default()
    };
    for (index, traffic) in plan.traffic.iter().enumerate() {
        let own = run.records.iter().filter(|record| record.traffic == index);
        let figures = by_traffic(&own.collect::<Vec<_>>());
        report.requests += figures.requests;
        report.whole += figures.whole;
        report.traffic.insert(traffic.name.clone(), figures);
    }
    for (name, prepaid) in super::prepaid(plan) {
        let figures = by_group(plan, run, audit, &name, prepaid);
        report.groups.insert(name, figures);
    }
    add_goodput(&mut report, plan, run);
    add_costs(&mut report, around);
    let pairs = &run.pairs;
    report.direct_ms = spread(pairs.iter().map(|pair| pair.direct).collect());
    report.routed_ms = spread(pairs.iter().map(|pair| pair.routed).collect());
    report.added_ms = spread(pairs.iter().map(|pair| pair.routed - pair.direct).collect());
    report
}

fn by_traffic(records: &[&Record]) -> Traffic {
    let mut figures = Traffic::default();
    let mut firsts = Vec::new();
    for record in records {
        if record.is_repeat {
            *figures.repeats.entry(word(&record.outcome)).or_default() += 1;
            continue;
        }
        figures.requests += 1;
        match &record.outcome {
            Outcome::Whole { .. } => {
                figures.whole += 1;
                firsts.extend(record.first_ms);
            }
            Outcome::Refused { .. } => {
                *figures.refused.entry(word(&record.outcome)).or_default() += 1;
            }
            Outcome::Broken { .. } => figures.broken += 1,
        }
    }
    figures.first_token_ms = spread(firsts);
    figures
}

fn word(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Whole { .. } => "whole".into(),
        Outcome::Broken { .. } => "broken".into(),
        Outcome::Refused { code, run } => {
            let known = Code::ALL
                .iter()
                .find(|own| u64::from(own.number()) == *code);
            let name = known.map_or("unknown code", |own| own.name());
            format!("{code} {name} {run}")
        }
    }
}

fn is_for_budget(code: u64) -> bool {
    let codes = [
        Code::BudgetExhausted,
        Code::BudgetInUse,
        Code::BudgetUnknown,
    ];
    codes.iter().any(|own| u64::from(own.number()) == code)
}

fn by_group(plan: &Plan, run: &Run, audit: &Audit, name: &str, prepaid: Tokens) -> Group {
    let mut entries = Vec::new();
    let mut answered = 0;
    for record in &run.records {
        if record.is_repeat || plan.traffic[record.traffic].group != name {
            continue;
        }
        let (cost, is_refused) = match &record.outcome {
            Outcome::Whole { tokens, .. } => (Some(Tokens(*tokens)), false),
            Outcome::Refused { code, .. } if is_for_budget(*code) => (None, true),
            // What ran or may have run may have been charged; its limit stands for its cost.
            Outcome::Refused { run, .. } if run != "not_run" => (Some(record.limit), false),
            Outcome::Broken { .. } => (Some(record.limit), false),
            Outcome::Refused { .. } => continue,
        };
        if let Outcome::Whole { tokens, .. } = &record.outcome {
            answered += tokens;
        }
        entries.push(Entry {
            at_ms: record.at_ms,
            router: record.router,
            limit: record.limit,
            cost,
            is_refused,
        });
    }
    // The probes' account is of the first group.
    if name == super::ACCOUNTS[0].group {
        answered += run.probe_tokens;
    }
    let judged = entries.len() as u64;
    let refusals = ledger::judge(prepaid, plan.routers, entries);
    let of = |map: &BTreeMap<String, Tokens>| map.get(name).copied().unwrap_or_default().0;
    let (charged, spent) = (of(&audit.charged), of(&audit.spent));
    let most = answered.max(charged).max(spent);
    Group {
        prepaid: prepaid.0,
        answered,
        charged,
        spent,
        overspend: most.saturating_sub(prepaid.0),
        judged,
        false_refusal_percent: 100.0 * refusals.falsely as f64 / judged.max(1) as f64,
        refusals,
    }
}

fn add_goodput(report: &mut Report, plan: &Plan, run: &Run) {
    let mut total = 0;
    for record in &run.records {
        let Outcome::Whole { output, .. } = record.outcome else {
            continue;
        };
        total += output;
        for &(second, count) in &record.by_second {
            let second = second as usize;
            if report.goodput_by_second.len() <= second {
                report.goodput_by_second.resize(second + 1, 0);
            }
            report.goodput_by_second[second] += u64::from(count);
        }
    }
    let within: u64 = report
        .goodput_by_second
        .iter()
        .take(plan.seconds as usize)
        .sum();
    report.goodput = within as f64 / plan.seconds as f64;
    // A chunk may carry several tokens; the engine's own count is exact.
    let seen: u64 = report.goodput_by_second.iter().sum();
    if seen > 0 {
        report.goodput *= total as f64 / seen as f64;
    }
}

fn add_costs(report: &mut Report, around: &Around) {
    let thousands = report.requests.max(1) as f64 / 1_000.0;
    report.transactions_per_1000 = around.table_transactions as f64 / thousands;
    report.rows_per_1000 = around.table_rows as f64 / thousands;
    report.reads_per_1000 = around.table_reads as f64 / thousands;
    let sum = |field: fn(&Counters) -> u64| around.engines.iter().map(field).sum::<u64>();
    let prompts = sum(|counters| counters.prompt_tokens);
    let cached = sum(|counters| counters.cached_tokens);
    report.cache_hit_share = cached as f64 / prompts.max(1) as f64;
    let tokens = sum(|counters| counters.tokens);
    report.processor_us_per_token = around
        .processor_seconds
        .filter(|_| tokens > 0)
        .map(|seconds| seconds * 1e6 / tokens as f64);
}

/// Percentiles by the nearest rank.
pub fn spread(mut values: Vec<f64>) -> Spread {
    values.sort_by(f64::total_cmp);
    let at = |share: f64| {
        let rank = (values.len() as f64 * share).ceil() as usize;
        values
            .get(rank.saturating_sub(1))
            .copied()
            .unwrap_or_default()
    };
    Spread {
        count: values.len(),
        p50: at(0.5),
        p95: at(0.95),
        p99: at(0.99),
    }
}

impl Report {
    /// Promises that the run broke; none when all is well.
    pub fn broken_promises(&self) -> Vec<String> {
        let mut broken = Vec::new();
        for (name, group) in &self.groups {
            if group.overspend > 0 {
                broken.push(format!("{name} overspent by {} tokens", group.overspend));
            }
            if group.charged < group.answered {
                let missing = group.answered - group.charged;
                broken.push(format!("{name} was charged {missing} tokens too few"));
            }
        }
        if self.unbilled > 0 {
            broken.push(format!("{} answers have no bill", self.unbilled));
        }
        if self.most_runs > 1 {
            broken.push(format!("a call ran {} times", self.most_runs));
        }
        broken
    }

    /// The table that is printed.
    pub fn table(&self) -> String {
        let mut out = String::new();
        for (name, value) in leaves(&self.value()) {
            let _ = writeln!(out, "{name:<60} {value:>14}");
        }
        out
    }

    /// What differs from an earlier report.
    pub fn differences(&self, earlier: &Self) -> String {
        let old: BTreeMap<String, String> = leaves(&earlier.value()).into_iter().collect();
        let new: BTreeMap<String, String> = leaves(&self.value()).into_iter().collect();
        let mut names: Vec<&String> = old.keys().chain(new.keys()).collect();
        names.sort();
        names.dedup();
        let mut out = String::new();
        for name in names {
            let side = |map: &BTreeMap<String, String>| {
                map.get(name).cloned().unwrap_or_else(|| "-".to_owned())
            };
            let (was, is) = (side(&old), side(&new));
            if was != is {
                let _ = writeln!(out, "{name:<60} {was:>14} -> {is:>14}");
            }
        }
        out
    }

    fn value(&self) -> Value {
        let mut value = serde_json::to_value(self).unwrap_or_default();
        if let Some(fields) = value.as_object_mut() {
            // One line for each second would bury the rest; the JSON file has them.
            fields.remove("goodput_by_second");
        }
        value
    }
}

fn leaves(value: &Value) -> Vec<(String, String)> {
    let mut found = Vec::new();
    add_leaves("", value, &mut found);
    found
}

fn add_leaves(path: &str, value: &Value, found: &mut Vec<(String, String)>) {
    match value {
        Value::Object(fields) => {
            for (name, value) in fields {
                let inner = if path.is_empty() {
                    name.clone()
                } else {
                    format!("{path}.{name}")
                };
                add_leaves(&inner, value, found);
            }
        }
        Value::Number(number) if number.is_f64() => {
            let number = number.as_f64().unwrap_or_default();
            found.push((path.into(), format!("{number:.3}")));
        }
        Value::Null => found.push((path.into(), "not measured".into())),
        other => found.push((path.into(), other.to_string())),
    }
}
