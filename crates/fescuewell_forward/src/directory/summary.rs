//! Summary of a large fleet.
//!
//! Reading the heartbeats of all members costs each instance bytes in proportion to the fleet. In a
//! large fleet only the instances that serve callers or relay the server list do so. They keep one
//! summary row in the store, which names what the others need: the advertised instances and the
//! readers. Its size does not grow with the fleet.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::Member;

/// Leading byte of the row.
const FORMAT: u8 = 1;
/// Number of members from which a fleet uses a summary.
pub const MIN_MEMBERS: usize = 100;
/// Maximum number of advertised instances in a summary; a response to a caller has fewer.
pub(super) const MAX_ADVERTISED: usize = 128;
/// Age in milliseconds from which a summary is ignored; its writers have failed.
pub const TTL_MS: u64 = 12_000;

/// The members that all instances have to know.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// When the members were read, in milliseconds of the store's clock.
    pub at_ms: u64,
    /// Number of live members of the fleet.
    pub count: u32,
    /// Names of the advertised instances, in the order of their selection.
    pub advertised: Vec<Arc<str>>,
    /// Names of the readers of each availability zone.
    pub readers: BTreeMap<Arc<str>, Vec<Arc<str>>>,
    /// The heartbeats of these instances, without their usage of accounts.
    pub members: BTreeMap<Arc<str>, Member>,
}

impl Summary {
    /// Returns `true` if an instance is named.
    pub fn names(&self, name: &str) -> bool {
        self.members.contains_key(name)
    }

    /// Returns `true` if the summary is recent and the fleet is large enough to rely on it.
    pub fn is_usable(&self, store_ms: u64) -> bool {
        self.count as usize >= MIN_MEMBERS && store_ms < self.at_ms + TTL_MS
    }

    /// Encodes the row.
    pub fn encode(&self) -> Vec<u8> {
        // Fails only for types that cannot be serialized at all.
        postcard::to_extend(self, vec![FORMAT]).unwrap_or_default()
    }

    /// Decodes the row. Returns `None` if another program version wrote it.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let content = bytes.strip_prefix(&[FORMAT])?;
        postcard::from_bytes(content).ok()
    }
}
