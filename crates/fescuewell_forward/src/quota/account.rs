//! State of one client account on one instance.

use std::collections::HashMap;
use std::sync::Arc;

use super::HoldOutcome;
use super::era;
use super::loans::Report;
use super::origin::Origin;
use super::plan::{self, Holder, Peers, Position, Shortage};
use super::rate_limit::{BURST_ONLY_MS, Limit};
use super::row::{Entry, Grant, Ledger, Usage};
use super::waiting::Waiting;
use crate::window::Window;

/// Window over which demand is measured, in milliseconds: long enough for a few requests of an
/// account that sends one per second, short enough to follow a surge of a few seconds.
const DEMAND_WINDOW_MS: u64 = 6_000;
/// Share of the remaining grant, in percent, that a journal admits as a burst. This bounds the cost
/// of a restart for an account with many tokens left, and keeps requests from being refused when an
/// outage begins.
const BURST_PERCENT: u64 = 8;
/// Upper bound of that burst, in requests of mean size.
const BURST_REQUESTS: u64 = 2;
/// Upper bound of that burst, in milliseconds of demand; the larger bound applies. Nothing else may
/// be spent during the burst-only period.
const BURST_DEMAND_MS: u64 = BURST_ONLY_MS;
/// Peak rate in percent of the measured demand. Demand may double during an outage; a restart at
/// the end of an outage of the store is charged all of it.
const PEAK_RATE_PERCENT: u64 = 200;
/// Seconds after the burst-only period in which the whole grant may be spent, up to the bucket
/// size. Outages of the store last up to ten seconds, and the requests of an account reach an
/// instance in clusters.
const DEPLETION_S: u64 = 5;
/// Base of the bucket size, in requests of mean size, that an instance may serve during an outage
/// however low its measured demand is.
const BUCKET_BASE_REQUESTS: f64 = 0.5;
/// The bucket also covers this many standard deviations of the number of requests expected in
/// [`BUCKET_SPAN_S`]. Requests of an account arrive independently, so the standard deviation is the
/// square root of the expected number.
const BUCKET_DEVIATIONS: f64 = 2.0;
/// Time covered by the bucket, in seconds: a typical outage.
const BUCKET_SPAN_S: f64 = 8.0;
/// Sustained rate beyond the bucket, in percent of the measured demand.
///
/// A restart is charged for everything that its process was allowed to spend, so the limit is no
/// wider than the whole fleet needs: an instance with more demand than expected borrows from the
/// others.
const SUSTAINED_RATE_PERCENT: u64 = 80;
/// Assumed size of a request, in tokens, before any has been seen.
const DEFAULT_REQUEST_TOKENS: u64 = 8_000;

/// A return of tokens, by this process or by the one before, whose write may still take effect.
#[derive(Debug, Clone, Copy)]
pub(super) struct PendingReturn {
    /// Row version on which the write is conditional.
    version: u64,
    /// Grant after the return.
    granted: u64,
}

/// Grants, consumption and demand of one account.
#[derive(Debug)]
pub struct Account {
    prepaid: Option<u64>,
    pub(super) granted: u64,
    pub(super) origin: Origin,
    /// Latest era in which the ledger showed the own grant as confirmed.
    pub(super) confirmed_era: u32,
    /// Whether [`Quota::take_confirmations`](super::Quota::take_confirmations) is to return that.
    pub(super) is_newly_confirmed: bool,
    /// Grants of other holders as known in previous eras.
    pub(super) previous_grants: Ledger,
    pub(super) pending_return: Option<PendingReturn>,
    /// Grant after a return that the journal has to announce before it is sent.
    planned_return: Option<u64>,
    pub(super) consumed: u64,
    recorded: u64,
    /// Grant after a return, as announced by the journal in force.
    pub(super) announced: Option<u64>,
    rate_limits: Vec<Limit>,
    pub(super) version: u64,
    pub(super) ledger: Ledger,
    pub(super) peers: Peers,
    demand: Window,
    shortage: Option<Shortage>,
    pub(super) waiting: Waiting,
    requests: Window,
    first_request_ms: Option<u64>,
    ledger_read_ms: u64,
    /// Borrowed tokens that no request holds yet.
    pub(super) borrowed: u64,
    pub(super) reports: HashMap<Arc<str>, Report>,
}

impl Default for Account {
    fn default() -> Self {
        Self {
            prepaid: None,
            granted: 0,
            origin: Origin::Ledger,
            confirmed_era: 0,
            is_newly_confirmed: false,
            previous_grants: Ledger::default(),
            pending_return: None,
            planned_return: None,
            consumed: 0,
            recorded: 0,
            announced: None,
            rate_limits: Vec::new(),
            version: 0,
            ledger: Ledger::default(),
            peers: Peers::default(),
            demand: Window::new(DEMAND_WINDOW_MS),
            shortage: None,
            waiting: Waiting::default(),
            requests: Window::new(DEMAND_WINDOW_MS),
            first_request_ms: None,
            ledger_read_ms: 0,
            borrowed: 0,
            reports: HashMap::new(),
        }
    }
}

impl Account {
    /// Returns the prepaid total, or `None` if the account is not limited by tokens.
    pub fn prepaid(&self) -> Option<u64> {
        self.prepaid
    }

    /// Returns the tokens consumed or held so far, over all incarnations.
    pub fn consumed(&self) -> u64 {
        self.consumed
    }

    /// Returns the total that may be consumed, assuming that a pending return takes effect.
    pub fn granted(&self) -> u64 {
        match self.pending_return {
            Some(pending_return) => self.granted.min(pending_return.granted),
            None => self.granted,
        }
    }

    /// Returns the total granted by the ledger as last read or written.
    pub fn row_grant(&self) -> u64 {
        self.granted
    }

    /// Returns the tokens consumed or held according to the last written journal.
    pub fn recorded(&self) -> u64 {
        self.recorded
    }

    /// Returns the maximum that a restart of this process at `store_ms` would be charged.
    pub fn promised(&self, store_ms: u64) -> u64 {
        self.limit(store_ms).min(self.granted)
    }

    /// Returns the unspent part of the grant.
    pub fn remaining(&self) -> u64 {
        self.granted().saturating_sub(self.consumed)
    }

    /// Returns the tokens not granted to any holder, as of the last read.
    pub fn unallocated(&self) -> u64 {
        let prepaid = self.prepaid.unwrap_or_default();
        prepaid.saturating_sub(self.ledger.total())
    }

    /// Returns the largest request that the grant did not cover since the last plan.
    pub fn shortage(&self) -> Option<Shortage> {
        self.shortage
    }

    pub(super) fn set_prepaid(&mut self, total: Option<u64>) {
        self.prepaid = total;
    }

    pub(super) fn inherit(&mut self, consumed: u64) {
        self.consumed = consumed;
    }

    /// Holds tokens for a request. `oldest_read_ms` is `None` until the grant has been taken over,
    /// which makes it unusable; a ledger read before it does not prove the account exhausted.
    pub(super) fn hold(
        &mut self,
        holder: &str,
        tokens: u64,
        oldest_read_ms: Option<u64>,
        store_ms: u64,
        era: u32,
    ) -> HoldOutcome {
        if self.prepaid.is_none() {
            // Accounts without a prepaid total are not limited.
            return HoldOutcome::Held;
        }
        // Borrowed tokens are used first, since they are lost with this process.
        let from_borrowed = self.borrowed.min(tokens);
        let from_grant = tokens - from_borrowed;
        let is_covered =
            from_grant == 0 || (oldest_read_ms.is_some() && from_grant <= self.remaining());
        if is_covered && from_grant <= self.limit_remaining(store_ms) {
            self.borrowed -= from_borrowed;
            self.consumed += from_grant;
            return HoldOutcome::Held;
        }
        if is_covered {
            self.waiting.add(tokens, store_ms);
            let total = self.consumed + tokens;
            let times = self.rate_limits.iter().map(|limit| limit.reached_at(total));
            let when = times.collect::<Option<Vec<u64>>>();
            let when = when.and_then(|times| times.into_iter().max());
            return HoldOutcome::RateLimited(when.map(|when| when.saturating_sub(store_ms)));
        }
        if oldest_read_ms
            .is_some_and(|oldest_read_ms| self.is_exhausted(holder, tokens, oldest_read_ms, era))
        {
            return HoldOutcome::Exhausted;
        }
        let previous = self.shortage.map_or(0, |short| short.tokens);
        self.shortage = Some(Shortage {
            tokens: previous.max(tokens),
        });
        HoldOutcome::InsufficientGrant
    }

    /// Records the demand of a request, whether or not it is served.
    pub(super) fn record_demand(&mut self, tokens: u64, now_ms: u64) {
        self.demand.add(now_ms, tokens);
        self.requests.add(now_ms, 1);
        self.first_request_ms.get_or_insert(now_ms);
    }

    pub(super) fn settle(&mut self, held: u64, cost: u64) {
        if self.prepaid.is_none() {
            return;
        }
        // A cost above the hold would overspend; the hold is the maximum cost of the request.
        let freed = held.saturating_sub(cost);
        // The freed tokens may include borrowed ones: those that do not fit the own grant stay
        // borrowed.
        let to_grant = freed.min(self.consumed);
        self.consumed -= to_grant;
        self.borrowed += freed - to_grant;
    }

    /// Returns the tokens that may be consumed now under every rate limit that may be in force.
    pub(super) fn limit_remaining(&self, store_ms: u64) -> u64 {
        self.limit(store_ms).saturating_sub(self.consumed)
    }

    /// Returns the maximum total consumption under every rate limit that may be in force.
    fn limit(&self, store_ms: u64) -> u64 {
        let limits = self
            .rate_limits
            .iter()
            .map(|limit| limit.limit_at(store_ms));
        limits.min().unwrap_or(0)
    }

    /// Returns whether the whole fleet lacks the tokens for a request: the account never had as
    /// many, or they are used according to the ledger. A ledger that was read too long ago proves
    /// nothing: other holders may have returned tokens, or the total may have been raised.
    fn is_exhausted(&self, holder: &str, tokens: u64, oldest_read_ms: u64, era: u32) -> bool {
        let Some(prepaid) = self.prepaid else {
            return false;
        };
        if prepaid < tokens {
            return true;
        }
        if self.version == 0 || self.ledger_read_ms < oldest_read_ms || self.ledger.era < era {
            return false;
        }
        let used = plan::used_by_others(&self.ledger, holder, &self.peers);
        prepaid.saturating_sub(used + self.consumed) < tokens
    }

    /// Updates the ledger from a read at `store_ms` of the store clock.
    pub(super) fn observe_ledger(
        &mut self,
        holder: &str,
        version: u64,
        ledger: Ledger,
        store_ms: u64,
        era: u32,
    ) {
        self.ledger_read_ms = self.ledger_read_ms.max(store_ms);
        if version < self.version {
            return;
        }
        if self
            .pending_return
            .is_some_and(|pending_return| version > pending_return.version)
        {
            self.pending_return = None;
        }
        if version > self.version {
            self.planned_return = None;
        }
        self.version = version;
        self.take_grant(holder, &ledger, era);
        self.ledger = ledger;
    }

    /// Returns the journal entry to write now. Its burst covers the waiting requests.
    pub(super) fn journal_entry(
        &mut self,
        account: Arc<str>,
        now_ms: u64,
        at_ms: u64,
        burst_ms: u64,
        closing_in_ms: Option<u64>,
    ) -> Entry {
        let demand = self.demand_per_s(now_ms);
        let left = self.remaining();
        let mean_request_tokens = self.mean_request_tokens(now_ms);
        let consumed = self.consumed;
        let waiting = self.waiting.take(at_ms);
        let pending = self.pending_return.map(|pending| pending.granted);
        let max = [pending, self.planned_return].into_iter().flatten().min();
        if let Some(closing_in_ms) = closing_in_ms {
            return Entry {
                account,
                consumed,
                burst: self.closing_demand(closing_in_ms, now_ms).min(left) + waiting,
                peak_rate: 0,
                bucket_size: 0,
                sustained_rate: 0,
                max,
            };
        }
        let target = (mean_request_tokens * BURST_REQUESTS).max(demand * BURST_DEMAND_MS / 1_000);
        let burst = (left * BURST_PERCENT / 100).min(target);
        Entry {
            account,
            consumed,
            burst: (demand * burst_ms / 1_000).max(burst) + waiting,
            peak_rate: (demand * PEAK_RATE_PERCENT / 100).max(left / DEPLETION_S),
            bucket_size: bucket_size(demand, mean_request_tokens),
            sustained_rate: demand * SUSTAINED_RATE_PERCENT / 100,
            max,
        }
    }

    /// Adds the rate limit of a journal entry that may take effect from now on.
    ///
    /// Without an earlier limit, the journal in force has no entry for the account. The next process
    /// would be charged nothing by it, so nothing may be spent until this entry is written.
    pub(super) fn add_limit(&mut self, entry: &Entry, at_ms: u64) {
        if self.rate_limits.is_empty() {
            self.rate_limits.push(Limit::NONE);
        }
        self.rate_limits.push(Limit::new(entry, at_ms));
    }

    /// Removes the rate limit of a journal entry that cannot take effect.
    pub(super) fn remove_limit(&mut self, entry: &Entry, at_ms: u64) {
        let dropped = Limit::new(entry, at_ms);
        self.rate_limits.retain(|limit| *limit != dropped);
    }

    /// Replaces all rate limits by that of the journal entry in force, when no earlier one can take
    /// effect any more.
    pub(super) fn replace_limits(&mut self, entry: &Entry, at_ms: u64) {
        self.recorded = entry.consumed;
        self.announced = entry.max;
        self.rate_limits.clear();
        self.rate_limits.push(Limit::new(entry, at_ms));
    }

    pub(super) fn clear_shortage(&mut self) {
        self.shortage = None;
    }

    /// Sets the usage last reported by the other live holders.
    pub(super) fn set_peers(&mut self, peers: Peers) {
        self.peers = peers;
    }

    /// Returns the usage reported to the other holders.
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
        position: Position,
        closing_in_ms: Option<u64>,
        is_journal_known: bool,
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
        let ledger = match (era_state.unconfirmed(), closing_in_ms.is_some()) {
            (Some(unconfirmed), _) if is_settled => {
                era::release_reserve(&self.ledger, era, unconfirmed)
            }
            _ if is_settled => self.ledger.clone(),
            (Some(unconfirmed), _) => era::settle(
                &self.ledger,
                &self.previous_grants,
                era,
                prepaid,
                unconfirmed,
            ),
            // A holder that shuts down may always return tokens, but draws none before the era is
            // settled.
            (None, true) => self.ledger.clone(),
            (None, false) => return None,
        };
        let own = Holder {
            holder: holder.clone(),
            granted: self.granted(),
            consumed: self.consumed,
            demand_per_s: self.demand_per_s(now_ms),
            mean_request_tokens: self.mean_request_tokens(now_ms),
            position,
        };
        let may_draw = ledger.era >= era;
        let shortage = self.shortage.take().filter(|_| may_draw);
        let granted = match closing_in_ms {
            Some(closing_in_ms) => {
                let kept = self.closing_demand(closing_in_ms, now_ms);
                plan::shutdown_grant(&ledger, &own, prepaid, shortage, kept)
            }
            None => plan::target_grant(&ledger, &self.peers, &own, prepaid, shortage),
        };
        // Settles the row for holders that need tokens, so that they learn whether any are left.
        let must_settle = shortage.is_some() && !is_settled;
        self.planned_return = None;
        // Any write of the row ends a return that may still take effect.
        if granted == self.granted && !must_settle && self.pending_return.is_none() {
            return None;
        }
        let granted = match granted < self.granted {
            true => self.begin_return(granted, is_journal_known)?,
            false => granted,
        };
        let mut ledger = ledger;
        ledger.set_grant(Grant {
            holder: holder.clone(),
            granted,
            era,
        });
        Some((self.version, ledger))
    }

    /// Begins a return that lowers the grant to `granted`. Returns the grant that may be written now, or
    /// `None` if the next journal has to announce the return first.
    ///
    /// The write may take effect after this process has ended. The next one must not spend by the grant
    /// that it finds in the row, and the journal is what it knows of this one. Until the return is sent,
    /// this process may spend the tokens.
    fn begin_return(&mut self, granted: u64, is_journal_known: bool) -> Option<u64> {
        let announced = self.announced.filter(|_| is_journal_known);
        if announced.is_none_or(|max| max > granted) {
            self.planned_return = Some(granted);
        }
        // Less than what is planned may have been announced.
        let granted = announced.filter(|max| *max < self.granted)?.max(granted);
        // An earlier return with the same condition may still take effect instead of this one.
        let earlier = self
            .pending_return
            .map_or(granted, |earlier| earlier.granted);
        self.pending_return = Some(PendingReturn {
            version: self.version,
            granted: granted.min(earlier),
        });
        Some(granted)
    }

    /// Returns whether a return waits for the journal that announces it.
    pub(super) fn has_unannounced_return(&self) -> bool {
        let planned = self.planned_return;
        planned.is_some_and(|granted| self.announced.is_none_or(|max| max > granted))
    }

    /// Returns whether a return is announced and can be sent.
    pub(super) fn has_announced_return(&self) -> bool {
        self.planned_return.is_some() && !self.has_unannounced_return()
    }

    /// Takes a return into account that the process before has announced, and may have sent. It has an
    /// effect only as long as the row has the version that this process has read.
    ///
    /// That process may have spent more before it sent the return, which was then a smaller one.
    pub(super) fn inherit_return(&mut self, granted: u64) {
        let granted = granted.max(self.consumed);
        if granted >= self.granted {
            return;
        }
        self.pending_return = Some(PendingReturn {
            version: self.version,
            granted,
        });
    }

    pub(super) fn demand_per_s(&mut self, now_ms: u64) -> u64 {
        let elapsed = self
            .first_request_ms
            .map_or(0, |started| now_ms.saturating_sub(started));
        let span = elapsed.clamp(1_000, DEMAND_WINDOW_MS);
        self.demand.sum(now_ms) * 1_000 / span
    }

    /// Returns the tokens that the demand is expected to need until no requests are served any more.
    fn closing_demand(&mut self, closing_in_ms: u64, now_ms: u64) -> u64 {
        let demand = self.demand_per_s(now_ms);
        match demand * closing_in_ms / 1_000 {
            0 => 0,
            tokens => tokens.max(self.mean_request_tokens(now_ms)),
        }
    }

    /// Returns the mean size of the recent requests.
    fn mean_request_tokens(&mut self, now_ms: u64) -> u64 {
        let requests = self.requests.sum(now_ms);
        let demand = self.demand.sum(now_ms);
        demand
            .checked_div(requests)
            .map_or(DEFAULT_REQUEST_TOKENS, |mean| mean.max(1))
    }
}

/// Returns the tokens that a journal lets an instance spend during an outage beyond its sustained
/// rate, for a demand in tokens per second and requests of `mean_request_tokens` tokens.
fn bucket_size(demand: u64, mean_request_tokens: u64) -> u64 {
    let expected = demand as f64 * BUCKET_SPAN_S / mean_request_tokens.max(1) as f64;
    let requests = BUCKET_BASE_REQUESTS + BUCKET_DEVIATIONS * expected.sqrt();
    (mean_request_tokens as f64 * requests) as u64
}
