//! Handling of requests that crash backend servers: quarantine checks, and crash detection from
//! lost connections.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use fescuewell_core::log_event;
use fescuewell_core::prelude::*;
use fescuewell_forward::crash::{
    Content, Evidence, Finding, Fingerprint, Loss, Part, Run, Stage, Subject, Verdict,
};
use fescuewell_forward::server::Entry;
use fescuewell_http::listener::spawn;
use fescuewell_http::upstream::{BodyEnd, Error, Reachability};

use super::{Job, Permit};
use crate::gateway::{Gateway, State};
use crate::header;

/// Timeout of a connection probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Delay before a server that accepted a probe connection is probed again.
const SECOND_PROBE_DELAY: Duration = Duration::from_millis(50);

/// Time after which a connection that an ending server has accepted is broken.
const SETTLE_TIME: Duration = Duration::from_millis(10);
/// Number of connections that an ending server may accept.
const MAX_LAST_CONNECTIONS: usize = 2;
/// Time after the head of a response within which it has just begun.
const BEGINNING_TIME: Duration = Duration::from_millis(500);

/// Guard of an in-flight attempt.
pub(crate) struct InFlight {
    gateway: Arc<Gateway>,
    request: Fingerprint,
    parts: Arc<[Part]>,
    /// When the head of the response was received.
    begun: Mutex<Option<Instant>>,
}

impl InFlight {
    /// Registers an in-flight attempt until the guard is dropped.
    pub(super) fn begin(gateway: &Arc<Gateway>, request: Fingerprint, parts: Arc<[Part]>) -> Self {
        gateway.state().quarantine.begin(request);
        Self {
            gateway: gateway.clone(),
            request,
            parts,
            begun: Mutex::new(None),
        }
    }

    /// Records that the head of the response was received.
    pub(super) fn mark_begun(&self) {
        *self.begun() = Some(Instant::now());
    }

    /// Returns what the server was running.
    pub(super) fn run(&self) -> Run {
        let stage = match *self.begun() {
            None => Stage::Waiting,
            Some(begun) if begun.elapsed() < BEGINNING_TIME => Stage::Beginning,
            Some(_) => Stage::Advanced,
        };
        Run {
            request: self.request,
            parts: self.parts.clone(),
            stage,
        }
    }

    fn begun(&self) -> MutexGuard<'_, Option<Instant>> {
        self.begun.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let is_awaited = self.gateway.state().quarantine.end(self.request);
        if is_awaited {
            self.gateway.notify_crash_changes();
        }
    }
}

impl Gateway {
    /// Returns `true` if a server refuses connections, and none to it is left.
    pub(crate) async fn has_gone(&self, server: &Entry) -> bool {
        for _ in 0..MAX_LAST_CONNECTIONS {
            tokio::time::sleep(SETTLE_TIME).await;
            if self.client.has_idle(server.address) {
                return false;
            }
            match self.client.probe(server.address, PROBE_TIMEOUT).await {
                Reachability::Refused => return true,
                Reachability::NoResponse => return false,
                // The connection shows in the next round whether it lasts.
                Reachability::Accepted => {}
            }
        }
        false
    }
}

/// Probes again, because a crashing server may accept one more connection.
async fn probe_again(gateway: &Arc<Gateway>, server: &Arc<Entry>) {
    tokio::time::sleep(SECOND_PROBE_DELAY).await;
    let is_alive = gateway.client.has_idle(server.address)
        || gateway.client.probe(server.address, PROBE_TIMEOUT).await != Reachability::Refused;
    match is_alive || !gateway.confirm_refusal(server).await {
        true => gateway.state().crashes.accepted(server.incarnation()),
        false => gateway.record_crash(server, Evidence::Refused),
    }
}

/// Classifies a failed exchange.
pub(crate) fn classify_loss(error: &Error) -> Loss {
    match error.is_broken() {
        true => Loss::Broken,
        false => Loss::Silent,
    }
}

impl Job {
    /// Computes the request's fingerprint.
    pub(super) fn compute_fingerprint(&self) -> Fingerprint {
        let account = self.account.as_ref().map_or("", |account| &account.name);
        let target = self.target.path_and_query();
        Fingerprint::new(&Content {
            account,
            method: self.method.as_str(),
            host: header::host(&self.headers),
            target: target.map_or("", |target| target.as_str()),
            body: &self.body,
        })
    }

    /// Computes the parts of the prompt that other requests may share.
    pub(super) fn shared_parts(&self) -> Arc<[Part]> {
        let model = self.metadata.model.as_deref().unwrap_or_default();
        let ids = self.metadata.prompt_parts.iter();
        let ids: Vec<Arc<str>> = ids.map(|part| part.id.clone()).collect();
        Part::shared(&self.service.name, model, &ids)
    }

    /// Ids of these parts for log lines.
    pub(super) fn part_ids(&self) -> String {
        let ids: Vec<&str> = self.parts.iter().map(|part| &*part.id).collect();
        ids.join(",")
    }

    fn run_at(&self, permit: &Permit) -> Run {
        permit.run().unwrap_or_else(|| Run {
            request: self.fingerprint,
            parts: self.parts.clone(),
            stage: Stage::Waiting,
        })
    }

    pub(super) fn verdict(&self) -> Verdict {
        let now_ms = self.gateway.now_ms();
        self.gateway.state().verdict(self.fingerprint, now_ms)
    }

    pub(super) fn part_verdict(&self) -> Verdict {
        let now_ms = self.gateway.now_ms();
        let state = self.gateway.state();
        state.part_verdict(&self.parts, &self.probed_parts, now_ms)
    }

    /// Rejects a quarantined request, or one with a quarantined part, unless the store permits a probe.
    pub(super) async fn check_quarantine(&mut self) -> Result<(), Code> {
        if let Verdict::Quarantined { may_probe } = self.verdict() {
            self.is_probe = may_probe
                && self
                    .gateway
                    .request_probe(Subject::Request, self.fingerprint)
                    .await;
            if !self.is_probe {
                return Err(Code::Quarantined);
            }
            log_event!(
                Event::RequestProbed,
                "request={} fingerprint={}",
                self.id,
                self.fingerprint
            );
        }
        self.check_parts().await
    }

    async fn check_parts(&mut self) -> Result<(), Code> {
        let gateway = self.gateway.clone();
        let (quarantined, may_probe) = {
            let now_ms = gateway.now_ms();
            gateway.state().quarantined_parts(&self.parts, now_ms)
        };
        if !quarantined.is_empty() && !may_probe {
            return Err(self.quarantine_code());
        }
        for part in quarantined {
            if !gateway.request_probe(Subject::Part, part.key).await {
                self.probed_parts.clear();
                return Err(self.quarantine_code());
            }
            log_event!(
                Event::PartProbed,
                "request={} part={} fingerprint={}",
                self.id,
                part.id,
                part.key
            );
            self.probed_parts.push(part.key);
        }
        Ok(())
    }

    /// Returns the code of a refusal for a quarantined request or part.
    pub(super) fn quarantine_code(&self) -> Code {
        match self.sends {
            0 => Code::PartQuarantined,
            _ => Code::Quarantined,
        }
    }

    /// Returns `true` if the request must not be sent.
    pub(super) fn is_quarantined(&self) -> bool {
        let is_quarantined = |verdict| matches!(verdict, Verdict::Quarantined { .. });
        is_quarantined(self.verdict()) || is_quarantined(self.part_verdict())
    }

    /// Returns `true` if the request must not be sent again after its server was lost: servers have
    /// crashed more than once under requests with a part of its prompt, and none was answered since.
    pub(super) fn has_suspected_part(&self) -> bool {
        let verdict = self.part_verdict();
        matches!(
            verdict,
            Verdict::Suspect { is_isolated: true } | Verdict::Quarantined { .. }
        )
    }

    /// Returns a check whether no part of the prompt is quarantined, for the moment at which the
    /// request is written.
    pub(super) fn part_check(&self) -> impl Fn() -> bool + Send + Sync + use<> {
        let (gateway, parts) = (self.gateway.clone(), self.parts.clone());
        let probed = self.probed_parts.clone();
        move || {
            let now_ms = gateway.now_ms();
            let verdict = gateway.state().part_verdict(&parts, &probed, now_ms);
            !matches!(verdict, Verdict::Quarantined { .. })
        }
    }

    /// Returns `true` if the request must go to the least loaded server.
    pub(super) fn is_isolated(&self, state: &State, now_ms: u64) -> bool {
        let isolated = Verdict::Suspect { is_isolated: true };
        self.is_probe
            || !self.probed_parts.is_empty()
            || state.verdict(self.fingerprint, now_ms) == isolated
            || state.part_verdict(&self.parts, &[], now_ms) == isolated
    }

    /// Returns `true` if a body that ended with its connection may have been cut off by the end of the
    /// server. It has neither a length nor chunks that would tell.
    pub(crate) async fn is_cut_off(&mut self, end: BodyEnd, permit: &Permit) -> bool {
        if end != BodyEnd::Connection {
            return false;
        }
        self.report_loss(permit, Loss::Broken).await;
        let server = permit.server.incarnation();
        let has_crashed = self.gateway.state().crashes.has_crashed(server);
        has_crashed || self.gateway.has_gone(&permit.server).await
    }

    /// Waits while a suspect has too many attempts in flight. Other requests do not wait.
    pub(crate) async fn await_capacity(&mut self) -> Result<(), Code> {
        let mut changes = self.gateway.crash_changes();
        let until = self.arrived + self.route.target_latency;
        let until = until.min(self.route_deadline);
        loop {
            changes.mark_unchanged();
            if matches!(self.part_verdict(), Verdict::Quarantined { .. }) {
                return Err(self.quarantine_code());
            }
            match self.verdict() {
                Verdict::Busy => {}
                Verdict::Quarantined { .. } if !self.is_probe => return Err(Code::Quarantined),
                _ => return Ok(()),
            }
            let changed = changes.changed();
            let left = until.saturating_duration_since(Instant::now());
            if !matches!(tokio::time::timeout(left, changed).await, Ok(Ok(()))) {
                return Err(match self.possibly_executed {
                    true => Code::OutcomeUnknown,
                    false => Code::NoServer,
                });
            }
        }
    }

    /// Reports a lost exchange and waits for the probe's result, so that a crash is counted before
    /// the request is retried.
    pub(crate) async fn report_loss(&mut self, permit: &Permit, loss: Loss) {
        // Permission to probe covers a single attempt.
        self.is_probe = false;
        self.probed_parts.clear();
        let gateway = self.gateway.clone();
        let server = &permit.server;
        let now_ms = gateway.now_ms();
        permit.settle();
        let run = self.run_at(permit);
        let finding = gateway
            .state()
            .report_loss(server, run.clone(), loss, now_ms);
        match finding {
            Some(Finding::Crashed) => gateway.record_known_crash(server, &run),
            Some(Finding::Probe) => {
                self.probe_server(permit);
                self.await_probe(permit).await;
            }
            Some(Finding::Awaited) => self.await_probe(permit).await,
            Some(Finding::Open) | None => {}
        }
    }

    /// Probes a server in a separate task, because the result also concerns other requests and the
    /// caller may disconnect.
    fn probe_server(&self, permit: &Permit) {
        let gateway = self.gateway.clone();
        let server = permit.server.clone();
        spawn(async move {
            let reachability = gateway.client.probe(server.address, PROBE_TIMEOUT).await;
            if reachability == Reachability::Refused && gateway.confirm_refusal(&server).await {
                return gateway.record_crash(&server, Evidence::Refused);
            }
            // The server list or the second probe may still provide evidence.
            gateway.state().crashes.silent(server.incarnation());
            gateway.notify_crash_changes();
            if reachability == Reachability::Accepted {
                probe_again(&gateway, &server).await;
            }
        });
    }

    async fn await_probe(&self, permit: &Permit) {
        let mut changes = self.gateway.crash_changes();
        let server = permit.server.incarnation();
        let found = async {
            while self.gateway.state().crashes.is_probed(server) {
                if changes.changed().await.is_err() {
                    return;
                }
            }
        };
        // The server list may still provide evidence later.
        let _ = tokio::time::timeout(PROBE_TIMEOUT, found).await;
    }
}
