//! Snapshots of the server list and the configuration that instances request from each other.
//!
//! Reading both from the store costs it bytes in proportion to the fleet's size times the size of
//! the list. The readers of an availability zone (see [`crate::relay`]) have them already.

use serde::{Deserialize, Serialize};

use crate::config::{Change, Configuration};
use crate::server::{Update, Versions};

/// Version of the encoding of all snapshots. An instance does not respond to a request for another
/// version, and the other one reads the store.
pub const FORMAT: u32 = 1;
/// Difference in milliseconds between the clocks of request and response up to which a request is
/// answered.
const MAX_AGE_MS: u64 = 10_000;

/// What a snapshot contains.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Subject {
    /// The server list.
    Servers,
    /// The configuration.
    Configuration,
    /// The changes of the configuration after a version, or all of it if they are not known.
    ConfigurationAfter(u64),
}

/// Request for a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Encoding that the requester can read.
    pub format: u32,
    /// What it requests.
    pub subject: Subject,
    /// When it was sent, in milliseconds of the store's clock.
    pub sent_at_ms: u64,
}

impl Request {
    /// Creates a request at `store_ms` of the store's clock.
    pub fn new(subject: Subject, store_ms: u64) -> Self {
        Self {
            format: FORMAT,
            subject,
            sent_at_ms: store_ms,
        }
    }

    /// Returns `true` if this program version may respond at `store_ms` of the store's clock.
    pub fn is_acceptable(&self, store_ms: u64) -> bool {
        self.format == FORMAT && self.sent_at_ms.abs_diff(store_ms) < MAX_AGE_MS
    }
}

/// The server list as of a version of the store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "WireServers", into = "WireServers")]
pub struct Servers {
    /// Version up to which it is complete.
    pub version: u64,
    /// All registered servers.
    pub rows: Vec<Update>,
}

/// Encoding of [`Servers`].
#[derive(Serialize, Deserialize)]
struct WireServers {
    version: u64,
    rows: Vec<Update>,
    #[serde(skip_serializing_if = "Versions::is_empty")]
    versions: Versions,
}

impl From<Servers> for WireServers {
    fn from(servers: Servers) -> Self {
        Self {
            version: servers.version,
            versions: Versions::collect(&servers.rows),
            rows: servers.rows,
        }
    }
}

impl From<WireServers> for Servers {
    fn from(mut wire: WireServers) -> Self {
        wire.versions.assign(&mut wire.rows);
        Self {
            version: wire.version,
            rows: wire.rows,
        }
    }
}

/// Content of a response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Snapshot {
    /// The server list.
    Servers(Servers),
    /// The configuration in force.
    Configuration(Configuration),
    /// Changes that lead to the configuration in force, in order.
    Changes(Vec<Change>),
}
