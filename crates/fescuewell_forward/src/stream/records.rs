//! Records that an instance holds.

use std::collections::{BTreeSet, HashMap};

use super::{Attempt, Record};
use crate::server::Build;

/// Maximum number of records that an instance holds. Further ones replace those that expire first.
pub const MAX_RECORDS: usize = 32_768;

/// What is known of an attempt.
#[derive(Debug, Clone, Copy)]
struct Known {
    /// `None` if records contradict each other.
    build: Option<Build>,
    expires_at_ms: u64,
}

/// Records until they expire, in milliseconds of the local clock.
#[derive(Debug, Default)]
pub struct Records {
    known: HashMap<Attempt, Known>,
    expiries: BTreeSet<(u64, Attempt)>,
    dropped: u64,
}

impl Records {
    /// Adds a record. An attempt whose records name several versions becomes unknown: a caller has used
    /// its id twice.
    pub fn insert(&mut self, record: Record, now_ms: u64) {
        self.expire(now_ms);
        let Record { attempt, build, .. } = record;
        let mut added = Known {
            build: Some(build),
            expires_at_ms: now_ms + u64::from(record.ttl_s) * 1_000,
        };
        if let Some(known) = self.known.get(&attempt) {
            self.expiries.remove(&(known.expires_at_ms, attempt));
            added.build = known.build.filter(|known| *known == build);
            added.expires_at_ms = added.expires_at_ms.max(known.expires_at_ms);
        } else if self.known.len() >= MAX_RECORDS
            && let Some((_, oldest)) = self.expiries.pop_first()
        {
            self.known.remove(&oldest);
            self.dropped += 1;
        }
        self.known.insert(attempt, added);
        self.expiries.insert((added.expires_at_ms, attempt));
    }

    /// Returns the version that began the stream of an attempt, if it is known.
    pub fn get(&self, attempt: Attempt, now_ms: u64) -> Option<Build> {
        let known = self.known.get(&attempt)?;
        known.build.filter(|_| now_ms < known.expires_at_ms)
    }

    /// Returns the records that expire last, at most `limit`, with the time that is left to them.
    pub fn remaining(&self, limit: usize, now_ms: u64) -> Vec<Record> {
        let newest = self.expiries.iter().rev().take(limit);
        let live = newest.filter(|(expires_at_ms, _)| now_ms < *expires_at_ms);
        let records = live.filter_map(|(expires_at_ms, attempt)| {
            let left_s = (expires_at_ms - now_ms).div_ceil(1_000);
            Some(Record {
                attempt: *attempt,
                build: self.known.get(attempt)?.build?,
                ttl_s: u16::try_from(left_s).unwrap_or(u16::MAX),
            })
        });
        records.collect()
    }

    /// Removes expired records.
    fn expire(&mut self, now_ms: u64) {
        while let Some((expires_at_ms, attempt)) = self.expiries.first().copied() {
            if now_ms < expires_at_ms {
                break;
            }
            self.expiries.pop_first();
            self.known.remove(&attempt);
        }
    }

    /// Number of records, some of which may have expired.
    pub fn count(&self) -> usize {
        self.known.len()
    }

    /// Number of records that were dropped before they expired.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}
