//! Relays changes of the server list between instances.
//!
//! Each backend server writes its row about once a second, and reading the list returns all of
//! these writes. In a large fleet only a few *readers* per availability zone read it; the other
//! instances are *followers*. Readers send them a [`Digest`] of the changes: servers that joined,
//! left, are draining or restarted. A digest states the range of store versions that it covers
//! completely, so that a follower detects a gap. It then requests the whole list from a reader, or
//! reads it itself, as it does without digests.
//!
//! In a fleet of hundreds of instances only two *primary* readers read the store. The other readers
//! are *relays*: they follow the primary ones and forward their digests in their zone.
//!
//! ```text
//!             fresh digest without a gap
//!               +-----+
//!               v     |
//!  Reading ---+-> Following --- gap, or DIGEST_TIMEOUT_MS without a digest ---> Reading
//! ```
//!
//! Versions only increase, whatever their source, so that a late, repeated or reordered digest
//! changes nothing that is known. A digest tells the time as of which it is complete; one that was
//! delayed is applied, and the list is then as old as that.
//!
//! An instance whose list is not brought up to date asks any other instances; see [`History`].

mod history;

use std::collections::VecDeque;
use std::sync::Arc;

pub use history::{ASKED, Head, History, QUERY_AGE_MS, Query};
use serde::{Deserialize, Serialize};

use crate::evacuation::Order;
use crate::server::{Update, Versions};

/// Number of readers per availability zone; one may fail at any time.
pub const READERS: usize = 2;
/// Number of instances in an availability zone up to which all of them are readers.
pub const MAX_ALL_READERS: usize = 6;
/// Time without a digest after which a follower reads the list itself, in milliseconds; about three
/// digests. Under the strictest bounds a server must receive no new work two seconds after it
/// reports that it is draining.
pub const DIGEST_TIMEOUT_MS: u64 = 1_000;
/// Time by which a digest may be ahead of the store's clock as estimated here, in milliseconds.
const MAX_AHEAD_MS: u64 = 1_000;
/// Age of the list from which it may lack that a server is leaving, in milliseconds.
const DOUBT_AGE_MS: u64 = 1_500;
/// Difference in milliseconds up to which two lists count as equally old.
const SAME_AGE_MS: u64 = 500;
/// Maximum number of rows in a digest, which must fit an Ethernet frame; a row takes some 70 bytes.
const MAX_ROWS: usize = 14;
/// Maximum number of changes that wait to be sent besides the digest.
const MAX_OVERFLOW_ROWS: usize = 4_096;
/// Maximum number of evacuation orders in a digest; a fleet has fewer zones.
const MAX_ORDERS: usize = 16;
/// Time for which each digest repeats a change, in milliseconds; about ten digests, all but one of
/// which may be lost.
const REPEAT_MS: u64 = 2_500;

/// Changes of the server list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "WireDigest", into = "WireDigest")]
pub struct Digest {
    /// Name of the sending reader.
    pub reader: Arc<str>,
    /// Store version after which the digest is complete.
    pub after: u64,
    /// Store version up to which the digest is complete, inclusive.
    pub until: u64,
    /// Time of the reader's last read in milliseconds of the store's clock.
    pub at_ms: u64,
    /// Version of the configuration in force at the reader.
    pub configuration: u64,
    /// Evacuation orders known to the reader.
    pub evacuations: Vec<Order>,
    /// Changes in the order of their versions.
    pub rows: Vec<Update>,
}

/// Encoding of a [`Digest`].
#[derive(Serialize, Deserialize)]
struct WireDigest {
    reader: Arc<str>,
    after: u64,
    until: u64,
    at_ms: u64,
    configuration: u64,
    evacuations: Vec<Order>,
    rows: Vec<Update>,
    #[serde(skip_serializing_if = "Versions::is_empty")]
    versions: Versions,
}

impl From<Digest> for WireDigest {
    fn from(digest: Digest) -> Self {
        Self {
            reader: digest.reader,
            after: digest.after,
            until: digest.until,
            at_ms: digest.at_ms,
            configuration: digest.configuration,
            evacuations: digest.evacuations,
            versions: Versions::collect(&digest.rows),
            rows: digest.rows,
        }
    }
}

impl From<WireDigest> for Digest {
    fn from(mut wire: WireDigest) -> Self {
        wire.versions.assign(&mut wire.rows);
        Self {
            reader: wire.reader,
            after: wire.after,
            until: wire.until,
            at_ms: wire.at_ms,
            configuration: wire.configuration,
            evacuations: wire.evacuations,
            rows: wire.rows,
        }
    }
}

/// Recent changes that a reader sends to followers.
#[derive(Debug, Default)]
pub struct Outbox {
    after: u64,
    until: u64,
    rows: VecDeque<(u64, Update)>,
    /// Changes that no longer fit the digest, and the version after which they begin.
    overflow: (u64, Vec<Update>),
}

impl Outbox {
    /// Restarts at a version; earlier changes may be incomplete.
    pub fn restart(&mut self, version: u64) {
        *self = Self {
            after: version,
            until: version,
            ..Self::default()
        };
    }

    /// Adds the changes after one version up to another, read at `now_ms` of the local clock.
    /// Restarts if they leave a gap, which occurs when this instance received changes through
    /// digests; followers could not detect a gap within a digest.
    pub fn add(&mut self, rows: Vec<Update>, after: u64, version: u64, now_ms: u64) {
        if after != self.until {
            self.restart(after);
        }
        self.rows.extend(rows.into_iter().map(|row| (now_ms, row)));
        self.until = self.until.max(version);
        while let Some((at_ms, row)) = self.rows.front() {
            let is_old = now_ms >= at_ms + REPEAT_MS;
            if !is_old && self.rows.len() <= MAX_ROWS {
                break;
            }
            let before = self.after;
            self.after = self.after.max(row.version);
            let Some((_, row)) = self.rows.pop_front() else {
                break;
            };
            if !is_old {
                self.push_overflow(before, row);
            }
        }
    }

    fn push_overflow(&mut self, after: u64, row: Update) {
        let (start, rows) = &mut self.overflow;
        if rows.len() >= MAX_OVERFLOW_ROWS {
            rows.clear();
        }
        if rows.is_empty() {
            *start = after;
        }
        rows.push(row);
    }

    /// Takes the changes that did not fit the digest, as digests that precede it without a gap. They
    /// are sent only once.
    pub fn take_overflow(
        &mut self,
        reader: &Arc<str>,
        at_ms: u64,
        configuration: u64,
    ) -> Vec<Digest> {
        let (mut after, rows) = std::mem::take(&mut self.overflow);
        let mut digests = Vec::new();
        for rows in rows.chunks(MAX_ROWS) {
            let until = rows.iter().map(|row| row.version).fold(after, u64::max);
            digests.push(Digest {
                reader: reader.clone(),
                after,
                until,
                at_ms,
                configuration,
                evacuations: Vec::new(),
                rows: rows.to_vec(),
            });
            after = until;
        }
        digests
    }

    /// Builds the next digest.
    pub fn digest(
        &self,
        reader: Arc<str>,
        at_ms: u64,
        configuration: u64,
        mut evacuations: Vec<Order>,
    ) -> Digest {
        evacuations.truncate(MAX_ORDERS);
        Digest {
            reader,
            after: self.after,
            until: self.until,
            at_ms,
            configuration,
            evacuations,
            rows: self.rows.iter().map(|(_, row)| row.clone()).collect(),
        }
    }
}

/// Why a digest is not applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rejection {
    /// No list has been read yet.
    NothingKnown,
    /// Changes before the digest are missing.
    Gap,
    /// The list is known up to a later version.
    Outdated,
    /// Its time lies in the future.
    Ahead,
}

impl Rejection {
    /// Returns the name for metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NothingKnown => "nothing_known",
            Self::Gap => "gap",
            Self::Outdated => "outdated",
            Self::Ahead => "ahead",
        }
    }
}

/// Store version up to which an instance knows the server list, and as of when, from its own reads
/// and from digests.
#[derive(Debug, Default)]
pub struct Cursor {
    version: u64,
    /// Time as of which the list is known, in milliseconds of the local clock.
    as_of_ms: Option<u64>,
    /// The same by digests alone.
    followed_ms: Option<u64>,
    /// When another instance last told how current its list is, and the newest such time, in
    /// milliseconds of the local clock.
    others: Option<(u64, u64)>,
}

impl Cursor {
    /// Store version up to which the list is known.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Age of the list in milliseconds at `now_ms` of the local clock, or `None` before the first
    /// read.
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        Some(now_ms.saturating_sub(self.as_of_ms?))
    }

    /// Advances to the version of a read that is complete as of `as_of_ms` of the local clock.
    pub fn advance(&mut self, version: u64, as_of_ms: u64) {
        self.version = self.version.max(version);
        self.as_of_ms = self.as_of_ms.max(Some(as_of_ms));
    }

    /// Checks whether the rows of a digest may be applied at `store_ms` of the store's clock: there is
    /// no gap before it.
    ///
    /// # Errors
    ///
    /// The reason if they may not.
    pub fn check(&self, digest: &Digest, store_ms: u64) -> Result<(), Rejection> {
        if self.version == 0 {
            return Err(Rejection::NothingKnown);
        }
        if digest.after > self.version {
            return Err(Rejection::Gap);
        }
        if digest.until < self.version {
            return Err(Rejection::Outdated);
        }
        match digest.at_ms < store_ms + MAX_AHEAD_MS {
            true => Ok(()),
            false => Err(Rejection::Ahead),
        }
    }

    /// Advances to the end of a digest that passed [`Cursor::check`] and is complete as of `as_of_ms`
    /// of the local clock, once its rows have been applied. Before that, a snapshot for another
    /// instance would lack them and claim to be complete.
    pub fn finish(&mut self, digest: &Digest, as_of_ms: u64) {
        self.advance(digest.until, as_of_ms);
        self.followed_ms = self.followed_ms.max(Some(as_of_ms));
    }

    /// Records at `now_ms` of the local clock that the list of another instance is known as of
    /// `as_of_ms`.
    pub fn hear(&mut self, as_of_ms: u64, now_ms: u64) {
        let newest_ms = self.others.map_or(0, |(_, newest_ms)| newest_ms);
        self.others = Some((now_ms, newest_ms.max(as_of_ms)));
    }

    /// Returns `true` if servers may have begun to leave that are listed as ready: the list is old, and
    /// other instances have a newer one or do not respond. While the store is away from all instances,
    /// no list is newer.
    pub fn is_doubtful(&self, now_ms: u64) -> bool {
        let Some(as_of_ms) = self.as_of_ms else {
            return false;
        };
        if now_ms < as_of_ms + DOUBT_AGE_MS {
            return false;
        }
        let is_newest = self.others.is_some_and(|(heard_ms, newest_ms)| {
            now_ms < heard_ms + DIGEST_TIMEOUT_MS && newest_ms < as_of_ms + SAME_AGE_MS
        });
        !is_newest
    }

    /// Returns `true` while digests keep the list up to date.
    pub fn is_following(&self, now_ms: u64) -> bool {
        self.followed_ms
            .is_some_and(|followed_ms| now_ms < followed_ms + DIGEST_TIMEOUT_MS)
    }
}
