//! Carries out the calls of other instances.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use fescuewell_core::log_event;
use fescuewell_core::prelude::*;
use fescuewell_forward::hop::{Call, Forward, MAX_PROBED, Reached, Refusal, Server, Task};
use fescuewell_forward::server::Entry;
use fescuewell_http::listener::{Handler, Reply, Request, spawn};
use fescuewell_http::upstream::{BodyEnd, Error, Exchange, Target, Timeouts};
use http::header::HeaderValue;
use http::{HeaderMap, HeaderName, Method, StatusCode, Uri};

use super::{RESULT, SENT};
use crate::gateway::Gateway;
use crate::header;

/// Carries out calls that are sealed with the fleet key.
pub struct HopHandler {
    gateway: Arc<Gateway>,
}

impl HopHandler {
    /// Creates a handler.
    pub fn new(gateway: Arc<Gateway>) -> Self {
        Self { gateway }
    }
}

impl Handler for HopHandler {
    fn handle(&self, request: Request, reply: Reply) {
        let gateway = self.gateway.clone();
        spawn(async move {
            let closed = reply.closed();
            // If the other instance disconnects, dropping the exchange cancels the request.
            tokio::select! {
                biased;
                _ = closed.wait_for_disconnect() => gateway.metrics.count_hop("served", "caller_gone"),
                () = serve(&gateway, &request.body, reply) => {}
            }
        });
    }
}

async fn serve(gateway: &Arc<Gateway>, body: &[u8], reply: Reply) {
    let outcome = match accept(gateway, body) {
        Ok(Task::Probe(servers)) => {
            probe(gateway, servers, reply).await;
            "probed"
        }
        Ok(Task::Forward(forward)) => return serve_forward(gateway, *forward, reply).await,
        Err(refusal) => refuse(reply, refusal),
    };
    gateway.metrics.count_hop("served", outcome);
}

/// Verifies a call and decides whether this instance carries out any.
fn accept(gateway: &Gateway, body: &[u8]) -> Result<Task, Refusal> {
    let key = gateway.fleet_key().ok_or(Refusal::NotReady)?;
    let call: Call = key.open_content(body).ok_or(Refusal::Malformed)?;
    let now_ms = gateway.now_ms();
    let mut state = gateway.state();
    let store_ms = state.quota.store_time(now_ms);
    if !state.hop_guard.accept(&call, store_ms) {
        return Err(Refusal::Malformed);
    }
    if state.path.is_lost() {
        return Err(Refusal::NoPath);
    }
    match gateway.is_ready() {
        true => Ok(call.task),
        false => Err(Refusal::NotReady),
    }
}

/// Sends a refusal, which promises that the request has not run. Returns its name.
fn refuse(reply: Reply, refusal: Refusal) -> &'static str {
    let mut headers = HeaderMap::new();
    headers.insert(RESULT, HeaderValue::from_static(refusal.name()));
    reply.send(StatusCode::SERVICE_UNAVAILABLE, headers, Bytes::new());
    refusal.name()
}

async fn probe(gateway: &Arc<Gateway>, servers: Vec<Server>, reply: Reply) {
    let servers: Vec<Arc<Entry>> = {
        let state = gateway.state();
        let servers = servers.iter().take(MAX_PROBED);
        let entries = servers.filter_map(|server| {
            let entry = state.registry.entry(&server.id)?;
            (entry.incarnation() == server.incarnation).then(|| entry.clone())
        });
        entries.collect()
    };
    let count = gateway.probe_servers(servers).await as u32;
    let Some(key) = gateway.fleet_key() else {
        refuse(reply, Refusal::NotReady);
        return;
    };
    let body = Bytes::from(key.seal_content(&Reached { count }));
    reply.send(StatusCode::OK, HeaderMap::new(), body);
}

async fn serve_forward(gateway: &Arc<Gateway>, forward: Forward, reply: Reply) {
    let outcome = match open(gateway, &forward).await {
        Ok((exchange, server)) => {
            let outcome = pass_back(gateway, exchange, &server, reply).await;
            log_served(&forward, outcome, &server.id);
            outcome
        }
        Err(Failure::Refused(refusal)) => {
            log_served(&forward, refusal.name(), &forward.server.id);
            refuse(reply, refusal)
        }
        Err(Failure::Unknown) => {
            // The request may have run: the closed connection says no more than that.
            log_served(&forward, "unknown", &forward.server.id);
            reply.abort();
            "unknown"
        }
    };
    gateway.metrics.count_hop("served", outcome);
}

fn log_served(forward: &Forward, outcome: &str, server: &str) {
    log_event!(
        Event::ForwardServed,
        "request={} server={server} outcome={outcome}",
        forward.request
    );
}

/// Why there is no response.
enum Failure {
    /// The request was not sent.
    Refused(Refusal),
    /// The request may have run.
    Unknown,
}

impl From<Refusal> for Failure {
    fn from(refusal: Refusal) -> Self {
        Self::Refused(refusal)
    }
}

/// Sends the request to its server.
async fn open(
    gateway: &Arc<Gateway>,
    forward: &Forward,
) -> Result<(Exchange, Arc<Entry>), Failure> {
    let server = admit(gateway, forward)?;
    let request = request(forward).ok_or(Refusal::Malformed)?;
    let limits = forward.timeouts;
    let target = Target::new(server.address)
        .with_deadline(Instant::now() + Duration::from_millis(limits.left_ms));
    let timeouts = Timeouts {
        connect: Duration::from_millis(limits.connect_ms),
        first_byte: Duration::from_millis(limits.first_byte_ms),
        progress: Duration::from_millis(limits.progress_ms),
    };
    let sent_at = Instant::now();
    let may_send = || gateway.may_send(&server);
    let opened = gateway
        .client
        .open_if(&target, request, timeouts, &may_send);
    match opened.await {
        Ok(exchange) => {
            gateway.record_head(&server, &forward.request, &exchange, sent_at);
            Ok((exchange, server))
        }
        Err(Error::NotSent { .. }) if !may_send() => Err(Failure::Refused(Refusal::UnknownServer)),
        Err(Error::NotSent { .. }) => {
            gateway.record_connect_failure(&server);
            let may_be_own = gateway.state().path.is_checking();
            Err(Failure::Refused(match may_be_own {
                true => Refusal::NoPath,
                false => Refusal::Unreachable,
            }))
        }
        Err(_) => Err(Failure::Unknown),
    }
}

/// Finds the server and takes the request into account in the limits of this instance.
fn admit(gateway: &Gateway, forward: &Forward) -> Result<Arc<Entry>, Refusal> {
    let now_ms = gateway.now_ms();
    let mut state = gateway.state();
    let server = state.registry.entry(&forward.server.id).cloned();
    let server = server.filter(|server| {
        let is_ready = state.registry.is_ready(&server.id, now_ms);
        is_ready && server.incarnation() == forward.server.incarnation
    });
    let server = server.ok_or(Refusal::UnknownServer)?;
    if state.server_paths.is_lost(&server) {
        return Err(Refusal::Unreachable);
    }
    match state.admission.admit_forwarded(now_ms, forward.body.len()) {
        true => Ok(server),
        false => Err(Refusal::Busy),
    }
}

/// Builds the request, or returns `None` if a part of it is malformed.
fn request(forward: &Forward) -> Option<http::Request<Bytes>> {
    let mut headers = HeaderMap::with_capacity(forward.headers.len());
    for (name, value) in &forward.headers {
        let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
        headers.append(name, HeaderValue::from_bytes(value).ok()?);
    }
    let target: Uri = forward.target.parse().ok()?;
    let mut request = http::Request::new(Bytes::from(forward.body.clone()));
    *request.method_mut() = Method::from_bytes(forward.method.as_bytes()).ok()?;
    *request.uri_mut() = target;
    *request.headers_mut() = headers;
    Some(request)
}

/// Passes a response back as it arrives. One that breaks off is not completed.
async fn pass_back(
    gateway: &Gateway,
    mut exchange: Exchange,
    server: &Entry,
    reply: Reply,
) -> &'static str {
    let mut headers = header::response_headers(&exchange.headers, false);
    headers.insert(RESULT, HeaderValue::from_static(SENT));
    let sink = reply.stream(exchange.status, headers);
    while let Some(chunk) = exchange.next_chunk().await {
        let Ok(chunk) = chunk else {
            return "broken";
        };
        if sink.send(chunk).await.is_err() {
            return "caller_gone";
        }
    }
    // The other instance gets chunks, whose end would tell it that the body is whole.
    if exchange.body_end() == BodyEnd::Connection && gateway.has_gone(server).await {
        return "broken";
    }
    sink.finish();
    SENT
}
