//! Which requests are not sent any more, or only with care.
//!
//! ```text
//!            crash                      third crash
//!   Clear ---------> Suspect -----------------------------> Quarantined
//!     ^                 |                                    |       ^
//!     +--whole answer---+                          after its time    | crash, or no answer
//!     |                                                      v       |
//!     +------------------whole answer--------------------- Probed ---+
//! ```
//!
//! A suspect is sent to no more servers at a time than may still crash before it is quarantined, and from its second crash on to
//! the server with the fewest requests beside it. Requests that ran beside the one to blame are cleared by their next answer.

use std::collections::{HashMap, HashSet};
use std::num::NonZeroUsize;

use lru::LruCache;

use super::Fingerprint;
use super::record::{Crash, Record, THRESHOLD};
use crate::server::Incarnation;

/// Most requests with a record. The ones with the fewest and oldest crashes yield.
const MOST_RECORDS: usize = 512;
/// Most requests that are remembered as answered.
const MOST_ANSWERED: NonZeroUsize = NonZeroUsize::new(1_024).unwrap();
/// Time for which a whole answer speaks for a request, in milliseconds: it did not crash that server, so it is not to blame for the
/// next one either.
const ANSWERED_MS: u64 = 10_000;
/// Crashes from which a suspect is kept apart from other requests.
const ISOLATED_FROM: usize = 2;

fescuewell_core::data! {
    /// A record as instances exchange it.
    pub struct Update {
        /// The request.
        pub request: Fingerprint,
        /// What is known of it.
        pub record: Record,
    }
}

/// Whether a request may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Like any other.
    Clear,
    /// Servers crashed while they ran it. It may share them with others, or not.
    Suspect {
        /// Whether it goes to the server with the fewest requests.
        is_isolated: bool,
    },
    /// So many of its tries are under way that all of them together could crash too many servers.
    Busy,
    /// Not at all.
    Quarantined {
        /// Whether its time is over; it may be sent once if the store agrees.
        may_probe: bool,
    },
}

/// What one instance knows of requests that crash servers.
#[derive(Debug)]
pub struct Quarantine {
    records: HashMap<Fingerprint, Record>,
    running: HashMap<Fingerprint, usize>,
    answered: LruCache<Fingerprint, u64>,
    fresh: Vec<Fingerprint>,
    unrecorded: Vec<Fingerprint>,
    /// Requests with a crash that this instance has seen itself. These instances write the record; all of them would be too many.
    witnessed: HashSet<Fingerprint>,
    next_sample: usize,
    is_loaded: bool,
}

impl Default for Quarantine {
    fn default() -> Self {
        Self {
            records: HashMap::new(),
            running: HashMap::new(),
            answered: LruCache::new(MOST_ANSWERED),
            fresh: Vec::new(),
            unrecorded: Vec::new(),
            witnessed: HashSet::new(),
            next_sample: 0,
            is_loaded: false,
        }
    }
}

impl Quarantine {
    /// Whether a request may be sent at `now_ms` of the store's clock.
    pub fn verdict(&self, request: Fingerprint, now_ms: u64) -> Verdict {
        let Some(record) = self.records.get(&request) else {
            return Verdict::Clear;
        };
        let count = record.count();
        if count == 0 || record.is_expired(now_ms) {
            return Verdict::Clear;
        }
        if record.is_quarantined() {
            let may_probe = record.may_probe(now_ms);
            return Verdict::Quarantined { may_probe };
        }
        let running = self.running.get(&request).copied().unwrap_or_default();
        if count + running >= THRESHOLD {
            return Verdict::Busy;
        }
        let is_isolated = count >= ISOLATED_FROM;
        Verdict::Suspect { is_isolated }
    }

    /// The request is sent to a server.
    pub fn begin(&mut self, request: Fingerprint) {
        *self.running.entry(request).or_default() += 1;
    }

    /// It is not under way there any more. Returns whether others of its tries may wait for that.
    pub fn end(&mut self, request: Fingerprint) -> bool {
        if let Some(running) = self.running.get_mut(&request) {
            *running -= 1;
            if *running == 0 {
                self.running.remove(&request);
            }
        }
        self.records.contains_key(&request)
    }

    /// A server crashed while it was running the request. Returns how many have by now, if this one was not known.
    pub fn crash(
        &mut self,
        request: Fingerprint,
        server: Incarnation,
        now_ms: u64,
    ) -> Option<usize> {
        let answered_ms = self.answered.peek(&request);
        if answered_ms.is_some_and(|at_ms| now_ms < at_ms + ANSWERED_MS) {
            return None;
        }
        let record = self.records.entry(request).or_default();
        if record.names(server) {
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
        if count >= THRESHOLD {
            self.unrecorded.push(request);
        }
        self.shrink(now_ms);
        Some(count)
    }

    /// A server answered the request whole. Returns whether that clears it.
    pub fn answered(&mut self, request: Fingerprint, now_ms: u64) -> bool {
        self.answered.put(request, now_ms);
        let Some(record) = self.records.get_mut(&request) else {
            return false;
        };
        if record.count() == 0 {
            return false;
        }
        let was_quarantined = record.is_quarantined();
        record.clear(now_ms);
        self.note_fresh(request);
        if was_quarantined {
            self.unrecorded.push(request);
        }
        true
    }

    /// Notes that a quarantined request is sent once.
    pub fn probe(&mut self, request: Fingerprint, now_ms: u64) {
        if let Some(record) = self.records.get_mut(&request) {
            record.probe(now_ms);
            self.note_fresh(request);
        }
    }

    /// Takes what others know. Returns the requests that are quarantined by it.
    pub fn merge<Updates>(&mut self, updates: Updates, now_ms: u64) -> Vec<Fingerprint>
    where
        Updates: IntoIterator<Item = Update>,
    {
        let mut quarantined = Vec::new();
        for Update { request, record } in updates {
            if record.is_expired(now_ms) || record.is_ahead(now_ms) {
                continue;
            }
            let known = self.records.entry(request).or_default();
            let was_quarantined = known.is_quarantined();
            if !known.merge(&record) {
                continue;
            }
            if known.is_quarantined() && !was_quarantined {
                quarantined.push(request);
                if self.witnessed.contains(&request) {
                    self.unrecorded.push(request);
                }
            }
            self.note_fresh(request);
        }
        self.shrink(now_ms);
        quarantined
    }

    /// What changed since the last call, at most so many: those with the most crashes first.
    pub fn take_fresh(&mut self, most: usize) -> Vec<Update> {
        let mut fresh = std::mem::take(&mut self.fresh);
        fresh.sort_by_key(|request| {
            let record = self.records.get(request);
            std::cmp::Reverse(record.map(|record| (record.count(), record.last_crash_ms())))
        });
        self.fresh = fresh.split_off(fresh.len().min(most));
        self.updates(fresh)
    }

    /// Whether something changed that others were not told.
    pub fn has_fresh(&self) -> bool {
        !self.fresh.is_empty()
    }

    /// At most so many records, others at each call: what a message that was lost would have told.
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

    /// Requests whose record in the store is behind.
    pub fn take_unrecorded(&mut self) -> Vec<Update> {
        let mut requests = std::mem::take(&mut self.unrecorded);
        requests.sort_unstable();
        requests.dedup();
        self.updates(requests)
    }

    /// The requests that are quarantined.
    pub fn quarantined(&self) -> Vec<Update> {
        let records = self.records.iter();
        let quarantined = records.filter(|(_, record)| record.is_quarantined());
        quarantined
            .map(|(request, record)| Update {
                request: *request,
                record: record.clone(),
            })
            .collect()
    }

    /// Number of requests under which servers crashed and that are not quarantined.
    pub fn suspects(&self) -> usize {
        let records = self.records.values();
        records
            .filter(|record| record.count() > 0 && !record.is_quarantined())
            .count()
    }

    /// Whether there is anything to tell others.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Whether the quarantines that former processes have left in the store were read.
    pub fn is_loaded(&self) -> bool {
        self.is_loaded
    }

    /// Notes that they were.
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

    /// Forgets what has expired, and the least of what does not fit.
    fn shrink(&mut self, now_ms: u64) {
        self.records.retain(|_, record| !record.is_expired(now_ms));
        while self.records.len() > MOST_RECORDS {
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
