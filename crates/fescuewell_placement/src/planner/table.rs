//! The planner's table steps: takeover of the rows of earlier leaders, and the write of a row
//! before its order is sent.

use std::sync::Arc;

use fescuewell_core::prelude::*;
use fescuewell_core::table::{MAX_ENTRIES, Outcome, Range, Reply, Row, Step, Transaction};

use super::{Notice, Planner, Request};
use crate::fleet::Undelivered;
use crate::order::{Action, KEY_PREFIX, LateOrder, Order, Record, row_key};
use crate::settings::millis;

/// Maximum number of rows taken over in one transaction.
const ADOPTION_BATCH: usize = MAX_ENTRIES / 2;
/// Delay before a new scan after a table error or a write conflict.
const RESCAN_DELAY_MS: u32 = 500;

impl Planner {
    /// Returns the next table step, if any. Only one is outstanding at a time.
    pub fn next_step(&mut self, now: Instant) -> Option<Step> {
        if self.is("idle") || self.outstanding.is_some() || now < self.retry_at {
            return None;
        }
        if !self.scanned {
            self.outstanding = Some(Request::Scan);
            return Some(Step::Scan(Range::prefix(KEY_PREFIX)));
        }
        if !self.unadopted.is_empty() {
            return Some(self.adopt());
        }
        let server = self.unwritten.pop_front()?;
        self.write(server)
    }

    fn adopt(&mut self) -> Step {
        let count = self.unadopted.len().min(ADOPTION_BATCH);
        let names: Vec<Arc<str>> = self.unadopted.drain(..count).collect();
        let mut transaction = Transaction::default();
        for name in &names {
            let key = row_key(name);
            let revision = self.revisions.get(name).copied().unwrap_or(0);
            let record = self.record(name, None);
            transaction = transaction
                .with_compare(key.clone(), revision)
                .with_put(key, record.encode());
        }
        self.outstanding = Some(Request::Adopt(names));
        Step::Commit(transaction)
    }

    fn write(&mut self, name: Arc<str>) -> Option<Step> {
        let pending = self.fleet.get(&name)?.pending.as_ref()?;
        let action = pending.action.clone();
        self.number += 1;
        let record = self.record(&name, Some(action));
        let key = row_key(&name);
        let revision = self.revisions.get(&name).copied().unwrap_or(0);
        let transaction = Transaction::default()
            .with_compare(key.clone(), revision)
            .with_put(key, record.encode());
        self.outstanding = Some(Request::Write(name));
        Some(Step::Commit(transaction))
    }

    fn record(&self, name: &str, action: Option<Action>) -> Record {
        let undelivered = self.fleet.get(name).map(|server| &server.undelivered);
        let undelivered = undelivered.into_iter().flatten();
        Record {
            epoch: self.epoch,
            number: self.number,
            action,
            late: undelivered
                .map(|undelivered| undelivered.late.clone())
                .collect(),
        }
    }

    /// Handles the reply to the last [`Planner::next_step`].
    pub fn reply(&mut self, now: Instant, reply: Reply) {
        let Some(outstanding) = self.outstanding.take() else {
            return;
        };
        match (outstanding, reply) {
            (Request::Scan, Reply::Rows(rows)) => self.handle_scan(now, &rows),
            (Request::Adopt(names), Reply::Outcome(Outcome::Committed { revision })) => {
                self.handle_adoption(now, names, revision);
            }
            (Request::Write(name), Reply::Outcome(Outcome::Committed { revision })) => {
                self.handle_write(now, name, revision);
            }
            _ => self.rescan(now),
        }
    }

    /// Scans all rows again, after a lost reply or a change of a row by another leader. An order
    /// whose row may not have been written is dropped and planned again, never sent.
    pub(super) fn rescan(&mut self, now: Instant) {
        self.outstanding = None;
        self.scanned = false;
        self.retry_at = now + millis(RESCAN_DELAY_MS);
        self.unwritten.clear();
        for server in self.fleet.values_mut() {
            let is_unsent = server
                .pending
                .as_ref()
                .is_some_and(|pending| pending.sent_at.is_none());
            if is_unsent {
                server.pending = None;
            }
        }
        self.ready.clear();
    }

    fn handle_scan(&mut self, now: Instant, rows: &[Row]) {
        self.scanned = true;
        self.revisions.clear();
        self.unadopted.clear();
        let mut own = Vec::new();
        for row in rows {
            let Some(name) = row.key.strip_prefix(KEY_PREFIX) else {
                continue;
            };
            self.revisions.insert(name.into(), row.revision);
            let Some(record) = Record::decode(&row.value) else {
                continue;
            };
            if record.epoch > self.epoch {
                self.notices.push(Notice::Superseded { by: record.epoch });
                self.lose();
                return;
            }
            if record.epoch == self.epoch {
                own.push(Arc::from(name));
                continue;
            }
            self.inherit(name, record);
        }
        for name in self.fleet.keys() {
            if !own.contains(name) {
                self.unadopted.push_back(name.clone());
            }
        }
        self.finish_adoption(now);
    }

    /// Adds the orders of earlier leaders that may still arrive.
    fn inherit(&mut self, name: &str, record: Record) {
        let Some(server) = self.fleet.get_mut(name) else {
            return;
        };
        let last = record.action.map(|action| LateOrder {
            epoch: record.epoch,
            action,
            single: true,
        });
        for late in record.late.into_iter().chain(last) {
            server.add_undelivered(Undelivered {
                late,
                expires_at: None,
            });
        }
    }

    fn handle_adoption(&mut self, now: Instant, names: Vec<Arc<str>>, revision: u64) {
        for name in names {
            self.revisions.insert(name, revision);
        }
        self.finish_adoption(now);
    }

    pub(super) fn finish_adoption(&mut self, now: Instant) {
        if !self.unadopted.is_empty() || !self.is("adopting") {
            return;
        }
        // Orders that the earlier leader sent just before the takeover may still be in flight to
        // servers that ignore fencing numbers. They could arrive after new orders and revert them,
        // so new orders wait for the settling time.
        self.settled_at = now + millis(self.settings.settle_ms);
        self.signal("adopted");
    }

    fn handle_write(&mut self, now: Instant, name: Arc<str>, revision: u64) {
        self.revisions.insert(name.clone(), revision);
        let Some(server) = self.fleet.get(&name) else {
            return;
        };
        let Some(pending) = &server.pending else {
            return;
        };
        let order = Order {
            server: name,
            epoch: self.epoch,
            number: self.number,
            action: pending.action.clone(),
            reason: pending.reason,
        };
        self.ready.push_back((now, order));
    }
}
