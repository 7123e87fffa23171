//! Passing changes of the list of backend servers on between instances.
//!
//! Each server writes to its row about once a second, and whoever follows the rows reads all of that. In a large fleet only a
//! few *readers* in each availability zone do. They pass on what changed: who came, left, is about to leave or started again. A
//! [`Digest`] says from which version of the store to which it is complete, so that a follower knows whether it missed one, and
//! reads by itself then, or when no reader is heard for a while.
//!
//! ```text
//!            digest that follows on, fresh
//!             +-----+
//!             v     |
//!  Reading ---+-> Fed --- FED_MS without one, or a gap ---> Reading
//! ```
//!
//! Versions only rise, whoever tells them: a digest that is late, comes twice or out of order changes nothing.

use std::collections::VecDeque;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::evacuation::Order;
use crate::server::Movement;

/// Instances of an availability zone that read the list for all of it: one may fail at any time.
pub const READERS: usize = 2;
/// Instances of an availability zone up to which all of them read the list.
pub const MOST_READING: usize = 6;
/// Time without a digest after which a follower reads by itself, in milliseconds: some three digests. A leaving server must get no
/// new work two seconds after its word where the bounds are narrowest.
pub const FED_MS: u64 = 1_000;
/// Age of a digest from which it does not count, in milliseconds: it stood in a queue, and says nothing of now.
const STALE_MS: u64 = 1_000;
/// Rows in one digest: it has to fit one packet of an Ethernet, and a row takes some 70 bytes.
const MOST_ROWS: usize = 14;
/// Most orders on availability zones in one digest. A fleet has fewer zones.
const MOST_ORDERS: usize = 16;
/// Time for which a change is repeated in each digest, in milliseconds: some ten digests, of which all may be lost but one.
const REPEATED_MS: u64 = 2_500;

/// What changed in the list of backend servers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Who read it.
    pub reader: Arc<str>,
    /// All changes after this version of the store
    pub after: u64,
    /// up to this one are in it.
    pub until: u64,
    /// When the reader read them, by the store's clock, in milliseconds.
    pub at_ms: u64,
    /// Version of the configuration that the reader has in force.
    pub configuration: u64,
    /// Orders on availability zones that the reader knows.
    pub evacuations: Vec<Order>,
    /// The changes, in their order.
    pub rows: Vec<Movement>,
}

/// The changes that a reader passes on: those of the last seconds.
#[derive(Debug, Default)]
pub struct Outbox {
    after: u64,
    until: u64,
    rows: VecDeque<(u64, Movement)>,
}

impl Outbox {
    /// Begins anew at a version: what came before is not known to be complete.
    pub fn restart(&mut self, version: u64) {
        *self = Self {
            after: version,
            until: version,
            rows: VecDeque::new(),
        };
    }

    /// Adds the changes after one version up to another, read at `now_ms` of the own clock. Where they do not follow on those before,
    /// since the instance was told of some by others, all begins anew: a digest with a gap inside would hide it from who hears it.
    pub fn add(&mut self, rows: Vec<Movement>, after: u64, version: u64, now_ms: u64) {
        if after != self.until {
            self.restart(after);
        }
        self.rows.extend(rows.into_iter().map(|row| (now_ms, row)));
        self.until = self.until.max(version);
        while let Some((at_ms, row)) = self.rows.front() {
            let is_old = now_ms >= at_ms + REPEATED_MS;
            if !is_old && self.rows.len() <= MOST_ROWS {
                break;
            }
            self.after = self.after.max(row.version);
            self.rows.pop_front();
        }
    }

    /// The changes, with the time, the configuration and the orders that they are told with.
    pub fn digest(
        &self,
        reader: Arc<str>,
        at_ms: u64,
        configuration: u64,
        mut evacuations: Vec<Order>,
    ) -> Digest {
        evacuations.truncate(MOST_ORDERS);
        Digest {
            reader,
            after: self.after,
            until: self.until,
            at_ms,
            configuration,
            evacuations,
            rows: self.rows.iter().map(|(_, row)| row.clone()).collect(),
        }
    }
}

/// How far an instance knows the list, by its own readings and by digests.
#[derive(Debug, Default)]
pub struct Cursor {
    version: u64,
    fed_ms: Option<u64>,
    configuration: u64,
}

impl Cursor {
    /// Version of the store up to which the list is known.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Newest version of the configuration that a reader told.
    pub fn configuration(&self) -> u64 {
        self.configuration
    }

    /// Notes an own reading.
    pub fn read(&mut self, version: u64) {
        self.version = self.version.max(version);
    }

    /// Takes a digest at `now_ms` of the own clock, which is `store_ms` of the store's; returns whether its rows follow on what is
    /// known.
    pub fn take(&mut self, digest: &Digest, store_ms: u64, now_ms: u64) -> bool {
        let follows = digest.after <= self.version && self.version <= digest.until;
        let is_fresh = digest.at_ms.abs_diff(store_ms) < STALE_MS;
        if self.version == 0 || !follows || !is_fresh {
            return false;
        }
        self.version = digest.until;
        self.fed_ms = Some(now_ms);
        self.configuration = self.configuration.max(digest.configuration);
        true
    }

    /// Whether readers tell what changes.
    pub fn is_fed(&self, now_ms: u64) -> bool {
        self.fed_ms.is_some_and(|fed_ms| now_ms < fed_ms + FED_MS)
    }
}
