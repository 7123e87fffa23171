//! Where the own grant of an account is known from: the row, the process's own memory, or nowhere; see [`super::era`].

use std::sync::Arc;

use super::Account;
use super::era;
use super::row::{Grant, Ledger};

/// Where the own grant is known from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Origin {
    /// From the row.
    Row,
    /// From before the store came back from a copy: the row is to say the same.
    Own,
    /// From nowhere: a former process may have been granted more than the row says. All of it counts as consumed.
    Unknown,
}

impl Account {
    /// What the former process had consumed is known, and the row says what it was granted.
    pub(super) fn inherit_row(&mut self, consumed: u64, granted: u64) {
        self.consumed = consumed;
        self.granted = granted;
        self.origin = Origin::Row;
    }

    /// What the former process had consumed is known, and its grant is not: it gets no more than that.
    pub(super) fn inherit_own(&mut self, consumed: u64) {
        self.consumed = consumed;
        self.granted = consumed;
        self.origin = Origin::Own;
    }

    /// Nothing is known of the former process: all that the row grants it counts as consumed.
    pub(super) fn inherit_unknown(&mut self, granted: u64) {
        self.consumed = granted;
        self.granted = granted;
        self.origin = Origin::Unknown;
    }

    /// The store has come back from a copy, in which the account has this row, or none.
    pub(super) fn restore(&mut self, holder: &str, row: Option<(u64, Ledger)>, era: u32) {
        self.granted = self.granted();
        self.returning = None;
        let former = std::mem::take(&mut self.ledger);
        for grant in former.grants {
            if self.known.granted(&grant.holder) < grant.granted {
                self.known.set_grant(grant);
            }
        }
        if self.origin == Origin::Row {
            self.origin = Origin::Own;
        }
        let (version, ledger) = row.unwrap_or_default();
        self.version = version;
        self.take_grant(holder, &ledger, era);
        self.ledger = ledger;
    }

    /// Whether the own grant is yet to be confirmed.
    pub(super) fn is_unconfirmed(&self) -> bool {
        self.origin == Origin::Own && self.granted > 0
    }

    /// Takes the own grant from a row, unless the row is older than what is known.
    pub(super) fn take_grant(&mut self, holder: &str, ledger: &Ledger, era: u32) {
        let listed = ledger.grant(holder);
        if let Some(grant) = listed.filter(|grant| grant.era >= era) {
            self.granted = grant.granted;
            self.origin = Origin::Row;
            return;
        }
        let granted = listed.map_or(0, |grant| grant.granted);
        match self.origin {
            Origin::Own => {}
            Origin::Row if granted == 0 => self.granted = 0,
            Origin::Row | Origin::Unknown => {
                let more = granted.saturating_sub(self.granted);
                self.granted += more;
                self.consumed += more;
                // Once the account is settled the row holds all that it may have been granted.
                let is_settled = ledger.era >= era;
                self.origin = if is_settled {
                    Origin::Own
                } else {
                    Origin::Unknown
                };
            }
        }
    }

    /// The row with the own grant as it is known here.
    pub(super) fn confirmed(&self, holder: &Arc<str>, era: u32) -> Ledger {
        let own = Grant {
            holder: holder.clone(),
            granted: self.granted(),
            era,
        };
        era::confirm(&self.ledger, &self.known, own)
    }
}
