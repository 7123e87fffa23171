//! Failures of model engines that instances report to each other.
//!
//! A faulty engine answers at once and therefore looks idle, so that it attracts requests of all
//! instances. Each of them would need several failures of its own to eject it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::server::{Entry, Incarnation};

/// Maximum number of failures in a batch, which must fit a packet.
pub const MAX_FAILURES: usize = 16;
/// Maximum number of instances that receive a batch.
pub const MAX_RECEIVERS: usize = 24;
/// Age from which a failure is not reported and a batch is ignored, in milliseconds of the store's
/// clock; by then the server is ejected or has recovered.
const MAX_AGE_MS: u64 = 2_000;
/// Maximum number of known senders. Those with old batches are forgotten; while there are none,
/// further senders are ignored.
pub const MAX_SENDERS: usize = 1_024;

/// A failure of a server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// Id of the server.
    pub server: Arc<str>,
    /// Incarnation of the server.
    pub incarnation: Incarnation,
}

/// Failures that one instance reports together.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Name of the sender.
    pub instance: Arc<str>,
    /// Time of sending in milliseconds of the store's clock; increases with each batch.
    pub sent_at_ms: u64,
    /// The failures.
    pub failures: Vec<Failure>,
}

/// Selects the receivers of a batch: the advertised instances, which send most requests, then
/// others. `random` decides which of the advertised ones, where there are more than
/// [`MAX_RECEIVERS`]; otherwise some would never receive a batch.
pub fn receivers(
    mut advertised: Vec<SocketAddr>,
    others: Vec<SocketAddr>,
    random: usize,
) -> Vec<SocketAddr> {
    let start = random.checked_rem(advertised.len()).unwrap_or_default();
    advertised.rotate_left(start);
    for peer in others {
        if !advertised.contains(&peer) {
            advertised.push(peer);
        }
    }
    advertised.truncate(MAX_RECEIVERS);
    advertised
}

/// Failures that this instance has to report, and the batches that it has received.
#[derive(Debug, Default)]
pub struct Exchange {
    /// Failures with the times when they were recorded.
    pending: Vec<(u64, Failure)>,
    last_sent_ms: u64,
    /// Time of sending of the newest batch of each sender.
    received: HashMap<Arc<str>, u64>,
}

impl Exchange {
    /// Adds a failure to report, recorded at `store_ms` of the store's clock. Further ones are
    /// dropped while [`MAX_FAILURES`] wait.
    pub fn push(&mut self, server: &Entry, store_ms: u64) {
        self.expire(store_ms);
        if self.pending.len() < MAX_FAILURES {
            let failure = Failure {
                server: server.id.clone(),
                incarnation: server.incarnation(),
            };
            self.pending.push((store_ms, failure));
        }
    }

    /// Drops failures that have waited for too long.
    fn expire(&mut self, store_ms: u64) {
        self.pending
            .retain(|(recorded_at_ms, _)| recorded_at_ms.abs_diff(store_ms) < MAX_AGE_MS);
    }

    /// Takes the failures to report at `store_ms` of the store's clock, or `None` if there are none.
    pub fn take(&mut self, instance: &Arc<str>, store_ms: u64) -> Option<Batch> {
        self.expire(store_ms);
        if self.pending.is_empty() {
            return None;
        }
        self.last_sent_ms = store_ms.max(self.last_sent_ms + 1);
        Some(Batch {
            instance: instance.clone(),
            sent_at_ms: self.last_sent_ms,
            failures: self.pending.drain(..).map(|(_, failure)| failure).collect(),
        })
    }

    /// Accepts a batch of another instance at `store_ms` of the store's clock. Returns its failures,
    /// or none if it is old, a duplicate, or overtaken by a later batch of its sender.
    pub fn receive(&mut self, batch: Batch, store_ms: u64) -> Vec<Failure> {
        let is_recent = |sent_at_ms: u64| sent_at_ms.abs_diff(store_ms) < MAX_AGE_MS;
        let newest = self.received.get(&batch.instance);
        let is_overtaken = newest.is_some_and(|newest| batch.sent_at_ms <= *newest);
        if is_overtaken || !is_recent(batch.sent_at_ms) {
            return Vec::new();
        }
        if newest.is_none() && self.received.len() >= MAX_SENDERS {
            self.received.retain(|_, sent_at_ms| is_recent(*sent_at_ms));
            if self.received.len() >= MAX_SENDERS {
                return Vec::new();
            }
        }
        self.received.insert(batch.instance, batch.sent_at_ms);
        let mut failures = batch.failures;
        failures.truncate(MAX_FAILURES);
        failures
    }
}
