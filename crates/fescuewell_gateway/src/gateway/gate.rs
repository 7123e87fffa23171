//! Whether callers may come to this instance.

use std::sync::Arc;
use std::time::Duration;

use fescuewell_core::log_event;
use fescuewell_core::prelude::*;
use fescuewell_forward::admission::{Action, THROTTLE_MS, UNREADY_MS};
use fescuewell_http::listener::{Gate, spawn};

use super::Gateway;

impl Gateway {
    /// Notes a caller's request. An instance that is sent too much keeps new connections out, and asks its callers to leave
    /// if the others have room. Runs inside a listener's runtime.
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

    /// Looks after the gate until it is open again.
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

    /// Sets what lets callers' connections in.
    pub fn set_gate(&self, gate: Gate) {
        // Set once, when the listener starts.
        let _ = self.gate.set(gate);
    }

    /// Whether new connections of callers are let in.
    pub fn is_accepting(&self) -> bool {
        !self.state().admission.is_closed(self.now_ms())
    }

    /// Keeps new connections of callers out while they are too many; returns whether that is news.
    pub fn update_gate(&self) -> bool {
        let open = self.is_accepting();
        self.gate.get().is_some_and(|gate| gate.set(open))
    }

    /// Whether callers may come: it takes requests, and passes on what it is sent.
    pub fn reports_ready(&self) -> bool {
        let now_ms = self.now_ms();
        self.is_ready() && self.state().admission.unready_left_ms(now_ms) == 0
    }
}
