//! Heartbeats of the instances.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::quota::row::Usage;

/// Heartbeat of an instance, as written to the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Address for callers.
    pub address: SocketAddr,
    /// Address for messages of other instances, if it accepts them.
    pub peer: Option<SocketAddr>,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Traffic capacity relative to other instances, in thousandths of a core with a link to match.
    pub weight: u32,
    /// Requests of callers that it accepts per second; those refused before a server is picked are
    /// not counted.
    pub requests_per_s: u32,
    /// Its usage of the prepaid accounts.
    pub usage: Vec<Usage>,
    /// When it wrote this heartbeat, in milliseconds of the store's clock; 0 once it has left.
    pub heartbeat_at_ms: u64,
    /// Until when it is unready because callers overloaded it, in milliseconds of the store's
    /// clock; see [`crate::admission`].
    pub unready_until_ms: u64,
    /// Era of the store in which it has confirmed its grants; see [`crate::quota::era`].
    pub era: u32,
    /// Whether it knew its grants when it started.
    pub knows_grants: bool,
    /// Time until its next heartbeat, in milliseconds; 0 in rows of an earlier program version.
    pub interval_ms: u32,
}

/// Encoded defaults of the last fields, which earlier program versions do not write: `era` 0,
/// `knows_grants` true and `interval_ms` 0.
const LEGACY_DEFAULTS: [u8; 3] = [0, 1, 0];
/// Number of the last fields that the previous program version does not write.
const NEW_FIELDS: usize = 1;

/// Number of missed heartbeats after which a member counts as failed.
pub const MAX_MISSED_HEARTBEATS: u32 = 4;
/// Number of heartbeat intervals for which a member is advertised after its last heartbeat.
const MAX_ADVERTISED_INTERVALS: u64 = 2;
/// Age of its last heartbeat, in milliseconds, from which a member is no longer advertised. Longer
/// than [`super::MEMBER_TIMEOUT_MS`]: an instance without a connection to the store still serves
/// requests, with tokens that no other instance holds.
const ADVERTISED_TIMEOUT_MS: u64 = 6_000;
/// Age of its last heartbeat, in milliseconds, up to which a member is informed of changes. A few
/// datagrams a second to an instance that has ended cost next to nothing.
const INFORMED_TIMEOUT_MS: u64 = 30_000;
/// Weight, in thousandths of a core, per request a second: a request takes about 0.9 ms of
/// processor time, and half of the processor is left free.
const WEIGHT_PER_REQUEST: u32 = 2;

impl Member {
    /// Encodes the row. Earlier program versions ignore trailing fields that they do not know.
    pub fn encode(&self) -> Vec<u8> {
        // Fails only for types that cannot be serialized at all.
        postcard::to_extend(self, Vec::new()).unwrap_or_default()
    }

    /// Decodes a row, including one of an earlier program version.
    ///
    /// # Errors
    ///
    /// Returns the decoder's error.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        let newest = LEGACY_DEFAULTS.len();
        let defaults = [newest, newest - NEW_FIELDS, 0].map(|from| &LEGACY_DEFAULTS[from..]);
        let mut decoded = Err(postcard::Error::DeserializeUnexpectedEnd);
        for missing in defaults {
            decoded = postcard::from_bytes(&[bytes, missing].concat());
            if decoded.is_ok() {
                break;
            }
        }
        decoded
    }

    /// Capacity in requests per second.
    pub(super) fn capacity(&self) -> u32 {
        (self.weight / WEIGHT_PER_REQUEST).max(1)
    }

    /// Returns `true` if the heartbeat is recent at `now_ms` of the store's clock. `timeout_ms`
    /// applies to members that do not state their interval.
    pub(super) fn is_live(&self, now_ms: u64, timeout_ms: u64) -> bool {
        let own_ms = u64::from(self.interval_ms) * u64::from(MAX_MISSED_HEARTBEATS);
        let timeout_ms = match self.interval_ms {
            0 => timeout_ms,
            _ => own_ms.max(super::MEMBER_TIMEOUT_MS),
        };
        self.is_within(now_ms, timeout_ms)
    }

    /// Returns `true` if the heartbeat is recent enough for digests to be sent here.
    pub(super) fn is_informed(&self, now_ms: u64, timeout_ms: u64) -> bool {
        self.is_live(now_ms, timeout_ms) || self.is_within(now_ms, INFORMED_TIMEOUT_MS)
    }

    /// Returns `true` if the heartbeat is recent enough for callers to be sent here.
    pub(super) fn may_be_advertised(&self, now_ms: u64) -> bool {
        let own_ms = u64::from(self.interval_ms) * MAX_ADVERTISED_INTERVALS;
        self.is_within(now_ms, own_ms.max(ADVERTISED_TIMEOUT_MS))
    }

    fn is_within(&self, now_ms: u64, timeout_ms: u64) -> bool {
        self.heartbeat_at_ms > 0 && now_ms < self.heartbeat_at_ms.saturating_add(timeout_ms)
    }
}
