//! Entries of the server list and their updates.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::Build;

/// State that a backend server reports of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// It accepts work.
    Ready,
    /// It is shutting down and must not receive new work.
    Draining,
}

/// Entry of a backend server in the server list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Unique name; may be the same after a restart.
    pub id: Arc<str>,
    /// Start time in Unix milliseconds of the server's clock, if reported. Only used to distinguish
    /// incarnations.
    pub started_at_ms: Option<u64>,
    /// Service that it belongs to.
    pub service: Arc<str>,
    /// Address it listens on.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// Remaining time for which it is cold when the entry is written, in milliseconds; see
    /// [`crate::warmup`].
    pub cold_left_ms: u64,
    /// Version of its software, if known. Sent apart from the entries; see [`super::Versions`].
    #[serde(skip)]
    pub version: Option<Arc<str>>,
    /// Whether it accepts work.
    pub state: State,
}

fescuewell_core::key! {
    /// Incarnation of a backend server: a hash of its id and start time, equal on all instances.
    pub struct Incarnation(u64);
}

impl Incarnation {
    /// Creates an incarnation from its number.
    pub fn from_number(number: u64) -> Self {
        Self(number)
    }
}

impl Entry {
    /// Returns the incarnation that this entry describes.
    pub fn incarnation(&self) -> Incarnation {
        let mut hasher = blake3::Hasher::new();
        hasher.update(self.id.as_bytes());
        hasher.update(&self.started_at_ms.unwrap_or_default().to_le_bytes());
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        Incarnation(u64::from_le_bytes(bytes))
    }

    /// Returns the software version of the service that the server runs, if it is known.
    pub fn build(&self) -> Option<Build> {
        let version = self.version.as_ref()?;
        Some(Build::new(&self.service, version))
    }

    /// Returns the version of the server's software for log lines, `-` if it is not known.
    pub fn software(&self) -> &str {
        self.version.as_deref().unwrap_or("-")
    }

    /// Returns `true` if the server is draining.
    pub fn is_draining(&self) -> bool {
        self.state == State::Draining
    }

    /// Returns `true` if another entry equals this one, ignoring the remaining cold time.
    pub(super) fn is_equivalent(&self, other: &Self) -> bool {
        let other = Self {
            cold_left_ms: self.cold_left_ms,
            ..other.clone()
        };
        *self == other
    }
}

/// Content of a server list update.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// The server's entry was written.
    Entry(Entry),
    /// The row was removed.
    Removed,
    /// The row is not a valid server entry.
    Unreadable {
        /// Decoding error.
        reason: Arc<str>,
    },
}

/// Update of one row of the server list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Id of the server.
    pub id: Arc<str>,
    /// Version of the row's last write.
    pub version: u64,
    /// Content of the row.
    pub change: Change,
}

/// Returns `true` if two entries with the same id belong to different incarnations: the start time or the
/// software version differs.
pub(super) fn is_restart(before: &Entry, after: &Entry) -> bool {
    let has_other_version =
        matches!((&before.version, &after.version), (Some(before), Some(after)) if before != after);
    has_other_version
        || matches!((before.started_at_ms, after.started_at_ms), (Some(before), Some(after)) if before != after)
}
