//! In-memory table service.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use fescuewell_core::table::{
    self, Compare, Error, MAX_ENTRIES, Outcome, Range, Row, Transaction, Write,
};

use super::fault::{CallResult, Fault};

/// A table that lives in memory and is shared by its clones.
#[derive(Clone, Default)]
pub struct Table {
    content: Arc<Mutex<Content>>,
    fault: Fault,
}

#[derive(Default)]
struct Content {
    rows: BTreeMap<Arc<str>, Row>,
    revision: u64,
}

impl Table {
    /// Returns the fault controls of this table.
    pub fn fault(&self) -> &Fault {
        &self.fault
    }

    /// Returns all rows in key order, ignoring any faults and without counting a read. For assertions in tests.
    pub fn rows(&self) -> Vec<Row> {
        self.lock().rows.values().cloned().collect()
    }

    fn lock(&self) -> MutexGuard<'_, Content> {
        self.content.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn apply(&self, transaction: &Transaction) -> Outcome {
        let outcome = self.lock().apply(transaction);
        if matches!(outcome, Outcome::Committed { .. }) {
            self.fault.record_writes(transaction.writes.len());
        }
        outcome
    }

    fn check_read(&self) -> Result<(), Error> {
        match self.fault.on_read() {
            CallResult::Completed => Ok(()),
            CallResult::Busy => Err(Error::Busy),
            CallResult::Down => Err(unreachable_error()),
            CallResult::ReplyLost | CallResult::RequestLost => Err(unknown_error()),
        }
    }
}

fn unreachable_error() -> Error {
    let reason = "service is down".into();
    Error::Unreachable { reason }
}

fn unknown_error() -> Error {
    let reason = "no reply".into();
    Error::Unknown { reason }
}

impl Content {
    fn apply(&mut self, transaction: &Transaction) -> Outcome {
        let holds = |compare: &Compare| self.revision_of(&compare.key) == compare.revision;
        if !transaction.compares.iter().all(holds) {
            let rows = self.compared_rows(&transaction.compares);
            return Outcome::Conflict { rows };
        }
        if !transaction.writes.is_empty() {
            self.revision += 1;
        }
        for write in &transaction.writes {
            self.write(write);
        }
        Outcome::Committed {
            revision: self.revision,
        }
    }

    fn revision_of(&self, key: &str) -> u64 {
        self.rows.get(key).map_or(0, |row| row.revision)
    }

    fn compared_rows(&self, compares: &[Compare]) -> Vec<Row> {
        let mut rows = BTreeMap::new();
        for compare in compares {
            let Some(row) = self.rows.get(&compare.key) else {
                continue;
            };
            rows.insert(row.key.clone(), row.clone());
        }
        rows.into_values().collect()
    }

    fn write(&mut self, write: &Write) {
        match write {
            Write::Delete { key } => {
                self.rows.remove(key);
            }
            Write::Put { key, value } => {
                let row = Row {
                    key: key.clone(),
                    value: value.clone(),
                    revision: self.revision,
                };
                self.rows.insert(key.clone(), row);
            }
        }
    }

    fn scan(&self, range: &Range) -> Vec<Row> {
        let start = match &range.after {
            Some(after) if **after >= *range.prefix => Bound::Excluded(after.clone()),
            _ => Bound::Included(range.prefix.clone()),
        };
        self.collect(start, range.limit, |key| key.starts_with(&*range.prefix))
    }

    /// Returns rows from `start` on while `within` accepts their keys, at most `limit` of them (0: no limit).
    fn collect<Within>(&self, start: Bound<Arc<str>>, limit: u32, within: Within) -> Vec<Row>
    where
        Within: Fn(&str) -> bool,
    {
        let limit = match limit {
            0 => usize::MAX,
            limit => limit as usize,
        };
        let mut rows = Vec::new();
        for (key, row) in self.rows.range::<Arc<str>, _>((start, Bound::Unbounded)) {
            if rows.len() == limit || !within(key) {
                break;
            }
            rows.push(row.clone());
        }
        rows
    }
}

impl table::Table for Table {
    fn commit(&self, transaction: &Transaction) -> Result<Outcome, Error> {
        if transaction.entries() > MAX_ENTRIES {
            let reason = "too many entries in a transaction".into();
            return Err(Error::Unreachable { reason });
        }
        match self.fault.on_transaction(transaction.writes.len()) {
            CallResult::Completed => Ok(self.apply(transaction)),
            CallResult::ReplyLost => {
                self.apply(transaction);
                Err(unknown_error())
            }
            CallResult::RequestLost => Err(unknown_error()),
            CallResult::Down => Err(unreachable_error()),
            CallResult::Busy => Err(Error::Busy),
        }
    }

    fn read(&self, key: &str) -> Result<Option<Row>, Error> {
        self.check_read()?;
        Ok(self.lock().rows.get(key).cloned())
    }

    fn scan(&self, range: &Range) -> Result<Vec<Row>, Error> {
        self.check_read()?;
        Ok(self.lock().scan(range))
    }
}
