//! Records that wait to be sent.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::{Holders, MAX_BATCH, Record};

/// Maximum number of records that wait. Further ones are not sent: the streams can be resumed only at
/// this instance.
const MAX_WAITING: usize = 4_096;

/// Records that wait to be sent to their holders.
#[derive(Debug, Default)]
pub struct Outbox {
    waiting: Vec<Record>,
    dropped: u64,
}

impl Outbox {
    /// Adds a record.
    pub fn push(&mut self, record: Record) {
        if self.waiting.len() >= MAX_WAITING {
            self.dropped += 1;
            return;
        }
        self.waiting.push(record);
    }

    /// Returns `true` if no record waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Takes all records, in batches for their holders.
    pub fn take(
        &mut self,
        holders: &Holders,
        own: Option<SocketAddr>,
    ) -> Vec<(SocketAddr, Vec<Record>)> {
        let mut targets: BTreeMap<SocketAddr, Vec<Record>> = BTreeMap::new();
        for record in self.waiting.drain(..) {
            for holder in holders.of(record.attempt, own) {
                targets.entry(holder).or_default().push(record);
            }
        }
        batches(targets)
    }

    /// Takes all records, in batches for instances that send them to their holders.
    pub fn take_for(&mut self, distributors: &[SocketAddr]) -> Vec<(SocketAddr, Vec<Record>)> {
        let records: Vec<Record> = self.waiting.drain(..).collect();
        let targets = distributors.iter();
        batches(targets.map(|target| (*target, records.clone())).collect())
    }

    /// Number of records that were not sent.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}

fn batches(targets: BTreeMap<SocketAddr, Vec<Record>>) -> Vec<(SocketAddr, Vec<Record>)> {
    let mut batches = Vec::new();
    for (target, records) in targets {
        for records in records.chunks(MAX_BATCH) {
            batches.push((target, records.to_vec()));
        }
    }
    batches
}
