//! Decides how a group's grant should change, given its token counts and the cached row.

use std::time::Duration;

use fescuewell_core::prelude::*;

use super::Ledger;
use crate::allowance::{Allowance, Waiters};
use crate::hold::Shortage;
use crate::policy::{Policy, Settings};
use crate::row::Budget;
use crate::sizing;
use crate::sizing::Inputs;

/// An allowance below this part of its target is renewed.
const RENEW_BELOW_PERCENT: u8 = 75;

/// An allowance below this part of its target joins a renewal that takes place anyway.
const JOIN_BELOW_PERCENT: u8 = 90;

/// Idle tokens above this multiple of the target are surplus.
const SURPLUS_FACTOR: u64 = 2;

/// Age from which a row that limits an allowance is read again, since tokens may have been topped
/// up or returned meanwhile.
const MAX_ROW_AGE: Duration = Duration::from_secs(10);

/// How long the row of an unused group stays cached.
pub(super) const ROW_TTL: Duration = Duration::from_secs(60);

/// What to do about one group.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Intent {
    /// Nothing until another event makes the group due.
    Nothing,
    /// Nothing yet; the group stays due.
    Wait,
    /// Read the row.
    Read,
    /// Set the cumulative grant, or remove it if `None`.
    Grant(Option<Tokens>),
}

impl Ledger {
    /// Decides what to do about one group.
    pub(super) fn intent(&mut self, now: Instant, group: GroupKey) -> Intent {
        let Some(allowance) = self.allowances.get(&group) else {
            return Intent::Nothing;
        };
        if allowance.is_lost {
            self.reply_to_recall(now, group);
            return Intent::Nothing;
        }
        if self.is_closing || !self.policies.contains_key(&group) {
            return self.closing_intent(now, group);
        }
        if allowance.is_recalled() {
            if !allowance.idle().is_zero() {
                return lower_grant(allowance, allowance.idle());
            }
            self.reply_to_recall(now, group);
        }
        let allowance = &self.allowances[&group];
        match allowance.waiters().cloned() {
            Some(waiters) => self.waiter_intent(now, group, &waiters),
            None => self.sizer(now, group).renewal(allowance),
        }
    }

    /// Returns the groups that need a renewal and, if there are any, those that join it.
    pub(super) fn renewals(&mut self, now: Instant) -> Vec<GroupKey> {
        let mut required = Vec::new();
        let mut optional = Vec::new();
        if self.is_closing {
            return required;
        }
        for (&group, allowance) in &mut self.allowances {
            let Some(policy) = self.policies.get(&group) else {
                continue;
            };
            let sizer = Sizer {
                now,
                policy,
                settings: &self.settings,
                holder: &self.holder,
            };
            match sizer.urgency(allowance) {
                Urgency::None => {}
                Urgency::Optional => optional.push(group),
                Urgency::Required => required.push(group),
            }
        }
        if !required.is_empty() {
            required.extend(optional);
        }
        required
    }

    fn sizer(&self, now: Instant, group: GroupKey) -> Sizer<'_> {
        Sizer {
            now,
            policy: &self.policies[&group],
            settings: &self.settings,
            holder: &self.holder,
        }
    }

    fn closing_intent(&mut self, now: Instant, group: GroupKey) -> Intent {
        let allowance = &self.allowances[&group];
        let is_done = allowance.in_use().is_zero();
        let may_remove = self.is_closing || allowance.spent.is_zero();
        if allowance.has_grant && is_done && may_remove {
            return if_row_known(allowance, Intent::Grant(None));
        }
        if allowance.has_grant && !allowance.idle().is_zero() {
            return lower_grant(allowance, allowance.idle());
        }
        self.reply_to_recall(now, group);
        Intent::Nothing
    }

    fn waiter_intent(&mut self, now: Instant, group: GroupKey, waiters: &Waiters) -> Intent {
        let allowance = &self.allowances[&group];
        let Some(cached) = &allowance.row else {
            return Intent::Read;
        };
        let unallocated = cached.budget.unallocated();
        if allowance.idle() + unallocated >= waiters.smallest {
            let drawn = self.sizer(now, group).draw(allowance, waiters);
            return Intent::Grant(Some(allowance.granted + drawn));
        }
        // After a pause of the process the cached row may be outdated although it is newer than the
        // requests.
        let is_old = now.since(cached.as_of) > self.settings.negative_ttl;
        if cached.step <= waiters.step || is_old {
            return Intent::Read;
        }
        let row_step = cached.step;
        if self.is_still_exhausted(group, waiters) {
            self.refuse_and_cache(now, group, Shortage::Exhausted);
            return Intent::Nothing;
        }
        if allowance.recall().is_none() {
            self.start_recall(now, group, waiters.smallest, 0);
        }
        let Some(recall) = self.allowances[&group].recall() else {
            return Intent::Wait;
        };
        match recall.finished_after {
            None => Intent::Wait,
            // The other holders' returns may be newer than the cached row.
            Some(step) if row_step <= step => Intent::Read,
            Some(_) => self.after_recall(now, group, waiters),
        }
    }
}

/// Lowers the grant by `amount`. A grant from which nothing was ever spent is removed, to keep rows
/// short.
fn lower_grant(allowance: &Allowance, amount: Tokens) -> Intent {
    let after = allowance.granted.saturating_sub(amount);
    let intent = match after.is_zero() {
        true => Intent::Grant(None),
        false => Intent::Grant(Some(after)),
    };
    if_row_known(allowance, intent)
}

fn if_row_known(allowance: &Allowance, intent: Intent) -> Intent {
    match allowance.row {
        Some(_) => intent,
        None => Intent::Read,
    }
}

/// Computes the allowances of one group at one point in time.
struct Sizer<'a> {
    now: Instant,
    policy: &'a Policy,
    settings: &'a Settings,
    holder: &'a str,
}

/// Whether a group takes part in a grouped renewal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Urgency {
    None,
    /// Takes part in a renewal that takes place anyway.
    Optional,
    /// Needs a renewal.
    Required,
}

impl Sizer<'_> {
    fn urgency(&self, allowance: &mut Allowance) -> Urgency {
        if allowance.is_lost {
            return Urgency::None;
        }
        if allowance.row.is_none() {
            return self.urgency_without_row(allowance);
        }
        let target = self.target(allowance);
        let idle = allowance.idle();
        if idle.0 > target.0.saturating_mul(SURPLUS_FACTOR) {
            allowance.surplus_since.get_or_insert(self.now);
            return match self.is_surplus_due(allowance) {
                true => Urgency::Required,
                false => Urgency::None,
            };
        }
        allowance.surplus_since = None;
        if idle < sizing::percent(target, RENEW_BELOW_PERCENT) || self.is_row_outdated(allowance) {
            return Urgency::Required;
        }
        match idle < sizing::percent(target, JOIN_BELOW_PERCENT) {
            true => Urgency::Optional,
            false => Urgency::None,
        }
    }

    /// Decides for a group whose row is no longer cached.
    ///
    /// The row is read again when the group is used again, or when it has been unused for so long
    /// that its idle tokens should be returned.
    fn urgency_without_row(&self, allowance: &Allowance) -> Urgency {
        let unused = self.now.since(allowance.used_at);
        let should_return = unused > self.settings.idle_after && !allowance.idle().is_zero();
        let is_used_again = allowance.has_grant && unused < ROW_TTL;
        match should_return || is_used_again {
            true => Urgency::Required,
            false => Urgency::None,
        }
    }

    fn renewal(&self, allowance: &Allowance) -> Intent {
        let idle = allowance.idle();
        if !allowance.has_grant && idle.is_zero() {
            return Intent::Nothing;
        }
        let Some(cached) = &allowance.row else {
            return Intent::Read;
        };
        if self.is_row_outdated(allowance) {
            return Intent::Read;
        }
        let target = self.target(allowance);
        if idle < sizing::percent(target, JOIN_BELOW_PERCENT) {
            let drawn = target.saturating_sub(idle).min(cached.budget.unallocated());
            if !drawn.is_zero() {
                return Intent::Grant(Some(allowance.granted + drawn));
            }
        }
        if self.is_surplus_due(allowance) && idle > target {
            return lower_grant(allowance, idle.saturating_sub(target));
        }
        Intent::Nothing
    }

    /// Returns the amount to draw for waiting requests, plus a reserve unless tokens are short.
    fn draw(&self, allowance: &Allowance, waiters: &Waiters) -> Tokens {
        let unallocated = allowance
            .row
            .as_ref()
            .map(|cached| cached.budget.unallocated());
        let wanted = waiters.total + self.target(allowance);
        wanted
            .saturating_sub(allowance.idle())
            .min(unallocated.unwrap_or_default())
    }

    fn target(&self, allowance: &Allowance) -> Tokens {
        let is_unused = self.now.since(allowance.used_at) > self.settings.idle_after;
        if is_unused || self.now < allowance.scarce_until {
            return Tokens::ZERO;
        }
        sizing::target(self.policy, self.inputs(allowance))
    }

    fn is_surplus_due(&self, allowance: &Allowance) -> bool {
        // While tokens are short, a surplus is returned soon, but not so soon that the next request
        // here has to draw it again.
        let delay = match self.now < allowance.scarce_until {
            true => self.settings.renew_interval,
            false => self.settings.surplus_after,
        };
        let since = allowance.surplus_since;
        since.is_some_and(|since| self.now.since(since) >= delay)
    }

    /// Whether an old cached row keeps the allowance below what the recent use requires.
    fn is_row_outdated(&self, allowance: &Allowance) -> bool {
        let Some(cached) = &allowance.row else {
            return false;
        };
        let is_new = self.now.since(cached.as_of) < MAX_ROW_AGE;
        if is_new || self.now < allowance.scarce_until {
            return false;
        }
        let wanted = sizing::unlimited_target(self.policy, self.inputs(allowance));
        allowance.idle() < sizing::percent(wanted, RENEW_BELOW_PERCENT)
    }

    fn inputs(&self, allowance: &Allowance) -> Inputs {
        let rate = allowance.rate.per_second(self.now);
        let mean_hold = allowance.rate.mean_hold();
        let idle = allowance.idle();
        let budget = allowance.row.as_ref().map(|cached| &cached.budget);
        Inputs {
            rate,
            others_rate: budget.map_or(0, |budget| budget.rate_of_others(self.holder)),
            mean_hold,
            unallocated: budget.map(Budget::unallocated).unwrap_or_default(),
            idle,
        }
    }
}
