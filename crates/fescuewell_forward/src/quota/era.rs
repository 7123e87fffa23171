//! Grants after the store was restored from a backup.
//!
//! The writes after the backup are lost: the ledgers show older grants, so tokens that a holder has
//! drawn since appear unallocated and would be spent twice if they were drawn again. Each restore
//! begins a new era of the store, and in each era:
//!
//! 1. Every ledger transaction expects the version of one row, the [`Fence`]. The first transaction
//!    of an era rewrites the fence, so that a delayed transaction of a previous era has no effect.
//! 2. A holder trusts its own knowledge of its grant, not the backup, and *confirms* the grant by
//!    rewriting it with the current era. For holders that have not confirmed theirs yet, it writes
//!    the larger of the figure in the backup and the last one it knew.
//! 3. No holder draws tokens until the era is *settled*: every live instance has confirmed all its
//!    grants, and every other one has had time to do so. The fence then lists the unconfirmed
//!    holders: those that were alive at the time and have not confirmed, or were killed in between
//!    and no longer know their grants.
//! 4. While any holder is unconfirmed, all tokens that appear unallocated may belong to it. They
//!    are reserved before anyone draws, as a grant under a name that no holder has. Once all of
//!    these holders have confirmed their grants, the reserve is released.
//!
//! ```text
//!  previous era --- first response of new one ---> Unconfirmed --- ledgers written ---> Confirmed
//!                                                                                           |
//!               draws as usual <--- Settled <--- all confirmed or timed out ----------------+
//! ```

use std::collections::BTreeSet;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::row::{Grant, Ledger};

/// Row that invalidates transactions of previous eras and records whether the current era is
/// settled.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fence {
    /// Era in which the row was written.
    pub era: u32,
    /// Holders that had not confirmed their grants when the era was settled and have not done so
    /// since; `None` until the era is settled.
    pub unconfirmed: Option<Vec<Arc<str>>>,
}

/// What a holder reports about its grants.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// Name of the holder.
    pub holder: Arc<str>,
    /// Era in which it has confirmed all its grants.
    pub era: u32,
    /// Whether it knows its grants. This is false if the last journals of the process before it may
    /// be lost.
    pub knows_grants: bool,
    /// Whether the status is recent.
    pub is_live: bool,
}

impl Status {
    fn has_confirmed(&self, era: u32) -> bool {
        self.era == era && self.knows_grants
    }
}

/// The current era and the state of the holders in it.
#[derive(Debug, Default)]
pub struct State {
    era: u32,
    entered_ms: u64,
    heartbeat_timeout_ms: u64,
    /// Holders known to have been live before the era began.
    live_before: BTreeSet<Arc<str>>,
    statuses: Vec<Status>,
    fence_version: u64,
    fence: Fence,
}

impl State {
    /// Returns the current era.
    pub fn era(&self) -> u32 {
        self.era
    }

    /// Returns the fence and its row version, which is 0 if there is no such row.
    pub fn fence(&self) -> (u64, &Fence) {
        (self.fence_version, &self.fence)
    }

    /// Returns whether this process may write ledgers: the fence is of the current era, so no
    /// earlier transaction can take effect.
    pub(super) fn is_fenced(&self) -> bool {
        self.fence.era >= self.era
    }

    /// Returns the unconfirmed holders, or `None` if the era is not settled.
    pub(super) fn unconfirmed(&self) -> Option<&[Arc<str>]> {
        match self.is_fenced() {
            true if self.era == 0 => Some(&[]),
            true => self.fence.unconfirmed.as_deref(),
            false => None,
        }
    }

    /// Returns whether the fence lists a holder as unconfirmed.
    pub(super) fn is_unconfirmed(&self, holder: &str) -> bool {
        let mut unconfirmed = self.unconfirmed().unwrap_or_default().iter();
        unconfirmed.any(|listed| **listed == *holder)
    }

    /// Enters the era of a store response. Returns whether it is a new one.
    pub(super) fn enter(&mut self, era: u32, now_ms: u64) -> bool {
        if era <= self.era {
            return false;
        }
        self.era = era;
        self.entered_ms = now_ms;
        let live = self.statuses.iter().filter(|status| status.is_live);
        self.live_before
            .extend(live.map(|status| status.holder.clone()));
        true
    }

    /// Updates the fence from a read of its row.
    pub(super) fn observe_fence(&mut self, version: u64, fence: Fence) {
        if version >= self.fence_version {
            self.fence_version = version;
            self.fence = fence;
        }
    }

    /// Sets the statuses of all holders. A live holder publishes a new status within
    /// `heartbeat_timeout_ms`.
    pub(super) fn set_statuses(&mut self, statuses: Vec<Status>, heartbeat_timeout_ms: u64) {
        self.statuses = statuses;
        self.heartbeat_timeout_ms = heartbeat_timeout_ms;
    }

    /// Returns the fence to write now, or `None` if it is up to date. On the first start of the
    /// fleet (`is_first_start`) no holder can be unconfirmed.
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

    /// Returns those of the unconfirmed holders that have not confirmed their grants since.
    fn still_unconfirmed(&self, unconfirmed: &[Arc<str>]) -> Vec<Arc<str>> {
        let has_confirmed = |holder: &&Arc<str>| {
            let mut statuses = self.statuses.iter();
            statuses.any(|status| status.holder == **holder && status.has_confirmed(self.era))
        };
        let unconfirmed = unconfirmed.iter().filter(|holder| !has_confirmed(holder));
        unconfirmed.cloned().collect()
    }

    /// Returns the holders that had time to confirm their grants and have not, or `None` while some
    /// may still do so.
    fn find_unconfirmed(&self, now_ms: u64) -> Option<Vec<Arc<str>>> {
        let has_waited = now_ms >= self.entered_ms + self.heartbeat_timeout_ms;
        let mut statuses = self.statuses.iter();
        let is_pending = statuses.any(|status| status.is_live && status.era < self.era);
        if !has_waited || is_pending || self.statuses.is_empty() {
            return None;
        }
        let confirmed: BTreeSet<&Arc<str>> = self
            .statuses
            .iter()
            .filter(|status| status.has_confirmed(self.era))
            .map(|status| &status.holder)
            .collect();
        let known = self.statuses.iter().map(|status| &status.holder);
        let all: BTreeSet<&Arc<str>> = known.chain(&self.live_before).collect();
        let unconfirmed = all.difference(&confirmed).map(|holder| (*holder).clone());
        Some(unconfirmed.collect())
    }
}

/// Returns the ledger with the own grant confirmed and the previously known grants of other holders
/// merged.
pub(super) fn confirm(row: &Ledger, previous_grants: &Ledger, own: Grant) -> Ledger {
    let mut ledger = with_previous(row, previous_grants, own.era);
    ledger.set_grant(own);
    ledger
}

/// Returns the ledger in which each holder without a confirmed grant has the larger of the figure
/// in the row and the previously known one.
fn with_previous(row: &Ledger, previous_grants: &Ledger, era: u32) -> Ledger {
    let mut ledger = row.clone();
    for grant in &previous_grants.grants {
        let listed = ledger.grant(&grant.holder);
        let is_confirmed = listed.is_some_and(|listed| listed.era >= era);
        let is_more = listed.is_none_or(|listed| listed.granted < grant.granted);
        if !is_confirmed && is_more {
            ledger.set_grant(grant.clone());
        }
    }
    ledger
}

/// Returns the ledger settled in `era`. While holders are unconfirmed, all tokens that appear
/// unallocated are reserved.
pub(super) fn settle(
    row: &Ledger,
    previous_grants: &Ledger,
    era: u32,
    prepaid: u64,
    unconfirmed: &[Arc<str>],
) -> Ledger {
    let mut ledger = with_previous(row, previous_grants, era);
    ledger.era = era;
    let free = prepaid.saturating_sub(ledger.total());
    if free > 0 && !unconfirmed.is_empty() {
        ledger.set_grant(Grant {
            holder: reserve_holder(era),
            granted: free,
            era,
        });
    }
    ledger
}

/// Returns the ledger without the reserve if no holder is unconfirmed.
pub(super) fn release_reserve(row: &Ledger, era: u32, unconfirmed: &[Arc<str>]) -> Ledger {
    let mut ledger = row.clone();
    if unconfirmed.is_empty() && era > 0 {
        let name = reserve_holder(era);
        ledger.grants.retain(|grant| grant.holder != name);
    }
    ledger
}

/// Returns the name under which tokens are reserved in an era. It contains a space, so no instance
/// can have it.
fn reserve_holder(era: u32) -> Arc<str> {
    format!("set aside {era}").into()
}
