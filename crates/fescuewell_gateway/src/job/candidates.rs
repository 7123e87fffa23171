//! Candidate selection among backend servers.

use std::collections::HashMap;
use std::sync::Arc;

use fescuewell_forward::server::Entry;

use super::Job;
use crate::gateway::State;

/// Backend servers that a request may be sent to now.
pub(super) struct Candidates<'a> {
    /// Number of servers of the service that accept new requests.
    pub(super) ready_count: usize,
    /// Servers that have not been tried, and are warm or have credit at this instance.
    pub(super) eligible: Vec<&'a Arc<Entry>>,
}

impl<'a> Candidates<'a> {
    /// Selects the candidates for a job. `shares` maps the cold servers that this instance may use
    /// to the number of instances that share each.
    pub(super) fn new(
        state: &'a State,
        job: &'a Job,
        shares: &HashMap<Arc<str>, usize>,
        now_ms: u64,
    ) -> Self {
        let all: Vec<&Arc<Entry>> = state.registry.ready(&job.service.name, now_ms).collect();
        let ready_count = all.len();
        let mut eligible = Vec::with_capacity(ready_count);
        for entry in all {
            if job.tried.contains(&entry.id) {
                continue;
            }
            if !is_eligible(state, job, shares, entry, now_ms) {
                continue;
            }
            eligible.push(entry);
        }
        Self {
            ready_count,
            eligible,
        }
    }
}

/// Returns `true` if a server is warm, or cold with credit at this instance.
fn is_eligible(
    state: &State,
    job: &Job,
    shares: &HashMap<Arc<str>, usize>,
    entry: &Entry,
    now_ms: u64,
) -> bool {
    let Some(limit) = &job.service.warmup else {
        return true;
    };
    match shares.get(&entry.id) {
        Some(share) => state.warmup.has_credit(&entry.id, limit, *share, now_ms),
        None => !state.registry.is_cold(&entry.id, now_ms),
    }
}
