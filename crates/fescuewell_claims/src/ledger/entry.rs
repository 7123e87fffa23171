//! The state that a slot keeps of one request, in 64 bytes.

use std::hash::{BuildHasherDefault, Hasher};

use fescuewell_core::prelude::*;
use serde::{Deserialize, Serialize};

use crate::record::{NameKey, Record, Run};

/// Marks an unknown backend server.
pub(super) const NO_SERVER: NameKey = NO_NAME;

/// Marks an unknown name.
const NO_NAME: NameKey = NameKey(u32::MAX);

/// Seconds added to every timestamp, so that ages restored from a checkpoint do not go below zero
/// on a clock that starts with the process.
const TIMESTAMP_OFFSET_S: u32 = 90 * 24 * 3600;

/// The status of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum Status {
    /// Claimed, and neither billed by its owner nor released.
    Open,
    /// Released before anything was sent.
    Released,
    /// Billed.
    Done,
}

/// The state of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    pub(super) fingerprint: u64,
    pub(super) hold: Tokens,
    pub(super) charged: Tokens,
    /// The attempt that owns the claim.
    pub(super) owner: Run,
    /// The attempt whose bill came first; only valid if `billed`.
    pub(super) biller: Run,
    pub(super) group: NameKey,
    pub(super) server: NameKey,
    /// Time of the last change in seconds, see [`timestamp_s`].
    pub(super) touched: u32,
    pub(super) status: Status,
    pub(super) repeatable: bool,
    pub(super) billed: bool,
    pub(super) complete: bool,
    pub(super) in_doubt: bool,
}

impl Entry {
    /// Creates the entry for a [`Record::Claim`]. An earlier bill is kept.
    ///
    /// # Panics
    ///
    /// If `record` is not a claim.
    pub(super) fn claimed(record: &Record, former: Option<Self>, now: Instant) -> Self {
        let Record::Claim {
            fingerprint,
            group,
            run,
            hold,
            repeatable,
            ..
        } = record
        else {
            unreachable!("called with a record that is not a claim");
        };
        let former = former.filter(|entry| entry.billed);
        Self {
            fingerprint: *fingerprint,
            hold: *hold,
            charged: former.map_or(Tokens::ZERO, |entry| entry.charged),
            owner: *run,
            biller: former.map_or(Run::default(), |entry| entry.biller),
            group: *group,
            server: NO_SERVER,
            touched: timestamp_s(now),
            status: Status::Open,
            repeatable: *repeatable,
            billed: former.is_some(),
            complete: false,
            in_doubt: false,
        }
    }

    /// The group that pays, if known.
    pub(super) fn group_name(&self) -> Option<NameKey> {
        (self.group != NO_NAME).then_some(self.group)
    }

    /// Creates the entry of a request that was billed or released without a known claim.
    pub(super) fn unclaimed(run: Run, status: Status, now: Instant) -> Self {
        Self {
            fingerprint: 0,
            hold: Tokens::ZERO,
            charged: Tokens::ZERO,
            owner: run,
            biller: Run::default(),
            group: NO_NAME,
            server: NO_SERVER,
            touched: timestamp_s(now),
            status,
            repeatable: true,
            billed: false,
            complete: false,
            in_doubt: false,
        }
    }
}

/// Converts a time to a timestamp in whole seconds.
pub(super) fn timestamp_s(now: Instant) -> u32 {
    (now.0 / 1_000_000) as u32 + TIMESTAMP_OFFSET_S
}

/// Truncates the hash of a body to 64 bits. For a false match, one account would have to reuse an
/// id with two bodies that agree in these 64 bits.
pub(super) fn truncate(fingerprint: Digest) -> u64 {
    fingerprint.0 as u64
}

/// Hashes a digest to its upper half: digests are uniformly distributed already, and the lower bits
/// select the slot.
pub(super) type DigestHasher = BuildHasherDefault<UpperHalf>;

#[derive(Debug, Clone, Copy, Default)]
pub(super) struct UpperHalf(u64);

impl Hasher for UpperHalf {
    fn finish(&self) -> u64 {
        self.0
    }
    fn write(&mut self, bytes: &[u8]) {
        for &byte in bytes {
            self.0 = self.0.rotate_left(8) ^ u64::from(byte);
        }
    }
    fn write_u128(&mut self, value: u128) {
        self.0 = (value >> 64) as u64;
    }
}
