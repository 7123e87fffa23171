//! Candidate selection among backend servers.

use std::collections::HashMap;
use std::sync::Arc;

use fescuewell_forward::choice::{self, Criteria, MAX_SUBSET_SIZE, SUBSET_SIZE};
use fescuewell_forward::server::Entry;

use super::Job;
use crate::gateway::State;

/// Backend servers that a request may be sent to now.
pub(super) struct Candidates<'a> {
    /// Number of servers of the service that are listed as ready.
    pub(super) listed_count: usize,
    /// Servers that have not been tried and accept a request of this instance.
    pub(super) eligible: Vec<&'a Arc<Entry>>,
}

impl<'a> Candidates<'a> {
    /// Selects the candidates for a job: the servers that cache its prefix, and a subset of the
    /// others that grows while all of it is saturated. `shares` maps the cold servers that this
    /// instance may use to the number of instances that share each.
    pub(super) fn new(
        state: &'a State,
        job: &'a Job,
        criteria: &Criteria<'_>,
        shares: &HashMap<Arc<str>, usize>,
        now_ms: u64,
    ) -> Self {
        let service = &job.service.name;
        let key = job.subset_key(criteria);
        let mut size = SUBSET_SIZE;
        let eligible = loop {
            let build = job.binding.build();
            let mut servers = state.registry.subset_of(service, build, key, size, now_ms);
            let is_whole_service = servers.len() < size;
            add_caching(&mut servers, state, service, criteria, now_ms);
            servers.retain(|entry| build.is_none() || entry.build() == build);
            servers.retain(|entry| is_eligible(state, job, shares, entry, now_ms));
            let is_saturated = choice::is_saturated(&servers, &state.load, &state.health, now_ms);
            if !is_saturated || is_whole_service || size >= MAX_SUBSET_SIZE {
                break servers;
            }
            size *= 2;
        };
        let eligible = match state.is_list_doubtful(now_ms) {
            true => prefer_confirmed(eligible, state, now_ms),
            false => eligible,
        };
        Self {
            listed_count: state.registry.listed_count(service),
            eligible,
        }
    }
}

/// Returns the servers that have shown in a response that they are not leaving, or all of them if
/// none has.
fn prefer_confirmed<'a>(
    servers: Vec<&'a Arc<Entry>>,
    state: &State,
    now_ms: u64,
) -> Vec<&'a Arc<Entry>> {
    let confirmed = servers.iter().copied();
    let confirmed = confirmed.filter(|entry| state.registry.is_confirmed(&entry.id, now_ms));
    let confirmed: Vec<&Arc<Entry>> = confirmed.collect();
    match confirmed.is_empty() {
        true => servers,
        false => confirmed,
    }
}

/// Adds the servers that cache the request's prefix; they may be outside the subset.
fn add_caching<'a>(
    servers: &mut Vec<&'a Arc<Entry>>,
    state: &'a State,
    service: &str,
    criteria: &Criteria<'_>,
    now_ms: u64,
) {
    let Some(prefix) = criteria.affinity_hash() else {
        return;
    };
    for id in state.load.servers_caching(prefix) {
        if servers.iter().any(|entry| entry.id == *id) {
            continue;
        }
        servers.extend(state.registry.ready_entry(service, id, now_ms));
    }
}

/// Returns `true` if a server has not been tried, accepts a request by the conditions that it has
/// declared, and is warm or has credit at this instance.
fn is_eligible(
    state: &State,
    job: &Job,
    shares: &HashMap<Arc<str>, usize>,
    entry: &Entry,
    now_ms: u64,
) -> bool {
    if job.tried.contains(&entry.id) {
        return false;
    }
    if !state.conditions.is_empty() {
        let now = state.moment(now_ms);
        if state.conditions.wait(&entry.id, now).is_some() {
            return false;
        }
    }
    let Some(limit) = &job.service.warmup else {
        return true;
    };
    match shares.get(&entry.id) {
        Some(share) => state.warmup.has_credit(&entry.id, limit, *share, now_ms),
        None => !state.registry.is_cold(&entry.id, now_ms),
    }
}
