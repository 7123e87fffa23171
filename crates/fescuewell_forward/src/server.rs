//! The backend servers that have registered themselves, and which of them may get new work.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// What a backend server says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// It takes work.
    Ready,
    /// It is about to leave and must get no new work.
    Draining,
}

/// One backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Name of this incarnation; a restart gets a new one.
    pub id: Arc<str>,
    /// Service that it belongs to.
    pub service: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it takes work.
    pub state: State,
}

/// A registered entry with the version of its last write.
#[derive(Debug, Clone)]
struct Known {
    entry: Arc<Entry>,
    version: u64,
}

/// All backend servers as last read.
///
/// Reads of the list can be stale by seconds while writes go on. A snapshot or a change that is older than what
/// is known would bring a server back that has left, and requests would run into its end; versions
/// therefore only rise.
#[derive(Debug, Default)]
pub struct Registry {
    known: HashMap<Arc<str>, Known>,
    gone: HashMap<Arc<str>, u64>,
    snapshot: u64,
}

/// Removed names that are remembered, so that an older read cannot bring them back.
const GONE_KEPT: usize = 4_096;

impl Registry {
    /// Takes one change: an entry, or its removal.
    pub fn change(&mut self, id: &Arc<str>, version: u64, entry: Option<Entry>) -> bool {
        let known = self.known.get(id).map(|known| known.version);
        let gone = self.gone.get(id).copied();
        let newest = known.max(gone).unwrap_or_default();
        if version <= newest {
            return false;
        }
        match entry {
            Some(entry) => {
                self.gone.remove(id);
                let entry = Arc::new(entry);
                self.known.insert(id.clone(), Known { entry, version });
            }
            None => {
                self.known.remove(id);
                self.bury(id.clone(), version);
            }
        }
        true
    }

    /// Takes a whole list as of `version`; returns whether it was new enough to count.
    pub fn snapshot(&mut self, version: u64, rows: Vec<(u64, Entry)>) -> bool {
        if version < self.snapshot {
            return false;
        }
        self.snapshot = version;
        let listed: Vec<Arc<str>> = rows.iter().map(|(_, entry)| entry.id.clone()).collect();
        for (row_version, entry) in rows {
            let id = entry.id.clone();
            self.change(&id, row_version, Some(entry));
        }
        let missing = self.known.iter();
        let missing =
            missing.filter(|(id, known)| known.version <= version && !listed.contains(id));
        let missing: Vec<Arc<str>> = missing.map(|(id, _)| id.clone()).collect();
        for id in missing {
            self.known.remove(&id);
            self.bury(id, version);
        }
        true
    }

    /// Marks a server as leaving because it said so itself in an answer, ahead of the list.
    pub fn mark_draining(&mut self, id: &str) {
        let Some(known) = self.known.get_mut(id) else {
            return;
        };
        let mut entry = Entry::clone(&known.entry);
        entry.state = State::Draining;
        known.entry = Arc::new(entry);
    }

    /// Whether the server is listed at all.
    pub fn is_known(&self, id: &str) -> bool {
        self.known.contains_key(id)
    }

    /// Whether the server is still known and takes work.
    pub fn is_ready(&self, id: &str) -> bool {
        let known = self.known.get(id);
        known.is_some_and(|known| known.entry.state == State::Ready)
    }

    /// Servers of a service that take work.
    pub fn ready<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Arc<Entry>> + 'a {
        self.known
            .values()
            .map(|known| &known.entry)
            .filter(move |entry| &*entry.service == service && entry.state == State::Ready)
    }

    /// All known servers.
    pub fn entries(&self) -> impl Iterator<Item = &Arc<Entry>> {
        self.known.values().map(|known| &known.entry)
    }

    fn bury(&mut self, id: Arc<str>, version: u64) {
        if self.gone.len() >= GONE_KEPT {
            self.gone.clear();
        }
        self.gone.insert(id, version);
    }
}
