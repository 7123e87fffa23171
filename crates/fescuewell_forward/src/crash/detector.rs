//! Distinguishes a backend server crash from a lost connection.
//!
//! ```text
//!             connection broke            refused, restarted or removed
//!   Healthy --------------------> Suspected -------------------------------> Crashed
//!     ^                              |
//!     +--- accepted, or 8 s ---------+
//! ```
//!
//! Servers that are draining, delisted or in an evacuated zone may close connections at any time
//! and must not be reported to [`Detector::lost`].

use std::collections::HashMap;
use std::sync::Arc;

use super::Run;
use crate::server::{Entry, Incarnation};

/// Time in milliseconds for which a lost exchange may still turn out to be a crash; exceeds the
/// expiry of list entries.
const SUSPICION_MS: u64 = 8_000;
/// Retention of a crash in milliseconds; the connections of one server do not all break at once.
const CRASHED_MS: u64 = 10_000;
/// Maximum number of requests per suspected server.
const MAX_REQUESTS: usize = 1_024;

/// Evidence of a server crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Evidence {
    /// It refuses connections.
    Refused,
    /// It restarted under the same id.
    Restarted,
    /// It left the list without draining.
    Removed,
}

/// How an exchange with a server was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Loss {
    /// The connection broke.
    Broken,
    /// The server did not respond in time.
    Silent,
}

/// Conclusion from a lost exchange.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Finding {
    /// The server has crashed.
    Crashed,
    /// Undecided; the caller has to probe the server's address.
    Probe,
    /// Undecided; a probe is in progress.
    Awaited,
    /// Undecided; only the server list can settle it.
    Open,
}

/// State of the connection probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ProbeState {
    None,
    InProgress,
    Silent,
}

/// A server that may have crashed, with the requests that it was running.
#[derive(Debug)]
struct Suspicion {
    since_ms: u64,
    probe: ProbeState,
    runs: Vec<Run>,
}

impl Suspicion {
    fn add(&mut self, run: Run) {
        let is_full = self.runs.len() >= MAX_REQUESTS;
        let mut runs = self.runs.iter_mut();
        match runs.find(|known| known.request == run.request) {
            Some(known) => known.stage = known.stage.min(run.stage),
            None if is_full => {}
            None => self.runs.push(run),
        }
    }
}

/// Suspected and crashed servers, as seen by one instance.
#[derive(Debug, Default)]
pub struct Detector {
    suspected: HashMap<Incarnation, Suspicion>,
    crashed: HashMap<Incarnation, u64>,
}

impl Detector {
    /// Reports a lost exchange at `now_ms` of the local clock.
    pub fn lost(&mut self, server: &Entry, run: Run, loss: Loss, now_ms: u64) -> Finding {
        self.expire(now_ms);
        let incarnation = server.incarnation();
        if self.crashed.contains_key(&incarnation) {
            return Finding::Crashed;
        }
        let suspicion = self
            .suspected
            .entry(incarnation)
            .or_insert_with(|| Suspicion {
                since_ms: now_ms,
                probe: ProbeState::None,
                runs: Vec::new(),
            });
        suspicion.add(run);
        match (loss, suspicion.probe) {
            (Loss::Broken, ProbeState::None) => {
                suspicion.probe = ProbeState::InProgress;
                Finding::Probe
            }
            (Loss::Broken, ProbeState::InProgress) => Finding::Awaited,
            (Loss::Broken, ProbeState::Silent) | (Loss::Silent, _) => Finding::Open,
        }
    }

    /// Marks a server as crashed. Returns the distinct requests that it was running, the likeliest
    /// causes first.
    pub fn crashed(&mut self, incarnation: Incarnation, now_ms: u64) -> Vec<Run> {
        self.crashed.entry(incarnation).or_insert(now_ms);
        let suspicion = self.suspected.remove(&incarnation);
        let mut runs = suspicion
            .map(|suspicion| suspicion.runs)
            .unwrap_or_default();
        runs.sort_by_key(|run| run.stage);
        runs
    }

    /// Clears the suspicion: the server accepts connections.
    pub fn accepted(&mut self, incarnation: Incarnation) {
        self.suspected.remove(&incarnation);
    }

    /// Returns `true` if the server is known to have crashed.
    pub fn has_crashed(&self, incarnation: Incarnation) -> bool {
        self.crashed.contains_key(&incarnation)
    }

    /// Ends a probe without a conclusion.
    pub fn silent(&mut self, incarnation: Incarnation) {
        if let Some(suspicion) = self.suspected.get_mut(&incarnation) {
            suspicion.probe = ProbeState::Silent;
        }
    }

    /// Returns `true` while it is undecided whether the server has crashed.
    pub fn is_suspected(&self, incarnation: Incarnation) -> bool {
        self.suspected.contains_key(&incarnation)
    }

    /// Returns `true` while a probe is in progress.
    pub fn is_probed(&self, incarnation: Incarnation) -> bool {
        let suspicion = self.suspected.get(&incarnation);
        suspicion.is_some_and(|suspicion| suspicion.probe == ProbeState::InProgress)
    }

    /// Evaluates the removal or restart of a listed server. Returns the evidence if it crashed.
    pub fn ended(&self, former: &Arc<Entry>, is_restarted: bool) -> Option<Evidence> {
        let incarnation = former.incarnation();
        if former.is_draining() || self.crashed.contains_key(&incarnation) {
            return None;
        }
        if is_restarted {
            return Some(Evidence::Restarted);
        }
        // Removal alone is no evidence: a delisted server may continue serving.
        let is_suspected = self.suspected.contains_key(&incarnation);
        is_suspected.then_some(Evidence::Removed)
    }

    fn expire(&mut self, now_ms: u64) {
        self.suspected
            .retain(|_, suspicion| now_ms < suspicion.since_ms + SUSPICION_MS);
        self.crashed.retain(|_, at_ms| now_ms < *at_ms + CRASHED_MS);
    }
}
