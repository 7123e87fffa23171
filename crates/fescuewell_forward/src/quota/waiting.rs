//! Requests that wait for the pace, for which the next journal makes room.

/// Time, in milliseconds, for which a request that waits for the pace counts: as long as most of them wait.
///
/// Without it the first journal after an outage makes room for all that was refused in it, and a kill behind it is charged for them.
const WAITING_MS: u64 = 300;

/// Tokens of requests that wait for the pace.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct Waiting {
    tokens: u64,
    since_ms: u64,
}

impl Waiting {
    /// Counts a request that must wait.
    pub(super) fn add(&mut self, tokens: u64, store_ms: u64) {
        if store_ms > self.since_ms + WAITING_MS {
            self.tokens = 0;
            self.since_ms = store_ms;
        }
        self.tokens += tokens;
    }

    /// What waits at a moment; it is made room for once.
    pub(super) fn take(&mut self, store_ms: u64) -> u64 {
        let waiting = std::mem::take(self);
        match store_ms > waiting.since_ms + WAITING_MS {
            true => 0,
            false => waiting.tokens,
        }
    }
}
