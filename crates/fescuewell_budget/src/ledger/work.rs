//! Table operations: one at a time, and the outcome of each write is determined before the next.

use std::sync::Arc;
use std::time::Duration;

use fescuewell_core::prelude::*;
use fescuewell_core::table::{Error, Outcome, Reply, Row, Step};
use rand::Rng;

use super::Ledger;
use super::attempt::Attempt;
use super::intent::{Intent, ROW_TTL};
use crate::allowance::{IssuedStep, Observation};
use crate::message::Notification;
use crate::row;

/// Number of consecutive conflicts that are retried without a pause. A conflict means that another
/// holder's write succeeded, so a few immediate retries do no harm.
const CONFLICTS_BEFORE_PAUSE: u32 = 3;

/// Base of the longest pause after a conflict; doubled with each conflict beyond
/// [`CONFLICTS_BEFORE_PAUSE`].
const CONFLICT_PAUSE: Duration = Duration::from_millis(4);

/// Number of failures or conflicts after which a pause is no longer doubled.
const MAX_DOUBLINGS: u32 = 8;

/// State of the table operations.
#[derive(Debug, Default)]
pub(super) struct Work {
    pub(super) attempt: Option<Attempt>,
    is_outstanding: bool,
    /// The outstanding operation, or the last one if none is outstanding.
    pub(super) issued: IssuedStep,
    /// Groups whose rows are being read.
    reads: Vec<GroupKey>,
    not_before: Instant,
    failures: u32,
    conflicts: u32,
    failing_since: Option<Instant>,
    pub(super) draw_count: u32,
}

impl Ledger {
    /// Returns the next table operation, if any; at most one is outstanding at a time.
    ///
    /// Also refuses requests that have waited too long, so it should be called on every tick.
    pub fn next_step(&mut self, now: Instant) -> Option<Step> {
        self.expire(now);
        if self.work.is_outstanding || now < self.work.not_before {
            return None;
        }
        let step = match self.chart.name(self.state) {
            "doubtful" => self.read_back(),
            "unsettled" => self.resend(),
            _ => self.plan(now)?,
        };
        self.work.is_outstanding = true;
        self.work.issued = IssuedStep {
            at: now,
            step: self.work.issued.step + 1,
        };
        Some(step)
    }

    /// Handles the reply to the outstanding operation.
    pub fn reply(&mut self, now: Instant, reply: Reply) {
        if !std::mem::take(&mut self.work.is_outstanding) {
            return;
        }
        match reply {
            Reply::Rows(rows) => {
                self.record_success();
                self.handle_rows(now, &rows);
            }
            Reply::Outcome(Outcome::Committed { revision }) => {
                self.record_success();
                self.work.conflicts = 0;
                self.signal("answered");
                self.apply_attempt(now, revision);
            }
            Reply::Outcome(Outcome::Conflict { rows }) => {
                self.record_success();
                self.handle_conflict(now, &rows);
            }
            Reply::Failed(error) => self.record_failure(now, &error),
        }
    }

    /// Whether the table has failed for longer than requests may wait.
    pub(super) fn table_is_down(&self, now: Instant) -> bool {
        // An operation without any reply counts as a failure too.
        let issued_at = self.work.is_outstanding.then_some(self.work.issued.at);
        let since = self.work.failing_since.or(issued_at);
        since.is_some_and(|since| now.since(since) >= self.settings.max_wait)
    }

    /// Whether no write is pending.
    pub(super) fn is_quiescent(&self) -> bool {
        self.work.attempt.is_none()
    }

    fn signal(&mut self, signal: &str) {
        let step = self.chart.step(&mut self.state, signal);
        debug_assert!(step.is_ok(), "{step:?}");
    }

    fn record_success(&mut self) {
        self.work.failing_since = None;
        self.work.failures = 0;
    }

    fn record_failure(&mut self, now: Instant, error: &Error) {
        let is_lost = matches!(error, Error::Unknown { .. });
        self.signal(if is_lost { "lost" } else { "failed" });
        // Without jitter all instances would retry at the same moment after an outage and overload
        // the table again.
        let doublings = self.work.failures.min(MAX_DOUBLINGS);
        let max_pause = self.settings.initial_backoff * 2u32.pow(doublings);
        let pause = self.jitter(max_pause.min(self.settings.max_backoff));
        self.work.not_before = now + pause;
        self.work.failures += 1;
        self.work.failing_since.get_or_insert(now);
        if self.chart.name(self.state) == "idle" {
            self.discard_attempt();
        }
    }

    /// Plans reads or, if none are needed, one transaction for as many groups as fit.
    fn plan(&mut self, now: Instant) -> Option<Step> {
        if self.is_fenced {
            return None;
        }
        self.queue_renewals(now);
        let due: Vec<GroupKey> = self.due.iter().copied().collect();
        let mut reads = Vec::new();
        let mut changes = Vec::new();
        for group in due {
            if reads.len().max(changes.len()) >= self.settings.batch {
                break;
            }
            match self.intent(now, group) {
                Intent::Nothing => {
                    self.due.remove(&group);
                }
                Intent::Wait => {}
                Intent::Read => reads.push(group),
                Intent::Grant(after) => changes.push((group, after)),
            }
        }
        if reads.is_empty() && changes.is_empty() {
            reads.extend(self.probe());
        }
        if !reads.is_empty() {
            self.signal("read");
            let keys = reads.iter().map(|&group| self.row_key(group)).collect();
            self.work.reads = reads;
            return Some(Step::Read { keys });
        }
        let transaction = match changes.is_empty() {
            true => self.begin_fence_removal()?,
            false => self.begin_write(now, &changes),
        };
        self.signal("commit");
        Some(Step::Commit(transaction))
    }

    /// Returns a group whose row is read only to find out whether the table is available again.
    ///
    /// While the table counts as down, requests are refused without table operations. If nothing
    /// else were due, its recovery would never be noticed and the refusals would never end.
    fn probe(&self) -> Option<GroupKey> {
        self.work.failing_since?;
        self.allowances.keys().next().copied()
    }

    fn queue_renewals(&mut self, now: Instant) {
        if now < self.next_renewal {
            return;
        }
        // The jitter spreads out instances that started together.
        let interval = self.settings.renew_interval;
        self.next_renewal = now + interval.mul_f64(self.rng.random_range(0.75..1.25));
        self.evict_unused(now);
        let groups = self.renewals(now);
        self.due.extend(groups);
    }

    /// Removes groups that have long been unused and have no grant in the table.
    ///
    /// A grant from which tokens were spent is kept until this holder closes, since its bills are
    /// summed up per holder.
    fn evict_unused(&mut self, now: Instant) {
        let idle_after = self.settings.idle_after;
        self.allowances.retain(|_, allowance| {
            let is_used = now.since(allowance.used_at) <= idle_after;
            let is_open = allowance.waiters().is_some() || allowance.is_recalled();
            is_used || is_open || allowance.has_grant || !allowance.in_use().is_zero()
        });
        for (group, allowance) in &mut self.allowances {
            let is_used = now.since(allowance.used_at) <= ROW_TTL;
            if is_used || allowance.scarcity.is_some() || self.due.contains(group) {
                continue;
            }
            let as_of = allowance.row.as_ref().map(|cached| cached.as_of);
            if as_of.is_some_and(|as_of| now.since(as_of) > ROW_TTL) {
                allowance.row = None;
            }
        }
    }

    /// Reads the rows of an attempt whose reply was lost.
    ///
    /// Repeating a write that took effect without a reply would draw twice and leave the first
    /// allowance in the row unspent.
    fn read_back(&mut self) -> Step {
        self.signal("read");
        let attempt = self
            .work
            .attempt
            .as_ref()
            .expect("an attempt is pending in this state");
        let keys = attempt.transaction.compares.iter();
        let keys = keys.map(|compare| compare.key.clone()).collect();
        Step::Read { keys }
    }

    /// Sends the same transaction again.
    ///
    /// The rows were unchanged when they were read back, but the first copy may still be in
    /// transit. If a return were treated as failed and then arrived, its amount could be spent
    /// twice. Only one of two identical transactions can pass the compares, so the outcome becomes
    /// certain.
    fn resend(&mut self) -> Step {
        self.signal("commit");
        let attempt = self
            .work
            .attempt
            .as_ref()
            .expect("an attempt is pending in this state");
        Step::Commit(attempt.transaction.clone())
    }

    fn handle_rows(&mut self, now: Instant, rows: &[Row]) {
        if self.chart.name(self.state) == "reading" {
            self.signal("answered");
            let reads = std::mem::take(&mut self.work.reads);
            self.observe_all(now, &reads, rows);
            return;
        }
        let attempt = self
            .work
            .attempt
            .as_ref()
            .expect("an attempt is pending in this state");
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

    fn handle_conflict(&mut self, now: Instant, rows: &[Row]) {
        self.signal("answered");
        self.work.conflicts += 1;
        if self.work.conflicts > CONFLICTS_BEFORE_PAUSE {
            let doublings = (self.work.conflicts - CONFLICTS_BEFORE_PAUSE).min(MAX_DOUBLINGS);
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
            let observation = match rows.iter().find(|row| row.key == key) {
                Some(row) => allowance.observe(self.work.issued, row, &self.holder),
                None if allowance.has_grant => Observation::GrantMissing,
                None => Observation::Unreadable,
            };
            match observation {
                Observation::Current => self.wake_if_funded(now, group),
                Observation::Unreadable => {
                    allowance.row = None;
                    self.refuse_unknown(now, group);
                }
                Observation::GrantMissing => {
                    allowance.mark_lost();
                    self.notifications.push(Notification::Lost(group));
                    self.refuse_unknown(now, group);
                }
            }
        }
    }

    pub(super) fn row_key(&self, group: GroupKey) -> Arc<str> {
        row::key(&self.allowances[&group].name)
    }
}
