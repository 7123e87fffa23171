//! The journal of a holder: what its next incarnation has to be charged for, and how that one takes over.

use std::sync::Arc;

use super::Quota;
use super::row::{Journal, Ledger};

impl Quota {
    /// Takes over from the former incarnation of this holder, whose process has ended.
    ///
    /// `journal` is its last journal, `version` that row's version, 0 if there is none; `ledgers` are the
    /// accounts' rows. `ended_ms` is a moment of the store's clock by which that process had ended.
    /// Returns the journal that must be written, on condition of `version`, before anything is spent.
    pub fn adopt(
        &mut self,
        journal: Option<&Journal>,
        version: u64,
        ledgers: Vec<(Arc<str>, u64, Ledger)>,
        ended_ms: u64,
        now_ms: u64,
    ) -> Journal {
        self.journal_version = version;
        self.unanswered = None;
        self.may_be_written = false;
        let holder = self.holder.clone();
        let era = self.era_state.era();
        // A journal of a former era may have been followed by others, which the copy of the store lacks.
        let is_current = journal.is_some_and(|journal| journal.era == era);
        self.knows_grants = match journal {
            Some(journal) => is_current && journal.knows_grants,
            None => era == 0 || self.is_first_start,
        };
        let knows_grants = self.knows_grants;
        // An account whose ledger cannot be read now keeps what the journal says of it. Otherwise the next journal would
        // record nothing consumed, and once the ledger can be read again all of it would be spent a second time.
        for entry in journal.map_or(&[][..], |journal| &journal.entries) {
            let consumed =
                journal.map_or(0, |journal| journal.max_consumed(&entry.account, ended_ms));
            let account = self.account_mut(&entry.account);
            match (era, knows_grants) {
                (0, _) => account.inherit(consumed),
                (_, true) => account.inherit_own(consumed),
                (_, false) => account.inherit_unknown(consumed),
            }
        }
        for (name, row_version, ledger) in ledgers {
            let confirmed = ledger.grant(&holder).filter(|grant| grant.era >= era);
            let is_confirmed = confirmed.is_some() || ledger.era >= era;
            let granted = ledger.granted(&holder);
            let bound = journal.map_or(granted, |journal| journal.max_consumed(&name, ended_ms));
            let account = self.account_mut(&name);
            match (is_confirmed, knows_grants) {
                (true, _) if is_current || journal.is_none() => {
                    account.inherit_row(bound.min(granted), granted);
                }
                (false, true) => account.inherit_own(bound),
                _ => account.inherit_unknown(granted.max(bound)),
            }
            account.observe_ledger(&holder, row_version, ledger, ended_ms, era);
        }
        self.incarnation = journal.map_or(1, |journal| journal.incarnation + 1);
        self.next_journal(now_ms)
    }

    /// The journal as it should be written now; its pace binds from this moment on.
    ///
    /// While the answer to an earlier one is missing, that one is given again. A new one would bind as well,
    /// from its own moment on, and each try during an outage would start the tight time of the pace anew.
    pub fn next_journal(&mut self, now_ms: u64) -> Journal {
        if let Some(journal) = &self.unanswered {
            return journal.clone();
        }
        let journal = self.new_journal(now_ms);
        self.unanswered = Some(journal.clone());
        journal
    }

    /// Whether the answer to an earlier journal is missing.
    pub fn is_journal_pending(&self) -> bool {
        self.unanswered.is_some()
    }

    fn new_journal(&mut self, now_ms: u64) -> Journal {
        let at_ms = self.clock.at(now_ms);
        let closing = self.closing;
        let burst_ms = self.burst_ms;
        let mut entries = Vec::new();
        for (name, account) in &mut self.accounts {
            if account.prepaid().is_none() && account.consumed() == 0 {
                continue;
            }
            entries.push(account.entry(name.clone(), now_ms, at_ms, burst_ms, closing));
        }
        entries.sort_by(|left, right| left.account.cmp(&right.account));
        let journal = Journal {
            incarnation: self.incarnation,
            at_ms,
            era: self.era_state.era(),
            knows_grants: self.knows_grants,
            entries,
        };
        for entry in &journal.entries {
            if let Some(account) = self.accounts.get_mut(&entry.account) {
                account.bind(entry, at_ms);
            }
        }
        journal
    }

    /// Version that the journal's row must have for the next write.
    pub fn journal_version(&self) -> u64 {
        self.journal_version
    }

    /// Nobody knows whether the journal was written; it may be written late.
    pub fn journal_unknown(&mut self) {
        self.may_be_written = true;
    }

    /// This try certainly did not write the journal. Unless an earlier try may have, its pace binds no more.
    pub fn journal_rejected(&mut self) {
        if self.may_be_written {
            return;
        }
        let Some(journal) = self.unanswered.take() else {
            return;
        };
        for entry in &journal.entries {
            if let Some(account) = self.accounts.get_mut(&entry.account) {
                account.unbind(entry, journal.at_ms);
            }
        }
    }

    /// The journal was written; only its pace binds now.
    pub fn journal_written(&mut self, journal: &Journal, version: u64) {
        self.unanswered = None;
        self.may_be_written = false;
        self.journal_version = version;
        self.journal_at_ms = journal.at_ms;
        self.adopted = true;
        for entry in &journal.entries {
            if let Some(account) = self.accounts.get_mut(&entry.account) {
                account.rebind(entry, journal.at_ms);
            }
        }
    }

    /// The journal's row is not what was expected: an earlier write of ours, whose reply was lost, took effect.
    /// Returns false if the row belongs to another incarnation: then this process must spend nothing more.
    pub fn resolve_conflict(&mut self, journal: &Journal, version: u64) -> bool {
        if journal.incarnation != self.incarnation {
            self.adopted = false;
            return false;
        }
        self.journal_written(journal, version);
        true
    }
}
