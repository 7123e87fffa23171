//! Answers that an instance ends while their servers are silent.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::caller::{Exchange, Kind};

/// Deadline that all requests carry.
const DEADLINE: Duration = Duration::from_secs(5);

/// Servers to which one request may be sent, as set in the configuration.
const MAX_ATTEMPTS: usize = 2;

/// A span in which an instance was stopped or cut off.
pub struct Absence {
    pub instance: usize,
    pub from: Instant,
    pub until: Instant,
}

/// What was done while servers were silent.
pub struct Record {
    pub from: Instant,
    pub until: Instant,
    /// Shortest timeout of a route.
    pub timeout: Duration,
    pub absences: Vec<Absence>,
}

impl Record {
    fn covers(&self, exchange: &Exchange) -> bool {
        exchange.sent >= self.from && exchange.ended <= self.until
    }

    /// Whether the answer is owed: neither deadline nor timeout was reached, and the instance was there all the time.
    fn owes(&self, exchange: &Exchange) -> bool {
        let is_in_time = exchange.ended - exchange.sent < self.timeout.min(DEADLINE);
        let is_absent = self.absences.iter().any(|absence| {
            let overlaps = exchange.sent < absence.until && exchange.ended > absence.from;
            absence.instance == exchange.front && overlaps
        });
        is_in_time && !is_absent
    }

    /// Describes each answer to a request that may be repeated and that reached a server, but did not arrive whole. A silent
    /// server is no reason to end one, nor to send the request to more servers than its route allows.
    pub fn violations(
        &self,
        exchanges: &[Exchange],
        run_counts: &HashMap<&str, usize>,
    ) -> Vec<String> {
        let mut violations = Vec::new();
        for exchange in exchanges {
            let may_repeat = matches!(exchange.kind, Kind::Safe | Kind::Stream);
            let run_count = run_counts.get(exchange.id.as_str());
            let run_count = run_count.copied().unwrap_or_default();
            if !may_repeat || run_count == 0 || !self.covers(exchange) {
                continue;
            }
            if run_count > MAX_ATTEMPTS {
                violations.push(format!("{} ran {run_count} times", exchange.id));
            }
            if !self.owes(exchange) {
                continue;
            }
            let response = exchange.response.as_ref();
            if response.is_some_and(|response| response.status == 200 && response.is_complete) {
                continue;
            }
            let status = response.map_or(0, |response| response.status);
            let events = response.map_or(0, |response| response.events().len());
            let took = (exchange.ended - exchange.sent).as_millis();
            let at = (exchange.sent - self.from).as_millis();
            violations.push(format!(
                "{} ({:?}) sent at {at} ms was ended after {took} ms: status {status}, {events} events",
                exchange.id, exchange.kind
            ));
        }
        violations
    }
}
