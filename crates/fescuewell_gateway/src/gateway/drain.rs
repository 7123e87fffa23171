//! Shutdown of the instance as its requests see it; see [`fescuewell_forward::drain`].

use std::sync::Arc;
use std::time::Duration;

use fescuewell_core::log_event;
use fescuewell_core::prelude::*;
use fescuewell_forward::config::Route;
use fescuewell_forward::drain::{Drain, Evidence, Late, Schedule};
use tokio::sync::watch;
use tokio::time::Instant;

use super::{Gateway, Stage, State};

/// Time in which servers that work as usual have sent something, in milliseconds: several events.
const QUIET_MS: u64 = 500;

/// A request that was sent, until its job ends.
pub(crate) struct OpenRequest {
    gateway: Arc<Gateway>,
    route: Arc<str>,
    began_ms: u64,
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        let mut state = self.gateway.state();
        state.drain.end_request(&self.route, self.began_ms);
    }
}

/// Returns what shows that a request of a service ends in time. How long requests took says nothing while
/// servers are silent.
fn evidence(state: &State, service: &str, now_ms: u64) -> Evidence {
    match state.activity.is_mostly_quiet(service, QUIET_MS, now_ms) {
        true => Evidence::Deadline,
        false => Evidence::Durations,
    }
}

impl Gateway {
    /// Begins the shutdown. Returns its times, or `None` if it has begun before.
    pub fn begin_drain(&self) -> Option<Schedule> {
        let now_ms = self.now_ms();
        let grace_ms = self.settings.grace_period.as_millis() as u64;
        let schedule = {
            let drain = &mut self.state().drain;
            drain.begin(grace_ms, now_ms);
            drain.schedule()
        };
        if !self.advance(Stage::Draining) {
            return None;
        }
        self.drain_begun.send_replace(true);
        schedule
    }

    /// Subscribes to the beginning of the shutdown.
    pub(crate) fn drain_begun(&self) -> watch::Receiver<bool> {
        self.drain_begun.subscribe()
    }

    /// Returns when every request must have its response, or `None` before the shutdown begins.
    pub(crate) fn drain_end(&self) -> Option<Instant> {
        if !self.is_draining() {
            return None;
        }
        let schedule = self.state().drain.schedule()?;
        Some(self.started + Duration::from_millis(schedule.ends_ms))
    }

    /// Returns `true` once every request must have its response.
    pub(crate) fn is_drain_over(&self) -> bool {
        self.drain_end().is_some_and(|end| Instant::now() >= end)
    }

    /// Waits until every request must have its response.
    pub(crate) async fn drain_over(&self) {
        let mut begun = self.drain_begun();
        if begun.wait_for(|has_begun| *has_begun).await.is_err() {
            return std::future::pending().await;
        }
        match self.drain_end() {
            Some(end) => tokio::time::sleep_until(end).await,
            None => std::future::pending().await,
        }
    }

    /// Checks by `check` whether a request whose deadline is in `deadline_ms` milliseconds can end before the
    /// process does.
    pub(crate) fn check_late<Check>(
        &self,
        route: &Route,
        service: &str,
        deadline_ms: u64,
        check: Check,
    ) -> Result<(), Late>
    where
        Check: FnOnce(&Drain, &str, u64, Evidence, u64) -> Result<(), Late>,
    {
        let now_ms = self.now_ms();
        let state = self.state();
        let evidence = evidence(&state, service, now_ms);
        check(&state.drain, &route.name, deadline_ms, evidence, now_ms)
    }

    /// Records that a request of a route is sent.
    pub(crate) fn begin_request(self: &Arc<Self>, route: &Arc<str>) -> OpenRequest {
        let now_ms = self.now_ms();
        self.state().drain.begin_request(route, now_ms);
        OpenRequest {
            gateway: self.clone(),
            route: route.clone(),
            began_ms: now_ms,
        }
    }

    /// Records how long the response to a request took, from when it was sent.
    pub(crate) fn record_duration(&self, route: &Arc<str>, took: Duration) {
        let now_ms = self.now_ms();
        let took_ms = took.as_millis() as u64;
        self.state().drain.record(route, took_ms, now_ms);
    }

    /// Logs and counts a request that may not end before the process does.
    pub(crate) fn record_late(&self, request: &str, route: &str, late: Late) {
        self.metrics.count_late_request();
        log_event!(
            Event::DrainRefused,
            "request={request} route={route} left_ms={} expected_ms={}",
            late.left_ms,
            late.expected_ms
                .map_or("-".into(), |expected_ms| expected_ms.to_string())
        );
    }
}
