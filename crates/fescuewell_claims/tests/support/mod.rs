//! Fixtures: an in-memory table with faults, and an instance that runs one arbiter against it.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use fescuewell_claims::arbiter::{Arbiter, Settings};
use fescuewell_claims::message::{Bill, Claim, Owner, Reply, Request};
use fescuewell_claims::note::Note;
use fescuewell_core::prelude::*;
use fescuewell_core::table::{self, Error, Outcome, Range, Row, Step, Transaction, Write};

/// The only slot of most tests.
pub const SLOT: SlotKey = SlotKey(0);

/// The table's behaviour.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    None,
    /// The table cannot be reached.
    Down,
    /// Every step takes effect, and every reply is lost.
    LosesReplies,
    /// Every reply is lost, and writes take effect only when the fault ends.
    Delays,
    /// Every step fails as over the limit.
    Busy,
}

/// A transactional table in memory.
#[derive(Debug)]
pub struct Table {
    pub rows: BTreeMap<Arc<str>, Row>,
    pub revision: u64,
    pub commits: u64,
    pub writes: u64,
    /// Compares and writes of the largest transaction.
    pub most_entries: usize,
    pub fault: Fault,
    pub delayed: Vec<Transaction>,
}

impl Default for Table {
    fn default() -> Self {
        Self {
            rows: BTreeMap::new(),
            revision: 0,
            commits: 0,
            writes: 0,
            most_entries: 0,
            fault: Fault::None,
            delayed: Vec::new(),
        }
    }
}

impl Table {
    /// Executes a step, subject to the current fault.
    pub fn carry_out(&mut self, step: &Step) -> table::Reply {
        let reason: Arc<str> = "fault".into();
        match self.fault {
            Fault::None => self.execute(step),
            Fault::Down => table::Reply::Failed(Error::Unreachable { reason }),
            Fault::Busy => table::Reply::Failed(Error::Busy),
            Fault::LosesReplies => {
                self.execute(step);
                table::Reply::Failed(Error::Unknown { reason })
            }
            Fault::Delays => {
                if let Step::Commit(transaction) = step {
                    self.delayed.push(transaction.clone());
                }
                table::Reply::Failed(Error::Unknown { reason })
            }
        }
    }

    /// Executes the delayed writes.
    pub fn deliver_delayed(&mut self) {
        for transaction in std::mem::take(&mut self.delayed) {
            self.commit(&transaction);
        }
    }

    fn execute(&mut self, step: &Step) -> table::Reply {
        match step {
            Step::Read { keys } => {
                let rows = keys.iter().filter_map(|key| self.rows.get(key)).cloned();
                table::Reply::Rows(rows.collect())
            }
            Step::Scan(range) => table::Reply::Rows(self.scan(range)),
            Step::Commit(transaction) => table::Reply::Outcome(self.commit(transaction)),
        }
    }

    fn scan(&self, range: &Range) -> Vec<Row> {
        let mut rows = Vec::new();
        for row in self.rows.values() {
            let is_after = range.after.as_ref().is_none_or(|after| row.key > *after);
            if !row.key.starts_with(&*range.prefix) || !is_after {
                continue;
            }
            rows.push(row.clone());
            if rows.len() as u32 == range.limit {
                break;
            }
        }
        rows
    }

    fn commit(&mut self, transaction: &Transaction) -> Outcome {
        self.most_entries = self.most_entries.max(transaction.entries());
        let mut holds = true;
        let mut current = Vec::new();
        for compare in &transaction.compares {
            let row = self.rows.get(&compare.key);
            holds &= row.map_or(0, |row| row.revision) == compare.revision;
            current.extend(row.cloned());
        }
        if !holds {
            return Outcome::Conflict { rows: current };
        }
        self.commits += 1;
        self.revision += 1;
        self.writes += transaction.writes.len() as u64;
        for write in &transaction.writes {
            self.write(write);
        }
        Outcome::Committed {
            revision: self.revision,
        }
    }

    fn write(&mut self, write: &Write) {
        match write {
            Write::Put { key, value } => {
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

/// One instance with an arbiter.
pub struct Node {
    pub arbiter: Arbiter,
    pub replies: BTreeMap<u64, Reply>,
    pub notes: Vec<Note>,
    next_ticket: u64,
}

impl Node {
    pub fn new(name: &str, settings: Settings) -> Self {
        Self {
            arbiter: Arbiter::new(settings, name, 7),
            replies: BTreeMap::new(),
            notes: Vec::new(),
            next_ticket: 1,
        }
    }

    /// Creates an instance that holds the only slot.
    pub fn holding(name: &str, now: &mut Instant, table: &mut Table) -> Self {
        let mut node = Self::new(name, settings());
        node.take(now, table, &[]);
        node
    }

    /// Takes the only slot, if necessary from the holders in `lapsed`.
    pub fn take(&mut self, now: &mut Instant, table: &mut Table, lapsed: &[&str]) {
        self.arbiter.set_wanted(*now, &[SLOT]);
        self.arbiter.set_lapsed(*now, names(lapsed));
        for _ in 0..100 {
            if self.arbiter.holds(SLOT) {
                return;
            }
            self.run(now, table, 10);
        }
        panic!("the slot was not taken: {:?}", self.notes);
    }

    /// Advances time by `millis` and executes table steps.
    pub fn run(&mut self, now: &mut Instant, table: &mut Table, millis: u64) {
        let step = Duration::from_millis(5);
        for _ in 0..millis.div_ceil(5) {
            *now = *now + step;
            self.run_due_steps(*now, table);
        }
    }

    /// Executes all table steps that are due.
    pub fn run_due_steps(&mut self, now: Instant, table: &mut Table) {
        while let Some(step) = self.arbiter.next_step(now) {
            let reply = table.carry_out(&step);
            self.arbiter.reply(now, reply);
        }
        self.collect();
    }

    pub fn collect(&mut self) {
        self.replies.extend(self.arbiter.take_replies());
        self.notes.extend(self.arbiter.take_notes());
    }

    /// Submits a request and returns its ticket.
    pub fn submit(&mut self, now: Instant, request: &Request) -> u64 {
        self.submit_to(now, SLOT, request)
    }

    pub fn submit_to(&mut self, now: Instant, slot: SlotKey, request: &Request) -> u64 {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.arbiter.request(now, ticket, slot, request);
        self.collect();
        ticket
    }

    /// Submits a request and returns its reply, which must not need a commit.
    pub fn reply_now(&mut self, now: Instant, request: &Request) -> Reply {
        let ticket = self.submit(now, request);
        self.replies
            .remove(&ticket)
            .expect("the reply needs no commit")
    }

    /// Submits a request and returns its reply after a commit.
    pub fn reply_after_commit(
        &mut self,
        now: &mut Instant,
        table: &mut Table,
        request: &Request,
    ) -> Reply {
        let ticket = self.submit(*now, request);
        self.run(now, table, 300);
        self.replies
            .remove(&ticket)
            .expect("there is a reply after a commit")
    }
}

/// Settings with one slot.
pub fn settings() -> Settings {
    Settings {
        slots: 1,
        commit_interval: Duration::from_millis(50),
        flush_interval: Duration::from_millis(50),
        poll_interval: Duration::from_millis(100),
        idle_poll_interval: Duration::from_secs(1),
        ..Settings::default()
    }
}

pub fn names(list: &[&str]) -> BTreeSet<Arc<str>> {
    list.iter().map(|&name| name.into()).collect()
}

pub fn digest(id: &str) -> Digest {
    RequestKey::new("clinic", id).digest()
}

pub fn owner(holder: &str, attempt: u32) -> Owner {
    Owner {
        holder: holder.into(),
        attempt,
    }
}

/// A claim of a repeatable request with a hold of 500.
pub fn claim(id: &str, holder: &str, attempt: u32) -> Claim {
    Claim {
        request: digest(id),
        fingerprint: Digest::of(b"body"),
        group: "signwise".into(),
        owner: owner(holder, attempt),
        hold: Tokens(500),
        repeatable: true,
        lost: None,
        oldest: 0,
    }
}

/// A claim of a non-repeatable call.
pub fn non_repeatable(id: &str, holder: &str, attempt: u32) -> Claim {
    Claim {
        repeatable: false,
        ..claim(id, holder, attempt)
    }
}

/// A bill of `cost` tokens.
pub fn bill(id: &str, holder: &str, attempt: u32, cost: u64) -> Bill {
    Bill {
        request: digest(id),
        fingerprint: Digest::of(b"body"),
        group: "signwise".into(),
        owner: owner(holder, attempt),
        hold: Tokens(500),
        cost: Tokens(cost),
        complete: true,
        repeatable: true,
        response: None,
        oldest: 0,
    }
}

pub fn release(id: &str, holder: &str, attempt: u32) -> Request {
    Request::Release {
        request: digest(id),
        owner: owner(holder, attempt),
    }
}

pub fn lookup(id: &str) -> Request {
    Request::Lookup {
        request: digest(id),
    }
}

pub fn billed(charged: u64) -> Reply {
    Reply::Billed {
        charged: Tokens(charged),
    }
}
