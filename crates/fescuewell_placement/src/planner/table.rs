//! The planner's table work: taking over the rows of earlier holders, writing rows before orders.

use std::sync::Arc;

use fescuewell_core::prelude::*;
use fescuewell_core::table::{MOST_ENTRIES, Outcome, Range, Reply, Row, Step, Transaction};

use super::{Await, Notice, Planner};
use crate::fleet::Threat;
use crate::order::{Action, KEY_PREFIX, LateOrder, Order, Record, row_key};
use crate::settings::millis;

/// Rows taken over in one transaction.
const ADOPTED_AT_ONCE: usize = MOST_ENTRIES / 2;
/// Time until the rows are scanned again after the table failed or a row was raced.
const SCAN_AGAIN_MS: u32 = 500;

impl Planner {
    /// The next piece of table work, if any; one at a time.
    pub fn next_step(&mut self, now: Instant) -> Option<Step> {
        if self.is("idle") || self.waiting.is_some() || now < self.retry_at {
            return None;
        }
        if !self.scanned {
            self.waiting = Some(Await::Scan);
            return Some(Step::Scan(Range::prefix(KEY_PREFIX)));
        }
        if !self.unadopted.is_empty() {
            return Some(self.adopt());
        }
        let server = self.ideas.pop_front()?;
        self.write(server)
    }

    fn adopt(&mut self) -> Step {
        let count = self.unadopted.len().min(ADOPTED_AT_ONCE);
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
        self.waiting = Some(Await::Adopt(names));
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
        self.waiting = Some(Await::Write(name));
        Some(Step::Commit(transaction))
    }

    fn record(&self, name: &str, action: Option<Action>) -> Record {
        let threats = self.fleet.get(name).map(|server| &server.threats);
        let threats = threats.into_iter().flatten();
        Record {
            epoch: self.epoch,
            number: self.number,
            action,
            late: threats.map(|threat| threat.late.clone()).collect(),
        }
    }

    /// Takes in the answer to the last [`Planner::next_step`].
    pub fn reply(&mut self, now: Instant, reply: Reply) {
        let Some(waiting) = self.waiting.take() else {
            return;
        };
        match (waiting, reply) {
            (Await::Scan, Reply::Rows(rows)) => self.scanned(now, &rows),
            (Await::Adopt(names), Reply::Outcome(Outcome::Committed { revision })) => {
                self.adopted(now, names, revision);
            }
            (Await::Write(name), Reply::Outcome(Outcome::Committed { revision })) => {
                self.written(now, name, revision);
            }
            _ => self.rescan(now),
        }
    }

    /// Reads all rows again: a reply was lost or a row was changed by somebody else. An order whose
    /// row may or may not have been written is dropped and planned anew, never sent.
    pub(super) fn rescan(&mut self, now: Instant) {
        self.waiting = None;
        self.scanned = false;
        self.retry_at = now + millis(SCAN_AGAIN_MS);
        self.ideas.clear();
        for server in self.fleet.values_mut() {
            let unsent = server
                .pending
                .as_ref()
                .is_some_and(|pending| pending.sent.is_none());
            if unsent {
                server.pending = None;
            }
        }
        self.ready.clear();
    }

    fn scanned(&mut self, now: Instant, rows: &[Row]) {
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

    /// Notes the orders of earlier holders that may still arrive.
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
            server.threaten(Threat { late, until: None });
        }
    }

    fn adopted(&mut self, now: Instant, names: Vec<Arc<str>>, revision: u64) {
        for name in names {
            self.revisions.insert(name, revision);
        }
        self.finish_adoption(now);
    }

    pub(super) fn finish_adoption(&mut self, now: Instant) {
        if !self.unadopted.is_empty() || !self.is("adopting") {
            return;
        }
        // Orders that the earlier holder sent just before its rows were taken over are still on
        // their way to servers that ignore fencing numbers. Were ours sent now, the old ones could
        // overtake them and undo them; so they are given the time to arrive first.
        self.settled_at = now + millis(self.settings.settle_ms);
        self.signal("adopted");
    }

    fn written(&mut self, now: Instant, name: Arc<str>, revision: u64) {
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
