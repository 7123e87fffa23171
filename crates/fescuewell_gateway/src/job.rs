//! A proxied request: choice of a backend server, retries and the final answer.

mod attempt;
mod candidates;
mod crash;
mod permit;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use fescuewell_core::log_event;
use fescuewell_core::prelude::*;
use fescuewell_forward::choice::{self, Criteria};
use fescuewell_forward::config::{Account, Kind, Route, Service};
use fescuewell_forward::crash::Fingerprint;
use fescuewell_http::listener::{Reply, Request};
use http::{HeaderMap, Method, Uri};

use crate::dialect::Facts;
use crate::gateway::Gateway;
use crate::hold::Hold;
use crate::{header, refusal};

use candidates::Candidates;
use crash::InFlight;

pub(crate) use attempt::{Answer, Attempt};
pub(crate) use crash::loss;
pub(crate) use permit::Permit;

/// Part of the target latency for which a request waits for tokens: the rest is enough for a backend server.
const TOKENS_PART: f64 = 0.5;
/// Servers that are tried while nothing could be sent to any of them.
const MOST_UNSENT: u32 = 4;

/// One request of a caller.
pub struct Job {
    pub(crate) gateway: Arc<Gateway>,
    pub(crate) id: Arc<str>,
    pub(crate) facts: Facts,
    pub(crate) route: Arc<Route>,
    pub(crate) service: Service,
    pub(crate) hold: Option<Hold>,
    tenant: Option<Arc<Account>>,
    version: u64,
    method: Method,
    target: Uri,
    headers: HeaderMap,
    body: Bytes,
    pub(crate) fingerprint: Fingerprint,
    is_probe: bool,
    arrived: Instant,
    deadline: Instant,
    limit: Instant,
    sends: u32,
    unsent: u32,
    tried: Vec<Arc<str>>,
    possibly_executed: bool,
    has_retry: bool,
    timed_out: bool,
    held_ms: u128,
    first_ms: u128,
}

impl Job {
    /// A request as it came in.
    pub fn new(gateway: Arc<Gateway>, request: Request, facts: Facts, id: Arc<str>) -> Self {
        let headers = header::request(&request.headers, gateway.dialect.names());
        Self {
            gateway,
            id,
            facts,
            route: Arc::new(unrouted()),
            service: Service {
                name: "".into(),
                max_connections: 0,
                engine: None,
                warmup: None,
            },
            hold: None,
            tenant: None,
            version: 0,
            method: request.method,
            target: path_only(request.target),
            headers,
            body: request.body,
            fingerprint: Fingerprint::default(),
            is_probe: false,
            arrived: request.arrived,
            deadline: request.arrived,
            limit: request.arrived,
            sends: 0,
            unsent: 0,
            tried: Vec::new(),
            possibly_executed: false,
            has_retry: false,
            timed_out: false,
            held_ms: 0,
            first_ms: 0,
        }
    }

    /// Sets the route, the service and the configuration's version that chose them.
    pub fn with_route(mut self, route: Arc<Route>, service: Service, version: u64) -> Self {
        self.route = route;
        self.service = service;
        self.version = version;
        self
    }

    /// Sets the client account.
    pub fn with_tenant(mut self, tenant: Option<Arc<Account>>) -> Self {
        self.tenant = tenant;
        self.fingerprint = self.identify();
        self
    }

    /// Sets until when the caller waits.
    pub fn with_deadline(mut self, deadline: Instant) -> Self {
        self.deadline = deadline;
        self.limit = deadline.min(self.arrived + self.route.timeout);
        self
    }

    /// Identity of the caller's attempt.
    pub fn id(&self) -> &Arc<str> {
        &self.id
    }

    /// Serves the request.
    pub async fn run(mut self, reply: Reply) {
        if let Err(code) = self.admit().await {
            return self.refuse(reply, code);
        }
        if !self.has_server() {
            // Waiting for tokens would be pointless.
            return self.refuse(reply, Code::NoServer);
        }
        if let Err(refusal) = self.reserve().await {
            return self.refuse_as(reply, refusal.code, refusal.retry_after);
        }
        self.held_ms = self.arrived.elapsed().as_millis();
        let now_ms = self.gateway.now_ms();
        let service = self.service.name.clone();
        {
            let mut state = self.gateway.state();
            state.retry.request(&service, now_ms);
            state.arrivals.add(now_ms, 1);
        }
        loop {
            let mut permit = match self.pick().await {
                Ok(permit) => permit,
                Err(code) => return self.refuse(reply, code),
            };
            let attempt = self.attempt(&mut permit, None).await;
            match attempt {
                Attempt::Whole(answer) => return self.answer(reply, answer, &permit),
                Attempt::Events(exchange, first) => {
                    return self.stream(reply, *exchange, first, permit).await;
                }
                Attempt::Failed(answer) if !self.may_retry() => {
                    return self.answer(reply, answer, &permit);
                }
                Attempt::Failed(_) => {}
                Attempt::Rejected | Attempt::NotSent | Attempt::Unknown => {
                    if let Some(code) = self.gives_up() {
                        return self.refuse(reply, code);
                    }
                }
            }
            drop(permit);
            log_event!(
                Event::RouteRetried,
                "request={} sends={} tried={}",
                self.id,
                self.sends,
                self.tried.join(",")
            );
        }
    }

    /// Whether any backend server of the service may get work.
    fn has_server(&self) -> bool {
        let now_ms = self.gateway.now_ms();
        let state = self.gateway.state();
        state
            .registry
            .ready(&self.service.name, now_ms)
            .next()
            .is_some()
    }

    /// Holds the tokens that the request may cost at most.
    async fn reserve(&mut self) -> Result<(), Refusal> {
        let Some(tokens) = self.facts.tokens else {
            return Ok(());
        };
        let Some(tenant) = self.tenant.clone() else {
            return Ok(());
        };
        if tenant.prepaid.is_none() || self.service.engine.is_none() {
            return Ok(());
        }
        let patience = self.route.target_latency.mul_f64(TOKENS_PART);
        let hold = Hold::take(&self.gateway, &tenant.name, tokens, &self.id, patience);
        self.hold = Some(hold.await?);
        Ok(())
    }

    /// Chooses a backend server that has not been tried.
    pub(crate) async fn pick(&mut self) -> Result<Permit, Code> {
        self.await_capacity().await?;
        if Instant::now() >= self.limit {
            return Err(match self.possibly_executed {
                true => Code::TimedOut,
                false => Code::DeadlineTooNear,
            });
        }
        let now_ms = self.gateway.now_ms();
        let random = self.gateway.draw();
        let mut state = self.gateway.state();
        let shares = match self.service.warmup {
            Some(_) => state.introduced(&self.service.name, &self.gateway.settings.name, now_ms),
            None => HashMap::new(),
        };
        let candidates = Candidates::new(&state, self, &shares, now_ms);
        let listed = candidates.listed;
        let shared = self
            .facts
            .parts
            .split_last()
            .map_or(&[][..], |(_, shared)| shared);
        let query = Criteria {
            affinity: shared.last().map(|part| &*part.id),
            shared_tokens: shared.iter().map(|part| part.tokens).sum(),
            zone: &self.gateway.settings.zone,
            random,
        };
        let chosen = match self.is_isolated(&state, now_ms) {
            true => choice::least_loaded(&candidates.open, &state.load, &state.health, now_ms),
            false => choice::pick(&candidates.open, &query, &state.load, &state.health, now_ms),
        };
        let chosen = chosen.cloned();
        let prompt = self.facts.tokens.map_or(0, |tokens| tokens.prompt);
        let unread = chosen.as_ref().map_or(0, |server| {
            state.load.uncached_tokens(prompt, &query, &server.id)
        });
        if let (Some(server), Some(part)) = (&chosen, query.affinity) {
            state.load.record_prefix(part, &server.id, now_ms);
        }
        if let (Some(server), Some(bound)) = (&chosen, &self.service.warmup)
            && let Some(share) = shares.get(&server.id)
        {
            state.warmup.record_send(&server.id, bound, *share, now_ms);
        }
        let running = chosen.as_ref().map(|entry| state.load.in_flight(&entry.id));
        drop(state);
        let Some(server) = chosen else {
            return Err(match self.possibly_executed {
                true => Code::OutcomeUnknown,
                false => Code::NoServer,
            });
        };
        log_event!(
            Event::RouteChosen,
            "request={} route={} service={} server={} candidates={listed} running={} configuration={} account={}",
            self.id,
            self.route.name,
            self.service.name,
            server.id,
            running.unwrap_or_default(),
            self.version,
            self.tenant.as_ref().map_or("-", |tenant| &tenant.name)
        );
        self.tried.push(server.id.clone());
        let in_flight = InFlight::begin(&self.gateway, self.fingerprint);
        Ok(Permit::take(&self.gateway, server, unread, in_flight))
    }

    /// Returns `true` if the request may be sent to another backend server; takes a retry from the fleet's budget.
    pub(crate) fn may_retry(&mut self) -> bool {
        if self.is_quarantined() {
            return false;
        }
        if self.possibly_executed && !self.route.kind.is_idempotent() {
            return false;
        }
        if self.sends >= self.route.max_attempts || Instant::now() >= self.limit {
            return false;
        }
        if self.sends == 0 {
            return self.unsent < MOST_UNSENT;
        }
        std::mem::take(&mut self.has_retry) || self.take_retry()
    }

    /// Returns `true` if an attempt may be abandoned for another one. Takes the retry first, since abandoning an attempt without one
    /// would fail a request that its server may be about to answer.
    pub(crate) fn may_give_up(&mut self) -> bool {
        let may_retry = self.route.kind.is_idempotent() && Instant::now() < self.limit;
        self.has_retry = may_retry && self.take_retry();
        self.has_retry
    }

    /// Takes a retry from the fleet's budget.
    fn take_retry(&mut self) -> bool {
        let now_ms = self.gateway.now_ms();
        let mut state = self.gateway.state();
        let instances = state.directory.count();
        state.retry.try_retry(&self.service.name, instances, now_ms)
    }

    /// The code of the answer where no further attempt is made.
    fn gives_up(&mut self) -> Option<Code> {
        if self.may_retry() {
            return None;
        }
        if self.is_quarantined() {
            return Some(Code::Quarantined);
        }
        Some(match (self.possibly_executed, self.timed_out) {
            (true, true) => Code::TimedOut,
            (true, false) => Code::OutcomeUnknown,
            (false, _) if self.sends > 0 => Code::TurnedAway,
            (false, _) => Code::NoServer,
        })
    }

    fn refuse(&self, reply: Reply, code: Code) {
        self.refuse_as(reply, code, None);
    }

    fn refuse_as(&self, reply: Reply, code: Code, wait: Option<Duration>) {
        let took = self.arrived.elapsed();
        self.gateway.metrics.refusal(&self.route.name, code, took);
        log_event!(
            Event::RouteRefused,
            "request={} route={} account={} code={} cause={} sends={} fingerprint={} configuration={} age_ms={}",
            self.id,
            self.route.name,
            self.tenant.as_ref().map_or("-", |tenant| &tenant.name),
            code.number(),
            code.name(),
            self.sends,
            self.fingerprint,
            self.version,
            self.arrived.elapsed().as_millis()
        );
        refusal::answer(reply, code, wait, self.gateway.is_leaving());
    }

    fn answer(mut self, reply: Reply, answer: Answer, permit: &Permit) {
        if let (Some(hold), Some(tokens)) = (&mut self.hold, self.facts.tokens)
            && answer.status.is_success()
        {
            hold.deliver(tokens.most_output);
        }
        let closing = self.gateway.is_leaving();
        let headers = header::answer(&answer.headers, closing);
        reply.whole(answer.status, headers, answer.body);
        self.done(permit, answer.status.as_str());
    }

    pub(crate) fn done(&mut self, permit: &Permit, outcome: &str) {
        if let Some(hold) = &mut self.hold {
            hold.tell();
        }
        let took = self.arrived.elapsed();
        let metrics = &self.gateway.metrics;
        metrics.request(&self.route.name, outcome, took);
        metrics.attempt(&self.service.name, "answered");
        log_event!(
            Event::RequestDone,
            "request={} route={} server={} outcome={outcome} sends={} tokens={} held_ms={} first_ms={} age_ms={}",
            self.id,
            self.route.name,
            permit.server.id,
            self.sends,
            self.hold.as_ref().map_or(0, Hold::cost),
            self.held_ms,
            self.first_ms,
            self.arrived.elapsed().as_millis()
        );
    }
}

/// The path and query of a request's target; the rest of an absolute one names the host.
fn path_only(target: Uri) -> Uri {
    let path = target.into_parts().path_and_query;
    path.map(Uri::from).unwrap_or_default()
}

fn unrouted() -> Route {
    Route {
        name: "".into(),
        host: "".into(),
        prefix: "/".into(),
        kind: Kind::Unsafe,
        timeout: Duration::ZERO,
        target_latency: Duration::ZERO,
        priority: 0,
        splits: Vec::new(),
        max_attempts: 1,
        public: false,
        sticky: false,
        target_gap: Duration::ZERO,
    }
}
