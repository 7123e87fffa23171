//! Table work: one step at a time, with the outcome of each write made certain before the next.

use std::sync::Arc;
use std::time::Duration;

use fescuewell_core::prelude::*;
use fescuewell_core::table::{Error, Outcome, Reply, Row, Step};
use rand::Rng;

use super::Ledger;
use super::attempt::Attempt;
use super::intent::{Intent, ROW_KEPT};
use crate::allowance::{Asked, Sight};
use crate::message::Notification;
use crate::row;

/// Conflicts after which a renewal pauses between attempts. A conflict means that another holder got
/// through, so a few at once do no harm.
const CONFLICTS_AT_ONCE: u32 = 3;

/// Longest pause after the first conflict beyond [`CONFLICTS_AT_ONCE`]; doubled with each further one.
const CONFLICT_PAUSE: Duration = Duration::from_millis(4);

/// Most doublings of a pause.
const MAX_DOUBLINGS: u32 = 8;

/// Where the table work stands.
#[derive(Debug, Default)]
pub(super) struct Work {
    pub(super) attempt: Option<Attempt>,
    is_outstanding: bool,
    /// The outstanding or else the last step.
    pub(super) asked: Asked,
    /// Groups whose rows are being read.
    looks: Vec<GroupKey>,
    not_before: Instant,
    failures: u32,
    conflicts: u32,
    failing_since: Option<Instant>,
    pub(super) draws: u32,
}

impl Ledger {
    /// The next piece of table work, if there is any; at most one is outstanding at a time.
    ///
    /// Also lets what has waited too long be refused, so it should be called on every tick.
    pub fn next_step(&mut self, now: Instant) -> Option<Step> {
        self.expire(now);
        if self.work.is_outstanding || now < self.work.not_before {
            return None;
        }
        let step = match self.chart.name(self.state) {
            "doubtful" => self.read_back(),
            "unsettled" => self.repeat(),
            _ => self.plan(now)?,
        };
        self.work.is_outstanding = true;
        self.work.asked = Asked {
            at: now,
            step: self.work.asked.step + 1,
        };
        Some(step)
    }

    /// Takes the answer to the outstanding step.
    pub fn reply(&mut self, now: Instant, reply: Reply) {
        if !std::mem::take(&mut self.work.is_outstanding) {
            return;
        }
        match reply {
            Reply::Rows(rows) => {
                self.succeed();
                self.take_rows(now, &rows);
            }
            Reply::Outcome(Outcome::Committed { revision }) => {
                self.succeed();
                self.work.conflicts = 0;
                self.signal("answered");
                self.land(now, revision);
            }
            Reply::Outcome(Outcome::Conflict { rows }) => {
                self.succeed();
                self.take_conflict(now, &rows);
            }
            Reply::Failed(error) => self.fail(now, &error),
        }
    }

    /// Whether the table has failed for longer than requests should wait for it.
    pub(super) fn table_is_down(&self, now: Instant) -> bool {
        // A step that gets no answer at all is a failure as well.
        let asked = self.work.is_outstanding.then_some(self.work.asked.at);
        let since = self.work.failing_since.or(asked);
        since.is_some_and(|since| now.since(since) >= self.settings.max_wait)
    }

    /// Whether no write is open.
    pub(super) fn is_at_rest(&self) -> bool {
        self.work.attempt.is_none()
    }

    fn signal(&mut self, signal: &str) {
        let step = self.chart.step(&mut self.state, signal);
        debug_assert!(step.is_ok(), "{step:?}");
    }

    fn succeed(&mut self) {
        self.work.failing_since = None;
        self.work.failures = 0;
    }

    fn fail(&mut self, now: Instant, error: &Error) {
        let is_lost = matches!(error, Error::Unknown { .. });
        self.signal(if is_lost { "lost" } else { "failed" });
        // Without jitter every instance would come back at the same moment after an outage, and the
        // table would go down again under them.
        let doublings = self.work.failures.min(MAX_DOUBLINGS);
        let most = self.settings.initial_backoff * 2u32.pow(doublings);
        let pause = self.jitter(most.min(self.settings.max_backoff));
        self.work.not_before = now + pause;
        self.work.failures += 1;
        self.work.failing_since.get_or_insert(now);
        if self.chart.name(self.state) == "idle" {
            self.drop_attempt();
        }
    }

    /// Chooses reads, or else one transaction for as many groups as fit.
    fn plan(&mut self, now: Instant) -> Option<Step> {
        if self.is_fenced {
            return None;
        }
        self.queue_renewals(now);
        let due: Vec<GroupKey> = self.due.iter().copied().collect();
        let mut looks = Vec::new();
        let mut changes = Vec::new();
        for group in due {
            if looks.len().max(changes.len()) >= self.settings.batch {
                break;
            }
            match self.intent(now, group) {
                Intent::Nothing => {
                    self.due.remove(&group);
                }
                Intent::Wait => {}
                Intent::Look => looks.push(group),
                Intent::Grant(after) => changes.push((group, after)),
            }
        }
        if looks.is_empty() && changes.is_empty() {
            looks.extend(self.probe());
        }
        if !looks.is_empty() {
            self.signal("read");
            let keys = looks.iter().map(|&group| self.row_key(group)).collect();
            self.work.looks = looks;
            return Some(Step::Read { keys });
        }
        let transaction = match changes.is_empty() {
            true => self.begin_removal()?,
            false => self.begin(now, &changes),
        };
        self.signal("commit");
        Some(Step::Commit(transaction))
    }

    /// A group whose row is read only to learn whether the table is back.
    ///
    /// Requests are refused without any table work while the table is taken to be down. If nothing else
    /// were due either, nobody would notice its return, and the refusals would never end.
    fn probe(&self) -> Option<GroupKey> {
        self.work.failing_since?;
        self.allowances.keys().next().copied()
    }

    fn queue_renewals(&mut self, now: Instant) {
        if now < self.next_renewal {
            return;
        }
        // Instances that started together spread out.
        let interval = self.settings.renew_interval;
        self.next_renewal = now + interval.mul_f64(self.rng.random_range(0.75..1.25));
        self.forget_unused(now);
        let wanting = self.renewals(now);
        self.due.extend(wanting);
    }

    /// Drops the entries of groups that have not been used for long and have nothing in the table.
    ///
    /// A grant that was spent from stays listed until this holder closes: its bills are totalled by holder.
    fn forget_unused(&mut self, now: Instant) {
        let idle_after = self.settings.idle_after;
        self.allowances.retain(|_, allowance| {
            let is_used = now.since(allowance.used_at) <= idle_after;
            let is_open = allowance.waiting().is_some() || allowance.is_recalled();
            is_used || is_open || allowance.is_listed || !allowance.in_use().is_zero()
        });
        for (group, allowance) in &mut self.allowances {
            let is_used = now.since(allowance.used_at) <= ROW_KEPT;
            if is_used || allowance.strain.is_some() || self.due.contains(group) {
                continue;
            }
            let seen = allowance.row.as_ref().map(|cached| cached.seen);
            if seen.is_some_and(|seen| now.since(seen) > ROW_KEPT) {
                allowance.row = None;
            }
        }
    }

    /// Reads the rows of an attempt whose reply was lost.
    ///
    /// A write that took effect although its reply did not arrive would otherwise be made again: the
    /// first allowance would stay in the row with nobody to spend it.
    fn read_back(&mut self) -> Step {
        self.signal("read");
        let attempt = self
            .work
            .attempt
            .as_ref()
            .expect("a doubtful attempt is kept");
        let keys = attempt.transaction.compares.iter();
        let keys = keys.map(|compare| compare.key.clone()).collect();
        Step::Read { keys }
    }

    /// Sends the very same transaction again.
    ///
    /// The rows were unchanged when they were read back, but the first copy may still be on its way. A
    /// return that was taken for undone and then arrived would let its amount be spent twice. Only one of
    /// two equal copies can pass the compares, so the outcome becomes certain.
    fn repeat(&mut self) -> Step {
        self.signal("commit");
        let attempt = self
            .work
            .attempt
            .as_ref()
            .expect("an unsettled attempt is kept");
        Step::Commit(attempt.transaction.clone())
    }

    fn take_rows(&mut self, now: Instant, rows: &[Row]) {
        if self.chart.name(self.state) == "reading" {
            self.signal("answered");
            let looks = std::mem::take(&mut self.work.looks);
            self.observe_all(now, &looks, rows);
            return;
        }
        let attempt = self
            .work
            .attempt
            .as_ref()
            .expect("a verified attempt is kept");
        let compares = &attempt.transaction.compares;
        let is_unchanged = compares.iter().all(|compare| {
            let found = rows.iter().find(|row| row.key == compare.key);
            found.map_or(0, |row| row.revision) == compare.revision
        });
        if is_unchanged {
            self.signal("unsettled");
            return;
        }
        self.signal("settled");
        self.resolve(now, rows);
    }

    fn take_conflict(&mut self, now: Instant, rows: &[Row]) {
        self.signal("answered");
        self.work.conflicts += 1;
        if self.work.conflicts > CONFLICTS_AT_ONCE {
            let doublings = (self.work.conflicts - CONFLICTS_AT_ONCE).min(MAX_DOUBLINGS);
            let pause = self.jitter(CONFLICT_PAUSE * 2u32.pow(doublings));
            self.work.not_before = now + pause;
        }
        self.resolve(now, rows);
    }

    pub(super) fn observe_all(&mut self, now: Instant, groups: &[GroupKey], rows: &[Row]) {
        for &group in groups {
            let key = self.row_key(group);
            let Some(allowance) = self.allowances.get_mut(&group) else {
                continue;
            };
            let sight = match rows.iter().find(|row| row.key == key) {
                Some(row) => allowance.observe(self.work.asked, row, &self.holder),
                None if allowance.is_listed => Sight::Gone,
                None => Sight::Unreadable,
            };
            match sight {
                Sight::Current => self.wake_if_funded(now, group),
                Sight::Unreadable => {
                    allowance.row = None;
                    self.give_up(now, group);
                }
                Sight::Gone => {
                    allowance.lose();
                    self.notifications.push(Notification::Lost(group));
                    self.give_up(now, group);
                }
            }
        }
    }

    pub(super) fn row_key(&self, group: GroupKey) -> Arc<str> {
        row::key(&self.allowances[&group].name)
    }
}
