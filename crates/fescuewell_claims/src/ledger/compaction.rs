//! Dropping names and closed routers that nothing refers to any more.

use std::collections::{BTreeMap, BTreeSet};

use fescuewell_core::prelude::*;

use super::entry::{NO_SERVER, stamp};
use super::{Ledger, Retention};
use crate::record::NameKey;

impl Ledger {
    /// Drops routers that were closed long ago and numbers the remaining names anew.
    ///
    /// Only right before a checkpoint that covers everything decided: log rows written earlier use the old
    /// numbers. Without it the names of all instances that ever were would stay in every checkpoint.
    pub fn compact(&mut self, now: Instant, retention: &Retention) {
        self.drop_closed(now, retention);
        let mut names: Interner<NameKey> = Interner::default();
        let mut moved = BTreeMap::new();
        for key in self.used_names() {
            moved.insert(key, names.intern(self.names.name(key)));
        }
        self.renumber(&moved);
        self.names = names;
    }

    fn drop_closed(&mut self, now: Instant, retention: &Retention) {
        let keep = retention.single.as_secs() as u32;
        let mut in_use = BTreeSet::new();
        for entry in self.entries.values() {
            in_use.insert(entry.owner.holder);
            if entry.billed {
                in_use.insert(entry.biller.holder);
            }
        }
        in_use.extend(self.totals.keys().map(|&(holder, _)| holder));
        let now = stamp(now);
        let mut dropped = Vec::new();
        for (&holder, closed) in &self.closed {
            let is_recent = closed.since.saturating_add(keep) > now;
            if closed.finished && !is_recent && !in_use.contains(&holder) {
                dropped.push(holder);
            }
        }
        // The oldest unfinished attempt of any other router stays, however long it has been silent: the sweep to
        // come relies on it to tell old records of settled streams from unbilled ones.
        for holder in dropped {
            self.closed.remove(&holder);
            self.oldest.remove(&holder);
        }
    }

    fn used_names(&self) -> BTreeSet<NameKey> {
        let mut used = BTreeSet::new();
        for entry in self.entries.values() {
            used.extend([entry.owner.holder, entry.biller.holder, entry.group]);
            used.insert(entry.server);
        }
        for &(holder, group) in self.totals.keys() {
            used.extend([holder, group]);
        }
        used.extend(self.closed.keys());
        used.extend(self.oldest.keys());
        used.remove(&NO_SERVER);
        // The default of an entry without a bill or a group refers to the first name, if there is one.
        used.retain(|key| (key.0 as usize) < self.names.len());
        used
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
