//! Tokens of requests that are held back by the rate limit; the next journal admits them.

/// Time, in milliseconds, for which rate-limited requests count as waiting, from the first of them.
/// Most requests wait no longer than this.
///
/// Without this limit the first journal after an outage would admit every request refused during
/// it, and a kill right after that journal would be charged for all of them.
const WAITING_MS: u64 = 300;

/// Sum of the tokens of rate-limited requests.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct Waiting {
    tokens: u64,
    since_ms: u64,
}

impl Waiting {
    /// Adds a request that has to wait.
    pub(super) fn add(&mut self, tokens: u64, store_ms: u64) {
        if store_ms > self.since_ms + WAITING_MS {
            self.tokens = 0;
            self.since_ms = store_ms;
        }
        self.tokens += tokens;
    }

    /// Takes the tokens still waiting at `store_ms`. Each request is admitted only once.
    pub(super) fn take(&mut self, store_ms: u64) -> u64 {
        let waiting = std::mem::take(self);
        match store_ms > waiting.since_ms + WAITING_MS {
            true => 0,
            false => waiting.tokens,
        }
    }
}
