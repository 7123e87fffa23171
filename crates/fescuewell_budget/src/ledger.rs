//! The ledger of one instance: holds against allowances, and the table operations that refill them.

mod attempt;
mod intent;
mod recall;
mod work;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use fescuewell_core::chart::{Chart, State};
use fescuewell_core::log_event;
use fescuewell_core::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use slotmap::SlotMap;

use crate::allowance::Allowance;
use crate::hold::{Hold, HoldKey, Shortage};
use crate::message::{Notification, Outgoing};
use crate::policy::{Policy, Settings};

/// Tracks and decides everything about prepaid budgets at one instance.
///
/// The instance calls [`Ledger::hold`] before it sends a request and [`Ledger::settle`] when the
/// actual cost is known. After any call, and on every tick (about every 50 ms), it carries out
/// [`Ledger::next_step`], sends the messages of [`Ledger::take_outbox`] and handles
/// [`Ledger::take_notifications`].
///
/// ```
/// use std::time::Duration;
/// use fescuewell_budget::{Ledger, Notification, Policy, Settings, Shortage, row};
/// use fescuewell_core::prelude::*;
/// use fescuewell_core::table::{Outcome, Reply, Row, Step};
///
/// let now = Instant::from_millis(5);
/// let group = GroupKey(0);
/// let mut ledger = Ledger::new(Settings::default(), "entry-1.1f".into(), 7);
/// ledger.set_groups(now, &[Policy {
///     key: group,
///     name: "signwise".into(),
///     outage: Duration::from_secs(60),
///     share_percent: 10,
///     min_allowance: Tokens(2_000),
/// }]);
///
/// // The allowance is empty, so the first request waits for a draw.
/// assert_eq!(ledger.hold(now, group, Tokens(500)), Err(Shortage::Pending));
/// let Some(Step::Read { keys }) = ledger.next_step(now) else { panic!() };
/// let value = row::Budget::new(Tokens(1_000_000)).encode();
/// ledger.reply(now, Reply::Rows(vec![Row { key: keys[0].clone(), value, revision: 3 }]));
/// let Some(Step::Commit(_)) = ledger.next_step(now) else { panic!() };
/// ledger.reply(now, Reply::Outcome(Outcome::Committed { revision: 4 }));
/// assert!(ledger.take_notifications().contains(&Notification::Funded(group)));
///
/// let hold = ledger.hold(now, group, Tokens(500)).unwrap();
/// ledger.settle(now, hold, Tokens(120));
/// ledger.bill_durable(now, hold, Tokens(120));
/// assert_eq!(ledger.snapshot()[0].spent, Tokens(120));
/// ```
#[derive(Debug)]
pub struct Ledger {
    settings: Settings,
    holder: Arc<str>,
    rng: SmallRng,
    policies: BTreeMap<GroupKey, Policy>,
    keys_by_name: HashMap<Arc<str>, GroupKey>,
    /// Contains only groups in use. Ordered, so that a simulation can be reproduced exactly.
    allowances: BTreeMap<GroupKey, Allowance>,
    holds: SlotMap<HoldKey, Hold>,
    /// Groups to check before the next table operation.
    due: BTreeSet<GroupKey>,
    next_renewal: Instant,
    chart: Chart,
    state: State,
    work: work::Work,
    outbox: Vec<Outgoing>,
    notifications: Vec<Notification>,
    is_closing: bool,
    /// Revision of this holder's fence row, once it has been written.
    fence: Option<u64>,
    /// Whether this holder was declared terminated.
    is_fenced: bool,
}

fescuewell_core::message! {
    /// One group's token counts, for metrics.
    #[derive(Eq)]
    pub struct Balance {
        /// The group.
        pub group: GroupKey,
        /// The group's name.
        pub name: Arc<str>,
        /// Cumulative grant according to the table.
        pub granted: Tokens,
        /// Tokens charged by durable bills.
        pub spent: Tokens,
        /// Tokens held by requests in progress.
        pub held: Tokens,
        /// Tokens settled by bills that are not durable yet.
        pub owed: Tokens,
        /// Tokens available for new holds.
        pub idle: Tokens,
    }
}

impl Ledger {
    /// Creates a ledger without allowances.
    ///
    /// `holder` is `instance.incarnation` and must differ between two starts of an instance. `seed`
    /// feeds the jitter and the draw ids and should differ between starts.
    ///
    /// # Panics
    ///
    /// Never: the state chart is embedded in the binary and checked by the tests.
    pub fn new(settings: Settings, holder: Arc<str>, seed: u64) -> Self {
        let chart = Chart::parse(include_str!("ledger/work.json"))
            .expect("the embedded state chart is valid");
        let state = chart.initial();
        Self {
            settings,
            holder,
            rng: SmallRng::seed_from_u64(seed),
            policies: BTreeMap::new(),
            keys_by_name: HashMap::new(),
            allowances: BTreeMap::new(),
            holds: SlotMap::with_key(),
            due: BTreeSet::new(),
            next_renewal: Instant::default(),
            chart,
            state,
            work: work::Work::default(),
            outbox: Vec::new(),
            notifications: Vec::new(),
            is_closing: false,
            fence: None,
            is_fenced: false,
        }
    }

    /// Replaces the policies by those of a newer document.
    ///
    /// A group that is no longer listed gets no new holds, and its idle tokens are returned.
    pub fn set_groups(&mut self, now: Instant, policies: &[Policy]) {
        self.policies = policies
            .iter()
            .map(|policy| (policy.key, policy.clone()))
            .collect();
        self.keys_by_name = policies
            .iter()
            .map(|policy| (policy.name.clone(), policy.key))
            .collect();
        // The document may come with a top-up, after which a cached refusal would be wrong.
        for allowance in self.allowances.values_mut() {
            allowance.clear_refusal();
        }
        let removed: Vec<GroupKey> = self
            .allowances
            .keys()
            .filter(|group| !self.policies.contains_key(group))
            .copied()
            .collect();
        for group in removed {
            self.refuse(now, group, self.unknown_shortage());
            self.due.insert(group);
        }
    }

    /// Reserves `amount`, the worst-case cost of a request.
    ///
    /// # Errors
    ///
    /// See [`Shortage`]. After [`Shortage::Pending`] the request waits for [`Notification::Funded`]
    /// or [`Notification::Refused`] of its group and retries only then. While the last tokens of a
    /// budget move between instances it may have to retry several times, so the caller should bound
    /// the wait by the request's deadline.
    pub fn hold(
        &mut self,
        now: Instant,
        group: GroupKey,
        amount: Tokens,
    ) -> Result<HoldKey, Shortage> {
        let Some(policy) = self.policies.get(&group) else {
            return Err(self.unknown_shortage());
        };
        if self.is_closing || self.is_fenced {
            return Err(self.unknown_shortage());
        }
        let is_down = self.table_is_down(now);
        let allowance = self
            .allowances
            .entry(group)
            .or_insert_with(|| Allowance::new(now, policy.name.clone()));
        allowance.used_at = now;
        if allowance.try_hold(amount) {
            allowance.rate.record_hold(now, amount);
            return Ok(self.holds.insert(Hold {
                group,
                amount,
                is_settled: false,
            }));
        }
        if is_down || allowance.is_lost {
            return Err(self.unknown_shortage());
        }
        if let Some(shortage) = allowance.cached_refusal(now, amount) {
            return Err(shortage);
        }
        allowance.add_waiter(now, self.work.issued.step, amount);
        self.due.insert(group);
        Err(Shortage::Pending)
    }

    /// Replaces a hold by the actual cost of the request; the rest is available again at once.
    ///
    /// The cost stays owed until [`Ledger::bill_durable`]. A cost above the hold is reduced to the
    /// hold, since no grant covers the difference. This is logged, because the stream should have
    /// been stopped at the hold. Returns the cost that is owed.
    pub fn settle(&mut self, now: Instant, hold: HoldKey, cost: Tokens) -> Tokens {
        let Some(entry) = self.holds.get_mut(hold).filter(|entry| !entry.is_settled) else {
            log_event!(Event::InternalFault, "settlement of unknown hold={hold:?}");
            return Tokens::ZERO;
        };
        let Hold { group, amount, .. } = *entry;
        if cost > amount {
            log_event!(Event::InternalFault, "cost={cost} above hold={amount}");
        }
        let cost = cost.min(amount);
        entry.amount = cost;
        entry.is_settled = true;
        if let Some(allowance) = self.allowances.get_mut(&group) {
            allowance.held = allowance.held.saturating_sub(amount);
            allowance.owed += cost;
            allowance.rate.record_settlement(amount, cost);
        }
        self.after_release(now, group);
        cost
    }

    /// Ends a hold whose bill is durable.
    ///
    /// `charged` is 0 if the bill was absorbed as a duplicate, and the amount is then available
    /// again. A hold that was never settled counts as settled at `charged`.
    pub fn bill_durable(&mut self, now: Instant, hold: HoldKey, charged: Tokens) {
        let Some(entry) = self.holds.remove(hold) else {
            log_event!(Event::InternalFault, "bill of unknown hold={hold:?}");
            return;
        };
        if charged > entry.amount {
            log_event!(
                Event::InternalFault,
                "charged={charged} above owed={}",
                entry.amount
            );
        }
        if let Some(allowance) = self.allowances.get_mut(&entry.group) {
            let balance = match entry.is_settled {
                true => &mut allowance.owed,
                false => &mut allowance.held,
            };
            *balance = balance.saturating_sub(entry.amount);
            allowance.spent += charged.min(entry.amount);
        }
        self.after_release(now, entry.group);
    }

    /// Releases the hold of a request that did not run.
    pub fn release(&mut self, now: Instant, hold: HoldKey) {
        self.bill_durable(now, hold, Tokens::ZERO);
    }

    /// Starts returning all grants, for a drain.
    ///
    /// Idle tokens are returned at once, the rest as requests end and their bills become durable;
    /// then the grants are removed. New holds are refused.
    pub fn close(&mut self, now: Instant) {
        self.is_closing = true;
        self.refuse_all(now);
        self.due.extend(self.allowances.keys());
    }

    /// Whether the ledger has been closed and no grant of this holder is left in the table.
    pub fn is_closed(&self) -> bool {
        let is_fence_gone = self.is_fenced || self.fence.is_none();
        let mut allowances = self.allowances.values();
        self.is_closing
            && self.holds.is_empty()
            && self.is_quiescent()
            && is_fence_gone
            && !allowances.any(|allowance| allowance.has_grant)
    }

    /// Returns and clears the messages to be sent.
    pub fn take_outbox(&mut self) -> Vec<Outgoing> {
        std::mem::take(&mut self.outbox)
    }

    /// Returns and clears the notifications since the last call.
    pub fn take_notifications(&mut self) -> Vec<Notification> {
        std::mem::take(&mut self.notifications)
    }

    /// Returns the token counts of every group in use.
    pub fn snapshot(&self) -> Vec<Balance> {
        let lines = self.allowances.iter();
        lines
            .map(|(&group, allowance)| Balance {
                group,
                name: allowance.name.clone(),
                granted: allowance.granted,
                spent: allowance.spent,
                held: allowance.held,
                owed: allowance.owed,
                idle: allowance.idle(),
            })
            .collect()
    }

    /// Wakes waiting requests if the released tokens are enough for one; schedules a check of a
    /// closing group.
    fn after_release(&mut self, now: Instant, group: GroupKey) {
        self.wake_if_funded(now, group);
        if self.is_closing || !self.policies.contains_key(&group) {
            self.due.insert(group);
        }
    }

    fn wake_if_funded(&mut self, now: Instant, group: GroupKey) {
        let Some(allowance) = self.allowances.get_mut(&group) else {
            return;
        };
        let idle = allowance.idle();
        if allowance
            .waiters()
            .is_none_or(|waiters| idle < waiters.smallest)
        {
            return;
        }
        allowance.clear_waiters();
        allowance.prune_scarcity(now);
        self.notifications.push(Notification::Funded(group));
    }

    fn refuse(&mut self, now: Instant, group: GroupKey, shortage: Shortage) {
        let Some(allowance) = self.allowances.get_mut(&group) else {
            return;
        };
        if allowance.clear_waiters() {
            self.notifications
                .push(Notification::Refused(group, shortage));
        }
        allowance.prune_scarcity(now);
    }

    fn refuse_all(&mut self, now: Instant) {
        let groups: Vec<GroupKey> = self.allowances.keys().copied().collect();
        for group in groups {
            self.refuse(now, group, self.unknown_shortage());
        }
    }

    fn unknown_shortage(&self) -> Shortage {
        Shortage::Unknown {
            retry_after: self.settings.max_backoff,
        }
    }

    /// Returns a random duration between half of `max` and `max`.
    ///
    /// Prevents instances that failed at the same time from retrying at the same time.
    fn jitter(&mut self, max: Duration) -> Duration {
        max.mul_f64(self.rng.random_range(0.5..1.0))
    }
}
