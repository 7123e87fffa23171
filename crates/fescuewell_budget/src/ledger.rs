//! The ledger of one instance: holds against allowances, and the table work that keeps them filled.

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

/// Everything that one instance knows and decides about prepaid budgets.
///
/// The instance calls [`Ledger::hold`] before a request is sent and [`Ledger::settle`] when its true
/// cost is known. After any call, and on every tick (50 ms or so), it should carry out
/// [`Ledger::next_step`], send what is in [`Ledger::take_outbox`] and act on [`Ledger::take_notifications`].
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
/// // Nothing is at hand yet, so the first request waits for a draw.
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
    names: HashMap<Arc<str>, GroupKey>,
    /// Only groups in use have an entry. Ordered, so that a run can be repeated exactly.
    allowances: BTreeMap<GroupKey, Allowance>,
    holds: SlotMap<HoldKey, Hold>,
    /// Groups to look at as soon as the table takes another step.
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
    /// Whether this holder was declared ended.
    is_fenced: bool,
}

fescuewell_core::message! {
    /// One group's sums, for metrics.
    #[derive(Eq)]
    pub struct Balance {
        /// The group.
        pub group: GroupKey,
        /// Its name.
        pub name: Arc<str>,
        /// Cumulative grant as the table has it.
        pub granted: Tokens,
        /// Charged by durable bills.
        pub spent: Tokens,
        /// Held by requests under way.
        pub held: Tokens,
        /// Settled, the bills not durable yet.
        pub owed: Tokens,
        /// What may be held now.
        pub idle: Tokens,
    }
}

impl Ledger {
    /// A ledger that holds nothing yet.
    ///
    /// `holder` is `instance.incarnation`; no two starts of an instance may share it. `seed` feeds jitter and
    /// the ids of draws and should differ from start to start.
    ///
    /// # Panics
    ///
    /// Never: the state chart is part of the program and checked by its tests.
    pub fn new(settings: Settings, holder: Arc<str>, seed: u64) -> Self {
        let chart =
            Chart::parse(include_str!("ledger/work.json")).expect("the chart is well formed");
        let state = chart.initial();
        Self {
            settings,
            holder,
            rng: SmallRng::seed_from_u64(seed),
            policies: BTreeMap::new(),
            names: HashMap::new(),
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
    /// A group that is no longer listed gets no new holds; what it has idle here is returned.
    pub fn set_groups(&mut self, now: Instant, policies: &[Policy]) {
        self.policies = policies
            .iter()
            .map(|policy| (policy.key, policy.clone()))
            .collect();
        self.names = policies
            .iter()
            .map(|policy| (policy.name.clone(), policy.key))
            .collect();
        // The document may have come with a top-up. A refusal that is repeated from memory after it is in
        // force would be a false one.
        for allowance in self.allowances.values_mut() {
            allowance.forget_verdict();
        }
        let dropped: Vec<GroupKey> = self
            .allowances
            .keys()
            .filter(|group| !self.policies.contains_key(group))
            .copied()
            .collect();
        for group in dropped {
            self.refuse(now, group, self.unknown());
            self.due.insert(group);
        }
    }

    /// Sets `amount`, the worst case of a request, aside.
    ///
    /// # Errors
    ///
    /// See [`Shortage`]. After [`Shortage::Pending`] the request waits for [`Notification::Funded`] or
    /// [`Notification::Refused`] of its group, and asks again only then. While the last tokens of a budget move
    /// between instances it may have to ask several times, so its own deadline should bound the wait.
    pub fn hold(
        &mut self,
        now: Instant,
        group: GroupKey,
        amount: Tokens,
    ) -> Result<HoldKey, Shortage> {
        let Some(policy) = self.policies.get(&group) else {
            return Err(self.unknown());
        };
        if self.is_closing || self.is_fenced {
            return Err(self.unknown());
        }
        let is_down = self.table_is_down(now);
        let allowance = self
            .allowances
            .entry(group)
            .or_insert_with(|| Allowance::new(now, policy.name.clone()));
        allowance.used_at = now;
        if allowance.take(amount) {
            allowance.rate.count_hold(now, amount);
            return Ok(self.holds.insert(Hold {
                group,
                amount,
                is_settled: false,
            }));
        }
        if is_down || allowance.is_lost {
            return Err(self.unknown());
        }
        if let Some(shortage) = allowance.standing_refusal(now, amount) {
            return Err(shortage);
        }
        allowance.wait(now, self.work.asked.step, amount);
        self.due.insert(group);
        Err(Shortage::Pending)
    }

    /// Replaces a hold by the request's true cost; the rest may be held again at once.
    ///
    /// The cost stays owed until [`Ledger::bill_durable`]. A cost above the hold is cut to the hold, since
    /// nothing stands behind the difference; the cut is logged, because the stream should have
    /// been stopped at the hold. Returns the cost as owed.
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
            allowance.held = allowance.held.minus(amount);
            allowance.owed += cost;
            allowance.rate.count_settlement(amount, cost);
        }
        self.after_release(now, group);
        cost
    }

    /// Ends a hold whose bill is durable. `charged` is 0 when the bill was absorbed as a duplicate: its
    /// amount is free again then.
    ///
    /// A hold that was never settled counts as settled at `charged`.
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
            let stage = match entry.is_settled {
                true => &mut allowance.owed,
                false => &mut allowance.held,
            };
            *stage = stage.minus(entry.amount);
            allowance.spent += charged.min(entry.amount);
        }
        self.after_release(now, entry.group);
    }

    /// Gives a hold up whose request did not run.
    pub fn release(&mut self, now: Instant, hold: HoldKey) {
        self.bill_durable(now, hold, Tokens::ZERO);
    }

    /// Starts to hand everything back, for a drain.
    ///
    /// Idle allowance goes back at once, the rest as requests end and their bills become durable; then
    /// the grants are removed. New holds are refused.
    pub fn close(&mut self, now: Instant) {
        self.is_closing = true;
        self.refuse_all(now);
        self.due.extend(self.allowances.keys());
    }

    /// Whether no grant of this holder is left in the table.
    pub fn is_closed(&self) -> bool {
        let is_gone = self.is_fenced || self.fence.is_none();
        let mut allowances = self.allowances.values();
        self.is_closing
            && self.holds.is_empty()
            && self.is_at_rest()
            && is_gone
            && !allowances.any(|allowance| allowance.is_listed)
    }

    /// Takes the messages that wait to be sent.
    pub fn take_outbox(&mut self) -> Vec<Outgoing> {
        std::mem::take(&mut self.outbox)
    }

    /// Takes what has happened since the last call.
    pub fn take_notifications(&mut self) -> Vec<Notification> {
        std::mem::take(&mut self.notifications)
    }

    /// The sums of every group in use.
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

    /// Wakes waiting requests if what came free is enough for one, and looks after a closing group.
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
            .waiting()
            .is_none_or(|waiting| idle < waiting.smallest)
        {
            return;
        }
        allowance.stop_waiting();
        allowance.relax(now);
        self.notifications.push(Notification::Funded(group));
    }

    fn refuse(&mut self, now: Instant, group: GroupKey, shortage: Shortage) {
        let Some(allowance) = self.allowances.get_mut(&group) else {
            return;
        };
        if allowance.stop_waiting() {
            self.notifications
                .push(Notification::Refused(group, shortage));
        }
        allowance.relax(now);
    }

    fn refuse_all(&mut self, now: Instant) {
        let groups: Vec<GroupKey> = self.allowances.keys().copied().collect();
        for group in groups {
            self.refuse(now, group, self.unknown());
        }
    }

    fn unknown(&self) -> Shortage {
        Shortage::Unknown {
            retry_after: self.settings.max_backoff,
        }
    }

    /// A duration drawn evenly from half of `most` to `most`.
    ///
    /// Instances that failed together must not come back together.
    fn jitter(&mut self, most: Duration) -> Duration {
        most.mul_f64(self.rng.random_range(0.5..1.0))
    }
}
