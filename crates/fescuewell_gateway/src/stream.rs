//! Streamed answers: whole events go on as they come, and a broken stream is taken up elsewhere inside the
//! same answer.

use std::time::Instant;

use bytes::{Buf, Bytes, BytesMut};
use fescuewell_core::log_event;
use fescuewell_core::prelude::*;
use fescuewell_forward::crash::Loss;
use fescuewell_forward::health::Outcome;
use fescuewell_http::listener::{Reply, Sink};
use fescuewell_http::upstream::Exchange;

use crate::header;
use crate::job::{Attempt, Job, Permit, loss};

/// Largest event, in bytes.
const MOST_EVENT: usize = 256 * 1024;

/// Whole events cut from a stream of bytes.
///
/// A server may stop in the middle of an event. Half an event must not reach the caller: the next server repeats
/// it whole, and the caller would see it joined to its first half.
#[derive(Debug, Default)]
pub struct Cutter {
    rest: BytesMut,
    last: Option<u64>,
    taken: u64,
}

/// Why a stream cannot go on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// An event is too large.
    TooLarge,
    /// An event is missing between two others.
    Gap,
}

impl Cutter {
    /// A cutter for a caller that already has the events up to `last`.
    pub fn new(last: Option<u64>) -> Self {
        Self {
            last,
            ..Self::default()
        }
    }

    /// Number of the last event that went on.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// How many events went on.
    pub fn taken(&self) -> u64 {
        self.taken
    }

    /// Whether part of an event is left over.
    pub fn has_rest(&self) -> bool {
        !self.rest.is_empty()
    }

    /// Forgets the part of an event that a broken stream left.
    pub fn restart(&mut self) {
        self.rest.clear();
    }

    /// Takes bytes and returns the whole events that they complete.
    ///
    /// # Errors
    ///
    /// [`Fault`]; what went on before stays valid.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, Fault> {
        self.rest.extend_from_slice(bytes);
        let mut out = BytesMut::new();
        while let Some(end) = event_end(&self.rest) {
            let number = event_number(&self.rest[..end]);
            if let (Some(number), Some(last)) = (number, self.last) {
                if number <= last {
                    // A server that begins again, or repeats the last event: the caller has it.
                    self.rest.advance(end);
                    continue;
                }
                if number > last + 1 {
                    return Err(Fault::Gap);
                }
            }
            out.extend_from_slice(&self.rest.split_to(end));
            self.last = number.or(self.last);
            self.taken += 1;
        }
        if self.rest.len() > MOST_EVENT {
            return Err(Fault::TooLarge);
        }
        Ok(out.freeze())
    }
}

/// End of the first event, behind its empty line.
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

fn event_number(event: &[u8]) -> Option<u64> {
    for line in event.split(|byte| *byte == b'\n') {
        let Some(value) = line.strip_prefix(b"id:") else {
            continue;
        };
        return std::str::from_utf8(value).ok()?.trim().parse().ok();
    }
    None
}

/// How the events of one server ended.
enum Ending {
    Whole,
    Broken,
    CallerGone,
}

impl Job {
    /// Passes a stream on, taking it up at other servers where that is allowed.
    pub(crate) async fn stream(
        mut self,
        reply: Reply,
        exchange: Exchange,
        first: Bytes,
        permit: Permit,
    ) {
        let closing = self.gateway.is_draining();
        let headers = header::response_headers(&exchange.headers, closing);
        let sink = reply.stream(exchange.status, headers);
        let mut cutter = Cutter::new(self.metadata.last_event_id);
        let mut current = Some((exchange, first));
        let mut permit = permit;
        loop {
            let Some((exchange, first)) = current.take() else {
                return self.done(&permit, "broken_off");
            };
            let begun = (Instant::now(), cutter.taken());
            match self
                .pump(&sink, &mut cutter, exchange, first, &permit)
                .await
            {
                Ending::Whole => {
                    permit.judge(Outcome::Good);
                    permit.settle();
                    self.gateway
                        .record_response(&permit.server, self.fingerprint);
                    let events = cutter.taken().saturating_sub(begun.1 + 1);
                    if let Some(gap) = begun.0.elapsed().checked_div(events as u32) {
                        permit.time(gap);
                    }
                    sink.finish();
                    return self.done(&permit, "whole");
                }
                Ending::CallerGone => return self.done(&permit, "caller_gone"),
                Ending::Broken => permit.judge(Outcome::Bad),
            }
            cutter.restart();
            while current.is_none() && self.may_retry() {
                // Given up first: the former try must not count beside the new one.
                permit.release();
                let Ok(next) = self.pick().await else { break };
                permit = next;
                log_event!(
                    Event::StreamResumed,
                    "request={} server={} after={:?}",
                    self.id,
                    permit.server.id,
                    cutter.last()
                );
                let attempt = self.attempt(&mut permit, cutter.last()).await;
                if let Attempt::Events(exchange, first) = attempt {
                    current = Some((*exchange, first));
                }
            }
        }
    }

    async fn pump(
        &mut self,
        sink: &Sink,
        cutter: &mut Cutter,
        mut exchange: Exchange,
        first: Bytes,
        permit: &Permit,
    ) -> Ending {
        let mut chunk = first;
        let lost = permit.lost();
        tokio::pin!(lost);
        loop {
            let before = cutter.taken();
            let Ok(events) = cutter.push(&chunk) else {
                return Ending::Broken;
            };
            self.count(cutter.taken() - before);
            if !events.is_empty() && sink.send(events).await.is_err() {
                return Ending::CallerGone;
            }
            let next = tokio::select! {
                biased;
                next = exchange.next_chunk() => next,
                () = &mut lost => {
                    self.lost_at(permit, Loss::Broken).await;
                    self.note(permit, "broken", "the server has started again");
                    return Ending::Broken;
                }
            };
            chunk = match next {
                Some(Ok(chunk)) => chunk,
                Some(Err(error)) => {
                    self.lost_at(permit, loss(&error)).await;
                    self.note(permit, "broken", &error.to_string());
                    return Ending::Broken;
                }
                None if cutter.has_rest() => {
                    // A body without a length ends like this when the server crashes.
                    self.lost_at(permit, Loss::Broken).await;
                    return Ending::Broken;
                }
                None => return Ending::Whole,
            };
        }
    }

    fn count(&mut self, events: u64) {
        let each = self
            .service
            .engine
            .map_or(0, |engine| engine.tokens_per_event);
        if let Some(hold) = &mut self.hold {
            hold.deliver(events * each);
        }
    }
}
