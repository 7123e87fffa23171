//! Prepaid tokens: what this instance may spend, and how the instances divide what is left.
//!
//! For each client account the store keeps one [`row::Ledger`] with a grant for each holder; a holder is one
//! machine's place in the fleet, over all its restarts. The sum of the grants never exceeds the account's
//! prepaid total, since every change of the row is conditional on its version. A holder spends against its grant
//! without asking anybody, so that it goes on while the store cannot be reached.
//!
//! What a process that dies has spent is known to nobody, and the whole of its grant would have to count as spent.
//! So a holder also binds itself to a *pace*: it writes to its [`row::Journal`] what it had consumed at a moment, and
//! that it will not exceed a burst and a rate from there on. Its next incarnation reads the journal
//! and knows an upper bound that grows with the time since, not with the grant.
//!
//! ```
//! use fescuewell_forward::quota::{Quota, HoldOutcome};
//!
//! let mut quota = Quota::new("entry-1".into(), 1);
//! let group = "group".into();
//! quota.set_prepaid(&group, Some(1_000));
//! // Nothing was granted yet.
//! assert_eq!(quota.hold(&group, 100, 0), HoldOutcome::InsufficientGrant);
//! ```

mod account;
pub mod clock;
pub mod era;
pub mod exposure;
mod journals;
mod loans;
mod origin;
pub mod plan;
pub mod rate_limit;
pub mod row;
mod waiting;

use std::collections::HashMap;
use std::sync::Arc;

pub use account::Account;
use clock::StoreClock;
use era::Fence;
use exposure::Exposure;
pub use loans::Candidate;
use plan::{Peer, Peers};
use row::{Journal, Ledger, Usage};

use crate::version;

/// Age of a row up to which it tells that an account is exhausted, in milliseconds, in a small fleet.
const FRESH_MS: u64 = 2_500;

/// Answer to a request for tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HoldOutcome {
    /// They are held back for the request.
    Held,
    /// The grant covers it, and the pace will after the next journal, or in so many milliseconds if it ever does.
    RateLimited(Option<u64>),
    /// This instance has not enough; others, or the rest that nobody holds, may.
    InsufficientGrant,
    /// What is left in the whole fleet does not cover it.
    Exhausted,
}

/// The prepaid tokens of all client accounts as one instance sees them.
#[derive(Debug)]
pub struct Quota {
    holder: Arc<str>,
    incarnation: u64,
    accounts: HashMap<Arc<str>, Account>,
    clock: StoreClock,
    journal_version: u64,
    journal_at_ms: u64,
    adopted: bool,
    closing: bool,
    is_advertised: bool,
    /// Number of holders to which callers are sent.
    advertised_count: u64,
    burst_ms: u64,
    fresh_ms: u64,
    unanswered: Option<Journal>,
    may_be_written: bool,
    era_state: era::State,
    /// Whether this process knows what it was granted; see [`era::Status`].
    knows_grants: bool,
    is_first_start: bool,
}

impl Quota {
    /// A quota that holds nothing until [`Quota::adopt`].
    pub fn new(holder: Arc<str>, incarnation: u64) -> Self {
        Self {
            holder,
            incarnation,
            accounts: HashMap::new(),
            clock: StoreClock::default(),
            journal_version: 0,
            journal_at_ms: 0,
            adopted: false,
            closing: false,
            is_advertised: true,
            advertised_count: 1,
            burst_ms: 0,
            fresh_ms: FRESH_MS,
            unanswered: None,
            may_be_written: false,
            era_state: era::State::default(),
            knows_grants: true,
            is_first_start: false,
        }
    }

    /// The store's era that is gone by.
    pub fn era(&self) -> u32 {
        self.era_state.era()
    }

    /// The store was first read in this era; see [`era`].
    pub fn begin_era(&mut self, era: u32, now_ms: u64) {
        self.era_state.enter(era, now_ms);
    }

    /// Tells whether the whole fleet starts for the first time, so that no former process can have drawn anything.
    pub fn set_first_start(&mut self, is_first_start: bool) {
        self.is_first_start = is_first_start;
    }

    /// Takes the fence as read.
    pub fn observe_fence(&mut self, version: u64, fence: Fence) {
        if version::era(version) == self.era_state.era() || version == 0 {
            self.era_state.observe_fence(version, fence);
        }
    }

    /// The fence and the version of its row: each transaction on ledgers expects it.
    pub fn fence(&self) -> (u64, &Fence) {
        self.era_state.fence()
    }

    /// The fence that should be written now.
    pub fn next_fence(&self, now_ms: u64) -> Option<Fence> {
        match self.adopted {
            true => self.era_state.next_fence(self.is_first_start, now_ms),
            false => None,
        }
    }

    /// The store has come back from a copy in which the own journal's row has this version and content, and the accounts these rows.
    /// Grants and journals are written anew from here on.
    pub fn resync(
        &mut self,
        era: u32,
        journal: Option<(u64, Journal)>,
        ledgers: Vec<(Arc<str>, u64, Ledger)>,
        now_ms: u64,
    ) {
        if !self.era_state.enter(era, now_ms) {
            return;
        }
        let (version, journal) = journal.unwrap_or_default();
        self.journal_version = version;
        if journal.incarnation > self.incarnation {
            // A next process has begun.
            self.adopted = false;
        }
        let mut rows: HashMap<Arc<str>, (u64, Ledger)> = ledgers
            .into_iter()
            .map(|(name, version, ledger)| (name, (version, ledger)))
            .collect();
        let names: Vec<Arc<str>> = rows.keys().cloned().collect();
        for name in &names {
            self.account_mut(name);
        }
        let holder = self.holder.clone();
        for (name, account) in &mut self.accounts {
            account.restore(&holder, rows.remove(name), era);
        }
    }

    /// Takes the holders' statuses; `heartbeat_timeout_ms` is the time in which one that lives gives the next.
    pub fn set_statuses(&mut self, statuses: Vec<era::Status>, heartbeat_timeout_ms: u64) {
        self.era_state.set_statuses(statuses, heartbeat_timeout_ms);
    }

    /// The own status of what was confirmed.
    pub fn status(&self) -> era::Status {
        let is_confirmed = !self.accounts.values().any(Account::is_unconfirmed);
        let era = self.era_state.era();
        era::Status {
            holder: self.holder.clone(),
            era: match self.adopted && is_confirmed {
                true => era,
                false => era.saturating_sub(1),
            },
            knows_grants: self.knows_grants,
            is_live: true,
        }
    }

    /// Name of the holder.
    pub fn holder(&self) -> &Arc<str> {
        &self.holder
    }

    /// Sets the demand, in milliseconds of it, that each journal lets through beside the requests that wait for it.
    /// A fleet that may journal rarely needs more.
    pub fn set_burst(&mut self, burst_ms: u64) {
        self.burst_ms = burst_ms;
    }

    /// Takes a reading of the store's clock that was received at `now_ms` of the own steady clock.
    pub fn observe_clock(&mut self, store_ms: u64, now_ms: u64) {
        self.clock.observe(store_ms, now_ms);
    }

    /// A moment of the own clock in the store's time, never ahead of it.
    pub fn store_time(&self, now_ms: u64) -> u64 {
        self.clock.at(now_ms)
    }

    /// Sets an account's prepaid total, from a newer configuration.
    pub fn set_prepaid(&mut self, account: &Arc<str>, total: Option<u64>) {
        self.account_mut(account).set_prepaid(total);
    }

    /// Accounts with a prepaid total.
    pub fn prepaid_accounts(&self) -> Vec<Arc<str>> {
        let limited = self.accounts.iter();
        let limited = limited.filter(|(_, account)| account.prepaid().is_some());
        let mut names: Vec<Arc<str>> = limited.map(|(name, _)| name.clone()).collect();
        names.sort();
        names
    }

    /// Holds tokens back for one request.
    pub fn hold(&mut self, account: &Arc<str>, tokens: u64, now_ms: u64) -> HoldOutcome {
        let store_ms = self.clock.at(now_ms);
        let usable = self.adopted;
        let holder = self.holder.clone();
        let stale_ms = store_ms.saturating_sub(self.fresh_ms);
        let usable = usable.then_some(stale_ms);
        let era = self.era_state.era();
        self.account_mut(account)
            .hold(&holder, tokens, usable, store_ms, era)
    }

    /// Counts a request's demand, once, before it is held.
    pub fn record_demand(&mut self, account: &Arc<str>, tokens: u64, now_ms: u64) {
        self.account_mut(account).record_demand(tokens, now_ms);
    }

    /// Whether nothing is held that could be spent.
    pub fn is_depleted(&self) -> bool {
        self.accounts
            .values()
            .all(|account| account.remaining() == 0)
    }

    /// Accounts with a prepaid total that were asked for lately, or of which something is held or was used.
    pub fn active_accounts(&mut self, now_ms: u64) -> Vec<Arc<str>> {
        let usages = self.usage(now_ms).into_iter();
        usages.map(|usage| usage.account).collect()
    }

    /// Accounts of which requests want more than the own grants cover.
    pub fn short_accounts(&self) -> Vec<Arc<str>> {
        let accounts = self.accounts.iter();
        let short = accounts.filter(|(_, account)| account.shortage().is_some());
        short.map(|(name, _)| name.clone()).collect()
    }

    /// Sets the age up to which a row tells that an account is exhausted, in milliseconds: some plans. Large fleets plan less
    /// often than small ones; with the time of a small one they tell callers of accounts at their end to come back in place of that
    /// nothing is left.
    pub fn set_max_age(&mut self, fresh_ms: u64) {
        self.fresh_ms = fresh_ms.max(FRESH_MS);
    }

    /// Ends a hold: `cost` of the `held` tokens were consumed.
    pub fn settle(&mut self, account: &str, held: u64, cost: u64) {
        if let Some(account) = self.accounts.get_mut(account) {
            account.settle(held, cost);
        }
    }

    /// The account as it stands.
    pub fn account(&self, account: &str) -> Option<&Account> {
        self.accounts.get(account)
    }

    /// What a restart at `now_ms` would be charged, against what has been consumed.
    pub fn exposure(&self, now_ms: u64) -> Exposure {
        let store_ms = self.clock.at(now_ms);
        let mut exposure = Exposure {
            age_ms: store_ms.saturating_sub(self.journal_at_ms),
            ..Exposure::default()
        };
        for account in self.accounts.values() {
            exposure.recorded += account.recorded();
            exposure.consumed += account.consumed();
            exposure.promised += account.promised(store_ms).max(account.consumed());
        }
        exposure
    }

    /// Whether the former incarnation's journal has been taken over.
    pub fn is_adopted(&self) -> bool {
        self.adopted
    }

    /// From now on only holds that exist are kept; all else goes back with the next plan.
    pub fn begin_shutdown(&mut self) {
        self.closing = true;
    }

    /// Takes an account's row as it was in the store at `store_ms` of its clock.
    pub fn observe_ledger(
        &mut self,
        account: &Arc<str>,
        version: u64,
        ledger: Ledger,
        store_ms: u64,
    ) {
        let era = self.era_state.era();
        if version::era(version) != era {
            // Of a former era, or of one that is not gone by yet; see [`Quota::resync`].
            return;
        }
        let holder = self.holder.clone();
        let account = self.account_mut(account);
        account.observe_ledger(&holder, version, ledger, store_ms, era);
    }

    /// What the holders that gave a status lately say of their use. `advertised` are those to which callers are sent.
    pub fn set_peers(&mut self, said: &[(Arc<str>, Vec<Usage>)], advertised: &[Arc<str>]) {
        self.is_advertised = advertised.is_empty() || advertised.contains(&self.holder);
        let all = if advertised.is_empty() {
            said.len()
        } else {
            advertised.len()
        };
        self.advertised_count = all as u64;
        let mut by_account: HashMap<Arc<str>, Peers> = HashMap::new();
        for (holder, usages) in said {
            if *holder == self.holder {
                continue;
            }
            for usage in usages {
                let peer = Peer {
                    consumed: usage.consumed,
                    demand_per_s: usage.demand_per_s,
                    is_advertised: advertised.is_empty() || advertised.contains(holder),
                };
                let peers = by_account.entry(usage.account.clone()).or_default();
                peers.insert(holder.clone(), peer);
            }
        }
        for (name, account) in &mut self.accounts {
            account.set_peers(by_account.remove(name).unwrap_or_default());
        }
    }

    /// What is told to the other holders: of accounts that were ever used or granted here. All others would say nothing, and each
    /// instance reads what all of them say.
    pub fn usage(&mut self, now_ms: u64) -> Vec<Usage> {
        let mut usages = Vec::new();
        for (name, account) in &mut self.accounts {
            if account.prepaid().is_none() {
                continue;
            }
            let usage = account.usage(name.clone(), now_ms);
            if usage.consumed > 0 || usage.demand_per_s > 0 || account.granted() > 0 {
                usages.push(usage);
            }
        }
        usages
    }

    /// The row that should replace the account's, with the version on which to condition it; `None` when
    /// nothing is to change. What is given back may not be spent from now on, whatever becomes of the write.
    pub fn plan(&mut self, account: &Arc<str>, now_ms: u64) -> Option<(u64, Ledger)> {
        if !self.adopted {
            return None;
        }
        let holder = self.holder.clone();
        let closing = self.closing;
        let is_advertised = self.is_advertised;
        let account = self.accounts.get_mut(account)?;
        account.plan(
            &holder,
            now_ms,
            (is_advertised, self.advertised_count),
            closing,
            &self.era_state,
        )
    }

    fn account_mut(&mut self, name: &Arc<str>) -> &mut Account {
        self.accounts.entry(name.clone()).or_default()
    }
}
