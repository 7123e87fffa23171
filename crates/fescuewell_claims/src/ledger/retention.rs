//! Expiry of finished requests, a limited number at a time.

use std::collections::VecDeque;
use std::time::Duration;

use fescuewell_core::prelude::*;

use super::Ledger;
use super::entry::{Status, timestamp_s};

/// Seconds until an expired request is checked again if its router may still send messages about
/// it.
const RECHECK_S: u32 = 30;

/// How long finished requests are kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Retention {
    /// For repeatable calls. A later repeat runs again and is billed again.
    pub repeatable: Duration,
    /// For other calls. A later repeat would run a second time.
    pub non_repeatable: Duration,
}

impl Default for Retention {
    fn default() -> Self {
        Self {
            repeatable: Duration::from_secs(600),
            non_repeatable: Duration::from_secs(24 * 3600),
        }
    }
}

/// Finished requests in the order in which they are checked for expiry; 20 bytes each.
#[derive(Debug, Clone, Default)]
pub(super) struct Queues {
    repeatable: VecDeque<Expiry>,
    non_repeatable: VecDeque<Expiry>,
}

#[derive(Debug, Clone, Copy)]
struct Expiry {
    request: [u8; 16],
    /// When the request finished; for a later check, the time of that check minus the retention.
    since: u32,
}

impl Ledger {
    /// Updates the timestamp of a finished request and schedules its expiry.
    pub(super) fn schedule_expiry(&mut self, now: Instant, request: Digest) {
        let Some(entry) = self.entries.get_mut(&request) else {
            return;
        };
        entry.touched = timestamp_s(now);
        let since = entry.touched;
        let repeatable = entry.repeatable;
        self.schedule(repeatable, request, since);
    }

    pub(super) fn schedule(&mut self, repeatable: bool, request: Digest, since: u32) {
        let request = request.0.to_le_bytes();
        let due = Expiry { request, since };
        match repeatable {
            true => self.expiry.repeatable.push_back(due),
            false => self.expiry.non_repeatable.push_back(due),
        }
    }

    /// Checks up to `limit` expired requests of each class and removes those that may be dropped.
    /// Returns the number removed.
    pub fn expire(&mut self, now: Instant, retention: &Retention, limit: usize) -> usize {
        let now = timestamp_s(now);
        let classes = [
            (true, retention.repeatable.as_secs() as u32),
            (false, retention.non_repeatable.as_secs() as u32),
        ];
        let mut dropped = 0;
        for (repeatable, keep) in classes {
            for _ in 0..limit {
                let queue = match repeatable {
                    true => &mut self.expiry.repeatable,
                    false => &mut self.expiry.non_repeatable,
                };
                let Some(&due) = queue.front() else { break };
                if due.since.saturating_add(keep) > now {
                    break;
                }
                queue.pop_front();
                dropped += usize::from(self.expire_one(repeatable, due, now, keep));
            }
        }
        dropped
    }

    fn expire_one(&mut self, repeatable: bool, due: Expiry, now: u32, keep: u32) -> bool {
        let request = Digest(u128::from_le_bytes(due.request));
        let Some(entry) = self.entries.get(&request).copied() else {
            return false;
        };
        // Claimed again, or finished again later: a newer element of the queue covers it.
        if entry.status == Status::Open || entry.touched > due.since {
            return false;
        }
        // The router may still send the bill or the release again, and would be charged again if
        // the slot had dropped the request.
        if !self.may_drop(&entry) {
            let since = now.saturating_sub(keep) + RECHECK_S;
            self.schedule(repeatable, request, since);
            return false;
        }
        self.entries.remove(&request);
        self.responses.remove(&request);
        self.streams.remove(&request);
        true
    }

    fn may_drop(&self, entry: &super::Entry) -> bool {
        let is_over = |run| self.is_settled(run) || self.is_finished(run.holder);
        is_over(entry.owner) && (!entry.billed || is_over(entry.biller))
    }
}
