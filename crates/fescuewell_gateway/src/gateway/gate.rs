//! Admission of callers' traffic: the listener gate and readiness.

use std::sync::Arc;
use std::time::Duration;

use fescuewell_core::log_event;
use fescuewell_core::prelude::*;
use fescuewell_forward::admission::{Action, THROTTLE_MS, UNREADY_MS};
use fescuewell_forward::config;
use fescuewell_http::listener::{Gate, Limits, LimitsHandle, spawn};

use super::Gateway;

/// Time that the packets of a head may take in addition to the configured timeout, for one that is lost and sent again.
const TRANSIT_TIME: Duration = Duration::from_secs(1);

impl Gateway {
    /// Records a caller's request with a body of so many bytes. If the instance is overloaded and
    /// others have capacity, closes the listener to new connections, and reports the instance
    /// unready if the fleet can spare it. Must be called inside a listener's runtime.
    pub fn record_arrival(self: &Arc<Self>, body: usize) {
        let action = self.state().admission.admit(self.now_ms(), body);
        match action {
            Action::Admit => return,
            Action::Throttle => {}
            Action::Leave => self.log_departure(),
        }
        if self.update_gate() {
            log_event!(
                Event::ConnectionsKeptOut,
                "instance={} cause={action:?}",
                self.settings.name
            );
            self.reopen_later();
        }
    }

    /// Logs that this instance has become unready, with its traffic and limits per second and the
    /// other instances of its availability zone as last read.
    fn log_departure(&self) {
        let now_ms = self.now_ms();
        let name = &self.settings.name;
        let mut state = self.state();
        let traffic = state.admission.traffic(now_ms);
        let limit = state.admission.limit();
        let (peers, unready) = state.directory.zone_peers(name);
        let store_ms = state.quota.store_time(now_ms);
        let age_ms = store_ms.saturating_sub(state.directory.read_at_ms());
        drop(state);
        log_event!(
            Event::CallersSentAway,
            "instance={name} pause_ms={UNREADY_MS} bytes={:.0} max_bytes={:.0} requests={:.0} max_requests={:.0} zone_peers={peers} unready_peers={unready} heartbeats_age_ms={age_ms}",
            traffic.bytes,
            limit.bytes,
            traffic.requests,
            limit.requests
        );
    }

    /// Reopens the listener once the limiter allows it.
    fn reopen_later(self: &Arc<Self>) {
        let gateway = self.clone();
        spawn(async move {
            loop {
                tokio::time::sleep(Duration::from_millis(THROTTLE_MS)).await;
                if gateway.is_accepting() {
                    gateway.update_gate();
                    return;
                }
            }
        });
    }

    /// Sets the gate of the callers' listener.
    pub fn set_gate(&self, gate: Gate) {
        // The listener starts only once.
        let _ = self.gate.set(gate);
    }

    /// Sets the control of the limits on callers' requests.
    pub fn set_limits_handle(&self, limits: LimitsHandle) {
        // The listener starts only once.
        let _ = self.limits.set(limits);
    }

    /// Applies the limits of a configuration to the next requests of callers. They bound what a caller takes to send
    /// a head; that may arrive later than it was sent.
    pub(super) fn apply_limits(&self, limits: Option<config::Limits>) {
        let Some(handle) = self.limits.get() else {
            return;
        };
        handle.set(limits.map(|limits| Limits {
            head_bytes: limits.head_bytes,
            body_bytes: limits.body_bytes,
            header_timeout: limits.head_timeout + TRANSIT_TIME,
            idle_timeout: limits.idle_timeout,
        }));
    }

    /// Returns `true` if new connections from callers are accepted.
    pub fn is_accepting(&self) -> bool {
        !self.state().admission.is_closed(self.now_ms())
    }

    /// Opens or closes the listener to new connections as the limits require. Returns `true` if
    /// that changed.
    pub fn update_gate(&self) -> bool {
        let open = self.is_accepting();
        self.gate.get().is_some_and(|gate| gate.set(open))
    }

    /// Returns `true` if the readiness check succeeds: the instance accepts requests and is not
    /// shedding callers.
    pub fn reports_ready(&self) -> bool {
        let now_ms = self.now_ms();
        self.is_ready() && self.state().admission.unready_left_ms(now_ms) == 0
    }
}
