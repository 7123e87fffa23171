//! What a slot keeps of one request, in 64 bytes.

use std::hash::{BuildHasherDefault, Hasher};

use fescuewell_core::prelude::*;
use serde::{Deserialize, Serialize};

use crate::record::{NameKey, Record, Run};

/// Stands for "no backend server known".
pub(super) const NO_SERVER: NameKey = NO_NAME;

/// Stands for "no name".
const NO_NAME: NameKey = NameKey(u32::MAX);

/// Seconds added to every time stamp, so that ages restored from a checkpoint do not fall below zero
/// on a clock whose origin is the start of this process.
const STAMP_OFFSET: u32 = 90 * 24 * 3600;

/// Where a request stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum Status {
    /// Claimed, and neither billed by its owner nor released.
    Open,
    /// Given up before anything was sent.
    Released,
    /// Billed.
    Done,
}

/// What is known of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    pub(super) fingerprint: u64,
    pub(super) hold: Tokens,
    pub(super) charged: Tokens,
    /// The run that has the claim.
    pub(super) owner: Run,
    /// The run whose bill came first; meaningful when `billed`.
    pub(super) biller: Run,
    pub(super) group: NameKey,
    pub(super) server: NameKey,
    /// Seconds, see [`stamp`].
    pub(super) touched: u32,
    pub(super) status: Status,
    pub(super) repeatable: bool,
    pub(super) billed: bool,
    pub(super) complete: bool,
    pub(super) in_doubt: bool,
}

impl Entry {
    /// The entry after a [`Record::Claim`]; a bill that came before stays.
    ///
    /// # Panics
    ///
    /// When `record` is of another kind.
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
            unreachable!("called for claims only");
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
            touched: stamp(now),
            status: Status::Open,
            repeatable: *repeatable,
            billed: former.is_some(),
            complete: false,
            in_doubt: false,
        }
    }

    /// The group that pays, when it is known.
    pub(super) fn group_name(&self) -> Option<NameKey> {
        (self.group != NO_NAME).then_some(self.group)
    }

    /// The entry of a request that was billed or released without a known claim.
    pub(super) fn unclaimed(run: Run, status: Status, now: Instant) -> Self {
        Self {
            fingerprint: 0,
            hold: Tokens::ZERO,
            charged: Tokens::ZERO,
            owner: run,
            biller: Run::default(),
            group: NO_NAME,
            server: NO_SERVER,
            touched: stamp(now),
            status,
            repeatable: true,
            billed: false,
            complete: false,
            in_doubt: false,
        }
    }
}

/// Coarse time stamp, in seconds.
pub(super) fn stamp(now: Instant) -> u32 {
    (now.0 / 1_000_000) as u32 + STAMP_OFFSET
}

/// The part of a body's hash that is kept. A chance match would need the same account to reuse an id with
/// two bodies that agree in 64 bits.
pub(super) fn short(fingerprint: Digest) -> u64 {
    fingerprint.0 as u64
}

/// Hashes a digest by taking its upper half: it is already uniform, and the lower bits chose the slot.
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
