//! Dropping names and closed routers that nothing refers to any more.

use std::collections::{BTreeMap, BTreeSet};

use fescuewell_core::prelude::*;

use super::entry::{NO_SERVER, stamp};
use super::{Entry, Ledger, Retention};
use crate::record::{NameKey, Record};

impl Ledger {
    /// Forgets routers that were closed long ago and numbers the remaining names anew; returns the record
    /// of it, already applied. Without it the names of all instances that ever were would stay in every checkpoint.
    pub fn compact(&mut self, now: Instant, retention: &Retention) -> Record {
        let dropped = self.old_closed(now, retention);
        for holder in &dropped {
            self.closed.remove(holder);
            self.oldest.remove(holder);
        }
        let kept: Vec<NameKey> = self.used_names().into_iter().collect();
        self.apply_compact(&dropped, &kept);
        Record::Compact { dropped, kept }
    }

    pub(super) fn apply_compact(&mut self, dropped: &[NameKey], kept: &[NameKey]) {
        for holder in dropped {
            self.closed.remove(holder);
            self.oldest.remove(holder);
        }
        let mut names: Interner<NameKey> = Interner::default();
        let mut moved = BTreeMap::new();
        for &key in kept {
            moved.insert(key, names.intern(self.names.name(key)));
        }
        self.drop_unnamed(&moved);
        self.renumber(&moved);
        self.names = names;
    }

    /// Closed routers that nothing refers to and of which no message can be under way any more.
    ///
    /// The oldest unfinished attempt of any other router stays, however long it has been silent: the sweep to
    /// come relies on it to tell old records of settled streams from unbilled ones.
    fn old_closed(&self, now: Instant, retention: &Retention) -> Vec<NameKey> {
        let keep = retention.non_repeatable.as_secs() as u32;
        let mut in_use: BTreeSet<NameKey> = self.entries.values().flat_map(holders).collect();
        in_use.extend(self.totals.keys().map(|&(holder, _)| holder));
        let now = stamp(now);
        let mut old = Vec::new();
        for (&holder, closed) in &self.closed {
            let is_recent = closed.since.saturating_add(keep) > now;
            if closed.finished && !is_recent && !in_use.contains(&holder) {
                old.push(holder);
            }
        }
        old
    }

    fn used_names(&self) -> BTreeSet<NameKey> {
        let mut used: BTreeSet<NameKey> = self.entries.values().flat_map(names).collect();
        for &(holder, group) in self.totals.keys() {
            used.extend([holder, group]);
        }
        used.extend(self.closed.keys());
        used.extend(self.oldest.keys());
        used
    }

    /// Expiry is not logged, so that a replayed ledger may hold requests that the one which wrote the record had
    /// dropped already. Those whose names are gone are dropped here too.
    fn drop_unnamed(&mut self, moved: &BTreeMap<NameKey, NameKey>) {
        self.entries
            .retain(|_, entry| names(entry).all(|name| moved.contains_key(&name)));
        self.responses
            .retain(|request, _| self.entries.contains_key(request));
        self.streams
            .retain(|request, _| self.entries.contains_key(request));
    }

    fn renumber(&mut self, moved: &BTreeMap<NameKey, NameKey>) {
        let to = |key: NameKey| moved.get(&key).copied().unwrap_or(key);
        for entry in self.entries.values_mut() {
            entry.owner.holder = to(entry.owner.holder);
            entry.biller.holder = to(entry.biller.holder);
            entry.group = to(entry.group);
            entry.server = to(entry.server);
        }
        let totals = std::mem::take(&mut self.totals);
        for ((holder, group), charged) in totals {
            self.totals.insert((to(holder), to(group)), charged);
        }
        let closed = std::mem::take(&mut self.closed);
        self.closed = closed
            .into_iter()
            .map(|(key, value)| (to(key), value))
            .collect();
        let oldest = std::mem::take(&mut self.oldest);
        self.oldest = oldest
            .into_iter()
            .map(|(key, value)| (to(key), value))
            .collect();
    }
}

fn holders(entry: &Entry) -> impl Iterator<Item = NameKey> + use<> {
    let biller = entry.billed.then_some(entry.biller.holder);
    [Some(entry.owner.holder), biller].into_iter().flatten()
}

fn names(entry: &Entry) -> impl Iterator<Item = NameKey> + use<> {
    // A request that was released without a claim has no group.
    let group = entry.group_name();
    let server = (entry.server != NO_SERVER).then_some(entry.server);
    holders(entry).chain([group, server].into_iter().flatten())
}
