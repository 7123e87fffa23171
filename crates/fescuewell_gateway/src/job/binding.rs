//! Binding of a stream to the software version of the backend servers that began it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use fescuewell_core::log_event;
use fescuewell_core::prelude::*;
use fescuewell_forward::condition::Declared;
use fescuewell_forward::config::Kind;
use fescuewell_forward::server::{Build, Entry};
use fescuewell_forward::stream::Attempt;

use super::Job;
use crate::gateway::Found;

/// Interval between two looks at the list of backend servers, which may lag behind the one of the
/// instance that began a stream.
const LIST_POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Fraction of the target latency that a request waits for a server of its version to be listed.
const LIST_WAIT_FRACTION: f64 = 0.5;
/// Retry delay while instances that may hold the record do not answer.
const UNANSWERED_RETRY_DELAY: Duration = Duration::from_millis(150);

/// The software version that may send a request's events.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Binding {
    /// No event has been forwarded, so any version may.
    Free,
    /// Only this version, which sent the first event.
    Bound(Build),
    /// None: the version that sent the first event is not known.
    Unknown,
}

impl Binding {
    /// Returns the version to which servers are limited.
    pub(crate) fn build(self) -> Option<Build> {
        match self {
            Self::Bound(build) => Some(build),
            Self::Free | Self::Unknown => None,
        }
    }
}

impl Job {
    /// Returns `true` if the request takes up a stream that another attempt of its caller began.
    fn takes_up(&self) -> bool {
        let names_attempt = self.metadata.resumes != Declared::Absent;
        let has_events = self.metadata.last_event_id != Declared::Absent;
        self.route.kind.is_stream() && (names_attempt || has_events)
    }

    /// Binds a request that takes up a stream to the software version that began it.
    pub(super) async fn bind(&mut self) -> Result<(), Refusal> {
        if !self.takes_up() {
            return Ok(());
        }
        if self.route.kind != (Kind::Stream { resumable: true }) {
            return Err(self.unknown_stream("not_resumable", None));
        }
        let begun = Instant::now();
        let resumes = self.metadata.resumes.value().cloned();
        let found = match &resumes {
            Some(first) => {
                let attempt = Attempt::new(self.account_name(), first);
                self.resumed = Some(attempt);
                self.gateway.find_build(attempt).await
            }
            None => self.gateway.only_build(&self.service.name),
        };
        let Some(build) = found.build else {
            let cause = resumes.map_or("unnamed", |_| "unknown");
            return Err(self.unknown_stream(cause, Some(found)));
        };
        self.gateway
            .metrics
            .count_resumption("attempt", found.source);
        self.binding = Binding::Bound(build);
        self.await_listed(build).await;
        let software = self.choose_service(build);
        log_event!(
            Event::StreamTakenUp,
            "request={} resumes={} build={build} software={} source={} asked={} took_ms={}",
            self.id,
            resumes.as_deref().unwrap_or("-"),
            software.as_deref().unwrap_or("-"),
            found.source,
            found.asked,
            begun.elapsed().as_millis()
        );
        match software {
            Some(_) => Ok(()),
            None => Err(self.version_gone()),
        }
    }

    /// Waits a little for a server of a version of which no server is listed here.
    async fn await_listed(&self, build: Build) {
        let until = self.arrived + self.route.target_latency.mul_f64(LIST_WAIT_FRACTION);
        let until = until.min(self.route_deadline);
        while !self.gateway.state().registry.knows_build(build) && Instant::now() < until {
            tokio::time::sleep(LIST_POLL_INTERVAL).await;
        }
    }

    /// Chooses the service of a version among those of the route. Returns the version's name, or `None` if
    /// no server of it accepts requests of the route.
    fn choose_service(&mut self, build: Build) -> Option<Arc<str>> {
        let now_ms = self.gateway.now_ms();
        let server = {
            let state = self.gateway.state();
            state.registry.of_build(build, 0, now_ms).next().cloned()
        }?;
        if server.service != self.service.name {
            let splits = self.route.splits.iter();
            let mut splits = splits.filter(|split| split.weight > 0);
            splits.find(|split| split.service == server.service)?;
            let table = self.gateway.table()?;
            self.service = table.service(&server.service)?.clone();
        }
        server.version.clone()
    }

    fn unknown_stream(&self, cause: &'static str, found: Option<Found>) -> Refusal {
        let (asked, answered) = found.map_or((0, 0), |found| (found.asked, found.answered));
        self.gateway.metrics.count_resumption("attempt", cause);
        let resumes = self.metadata.resumes.value().map_or("-", |first| first);
        log_event!(
            Event::StreamUnknown,
            "request={} resumes={resumes} cause={cause} asked={asked} answered={answered}",
            self.id
        );
        let refusal = Refusal::new(Code::StreamUnknown);
        match answered < asked {
            // Another instance may reach the holders of the record.
            true => refusal.with_retry_after(UNANSWERED_RETRY_DELAY),
            false => refusal,
        }
    }

    /// Returns the refusal of a stream of whose version no server accepts requests.
    pub(crate) fn version_gone(&self) -> Refusal {
        if let Some(build) = self.binding.build() {
            self.gateway.metrics.count_resumption("any", "version_gone");
            log_event!(Event::VersionGone, "request={} build={build}", self.id);
        }
        Refusal::new(Code::VersionGone)
    }

    /// Binds the stream to the version of the server whose event is the first to be forwarded, and records
    /// it for other attempts of the caller.
    pub(crate) fn bind_to(&mut self, server: &Entry) {
        if self.binding == Binding::Free {
            self.binding = server.build().map_or(Binding::Unknown, Binding::Bound);
        }
        let Binding::Bound(build) = self.binding else {
            return;
        };
        let is_resumable = self.route.kind == (Kind::Stream { resumable: true });
        if !is_resumable || std::mem::replace(&mut self.is_recorded, true) {
            return;
        }
        let left = self.deadline.saturating_duration_since(Instant::now());
        let own = Attempt::new(self.account_name(), &self.id);
        self.gateway.record_stream(own, build, left);
        if let Some(first) = self.resumed {
            // The caller goes on to name the attempt that began the stream.
            self.gateway.record_stream(first, build, left);
        }
    }

    fn account_name(&self) -> &str {
        self.account.as_ref().map_or("", |account| &account.name)
    }
}
