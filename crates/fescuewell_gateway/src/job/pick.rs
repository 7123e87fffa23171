//! Choice of the backend server for an attempt, and waits for servers that accept no requests now.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use fescuewell_core::log_event;
use fescuewell_core::prelude::*;
use fescuewell_forward::choice::{self, Criteria, MAX_SUBSET_SIZE};
use fescuewell_forward::condition::Wait;
use fescuewell_forward::hedge::Obstacle;
use fescuewell_forward::retry_after;
use fescuewell_forward::server::Entry;

use super::candidates::Candidates;
use super::crash::InFlight;
use super::{Binding, Job, Permit};
use crate::gateway::{State, condition};

/// Fraction of the target latency that a request waits for a server that accepts no requests now.
/// The rest is enough for the server to respond.
const SERVER_WAIT_FRACTION: f64 = 0.5;

/// Which server of a request is picked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Role {
    /// The only one that is asked.
    Only,
    /// One that is asked beside a silent one.
    Second { window_ms: Option<u64> },
}

impl Job {
    /// Refuses the request if the service has no backend server that can take it in time.
    pub(super) fn check_servers(&self) -> Result<(), Refusal> {
        let now_ms = self.gateway.now_ms();
        let has_server = {
            let state = self.gateway.state();
            let servers = self.subset(&state, 0, 1, now_ms);
            !servers.is_empty()
        };
        if !has_server {
            return Err(self.no_server());
        }
        match self.first_wait() {
            Some(wait) if !self.may_wait(wait) => Err(self.busy(wait)),
            _ => Ok(()),
        }
    }

    /// Picks a backend server that has not been tried and registers the request there. Waits for
    /// one that accepts no requests now, if that leaves enough time.
    pub(crate) async fn pick_server(&mut self) -> Result<Permit, Refusal> {
        loop {
            self.await_capacity().await.map_err(Refusal::new)?;
            if Instant::now() >= self.attempts_until() {
                return Err(Refusal::new(match self.possibly_executed {
                    true => Code::TimedOut,
                    false => Code::DeadlineTooNear,
                }));
            }
            if let Ok(permit) = self.try_pick(Role::Only) {
                return Ok(permit);
            }
            let wait = self.first_wait();
            if self.possibly_executed && !wait.is_some_and(|wait| self.may_wait(wait)) {
                return Err(Refusal::new(Code::OutcomeUnknown));
            }
            let Some(wait) = wait else {
                let tried = self.shortest_wait(|_| true);
                return Err(tried.map_or_else(|| self.no_server(), |wait| self.busy(wait)));
            };
            if !self.may_wait(wait) {
                return Err(self.busy(wait));
            }
            tokio::time::sleep(Duration::from_millis(wait.here_ms)).await;
        }
    }

    /// Returns servers of the service that may receive new work, of the software version to which the
    /// request is bound.
    fn subset<'a>(
        &'a self,
        state: &'a State,
        key: u64,
        limit: usize,
        now_ms: u64,
    ) -> Vec<&'a Arc<Entry>> {
        let service = &self.service.name;
        let build = self.binding.build();
        state.registry.subset_of(service, build, key, limit, now_ms)
    }

    fn no_server(&self) -> Refusal {
        match self.binding.build() {
            Some(_) => self.version_gone(),
            None => Refusal::new(Code::NoServer),
        }
    }

    /// Returns `true` if the stream may not go on at any other server: its version is not known, or all
    /// servers of it have been tried or accept no requests.
    pub(crate) fn is_version_gone(&self) -> bool {
        match self.binding {
            Binding::Free => false,
            Binding::Unknown => true,
            Binding::Bound(build) => {
                let now_ms = self.gateway.now_ms();
                let state = self.gateway.state();
                let mut servers = state.registry.of_build(build, 0, now_ms);
                !servers.any(|server| !self.tried.contains(&server.id))
            }
        }
    }

    /// Returns `true` if servers are left to try but none of them accepts a request in time.
    pub(super) fn is_blocked(&self) -> bool {
        self.first_wait().is_some_and(|wait| !self.may_wait(wait))
    }

    fn busy(&self, wait: Wait) -> Refusal {
        let delay_ms = retry_after::spread_ms(
            wait.here_ms.min(wait.anywhere_ms),
            self.gateway.random_u64(),
        );
        Refusal::new(Code::ServersBusy).with_retry_after(Duration::from_millis(delay_ms))
    }

    fn may_wait(&self, wait: Wait) -> bool {
        let until = match self.forwarded {
            0 => self.arrived + self.route.target_latency.mul_f64(SERVER_WAIT_FRACTION),
            // It cannot be refused any more.
            _ => self.deadline,
        };
        Instant::now() + Duration::from_millis(wait.here_ms) <= until.min(self.attempts_until())
    }

    /// Returns the shortest wait for a server that has not been tried, or `None` if one of them
    /// accepts a request now or there is none.
    fn first_wait(&self) -> Option<Wait> {
        self.shortest_wait(|id| !self.tried.iter().any(|tried| **tried == *id))
    }

    /// Returns the shortest wait for a selected server of the service, or `None` if one of them
    /// accepts a request now or there is none.
    fn shortest_wait<Selected>(&self, is_selected: Selected) -> Option<Wait>
    where
        Selected: Fn(&str) -> bool,
    {
        let now_ms = self.gateway.now_ms();
        let state = self.gateway.state();
        if state.conditions.is_empty() {
            return None;
        }
        let now = state.moment(now_ms);
        let key = self.subset_key(&self.criteria(0));
        let mut shortest: Option<Wait> = None;
        for server in self.subset(&state, key, MAX_SUBSET_SIZE, now_ms) {
            if !is_selected(&server.id) {
                continue;
            }
            let wait = state.conditions.wait(&server.id, now)?;
            shortest = Some(shortest.map_or(wait, |shortest| shortest.min(wait)));
        }
        shortest
    }

    /// Returns when a caller should return whose request servers rejected. A short time if some
    /// server accepts requests, otherwise the time until the first one does.
    pub(super) fn return_delay(&self, code: Code) -> Option<Duration> {
        if code != Code::TurnedAway {
            return None;
        }
        let wait = self.shortest_wait(|_| true)?;
        self.busy(wait).retry_after
    }

    fn criteria(&self, random: u64) -> Criteria<'_> {
        let parts = self.metadata.prompt_parts.split_last();
        let shared_parts = parts.map_or(&[][..], |(_, shared_parts)| shared_parts);
        Criteria {
            affinity: shared_parts.last().map(|part| &*part.id),
            shared_tokens: shared_parts.iter().map(|part| part.tokens).sum(),
            random,
        }
    }

    /// Picks a server that is asked beside a silent one, if it accepts the request now and the retry budget
    /// allows it. With `window_ms`, servers that work on requests of this instance must have been heard
    /// within that time.
    pub(super) fn pick_second(&mut self, window_ms: Option<u64>) -> Result<Permit, Obstacle> {
        self.try_pick(Role::Second { window_ms })
    }

    /// Picks a server that accepts the request now.
    fn try_pick(&mut self, role: Role) -> Result<Permit, Obstacle> {
        let now_ms = self.gateway.now_ms();
        let random = self.gateway.random_u64();
        let mut state = self.gateway.state();
        let criteria = self.criteria(random);
        let shares = match self.service.warmup {
            Some(_) => {
                let instance = &self.gateway.settings.name;
                let key = self.subset_key(&criteria);
                let build = self.binding.build();
                state.cold_shares(&self.service.name, build, key, instance, now_ms)
            }
            None => HashMap::new(),
        };
        let mut candidates = Candidates::new(&state, self, &criteria, &shares, now_ms);
        if candidates.eligible.is_empty() {
            return Err(Obstacle::NoServer);
        }
        if let Role::Second {
            window_ms: Some(window_ms),
        } = role
        {
            let service = &self.service.name;
            let may_answer = state.activity.candidates(service, window_ms, now_ms);
            candidates.eligible.retain(|entry| may_answer(&entry.id));
        }
        let listed_count = candidates.listed_count;
        let chosen = match self.is_isolated(&state, now_ms) {
            true => choice::least_loaded(&candidates.eligible, &state.load, &state.health, now_ms),
            false => choice::pick(
                &candidates.eligible,
                &criteria,
                &state.load,
                &state.health,
                |server| self.gateway.client.has_idle(server.address),
                now_ms,
            ),
        };
        let server = chosen.cloned().ok_or(Obstacle::Quiet)?;
        if role != Role::Only && !state.take_retry(&self.service.name, now_ms) {
            return Err(Obstacle::NoRetry);
        }
        let prompt = self.metadata.tokens.map_or(0, |tokens| tokens.prompt);
        let prefill_tokens = state.load.uncached_tokens(prompt, &criteria, &server.id);
        if let Some(part) = criteria.affinity {
            state.load.record_prefix(part, &server.id, now_ms);
        }
        if let (Some(limit), Some(share)) = (&self.service.warmup, shares.get(&server.id)) {
            state.warmup.record_send(&server.id, limit, *share, now_ms);
        }
        let now = state.moment(now_ms);
        state.conditions.record_send(&server.id, now);
        let running = state.load.in_flight(&server.id);
        let limit = state.conditions.limits.get(&server.id);
        let list_age_ms = state.cursor.age_ms(now_ms).unwrap_or_default();
        drop(state);
        log_event!(
            Event::RouteChosen,
            "request={} route={} service={} server={} software={} resumes={} after={} candidates={listed_count} running={running} limit={} configuration={} account={} list_age_ms={list_age_ms}",
            self.id,
            self.route.name,
            self.service.name,
            server.id,
            server.software(),
            self.metadata.resumes.value().map_or("-", |id| id),
            self.metadata
                .last_event_id
                .value()
                .map_or("-".into(), |id| id.to_string()),
            condition::limit_text(limit),
            self.version,
            self.account.as_ref().map_or("-", |account| &account.name)
        );
        self.tried.push(server.id.clone());
        let in_flight = InFlight::begin(&self.gateway, self.fingerprint, self.parts.clone());
        Ok(Permit::acquire(
            &self.gateway,
            server,
            prefill_tokens,
            in_flight,
        ))
    }

    /// Returns the key of the servers among which the request chooses: its prefix if servers cache
    /// it, else the instance, so that its connections are used again.
    pub(super) fn subset_key(&self, criteria: &Criteria<'_>) -> u64 {
        let instance = &self.gateway.settings.name;
        let prefix = criteria.affinity_hash();
        prefix.unwrap_or_else(|| choice::hash(instance))
    }
}
