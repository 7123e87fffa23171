//! What a group's grant should become, given its sums and the row as last seen.

use std::time::Duration;

use fescuewell_core::prelude::*;

use super::Ledger;
use crate::allowance::{Allowance, Waiting};
use crate::hold::Shortage;
use crate::policy::{Policy, Settings};
use crate::row::Budget;
use crate::sizing;
use crate::sizing::View;

/// An allowance below this part of its target asks for a renewal.
const TRIGGER_PERCENT: u8 = 75;

/// A renewal that takes place anyway takes along allowances below this part of their targets.
const JOIN_PERCENT: u8 = 90;

/// Idle tokens above this many targets are surplus.
const SURPLUS_FACTOR: u64 = 2;

/// Age from which a row that keeps an allowance small is looked at again: the money may have been
/// topped up or returned meanwhile.
const ROW_AGE: Duration = Duration::from_secs(10);

/// How long the row of a group that is not used is kept in memory.
pub(super) const ROW_KEPT: Duration = Duration::from_secs(60);

/// What should be done about one group.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Intent {
    /// Nothing; it need not be looked at again until something happens.
    Nothing,
    /// Nothing yet.
    Wait,
    /// Read the row.
    Look,
    /// Set the cumulative grant, or remove it.
    Grant(Option<Tokens>),
}

impl Ledger {
    /// Decides about one group.
    pub(super) fn intent(&mut self, now: Instant, group: GroupKey) -> Intent {
        let Some(allowance) = self.allowances.get(&group) else {
            return Intent::Nothing;
        };
        if allowance.is_lost {
            self.answer_recall(now, group);
            return Intent::Nothing;
        }
        if self.is_closing || !self.policies.contains_key(&group) {
            return self.closing_intent(now, group);
        }
        if allowance.is_recalled() {
            if !allowance.idle().is_zero() {
                return lower(allowance, allowance.idle());
            }
            self.answer_recall(now, group);
        }
        let allowance = &self.allowances[&group];
        match allowance.waiting().cloned() {
            Some(waiting) => self.waiting_intent(now, group, &waiting),
            None => self.sizer(now, group).renewal(allowance),
        }
    }

    /// Groups that ask for a renewal, with those that join once there is one.
    pub(super) fn renewals(&mut self, now: Instant) -> Vec<GroupKey> {
        let mut asking = Vec::new();
        let mut joining = Vec::new();
        if self.is_closing {
            return asking;
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
                Urgency::Joins => joining.push(group),
                Urgency::Asks => asking.push(group),
            }
        }
        if !asking.is_empty() {
            asking.extend(joining);
        }
        asking
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
        if allowance.is_listed && is_done && may_remove {
            return with_row(allowance, Intent::Grant(None));
        }
        if allowance.is_listed && !allowance.idle().is_zero() {
            return lower(allowance, allowance.idle());
        }
        self.answer_recall(now, group);
        Intent::Nothing
    }

    fn waiting_intent(&mut self, now: Instant, group: GroupKey, waiting: &Waiting) -> Intent {
        let allowance = &self.allowances[&group];
        let Some(cached) = &allowance.row else {
            return Intent::Look;
        };
        let free = cached.budget.unallocated();
        if allowance.idle() + free >= waiting.smallest {
            let drawn = self.sizer(now, group).draw(allowance, waiting);
            return Intent::Grant(Some(allowance.granted + drawn));
        }
        // After a pause of the process the view may be old although it is younger than the requests.
        let is_old = now.since(cached.seen) > self.settings.negative_ttl;
        if cached.step <= waiting.step || is_old {
            return Intent::Look;
        }
        let shown_by = cached.step;
        if self.is_still_exhausted(group, waiting) {
            self.judge(now, group, Shortage::Exhausted);
            return Intent::Nothing;
        }
        if allowance.recall().is_none() {
            self.start_recall(now, group, waiting.smallest, 0);
        }
        let Some(recall) = self.allowances[&group].recall() else {
            return Intent::Wait;
        };
        match recall.finished {
            None => Intent::Wait,
            // The others' returns may have come after the row was seen.
            Some(finished) if shown_by <= finished => Intent::Look,
            Some(_) => self.after_recall(now, group, waiting),
        }
    }
}

/// The grant lowered by `amount`; removed when nothing was ever spent from it, to keep rows short.
fn lower(allowance: &Allowance, amount: Tokens) -> Intent {
    let after = allowance.granted.minus(amount);
    let intent = match after.is_zero() {
        true => Intent::Grant(None),
        false => Intent::Grant(Some(after)),
    };
    with_row(allowance, intent)
}

fn with_row(allowance: &Allowance, intent: Intent) -> Intent {
    match allowance.row {
        Some(_) => intent,
        None => Intent::Look,
    }
}

/// Sizes the allowances of one group at one moment.
struct Sizer<'a> {
    now: Instant,
    policy: &'a Policy,
    settings: &'a Settings,
    holder: &'a str,
}

/// How much a group wants to take part in a grouped renewal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Urgency {
    None,
    /// If there is one anyway.
    Joins,
    /// It asks for one.
    Asks,
}

impl Sizer<'_> {
    fn urgency(&self, allowance: &mut Allowance) -> Urgency {
        if allowance.is_lost {
            return Urgency::None;
        }
        if allowance.row.is_none() {
            return self.urgency_unseen(allowance);
        }
        let target = self.target(allowance);
        let idle = allowance.idle();
        if idle.0 > target.0.saturating_mul(SURPLUS_FACTOR) {
            allowance.surplus_since.get_or_insert(self.now);
            return match self.is_surplus_ripe(allowance) {
                true => Urgency::Asks,
                false => Urgency::None,
            };
        }
        allowance.surplus_since = None;
        if idle < sizing::percent(target, TRIGGER_PERCENT) || self.is_outdated(allowance) {
            return Urgency::Asks;
        }
        match idle < sizing::percent(target, JOIN_PERCENT) {
            true => Urgency::Joins,
            false => Urgency::None,
        }
    }

    /// The row of a group that has not been used for a while is forgotten. It is read again when the
    /// group is used again, or has not been for so long that its idle allowance should go back.
    fn urgency_unseen(&self, allowance: &Allowance) -> Urgency {
        let unused = self.now.since(allowance.used_at);
        let should_return = unused > self.settings.idle_after && !allowance.idle().is_zero();
        let is_used_again = allowance.is_listed && unused < ROW_KEPT;
        match should_return || is_used_again {
            true => Urgency::Asks,
            false => Urgency::None,
        }
    }

    fn renewal(&self, allowance: &Allowance) -> Intent {
        let idle = allowance.idle();
        if !allowance.is_listed && idle.is_zero() {
            return Intent::Nothing;
        }
        let Some(cached) = &allowance.row else {
            return Intent::Look;
        };
        if self.is_outdated(allowance) {
            return Intent::Look;
        }
        let target = self.target(allowance);
        if idle < sizing::percent(target, JOIN_PERCENT) {
            let drawn = target.minus(idle).min(cached.budget.unallocated());
            if !drawn.is_zero() {
                return Intent::Grant(Some(allowance.granted + drawn));
            }
        }
        if self.is_surplus_ripe(allowance) && idle > target {
            return lower(allowance, idle.minus(target));
        }
        Intent::Nothing
    }

    /// How much to draw for those that wait, with a reserve while there is plenty.
    fn draw(&self, allowance: &Allowance, waiting: &Waiting) -> Tokens {
        let free = allowance
            .row
            .as_ref()
            .map(|cached| cached.budget.unallocated());
        let wanted = waiting.sum + self.target(allowance);
        wanted.minus(allowance.idle()).min(free.unwrap_or_default())
    }

    fn target(&self, allowance: &Allowance) -> Tokens {
        let is_unused = self.now.since(allowance.used_at) > self.settings.idle_after;
        if is_unused || self.now < allowance.scarce_until {
            return Tokens::ZERO;
        }
        sizing::target(self.policy, self.view(allowance))
    }

    fn is_surplus_ripe(&self, allowance: &Allowance) -> bool {
        // What lies idle while money is short goes back soon, but not so soon that the next
        // request here, which would use it, needs a write of its own.
        let linger = match self.now < allowance.scarce_until {
            true => self.settings.renew_interval,
            false => self.settings.surplus_after,
        };
        let since = allowance.surplus_since;
        since.is_some_and(|since| self.now.since(since) >= linger)
    }

    /// Whether an old view of the row keeps the allowance smaller than its use asks for.
    fn is_outdated(&self, allowance: &Allowance) -> bool {
        let Some(cached) = &allowance.row else {
            return false;
        };
        let is_new = self.now.since(cached.seen) < ROW_AGE;
        if is_new || self.now < allowance.scarce_until {
            return false;
        }
        let wanted = sizing::wanted(self.policy, self.view(allowance));
        allowance.idle() < sizing::percent(wanted, TRIGGER_PERCENT)
    }

    fn view(&self, allowance: &Allowance) -> View {
        let rate = allowance.rate.per_second(self.now);
        let usual_hold = allowance.rate.usual_hold();
        let idle = allowance.idle();
        let budget = allowance.row.as_ref().map(|cached| &cached.budget);
        View {
            rate,
            others: budget.map_or(0, |budget| budget.rate_of_others(self.holder)),
            usual_hold,
            unallocated: budget.map(Budget::unallocated).unwrap_or_default(),
            idle,
        }
    }
}
