//! Recent changes of the server list that an instance knows, from whatever source, and the questions
//! of instances that are behind.
//!
//! Readers push digests, but a reader may lose the store while other instances still read it. An
//! instance whose list is old therefore asks any others. Each of them can answer, since it keeps the
//! changes that it has applied; the answer is a [`Digest`] and tells how current the list of the
//! answering instance is.

use std::collections::VecDeque;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{Digest, MAX_ROWS};
use crate::evacuation::Order;
use crate::server::Update;

/// Maximum number of changes kept; a release of some hundred servers within seconds.
const MAX_CHANGES: usize = 512;
/// Maximum number of digests in one answer.
const MAX_ANSWERS: usize = 4;
/// Age of the list in milliseconds from which an instance asks others, before it would read the list
/// itself.
pub const QUERY_AGE_MS: u64 = 800;
/// Number of instances that are asked at a time.
pub const ASKED: usize = 2;
/// Average bandwidth of answers in bytes per second.
const ANSWER_BYTES_S: u64 = 3_000;
/// Time in milliseconds of which the unused bandwidth may be spent at once.
const ANSWER_BURST_MS: u64 = 4_000;
/// Size of a digest without rows, with its authentication and the headers of its packet, in bytes.
const DIGEST_BYTES: u64 = 100;
/// Size of a row in bytes.
const ROW_BYTES: u64 = 75;

/// Asks for the changes of the server list after a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Query {
    /// Version up to which the asking instance knows the list.
    pub after: u64,
}

/// What an answer tells besides the changes.
#[derive(Debug, Clone)]
pub struct Head {
    /// Name of the answering instance.
    pub instance: Arc<str>,
    /// Time as of which its list is known, in milliseconds of the store's clock.
    pub as_of_ms: u64,
    /// Version of the configuration in force there.
    pub configuration: u64,
    /// Evacuation orders that it knows.
    pub evacuations: Vec<Order>,
}

/// Changes of the server list in the order of their versions, complete between two versions.
#[derive(Debug, Default)]
pub struct History {
    after: u64,
    until: u64,
    changes: VecDeque<Update>,
    answers: Allowance,
}

impl History {
    /// Starts again at a version; earlier changes are unknown or were corrected.
    pub fn restart(&mut self, version: u64) {
        self.after = version;
        self.until = version;
        self.changes.clear();
    }

    /// Adds the changes after one version up to another. Those that are known are skipped, and a gap
    /// starts the history again.
    pub fn add<Changes>(&mut self, changes: Changes, after: u64, until: u64)
    where
        Changes: IntoIterator<Item = Update>,
    {
        if after > self.until {
            self.restart(after);
        }
        let known = self.until;
        for change in changes {
            if change.version > known {
                self.changes.push_back(change);
            }
        }
        self.until = self.until.max(until);
        while self.changes.len() > MAX_CHANGES {
            if let Some(dropped) = self.changes.pop_front() {
                self.after = self.after.max(dropped.version);
            }
        }
    }

    /// Answers a query at `now_ms` of the local clock, with digests that follow each other without a
    /// gap. The first one has a gap if the asking instance lacks changes that are no longer kept.
    /// Empty if too many queries were answered lately.
    pub fn answer(&mut self, query: Query, head: &Head, now_ms: u64) -> Vec<Digest> {
        if self.until == 0 || self.answers.is_spent(now_ms) {
            return Vec::new();
        }
        let mut after = query.after.max(self.after).min(self.until);
        let news = self
            .changes
            .iter()
            .filter(|change| change.version > after)
            .take(MAX_ANSWERS * MAX_ROWS);
        let news: Vec<Update> = news.cloned().collect();
        let last = self.changes.back().map_or(0, |change| change.version);
        let is_all = news.last().is_none_or(|change| change.version == last);
        let mut digests = Vec::new();
        for rows in news.chunks(MAX_ROWS) {
            let until = rows.iter().map(|row| row.version).fold(after, u64::max);
            digests.push(head.digest(after, until, rows.to_vec()));
            after = until;
        }
        if is_all {
            match digests.last_mut() {
                Some(digest) => digest.until = self.until,
                None => digests.push(head.digest(after, self.until, Vec::new())),
            }
        }
        let rows = news.len() as u64;
        let bytes = digests.len() as u64 * DIGEST_BYTES + rows * ROW_BYTES;
        self.answers.spend(bytes, now_ms);
        digests
    }
}

impl Head {
    fn digest(&self, after: u64, until: u64, rows: Vec<Update>) -> Digest {
        Digest {
            reader: self.instance.clone(),
            after,
            until,
            at_ms: self.as_of_ms,
            configuration: self.configuration,
            evacuations: self.evacuations.clone(),
            rows,
        }
    }
}

/// Token bucket for the bandwidth of answers.
#[derive(Debug, Default)]
struct Allowance {
    /// Time up to which the bandwidth is spent, in milliseconds of the local clock.
    spent_ms: u64,
}

impl Allowance {
    fn is_spent(&self, now_ms: u64) -> bool {
        self.spent_ms > now_ms
    }

    fn spend(&mut self, bytes: u64, now_ms: u64) {
        let earliest_ms = now_ms.saturating_sub(ANSWER_BURST_MS);
        self.spent_ms = self.spent_ms.max(earliest_ms) + bytes * 1_000 / ANSWER_BYTES_S;
    }
}
