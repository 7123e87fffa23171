//! Which software version of its service began a stream.
//!
//! Servers of several versions serve side by side, and what two versions write does not fit together. A
//! stream may be resumed only at the version that began it: after a break within its response, or by
//! another attempt of its caller, often at another instance and because the first one has ended.
//!
//! An instance that forwards the first event of a stream therefore sends a [`Record`] to a few
//! [`Holders`], which all instances derive from the attempt's id and the members of the fleet. An
//! instance that is asked to resume the stream looks the record up there. An attempt without a record is
//! unknown, and its stream is not resumed.
//!
//! ```
//! use fescuewell_forward::server::Build;
//! use fescuewell_forward::stream::{Attempt, Record, Records};
//!
//! let attempt = Attempt::new("group", "9c41d07be2a35f68");
//! let build = Build::new("pool", "v1.1");
//! let mut records = Records::default();
//! records.insert(Record { attempt, build, ttl_s: 10 }, 0);
//! assert_eq!(records.get(attempt, 9_999), Some(build));
//! assert_eq!(records.get(attempt, 10_000), None);
//! ```

mod holders;
mod lookup;
mod outbox;
mod reach;
mod records;

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::server::{Build, hash_pair};

pub use holders::{COPIES, COPIES_IN_LARGE_FLEET, Holders, MAX_ASKED, Site};
pub use lookup::{Lookup, Progress, Target};
pub use outbox::Outbox;
pub use reach::Reach;
pub use records::{MAX_RECORDS, Records};

/// Maximum number of records in a batch, which must fit an Ethernet frame.
pub const MAX_BATCH: usize = 64;
/// Time after the deadline of an attempt within which its caller may resume the stream.
const RECONNECT_TIME: Duration = Duration::from_secs(10);
/// Maximum time for which a record is kept, in seconds.
const MAX_TTL_S: u16 = 600;
/// Difference in milliseconds between the clocks of sender and receiver up to which a batch is accepted.
const MAX_AGE_MS: u64 = 10_000;
/// Leading byte of a row.
const ROW_FORMAT: u8 = 1;

fescuewell_core::key! {
    /// A caller's attempt: a hash of its id and client account, so that no account can resume the stream
    /// of another one.
    pub struct Attempt([u8; 8]);
}

impl Attempt {
    /// Returns the attempt of a client account, empty without one, that has this id.
    pub fn new(account: &str, id: &str) -> Self {
        Self(hash_pair(account, id))
    }

    /// Returns a number that is equal on all instances.
    fn number(self) -> u64 {
        u64::from_le_bytes(self.0)
    }
}

/// The software version that sent the first event of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The attempt.
    pub attempt: Attempt,
    /// The version.
    pub build: Build,
    /// Time for which the stream may be resumed, in seconds.
    pub ttl_s: u16,
}

impl Record {
    /// Creates the record of an attempt whose deadline is `left` away.
    pub fn new(attempt: Attempt, build: Build, left: Duration) -> Self {
        let ttl_s = (left + RECONNECT_TIME).as_secs_f64().ceil();
        Self {
            attempt,
            build,
            ttl_s: (ttl_s as u16).min(MAX_TTL_S),
        }
    }
}

/// Records that an instance sends to another one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Time of sending in milliseconds of the store's clock.
    pub sent_at_ms: u64,
    /// Whether the receiver has to send the records to their holders, because the sender does not know
    /// all members of the fleet.
    pub distribute: bool,
    /// The records.
    pub records: Vec<Record>,
}

impl Batch {
    /// Returns `true` if the batch was sent recently at `store_ms` of the store's clock. An older one was
    /// recorded and is sent again.
    pub fn is_recent(&self, store_ms: u64) -> bool {
        self.sent_at_ms.abs_diff(store_ms) < MAX_AGE_MS
    }

    /// Encodes a row of the store.
    pub fn encode(&self) -> Vec<u8> {
        // Fails only for types that cannot be serialized at all.
        postcard::to_extend(self, vec![ROW_FORMAT]).unwrap_or_default()
    }

    /// Decodes a row. Returns `None` if another program version wrote it.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let content = bytes.strip_prefix(&[ROW_FORMAT])?;
        postcard::from_bytes(content).ok()
    }
}

/// Asks another instance for the version that began a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Query {
    /// Id of the look-up.
    pub id: u64,
    /// Whether the receiver has to ask the holders, because the sender does not know all members of the
    /// fleet.
    pub resolve: bool,
    /// The attempt that received the first event.
    pub attempt: Attempt,
}

/// Answer to a [`Query`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Id of the look-up.
    pub id: u64,
    /// The version, or `None` if the sender has no record. That does not mean that there is none.
    pub build: Option<Build>,
}
