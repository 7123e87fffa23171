//! Recalls between holders, and what may be said to requests when money is short.

use std::sync::Arc;
use std::time::Duration;

use fescuewell_core::prelude::*;
use rand::seq::SliceRandom;

use super::Ledger;
use super::intent::Intent;
use crate::allowance::{Recall, Verdict, Waiting};
use crate::hold::Shortage;
use crate::message::{Message, Outgoing};

/// The pause after the first recall is this part of the time for which "in use" is repeated; it
/// doubles with each round.
const FIRST_PAUSE_PART: u32 = 8;

/// Most doublings of the pause.
const MAX_DOUBLINGS: u32 = 8;

/// Age that the view of the row may have when a request is refused because money is in use.
const LAST_LOOK: Duration = Duration::from_millis(20);

/// What is known after a recall that has not brought enough.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Prospect {
    /// Certain: nothing is left that could come back. Every holder of the row has answered, none has
    /// anything idle or in use, and none has drawn since.
    Empty,
    /// Requests under way may give something back within moments.
    Moving,
    /// Some holder did not answer; it may have ended, or may be cut off from here.
    Silent,
}

impl Ledger {
    /// Takes a message of another holder.
    pub fn receive(&mut self, now: Instant, from: Arc<str>, message: Message) {
        match message {
            Message::Recall { group, .. } => self.take_recall(now, from, group),
            Message::Recalled {
                group,
                returned,
                in_use,
            } => self.take_answer(&from, &group, returned, in_use),
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

    fn take_answer(&mut self, from: &Arc<str>, name: &Arc<str>, returned: Tokens, in_use: Tokens) {
        let Some(&group) = self.names.get(name) else {
            return;
        };
        let step = self.work.asked.step;
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
            recall.finished.get_or_insert(step);
        }
    }

    /// Asks the other holders to return what lies idle with them.
    pub(super) fn start_recall(&mut self, now: Instant, group: GroupKey, need: Tokens, round: u32) {
        let pause = self.settings.in_use_ttl / FIRST_PAUSE_PART;
        let again_at = now + pause * 2u32.pow(round.min(MAX_DOUBLINGS));
        let fanout = self.settings.recall_fanout;
        let deadline = now + self.settings.recall_wait;
        let scarce_until = now + self.settings.scarce_for;
        let Some(allowance) = self.allowances.get_mut(&group) else {
            return;
        };
        let Some(cached) = &allowance.row else {
            return;
        };
        let free = cached.budget.unallocated();
        let grants = cached.budget.grants.iter();
        let asked: Vec<(Arc<str>, Tokens)> = grants
            .filter(|(holder, _)| **holder != self.holder)
            .map(|(holder, grant)| (holder.clone(), grant.granted))
            .collect();
        let mut others: Vec<Arc<str>> = asked.iter().map(|(holder, _)| holder.clone()).collect();
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
        let finished = others.is_empty().then_some(0);
        allowance.strain().recall = Some(Recall {
            deadline,
            round,
            again_at,
            asked,
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

    /// Asks again or refuses, when a recall has not brought enough.
    pub(super) fn after_recall(
        &mut self,
        now: Instant,
        group: GroupKey,
        waiting: &Waiting,
    ) -> Intent {
        let round = self.allowances[&group].recall().map(|recall| recall.round);
        let prospect = self.prospect(group);
        let is_patient = now.since(waiting.since) < self.settings.max_wait;
        if prospect == Prospect::Moving && is_patient {
            let again_at = self.allowances[&group]
                .recall()
                .map(|recall| recall.again_at);
            if again_at.is_some_and(|again_at| now >= again_at) {
                self.start_recall(now, group, waiting.smallest, round.unwrap_or(0) + 1);
            }
            return Intent::Wait;
        }
        // Money that came back on its own since the last look would be refused for no reason.
        let row = self.allowances[&group].row.as_ref();
        let is_old = row.is_none_or(|cached| now.since(cached.seen) > LAST_LOOK);
        if prospect != Prospect::Empty && is_old {
            return Intent::Look;
        }
        let retry_after = match prospect {
            Prospect::Empty => {
                self.judge(now, group, Shortage::Exhausted);
                return Intent::Nothing;
            }
            Prospect::Moving => self.settings.in_use_ttl,
            Prospect::Silent => self.settings.negative_ttl,
        };
        self.judge(now, group, Shortage::InUse { retry_after });
        Intent::Nothing
    }

    /// What the answers to a recall say about the money that is left.
    fn prospect(&self, group: GroupKey) -> Prospect {
        let allowance = &self.allowances[&group];
        let Some((recall, cached)) = allowance.recall().zip(allowance.row.as_ref()) else {
            return Prospect::Silent;
        };
        let is_overtaken = recall.is_overtaken(&self.holder, &cached.budget);
        let in_use = allowance.in_use() + recall.in_use;
        if is_overtaken || !in_use.is_zero() {
            return Prospect::Moving;
        }
        match recall.unanswered.is_empty() && !recall.is_partial {
            true => Prospect::Empty,
            false => Prospect::Silent,
        }
    }

    /// Refuses those that wait and repeats the refusal for a while.
    pub(super) fn judge(&mut self, now: Instant, group: GroupKey, shortage: Shortage) {
        let ttl = match shortage {
            Shortage::InUse { retry_after } => retry_after,
            _ => self.settings.negative_ttl,
        };
        let Some(allowance) = self.allowances.get_mut(&group) else {
            return;
        };
        let Some(waiting) = allowance.waiting() else {
            return;
        };
        let need = waiting.smallest;
        let revision = allowance.row.as_ref().map_or(0, |cached| cached.revision);
        allowance.strain().verdict = Some(Verdict {
            until: now + ttl,
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
        let step = self.work.asked.step;
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
                recall.finished.get_or_insert(step);
            }
        }
    }
}
