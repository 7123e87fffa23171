//! What the log says of a stream that ends before its last event.

use std::sync::Arc;
use std::time::Instant;

use fescuewell_core::log_event;
use fescuewell_core::prelude::*;
use fescuewell_http::upstream::Error;

use crate::gateway::Gateway;

/// Why a server's part of a stream ended before its last event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Cause {
    /// This instance gave the server up because it sent nothing.
    Silent,
    /// The connection to the server failed.
    Broken,
    /// The server has started again.
    Restarted,
    /// What the server sent is no event stream that continues the events before.
    Malformed,
    /// This instance had no memory for what the server sent.
    OverBudget,
    /// The caller's deadline passed.
    Deadline,
    /// The instance was shut down.
    Shutdown,
    /// The caller closed its connection.
    CallerLeft,
}

impl Cause {
    /// Returns the cause of a failed exchange.
    pub(crate) fn of(error: &Error) -> Self {
        match error {
            Error::DeadlineExceeded => Self::Deadline,
            Error::OverLimit { .. } => Self::Malformed,
            Error::OverBudget { .. } => Self::OverBudget,
            error if error.is_broken() => Self::Broken,
            _ => Self::Silent,
        }
    }

    /// Returns who ended the stream.
    fn ended_by(self) -> &'static str {
        match self {
            Self::Silent | Self::OverBudget | Self::Shutdown => "instance",
            Self::Broken | Self::Restarted | Self::Malformed => "server",
            Self::Deadline => "deadline",
            Self::CallerLeft => "caller",
        }
    }

    fn name(self) -> &'static str {
        match self {
            Self::Silent => "silent",
            Self::Broken => "broken",
            Self::Restarted => "restarted",
            Self::Malformed => "malformed",
            Self::OverBudget => "over_budget",
            Self::Deadline => "deadline",
            Self::Shutdown => "shutdown",
            Self::CallerLeft => "left",
        }
    }
}

/// Follows a stream that has begun. If it is dropped before [`Trace::end`], the caller has left or the
/// instance is shut down.
pub(crate) struct Trace {
    gateway: Arc<Gateway>,
    request: Arc<str>,
    server: Arc<str>,
    sends: u32,
    events: u64,
    last_event_id: Option<u64>,
    heard: Instant,
    is_ended: bool,
}

impl Trace {
    /// Begins to follow the stream of a request.
    pub(crate) fn new(gateway: &Arc<Gateway>, request: &Arc<str>, server: &Arc<str>) -> Self {
        Self {
            gateway: gateway.clone(),
            request: request.clone(),
            server: server.clone(),
            sends: 0,
            events: 0,
            last_event_id: None,
            heard: Instant::now(),
            is_ended: false,
        }
    }

    /// Records that a server sent bytes.
    pub(crate) fn heard(&mut self, server: &Arc<str>, sends: u32) {
        self.heard = Instant::now();
        self.sends = sends;
        if self.server != *server {
            self.server = server.clone();
        }
    }

    /// Records the events that the caller has.
    pub(crate) fn sent(&mut self, events: u64, last_event_id: Option<u64>) {
        self.events = events;
        self.last_event_id = last_event_id;
    }

    /// Ends a stream that was passed on whole, or refused before its first event.
    pub(crate) fn end(&mut self) {
        self.is_ended = true;
    }

    /// Ends a stream before its last event. `refusal` says why no other server goes on with it, if one was
    /// looked for.
    pub(crate) fn cut(&mut self, cause: Cause, refusal: Option<Code>) {
        if std::mem::replace(&mut self.is_ended, true) {
            return;
        }
        let configuration = self.gateway.configuration_in_force();
        self.gateway
            .metrics
            .count_cut_stream(cause.ended_by(), cause.name());
        log_event!(
            Event::StreamCut,
            "request={} server={} by={} cause={} then={} silent_ms={} events={} last_event={} sends={} configuration={} configuration_age_ms={}",
            self.request,
            self.server,
            cause.ended_by(),
            cause.name(),
            refusal.map_or("-", Code::name),
            self.heard.elapsed().as_millis(),
            self.events,
            self.last_event_id.map_or("-".into(), |id| id.to_string()),
            self.sends,
            configuration.version,
            configuration.age.as_millis()
        );
    }
}

impl Drop for Trace {
    fn drop(&mut self) {
        let cause = match self.gateway.is_drain_over() {
            true => Cause::Shutdown,
            false => Cause::CallerLeft,
        };
        self.cut(cause, None);
    }
}
