//! One slot that this instance holds.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use fescuewell_core::prelude::*;

use super::checkpoint::Checkpoint;
use super::row::SlotRow;
use crate::ledger::{Decision, Ledger};
use crate::message::{Owner, Reply};
use crate::record::Record;

/// A ticket whose answer must not be given before the slot's records up to `upto` are durable.
#[derive(Debug)]
pub(super) struct Waiting {
    pub(super) ticket: u64,
    pub(super) reply: Reply,
    pub(super) upto: u64,
    /// The claim that this answer grants for the first time.
    pub(super) new_claim: Option<(Digest, Owner)>,
}

/// A slot, its row and what is not yet written.
#[derive(Debug)]
pub(super) struct Held {
    pub(super) row: SlotRow,
    pub(super) revision: u64,
    pub(super) ledger: Ledger,
    /// Number of the last log row.
    pub(super) last: u64,
    /// Decided, applied, and not yet part of a commit.
    pub(super) pending: VecDeque<Record>,
    /// When the first of `pending` was decided.
    pub(super) since: Option<Instant>,
    /// Somebody waits for a claim among `pending`.
    pub(super) is_urgent: bool,
    pub(super) waiting: VecDeque<Waiting>,
    /// Records ever decided here.
    pub(super) decided: u64,
    /// Of these, how many are durable.
    pub(super) durable: u64,
    pub(super) checkpoint: Option<Checkpoint>,
    /// Size of the checkpoint in force, and of the log since.
    pub(super) base_bytes: u64,
    pub(super) log_bytes: u64,
    /// Number of the first log row that may still exist.
    pub(super) trim_from: u64,
    /// Rows of checkpoints that are not in force.
    pub(super) garbage: Vec<Arc<str>>,
}

impl Held {
    pub(super) fn new(row: SlotRow, revision: u64, ledger: Ledger, last: u64) -> Self {
        Self {
            row,
            revision,
            ledger,
            last,
            pending: VecDeque::new(),
            since: None,
            is_urgent: false,
            waiting: VecDeque::new(),
            decided: 0,
            durable: 0,
            checkpoint: None,
            base_bytes: 0,
            log_bytes: 0,
            trim_from: last + 1,
            garbage: Vec::new(),
        }
    }

    pub(super) fn is_clean(&self) -> bool {
        self.decided == self.durable
    }

    /// Whether the slot belongs into a commit made now. Calls that wait for their claim go at once, the rest
    /// collects for a while: each slot's log row costs a write of the table, and those are scarce.
    pub(super) fn is_due(&self, now: Instant, flush_interval: Duration) -> bool {
        let is_ready = self.checkpoint.as_ref().is_some_and(Checkpoint::is_written);
        let is_old = self
            .since
            .is_some_and(|since| now.since(since) >= flush_interval);
        is_ready || self.is_urgent || is_old
    }

    pub(super) fn push(&mut self, now: Instant, records: Vec<Record>) {
        if records.is_empty() {
            return;
        }
        self.since.get_or_insert(now);
        self.decided += records.len() as u64;
        self.pending.extend(records);
    }

    pub(super) fn wait(
        &mut self,
        ticket: u64,
        decision: Decision,
        new_claim: Option<(Digest, Owner)>,
    ) {
        self.is_urgent |= new_claim.is_some();
        self.waiting.push_back(Waiting {
            ticket,
            reply: decision.reply,
            upto: self.decided,
            new_claim,
        });
    }

    /// Notes that `count` more records are durable and takes the answers that waited for them.
    pub(super) fn commit(&mut self, count: u64) -> Vec<(u64, Reply)> {
        self.durable += count;
        let mut replies = Vec::new();
        while let Some(waiting) = self.waiting.front() {
            if waiting.upto > self.durable {
                break;
            }
            let waiting = self.waiting.pop_front().expect("there is a front");
            replies.push((waiting.ticket, waiting.reply));
        }
        replies
    }
}
