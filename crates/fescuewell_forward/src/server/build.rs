//! Software versions of backend servers.

use std::fmt;

fescuewell_core::key! {
    /// A software version of a service: a hash of both names, equal on all instances.
    ///
    /// Versions have no order. What servers of two versions write does not fit together.
    pub struct Build([u8; 8]);
}

impl Build {
    /// Returns the build of a service that has this software version.
    pub fn new(service: &str, version: &str) -> Self {
        Self(hash_pair(service, version))
    }
}

impl fmt::Display for Build {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", u64::from_be_bytes(self.0))
    }
}

/// Returns a hash of two texts that is equal on all instances.
pub(crate) fn hash_pair(first: &str, second: &str) -> [u8; 8] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(first.len() as u64).to_le_bytes());
    hasher.update(first.as_bytes());
    hasher.update(second.as_bytes());
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    bytes
}
