//! Checks of the guarantees against what callers and backend servers observed.

use std::collections::HashMap;

use fescuewell::standin::worker::{EVENTS, Run};

use crate::caller::{Exchange, Kind, PROMPT_TOKENS};
use crate::lost::Record;
use crate::poison;
use crate::streams;

/// Output tokens of one event, as set in the configuration.
const TOKENS_PER_EVENT: u64 = 7;

/// Describes every violated guarantee.
pub fn violations(
    exchanges: &[Exchange],
    runs: &[Vec<Run>],
    prepaid: u64,
    record: &Record,
) -> Vec<String> {
    let run_counts = run_counts(runs);
    let mut violations = record.violations(exchanges, &run_counts);
    for exchange in exchanges {
        let run_count = run_counts
            .get(exchange.id.as_str())
            .copied()
            .unwrap_or_default();
        violations.extend(violation(exchange, run_count));
        violations.extend(streams::violation(exchange));
    }
    let served = exchanges
        .iter()
        .filter(|exchange| is_success(exchange))
        .count();
    if served == 0 {
        violations.push("no request was served".into());
    }
    let consumed_tokens = consumed_tokens(exchanges, &run_counts);
    if consumed_tokens > prepaid {
        violations.push(format!(
            "{consumed_tokens} tokens were consumed of {prepaid} prepaid"
        ));
    }
    violations
}

/// Counts how often each request ran.
pub fn run_counts(runs: &[Vec<Run>]) -> HashMap<&str, usize> {
    let mut run_counts: HashMap<&str, usize> = HashMap::new();
    for run in runs.iter().flatten() {
        *run_counts.entry(&run.id).or_default() += 1;
    }
    run_counts
}

fn is_success(exchange: &Exchange) -> bool {
    exchange
        .response
        .as_ref()
        .is_some_and(|response| response.status == 200)
}

fn violation(exchange: &Exchange, run_count: usize) -> Option<String> {
    let may_repeat = matches!(exchange.kind, Kind::Safe | Kind::Stream);
    if !may_repeat && run_count > 1 {
        return Some(format!("{} ran {run_count} times", exchange.id));
    }
    let response = exchange.response.as_ref()?;
    if poison::is_quarantined(response) {
        return Some(format!(
            "{} crashes nothing and is quarantined",
            exchange.id
        ));
    }
    let claims_not_run = matches!(response.status, 402 | 408 | 421 | 429 | 503);
    if claims_not_run && !may_repeat && run_count > 0 {
        return Some(format!(
            "{} was answered {} and ran",
            exchange.id, response.status
        ));
    }
    if response.status != 200 {
        return None;
    }
    let seal = response
        .header("x-fescuewell-response-seal")
        .unwrap_or_default();
    if !seal.ends_with(&format!(".{}", exchange.id)) {
        return Some(format!("{} got the seal {seal}", exchange.id));
    }
    if matches!(exchange.kind, Kind::Stream | Kind::StreamOnce) {
        let events = response.events();
        let expected: Vec<u64> = (1..=events.len() as u64).collect();
        let is_truncated = response.is_complete && events.len() as u64 != EVENTS;
        let wrong = events != expected || is_truncated;
        return wrong.then(|| {
            format!(
                "{} got the events {events:?}, complete: {}",
                exchange.id, response.is_complete
            )
        });
    }
    let wrong = response.is_complete && response.text() != format!("{} ran", exchange.id);
    wrong.then(|| format!("{} got {:?}", exchange.id, response.text()))
}

/// Returns a lower bound of the tokens consumed: the prompt of each streaming request that ran, counted once, and the
/// events received.
fn consumed_tokens(exchanges: &[Exchange], run_counts: &HashMap<&str, usize>) -> u64 {
    let streams = exchanges.iter();
    let streams =
        streams.filter(|exchange| matches!(exchange.kind, Kind::Stream | Kind::StreamOnce));
    let started = streams.filter(|exchange| run_counts.contains_key(exchange.id.as_str()));
    started
        .map(|exchange| {
            let events = exchange
                .response
                .as_ref()
                .map_or(0, |response| response.events().len() as u64);
            PROMPT_TOKENS + events * TOKENS_PER_EVENT
        })
        .sum()
}
