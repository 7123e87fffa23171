//! One client account as one instance sees it.

use std::collections::HashMap;
use std::sync::Arc;

use super::HoldOutcome;
use super::era;
use super::loans::Said;
use super::origin::Origin;
use super::plan::{self, Holder, Peers, Shortage};
use super::rate_limit::{BURST_ONLY_MS, Limit};
use super::row::{Entry, Grant, Ledger, Usage};
use super::waiting::Waiting;
use crate::window::Window;

/// Span over which demand is measured, in milliseconds: long enough for a few requests of an
/// account that sends one a second, short enough to follow a surge of a few seconds.
const DEMAND_MS: u64 = 6_000;
/// Part of the grant's rest, in percent, that a journal lets through at once: what a restart may cost where an account
/// has much left, so that a cut does not begin with refusals.
const SPARE_PERCENT: u64 = 8;
/// That part is at most so many requests of the usual size,
const SPARE_REQUESTS: u64 = 2;
/// or the demand of the tight time, which the account then lives on.
const SPARE_MS: u64 = BURST_ONLY_MS;
/// Limit promised after the tight time, in percent of the measured demand. Demand in a cut may be twice what it was; a
/// restart at the end of an outage of the store is charged all of it.
const PACE_PERCENT: u64 = 200;
/// Seconds after the tight time in which all of the grant may be used, up to the bucket_size. Cuts from the store last up to ten
/// seconds, and the requests of one account come to one instance in lumps.
const USE_UP_S: u64 = 5;
/// The bucket_size: requests of the usual size that an instance may serve from its grant in a cut, however little demand it has
/// measured,
const LUMP_REQUESTS: f64 = 0.5;
/// and so many standard deviations of the requests that it expects in [`LUMP_S`]: those of one account come one by one,
/// so that their number varies by its square root.
const LUMP_DEVIATIONS: f64 = 2.0;
/// Time for which the bucket_size allows for that, in seconds: a usual cut.
const LUMP_S: f64 = 8.0;
/// Limit promised beyond the bucket_size, in percent of the measured demand.
///
/// A restart is charged for all that its process had promised, so the promise is no wider than the whole fleet needs: an
/// instance whose luck exceeds it borrows from the others.
const STEADY_PERCENT: u64 = 80;
/// A request of this size is expected before any has been seen, in tokens.
const FIRST_TYPICAL: u64 = 8_000;

/// A return of tokens whose write may still take effect.
#[derive(Debug, Clone, Copy)]
pub(super) struct Returning {
    /// The row's version on which the write is conditional.
    version: u64,
    /// What the grant would be afterwards.
    granted: u64,
}

/// Grants, consumption and demand of one account.
#[derive(Debug)]
pub struct Account {
    prepaid: Option<u64>,
    pub(super) granted: u64,
    pub(super) origin: Origin,
    /// Grants of others as they were known in former eras.
    pub(super) known: Ledger,
    pub(super) returning: Option<Returning>,
    pub(super) consumed: u64,
    recorded: u64,
    rate_limits: Vec<Limit>,
    pub(super) version: u64,
    pub(super) ledger: Ledger,
    pub(super) peers: Peers,
    demand: Window,
    need: Option<Shortage>,
    pub(super) waiting: Waiting,
    requests: Window,
    started_ms: Option<u64>,
    read_ms: u64,
    /// Borrowed and not held yet.
    pub(super) credit: u64,
    pub(super) said: HashMap<Arc<str>, Said>,
}

impl Default for Account {
    fn default() -> Self {
        Self {
            prepaid: None,
            granted: 0,
            origin: Origin::Row,
            known: Ledger::default(),
            returning: None,
            consumed: 0,
            recorded: 0,
            rate_limits: Vec::new(),
            version: 0,
            ledger: Ledger::default(),
            peers: Peers::default(),
            demand: Window::new(DEMAND_MS),
            need: None,
            waiting: Waiting::default(),
            requests: Window::new(DEMAND_MS),
            started_ms: None,
            read_ms: 0,
            credit: 0,
            said: HashMap::new(),
        }
    }
}

impl Account {
    /// Prepaid total, if the account pays by tokens.
    pub fn prepaid(&self) -> Option<u64> {
        self.prepaid
    }

    /// Consumed or held back so far, over all incarnations.
    pub fn consumed(&self) -> u64 {
        self.consumed
    }

    /// What may be consumed in all.
    pub fn granted(&self) -> u64 {
        match self.returning {
            Some(returning) => self.granted.min(returning.granted),
            None => self.granted,
        }
    }

    /// Consumed or held back as of the last journal that was written.
    pub fn recorded(&self) -> u64 {
        self.recorded
    }

    /// Most that a restart of this process at `store_ms` would be charged.
    pub fn promised(&self, store_ms: u64) -> u64 {
        self.limit(store_ms).min(self.granted)
    }

    /// What is left of the grant.
    pub fn remaining(&self) -> u64 {
        self.granted().saturating_sub(self.consumed)
    }

    /// What no holder has been granted, as of the last reading.
    pub fn unallocated(&self) -> u64 {
        let prepaid = self.prepaid.unwrap_or_default();
        prepaid.saturating_sub(self.ledger.total())
    }

    /// Tokens that requests wait for.
    pub fn shortage(&self) -> Option<Shortage> {
        self.need
    }

    pub(super) fn set_prepaid(&mut self, total: Option<u64>) {
        self.prepaid = total;
    }

    pub(super) fn inherit(&mut self, consumed: u64) {
        self.consumed = consumed;
    }

    /// Holds tokens back. The own grant is not usable before it was taken over; a row that was read before `stale_ms` does not
    /// tell that the account is exhausted.
    pub(super) fn hold(
        &mut self,
        holder: &str,
        tokens: u64,
        stale_ms: Option<u64>,
        store_ms: u64,
        era: u32,
    ) -> HoldOutcome {
        if self.prepaid.is_none() {
            // Nothing is counted against an account without a total.
            return HoldOutcome::Held;
        }
        // What was borrowed goes first: it is lost with this process.
        let borrowed = self.credit.min(tokens);
        let own = tokens - borrowed;
        let granted = own == 0 || (stale_ms.is_some() && own <= self.remaining());
        if granted && own <= self.limit_remaining(store_ms) {
            self.credit -= borrowed;
            self.consumed += own;
            return HoldOutcome::Held;
        }
        if granted {
            self.waiting.add(tokens, store_ms);
            let total = self.consumed + tokens;
            let times = self.rate_limits.iter().map(|limit| limit.reached_at(total));
            let when = times.collect::<Option<Vec<u64>>>();
            let when = when.and_then(|times| times.into_iter().max());
            return HoldOutcome::RateLimited(when.map(|when| when.saturating_sub(store_ms)));
        }
        if stale_ms.is_some_and(|stale_ms| self.is_exhausted(holder, tokens, stale_ms, era)) {
            return HoldOutcome::Exhausted;
        }
        let known = self.need.map_or(0, |need| need.tokens);
        self.need = Some(Shortage {
            tokens: known.max(tokens),
        });
        HoldOutcome::InsufficientGrant
    }

    /// Counts a request, whatever becomes of it.
    pub(super) fn record_demand(&mut self, tokens: u64, now_ms: u64) {
        self.demand.add(now_ms, tokens);
        self.requests.add(now_ms, 1);
        self.started_ms.get_or_insert(now_ms);
    }

    pub(super) fn settle(&mut self, held: u64, cost: u64) {
        if self.prepaid.is_none() {
            return;
        }
        // A cost above the hold would be an overspend; the hold is the most that the request may cost.
        let freed = held.saturating_sub(cost);
        // What was borrowed may be freed as well: what the own grant does not take back is credit again.
        let own = freed.min(self.consumed);
        self.consumed -= own;
        self.credit += freed - own;
    }

    /// What the rate_limits that may be in force leave.
    pub(super) fn limit_remaining(&self, store_ms: u64) -> u64 {
        self.limit(store_ms).saturating_sub(self.consumed)
    }

    /// What the rate_limits that may be in force allow in all.
    fn limit(&self, store_ms: u64) -> u64 {
        let limits = self
            .rate_limits
            .iter()
            .map(|limit| limit.limit_at(store_ms));
        limits.min().unwrap_or(0)
    }

    /// Whether the fleet as a whole has not enough for the request, as far as the rows tell. A row that was read
    /// too long ago tells nothing: others may have returned their parts, or the total may have been raised.
    fn is_exhausted(&self, holder: &str, tokens: u64, stale_ms: u64, era: u32) -> bool {
        let Some(prepaid) = self.prepaid else {
            return false;
        };
        if self.version == 0 || self.read_ms < stale_ms || self.ledger.era < era {
            return false;
        }
        let used = plan::used_by_others(&self.ledger, holder, &self.peers);
        prepaid.saturating_sub(used + self.consumed) < tokens
    }

    /// Takes the row as read at `store_ms` of the store's clock.
    pub(super) fn observe_ledger(
        &mut self,
        holder: &str,
        version: u64,
        ledger: Ledger,
        store_ms: u64,
        era: u32,
    ) {
        self.read_ms = self.read_ms.max(store_ms);
        if version < self.version {
            return;
        }
        if self
            .returning
            .is_some_and(|returning| version > returning.version)
        {
            self.returning = None;
        }
        self.version = version;
        self.take_grant(holder, &ledger, era);
        self.ledger = ledger;
    }

    pub(super) fn entry(
        &mut self,
        account: Arc<str>,
        now_ms: u64,
        at_ms: u64,
        burst_ms: u64,
        closing: bool,
    ) -> Entry {
        let demand = self.demand_per_s(now_ms);
        let left = self.remaining();
        let typical = self.typical(now_ms);
        let consumed = self.consumed;
        let waiting = self.waiting.take(at_ms);
        if closing {
            return Entry {
                account,
                consumed,
                burst: 0,
                peak_rate: 0,
                bucket_size: 0,
                sustained_rate: 0,
            };
        }
        let wanted = (typical * SPARE_REQUESTS).max(demand * SPARE_MS / 1_000);
        let spare = (left * SPARE_PERCENT / 100).min(wanted);
        Entry {
            account,
            consumed,
            burst: (demand * burst_ms / 1_000).max(spare) + waiting,
            peak_rate: (demand * PACE_PERCENT / 100).max(left / USE_UP_S),
            bucket_size: bucket_size(demand, typical),
            sustained_rate: demand * STEADY_PERCENT / 100,
        }
    }

    /// A journal with this entry may take effect from now on.
    pub(super) fn bind(&mut self, entry: &Entry, at_ms: u64) {
        self.rate_limits.push(Limit::new(entry, at_ms));
    }

    /// The journal with this entry cannot take effect.
    pub(super) fn unbind(&mut self, entry: &Entry, at_ms: u64) {
        let dropped = Limit::new(entry, at_ms);
        self.rate_limits.retain(|limit| *limit != dropped);
    }

    /// A journal with this entry is in force, and no earlier one can be any more.
    pub(super) fn rebind(&mut self, entry: &Entry, at_ms: u64) {
        self.recorded = entry.consumed;
        self.rate_limits.clear();
        self.rate_limits.push(Limit::new(entry, at_ms));
    }

    /// What the other holders said last; those who gave no status lately are left out.
    pub(super) fn set_peers(&mut self, peers: Peers) {
        self.peers = peers;
    }

    /// What is told to the other holders.
    pub(super) fn usage(&mut self, account: Arc<str>, now_ms: u64) -> Usage {
        Usage {
            account,
            consumed: self.consumed,
            demand_per_s: self.demand_per_s(now_ms),
        }
    }

    pub(super) fn plan(
        &mut self,
        holder: &Arc<str>,
        now_ms: u64,
        (is_advertised, advertised_count): (bool, u64),
        closing: bool,
        era_state: &era::State,
    ) -> Option<(u64, Ledger)> {
        let prepaid = self.prepaid?;
        let era = era_state.era();
        if !era_state.is_fenced() {
            return None;
        }
        if self.is_unconfirmed() {
            return Some((self.version, self.confirmed(holder, era)));
        }
        let is_settled = self.ledger.era >= era;
        let ledger = match (era_state.unconfirmed(), closing) {
            (Some(unconfirmed), _) if is_settled => era::released(&self.ledger, era, unconfirmed),
            _ if is_settled => self.ledger.clone(),
            (Some(unconfirmed), _) => {
                era::settle(&self.ledger, &self.known, era, prepaid, unconfirmed)
            }
            // A holder that ends may always give back; it draws nothing before the era is settled.
            (None, true) => self.ledger.clone(),
            (None, false) => return None,
        };
        let own = Holder {
            holder: holder.clone(),
            granted: self.granted(),
            consumed: self.consumed,
            demand_per_s: self.demand_per_s(now_ms),
            typical: self.typical(now_ms),
            is_advertised,
            advertised_count,
        };
        let may_draw = ledger.era >= era;
        let need = self.need.take().filter(|_| may_draw);
        let granted = match closing {
            true => plan::shutdown_grant(&ledger, &own, prepaid, need),
            false => plan::target_grant(&ledger, &self.peers, &own, prepaid, need),
        };
        // The row is settled for those who need it, so that they learn whether anything is left.
        let is_news = need.is_some() && !is_settled;
        if granted == self.granted && !is_news {
            return None;
        }
        if granted < self.granted {
            // An earlier return on the same condition may still take effect in place of this one.
            let earlier = self.returning.map_or(granted, |earlier| earlier.granted);
            self.returning = Some(Returning {
                version: self.version,
                granted: granted.min(earlier),
            });
        }
        let mut ledger = ledger;
        ledger.set_grant(Grant {
            holder: holder.clone(),
            granted,
            era,
        });
        Some((self.version, ledger))
    }

    pub(super) fn demand_per_s(&mut self, now_ms: u64) -> u64 {
        let since = self
            .started_ms
            .map_or(0, |started| now_ms.saturating_sub(started));
        let span = since.clamp(1_000, DEMAND_MS);
        self.demand.sum(now_ms) * 1_000 / span
    }

    /// Mean size of the recent requests.
    fn typical(&mut self, now_ms: u64) -> u64 {
        let requests = self.requests.sum(now_ms);
        let demand = self.demand.sum(now_ms);
        demand
            .checked_div(requests)
            .map_or(FIRST_TYPICAL, |mean| mean.max(1))
    }
}

/// What a journal lets an instance spend in a cut beyond its sustained_rate pace, for a demand in tokens a second and requests of
/// `typical` tokens.
fn bucket_size(demand: u64, typical: u64) -> u64 {
    let expected = demand as f64 * LUMP_S / typical.max(1) as f64;
    let requests = LUMP_REQUESTS + LUMP_DEVIATIONS * expected.sqrt();
    (typical as f64 * requests) as u64
}
