//! The backend servers that have registered themselves, and which of them may get new work.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// What a backend server says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// It takes work.
    Ready,
    /// It is about to leave and must get no new work.
    Draining,
}

/// One backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Its name, which a restart may keep.
    pub id: Arc<str>,
    /// Start of this incarnation, in Unix milliseconds by the server's own clock. It only tells one start from another;
    /// nothing if the server does not say it.
    pub born: Option<u64>,
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

/// What a row of the list says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Said {
    /// A backend server's own entry.
    Entry(Entry),
    /// The row was removed.
    Removed,
    /// The row names no server: something else wrote it.
    Unreadable {
        /// What is wrong with it.
        reason: Arc<str>,
    },
}

/// One row of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Movement {
    /// The server that it speaks of.
    pub id: Arc<str>,
    /// Version of its last write.
    pub version: u64,
    /// What it says.
    pub said: Said,
}

/// A registered entry with the version of its last write.
#[derive(Debug, Clone)]
struct Known {
    entry: Arc<Entry>,
    version: u64,
    /// It said itself that it leaves, ahead of the list.
    is_marked: bool,
    /// The row has vanished, and from this moment the server counts as gone, in milliseconds of the own clock.
    lapses_at_ms: Option<u64>,
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
    spared_until_ms: u64,
    ended: Vec<Arc<str>>,
}

/// Removed names that are remembered, so that an older read cannot bring them back.
const GONE_KEPT: usize = 4_096;
/// Silence of the store, in milliseconds, from which entries may have lapsed although their servers live: an entry lapses
/// after three missed heartbeats of 1.2 s, less one that was due anyway.
pub const LAPSING_SILENCE_MS: u64 = 2_400;
/// Time after the store's return within which the entries of servers that live are back, in milliseconds. Without it an
/// instance has no backend server at all until the first heartbeats arrive, and refuses what they could serve.
const RETURN_MS: u64 = 2_000;

impl Registry {
    /// Whether a row says anything that is not known: most say only that their servers live.
    pub fn is_news(&self, movement: &Movement) -> bool {
        match (&movement.said, self.known.get(&movement.id)) {
            (Said::Entry(entry), Some(known)) => {
                // What it told this instance alone is news to the others.
                *known.entry != *entry || known.is_marked || known.lapses_at_ms.is_some()
            }
            (Said::Entry(_), None) => true,
            (_, known) => known.is_some(),
        }
    }

    /// Number of known servers.
    pub fn count(&self) -> usize {
        self.known.len()
    }

    /// Takes one row of the list at `now_ms` of the own clock; returns whether it was news.
    pub fn change(&mut self, movement: Movement, now_ms: u64) -> bool {
        let Movement { id, version, said } = movement;
        let known = self.known.get(&id).map(|known| known.version);
        let gone = self.gone.get(&id).copied();
        let newest = known.max(gone).unwrap_or_default();
        if version <= newest {
            return false;
        }
        match said {
            Said::Entry(entry) => self.put(entry, version),
            Said::Removed => self.remove(&id, version, now_ms),
            Said::Unreadable { .. } => self.bury(id, version),
        }
        true
    }

    /// Takes the whole list as of `version`; returns the rows that were news.
    pub fn snapshot(&mut self, version: u64, rows: Vec<Movement>, now_ms: u64) -> Vec<Movement> {
        if version < self.snapshot {
            return Vec::new();
        }
        self.snapshot = version;
        let listed: HashSet<Arc<str>> = rows.iter().map(|row| row.id.clone()).collect();
        let news = rows
            .into_iter()
            .filter(|row| self.change(row.clone(), now_ms));
        let news = news.collect();
        let missing = self.known.iter();
        let missing =
            missing.filter(|(id, known)| known.version <= version && !listed.contains(*id));
        let missing: Vec<Arc<str>> = missing.map(|(id, _)| id.clone()).collect();
        for id in missing {
            self.remove(&id, version, now_ms);
        }
        news
    }

    /// The store answers again after `silence_ms`. Entries may have lapsed meanwhile, since heartbeats did not arrive
    /// either; those of servers that live come back.
    pub fn store_returned(&mut self, silence_ms: u64, now_ms: u64) {
        if silence_ms >= LAPSING_SILENCE_MS {
            self.spared_until_ms = now_ms + RETURN_MS;
        }
    }

    /// Marks a server as leaving because it said so itself in an answer, ahead of the list. Whatever is written of it
    /// later goes before the mark.
    pub fn mark_draining(&mut self, id: &str) {
        let Some(known) = self.known.get_mut(id) else {
            return;
        };
        let mut entry = Entry::clone(&known.entry);
        entry.state = State::Draining;
        known.entry = Arc::new(entry);
        known.is_marked = true;
    }

    /// Servers that have started again under their names, or were removed, since the last call: what was observed of
    /// them says nothing of whoever bears the name next.
    pub fn take_ended(&mut self) -> Vec<Arc<str>> {
        std::mem::take(&mut self.ended)
    }

    /// Whether the server has started again since it gave this entry.
    pub fn is_reborn(&self, entry: &Entry) -> bool {
        let known = self.known.get(&entry.id);
        known.is_some_and(|known| is_birth(entry, &known.entry))
    }

    /// Whether the server is listed at all.
    pub fn is_known(&self, id: &str) -> bool {
        self.known.contains_key(id)
    }

    /// Whether the server is still known and takes work.
    pub fn is_ready(&self, id: &str, now_ms: u64) -> bool {
        let known = self.known.get(id);
        known.is_some_and(|known| known.takes_work(now_ms))
    }

    /// Servers of a service that take work.
    pub fn ready<'a>(
        &'a self,
        service: &'a str,
        now_ms: u64,
    ) -> impl Iterator<Item = &'a Arc<Entry>> + 'a {
        self.known
            .values()
            .filter(move |known| known.takes_work(now_ms))
            .map(|known| &known.entry)
            .filter(move |entry| &*entry.service == service)
    }

    /// All known servers.
    pub fn entries(&self) -> impl Iterator<Item = &Arc<Entry>> {
        self.known.values().map(|known| &known.entry)
    }

    fn put(&mut self, entry: Entry, version: u64) {
        let id = entry.id.clone();
        self.gone.remove(&id);
        let entry = Arc::new(entry);
        let known = Known {
            entry: entry.clone(),
            version,
            is_marked: false,
            lapses_at_ms: None,
        };
        let before = self.known.insert(id.clone(), known);
        if before.is_some_and(|before| is_birth(&before.entry, &entry)) {
            self.ended.push(id);
        }
    }

    fn remove(&mut self, id: &Arc<str>, version: u64, now_ms: u64) {
        let spared_until_ms = self.spared_until_ms;
        match self.known.get_mut(id) {
            Some(known) if now_ms < spared_until_ms => {
                known.version = version;
                known.lapses_at_ms = Some(known.lapses_at_ms.unwrap_or(spared_until_ms));
            }
            _ => self.bury(id.clone(), version),
        }
    }

    fn bury(&mut self, id: Arc<str>, version: u64) {
        if self.known.remove(&id).is_some() {
            self.ended.push(id.clone());
        }
        if self.gone.len() >= GONE_KEPT {
            self.gone.clear();
        }
        self.gone.insert(id, version);
    }
}

impl Known {
    fn takes_work(&self, now_ms: u64) -> bool {
        let is_lapsed = self.lapses_at_ms.is_some_and(|at| at <= now_ms);
        self.entry.state == State::Ready && !is_lapsed
    }
}

/// Whether two entries of one name are of different starts.
fn is_birth(before: &Entry, after: &Entry) -> bool {
    matches!((before.born, after.born), (Some(before), Some(after)) if before != after)
}
