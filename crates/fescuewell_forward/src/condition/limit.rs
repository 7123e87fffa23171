//! Request rates that backend servers accept from the whole fleet.

use std::collections::HashMap;
use std::sync::Arc;

use super::Declared;

/// Request rate in thousandths of a request per second.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rate(u64);

impl Rate {
    /// Creates a rate from requests per second. Returns `None` for a negative or infinite number.
    pub fn from_per_s(per_s: f64) -> Option<Self> {
        // The cast saturates.
        (per_s.is_finite() && per_s >= 0.0).then_some(Self((per_s * 1_000.0) as u64))
    }

    /// Returns the requests per second.
    pub fn per_s(self) -> f64 {
        self.0 as f64 / 1_000.0
    }
}

impl std::fmt::Display for Rate {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}", self.per_s())
    }
}

/// Change of a server's limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Change {
    /// Limit before.
    pub former: Option<Rate>,
    /// Limit from now on.
    pub limit: Option<Rate>,
}

/// Limits of the backend servers, by server id.
#[derive(Debug, Default)]
pub struct Limits {
    servers: HashMap<Arc<str>, Rate>,
}

impl Limits {
    /// Records what a response of a server declares. Returns the change, if any.
    pub fn record(&mut self, server: &Arc<str>, declared: Declared<Rate>) -> Option<Change> {
        let former = self.get(server);
        let limit = match declared {
            Declared::Absent => None,
            Declared::Malformed => return None,
            Declared::Value(limit) => Some(limit),
        };
        if limit == former {
            return None;
        }
        match limit {
            Some(limit) => self.servers.insert(server.clone(), limit),
            None => self.servers.remove(server),
        };
        Some(Change { former, limit })
    }

    /// Returns a server's limit, if it has one.
    pub fn get(&self, server: &str) -> Option<Rate> {
        self.servers.get(server).copied()
    }

    /// Number of servers with a limit.
    pub fn count(&self) -> usize {
        self.servers.len()
    }

    /// Forgets a server that has restarted or is gone.
    pub fn forget(&mut self, server: &str) {
        self.servers.remove(server);
    }
}
