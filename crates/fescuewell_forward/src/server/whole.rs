//! The whole server list: applying one, correcting by one, and building one for another instance.

use std::collections::HashSet;
use std::sync::Arc;

use super::{Change, Entry, Registry, Update};
use crate::version;

impl Registry {
    /// Returns the updates up to version `known` that the whole list as of `version` shows to be
    /// missing here, in the order of their versions. Later ones are left to the polls, which return
    /// every state that a server had.
    pub fn corrections(
        &self,
        known: u64,
        version: u64,
        rows: &[Update],
        now_ms: u64,
    ) -> Vec<Update> {
        let missed = rows.iter().filter(|row| {
            row.version <= known && !self.is_stale(row) && self.is_change(row, now_ms)
        });
        let mut corrections: Vec<Update> = missed.cloned().collect();
        let until = known.min(version);
        for id in self.missing(until, rows) {
            corrections.push(Update {
                id,
                version: until,
                change: Change::Removed,
            });
        }
        corrections.sort_by_key(|correction| correction.version);
        corrections
    }

    /// Returns the registered servers that the whole list as of `version` lacks.
    fn missing(&self, version: u64, rows: &[Update]) -> Vec<Arc<str>> {
        let listed: HashSet<&Arc<str>> = rows.iter().map(|row| &row.id).collect();
        let missing = self.registrations.iter();
        let missing =
            missing.filter(|(id, known)| known.version <= version && !listed.contains(id));
        missing.map(|(id, _)| id.clone()).collect()
    }

    /// Applies the whole list as of `version`. Returns the rows that were not stale.
    pub fn apply_snapshot(&mut self, version: u64, rows: Vec<Update>, now_ms: u64) -> Vec<Update> {
        if version < self.snapshot_version {
            return Vec::new();
        }
        self.snapshot_version = version;
        self.enter_era(version::era(version), now_ms);
        let missing = self.missing(version, &rows);
        let applied = rows
            .into_iter()
            .filter(|row| self.apply(row.clone(), now_ms));
        let applied = applied.collect();
        for id in missing {
            self.remove(&id, version, now_ms);
        }
        applied
    }

    /// Returns the rows of all listed servers, for [`Registry::apply_snapshot`] of another instance.
    pub fn snapshot(&self, now_ms: u64) -> Vec<Update> {
        let mut rows = Vec::with_capacity(self.registrations.len());
        for (id, known) in &self.registrations {
            if known.expires_at_ms.is_some() {
                continue;
            }
            let entry = Entry {
                cold_left_ms: known.cold_until_ms.saturating_sub(now_ms),
                ..Entry::clone(&known.entry)
            };
            rows.push(Update {
                id: id.clone(),
                version: known.version,
                change: Change::Entry(entry),
            });
        }
        rows
    }
}
