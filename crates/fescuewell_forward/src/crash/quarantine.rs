//! Requests and parts of prompts that are not sent, or only with restrictions.
//!
//! ```text
//!            crash                      third crash
//!   Clear ---------> Suspect -----------------------------> Quarantined
//!     ^                 |                                    |       ^
//!     +-full response---+                          period elapsed    | crash or no response
//!     |                                                      v       |
//!     +-----------------full response--------------------- Probed ---+
//! ```
//!
//! The number of in-flight attempts of a suspect is limited to the crashes left before quarantine,
//! and after its second crash it goes to the least loaded server. Requests that merely shared a
//! server with the culprit are cleared by their next response.
//!
//! Parts of prompts are quarantined in the same way, by another rule: each crash accuses all parts of
//! all requests that were running, and sound requests share most of them. The culprit is the part with
//! which no request gets a whole answer on any instance. A part is quarantined by its third crash
//! without one if it stands out among the other parts, and by its fifth in any case. Until then requests with
//! it are not limited.

use std::collections::{HashMap, HashSet};
use std::num::NonZeroUsize;

use lru::LruCache;

use super::Fingerprint;
use super::record::{Crash, PART_PROBATION, Probation, REQUEST_PROBATION, Record, THRESHOLD};
use crate::server::Incarnation;

/// Maximum number of records; those with the fewest and oldest crashes are evicted.
const MAX_RECORDS: usize = 512;
/// Maximum number of recently answered requests or parts.
const MAX_ANSWERED: NonZeroUsize = NonZeroUsize::new(2_048).unwrap();
/// Time in milliseconds for which a complete response exonerates a request.
const REQUEST_ANSWERED_MS: u64 = 10_000;
/// The same for a part. Popular parts are answered more often; a part may begin to crash servers.
const PART_ANSWERED_MS: u64 = 1_000;
/// Number of crashes that quarantines a part in any case.
const PART_THRESHOLD: usize = 5;
/// Time before several parts are probed by one request, as a multiple of the time before one is.
const TOGETHER_FACTOR: u64 = 4;
/// Maximum number of other parts that may have one crash less than a part that is quarantined
/// earlier; none may have as many.
const MAX_RIVALS: usize = 2;
/// Number of crashes from which a suspect is isolated from other requests.
const ISOLATED_FROM: usize = 2;

/// What a quarantine keeps from the servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Subject {
    /// Whole requests.
    #[default]
    Request,
    /// Parts of prompts.
    Part,
}

impl Subject {
    /// Both.
    pub const ALL: [Self; 2] = [Self::Request, Self::Part];

    /// Times between probes.
    pub fn probation(self) -> Probation {
        match self {
            Self::Request => REQUEST_PROBATION,
            Self::Part => PART_PROBATION,
        }
    }

    fn answered_ms(self) -> u64 {
        match self {
            Self::Request => REQUEST_ANSWERED_MS,
            Self::Part => PART_ANSWERED_MS,
        }
    }
}

fescuewell_core::data! {
    /// Record of one request or part, as exchanged between instances.
    pub struct Update {
        /// The request or part.
        pub request: Fingerprint,
        /// Its crash history.
        pub record: Record,
    }
}

/// Whether a request may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Without restrictions.
    Clear,
    /// Servers have crashed while running it.
    Suspect {
        /// Whether it must go to the least loaded server.
        is_isolated: bool,
    },
    /// The limit of in-flight attempts is reached.
    Busy,
    /// It must not be sent.
    Quarantined {
        /// Whether a probe may be requested from the store.
        may_probe: bool,
    },
}

/// Crash records of one instance.
#[derive(Debug)]
pub struct Quarantine {
    subject: Subject,
    records: HashMap<Fingerprint, Record>,
    running: HashMap<Fingerprint, usize>,
    answered: LruCache<Fingerprint, u64>,
    fresh: Vec<Fingerprint>,
    unrecorded: Vec<Fingerprint>,
    newly_quarantined: Vec<Fingerprint>,
    /// Requests whose crashes this instance detected itself. Only such instances write the store's
    /// record.
    witnessed: HashSet<Fingerprint>,
    next_sample: usize,
    is_loaded: bool,
    is_forwarding: bool,
}

impl Default for Quarantine {
    fn default() -> Self {
        Self {
            subject: Subject::Request,
            records: HashMap::new(),
            running: HashMap::new(),
            answered: LruCache::new(MAX_ANSWERED),
            fresh: Vec::new(),
            unrecorded: Vec::new(),
            newly_quarantined: Vec::new(),
            witnessed: HashSet::new(),
            next_sample: 0,
            is_loaded: false,
            is_forwarding: true,
        }
    }
}

impl Quarantine {
    /// Creates a quarantine of parts of prompts.
    pub fn of_parts() -> Self {
        Self {
            subject: Subject::Part,
            ..Self::default()
        }
    }

    fn is_quarantined(&self, request: Fingerprint, now_ms: u64) -> bool {
        let Some(record) = self.records.get(&request) else {
            return false;
        };
        let count = record.count();
        match self.subject {
            Subject::Request => count >= THRESHOLD,
            Subject::Part if count >= PART_THRESHOLD => true,
            Subject::Part if count >= THRESHOLD => {
                let others = self.records.iter().filter(|(other, _)| **other != request);
                let others = others.filter(|(_, record)| !record.is_expired(now_ms));
                let others = others.map(|(_, record)| record.count());
                let rivals: Vec<usize> = others.filter(|other| other + 1 >= count).collect();
                rivals.len() <= MAX_RIVALS && rivals.iter().all(|rival| *rival < count)
            }
            Subject::Part => false,
        }
    }

    /// Returns `true` if this instance may ask for a probe. For a part, those that saw one of its
    /// crashes ask first, so that hundreds of instances do not ask at once.
    fn may_probe(&self, request: Fingerprint, record: &Record, now_ms: u64) -> bool {
        let mut probation = self.subject.probation();
        if self.subject == Subject::Part && !self.witnessed.contains(&request) {
            probation.first_ms *= 2;
        }
        record.may_probe(probation, now_ms)
    }

    /// Returns `true` if this instance may ask for a probe of several parts by one request at `now_ms` of
    /// the store's clock. Requests with one of them alone tell more, and go first.
    pub fn may_probe_together(&self, parts: &[Fingerprint], now_ms: u64) -> bool {
        let mut probation = self.subject.probation();
        probation.first_ms *= TOGETHER_FACTOR;
        parts.iter().all(|part| {
            let record = self.records.get(part);
            record.is_some_and(|record| record.may_probe(probation, now_ms))
        })
    }

    /// Decides whether a request, or one with a part, may be sent at `now_ms` of the store's clock.
    pub fn verdict(&self, request: Fingerprint, now_ms: u64) -> Verdict {
        let Some(record) = self.records.get(&request) else {
            return Verdict::Clear;
        };
        let count = record.count();
        if count == 0 || record.is_expired(now_ms) {
            return Verdict::Clear;
        }
        if self.is_quarantined(request, now_ms) {
            let may_probe = self.may_probe(request, record, now_ms);
            return Verdict::Quarantined { may_probe };
        }
        let is_isolated = count >= ISOLATED_FROM;
        if self.subject == Subject::Part {
            return Verdict::Suspect { is_isolated };
        }
        let running = self.running.get(&request).copied().unwrap_or_default();
        if count + running >= THRESHOLD {
            return Verdict::Busy;
        }
        Verdict::Suspect { is_isolated }
    }

    /// Adds an in-flight attempt.
    pub fn begin(&mut self, request: Fingerprint) {
        *self.running.entry(request).or_default() += 1;
    }

    /// Removes an in-flight attempt. Returns `true` if other attempts may be waiting for it.
    pub fn end(&mut self, request: Fingerprint) -> bool {
        if let Some(running) = self.running.get_mut(&request) {
            *running -= 1;
            if *running == 0 {
                self.running.remove(&request);
            }
        }
        self.records.contains_key(&request)
    }

    /// Records a server crash while the request was running. Returns the number of crashes, or
    /// `None` if the crash was known or the request is exonerated.
    pub fn crash(
        &mut self,
        request: Fingerprint,
        server: Incarnation,
        now_ms: u64,
    ) -> Option<usize> {
        let answered_ms = self.answered.peek(&request);
        let exonerated_ms = self.subject.answered_ms();
        if answered_ms.is_some_and(|at_ms| now_ms < at_ms + exonerated_ms) {
            return None;
        }
        let was_quarantined = self.is_quarantined(request, now_ms);
        let record = self.records.entry(request).or_default();
        if record.contains(server) {
            return None;
        }
        let crash = Crash {
            at_ms: now_ms,
            server,
        };
        record.add(crash);
        self.witnessed.insert(request);
        let count = record.count();
        self.note_fresh(request);
        if self.is_quarantined(request, now_ms) {
            self.unrecorded.push(request);
            if !was_quarantined {
                self.newly_quarantined.push(request);
            }
        }
        self.shrink(now_ms);
        Some(count)
    }

    /// Takes the requests or parts that own crashes have quarantined since the last call.
    pub fn take_newly_quarantined(&mut self) -> Vec<Fingerprint> {
        std::mem::take(&mut self.newly_quarantined)
    }

    /// Records a complete response. Returns `true` if it clears the request.
    pub fn answered(&mut self, request: Fingerprint, now_ms: u64) -> bool {
        self.answered.put(request, now_ms);
        let was_quarantined = self.is_quarantined(request, now_ms);
        let Some(record) = self.records.get_mut(&request) else {
            return false;
        };
        if record.count() == 0 {
            return false;
        }
        record.clear(now_ms);
        self.note_fresh(request);
        if was_quarantined {
            self.unrecorded.push(request);
        }
        true
    }

    /// Records a probe of a quarantined request.
    pub fn probe(&mut self, request: Fingerprint, now_ms: u64) {
        if let Some(record) = self.records.get_mut(&request) {
            record.probe(now_ms);
            self.note_fresh(request);
        }
    }

    /// Merges updates of other instances. Returns the requests that become quarantined.
    pub fn merge<Updates>(&mut self, updates: Updates, now_ms: u64) -> Vec<Fingerprint>
    where
        Updates: IntoIterator<Item = Update>,
    {
        let mut quarantined = Vec::new();
        for Update { request, record } in updates {
            if record.is_expired(now_ms) || record.is_ahead(now_ms) {
                continue;
            }
            let was_quarantined = self.is_quarantined(request, now_ms);
            let answered_ms = self.answered.peek(&request).copied();
            let known = self.records.entry(request).or_default();
            if !known.merge(&record) {
                continue;
            }
            let before = known.count();
            if let Some(answered_ms) = answered_ms.filter(|_| self.subject == Subject::Part) {
                // The crash came before an answer that this instance has seen.
                known.clear(answered_ms);
            }
            let was_corrected = known.count() < before;
            if self.is_quarantined(request, now_ms) && !was_quarantined {
                quarantined.push(request);
                if self.witnessed.contains(&request) {
                    self.unrecorded.push(request);
                }
            }
            if self.is_forwarding || was_corrected {
                self.note_fresh(request);
            }
        }
        self.shrink(now_ms);
        quarantined
    }

    /// Sets whether what other instances tell is announced to further ones. Not needed if each
    /// announcement reaches all instances.
    pub fn set_forwarding(&mut self, is_forwarding: bool) {
        self.is_forwarding = is_forwarding;
    }

    /// Takes up to `most` changed records: those with several crashes, then those that were cleared,
    /// which end a quarantine elsewhere, then those with one crash.
    pub fn take_fresh(&mut self, most: usize) -> Vec<Update> {
        let mut fresh = std::mem::take(&mut self.fresh);
        fresh.sort_by_key(|request| {
            let record = self.records.get(request);
            std::cmp::Reverse(record.map(|record| {
                let rank = match record.count() {
                    0 => ISOLATED_FROM - 1,
                    1 => 0,
                    count => count,
                };
                (rank, record.last_crash_ms())
            }))
        });
        self.fresh = fresh.split_off(fresh.len().min(most));
        self.updates(fresh)
    }

    /// Returns `true` if there are changes to announce.
    pub fn has_fresh(&self) -> bool {
        !self.fresh.is_empty()
    }

    /// Returns up to `most` records, rotating through all of them, to repair lost updates.
    pub fn sample(&mut self, most: usize) -> Vec<Update> {
        let mut requests: Vec<Fingerprint> = self.records.keys().copied().collect();
        requests.sort_unstable();
        if requests.is_empty() {
            return Vec::new();
        }
        let start = self.next_sample % requests.len();
        self.next_sample = start + most;
        requests.rotate_left(start);
        requests.truncate(most);
        self.updates(requests)
    }

    /// Takes the records to be written to the store.
    pub fn take_unrecorded(&mut self) -> Vec<Update> {
        let mut requests = std::mem::take(&mut self.unrecorded);
        requests.sort_unstable();
        requests.dedup();
        self.updates(requests)
    }

    /// Returns the quarantined requests or parts at `now_ms` of the store's clock.
    pub fn quarantined(&self, now_ms: u64) -> Vec<Update> {
        let records = self.records.iter();
        let quarantined = records.filter(|(request, _)| self.is_quarantined(**request, now_ms));
        quarantined
            .map(|(request, record)| Update {
                request: *request,
                record: record.clone(),
            })
            .collect()
    }

    /// Number of suspects at `now_ms` of the store's clock.
    pub fn suspects(&self, now_ms: u64) -> usize {
        let records = self.records.iter();
        let suspects = records.filter(|(request, record)| {
            record.count() > 0 && !self.is_quarantined(**request, now_ms)
        });
        suspects.count()
    }

    /// Returns `true` once the store's records have been read.
    pub fn is_loaded(&self) -> bool {
        self.is_loaded
    }

    /// Marks the store's records as read.
    pub fn set_loaded(&mut self) {
        self.is_loaded = true;
    }

    fn updates<Requests>(&self, requests: Requests) -> Vec<Update>
    where
        Requests: IntoIterator<Item = Fingerprint>,
    {
        let known = requests.into_iter().filter_map(|request| {
            let record = self.records.get(&request)?.clone();
            Some(Update { request, record })
        });
        known.collect()
    }

    fn note_fresh(&mut self, request: Fingerprint) {
        if !self.fresh.contains(&request) {
            self.fresh.push(request);
        }
    }

    /// Drops expired records and evicts surplus ones.
    fn shrink(&mut self, now_ms: u64) {
        self.records.retain(|_, record| !record.is_expired(now_ms));
        while self.records.len() > MAX_RECORDS {
            let least = self.records.iter().min_by_key(|(request, record)| {
                (record.count(), record.last_crash_ms(), **request)
            });
            let Some(request) = least.map(|(request, _)| *request) else {
                return;
            };
            self.records.remove(&request);
        }
        self.witnessed
            .retain(|request| self.records.contains_key(request));
    }
}
