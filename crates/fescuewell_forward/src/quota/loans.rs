//! Tokens lent to other instances and borrowed from them; see [`crate::loan`].

use std::sync::Arc;

use super::{Account, Quota};
use crate::loan::Request;

/// Time in milliseconds for which a lender keeps tokens for its own requests, by their present rate: until it has drawn more.
const KEPT_MS: u64 = 2_000;

/// Time in milliseconds for which a lender's own word on what it could give counts. Its pace moves on, so that one that has
/// nothing now may have something soon.
const SAID_MS: u64 = 300;

/// What a lender said that it could still give.
#[derive(Debug, Clone, Copy)]
pub(super) struct Said {
    left: u64,
    until_ms: u64,
}

/// A holder that may have tokens to lend.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// The holder.
    pub holder: Arc<str>,
    /// What it may have, in tokens.
    pub available: u64,
}

impl Quota {
    /// Gives tokens of the own grant away: they count as consumed from here on. What is asked for beyond the least is given
    /// only as far as the own requests of [`KEPT_MS`] do not need it.
    pub fn lend(&mut self, ask: &Request, now_ms: u64) -> u64 {
        let spare = self.available(&ask.account, now_ms);
        let account = self.account_mut(&ask.account);
        let kept = account.demand_per_s(now_ms) * KEPT_MS / 1_000;
        let most = spare
            .saturating_sub(kept)
            .max(ask.required_tokens.min(spare));
        let given = most.min(ask.wanted_tokens);
        account.consume(given);
        given
    }

    /// Makes the next journal let through what an ask wants; returns whether that would help: the grant covers it and only the
    /// pace does not.
    ///
    /// An idle holder's pace covers two requests. Without this it lent that much at each journal, while its grant stood unused.
    pub fn admit_loan(&mut self, ask: &Request, now_ms: u64) -> bool {
        let store_ms = self.clock.at(now_ms);
        let usable = self.adopted;
        let account = self.account_mut(&ask.account);
        let wanted = ask.wanted_tokens.min(account.remaining());
        if !usable
            || wanted < ask.required_tokens
            || ask.required_tokens <= account.limit_remaining(store_ms)
        {
            return false;
        }
        account.waiting.add(wanted, store_ms);
        true
    }

    /// Demand of an account at this instance, in tokens a second.
    pub fn demand_per_s(&mut self, account: &Arc<str>, now_ms: u64) -> u64 {
        self.account_mut(account).demand_per_s(now_ms)
    }

    /// What could be lent or held now of the own grant.
    pub fn available(&self, account: &str, now_ms: u64) -> u64 {
        if !self.adopted {
            return 0;
        }
        let store_ms = self.clock.at(now_ms);
        let account = self.accounts.get(account);
        account.map_or(0, |account| account.available(store_ms))
    }

    /// Takes tokens that another instance has counted as consumed.
    pub fn borrow(&mut self, account: &Arc<str>, tokens: u64) {
        self.account_mut(account).borrow(tokens);
    }

    /// Tokens that are missing for a request.
    pub fn shortfall(&self, account: &str, tokens: u64, now_ms: u64) -> u64 {
        let credit = self.accounts.get(account).map_or(0, Account::borrowed);
        tokens.saturating_sub(credit + self.available(account, now_ms))
    }

    /// Notes what a lender said that it could still give.
    pub fn record_report(&mut self, account: &Arc<str>, lender: &Arc<str>, left: u64, now_ms: u64) {
        let said = Said {
            left,
            until_ms: now_ms + SAID_MS,
        };
        self.account_mut(account).said.insert(lender.clone(), said);
    }

    /// Who may have tokens of an account, the richest first.
    pub fn candidates(&self, account: &str, now_ms: u64) -> Vec<Candidate> {
        let Some(account) = self.accounts.get(account) else {
            return Vec::new();
        };
        let mut candidates = account.candidates(now_ms);
        candidates.sort_by(|one, other| {
            let richest_first = other.available.cmp(&one.available);
            richest_first.then_with(|| one.holder.cmp(&other.holder))
        });
        candidates
    }
}

impl Account {
    /// Borrowed and not held by a request yet.
    pub fn borrowed(&self) -> u64 {
        self.credit
    }

    /// What is borrowed pays for what was consumed of the own grant, and only the rest is credit. So it stands in the next journal,
    /// goes back with the next plan if it is not needed, and can be lent in turn.
    ///
    /// Without this a kill of the borrower loses it, though the lender's row counts it as consumed.
    fn borrow(&mut self, tokens: u64) {
        let paid = tokens.min(self.consumed);
        self.consumed -= paid;
        self.credit += tokens - paid;
    }

    fn consume(&mut self, tokens: u64) {
        self.consumed += tokens;
    }

    /// What the grant and the pace leave.
    pub(super) fn available(&self, store_ms: u64) -> u64 {
        self.remaining().min(self.limit_remaining(store_ms))
    }

    fn candidates(&self, now_ms: u64) -> Vec<Candidate> {
        let mut candidates = Vec::new();
        for grant in &self.ledger.grants {
            let Some(peer) = self.peers.get(&grant.holder) else {
                continue;
            };
            let said = self.said.get(&grant.holder);
            let left = match said.filter(|said| now_ms < said.until_ms) {
                Some(said) => said.left,
                None => grant.granted.saturating_sub(peer.consumed),
            };
            if left == 0 {
                continue;
            }
            candidates.push(Candidate {
                holder: grant.holder.clone(),
                available: left,
            });
        }
        candidates
    }
}
