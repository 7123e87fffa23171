//! How an arbiter behaves.

use std::time::Duration;

use fescuewell_core::table::MOST_ENTRIES;

use crate::ledger::Retention;

/// How an arbiter behaves.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Number of slots of the whole fleet.
    pub slots: u16,
    /// Least time between two group commits: their number per second is at most its inverse, whatever the
    /// request rate. A non-repeatable call waits for about half of it.
    pub commit_interval: Duration,
    /// How long records for which no call waits are collected. Each slot with records costs a row, so that a
    /// fleet writes at most `slots / flush_interval` rows per second, and one for each non-repeatable call.
    pub flush_interval: Duration,
    /// How often the slot rows are read while a wanted slot is held by somebody else.
    pub poll_interval: Duration,
    /// How often they are read otherwise, so that an idle holder learns that its slot was taken.
    pub idle_poll_interval: Duration,
    /// How long finished requests are kept.
    pub retention: Retention,
    /// How many group commits of a slot are logged, at least, before its whole state is written as a checkpoint;
    /// the log is also let grow to the size of the last checkpoint, so that no byte is written more than twice.
    pub checkpoint_every: u64,
    /// Size of a row of a checkpoint, in bytes; the table limits the size of a row.
    pub chunk_bytes: usize,
    /// Most decided records that wait for the table; beyond it askers keep what they have.
    pub pending_limit: usize,
    /// Most requests kept in memory; beyond it claims and bills are answered `Unavailable`.
    pub entry_limit: usize,
    /// Most slots in one commit: two conditions and two writes each at most, and the table limits a transaction's entries.
    pub slots_per_commit: usize,
    /// Bytes of records in one commit, roughly; the table limits the size of a transaction.
    pub bytes_per_commit: usize,
    /// Wait after a failure of the table, before its first repetition; doubles up to [`Settings::max_backoff`].
    pub initial_backoff: Duration,
    /// Longest wait between two tries.
    pub max_backoff: Duration,
    /// Most finished requests looked at in one second for each slot and class.
    pub expire_limit: usize,
}

/// Conditions and writes of one slot in a commit.
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
            slots_per_commit: MOST_ENTRIES / ENTRIES_PER_SLOT,
            bytes_per_commit: 512 * 1024,
            initial_backoff: Duration::from_millis(100),
            max_backoff: Duration::from_secs(5),
            expire_limit: 1_000,
        }
    }
}
