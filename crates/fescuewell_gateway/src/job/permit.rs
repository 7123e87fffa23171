//! Tracking of an in-flight request at a backend server: load, health and crash detection.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use fescuewell_core::log_event;
use fescuewell_core::prelude::*;
use fescuewell_forward::crash::{Loss, Run};
use fescuewell_forward::health::Outcome;
use fescuewell_forward::hedge::Activity;
use fescuewell_forward::server::Entry;

use super::crash::InFlight;
use crate::gateway::Gateway;
use crate::hop::Flight;

/// Guard of an in-flight request at a backend server.
pub(crate) struct Permit {
    gateway: Arc<Gateway>,
    pub(crate) server: Arc<Entry>,
    prefill_tokens: u64,
    in_flight: Option<InFlight>,
    /// The instance that sends the request, if it is another one.
    flight: Option<Flight>,
    activity: Arc<Activity>,
    is_settled: AtomicBool,
    /// Whether a bad outcome was recorded; further ones of the same request say nothing new.
    is_blamed: AtomicBool,
}

impl Permit {
    pub(super) fn acquire(
        gateway: &Arc<Gateway>,
        server: Arc<Entry>,
        prefill_tokens: u64,
        in_flight: InFlight,
    ) -> Self {
        let now_ms = gateway.now_ms();
        let activity = {
            let mut state = gateway.state();
            state.load.begin(&server.id, prefill_tokens);
            state.activity.begin(&server.service, &server.id, now_ms)
        };
        gateway.notify_load_changed();
        Self {
            gateway: gateway.clone(),
            server,
            prefill_tokens,
            in_flight: Some(in_flight),
            flight: None,
            activity,
            is_settled: AtomicBool::new(false),
            is_blamed: AtomicBool::new(false),
        }
    }

    /// Sets the instance that sends the request, if it is another one.
    pub(super) fn set_flight(&mut self, flight: Option<Flight>) {
        self.flight = flight;
    }

    /// Returns `true` if another instance sends the request.
    pub(super) fn is_through_peer(&self) -> bool {
        self.flight.is_some()
    }

    /// Returns when the server was last heard.
    pub(super) fn activity(&self) -> Arc<Activity> {
        self.activity.clone()
    }

    /// Marks the request's outcome at the server as known. An attempt that ends without a known
    /// outcome, because the caller disconnected or another server was tried, may still crash the
    /// server.
    pub(crate) fn settle(&self) {
        self.is_settled.store(true, Ordering::Relaxed);
    }

    /// Records that the head of the response was received.
    pub(super) fn mark_begun(&self) {
        if let Some(in_flight) = &self.in_flight {
            in_flight.mark_begun();
        }
    }

    /// Returns what the server is running, or `None` after [`Permit::release`].
    pub(super) fn run(&self) -> Option<Run> {
        Some(self.in_flight.as_ref()?.run())
    }

    /// Records the first event, which shows that the server has processed the prompt.
    pub(super) fn record_first_event(&mut self) {
        let prefill_tokens = std::mem::take(&mut self.prefill_tokens);
        self.gateway
            .state()
            .load
            .finish_prefill(&self.server.id, prefill_tokens);
        self.gateway.notify_load_changed();
    }

    /// Waits until another start of the server is listed. The new process knows nothing of the request,
    /// so a response that has not arrived never will. Without this check, the request would wait on a
    /// silent connection until its deadline.
    pub(crate) fn server_exit(&self) -> impl Future<Output = ()> + use<> {
        let gateway = self.gateway.clone();
        let server = self.server.clone();
        async move {
            let mut exits = gateway.server_exits();
            while !gateway.state().registry.has_restarted(&server) {
                if exits.changed().await.is_err() {
                    std::future::pending::<()>().await;
                }
            }
        }
    }

    /// Records a latency of the server: of a complete response, or between two events.
    pub(crate) fn record_latency(&self, latency: Duration) {
        let now_ms = self.gateway.now_ms();
        let latency_ms = latency.as_secs_f64() * 1_000.0;
        let mut state = self.gateway.state();
        if !state.registry.has_restarted(&self.server) {
            state
                .health
                .record_latency(&self.server.id, latency_ms, now_ms);
        }
    }

    /// Records the outcome of the request at this server, which may eject the server.
    pub(crate) fn record_outcome(&self, outcome: Outcome) {
        let now_ms = self.gateway.now_ms();
        let mut state = self.gateway.state();
        if state.registry.has_restarted(&self.server) {
            // The previous process's outcome does not apply to the new one.
            return;
        }
        if outcome == Outcome::Bad && state.has_lost_path(&self.server) {
            // The path is the more likely cause.
            return;
        }
        if outcome == Outcome::Bad && self.is_blamed.swap(true, Ordering::Relaxed) {
            return;
        }
        let ejected = state
            .health
            .record_outcome(&self.server.id, outcome, now_ms);
        if outcome == Outcome::Faulty {
            let store_ms = state.store_ms(now_ms);
            state.failures.push(&self.server, store_ms);
        }
        drop(state);
        if outcome == Outcome::Faulty {
            self.gateway.notify_failure();
        }
        if ejected {
            log_event!(
                Event::ServerEjected,
                "server={} outcome={outcome:?}",
                self.server.id
            );
        }
    }
}

impl Permit {
    /// Ends the in-flight request. Later calls have no effect.
    pub(crate) fn release(&mut self) {
        let Some(in_flight) = self.in_flight.take() else {
            return;
        };
        self.flight = None;
        let now_ms = self.gateway.now_ms();
        let mut state = self.gateway.state();
        state
            .load
            .finish_prefill(&self.server.id, self.prefill_tokens);
        state.load.end(&self.server.id);
        state.activity.end(&self.server.id);
        if !self.is_settled.load(Ordering::Relaxed) {
            state.report_loss(&self.server, in_flight.run(), Loss::Silent, now_ms);
        }
        drop(state);
        drop(in_flight);
        self.gateway.notify_load_changed();
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.release();
    }
}
