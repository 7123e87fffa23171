//! Load estimate of one backend server from this instance's requests and delayed load reports.
//!
//! A report holds the number of requests that a server had some time ago, from all instances. Used
//! directly, it makes every instance choose the same idle server until the next report. So this
//! instance's share is subtracted and replaced by its exact current count; of the rest only the
//! long-term mean is used, combined with the load that the other instances are expected to send.

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
        /// Used share of its cache memory, from 0 to 1.
        pub cache_used: f32,
        /// Age of the values when the report arrived.
        pub age: Duration,
    }
}

/// Maximum number of ended streams kept per server, which a late report may still include.
const MAX_ENDED: usize = 64;
/// Weight of a new report in the moving averages.
const MEAN_WEIGHT: f32 = 0.1;

/// Requests that wait only for the engine's next step, as a share of the running batch.
const STEP_QUEUE_SHARE: f32 = 0.1;

/// Load of a backend server by the other instances.
#[derive(Debug, Clone, Default)]
pub(crate) struct PeerLoad {
    latest: Option<Snapshot>,
    mean_others: f32,
    mean_waiting: f32,
    ended: VecDeque<Span>,
}

#[derive(Debug, Clone, Copy)]
struct Snapshot {
    at: Instant,
    others: f32,
    waiting: f32,
    running: f32,
}

/// Lifetime of one stream of this instance.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Span {
    pub(crate) start: Instant,
    pub(crate) end: Instant,
}

/// Estimated load of a server.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Estimate {
    /// Requests of other instances.
    pub(crate) others: f32,
    /// Requests that remain in the server's queue, from all instances.
    pub(crate) waiting: f32,
    /// Requests in its batch when it last reported.
    pub(crate) running: f32,
}

/// Parameters of the load estimate.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Parameters {
    /// Reports older than this are ignored.
    pub(crate) max_age: Duration,
    /// Weight of the reports, from 0 to 1; the rest is inferred from this instance's load.
    pub(crate) report_weight: f32,
    /// Number of other instances.
    pub(crate) peers: f32,
}

impl PeerLoad {
    /// Records a report. `open` yields the start times of this instance's open streams.
    pub(crate) fn record_report<Starts>(&mut self, now: Instant, report: Report, open: Starts)
    where
        Starts: Iterator<Item = Instant>,
    {
        let at = now - report.age;
        // Reports may arrive out of order. An older one would restore load that has ended since.
        if self.latest.is_some_and(|snapshot| snapshot.at > at) {
            return;
        }
        let mut own = open.filter(|start| *start <= at).count();
        self.ended.retain(|span| span.end > at);
        own += self.ended.iter().filter(|span| span.start <= at).count();
        let total = (report.running + report.waiting) as f32;
        let snapshot = Snapshot {
            at,
            others: (total - own as f32).max(0.0),
            waiting: report.waiting as f32,
            running: report.running as f32,
        };
        let weight = if self.latest.is_none() {
            1.0
        } else {
            MEAN_WEIGHT
        };
        self.mean_others += (snapshot.others - self.mean_others) * weight;
        self.mean_waiting += (snapshot.waiting - self.mean_waiting) * weight;
        self.latest = Some(snapshot);
    }

    /// Whether the server reports its load.
    pub(crate) fn has_reported(&self) -> bool {
        self.latest.is_some()
    }

    /// Records the end of a stream of this instance.
    pub(crate) fn record_end(&mut self, span: Span) {
        if self.ended.len() == MAX_ENDED {
            self.ended.pop_front();
        }
        self.ended.push_back(span);
    }

    /// Returns the load by other instances in the latest report, or 0 if it is older than
    /// `max_age`.
    pub(crate) fn reported(&self, now: Instant, max_age: Duration) -> f32 {
        self.fresh(now, max_age)
            .map_or(0.0, |snapshot| snapshot.others)
    }

    /// Estimates the current load by other instances, given `own` requests of this instance.
    ///
    /// The latest report alone is not used: all instances receive the same one and would overshoot
    /// together until the next. The estimate combines the mean of many reports, which shows lasting
    /// differences, with this instance's own load. That is always exact, and every other instance
    /// is expected to have the same, since it chooses by the same rules.
    pub(crate) fn estimate(&self, now: Instant, own: f32, parameters: &Parameters) -> Estimate {
        let inferred = own * parameters.peers;
        let Some(snapshot) = self.fresh(now, parameters.max_age) else {
            return Estimate {
                others: inferred,
                ..Estimate::default()
            };
        };
        let weight = parameters.report_weight;
        Estimate {
            others: self.mean_others * weight + inferred * (1.0 - weight),
            // Only a lasting queue counts; one seen in a single report is gone by now. A few
            // requests always wait for the end of the engine's current step.
            waiting: (self.mean_waiting.min(snapshot.waiting)
                - snapshot.running * STEP_QUEUE_SHARE)
                .max(0.0),
            running: snapshot.running,
        }
    }

    fn fresh(&self, now: Instant, max_age: Duration) -> Option<Snapshot> {
        self.latest
            .filter(|snapshot| now.since(snapshot.at) <= max_age)
    }
}
