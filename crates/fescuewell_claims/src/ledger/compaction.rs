//! Removal of names and closed routers that are no longer referenced.

use std::collections::{BTreeMap, BTreeSet};

use fescuewell_core::prelude::*;

use super::entry::{NO_SERVER, timestamp_s};
use super::{Entry, Ledger, Retention};
use crate::record::{NameKey, Record};

impl Ledger {
    /// Removes routers that were closed long ago and renumbers the remaining names. Returns the
    /// record of the change, which is already applied. Without compaction, every checkpoint would
    /// hold the names of all instances that ever existed.
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
        let mut renumbered = BTreeMap::new();
        for &key in kept {
            renumbered.insert(key, names.intern(self.names.name(key)));
        }
        self.drop_unnamed(&renumbered);
        self.renumber(&renumbered);
        self.names = names;
    }

    /// Returns the closed routers that are not referenced and from which no message can be in
    /// transit any more.
    ///
    /// For all other routers the oldest unfinished attempt is kept, however long they have been
    /// silent: a later sweep needs it to tell old records of settled streams from unbilled ones.
    fn old_closed(&self, now: Instant, retention: &Retention) -> Vec<NameKey> {
        let keep = retention.non_repeatable.as_secs() as u32;
        let mut in_use: BTreeSet<NameKey> = self.entries.values().flat_map(holders).collect();
        in_use.extend(self.totals.keys().map(|&(holder, _)| holder));
        let now = timestamp_s(now);
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

    /// Removes entries whose names are gone. Expiry is not logged, so a replayed ledger may still
    /// hold requests that had expired when the record was written.
    fn drop_unnamed(&mut self, renumbered: &BTreeMap<NameKey, NameKey>) {
        self.entries
            .retain(|_, entry| names(entry).all(|name| renumbered.contains_key(&name)));
        self.responses
            .retain(|request, _| self.entries.contains_key(request));
        self.streams
            .retain(|request, _| self.entries.contains_key(request));
    }

    fn renumber(&mut self, renumbered: &BTreeMap<NameKey, NameKey>) {
        let renumbered_key = |key: NameKey| renumbered.get(&key).copied().unwrap_or(key);
        for entry in self.entries.values_mut() {
            entry.owner.holder = renumbered_key(entry.owner.holder);
            entry.biller.holder = renumbered_key(entry.biller.holder);
            entry.group = renumbered_key(entry.group);
            entry.server = renumbered_key(entry.server);
        }
        let totals = std::mem::take(&mut self.totals);
        for ((holder, group), charged) in totals {
            self.totals
                .insert((renumbered_key(holder), renumbered_key(group)), charged);
        }
        let closed = std::mem::take(&mut self.closed);
        self.closed = closed
            .into_iter()
            .map(|(key, value)| (renumbered_key(key), value))
            .collect();
        let oldest = std::mem::take(&mut self.oldest);
        self.oldest = oldest
            .into_iter()
            .map(|(key, value)| (renumbered_key(key), value))
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
