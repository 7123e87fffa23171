//! Recalls between holders, and refusals while tokens are short.

use std::sync::Arc;
use std::time::Duration;

use fescuewell_core::prelude::*;
use rand::seq::SliceRandom;

use super::Ledger;
use super::intent::Intent;
use crate::allowance::{CachedRefusal, Recall, Waiters};
use crate::hold::Shortage;
use crate::message::{Message, Outgoing};

/// The pause after the first recall is `in_use_ttl` divided by this; it doubles with each round.
const FIRST_PAUSE_DIVISOR: u32 = 8;

/// Number of rounds after which the pause is no longer doubled.
const MAX_DOUBLINGS: u32 = 8;

/// Maximum age of the cached row when a request is refused because tokens are in use.
const MAX_ROW_AGE_AT_REFUSAL: Duration = Duration::from_millis(20);

/// What a recall shows that did not return enough tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RecallOutcome {
    /// No tokens can become available: every holder in the row has replied, none has idle tokens or
    /// tokens in use, and none has drawn since.
    Exhausted,
    /// Requests in progress may release tokens within moments.
    InUse,
    /// Some holder did not reply; it may have terminated or be unreachable from here.
    Unanswered,
}

impl Ledger {
    /// Handles a message from another holder.
    pub fn receive(&mut self, now: Instant, from: Arc<str>, message: Message) {
        match message {
            Message::Recall { group, .. } => self.handle_recall(now, from, group),
            Message::Recalled {
                group,
                returned,
                in_use,
            } => self.handle_recalled(&from, &group, returned, in_use),
        }
    }

    fn handle_recall(&mut self, now: Instant, from: Arc<str>, name: Arc<str>) {
        let scarce_until = now + self.settings.scarce_for;
        let key = self.keys_by_name.get(&name).copied();
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
        let scarcity = allowance.scarcity();
        if !scarcity.recallers.contains(&from) {
            scarcity.recallers.push(from);
        }
        self.due.insert(group);
    }

    fn handle_recalled(
        &mut self,
        from: &Arc<str>,
        name: &Arc<str>,
        returned: Tokens,
        in_use: Tokens,
    ) {
        let Some(&group) = self.keys_by_name.get(name) else {
            return;
        };
        let step = self.work.issued.step;
        let Some(allowance) = self.allowances.get_mut(&group) else {
            return;
        };
        let Some(recall) = &mut allowance.scarcity().recall else {
            return;
        };
        let Some(position) = recall.unanswered.iter().position(|holder| holder == from) else {
            return;
        };
        recall.unanswered.swap_remove(position);
        recall.in_use += in_use;
        recall.shortfall = recall.shortfall.saturating_sub(returned);
        if recall.unanswered.is_empty() || recall.shortfall.is_zero() {
            recall.finished_after.get_or_insert(step);
        }
    }

    /// Asks the other holders to return their idle tokens.
    pub(super) fn start_recall(&mut self, now: Instant, group: GroupKey, need: Tokens, round: u32) {
        let pause = self.settings.in_use_ttl / FIRST_PAUSE_DIVISOR;
        let retry_at = now + pause * 2u32.pow(round.min(MAX_DOUBLINGS));
        let fanout = self.settings.recall_fanout;
        let deadline = now + self.settings.recall_wait;
        let scarce_until = now + self.settings.scarce_for;
        let Some(allowance) = self.allowances.get_mut(&group) else {
            return;
        };
        let Some(cached) = &allowance.row else {
            return;
        };
        let unallocated = cached.budget.unallocated();
        let grants = cached.budget.grants.iter();
        let grants_before: Vec<(Arc<str>, Tokens)> = grants
            .filter(|(holder, _)| **holder != self.holder)
            .map(|(holder, grant)| (holder.clone(), grant.granted))
            .collect();
        let mut others: Vec<Arc<str>> = grants_before
            .iter()
            .map(|(holder, _)| holder.clone())
            .collect();
        let is_partial = others.len() > fanout;
        others.shuffle(&mut self.rng);
        others.truncate(fanout);
        let need = need.saturating_sub(allowance.idle() + unallocated);
        for to in &others {
            let message = Message::Recall {
                group: allowance.name.clone(),
                need,
            };
            let to = to.clone();
            self.outbox.push(Outgoing { to, message });
        }
        allowance.scarce_until = scarce_until;
        let finished_after = others.is_empty().then_some(0);
        allowance.scarcity().recall = Some(Recall {
            deadline,
            round,
            retry_at,
            grants_before,
            unanswered: others,
            in_use: Tokens::ZERO,
            shortfall: need,
            is_partial,
            finished_after,
        });
    }

    /// Adds a return to those reported to the holders that wait for a reply.
    pub(super) fn record_return(&mut self, group: GroupKey, amount: Tokens) {
        let Some(allowance) = self.allowances.get_mut(&group) else {
            return;
        };
        if allowance.is_recalled() {
            allowance.scarcity().returned += amount;
        }
    }

    /// Replies to the holders that recalled this group with the amount returned.
    pub(super) fn reply_to_recall(&mut self, now: Instant, group: GroupKey) {
        let Some(allowance) = self.allowances.get_mut(&group) else {
            return;
        };
        if !allowance.is_recalled() {
            return;
        }
        // Idle tokens that could not be returned are reported as in use; otherwise the other holder
        // would treat the budget as exhausted.
        let in_use = allowance.in_use() + allowance.idle() + allowance.returning;
        let name = allowance.name.clone();
        let scarcity = allowance.scarcity();
        let returned = std::mem::take(&mut scarcity.returned);
        for to in std::mem::take(&mut scarcity.recallers) {
            let message = Message::Recalled {
                group: name.clone(),
                returned,
                in_use,
            };
            self.outbox.push(Outgoing { to, message });
        }
        allowance.prune_scarcity(now);
    }

    /// Whether the row is unchanged since the budget was found exhausted.
    ///
    /// No tokens were held or idle anywhere then, and a later draw would have changed the row.
    pub(super) fn is_still_exhausted(&self, group: GroupKey, waiters: &Waiters) -> bool {
        let allowance = &self.allowances[&group];
        let refusal = allowance
            .scarcity
            .as_ref()
            .and_then(|scarcity| scarcity.refusal);
        let revision = allowance.row.as_ref().map(|cached| cached.revision);
        refusal.is_some_and(|refusal| {
            refusal.shortage == Shortage::Exhausted
                && Some(refusal.revision) == revision
                && refusal.min_amount <= waiters.smallest
                && allowance.in_use().is_zero()
        })
    }

    /// Sends another recall or refuses, after a recall that did not return enough.
    pub(super) fn after_recall(
        &mut self,
        now: Instant,
        group: GroupKey,
        waiters: &Waiters,
    ) -> Intent {
        let round = self.allowances[&group].recall().map(|recall| recall.round);
        let outcome = self.recall_outcome(group);
        let may_wait = now.since(waiters.since) < self.settings.max_wait;
        if outcome == RecallOutcome::InUse && may_wait {
            let retry_at = self.allowances[&group]
                .recall()
                .map(|recall| recall.retry_at);
            if retry_at.is_some_and(|retry_at| now >= retry_at) {
                self.start_recall(now, group, waiters.smallest, round.unwrap_or(0) + 1);
            }
            return Intent::Wait;
        }
        // Without a recent read, a request could be refused although tokens were returned since.
        let row = self.allowances[&group].row.as_ref();
        let is_old = row.is_none_or(|cached| now.since(cached.as_of) > MAX_ROW_AGE_AT_REFUSAL);
        if outcome != RecallOutcome::Exhausted && is_old {
            return Intent::Read;
        }
        let retry_after = match outcome {
            RecallOutcome::Exhausted => {
                self.refuse_and_cache(now, group, Shortage::Exhausted);
                return Intent::Nothing;
            }
            RecallOutcome::InUse => self.settings.in_use_ttl,
            RecallOutcome::Unanswered => self.settings.negative_ttl,
        };
        self.refuse_and_cache(now, group, Shortage::InUse { retry_after });
        Intent::Nothing
    }

    /// Evaluates the replies to a recall.
    fn recall_outcome(&self, group: GroupKey) -> RecallOutcome {
        let allowance = &self.allowances[&group];
        let Some((recall, cached)) = allowance.recall().zip(allowance.row.as_ref()) else {
            return RecallOutcome::Unanswered;
        };
        let has_newer_grants = recall.has_newer_grants(&self.holder, &cached.budget);
        let in_use = allowance.in_use() + recall.in_use;
        if has_newer_grants || !in_use.is_zero() {
            return RecallOutcome::InUse;
        }
        match recall.unanswered.is_empty() && !recall.is_partial {
            true => RecallOutcome::Exhausted,
            false => RecallOutcome::Unanswered,
        }
    }

    /// Refuses the waiting requests and caches the refusal.
    pub(super) fn refuse_and_cache(&mut self, now: Instant, group: GroupKey, shortage: Shortage) {
        let ttl = match shortage {
            Shortage::InUse { retry_after } => retry_after,
            _ => self.settings.negative_ttl,
        };
        let Some(allowance) = self.allowances.get_mut(&group) else {
            return;
        };
        let Some(waiters) = allowance.waiters() else {
            return;
        };
        let min_amount = waiters.smallest;
        let revision = allowance.row.as_ref().map_or(0, |cached| cached.revision);
        allowance.scarcity().refusal = Some(CachedRefusal {
            until: now + ttl,
            min_amount,
            shortage,
            revision,
        });
        self.refuse(now, group, shortage);
    }

    /// Refuses the waiting requests because the row is missing or cannot be parsed.
    pub(super) fn refuse_unknown(&mut self, now: Instant, group: GroupKey) {
        let retry_after = self.settings.negative_ttl;
        self.refuse_and_cache(now, group, Shortage::Unknown { retry_after });
    }

    /// Ends recalls whose deadline has passed and, while the table is down, refuses waiting
    /// requests.
    pub(super) fn expire(&mut self, now: Instant) {
        let is_down = self.table_is_down(now);
        let step = self.work.issued.step;
        let due: Vec<GroupKey> = self.due.iter().copied().collect();
        for group in due {
            let Some(allowance) = self.allowances.get_mut(&group) else {
                continue;
            };
            if allowance.waiters().is_none() {
                continue;
            }
            if is_down {
                self.refuse(now, group, self.unknown_shortage());
                continue;
            }
            let Some(recall) = &mut allowance.scarcity().recall else {
                continue;
            };
            if recall.deadline <= now {
                recall.finished_after.get_or_insert(step);
            }
        }
    }
}
