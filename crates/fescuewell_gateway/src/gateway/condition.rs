//! Conditions that backend servers declare in their responses.

use std::sync::atomic::Ordering;

use fescuewell_core::log_event;
use fescuewell_core::prelude::*;
use fescuewell_forward::condition::limit::Change;
use fescuewell_forward::condition::{Declared, Rate, Report};
use fescuewell_forward::server::Entry;

use super::Gateway;

/// Minimum interval between log lines about malformed headers, in milliseconds.
const MALFORMED_LOG_INTERVAL_MS: u64 = 1_000;

impl Gateway {
    /// Records what a response declares about its server. The report of an incarnation that has
    /// ended is ignored.
    pub fn record_report(&self, server: &Entry, report: &Report) {
        if report.limit == Declared::Malformed {
            self.record_malformed(server, "limit");
        }
        let change = {
            let mut state = self.state();
            if state.registry.has_restarted(server) || !state.registry.is_known(&server.id) {
                return;
            }
            state.limits.record(&server.id, report.limit)
        };
        if let Some(change) = change {
            log_limit(server, change);
        }
    }

    fn record_malformed(&self, server: &Entry, header: &'static str) {
        self.metrics.count_malformed_header(&server.service, header);
        let now_ms = self.now_ms();
        let next_ms = self.next_malformed_log_ms.load(Ordering::Relaxed);
        if now_ms < next_ms {
            return;
        }
        self.next_malformed_log_ms
            .store(now_ms + MALFORMED_LOG_INTERVAL_MS, Ordering::Relaxed);
        log_event!(
            Event::HeaderMalformed,
            "server={} service={} header={header}",
            server.id,
            server.service
        );
    }
}

fn log_limit(server: &Entry, change: Change) {
    log_event!(
        Event::ServerLimited,
        "server={} service={} limit={} former={}",
        server.id,
        server.service,
        limit_text(change.limit),
        limit_text(change.former)
    );
}

/// Formats a limit for a log line.
pub(crate) fn limit_text(limit: Option<Rate>) -> String {
    limit.map_or_else(|| "-".into(), |limit| limit.to_string())
}
