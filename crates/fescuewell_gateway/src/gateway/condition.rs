//! Conditions that backend servers declare in their responses.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use fescuewell_core::log_event;
use fescuewell_core::prelude::*;
use fescuewell_forward::condition::limit::{Change, Moment, Update};
use fescuewell_forward::condition::{Declared, Rate, Report};
use fescuewell_forward::server::Entry;
use fescuewell_http::upstream::Exchange;
use http::header::CONNECTION;
use http::{HeaderMap, StatusCode};

use super::{Gateway, State};

/// Minimum interval between log lines about malformed headers, in milliseconds.
const MALFORMED_LOG_INTERVAL_MS: u64 = 1_000;

impl State {
    /// Returns a moment of the local clock on both clocks.
    pub fn moment(&self, local_ms: u64) -> Moment {
        Moment {
            local_ms,
            store_ms: self.store_ms(local_ms),
        }
    }

    /// Records the limit and the rest that a response declares. Returns the change of the limit, if
    /// any.
    fn record_conditions(
        &mut self,
        server: &Entry,
        report: &Report,
        sent_at_ms: u64,
        now_ms: u64,
    ) -> Option<Change> {
        if self.registry.has_restarted(server) || !self.registry.is_known(&server.id) {
            return None;
        }
        if let Declared::Value(rest) = report.rest {
            self.conditions.rests.record(&server.id, rest, now_ms);
        }
        let now = self.moment(now_ms);
        let limits = &mut self.conditions.limits;
        limits.record(server, report.limit, sent_at_ms, now)
    }

    /// Merges a declaration of which another instance has told. Returns the server's entry and the
    /// change, if any. Servers that are not listed here are ignored; the declaration is repeated.
    fn merge_limit(&mut self, update: Update, now_ms: u64) -> Option<(Entry, Change)> {
        let entry = self.registry.entry(&update.server)?;
        if entry.incarnation() != update.incarnation {
            return None;
        }
        let entry = Entry::clone(entry);
        let now = self.moment(now_ms);
        let change = self.conditions.limits.merge(update, now)?;
        Some((entry, change))
    }
}

impl Gateway {
    /// Records what a server declares about itself in the head of the response to a request that was
    /// sent at `sent_at`, unless the response comes from another server or belongs to another request.
    /// Returns `false` if it belongs to another request.
    pub(crate) fn record_head(
        &self,
        server: &Entry,
        request: &str,
        exchange: &Exchange,
        sent_at: Instant,
    ) -> bool {
        let (status, headers) = (exchange.status, &exchange.headers);
        self.state().path.server_responded();
        let names = self.dialect.header_names();
        // Backend servers name the request in each response to one that has an id.
        let echoed = headers.get(&names.request_id);
        let is_own = echoed.is_some_and(|value| value.as_bytes() == request.as_bytes());
        self.record_foreign(server, request, exchange.skipped(), is_own);
        if !is_own || status == StatusCode::MISDIRECTED_REQUEST {
            return is_own;
        }
        let is_rejected = headers.contains_key(&names.not_executed);
        let closes_connection = is_rejected || closes_connection(headers);
        let now_ms = self.now_ms();
        self.state()
            .registry
            .record_response(server, closes_connection, now_ms);
        let report = self.dialect.server_report(status, headers);
        let age_ms = sent_at.elapsed().as_millis() as u64;
        let sent_at_ms = self.now_ms().saturating_sub(age_ms);
        self.record_report(server, &report, sent_at_ms);
        is_own
    }

    /// Records responses that do not name the request: those that were skipped, and the one that was
    /// read unless it is the request's own.
    fn record_foreign(&self, server: &Entry, request: &str, skipped: u32, is_own: bool) {
        if skipped == 0 && is_own {
            return;
        }
        let service = &server.service;
        self.metrics
            .count_foreign_responses(service, "skipped", u64::from(skipped));
        if !is_own {
            self.metrics.count_foreign_responses(service, "unusable", 1);
        }
        log_event!(
            Event::ResponseForeign,
            "request={request} server={} skipped={skipped} own={is_own}",
            server.id
        );
    }

    /// Records what a response to a request sent at `sent_at_ms` declares about its server. The
    /// report of an incarnation that has ended is ignored.
    pub fn record_report(&self, server: &Entry, report: &Report, sent_at_ms: u64) {
        let malformed = [
            ("limit", report.limit == Declared::Malformed),
            ("leaving", report.is_leaving == Declared::Malformed),
            ("rest", report.rest == Declared::Malformed),
        ];
        for (header, is_malformed) in malformed {
            if is_malformed {
                self.record_malformed(server, header);
            }
        }
        if let Declared::Value(rest) = report.rest {
            log_rest(server, rest);
        }
        let now_ms = self.now_ms();
        let (change, is_leaving) = {
            let mut state = self.state();
            let is_leaving = report.is_leaving == Declared::Value(true)
                && state.registry.mark_leaving(server, now_ms);
            (
                state.record_conditions(server, report, sent_at_ms, now_ms),
                is_leaving,
            )
        };
        if is_leaving {
            log_event!(Event::ServerLeaving, "server={} source=response", server.id);
        }
        if let Some(change) = change {
            log_limit(server, change, "response");
            self.limit_change.notify_one();
        }
    }

    /// Merges declarations received from `source`, another instance.
    pub fn merge_limits<Updates>(&self, updates: Updates, source: &str)
    where
        Updates: IntoIterator<Item = Update>,
    {
        for update in updates {
            let now_ms = self.now_ms();
            let merged = self.state().merge_limit(update, now_ms);
            if let Some((server, change)) = merged {
                log_limit(&server, change, source);
                self.limit_change.notify_one();
            }
        }
    }

    /// Waits until a limit changes.
    pub async fn limits_changed(&self) {
        self.limit_change.notified().await;
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

fn closes_connection(headers: &HeaderMap) -> bool {
    let options = headers.get_all(CONNECTION).iter();
    let mut options = options.filter_map(|value| value.to_str().ok());
    options.any(|value| {
        let mut options = value.split(',');
        options.any(|option| option.trim().eq_ignore_ascii_case("close"))
    })
}

fn log_rest(server: &Entry, rest: Duration) {
    log_event!(
        Event::ServerResting,
        "server={} service={} rest_ms={}",
        server.id,
        server.service,
        rest.as_millis()
    );
}

fn log_limit(server: &Entry, change: Change, source: &str) {
    log_event!(
        Event::ServerLimited,
        "server={} service={} limit={} former={} source={source}",
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
