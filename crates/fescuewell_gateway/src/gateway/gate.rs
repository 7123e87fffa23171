//! Admission of callers' traffic: the listener gate and readiness.

use std::sync::Arc;
use std::time::Duration;

use fescuewell_core::log_event;
use fescuewell_core::prelude::*;
use fescuewell_forward::admission::{Action, THROTTLE_MS, UNREADY_MS};
use fescuewell_http::listener::{Gate, spawn};

use super::Gateway;

impl Gateway {
    /// Records a caller's request with a body of so many bytes. If the instance is overloaded and
    /// others have capacity, closes the listener to new connections, and reports the instance
    /// unready if the fleet can spare it. Must be called inside a listener's runtime.
    pub fn record_arrival(self: &Arc<Self>, body: usize) {
        let action = self.state().admission.admit(self.now_ms(), body);
        match action {
            Action::Admit => return,
            Action::Throttle => {}
            Action::Leave => log_event!(
                Event::CallersSentAway,
                "instance={} pause_ms={UNREADY_MS}",
                self.settings.name
            ),
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
