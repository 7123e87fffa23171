//! Crashes of backend servers, and the requests under which they happen.

use fescuewell_core::log_event;
use fescuewell_core::prelude::*;
use fescuewell_forward::crash::{Evidence, Finding, Fingerprint, Loss, THRESHOLD, Update, Verdict};
use fescuewell_forward::server::Entry;
use tokio::sync::{oneshot, watch};

use super::{Gateway, State};

/// Most requests that one log line names.
const MOST_NAMED: usize = 8;

/// Request for permission to probe a quarantined request.
#[derive(Debug)]
pub struct Probe {
    /// The request.
    pub request: Fingerprint,
    /// Receives `true` if the probe may be sent.
    pub reply: oneshot::Sender<bool>,
}

impl State {
    /// Converts local time to the store's clock, in milliseconds.
    pub fn store_ms(&self, now_ms: u64) -> u64 {
        self.quota.store_time(now_ms)
    }

    /// Decides whether a request may be sent.
    pub fn verdict(&self, request: Fingerprint, now_ms: u64) -> Verdict {
        self.quarantine.verdict(request, self.store_ms(now_ms))
    }

    /// Reports a lost exchange with a server, unless the server is leaving.
    pub fn lost(
        &mut self,
        server: &Entry,
        request: Fingerprint,
        loss: Loss,
        now_ms: u64,
    ) -> Option<Finding> {
        if self.registry.has_restarted(server) {
            let has_crashed = self.crashes.has_crashed(server.incarnation());
            return has_crashed.then_some(Finding::Crashed);
        }
        // Leaving servers close their connections.
        let is_ready = self.registry.is_ready(&server.id, now_ms);
        is_ready.then(|| self.crashes.lost(server, request, loss, now_ms))
    }

    fn crash(&mut self, server: &Entry, request: Fingerprint, now_ms: u64) -> Option<usize> {
        let store_ms = self.store_ms(now_ms);
        let server = server.incarnation();
        self.quarantine.crash(request, server, store_ms)
    }
}

impl Gateway {
    /// Records the crash of a backend server for each request it was running.
    pub fn crashed(&self, server: &Entry, evidence: Evidence) {
        let now_ms = self.now_ms();
        let mut quarantined = Vec::new();
        let requests = {
            let mut state = self.state();
            let requests = state.crashes.crashed(server.incarnation(), now_ms);
            for request in &requests {
                if state.crash(server, *request, now_ms) == Some(THRESHOLD) {
                    quarantined.push(*request);
                }
            }
            requests
        };
        self.metrics.server_crashed(&server.service);
        log_event!(
            Event::ServerCrashed,
            "server={} service={} evidence={evidence:?} count={} fingerprints={}",
            server.id,
            server.service,
            requests.len(),
            named(&requests)
        );
        log_quarantined(&quarantined, &server.id);
        self.announce_crashes();
    }

    /// Records a known crash for another request that the server was running.
    pub fn ran_at_crash(&self, server: &Entry, request: Fingerprint) {
        let now_ms = self.now_ms();
        let count = self.state().crash(server, request, now_ms);
        if count == Some(THRESHOLD) {
            log_quarantined(&[request], &server.id);
        }
        self.announce_crashes();
    }

    /// Records a complete response.
    pub fn answered(&self, server: &Entry, request: Fingerprint) {
        let now_ms = self.now_ms();
        let is_cleared = {
            let mut state = self.state();
            let store_ms = state.store_ms(now_ms);
            state.quarantine.answered(request, store_ms)
        };
        if !is_cleared {
            return;
        }
        log_event!(
            Event::RequestCleared,
            "fingerprint={request} server={}",
            server.id
        );
        self.announce_crashes();
    }

    /// Merges records of other instances or of the store.
    pub fn learn_crashes<Updates>(&self, updates: Updates, source: &str)
    where
        Updates: IntoIterator<Item = Update>,
    {
        let now_ms = self.now_ms();
        let (quarantined, has_fresh) = {
            let mut state = self.state();
            let store_ms = state.store_ms(now_ms);
            let quarantined = state.quarantine.merge(updates, store_ms);
            (quarantined, state.quarantine.has_fresh())
        };
        log_quarantined(&quarantined, source);
        if has_fresh {
            self.announce_crashes();
        }
    }

    /// Requests permission to probe a quarantined request.
    pub async fn may_probe(&self, request: Fingerprint) -> bool {
        let (reply, answer) = oneshot::channel();
        if self.probes.try_send(Probe { request, reply }).is_err() {
            // Full: other probes are pending. Closed: the process is shutting down.
            return false;
        }
        answer.await.unwrap_or(false)
    }

    /// Notifies waiting requests and the exchange of a change.
    pub fn announce_crashes(&self) {
        self.crash_count.send_modify(|count| *count += 1);
    }

    /// Subscribes to changes of crash records.
    pub fn crash_changes(&self) -> watch::Receiver<u64> {
        self.crash_count.subscribe()
    }
}

fn log_quarantined(requests: &[Fingerprint], source: &str) {
    for request in requests {
        log_event!(
            Event::RequestQuarantined,
            "fingerprint={request} source={source}"
        );
    }
}

fn named(requests: &[Fingerprint]) -> String {
    let named = requests.iter().take(MOST_NAMED);
    let named: Vec<String> = named.map(Fingerprint::to_string).collect();
    named.join(",")
}
