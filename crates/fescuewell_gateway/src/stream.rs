//! Streamed responses: complete events are forwarded as they arrive, and a broken stream is resumed
//! on another server within the same response.

use std::time::Instant;

use bytes::{Buf, Bytes, BytesMut};
use fescuewell_core::log_event;
use fescuewell_core::prelude::*;
use fescuewell_forward::crash::Loss;
use fescuewell_forward::health::Outcome;
use fescuewell_forward::server::Entry;
use fescuewell_http::listener::{Reply, Sink};
use fescuewell_http::upstream::Exchange;

use crate::header;
use crate::job::{AttemptOutcome, Binding, Cause, Job, Permit, Trace, classify_loss};

/// Maximum event size in bytes.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Splits a byte stream into complete server-sent events.
///
/// A server may stop in the middle of an event. A partial event must not reach the caller: the next
/// server sends the event again from its start, and the caller would see it appended to the first
/// part.
#[derive(Debug, Default)]
pub struct EventFramer {
    buffer: BytesMut,
    last_event_id: Option<u64>,
    forwarded: u64,
}

/// Reason why a server's stream cannot continue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FramingError {
    /// An event exceeds the maximum size.
    EventTooLarge,
    /// The event ids have a gap.
    MissingEvent,
}

impl EventFramer {
    /// Creates a framer for a caller that already received the events up to `last_event_id`.
    pub fn new(last_event_id: Option<u64>) -> Self {
        Self {
            last_event_id,
            ..Self::default()
        }
    }

    /// Returns the id of the last forwarded event.
    pub fn last_event_id(&self) -> Option<u64> {
        self.last_event_id
    }

    /// Returns the number of forwarded events.
    pub fn forwarded(&self) -> u64 {
        self.forwarded
    }

    /// Returns `true` if the buffer contains a partial event.
    pub fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Discards the partial event of a broken stream.
    pub fn discard_partial(&mut self) {
        self.buffer.clear();
    }

    /// Adds received bytes and returns the events that they complete.
    ///
    /// # Errors
    ///
    /// Returns a [`FramingError`] if an event is too large or missing. Events returned earlier stay
    /// valid.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, FramingError> {
        self.buffer.extend_from_slice(bytes);
        let mut out = BytesMut::new();
        while let Some(end) = event_end(&self.buffer) {
            let id = event_id(&self.buffer[..end]);
            if let (Some(id), Some(last_event_id)) = (id, self.last_event_id) {
                if id <= last_event_id {
                    // The server repeats events that the caller already received.
                    self.buffer.advance(end);
                    continue;
                }
                if id > last_event_id + 1 {
                    return Err(FramingError::MissingEvent);
                }
            }
            out.extend_from_slice(&self.buffer.split_to(end));
            self.last_event_id = id.or(self.last_event_id);
            self.forwarded += 1;
        }
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(FramingError::EventTooLarge);
        }
        Ok(out.freeze())
    }
}

/// Returns the end of the first event, after its empty line.
fn event_end(bytes: &[u8]) -> Option<usize> {
    let newlines = bytes.windows(2).position(|pair| pair == b"\n\n");
    let returns = bytes.windows(4).position(|four| four == b"\r\n\r\n");
    match (newlines, returns) {
        (Some(at), Some(other)) if other < at => Some(other + 4),
        (Some(at), _) => Some(at + 2),
        (None, Some(at)) => Some(at + 4),
        (None, None) => None,
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    for line in event.split(|byte| *byte == b'\n') {
        let Some(value) = line.strip_prefix(b"id:") else {
            continue;
        };
        return std::str::from_utf8(value).ok()?.trim().parse().ok();
    }
    None
}

/// How the stream of one server ended.
enum StreamEnd {
    Complete,
    Broken(Cause),
    CallerGone,
}

/// The caller's side of a stream.
enum Downstream {
    /// Nothing has been sent. The response begins with the first complete event, so that its head comes
    /// from the server that sent the event.
    Pending(Option<Reply>),
    /// The response has begun.
    Open(Sink),
}

impl Downstream {
    /// Returns the sink, after beginning the response with the head of `exchange` if that has not
    /// happened.
    fn open(&mut self, exchange: &Exchange, close_connection: bool) -> Option<&Sink> {
        if let Self::Pending(reply) = self {
            let headers = header::response_headers(&exchange.headers, close_connection);
            let reply = reply.take()?;
            *self = Self::Open(reply.stream(exchange.status, headers));
        }
        match self {
            Self::Open(sink) => Some(sink),
            Self::Pending(_) => None,
        }
    }
}

impl Job {
    /// Forwards a stream to the caller and resumes it on other servers if the route allows it.
    pub(crate) async fn stream(
        mut self,
        reply: Reply,
        exchange: Exchange,
        first: Bytes,
        permit: Permit,
    ) {
        let mut downstream = Downstream::Pending(Some(reply));
        let mut framer = EventFramer::new(self.metadata.last_event_id.value().copied());
        let mut current = Some((exchange, first));
        let mut permit = permit;
        let mut refusal: Option<Refusal> = None;
        let mut cause = Cause::Broken;
        let mut trace = Trace::new(&self.gateway, &self.id, &permit.server.id);
        loop {
            let Some((mut exchange, first)) = current.take() else {
                match &downstream {
                    Downstream::Pending(_) => trace.end(),
                    Downstream::Open(_) => {
                        trace.cut(cause, refusal.as_ref().map(|refusal| refusal.code));
                    }
                }
                return self.end_broken(downstream, &permit, refusal);
            };
            let begun = (Instant::now(), framer.forwarded());
            match self
                .forward_events(
                    &mut downstream,
                    &mut framer,
                    &mut exchange,
                    first,
                    &permit,
                    &mut trace,
                )
                .await
            {
                StreamEnd::Complete => {
                    permit.record_outcome(Outcome::Good);
                    permit.settle();
                    // A server that had no event left to send has not worked on the prompt.
                    let parts = match framer.forwarded() > begun.1 {
                        true => &*self.parts,
                        false => &[],
                    };
                    self.gateway
                        .record_response(&permit.server, self.fingerprint, parts);
                    let events = framer.forwarded().saturating_sub(begun.1 + 1);
                    if let Some(gap) = begun.0.elapsed().checked_div(events as u32) {
                        permit.record_latency(gap);
                    }
                    // A stream whose caller has all events has none to begin the response with.
                    downstream.open(&exchange, self.gateway.is_draining());
                    if let Downstream::Open(sink) = downstream {
                        sink.finish();
                    }
                    trace.end();
                    return self.finish(&permit, "whole");
                }
                StreamEnd::CallerGone => return self.finish(&permit, "caller_gone"),
                StreamEnd::Broken(reason) => {
                    cause = reason;
                    permit.record_outcome(Outcome::Bad);
                }
            }
            drop(exchange);
            framer.discard_partial();
            while current.is_none() && self.may_retry() {
                // The previous permit is released first, so that the abandoned attempt does not
                // count beside the new one.
                permit.release();
                permit = match self.pick_server().await {
                    Ok(next) => next,
                    Err(reason) => {
                        refusal = Some(reason);
                        break;
                    }
                };
                self.log_resumed(&permit.server, framer.last_event_id());
                let outcome = self.run_attempt(&mut permit, framer.last_event_id()).await;
                if let AttemptOutcome::Stream(exchange, first) = outcome {
                    current = Some((*exchange, first));
                }
            }
        }
    }

    fn log_resumed(&self, server: &Entry, after: Option<u64>) {
        let is_bound = matches!(self.binding, Binding::Bound(_));
        self.gateway.metrics.count_resumption(
            "response",
            match is_bound {
                true => "same_version",
                false => "unbound",
            },
        );
        log_event!(
            Event::StreamResumed,
            "request={} server={} software={} after={after:?} bound={is_bound}",
            self.id,
            server.id,
            server.software()
        );
    }

    /// Ends a stream that no server goes on with. A response that has begun is left incomplete.
    fn end_broken(mut self, downstream: Downstream, permit: &Permit, refusal: Option<Refusal>) {
        let Downstream::Pending(Some(reply)) = downstream else {
            if refusal.is_none() && self.is_version_gone() {
                self.version_gone();
            }
            return self.finish(permit, "broken_off");
        };
        let refusal = refusal.unwrap_or_else(|| Refusal::new(self.failure_code()));
        self.refuse_after(reply, refusal.code, refusal.retry_after);
    }

    async fn forward_events(
        &mut self,
        downstream: &mut Downstream,
        framer: &mut EventFramer,
        exchange: &mut Exchange,
        first: Bytes,
        permit: &Permit,
        trace: &mut Trace,
    ) -> StreamEnd {
        let mut chunk = first;
        let server_exit = permit.server_exit();
        tokio::pin!(server_exit);
        let mut is_first = true;
        loop {
            let before = framer.forwarded();
            trace.heard(&permit.server.id, self.sends());
            let Ok(events) = framer.push(&chunk) else {
                return StreamEnd::Broken(Cause::Malformed);
            };
            self.charge_events(framer.forwarded() - before);
            if !events.is_empty() {
                if std::mem::take(&mut is_first) {
                    self.bind_to(&permit.server);
                }
                let close_connection = self.gateway.is_draining();
                let Some(sink) = downstream.open(exchange, close_connection) else {
                    return StreamEnd::Broken(Cause::Broken);
                };
                if sink.send(events).await.is_err() {
                    return StreamEnd::CallerGone;
                }
                trace.sent(framer.forwarded(), framer.last_event_id());
            }
            let next = tokio::select! {
                biased;
                next = exchange.next_chunk() => next,
                () = &mut server_exit => {
                    self.report_loss(permit, Loss::Broken).await;
                    self.log_failure(permit, "broken", "the server has started again");
                    return StreamEnd::Broken(Cause::Restarted);
                }
            };
            chunk = match next {
                Some(Ok(chunk)) => chunk,
                Some(Err(error)) => {
                    self.report_loss(permit, classify_loss(&error)).await;
                    self.log_failure(permit, "broken", &error.to_string());
                    return StreamEnd::Broken(Cause::of(&error));
                }
                None if framer.has_partial() => {
                    // A body without a length ends like this if the server crashes.
                    self.report_loss(permit, Loss::Broken).await;
                    return StreamEnd::Broken(Cause::Broken);
                }
                None if self.is_cut_off(exchange.body_end(), permit).await => {
                    self.log_failure(
                        permit,
                        "broken",
                        "the server crashed before the end of the body",
                    );
                    return StreamEnd::Broken(Cause::Broken);
                }
                None => return StreamEnd::Complete,
            };
        }
    }

    fn charge_events(&mut self, events: u64) {
        let each = self
            .service
            .engine
            .map_or(0, |engine| engine.tokens_per_event);
        if let Some(hold) = &mut self.hold {
            hold.add_output(events * each);
        }
    }
}
