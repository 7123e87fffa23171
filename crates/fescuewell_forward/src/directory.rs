//! Which addresses callers are told to use.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// What an instance tells the others of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Address for callers.
    pub address: SocketAddr,
    /// Address for the other instances, if it takes their words.
    pub peer: Option<SocketAddr>,
    /// Availability zone.
    pub zone: Arc<str>,
    /// When it wrote this, by the store's clock, in milliseconds.
    pub at_ms: u64,
}

/// Age of a member's last sign, in milliseconds, from which it is not named to callers.
pub const MEMBER_LAPSE_MS: u64 = 3_500;
/// Most addresses in one answer.
const MOST: usize = 64;

/// The instances as last read.
#[derive(Debug, Default)]
pub struct Directory {
    members: BTreeMap<Arc<str>, Member>,
    read_at_ms: u64,
}

impl Directory {
    /// Takes the list as read at `now_ms` of the store's clock.
    pub fn replace(&mut self, members: BTreeMap<Arc<str>, Member>, now_ms: u64) {
        self.members = members;
        self.read_at_ms = now_ms;
    }

    /// The instances that gave a sign lately, as of the last reading.
    ///
    /// While the store cannot be reached nobody's sign gets newer; the list then stays as it was last read.
    pub fn live(&self) -> impl Iterator<Item = (&Arc<str>, &Member)> {
        let now = self.read_at_ms;
        self.members
            .iter()
            .filter(move |(_, member)| now < member.at_ms + MEMBER_LAPSE_MS)
    }

    /// Number of live instances, at least 1.
    pub fn count(&self) -> usize {
        self.live().count().max(1)
    }

    /// Addresses for a caller, at most 64: those of live instances, and `own` if it takes callers.
    pub fn addresses(&self, own: Option<SocketAddr>, draw: u64) -> Vec<SocketAddr> {
        let mut addresses: Vec<SocketAddr> =
            self.live().map(|(_, member)| member.address).collect();
        if let Some(own) = own
            && !addresses.contains(&own)
        {
            addresses.push(own);
        }
        if addresses.len() > MOST {
            let start = draw as usize % addresses.len();
            addresses.rotate_left(start);
            addresses.truncate(MOST);
        }
        addresses
    }
}
