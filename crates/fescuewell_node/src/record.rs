//! The state of one request while this instance has a part in it.

use std::collections::HashMap;
use std::sync::Arc;

use fescuewell_budget::hold::{HoldKey, Shortage};
use fescuewell_claims::message::Owner;
use fescuewell_core::chart::{Chart, State};
use fescuewell_core::prelude::*;
use fescuewell_queue::admission::Entry;
use fescuewell_queue::limit::Class;

use crate::request::{Arrival, Ticket};

/// Identity that the slot's holder gave to this attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Grant {
    /// Number of the attempt.
    pub attempt: u32,
    /// Whether the slot's holder could not be asked, so that only the bill will be arbitrated.
    pub is_deferred: bool,
}

/// One request.
#[derive(Debug)]
pub struct Record {
    /// What arrived.
    pub arrival: Arrival,
    /// The group that pays.
    pub group: GroupKey,
    /// The kind of request.
    pub kind: KindKey,
    /// When it arrived.
    pub arrived: Instant,
    /// When it must have been answered.
    pub deadline: Instant,
    /// Where it stands in the lifecycle chart.
    pub state: State,
    /// The grant, once there is one.
    pub grant: Option<Grant>,
    /// The money held for it.
    pub hold: Option<HoldKey>,
    /// Why there is no money for it; it is claimed all the same, to learn whether it is known already.
    pub shortage: Option<Shortage>,
    /// The run of another router of which its backend server has no record.
    pub lost: Option<Owner>,
    /// The run of another router whose answer this request reads.
    pub other_run: Option<Owner>,
    /// The queue's entry, kept for its later corrections.
    pub entry: Option<Entry>,
    /// When the running attempt was sent.
    pub sent_at: Instant,
    /// When the running attempt's first output came, and how many tokens came since.
    pub output: Option<(Instant, u32)>,
    /// The class under which the running attempt took its place.
    pub class: Class,
    /// The backend server that runs it.
    pub server: Option<ServerKey>,
    /// Attempts sent until now.
    pub sent: u32,
    /// Backend servers that it was not taken by.
    pub excluded: Vec<ServerKey>,
    /// Which backend servers could run it.
    pub reach: Arc<[ServerKey]>,
    /// Interchangeable backend servers share a pool; the queue keeps pools apart.
    pub pool: u32,
}

/// All requests that this instance has a part in, with the chart they follow.
#[derive(Debug)]
pub struct Book {
    chart: Chart,
    records: HashMap<Ticket, Record>,
}

impl Default for Book {
    fn default() -> Self {
        let chart =
            Chart::parse(include_str!("lifecycle.json")).expect("the chart is checked by a test");
        Self {
            chart,
            records: HashMap::new(),
        }
    }
}

impl Book {
    /// The state in which requests start.
    pub fn initial(&self) -> State {
        self.chart.initial()
    }

    /// Adds a request.
    pub fn insert(&mut self, record: Record) {
        self.records.insert(record.arrival.ticket, record);
    }

    /// A request, if it is still known.
    pub fn get(&self, ticket: Ticket) -> Option<&Record> {
        self.records.get(&ticket)
    }

    /// A request, to change it.
    pub fn get_mut(&mut self, ticket: Ticket) -> Option<&mut Record> {
        self.records.get_mut(&ticket)
    }

    /// Forgets a request.
    pub fn remove(&mut self, ticket: Ticket) -> Option<Record> {
        self.records.remove(&ticket)
    }

    /// Whether some request is on this attempt.
    pub fn has_attempt(&self, attempt: u32) -> bool {
        let mut grants = self.records.values().filter_map(|record| record.grant);
        grants.any(|grant| grant.attempt == attempt)
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Whether the request stands in this state of the chart.
    pub fn is_in(&self, ticket: Ticket, state: &str) -> bool {
        self.records
            .get(&ticket)
            .is_some_and(|record| self.chart.name(record.state) == state)
    }

    /// Requests in a state, in order of arrival.
    pub fn all_in(&self, state: &str) -> Vec<Ticket> {
        let wanted = self.chart.state(state);
        let matching = self
            .records
            .iter()
            .filter(|(_, record)| Some(record.state) == wanted);
        let mut tickets: Vec<Ticket> = matching.map(|(ticket, _)| *ticket).collect();
        tickets.sort_unstable();
        tickets
    }

    /// Takes a step of the chart.
    ///
    /// A step that the chart does not have means that two events crossed, for instance a verdict
    /// and the caller's leaving; the later one then has no effect, which the result tells.
    pub fn step(&mut self, ticket: Ticket, signal: &str) -> bool {
        let Some(record) = self.records.get_mut(&ticket) else {
            return false;
        };
        self.chart.step(&mut record.state, signal).is_ok()
    }
}
