//! In-flight permit of a request at a backend server.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use fescuewell_core::log_event;
use fescuewell_core::prelude::*;
use fescuewell_forward::crash::Loss;
use fescuewell_forward::health::Outcome;
use fescuewell_forward::server::Entry;

use super::crash::InFlight;
use crate::gateway::Gateway;

/// Guard of an in-flight request at a backend server.
pub(crate) struct Permit {
    gateway: Arc<Gateway>,
    pub(crate) server: Arc<Entry>,
    unread: u64,
    in_flight: Option<InFlight>,
    is_settled: AtomicBool,
}

impl Permit {
    pub(super) fn take(
        gateway: &Arc<Gateway>,
        server: Arc<Entry>,
        unread: u64,
        in_flight: InFlight,
    ) -> Self {
        gateway.state().load.begin(&server.id, unread);
        gateway.notify_load_changed();
        Self {
            gateway: gateway.clone(),
            server,
            unread,
            in_flight: Some(in_flight),
            is_settled: AtomicBool::new(false),
        }
    }

    /// Marks the outcome at the server as known. An attempt that ends without one, since the caller disconnected or another server
    /// was tried, may still crash the server.
    pub(crate) fn settle(&self) {
        self.is_settled.store(true, Ordering::Relaxed);
    }

    /// The first event shows that the prompt has been read.
    pub(super) fn first_event(&mut self) {
        let unread = std::mem::take(&mut self.unread);
        self.gateway
            .state()
            .load
            .finish_prefill(&self.server.id, unread);
        self.gateway.notify_load_changed();
    }

    /// Waits until the server has started again: it then knows nothing of the request, and an answer that has not come
    /// never will. Without this a connection that has gone silent is waited for until the deadline.
    pub(crate) fn lost(&self) -> impl Future<Output = ()> + use<> {
        let gateway = self.gateway.clone();
        let server = self.server.clone();
        async move {
            let mut ends = gateway.ends();
            while !gateway.state().registry.has_restarted(&server) {
                if ends.changed().await.is_err() {
                    std::future::pending::<()>().await;
                }
            }
        }
    }

    /// Notes how long the server took: for a whole answer, or between two events.
    pub(crate) fn time(&self, time: Duration) {
        let now_ms = self.gateway.now_ms();
        let time_ms = time.as_secs_f64() * 1_000.0;
        let mut state = self.gateway.state();
        if !state.registry.has_restarted(&self.server) {
            state
                .health
                .record_latency(&self.server.id, time_ms, now_ms);
        }
    }

    /// Notes how the request ended at this server.
    pub(crate) fn judge(&self, outcome: Outcome) {
        let now_ms = self.gateway.now_ms();
        let mut state = self.gateway.state();
        if state.registry.has_restarted(&self.server) {
            // How the former process ended says nothing of the new one.
            return;
        }
        let ejected = state
            .health
            .record_outcome(&self.server.id, outcome, now_ms);
        drop(state);
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
    /// Ends the in-flight request.
    pub(crate) fn release(&mut self) {
        let Some(in_flight) = self.in_flight.take() else {
            return;
        };
        let now_ms = self.gateway.now_ms();
        let mut state = self.gateway.state();
        state.load.finish_prefill(&self.server.id, self.unread);
        state.load.end(&self.server.id);
        if !self.is_settled.load(Ordering::Relaxed) {
            let request = in_flight.request();
            state.lost(&self.server, request, Loss::Silent, now_ms);
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
