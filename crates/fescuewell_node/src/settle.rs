//! From the end of an attempt to a durable bill, a retry or a refusal.

use std::time::Duration;

use fescuewell_claims::client::Cost;
use fescuewell_claims::message::StoredResponse;
use fescuewell_core::prelude::*;
use fescuewell_queue::limit::Outcome as LimitOutcome;
use fescuewell_routing::server::{Outcome, Ticket as RouteTicket};

use crate::admit::ask_for;
use crate::estimate::Whose;
use crate::event::Action;
use crate::limits::Ended;
use crate::node::Node;
use crate::request::{End, Ticket, Verdict};

/// When to ask again after backend servers took nothing.
const RETRY_BUSY: Duration = Duration::from_secs(1);

/// What is to be billed for an attempt.
struct Charge {
    cost: Tokens,
    is_complete: bool,
    response: Option<StoredResponse>,
}

impl Node {
    /// An attempt ended.
    pub(crate) fn ended(&mut self, ticket: Ticket, end: End) {
        if !self.book.is_in(ticket, "running") {
            self.reader_ended(ticket);
            return;
        }
        self.needs_dispatch = true;
        self.tell_routing(ticket, outcome_of(&end));
        match end {
            End::Done { .. } => self.note_answered(ticket),
            End::Lost { stalled: false, .. } => self.note_lost(ticket),
            _ => {}
        }
        match end {
            End::Done {
                cost,
                output,
                response,
            } => {
                self.log_done(ticket, cost, output);
                self.bill(
                    ticket,
                    Charge {
                        cost,
                        is_complete: true,
                        response,
                    },
                );
            }
            End::NotSent => {
                self.exclude_server(ticket);
                self.try_again(ticket);
            }
            End::Busy => self.wait_again(ticket),
            End::Rejected => self.drop_unrun(ticket),
            End::Cancelled { used } if used.is_zero() && self.is_repeatable(ticket) => {
                self.drop_unrun(ticket);
            }
            End::Lost {
                delivered: false, ..
            } if self.is_repeatable(ticket) => self.rerun(ticket),
            End::Cancelled { used } => {
                // The caller gave up: a repeat reads what there is. Were it to run again without a bill,
                // cancelling would be a way to get answers for nothing.
                let cost = self.cost_of_lost(ticket, used);
                self.bill(
                    ticket,
                    Charge {
                        cost,
                        is_complete: true,
                        response: None,
                    },
                );
            }
            End::Lost { used, .. } => {
                let cost = self.cost_of_lost(ticket, used);
                self.bill(
                    ticket,
                    Charge {
                        cost,
                        is_complete: false,
                        response: None,
                    },
                );
            }
        }
    }

    /// A reader of another run's answer ended: nothing is billed here.
    ///
    /// A request that became a reader on its way to a second run still holds the money for that run,
    /// which would otherwise be held for ever and refuse others.
    pub(crate) fn reader_ended(&mut self, ticket: Ticket) {
        if self.book.step(ticket, "done") {
            self.release(ticket);
        }
    }

    fn is_repeatable(&self, ticket: Ticket) -> bool {
        let record = self.book.get(ticket);
        record.is_some_and(|record| record.arrival.work.repeatable())
    }

    // A call that may not be repeated and whose outcome is unknown counts as run: it is charged, and
    // its claim stays, so that no repeat runs it again.
    fn cost_of_lost(&self, ticket: Ticket, used: Tokens) -> Tokens {
        match self.book.get(ticket) {
            Some(record) if !record.arrival.work.repeatable() => record.arrival.work.bound(),
            _ => used,
        }
    }

    fn tell_routing(&mut self, ticket: Ticket, outcome: Outcome) {
        let now = self.now;
        let Some(record) = self.book.get_mut(ticket) else {
            return;
        };
        let took = now.since(record.sent_at);
        let class = record.class;
        let limit_outcome = limit_outcome(outcome, record.output, now);
        if let Some(server) = record.server {
            self.router
                .finished(now, server, RouteTicket(ticket.0), outcome);
            let ended = Ended {
                server,
                class,
                outcome: limit_outcome,
            };
            self.limits.finish(now, ended, &mut self.router);
        }
        if let Some(entry) = &record.entry {
            let took = (outcome == Outcome::Done).then_some(took);
            self.admission.finished(entry, took);
        }
    }

    fn log_done(&mut self, ticket: Ticket, cost: Tokens, output: u32) {
        let Some(record) = self.book.get(ticket) else {
            return;
        };
        let took = self.now.since(record.arrived);
        let text = format!(
            "ticket={} account={} request={} cost={cost} output={output} took_ms={:.1}",
            ticket.0,
            record.arrival.key.account,
            record.arrival.key.id,
            took.as_secs_f64() * 1e3,
        );
        self.log(Event::RequestDone, text);
    }

    fn bill(&mut self, ticket: Ticket, charge: Charge) {
        if !self.book.step(ticket, "ended") {
            return;
        }
        let now = self.now;
        let Some(record) = self.book.get(ticket) else {
            return;
        };
        let (Some(grant), Some(hold)) = (record.grant, record.hold) else {
            return;
        };
        let owed = self.ledger.settle(now, hold, charge.cost);
        if charge.is_complete {
            let whose = Whose {
                group: record.group,
                kind: record.kind,
            };
            let costs = (owed, record.arrival.work.bound());
            self.usual.learn(whose, costs, now.since(record.sent_at));
        }
        if let Some(entry) = &record.entry {
            self.admission.settled(entry, owed);
        }
        let cost = Cost {
            tokens: owed,
            complete: charge.is_complete,
            response: charge.response,
        };
        self.claims_client
            .bill(now, ticket.0, &ask_for(record), grant.attempt, cost);
    }

    /// A bill is durable: the hold becomes spent, or free again when another run was charged.
    pub(crate) fn billed(&mut self, ticket: Ticket, charged: Tokens) {
        if !self.book.step(ticket, "billed") {
            return;
        }
        let Some(record) = self.book.remove(ticket) else {
            return;
        };
        if let Some(hold) = record.hold {
            self.ledger.bill_durable(self.now, hold, charged);
        }
    }

    /// A backend server had no place: the request waits in the queue again, until its deadline.
    ///
    /// Routing passes the server over for a while, so each instance asks it a few times a second at most,
    /// however much waits; no attempt and no part of the retry budget is used up. Counted as
    /// retries, a request bounced off all servers within milliseconds and was refused with a minute left.
    fn wait_again(&mut self, ticket: Ticket) {
        let now = self.now;
        let Some(record) = self.book.get_mut(ticket) else {
            return;
        };
        record.server = None;
        record.sent = record.sent.saturating_sub(1);
        let Some(entry) = record.entry else {
            return;
        };
        if self.book.step(ticket, "again") {
            let text = format!("ticket={} reason=busy", ticket.0);
            self.log(Event::RouteRetried, text);
            self.admission.put_back(now, entry);
        }
    }

    fn exclude_server(&mut self, ticket: Ticket) {
        if let Some(record) = self.book.get_mut(ticket) {
            record.excluded.extend(record.server);
        }
    }

    /// Provably nothing ran: another backend server is tried, within the deadline and the retry budget.
    fn try_again(&mut self, ticket: Ticket) {
        let most = self.settings.max_attempts;
        let now = self.now;
        let Some(record) = self.book.get_mut(ticket) else {
            return;
        };
        record.server = None;
        let in_time = now < record.deadline;
        let more = record.sent < most && record.excluded.len() < record.reach.len();
        if !(in_time && more && self.retries.try_retry(now)) {
            let refusal = Refusal::new(Code::NoServer).with_retry_after(RETRY_BUSY);
            self.refuse(ticket, refusal);
            return;
        }
        let Some(entry) = record.entry else {
            return;
        };
        if self.book.step(ticket, "again") {
            self.log(
                Event::RouteRetried,
                format!("ticket={} reason=not_run", ticket.0),
            );
            self.admission.put_back(now, entry);
        }
    }

    /// The backend server lost the answer before any of it reached the caller: run it anew elsewhere, as a
    /// new attempt, since the old one may still be known under its stream id.
    fn rerun(&mut self, ticket: Ticket) {
        let most = self.settings.max_attempts;
        let now = self.now;
        let Some(record) = self.book.get_mut(ticket) else {
            return;
        };
        record.excluded.extend(record.server.take());
        let in_time = now < record.deadline;
        let more = record.sent < most && record.excluded.len() < record.reach.len();
        let old = record.grant.take();
        let digest = record.arrival.key.digest();
        if self.is_quarantined(ticket) {
            if let Some(record) = self.book.get_mut(ticket) {
                record.grant = old;
            }
            self.refuse(ticket, Refusal::new(Code::Quarantined));
            return;
        }
        let Some(record) = self.book.get_mut(ticket) else {
            return;
        };
        if !(in_time && more && self.retries.try_retry(now)) {
            record.grant = old;
            self.refuse(
                ticket,
                Refusal::new(Code::RetryBudgetSpent).with_retry_after(RETRY_BUSY),
            );
            return;
        }
        if let Some(old) = old {
            self.claims_client.release(now, digest, old.attempt);
        }
        if self.book.step(ticket, "rerun") {
            self.log(
                Event::RouteRetried,
                format!("ticket={} reason=lost", ticket.0),
            );
            self.claim(ticket);
        }
    }

    /// Ends a request of which nothing ran and whose caller was answered by the data plane.
    fn drop_unrun(&mut self, ticket: Ticket) {
        if self.book.step(ticket, "refuse") {
            self.release(ticket);
        }
    }

    /// Refuses a request truthfully and lets go of its claim and hold.
    pub(crate) fn refuse(&mut self, ticket: Ticket, refusal: Refusal) {
        if !self.book.step(ticket, "refuse") {
            return;
        }
        if let Some(record) = self.book.get(ticket) {
            let key = record.arrival.key.clone();
            self.log_refusal(ticket, &key, &refusal);
        }
        self.admission.remove(self.now, ticket.0);
        self.decide(ticket, Verdict::Refuse(refusal));
        self.release(ticket);
    }

    /// Refuses a request that never got a record.
    pub(crate) fn refuse_unknown(&mut self, ticket: Ticket, key: &RequestKey, refusal: Refusal) {
        self.log_refusal(ticket, key, &refusal);
        self.decide(ticket, Verdict::Refuse(refusal));
    }

    fn log_refusal(&mut self, ticket: Ticket, key: &RequestKey, refusal: &Refusal) {
        let text = format!(
            "ticket={} account={} request={} code={} name={} run={:?}",
            ticket.0,
            key.account,
            key.id,
            refusal.code.number(),
            refusal.code.name(),
            refusal.run,
        );
        *self.refusals.entry(refusal.code).or_default() += 1;
        self.log(Event::RouteRefused, text);
    }

    fn release(&mut self, ticket: Ticket) {
        let Some(record) = self.book.remove(ticket) else {
            return;
        };
        if let Some(hold) = record.hold {
            self.ledger.release(self.now, hold);
        }
        if let Some(grant) = record.grant {
            let digest = record.arrival.key.digest();
            self.claims_client.release(self.now, digest, grant.attempt);
        }
    }

    /// The caller went away before the verdict.
    pub(crate) fn withdraw(&mut self, ticket: Ticket) {
        self.admission.remove(self.now, ticket.0);
        if self.book.is_in(ticket, "running") {
            // Nobody was left to take the verdict, so nothing was sent. The place on the backend server
            // would stay taken for ever, and a few of these would close the server to this instance.
            self.tell_routing(ticket, Outcome::Cancelled);
        }
        if self.book.step(ticket, "refuse") {
            self.release(ticket);
        }
    }

    /// Hands a verdict to the listener.
    pub(crate) fn decide(&mut self, ticket: Ticket, verdict: Verdict) {
        self.actions.push(Action::Decide { ticket, verdict });
    }
}

/// Fewest tokens after the first from which the speed of an answer is judged; fewer say more about the
/// start than about the load.
const LEAST_TOKENS: u32 = 8;

fn limit_outcome(outcome: Outcome, output: Option<(Instant, u32)>, now: Instant) -> LimitOutcome {
    match outcome {
        Outcome::Done => LimitOutcome::Done {
            per_token: output
                .filter(|(_, tokens)| *tokens >= LEAST_TOKENS)
                .map(|(first, tokens)| now.since(first) / tokens),
        },
        Outcome::Busy => LimitOutcome::Busy,
        Outcome::Failed | Outcome::Stalled | Outcome::Cancelled => LimitOutcome::Failed,
    }
}

fn outcome_of(end: &End) -> Outcome {
    match end {
        End::Done { .. } | End::Rejected => Outcome::Done,
        End::NotSent => Outcome::Failed,
        End::Busy => Outcome::Busy,
        End::Lost { stalled: true, .. } => Outcome::Stalled,
        End::Lost { .. } => Outcome::Failed,
        End::Cancelled { .. } => Outcome::Cancelled,
    }
}
