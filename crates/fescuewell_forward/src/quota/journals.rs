//! The journal of a holder: bounds the charge for its next incarnation, which takes over from it.

use std::sync::Arc;

use super::Quota;
use super::row::{Journal, Ledger};

impl Quota {
    /// Takes over from the previous incarnation of this holder, whose process has ended.
    ///
    /// `journal` is its last journal and `version` the version of that row, 0 if there is none;
    /// `ledgers` are the rows of all accounts. `ended_ms` is a store time by which that process had
    /// ended. Returns the journal that must be written, conditional on `version`, before any token
    /// is spent.
    pub fn adopt(
        &mut self,
        journal: Option<&Journal>,
        version: u64,
        ledgers: Vec<(Arc<str>, u64, Ledger)>,
        ended_ms: u64,
        now_ms: u64,
    ) -> Journal {
        self.journal_version = version;
        self.pending_journal = None;
        self.is_journal_uncertain = false;
        let holder = self.holder.clone();
        let era = self.era_state.era();
        // A journal of a previous era may have been followed by others that the restored store
        // lacks.
        let is_current = journal.is_some_and(|journal| journal.era == era);
        self.knows_grants = match journal {
            Some(journal) => is_current && journal.knows_grants,
            None => era == 0 || self.is_first_start,
        };
        let knows_grants = self.knows_grants;
        // An account whose ledger cannot be read now keeps the consumption recorded in the journal.
        // Otherwise the next journal would record none, and all of it would be spent a second time
        // once the ledger can be read again.
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
            // In a settled account, the row lacks grants only of holders that had not confirmed
            // theirs: it shows what the backup or the others knew, and the reserve has the rest.
            let is_complete = ledger.era >= era && !self.era_state.is_unconfirmed(&holder);
            let is_confirmed = confirmed.is_some() || is_complete;
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
            let entry = journal
                .filter(|_| is_current)
                .and_then(|journal| journal.entry(&name));
            if let Some(max) = entry.and_then(|entry| entry.max) {
                account.inherit_return(max);
            }
        }
        self.incarnation = journal.map_or(1, |journal| journal.incarnation + 1);
        self.next_journal(now_ms)
    }

    /// Returns the journal to write now. Its rate limit is in force from this moment on.
    ///
    /// While the outcome of an earlier journal is pending, that one is returned again. A new one
    /// would be in force from its own time on, so that every retry during an outage would restart
    /// the burst-only period.
    pub fn next_journal(&mut self, now_ms: u64) -> Journal {
        if let Some(journal) = &self.pending_journal {
            return journal.clone();
        }
        let journal = self.new_journal(now_ms);
        self.pending_journal = Some(journal.clone());
        journal
    }

    /// Returns whether the outcome of the last journal is unknown.
    pub fn is_journal_pending(&self) -> bool {
        self.pending_journal.is_some()
    }

    fn new_journal(&mut self, now_ms: u64) -> Journal {
        let at_ms = self.clock.at(now_ms);
        let closing_in_ms = self.closing_in_ms(now_ms);
        let burst_ms = self.burst_ms;
        let mut entries = Vec::new();
        for (name, account) in &mut self.accounts {
            // The total may not be known yet.
            let is_unused = account.consumed() == 0 && account.pending_return.is_none();
            if account.prepaid().is_none() && is_unused {
                continue;
            }
            entries.push(account.journal_entry(
                name.clone(),
                now_ms,
                at_ms,
                burst_ms,
                closing_in_ms,
            ));
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
                account.add_limit(entry, at_ms);
            }
        }
        journal
    }

    /// Returns the version of the journal row on which the next write is conditional.
    pub fn journal_version(&self) -> u64 {
        self.journal_version
    }

    /// Notes that the journal may have been written or may still be written late.
    pub fn journal_unknown(&mut self) {
        self.is_journal_uncertain = true;
    }

    /// Notes that this attempt did not write the journal. Its rate limit is dropped unless an
    /// earlier attempt may have written it.
    pub fn journal_rejected(&mut self) {
        if self.is_journal_uncertain {
            return;
        }
        let Some(journal) = self.pending_journal.take() else {
            return;
        };
        for entry in &journal.entries {
            if let Some(account) = self.accounts.get_mut(&entry.account) {
                account.remove_limit(entry, journal.at_ms);
            }
        }
    }

    /// Notes that the journal was written. Only its rate limit remains in force.
    pub fn journal_written(&mut self, journal: &Journal, version: u64) {
        self.pending_journal = None;
        self.is_journal_uncertain = false;
        self.journal_version = version;
        self.journal_at_ms = journal.at_ms;
        self.adopted = true;
        for entry in &journal.entries {
            if let Some(account) = self.accounts.get_mut(&entry.account) {
                account.replace_limits(entry, journal.at_ms);
            }
        }
    }

    /// Handles a journal row with an unexpected version, left by an earlier write whose reply was
    /// lost. Returns `false` if the row belongs to another incarnation, in which case this process
    /// must not spend any more tokens.
    pub fn resolve_conflict(&mut self, journal: &Journal, version: u64) -> bool {
        if journal.incarnation != self.incarnation {
            self.adopted = false;
            return false;
        }
        self.journal_written(journal, version);
        true
    }
}
