//! Fixtures: an in-memory table with fault injection, and a fleet of members that share it in
//! virtual time.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use fescuewell_core::platform::{Listing, Role};
use fescuewell_core::prelude::*;
use fescuewell_core::table::{Error, Outcome, Reply, Row, Step, Transaction, Write};
use fescuewell_membership::prelude::*;
use fescuewell_membership::row;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Fault of one table access.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    None,
    Unreachable,
    LostReply,
    StaleRead,
}

/// A table that keeps its history, so that reads can be stale.
#[derive(Debug, Default)]
pub struct Store {
    pub rows: BTreeMap<Arc<str>, Row>,
    history: Vec<BTreeMap<Arc<str>, Row>>,
    /// Skips the history, for fleets with many rows and no stale reads.
    pub skip_history: bool,
    revision: u64,
    pub reads: u64,
    pub writes: u64,
    pub bytes: u64,
}

const MAX_HISTORY: usize = 40;

impl Store {
    pub fn execute(&mut self, step: &Step, fault: Fault) -> Reply {
        let lost = || {
            Reply::Failed(Error::Unknown {
                reason: "lost".into(),
            })
        };
        if fault == Fault::Unreachable {
            return Reply::Failed(Error::Unreachable {
                reason: "down".into(),
            });
        }
        let stale = fault == Fault::StaleRead;
        let reply = match step {
            Step::Read { keys } => self.read(keys, stale),
            Step::Scan(range) => {
                self.scan(&range.prefix, range.after.as_deref(), range.limit, stale)
            }
            Step::Commit(transaction) => self.commit(transaction),
        };
        if fault == Fault::LostReply {
            lost()
        } else {
            reply
        }
    }

    fn source(&self, stale: bool) -> &BTreeMap<Arc<str>, Row> {
        match (stale, self.history.first()) {
            (true, Some(oldest)) => oldest,
            _ => &self.rows,
        }
    }

    fn read(&mut self, keys: &[Arc<str>], stale: bool) -> Reply {
        let source = self.source(stale);
        let mut rows: Vec<Row> = keys
            .iter()
            .filter_map(|key| source.get(key).cloned())
            .collect();
        rows.sort_by(|a, b| a.key.cmp(&b.key));
        self.reads += keys.len() as u64;
        self.bytes += size(&rows);
        Reply::Rows(rows)
    }

    fn scan(&mut self, prefix: &str, after: Option<&str>, limit: u32, stale: bool) -> Reply {
        let limit = if limit == 0 {
            usize::MAX
        } else {
            limit as usize
        };
        let matching = self
            .source(stale)
            .values()
            .filter(|row| row.key.starts_with(prefix));
        let later = matching.filter(|row| after.is_none_or(|after| &*row.key > after));
        let rows: Vec<Row> = later.take(limit).cloned().collect();
        self.reads += 1;
        self.bytes += size(&rows);
        Reply::Rows(rows)
    }

    pub fn commit(&mut self, transaction: &Transaction) -> Reply {
        let current = |key: &Arc<str>| self.rows.get(key).map_or(0, |row| row.revision);
        let is_current = transaction
            .compares
            .iter()
            .all(|compare| current(&compare.key) == compare.revision);
        if !is_current {
            let keys = transaction.compares.iter().map(|compare| &compare.key);
            let rows = keys.filter_map(|key| self.rows.get(key).cloned()).collect();
            return Reply::Outcome(Outcome::Conflict { rows });
        }
        self.revision += 1;
        self.writes += 1;
        if !self.skip_history {
            self.history.push(self.rows.clone());
        }
        if self.history.len() > MAX_HISTORY {
            self.history.remove(0);
        }
        for write in &transaction.writes {
            self.write(write);
        }
        Reply::Outcome(Outcome::Committed {
            revision: self.revision,
        })
    }

    fn write(&mut self, write: &Write) {
        match write {
            Write::Put { key, value } => {
                self.bytes += value.len() as u64;
                let row = Row {
                    key: key.clone(),
                    value: value.clone(),
                    revision: self.revision,
                };
                self.rows.insert(key.clone(), row);
            }
            Write::Delete { key } => {
                self.rows.remove(key);
            }
        }
    }
}

fn size(rows: &[Row]) -> u64 {
    rows.iter()
        .map(|row| (row.key.len() + row.value.len()) as u64)
        .sum()
}

/// One tick of virtual time.
pub const TICK: Duration = Duration::from_millis(100);

pub fn instance(index: usize) -> Arc<str> {
    format!("entry-{index:03}").into()
}

pub fn info(index: usize, incarnation: u64) -> InstanceInfo {
    let port = |base: usize| format!("127.0.0.1:{}", base + index).parse().unwrap();
    InstanceInfo {
        instance: instance(index),
        incarnation: Incarnation(incarnation),
        caller_address: port(10_000),
        peer_address: port(20_000),
        operator_address: port(30_000),
        zone: ["a", "b", "c"][index % 3].into(),
        formats: 1,
    }
}

pub fn settings() -> Settings {
    Settings {
        start_spread: Duration::ZERO,
        ..Settings::sized(9)
    }
}

/// Chooses the fault of a table access by the member with that index.
pub type Faults = Box<dyn FnMut(usize, &mut SmallRng) -> Fault>;

/// Members in virtual time. A stopped member neither accesses the table nor receives anything.
pub struct Fleet {
    pub now: Instant,
    pub store: Store,
    pub members: Vec<Members>,
    pub stopped: Vec<bool>,
    pub fault: Faults,
    pub rng: SmallRng,
}

impl Fleet {
    pub fn new(count: usize, settings: &Settings) -> Self {
        let start = |index| Members::new(settings.clone(), info(index, 1), index as u64 + 1);
        let mut members: Vec<Members> = (0..count).map(start).collect();
        for member in &mut members {
            member.set_state(Instant::default(), row::State::Ready);
        }
        Self {
            now: Instant::from_millis(1_000),
            store: Store::default(),
            members,
            stopped: vec![false; count],
            fault: Box::new(|_, _| Fault::None),
            rng: SmallRng::seed_from_u64(11),
        }
    }

    pub fn tick(&mut self) {
        self.now = self.now + TICK;
        for index in 0..self.members.len() {
            if self.stopped[index] {
                continue;
            }
            self.run_steps(index);
        }
    }

    fn run_steps(&mut self, index: usize) {
        const STEPS_PER_TICK: usize = 4;
        for _ in 0..STEPS_PER_TICK {
            let Some(step) = self.members[index].next_step(self.now) else {
                return;
            };
            let fault = (self.fault)(index, &mut self.rng);
            let reply = self.store.execute(&step, fault);
            self.members[index].reply(self.now, reply);
        }
    }

    pub fn run(&mut self, duration: Duration) {
        let ticks = duration.as_millis() / TICK.as_millis();
        for _ in 0..ticks {
            self.tick();
        }
    }

    pub fn apply_instance_list(&mut self, list: &[Listing]) {
        for (member, stopped) in self.members.iter_mut().zip(&self.stopped) {
            if !stopped {
                member.apply_instance_list(self.now, list);
            }
        }
    }

    pub fn holder(&self, index: usize) -> Arc<str> {
        row::holder(&instance(index), self.members[index].own_row().incarnation)
    }
}

pub fn listing(name: &str, role: Role, state: fescuewell_core::platform::State) -> Listing {
    Listing {
        name: name.into(),
        role,
        address: "127.0.0.1:1".parse().unwrap(),
        zone: "a".into(),
        state,
    }
}
pub mod network;
