//! Removes settled incarnations from the member rows of other instances.

use std::sync::Arc;

use fescuewell_core::prelude::*;
use fescuewell_core::table::{Outcome, Step, Transaction};

use super::{Members, Request};
use crate::row::{self, Row};

impl Members {
    /// Records that everything a terminated holder left, its streams and allowances, is settled.
    /// Its incarnation is removed from the member row, and the row is deleted with the last one.
    ///
    /// Different instances may settle the incarnations named by one row, so each removes only its
    /// own from the current row, by compare-and-swap. If the row were deleted together with an
    /// unsettled incarnation, that one's allowances would stay charged forever.
    pub fn mark_settled(&mut self, holder: &str) {
        let Some((instance, incarnation)) = row::parse_holder(holder) else {
            return;
        };
        if instance == &*self.own.info().instance {
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

    pub(super) fn next_settlement(&mut self) -> Option<Request> {
        let (instance, incarnation) = self.settled.pop_front()?;
        if !self.sightings.contains_key(&instance) {
            return None;
        }
        Some(Request::Settle {
            instance,
            incarnation,
        })
    }

    pub(super) fn settlement_step(&self, instance: &Arc<str>, incarnation: Incarnation) -> Step {
        let sighting = self.sightings.get(instance);
        let revision = sighting.map_or(0, |sighting| sighting.revision());
        let key = row::key(instance);
        let transaction = Transaction::default().with_compare(key.clone(), revision);
        let remaining =
            sighting.and_then(|sighting| without_incarnation(sighting.row(), incarnation));
        Step::Commit(match remaining {
            Some(row) => transaction.with_put(key, row.encode()),
            None => transaction.with_delete(key),
        })
    }

    pub(super) fn finish_settlement(
        &mut self,
        now: Instant,
        instance: Arc<str>,
        incarnation: Incarnation,
        outcome: Outcome,
    ) {
        self.dirty = true;
        match outcome {
            Outcome::Committed { revision } => {
                self.apply_settlement(now, &instance, incarnation, revision)
            }
            Outcome::Conflict { rows } if rows.is_empty() => self.remove(&instance),
            Outcome::Conflict { rows } => {
                self.apply_rows(now, &rows);
                self.settled.push_back((instance, incarnation));
            }
        }
    }

    fn apply_settlement(
        &mut self,
        now: Instant,
        instance: &Arc<str>,
        incarnation: Incarnation,
        revision: u64,
    ) {
        let Some(sighting) = self.sightings.get_mut(instance) else {
            return;
        };
        match without_incarnation(sighting.row(), incarnation) {
            Some(row) => {
                sighting.apply_row(now, instance, row, revision);
            }
            None => self.remove(instance),
        }
    }

    fn remove(&mut self, instance: &Arc<str>) {
        self.sightings.remove(instance);
        self.statuses.forget(instance);
    }
}

/// The row without that incarnation; `None` when every incarnation in it is settled.
fn without_incarnation(row: &Row, incarnation: Incarnation) -> Option<Row> {
    let mut row = row.clone();
    row.settled |= row.incarnation == incarnation;
    row.earlier.retain(|entry| entry.incarnation != incarnation);
    let is_empty = row.settled && row.earlier.is_empty();
    (!is_empty).then_some(row)
}
