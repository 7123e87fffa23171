//! Token loans to and from other instances; see [`crate::loan`].

use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

use super::{Account, Quota};
use crate::loan::Request;

/// Time in milliseconds for which a lender keeps tokens for its own requests at their current rate,
/// until it has drawn more.
const OWN_DEMAND_MS: u64 = 2_000;

/// Maximum number of lenders that a borrower asks for one request, one after the other. During a
/// store outage the journal of each permits few tokens, so a large request needs several.
pub const MAX_LENDERS: u64 = 8;
/// The same for a borrower that does not know what the others hold; the next step is a draw.
const MAX_UNREPORTED_LENDERS: usize = 2;
/// Time in milliseconds for which the remaining tokens reported by a lender are valid. Its rate
/// limit rises with time, so a lender without tokens may soon have some.
const LENDER_REPORT_TTL_MS: u64 = 300;

/// Tokens that a lender reported it could still lend.
#[derive(Debug, Clone, Copy)]
pub(super) struct Report {
    remaining: u64,
    until_ms: u64,
}

/// A holder that may have tokens to lend.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Name of the holder.
    pub holder: Arc<str>,
    /// Tokens that it may be able to lend; 0 if that is unknown.
    pub available: u64,
}

impl Quota {
    /// Lends tokens of the own grant, which count as consumed from now on. Tokens beyond the
    /// required ones are lent only if the own requests of the next `OWN_DEMAND_MS` milliseconds do
    /// not need them. A borrower asks [`MAX_LENDERS`] at most, so a smaller part than that fraction of
    /// the required tokens cannot complete its request and is not lent.
    ///
    /// In a large fleet the required tokens count as demand, so that this holder draws for the
    /// instances that borrow from it.
    pub fn lend(&mut self, request: &Request, now_ms: u64) -> u64 {
        if self.is_large_fleet() {
            self.record_demand(&request.account, request.required_tokens, now_ms);
        }
        let available = self.available(&request.account, now_ms);
        let account = self.account_mut(&request.account);
        let own_demand = account.demand_per_s(now_ms) * OWN_DEMAND_MS / 1_000;
        let max = available
            .saturating_sub(own_demand)
            .max(request.required_tokens.min(available));
        let lent = match max.min(request.wanted_tokens) {
            lent if lent * MAX_LENDERS < request.required_tokens => 0,
            lent => lent,
        };
        account.consume(lent);
        lent
    }

    /// Makes the next journal admit the tokens of a loan request. Returns whether that helps, which
    /// is the case if the grant covers the request and only the rate limit does not.
    ///
    /// The rate limit of an idle holder covers two requests. Without this method it would lend only
    /// that much per journal while its grant is unused.
    pub fn admit_loan(&mut self, request: &Request, now_ms: u64) -> bool {
        let store_ms = self.clock.at(now_ms);
        let usable = self.adopted;
        let account = self.account_mut(&request.account);
        let wanted = request.wanted_tokens.min(account.remaining());
        if !usable
            || wanted < request.required_tokens
            || request.required_tokens <= account.limit_remaining(store_ms)
        {
            return false;
        }
        account.waiting.add(wanted, store_ms);
        true
    }

    /// Returns the demand for an account at this instance, in tokens per second.
    pub fn demand_per_s(&mut self, account: &Arc<str>, now_ms: u64) -> u64 {
        self.account_mut(account).demand_per_s(now_ms)
    }

    /// Returns the tokens of the own grant that could be lent or held now.
    pub fn available(&self, account: &str, now_ms: u64) -> u64 {
        if !self.adopted {
            return 0;
        }
        let store_ms = self.clock.at(now_ms);
        let account = self.accounts.get(account);
        account.map_or(0, |account| account.available(store_ms))
    }

    /// Adds tokens that another instance has counted as consumed.
    pub fn borrow(&mut self, account: &Arc<str>, tokens: u64) {
        self.account_mut(account).borrow(tokens);
    }

    /// Returns the tokens that requests could hold now: borrowed ones and those of the own grant.
    pub fn spendable(&self, account: &str, now_ms: u64) -> u64 {
        let borrowed = self.accounts.get(account).map_or(0, Account::borrowed);
        borrowed + self.available(account, now_ms)
    }

    /// Returns how many tokens are missing to serve a request.
    pub fn shortfall(&self, account: &str, tokens: u64, now_ms: u64) -> u64 {
        tokens.saturating_sub(self.spendable(account, now_ms))
    }

    /// Records how many tokens a lender reported it could still lend.
    pub fn record_report(
        &mut self,
        account: &Arc<str>,
        lender: &Arc<str>,
        remaining: u64,
        now_ms: u64,
    ) {
        let report = Report {
            remaining,
            until_ms: now_ms + LENDER_REPORT_TTL_MS,
        };
        self.account_mut(account)
            .reports
            .insert(lender.clone(), report);
    }

    /// Returns the holders that may have tokens of an account to lend, the largest amount first.
    /// Without the usage of the others, these are the advertised holders in an order that depends
    /// on the account, so that all borrowers try the same one first.
    pub fn candidates(&self, account: &str, now_ms: u64) -> Vec<Candidate> {
        if self.prefers_loans() {
            return self.unreported_candidates(account, now_ms);
        }
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

    fn unreported_candidates(&self, account: &str, now_ms: u64) -> Vec<Candidate> {
        let mut holders: Vec<&Arc<str>> = self.live.iter().collect();
        holders.retain(|holder| **holder != self.holder);
        holders.sort_by_cached_key(|holder| {
            let mut hasher = DefaultHasher::new();
            (account, holder).hash(&mut hasher);
            hasher.finish()
        });
        let reports = self.accounts.get(account).map(|account| &account.reports);
        let is_empty = |holder: &Arc<str>| {
            let report = reports.and_then(|reports| reports.get(holder));
            report.is_some_and(|report| report.remaining == 0 && now_ms < report.until_ms)
        };
        let first = holders.into_iter().take(MAX_UNREPORTED_LENDERS);
        let candidates = first
            .filter(|holder| !is_empty(holder))
            .map(|holder| Candidate {
                holder: holder.clone(),
                available: 0,
            });
        candidates.collect()
    }

    /// Forgets that requests lack tokens of an account, after a loan.
    pub fn clear_shortage(&mut self, account: &str) {
        if let Some(account) = self.accounts.get_mut(account) {
            account.clear_shortage();
        }
    }
}

impl Account {
    /// Returns the borrowed tokens that no request holds yet.
    pub fn borrowed(&self) -> u64 {
        self.borrowed
    }

    /// Adds borrowed tokens.
    ///
    /// They first offset consumption of the own grant, and only the rest counts as borrowed. In
    /// this way they appear in the next journal, are returned by the next plan if unused, and can
    /// be lent again. Otherwise a kill of the borrower would lose them, although the ledger entry
    /// of the lender counts them as consumed.
    fn borrow(&mut self, tokens: u64) {
        let paid = tokens.min(self.consumed);
        self.consumed -= paid;
        self.borrowed += tokens - paid;
    }

    fn consume(&mut self, tokens: u64) {
        self.consumed += tokens;
    }

    /// Returns the tokens that both the grant and the rate limit allow.
    pub(super) fn available(&self, store_ms: u64) -> u64 {
        self.remaining().min(self.limit_remaining(store_ms))
    }

    fn candidates(&self, now_ms: u64) -> Vec<Candidate> {
        let mut candidates = Vec::new();
        for grant in &self.ledger.grants {
            let Some(peer) = self.peers.get(&grant.holder) else {
                continue;
            };
            let report = self.reports.get(&grant.holder);
            let available = match report.filter(|report| now_ms < report.until_ms) {
                Some(report) => report.remaining,
                None => grant.granted.saturating_sub(peer.consumed),
            };
            if available == 0 {
                continue;
            }
            candidates.push(Candidate {
                holder: grant.holder.clone(),
                available,
            });
        }
        candidates
    }
}
