//! Simulated backend servers that record every stream, as the ground truth of what ran.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use fescuewell_claims::message::StoredResponse;
use fescuewell_core::prelude::*;
use fescuewell_node::prelude::*;

/// Behaviour of a backend server on the next attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reaction {
    /// Refuses the connection.
    RefuseConnection,
    /// Responds "busy".
    Busy,
    /// Breaks the connection before any output; the server keeps no record.
    LoseResponse,
    /// Runs to the end, then breaks the connection: the attempt ends as lost, partly delivered.
    BreakAfterRun,
    /// Runs for this many milliseconds.
    RunFor(u64),
    /// Is silent for this many milliseconds, and has the whole response then.
    SilentFor(u64),
}

/// A stream on a backend server.
#[derive(Debug, Clone)]
pub struct Stream {
    /// Name of the server.
    pub server: Arc<str>,
    /// Holder that sent the attempt.
    pub holder: Arc<str>,
    /// Group that pays.
    pub group: Arc<str>,
    /// Maximum cost.
    pub hold: Tokens,
    /// Actual cost.
    pub cost: Tokens,
    /// Start time.
    pub started: Instant,
    /// End time.
    pub ends: Instant,
    /// Whether its server is silent until it ends.
    pub is_silent: bool,
    /// Whether the stream was cancelled.
    pub is_cancelled: bool,
    /// Response of a non-repeatable call.
    pub answer: Option<StoredResponse>,
}

/// All simulated backend servers.
#[derive(Debug, Default)]
pub struct Backend {
    /// Streams that the servers have a record of.
    pub streams: BTreeMap<StreamId, Stream>,
    /// Every attempt that reached a server, in order.
    pub sent: Vec<(Digest, Arc<str>)>,
    /// Behaviour on the next attempts, on whichever server they arrive.
    pub reactions: VecDeque<Reaction>,
}

impl Stream {
    /// Returns `true` if the stream has ended by `now`.
    pub fn is_done(&self, now: Instant) -> bool {
        self.is_cancelled || self.ends <= now
    }
}

impl Backend {
    /// Returns how often a request reached a server.
    pub fn sends(&self, request: Digest) -> usize {
        let matching = self.sent.iter().filter(|(sent, _)| *sent == request);
        matching.count()
    }

    /// Returns the actual cost of the request's only stream.
    pub fn cost(&self, id: &str) -> Tokens {
        let digest = RequestKey::new("signwise", id).digest();
        let mut streams = self.streams.iter();
        let found = streams.find(|(name, _)| name.ends_with(&digest.to_string()));
        found.expect("the request ran").1.cost
    }

    /// Returns the number of streams running on `server` at `now`.
    pub fn running(&self, now: Instant, server: &str) -> usize {
        let streams = self.streams.values();
        let running = streams.filter(|stream| &*stream.server == server && !stream.is_done(now));
        running.count()
    }

    /// Returns `true` if a silent stream runs on `server`, which then reports nothing either.
    pub fn is_silent(&self, now: Instant, server: &str) -> bool {
        let mut streams = self.streams.values();
        streams.any(|stream| stream.is_silent && &*stream.server == server && now < stream.ends)
    }

    /// Cancels a stream, unless it has ended.
    pub fn cancel(&mut self, now: Instant, stream: &StreamId) {
        if let Some(stream) = self.streams.get_mut(stream)
            && !stream.is_done(now)
        {
            stream.is_cancelled = true;
        }
    }

    /// Returns the streams of `holder` on `server`, as listed for a sweep.
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
                complete: !stream.is_cancelled && stream.is_done(now),
                response: stream.answer.clone().filter(|_| stream.is_done(now)),
                used: stream.cost,
            });
        }
        records
    }
}
