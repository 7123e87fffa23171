//! Backend servers that remember every stream, as the true record of what ran.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use fescuewell_claims::message::StoredResponse;
use fescuewell_core::prelude::*;
use fescuewell_node::prelude::*;

/// What a backend server does with the next attempt that reaches it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reaction {
    /// The connection is refused.
    Refuse,
    /// It answers "busy".
    Busy,
    /// The connection breaks before any of the answer, and the server has no record.
    Lose,
    /// Runs, but gives no sign of life afterwards: the attempt ends as lost, part of it delivered.
    BreakLate,
    /// Runs for so many milliseconds.
    Take(u64),
}

/// One stream.
#[derive(Debug, Clone)]
pub struct Stream {
    /// Where.
    pub server: Arc<str>,
    /// Who sent it.
    pub holder: Arc<str>,
    /// Who pays.
    pub group: Arc<str>,
    /// Bound of the cost.
    pub hold: Tokens,
    /// True cost.
    pub cost: Tokens,
    /// When it started.
    pub started: Instant,
    /// When it ends.
    pub ends: Instant,
    /// Whether it was cancelled.
    pub cut: bool,
    /// Answer of a call that may not be repeated.
    pub answer: Option<StoredResponse>,
}

/// All backend servers.
#[derive(Debug, Default)]
pub struct Backend {
    /// Streams that they have a record of.
    pub streams: BTreeMap<StreamId, Stream>,
    /// Every attempt that reached a server, in order.
    pub sent: Vec<(Digest, Arc<str>)>,
    /// What the next attempts meet, whichever server they go to.
    pub reactions: VecDeque<Reaction>,
}

impl Stream {
    /// Whether it has ended by `now`.
    pub fn is_done(&self, now: Instant) -> bool {
        self.cut || self.ends <= now
    }
}

impl Backend {
    /// How often a request reached a server.
    pub fn sends(&self, request: Digest) -> usize {
        let matching = self.sent.iter().filter(|(sent, _)| *sent == request);
        matching.count()
    }

    /// True cost of the request's only stream.
    pub fn cost(&self, id: &str) -> Tokens {
        let digest = RequestKey::new("signwise", id).digest();
        let mut streams = self.streams.iter();
        let found = streams.find(|(name, _)| name.ends_with(&digest.to_string()));
        found.expect("the request ran").1.cost
    }

    /// Streams that run at `now` on `server`.
    pub fn running(&self, now: Instant, server: &str) -> usize {
        let streams = self.streams.values();
        let running = streams.filter(|stream| &*stream.server == server && !stream.is_done(now));
        running.count()
    }

    /// Ends a stream early.
    pub fn cancel(&mut self, now: Instant, stream: &StreamId) {
        if let Some(stream) = self.streams.get_mut(stream)
            && !stream.is_done(now)
        {
            stream.cut = true;
        }
    }

    /// What `server` tells a sweep of `holder`.
    pub fn list(&self, now: Instant, server: &str, holder: &str) -> Vec<StreamRecord> {
        let mut records = Vec::new();
        for (name, stream) in &self.streams {
            if &*stream.server != server || &*stream.holder != holder {
                continue;
            }
            records.push(StreamRecord {
                stream: name.clone(),
                group: stream.group.clone(),
                hold: stream.hold,
                done: stream.is_done(now),
                complete: !stream.cut && stream.is_done(now),
                response: stream.answer.clone().filter(|_| stream.is_done(now)),
                used: stream.cost,
            });
        }
        records
    }
}
