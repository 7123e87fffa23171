//! Checkpoints, written in chunks of bounded size while the slot keeps serving, and deletion of the
//! rows that they make obsolete.

use std::collections::VecDeque;
use std::sync::Arc;

use fescuewell_core::prelude::*;
use fescuewell_core::table::{self, Step, Transaction};

use super::held::Held;
use super::row::{checkpoint_prefix, log_key};
use super::{Arbiter, Outstanding};

/// Maximum number of rows deleted in one transaction.
const MAX_DELETES_PER_TRIM: usize = 64;

/// A checkpoint being written. It becomes active once the slot's row refers to it.
#[derive(Debug)]
pub(super) struct Checkpoint {
    /// Number of the last log row that it covers.
    pub(super) number: u64,
    pub(super) chunks: u32,
    pub(super) bytes: u64,
    /// Size of the log rows that it replaces.
    pub(super) log_bytes: u64,
    unwritten: VecDeque<(Arc<str>, Arc<[u8]>)>,
}

impl Checkpoint {
    /// Takes a snapshot of the ledger, which includes the log up to row `number`.
    pub(super) fn new(
        now: Instant,
        slot: SlotKey,
        held: &Held,
        number: u64,
        chunk: usize,
        log_bytes: u64,
    ) -> Self {
        let content = held.ledger.snapshot(now).encode();
        let prefix = checkpoint_prefix(slot, held.row.epoch, number);
        let mut unwritten = VecDeque::new();
        for (index, part) in content.chunks(chunk.max(1)).enumerate() {
            unwritten.push_back((format!("{prefix}{index:08x}").into(), part.into()));
        }
        Self {
            number,
            chunks: unwritten.len() as u32,
            bytes: content.len() as u64,
            log_bytes,
            unwritten,
        }
    }

    pub(super) fn is_written(&self) -> bool {
        self.unwritten.is_empty()
    }
}

impl Arbiter {
    pub(super) fn next_chunk_step(&mut self) -> Option<(Outstanding, Step)> {
        for (&slot, held) in &self.held {
            let checkpoint = held.checkpoint.as_ref();
            let Some((key, value)) = checkpoint.and_then(|entry| entry.unwritten.front()) else {
                continue;
            };
            // No compare is needed: nobody reads the chunk until the slot's row refers to it, and a
            // replaced holder cannot write that row.
            let transaction = Transaction::default().with_put(key.clone(), value.clone());
            return Some((Outstanding::Chunk(slot), Step::Commit(transaction)));
        }
        None
    }

    pub(super) fn chunk_written(&mut self, slot: SlotKey) {
        let held = self.held.get_mut(&slot);
        if let Some(checkpoint) = held.and_then(|held| held.checkpoint.as_mut()) {
            checkpoint.unwritten.pop_front();
        }
    }

    pub(super) fn next_trim_step(&mut self) -> Option<(Outstanding, Step)> {
        for (&slot, held) in &self.held {
            let mut keys: Vec<Arc<str>> = held
                .garbage
                .iter()
                .take(MAX_DELETES_PER_TRIM)
                .cloned()
                .collect();
            let garbage = keys.len();
            let mut trim_from = held.trim_from;
            while trim_from <= held.row.base && keys.len() < MAX_DELETES_PER_TRIM {
                keys.push(log_key(slot, trim_from));
                trim_from += 1;
            }
            if keys.is_empty() {
                continue;
            }
            let mut transaction = Transaction::default();
            for key in keys {
                transaction.writes.push(table::Write::Delete { key });
            }
            // No compare is needed: rows covered by the active checkpoint are obsolete whoever
            // holds the slot.
            let outstanding = Outstanding::Trim {
                slot,
                garbage,
                trim_from,
            };
            return Some((outstanding, Step::Commit(transaction)));
        }
        None
    }

    pub(super) fn trimmed(&mut self, slot: SlotKey, garbage: usize, trim_from: u64) {
        if let Some(held) = self.held.get_mut(&slot) {
            held.garbage.drain(..garbage);
            held.trim_from = held.trim_from.max(trim_from);
        }
    }
}

impl Held {
    /// Makes a checkpoint the active one and marks the rows of the previous one as obsolete.
    pub(super) fn activate_checkpoint(&mut self, slot: SlotKey, checkpoint: &Checkpoint) {
        let former = checkpoint_prefix(slot, self.row.base_epoch, self.row.base);
        for index in 0..self.row.chunks {
            self.garbage.push(format!("{former}{index:08x}").into());
        }
        self.base_bytes = checkpoint.bytes;
        self.log_bytes -= checkpoint.log_bytes;
    }
}
