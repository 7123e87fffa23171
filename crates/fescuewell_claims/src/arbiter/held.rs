//! One slot that this instance holds.

use std::collections::VecDeque;

use fescuewell_core::prelude::*;

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
    /// Decided, applied, and not yet part of a commit.
    pub(super) pending: VecDeque<Record>,
    pub(super) waiting: VecDeque<Waiting>,
    /// Records ever decided here.
    pub(super) decided: u64,
    /// Of these, how many are durable.
    pub(super) durable: u64,
    /// Number of the first log row that may still exist.
    pub(super) trim_from: u64,
}

impl Held {
    pub(super) fn new(row: SlotRow, revision: u64, ledger: Ledger, trim_from: u64) -> Self {
        Self {
            row,
            revision,
            ledger,
            pending: VecDeque::new(),
            waiting: VecDeque::new(),
            decided: 0,
            durable: 0,
            trim_from,
        }
    }

    pub(super) fn is_clean(&self) -> bool {
        self.decided == self.durable
    }

    pub(super) fn push(&mut self, records: Vec<Record>) {
        self.decided += records.len() as u64;
        self.pending.extend(records);
    }

    pub(super) fn wait(
        &mut self,
        ticket: u64,
        decision: Decision,
        new_claim: Option<(Digest, Owner)>,
    ) {
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
        let mut answers = Vec::new();
        while let Some(waiting) = self.waiting.front() {
            if waiting.upto > self.durable {
                break;
            }
            let waiting = self.waiting.pop_front().expect("there is a front");
            answers.push((waiting.ticket, waiting.reply));
        }
        answers
    }
}
