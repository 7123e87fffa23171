//! Identifiers.
//!
//! Keys ([`GroupKey`] and the like) are indexes into a process's own arenas and never leave the
//! process; what is sent or stored carries the names (`Arc<str>`) themselves.

use std::fmt;
use std::sync::Arc;

crate::key! {
    /// A group that shares prepaid capacity, as an index into this process's arena.
    pub struct GroupKey(pub u32);
    /// A client account, as an index into this process's arena.
    pub struct AccountKey(pub u32);
    /// An entry instance, as an index into this process's arena.
    pub struct InstanceKey(pub u32);
    /// A backend server, as an index into this process's arena.
    pub struct ServerKey(pub u32);
    /// A kind of request, as an index into this process's arena.
    pub struct KindKey(pub u32);
    /// An availability zone, as an index into this process's arena.
    pub struct ZoneKey(pub u32);
    /// A slot of the request-identity space; the same number on every instance.
    pub struct SlotKey(pub u16);
    /// A fencing number: rises by one each time that a lease changes hands.
    pub struct Epoch(pub u64);
    /// Distinguishes one start of an instance from the next.
    pub struct Incarnation(pub u64);
    /// Version of the configuration document.
    pub struct Version(pub u64);
    /// The first 128 bits of a BLAKE3 hash.
    pub struct Digest(pub u128);
}

impl Digest {
    /// Hashes `bytes`.
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
    /// The epoch of the next holder.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl Version {
    /// The version that follows this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// The caller's name for a request, unique within its client account.
pub type RequestId = Arc<str>;

/// The name under which a backend server knows one attempt at a request.
///
/// See [`RequestKey::stream_id`] for its text form.
pub type StreamId = Arc<str>;

crate::data! {
    /// What identifies a request across the whole fleet.
    ///
    /// Request ids are scoped to their client account, so that two accounts that pick the same id
    /// never see each other's answers.
    #[derive(PartialOrd, Ord, Hash)]
    pub struct RequestKey {
        /// Name of the client account.
        pub account: Arc<str>,
        /// The caller's idempotency key, or one made for it.
        pub id: RequestId,
    }
}

impl RequestKey {
    /// Joins an account name and a request id.
    pub fn new(account: impl Into<Arc<str>>, id: impl Into<Arc<str>>) -> Self {
        Self {
            account: account.into(),
            id: id.into(),
        }
    }

    /// The slot, out of `slots`, that arbitrates this request.
    ///
    /// # Panics
    ///
    /// When `slots` is zero.
    pub fn slot(&self, slots: u16) -> SlotKey {
        SlotKey((self.digest().0 % u128::from(slots)) as u16)
    }

    /// A fixed-size name of the request; the account's length keeps `("a", "bc")` and `("ab", "c")` apart.
    pub fn digest(&self) -> Digest {
        let text = format!("{}:{}/{}", self.account.len(), self.account, self.id);
        Digest::of(text.as_bytes())
    }

    /// The id that a backend server is given: `fw.{instance}.{incarnation}.{attempt}.{digest}`.
    ///
    /// The instance and its incarnation let a sweep list what a dead router had open.
    pub fn stream_id(&self, instance: &str, incarnation: Incarnation, attempt: u32) -> StreamId {
        format!(
            "fw.{instance}.{:x}.{attempt}.{}",
            incarnation.0,
            self.digest()
        )
        .into()
    }
}
