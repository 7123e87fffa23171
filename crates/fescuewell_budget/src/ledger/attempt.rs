//! Writes whose outcome is unknown: how they are built, recognized and resolved.

use std::sync::Arc;

use fescuewell_core::prelude::*;
use fescuewell_core::table::{Row, Transaction};
use rand::Rng;

use super::Ledger;
use crate::allowance::Cached;
use crate::fence;
use crate::fence::Fence;
use crate::message::Notification;
use crate::row::Budget;

/// A transaction whose outcome is unknown.
#[derive(Debug)]
pub(super) struct Attempt {
    pub transaction: Transaction,
    pub changes: Vec<Change>,
}

/// The change that an attempt makes to one group.
#[derive(Debug)]
pub(super) struct Change {
    pub group: GroupKey,
    before: Tokens,
    /// The new grant; `None` if the grant is removed.
    after: Option<Tokens>,
    draw_id: Arc<str>,
    revision: u64,
    budget: Budget,
}

impl Change {
    /// Whether the row's content was written by this attempt.
    fn is_applied_in(&self, budget: &Budget, holder: &str) -> bool {
        match (budget.grants.get(holder), self.after) {
            (None, None) => true,
            (Some(grant), Some(_)) => grant.draw_id == self.draw_id,
            _ => false,
        }
    }
}

impl Ledger {
    pub(super) fn begin_write(
        &mut self,
        now: Instant,
        changes: &[(GroupKey, Option<Tokens>)],
    ) -> Transaction {
        let mut transaction = self.fenced_transaction();
        let mut list = Vec::with_capacity(changes.len());
        for &(group, after) in changes {
            let change = self.prepare_change(now, group, after);
            let key = self.row_key(group);
            transaction = transaction
                .with_compare(key.clone(), change.revision)
                .with_put(key, change.budget.encode());
            list.push(change);
        }
        self.work.attempt = Some(Attempt {
            transaction: transaction.clone(),
            changes: list,
        });
        transaction
    }

    /// Builds the last write of a closing ledger, which deletes its fence row.
    pub(super) fn begin_fence_removal(&mut self) -> Option<Transaction> {
        let mut allowances = self.allowances.values();
        if !self.is_closing || allowances.any(|allowance| allowance.has_grant) {
            return None;
        }
        let revision = self.fence?;
        let key = fence::key(&self.holder);
        let transaction = Transaction::default()
            .with_compare(key.clone(), revision)
            .with_delete(key);
        self.work.attempt = Some(Attempt {
            transaction: transaction.clone(),
            changes: Vec::new(),
        });
        Some(transaction)
    }

    /// Returns a transaction that commits only if this holder has not been declared terminated.
    fn fenced_transaction(&self) -> Transaction {
        let key = fence::key(&self.holder);
        let revision = self.fence.unwrap_or(0);
        let transaction = Transaction::default().with_compare(key.clone(), revision);
        match self.fence {
            Some(_) => transaction,
            None => transaction.with_put(key, Fence::default().encode()),
        }
    }

    fn prepare_change(&mut self, now: Instant, group: GroupKey, after: Option<Tokens>) -> Change {
        self.work.draw_count = self.work.draw_count.wrapping_add(1);
        let id = u64::from(self.rng.random::<u32>()) << 32 | u64::from(self.work.draw_count);
        let draw_id: Arc<str> = format!("{id:016x}").into();
        let holder = self.holder.clone();
        let allowance = self
            .allowances
            .get_mut(&group)
            .expect("planned groups have an allowance");
        let before = allowance.granted;
        // Tokens that a return may already have released must not be spent, even if the reply is
        // lost.
        allowance.returning = match after {
            Some(after) => before.saturating_sub(after),
            None => before.saturating_sub(allowance.spent),
        };
        let cached = allowance.row.as_ref().expect("planned rows are cached");
        let mut budget = cached.budget.clone();
        match after {
            Some(granted) => {
                let grant = budget.grants.entry(holder).or_default();
                grant.granted = granted;
                grant.draw_id = draw_id.clone();
                grant.rate = allowance.rate.per_second(now).ceil() as u64;
            }
            None => {
                budget.grants.remove(&holder);
                budget.spent += allowance.spent;
            }
        }
        let revision = cached.revision;
        Change {
            group,
            before,
            after,
            draw_id,
            revision,
            budget,
        }
    }

    /// Determines from rows with changed revisions whether the attempt took effect.
    pub(super) fn resolve(&mut self, now: Instant, rows: &[Row]) {
        let Some(attempt) = &self.work.attempt else {
            return;
        };
        let mut is_applied = false;
        for change in &attempt.changes {
            let key = self.row_key(change.group);
            let Some(row) = rows.iter().find(|row| row.key == key) else {
                continue;
            };
            let budget = Budget::parse(&row.value).unwrap_or_default();
            // A removed grant is recognized by its absence, which proves nothing if the row is
            // unchanged.
            is_applied |=
                row.revision != change.revision && change.is_applied_in(&budget, &self.holder);
        }
        let changes = attempt.changes.iter();
        let groups: Vec<GroupKey> = changes.map(|change| change.group).collect();
        if is_applied {
            self.apply_attempt(now, 0);
        } else {
            self.discard_attempt();
        }
        if !self.observe_fence(now, rows) {
            return;
        }
        self.observe_all(now, &groups, rows);
    }

    /// Applies the attempt, which took effect.
    pub(super) fn apply_attempt(&mut self, now: Instant, revision: u64) {
        let Some(attempt) = self.work.attempt.take() else {
            return;
        };
        if revision > 0 {
            self.fence = match attempt.changes.is_empty() {
                true => None,
                false => self.fence.or(Some(revision)),
            };
        }
        for change in attempt.changes {
            let Change { group, before, .. } = change;
            let Some(allowance) = self.allowances.get_mut(&group) else {
                continue;
            };
            allowance.returning = Tokens::ZERO;
            let after = change.after.unwrap_or(allowance.spent);
            allowance.granted = after;
            allowance.has_grant = change.after.is_some();
            allowance.surplus_since = None;
            if revision > 0 {
                let issued = self.work.issued;
                allowance.row = Some(Box::new(Cached {
                    revision,
                    as_of: issued.at,
                    step: issued.step,
                    budget: change.budget,
                }));
            }
            self.notify_change(group, before, after);
            self.due.insert(group);
            self.wake_if_funded(now, group);
        }
    }

    /// Records the fence's revision; returns `false` if this holder was declared terminated.
    ///
    /// Such a holder is still running although the platform lists it as terminated. Its streams
    /// have been settled and its idle tokens granted to others, so it must not spend any more.
    fn observe_fence(&mut self, now: Instant, rows: &[Row]) -> bool {
        let key = fence::key(&self.holder);
        let row = rows.iter().find(|row| row.key == key);
        self.fence = row.map(|row| row.revision);
        if row.is_none_or(|row| !Fence::parse(&row.value).is_closed) {
            return true;
        }
        self.is_fenced = true;
        for (&group, allowance) in &mut self.allowances {
            allowance.mark_lost();
            self.notifications.push(Notification::Lost(group));
        }
        self.refuse_all(now);
        false
    }

    fn notify_change(&mut self, group: GroupKey, before: Tokens, after: Tokens) {
        if after > before {
            let amount = after.saturating_sub(before);
            self.notifications
                .push(Notification::Drawn { group, amount });
        }
        if after < before {
            let amount = before.saturating_sub(after);
            self.notifications
                .push(Notification::Returned { group, amount });
            self.record_return(group, amount);
        }
    }

    /// Discards the attempt, which certainly did not take effect.
    pub(super) fn discard_attempt(&mut self) {
        let Some(attempt) = self.work.attempt.take() else {
            return;
        };
        for change in attempt.changes {
            if let Some(allowance) = self.allowances.get_mut(&change.group) {
                allowance.returning = Tokens::ZERO;
            }
        }
    }
}
