//! Requests that crash backend servers: when one may be sent, and what a broken connection shows.

use std::sync::Arc;
use std::time::{Duration, Instant};

use fescuewell_core::log_event;
use fescuewell_core::prelude::*;
use fescuewell_forward::crash::{Content, Evidence, Finding, Fingerprint, Loss, Verdict};
use fescuewell_forward::server::Entry;
use fescuewell_http::listener::spawn;
use fescuewell_http::upstream::{Error, Reach};

use super::{Job, Place};
use crate::gateway::{Gateway, State};
use crate::header;

/// Time for finding out whether a server still accepts connections.
const PROBE: Duration = Duration::from_millis(300);
/// Time after which a connection that the server has accepted is looked at again.
const SECOND_LOOK: Duration = Duration::from_millis(50);

/// A try that is under way, for as long as this lives.
pub(crate) struct Turn {
    gateway: Arc<Gateway>,
    request: Fingerprint,
}

impl Turn {
    /// Begins a try.
    pub(super) fn begin(gateway: &Arc<Gateway>, request: Fingerprint) -> Self {
        gateway.state().quarantine.begin(request);
        Self {
            gateway: gateway.clone(),
            request,
        }
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        let is_awaited = self.gateway.state().quarantine.end(self.request);
        if is_awaited {
            self.gateway.announce_crashes();
        }
    }
}

/// A server may accept a connection while it is ending. The connection breaks then as well.
async fn look_again(gateway: &Gateway, server: &Entry) {
    tokio::time::sleep(SECOND_LOOK).await;
    let is_sound = gateway.client.has_idle(server.address)
        || gateway.client.probe(server.address, PROBE).await != Reach::Refused;
    match is_sound {
        true => gateway.state().crashes.accepted(server.incarnation()),
        false => gateway.crashed(server, Evidence::Refused),
    }
}

/// How an exchange ended.
pub(crate) fn loss(error: &Error) -> Loss {
    match error.is_broken() {
        true => Loss::Broken,
        false => Loss::Silent,
    }
}

impl Job {
    /// Identity of the request over all of its tries.
    pub(super) fn identify(&self) -> Fingerprint {
        let account = self.tenant.as_ref().map_or("", |tenant| &tenant.name);
        let target = self.target.path_and_query();
        Fingerprint::new(&Content {
            account,
            method: self.method.as_str(),
            host: header::host(&self.headers),
            target: target.map_or("", |target| target.as_str()),
            body: &self.body,
        })
    }

    fn verdict(&self) -> Verdict {
        let now_ms = self.gateway.now_ms();
        self.gateway.state().verdict(self.fingerprint, now_ms)
    }

    /// Refuses a request that is known to crash servers, before it waits for anything.
    pub(super) async fn admit(&mut self) -> Result<(), Code> {
        let Verdict::Quarantined { may_probe } = self.verdict() else {
            return Ok(());
        };
        if !may_probe || !self.gateway.may_probe(self.fingerprint).await {
            return Err(Code::Quarantined);
        }
        log_event!(
            Event::RequestProbed,
            "request={} fingerprint={}",
            self.id,
            self.fingerprint
        );
        self.is_probe = true;
        Ok(())
    }

    /// Whether the request must not be sent any more.
    pub(super) fn is_quarantined(&self) -> bool {
        matches!(self.verdict(), Verdict::Quarantined { .. })
    }

    /// Whether the request is kept apart from others.
    pub(super) fn is_isolated(&self, state: &State, now_ms: u64) -> bool {
        let verdict = state.verdict(self.fingerprint, now_ms);
        self.is_probe || verdict == (Verdict::Suspect { is_isolated: true })
    }

    /// Waits until few enough tries of a suspect are under way here. Most requests do not wait at all.
    pub(crate) async fn turn(&mut self) -> Result<(), Code> {
        let mut changes = self.gateway.crash_changes();
        let until = self.arrived + self.route.target_latency;
        let until = until.min(self.limit);
        loop {
            changes.mark_unchanged();
            match self.verdict() {
                Verdict::Busy => {}
                Verdict::Quarantined { .. } if !self.is_probe => return Err(Code::Quarantined),
                _ => return Ok(()),
            }
            let changed = changes.changed();
            let left = until.saturating_duration_since(Instant::now());
            if !matches!(tokio::time::timeout(left, changed).await, Ok(Ok(()))) {
                return Err(match self.may_have_run {
                    true => Code::OutcomeUnknown,
                    false => Code::NoServer,
                });
            }
        }
    }

    /// The exchange with a server ended while the server may have been running the request. Waits until it is known whether the
    /// server has crashed, where that takes a moment only: a request that crashes servers must not be retried before its crash is
    /// counted.
    pub(crate) async fn lost_at(&mut self, place: &Place, loss: Loss) {
        // A probe is one try.
        self.is_probe = false;
        let gateway = self.gateway.clone();
        let server = &place.server;
        let now_ms = gateway.now_ms();
        let finding = {
            let mut state = gateway.state();
            let is_sound = state.registry.is_ready(&server.id, now_ms);
            if state.registry.is_reborn(server) {
                let has_crashed = state.crashes.has_crashed(server.incarnation());
                has_crashed.then_some(Finding::Crashed)
            } else if is_sound {
                Some(state.crashes.lost(server, self.fingerprint, loss, now_ms))
            } else {
                // Servers that leave close their connections.
                None
            }
        };
        match finding {
            Some(Finding::Crashed) => gateway.ran_at_crash(server, self.fingerprint),
            Some(Finding::Probe) => {
                self.probe(place);
                self.finding(place).await;
            }
            Some(Finding::Awaited) => self.finding(place).await,
            Some(Finding::Open) | None => {}
        }
    }

    /// Finds out whether a server still accepts connections. A task of its own: the caller may leave before the finding, which
    /// concerns others too.
    fn probe(&self, place: &Place) {
        let gateway = self.gateway.clone();
        let server = place.server.clone();
        spawn(async move {
            let reach = gateway.client.probe(server.address, PROBE).await;
            if reach == Reach::Refused {
                return gateway.crashed(&server, Evidence::Refused);
            }
            // The list, or the second look, may still tell.
            gateway.state().crashes.silent(server.incarnation());
            gateway.announce_crashes();
            if reach == Reach::Accepted {
                look_again(&gateway, &server).await;
            }
        });
    }

    async fn finding(&self, place: &Place) {
        let mut changes = self.gateway.crash_changes();
        let server = place.server.incarnation();
        let found = async {
            while self.gateway.state().crashes.is_probed(server) {
                if changes.changed().await.is_err() {
                    return;
                }
            }
        };
        // Without a finding the request goes on; the list may still tell.
        let _ = tokio::time::timeout(PROBE, found).await;
    }
}
