//! Load reports that lag.

use std::collections::VecDeque;
use std::fmt::Write;
use std::time::{Duration, Instant};

use super::batch::Batch;

/// Reports that are kept: enough for a lag of minutes at the usual period.
const KEPT: usize = 1_024;

/// The load at one moment.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Report {
    at: Option<Instant>,
    running: usize,
    waiting: usize,
    used_blocks: usize,
    cached_blocks: usize,
    tokens: u64,
}

/// Reports of the recent past.
#[derive(Default)]
pub(super) struct Reports {
    kept: VecDeque<Report>,
}

impl Reports {
    /// Adds a report when the last one is older than `period`.
    pub(super) fn take(&mut self, batch: &Batch, period: Duration, now: Instant) {
        let last = self.kept.back().and_then(|report| report.at);
        if last.is_some_and(|last| now.saturating_duration_since(last) < period) {
            return;
        }
        if self.kept.len() == KEPT {
            self.kept.pop_front();
        }
        self.kept.push_back(Report {
            at: Some(now),
            running: batch.running(),
            waiting: batch.waiting(),
            used_blocks: batch.used_blocks(),
            cached_blocks: batch.cache.len(),
            tokens: batch.counters.tokens,
        });
    }

    /// The newest report that is at least `lag` old, in the Prometheus text format.
    pub(super) fn text(&self, lag: Duration, capacity: usize, now: Instant) -> String {
        let old_enough = |report: &&Report| {
            let age = report.at.map(|at| now.saturating_duration_since(at));
            age.is_some_and(|age| age >= lag)
        };
        let report = self.kept.iter().rev().find(old_enough);
        let report = report.copied().unwrap_or_default();
        let used = report.used_blocks as f64 / capacity.max(1) as f64;
        let cached = report.cached_blocks as f64 / capacity.max(1) as f64;
        let mut text = String::new();
        gauge(&mut text, "engine_requests_running", report.running as f64);
        gauge(&mut text, "engine_requests_waiting", report.waiting as f64);
        gauge(&mut text, "engine_kv_usage_ratio", used);
        gauge(&mut text, "engine_prefix_cache_usage_ratio", cached);
        let _ = writeln!(text, "# TYPE engine_tokens_total counter");
        let _ = writeln!(text, "engine_tokens_total {}", report.tokens);
        text
    }
}

fn gauge(text: &mut String, name: &str, value: f64) {
    let _ = writeln!(text, "# TYPE {name} gauge");
    let _ = writeln!(text, "{name} {value}");
}
