//! Identifiers.
//!
//! Keys such as [`GroupKey`] are indexes into arenas of the local process. They are never sent or stored;
//! messages and stored data contain the names (`Arc<str>`) instead.

use std::fmt;
use std::sync::Arc;

crate::key! {
    /// Index of a group that shares prepaid capacity in this process's arena.
    pub struct GroupKey(pub u32);
    /// Index of a client account in this process's arena.
    pub struct AccountKey(pub u32);
    /// Index of an entry instance in this process's arena.
    pub struct InstanceKey(pub u32);
    /// Index of a backend server in this process's arena.
    pub struct ServerKey(pub u32);
    /// Index of a kind of request in this process's arena.
    pub struct KindKey(pub u32);
    /// Index of an availability zone in this process's arena.
    pub struct ZoneKey(pub u32);
    /// Number of a slot, i.e. a partition of the request ids. It is the same on all instances.
    pub struct SlotKey(pub u16);
    /// Fencing number, incremented each time a lease changes its holder.
    pub struct Epoch(pub u64);
    /// Distinguishes successive starts of an instance.
    pub struct Incarnation(pub u64);
    /// Version of the configuration document.
    pub struct Version(pub u64);
    /// The first 128 bits of a BLAKE3 hash.
    pub struct Digest(pub u128);
}

impl Digest {
    /// Computes the hash of `bytes`.
    pub fn of(bytes: &[u8]) -> Self {
        let hash = blake3::hash(bytes);
        let mut first = [0u8; 16];
        first.copy_from_slice(&hash.as_bytes()[..16]);
        Self(u128::from_le_bytes(first))
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl Epoch {
    /// Returns the epoch of the next holder.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl Version {
    /// Returns the next version.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// The caller's id of a request, unique within its client account.
pub type RequestId = Arc<str>;

/// The id of one attempt of a request on a backend server.
///
/// See [`RequestKey::stream_id`] for the format.
pub type StreamId = Arc<str>;

crate::data! {
    /// Identifies a request across the whole fleet.
    ///
    /// Request ids are scoped to their client account, so two accounts that choose the same id never receive
    /// each other's responses.
    #[derive(PartialOrd, Ord, Hash)]
    pub struct RequestKey {
        /// Name of the client account.
        pub account: Arc<str>,
        /// Idempotency key of the caller, or a generated one.
        pub id: RequestId,
    }
}

impl RequestKey {
    /// Creates a key from an account name and a request id.
    pub fn new(account: impl Into<Arc<str>>, id: impl Into<Arc<str>>) -> Self {
        Self {
            account: account.into(),
            id: id.into(),
        }
    }

    /// Returns the slot, out of `slots`, that arbitrates this request.
    ///
    /// # Panics
    ///
    /// Panics if `slots` is zero.
    pub fn slot(&self, slots: u16) -> SlotKey {
        SlotKey((self.digest().0 % u128::from(slots)) as u16)
    }

    /// Returns a fixed-size hash of the key. Hashing the account's length distinguishes `("a", "bc")` from
    /// `("ab", "c")`.
    pub fn digest(&self) -> Digest {
        let text = format!("{}:{}/{}", self.account.len(), self.account, self.id);
        Digest::of(text.as_bytes())
    }

    /// Returns the id sent to a backend server: `fw.{instance}.{incarnation}.{attempt}.{digest}`.
    ///
    /// A sweep uses the instance and its incarnation to list the open streams of a dead router.
    pub fn stream_id(&self, instance: &str, incarnation: Incarnation, attempt: u32) -> StreamId {
        format!(
            "fw.{instance}.{:x}.{attempt}.{}",
            incarnation.0,
            self.digest()
        )
        .into()
    }
}
