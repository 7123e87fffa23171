//! Grants after the store has come back from a copy.
//!
//! What was written in the seconds before is gone: the rows show grants as they were, so that tokens which a holder has drawn
//! since look free. If anybody drew them they would be spent twice. Therefore, in each era of the store:
//!
//! 1. Each transaction on ledgers expects the version of one row, the [`Fence`]. The first one of an era writes it anew, so that what
//!    was sent in a former era and arrives late has no effect.
//! 2. A holder goes by what it knew of its own grant, never by the copy, and *confirms* it: it writes it anew, with the era. For the
//!    holders that have not confirmed theirs it writes the larger of the copy's figure and what it knew.
//! 3. Nobody draws until the era is *settled*: each instance that gives a status has confirmed all its grants, and each that gives none
//!    has had the time for it. The fence then names the holders that were unconfirmed: those that lived at that time and have not
//!    confirmed, or were killed meanwhile and know nothing.
//! 4. While any is unconfirmed, all that seemed to be free of an account may be its, and is set aside before anybody draws: granted to
//!    nobody, under a name of its own. Once all that were unconfirmed have confirmed their grants it is free again.
//!
//! ```text
//!  former era --- first answer of the new one ---> Unconfirmed --- ledgers written ---> Confirmed
//!                                                                                          |
//!                       draws as usual <--- Settled <--- all heard, or had their time -----+
//! ```

use std::collections::BTreeSet;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::row::{Grant, Ledger};

/// The row that keeps transactions of former eras out, and tells whether the present one is settled.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fence {
    /// Era in which it was written.
    pub era: u32,
    /// Holders that were unconfirmed when the era was settled; nothing while it is not.
    pub unconfirmed: Option<Vec<Arc<str>>>,
}

/// What a holder's status says of its grants.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// The holder.
    pub holder: Arc<str>,
    /// Era in which it has confirmed all its grants.
    pub era: u32,
    /// Whether it knows what it was granted: not if it followed on a process whose last journals may be lost.
    pub knows_grants: bool,
    /// Whether the status is fresh.
    pub is_live: bool,
}

impl Status {
    fn has_confirmed(&self, era: u32) -> bool {
        self.era == era && self.knows_grants
    }
}

/// The present era and what is known of the holders in it.
#[derive(Debug, Default)]
pub struct State {
    era: u32,
    seen_ms: u64,
    heartbeat_timeout_ms: u64,
    /// Holders that gave statuses before the era began, as far as this process knows.
    before: BTreeSet<Arc<str>>,
    statuses: Vec<Status>,
    fence_version: u64,
    fence: Fence,
}

impl State {
    /// The present era.
    pub fn era(&self) -> u32 {
        self.era
    }

    /// The fence and the version of its row, 0 where there is none.
    pub fn fence(&self) -> (u64, &Fence) {
        (self.fence_version, &self.fence)
    }

    /// Whether this process may write ledgers: nothing of a former era can take effect after that.
    pub(super) fn is_fenced(&self) -> bool {
        self.fence.era >= self.era
    }

    /// Holders that were unconfirmed, if the era is settled.
    pub(super) fn unconfirmed(&self) -> Option<&[Arc<str>]> {
        match self.is_fenced() {
            true if self.era == 0 => Some(&[]),
            true => self.fence.unconfirmed.as_deref(),
            false => None,
        }
    }

    /// Notes the era of an answer; returns whether it is a new one.
    pub(super) fn enter(&mut self, era: u32, now_ms: u64) -> bool {
        if era <= self.era {
            return false;
        }
        self.era = era;
        self.seen_ms = now_ms;
        let live = self.statuses.iter().filter(|status| status.is_live);
        self.before.extend(live.map(|status| status.holder.clone()));
        true
    }

    /// Takes the fence as read.
    pub(super) fn observe_fence(&mut self, version: u64, fence: Fence) {
        if version >= self.fence_version {
            self.fence_version = version;
            self.fence = fence;
        }
    }

    /// Takes the holders' statuses; `heartbeat_timeout_ms` is the time in which one that lives gives the next.
    pub(super) fn set_statuses(&mut self, statuses: Vec<Status>, heartbeat_timeout_ms: u64) {
        self.statuses = statuses;
        self.heartbeat_timeout_ms = heartbeat_timeout_ms;
    }

    /// The fence that should be written now. `is_first_start` tells that the fleet starts for the first time: nothing can be unconfirmed.
    pub(super) fn next_fence(&self, is_first_start: bool, now_ms: u64) -> Option<Fence> {
        let unconfirmed = match self.unconfirmed() {
            Some(unconfirmed) => Some(self.still_unconfirmed(unconfirmed)),
            None if is_first_start && self.fence_version == 0 => Some(Vec::new()),
            None => self.find_unconfirmed(now_ms),
        };
        let is_due = !self.is_fenced() || unconfirmed.as_deref() != self.unconfirmed();
        is_due.then_some(Fence {
            era: self.era,
            unconfirmed,
        })
    }

    /// Those of the unconfirmed holders that have not confirmed their grants since.
    fn still_unconfirmed(&self, unconfirmed: &[Arc<str>]) -> Vec<Arc<str>> {
        let has_confirmed = |holder: &&Arc<str>| {
            let mut statuses = self.statuses.iter();
            statuses.any(|status| status.holder == **holder && status.has_confirmed(self.era))
        };
        let unconfirmed = unconfirmed.iter().filter(|holder| !has_confirmed(holder));
        unconfirmed.cloned().collect()
    }

    /// Holders that have not confirmed their grants though they had the time for it; nothing while some may still do so.
    fn find_unconfirmed(&self, now_ms: u64) -> Option<Vec<Arc<str>>> {
        let has_waited = now_ms >= self.seen_ms + self.heartbeat_timeout_ms;
        let mut statuses = self.statuses.iter();
        let is_late = statuses.any(|status| status.is_live && status.era < self.era);
        if !has_waited || is_late || self.statuses.is_empty() {
            return None;
        }
        let heard: BTreeSet<&Arc<str>> = self
            .statuses
            .iter()
            .filter(|status| status.has_confirmed(self.era))
            .map(|status| &status.holder)
            .collect();
        let known = self.statuses.iter().map(|status| &status.holder);
        let all: BTreeSet<&Arc<str>> = known.chain(&self.before).collect();
        let unconfirmed = all.difference(&heard).map(|holder| (*holder).clone());
        Some(unconfirmed.collect())
    }
}

/// The row with the own grant confirmed, and with what was known of others.
pub(super) fn confirm(row: &Ledger, known: &Ledger, own: Grant) -> Ledger {
    let mut ledger = with_known(row, known, own.era);
    ledger.set_grant(own);
    ledger
}

/// The row in which each holder that has not confirmed its grant has the larger of the row's figure and what was known.
fn with_known(row: &Ledger, known: &Ledger, era: u32) -> Ledger {
    let mut ledger = row.clone();
    for grant in &known.grants {
        let listed = ledger.grant(&grant.holder);
        let is_confirmed = listed.is_some_and(|listed| listed.era >= era);
        let is_more = listed.is_none_or(|listed| listed.granted < grant.granted);
        if !is_confirmed && is_more {
            ledger.set_grant(grant.clone());
        }
    }
    ledger
}

/// The row settled in an era. While holders are unconfirmed, what seems to be free is set aside.
pub(super) fn settle(
    row: &Ledger,
    known: &Ledger,
    era: u32,
    prepaid: u64,
    unconfirmed: &[Arc<str>],
) -> Ledger {
    let mut ledger = with_known(row, known, era);
    ledger.era = era;
    let free = prepaid.saturating_sub(ledger.total());
    if free > 0 && !unconfirmed.is_empty() {
        ledger.set_grant(Grant {
            holder: set_aside(era),
            granted: free,
            era,
        });
    }
    ledger
}

/// The row without what was set aside, once nobody is unconfirmed.
pub(super) fn released(row: &Ledger, era: u32, unconfirmed: &[Arc<str>]) -> Ledger {
    let mut ledger = row.clone();
    if unconfirmed.is_empty() && era > 0 {
        let name = set_aside(era);
        ledger.grants.retain(|grant| grant.holder != name);
    }
    ledger
}

/// Name under which tokens are set aside in an era. No instance bears it: a name has no space.
fn set_aside(era: u32) -> Arc<str> {
    format!("set aside {era}").into()
}
