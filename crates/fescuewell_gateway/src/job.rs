//! One request on its way: which backend server it is sent to, and what is done when that fails.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use fescuewell_core::log_event;
use fescuewell_core::prelude::*;
use fescuewell_forward::choice::{self, Wish};
use fescuewell_forward::config::{Kind, Route, Service, Tenant};
use fescuewell_forward::health::Outcome;
use fescuewell_forward::server::Entry;
use fescuewell_http::listener::{Reply, Request};
use fescuewell_http::upstream::{Error, Exchange, Target, Timeouts};
use http::header::HeaderValue;
use http::{HeaderMap, Method, StatusCode, Uri};

use crate::dialect::Facts;
use crate::gateway::Gateway;
use crate::hold::Hold;
use crate::{header, refusal};

/// Time for opening a connection; backend servers are a few milliseconds away.
const CONNECT: Duration = Duration::from_millis(300);
/// A safe request is tried elsewhere after so many times its target latency without an answer,
const SAFE_PATIENCE: u32 = 2;
/// but not before this time.
const SAFE_LEAST: Duration = Duration::from_millis(200);
/// A resumable stream is tried elsewhere after so many times its target latency without an event.
const STREAM_PATIENCE: u32 = 2;
/// A stream that may be resumed is taken up elsewhere after a pause of so many times the longest one that is still
/// on time.
const GAP_PATIENCE: f64 = 1.25;
/// Part of the target latency for which a request waits for tokens: the rest is enough for a backend server.
const TOKENS_PART: f64 = 0.5;
/// Largest answer that is read whole, in bytes.
const MOST_ANSWER: usize = 4 * 1024 * 1024;
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
    tenant: Option<Arc<Tenant>>,
    version: u64,
    method: Method,
    target: Uri,
    headers: HeaderMap,
    body: Bytes,
    arrived: Instant,
    deadline: Instant,
    limit: Instant,
    sends: u32,
    unsent: u32,
    tried: Vec<Arc<str>>,
    may_have_run: bool,
    timed_out: bool,
    held_ms: u128,
    first_ms: u128,
}

/// A backend server's answer.
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// How one attempt ended.
pub(crate) enum Attempt {
    /// Answered whole.
    Whole(Answer),
    /// The server ran it and says that it failed.
    Failed(Answer),
    /// Events have begun to come.
    Events(Box<Exchange>, Bytes),
    /// The server did not run it.
    TurnedAway,
    /// No byte of it left.
    NotSent,
    /// It may have run.
    Unknown,
}

/// A request under way at a backend server, for as long as this lives.
pub(crate) struct Place {
    gateway: Arc<Gateway>,
    pub(crate) server: Arc<Entry>,
    unread: u64,
}

impl Place {
    fn take(gateway: &Arc<Gateway>, server: Arc<Entry>, unread: u64) -> Self {
        gateway.state().load.begin(&server.id, unread);
        gateway.tell_loaded();
        Self {
            gateway: gateway.clone(),
            server,
            unread,
        }
    }

    /// The first event shows that the prompt has been read.
    fn first_event(&mut self) {
        let unread = std::mem::take(&mut self.unread);
        self.gateway.state().load.read(&self.server.id, unread);
        self.gateway.tell_loaded();
    }

    /// Notes how long the server took: for a whole answer, or between two events.
    pub(crate) fn time(&self, time: Duration) {
        let now_ms = self.gateway.now_ms();
        let time_ms = time.as_secs_f64() * 1_000.0;
        let mut state = self.gateway.state();
        state.health.time(&self.server.id, time_ms, now_ms);
    }

    /// Notes how the request ended at this server.
    pub(crate) fn judge(&self, outcome: Outcome) {
        let now_ms = self.gateway.now_ms();
        let ejected = self
            .gateway
            .state()
            .health
            .outcome(&self.server.id, outcome, now_ms);
        if ejected {
            log_event!(
                Event::ServerEjected,
                "server={} outcome={outcome:?}",
                self.server.id
            );
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut state = self.gateway.state();
        state.load.read(&self.server.id, self.unread);
        state.load.end(&self.server.id);
        drop(state);
        self.gateway.tell_loaded();
    }
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
            },
            hold: None,
            tenant: None,
            version: 0,
            method: request.method,
            target: path_only(request.target),
            headers,
            body: request.body,
            arrived: request.arrived,
            deadline: request.arrived,
            limit: request.arrived,
            sends: 0,
            unsent: 0,
            tried: Vec::new(),
            may_have_run: false,
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
    pub fn with_tenant(mut self, tenant: Option<Arc<Tenant>>) -> Self {
        self.tenant = tenant;
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
            let mut place = match self.pick() {
                Ok(place) => place,
                Err(code) => return self.refuse(reply, code),
            };
            let attempt = self.attempt(&mut place, None).await;
            match attempt {
                Attempt::Whole(answer) => return self.answer(reply, answer, &place),
                Attempt::Events(exchange, first) => {
                    return self.stream(reply, *exchange, first, place).await;
                }
                Attempt::Failed(answer) if !self.may_repeat() => {
                    return self.answer(reply, answer, &place);
                }
                Attempt::Failed(_) => {}
                Attempt::TurnedAway | Attempt::NotSent | Attempt::Unknown => {
                    if let Some(code) = self.gives_up() {
                        return self.refuse(reply, code);
                    }
                }
            }
            drop(place);
            log_event!(
                Event::RouteRetried,
                "request={} sends={} tried={}",
                self.id,
                self.sends,
                self.tried.join(",")
            );
        }
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
    pub(crate) fn pick(&mut self) -> Result<Place, Code> {
        if Instant::now() >= self.limit {
            return Err(match self.may_have_run {
                true => Code::TimedOut,
                false => Code::DeadlineTooNear,
            });
        }
        let now_ms = self.gateway.now_ms();
        let draw = self.gateway.draw();
        let mut state = self.gateway.state();
        let all: Vec<&Arc<Entry>> = state.registry.ready(&self.service.name).collect();
        let listed = all.len();
        let fresh: Vec<&Arc<Entry>> = all
            .into_iter()
            .filter(|entry| !self.tried.contains(&entry.id))
            .collect();
        let shared = self
            .facts
            .parts
            .split_last()
            .map_or(&[][..], |(_, shared)| shared);
        let wish = Wish {
            affinity: shared.last().map(|part| &*part.id),
            shared_tokens: shared.iter().map(|part| part.tokens).sum(),
            zone: &self.gateway.settings.zone,
            draw,
        };
        let chosen = choice::pick(&fresh, &wish, &state.load, &state.health, now_ms).cloned();
        if let (Some(server), Some(part)) = (&chosen, wish.affinity) {
            state.load.keep(part, &server.id, now_ms);
        }
        let running = chosen.as_ref().map(|entry| state.load.running(&entry.id));
        drop(state);
        let Some(server) = chosen else {
            return Err(match self.may_have_run {
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
        let unread = self.facts.tokens.map_or(0, |tokens| tokens.prompt);
        Ok(Place::take(&self.gateway, server, unread))
    }

    /// Sends the request to a backend server; `after` is the last event that the caller already has.
    pub(crate) async fn attempt(&mut self, place: &mut Place, after: Option<u64>) -> Attempt {
        let Some(request) = self.request(&place.server, after) else {
            return Attempt::NotSent;
        };
        let until = match self.route.kind.is_stream() {
            true => self.deadline,
            false => self.limit,
        };
        let target = Target::new(place.server.address).with_deadline(until);
        let sent_at = Instant::now();
        let opened = self
            .gateway
            .client
            .open(&target, request, self.timeouts())
            .await;
        let exchange = match opened {
            Ok(exchange) => exchange,
            Err(Error::NotSent { reason }) => {
                self.unsent += 1;
                place.judge(Outcome::Bad);
                self.note(place, "not_sent", &reason);
                return Attempt::NotSent;
            }
            Err(error) => {
                self.sent();
                return self.unknown(place, &error);
            }
        };
        self.receive(place, exchange, sent_at).await
    }

    async fn receive(
        &mut self,
        place: &mut Place,
        mut exchange: Exchange,
        sent_at: Instant,
    ) -> Attempt {
        self.sends += 1;
        let names = self.gateway.dialect.names().clone();
        let status = exchange.status;
        let refused = exchange.headers.contains_key(&names.not_run);
        if refused || status == StatusCode::MISDIRECTED_REQUEST {
            if status == StatusCode::MISDIRECTED_REQUEST {
                // The address belongs to another server now; the entry is of no use until it changes.
                self.gateway
                    .state()
                    .registry
                    .mark_draining(&place.server.id);
            } else {
                place.judge(Outcome::Full);
            }
            self.note(place, "turned_away", status.as_str());
            // Read to its end, so that the connection can be used again.
            if let Err(error) = exchange.whole(MOST_ANSWER).await {
                self.note(place, "refusal_broken", &error.to_string());
            }
            return Attempt::TurnedAway;
        }
        self.mark_run();
        let echoed = exchange.headers.get(&names.request_id);
        let own = echoed.is_some_and(|value| value.as_bytes() == self.id.as_bytes());
        let sealed = exchange.headers.contains_key(&names.seal);
        if !own || (status.is_success() && !sealed) {
            // An answer to another request that came late, or bytes that no server sealed: its connection
            // is dropped with it.
            return self.unknown(place, &"the answer belongs to another request");
        }
        if self.route.kind.is_stream() && status.is_success() {
            return match exchange.next_chunk().await {
                Some(Ok(first)) => {
                    place.first_event();
                    let took = self.arrived.elapsed();
                    self.first_ms = took.as_millis();
                    self.gateway.metrics.first_event(&self.route.name, took);
                    Attempt::Events(Box::new(exchange), first)
                }
                Some(Err(error)) => self.unknown(place, &error),
                None => self.unknown(place, &"a stream without events"),
            };
        }
        let headers = std::mem::take(&mut exchange.headers);
        match exchange.whole(MOST_ANSWER).await {
            Ok(body) => {
                let answer = Answer {
                    status,
                    headers,
                    body,
                };
                if status.is_server_error() {
                    place.judge(Outcome::Failed);
                    self.note(place, "failed", status.as_str());
                    return Attempt::Failed(answer);
                }
                place.judge(Outcome::Good);
                place.time(sent_at.elapsed());
                Attempt::Whole(answer)
            }
            Err(error) => self.unknown(place, &error),
        }
    }

    /// The request as the backend server gets it.
    fn request(&self, server: &Entry, after: Option<u64>) -> Option<http::Request<Bytes>> {
        let names = self.gateway.dialect.names();
        let mut headers = self.headers.clone();
        let left = self.deadline.saturating_duration_since(Instant::now());
        let left = HeaderValue::from(left.as_millis() as u64);
        headers.insert(names.deadline.clone(), left);
        let expected = HeaderValue::from_str(&server.id).ok()?;
        headers.insert(names.expected_server.clone(), expected);
        if let Some(tenant) = &self.tenant {
            let name = HeaderValue::from_str(&tenant.name).ok()?;
            headers.insert(names.tenant.clone(), name);
        }
        if self.service.engine.is_some() {
            headers.insert(names.urgency.clone(), HeaderValue::from(self.urgency()));
        }
        if let Some(after) = after {
            headers.insert(names.last_event.clone(), HeaderValue::from(after));
        }
        let mut request = http::Request::new(self.body.clone());
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.target.clone();
        *request.headers_mut() = headers;
        Some(request)
    }

    /// Rank at the backend server, 0 to 9: the account's if it has one, else the route's.
    fn urgency(&self) -> u16 {
        let own = self.tenant.as_ref().and_then(|tenant| tenant.priority);
        u16::from(own.unwrap_or(self.route.priority)).min(9)
    }

    fn timeouts(&self) -> Timeouts {
        let left = self.limit.saturating_duration_since(Instant::now());
        let target = self.route.target_latency;
        let last = self.sends + 1 >= self.route.max_attempts;
        let first_byte = match self.route.kind {
            Kind::Safe if !last => (target * SAFE_PATIENCE).max(SAFE_LEAST),
            Kind::Stream { resumable: true } if !last => target * STREAM_PATIENCE,
            _ => left,
        };
        let progress = match self.route.kind {
            Kind::Stream { resumable: true } if !last => self.route.gap.mul_f64(GAP_PATIENCE),
            Kind::Stream { .. } => self.deadline.saturating_duration_since(Instant::now()),
            _ => first_byte,
        };
        Timeouts {
            connect: CONNECT,
            first_byte: first_byte.min(left),
            progress,
        }
    }

    fn sent(&mut self) {
        self.sends += 1;
        self.mark_run();
    }

    fn mark_run(&mut self) {
        self.may_have_run = true;
        if let Some(hold) = &mut self.hold {
            hold.ran();
        }
    }

    fn unknown<Reason>(&mut self, place: &Place, reason: &Reason) -> Attempt
    where
        Reason: std::fmt::Display + ?Sized,
    {
        self.timed_out = Instant::now() >= self.limit;
        if !self.timed_out {
            place.judge(Outcome::Bad);
        }
        self.note(place, "unknown", &reason.to_string());
        Attempt::Unknown
    }

    fn note(&self, place: &Place, what: &'static str, reason: &str) {
        self.gateway.metrics.attempt(&self.service.name, what);
        let reason = reason.replace(' ', "_");
        log_event!(
            Event::AttemptFailed,
            "request={} server={} outcome={what} sends={} reason={reason}",
            self.id,
            place.server.id,
            self.sends
        );
    }

    /// Whether another backend server may get the request now; takes a repeat of the fleet's budget.
    pub(crate) fn may_repeat(&mut self) -> bool {
        if self.may_have_run && !self.route.kind.is_idempotent() {
            return false;
        }
        if self.sends >= self.route.max_attempts || Instant::now() >= self.limit {
            return false;
        }
        if self.sends == 0 {
            return self.unsent < MOST_UNSENT;
        }
        let now_ms = self.gateway.now_ms();
        let mut state = self.gateway.state();
        let instances = state.directory.count();
        state.retry.repeat(&self.service.name, instances, now_ms)
    }

    /// The code of the answer where no further attempt is made.
    fn gives_up(&mut self) -> Option<Code> {
        if self.may_repeat() {
            return None;
        }
        Some(match (self.may_have_run, self.timed_out) {
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
            "request={} route={} account={} code={} cause={} sends={} configuration={} age_ms={}",
            self.id,
            self.route.name,
            self.tenant.as_ref().map_or("-", |tenant| &tenant.name),
            code.number(),
            code.name(),
            self.sends,
            self.version,
            self.arrived.elapsed().as_millis()
        );
        refusal::answer(reply, code, wait, self.gateway.is_leaving());
    }

    fn answer(mut self, reply: Reply, answer: Answer, place: &Place) {
        if let (Some(hold), Some(tokens)) = (&mut self.hold, self.facts.tokens)
            && answer.status.is_success()
        {
            hold.deliver(tokens.most_output);
        }
        let closing = self.gateway.is_leaving();
        let headers = header::answer(&answer.headers, closing);
        reply.whole(answer.status, headers, answer.body);
        self.done(place, answer.status.as_str());
    }

    pub(crate) fn done(&self, place: &Place, outcome: &str) {
        let took = self.arrived.elapsed();
        let metrics = &self.gateway.metrics;
        metrics.request(&self.route.name, outcome, took);
        metrics.attempt(&self.service.name, "answered");
        log_event!(
            Event::RequestDone,
            "request={} route={} server={} outcome={outcome} sends={} tokens={} held_ms={} first_ms={} age_ms={}",
            self.id,
            self.route.name,
            place.server.id,
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
        gap: Duration::ZERO,
    }
}
