//! Recalls between holders, and what may be said to requests when money is short.

use std::sync::Arc;

use fescuewell_core::prelude::*;
use rand::seq::SliceRandom;

use super::Ledger;
use crate::allowance::{Recall, Verdict, Waiting};
use crate::hold::Shortage;
use crate::message::{Message, Outgoing};

impl Ledger {
    /// Takes a message of another holder.
    pub fn receive(&mut self, now: Instant, from: Arc<str>, message: Message) {
        match message {
            Message::Recall { group, .. } => self.take_recall(now, from, group),
            Message::Recalled {
                group,
                returned,
                in_use,
            } => self.take_answer(now, &from, &group, returned, in_use),
        }
    }

    fn take_recall(&mut self, now: Instant, from: Arc<str>, name: Arc<str>) {
        let scarce_until = now + self.settings.scarce_for;
        let key = self.names.get(&name).copied();
        let found = key.and_then(|key| Some((key, self.allowances.get_mut(&key)?)));
        let Some((group, allowance)) = found else {
            let message = Message::Recalled {
                group: name,
                returned: Tokens::ZERO,
                in_use: Tokens::ZERO,
            };
            self.outbox.push(Outgoing { to: from, message });
            return;
        };
        allowance.scarce_until = scarce_until;
        let strain = allowance.strain();
        if !strain.recallers.contains(&from) {
            strain.recallers.push(from);
        }
        self.due.insert(group);
    }

    fn take_answer(
        &mut self,
        now: Instant,
        from: &Arc<str>,
        name: &Arc<str>,
        returned: Tokens,
        in_use: Tokens,
    ) {
        let Some(&group) = self.names.get(name) else {
            return;
        };
        let Some(allowance) = self.allowances.get_mut(&group) else {
            return;
        };
        let Some(recall) = &mut allowance.strain().recall else {
            return;
        };
        let Some(position) = recall.unanswered.iter().position(|holder| holder == from) else {
            return;
        };
        recall.unanswered.swap_remove(position);
        recall.in_use += in_use;
        recall.lacking = recall.lacking.minus(returned);
        if recall.unanswered.is_empty() || recall.lacking.is_zero() {
            recall.finished.get_or_insert(now);
        }
    }

    /// Asks the other holders to return what lies idle with them.
    pub(super) fn start_recall(&mut self, now: Instant, group: GroupKey, need: Tokens) {
        let fanout = self.settings.recall_fanout;
        let deadline = now + self.settings.recall_wait;
        let scarce_until = now + self.settings.scarce_for;
        let Some(allowance) = self.allowances.get_mut(&group) else {
            return;
        };
        let Some(cached) = &allowance.row else {
            return;
        };
        let free = cached.budget.free();
        let others = cached.budget.grants.keys();
        let mut others: Vec<Arc<str>> = others
            .filter(|holder| **holder != self.holder)
            .cloned()
            .collect();
        let is_partial = others.len() > fanout;
        others.shuffle(&mut self.rng);
        others.truncate(fanout);
        let need = need.minus(allowance.idle() + free);
        for to in &others {
            let message = Message::Recall {
                group: allowance.name.clone(),
                need,
            };
            let to = to.clone();
            self.outbox.push(Outgoing { to, message });
        }
        allowance.scarce_until = scarce_until;
        let finished = others.is_empty().then_some(now);
        allowance.strain().recall = Some(Recall {
            deadline,
            unanswered: others,
            in_use: Tokens::ZERO,
            lacking: need,
            is_partial,
            finished,
        });
    }

    /// Counts what was returned while others wait for an answer.
    pub(super) fn count_recalled(&mut self, group: GroupKey, amount: Tokens) {
        let Some(allowance) = self.allowances.get_mut(&group) else {
            return;
        };
        if allowance.is_recalled() {
            allowance.strain().recalled += amount;
        }
    }

    /// Tells those that recalled this group what was returned.
    pub(super) fn answer_recall(&mut self, now: Instant, group: GroupKey) {
        let Some(allowance) = self.allowances.get_mut(&group) else {
            return;
        };
        if !allowance.is_recalled() {
            return;
        }
        // What could not be returned counts as in use, or the asker would call the budget exhausted.
        let in_use = allowance.in_use() + allowance.idle() + allowance.leaving;
        let name = allowance.name.clone();
        let strain = allowance.strain();
        let returned = std::mem::take(&mut strain.recalled);
        for to in std::mem::take(&mut strain.recallers) {
            let message = Message::Recalled {
                group: name.clone(),
                returned,
                in_use,
            };
            self.outbox.push(Outgoing { to, message });
        }
        allowance.relax(now);
    }

    /// Whether the row is still the one by which the budget was found exhausted.
    ///
    /// Nothing was held or idle anywhere then, and nobody can have drawn since without changing the row.
    pub(super) fn is_still_exhausted(&self, group: GroupKey, waiting: &Waiting) -> bool {
        let allowance = &self.allowances[&group];
        let verdict = allowance.strain.as_ref().and_then(|strain| strain.verdict);
        let revision = allowance.row.as_ref().map(|cached| cached.revision);
        verdict.is_some_and(|verdict| {
            verdict.shortage == Shortage::Exhausted
                && Some(verdict.revision) == revision
                && verdict.need <= waiting.smallest
                && allowance.in_use().is_zero()
        })
    }

    /// Refuses those that wait, by what the recall has shown.
    ///
    /// "Exhausted" is said only when it is certain: every holder of the row has answered and none has
    /// anything left. A holder that does not answer may have ended, or may be cut off from here.
    pub(super) fn judge_by_recall(&mut self, now: Instant, group: GroupKey) {
        let allowance = &self.allowances[&group];
        let is_empty = allowance.recall().is_some_and(|recall| {
            recall.unanswered.is_empty() && recall.in_use.is_zero() && !recall.is_partial
        });
        let shortage = match is_empty && allowance.in_use().is_zero() {
            true => Shortage::Exhausted,
            false => Shortage::InUse {
                retry_after: self.settings.negative_ttl,
            },
        };
        self.judge(now, group, shortage);
    }

    /// Refuses those that wait and repeats the refusal for a while.
    pub(super) fn judge(&mut self, now: Instant, group: GroupKey, shortage: Shortage) {
        let until = now + self.settings.negative_ttl;
        let Some(allowance) = self.allowances.get_mut(&group) else {
            return;
        };
        let Some(waiting) = allowance.waiting() else {
            return;
        };
        let need = waiting.smallest;
        let revision = allowance.row.as_ref().map_or(0, |cached| cached.revision);
        allowance.strain().verdict = Some(Verdict {
            until,
            need,
            shortage,
            revision,
        });
        self.refuse(now, group, shortage);
    }

    /// Refuses those that wait for a row that is absent or cannot be read.
    pub(super) fn give_up(&mut self, now: Instant, group: GroupKey) {
        let retry_after = self.settings.negative_ttl;
        self.judge(now, group, Shortage::Unknown { retry_after });
    }

    /// Ends what has waited too long: recalls without answers, requests while the table is down.
    pub(super) fn expire(&mut self, now: Instant) {
        let is_down = self.table_is_down(now);
        let due: Vec<GroupKey> = self.due.iter().copied().collect();
        for group in due {
            let Some(allowance) = self.allowances.get_mut(&group) else {
                continue;
            };
            if allowance.waiting().is_none() {
                continue;
            }
            if is_down {
                self.refuse(now, group, self.unknown());
                continue;
            }
            let Some(recall) = &mut allowance.strain().recall else {
                continue;
            };
            if recall.deadline <= now {
                recall.finished.get_or_insert(now);
            }
        }
    }
}
