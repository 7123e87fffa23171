//! From arrival to the queue: checks, hold, claim.
//!
//! Money is held before the claim. The sweep bills a dead router's open claims at their hold, and with a
//! claim made first there would be no allowance behind such a bill: the bills of a group would come to
//! more than what was granted to its routers, at worst to more than was prepaid.

use fescuewell_budget::hold::Shortage;
use fescuewell_claims::client::ClaimRequest;
use fescuewell_claims::message::{Owner, RequestState};
use fescuewell_core::prelude::*;
use fescuewell_queue::admission::Entry;
use fescuewell_queue::deadline::latest_start;
use fescuewell_queue::limit::Class;

use crate::estimate::Whose;
use crate::event::Action;
use crate::node::Node;
use crate::record::{Grant, Record};
use crate::request::{Arrival, Ticket, Verdict, Work};

/// When to ask again for a request that is under way somewhere, in seconds.
const RETRY_IN_PROGRESS: u64 = 1;
/// How long a repeat waits for the call that is under way: a group commit takes 50 ms and a slow table's answer a second.
const WAIT_IN_PROGRESS: std::time::Duration = std::time::Duration::from_secs(2);
/// Part of the requests that an instance takes at once which may be other than urgent, in percent.
const BULK_PERCENT: usize = 80;

impl Node {
    /// Takes a request in, or refuses it at once.
    pub(crate) fn arrive(&mut self, arrival: Arrival) {
        let ticket = arrival.ticket;
        match self.check(&arrival) {
            Err(refusal) => self.refuse_unknown(ticket, &arrival.key, refusal),
            Ok(record) => {
                self.book.insert(record);
                self.retries.first_try(self.now);
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
        self.check_suspect(arrival)?;
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
            state: self.book.initial(),
            grant: None,
            hold: None,
            shortage: None,
            lost: None,
            other_run: None,
            entry: None,
            sent_at: self.now,
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
        if !self.drain.takes_requests() {
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
        // With one bound for all, waiting bulk work would fill it, and urgent requests would be refused
        // although there are places for them on the backend servers.
        let most = match self.catalog.is_urgent(kind) {
            true => self.settings.max_requests,
            false => self.settings.max_requests * BULK_PERCENT / 100,
        };
        // The bills of requests under way must find room even if the table stays away for an hour;
        // taking one more would mean to drop one of them.
        if self.claims_client.is_full() || self.book.len() >= most {
            let refusal = Refusal::new(Code::Overloaded);
            return Err(refusal.with_retry_after(std::time::Duration::from_secs(1)));
        }
        Ok(())
    }

    /// Asks the slot of the request whether it may run.
    pub(crate) fn claim(&mut self, ticket: Ticket) {
        let Some(record) = self.book.get(ticket) else {
            return;
        };
        let mut ask = ask_for(record);
        if record.shortage.is_some() {
            // Nothing is held and nothing will be sent, so there is nothing to bill either.
            ask.hold = Tokens::ZERO;
        }
        let attempt = self.claims_client.claim(self.now, ticket.0, &ask);
        if let Some(record) = self.book.get_mut(ticket) {
            record.grant = Some(Grant {
                attempt,
                is_deferred: true,
            });
        }
    }

    /// The slot granted the claim.
    pub(crate) fn claim_granted(&mut self, ticket: Ticket) {
        if let Some(record) = self.book.get_mut(ticket)
            && let Some(grant) = &mut record.grant
        {
            grant.is_deferred = false;
        }
        self.may_run(ticket);
    }

    /// Queues a request that is not known elsewhere, if there is money for it.
    fn may_run(&mut self, ticket: Ticket) {
        let shortage = self.book.get(ticket).and_then(|record| record.shortage);
        match shortage {
            Some(shortage) => self.refuse(ticket, refusal_of(shortage)),
            None => self.enqueue(ticket),
        }
    }

    /// Nobody could record the claim.
    ///
    /// A call that may not be repeated is refused: were it sent, a second router could not know of
    /// it and would run it again. A repeatable one goes on; its bill is arbitrated in any case.
    pub(crate) fn claim_unavailable(&mut self, ticket: Ticket) {
        let Some(record) = self.book.get(ticket) else {
            return;
        };
        if record.arrival.work.repeatable() || record.shortage.is_some() {
            self.may_run(ticket);
            return;
        }
        let refusal =
            Refusal::new(Code::NoClaim).with_retry_after(std::time::Duration::from_secs(1));
        self.forget_grant(ticket);
        self.refuse(ticket, refusal);
    }

    /// The request is known already.
    pub(crate) fn claim_known(&mut self, ticket: Ticket, known: RequestState) {
        self.forget_grant(ticket);
        let wait = std::time::Duration::from_secs(RETRY_IN_PROGRESS);
        match known {
            RequestState::Absent => self.claim(ticket),
            RequestState::Conflict => self.refuse(ticket, Refusal::new(Code::Conflict)),
            RequestState::InProgress { owner, .. } if self.is_over(&owner) => {
                self.reclaims.insert(ticket);
            }
            RequestState::InProgress { owner, assignment } => match assignment {
                Some(assignment) if self.is_model(ticket) => {
                    self.attach(ticket, Some(owner), &assignment.server, &assignment.stream);
                }
                _ if self.may_end_soon(ticket) => {
                    self.reclaims.insert(ticket);
                }
                _ => self.refuse(
                    ticket,
                    Refusal::new(Code::InProgress).with_retry_after(wait),
                ),
            },
            RequestState::Done {
                assignment,
                response: answer,
                in_doubt,
            } => {
                if let Some(answer) = answer {
                    // The listener has all it needs and reports no end. The request would stay in the
                    // book for ever, fill it, and keep the instance from leaving.
                    if self.book.step(ticket, "known") {
                        self.decide(ticket, Verdict::Stored(answer));
                        self.reader_ended(ticket);
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

    /// Whether the run was this instance's and has been given up.
    ///
    /// Its release is on its way and may be overtaken by the claim of the next run, also of the same
    /// request. Without this, a request whose answer was lost is refused as being under way, by itself.
    fn is_over(&self, owner: &Owner) -> bool {
        owner.holder == self.me.holder && !self.book.has_attempt(owner.attempt)
    }

    /// Whether a call that is under way at another instance is waited for.
    ///
    /// That instance answers its caller first and tells the slot's holder then. A repeat that overtakes it would be
    /// refused as being under way, although its caller has seen the answer.
    fn may_end_soon(&self, ticket: Ticket) -> bool {
        let record = self.book.get(ticket);
        record.is_some_and(|record| {
            self.now < (record.arrived + WAIT_IN_PROGRESS).min(record.deadline)
        })
    }

    /// Claims once more what a release of this instance, or a call elsewhere, stood in the way of.
    pub(crate) fn claim_again(&mut self) {
        for ticket in std::mem::take(&mut self.reclaims) {
            let Some(record) = self.book.get(ticket) else {
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
        let record = self.book.get(ticket);
        record.is_some_and(|record| matches!(record.arrival.work, Work::Model { .. }))
    }

    // The answer of another run is read from the backend server; the run stays its owner's to bill.
    fn attach(&mut self, ticket: Ticket, owner: Option<Owner>, server: &str, stream: &StreamId) {
        let Some(place) = self.catalog.place_of(server).cloned() else {
            self.refuse(ticket, Refusal::new(Code::AlreadyRan));
            return;
        };
        if !self.book.step(ticket, "known") {
            return;
        }
        if let Some(record) = self.book.get_mut(ticket) {
            record.other_run = owner;
            let hold = record.hold.take();
            // A reader costs nothing; money held for it would be missing elsewhere meanwhile.
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
                server: place.name,
                address: place.address,
                stream: stream.clone(),
            },
        });
    }

    /// The backend server has no record of the run that this request was attached to.
    pub(crate) fn stream_gone(&mut self, ticket: Ticket) {
        let Some(record) = self.book.get_mut(ticket) else {
            return;
        };
        let other_run = record.other_run.take();
        if other_run.is_none() {
            self.refuse(ticket, Refusal::new(Code::AlreadyRan));
            return;
        }
        record.lost = other_run;
        if self.book.step(ticket, "lost") {
            self.hold(ticket);
        }
    }

    fn forget_grant(&mut self, ticket: Ticket) {
        if let Some(record) = self.book.get_mut(ticket) {
            record.grant = None;
        }
    }

    /// Tries to hold the worst case of the request's cost, then claims it; called again whenever the
    /// group's allowance changed.
    pub(crate) fn hold(&mut self, ticket: Ticket) {
        let Some(record) = self.book.get(ticket) else {
            return;
        };
        let amount = record.arrival.work.bound();
        match self.ledger.hold(self.now, record.group, amount) {
            Ok(hold) => {
                if let Some(record) = self.book.get_mut(ticket) {
                    record.hold = Some(hold);
                    record.shortage = None;
                }
                self.held(ticket);
            }
            Err(Shortage::Pending) => {}
            Err(shortage) => self.out_of_money(ticket, shortage),
        }
    }

    /// There is no money for a request. It may still have run before, and a caller that asks for its answer
    /// must not be told that it did not.
    pub(crate) fn out_of_money(&mut self, ticket: Ticket, shortage: Shortage) {
        if shortage == Shortage::Pending {
            return;
        }
        if let Some(record) = self.book.get_mut(ticket) {
            record.shortage = Some(shortage);
        }
        self.held(ticket);
    }

    fn held(&mut self, ticket: Ticket) {
        if self.book.step(ticket, "held") {
            self.claim(ticket);
        }
    }

    fn enqueue(&mut self, ticket: Ticket) {
        if !self.book.step(ticket, "granted") {
            return;
        }
        let Some(record) = self.book.get(ticket) else {
            return;
        };
        let whose = Whose {
            group: record.group,
            kind: record.kind,
        };
        let left = record.deadline.since(self.now);
        let entry = Entry {
            ticket: ticket.0,
            group: record.group,
            kind: record.kind,
            pool: record.pool,
            cost: self.usual.cost(whose, record.arrival.work.bound()),
            deadline: latest_start(record.deadline, self.usual.time(whose, left)),
        };
        match self.admission.push(self.now, entry) {
            Ok(_) => self.needs_dispatch = true,
            Err(refusal) => self.refuse(ticket, refusal),
        }
    }
}

/// What is known of the reason why there is no money.
fn refusal_of(shortage: Shortage) -> Refusal {
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

/// What the slot is asked for a request.
pub(crate) fn ask_for(record: &Record) -> ClaimRequest {
    ClaimRequest {
        request: record.arrival.key.digest(),
        fingerprint: record.arrival.fingerprint,
        group: record.arrival.group.clone(),
        hold: record.arrival.work.bound(),
        repeatable: record.arrival.work.repeatable(),
        lost: record.lost.clone(),
    }
}
