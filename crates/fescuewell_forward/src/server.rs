//! The backend servers that have registered themselves, and which of them may get new work.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::evacuation::{Order, Zones};
use crate::{version, warmup};

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
    /// How much longer it stays cold, in milliseconds, as of the writing of the entry; see [`crate::warmup`].
    pub cold_left_ms: u64,
    /// Whether it takes work.
    pub state: State,
}

fescuewell_core::key! {
    /// Incarnation of a backend server: a hash of its id and start time, equal on all instances.
    pub struct Incarnation(u64);
}

impl Incarnation {
    /// Creates an incarnation from its number.
    pub fn from_number(number: u64) -> Self {
        Self(number)
    }
}

impl Entry {
    /// Returns the incarnation that this entry describes.
    pub fn incarnation(&self) -> Incarnation {
        let mut hasher = blake3::Hasher::new();
        hasher.update(self.id.as_bytes());
        hasher.update(&self.born.unwrap_or_default().to_le_bytes());
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        Incarnation(u64::from_le_bytes(bytes))
    }

    /// Returns `true` if the server is draining.
    pub fn is_draining(&self) -> bool {
        self.state == State::Draining
    }

    /// Whether another entry says the same, but for the time that runs off.
    fn is_alike(&self, other: &Self) -> bool {
        let other = Self {
            cold_left_ms: self.cold_left_ms,
            ..other.clone()
        };
        *self == other
    }
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
    /// Until when it may be cold, in milliseconds of the own clock. Its entry is seconds old when it is read, so this is later than
    /// the truth.
    cold_until_ms: u64,
}

/// All backend servers as last read.
///
/// Reads of the list can be stale by seconds while writes go on. A snapshot or a change that is older than what
/// is known would bring a server back that has left, and requests would run into its end; versions
/// therefore only rise.
///
/// A store that comes back from a copy shows what was true some seconds before, under newer versions. Servers that have left or
/// said so since then, and zones that were evacuated, stay so until they or the operator write again.
#[derive(Debug, Default)]
pub struct Registry {
    known: HashMap<Arc<str>, Known>,
    gone: HashMap<Arc<str>, u64>,
    snapshot: u64,
    spared_until_ms: u64,
    ended: Vec<Arc<Entry>>,
    zones: Zones,
    warmups: HashMap<Arc<str>, warmup::Bound>,
    era: u32,
    restored_until_ms: u64,
}

/// Removed names that are remembered, so that an older read cannot bring them back.
const GONE_KEPT: usize = 4_096;
/// Silence of the store, in milliseconds, from which entries may have lapsed although their servers live: an entry lapses
/// after three missed heartbeats of 1.2 s, less one that was due anyway.
pub const LAPSING_SILENCE_MS: u64 = 2_400;
/// Time after the store's return within which the entries of servers that live are back, in milliseconds. Without it an
/// instance has no backend server at all until the first heartbeats arrive, and refuses what they could serve.
const RETURN_MS: u64 = 2_000;
/// Time after the store's return from a copy within which the operator's word that was lost is written again, in milliseconds. Until
/// then an evacuation that the copy lacks goes on.
const REWRITTEN_MS: u64 = 5_000;
/// Difference from which a later end of a server's cold time is news, in milliseconds: entries are written about once a second and
/// take up to another one to be read.
const COLD_NEWS_MS: u64 = 1_500;

impl Registry {
    /// Whether a row says anything that is not known at `now_ms` of the own clock: most say only that their servers live.
    pub fn is_news(&self, movement: &Movement, now_ms: u64) -> bool {
        match (&movement.said, self.known.get(&movement.id)) {
            (Said::Entry(entry), Some(known)) => {
                let is_colder = now_ms + entry.cold_left_ms > known.cold_until_ms + COLD_NEWS_MS;
                let turns_cold = entry.cold_left_ms > 0 && is_colder;
                // What it told this instance alone is news to the others.
                let was_told = known.is_marked || known.lapses_at_ms.is_some();
                !known.entry.is_alike(entry) || was_told || turns_cold
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
        self.enter(version::era(version), now_ms);
        let is_ghost = gone.is_some_and(|gone| version::era(gone) < version::era(version));
        if is_ghost && matches!(said, Said::Entry(_)) {
            // It stands in the copy and has left since. A server that lives writes again.
            self.gone.insert(id, version);
            return false;
        }
        match said {
            Said::Entry(entry) => self.put(entry, version, now_ms),
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
        self.enter(version::era(version), now_ms);
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

    /// The store has come back from a copy: entries that it lacks are written again by the servers that live.
    fn enter(&mut self, era: u32, now_ms: u64) {
        if era <= self.era {
            return;
        }
        self.era = era;
        self.spared_until_ms = self.spared_until_ms.max(now_ms + RETURN_MS);
        self.restored_until_ms = now_ms + REWRITTEN_MS;
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

    /// Last entries of servers that have started again under their names, or were removed, since the last call: what was
    /// observed of them says nothing of whoever bears the name next.
    pub fn take_ended(&mut self) -> Vec<Arc<Entry>> {
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
        known.is_some_and(|known| self.takes_work(known, now_ms))
    }

    /// Whether the server may be cold; see [`crate::warmup`].
    pub fn is_cold(&self, id: &str, now_ms: u64) -> bool {
        let known = self.known.get(id);
        known.is_some_and(|known| now_ms < known.cold_until_ms)
    }

    /// Sets for how long servers are cold, by their service.
    pub fn set_warmups<Bounds>(&mut self, bounds: Bounds)
    where
        Bounds: Iterator<Item = (Arc<str>, warmup::Bound)>,
    {
        self.warmups = bounds.collect();
    }

    /// The availability zones that are evacuated.
    pub fn zones(&self) -> &Zones {
        &self.zones
    }

    /// Takes the operator's order on an availability zone at `now_ms` of the own clock; returns whether the zone changes by it.
    pub fn evacuate(&mut self, order: Order, now_ms: u64) -> bool {
        let zone = order.zone.clone();
        let is_back = !order.is_evacuated;
        let is_news = self.zones.take(order);
        if is_news && is_back {
            self.chill(&zone, now_ms);
        }
        is_news
    }

    /// Takes all orders as of `version`; returns those by which zones change.
    pub fn evacuations(&mut self, version: u64, listed: Vec<Order>, now_ms: u64) -> Vec<Order> {
        self.enter(version::era(version), now_ms);
        let missing = match now_ms < self.restored_until_ms {
            true => Vec::new(),
            false => self.zones.missing(version, &listed),
        };
        let orders = listed.into_iter().chain(missing);
        let mut news = Vec::new();
        for order in orders {
            if self.evacuate(order.clone(), now_ms) {
                news.push(order);
            }
        }
        news
    }

    /// Counts the servers of a zone as cold from now on. They may have become so while they got nothing, and what they say of it
    /// is read a second or two after the end of the evacuation: until then all instances would send to them at once.
    fn chill(&mut self, zone: &str, now_ms: u64) {
        for known in self.known.values_mut() {
            if &*known.entry.zone != zone {
                continue;
            }
            let Some(bound) = self.warmups.get(&known.entry.service) else {
                continue;
            };
            let until_ms = now_ms + bound.time.as_millis() as u64;
            known.cold_until_ms = known.cold_until_ms.max(until_ms);
        }
    }

    fn takes_work(&self, known: &Known, now_ms: u64) -> bool {
        known.takes_work(now_ms) && !self.zones.is_evacuated(&known.entry.zone)
    }

    /// Servers of a service that take work.
    pub fn ready<'a>(
        &'a self,
        service: &'a str,
        now_ms: u64,
    ) -> impl Iterator<Item = &'a Arc<Entry>> + 'a {
        self.known
            .values()
            .filter(move |known| self.takes_work(known, now_ms))
            .map(|known| &known.entry)
            .filter(move |entry| &*entry.service == service)
    }

    /// All known servers.
    pub fn entries(&self) -> impl Iterator<Item = &Arc<Entry>> {
        self.known.values().map(|known| &known.entry)
    }

    fn put(&mut self, mut entry: Entry, version: u64, now_ms: u64) {
        let id = entry.id.clone();
        self.gone.remove(&id);
        let known = self.known.get(&id);
        if known.is_some_and(|known| known.has_left_before(&entry, version)) {
            entry.state = State::Draining;
        }
        let before_ms = known.map_or(0, |known| known.cold_until_ms);
        let cold_until_ms = match entry.cold_left_ms {
            0 => before_ms,
            left_ms => before_ms.max(now_ms + left_ms),
        };
        let entry = Arc::new(entry);
        let known = Known {
            entry: entry.clone(),
            version,
            is_marked: false,
            lapses_at_ms: None,
            cold_until_ms,
        };
        let before = self.known.insert(id, known);
        if let Some(before) = before.filter(|before| is_birth(&before.entry, &entry)) {
            self.ended.push(before.entry);
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
        if let Some(known) = self.known.remove(&id) {
            self.ended.push(known.entry);
        }
        if self.gone.len() >= GONE_KEPT {
            self.gone.clear();
        }
        self.gone.insert(id, version);
    }
}

impl Known {
    /// Whether it said in a former era of the store that it leaves, and the copy does not know it yet. A server that is about to
    /// leave does not come back under its name.
    fn has_left_before(&self, entry: &Entry, version: u64) -> bool {
        let is_former = version::era(self.version) < version::era(version);
        is_former && self.entry.state == State::Draining && !is_birth(&self.entry, entry)
    }

    fn takes_work(&self, now_ms: u64) -> bool {
        let is_lapsed = self.lapses_at_ms.is_some_and(|at| at <= now_ms);
        self.entry.state == State::Ready && !is_lapsed
    }
}

/// Whether two entries of one name are of different starts.
fn is_birth(before: &Entry, after: &Entry) -> bool {
    matches!((before.born, after.born), (Some(before), Some(after)) if before != after)
}
