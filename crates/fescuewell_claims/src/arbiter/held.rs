//! The state of a slot that this instance holds.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use fescuewell_core::prelude::*;

use super::checkpoint::Checkpoint;
use super::row::SlotRow;
use crate::ledger::{Decision, Ledger};
use crate::message::{Owner, Reply};
use crate::record::Record;

/// A reply that is sent once the slot's first `last_record` records are durable.
#[derive(Debug)]
pub(super) struct Waiting {
    pub(super) ticket: u64,
    pub(super) reply: Reply,
    pub(super) last_record: u64,
    /// The claim that this reply grants, if it is a new one.
    pub(super) new_claim: Option<(Digest, Owner)>,
}

/// A held slot: its row, its ledger and the records that are not yet durable.
#[derive(Debug)]
pub(super) struct Held {
    pub(super) row: SlotRow,
    pub(super) revision: u64,
    pub(super) ledger: Ledger,
    /// Number of the last log row.
    pub(super) last_row: u64,
    /// Records that are decided and applied but not yet part of a commit.
    pub(super) pending: VecDeque<Record>,
    /// When the first record of `pending` was decided.
    pub(super) pending_since: Option<Instant>,
    /// Whether `pending` must be committed without waiting for the flush interval.
    pub(super) is_urgent: bool,
    pub(super) waiting: VecDeque<Waiting>,
    /// Number of records decided since this instance took the slot.
    pub(super) decided: u64,
    /// Number of these records that are durable.
    pub(super) durable: u64,
    pub(super) checkpoint: Option<Checkpoint>,
    /// Sizes of the active checkpoint and of the log after it.
    pub(super) base_bytes: u64,
    pub(super) log_bytes: u64,
    /// Number of the first log row that may not have been deleted yet.
    pub(super) trim_from: u64,
    /// Rows of inactive checkpoints, to be deleted.
    pub(super) garbage: Vec<Arc<str>>,
}

impl Held {
    pub(super) fn new(row: SlotRow, revision: u64, ledger: Ledger, last_row: u64) -> Self {
        Self {
            row,
            revision,
            ledger,
            last_row,
            pending: VecDeque::new(),
            pending_since: None,
            is_urgent: false,
            waiting: VecDeque::new(),
            decided: 0,
            durable: 0,
            checkpoint: None,
            base_bytes: 0,
            log_bytes: 0,
            trim_from: last_row + 1,
            garbage: Vec::new(),
        }
    }

    pub(super) fn is_clean(&self) -> bool {
        self.decided == self.durable
    }

    /// Whether the next commit includes the slot. Urgent records are committed at once; others are
    /// collected for `flush_interval`, because each slot's log row costs a table write and the
    /// table's write rate is limited.
    pub(super) fn is_due(&self, now: Instant, flush_interval: Duration) -> bool {
        let is_ready = self.checkpoint.as_ref().is_some_and(Checkpoint::is_written);
        let is_old = self
            .pending_since
            .is_some_and(|since| now.since(since) >= flush_interval);
        is_ready || self.is_urgent || is_old
    }

    pub(super) fn push(&mut self, now: Instant, records: Vec<Record>) {
        if records.is_empty() {
            return;
        }
        self.pending_since.get_or_insert(now);
        self.decided += records.len() as u64;
        self.pending.extend(records);
    }

    pub(super) fn defer(
        &mut self,
        ticket: u64,
        decision: Decision,
        new_claim: Option<(Digest, Owner)>,
    ) {
        self.is_urgent |= new_claim.is_some();
        self.waiting.push_back(Waiting {
            ticket,
            reply: decision.reply,
            last_record: self.decided,
            new_claim,
        });
    }

    /// Marks `count` more records as durable and returns the replies that waited for them.
    pub(super) fn mark_durable(&mut self, count: u64) -> Vec<(u64, Reply)> {
        self.durable += count;
        let mut replies = Vec::new();
        while let Some(waiting) = self.waiting.front() {
            if waiting.last_record > self.durable {
                break;
            }
            let waiting = self.waiting.pop_front().expect("the queue is not empty");
            replies.push((waiting.ticket, waiting.reply));
        }
        replies
    }
}
