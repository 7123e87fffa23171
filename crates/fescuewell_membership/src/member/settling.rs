//! How [`Members`] strikes settled incarnations from the rows of others.

use std::sync::Arc;

use fescuewell_core::prelude::*;
use fescuewell_core::table::{Outcome, Step, Transaction};

use super::{Asked, Members};
use crate::row::{self, Row};

impl Members {
    /// Everything that a terminated holder left, its streams and allowances, is settled: its name is
    /// struck from the member row, and the row is removed with the last name.
    ///
    /// Different instances may settle the incarnations that one row names, so each strikes only its
    /// own from the row as it stands, by compare-and-swap. A row removed with an incarnation that is not
    /// settled would leave that one's allowances charged for ever.
    pub fn mark_settled(&mut self, holder: &str) {
        let Some((instance, incarnation)) = row::parse_holder(holder) else {
            return;
        };
        if instance == &*self.own.me().instance {
            self.own.settle(incarnation);
            self.dirty = true;
            return;
        }
        if !self.view.terminated.contains(holder) {
            return;
        }
        let entry = (Arc::from(instance), incarnation);
        if !self.settled.contains(&entry) {
            self.settled.push_back(entry);
        }
    }

    pub(super) fn choose_settling(&mut self) -> Option<Asked> {
        let (instance, incarnation) = self.settled.pop_front()?;
        if !self.sightings.contains_key(&instance) {
            return None;
        }
        Some(Asked::Settle {
            instance,
            incarnation,
        })
    }

    pub(super) fn settling_step(&self, instance: &Arc<str>, incarnation: Incarnation) -> Step {
        let sighting = self.sightings.get(instance);
        let revision = sighting.map_or(0, |sighting| sighting.revision());
        let key = row::key(instance);
        let transaction = Transaction::default().with_compare(key.clone(), revision);
        let struck = sighting.and_then(|sighting| strike(sighting.row(), incarnation));
        Step::Commit(match struck {
            Some(row) => transaction.with_put(key, row.encode()),
            None => transaction.with_delete(key),
        })
    }

    pub(super) fn settling_done(
        &mut self,
        now: Instant,
        instance: Arc<str>,
        incarnation: Incarnation,
        outcome: Outcome,
    ) {
        self.dirty = true;
        match outcome {
            Outcome::Committed { revision } => self.struck(now, &instance, incarnation, revision),
            Outcome::Conflict { rows } if rows.is_empty() => self.remove(&instance),
            Outcome::Conflict { rows } => {
                self.learn_rows(now, &rows);
                self.settled.push_back((instance, incarnation));
            }
        }
    }

    fn struck(
        &mut self,
        now: Instant,
        instance: &Arc<str>,
        incarnation: Incarnation,
        revision: u64,
    ) {
        let Some(sighting) = self.sightings.get_mut(instance) else {
            return;
        };
        match strike(sighting.row(), incarnation) {
            Some(row) => {
                sighting.learn(now, instance, row, revision);
            }
            None => self.remove(instance),
        }
    }

    fn remove(&mut self, instance: &Arc<str>) {
        self.sightings.remove(instance);
        self.words.forget(instance);
    }
}

/// The row without that incarnation; `None` when nothing is left in it that is not settled.
fn strike(row: &Row, incarnation: Incarnation) -> Option<Row> {
    let mut row = row.clone();
    row.settled |= row.incarnation == incarnation;
    row.earlier.retain(|entry| entry.incarnation != incarnation);
    let over = row.settled && row.earlier.is_empty();
    (!over).then_some(row)
}
