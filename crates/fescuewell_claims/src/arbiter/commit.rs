//! Group commit: one transaction with all records decided since the previous commit, across slots.

use std::time::Duration;

use fescuewell_core::prelude::*;
use fescuewell_core::table::{self, Outcome, Row, Step, Transaction};
use rand::Rng;

use super::checkpoint::Checkpoint;
use super::held::Held;
use super::row::{SlotRow, encode, log_key, slot_key};
use super::{Arbiter, Outstanding, Settings};
use crate::message::{Reply, Request};
use crate::note::Note;
use crate::record::{Batch, Record};

/// Number of consecutive [`table::Error::Busy`] failures after which the table is treated as down.
const BUSY_REPLIES_UNTIL_DOWN: u32 = 3;

/// Approximate size of a log record without a stored response.
const APPROX_RECORD_BYTES: usize = 64;

/// The part of a group commit that belongs to one slot.
#[derive(Debug)]
struct SlotCommit {
    slot: SlotKey,
    /// Revision of the slot's row that the commit compares.
    revision: u64,
    commit: u64,
    records: u64,
    /// Number and size of the log row.
    log: Option<(u64, u64)>,
    /// The slot's new row, if the commit changes it.
    row: Option<SlotRow>,
    is_release: bool,
}

/// A group commit in progress. It is retried unchanged until its outcome is known: the first copy
/// to arrive takes effect, and the others fail on the revision.
#[derive(Debug)]
pub(super) struct GroupCommit {
    transaction: Transaction,
    parts: Vec<SlotCommit>,
    /// Whether a reply was lost, so that the rows must be read back before a retry.
    is_unknown: bool,
}

/// The outcome of a commit for one slot, as read from the slot's rows.
enum SlotOutcome {
    Committed(u64),
    NotApplied,
    Lost,
}

impl SlotCommit {
    fn log_key(&self) -> Option<std::sync::Arc<str>> {
        self.log.map(|(number, _)| log_key(self.slot, number))
    }

    fn outcome_in(&self, rows: &[Row]) -> SlotOutcome {
        let find = |key: &str| rows.iter().find(|row| &*row.key == key);
        let log = self.log_key().and_then(|key| find(&key));
        if let Some(row) = log {
            // A row with this number from another writer means that another instance has taken the
            // slot.
            let batch = postcard::from_bytes::<Batch>(&row.value);
            let is_own = batch.is_ok_and(|batch| batch.commit == self.commit);
            return match is_own {
                true => SlotOutcome::Committed(row.revision),
                false => SlotOutcome::Lost,
            };
        }
        let Some(row) = find(&slot_key(self.slot)) else {
            return SlotOutcome::Lost;
        };
        if row.revision == self.revision {
            return SlotOutcome::NotApplied;
        }
        match postcard::from_bytes::<SlotRow>(&row.value) {
            Ok(found) if self.row.is_some() && found.commit == self.commit => {
                SlotOutcome::Committed(row.revision)
            }
            _ => SlotOutcome::Lost,
        }
    }
}

impl Arbiter {
    pub(super) fn next_commit_step(&mut self, now: Instant) -> Option<(Outstanding, Step)> {
        if self.in_flight.is_none() && now >= self.next_commit {
            self.in_flight = self.build_commit(now);
        }
        let in_flight = self.in_flight.as_ref()?;
        // The write may have taken effect although its reply was lost. Writing the records again
        // under a new number would log them twice, so the commit id in the row is checked first.
        if in_flight.is_unknown {
            let mut keys = Vec::with_capacity(2 * in_flight.parts.len());
            for part in &in_flight.parts {
                keys.push(slot_key(part.slot));
                keys.extend(part.log_key());
            }
            return Some((Outstanding::Recheck, Step::Read { keys }));
        }
        let step = Step::Commit(in_flight.transaction.clone());
        Some((Outstanding::Commit, step))
    }

    fn build_commit(&mut self, now: Instant) -> Option<GroupCommit> {
        let (slots, is_all) = self.due_slots(now);
        let last = *slots.last()?;
        let commit = self.rng.random();
        let mut transaction = Transaction::default();
        let mut parts = Vec::with_capacity(slots.len());
        let mut bytes_left = self.settings.bytes_per_commit;
        for slot in slots {
            let part = self.build_slot_commit(now, slot, commit, &mut bytes_left, &mut transaction);
            parts.extend(part);
        }
        self.cursor = last;
        if is_all && bytes_left > 0 {
            self.next_commit = now + self.settings.commit_interval;
        }
        Some(GroupCommit {
            transaction,
            parts,
            is_unknown: false,
        })
    }

    /// Returns the slots that are due, starting after the cursor, and whether the list is complete.
    fn due_slots(&self, now: Instant) -> (Vec<SlotKey>, bool) {
        let after = self.held.range(SlotKey(self.cursor.0.wrapping_add(1))..);
        let before = self.held.range(..=self.cursor);
        let mut slots = Vec::new();
        let mut seen = std::collections::BTreeSet::new();
        for (&slot, held) in after.chain(before) {
            let flush_interval = self.settings.flush_interval;
            let is_due = held.is_due(now, flush_interval) || !self.wanted.contains(&slot);
            if !is_due || !seen.insert(slot) {
                continue;
            }
            if slots.len() == self.settings.slots_per_commit {
                return (slots, false);
            }
            slots.push(slot);
        }
        (slots, true)
    }

    fn build_slot_commit(
        &mut self,
        now: Instant,
        slot: SlotKey,
        commit: u64,
        bytes_left: &mut usize,
        transaction: &mut Transaction,
    ) -> Option<SlotCommit> {
        if *bytes_left == 0 {
            return None;
        }
        let is_wanted = self.wanted.contains(&slot);
        let held = self.held.get_mut(&slot)?;
        let mut records = take_records(&mut held.pending, bytes_left);
        self.pending -= records.len();
        let is_drained = held.pending.is_empty();
        held.is_urgent &= !is_drained;
        held.pending_since = held.pending_since.filter(|_| !is_drained);
        let is_release = !is_wanted && is_drained;
        let is_checkpoint = is_drained && is_wanted && is_checkpoint_due(held, &self.settings);
        if is_checkpoint {
            records.push(held.ledger.compact(now, &self.settings.retention));
            held.decided += 1;
        }
        let count = records.len() as u64;
        let mut log = None;
        if !records.is_empty() {
            let number = held.last_row + 1;
            let value = encode(&Batch { commit, records });
            log = Some((number, value.len() as u64));
            transaction.compares.push(table::Compare {
                key: log_key(slot, number),
                revision: 0,
            });
            push_put(transaction, log_key(slot, number), value);
        }
        if is_checkpoint {
            let (number, bytes) = log.unwrap_or((held.last_row, 0));
            let log_bytes = held.log_bytes + bytes;
            let chunk = self.settings.chunk_bytes;
            let checkpoint = Checkpoint::new(now, slot, held, number, chunk, log_bytes);
            held.checkpoint = Some(checkpoint);
        }
        let row = next_row(held, commit, is_release);
        if let Some(row) = &row {
            push_put(transaction, slot_key(slot), encode(row));
        }
        let revision = held.revision;
        let key = slot_key(slot);
        transaction.compares.push(table::Compare { key, revision });
        Some(SlotCommit {
            slot,
            revision,
            commit,
            records: count,
            log,
            row,
            is_release,
        })
    }

    pub(super) fn committed(&mut self, now: Instant, outcome: Outcome) {
        match outcome {
            Outcome::Committed { revision } => {
                let Some(in_flight) = self.in_flight.take() else {
                    return;
                };
                let slots = in_flight.parts.len();
                let records = in_flight
                    .parts
                    .iter()
                    .map(|part| part.records as usize)
                    .sum();
                for part in in_flight.parts {
                    self.slot_committed(part, revision);
                }
                self.notes.push(Note::Committed { records, slots });
            }
            Outcome::Conflict { rows } => {
                self.resolve(now, &rows);
                // Without this wait, a conflict that the returned rows do not explain would be
                // retried in a busy loop.
                if self.in_flight.is_some() {
                    self.retry_at = now + self.settings.initial_backoff;
                }
            }
        }
    }

    pub(super) fn rechecked(&mut self, now: Instant, rows: &[Row]) {
        self.resolve(now, rows);
    }

    pub(super) fn mark_unknown(&mut self) {
        if let Some(in_flight) = &mut self.in_flight {
            in_flight.is_unknown = true;
        }
    }

    /// Determines the outcome of a commit for each slot from the slots' current rows.
    fn resolve(&mut self, now: Instant, rows: &[Row]) {
        let Some(mut in_flight) = self.in_flight.take() else {
            return;
        };
        let mut not_applied = Vec::new();
        let mut is_any_lost = false;
        for part in in_flight.parts {
            match part.outcome_in(rows) {
                SlotOutcome::Committed(revision) => self.slot_committed(part, revision),
                SlotOutcome::NotApplied => not_applied.push(part),
                SlotOutcome::Lost => {
                    is_any_lost = true;
                    self.drop_lost(part.slot);
                }
            }
        }
        if not_applied.is_empty() {
            return;
        }
        in_flight.parts = not_applied;
        in_flight.is_unknown = false;
        if is_any_lost {
            // The old transaction can no longer take effect, since the lost slot's compared
            // revision never returns. The other slots can therefore be committed in a new
            // transaction.
            in_flight.transaction = self.without_lost(&in_flight);
            self.next_commit = now;
        }
        self.in_flight = Some(in_flight);
    }

    /// Returns the transaction in progress without the entries of slots that were lost.
    fn without_lost(&self, in_flight: &GroupCommit) -> Transaction {
        let mut kept = Transaction::default();
        for part in &in_flight.parts {
            let slot = slot_key(part.slot);
            let log = part.log_key();
            let is_own = |key: &std::sync::Arc<str>| *key == slot || Some(key) == log.as_ref();
            let compares = in_flight.transaction.compares.iter();
            kept.compares
                .extend(compares.filter(|compare| is_own(&compare.key)).cloned());
            for write in &in_flight.transaction.writes {
                if matches!(write, table::Write::Put { key, .. } if is_own(key)) {
                    kept.writes.push(write.clone());
                }
            }
        }
        kept
    }

    fn slot_committed(&mut self, part: SlotCommit, revision: u64) {
        let Some(held) = self.held.get_mut(&part.slot) else {
            return;
        };
        if let Some((number, bytes)) = part.log {
            held.last_row = number;
            held.log_bytes += bytes;
        }
        if let Some(row) = part.row {
            held.revision = revision;
            if row.base != held.row.base
                && let Some(checkpoint) = held.checkpoint.take()
            {
                held.activate_checkpoint(part.slot, &checkpoint);
            }
            held.row = row;
        }
        self.replies.extend(held.mark_durable(part.records));
        if !part.is_release {
            return;
        }
        let slot = part.slot;
        if let Some(held) = self.held.remove(&slot) {
            // Records decided after the commit was built, if the slot was briefly wanted again.
            self.pending -= held.pending.len();
            self.entries -= held.ledger.len();
            for waiting in held.waiting {
                self.replies.push((waiting.ticket, Reply::NotHolder));
            }
        }
        self.polled_rows = None;
        self.notes.push(Note::SlotReleased { slot });
    }

    pub(super) fn table_failed(
        &mut self,
        now: Instant,
        outstanding: &Outstanding,
        error: &table::Error,
    ) {
        self.failures += 1;
        self.retry_at = now + self.retry_wait();
        let is_commit = matches!(outstanding, Outstanding::Commit);
        let is_unknown = matches!(error, table::Error::Unknown { .. });
        if is_commit && is_unknown {
            self.mark_unknown();
        }
        // A single lost reply is not an outage: the rows are read back at once, and waiting
        // requests are refused only if that fails too.
        if is_commit && is_unknown && self.failures == 1 {
            self.retry_at = now;
            return;
        }
        if matches!(error, table::Error::Busy) && self.failures < BUSY_REPLIES_UNTIL_DOWN {
            return;
        }
        if self.writable {
            let reason = error.to_string().into();
            self.notes.push(Note::TableDown { reason });
        }
        self.writable = false;
        self.next_poll = now;
        self.refuse_waiting(now);
    }

    pub(super) fn table_succeeded(&mut self) {
        self.failures = 0;
        if !self.writable {
            self.notes.push(Note::TableUp);
        }
        self.writable = true;
    }

    fn retry_wait(&mut self) -> Duration {
        let doublings = self.failures.saturating_sub(1).min(16);
        let wait = self.settings.initial_backoff.saturating_mul(1 << doublings);
        let wait = wait.min(self.settings.max_backoff);
        // Jitter, so that instances that lost the table at the same time do not retry at the same
        // time.
        wait.mul_f64(self.rng.random_range(0.5..1.0))
    }

    /// Replies `Unavailable` to all requests that wait for a commit.
    ///
    /// Claims that were about to be granted are released in the same step. Their records may
    /// already be in the table, or be written by the next commit, although the router refuses the
    /// call. An open claim would block the caller's retry until that router terminates.
    fn refuse_waiting(&mut self, now: Instant) {
        let context = crate::ledger::Context {
            now,
            terminated: &self.terminated,
            writable: false,
        };
        for held in self.held.values_mut() {
            for waiting in std::mem::take(&mut held.waiting) {
                self.replies.push((waiting.ticket, Reply::Unavailable));
                let Some((request, owner)) = waiting.new_claim else {
                    continue;
                };
                let release = Request::Release { request, owner };
                let decision = held.ledger.request(&context, &release);
                self.notes.extend(decision.note);
                self.pending += decision.records.len();
                held.push(now, decision.records);
            }
        }
    }
}

/// No new checkpoint starts while one is being written; the previous one stays active until then.
fn is_checkpoint_due(held: &Held, settings: &Settings) -> bool {
    let rows = held.last_row + 1 - held.row.base;
    held.checkpoint.is_none()
        && rows >= settings.checkpoint_every
        && held.log_bytes >= held.base_bytes
}

/// Returns the slot's row after the commit, if the commit changes it.
fn next_row(held: &Held, commit: u64, is_release: bool) -> Option<SlotRow> {
    let checkpoint = held.checkpoint.as_ref().filter(|entry| entry.is_written());
    if !is_release && checkpoint.is_none() {
        return None;
    }
    let mut row = SlotRow {
        commit,
        ..held.row.clone()
    };
    if is_release {
        row.holder = None;
    }
    if let Some(checkpoint) = checkpoint {
        row.base = checkpoint.number;
        row.base_epoch = row.epoch;
        row.chunks = checkpoint.chunks;
    }
    Some(row)
}

fn take_records(
    pending: &mut std::collections::VecDeque<Record>,
    bytes_left: &mut usize,
) -> Vec<Record> {
    let mut records = Vec::new();
    while *bytes_left > 0 {
        let Some(record) = pending.pop_front() else {
            break;
        };
        *bytes_left = bytes_left.saturating_sub(approx_bytes(&record));
        records.push(record);
    }
    records
}

fn approx_bytes(record: &Record) -> usize {
    match record {
        Record::Bill {
            response: Some(response),
            ..
        } => APPROX_RECORD_BYTES + response.body.len(),
        Record::Name(name) => name.len(),
        _ => APPROX_RECORD_BYTES,
    }
}

fn push_put(transaction: &mut Transaction, key: std::sync::Arc<str>, value: std::sync::Arc<[u8]>) {
    transaction.writes.push(table::Write::Put { key, value });
}
