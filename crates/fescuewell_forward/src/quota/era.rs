//! Grants after the store has come back from a copy.
//!
//! What was written in the seconds before is gone: the rows show grants as they were, so that tokens which a holder has drawn
//! since look free. If anybody drew them they would be spent twice. Therefore, in each era of the store:
//!
//! 1. Each transaction on ledgers expects the version of one row, the [`Fence`]. The first one of an era writes it anew, so that what
//!    was sent in a former era and arrives late has no effect.
//! 2. A holder goes by what it knew of its own grant, never by the copy, and *confirms* it: it writes it anew, with the era. For the
//!    holders that have not confirmed theirs it writes the larger of the copy's figure and what it knew.
//! 3. Nobody draws until the era is *settled*: each instance that gives a sign has confirmed all its grants, and each that gives none
//!    has had the time for it. The fence then names the holders that were missed: those that lived at that time and have not
//!    confirmed, or were killed meanwhile and know nothing.
//! 4. While any is missed, all that seemed to be free of an account may be its, and is set aside before anybody draws: granted to
//!    nobody, under a name of its own. Once all that were missed have confirmed their grants it is free again.
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
    /// Holders that were missed when the era was settled; nothing while it is not.
    pub missed: Option<Vec<Arc<str>>>,
}

/// What a holder's sign says of its grants.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Sign {
    /// The holder.
    pub holder: Arc<str>,
    /// Era in which it has confirmed all its grants.
    pub era: u32,
    /// Whether it knows what it was granted: not if it followed on a process whose last journals may be lost.
    pub is_certain: bool,
    /// Whether the sign is fresh.
    pub is_live: bool,
}

impl Sign {
    fn has_confirmed(&self, era: u32) -> bool {
        self.era == era && self.is_certain
    }
}

/// The present era and what is known of the holders in it.
#[derive(Debug, Default)]
pub struct Roll {
    era: u32,
    seen_ms: u64,
    lapse_ms: u64,
    /// Holders that gave signs before the era began, as far as this process knows.
    before: BTreeSet<Arc<str>>,
    signs: Vec<Sign>,
    fence_version: u64,
    fence: Fence,
}

impl Roll {
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

    /// Holders that were missed, if the era is settled.
    pub(super) fn missed(&self) -> Option<&[Arc<str>]> {
        match self.is_fenced() {
            true if self.era == 0 => Some(&[]),
            true => self.fence.missed.as_deref(),
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
        let live = self.signs.iter().filter(|sign| sign.is_live);
        self.before.extend(live.map(|sign| sign.holder.clone()));
        true
    }

    /// Takes the fence as read.
    pub(super) fn learn_fence(&mut self, version: u64, fence: Fence) {
        if version >= self.fence_version {
            self.fence_version = version;
            self.fence = fence;
        }
    }

    /// Takes the holders' signs; `lapse_ms` is the time in which one that lives gives the next.
    pub(super) fn hear(&mut self, signs: Vec<Sign>, lapse_ms: u64) {
        self.signs = signs;
        self.lapse_ms = lapse_ms;
    }

    /// The fence that should be written now. `is_first` tells that the fleet starts for the first time: nothing can be missed.
    pub(super) fn next_fence(&self, is_first: bool, now_ms: u64) -> Option<Fence> {
        let missed = match self.missed() {
            Some(missed) => Some(self.still_missed(missed)),
            None if is_first && self.fence_version == 0 => Some(Vec::new()),
            None => self.missing(now_ms),
        };
        let is_due = !self.is_fenced() || missed.as_deref() != self.missed();
        is_due.then_some(Fence {
            era: self.era,
            missed,
        })
    }

    /// Those of the missed holders that have not confirmed their grants since.
    fn still_missed(&self, missed: &[Arc<str>]) -> Vec<Arc<str>> {
        let has_confirmed = |holder: &&Arc<str>| {
            let mut signs = self.signs.iter();
            signs.any(|sign| sign.holder == **holder && sign.has_confirmed(self.era))
        };
        let missed = missed.iter().filter(|holder| !has_confirmed(holder));
        missed.cloned().collect()
    }

    /// Holders that have not confirmed their grants though they had the time for it; nothing while some may still do so.
    fn missing(&self, now_ms: u64) -> Option<Vec<Arc<str>>> {
        let has_waited = now_ms >= self.seen_ms + self.lapse_ms;
        let mut signs = self.signs.iter();
        let is_late = signs.any(|sign| sign.is_live && sign.era < self.era);
        if !has_waited || is_late || self.signs.is_empty() {
            return None;
        }
        let heard: BTreeSet<&Arc<str>> = self
            .signs
            .iter()
            .filter(|sign| sign.has_confirmed(self.era))
            .map(|sign| &sign.holder)
            .collect();
        let known = self.signs.iter().map(|sign| &sign.holder);
        let all: BTreeSet<&Arc<str>> = known.chain(&self.before).collect();
        let missing = all.difference(&heard).map(|holder| (*holder).clone());
        Some(missing.collect())
    }
}

/// The row with the own grant confirmed, and with what was known of others.
pub(super) fn confirm(row: &Ledger, known: &Ledger, own: Grant) -> Ledger {
    let mut ledger = with_known(row, known, own.era);
    ledger.set(own);
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
            ledger.set(grant.clone());
        }
    }
    ledger
}

/// The row settled in an era. While holders are missed, what seems to be free is set aside.
pub(super) fn settle(
    row: &Ledger,
    known: &Ledger,
    era: u32,
    prepaid: u64,
    missed: &[Arc<str>],
) -> Ledger {
    let mut ledger = with_known(row, known, era);
    ledger.era = era;
    let free = prepaid.saturating_sub(ledger.total());
    if free > 0 && !missed.is_empty() {
        ledger.set(Grant {
            holder: set_aside(era),
            granted: free,
            era,
        });
    }
    ledger
}

/// The row without what was set aside, once nobody is missed.
pub(super) fn released(row: &Ledger, era: u32, missed: &[Arc<str>]) -> Ledger {
    let mut ledger = row.clone();
    if missed.is_empty() && era > 0 {
        let name = set_aside(era);
        ledger.grants.retain(|grant| grant.holder != name);
    }
    ledger
}

/// Name under which tokens are set aside in an era. No instance bears it: a name has no space.
fn set_aside(era: u32) -> Arc<str> {
    format!("set aside {era}").into()
}
