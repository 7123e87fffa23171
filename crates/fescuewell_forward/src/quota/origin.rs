//! Source of the known grant of an account: the ledger, the memory of the process, or none; see
//! [`super::era`].

use std::sync::Arc;

use super::era;
use super::row::{Grant, Ledger};
use super::{Account, Quota};

/// Source of the known own grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Origin {
    /// The ledger row.
    Ledger,
    /// Known from before the store was restored from a backup; the row still has to be rewritten
    /// accordingly.
    Memory,
    /// A previous process may have been granted more than the row shows. The whole grant counts as
    /// consumed.
    Unknown,
}

/// Grant that the ledger shows as confirmed by this holder in an era; see [`super::era`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Confirmation {
    /// Client account.
    pub account: Arc<str>,
    /// Era of the store.
    pub era: u32,
    /// Total that the holder may consume, over all its incarnations.
    pub granted: u64,
    /// Tokens consumed or held, over all incarnations.
    pub consumed: u64,
    /// Borrowed tokens that no request holds yet.
    pub borrowed: u64,
}

impl Quota {
    /// Returns the grants whose confirmation in the current era this process has seen since the
    /// last call: at most one per account and era. There are none before the first restore.
    pub fn take_confirmations(&mut self) -> Vec<Confirmation> {
        let era = self.era();
        let mut confirmations = Vec::new();
        for (name, account) in &mut self.accounts {
            if !std::mem::take(&mut account.is_newly_confirmed) {
                continue;
            }
            confirmations.push(Confirmation {
                account: name.clone(),
                era,
                granted: account.granted(),
                consumed: account.consumed(),
                borrowed: account.borrowed(),
            });
        }
        confirmations.sort_by(|left, right| left.account.cmp(&right.account));
        confirmations
    }
}

impl Account {
    /// Takes over when the consumption of the previous process is known and the row shows its
    /// grant.
    pub(super) fn inherit_row(&mut self, consumed: u64, granted: u64) {
        self.consumed = consumed;
        self.granted = granted;
        self.origin = Origin::Ledger;
    }

    /// Takes over when the consumption of the previous process is known but not its grant, which is
    /// set to that consumption.
    pub(super) fn inherit_own(&mut self, consumed: u64) {
        self.consumed = consumed;
        self.granted = consumed;
        self.origin = Origin::Memory;
    }

    /// Takes over when the consumption of the previous process is unknown: everything the row
    /// grants it counts as consumed.
    pub(super) fn inherit_unknown(&mut self, granted: u64) {
        self.consumed = granted;
        self.granted = granted;
        self.origin = Origin::Unknown;
    }

    /// Handles a restore of the store from a backup that has this row for the account, or none.
    pub(super) fn restore(&mut self, holder: &str, row: Option<(u64, Ledger)>, era: u32) {
        self.granted = self.granted();
        self.pending_return = None;
        self.announced = None;
        let previous = std::mem::take(&mut self.ledger);
        for grant in previous.grants {
            if self.previous_grants.granted(&grant.holder) < grant.granted {
                self.previous_grants.set_grant(grant);
            }
        }
        if self.origin == Origin::Ledger {
            self.origin = Origin::Memory;
        }
        let (version, ledger) = row.unwrap_or_default();
        self.version = version;
        self.take_grant(holder, &ledger, era);
        self.ledger = ledger;
    }

    /// Returns whether the own grant still has to be confirmed.
    pub(super) fn is_unconfirmed(&self) -> bool {
        self.origin == Origin::Memory && self.granted > 0
    }

    /// Updates the own grant from a row, unless the row is older than what is known.
    pub(super) fn take_grant(&mut self, holder: &str, ledger: &Ledger, era: u32) {
        let listed = ledger.grant(holder);
        if let Some(grant) = listed.filter(|grant| grant.era >= era) {
            self.granted = grant.granted;
            self.origin = Origin::Ledger;
            self.is_newly_confirmed |= era > self.confirmed_era;
            self.confirmed_era = era;
            return;
        }
        let granted = listed.map_or(0, |grant| grant.granted);
        match self.origin {
            Origin::Memory => {}
            Origin::Ledger if granted == 0 => self.granted = 0,
            Origin::Ledger | Origin::Unknown => {
                let more = granted.saturating_sub(self.granted);
                self.granted += more;
                self.consumed += more;
                // In a settled account the row lists everything the holder may have been granted.
                let is_settled = ledger.era >= era;
                self.origin = if is_settled {
                    Origin::Memory
                } else {
                    Origin::Unknown
                };
            }
        }
    }

    /// Returns the ledger with the own grant as known to this process.
    pub(super) fn confirmed(&self, holder: &Arc<str>, era: u32) -> Ledger {
        let own = Grant {
            holder: holder.clone(),
            granted: self.granted(),
            era,
        };
        era::confirm(&self.ledger, &self.previous_grants, own)
    }
}
