//! What is known of the crashes under one request.
//!
//! Records of several instances are merged in any order and any number of times with the same result: crashes by union, the
//! moment of the last whole answer and the probes by maximum.

use crate::server::Incarnation;

/// Crashes from which a request is quarantined.
pub const THRESHOLD: usize = 3;
/// Most crashes that a record keeps, the newest ones.
const MOST_CRASHES: usize = 8;
/// Time for which a request is quarantined at first, in milliseconds.
const FIRST_MS: u64 = 10 * 60 * 1_000;
/// Factor by which that grows with each probe that was made in vain.
const GROWTH: u64 = 6;
/// Most probes of one request. Each may cost a server.
const MOST_PROBES: u32 = 3;
/// Time after which the crashes of a quarantined request are forgotten, in milliseconds.
const QUARANTINED_MS: u64 = 24 * 60 * 60 * 1_000;
/// The same for a request with fewer crashes.
const SUSPECT_MS: u64 = 60 * 60 * 1_000;
/// The same for one that was answered since: others must learn of it.
const CLEARED_MS: u64 = 60 * 1_000;
/// Difference up to which the clocks of instances may differ, in milliseconds.
const SKEW_MS: u64 = 60_000;

fescuewell_core::data! {
    /// A crash of a backend server that was running the request.
    #[derive(Copy, PartialOrd, Ord)]
    pub struct Crash {
        /// When it was noticed, by the store's clock in milliseconds.
        pub at_ms: u64,
        /// The start of the server that ended.
        pub server: Incarnation,
    }

    /// Crashes under one request, whole answers to it, and probes of it.
    #[derive(Default)]
    pub struct Record {
        /// Newest first, each server once.
        crashes: Vec<Crash>,
        /// Crashes up to this moment count no more: a server has answered the request since.
        cleared_ms: Option<u64>,
        /// How often it was sent though quarantined, and when last.
        probes: (u32, u64),
    }
}

impl Record {
    /// Adds a crash; returns whether that is new.
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

    /// A server has answered the request whole at this moment.
    pub fn clear(&mut self, at_ms: u64) {
        self.cleared_ms = self.cleared_ms.max(Some(at_ms));
        self.normalize();
    }

    /// Notes a probe at this moment.
    pub fn probe(&mut self, at_ms: u64) {
        self.probes = (self.probes.0.saturating_add(1), at_ms);
    }

    /// Takes what another instance knows; returns whether some of it is new.
    pub fn merge(&mut self, other: &Self) -> bool {
        let before = self.clone();
        self.cleared_ms = self.cleared_ms.max(other.cleared_ms);
        self.probes = self.probes.max(other.probes);
        for crash in other.crashes.iter().take(MOST_CRASHES) {
            self.add(*crash);
        }
        self.normalize();
        *self != before
    }

    /// Whether it names this crash.
    pub fn names(&self, server: Incarnation) -> bool {
        self.crashes.iter().any(|crash| crash.server == server)
    }

    /// Servers that crashed under it since it was answered last.
    pub fn count(&self) -> usize {
        self.crashes.len()
    }

    /// Whether it is not to be sent.
    pub fn is_quarantined(&self) -> bool {
        self.count() >= THRESHOLD
    }

    /// Whether the quarantine is over and the request may be sent once, to find out whether servers bear it now.
    pub fn may_probe(&self, now_ms: u64) -> bool {
        let (probes, probed_ms) = self.probes;
        let pause_ms = FIRST_MS * GROWTH.pow(probes.min(MOST_PROBES));
        self.is_quarantined()
            && probes < MOST_PROBES
            && now_ms >= self.last_crash_ms().max(probed_ms).saturating_add(pause_ms)
    }

    /// Whether it says nothing any more.
    pub fn is_expired(&self, now_ms: u64) -> bool {
        let kept_ms = match self.count() {
            0 => CLEARED_MS,
            THRESHOLD.. => QUARANTINED_MS,
            _ => SUSPECT_MS,
        };
        now_ms >= self.last_ms().saturating_add(kept_ms)
    }

    /// Whether it claims what has not happened yet: its writer's clock cannot be trusted.
    pub fn is_ahead(&self, now_ms: u64) -> bool {
        self.last_ms() > now_ms.saturating_add(SKEW_MS)
    }

    /// Moment of the newest crash.
    pub fn last_crash_ms(&self) -> u64 {
        self.crashes.first().map_or(0, |crash| crash.at_ms)
    }

    /// Moment of the newest of all that it tells.
    fn last_ms(&self) -> u64 {
        let cleared_ms = self.cleared_ms.unwrap_or_default();
        self.last_crash_ms().max(cleared_ms).max(self.probes.1)
    }

    fn normalize(&mut self) {
        let cleared_ms = self.cleared_ms;
        self.crashes.retain(|crash| Some(crash.at_ms) > cleared_ms);
        self.crashes.sort_by_key(|crash| std::cmp::Reverse(*crash));
        self.crashes.truncate(MOST_CRASHES);
    }
}
