//! Simulated data plane: submits requests and executes verdicts on the backend servers.

use std::time::Duration;

use fescuewell_claims::message::StoredResponse;
use fescuewell_core::prelude::*;
use fescuewell_node::prelude::*;
use rand::Rng;

use super::backend::{Reaction, Stream};
use super::document::{GROUP, MODEL, SERVICE};
use super::world::{Scheduled, SubmittedRequest, World};

/// Silence of a server after which the data plane asks whether another attempt may be made.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(100);

impl World {
    /// Submits a model request of the kind `summary`.
    pub fn submit(&mut self, node: usize, id: &str) -> Ticket {
        self.submit_model(node, id, "summary", (40, 60))
    }

    /// Submits a model request of a kind, with its prompt bound and output limit.
    pub fn submit_model(&mut self, node: usize, id: &str, kind: &str, size: (u32, u32)) -> Ticket {
        let work = Work::Model {
            model: MODEL.into(),
            prefix: Vec::new(),
            prompt_bound: size.0,
            output_limit: size.1,
        };
        self.submit_work(node, id, kind, work, Duration::from_secs(60))
    }

    /// Submits a call to the plain service.
    pub fn call(&mut self, node: usize, id: &str, repeatable: bool) -> Ticket {
        let work = Work::Call {
            service: SERVICE.into(),
            call: if repeatable { "read" } else { "file" }.into(),
            repeatable,
            price: Tokens(20),
        };
        self.submit_work(node, id, "status", work, Duration::from_secs(60))
    }

    /// Submits any request.
    pub fn submit_work(
        &mut self,
        node: usize,
        id: &str,
        kind: &str,
        work: Work,
        deadline: Duration,
    ) -> Ticket {
        let ticket = Ticket(self.requests.len() as u64 + 1);
        let key = RequestKey::new("signwise", id);
        let request = SubmittedRequest {
            node,
            key: key.clone(),
            submitted_at: self.now,
            repeatable: work.repeatable(),
            runs: Vec::new(),
            refused: None,
            answered: None,
            is_reader: false,
        };
        self.requests.insert(ticket, request);
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
        self.handle(node, NodeEvent::Arrived(arrival));
        ticket
    }

    pub(super) fn decide(&mut self, node: usize, ticket: Ticket, verdict: Verdict) {
        let now = self.now;
        match verdict {
            Verdict::Refuse(refusal) => {
                let request = self.requests.get_mut(&ticket).unwrap();
                assert!(
                    request.refused.is_none(),
                    "refused twice: {:?}",
                    request.key
                );
                request.refused = Some((now, refusal));
            }
            Verdict::Stored(_) => {
                let request = self.requests.get_mut(&ticket).unwrap();
                request.is_reader = true;
                request.answered = Some(now);
            }
            Verdict::Attach { stream, .. } => self.attach(node, ticket, &stream),
            Verdict::Run(assignment) => {
                self.cancel_silent(ticket);
                self.run(node, ticket, assignment);
            }
            Verdict::Keep => self.keep(node, ticket),
        }
    }

    // An attempt that was given up while its server was silent is cancelled once another one begins.
    fn cancel_silent(&mut self, ticket: Ticket) {
        let last = self.requests[&ticket].runs.last();
        if let Some((_, assignment)) = last {
            let stream = assignment.stream.clone();
            self.backend.cancel(self.now, &stream);
        }
    }

    fn keep(&mut self, node: usize, ticket: Ticket) {
        let (_, assignment) = self.requests[&ticket].runs.last().expect("an attempt runs");
        let stream = &self.backend.streams[&assignment.stream];
        assert!(!stream.is_cancelled, "kept after its cancellation");
        let left = stream.ends.since(self.now);
        let cost = stream.cost;
        let end = match left > SILENCE_TIMEOUT {
            true => stalled(),
            false => done(cost, None),
        };
        self.ended(node, ticket, left.min(SILENCE_TIMEOUT), end);
    }

    fn ended(&mut self, node: usize, ticket: Ticket, after: Duration, end: End) {
        let event = NodeEvent::Ended { ticket, end };
        self.schedule(
            after + Duration::from_micros(300),
            Scheduled::Event { node, event },
        );
    }

    fn attach(&mut self, node: usize, ticket: Ticket, stream: &StreamId) {
        self.requests.get_mut(&ticket).unwrap().is_reader = true;
        let known = self.backend.streams.get(stream);
        let Some(known) = known.filter(|known| !known.is_cancelled) else {
            self.schedule_delivery(node, NodeEvent::StreamGone { ticket });
            return;
        };
        let left = known.ends.since(self.now);
        self.ended(node, ticket, left, done(known.cost, None));
    }

    fn run(&mut self, node: usize, ticket: Ticket, assignment: Assignment) {
        let request = self.requests.get_mut(&ticket).unwrap();
        request.runs.push((self.now, assignment.clone()));
        let (digest, repeatable) = (request.key.digest(), request.repeatable);
        let is_full = self.backend.running(self.now, &assignment.server) >= self.max_running;
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
            Some(Reaction::RefuseConnection) => {
                return self.ended(node, ticket, nothing, End::NotSent);
            }
            Some(Reaction::Busy) => return self.ended(node, ticket, nothing, End::Busy),
            _ => self.backend.sent.push((digest, assignment.server.clone())),
        }
        if reaction == Some(Reaction::LoseResponse) {
            return self.ended(node, ticket, nothing, lost(false, Tokens::ZERO));
        }
        let took = match reaction {
            Some(Reaction::RunFor(millis) | Reaction::SilentFor(millis)) => millis,
            _ => self.random.random_range(self.run_ms.clone()),
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
            is_silent: matches!(reaction, Some(Reaction::SilentFor(_))),
            is_cancelled: false,
            answer: response.clone(),
        };
        self.backend.streams.insert(assignment.stream, stream);
        if let Some(Reaction::SilentFor(_)) = reaction {
            return self.ended(node, ticket, SILENCE_TIMEOUT, stalled());
        }
        let end = match reaction {
            Some(Reaction::BreakAfterRun) => lost(true, cost),
            _ => done(cost, response),
        };
        self.ended(node, ticket, took, end);
    }
}

fn stalled() -> End {
    End::Lost {
        used: Tokens::ZERO,
        stalled: true,
        delivered: false,
    }
}

fn done(cost: Tokens, response: Option<StoredResponse>) -> End {
    End::Done {
        cost,
        output: cost.0 as u32,
        response,
    }
}
