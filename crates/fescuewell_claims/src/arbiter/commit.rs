//! The group commit: one transaction for what was decided in all slots since the last one.

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

/// After so many answers of "over the limit" in a row the table counts as down.
const BUSY_LIMIT: u32 = 3;

/// Size of a record in the log without an answer, roughly, in bytes.
const RECORD_BYTES: usize = 64;

/// What one commit holds of one slot.
#[derive(Debug)]
struct Part {
    slot: SlotKey,
    /// Revision of the slot's row that the commit requires.
    revision: u64,
    commit: u64,
    records: u64,
    /// The log row, with its number and size.
    log: Option<(u64, u64)>,
    /// The slot's new row, when it changes.
    row: Option<SlotRow>,
    is_release: bool,
}

/// A commit under way. It stays as it is until its outcome is known, and is sent again unchanged:
/// whichever copy comes first wins, and the others fail on the revision.
#[derive(Debug)]
pub(super) struct Flight {
    transaction: Transaction,
    parts: Vec<Part>,
    /// A reply was lost: read the rows back before the next try.
    is_unknown: bool,
}

/// What a slot's row says of a commit whose reply was lost.
enum Verdict {
    Committed(u64),
    NotYet,
    Lost,
}

impl Part {
    fn log_key(&self) -> Option<std::sync::Arc<str>> {
        self.log.map(|(number, _)| log_key(self.slot, number))
    }

    fn verdict(&self, rows: &[Row]) -> Verdict {
        let find = |key: &str| rows.iter().find(|row| &*row.key == key);
        let log = self.log_key().and_then(|key| find(&key));
        if let Some(row) = log {
            // Anybody else's row under this number means that the log went on without this instance.
            let batch = postcard::from_bytes::<Batch>(&row.value);
            let is_own = batch.is_ok_and(|batch| batch.commit == self.commit);
            return match is_own {
                true => Verdict::Committed(row.revision),
                false => Verdict::Lost,
            };
        }
        let Some(row) = find(&slot_key(self.slot)) else {
            return Verdict::Lost;
        };
        if row.revision == self.revision {
            return Verdict::NotYet;
        }
        match postcard::from_bytes::<SlotRow>(&row.value) {
            Ok(found) if self.row.is_some() && found.commit == self.commit => {
                Verdict::Committed(row.revision)
            }
            _ => Verdict::Lost,
        }
    }
}

impl Arbiter {
    pub(super) fn next_commit_step(&mut self, now: Instant) -> Option<(Outstanding, Step)> {
        if self.flight.is_none() && now >= self.next_commit {
            self.flight = self.build_flight(now);
        }
        let flight = self.flight.as_ref()?;
        // The reply may have been lost after the write took effect. Sending the records again under another
        // number would log them twice; the commit's own id in the row tells.
        if flight.is_unknown {
            let mut keys = Vec::with_capacity(2 * flight.parts.len());
            for part in &flight.parts {
                keys.push(slot_key(part.slot));
                keys.extend(part.log_key());
            }
            return Some((Outstanding::Recheck, Step::Read { keys }));
        }
        let step = Step::Commit(flight.transaction.clone());
        Some((Outstanding::Commit, step))
    }

    fn build_flight(&mut self, now: Instant) -> Option<Flight> {
        let (slots, is_all) = self.due_slots(now);
        let last = *slots.last()?;
        let commit = self.rng.random();
        let mut transaction = Transaction::default();
        let mut parts = Vec::with_capacity(slots.len());
        let mut room = self.settings.bytes_per_commit;
        for slot in slots {
            let part = self.build_part(now, slot, commit, &mut room, &mut transaction);
            parts.extend(part);
        }
        self.cursor = last;
        if is_all && room > 0 {
            self.next_commit = now + self.settings.commit_interval;
        }
        Some(Flight {
            transaction,
            parts,
            is_unknown: false,
        })
    }

    /// Slots that are due, from the cursor on, and whether these are all.
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

    fn build_part(
        &mut self,
        now: Instant,
        slot: SlotKey,
        commit: u64,
        room: &mut usize,
        transaction: &mut Transaction,
    ) -> Option<Part> {
        if *room == 0 {
            return None;
        }
        let is_wanted = self.wanted.contains(&slot);
        let held = self.held.get_mut(&slot)?;
        let mut records = take_records(&mut held.pending, room);
        self.pending -= records.len();
        let is_drained = held.pending.is_empty();
        held.is_urgent &= !is_drained;
        held.since = held.since.filter(|_| !is_drained);
        let is_release = !is_wanted && is_drained;
        let is_checkpoint = is_drained && is_wanted && is_checkpoint_due(held, &self.settings);
        if is_checkpoint {
            records.push(held.ledger.compact(now, &self.settings.retention));
            held.decided += 1;
        }
        let count = records.len() as u64;
        let mut log = None;
        if !records.is_empty() {
            let number = held.last + 1;
            let value = encode(&Batch { commit, records });
            log = Some((number, value.len() as u64));
            transaction.compares.push(table::Compare {
                key: log_key(slot, number),
                revision: 0,
            });
            push_put(transaction, log_key(slot, number), value);
        }
        if is_checkpoint {
            let (number, bytes) = log.unwrap_or((held.last, 0));
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
        Some(Part {
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
                let Some(flight) = self.flight.take() else {
                    return;
                };
                let slots = flight.parts.len();
                let records = flight.parts.iter().map(|part| part.records as usize).sum();
                for part in flight.parts {
                    self.part_committed(part, revision);
                }
                self.notes.push(Note::Committed { records, slots });
            }
            Outcome::Conflict { rows } => {
                self.resolve(now, &rows);
                // A conflict that its rows do not explain would otherwise be repeated without a pause.
                if self.flight.is_some() {
                    self.retry_at = now + self.settings.initial_backoff;
                }
            }
        }
    }

    pub(super) fn rechecked(&mut self, now: Instant, rows: &[Row]) {
        self.resolve(now, rows);
    }

    pub(super) fn flight_unknown(&mut self) {
        if let Some(flight) = &mut self.flight {
            flight.is_unknown = true;
        }
    }

    /// Sorts out a commit by its slots' rows as they are now.
    fn resolve(&mut self, now: Instant, rows: &[Row]) {
        let Some(mut flight) = self.flight.take() else {
            return;
        };
        let mut not_yet = Vec::new();
        let mut is_any_lost = false;
        for part in flight.parts {
            match part.verdict(rows) {
                Verdict::Committed(revision) => self.part_committed(part, revision),
                Verdict::NotYet => not_yet.push(part),
                Verdict::Lost => {
                    is_any_lost = true;
                    self.lose(part.slot);
                }
            }
        }
        if not_yet.is_empty() {
            return;
        }
        flight.parts = not_yet;
        flight.is_unknown = false;
        if is_any_lost {
            // No copy of the former transaction can take effect any more, since the lost slot's revision
            // never comes back. The other slots' parts may therefore be put into a new one.
            flight.transaction = self.without_lost(&flight);
            self.next_commit = now;
        }
        self.flight = Some(flight);
    }

    /// The flight's transaction, less the rows of slots that are no longer held.
    fn without_lost(&self, flight: &Flight) -> Transaction {
        let mut kept = Transaction::default();
        for part in &flight.parts {
            let slot = slot_key(part.slot);
            let log = part.log_key();
            let is_own = |key: &std::sync::Arc<str>| *key == slot || Some(key) == log.as_ref();
            let compares = flight.transaction.compares.iter();
            kept.compares
                .extend(compares.filter(|compare| is_own(&compare.key)).cloned());
            for write in &flight.transaction.writes {
                if matches!(write, table::Write::Put { key, .. } if is_own(key)) {
                    kept.writes.push(write.clone());
                }
            }
        }
        kept
    }

    fn part_committed(&mut self, part: Part, revision: u64) {
        let Some(held) = self.held.get_mut(&part.slot) else {
            return;
        };
        if let Some((number, bytes)) = part.log {
            held.last = number;
            held.log_bytes += bytes;
        }
        if let Some(row) = part.row {
            held.revision = revision;
            if row.base != held.row.base
                && let Some(checkpoint) = held.checkpoint.take()
            {
                held.adopt(part.slot, &checkpoint);
            }
            held.row = row;
        }
        self.replies.extend(held.commit(part.records));
        if !part.is_release {
            return;
        }
        let slot = part.slot;
        if let Some(held) = self.held.remove(&slot) {
            // Decided after the commit was built, while the slot was wanted again for a moment.
            self.pending -= held.pending.len();
            self.entries -= held.ledger.len();
            for waiting in held.waiting {
                self.replies.push((waiting.ticket, Reply::NotHolder));
            }
        }
        self.seen = None;
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
            self.flight_unknown();
        }
        // One lost reply is no outage: the read-back follows at once, and those who wait are only refused when
        // it fails too.
        if is_commit && is_unknown && self.failures == 1 {
            self.retry_at = now;
            return;
        }
        if matches!(error, table::Error::Busy) && self.failures < BUSY_LIMIT {
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

    pub(super) fn table_answered(&mut self) {
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
        // Spread out, so that instances that lost the table together do not come back together.
        wait.mul_f64(self.rng.random_range(0.5..1.0))
    }

    /// Tells everybody who waits for a commit that there is none.
    ///
    /// A claim that was to be granted is given up in the same breath: its record may already be in the
    /// table, or get there with the next commit, while its router will have refused the call. Left
    /// open, it would block the caller's own retry until that router dies.
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

/// Not while another one is being written; the former one is still in force then.
fn is_checkpoint_due(held: &Held, settings: &Settings) -> bool {
    let rows = held.last + 1 - held.row.base;
    held.checkpoint.is_none()
        && rows >= settings.checkpoint_every
        && held.log_bytes >= held.base_bytes
}

/// The slot's row after the commit, if it changes.
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

fn take_records(pending: &mut std::collections::VecDeque<Record>, room: &mut usize) -> Vec<Record> {
    let mut records = Vec::new();
    while *room > 0 {
        let Some(record) = pending.pop_front() else {
            break;
        };
        *room = room.saturating_sub(size(&record));
        records.push(record);
    }
    records
}

fn size(record: &Record) -> usize {
    match record {
        Record::Bill {
            response: Some(response),
            ..
        } => RECORD_BYTES + response.body.len(),
        Record::Name(name) => name.len(),
        _ => RECORD_BYTES,
    }
}

fn push_put(transaction: &mut Transaction, key: std::sync::Arc<str>, value: std::sync::Arc<[u8]>) {
    transaction.writes.push(table::Write::Put { key, value });
}
