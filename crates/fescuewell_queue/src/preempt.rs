//! Preemption of running bulk streams by urgent requests.
//!
//! The reserve of a [limit](crate::limit) covers the recent number of urgent requests. A larger burst would wait for
//! bulk streams to end, which takes a second or more. If the engines can cancel a stream and later resume it at its
//! offset, a bulk stream is paused instead: it is cancelled, [requeued](crate::admission::Queue::requeue) and resumed
//! when it is scheduled again. Its caller sees a pause, not a failure.
//!
//! ```
//! use std::time::Duration;
//! use fescuewell_core::prelude::*;
//! use fescuewell_queue::preempt::{Policy, Settings, Stream};
//!
//! let policy = Policy::new(Settings::default());
//! let stream = |ticket, produced| Stream {
//!     ticket,
//!     produced: Tokens(produced),
//!     pauses: 0,
//!     latest_resume: Instant::from_millis(600_000),
//! };
//! let streams = [stream(1, 900), stream(2, 30)];
//! assert_eq!(policy.choose(Instant::from_millis(0), streams), Some(2));
//! ```

use std::time::Duration;

use fescuewell_core::prelude::*;

/// Conditions for preemption.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// No stream is paused if a running request is expected to end within this time.
    pub min_wait: Duration,
    /// Maximum number of pauses of one stream. Without it, successive bursts could pause the same stream indefinitely.
    pub max_pauses: u32,
    /// A stream is paused only if it can wait at least this long and still meet its deadline.
    pub min_slack: Duration,
    /// Streams that have produced more tokens are not paused, because the engine reads all of them again to resume.
    pub max_produced: Tokens,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            min_wait: Duration::from_millis(20),
            max_pauses: 2,
            min_slack: Duration::from_secs(20),
            max_produced: Tokens(4_000),
        }
    }
}

/// A running bulk stream, on a server that runs more of them than the guaranteed minimum
/// ([`Limit::preemptible_bulk`](crate::limit::Limit::preemptible_bulk)).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stream {
    /// Ticket of its queue entry.
    pub ticket: u64,
    /// Tokens produced so far.
    pub produced: Tokens,
    /// Number of times it has been paused.
    pub pauses: u32,
    /// Latest time at which it can resume and still meet its deadline.
    pub latest_resume: Instant,
}

/// Decides whether to preempt and which stream.
#[derive(Debug, Clone)]
pub struct Policy {
    settings: Settings,
}

impl Policy {
    /// Creates a policy.
    pub fn new(settings: Settings) -> Self {
        Self { settings }
    }

    /// Returns whether to preempt, given the expected time until a running request ends (`None` if unknown).
    pub fn should_preempt(&self, next_finish: Option<Duration>) -> bool {
        next_finish.is_none_or(|wait| wait > self.settings.min_wait)
    }

    /// Selects the stream to pause: the one with the fewest tokens to read again. `None` if none may be paused.
    pub fn choose<Streams>(&self, now: Instant, streams: Streams) -> Option<u64>
    where
        Streams: IntoIterator<Item = Stream>,
    {
        let streams = streams.into_iter();
        let allowed = streams.filter(|stream| self.is_preemptible(now, stream));
        let chosen = allowed.min_by_key(|stream| (stream.produced, stream.ticket));
        chosen.map(|stream| stream.ticket)
    }

    fn is_preemptible(&self, now: Instant, stream: &Stream) -> bool {
        stream.pauses < self.settings.max_pauses
            && stream.produced <= self.settings.max_produced
            && stream.latest_resume >= now + self.settings.min_slack
    }
}
