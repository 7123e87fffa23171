//! The load of one backend server, from own sends and lagging reports.
//!
//! A report says how many requests a server had some time ago, from all instances together. Used
//! as it is, it makes every instance choose the same idle server until the next report (the
//! herd). So the own part is taken out of it and replaced by the exact present one, and the rest
//! is drawn back towards its long-run mean as the report grows old.

use std::collections::VecDeque;
use std::time::Duration;

use fescuewell_core::prelude::*;

fescuewell_core::message! {
    /// A load report of one backend server.
    #[derive(Copy)]
    pub struct Report {
        /// Requests in its batch, from all instances.
        pub running: u32,
        /// Requests in its queue, from all instances.
        pub waiting: u32,
        /// Part of its cache memory that is used, from 0 to 1.
        pub cache_used: f32,
        /// Age of the figures when the report arrived.
        pub at_age: Duration,
    }
}

/// Ended streams remembered per server, to know what a late report counted.
const ENDED_MOST: usize = 64;
/// Weight of a new report in the long-run mean.
const MEAN_WEIGHT: f32 = 0.1;
/// Time in which the news of a report fades by the factor e.
const FADE: Duration = Duration::from_secs(2);

/// What other instances have on a backend server.
#[derive(Debug, Clone, Default)]
pub(crate) struct Others {
    seen: Option<Seen>,
    mean: f32,
    sent_since: u32,
    ended: VecDeque<Span>,
}

#[derive(Debug, Clone, Copy)]
struct Seen {
    at: Instant,
    others: f32,
    waiting: f32,
    running: f32,
}

/// The life of one own stream.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Span {
    pub(crate) start: Instant,
    pub(crate) end: Instant,
}

/// What is estimated of a server at one moment.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Estimate {
    /// Requests of other instances.
    pub(crate) others: f32,
    /// Of these and the own ones, those that wait in the server's queue.
    pub(crate) waiting: f32,
    /// Requests in its batch when it last reported.
    pub(crate) running: f32,
}

impl Others {
    /// Takes a report in; `open` are the starts of the own streams that are open now.
    pub(crate) fn report<Starts>(&mut self, now: Instant, report: Report, open: Starts)
    where
        Starts: Iterator<Item = Instant>,
    {
        let at = now - report.at_age;
        // Reports overtake each other. An older one would bring back load that has gone since.
        if self.seen.is_some_and(|seen| seen.at > at) {
            return;
        }
        let mut own = 0u32;
        let mut sent_since = 0;
        for start in open {
            if start <= at {
                own += 1;
            } else {
                sent_since += 1;
            }
        }
        self.ended.retain(|span| span.end > at);
        own += self.ended.iter().filter(|span| span.start <= at).count() as u32;
        let total = (report.running + report.waiting) as f32;
        let others = (total - own as f32).max(0.0);
        self.mean = match self.seen {
            None => others,
            Some(_) => self.mean + (others - self.mean) * MEAN_WEIGHT,
        };
        self.sent_since = sent_since;
        self.seen = Some(Seen {
            at,
            others,
            waiting: report.waiting as f32,
            running: report.running as f32,
        });
    }

    /// Notes an own send.
    pub(crate) fn sent(&mut self) {
        self.sent_since += 1;
    }

    /// Notes the end of an own stream.
    pub(crate) fn ended(&mut self, span: Span) {
        if self.ended.len() == ENDED_MOST {
            self.ended.pop_front();
        }
        self.ended.push_back(span);
    }

    /// What others have on the server now, or `None` without a report that is fresh enough.
    ///
    /// `herd` is the number of sends by others that stands behind one own send since the report.
    pub(crate) fn estimate(&self, now: Instant, life: Duration, herd: f32) -> Option<Estimate> {
        let seen = self.seen?;
        let age = now.since(seen.at);
        if age > life {
            return None;
        }
        let freshness = (-age.as_secs_f32() / FADE.as_secs_f32()).exp();
        let steady = self.mean + (seen.others - self.mean) * freshness;
        let expected = herd * self.sent_since as f32;
        Some(Estimate {
            others: steady + expected,
            waiting: seen.waiting * freshness,
            running: seen.running,
        })
    }
}
