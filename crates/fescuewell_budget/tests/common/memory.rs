//! An in-memory table that counts its operations.

#![allow(dead_code, reason = "each program uses its own part of the fixtures")]

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use fescuewell_budget::row;
use fescuewell_budget::row::Budget;
use fescuewell_core::prelude::*;
use fescuewell_core::table::{Error, Outcome, Range, Row, Table, Transaction, Write};

#[derive(Debug, Default)]
struct Content {
    rows: BTreeMap<Arc<str>, Row>,
    revision: u64,
    counts: Counts,
}

/// Number of operations performed.
#[derive(Debug, Default, Clone, Copy)]
pub struct Counts {
    pub reads: u64,
    pub commits: u64,
    pub conflicts: u64,
    pub rows_written: u64,
}

/// An in-memory table.
#[derive(Debug, Default)]
pub struct MemoryTable {
    content: Mutex<Content>,
}

impl MemoryTable {
    pub fn counts(&self) -> Counts {
        self.content.lock().unwrap().counts
    }

    /// Returns the content of a group's row.
    pub fn budget(&self, group: &str) -> Budget {
        let content = self.content.lock().unwrap();
        let row = &content.rows[&row::key(group)];
        Budget::parse(&row.value).unwrap()
    }

    /// Increases the prepaid total, as the console does.
    pub fn top_up(&self, group: &str, amount: Tokens) {
        self.change(group, |budget| budget.prepaid += amount);
    }

    /// Increases the amount spent by closed holders.
    pub fn spend(&self, group: &str, amount: Tokens) {
        self.change(group, |budget| budget.spent += amount);
    }

    fn change<Change>(&self, group: &str, change: Change)
    where
        Change: FnOnce(&mut Budget),
    {
        let key = row::key(group);
        let row = self.read(&key).unwrap();
        let mut budget = row
            .as_ref()
            .map_or(Budget::default(), |row| Budget::parse(&row.value).unwrap());
        change(&mut budget);
        let transaction = Transaction::default()
            .with_compare(key.clone(), row.map_or(0, |row| row.revision))
            .with_put(key, budget.encode());
        let outcome = self.commit(&transaction).unwrap();
        assert!(matches!(outcome, Outcome::Committed { .. }));
    }
}

impl Table for MemoryTable {
    fn commit(&self, transaction: &Transaction) -> Result<Outcome, Error> {
        let mut content = self.content.lock().unwrap();
        content.counts.commits += 1;
        let revision_of = |key| content.rows.get(key).map_or(0, |row: &Row| row.revision);
        let mut compares = transaction.compares.iter();
        if compares.any(|compare| revision_of(&compare.key) != compare.revision) {
            let compares = transaction.compares.iter();
            let rows = compares
                .filter_map(|compare| content.rows.get(&compare.key).cloned())
                .collect();
            content.counts.conflicts += 1;
            return Ok(Outcome::Conflict { rows });
        }
        content.revision += 1;
        let revision = content.revision;
        for write in &transaction.writes {
            content.counts.rows_written += 1;
            match write {
                Write::Put { key, value } => {
                    let row = Row {
                        key: key.clone(),
                        value: value.clone(),
                        revision,
                    };
                    content.rows.insert(key.clone(), row);
                }
                Write::Delete { key } => {
                    content.rows.remove(key);
                }
            }
        }
        Ok(Outcome::Committed { revision })
    }

    fn read(&self, key: &str) -> Result<Option<Row>, Error> {
        let mut content = self.content.lock().unwrap();
        content.counts.reads += 1;
        Ok(content.rows.get(key).cloned())
    }

    fn scan(&self, range: &Range) -> Result<Vec<Row>, Error> {
        let mut content = self.content.lock().unwrap();
        content.counts.reads += 1;
        let mut found = Vec::new();
        for (key, row) in &content.rows {
            if !key.starts_with(&*range.prefix) || range.after.as_ref() >= Some(key) {
                continue;
            }
            found.push(row.clone());
            if range.limit > 0 && found.len() == range.limit as usize {
                break;
            }
        }
        Ok(found)
    }
}
