//! What tests look at: durable bills, the budget row, what is still open.

use std::collections::BTreeMap;
use std::sync::Arc;

use fescuewell_budget::row::Budget;
use fescuewell_claims::record::{Batch, Record};
use fescuewell_core::prelude::*;
use fescuewell_core::table::{self, Outcome, Reply, Step, Write};
use fescuewell_node::prelude::*;

use super::document::GROUP;
use super::world::World;

/// Charged by durable bills, by request; each entry is one bill, named by its log row and place there.
pub type Bills = BTreeMap<Digest, BTreeMap<(Arc<str>, usize), Tokens>>;

impl World {
    /// What each durable bill of a request charged.
    pub fn bills(&self, id: &str) -> Vec<u64> {
        let digest = RequestKey::new("signwise", id).digest();
        let bills = self.bills.get(&digest).into_iter();
        bills
            .flat_map(|bills| bills.values().map(|charged| charged.0))
            .collect()
    }

    /// Every request with more than one durable bill.
    pub fn twice_billed(&self) -> Vec<Digest> {
        let twice = self.bills.iter().filter(|(_, bills)| bills.len() > 1);
        twice.map(|(digest, _)| *digest).collect()
    }

    /// The sum of all durable bills.
    pub fn charged(&self) -> Tokens {
        let bills = self.bills.values().flat_map(BTreeMap::values);
        bills.copied().sum()
    }

    /// Code of the refusal of a request, if it was refused.
    pub fn code(&self, ticket: Ticket) -> Option<Code> {
        let refused = self.asked[&ticket].refused.as_ref();
        refused.map(|(_, refusal)| refusal.code)
    }

    /// Whether a request was answered whole.
    pub fn is_answered(&self, ticket: Ticket) -> bool {
        self.asked[&ticket].answered.is_some()
    }

    /// The group's budget row.
    pub fn budget(&self) -> Budget {
        let key = format!("budget/{GROUP}");
        let rows = self.table.rows();
        let row = rows.iter().find(|row| *row.key == *key).unwrap();
        Budget::parse(&row.value).unwrap()
    }

    /// Tokens held or owed on live instances, and requests that they have a part in.
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

    /// What operators are shown of the instances that run.
    pub fn summaries(&self) -> Vec<fescuewell_node::state::Summary> {
        let nodes = self
            .members
            .iter()
            .filter_map(|member| member.node.as_ref());
        nodes.map(Node::summary).collect()
    }

    /// Instances that run.
    pub fn alive(&self) -> Vec<usize> {
        let members = self.members.iter().enumerate();
        let alive = members.filter(|(_, member)| member.node.is_some());
        alive.map(|(index, _)| index).collect()
    }

    // A commit whose reply is lost may have taken effect all the same: then the rows tell.
    pub(super) fn note_bills(&mut self, step: &Step, reply: &Reply) {
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
