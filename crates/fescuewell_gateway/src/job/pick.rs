//! Choice of the backend server for an attempt, and waits for servers that accept no requests now.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use fescuewell_core::log_event;
use fescuewell_core::prelude::*;
use fescuewell_forward::choice::{self, Criteria, MAX_SUBSET_SIZE, placement};
use fescuewell_forward::condition::Wait;
use fescuewell_forward::retry_after;
use fescuewell_forward::server::Entry;

use super::candidates::Candidates;
use super::crash::InFlight;
use super::permit::Placed;
use super::{Job, Permit};
use crate::gateway::condition;

/// Fraction of the target latency that a request waits for a server that accepts no requests now.
/// The rest is enough for the server to respond.
const SERVER_WAIT_FRACTION: f64 = 0.5;

impl Job {
    /// Refuses the request if the service has no backend server that can take it in time.
    pub(super) fn check_servers(&self) -> Result<(), Refusal> {
        let now_ms = self.gateway.now_ms();
        let has_server = {
            let state = self.gateway.state();
            let mut ready = state.registry.ready(&self.service.name, now_ms);
            ready.next().is_some()
        };
        if !has_server {
            return Err(Refusal::new(Code::NoServer));
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
            if Instant::now() >= self.route_deadline {
                return Err(Refusal::new(match self.possibly_executed {
                    true => Code::TimedOut,
                    false => Code::DeadlineTooNear,
                }));
            }
            if let Some(permit) = self.try_pick() {
                return Ok(permit);
            }
            let wait = self.first_wait();
            if self.possibly_executed && !wait.is_some_and(|wait| self.may_wait(wait)) {
                return Err(Refusal::new(Code::OutcomeUnknown));
            }
            let Some(wait) = wait else {
                let tried = self.shortest_wait(|_| true);
                return Err(tried.map_or(Refusal::new(Code::NoServer), |wait| self.busy(wait)));
            };
            if !self.may_wait(wait) {
                return Err(self.busy(wait));
            }
            tokio::time::sleep(Duration::from_millis(wait.here_ms)).await;
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
        let until = self.arrived + self.route.target_latency.mul_f64(SERVER_WAIT_FRACTION);
        Instant::now() + Duration::from_millis(wait.here_ms) <= until.min(self.route_deadline)
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
        let service = &self.service.name;
        let mut shortest: Option<Wait> = None;
        for server in state.registry.subset(service, key, MAX_SUBSET_SIZE, now_ms) {
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

    /// Picks a server that accepts the request now, or returns `None`.
    fn try_pick(&mut self) -> Option<Permit> {
        let now_ms = self.gateway.now_ms();
        let random = self.gateway.random_u64();
        let uses_forecast = self.uses_forecast();
        let mut state = self.gateway.state();
        state.load.expire_announcements(now_ms);
        let criteria = self.criteria(random);
        let shares = match self.service.warmup {
            Some(_) => {
                let instance = &self.gateway.settings.name;
                let key = self.subset_key(&criteria);
                state.cold_shares(&self.service.name, key, instance, now_ms)
            }
            None => HashMap::new(),
        };
        // Taken out while the candidates borrow the state.
        let mut assignment = std::mem::take(&mut state.assignment);
        let candidates = Candidates::new(&state, self, &criteria, &shares, now_ms);
        let listed_count = candidates.listed_count;
        let is_connected = |server: &Entry| self.gateway.client.has_idle(server.address);
        let eligible = &candidates.eligible;
        let mut placed = None;
        let chosen = if self.is_isolated(&state, now_ms) {
            choice::least_loaded(eligible, &state.load, &state.health, now_ms)
        } else if uses_forecast {
            let request = self.placement_request(criteria);
            let known = placement::Knowledge {
                load: &state.load,
                health: &state.health,
                forecast: &state.forecast,
                recent: &state.recent_prompts,
            };
            placed = placement::pick(
                eligible,
                &request,
                known,
                &mut assignment,
                is_connected,
                now_ms,
            );
            placed.map(|placed| placed.server)
        } else {
            choice::pick(
                eligible,
                &criteria,
                &state.load,
                &state.health,
                is_connected,
                now_ms,
            )
        };
        let is_late = placed.is_some_and(|placed| placed.is_late);
        let placed = placed.map(|placed| Placed {
            sent: placed.sent,
            first_event_ms: placed.first_event_ms,
        });
        let server = chosen.cloned();
        state.assignment = assignment;
        let server = server?;
        let prompt = self.prompt_tokens();
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
        drop(state);
        if is_late {
            let metrics = &self.gateway.metrics;
            metrics.count_late_placement(&self.service.name);
        }
        let forecast_ms = placed.map(|placed| placed.first_event_ms.round());
        let forecast_ms = forecast_ms.map_or("-".to_owned(), |ms| ms.to_string());
        log_event!(
            Event::RouteChosen,
            "request={} route={} service={} server={} candidates={listed_count} running={running} limit={} configuration={} account={} forecast_ms={forecast_ms}",
            self.id,
            self.route.name,
            self.service.name,
            server.id,
            condition::limit_text(limit),
            self.version,
            self.account.as_ref().map_or("-", |account| &account.name)
        );
        self.tried.push(server.id.clone());
        let in_flight = InFlight::begin(&self.gateway, self.fingerprint);
        let is_announced = self
            .gateway
            .is_prompt_announced(&self.service.name, prefill_tokens);
        let permit = Permit::acquire(
            &self.gateway,
            server,
            prefill_tokens,
            is_announced,
            in_flight,
        );
        Some(permit.with_forecast(placed))
    }

    fn uses_forecast(&self) -> bool {
        let table = self.gateway.table();
        table.is_some_and(|table| table.is_gap_sensitive(&self.service.name))
    }

    fn prompt_tokens(&self) -> u64 {
        self.metadata.tokens.map_or(0, |tokens| tokens.prompt)
    }

    fn placement_request<'a>(&'a self, criteria: Criteria<'a>) -> placement::Request<'a> {
        let target = self.route.target_latency;
        let left = target.saturating_sub(self.arrived.elapsed());
        placement::Request {
            service: &self.service.name,
            criteria,
            prompt_tokens: self.prompt_tokens(),
            target_ms: left.as_secs_f64() * 1_000.0,
            target_gap_ms: self.route.target_gap.as_secs_f64() * 1_000.0,
        }
    }

    /// Returns the key of the servers among which the request chooses: its prefix if servers cache
    /// it, else the instance, so that its connections are used again.
    pub(super) fn subset_key(&self, criteria: &Criteria<'_>) -> u64 {
        let instance = &self.gateway.settings.name;
        let prefix = criteria.affinity_hash();
        prefix.unwrap_or_else(|| choice::hash(instance))
    }
}
