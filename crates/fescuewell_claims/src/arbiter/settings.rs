//! Settings of an arbiter.

use std::time::Duration;

use fescuewell_core::table::MAX_ENTRIES;

use crate::ledger::Retention;

/// Settings of an arbiter.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Number of slots in the fleet.
    pub slots: u16,
    /// Minimum time between two group commits, which limits the commit rate at any request rate. A
    /// non-repeatable call waits for about half of it.
    pub commit_interval: Duration,
    /// How long records for which no call waits are collected before they are written. Each slot
    /// with records costs one row per commit, so a fleet writes at most `slots / flush_interval`
    /// rows per second plus one for each non-repeatable call.
    pub flush_interval: Duration,
    /// Interval between polls of the slot rows while a wanted slot is not held or the table is
    /// down.
    pub poll_interval: Duration,
    /// Interval between polls otherwise, so that an idle holder learns that its slot was taken.
    pub idle_poll_interval: Duration,
    /// How long finished requests are kept.
    pub retention: Retention,
    /// Minimum number of log rows before a slot's state is written as a checkpoint. The log also
    /// grows at least to the size of the previous checkpoint, so that no byte is written more than
    /// twice.
    pub checkpoint_every: u64,
    /// Size of a checkpoint row in bytes; the table limits the size of a row.
    pub chunk_bytes: usize,
    /// Maximum number of records that wait to be written. Beyond it, requests are rejected and stay
    /// with their senders.
    pub pending_limit: usize,
    /// Maximum number of requests in memory. Beyond it, claims and bills of unknown requests get
    /// the reply `Unavailable`.
    pub entry_limit: usize,
    /// Maximum number of slots in one commit. A slot adds up to two compares and two writes, and
    /// the table limits the entries of a transaction.
    pub slots_per_commit: usize,
    /// Approximate limit on the bytes of records in one commit; the table limits the size of a
    /// transaction.
    pub bytes_per_commit: usize,
    /// Wait before the first retry after a table failure. Doubles up to [`Settings::max_backoff`].
    pub initial_backoff: Duration,
    /// Maximum wait between retries.
    pub max_backoff: Duration,
    /// Maximum number of finished requests checked for expiry per second, slot and class.
    pub expire_limit: usize,
}

/// Compares and writes that one slot can add to a commit.
const ENTRIES_PER_SLOT: usize = 4;

impl Default for Settings {
    fn default() -> Self {
        Self {
            slots: 64,
            commit_interval: Duration::from_millis(50),
            flush_interval: Duration::from_millis(500),
            poll_interval: Duration::from_secs(1),
            idle_poll_interval: Duration::from_secs(15),
            retention: Retention::default(),
            checkpoint_every: 256,
            chunk_bytes: 256 * 1024,
            pending_limit: 50_000,
            entry_limit: 200_000,
            slots_per_commit: MAX_ENTRIES / ENTRIES_PER_SLOT,
            bytes_per_commit: 512 * 1024,
            initial_backoff: Duration::from_millis(100),
            max_backoff: Duration::from_secs(5),
            expire_limit: 1_000,
        }
    }
}
