//! Attempts of model requests: sends one, forwards its response stream and resumes the stream after a break.

mod resume;

use std::time::{Duration, Instant};

use bytes::Bytes;
use fescuewell_core::prelude::*;
use fescuewell_http::sse;
use fescuewell_http::upstream::{Client, Error, Exchange, Target, Timeouts};
use fescuewell_node::event::Event as NodeEvent;
use fescuewell_node::request::{Assignment, End, Ticket};
use http::StatusCode;

use self::resume::{Interruptions, ResumeResult};
use crate::chat::Prompt;
use crate::delivery::{Delivery, ResponseOptions};
use crate::pending::PendingRequests;

/// Header that identifies the attempt to the backend server.
pub const STREAM_HEADER: &str = "x-request-id";
/// Response header of a backend server that is about to shut down.
const LEAVING_HEADER: &str = "x-leaving";
/// Maximum size of one event of a response stream.
const MAX_EVENT_BYTES: usize = 1024 * 1024;
/// Maximum size of an error body, or of the record that follows a cancellation.
const MAX_ERROR_BODY_BYTES: usize = 64 * 1024;
/// Delay before the second and each further resume.
const RESUME_DELAY: Duration = Duration::from_millis(100);
/// Tokens between two progress reports to the decision thread.
const PROGRESS_INTERVAL_TOKENS: u32 = 32;

/// Runs the attempts of one request.
pub struct Runner<'a> {
    /// HTTP client for backend servers.
    pub client: &'a Client,
    /// Sends progress to the decision thread.
    pub pending: &'a PendingRequests,
    /// Timeouts of requests to backend servers.
    pub timeouts: Timeouts,
    /// Identifies the request within this process.
    pub ticket: Ticket,
    /// Time at which the request is cancelled.
    pub deadline: Instant,
    /// Whether the caller may repeat the request; its response is then read to the end even if the caller
    /// disconnects.
    pub may_retry: bool,
}

/// Result of reading the response on one connection.
enum ReadResult {
    /// The response ended.
    Complete,
    /// The connection failed or stalled; the response may go on.
    Interrupted { stalled: bool },
    /// The backend server exceeded the output limit.
    OverLimit,
    /// The deadline passed.
    DeadlineExceeded,
    /// The caller disconnected and cannot repeat the request.
    CallerGone,
}

/// Result of sending the request.
enum OpenResult {
    /// The backend server began to respond.
    Response(Box<Exchange>),
    /// The request was not sent, so it certainly did not run.
    NotSent,
    /// The backend server accepts no requests at present.
    Busy,
    /// The backend server rejected the request as invalid.
    Rejected(StatusCode, Bytes),
    /// The request may have run.
    Unknown,
}

/// How an attempt ended, with the backend server's response if it rejected the request.
pub struct Outcome {
    /// Reported to the decision thread.
    pub end: End,
    /// Status and body of a rejection, forwarded to the caller.
    pub rejection: Option<(StatusCode, Bytes)>,
    /// Whether the deadline ended the response.
    pub deadline_exceeded: bool,
}

impl Outcome {
    fn of(end: End) -> Self {
        Self {
            end,
            rejection: None,
            deadline_exceeded: false,
        }
    }
}

impl Runner<'_> {
    /// Sends the request and forwards the response until the attempt ends.
    pub async fn run(
        &self,
        assignment: &Assignment,
        prompt: &Prompt,
        options: &ResponseOptions,
        delivery: &mut Delivery,
    ) -> Outcome {
        let limit = output_limit(assignment, prompt);
        let request = self.request(assignment, prompt, options, limit);
        match self.open(assignment, request).await {
            OpenResult::NotSent => Outcome::of(End::NotSent),
            OpenResult::Busy => Outcome::of(End::Busy),
            OpenResult::Rejected(status, body) => Outcome {
                rejection: Some((status, body)),
                ..Outcome::of(End::Rejected)
            },
            OpenResult::Response(exchange) => {
                self.stream_response(assignment, Some(exchange), limit, delivery)
                    .await
            }
            OpenResult::Unknown => {
                self.stream_response(assignment, None, limit, delivery)
                    .await
            }
        }
    }

    /// Goes on with an attempt that ended as stalled before any of its response arrived.
    pub async fn keep(
        &self,
        assignment: &Assignment,
        prompt: &Prompt,
        delivery: &mut Delivery,
    ) -> Outcome {
        let limit = output_limit(assignment, prompt);
        self.stream_response(assignment, None, limit, delivery)
            .await
    }

    /// Reads the response of an attempt that another request or instance started. Returns `None` when the
    /// backend server has no record of it.
    pub async fn read(
        &self,
        address: std::net::SocketAddr,
        stream: &str,
        delivery: &mut Delivery,
    ) -> Option<Outcome> {
        let mut interruptions = Interruptions::default();
        loop {
            let before = delivery.last_event;
            let reading = match self.resume(address, stream, delivery.last_event).await {
                ResumeResult::Response(exchange) => {
                    self.read_response(exchange, u32::MAX, delivery).await
                }
                // The caller has events of a run that is gone; another run would not continue them.
                ResumeResult::NotFound if delivery.has_begun() => {
                    return Some(Outcome::of(lost(delivery, false)));
                }
                ResumeResult::NotFound => return None,
                ResumeResult::Silent => ReadResult::Interrupted { stalled: true },
                ResumeResult::Failed => ReadResult::Interrupted { stalled: false },
            };
            let stalled = match reading {
                ReadResult::Complete | ReadResult::OverLimit => {
                    return Some(Outcome::of(done(delivery)));
                }
                ReadResult::DeadlineExceeded => return Some(self.deadline_outcome(delivery)),
                ReadResult::CallerGone => return Some(Outcome::of(cancelled(delivery))),
                ReadResult::Interrupted { stalled } => stalled,
            };
            interruptions.record(delivery.last_event > before, stalled);
            if Instant::now() >= self.deadline {
                return Some(self.deadline_outcome(delivery));
            }
            if self.is_abandoned(delivery) {
                return Some(Outcome::of(cancelled(delivery)));
            }
            if interruptions.is_broken() {
                return Some(Outcome::of(lost(delivery, stalled)));
            }
            tokio::time::sleep(RESUME_DELAY).await;
        }
    }

    fn request(
        &self,
        assignment: &Assignment,
        prompt: &Prompt,
        options: &ResponseOptions,
        limit: u32,
    ) -> http::Request<Bytes> {
        let body = prompt.upstream_body(limit, assignment.priority, &assignment.cache_salt);
        let time_left = self.deadline.saturating_duration_since(Instant::now());
        let request = http::Request::builder()
            .method(http::Method::POST)
            .uri(options.path.as_str())
            .header(http::header::CONTENT_TYPE, "application/json")
            .header(STREAM_HEADER, &*assignment.stream)
            .header("x-fescuewell-group", &*assignment.group)
            .header("x-fescuewell-hold", assignment.hold.0)
            .header(
                crate::caller::DEADLINE_HEADER,
                time_left.as_millis().to_string(),
            );
        request.body(Bytes::from(body)).unwrap_or_default()
    }

    async fn open(&self, assignment: &Assignment, request: http::Request<Bytes>) -> OpenResult {
        let target = Target::new(assignment.address).with_deadline(self.deadline);
        let exchange = match self.client.open(&target, request, self.timeouts).await {
            Ok(exchange) => exchange,
            Err(Error::NotSent { .. }) => return OpenResult::NotSent,
            Err(_) => return OpenResult::Unknown,
        };
        if names_other(&exchange, &assignment.stream) {
            // It says nothing of this request, also if it is a rejection.
            return OpenResult::Unknown;
        }
        self.report_leaving(assignment, &exchange);
        match exchange.status {
            StatusCode::OK if matches_stream(&exchange, &assignment.stream) => {
                OpenResult::Response(Box::new(exchange))
            }
            // A response with another stream id belongs to another request and must not reach this caller.
            StatusCode::OK => OpenResult::Unknown,
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => OpenResult::Busy,
            // The backend server already has this attempt: an earlier send arrived after all.
            StatusCode::CONFLICT => OpenResult::Unknown,
            status if status.is_client_error() => {
                let body = exchange
                    .collect(MAX_ERROR_BODY_BYTES)
                    .await
                    .unwrap_or_default();
                OpenResult::Rejected(status, body)
            }
            _ => OpenResult::Unknown,
        }
    }

    fn report_leaving(&self, assignment: &Assignment, exchange: &Exchange) {
        if exchange.headers.contains_key(LEAVING_HEADER) {
            let server = assignment.server.clone();
            self.pending.try_send(NodeEvent::ServerLeaving { server });
        }
    }

    /// Forwards the response and resumes it after each interruption.
    async fn stream_response(
        &self,
        assignment: &Assignment,
        first: Option<Box<Exchange>>,
        limit: u32,
        delivery: &mut Delivery,
    ) -> Outcome {
        let mut next = first;
        let mut interruptions = Interruptions::default();
        loop {
            let before = delivery.last_event;
            let reading = match next.take() {
                Some(exchange) => self.read_response(exchange, limit, delivery).await,
                None => match self
                    .resume(assignment.address, &assignment.stream, delivery.last_event)
                    .await
                {
                    ResumeResult::Response(exchange) => {
                        self.read_response(exchange, limit, delivery).await
                    }
                    ResumeResult::NotFound => return Outcome::of(lost(delivery, false)),
                    ResumeResult::Silent => ReadResult::Interrupted { stalled: true },
                    ResumeResult::Failed => ReadResult::Interrupted { stalled: false },
                },
            };
            let stalled = match reading {
                ReadResult::Complete => return Outcome::of(done(delivery)),
                ReadResult::OverLimit => {
                    self.cancel(assignment, delivery).await;
                    return Outcome::of(done(delivery));
                }
                ReadResult::DeadlineExceeded => {
                    self.cancel(assignment, delivery).await;
                    return self.deadline_outcome(delivery);
                }
                ReadResult::CallerGone => {
                    self.cancel(assignment, delivery).await;
                    return Outcome::of(cancelled(delivery));
                }
                ReadResult::Interrupted { stalled } => stalled,
            };
            interruptions.record(delivery.last_event > before, stalled);
            if Instant::now() >= self.deadline {
                self.cancel(assignment, delivery).await;
                return self.deadline_outcome(delivery);
            }
            if self.is_abandoned(delivery) {
                self.cancel(assignment, delivery).await;
                return Outcome::of(cancelled(delivery));
            }
            if interruptions.is_broken() {
                self.cancel(assignment, delivery).await;
                return Outcome::of(lost(delivery, false));
            }
            // Nothing can go on with a response that has begun, so that its server may be silent for as
            // long as the request may take. Another attempt may be made at one that has not; this one is
            // cancelled only when that is certain.
            if interruptions.is_silent() && !delivery.has_begun() {
                return Outcome::of(lost(delivery, true));
            }
            if interruptions.total() > 1 {
                tokio::time::sleep(RESUME_DELAY).await;
            }
        }
    }

    async fn read_response(
        &self,
        mut exchange: Box<Exchange>,
        limit: u32,
        delivery: &mut Delivery,
    ) -> ReadResult {
        let mut decoder = sse::Decoder::new(MAX_EVENT_BYTES);
        let mut events = Vec::new();
        let mut reported = delivery.last_event;
        while let Some(chunk) = exchange.next_chunk().await {
            let chunk = match chunk {
                Ok(chunk) => chunk,
                Err(Error::DeadlineExceeded) => return ReadResult::DeadlineExceeded,
                Err(error) => {
                    return ReadResult::Interrupted {
                        stalled: error == Error::Stalled,
                    };
                }
            };
            let is_decoded = decoder.push(&chunk, &mut events).is_ok();
            if !is_decoded || exchange.reserve(decoder.buffered()).is_err() {
                return ReadResult::Interrupted { stalled: false };
            }
            for event in events.drain(..) {
                if !is_new(&event, delivery.last_event) {
                    continue;
                }
                delivery.handle_event(event).await;
            }
            self.report_progress(delivery, &mut reported);
            if delivery.is_done() {
                return ReadResult::Complete;
            }
            // The hold covers only `limit` output tokens; an engine that exceeds it would spend tokens
            // that are not reserved.
            if delivery.output > limit {
                return ReadResult::OverLimit;
            }
            if self.is_abandoned(delivery) {
                return ReadResult::CallerGone;
            }
        }
        match delivery.is_done() {
            true => ReadResult::Complete,
            false => ReadResult::Interrupted { stalled: false },
        }
    }

    /// Whether the caller disconnected and cannot repeat the request.
    fn is_abandoned(&self, delivery: &Delivery) -> bool {
        delivery.is_gone() && !self.may_retry
    }

    fn report_progress(&self, delivery: &Delivery, reported: &mut u64) {
        let new = delivery.last_event.saturating_sub(*reported) as u32;
        if new >= PROGRESS_INTERVAL_TOKENS || (*reported == 0 && new > 0) {
            *reported = delivery.last_event;
            let ticket = self.ticket;
            self.pending.try_send(NodeEvent::Progress {
                ticket,
                tokens: new,
            });
        }
    }

    fn deadline_outcome(&self, delivery: &Delivery) -> Outcome {
        Outcome {
            deadline_exceeded: true,
            ..Outcome::of(cancelled(delivery))
        }
    }
}

// Events arrive in ascending order of their numbers. One that arrived before an interruption must not be
// forwarded again.
fn is_new(event: &sse::Event, last: u64) -> bool {
    let number = event.id.as_deref().and_then(|id| id.parse::<u64>().ok());
    number.is_none_or(|number| number > last)
}

/// Whether a response names another request. Rejections may name none.
pub(crate) fn names_other(exchange: &Exchange, stream: &str) -> bool {
    exchange.headers.contains_key(STREAM_HEADER) && !matches_stream(exchange, stream)
}

fn matches_stream(exchange: &Exchange, stream: &str) -> bool {
    let name = exchange.headers.get(STREAM_HEADER);
    name.is_some_and(|name| name.as_bytes() == stream.as_bytes())
}

fn output_limit(assignment: &Assignment, prompt: &Prompt) -> u32 {
    let output_tokens = assignment.hold.0.saturating_sub(u64::from(prompt.bound));
    u32::try_from(output_tokens).unwrap_or(u32::MAX).max(1)
}

fn used_tokens(delivery: &Delivery) -> Tokens {
    match delivery.used.is_zero() {
        true => Tokens(u64::from(delivery.output)),
        false => delivery.used,
    }
}

fn done(delivery: &Delivery) -> End {
    End::Done {
        cost: used_tokens(delivery),
        output: delivery.output,
        response: None,
    }
}

fn cancelled(delivery: &Delivery) -> End {
    End::Cancelled {
        used: used_tokens(delivery),
    }
}

fn lost(delivery: &Delivery, stalled: bool) -> End {
    End::Lost {
        used: used_tokens(delivery),
        stalled,
        delivered: delivery.has_begun(),
    }
}
