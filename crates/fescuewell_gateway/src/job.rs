//! Lifecycle of a proxied request: choice of a backend server, retries and the final response.

mod attempt;
mod binding;
mod candidates;
mod crash;
mod permit;
mod pick;
mod progress;
mod race;
mod second;
mod trace;

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use fescuewell_core::log_event;
use fescuewell_core::prelude::*;
use fescuewell_forward::config::{Account, Kind, Route, Service};
use fescuewell_forward::crash::{Fingerprint, Part};
use fescuewell_forward::drain::{Drain, Evidence, Late};
use fescuewell_forward::stream;
use fescuewell_http::listener::{Reply, Request};
use http::{HeaderMap, Method, Uri};

use crate::dialect::RequestMetadata;
use crate::gateway::{Gateway, OpenRequest};
use crate::hold::Hold;
use crate::{header, refusal};

use attempt::Response;
pub(crate) use binding::Binding;
pub(crate) use permit::Permit;
pub(crate) use progress::Progress;
pub(crate) use race::Race;
pub(crate) use trace::{Cause, Trace};

/// Fraction of the target latency that a request waits for tokens. The rest is enough for a backend
/// server to respond.
const TOKEN_WAIT_FRACTION: f64 = 0.5;
/// Maximum number of servers tried when the request could not be sent to any of them.
const MAX_UNSENT_ATTEMPTS: u32 = 4;

/// A caller's request while it is being proxied.
pub struct Job {
    pub(crate) gateway: Arc<Gateway>,
    pub(crate) id: Arc<str>,
    pub(crate) metadata: RequestMetadata,
    pub(crate) route: Arc<Route>,
    pub(crate) service: Service,
    pub(crate) hold: Option<Hold>,
    account: Option<Arc<Account>>,
    version: u64,
    method: Method,
    target: Uri,
    headers: HeaderMap,
    body: Bytes,
    pub(crate) fingerprint: Fingerprint,
    /// Parts of the prompt that other requests may share.
    pub(crate) parts: Arc<[Part]>,
    pub(crate) binding: Binding,
    /// The attempt that began the stream, if this one takes it up.
    resumed: Option<stream::Attempt>,
    /// Whether the software version that began the stream has been recorded.
    is_recorded: bool,
    is_probe: bool,
    /// Quarantined parts that this request may probe.
    probed_parts: Vec<Fingerprint>,
    arrived: Instant,
    deadline: Instant,
    route_deadline: Instant,
    /// When the request was first sent to a server.
    sent_at: Option<Instant>,
    /// Counts the request as open from its first send on.
    open: Option<OpenRequest>,
    sends: u32,
    unsent_attempts: u32,
    tried: Vec<Arc<str>>,
    possibly_executed: bool,
    /// Id of the last event that the caller has.
    pub(crate) last_event_id: Option<u64>,
    /// Number of events that were forwarded.
    pub(crate) forwarded: u64,
    timed_out: bool,
    held_ms: u128,
    first_event_ms: u128,
}

impl Job {
    /// Creates a job for a received request.
    pub fn new(
        gateway: Arc<Gateway>,
        request: Request,
        metadata: RequestMetadata,
        id: Arc<str>,
    ) -> Self {
        let headers = header::request_headers(&request.headers, gateway.dialect.header_names());
        let last_event_id = metadata.last_event_id.value().copied();
        Self {
            gateway,
            id,
            metadata,
            route: Arc::new(placeholder_route()),
            service: Service {
                name: "".into(),
                max_connections: 0,
                engine: None,
                warmup: None,
            },
            hold: None,
            account: None,
            version: 0,
            method: request.method,
            target: path_only(request.target),
            headers,
            body: request.body,
            fingerprint: Fingerprint::default(),
            parts: Arc::default(),
            binding: Binding::Free,
            resumed: None,
            is_recorded: false,
            is_probe: false,
            probed_parts: Vec::new(),
            arrived: request.arrived,
            deadline: request.arrived,
            route_deadline: request.arrived,
            sent_at: None,
            open: None,
            sends: 0,
            unsent_attempts: 0,
            tried: Vec::new(),
            possibly_executed: false,
            last_event_id,
            forwarded: 0,
            timed_out: false,
            held_ms: 0,
            first_event_ms: 0,
        }
    }

    /// Sets the route, the service, and the version of the configuration that they come from.
    pub fn with_route(mut self, route: Arc<Route>, service: Service, version: u64) -> Self {
        self.route = route;
        self.service = service;
        self.version = version;
        self
    }

    /// Sets the client account and computes the fingerprint and the shared parts of the prompt. The
    /// route must be set.
    pub fn with_account(mut self, account: Option<Arc<Account>>) -> Self {
        self.account = account;
        self.fingerprint = self.compute_fingerprint();
        self.parts = self.shared_parts();
        self
    }

    /// Sets the caller's deadline, and the route deadline as the earlier of it and the route's
    /// timeout.
    pub fn with_deadline(mut self, deadline: Instant) -> Self {
        self.deadline = deadline;
        self.route_deadline = deadline.min(self.arrived + self.route.timeout);
        self
    }

    /// Returns until when servers are asked. A stream that has begun has met its route's timeout.
    pub(crate) fn attempts_until(&self) -> Instant {
        match self.forwarded {
            0 => self.route_deadline,
            _ => self.deadline,
        }
    }

    /// Number of servers to which the request was sent.
    pub(crate) fn sends(&self) -> u32 {
        self.sends
    }

    /// Returns the id of the caller's attempt.
    pub fn id(&self) -> &Arc<str> {
        &self.id
    }

    /// Processes the request and sends the response.
    pub async fn run(mut self, reply: Reply) {
        let gateway = self.gateway.clone();
        let prepared = tokio::select! {
            biased;
            prepared = self.prepare() => prepared,
            () = gateway.drain_over() => Err(Refusal::new(Code::Draining)),
        };
        if let Err(refusal) = prepared {
            return self.refuse_after(reply, refusal.code, refusal.retry_after);
        }
        self.held_ms = self.arrived.elapsed().as_millis();
        let now_ms = self.gateway.now_ms();
        let service = self.service.name.clone();
        {
            let mut state = self.gateway.state();
            state.retry.request(&service, now_ms);
            state.accepted_requests.add(now_ms, 1);
        }
        let mut race = Race::new(&self.gateway);
        loop {
            let permit = match self.next_server().await {
                Ok(permit) => permit,
                Err(refusal) => {
                    return self.refuse_after(reply, refusal.code, refusal.retry_after);
                }
            };
            self.add_attempt(&mut race, permit);
            match self.advance(&mut race).await {
                Progress::Complete(response) => {
                    return self.respond(reply, response, race.server());
                }
                Progress::Failed(response) if !self.may_retry() => {
                    return self.respond(reply, response, race.server());
                }
                Progress::Failed(_) => {}
                Progress::Lost(_) => {
                    if let Some(code) = self.final_code() {
                        let delay = self.return_delay(code);
                        return self.refuse_after(reply, code, delay);
                    }
                }
                begun => return self.stream(reply, race, begun).await,
            }
            log_event!(
                Event::RouteRetried,
                "request={} sends={} tried={}",
                self.id,
                self.sends,
                self.tried.join(",")
            );
        }
    }

    /// Does all that precedes the choice of a server.
    async fn prepare(&mut self) -> Result<(), Refusal> {
        self.check_drain(Drain::check_new)?;
        self.check_quarantine().await.map_err(Refusal::new)?;
        self.bind().await?;
        // Without a server the request would wait for tokens in vain.
        self.check_servers()?;
        self.reserve_tokens().await
    }

    /// Picks a server for the next attempt, unless the instance shuts down before that could end.
    pub(crate) async fn next_server(&mut self) -> Result<Permit, Refusal> {
        let gateway = self.gateway.clone();
        let permit = tokio::select! {
            biased;
            permit = self.pick_server() => permit?,
            () = gateway.drain_over() => return Err(self.drained()),
        };
        if !self.possibly_executed
            && let Err(refusal) = self.check_drain(Drain::check_send)
        {
            permit.settle();
            return Err(refusal);
        }
        Ok(permit)
    }

    /// Checks whether the request can end before the process does.
    fn check_drain<Check>(&self, check: Check) -> Result<(), Refusal>
    where
        Check: FnOnce(&Drain, &str, u64, Evidence, u64) -> Result<(), Late>,
    {
        if !self.gateway.is_draining() {
            return Ok(());
        }
        let deadline = match self.route.kind.is_stream() {
            true => self.deadline,
            false => self.route_deadline,
        };
        let deadline_ms = deadline
            .saturating_duration_since(Instant::now())
            .as_millis() as u64;
        let checked = self
            .gateway
            .check_late(&self.route, &self.service.name, deadline_ms, check);
        checked.map_err(|late| {
            self.gateway.record_late(&self.id, &self.route.name, late);
            Refusal::new(Code::Draining)
        })
    }

    /// Returns the refusal of a request that has no response when the shutdown ends.
    fn drained(&self) -> Refusal {
        Refusal::new(match self.possibly_executed {
            true => Code::OutcomeUnknown,
            false => Code::Draining,
        })
    }

    /// Reserves the maximum number of tokens that the request may cost.
    async fn reserve_tokens(&mut self) -> Result<(), Refusal> {
        let Some(tokens) = self.metadata.tokens else {
            return Ok(());
        };
        let Some(account) = self.account.clone() else {
            return Ok(());
        };
        if account.prepaid.is_none() || self.service.engine.is_none() {
            return Ok(());
        }
        let max_wait = self.route.target_latency.mul_f64(TOKEN_WAIT_FRACTION);
        let hold = Hold::acquire(&self.gateway, &account.name, tokens, &self.id, max_wait);
        self.hold = Some(hold.await?);
        Ok(())
    }

    /// Returns `true` if the request may be sent to another backend server, in which case a retry
    /// is taken from the fleet's retry budget.
    pub(crate) fn may_retry(&mut self) -> bool {
        if self.is_quarantined() || (self.possibly_executed && self.has_suspected_part()) {
            return false;
        }
        if self.possibly_executed && !self.route.kind.is_idempotent() {
            return false;
        }
        if self.sends >= self.route.max_attempts || Instant::now() >= self.attempts_until() {
            return false;
        }
        if self.gateway.is_drain_over() {
            return false;
        }
        if self.is_blocked() || self.is_version_gone() {
            return false;
        }
        if self.sends == 0 {
            return self.unsent_attempts < MAX_UNSENT_ATTEMPTS;
        }
        let now_ms = self.gateway.now_ms();
        self.gateway.state().take_retry(&self.service.name, now_ms)
    }

    /// Returns the code of the final response, or `None` if another attempt is made.
    fn final_code(&mut self) -> Option<Code> {
        match self.may_retry() {
            true => None,
            false => Some(self.failure_code()),
        }
    }

    /// Returns the code of the final response of a request for which no further attempt is made.
    pub(crate) fn failure_code(&self) -> Code {
        if self.is_quarantined() {
            return self.quarantine_code();
        }
        match (self.possibly_executed, self.timed_out) {
            (true, true) => Code::TimedOut,
            (true, false) => Code::OutcomeUnknown,
            (false, _) if self.sends > 0 => Code::TurnedAway,
            (false, _) => Code::NoServer,
        }
    }

    pub(crate) fn refuse_after(&self, reply: Reply, code: Code, delay: Option<Duration>) {
        let took = self.arrived.elapsed();
        self.gateway
            .metrics
            .count_refusal(&self.route.name, code, took);
        log_event!(
            Event::RouteRefused,
            "request={} route={} account={} code={} cause={} sends={} fingerprint={} parts={} configuration={} age_ms={}",
            self.id,
            self.route.name,
            self.account.as_ref().map_or("-", |account| &account.name),
            code.number(),
            code.name(),
            self.sends,
            self.fingerprint,
            self.part_ids(),
            self.version,
            self.arrived.elapsed().as_millis()
        );
        refusal::send(reply, code, delay, self.gateway.is_draining());
    }

    /// Records how long the request took, if a server responded to it completely.
    pub(crate) fn record_duration(&self) {
        if let Some(sent_at) = self.sent_at {
            self.gateway
                .record_duration(&self.route.name, sent_at.elapsed());
        }
    }

    fn respond(mut self, reply: Reply, response: Response, server: &str) {
        if let (Some(hold), Some(tokens)) = (&mut self.hold, self.metadata.tokens)
            && response.status.is_success()
        {
            hold.add_output(tokens.max_output);
        }
        self.record_duration();
        let close_connection = self.gateway.is_draining();
        let headers = header::response_headers(&response.headers, close_connection);
        reply.send(response.status, headers, response.body);
        self.finish(server, response.status.as_str());
    }

    pub(crate) fn log_failure(&self, permit: &Permit, outcome: &'static str, reason: &str) {
        self.gateway
            .metrics
            .count_attempt(&self.service.name, outcome);
        let reason = reason.replace(' ', "_");
        log_event!(
            Event::AttemptFailed,
            "request={} server={} outcome={outcome} sends={} fingerprint={} parts={} reason={reason}",
            self.id,
            permit.server.id,
            self.sends,
            self.fingerprint,
            self.part_ids()
        );
    }

    pub(crate) fn finish(&mut self, server: &str, outcome: &str) {
        if let Some(hold) = &mut self.hold {
            hold.mark_logged();
        }
        let took = self.arrived.elapsed();
        let metrics = &self.gateway.metrics;
        metrics.count_request(&self.route.name, outcome, took);
        metrics.count_attempt(&self.service.name, "answered");
        log_event!(
            Event::RequestDone,
            "request={} route={} server={} outcome={outcome} sends={} tokens={} held_ms={} first_ms={} age_ms={}",
            self.id,
            self.route.name,
            server,
            self.sends,
            self.hold.as_ref().map_or(0, Hold::cost),
            self.held_ms,
            self.first_event_ms,
            self.arrived.elapsed().as_millis()
        );
    }
}

/// Returns the path and query of a request's target. An absolute target also contains the host.
fn path_only(target: Uri) -> Uri {
    let path = target.into_parts().path_and_query;
    path.map(Uri::from).unwrap_or_default()
}

fn placeholder_route() -> Route {
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
