//! The backend servers among which a request's is chosen.

use std::collections::HashMap;
use std::sync::Arc;

use fescuewell_forward::server::Entry;

use super::Job;
use crate::gateway::State;

/// The servers that may get a request now.
pub(super) struct Candidates<'a> {
    /// How many of the service take work.
    pub(super) listed: usize,
    /// Those that were not tried, and are warm or have credit here.
    pub(super) open: Vec<&'a Arc<Entry>>,
}

impl<'a> Candidates<'a> {
    /// `shares` are the cold servers to which this instance may send, with the number of instances that share each.
    pub(super) fn new(
        state: &'a State,
        job: &'a Job,
        shares: &HashMap<Arc<str>, usize>,
        now_ms: u64,
    ) -> Self {
        let all: Vec<&Arc<Entry>> = state.registry.ready(&job.service.name, now_ms).collect();
        let listed = all.len();
        let mut open = Vec::with_capacity(listed);
        for entry in all {
            if job.tried.contains(&entry.id) {
                continue;
            }
            if !may_send(state, job, shares, entry, now_ms) {
                continue;
            }
            open.push(entry);
        }
        Self { listed, open }
    }
}

/// Whether a server is warm, or cold with credit at this instance.
fn may_send(
    state: &State,
    job: &Job,
    shares: &HashMap<Arc<str>, usize>,
    entry: &Entry,
    now_ms: u64,
) -> bool {
    let Some(bound) = &job.service.warmup else {
        return true;
    };
    match shares.get(&entry.id) {
        Some(share) => state.warmup.has_credit(&entry.id, bound, *share, now_ms),
        None => !state.registry.is_cold(&entry.id, now_ms),
    }
}
