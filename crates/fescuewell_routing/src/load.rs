//! The load of one backend server, from own sends and lagging reports.
//!
//! A report says how many requests a server had some time ago, from all instances together. Used
//! as it is, it makes every instance choose the same idle server until the next report. So the own
//! part is taken out of it and replaced by the exact present one, and of the rest only the
//! long-run mean is used, together with what the other instances are expected to send.

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
        pub age: Duration,
    }
}

/// Ended streams remembered per server, to know what a late report counted.
const ENDED_MOST: usize = 64;
/// Weight of a new report in the long-run means.
const MEAN_WEIGHT: f32 = 0.1;

/// Requests that wait for the next step of the batch, as a part of it.
const STEP_SHARE: f32 = 0.1;

/// What other instances have on a backend server.
#[derive(Debug, Clone, Default)]
pub(crate) struct Others {
    seen: Option<Seen>,
    mean: f32,
    waiting: f32,
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
    /// Requests that stay in the server's queue, from all instances.
    pub(crate) waiting: f32,
    /// Requests in its batch when it last reported.
    pub(crate) running: f32,
}

/// How the load by others is estimated.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Basis {
    /// Reports older than this are ignored.
    pub(crate) life: Duration,
    /// Weight of the reports, from 0 to 1; the rest is inferred from the own load.
    pub(crate) report_share: f32,
    /// Other instances.
    pub(crate) peers: f32,
}

impl Others {
    /// Takes a report in; `open` are the starts of the own streams that are open now.
    pub(crate) fn report<Starts>(&mut self, now: Instant, report: Report, open: Starts)
    where
        Starts: Iterator<Item = Instant>,
    {
        let at = now - report.age;
        // Reports overtake each other. An older one would bring back load that has gone since.
        if self.seen.is_some_and(|seen| seen.at > at) {
            return;
        }
        let mut own = open.filter(|start| *start <= at).count();
        self.ended.retain(|span| span.end > at);
        own += self.ended.iter().filter(|span| span.start <= at).count();
        let total = (report.running + report.waiting) as f32;
        let seen = Seen {
            at,
            others: (total - own as f32).max(0.0),
            waiting: report.waiting as f32,
            running: report.running as f32,
        };
        let weight = if self.seen.is_none() {
            1.0
        } else {
            MEAN_WEIGHT
        };
        self.mean += (seen.others - self.mean) * weight;
        self.waiting += (seen.waiting - self.waiting) * weight;
        self.seen = Some(seen);
    }

    /// Notes the end of an own stream.
    pub(crate) fn ended(&mut self, span: Span) {
        if self.ended.len() == ENDED_MOST {
            self.ended.pop_front();
        }
        self.ended.push_back(span);
    }

    /// What others had on the server at the last report that is fresh enough, else 0.
    pub(crate) fn reported(&self, now: Instant, life: Duration) -> f32 {
        self.fresh(now, life).map_or(0.0, |seen| seen.others)
    }

    /// What others have on the server now, given `own` requests of this instance.
    ///
    /// The present report is deliberately not followed: all instances read the same one, and
    /// steering by it makes them overshoot together until the next. What counts is the mean of
    /// many reports, which shows lasting differences, and the own load, which is exact at any
    /// time and which each other instance is expected to match, as it chooses by the same rules.
    pub(crate) fn estimate(&self, now: Instant, own: f32, basis: &Basis) -> Estimate {
        let matched = own * basis.peers;
        let Some(seen) = self.fresh(now, basis.life) else {
            return Estimate {
                others: matched,
                ..Estimate::default()
            };
        };
        let share = basis.report_share;
        Estimate {
            others: self.mean * share + matched * (1.0 - share),
            // A queue counts when it lasts; one that a single report shows is gone by now. A few
            // always wait, for the end of the engine's present step.
            waiting: (self.waiting.min(seen.waiting) - seen.running * STEP_SHARE).max(0.0),
            running: seen.running,
        }
    }

    fn fresh(&self, now: Instant, life: Duration) -> Option<Seen> {
        self.seen.filter(|seen| now.since(seen.at) <= life)
    }
}
