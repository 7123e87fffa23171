//! One group's allowance at one instance: its token counts and the requests that wait for it.

use std::sync::Arc;

use fescuewell_core::prelude::*;
use fescuewell_core::table;

use crate::hold::Shortage;
use crate::rate::Rate;
use crate::row::Budget;

/// A cached copy of a budget row.
#[derive(Debug, Clone)]
pub(crate) struct Cached {
    pub revision: u64,
    /// When the read or write that returned the row was issued; the copy is at least as recent.
    pub as_of: Instant,
    /// Number of the step that returned the row.
    pub step: u64,
    pub budget: Budget,
}

/// Time and sequence number of an issued table operation.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct IssuedStep {
    pub at: Instant,
    pub step: u64,
}

/// Requests that wait for a draw.
#[derive(Debug, Clone)]
pub(crate) struct Waiters {
    pub since: Instant,
    /// Number of the last step issued before the first of them arrived.
    pub step: u64,
    /// Sum of the amounts they need.
    pub total: Tokens,
    /// Smallest amount that one of them needs; with fewer idle tokens none can continue.
    pub smallest: Tokens,
}

/// A recall sent to other holders on behalf of waiting requests.
#[derive(Debug, Clone)]
pub(crate) struct Recall {
    pub deadline: Instant,
    /// Number of earlier recalls for the same requests.
    pub round: u32,
    /// Earliest time of the next recall.
    pub retry_at: Instant,
    /// Every other holder in the row with its grant when the recall started.
    pub grants_before: Vec<(Arc<str>, Tokens)>,
    pub unanswered: Vec<Arc<str>>,
    /// Sum of the amounts that the others reported as held or owed.
    pub in_use: Tokens,
    /// Tokens still missing after the reported returns.
    pub shortfall: Tokens,
    /// Whether some holder was not asked because the fan-out is limited.
    pub is_partial: bool,
    /// Number of the last step issued before the last reply arrived or the deadline passed. A step
    /// number and not a time, since a read issued at the same instant may still show the row before
    /// the returns.
    pub finished_after: Option<u64>,
}

impl Recall {
    /// Whether another holder has been granted more since the recall started.
    ///
    /// Its reply, if it was asked at all, does not cover the new tokens.
    pub fn has_newer_grants(&self, holder: &str, budget: &Budget) -> bool {
        let mut grants = budget.grants.iter();
        grants.any(|(other, grant)| {
            let earlier = self.grants_before.iter().find(|(name, _)| name == other);
            let before = earlier.map_or(Tokens::ZERO, |(_, granted)| *granted);
            **other != *holder && grant.granted > before
        })
    }
}

/// A refusal that is repeated for a while without reading the row again.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CachedRefusal {
    pub until: Instant,
    pub min_amount: Tokens,
    pub shortage: Shortage,
    pub revision: u64,
}

impl CachedRefusal {
    /// Whether the refusal can be dropped. One for an exhausted budget is kept, since it stays
    /// valid without another recall while the row keeps its revision.
    fn is_stale(&self, now: Instant) -> bool {
        self.until < now && self.shortage != Shortage::Exhausted
    }
}

/// State that a group needs only while tokens are short; absent otherwise.
#[derive(Debug, Clone, Default)]
pub(crate) struct Scarcity {
    pub waiters: Option<Waiters>,
    pub recall: Option<Recall>,
    pub refusal: Option<CachedRefusal>,
    /// Holders that asked for idle tokens and wait for a reply.
    pub recallers: Vec<Arc<str>>,
    /// Tokens returned for them so far.
    pub returned: Tokens,
}

/// One group's token counts. `spent + owed + held + returning <= granted` always holds; the
/// difference is idle.
#[derive(Debug, Clone)]
pub(crate) struct Allowance {
    pub name: Arc<str>,
    /// Cumulative grant according to the table.
    pub granted: Tokens,
    /// Tokens charged by durable bills.
    pub spent: Tokens,
    /// Tokens settled by bills that are not durable yet.
    pub owed: Tokens,
    pub held: Tokens,
    /// Tokens of a return whose outcome is unknown. They must not be spent, since the return may
    /// have reached the row.
    pub returning: Tokens,
    /// Whether the row has a grant of this holder.
    pub has_grant: bool,
    /// Whether another process removed the grant.
    pub is_lost: bool,
    pub rate: Rate,
    pub used_at: Instant,
    pub surplus_since: Option<Instant>,
    pub scarce_until: Instant,
    pub row: Option<Box<Cached>>,
    pub scarcity: Option<Box<Scarcity>>,
}

impl Allowance {
    pub fn new(now: Instant, name: Arc<str>) -> Self {
        Self {
            name,
            granted: Tokens::ZERO,
            spent: Tokens::ZERO,
            owed: Tokens::ZERO,
            held: Tokens::ZERO,
            returning: Tokens::ZERO,
            has_grant: false,
            is_lost: false,
            rate: Rate::new(now),
            used_at: now,
            surplus_since: None,
            scarce_until: now,
            row: None,
            scarcity: None,
        }
    }

    /// Tokens available for new holds.
    pub fn idle(&self) -> Tokens {
        self.granted
            .saturating_sub(self.spent + self.owed + self.held + self.returning)
    }

    /// Tokens held or owed.
    pub fn in_use(&self) -> Tokens {
        self.held + self.owed
    }

    pub fn try_hold(&mut self, amount: Tokens) -> bool {
        if self.idle() < amount {
            return false;
        }
        self.held += amount;
        true
    }

    pub fn scarcity(&mut self) -> &mut Scarcity {
        self.scarcity.get_or_insert_default()
    }

    pub fn waiters(&self) -> Option<&Waiters> {
        self.scarcity.as_ref()?.waiters.as_ref()
    }

    pub fn recall(&self) -> Option<&Recall> {
        self.scarcity.as_ref()?.recall.as_ref()
    }

    pub fn is_recalled(&self) -> bool {
        let scarcity = self.scarcity.as_ref();
        scarcity.is_some_and(|scarcity| !scarcity.recallers.is_empty())
    }

    /// Adds a request to the waiting ones.
    pub fn add_waiter(&mut self, now: Instant, step: u64, amount: Tokens) {
        let waiters = self.scarcity().waiters.get_or_insert(Waiters {
            since: now,
            step,
            total: Tokens::ZERO,
            smallest: amount,
        });
        waiters.total += amount;
        waiters.smallest = waiters.smallest.min(amount);
    }

    /// Removes the waiting requests, which retry or are refused; returns whether there were any.
    pub fn clear_waiters(&mut self) -> bool {
        let Some(scarcity) = &mut self.scarcity else {
            return false;
        };
        scarcity.recall = None;
        scarcity.waiters.take().is_some()
    }

    /// Drops the cached refusal.
    pub fn clear_refusal(&mut self) {
        if let Some(scarcity) = &mut self.scarcity {
            scarcity.refusal = None;
        }
    }

    /// Returns the cached refusal if it still applies to a request of this amount.
    pub fn cached_refusal(&self, now: Instant, amount: Tokens) -> Option<Shortage> {
        let refusal = self.scarcity.as_ref()?.refusal.as_ref()?;
        let applies = now < refusal.until && amount >= refusal.min_amount;
        applies.then_some(refusal.shortage)
    }

    /// Drops the scarcity state once nothing in it is needed.
    pub fn prune_scarcity(&mut self, now: Instant) {
        let Some(scarcity) = &self.scarcity else {
            return;
        };
        let is_over = scarcity.waiters.is_none()
            && scarcity.recallers.is_empty()
            && scarcity.refusal.is_none_or(|refusal| refusal.is_stale(now));
        if is_over {
            self.scarcity = None;
        }
    }

    /// Updates the allowance from a row, unless the cached row is newer.
    ///
    /// Only this holder changes its grant while it is alive, so the row's grant is correct whenever
    /// no write of this holder is pending. A missing grant was removed after proof that this holder
    /// had terminated (or the group was deleted), so its idle tokens must not be spent.
    pub fn observe(&mut self, issued: IssuedStep, row: &table::Row, holder: &str) -> Observation {
        let known = self.row.as_ref().map_or(0, |cached| cached.revision);
        if row.revision < known {
            return Observation::Current;
        }
        let Ok(budget) = Budget::parse(&row.value) else {
            self.row = None;
            return Observation::Unreadable;
        };
        let mut observation = Observation::Current;
        match budget.grants.get(holder) {
            Some(grant) => {
                self.granted = grant.granted;
                self.has_grant = true;
            }
            None if self.has_grant => observation = Observation::GrantMissing,
            None => {}
        }
        let revision = row.revision;
        self.row = Some(Box::new(Cached {
            revision,
            as_of: issued.at,
            step: issued.step,
            budget,
        }));
        observation
    }

    /// Stops spending after the grant or the row was removed.
    pub fn mark_lost(&mut self) {
        self.granted = self.spent + self.owed + self.held;
        self.returning = Tokens::ZERO;
        self.is_lost = true;
        self.has_grant = false;
    }
}

/// Result of reading a budget row.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Observation {
    /// The cached row is up to date.
    Current,
    /// The row cannot be parsed.
    Unreadable,
    /// The row no longer has a grant of this holder.
    GrantMissing,
}
