//! Backend servers that this instance does not reach while another instance does.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use crate::server::{Entry, Incarnation};

/// Maximum number of servers whose path is checked or lost. Failures at further ones are taken for those of
/// the servers.
const MAX_SERVERS: usize = 512;
/// Minimum interval between two checks of a server, in milliseconds. A check costs a question to other
/// instances.
const CHECK_INTERVAL_MS: u64 = 500;
/// Minimum time for which a path counts as lost, in milliseconds, so that it does not alternate.
const MIN_LOST_MS: u64 = 1_000;
/// Number of consecutive successful probes after which a path is back.
const MIN_GOOD_PROBES: u32 = 2;

/// Path to a server that is lost.
#[derive(Debug, Clone)]
struct Lost {
    server: Arc<Entry>,
    since_ms: u64,
    good_probes: u32,
}

/// Paths to single servers. One that is not known is whole.
#[derive(Debug, Default)]
pub struct Servers {
    lost: HashMap<Incarnation, Lost>,
    checking: HashSet<Incarnation>,
    /// When a server may be checked again.
    next_check_ms: HashMap<Incarnation, u64>,
}

impl Servers {
    /// Returns `true` if requests to a server have to be sent by another instance.
    pub fn is_lost(&self, server: &Entry) -> bool {
        !self.lost.is_empty() && self.lost.contains_key(&server.incarnation())
    }

    /// Returns `true` while the path to a server is checked.
    pub fn is_checking(&self, server: &Entry) -> bool {
        !self.checking.is_empty() && self.checking.contains(&server.incarnation())
    }

    /// Returns `true` while the path to any server is checked.
    pub fn has_checks(&self) -> bool {
        !self.checking.is_empty()
    }

    /// Begins a check of a server unless one is in progress, has just ended, or has found the path lost.
    /// Returns `true` if it was begun.
    pub fn begin_check(&mut self, server: &Entry, now_ms: u64) -> bool {
        self.next_check_ms.retain(|_, at_ms| now_ms < *at_ms);
        let id = server.incarnation();
        let is_busy = self.lost.contains_key(&id)
            || self.checking.contains(&id)
            || self.next_check_ms.contains_key(&id);
        let is_full = self.lost.len() + self.checking.len() >= MAX_SERVERS
            || self.next_check_ms.len() >= MAX_SERVERS;
        !is_busy && !is_full && self.checking.insert(id)
    }

    /// Ends a check. The path is lost if this instance did not reach the server and another one did.
    /// Returns `true` if it is.
    pub fn end_check(&mut self, server: &Arc<Entry>, is_lost: bool, now_ms: u64) -> bool {
        let id = server.incarnation();
        self.checking.remove(&id);
        if !is_lost {
            self.next_check_ms.insert(id, now_ms + CHECK_INTERVAL_MS);
            return false;
        }
        let lost = Lost {
            server: server.clone(),
            since_ms: now_ms,
            good_probes: 0,
        };
        self.lost.insert(id, lost);
        true
    }

    /// Returns the servers to which the path is lost.
    pub fn lost(&self) -> impl Iterator<Item = &Arc<Entry>> {
        self.lost.values().map(|lost| &lost.server)
    }

    /// Number of servers to which the path is lost.
    pub fn count(&self) -> usize {
        self.lost.len()
    }

    /// Records whether a probe reached a server. Returns `true` if the path to it is back.
    pub fn probed(&mut self, server: &Entry, is_reached: bool, now_ms: u64) -> bool {
        let id = server.incarnation();
        let Some(lost) = self.lost.get_mut(&id) else {
            return false;
        };
        lost.good_probes = match is_reached {
            true => lost.good_probes + 1,
            false => 0,
        };
        let is_back = lost.good_probes >= MIN_GOOD_PROBES && now_ms >= lost.since_ms + MIN_LOST_MS;
        if is_back {
            self.lost.remove(&id);
        }
        is_back
    }

    /// Forgets all lost paths, because the path to all servers is lost.
    pub fn clear(&mut self) {
        self.lost.clear();
    }

    /// Forgets a server that has restarted or left.
    pub fn forget(&mut self, server: &Entry) {
        self.lost.remove(&server.incarnation());
    }
}
