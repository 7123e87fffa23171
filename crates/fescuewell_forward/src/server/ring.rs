//! Consistent hash ring of the servers of one service.
//!
//! A key selects the servers that follow it on the ring. A server that joins or leaves changes the
//! selection only of the keys shortly before it, and a selection costs a logarithm of the number of
//! servers besides its own length.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

use super::Entry;

/// Servers ordered by the hash of their ids.
#[derive(Debug, Default)]
pub(super) struct Ring {
    servers: BTreeMap<(u64, Arc<str>), Arc<Entry>>,
}

impl Ring {
    pub(super) fn len(&self) -> usize {
        self.servers.len()
    }

    pub(super) fn insert(&mut self, entry: Arc<Entry>) {
        self.servers.insert(position(&entry.id), entry);
    }

    pub(super) fn remove(&mut self, id: &Arc<str>) {
        self.servers.remove(&position(id));
    }

    /// Returns all servers once, beginning after `key`.
    pub(super) fn walk(&self, key: u64) -> impl Iterator<Item = &Arc<Entry>> {
        let start = (key, Arc::from(""));
        let after = self.servers.range(start.clone()..);
        let before = self.servers.range(..start);
        after.chain(before).map(|(_, entry)| entry)
    }
}

/// Position of a server; equal on all instances of one program version.
fn position(id: &Arc<str>) -> (u64, Arc<str>) {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    (hasher.finish(), id.clone())
}
