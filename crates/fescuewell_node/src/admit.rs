//! Admission of a request: checks, budget hold, claim, queue.
//!
//! Tokens are held before the request is claimed. A sweep bills the open claims of a terminated router
//! at their hold. If the claim came first, such a bill could have no allowance behind it, and a group's
//! bills could exceed what was granted to its routers and even what was prepaid.

use fescuewell_budget::hold::Shortage;
use fescuewell_claims::client::ClaimRequest;
use fescuewell_claims::message::{Owner, RequestState};
use fescuewell_core::prelude::*;
use fescuewell_queue::admission::Entry;
use fescuewell_queue::deadline::latest_start;
use fescuewell_queue::limit::Class;

use crate::estimate::Key;
use crate::event::Action;
use crate::node::Node;
use crate::record::{Grant, Record};
use crate::request::{Arrival, Ticket, Verdict, Work};

/// Retry-after of a request that another attempt is already running, in seconds.
const IN_PROGRESS_RETRY_SECS: u64 = 1;
/// How long a repeat waits for a call in progress: a group commit takes 50 ms, a reply of a slow table 1 s.
const MAX_IN_PROGRESS_WAIT: std::time::Duration = std::time::Duration::from_secs(2);
/// Share of an instance's concurrent requests that may be non-urgent, in percent.
const MAX_BULK_PERCENT: usize = 80;

impl Node {
    /// Admits a request or refuses it immediately.
    pub(crate) fn admit(&mut self, arrival: Arrival) {
        let ticket = arrival.ticket;
        match self.check(&arrival) {
            Err(refusal) => self.refuse_unrecorded(ticket, &arrival.key, refusal),
            Ok(record) => {
                self.requests.insert(record);
                self.retries.record_request(self.now);
                self.hold(ticket);
            }
        }
    }

    fn check(&mut self, arrival: &Arrival) -> Result<Record, Refusal> {
        self.check_instance()?;
        let group = self
            .catalog
            .group(&arrival.group)
            .ok_or_else(|| Refusal::new(Code::Forbidden))?;
        let kind = self
            .catalog
            .kind(&arrival.kind)
            .ok_or_else(|| Refusal::new(Code::UnknownKind).with_detail(&arrival.kind))?;
        self.check_load(kind)?;
        self.check_quarantine(arrival)?;
        let reach = self.catalog.reach(group, &arrival.work);
        if reach.servers.is_empty() {
            let code = match arrival.work {
                Work::Model { .. } => Code::UnknownModel,
                Work::Call { .. } => Code::UnknownService,
            };
            return Err(Refusal::new(code));
        }
        Ok(Record {
            group,
            kind,
            arrived: self.now,
            deadline: self.now + arrival.deadline,
            state: self.requests.initial(),
            grant: None,
            hold: None,
            shortage: None,
            lost_owner: None,
            attached_to: None,
            entry: None,
            sent_at: self.now,
            kept_at: None,
            output: None,
            class: Class::Bulk,
            server: None,
            sent: 0,
            excluded: Vec::new(),
            reach: reach.servers,
            pool: reach.pool,
            arrival: arrival.clone(),
        })
    }

    fn check_instance(&self) -> Result<(), Refusal> {
        if !self.drain.accepts_requests() {
            return Err(Refusal::new(Code::Draining));
        }
        let view = self.members.view();
        if view.isolated {
            return Err(Refusal::new(Code::Isolated));
        }
        if !self.propagation.is_ready() {
            return Err(Refusal::new(Code::NotReady));
        }
        Ok(())
    }

    fn check_load(&self, kind: KindKey) -> Result<(), Refusal> {
        // With a single limit, queued bulk work would fill it, and urgent requests would be refused
        // although the backend servers have capacity for them.
        let max_requests = match self.catalog.is_urgent(kind) {
            true => self.settings.max_requests,
            false => self.settings.max_requests * MAX_BULK_PERCENT / 100,
        };
        // The bills of admitted requests must fit in the buffer even if the table is unavailable for
        // an hour. Admitting another request could cause a bill to be dropped.
        if self.claims_client.is_full() || self.requests.len() >= max_requests {
            let refusal = Refusal::new(Code::Overloaded);
            return Err(refusal.with_retry_after(std::time::Duration::from_secs(1)));
        }
        Ok(())
    }

    /// Requests a claim for the request from the holder of its slot.
    pub(crate) fn claim(&mut self, ticket: Ticket) {
        let Some(record) = self.requests.get(ticket) else {
            return;
        };
        let mut request = claim_request(record);
        if record.shortage.is_some() {
            // Nothing is held and nothing will be sent, so there is nothing to bill.
            request.hold = Tokens::ZERO;
        }
        let attempt = self.claims_client.claim(self.now, ticket.0, &request);
        if let Some(record) = self.requests.get_mut(ticket) {
            record.grant = Some(Grant {
                attempt,
                is_deferred: true,
            });
        }
    }

    /// Handles a granted claim.
    pub(crate) fn claim_granted(&mut self, ticket: Ticket) {
        if let Some(record) = self.requests.get_mut(ticket)
            && let Some(grant) = &mut record.grant
        {
            grant.is_deferred = false;
        }
        self.enqueue_or_refuse(ticket);
    }

    /// Queues a request that has no other attempt, or refuses it if its group lacks the budget.
    fn enqueue_or_refuse(&mut self, ticket: Ticket) {
        let shortage = self.requests.get(ticket).and_then(|record| record.shortage);
        match shortage {
            Some(shortage) => self.refuse(ticket, shortage_refusal(shortage)),
            None => self.enqueue(ticket),
        }
    }

    /// Handles a claim that could not be recorded.
    ///
    /// A non-repeatable call is refused: if it were sent, another router would not know of it and would
    /// run it again. A repeatable request continues; its bill is arbitrated in any case.
    pub(crate) fn claim_unavailable(&mut self, ticket: Ticket) {
        let Some(record) = self.requests.get(ticket) else {
            return;
        };
        if record.arrival.work.repeatable() || record.shortage.is_some() {
            self.enqueue_or_refuse(ticket);
            return;
        }
        let refusal =
            Refusal::new(Code::NoClaim).with_retry_after(std::time::Duration::from_secs(1));
        self.clear_grant(ticket);
        self.refuse(ticket, refusal);
    }

    /// Handles a claim that was refused because the request already has a state.
    pub(crate) fn claim_known(&mut self, ticket: Ticket, known: RequestState) {
        self.clear_grant(ticket);
        let wait = std::time::Duration::from_secs(IN_PROGRESS_RETRY_SECS);
        match known {
            RequestState::Absent => self.claim(ticket),
            RequestState::Conflict => self.refuse(ticket, Refusal::new(Code::Conflict)),
            RequestState::InProgress { owner, .. } if self.is_stale_owner(&owner) => {
                self.claim_retries.insert(ticket);
            }
            RequestState::InProgress { owner, assignment } => match assignment {
                Some(assignment) if self.is_model(ticket) => {
                    self.attach(ticket, Some(owner), &assignment.server, &assignment.stream);
                }
                _ if self.may_finish_soon(ticket) => {
                    self.claim_retries.insert(ticket);
                }
                _ => self.refuse(
                    ticket,
                    Refusal::new(Code::InProgress).with_retry_after(wait),
                ),
            },
            RequestState::Done {
                assignment,
                response,
                in_doubt,
            } => {
                if let Some(response) = response {
                    // The listener has the whole response and reports no end of the attempt. Without this
                    // call the record would stay for good, count against the limit and block the drain.
                    if self.requests.step(ticket, "known") {
                        self.decide(ticket, Verdict::Stored(response));
                        self.finish_reader(ticket);
                    }
                    return;
                }
                match assignment {
                    Some(assignment) if self.is_model(ticket) => {
                        self.attach(ticket, None, &assignment.server, &assignment.stream);
                    }
                    _ if in_doubt => self.refuse(ticket, Refusal::new(Code::OutcomeUnknown)),
                    _ => self.refuse(ticket, Refusal::new(Code::AlreadyRan)),
                }
            }
        }
    }

    /// Returns `true` if the attempt belonged to this instance and has been released.
    ///
    /// The release may arrive at the slot after the claim of the next attempt. Without this check, a
    /// request whose response was lost would be refused because of its own previous attempt.
    fn is_stale_owner(&self, owner: &Owner) -> bool {
        owner.holder == self.identity.holder && !self.requests.has_attempt(owner.attempt)
    }

    /// Returns `true` while a repeat should wait for a call in progress at another instance.
    ///
    /// That instance responds to its caller before it reports to the slot's holder. A repeat that reaches the
    /// holder in between would be refused as in progress although its caller has the response.
    fn may_finish_soon(&self, ticket: Ticket) -> bool {
        let record = self.requests.get(ticket);
        record.is_some_and(|record| {
            self.now < (record.arrived + MAX_IN_PROGRESS_WAIT).min(record.deadline)
        })
    }

    /// Retries claims that were blocked by a pending release or by a call in progress elsewhere.
    pub(crate) fn retry_claims(&mut self) {
        for ticket in std::mem::take(&mut self.claim_retries) {
            let Some(record) = self.requests.get(ticket) else {
                continue;
            };
            if self.now >= record.deadline {
                self.refuse(ticket, Refusal::new(Code::InProgress));
                continue;
            }
            self.claim(ticket);
        }
    }

    fn is_model(&self, ticket: Ticket) -> bool {
        let record = self.requests.get(ticket);
        record.is_some_and(|record| matches!(record.arrival.work, Work::Model { .. }))
    }

    // Reads the response of another attempt from the backend server. That attempt's owner bills it.
    fn attach(&mut self, ticket: Ticket, owner: Option<Owner>, server: &str, stream: &StreamId) {
        let Some(endpoint) = self.catalog.endpoint_by_name(server).cloned() else {
            self.refuse(ticket, Refusal::new(Code::AlreadyRan));
            return;
        };
        if !self.requests.step(ticket, "known") {
            return;
        }
        if let Some(record) = self.requests.get_mut(ticket) {
            record.attached_to = owner;
            let hold = record.hold.take();
            // A reader costs nothing, and its hold would reduce the allowance for other requests.
            if let Some(hold) = hold {
                self.ledger.release(self.now, hold);
            }
        }
        self.log(
            Event::StreamResumed,
            format!(
                "ticket={} server={server} stream={stream} role=reader",
                ticket.0
            ),
        );
        self.actions.push(Action::Decide {
            ticket,
            verdict: Verdict::Attach {
                server: endpoint.name,
                address: endpoint.address,
                stream: stream.clone(),
            },
        });
    }

    /// Handles a backend server that has no record of the stream this request was attached to.
    pub(crate) fn stream_gone(&mut self, ticket: Ticket) {
        let Some(record) = self.requests.get_mut(ticket) else {
            return;
        };
        let attached_to = record.attached_to.take();
        if attached_to.is_none() {
            self.refuse(ticket, Refusal::new(Code::AlreadyRan));
            return;
        }
        record.lost_owner = attached_to;
        if self.requests.step(ticket, "lost") {
            self.hold(ticket);
        }
    }

    fn clear_grant(&mut self, ticket: Ticket) {
        if let Some(record) = self.requests.get_mut(ticket) {
            record.grant = None;
        }
    }

    /// Holds the request's maximum cost, then claims the request. Called again whenever the group's
    /// allowance changes.
    pub(crate) fn hold(&mut self, ticket: Ticket) {
        let Some(record) = self.requests.get(ticket) else {
            return;
        };
        let amount = record.arrival.work.bound();
        match self.ledger.hold(self.now, record.group, amount) {
            Ok(hold) => {
                if let Some(record) = self.requests.get_mut(ticket) {
                    record.hold = Some(hold);
                    record.shortage = None;
                }
                self.claim_held(ticket);
            }
            Err(Shortage::Pending) => {}
            Err(shortage) => self.record_shortage(ticket, shortage),
        }
    }

    /// Records that the group lacks the budget. The request is claimed all the same, because it may have run
    /// before, and its caller must not be told that it did not run.
    pub(crate) fn record_shortage(&mut self, ticket: Ticket, shortage: Shortage) {
        if shortage == Shortage::Pending {
            return;
        }
        if let Some(record) = self.requests.get_mut(ticket) {
            record.shortage = Some(shortage);
        }
        self.claim_held(ticket);
    }

    fn claim_held(&mut self, ticket: Ticket) {
        if self.requests.step(ticket, "held") {
            self.claim(ticket);
        }
    }

    fn enqueue(&mut self, ticket: Ticket) {
        if !self.requests.step(ticket, "granted") {
            return;
        }
        let Some(record) = self.requests.get(ticket) else {
            return;
        };
        let key = Key {
            group: record.group,
            kind: record.kind,
        };
        let left = record.deadline.since(self.now);
        let entry = Entry {
            ticket: ticket.0,
            group: record.group,
            kind: record.kind,
            pool: record.pool,
            cost: self.estimator.cost(key, record.arrival.work.bound()),
            deadline: latest_start(record.deadline, self.estimator.time(key, left)),
        };
        match self.admission.push(self.now, entry) {
            Ok(_) => self.needs_dispatch = true,
            Err(refusal) => self.refuse(ticket, refusal),
        }
    }
}

/// Converts a budget shortage to a refusal.
fn shortage_refusal(shortage: Shortage) -> Refusal {
    match shortage {
        Shortage::Exhausted => Refusal::new(Code::BudgetExhausted),
        Shortage::InUse { retry_after } => {
            Refusal::new(Code::BudgetInUse).with_retry_after(retry_after)
        }
        Shortage::Pending => Refusal::new(Code::BudgetUnknown),
        Shortage::Unknown { retry_after } => {
            Refusal::new(Code::BudgetUnknown).with_retry_after(retry_after)
        }
    }
}

/// Builds the claim for a request.
pub(crate) fn claim_request(record: &Record) -> ClaimRequest {
    ClaimRequest {
        request: record.arrival.key.digest(),
        fingerprint: record.arrival.fingerprint,
        group: record.arrival.group.clone(),
        hold: record.arrival.work.bound(),
        repeatable: record.arrival.work.repeatable(),
        lost: record.lost_owner.clone(),
    }
}
