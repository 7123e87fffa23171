//! Preemption: which running bulk stream makes room for urgent work.
//!
//! The reserve of a [limit](crate::limit) holds for the urgent work of late. A burst beyond it would wait until bulk
//! streams end, a second and more. Where engines can cancel a stream and later resume it at its offset, a
//! bulk stream is paused instead: cancelled, [put back](crate::admission::Queue::requeue) and resumed
//! when its turn comes. Its caller sees a pause, not a failure.
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

/// When preemption pays.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Nothing is paused if a place is expected to come free by itself within this time.
    pub min_wait: Duration,
    /// How often one stream may be paused. Without a bound, a stream could be paused for ever by one burst after another.
    pub max_pauses: u32,
    /// A stream is only paused if it could still wait so long and meet its deadline.
    pub min_slack: Duration,
    /// A stream that has produced more is left alone: resuming it costs the engine as many tokens to read again.
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

/// A running bulk stream on a server that has more of them than their least part
/// ([`Limit::preemptible_bulk`](crate::limit::Limit::preemptible_bulk)).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stream {
    /// Its ticket.
    pub ticket: u64,
    /// Tokens produced so far.
    pub produced: Tokens,
    /// How often it was paused already.
    pub pauses: u32,
    /// The latest time at which resuming it makes sense.
    pub latest_resume: Instant,
}

/// Decides on preemption.
#[derive(Debug, Clone)]
pub struct Policy {
    settings: Settings,
}

impl Policy {
    /// A policy with these settings.
    pub fn new(settings: Settings) -> Self {
        Self { settings }
    }

    /// Whether to pause something, given the time until a place comes free by itself; `None` if unknown.
    pub fn should_preempt(&self, next_finish: Option<Duration>) -> bool {
        next_finish.is_none_or(|wait| wait > self.settings.min_wait)
    }

    /// The stream to pause: the one that has produced least, which loses least; `None` when none may be paused.
    pub fn choose<Streams>(&self, now: Instant, streams: Streams) -> Option<u64>
    where
        Streams: IntoIterator<Item = Stream>,
    {
        let streams = streams.into_iter();
        let allowed = streams.filter(|stream| self.may_pause(now, stream));
        let chosen = allowed.min_by_key(|stream| (stream.produced, stream.ticket));
        chosen.map(|stream| stream.ticket)
    }

    fn may_pause(&self, now: Instant, stream: &Stream) -> bool {
        stream.pauses < self.settings.max_pauses
            && stream.produced <= self.settings.max_produced
            && stream.latest_resume >= now + self.settings.min_slack
    }
}
