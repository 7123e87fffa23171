//! Writes whose outcome is open: how they are built, recognised and settled.

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

/// A transaction whose outcome is open.
#[derive(Debug)]
pub(super) struct Attempt {
    pub transaction: Transaction,
    pub changes: Vec<Change>,
}

/// What an attempt does to one group.
#[derive(Debug)]
pub(super) struct Change {
    pub group: GroupKey,
    before: Tokens,
    /// The new grant; `None` when it is removed.
    after: Option<Tokens>,
    draw: Arc<str>,
    revision: u64,
    budget: Budget,
}

impl Change {
    /// Whether this row was written by the attempt.
    fn is_in(&self, budget: &Budget, holder: &str) -> bool {
        match (budget.grants.get(holder), self.after) {
            (None, None) => true,
            (Some(grant), Some(_)) => grant.draw_id == self.draw,
            _ => false,
        }
    }
}

impl Ledger {
    pub(super) fn begin(
        &mut self,
        now: Instant,
        changes: &[(GroupKey, Option<Tokens>)],
    ) -> Transaction {
        let mut transaction = self.fenced_transaction();
        let mut list = Vec::with_capacity(changes.len());
        for &(group, after) in changes {
            let change = self.change(now, group, after);
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

    /// The last write of a closed ledger: it removes its fence.
    pub(super) fn begin_removal(&mut self) -> Option<Transaction> {
        let mut allowances = self.allowances.values();
        if !self.is_closing || allowances.any(|allowance| allowance.is_listed) {
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

    /// A transaction that passes only while this holder has not been declared ended.
    fn fenced_transaction(&self) -> Transaction {
        let key = fence::key(&self.holder);
        let revision = self.fence.unwrap_or(0);
        let transaction = Transaction::default().with_compare(key.clone(), revision);
        match self.fence {
            Some(_) => transaction,
            None => transaction.with_put(key, Fence::default().encode()),
        }
    }

    fn change(&mut self, now: Instant, group: GroupKey, after: Option<Tokens>) -> Change {
        self.work.draws = self.work.draws.wrapping_add(1);
        let id = u64::from(self.rng.random::<u32>()) << 32 | u64::from(self.work.draws);
        let draw: Arc<str> = format!("{id:016x}").into();
        let holder = self.holder.clone();
        let allowance = self
            .allowances
            .get_mut(&group)
            .expect("planned groups exist");
        let before = allowance.granted;
        // What a return may already have given away must not be spent, whatever becomes of the reply.
        allowance.leaving = match after {
            Some(after) => before.minus(after),
            None => before.minus(allowance.spent),
        };
        let cached = allowance.row.as_ref().expect("planned rows are known");
        let mut budget = cached.budget.clone();
        match after {
            Some(granted) => {
                let grant = budget.grants.entry(holder).or_default();
                grant.granted = granted;
                grant.draw_id = draw.clone();
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
            draw,
            revision,
            budget,
        }
    }

    /// Learns from the rows, at least one of which has moved on, whether the attempt took effect.
    pub(super) fn resolve(&mut self, now: Instant, rows: &[Row]) {
        let Some(attempt) = &self.work.attempt else {
            return;
        };
        let mut has_landed = false;
        for change in &attempt.changes {
            let key = self.row_key(change.group);
            let Some(row) = rows.iter().find(|row| row.key == key) else {
                continue;
            };
            let budget = Budget::parse(&row.value).unwrap_or_default();
            // A removed grant is recognised by its absence, which means nothing in an unchanged row.
            has_landed |= row.revision != change.revision && change.is_in(&budget, &self.holder);
        }
        let changes = attempt.changes.iter();
        let groups: Vec<GroupKey> = changes.map(|change| change.group).collect();
        if has_landed {
            self.land(now, 0);
        } else {
            self.drop_attempt();
        }
        if !self.observe_fence(now, rows) {
            return;
        }
        self.observe_all(now, &groups, rows);
    }

    /// The attempt took effect.
    pub(super) fn land(&mut self, now: Instant, revision: u64) {
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
            allowance.leaving = Tokens::ZERO;
            let after = change.after.unwrap_or(allowance.spent);
            allowance.granted = after;
            allowance.is_listed = change.after.is_some();
            allowance.surplus_since = None;
            if revision > 0 {
                let asked = self.work.asked;
                allowance.row = Some(Box::new(Cached {
                    revision,
                    seen: asked.at,
                    step: asked.step,
                    budget: change.budget,
                }));
            }
            self.tell(group, before, after);
            self.due.insert(group);
            self.wake_if_funded(now, group);
        }
    }

    /// Learns the fence's revision; `false` when this holder was declared ended.
    ///
    /// Such a holder is alive against the platform's word. Its streams have been settled and its idle money
    /// given to others, so it must not spend any more.
    fn observe_fence(&mut self, now: Instant, rows: &[Row]) -> bool {
        let key = fence::key(&self.holder);
        let row = rows.iter().find(|row| row.key == key);
        self.fence = row.map(|row| row.revision);
        if row.is_none_or(|row| !Fence::parse(&row.value).is_closed) {
            return true;
        }
        self.is_fenced = true;
        for (&group, allowance) in &mut self.allowances {
            allowance.lose();
            self.notifications.push(Notification::Lost(group));
        }
        self.refuse_all(now);
        false
    }

    fn tell(&mut self, group: GroupKey, before: Tokens, after: Tokens) {
        if after > before {
            let amount = after.minus(before);
            self.notifications
                .push(Notification::Drawn { group, amount });
        }
        if after < before {
            let amount = before.minus(after);
            self.notifications
                .push(Notification::Returned { group, amount });
            self.count_recalled(group, amount);
        }
    }

    /// The attempt certainly did not take effect.
    pub(super) fn drop_attempt(&mut self) {
        let Some(attempt) = self.work.attempt.take() else {
            return;
        };
        for change in attempt.changes {
            if let Some(allowance) = self.allowances.get_mut(&change.group) {
                allowance.leaving = Tokens::ZERO;
            }
        }
    }
}
