//! A single attempt at a backend server: sending the request, timeouts and evaluation of the
//! response.

use std::time::{Duration, Instant};

use bytes::Bytes;
use fescuewell_core::log_event;
use fescuewell_core::prelude::*;
use fescuewell_forward::config::Kind;
use fescuewell_forward::crash::Loss;
use fescuewell_forward::health::Outcome;
use fescuewell_forward::path::SILENCE_MS;
use fescuewell_forward::server::Entry;
use fescuewell_http::upstream::{Error, Exchange, Timeouts};
use http::header::HeaderValue;
use http::{HeaderMap, StatusCode};

use super::crash::classify_loss;
use super::{Job, Permit};
use crate::hop::{Failure, Sending};

/// Connect timeout. Backend servers are a few milliseconds away.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Attempt timeout of a safe request as a multiple of its target latency. An attempt that exceeds
/// it is abandoned if a retry is available, and continues otherwise.
const SAFE_TIMEOUT_FACTOR: u32 = 2;
/// Minimum attempt timeout of a safe request.
const MIN_SAFE_TIMEOUT: Duration = Duration::from_millis(200);
/// Attempt timeout of a resumable stream before its response head, as a multiple of its target
/// latency.
const STREAM_TIMEOUT_FACTOR: u32 = 2;
/// Gap between events after which a resumable stream is resumed on another server, as a multiple of
/// the route's gap objective.
const GAP_TIMEOUT_FACTOR: f64 = 1.25;
/// Maximum size of a response body that is buffered, in bytes.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// A backend server's complete response.
pub(crate) struct Response {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// Outcome of an attempt.
pub(crate) enum AttemptOutcome {
    /// The server sent a complete response.
    Complete(Response),
    /// The server executed the request and reported a failure.
    Failed(Response),
    /// The server started streaming events; holds the exchange and its first chunk.
    Stream(Box<Exchange>, Bytes),
    /// The server rejected the request without executing it.
    Rejected,
    /// Nothing of the request was sent.
    NotSent,
    /// The server possibly executed the request, but there is no usable response.
    Unknown,
}

impl Job {
    /// Sends the request to a backend server. `after` is the id of the last event that the caller
    /// already received.
    pub(crate) async fn run_attempt(
        &mut self,
        permit: &mut Permit,
        after: Option<u64>,
    ) -> AttemptOutcome {
        let Some(request) = self.build_request(&permit.server, after) else {
            permit.settle();
            return AttemptOutcome::NotSent;
        };
        let until = match self.route.kind.is_stream() {
            true => self.deadline,
            false => self.route_deadline,
        };
        let sent_at = Instant::now();
        let server_exit = permit.server_exit();
        tokio::pin!(server_exit);
        let gateway = self.gateway.clone();
        let (server, id) = (permit.server.clone(), self.id.clone());
        let may_send = self.part_check();
        let opened = gateway.open(Sending {
            server: &server,
            request,
            id: &id,
            deadline: until,
            timeouts: self.timeouts(),
            may_send: &may_send,
        });
        tokio::pin!(opened);
        let attempt_timeout = self.attempt_timeout();
        let mut abandon_at = attempt_timeout.map(|timeout| sent_at + timeout);
        let silence = tokio::time::sleep(Duration::from_millis(SILENCE_MS));
        tokio::pin!(silence);
        let mut is_silent = false;
        let path_lost = gateway.path_lost();
        tokio::pin!(path_lost);
        let mut is_path_lost = gateway.state().path.is_lost();
        let opened = loop {
            tokio::select! {
                biased;
                opened = &mut opened => break opened,
                () = &mut server_exit => {
                    self.sends += 1;
                    return self.handle_exit(permit).await;
                }
                () = &mut silence, if !is_silent => {
                    is_silent = true;
                    gateway.record_silence(&server);
                }
                () = &mut path_lost, if !is_path_lost => {
                    is_path_lost = true;
                    if !self.is_last_attempt() && self.may_abandon() {
                        self.mark_sent();
                        return self.unknown_outcome(permit, "the path is lost, and a retry is available");
                    }
                }
                () = sleep_or_pend(abandon_at) => {
                    abandon_at = attempt_timeout.map(|timeout| Instant::now() + timeout);
                    if self.may_abandon() {
                        self.mark_sent();
                        return self.unknown_outcome(permit, "no answer for so long, and a retry is available");
                    }
                }
            }
        };
        let exchange = match opened {
            Ok(opened) => {
                permit.set_flight(opened.flight);
                opened.exchange
            }
            Err(Failure {
                error: Error::NotSent { reason },
                is_direct,
                blames_server,
            }) => {
                permit.settle();
                self.unsent_attempts += 1;
                if blames_server {
                    permit.record_outcome(Outcome::Bad);
                }
                self.log_failure(permit, "not_sent", &reason);
                if is_direct {
                    self.check_path(permit).await;
                }
                return AttemptOutcome::NotSent;
            }
            Err(Failure { error, .. }) => {
                self.mark_sent();
                self.report_loss(permit, classify_loss(&error)).await;
                return self.unknown_outcome(permit, &error);
            }
        };
        let received = tokio::select! {
            biased;
            received = self.receive_response(permit, exchange, sent_at) => Some(received),
            () = &mut server_exit => None,
        };
        match received {
            Some(received) => received,
            None => self.handle_exit(permit).await,
        }
    }

    /// Waits for the check of the path to the servers. If the path is lost, the servers to which the
    /// connection failed may be tried again through another instance.
    async fn check_path(&mut self, permit: &Permit) {
        let server = &permit.server;
        self.gateway.record_connect_failure(server);
        self.gateway.path_checked().await;
        let is_server_lost = self.gateway.server_checked(server).await;
        if self.sends > 0 {
            return;
        }
        if self.gateway.state().path.is_lost() {
            self.tried.clear();
            self.unsent_attempts = 0;
        } else if is_server_lost {
            self.tried.retain(|tried| *tried != server.id);
            self.unsent_attempts -= 1;
        }
    }

    /// Handles a restart of the server while the request was in flight.
    async fn handle_exit(&mut self, permit: &Permit) -> AttemptOutcome {
        self.mark_executed();
        self.report_loss(permit, Loss::Broken).await;
        self.log_failure(permit, "unknown", "the server has started again");
        AttemptOutcome::Unknown
    }

    async fn receive_response(
        &mut self,
        permit: &mut Permit,
        mut exchange: Exchange,
        sent_at: Instant,
    ) -> AttemptOutcome {
        self.sends += 1;
        let names = self.gateway.dialect.header_names().clone();
        let status = exchange.status;
        self.gateway
            .record_head(&permit.server, &self.id, status, &exchange.headers, sent_at);
        let is_rejected = exchange.headers.contains_key(&names.not_executed);
        if is_rejected || status == StatusCode::MISDIRECTED_REQUEST {
            permit.settle();
            if status == StatusCode::MISDIRECTED_REQUEST {
                // Another server uses this address now, so the entry is useless until it changes.
                self.gateway
                    .state()
                    .registry
                    .mark_draining(&permit.server.id);
            } else {
                permit.record_outcome(Outcome::Full);
            }
            self.log_failure(permit, "turned_away", status.as_str());
            // The body is read to the end, so that the connection can be reused.
            if let Err(error) = exchange.collect(MAX_RESPONSE_BYTES).await {
                self.log_failure(permit, "refusal_broken", &error.to_string());
            }
            return AttemptOutcome::Rejected;
        }
        self.mark_executed();
        permit.mark_begun();
        let echoed = exchange.headers.get(&names.request_id);
        let is_own = echoed.is_some_and(|value| value.as_bytes() == self.id.as_bytes());
        let is_sealed = exchange.headers.contains_key(&names.seal);
        if !is_own || (status.is_success() && !is_sealed) {
            // This is a late response to another request, or one that no backend server sealed. Its
            // connection is dropped with it.
            return self.unknown_outcome(permit, &"the answer belongs to another request");
        }
        if self.route.kind.is_stream() && status.is_success() {
            return match exchange.next_chunk().await {
                Some(Ok(first)) => {
                    permit.record_first_event();
                    let took = self.arrived.elapsed();
                    self.first_event_ms = took.as_millis();
                    self.gateway
                        .metrics
                        .record_first_event(&self.route.name, took);
                    AttemptOutcome::Stream(Box::new(exchange), first)
                }
                Some(Err(error)) => {
                    self.report_loss(permit, classify_loss(&error)).await;
                    self.unknown_outcome(permit, &error)
                }
                None => self.unknown_outcome(permit, &"a stream without events"),
            };
        }
        let headers = std::mem::take(&mut exchange.headers);
        let end = exchange.body_end();
        match exchange.collect(MAX_RESPONSE_BYTES).await {
            Ok(_) if self.is_cut_off(end, permit).await => {
                self.unknown_outcome(permit, "the server crashed before the end of the body")
            }
            Ok(body) => {
                permit.settle();
                if status.is_success() {
                    // Only success clears the request: a server that fails some of its requests may
                    // fail this one before it would crash.
                    self.gateway
                        .record_response(&permit.server, self.fingerprint, &self.parts);
                }
                let response = Response {
                    status,
                    headers,
                    body,
                };
                if status.is_server_error() {
                    // A sound engine also ends a request at its deadline.
                    let is_faulty =
                        self.service.engine.is_some() && status != StatusCode::GATEWAY_TIMEOUT;
                    permit.record_outcome(match is_faulty {
                        true => Outcome::Faulty,
                        false => Outcome::Failed,
                    });
                    self.log_failure(permit, "failed", status.as_str());
                    return AttemptOutcome::Failed(response);
                }
                permit.record_outcome(Outcome::Good);
                permit.record_latency(sent_at.elapsed());
                AttemptOutcome::Complete(response)
            }
            Err(error) => {
                self.report_loss(permit, classify_loss(&error)).await;
                self.unknown_outcome(permit, &error)
            }
        }
    }

    /// Builds the request for a backend server. Returns `None` if a header value is invalid.
    fn build_request(&self, server: &Entry, after: Option<u64>) -> Option<http::Request<Bytes>> {
        let names = self.gateway.dialect.header_names();
        let mut headers = self.headers.clone();
        let left = self.deadline.saturating_duration_since(Instant::now());
        let left = HeaderValue::from(left.as_millis() as u64);
        headers.insert(names.deadline.clone(), left);
        let expected = HeaderValue::from_str(&server.id).ok()?;
        headers.insert(names.expected_server.clone(), expected);
        if let Some(account) = &self.account {
            let name = HeaderValue::from_str(&account.name).ok()?;
            headers.insert(names.account.clone(), name);
        }
        if self.service.engine.is_some() {
            headers.insert(names.urgency.clone(), HeaderValue::from(self.urgency()));
        }
        if let Some(after) = after {
            headers.insert(names.last_event_id.clone(), HeaderValue::from(after));
        }
        let mut request = http::Request::new(self.body.clone());
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.target.clone();
        *request.headers_mut() = headers;
        Some(request)
    }

    /// Returns the request's priority in the backend server's queue, 0 to 9: the account's if set,
    /// otherwise the route's.
    fn urgency(&self) -> u16 {
        let own = self.account.as_ref().and_then(|account| account.priority);
        u16::from(own.unwrap_or(self.route.priority)).min(9)
    }

    fn timeouts(&self) -> Timeouts {
        let left = self
            .route_deadline
            .saturating_duration_since(Instant::now());
        let progress = match self.route.kind {
            Kind::Stream { resumable: true } if !self.is_last_attempt() => {
                self.route.target_gap.mul_f64(GAP_TIMEOUT_FACTOR)
            }
            Kind::Stream { .. } => self.deadline.saturating_duration_since(Instant::now()),
            _ => left,
        };
        Timeouts {
            connect: CONNECT_TIMEOUT,
            first_byte: left,
            progress,
        }
    }

    /// Returns `true` if the request may not be sent to another server after this attempt.
    fn is_last_attempt(&self) -> bool {
        self.sends + 1 >= self.route.max_attempts
    }

    /// Returns the attempt timeout, or `None` if the attempt must not be abandoned.
    fn attempt_timeout(&self) -> Option<Duration> {
        if self.is_last_attempt() {
            return None;
        }
        let target = self.route.target_latency;
        match self.route.kind {
            Kind::Safe => Some((target * SAFE_TIMEOUT_FACTOR).max(MIN_SAFE_TIMEOUT)),
            Kind::Stream { resumable: true } => Some(target * STREAM_TIMEOUT_FACTOR),
            _ => None,
        }
    }

    fn mark_sent(&mut self) {
        self.sends += 1;
        self.mark_executed();
    }

    fn mark_executed(&mut self) {
        self.possibly_executed = true;
        if let Some(hold) = &mut self.hold {
            hold.mark_executed();
        }
    }

    fn unknown_outcome<Reason>(&mut self, permit: &Permit, reason: &Reason) -> AttemptOutcome
    where
        Reason: std::fmt::Display + ?Sized,
    {
        self.timed_out = Instant::now() >= self.route_deadline;
        if !self.timed_out {
            permit.record_outcome(Outcome::Bad);
        }
        self.log_failure(permit, "unknown", &reason.to_string());
        AttemptOutcome::Unknown
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
}

/// Sleeps until a moment, or forever if there is none.
async fn sleep_or_pend(until: Option<Instant>) {
    match until {
        Some(until) => tokio::time::sleep_until(until.into()).await,
        None => std::future::pending().await,
    }
}
