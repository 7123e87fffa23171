//! A request at one backend server, from the choice of the server to the end of the response.

use std::pin::Pin;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use fescuewell_forward::config::Kind;
use fescuewell_forward::hedge::Activity;
use fescuewell_forward::server::Entry;
use fescuewell_http::upstream::{BodyEnd, Error, Exchange, Timeouts};
use http::header::HeaderValue;
use http::{HeaderMap, StatusCode};

use super::{Job, Permit, Race};
use crate::hop::{Failure, Opened, Sending};
use crate::stream::EventFramer;

/// Connect timeout. Backend servers are a few milliseconds away.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time after which a server that has sent nothing counts as silent, before the response of a safe request
/// or the first event of a stream, as a multiple of the route's target latency.
const TARGET_DELAY_FACTOR: u32 = 2;
/// Minimum of this time for a safe request.
const MIN_SAFE_DELAY: Duration = Duration::from_millis(200);
/// The same between two events of a stream, as a multiple of the route's gap objective.
const GAP_DELAY_FACTOR: f64 = 1.25;

/// Time in which a server that is listed with another start shows that it is still the same process, by
/// sending something.
const RESTART_CONFIRM_TIME: Duration = Duration::from_millis(500);

pub(super) type BoxFuture<Output> = Pin<Box<dyn Future<Output = Output> + Send>>;

/// A backend server's complete response.
pub(crate) struct Response {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// Head of a response whose body is being read.
pub(super) struct Head {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) end: BodyEnd,
}

/// How far an attempt has come.
pub(super) enum Stage {
    /// The request is being sent, or waits for the head of its response.
    Opening(BoxFuture<Result<Box<Opened>, Failure>>),
    /// Events are being received.
    Streaming(Box<Exchange>, EventFramer),
    /// The body is being read.
    Buffering(Head, BoxFuture<Result<Bytes, Error>>),
}

/// A step of an attempt.
pub(super) enum Step {
    /// The head of the response was received, or the exchange failed before it.
    Opened(Result<Box<Opened>, Failure>),
    /// Part of a stream was received, or its end.
    Chunk(Option<Result<Bytes, Error>>),
    /// The body was received, or the exchange failed.
    Body(Result<Bytes, Error>),
    /// The list names another start of the server, which knows nothing of the request.
    Restarted,
}

impl Step {
    /// Returns `true` if the server has sent something.
    pub(super) fn is_heard(&self) -> bool {
        matches!(
            self,
            Self::Opened(Ok(_)) | Self::Chunk(Some(Ok(_)) | None) | Self::Body(Ok(_))
        )
    }
}

/// A request at one backend server.
pub(crate) struct Attempt {
    pub(crate) permit: Permit,
    pub(super) stage: Stage,
    pub(super) sent_at: Instant,
    /// When the server sent something last, or when the request was sent.
    pub(super) heard_at: Instant,
    /// When it was last decided whether to ask a second server.
    pub(super) decided_at: Option<Instant>,
    pub(super) is_silence_recorded: bool,
    /// Whether the path to the server was lost after the request was sent.
    pub(super) is_path_lost: bool,
    /// Number of events that were forwarded.
    pub(super) events: u64,
    /// When the first event was received.
    pub(super) begun_at: Option<Instant>,
    activity: Arc<Activity>,
    restart: BoxFuture<()>,
    /// When the list named another start of the server.
    restart_listed_at: Option<Instant>,
}

impl Attempt {
    /// Waits for the next step. Nothing is lost if the future is dropped.
    pub(super) async fn next(&mut self) -> Step {
        let Self { stage, restart, .. } = self;
        let step = async {
            match stage {
                Stage::Opening(opened) => Step::Opened(opened.await),
                Stage::Streaming(exchange, _) => Step::Chunk(exchange.next_chunk().await),
                Stage::Buffering(_, body) => Step::Body(body.await),
            }
        };
        tokio::select! {
            biased;
            step = step => step,
            () = restart => Step::Restarted,
        }
    }

    /// Records at `now_ms` of the local clock that the server has sent something.
    pub(super) fn hear(&mut self, now_ms: u64) {
        self.heard_at = Instant::now();
        self.decided_at = None;
        self.activity.record(now_ms);
    }

    /// Returns when the server was heard last, or later when it was last decided whether to ask a second one.
    pub(super) fn silent_since(&self) -> Instant {
        self.decided_at.unwrap_or(self.heard_at)
    }

    /// Handles another start of the server. Returns `true` if the server has sent nothing since the list named
    /// that start; the row of a restored store names one that is over.
    pub(super) fn confirm_restart(&mut self) -> bool {
        let Some(listed_at) = self.restart_listed_at else {
            self.restart_listed_at = Some(Instant::now());
            self.restart = Box::pin(tokio::time::sleep(RESTART_CONFIRM_TIME));
            return false;
        };
        if self.heard_at <= listed_at {
            return true;
        }
        self.restart = Box::pin(std::future::pending());
        false
    }

    pub(super) fn is_opening(&self) -> bool {
        matches!(self.stage, Stage::Opening(_))
    }

    /// Returns the exchange whose events are being received.
    pub(crate) fn exchange(&self) -> Option<&Exchange> {
        match &self.stage {
            Stage::Streaming(exchange, _) => Some(exchange),
            _ => None,
        }
    }

    /// Name of the stage in logs.
    pub(super) fn stage_name(&self) -> &'static str {
        match &self.stage {
            Stage::Opening(_) => "head",
            Stage::Streaming(..) if self.events == 0 => "first_event",
            Stage::Streaming(..) => "events",
            Stage::Buffering(..) => "body",
        }
    }
}

impl Job {
    /// Begins to send the request to a backend server, for the events that the caller does not have. Adds no
    /// attempt if a header value is invalid.
    pub(crate) fn add_attempt(&mut self, race: &mut Race, permit: Permit) {
        let Some(request) = self.build_request(&permit.server) else {
            permit.settle();
            return;
        };
        let deadline = match self.route.kind.is_stream() {
            true => self.deadline,
            false => self.route_deadline,
        };
        let (gateway, server, id) = (self.gateway.clone(), permit.server.clone(), self.id.clone());
        let (may_send, timeouts) = (self.part_check(), self.timeouts());
        let opened = async move {
            let sending = Sending {
                server: &server,
                request,
                id: &id,
                deadline,
                timeouts,
                may_send: &may_send,
            };
            gateway.open(sending).await.map(Box::new)
        };
        let sent_at = Instant::now();
        if self.sent_at.is_none() {
            self.sent_at = Some(sent_at);
            self.open = Some(self.gateway.begin_request(&self.route.name));
        }
        race.push(Attempt {
            stage: Stage::Opening(Box::pin(opened)),
            sent_at,
            heard_at: sent_at,
            decided_at: None,
            is_silence_recorded: false,
            is_path_lost: self.gateway.state().has_lost_path(&permit.server),
            events: 0,
            begun_at: None,
            activity: permit.activity(),
            restart: Box::pin(permit.server_exit()),
            restart_listed_at: None,
            permit,
        });
    }

    /// Returns how long the server of an attempt may send nothing before a second one is asked, or `None` if
    /// no second one may be asked.
    pub(super) fn hedge_delay(&self, attempt: &Attempt) -> Option<Duration> {
        let target = self.route.target_latency * TARGET_DELAY_FACTOR;
        let delay = match self.route.kind {
            Kind::Safe => target.max(MIN_SAFE_DELAY),
            Kind::Stream { resumable: true } if attempt.events == 0 => target,
            Kind::Stream { resumable: true } => self.route.target_gap.mul_f64(GAP_DELAY_FACTOR),
            _ => return None,
        };
        // A route may have no objective.
        (!delay.is_zero()).then_some(delay)
    }

    /// Builds the request for a backend server. Returns `None` if a header value is invalid.
    fn build_request(&self, server: &Entry) -> Option<http::Request<Bytes>> {
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
        if let Some(after) = self.last_event_id.filter(|_| self.forwarded > 0) {
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

    /// Silence ends no exchange before the request's own deadline.
    fn timeouts(&self) -> Timeouts {
        let now = Instant::now();
        let left = self.attempts_until().saturating_duration_since(now);
        let progress = match self.route.kind {
            Kind::Stream { .. } => self.deadline.saturating_duration_since(now),
            _ => left,
        };
        Timeouts {
            connect: CONNECT_TIMEOUT,
            first_byte: left,
            progress,
        }
    }
}
