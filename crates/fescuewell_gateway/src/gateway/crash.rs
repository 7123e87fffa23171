//! Crashes of backend servers and the requests that cause them.

use fescuewell_core::log_event;
use fescuewell_core::prelude::*;
use fescuewell_forward::crash::{
    Evidence, Finding, Fingerprint, Loss, Part, Quarantine, Run, Stage, Subject, Update, Verdict,
};
use fescuewell_forward::server::Entry;
use tokio::sync::{oneshot, watch};

use super::{Gateway, State};

/// Number of instances to which a change of the records is sent.
pub(crate) const ANNOUNCED: usize = 8;
/// Maximum number of requests listed in one log line.
const MAX_LOGGED_REQUESTS: usize = 8;
/// Maximum number of prompt parts listed in one log line.
const MAX_LOGGED_PARTS: usize = 16;

/// Request for permission to probe a quarantined request or part.
#[derive(Debug)]
pub struct ProbeRequest {
    /// Whether it is a request or a part.
    pub subject: Subject,
    /// The request or part.
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

    /// Decides whether a request with some parts may be sent, by the worst of them other than those
    /// that it probes.
    pub fn part_verdict(&self, parts: &[Part], probed: &[Fingerprint], now_ms: u64) -> Verdict {
        let store_ms = self.store_ms(now_ms);
        let mut worst = Verdict::Clear;
        for part in parts.iter().filter(|part| !probed.contains(&part.key)) {
            match self.part_quarantine.verdict(part.key, store_ms) {
                verdict @ Verdict::Quarantined { .. } => return verdict,
                verdict @ Verdict::Suspect { is_isolated: true } => worst = verdict,
                verdict @ Verdict::Suspect { .. } if worst == Verdict::Clear => worst = verdict,
                _ => {}
            }
        }
        worst
    }

    /// Returns the quarantined ones of some parts, and whether this instance may ask for a probe of
    /// them.
    pub fn quarantined_parts(&self, parts: &[Part], now_ms: u64) -> (Vec<Part>, bool) {
        let store_ms = self.store_ms(now_ms);
        let verdict = |part: &Part| self.part_quarantine.verdict(part.key, store_ms);
        let is_quarantined = |part: &&Part| matches!(verdict(part), Verdict::Quarantined { .. });
        let quarantined: Vec<Part> = parts.iter().filter(is_quarantined).cloned().collect();
        let may_probe = match quarantined.as_slice() {
            [part] => verdict(part) == (Verdict::Quarantined { may_probe: true }),
            parts => {
                let keys: Vec<Fingerprint> = parts.iter().map(|part| part.key).collect();
                self.part_quarantine.may_probe_together(&keys, store_ms)
            }
        };
        (quarantined, may_probe)
    }

    /// Returns the quarantine of requests or parts.
    pub fn quarantine_of(&mut self, subject: Subject) -> &mut Quarantine {
        match subject {
            Subject::Request => &mut self.quarantine,
            Subject::Part => &mut self.part_quarantine,
        }
    }

    /// Reports a lost exchange with a server. Returns `None` if nothing follows from it: the server
    /// is draining, delisted or in an evacuated zone, or has restarted without a known crash.
    pub fn report_loss(
        &mut self,
        server: &Entry,
        run: Run,
        loss: Loss,
        now_ms: u64,
    ) -> Option<Finding> {
        if self.registry.has_restarted(server) {
            let has_crashed = self.crashes.has_crashed(server.incarnation());
            return has_crashed.then_some(Finding::Crashed);
        }
        // Draining servers close their connections.
        let is_ready = self.registry.is_ready(&server.id, now_ms);
        is_ready.then(|| self.crashes.lost(server, run, loss, now_ms))
    }

    /// Records a crash for a request and the parts of its prompt.
    fn record_crash(&mut self, server: &Entry, run: &Run, now_ms: u64) {
        let store_ms = self.store_ms(now_ms);
        let server = server.incarnation();
        self.quarantine.crash(run.request, server, store_ms);
        for part in run.parts.iter() {
            self.part_quarantine.crash(part.key, server, store_ms);
        }
    }

    fn take_newly_quarantined(&mut self) -> [Vec<Fingerprint>; 2] {
        Subject::ALL.map(|subject| self.quarantine_of(subject).take_newly_quarantined())
    }
}

impl Gateway {
    /// Records the crash of a backend server for each request that it was running.
    pub fn record_crash(&self, server: &Entry, evidence: Evidence) {
        let now_ms = self.now_ms();
        let (runs, quarantined) = {
            let mut state = self.state();
            let runs = state.crashes.crashed(server.incarnation(), now_ms);
            for run in &runs {
                state.record_crash(server, run, now_ms);
            }
            (runs, state.take_newly_quarantined())
        };
        self.metrics.count_server_crash(&server.service);
        log_event!(
            Event::ServerCrashed,
            "server={} service={} evidence={evidence:?} count={} fingerprints={} beginning={} parts={}",
            server.id,
            server.service,
            runs.len(),
            format_requests(&runs),
            count_beginning(&runs),
            format_parts(&runs)
        );
        log_all_quarantined(&quarantined, &server.id);
        self.notify_crash_changes();
    }

    /// Records a crash that was already detected for another request that the server was running.
    pub fn record_known_crash(&self, server: &Entry, run: &Run) {
        let now_ms = self.now_ms();
        let quarantined = {
            let mut state = self.state();
            state.record_crash(server, run, now_ms);
            state.take_newly_quarantined()
        };
        log_all_quarantined(&quarantined, &server.id);
        self.notify_crash_changes();
    }

    /// Records a complete response, which clears the request and the parts of its prompt of earlier
    /// crashes.
    pub fn record_response(&self, server: &Entry, request: Fingerprint, parts: &[Part]) {
        let now_ms = self.now_ms();
        let (is_cleared, cleared_parts) = {
            let mut state = self.state();
            let store_ms = state.store_ms(now_ms);
            let is_cleared = state.quarantine.answered(request, store_ms);
            let quarantine = &mut state.part_quarantine;
            let cleared = parts.iter();
            let cleared = cleared.filter(|part| quarantine.answered(part.key, store_ms));
            (is_cleared, cleared.collect::<Vec<&Part>>())
        };
        if is_cleared {
            log_event!(
                Event::RequestCleared,
                "fingerprint={request} server={}",
                server.id
            );
        }
        for part in &cleared_parts {
            log_event!(
                Event::PartCleared,
                "part={} fingerprint={} server={}",
                part.id,
                part.key,
                server.id
            );
        }
        if is_cleared || !cleared_parts.is_empty() {
            self.notify_crash_changes();
        }
    }

    /// Merges crash records received from `source`: another instance or the store.
    pub fn merge_crashes<Updates>(&self, subject: Subject, updates: Updates, source: &str)
    where
        Updates: IntoIterator<Item = Update>,
    {
        let now_ms = self.now_ms();
        let (quarantined, has_fresh) = {
            let mut state = self.state();
            let store_ms = state.store_ms(now_ms);
            let is_forwarding = state.directory.count() > ANNOUNCED + 1;
            let quarantine = state.quarantine_of(subject);
            quarantine.set_forwarding(is_forwarding || subject == Subject::Request);
            let quarantined = quarantine.merge(updates, store_ms);
            (quarantined, quarantine.has_fresh())
        };
        log_quarantined(subject, &quarantined, source);
        if has_fresh {
            self.notify_crash_changes();
        }
    }

    /// Requests permission to probe a quarantined request or part.
    pub async fn request_probe(&self, subject: Subject, request: Fingerprint) -> bool {
        let (reply, response) = oneshot::channel();
        let probe = ProbeRequest {
            subject,
            request,
            reply,
        };
        if self.probe_requests.try_send(probe).is_err() {
            // Full: other probes are pending. Closed: the process is shutting down.
            return false;
        }
        response.await.unwrap_or(false)
    }

    /// Notifies waiting requests and the exchange between instances that crash records changed.
    pub fn notify_crash_changes(&self) {
        self.crash_changes.send_modify(|count| *count += 1);
    }

    /// Subscribes to changes of the crash records.
    pub fn crash_changes(&self) -> watch::Receiver<u64> {
        self.crash_changes.subscribe()
    }
}

fn log_all_quarantined(quarantined: &[Vec<Fingerprint>; 2], source: &str) {
    for (subject, requests) in Subject::ALL.into_iter().zip(quarantined) {
        log_quarantined(subject, requests, source);
    }
}

fn log_quarantined(subject: Subject, requests: &[Fingerprint], source: &str) {
    let event = match subject {
        Subject::Request => Event::RequestQuarantined,
        Subject::Part => Event::PartQuarantined,
    };
    for request in requests {
        log_event!(event, "fingerprint={request} source={source}");
    }
}

fn format_requests(runs: &[Run]) -> String {
    let listed = runs.iter().take(MAX_LOGGED_REQUESTS);
    let texts: Vec<String> = listed.map(|run| run.request.to_string()).collect();
    texts.join(",")
}

fn count_beginning(runs: &[Run]) -> usize {
    let beginning = runs.iter().filter(|run| run.stage == Stage::Beginning);
    beginning.count()
}

/// Formats the ids of the parts of these requests, those of the likeliest causes first.
fn format_parts(runs: &[Run]) -> String {
    let mut ids: Vec<&str> = Vec::new();
    for part in runs.iter().flat_map(|run| run.parts.iter()) {
        if ids.len() < MAX_LOGGED_PARTS && !ids.contains(&&*part.id) {
            ids.push(&part.id);
        }
    }
    ids.join(",")
}
