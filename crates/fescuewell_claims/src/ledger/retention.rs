//! Dropping finished requests after a while, a few at a time.

use std::collections::VecDeque;
use std::time::Duration;

use fescuewell_core::prelude::*;

use super::Ledger;
use super::entry::{Status, stamp};

/// How long a request whose router has not yet said that it is finished with it is kept further
/// before it is looked at again.
const RECHECK: u32 = 30;

/// How long finished requests are kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Retention {
    /// Repeatable calls: a repeat that comes later runs again and is billed again.
    pub repeatable: Duration,
    /// Other calls: a repeat that comes later would run a second time.
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

/// Finished requests in the order in which they are to be looked at; 20 bytes each.
#[derive(Debug, Clone, Default)]
pub(super) struct Queues {
    repeatable: VecDeque<Due>,
    non_repeatable: VecDeque<Due>,
}

#[derive(Debug, Clone, Copy)]
struct Due {
    request: [u8; 16],
    /// When the request was finished, or is to be looked at again less the retention.
    since: u32,
}

impl Ledger {
    /// Notes that a request is finished and will be dropped some day.
    pub(super) fn finished(&mut self, now: Instant, request: Digest) {
        let Some(entry) = self.entries.get_mut(&request) else {
            return;
        };
        entry.touched = stamp(now);
        let since = entry.touched;
        let repeatable = entry.repeatable;
        self.schedule(repeatable, request, since);
    }

    pub(super) fn schedule(&mut self, repeatable: bool, request: Digest, since: u32) {
        let request = request.0.to_le_bytes();
        let due = Due { request, since };
        match repeatable {
            true => self.expiry.repeatable.push_back(due),
            false => self.expiry.non_repeatable.push_back(due),
        }
    }

    /// Looks at up to `limit` requests of each class whose time is up and drops those that may go;
    /// returns how many were dropped.
    pub fn expire(&mut self, now: Instant, retention: &Retention, limit: usize) -> usize {
        let now = stamp(now);
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

    fn expire_one(&mut self, repeatable: bool, due: Due, now: u32, keep: u32) -> bool {
        let request = Digest(u128::from_le_bytes(due.request));
        let Some(entry) = self.entries.get(&request).copied() else {
            return false;
        };
        // Claimed again, or finished again later: a newer place in the queue stands for it.
        if entry.status == Status::Open || entry.touched > due.since {
            return false;
        }
        // The router may still send the bill or the release again, and would be charged anew if the slot had
        // forgotten the first.
        if !self.may_drop(&entry) {
            let since = now.saturating_sub(keep) + RECHECK;
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
