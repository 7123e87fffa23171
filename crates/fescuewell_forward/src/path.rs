//! Whether this instance reaches the backend servers by itself.
//!
//! ```text
//!            new connections to two servers fail          no server is reached,
//!                                                         another instance reaches one
//!   Direct ---------------------------------> (check) ---------------------------> Lost
//!     ^                                          |                                  |
//!     +---------- a server is reached -----------+                                  |
//!     +---------------- most servers are reached, twice in a row -------------------+
//! ```
//!
//! Servers that are down, a service without servers and a full link of this instance look alike from
//! here. They are distinguished by asking another instance whether it reaches one of the servers.
//!
//! A response on an open connection does not show that the path works, because new connections may be
//! refused while open ones still work. If several servers do not respond, and no other response
//! arrives in between, a check is made: pooled connections that hang would otherwise delay it.

mod servers;

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

pub use servers::Servers;

/// Number of servers that must be unreachable before a check; fewer if fewer are listed.
const MIN_FAILED_SERVERS: usize = 2;
/// Time without a response after which a server counts as silent, in milliseconds.
pub const SILENCE_MS: u64 = 500;
/// Time for which a failed connection counts, in milliseconds.
const FAILURE_TTL_MS: u64 = 1_500;
/// Minimum interval between two checks, in milliseconds. A check costs connections to servers.
const CHECK_INTERVAL_MS: u64 = 500;
/// Minimum time for which the path counts as lost, in milliseconds, so that it does not alternate.
const MIN_LOST_MS: u64 = 1_000;
/// Number of consecutive successful probes of several servers after which the path is back.
const MIN_GOOD_ROUNDS: u32 = 2;

/// Result of a check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Check {
    /// This instance reached a server.
    pub is_reached: bool,
    /// Another instance reached a server that this one did not.
    pub is_reached_by_other: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum Path {
    #[default]
    Direct,
    Lost {
        since_ms: u64,
        good_rounds: u32,
    },
}

/// Judges whether this instance reaches the backend servers.
#[derive(Debug, Default)]
pub struct Monitor {
    path: Path,
    /// When a connection to a server failed last.
    failed: HashMap<Arc<str>, u64>,
    /// Servers that have not responded for [`SILENCE_MS`], since the last response of any.
    silent: HashSet<Arc<str>>,
    is_checking: bool,
    next_check_ms: u64,
}

impl Monitor {
    /// Returns `true` while this instance reaches no server by itself.
    pub fn is_lost(&self) -> bool {
        matches!(self.path, Path::Lost { .. })
    }

    /// Returns `true` while a check is in progress.
    pub fn is_checking(&self) -> bool {
        self.is_checking
    }

    /// Records that a new connection to one of `listed` servers failed. Returns `true` if a check must
    /// be made now.
    pub fn connection_failed(&mut self, server: &Arc<str>, listed: usize, now_ms: u64) -> bool {
        self.failed
            .retain(|_, failed_ms| now_ms < *failed_ms + FAILURE_TTL_MS);
        self.failed.insert(server.clone(), now_ms);
        self.failed.len() >= required(listed) && self.begin_check(now_ms)
    }

    /// Records that one of `listed` servers has not responded to a request for [`SILENCE_MS`]. Returns
    /// `true` if a check must be made now.
    pub fn server_silent(&mut self, server: &Arc<str>, listed: usize, now_ms: u64) -> bool {
        self.silent.insert(server.clone());
        self.silent.len() >= required(listed) && self.begin_check(now_ms)
    }

    /// Records a response of a server.
    pub fn server_responded(&mut self) {
        self.silent.clear();
    }

    /// Begins a check unless one is in progress or has just ended. Returns `true` if it was begun.
    pub fn begin_check(&mut self, now_ms: u64) -> bool {
        if self.is_lost() || self.is_checking || now_ms < self.next_check_ms {
            return false;
        }
        self.is_checking = true;
        true
    }

    /// Ends a check. Returns `true` if the path is lost.
    pub fn end_check(&mut self, check: Check, now_ms: u64) -> bool {
        self.is_checking = false;
        self.next_check_ms = now_ms + CHECK_INTERVAL_MS;
        self.silent.clear();
        if check.is_reached {
            self.failed.clear();
        }
        if check.is_reached || !check.is_reached_by_other {
            return false;
        }
        self.path = Path::Lost {
            since_ms: now_ms,
            good_rounds: 0,
        };
        true
    }

    /// Records how many of some servers were reached while the path was lost. Returns `true` if it is
    /// back.
    pub fn probed(&mut self, reached: usize, probed: usize, now_ms: u64) -> bool {
        let Path::Lost {
            since_ms,
            good_rounds,
        } = &mut self.path
        else {
            return false;
        };
        // Some of the servers may be down.
        let is_good = reached * 2 > probed;
        *good_rounds = match is_good {
            true => *good_rounds + 1,
            false => 0,
        };
        let is_back = *good_rounds >= MIN_GOOD_ROUNDS && now_ms >= *since_ms + MIN_LOST_MS;
        if is_back {
            self.path = Path::Direct;
            self.failed.clear();
        }
        is_back
    }
}

/// Returns how many of `listed` servers must be unreachable or silent.
fn required(listed: usize) -> usize {
    MIN_FAILED_SERVERS.min(listed.max(1))
}
