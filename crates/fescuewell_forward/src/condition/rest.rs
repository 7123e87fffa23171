//! Times in which backend servers want no requests from this instance.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Servers that rejected a request of this instance and asked for rest, by id.
#[derive(Debug, Default)]
pub struct Rests {
    until_ms: HashMap<Arc<str>, u64>,
}

impl Rests {
    /// Records that a server wants no requests for a while from `now_ms` on. The end never moves
    /// forward: an earlier rejection asked for its whole time.
    pub fn record(&mut self, server: &Arc<str>, rest: Duration, now_ms: u64) {
        let rest_ms = u64::try_from(rest.as_millis()).unwrap_or(u64::MAX);
        let until_ms = now_ms.saturating_add(rest_ms);
        self.expire(now_ms);
        let known_ms = self.until_ms.entry(server.clone()).or_default();
        *known_ms = until_ms.max(*known_ms);
    }

    /// Returns the time until a server accepts requests of this instance, in milliseconds.
    pub fn wait_ms(&self, server: &str, now_ms: u64) -> u64 {
        let until_ms = self.until_ms.get(server).copied().unwrap_or_default();
        until_ms.saturating_sub(now_ms)
    }

    /// Returns `true` if no server has asked for rest lately.
    pub fn is_empty(&self) -> bool {
        self.until_ms.is_empty()
    }

    /// Number of servers that rest at `now_ms`.
    pub fn count(&self, now_ms: u64) -> usize {
        let ends = self.until_ms.values();
        ends.filter(|until_ms| **until_ms > now_ms).count()
    }

    /// Drops rests that have ended.
    pub fn expire(&mut self, now_ms: u64) {
        self.until_ms.retain(|_, until_ms| *until_ms > now_ms);
    }

    /// Forgets a server that has restarted or is gone.
    pub fn forget(&mut self, server: &str) {
        self.until_ms.remove(server);
    }
}
