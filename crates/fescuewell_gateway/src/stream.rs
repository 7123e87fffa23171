//! Streamed responses: complete events are forwarded as they arrive, and a broken stream is resumed
//! on another server within the same response.

use bytes::{Buf, Bytes, BytesMut};
use fescuewell_core::log_event;
use fescuewell_core::prelude::*;
use fescuewell_forward::server::Entry;
use fescuewell_http::listener::{Reply, Sink};
use fescuewell_http::upstream::Exchange;

use crate::header;
use crate::job::{Binding, Cause, Job, Progress, Race, Trace};

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
    /// Size of the buffer's start that contains no end of an event.
    searched: usize,
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

    /// Returns the size of the partial event in bytes.
    pub fn buffered(&self) -> usize {
        self.buffer.len()
    }

    /// Discards the partial event of a broken stream.
    pub fn discard_partial(&mut self) {
        self.buffer.clear();
        self.searched = 0;
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
        // An event that arrives byte by byte would otherwise be searched from its start for each of them.
        while let Some(end) = event_end(&self.buffer, std::mem::take(&mut self.searched)) {
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
        self.searched = self.buffer.len();
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(FramingError::EventTooLarge);
        }
        Ok(out.freeze())
    }
}

/// Returns the end of the first event, after its empty line. None ends within the first `searched` bytes.
fn event_end(bytes: &[u8], searched: usize) -> Option<usize> {
    // The empty line may have begun before.
    let from = searched.saturating_sub(3);
    let rest = &bytes[from..];
    let newlines = rest.windows(2).position(|pair| pair == b"\n\n");
    let returns = rest.windows(4).position(|four| four == b"\r\n\r\n");
    let end = match (newlines, returns) {
        (Some(at), Some(other)) if other < at => other + 4,
        (Some(at), _) => at + 2,
        (None, Some(at)) => at + 4,
        (None, None) => return None,
    };
    Some(from + end)
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
    /// Forwards a stream to the caller and resumes it on other servers if the route allows it. `begun` is the
    /// first result of the attempts.
    pub(crate) async fn stream(mut self, reply: Reply, mut race: Race, begun: Progress) {
        let mut downstream = Downstream::Pending(Some(reply));
        let mut trace = Trace::new(&self.gateway, &self.id, race.server());
        let mut progress = begun;
        loop {
            match progress {
                Progress::Events(events) => {
                    trace.heard(race.server(), self.sends());
                    if let Some(attempt) = race.first() {
                        self.bind_to(&attempt.permit.server);
                    }
                    let is_sent = match self.open(&mut downstream, &race) {
                        Some(sink) => sink.send(events).await.is_ok(),
                        None => false,
                    };
                    if !is_sent {
                        return self.finish(race.server(), "caller_gone");
                    }
                    trace.sent(self.forwarded, self.last_event_id);
                    // While the caller did not read, nothing was read from the server either.
                    race.restart_silence();
                }
                Progress::End => {
                    // A stream whose caller has all events has none to begin the response with.
                    self.open(&mut downstream, &race);
                    if let Downstream::Open(sink) = downstream {
                        sink.finish();
                    }
                    trace.end();
                    self.record_duration();
                    return self.finish(race.server(), "whole");
                }
                Progress::Lost(cause) => {
                    if let Err(refusal) = self.resume(&mut race).await {
                        match &downstream {
                            Downstream::Pending(_) => trace.end(),
                            Downstream::Open(_) => {
                                trace.cut(cause, refusal.as_ref().map(|refusal| refusal.code));
                            }
                        }
                        return self.end_broken(downstream, race.server(), refusal);
                    }
                }
                // A server that cannot go on with the stream responds with something else.
                Progress::Complete(_) | Progress::Failed(_) => {
                    progress = Progress::Lost(Cause::Broken);
                    continue;
                }
            }
            progress = self.advance(&mut race).await;
        }
    }

    /// Returns the caller's side, after beginning the response if that has not happened.
    fn open<'a>(&self, downstream: &'a mut Downstream, race: &Race) -> Option<&'a Sink> {
        let exchange = race.first()?.exchange()?;
        downstream.open(exchange, self.gateway.is_draining())
    }

    /// Asks another server for the rest of the stream. Returns why none is asked, if one was looked for.
    async fn resume(&mut self, race: &mut Race) -> Result<(), Option<Refusal>> {
        if !self.may_retry() {
            return Err(None);
        }
        let permit = self.next_server().await?;
        self.log_resumed(&permit.server);
        self.add_attempt(race, permit);
        Ok(())
    }

    /// Records that a server goes on with the stream of another one.
    pub(crate) fn log_resumed(&self, server: &Entry) {
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
            "request={} server={} software={} after={:?} bound={is_bound}",
            self.id,
            server.id,
            server.software(),
            self.last_event_id
        );
    }

    /// Ends a stream that no server goes on with. A response that has begun is left incomplete.
    fn end_broken(mut self, downstream: Downstream, server: &str, refusal: Option<Refusal>) {
        let Downstream::Pending(Some(reply)) = downstream else {
            if refusal.is_none() && self.is_version_gone() {
                self.version_gone();
            }
            return self.finish(server, "broken_off");
        };
        let refusal = refusal.unwrap_or_else(|| Refusal::new(self.failure_code()));
        self.refuse_after(reply, refusal.code, refusal.retry_after);
    }
}
