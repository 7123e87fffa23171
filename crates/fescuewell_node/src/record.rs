//! Records of open requests and their lifecycle state chart.

use std::collections::HashMap;
use std::sync::Arc;

use fescuewell_budget::hold::{HoldKey, Shortage};
use fescuewell_claims::message::Owner;
use fescuewell_core::chart::{Chart, State};
use fescuewell_core::prelude::*;
use fescuewell_queue::admission::Entry;
use fescuewell_queue::limit::Class;

use crate::request::{Arrival, Ticket};

/// A granted or deferred claim for one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Grant {
    /// Number of the attempt.
    pub attempt: u32,
    /// Whether the slot's holder has not granted the claim, so that only the bill will be arbitrated.
    pub is_deferred: bool,
}

/// An open request.
#[derive(Debug)]
pub struct Record {
    /// The request as it arrived.
    pub arrival: Arrival,
    /// The group that pays.
    pub group: GroupKey,
    /// The kind of request.
    pub kind: KindKey,
    /// When it arrived.
    pub arrived: Instant,
    /// Time by which the response must be complete.
    pub deadline: Instant,
    /// State in the lifecycle chart.
    pub state: State,
    /// The claim of the current attempt, once there is one.
    pub grant: Option<Grant>,
    /// The hold on the group's allowance.
    pub hold: Option<HoldKey>,
    /// Why nothing could be held. The request is claimed all the same, to find out whether it already ran.
    pub shortage: Option<Shortage>,
    /// Attempt of another router of which the backend server has no record.
    pub lost_owner: Option<Owner>,
    /// Attempt of another router whose response this request reads.
    pub attached_to: Option<Owner>,
    /// Queue entry, kept so that the queue can correct its cost and requeue it.
    pub entry: Option<Entry>,
    /// When the current attempt was sent.
    pub sent_at: Instant,
    /// When the current attempt was last kept because its server was silent.
    pub kept_at: Option<Instant>,
    /// Time of the current attempt's first output, and the output tokens since then.
    pub output: Option<(Instant, u32)>,
    /// Class under which the current attempt counts against the server's limit.
    pub class: Class,
    /// Backend server of the current attempt.
    pub server: Option<ServerKey>,
    /// Number of attempts sent so far.
    pub sent: u32,
    /// Backend servers that are excluded from further attempts.
    pub excluded: Vec<ServerKey>,
    /// Backend servers that are eligible to run the request.
    pub reach: Arc<[ServerKey]>,
    /// Pool of the eligible servers; the queue keeps pools separate.
    pub pool: u32,
}

/// All open requests of this instance and their lifecycle chart.
#[derive(Debug)]
pub struct Requests {
    chart: Chart,
    records: HashMap<Ticket, Record>,
}

impl Default for Requests {
    fn default() -> Self {
        let chart = Chart::parse(include_str!("lifecycle.json"))
            .expect("lifecycle.json is a valid state chart");
        Self {
            chart,
            records: HashMap::new(),
        }
    }
}

impl Requests {
    /// Returns the initial state of a request.
    pub fn initial(&self) -> State {
        self.chart.initial()
    }

    /// Inserts a request.
    pub fn insert(&mut self, record: Record) {
        self.records.insert(record.arrival.ticket, record);
    }

    /// Returns a request, if it is still open.
    pub fn get(&self, ticket: Ticket) -> Option<&Record> {
        self.records.get(&ticket)
    }

    /// Returns a mutable reference to a request, if it is still open.
    pub fn get_mut(&mut self, ticket: Ticket) -> Option<&mut Record> {
        self.records.get_mut(&ticket)
    }

    /// Removes a request.
    pub fn remove(&mut self, ticket: Ticket) -> Option<Record> {
        self.records.remove(&ticket)
    }

    /// Returns `true` if a request is on this attempt.
    pub fn has_attempt(&self, attempt: u32) -> bool {
        let mut grants = self.records.values().filter_map(|record| record.grant);
        grants.any(|grant| grant.attempt == attempt)
    }

    /// Returns the number of open requests.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns `true` if no request is open.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns `true` if the request is in this state of the chart.
    pub fn is_in(&self, ticket: Ticket, state: &str) -> bool {
        self.records
            .get(&ticket)
            .is_some_and(|record| self.chart.name(record.state) == state)
    }

    /// Returns the requests in a state, sorted by ticket, which is the order of arrival.
    pub fn in_state(&self, state: &str) -> Vec<Ticket> {
        let wanted = self.chart.state(state);
        let matching = self
            .records
            .iter()
            .filter(|(_, record)| Some(record.state) == wanted);
        let mut tickets: Vec<Ticket> = matching.map(|(ticket, _)| *ticket).collect();
        tickets.sort_unstable();
        tickets
    }

    /// Applies an event to the request's state and returns whether the chart has such a transition.
    ///
    /// A missing transition means that two events raced, for instance a verdict and the caller's
    /// disconnect. The later event then has no effect.
    pub fn step(&mut self, ticket: Ticket, event: &str) -> bool {
        let Some(record) = self.records.get_mut(&ticket) else {
            return false;
        };
        self.chart.step(&mut record.state, event).is_ok()
    }
}
