//! State that tests check: durable bills, the budget row, open requests.

use std::collections::BTreeMap;
use std::sync::Arc;

use fescuewell_budget::row::Budget;
use fescuewell_claims::record::{Batch, Record};
use fescuewell_core::prelude::*;
use fescuewell_core::table::{self, Outcome, Reply, Step, Write};
use fescuewell_node::prelude::*;

use super::document::GROUP;
use super::world::World;

/// Durable charges per request. Each entry is one bill, identified by its log row and its index in it.
pub type Bills = BTreeMap<Digest, BTreeMap<(Arc<str>, usize), Tokens>>;

impl World {
    /// Returns the charge of each durable bill of a request.
    pub fn bills(&self, id: &str) -> Vec<u64> {
        let digest = RequestKey::new("signwise", id).digest();
        let bills = self.bills.get(&digest).into_iter();
        bills
            .flat_map(|bills| bills.values().map(|charged| charged.0))
            .collect()
    }

    /// Returns every request with more than one durable bill.
    pub fn doubly_billed(&self) -> Vec<Digest> {
        let twice = self.bills.iter().filter(|(_, bills)| bills.len() > 1);
        twice.map(|(digest, _)| *digest).collect()
    }

    /// Returns the sum of all durable bills.
    pub fn charged(&self) -> Tokens {
        let bills = self.bills.values().flat_map(BTreeMap::values);
        bills.copied().sum()
    }

    /// Returns the code of a request's refusal, if it was refused.
    pub fn code(&self, ticket: Ticket) -> Option<Code> {
        let refused = self.requests[&ticket].refused.as_ref();
        refused.map(|(_, refusal)| refusal.code)
    }

    /// Returns `true` if a request received its complete response.
    pub fn is_answered(&self, ticket: Ticket) -> bool {
        self.requests[&ticket].answered.is_some()
    }

    /// Returns the group's budget row.
    pub fn budget(&self) -> Budget {
        let key = format!("budget/{GROUP}");
        let rows = self.table.rows();
        let row = rows.iter().find(|row| *row.key == *key).unwrap();
        Budget::parse(&row.value).unwrap()
    }

    /// Returns the tokens held or owed on running instances, and their open requests and bills.
    pub fn open(&self) -> (Tokens, usize) {
        let mut tokens = Tokens::ZERO;
        let mut requests = 0;
        for node in self
            .members
            .iter()
            .filter_map(|member| member.node.as_ref())
        {
            let summary = node.summary();
            requests += summary.requests + summary.unbilled;
            for allowance in &summary.allowances {
                tokens += allowance.held + allowance.owed;
            }
        }
        (tokens, requests)
    }

    /// Returns the status summaries of the running instances.
    pub fn summaries(&self) -> Vec<fescuewell_node::state::Summary> {
        let nodes = self
            .members
            .iter()
            .filter_map(|member| member.node.as_ref());
        nodes.map(Node::summary).collect()
    }

    /// Returns the indexes of the running instances.
    pub fn alive(&self) -> Vec<usize> {
        let members = self.members.iter().enumerate();
        let alive = members.filter(|(_, member)| member.node.is_some());
        alive.map(|(index, _)| index).collect()
    }

    // A commit whose reply is lost may have taken effect, so the rows are checked instead.
    pub(super) fn record_bills(&mut self, step: &Step, reply: &Reply) {
        let Step::Commit(transaction) = step else {
            return;
        };
        let rows = match reply {
            Reply::Outcome(Outcome::Committed { .. }) => None,
            Reply::Failed(table::Error::Unknown { .. }) => Some(self.table.rows()),
            _ => return,
        };
        for write in &transaction.writes {
            let Write::Put { key, value } = write else {
                continue;
            };
            let is_written = rows.as_ref().is_none_or(|rows| {
                rows.iter()
                    .any(|row| row.key == *key && row.value == *value)
            });
            if !(key.starts_with("slotlog/") && is_written) {
                continue;
            }
            let batch: Batch = postcard::from_bytes(value).unwrap();
            for (index, record) in batch.records.iter().enumerate() {
                if let Record::Bill {
                    request, charged, ..
                } = record
                {
                    let bills = self.bills.entry(*request).or_default();
                    bills.insert((key.clone(), index), *charged);
                }
            }
        }
    }
}
