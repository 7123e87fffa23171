//! The data plane: requests as callers send them, and verdicts carried out on the backend servers.

use std::time::Duration;

use fescuewell_claims::message::StoredResponse;
use fescuewell_core::prelude::*;
use fescuewell_node::prelude::*;
use rand::Rng;

use super::backend::{Reaction, Stream};
use super::document::{GROUP, MODEL, SERVICE};
use super::world::{Asked, Due, World};

impl World {
    /// A model request.
    pub fn ask(&mut self, node: usize, id: &str) -> Ticket {
        self.ask_model(node, id, "summary", (40, 60))
    }

    /// A model request of a kind with bounds of prompt and output.
    pub fn ask_model(&mut self, node: usize, id: &str, kind: &str, size: (u32, u32)) -> Ticket {
        let work = Work::Model {
            model: MODEL.into(),
            prefix: Vec::new(),
            prompt_bound: size.0,
            output_limit: size.1,
        };
        self.arrive(node, id, kind, work, Duration::from_secs(60))
    }

    /// A plain call.
    pub fn call(&mut self, node: usize, id: &str, repeatable: bool) -> Ticket {
        let work = Work::Call {
            service: SERVICE.into(),
            call: if repeatable { "read" } else { "file" }.into(),
            repeatable,
            price: Tokens(20),
        };
        self.arrive(node, id, "status", work, Duration::from_secs(60))
    }

    /// Any request.
    pub fn arrive(
        &mut self,
        node: usize,
        id: &str,
        kind: &str,
        work: Work,
        deadline: Duration,
    ) -> Ticket {
        let ticket = Ticket(self.asked.len() as u64 + 1);
        let key = RequestKey::new("signwise", id);
        let asked = Asked {
            node,
            key: key.clone(),
            at: self.now,
            repeatable: work.repeatable(),
            runs: Vec::new(),
            refused: None,
            answered: None,
            is_reader: false,
        };
        self.asked.insert(ticket, asked);
        let fingerprint = Digest::of(format!("{work:?}").as_bytes());
        let arrival = Arrival {
            ticket,
            key,
            fingerprint,
            group: GROUP.into(),
            kind: kind.into(),
            work,
            deadline,
        };
        self.happen(node, NodeEvent::Arrived(arrival));
        ticket
    }

    pub(super) fn decide(&mut self, node: usize, ticket: Ticket, verdict: Verdict) {
        let now = self.now;
        match verdict {
            Verdict::Refuse(refusal) => {
                let asked = self.asked.get_mut(&ticket).unwrap();
                assert!(asked.refused.is_none(), "refused twice: {:?}", asked.key);
                asked.refused = Some((now, refusal));
            }
            Verdict::Stored(_) => {
                let asked = self.asked.get_mut(&ticket).unwrap();
                asked.is_reader = true;
                asked.answered = Some(now);
            }
            Verdict::Attach { stream, .. } => self.attach(node, ticket, &stream),
            Verdict::Run(assignment) => self.run(node, ticket, assignment),
        }
    }

    fn ended(&mut self, node: usize, ticket: Ticket, after: Duration, end: End) {
        let event = NodeEvent::Ended { ticket, end };
        self.later(
            after + Duration::from_micros(300),
            Due::Event { node, event },
        );
    }

    fn attach(&mut self, node: usize, ticket: Ticket, stream: &StreamId) {
        self.asked.get_mut(&ticket).unwrap().is_reader = true;
        let known = self.backend.streams.get(stream);
        let Some(known) = known.filter(|known| !known.cut) else {
            self.soon(node, NodeEvent::StreamGone { ticket });
            return;
        };
        let left = known.ends.since(self.now);
        self.ended(node, ticket, left, done(known.cost, None));
    }

    fn run(&mut self, node: usize, ticket: Ticket, assignment: Assignment) {
        let asked = self.asked.get_mut(&ticket).unwrap();
        asked.runs.push((self.now, assignment.clone()));
        let (digest, repeatable) = (asked.key.digest(), asked.repeatable);
        let is_full = self.backend.running(self.now, &assignment.server) >= self.places;
        let reaction = match is_full {
            true => Some(Reaction::Busy),
            false => self.backend.reactions.pop_front(),
        };
        let nothing = Duration::from_millis(1);
        let lost = |delivered, used| End::Lost {
            used,
            stalled: false,
            delivered,
        };
        match reaction {
            Some(Reaction::Refuse) => return self.ended(node, ticket, nothing, End::NotSent),
            Some(Reaction::Busy) => return self.ended(node, ticket, nothing, End::Busy),
            _ => self.backend.sent.push((digest, assignment.server.clone())),
        }
        if reaction == Some(Reaction::Lose) {
            return self.ended(node, ticket, nothing, lost(false, Tokens::ZERO));
        }
        let took = match reaction {
            Some(Reaction::Take(millis)) => millis,
            _ => self.random.random_range(self.takes.clone()),
        };
        let cost = Tokens(self.random.random_range(1..=assignment.hold.0.max(1)));
        let cost = if repeatable { cost } else { assignment.hold };
        let response = (!repeatable).then(|| StoredResponse {
            status: 200,
            content_type: "text/plain".into(),
            body: b"filed"[..].into(),
        });
        let took = Duration::from_millis(took);
        let stream = Stream {
            server: assignment.server,
            holder: assignment.holder,
            group: assignment.group,
            hold: assignment.hold,
            cost,
            started: self.now,
            ends: self.now + took,
            cut: false,
            answer: response.clone(),
        };
        self.backend.streams.insert(assignment.stream, stream);
        let end = match reaction {
            Some(Reaction::BreakLate) => lost(true, cost),
            _ => done(cost, response),
        };
        self.ended(node, ticket, took, end);
    }
}

fn done(cost: Tokens, response: Option<StoredResponse>) -> End {
    End::Done {
        cost,
        output: cost.0 as u32,
        response,
    }
}
