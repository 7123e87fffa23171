//! Prepaid tokens: how much this instance may spend, and how the instances divide the remainder.
//!
//! The store keeps one [`row::Ledger`] per client account with a grant for each holder. A holder is
//! the stable identity of one machine in the fleet and survives restarts of its process. The sum of
//! the grants never exceeds the prepaid total of the account, because every update of the row is
//! conditional on its version. A holder spends against its grant without coordination, so it keeps
//! serving while the store is unreachable.
//!
//! The consumption of a killed process is unknown, so its entire grant would have to count as
//! spent. To avoid that, a holder also commits to a [`rate_limit::Limit`]: it writes to its
//! [`row::Journal`] how much it had consumed at a given time, and a burst and a rate that it will
//! not exceed afterwards. The next incarnation reads the journal and gets an upper bound that grows
//! with the elapsed time instead of the grant.
//!
//! A write without a response may take effect seconds later, when the next process has already read
//! the row. A late draw only leaves tokens unused, but a late return would take back tokens that the
//! next process spends. So the journal announces a return before it is sent: it names the lowest grant
//! that a return may leave, and the next process keeps to that until the row has changed. This process
//! may spend the tokens until it sends the return.
//!
//! ```
//! use fescuewell_forward::quota::{HoldOutcome, Quota};
//!
//! let mut quota = Quota::new("entry-1".into(), 1);
//! let group = "group".into();
//! quota.set_prepaid(&group, Some(1_000));
//! // No tokens have been granted yet.
//! assert_eq!(quota.hold(&group, 100, 0), HoldOutcome::InsufficientGrant);
//! ```

mod account;
pub mod clock;
pub mod era;
pub mod exposure;
mod journals;
mod loans;
mod origin;
mod peers;
pub mod plan;
pub mod rate_limit;
pub mod row;
mod waiting;

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

pub use account::Account;
use clock::StoreClock;
use era::Fence;
use exposure::Exposure;
pub use loans::{Candidate, MAX_LENDERS};
pub use origin::Confirmation;
use plan::{Peers, Position};
use row::{Journal, Ledger};

use crate::directory::summary::MIN_MEMBERS;
use crate::version;

/// Maximum age, in milliseconds, of a ledger read that may prove an account exhausted. This is the
/// value for a small fleet; see [`Quota::set_ledger_max_age`].
const LEDGER_MAX_AGE_MS: u64 = 2_500;

/// Result of [`Quota::hold`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HoldOutcome {
    /// The tokens are held for the request.
    Held,
    /// The grant covers the request but the rate limit does not yet. The next journal raises the
    /// limit; otherwise it is reached after this many milliseconds, or never if `None`.
    RateLimited(Option<u64>),
    /// The grant of this instance does not cover the request. Other instances or the unallocated
    /// tokens may.
    InsufficientGrant,
    /// The tokens left in the whole fleet do not cover the request.
    Exhausted,
}

/// The prepaid tokens of all client accounts, as seen by one instance.
#[derive(Debug)]
pub struct Quota {
    holder: Arc<str>,
    incarnation: u64,
    accounts: HashMap<Arc<str>, Account>,
    clock: StoreClock,
    journal_version: u64,
    journal_at_ms: u64,
    adopted: bool,
    /// Until when requests are served during a shutdown, in milliseconds of the local clock.
    closing: Option<u64>,
    is_advertised: bool,
    /// Number of holders that callers are directed to.
    advertised_count: u64,
    /// Whether the usage of the other holders is known.
    knows_peers: bool,
    /// Live holders, this one included.
    live: Arc<HashSet<Arc<str>>>,
    burst_ms: u64,
    ledger_max_age_ms: u64,
    pending_journal: Option<Journal>,
    is_journal_uncertain: bool,
    era_state: era::State,
    /// Whether this process knows how much it was granted; see [`era::Status`].
    knows_grants: bool,
    is_first_start: bool,
}

impl Quota {
    /// Creates a quota without any grant; grants become usable after [`Quota::adopt`].
    pub fn new(holder: Arc<str>, incarnation: u64) -> Self {
        Self {
            holder,
            incarnation,
            accounts: HashMap::new(),
            clock: StoreClock::default(),
            journal_version: 0,
            journal_at_ms: 0,
            adopted: false,
            closing: None,
            is_advertised: true,
            advertised_count: 1,
            knows_peers: true,
            live: Arc::default(),
            burst_ms: 0,
            ledger_max_age_ms: LEDGER_MAX_AGE_MS,
            pending_journal: None,
            is_journal_uncertain: false,
            era_state: era::State::default(),
            knows_grants: true,
            is_first_start: false,
        }
    }

    /// Returns the current era of the store; see [`era`].
    pub fn era(&self) -> u32 {
        self.era_state.era()
    }

    /// Enters the era in which the store was first read; see [`era`].
    pub fn begin_era(&mut self, era: u32, now_ms: u64) {
        self.era_state.enter(era, now_ms);
    }

    /// Sets whether the whole fleet starts for the first time, in which case no earlier process can
    /// have drawn tokens.
    pub fn set_first_start(&mut self, is_first_start: bool) {
        self.is_first_start = is_first_start;
    }

    /// Updates the fence from a read of its row. Rows of another era are ignored.
    pub fn observe_fence(&mut self, version: u64, fence: Fence) {
        if version::era(version) == self.era_state.era() || version == 0 {
            self.era_state.observe_fence(version, fence);
        }
    }

    /// Returns the fence and its row version, on which every ledger transaction is conditional.
    pub fn fence(&self) -> (u64, &Fence) {
        self.era_state.fence()
    }

    /// Returns the fence to write now, or `None` if it is up to date.
    pub fn next_fence(&self, now_ms: u64) -> Option<Fence> {
        match self.adopted {
            true => self.era_state.next_fence(self.is_first_start, now_ms),
            false => None,
        }
    }

    /// Enters a new era after the store was restored from a backup.
    ///
    /// `journal` is the journal of this holder in the restored store, with its row version;
    /// `ledgers` are the restored ledgers. The holder then rewrites its grants and its journal.
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
            // A newer incarnation of this holder is running.
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

    /// Sets the statuses of all holders. A live holder publishes a new status within
    /// `heartbeat_timeout_ms`.
    pub fn set_statuses(&mut self, statuses: Vec<era::Status>, heartbeat_timeout_ms: u64) {
        self.era_state.set_statuses(statuses, heartbeat_timeout_ms);
    }

    /// Returns the status of this holder: whether its grants are confirmed in the current era.
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

    /// Returns the name of this holder.
    pub fn holder(&self) -> &Arc<str> {
        &self.holder
    }

    /// Sets how much demand, expressed as milliseconds of it, each journal admits at once in
    /// addition to the waiting requests. Fleets that write journals less often need more.
    pub fn set_burst(&mut self, burst_ms: u64) {
        self.burst_ms = burst_ms;
    }

    /// Records a store clock reading received at `now_ms` of the local monotonic clock.
    pub fn observe_clock(&mut self, store_ms: u64, now_ms: u64) {
        self.clock.observe(store_ms, now_ms);
    }

    /// Converts a local time to store time. The result is never ahead of the store clock.
    pub fn store_time(&self, now_ms: u64) -> u64 {
        self.clock.at(now_ms)
    }

    /// Sets the prepaid total of an account, as given by a newer configuration.
    pub fn set_prepaid(&mut self, account: &Arc<str>, total: Option<u64>) {
        self.account_mut(account).set_prepaid(total);
    }

    /// Returns the accounts that have a prepaid total, sorted by name.
    pub fn prepaid_accounts(&self) -> Vec<Arc<str>> {
        let limited = self.accounts.iter();
        let limited = limited.filter(|(_, account)| account.prepaid().is_some());
        let mut names: Vec<Arc<str>> = limited.map(|(name, _)| name.clone()).collect();
        names.sort();
        names
    }

    /// Holds tokens for one request.
    pub fn hold(&mut self, account: &Arc<str>, tokens: u64, now_ms: u64) -> HoldOutcome {
        let store_ms = self.clock.at(now_ms);
        let usable = self.adopted;
        let holder = self.holder.clone();
        // Without the usage of the others, their whole grants would count as spent.
        let oldest_read_ms = match self.knows_peers {
            true => store_ms.saturating_sub(self.ledger_max_age_ms),
            false => u64::MAX,
        };
        let usable = usable.then_some(oldest_read_ms);
        let era = self.era_state.era();
        self.account_mut(account)
            .hold(&holder, tokens, usable, store_ms, era)
    }

    /// Records the demand of a request. Called once per request, before [`Quota::hold`].
    pub fn record_demand(&mut self, account: &Arc<str>, tokens: u64, now_ms: u64) {
        self.account_mut(account).record_demand(tokens, now_ms);
    }

    /// Returns whether no account has spendable tokens left in its grant.
    pub fn is_depleted(&self) -> bool {
        self.accounts
            .values()
            .all(|account| account.remaining() == 0)
    }

    /// Returns the prepaid accounts with recent demand, consumed tokens or a grant.
    pub fn active_accounts(&mut self, now_ms: u64) -> Vec<Arc<str>> {
        let usages = self.usage(now_ms).into_iter();
        usages.map(|usage| usage.account).collect()
    }

    /// Returns the accounts to plan at once: those with requests that need more than the local grant
    /// covers, and those with a return that can be sent.
    pub fn urgent_accounts(&self) -> Vec<Arc<str>> {
        let accounts = self.accounts.iter();
        let urgent = accounts
            .filter(|(_, account)| account.shortage().is_some() || account.has_announced_return());
        urgent.map(|(name, _)| name.clone()).collect()
    }

    /// Sets the maximum age, in milliseconds, of a ledger read that may prove an account exhausted,
    /// which should span a few planning periods.
    ///
    /// Large fleets plan less often than small ones. With the value of a small fleet they would ask
    /// callers of exhausted accounts to retry instead of reporting that no tokens are left.
    pub fn set_ledger_max_age(&mut self, max_age_ms: u64) {
        self.ledger_max_age_ms = max_age_ms.max(LEDGER_MAX_AGE_MS);
    }

    /// Releases a hold: `cost` of the `held` tokens were consumed.
    pub fn settle(&mut self, account: &str, held: u64, cost: u64) {
        if let Some(account) = self.accounts.get_mut(account) {
            account.settle(held, cost);
        }
    }

    /// Returns `true` if loans are to be tried before draws: this holder knows a summary of a large
    /// fleet only. All holders draw from one partition of the store; hundreds that serve a request
    /// now and then would use up its transactions.
    pub fn prefers_loans(&self) -> bool {
        !self.knows_peers
    }

    /// Returns `true` if hundreds of holders are live.
    fn is_large_fleet(&self) -> bool {
        self.live.len() >= MIN_MEMBERS
    }

    /// Returns the state of an account.
    pub fn account(&self, account: &str) -> Option<&Account> {
        self.accounts.get(account)
    }

    /// Returns how much a restart at `now_ms` would be charged compared to actual consumption.
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

    /// Returns whether the journal of the previous incarnation has been taken over.
    pub fn is_adopted(&self) -> bool {
        self.adopted
    }

    /// Starts the shutdown: existing holds are kept, and what the demand until `serve_until_ms` of
    /// the local clock needs; all other tokens are returned by the next plan.
    pub fn begin_shutdown(&mut self, serve_until_ms: u64) {
        self.closing = Some(serve_until_ms);
    }

    /// Returns whether the ledgers show no unused tokens as granted to this holder.
    pub fn is_returned(&self) -> bool {
        let mut accounts = self.accounts.values();
        accounts.all(|account| account.row_grant() <= account.consumed())
    }

    /// Returns for how long requests are still served during a shutdown, in milliseconds.
    fn closing_in_ms(&self, now_ms: u64) -> Option<u64> {
        let serve_until_ms = self.closing?;
        Some(serve_until_ms.saturating_sub(now_ms))
    }

    /// Updates the ledger of an account from a read at `store_ms` of the store clock.
    pub fn observe_ledger(
        &mut self,
        account: &Arc<str>,
        version: u64,
        ledger: Ledger,
        store_ms: u64,
    ) {
        let era = self.era_state.era();
        if version::era(version) != era {
            // The row belongs to another era; [`Quota::resync`] handles the change.
            return;
        }
        let holder = self.holder.clone();
        let account = self.account_mut(account);
        account.observe_ledger(&holder, version, ledger, store_ms, era);
    }

    /// Returns the ledger that should replace the current one of the account and the version on
    /// which to condition the write, or `None` if nothing has to change.
    ///
    /// Tokens that the new ledger returns must not be spent from now on, whether or not the write
    /// succeeds. A return is sent once the journal has announced it, see
    /// [`Quota::has_unannounced_returns`].
    pub fn plan(&mut self, account: &Arc<str>, now_ms: u64) -> Option<(u64, Ledger)> {
        if !self.adopted {
            return None;
        }
        let holder = self.holder.clone();
        let closing_in_ms = self.closing_in_ms(now_ms);
        let position = Position {
            is_advertised: self.is_advertised,
            advertised_count: self.advertised_count,
        };
        // A journal of unknown outcome may replace the one in force.
        let is_journal_known = self.pending_journal.is_none();
        let account = self.accounts.get_mut(account)?;
        account.plan(
            &holder,
            now_ms,
            position,
            closing_in_ms,
            is_journal_known,
            &self.era_state,
        )
    }

    /// Returns whether planned returns wait for the next journal, which announces them to the next
    /// process.
    pub fn has_unannounced_returns(&self) -> bool {
        let mut accounts = self.accounts.values();
        accounts.any(Account::has_unannounced_return)
    }

    /// Returns whether planned returns are announced by the journal in force and not sent yet.
    pub fn has_announced_returns(&self) -> bool {
        let mut accounts = self.accounts.values();
        accounts.any(Account::has_announced_return)
    }

    fn account_mut(&mut self, name: &Arc<str>) -> &mut Account {
        let accounts = &mut self.accounts;
        accounts.entry(name.clone()).or_insert_with(|| {
            let mut account = Account::default();
            account.set_peers(Peers {
                live: self.live.clone(),
                ..Peers::default()
            });
            account
        })
    }
}
