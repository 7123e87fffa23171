//! Snapshots of a ledger, which checkpoints store.

use std::collections::BTreeMap;
use std::sync::Arc;

use fescuewell_core::prelude::*;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use super::entry::{Status, timestamp_s};
use super::{Closed, Entry, Ledger};
use crate::message::StoredResponse;
use crate::record::NameKey;

/// The bytes are not a valid checkpoint.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("cannot decode the checkpoint: {reason}"))]
pub struct Malformed {
    /// The decoder's error.
    pub reason: Arc<str>,
}

/// A ledger in its stored form.
#[derive(Debug, Serialize, Deserialize)]
pub struct Snapshot {
    names: Vec<Arc<str>>,
    entries: Vec<StoredEntry>,
    totals: Vec<(NameKey, NameKey, Tokens)>,
    closed: Vec<(NameKey, Closed)>,
    oldest: Vec<(NameKey, u32)>,
}

/// An entry whose timestamp is replaced by its age in seconds, since the clocks of two processes
/// have different origins.
#[derive(Debug, Serialize, Deserialize)]
struct StoredEntry {
    request: Digest,
    entry: Entry,
    response: Option<StoredResponse>,
    stream: Option<StreamId>,
}

impl Ledger {
    /// Takes a snapshot of the current state.
    pub fn snapshot(&self, now: Instant) -> Snapshot {
        let timestamp_s = timestamp_s(now);
        let mut entries = Vec::with_capacity(self.entries.len());
        for (request, entry) in &self.entries {
            let mut entry = *entry;
            entry.touched = timestamp_s.saturating_sub(entry.touched);
            entries.push(StoredEntry {
                request: *request,
                entry,
                response: self.responses.get(request).cloned(),
                stream: self.streams.get(request).cloned(),
            });
        }
        // Oldest first, so that a restored ledger expires them in the same order.
        entries.sort_by_key(|saved| (u32::MAX - saved.entry.touched, saved.request));
        Snapshot {
            names: self.all_names(),
            entries,
            totals: totals_rows(&self.totals),
            closed: self.closed_by_age(timestamp_s),
            oldest: self
                .oldest
                .iter()
                .map(|(&key, &value)| (key, value))
                .collect(),
        }
    }

    /// Restores a ledger from a snapshot.
    pub fn restore(now: Instant, snapshot: Snapshot) -> Self {
        let mut ledger = Self::default();
        for name in &snapshot.names {
            ledger.names.intern(name);
        }
        let timestamp_s = timestamp_s(now);
        for saved in snapshot.entries {
            let mut entry = saved.entry;
            entry.touched = timestamp_s.saturating_sub(entry.touched);
            ledger.entries.insert(saved.request, entry);
            if let Some(response) = saved.response {
                ledger.responses.insert(saved.request, response);
            }
            if let Some(stream) = saved.stream {
                ledger.streams.insert(saved.request, stream);
            }
            if entry.status != Status::Open {
                ledger.schedule(entry.repeatable, saved.request, entry.touched);
            }
        }
        for (holder, group, charged) in snapshot.totals {
            ledger.totals.insert((holder, group), charged);
        }
        for (holder, mut closed) in snapshot.closed {
            closed.since = timestamp_s.saturating_sub(closed.since);
            ledger.closed.insert(holder, closed);
        }
        ledger.oldest = snapshot.oldest.into_iter().collect();
        ledger
    }

    fn closed_by_age(&self, timestamp_s: u32) -> Vec<(NameKey, Closed)> {
        let mut rows = Vec::with_capacity(self.closed.len());
        for (&holder, closed) in &self.closed {
            let mut closed = *closed;
            closed.since = timestamp_s.saturating_sub(closed.since);
            rows.push((holder, closed));
        }
        rows
    }

    fn all_names(&self) -> Vec<Arc<str>> {
        let mut names = Vec::with_capacity(self.names.len());
        for index in 0..self.names.len() as u32 {
            names.push(self.names.name(NameKey(index)).clone());
        }
        names
    }
}

impl Snapshot {
    /// Encodes the snapshot.
    ///
    /// # Panics
    ///
    /// Never: every type in it can be encoded.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("postcard encodes all plain data")
    }

    /// Decodes a snapshot.
    ///
    /// # Errors
    ///
    /// [`Malformed`] if the bytes are not a valid snapshot.
    pub fn decode(bytes: &[u8]) -> Result<Self, Malformed> {
        postcard::from_bytes(bytes).map_err(|error| Malformed {
            reason: error.to_string().into(),
        })
    }
}

fn totals_rows(totals: &BTreeMap<(NameKey, NameKey), Tokens>) -> Vec<(NameKey, NameKey, Tokens)> {
    let mut rows = Vec::with_capacity(totals.len());
    for (&(holder, group), &charged) in totals {
        rows.push((holder, group, charged));
    }
    rows
}
