//! Outlier detection: which backend servers fail or respond slowly, judged by the outcomes of this
//! instance's requests.
//!
//! A server can pass its own health check and still fail the requests it receives. Outcomes reveal
//! it within a few requests; such a server is ejected for a while and then retried. In a fleet each
//! instance sends few requests to each server, so that instances report failures to each other;
//! see [`failure`].

pub mod failure;

use std::collections::HashMap;
use std::sync::Arc;

/// Outcome of a request at a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It responded successfully.
    Good,
    /// It rejected the request without running it, since it is at capacity.
    Full,
    /// It ran the request and reported a failure; some requests fail at every server.
    Failed,
    /// It ran the request and reported a failure, which a model engine does only if it is faulty.
    Faulty,
    /// The exchange broke off or timed out.
    Bad,
}

/// Score of an [`Outcome::Bad`]; an [`Outcome::Good`] halves the server's score.
const BAD_SCORE: f64 = 1.0;
/// Score of an [`Outcome::Full`].
const FULL_SCORE: f64 = 0.5;
/// Score of an [`Outcome::Failed`].
const FAILED_SCORE: f64 = 0.35;
/// Time in which the score of failures reported by other instances halves, in milliseconds. An
/// instance that does not use a server sees no good outcome that would halve it.
const REPORTED_HALF_LIFE_MS: f64 = 2_000.0;
/// Score from which a server is ejected.
const EJECTION_SCORE: f64 = 2.0;
/// Duration of the first ejection in milliseconds; doubles with each further one.
const BASE_EJECTION_MS: u64 = 1_000;
/// Maximum duration of an ejection in milliseconds.
const MAX_EJECTION_MS: u64 = 4_000;

/// Weight of the newest sample in the moving average of latencies.
const LATENCY_WEIGHT: f64 = 0.2;
/// Age from which a latency is discarded, in milliseconds; a server that was avoided as slow is
/// then tried again.
const LATENCY_TTL_MS: u64 = 3_000;
/// A server is slow if its latency is more than this multiple of the median.
const SLOW_FACTOR: f64 = 3.0;
/// Minimum difference between a slow latency and the median, in milliseconds.
const MIN_SLOW_EXCESS_MS: f64 = 40.0;
/// Minimum number of servers with a latency for a meaningful median.
const MIN_MEASURED_SERVERS: usize = 3;

#[derive(Debug, Default)]
struct ServerHealth {
    /// Sum of the outcomes' scores, halved by each good one.
    score: f64,
    /// Sum of the scores of failures that other instances reported; halves from `reported_at_ms` on.
    reported: f64,
    reported_at_ms: u64,
    ejected_until_ms: u64,
    /// Duration of the last ejection.
    ejection_ms: u64,
    /// Exponentially weighted moving average.
    latency_ms: f64,
    measured_at_ms: Option<u64>,
}

impl ServerHealth {
    fn reported_score(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.reported_at_ms) as f64;
        self.reported * 0.5_f64.powf(age_ms / REPORTED_HALF_LIFE_MS)
    }

    fn eject_if_failing(&mut self, now_ms: u64) -> bool {
        let score = self.score + self.reported_score(now_ms);
        if score < EJECTION_SCORE || now_ms < self.ejected_until_ms {
            return false;
        }
        self.ejection_ms = (self.ejection_ms * 2).clamp(BASE_EJECTION_MS, MAX_EJECTION_MS);
        self.ejected_until_ms = now_ms + self.ejection_ms;
        // A single bad outcome after the ejection is enough for the next one.
        let remainder = EJECTION_SCORE - BAD_SCORE;
        if self.score >= remainder {
            self.score = remainder;
            self.reported = 0.0;
        } else {
            // Reports ejected the server. This instance may not use it and would keep an own score
            // for good, so the remainder expires: from one ejection's duration after the end.
            self.score = 0.0;
            self.reported = remainder;
            self.reported_at_ms = self.ejected_until_ms + self.ejection_ms;
        }
        true
    }
}

/// Health of the backend servers by id.
#[derive(Debug, Default)]
pub struct Health {
    servers: HashMap<Arc<str>, ServerHealth>,
}

impl Health {
    /// Records an outcome. Returns `true` if it ejects the server.
    pub fn record_outcome(&mut self, id: &Arc<str>, outcome: Outcome, now_ms: u64) -> bool {
        let server = self.servers.entry(id.clone()).or_default();
        match outcome {
            Outcome::Good => {
                server.score *= 0.5;
                server.reported *= 0.5;
                if server.score < 0.1 {
                    server.ejection_ms = 0;
                }
                return false;
            }
            Outcome::Full => server.score += FULL_SCORE,
            Outcome::Failed => server.score += FAILED_SCORE,
            Outcome::Faulty | Outcome::Bad => server.score += BAD_SCORE,
        }
        server.eject_if_failing(now_ms)
    }

    /// Records a failure of a model engine that another instance reported. Returns `true` if it
    /// ejects the server. Reports during an ejection are ignored, so that they do not add up while
    /// the other instances find out about the fault.
    pub fn record_reported(&mut self, id: &Arc<str>, now_ms: u64) -> bool {
        let server = self.servers.entry(id.clone()).or_default();
        if now_ms < server.ejected_until_ms {
            return false;
        }
        server.reported = server.reported_score(now_ms) + BAD_SCORE;
        server.reported_at_ms = now_ms;
        server.eject_if_failing(now_ms)
    }

    /// Returns `true` if the server is ejected.
    pub fn is_ejected(&self, id: &str, now_ms: u64) -> bool {
        let server = self.servers.get(id);
        server.is_some_and(|server| now_ms < server.ejected_until_ms)
    }

    /// Records a latency of a server: of a complete response or between two events of a stream.
    pub fn record_latency(&mut self, id: &Arc<str>, latency_ms: f64, now_ms: u64) {
        let server = self.servers.entry(id.clone()).or_default();
        let known = server
            .measured_at_ms
            .filter(|at| now_ms < at + LATENCY_TTL_MS);
        server.latency_ms = match known {
            Some(_) => server.latency_ms * (1.0 - LATENCY_WEIGHT) + latency_ms * LATENCY_WEIGHT,
            None => latency_ms,
        };
        server.measured_at_ms = Some(now_ms);
    }

    /// Returns the average latency of a server unless it is outdated.
    pub fn latency_ms(&self, id: &str, now_ms: u64) -> Option<f64> {
        let server = self.servers.get(id)?;
        let at = server.measured_at_ms?;
        (now_ms < at + LATENCY_TTL_MS).then_some(server.latency_ms)
    }

    /// Returns the latency above which one of these servers is slow, or `None` if too few of them
    /// were measured.
    pub fn slow_threshold_ms<'a, Ids>(&self, ids: Ids, now_ms: u64) -> Option<f64>
    where
        Ids: Iterator<Item = &'a str>,
    {
        let mut latencies: Vec<f64> = ids.filter_map(|id| self.latency_ms(id, now_ms)).collect();
        if latencies.len() < MIN_MEASURED_SERVERS {
            return None;
        }
        latencies.sort_by(f64::total_cmp);
        let median = latencies[latencies.len() / 2];
        Some((median * SLOW_FACTOR).max(median + MIN_SLOW_EXCESS_MS))
    }

    /// Returns the server's score as a load balancing penalty; 0 for a healthy server.
    pub fn penalty(&self, id: &str) -> f64 {
        self.servers.get(id).map_or(0.0, |server| server.score)
    }

    /// Forgets a server that has restarted or is gone.
    pub fn forget(&mut self, id: &str) {
        self.servers.remove(id);
    }

    /// Forgets all servers.
    pub fn clear(&mut self) {
        self.servers.clear();
    }

    /// Forgets servers that are no longer listed.
    pub fn retain<Listed>(&mut self, listed: Listed)
    where
        Listed: Fn(&str) -> bool,
    {
        self.servers.retain(|id, _| listed(id));
    }
}
