//! Servers where other instances had long prompts.

use std::collections::HashMap;
use std::sync::Arc;

use super::LONG_PROMPT_TOKENS;
use crate::choice::Report;
use crate::choice::announcement::Batch;

/// Time for which a long prompt is remembered after its last report, in milliseconds.
const RECENT_MS: u64 = 1_000;
/// Number of servers from which those with expired prompts are removed.
const MAX_SERVERS: usize = 1_024;

/// Servers at which other instances reported a long prompt, and when. A report shows a prompt only
/// while it is pending.
#[derive(Debug, Default)]
pub struct Recent {
    reported_at_ms: HashMap<Arc<str>, u64>,
}

impl Recent {
    /// Records the long prompts of a load report.
    pub fn record_report(&mut self, report: &Report, now_ms: u64) {
        for (server, _, pending_prefill) in &report.servers {
            if *pending_prefill >= LONG_PROMPT_TOKENS {
                self.record(server, now_ms);
            }
        }
    }

    /// Records the long prompts that another instance announces.
    pub fn record_batch(&mut self, batch: &Batch, now_ms: u64) {
        for prompt in &batch.prompts {
            if prompt.uncached_tokens >= LONG_PROMPT_TOKENS {
                self.record(&prompt.server, now_ms);
            }
        }
    }

    /// Records a long prompt of another instance.
    pub fn record(&mut self, server: &Arc<str>, now_ms: u64) {
        if self.reported_at_ms.len() >= MAX_SERVERS {
            self.reported_at_ms
                .retain(|_, at_ms| now_ms < *at_ms + RECENT_MS);
        }
        if self.reported_at_ms.len() < MAX_SERVERS {
            self.reported_at_ms.insert(server.clone(), now_ms);
        }
    }

    /// Returns `true` if another instance had a long prompt there within the last second.
    pub fn contains(&self, server: &str, now_ms: u64) -> bool {
        let at_ms = self.reported_at_ms.get(server);
        at_ms.is_some_and(|at_ms| now_ms < at_ms + RECENT_MS)
    }
}
