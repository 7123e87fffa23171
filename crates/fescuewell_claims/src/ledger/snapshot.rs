//! Checkpoints: the whole state of a slot as one row.

use std::collections::BTreeMap;
use std::sync::Arc;

use fescuewell_core::prelude::*;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use super::entry::{Status, stamp};
use super::{Closed, Entry, Ledger};
use crate::message::StoredResponse;
use crate::record::NameKey;

/// The row does not hold a checkpoint that this program reads.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("not a checkpoint: {reason}"))]
pub struct Malformed {
    /// What the decoder said.
    pub reason: Arc<str>,
}

/// A ledger in the form in which it is stored.
#[derive(Debug, Serialize, Deserialize)]
pub struct Snapshot {
    names: Vec<Arc<str>>,
    entries: Vec<Saved>,
    totals: Vec<(NameKey, NameKey, Tokens)>,
    closed: Vec<(NameKey, Closed)>,
    oldest: Vec<(NameKey, u32)>,
}

/// An entry; its time stamp is replaced by its age in seconds, since clocks of two processes share no origin.
#[derive(Debug, Serialize, Deserialize)]
struct Saved {
    request: Digest,
    entry: Entry,
    response: Option<StoredResponse>,
    stream: Option<StreamId>,
}

impl Ledger {
    /// The state as it is now.
    pub fn snapshot(&self, now: Instant) -> Snapshot {
        let stamp = stamp(now);
        let mut entries = Vec::with_capacity(self.entries.len());
        for (request, entry) in &self.entries {
            let mut entry = *entry;
            entry.touched = stamp.saturating_sub(entry.touched);
            entries.push(Saved {
                request: *request,
                entry,
                response: self.responses.get(request).cloned(),
                stream: self.streams.get(request).cloned(),
            });
        }
        // Oldest first, so that a restored ledger drops them in the same order.
        entries.sort_by_key(|saved| (u32::MAX - saved.entry.touched, saved.request));
        Snapshot {
            names: self.all_names(),
            entries,
            totals: flatten(&self.totals),
            closed: self.closed_by_age(stamp),
            oldest: self
                .oldest
                .iter()
                .map(|(&key, &value)| (key, value))
                .collect(),
        }
    }

    /// The ledger of a checkpoint.
    pub fn restore(now: Instant, snapshot: Snapshot) -> Self {
        let mut ledger = Self::default();
        for name in &snapshot.names {
            ledger.names.intern(name);
        }
        let stamp = stamp(now);
        for saved in snapshot.entries {
            let mut entry = saved.entry;
            entry.touched = stamp.saturating_sub(entry.touched);
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
            closed.since = stamp.saturating_sub(closed.since);
            ledger.closed.insert(holder, closed);
        }
        ledger.oldest = snapshot.oldest.into_iter().collect();
        ledger
    }

    fn closed_by_age(&self, stamp: u32) -> Vec<(NameKey, Closed)> {
        let mut rows = Vec::with_capacity(self.closed.len());
        for (&holder, closed) in &self.closed {
            let mut closed = *closed;
            closed.since = stamp.saturating_sub(closed.since);
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
    /// Its stored form.
    ///
    /// # Panics
    ///
    /// Never: every type in it can be encoded.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("plain data is always encoded")
    }

    /// Reads the stored form.
    ///
    /// # Errors
    ///
    /// [`Malformed`].
    pub fn decode(bytes: &[u8]) -> Result<Self, Malformed> {
        postcard::from_bytes(bytes).map_err(|error| Malformed {
            reason: error.to_string().into(),
        })
    }
}

fn flatten(totals: &BTreeMap<(NameKey, NameKey), Tokens>) -> Vec<(NameKey, NameKey, Tokens)> {
    let mut rows = Vec::with_capacity(totals.len());
    for (&(holder, group), &charged) in totals {
        rows.push((holder, group, charged));
    }
    rows
}
