//! Crash history of one request, or of one part of prompts.
//!
//! Merging is commutative, associative and idempotent: crashes by union, the time of the last
//! complete response and the probes by maximum.

use crate::server::Incarnation;

/// Number of crashes that quarantines a request, and a part that stands out.
pub const THRESHOLD: usize = 3;
/// Maximum number of crashes in a record; the newest are kept.
const MAX_CRASHES: usize = 8;
/// Maximum number of probes per record; each may crash a server.
const MAX_PROBES: u32 = 3;
/// Retention of a quarantined request in milliseconds.
const QUARANTINED_MS: u64 = 24 * 60 * 60 * 1_000;
/// Retention of a request with fewer crashes, in milliseconds.
const SUSPECT_MS: u64 = 60 * 60 * 1_000;
/// Retention of a cleared request in milliseconds, until all instances have received the update.
const CLEARED_MS: u64 = 60 * 1_000;
/// Maximum clock skew between instances in milliseconds.
const SKEW_MS: u64 = 60_000;

/// Times between probes of a quarantined request or part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Probation {
    /// Time before the first probe in milliseconds.
    pub first_ms: u64,
    /// Growth factor of that time with each failed probe.
    pub growth: u64,
}

/// Times between probes of a request.
pub const REQUEST_PROBATION: Probation = Probation {
    first_ms: 10 * 60 * 1_000,
    growth: 6,
};
/// Times between probes of a part. The first one follows soon, since others may share the part and be
/// sound.
pub const PART_PROBATION: Probation = Probation {
    first_ms: 3_000,
    growth: 30,
};

fescuewell_core::data! {
    /// A crash of a backend server that was running the request.
    #[derive(Copy, PartialOrd, Ord)]
    pub struct Crash {
        /// Detection time in milliseconds of the store's clock.
        pub at_ms: u64,
        /// Incarnation that crashed.
        pub server: Incarnation,
    }

    /// Crashes, complete responses and probes of one request.
    #[derive(Default)]
    pub struct Record {
        /// Newest first, one entry per incarnation.
        crashes: Vec<Crash>,
        /// Time of the last complete response; earlier crashes do not count.
        cleared_ms: Option<u64>,
        /// Number of probes and time of the last one.
        probes: (u32, u64),
    }
}

impl Record {
    /// Adds a crash. Returns `true` if the record changed.
    pub fn add(&mut self, crash: Crash) -> bool {
        let before = self.clone();
        match self
            .crashes
            .iter_mut()
            .find(|known| known.server == crash.server)
        {
            Some(known) => known.at_ms = known.at_ms.max(crash.at_ms),
            None => self.crashes.push(crash),
        }
        self.normalize();
        *self != before
    }

    /// Records a complete response.
    pub fn clear(&mut self, at_ms: u64) {
        self.cleared_ms = self.cleared_ms.max(Some(at_ms));
        self.normalize();
    }

    /// Records a probe.
    pub fn probe(&mut self, at_ms: u64) {
        self.probes = (self.probes.0.saturating_add(1), at_ms);
    }

    /// Merges another instance's record. Returns `true` if the record changed.
    pub fn merge(&mut self, other: &Self) -> bool {
        let before = self.clone();
        self.cleared_ms = self.cleared_ms.max(other.cleared_ms);
        self.probes = self.probes.max(other.probes);
        for crash in other.crashes.iter().take(MAX_CRASHES) {
            self.add(*crash);
        }
        self.normalize();
        *self != before
    }

    /// Returns `true` if the record contains a crash of this incarnation.
    pub fn contains(&self, server: Incarnation) -> bool {
        self.crashes.iter().any(|crash| crash.server == server)
    }

    /// Number of crashes since the last complete response.
    pub fn count(&self) -> usize {
        self.crashes.len()
    }

    /// Returns `true` if the time before the next probe has elapsed.
    pub fn may_probe(&self, probation: Probation, now_ms: u64) -> bool {
        let (probes, probed_ms) = self.probes;
        let pause_ms = probation.first_ms * probation.growth.pow(probes.min(MAX_PROBES));
        probes < MAX_PROBES
            && now_ms >= self.last_crash_ms().max(probed_ms).saturating_add(pause_ms)
    }

    /// Returns `true` if the record can be dropped.
    pub fn is_expired(&self, now_ms: u64) -> bool {
        let kept_ms = match self.count() {
            0 => CLEARED_MS,
            THRESHOLD.. => QUARANTINED_MS,
            _ => SUSPECT_MS,
        };
        now_ms >= self.last_ms().saturating_add(kept_ms)
    }

    /// Returns `true` if the record lies in the future, so that its writer's clock cannot be
    /// trusted.
    pub fn is_ahead(&self, now_ms: u64) -> bool {
        self.last_ms() > now_ms.saturating_add(SKEW_MS)
    }

    /// Time of the newest crash.
    pub fn last_crash_ms(&self) -> u64 {
        self.crashes.first().map_or(0, |crash| crash.at_ms)
    }

    /// Time of the newest event in the record.
    fn last_ms(&self) -> u64 {
        let cleared_ms = self.cleared_ms.unwrap_or_default();
        self.last_crash_ms().max(cleared_ms).max(self.probes.1)
    }

    fn normalize(&mut self) {
        let cleared_ms = self.cleared_ms;
        self.crashes.retain(|crash| Some(crash.at_ms) > cleared_ms);
        self.crashes.sort_by_key(|crash| std::cmp::Reverse(*crash));
        self.crashes.truncate(MAX_CRASHES);
    }
}
