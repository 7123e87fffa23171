//! Which backend servers fail or answer slowly, judged by the outcomes of our own requests.
//!
//! A server can pass its own health check and still fail what it is sent. Outcomes show it within a few requests;
//! such a server is left out for a while and then tried again with single requests.

use std::collections::HashMap;
use std::sync::Arc;

/// How one request at a backend server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Answered.
    Good,
    /// Turned away without a run: it is full.
    Full,
    /// The server says that it ran and failed; some requests fail at every server.
    Failed,
    /// It broke off or did not answer in time.
    Bad,
}

/// Score that one bad outcome adds; a good one takes the score down by half.
const BAD: f64 = 1.0;
/// Score of a refusal for want of room.
const FULL: f64 = 0.5;
/// Score of a failure that the server reports itself.
const FAILED: f64 = 0.35;
/// Score from which a server is left out.
const EJECT: f64 = 2.0;
/// First time for which a server is left out, in milliseconds; doubles with each further one.
const FIRST_OUT_MS: u64 = 1_000;
/// Longest time for which a server is left out, in milliseconds.
const MOST_OUT_MS: u64 = 4_000;

/// Weight of the newest measured time against the older ones.
const NEWEST: f64 = 0.2;
/// Age from which a measured time says nothing any more, in milliseconds: a server that was avoided for being slow
/// is then tried again.
const FRESH_MS: u64 = 3_000;
/// A server is slow at so many times the median of its peers,
const SLOW_FACTOR: f64 = 3.0;
/// if it also exceeds it by this, in milliseconds.
const SLOW_LEAST_MS: f64 = 40.0;
/// Servers whose times are needed for a median.
const LEAST_PEERS: usize = 3;

#[derive(Debug, Default)]
struct Score {
    bad: f64,
    out_until: u64,
    out_ms: u64,
    time_ms: f64,
    timed_at: Option<u64>,
}

/// Scores by the server's id.
#[derive(Debug, Default)]
pub struct Health {
    scores: HashMap<Arc<str>, Score>,
}

impl Health {
    /// Takes one outcome; returns whether the server is left out from now on.
    pub fn outcome(&mut self, id: &Arc<str>, outcome: Outcome, now_ms: u64) -> bool {
        let score = self.scores.entry(id.clone()).or_default();
        match outcome {
            Outcome::Good => {
                score.bad *= 0.5;
                if score.bad < 0.1 {
                    score.out_ms = 0;
                }
                return false;
            }
            Outcome::Full => score.bad += FULL,
            Outcome::Failed => score.bad += FAILED,
            Outcome::Bad => score.bad += BAD,
        }
        if score.bad < EJECT || now_ms < score.out_until {
            return false;
        }
        score.out_ms = (score.out_ms * 2).clamp(FIRST_OUT_MS, MOST_OUT_MS);
        score.out_until = now_ms + score.out_ms;
        // One more bad outcome after the time is enough to leave it out again.
        score.bad = EJECT - BAD;
        true
    }

    /// Whether the server is left out at this moment.
    pub fn is_out(&self, id: &str, now_ms: u64) -> bool {
        let score = self.scores.get(id);
        score.is_some_and(|score| now_ms < score.out_until)
    }

    /// Takes a measured time of a server: of one whole answer, or between two events of a stream.
    pub fn time(&mut self, id: &Arc<str>, time_ms: f64, now_ms: u64) {
        let score = self.scores.entry(id.clone()).or_default();
        let known = score.timed_at.filter(|at| now_ms < at + FRESH_MS);
        score.time_ms = match known {
            Some(_) => score.time_ms * (1.0 - NEWEST) + time_ms * NEWEST,
            None => time_ms,
        };
        score.timed_at = Some(now_ms);
    }

    /// The measured time, if it is fresh.
    pub fn measured(&self, id: &str, now_ms: u64) -> Option<f64> {
        let score = self.scores.get(id)?;
        let at = score.timed_at?;
        (now_ms < at + FRESH_MS).then_some(score.time_ms)
    }

    /// The time from which one of these servers is slow, if enough of them were measured.
    pub fn slow_from<'a, Ids>(&self, ids: Ids, now_ms: u64) -> Option<f64>
    where
        Ids: Iterator<Item = &'a str>,
    {
        let mut times: Vec<f64> = ids.filter_map(|id| self.measured(id, now_ms)).collect();
        if times.len() < LEAST_PEERS {
            return None;
        }
        times.sort_by(f64::total_cmp);
        let median = times[times.len() / 2];
        Some((median * SLOW_FACTOR).max(median + SLOW_LEAST_MS))
    }

    /// How much worse than sound the server is; 0 for a sound one.
    pub fn penalty(&self, id: &str) -> f64 {
        self.scores.get(id).map_or(0.0, |score| score.bad)
    }

    /// Forgets a server: it has started again, or is gone.
    pub fn forget(&mut self, id: &str) {
        self.scores.remove(id);
    }

    /// Forgets servers that are no longer listed.
    pub fn retain<Listed>(&mut self, listed: Listed)
    where
        Listed: Fn(&str) -> bool,
    {
        self.scores.retain(|id, _| listed(id));
    }
}
