//! Tells the crash of a backend server from a lost connection.
//!
//! ```text
//!             connection broke            refused, or started again
//!   Sound ----------------------> Doubted -------------------------> Crashed
//!     ^                              |
//!     +--- accepted, or 8 s ---------+
//! ```
//!
//! A server that drains, has left the list or stands in an evacuated zone may close its connections at any time: callers of
//! [`Watch::lost`] pass over those.

use std::collections::HashMap;
use std::sync::Arc;

use super::Fingerprint;
use crate::server::{Entry, Incarnation};

/// Time for which a broken connection may still turn out to be a crash, in milliseconds: longer than the list takes to drop a
/// server that is silent.
const DOUBT_MS: u64 = 8_000;
/// Time for which a crash is remembered, in milliseconds: connections of one server do not all break at the same moment.
const CRASHED_MS: u64 = 10_000;
/// Most requests that are remembered for one server.
const MOST_REQUESTS: usize = 1_024;

/// What showed that a server has crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Evidence {
    /// Nothing listens at its address.
    Refused,
    /// It has started again under its name.
    Restarted,
    /// It left the list without draining.
    Removed,
}

/// How a request's exchange with a server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Loss {
    /// The connection broke.
    Broken,
    /// The server stayed silent for too long.
    Silent,
}

/// What that means so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Finding {
    /// The server has crashed.
    Crashed,
    /// The caller is to find out whether the server still accepts connections.
    Probe,
    /// Another request finds it out already.
    Awaited,
    /// Only the list can tell.
    Open,
}

/// Whether a connection attempt may tell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Attempt {
    None,
    UnderWay,
    Silent,
}

/// A server that may have crashed.
#[derive(Debug)]
struct Doubt {
    since_ms: u64,
    attempt: Attempt,
    requests: Vec<Fingerprint>,
}

/// Servers whose connections broke, and what they were running for this instance.
#[derive(Debug, Default)]
pub struct Watch {
    doubted: HashMap<Incarnation, Doubt>,
    crashed: HashMap<Incarnation, u64>,
}

impl Watch {
    /// Notes how a request's exchange with a server ended, at `now_ms` of the own clock.
    pub fn lost(
        &mut self,
        server: &Entry,
        request: Fingerprint,
        loss: Loss,
        now_ms: u64,
    ) -> Finding {
        self.expire(now_ms);
        let incarnation = server.incarnation();
        if self.crashed.contains_key(&incarnation) {
            return Finding::Crashed;
        }
        let doubt = self.doubted.entry(incarnation).or_insert_with(|| Doubt {
            since_ms: now_ms,
            attempt: Attempt::None,
            requests: Vec::new(),
        });
        if doubt.requests.len() < MOST_REQUESTS && !doubt.requests.contains(&request) {
            doubt.requests.push(request);
        }
        match (loss, doubt.attempt) {
            (Loss::Broken, Attempt::None) => {
                doubt.attempt = Attempt::UnderWay;
                Finding::Probe
            }
            (Loss::Broken, Attempt::UnderWay) => Finding::Awaited,
            (Loss::Broken, Attempt::Silent) | (Loss::Silent, _) => Finding::Open,
        }
    }

    /// The server has crashed: returns the requests that it was running, each once.
    pub fn crashed(&mut self, incarnation: Incarnation, now_ms: u64) -> Vec<Fingerprint> {
        self.crashed.entry(incarnation).or_insert(now_ms);
        let doubt = self.doubted.remove(&incarnation);
        doubt.map(|doubt| doubt.requests).unwrap_or_default()
    }

    /// The server accepts connections: only the connection was lost.
    pub fn accepted(&mut self, incarnation: Incarnation) {
        self.doubted.remove(&incarnation);
    }

    /// Whether the server is known to have crashed.
    pub fn has_crashed(&self, incarnation: Incarnation) -> bool {
        self.crashed.contains_key(&incarnation)
    }

    /// A connection attempt showed nothing: only the list can tell now.
    pub fn silent(&mut self, incarnation: Incarnation) {
        if let Some(doubt) = self.doubted.get_mut(&incarnation) {
            doubt.attempt = Attempt::Silent;
        }
    }

    /// Whether a connection attempt is under way that tells if the server has crashed.
    pub fn is_probed(&self, incarnation: Incarnation) -> bool {
        let doubt = self.doubted.get(&incarnation);
        doubt.is_some_and(|doubt| doubt.attempt == Attempt::UnderWay)
    }

    /// Takes what the list says of a server's former entry: it is gone, or has started again. Returns the evidence where that
    /// shows a crash.
    pub fn ended(&self, former: &Arc<Entry>, is_restarted: bool) -> Option<Evidence> {
        let incarnation = former.incarnation();
        if former.is_draining() || self.crashed.contains_key(&incarnation) {
            return None;
        }
        if is_restarted {
            return Some(Evidence::Restarted);
        }
        // A server may leave the list and go on with its work for a while.
        let is_doubted = self.doubted.contains_key(&incarnation);
        is_doubted.then_some(Evidence::Removed)
    }

    fn expire(&mut self, now_ms: u64) {
        self.doubted
            .retain(|_, doubt| now_ms < doubt.since_ms + DOUBT_MS);
        self.crashed.retain(|_, at_ms| now_ms < *at_ms + CRASHED_MS);
    }
}
