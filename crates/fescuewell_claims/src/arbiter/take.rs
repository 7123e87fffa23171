//! Taking slots and loading their checkpoints and logs.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use fescuewell_core::prelude::*;
use fescuewell_core::table::{Outcome, Range, Row, Step, Transaction};
use rand::Rng;

use super::held::Held;
use super::row::{
    SLOT_PREFIX, SlotRow, base_prefix, checkpoint_prefix, encode, log_prefix, parse_log_key,
    parse_slot_key, slot_key,
};
use super::{Arbiter, Outstanding};
use crate::ledger::{Ledger, Snapshot};
use crate::note::Note;
use crate::record::Batch;

/// Maximum number of slots taken in one transaction.
const MAX_SLOTS_PER_TAKE: usize = 32;

/// Number of log rows read in one scan.
const LOG_ROWS_PER_SCAN: u32 = 64;

/// Number of checkpoint rows read in one scan; they are larger than log rows.
const CHECKPOINT_ROWS_PER_SCAN: u32 = 8;

/// A slot that has been taken and is being loaded.
#[derive(Debug)]
pub(super) struct Loading {
    row: SlotRow,
    revision: u64,
    ledger: Ledger,
    is_checkpoint_read: bool,
    /// Rows of the active checkpoint read so far, and keys of rows of other checkpoints.
    chunks: Vec<Row>,
    garbage: Vec<Arc<str>>,
    after: Option<Arc<str>>,
    /// Number of the last log row applied.
    applied: u64,
    first_row: Option<u64>,
    base_bytes: u64,
    log_bytes: u64,
}

impl Arbiter {
    pub(super) fn next_take_step(&mut self, now: Instant) -> Option<(Outstanding, Step)> {
        if let Some(step) = self.take_step() {
            return Some(step);
        }
        if now < self.next_poll {
            return None;
        }
        let is_missing = self.wanted.iter().any(|slot| !self.held.contains_key(slot));
        let interval = match is_missing || !self.writable {
            true => self.settings.poll_interval,
            false => self.settings.idle_poll_interval,
        };
        // Jitter, so that instances that start together do not keep polling together.
        self.next_poll = now + interval.mul_f64(self.rng.random_range(0.75..1.25));
        Some((Outstanding::Poll, Step::Scan(Range::prefix(SLOT_PREFIX))))
    }

    fn take_step(&mut self) -> Option<(Outstanding, Step)> {
        let seen = self.polled_rows.take()?;
        let mut transaction = Transaction::default();
        let mut slots = Vec::new();
        // A slot whose row names this instance, but which is neither held nor wanted, is taken
        // again in order to be released: the reply to its take was lost. No other instance may take
        // a slot from a live one, so its requests would never find a holder.
        let ours = seen
            .iter()
            .filter(|(_, (row, _))| row.holder.as_ref() == Some(&self.holder));
        let candidates: BTreeSet<SlotKey> = ours
            .map(|(slot, _)| *slot)
            .chain(self.wanted.iter().copied())
            .collect();
        for slot in candidates {
            if slots.len() == MAX_SLOTS_PER_TAKE {
                break;
            }
            let known = seen.get(&slot);
            let is_ours = self.held.contains_key(&slot) || self.loading.contains_key(&slot);
            if is_ours || self.damaged.contains(&slot) || !self.is_free(known) {
                continue;
            }
            let (row, revision) = known.cloned().unwrap_or_default();
            let row = SlotRow {
                epoch: row.epoch.next(),
                holder: Some(self.holder.clone()),
                commit: self.rng.random(),
                ..row
            };
            transaction = transaction
                .with_compare(slot_key(slot), revision)
                .with_put(slot_key(slot), encode(&row));
            slots.push((slot, row));
        }
        if slots.is_empty() {
            return None;
        }
        self.polled_rows = Some(seen);
        Some((Outstanding::Take(slots), Step::Commit(transaction)))
    }

    /// Whether a slot has no holder, a lapsed one, or is this instance's own from a take whose
    /// reply was lost.
    fn is_free(&self, known: Option<&(SlotRow, u64)>) -> bool {
        let Some((row, _)) = known else {
            return true;
        };
        let Some(holder) = &row.holder else {
            return true;
        };
        *holder == self.holder || self.lapsed.contains(holder)
    }

    pub(super) fn polled(&mut self, now: Instant, rows: &[Row]) {
        let mut seen = BTreeMap::new();
        for row in rows {
            let Some(slot) = parse_slot_key(&row.key) else {
                continue;
            };
            let Ok(content) = postcard::from_bytes::<SlotRow>(&row.value) else {
                let reason: Arc<str> = "the slot's row is unreadable".into();
                self.notes.push(Note::SlotDamaged { slot, reason });
                // The slot is neither taken nor overwritten: another version may be able to read
                // the row.
                self.wanted.remove(&slot);
                continue;
            };
            seen.insert(slot, (content, row.revision));
        }
        let held: Vec<SlotKey> = self.held.keys().copied().collect();
        for slot in held {
            let is_ours = seen
                .get(&slot)
                .is_some_and(|(_, revision)| *revision == self.held[&slot].revision);
            if !is_ours && self.in_flight.is_none() {
                self.drop_lost(slot);
                self.next_poll = now;
            }
        }
        self.polled_rows = Some(seen);
    }

    pub(super) fn taken(
        &mut self,
        now: Instant,
        slots: Vec<(SlotKey, SlotRow)>,
        outcome: &Outcome,
    ) {
        let Outcome::Committed { revision } = outcome else {
            // Another instance has taken at least one of the slots.
            self.polled_rows = None;
            self.next_poll = now;
            return;
        };
        for (slot, row) in slots {
            let loading = Loading {
                applied: row.base,
                row,
                revision: *revision,
                ledger: Ledger::default(),
                is_checkpoint_read: false,
                chunks: Vec::new(),
                garbage: Vec::new(),
                after: None,
                first_row: None,
                base_bytes: 0,
                log_bytes: 0,
            };
            self.loading.insert(slot, loading);
        }
    }

    pub(super) fn next_load_step(&mut self) -> Option<(Outstanding, Step)> {
        let (&slot, loading) = self.loading.first_key_value()?;
        if !loading.is_checkpoint_read {
            let range = Range {
                prefix: base_prefix(slot),
                after: loading.after.clone(),
                limit: CHECKPOINT_ROWS_PER_SCAN,
            };
            return Some((Outstanding::LoadCheckpoint(slot), Step::Scan(range)));
        }
        let range = Range {
            prefix: log_prefix(slot),
            after: loading.after.clone(),
            limit: LOG_ROWS_PER_SCAN,
        };
        Some((Outstanding::LoadLog(slot), Step::Scan(range)))
    }

    pub(super) fn checkpoint_loaded(&mut self, now: Instant, slot: SlotKey, rows: &[Row]) {
        let Some(loading) = self.loading.get_mut(&slot) else {
            return;
        };
        let current = checkpoint_prefix(slot, loading.row.base_epoch, loading.row.base);
        for row in rows {
            loading.after = Some(row.key.clone());
            match row.key.starts_with(&*current) {
                true => loading.chunks.push(row.clone()),
                // Left behind by a holder that was replaced before its checkpoint became active.
                false => loading.garbage.push(row.key.clone()),
            }
        }
        if rows.len() == CHECKPOINT_ROWS_PER_SCAN as usize {
            return;
        }
        loading.is_checkpoint_read = true;
        loading.after = None;
        if loading.row.base == 0 {
            return;
        }
        let chunks = std::mem::take(&mut loading.chunks);
        let is_complete = chunks.len() == loading.row.chunks as usize;
        let content: Vec<u8> = chunks
            .iter()
            .flat_map(|row| row.value.iter().copied())
            .collect();
        loading.base_bytes = content.len() as u64;
        match Snapshot::decode(&content) {
            Ok(snapshot) if is_complete => loading.ledger = Ledger::restore(now, snapshot),
            _ => self.damaged(slot, "the checkpoint is incomplete or unreadable"),
        }
    }

    pub(super) fn log_loaded(&mut self, now: Instant, slot: SlotKey, rows: &[Row]) {
        let Some(loading) = self.loading.get_mut(&slot) else {
            return;
        };
        for row in rows {
            let Some(number) = parse_log_key(&row.key) else {
                continue;
            };
            loading.first_row.get_or_insert(number);
            loading.after = Some(row.key.clone());
            if number <= loading.row.base {
                continue;
            }
            // The log is read after the slot was taken, so no previous holder can append to it.
            let batch = postcard::from_bytes::<Batch>(&row.value);
            let is_next = number == loading.applied + 1;
            let (true, Ok(batch)) = (is_next, batch) else {
                self.damaged(slot, "a log row is missing or unreadable");
                return;
            };
            loading.applied = number;
            loading.log_bytes += row.value.len() as u64;
            for record in &batch.records {
                loading.ledger.apply(now, record);
            }
        }
        if rows.len() < LOG_ROWS_PER_SCAN as usize {
            self.loaded(slot);
        }
    }

    fn loaded(&mut self, slot: SlotKey) {
        let Some(loading) = self.loading.remove(&slot) else {
            return;
        };
        let entries = loading.ledger.len();
        self.entries += entries;
        let epoch = loading.row.epoch;
        let trim_from = loading.first_row.unwrap_or(loading.applied + 1);
        let held = Held {
            trim_from,
            garbage: loading.garbage,
            base_bytes: loading.base_bytes,
            log_bytes: loading.log_bytes,
            ..Held::new(
                loading.row,
                loading.revision,
                loading.ledger,
                loading.applied,
            )
        };
        self.held.insert(slot, held);
        self.notes.push(Note::SlotTaken {
            slot,
            epoch,
            entries,
        });
    }

    /// Drops a slot whose rows are invalid. Deciding requests from an incomplete log could grant a
    /// call twice.
    fn damaged(&mut self, slot: SlotKey, reason: &str) {
        self.loading.remove(&slot);
        self.wanted.remove(&slot);
        self.damaged.insert(slot);
        let reason = reason.into();
        self.notes.push(Note::SlotDamaged { slot, reason });
    }
}
