//! One attempt at a backend server: the request sent, its timeouts and the evaluation of the answer.

use std::time::{Duration, Instant};

use bytes::Bytes;
use fescuewell_core::log_event;
use fescuewell_core::prelude::*;
use fescuewell_forward::config::Kind;
use fescuewell_forward::crash::Loss;
use fescuewell_forward::health::Outcome;
use fescuewell_forward::server::Entry;
use fescuewell_http::upstream::{Error, Exchange, Target, Timeouts};
use http::header::HeaderValue;
use http::{HeaderMap, StatusCode};

use super::crash::loss;
use super::{Job, Permit};

/// Time for opening a connection; backend servers are a few milliseconds away.
const CONNECT: Duration = Duration::from_millis(300);
/// Hedging delay of a safe request, in multiples of its target latency,
const SAFE_PATIENCE: u32 = 2;
/// and its minimum.
const SAFE_LEAST: Duration = Duration::from_millis(200);
/// Hedging delay of a resumable stream before its first event, in multiples of its target latency.
const STREAM_PATIENCE: u32 = 2;
/// Gap between events after which a resumable stream is resumed elsewhere, in multiples of the route's gap objective.
const GAP_PATIENCE: f64 = 1.25;
/// Largest answer that is read whole, in bytes.
const MOST_ANSWER: usize = 4 * 1024 * 1024;

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
    Rejected,
    /// No byte of it left.
    NotSent,
    /// It was possibly executed.
    Unknown,
}

impl Job {
    /// Sends the request to a backend server; `after` is the last event that the caller already has.
    pub(crate) async fn attempt(&mut self, permit: &mut Permit, after: Option<u64>) -> Attempt {
        let Some(request) = self.request(&permit.server, after) else {
            permit.settle();
            return Attempt::NotSent;
        };
        let until = match self.route.kind.is_stream() {
            true => self.deadline,
            false => self.limit,
        };
        let target = Target::new(permit.server.address).with_deadline(until);
        let sent_at = Instant::now();
        let lost = permit.lost();
        tokio::pin!(lost);
        let gateway = self.gateway.clone();
        let opened = gateway.client.open(&target, request, self.timeouts());
        tokio::pin!(opened);
        let patience = self.patience();
        let opened = loop {
            tokio::select! {
                biased;
                opened = &mut opened => break opened,
                () = &mut lost => {
                    self.sends += 1;
                    return self.lost(permit).await;
                }
                () = wait_out(patience) => {
                    if self.may_give_up() {
                        self.sent();
                        return self.unknown(permit, "no answer for so long, and a retry is available");
                    }
                }
            }
        };
        let exchange = match opened {
            Ok(exchange) => exchange,
            Err(Error::NotSent { reason }) => {
                permit.settle();
                self.unsent += 1;
                permit.judge(Outcome::Bad);
                self.note(permit, "not_sent", &reason);
                return Attempt::NotSent;
            }
            Err(error) => {
                self.sent();
                self.lost_at(permit, loss(&error)).await;
                return self.unknown(permit, &error);
            }
        };
        let received = tokio::select! {
            biased;
            received = self.receive(permit, exchange, sent_at) => Some(received),
            () = &mut lost => None,
        };
        match received {
            Some(received) => received,
            None => self.lost(permit).await,
        }
    }

    /// The server has started again while the request was under way there.
    async fn lost(&mut self, permit: &Permit) -> Attempt {
        self.mark_executed();
        self.lost_at(permit, Loss::Broken).await;
        self.note(permit, "unknown", "the server has started again");
        Attempt::Unknown
    }

    async fn receive(
        &mut self,
        permit: &mut Permit,
        mut exchange: Exchange,
        sent_at: Instant,
    ) -> Attempt {
        self.sends += 1;
        let names = self.gateway.dialect.names().clone();
        let status = exchange.status;
        let refused = exchange.headers.contains_key(&names.not_run);
        if refused || status == StatusCode::MISDIRECTED_REQUEST {
            permit.settle();
            if status == StatusCode::MISDIRECTED_REQUEST {
                // The address belongs to another server now; the entry is of no use until it changes.
                self.gateway
                    .state()
                    .registry
                    .mark_draining(&permit.server.id);
            } else {
                permit.judge(Outcome::Full);
            }
            self.note(permit, "turned_away", status.as_str());
            // Read to its end, so that the connection can be used again.
            if let Err(error) = exchange.whole(MOST_ANSWER).await {
                self.note(permit, "refusal_broken", &error.to_string());
            }
            return Attempt::Rejected;
        }
        self.mark_executed();
        let echoed = exchange.headers.get(&names.request_id);
        let own = echoed.is_some_and(|value| value.as_bytes() == self.id.as_bytes());
        let sealed = exchange.headers.contains_key(&names.seal);
        if !own || (status.is_success() && !sealed) {
            // An answer to another request that came late, or bytes that no server sealed: its connection
            // is dropped with it.
            return self.unknown(permit, &"the answer belongs to another request");
        }
        if self.route.kind.is_stream() && status.is_success() {
            return match exchange.next_chunk().await {
                Some(Ok(first)) => {
                    permit.first_event();
                    let took = self.arrived.elapsed();
                    self.first_ms = took.as_millis();
                    self.gateway.metrics.first_event(&self.route.name, took);
                    Attempt::Events(Box::new(exchange), first)
                }
                Some(Err(error)) => {
                    self.lost_at(permit, loss(&error)).await;
                    self.unknown(permit, &error)
                }
                None => self.unknown(permit, &"a stream without events"),
            };
        }
        let headers = std::mem::take(&mut exchange.headers);
        match exchange.whole(MOST_ANSWER).await {
            Ok(body) => {
                permit.settle();
                if status.is_success() {
                    // A server that fails some of its requests may fail this one before it would crash.
                    self.gateway.answered(&permit.server, self.fingerprint);
                }
                let answer = Answer {
                    status,
                    headers,
                    body,
                };
                if status.is_server_error() {
                    permit.judge(Outcome::Failed);
                    self.note(permit, "failed", status.as_str());
                    return Attempt::Failed(answer);
                }
                permit.judge(Outcome::Good);
                permit.time(sent_at.elapsed());
                Attempt::Whole(answer)
            }
            Err(error) => {
                self.lost_at(permit, loss(&error)).await;
                self.unknown(permit, &error)
            }
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
        let progress = match self.route.kind {
            Kind::Stream { resumable: true } if !self.is_last() => {
                self.route.target_gap.mul_f64(GAP_PATIENCE)
            }
            Kind::Stream { .. } => self.deadline.saturating_duration_since(Instant::now()),
            _ => left,
        };
        Timeouts {
            connect: CONNECT,
            first_byte: left,
            progress,
        }
    }

    /// Whether no other server may get the request after this one.
    fn is_last(&self) -> bool {
        self.sends + 1 >= self.route.max_attempts
    }

    /// Hedging delay, or `None` if no other server may be tried.
    fn patience(&self) -> Option<Duration> {
        if self.is_last() {
            return None;
        }
        let target = self.route.target_latency;
        match self.route.kind {
            Kind::Safe => Some((target * SAFE_PATIENCE).max(SAFE_LEAST)),
            Kind::Stream { resumable: true } => Some(target * STREAM_PATIENCE),
            _ => None,
        }
    }

    fn sent(&mut self) {
        self.sends += 1;
        self.mark_executed();
    }

    fn mark_executed(&mut self) {
        self.possibly_executed = true;
        if let Some(hold) = &mut self.hold {
            hold.ran();
        }
    }

    fn unknown<Reason>(&mut self, permit: &Permit, reason: &Reason) -> Attempt
    where
        Reason: std::fmt::Display + ?Sized,
    {
        self.timed_out = Instant::now() >= self.limit;
        if !self.timed_out {
            permit.judge(Outcome::Bad);
        }
        self.note(permit, "unknown", &reason.to_string());
        Attempt::Unknown
    }

    pub(crate) fn note(&self, permit: &Permit, what: &'static str, reason: &str) {
        self.gateway.metrics.attempt(&self.service.name, what);
        let reason = reason.replace(' ', "_");
        log_event!(
            Event::AttemptFailed,
            "request={} server={} outcome={what} sends={} fingerprint={} reason={reason}",
            self.id,
            permit.server.id,
            self.sends,
            self.fingerprint
        );
    }
}

/// Ends after a time, or never.
async fn wait_out(time: Option<Duration>) {
    match time {
        Some(time) => tokio::time::sleep(time).await,
        None => std::future::pending().await,
    }
}
