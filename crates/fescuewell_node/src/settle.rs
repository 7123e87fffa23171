//! The end of an attempt: its bill, a retry or a refusal.

use std::time::Duration;

use fescuewell_claims::client::Cost;
use fescuewell_claims::message::StoredResponse;
use fescuewell_core::prelude::*;
use fescuewell_queue::limit::Outcome as LimitOutcome;
use fescuewell_routing::server::{Outcome, Ticket as RouteTicket};

use crate::admit::claim_request;
use crate::estimate::Key;
use crate::event::Action;
use crate::limits::Completion;
use crate::node::Node;
use crate::request::{End, Ticket, Verdict};

/// Retry-after of a refusal because no backend server accepted the request.
const BUSY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The charge for an attempt.
struct Charge {
    cost: Tokens,
    is_complete: bool,
    response: Option<StoredResponse>,
}

impl Node {
    /// Handles the end of an attempt.
    pub(crate) fn finish_attempt(&mut self, ticket: Ticket, end: End) {
        if !self.requests.is_in(ticket, "running") {
            self.finish_reader(ticket);
            return;
        }
        if self.must_keep(ticket, &end) {
            return self.keep(ticket);
        }
        self.needs_dispatch = true;
        self.finish_route(ticket, outcome_of(&end));
        match end {
            End::Done { .. } => self.record_answer(ticket),
            End::Lost { stalled: false, .. } => self.record_crash(ticket),
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
                self.retry_unsent(ticket);
            }
            End::Busy => self.requeue_busy(ticket),
            End::Rejected => self.discard_unrun(ticket),
            End::Cancelled { used } if used.is_zero() && self.is_repeatable(ticket) => {
                self.discard_unrun(ticket);
            }
            End::Lost {
                delivered: false, ..
            } if self.is_repeatable(ticket) => self.rerun(ticket),
            End::Cancelled { used } => {
                // The caller cancelled, and a repeat reads the output so far. If it could run again
                // without a bill, cancelling would be a way to get responses for free.
                let cost = self.charge_for_lost(ticket, used);
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
                let cost = self.charge_for_lost(ticket, used);
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

    /// Handles the end of a reader of another attempt's response. Nothing is billed.
    ///
    /// A request that became a reader while it waited for a second attempt may still have a hold for it.
    /// Without this release the hold would never end, and other requests would be refused for lack of
    /// budget.
    pub(crate) fn finish_reader(&mut self, ticket: Ticket) {
        if self.requests.step(ticket, "done") {
            self.release(ticket);
        }
    }

    /// Whether an attempt whose server is silent goes on, since no other one may take its place now.
    ///
    /// Silence does not tell whether the response will come. If the attempt ended first, each "no" to
    /// another one would refuse a request that its server is about to answer.
    fn must_keep(&mut self, ticket: Ticket, end: &End) -> bool {
        let is_silent = matches!(
            end,
            End::Lost {
                stalled: true,
                delivered: false,
                ..
            }
        );
        let Some(record) = self.requests.get(ticket) else {
            return false;
        };
        let is_repeatable = record.arrival.work.repeatable();
        if !is_silent || !is_repeatable || self.now >= record.deadline {
            return false;
        }
        record.sent >= self.settings.max_attempts
            || self.is_quarantined(ticket)
            || !self.retries.can_retry(self.now)
            || !self.can_start_elsewhere(ticket)
    }

    fn keep(&mut self, ticket: Ticket) {
        if let Some(record) = self.requests.get_mut(ticket) {
            record.kept_at = Some(self.now);
        }
        let text = format!("ticket={} reason=silent", ticket.0);
        self.log(Event::StreamResumed, text);
        self.decide(ticket, Verdict::Keep);
    }

    fn is_repeatable(&self, ticket: Ticket) -> bool {
        let record = self.requests.get(ticket);
        record.is_some_and(|record| record.arrival.work.repeatable())
    }

    // A non-repeatable call with an unknown outcome counts as run: it is charged in full and keeps its
    // claim, so that no repeat runs it again.
    fn charge_for_lost(&self, ticket: Ticket, used: Tokens) -> Tokens {
        match self.requests.get(ticket) {
            Some(record) if !record.arrival.work.repeatable() => record.arrival.work.bound(),
            _ => used,
        }
    }

    fn finish_route(&mut self, ticket: Ticket, outcome: Outcome) {
        let now = self.now;
        let Some(record) = self.requests.get_mut(ticket) else {
            return;
        };
        let took = now.since(record.sent_at);
        let class = record.class;
        let limit_outcome = limit_outcome(outcome, record.output, now);
        if let Some(server) = record.server {
            self.router
                .finished(now, server, RouteTicket(ticket.0), outcome);
            let completion = Completion {
                server,
                class,
                outcome: limit_outcome,
            };
            self.limits.finish(now, completion, &mut self.router);
        }
        if let Some(entry) = &record.entry {
            let took = (outcome == Outcome::Done).then_some(took);
            self.admission.finish(entry, took);
        }
    }

    fn log_done(&mut self, ticket: Ticket, cost: Tokens, output: u32) {
        let Some(record) = self.requests.get(ticket) else {
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
        if !self.requests.step(ticket, "ended") {
            return;
        }
        let now = self.now;
        let Some(record) = self.requests.get(ticket) else {
            return;
        };
        let (Some(grant), Some(hold)) = (record.grant, record.hold) else {
            return;
        };
        let owed = self.ledger.settle(now, hold, charge.cost);
        if charge.is_complete {
            let key = Key {
                group: record.group,
                kind: record.kind,
            };
            let costs = (owed, record.arrival.work.bound());
            self.estimator.learn(key, costs, now.since(record.sent_at));
        }
        if let Some(entry) = &record.entry {
            self.admission.correct_cost(entry, owed);
        }
        let cost = Cost {
            tokens: owed,
            complete: charge.is_complete,
            response: charge.response,
        };
        self.claims_client
            .bill(now, ticket.0, &claim_request(record), grant.attempt, cost);
    }

    /// Handles a durable bill: the hold is spent, or freed if another attempt was charged.
    pub(crate) fn finish_bill(&mut self, ticket: Ticket, charged: Tokens) {
        if !self.requests.step(ticket, "billed") {
            return;
        }
        let Some(record) = self.requests.remove(ticket) else {
            return;
        };
        if let Some(hold) = record.hold {
            self.ledger.bill_durable(self.now, hold, charged);
        }
    }

    /// Requeues a request that a backend server had no capacity for.
    ///
    /// It counts neither as an attempt nor against the retry budget: otherwise a request that all servers
    /// reject within milliseconds would be refused with a minute left. Routing skips a busy server for a
    /// while, so an instance tries it at most a few times a second, however many requests are queued.
    fn requeue_busy(&mut self, ticket: Ticket) {
        let now = self.now;
        let Some(record) = self.requests.get_mut(ticket) else {
            return;
        };
        record.server = None;
        record.sent = record.sent.saturating_sub(1);
        let Some(entry) = record.entry else {
            return;
        };
        if self.requests.step(ticket, "again") {
            let text = format!("ticket={} reason=busy", ticket.0);
            self.log(Event::RouteRetried, text);
            self.admission.requeue(now, entry);
        }
    }

    fn exclude_server(&mut self, ticket: Ticket) {
        if let Some(record) = self.requests.get_mut(ticket) {
            record.excluded.extend(record.server);
        }
    }

    /// Retries on another backend server after an attempt that was not sent, within the deadline and the
    /// retry budget.
    fn retry_unsent(&mut self, ticket: Ticket) {
        let max_attempts = self.settings.max_attempts;
        let now = self.now;
        let Some(record) = self.requests.get_mut(ticket) else {
            return;
        };
        record.server = None;
        let in_time = now < record.deadline;
        let more = record.sent < max_attempts && record.excluded.len() < record.reach.len();
        if !(in_time && more && self.retries.try_retry(now)) {
            let refusal = Refusal::new(Code::NoServer).with_retry_after(BUSY_RETRY_AFTER);
            self.refuse(ticket, refusal);
            return;
        }
        let Some(entry) = record.entry else {
            return;
        };
        if self.requests.step(ticket, "again") {
            self.log(
                Event::RouteRetried,
                format!("ticket={} reason=not_run", ticket.0),
            );
            self.admission.requeue(now, entry);
        }
    }

    /// Reruns a request elsewhere whose response was lost before any of it reached the caller. It needs a
    /// new attempt number, since the server may still have the old attempt under its stream id.
    fn rerun(&mut self, ticket: Ticket) {
        let max_attempts = self.settings.max_attempts;
        let now = self.now;
        let Some(record) = self.requests.get_mut(ticket) else {
            return;
        };
        record.excluded.extend(record.server.take());
        let in_time = now < record.deadline;
        let more = record.sent < max_attempts && record.excluded.len() < record.reach.len();
        let old = record.grant.take();
        let digest = record.arrival.key.digest();
        if self.is_quarantined(ticket) {
            if let Some(record) = self.requests.get_mut(ticket) {
                record.grant = old;
            }
            self.refuse(ticket, Refusal::new(Code::Quarantined));
            return;
        }
        let Some(record) = self.requests.get_mut(ticket) else {
            return;
        };
        if !(in_time && more && self.retries.try_retry(now)) {
            record.grant = old;
            self.refuse(
                ticket,
                Refusal::new(Code::RetryBudgetSpent).with_retry_after(BUSY_RETRY_AFTER),
            );
            return;
        }
        if let Some(old) = old {
            self.claims_client.release(now, digest, old.attempt);
        }
        if self.requests.step(ticket, "rerun") {
            self.log(
                Event::RouteRetried,
                format!("ticket={} reason=lost", ticket.0),
            );
            self.claim(ticket);
        }
    }

    /// Closes a request that did not run and whose caller the data plane has already responded to.
    fn discard_unrun(&mut self, ticket: Ticket) {
        if self.requests.step(ticket, "refuse") {
            self.release(ticket);
        }
    }

    /// Refuses a request and releases its claim and hold.
    pub(crate) fn refuse(&mut self, ticket: Ticket, refusal: Refusal) {
        if !self.requests.step(ticket, "refuse") {
            return;
        }
        if let Some(record) = self.requests.get(ticket) {
            let key = record.arrival.key.clone();
            self.log_refusal(ticket, &key, &refusal);
        }
        self.admission.remove(self.now, ticket.0);
        self.decide(ticket, Verdict::Refuse(refusal));
        self.release(ticket);
    }

    /// Refuses a request that has no record.
    pub(crate) fn refuse_unrecorded(&mut self, ticket: Ticket, key: &RequestKey, refusal: Refusal) {
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
        let Some(record) = self.requests.remove(ticket) else {
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

    /// Handles a caller that disconnected before the verdict reached it.
    pub(crate) fn withdraw(&mut self, ticket: Ticket) {
        self.admission.remove(self.now, ticket.0);
        if self.requests.is_in(ticket, "running") {
            // The verdict could not be delivered, so nothing was sent. Without this call the attempt would
            // stay in flight for good, and a few of these would block the server for this instance.
            self.finish_route(ticket, Outcome::Cancelled);
        }
        if self.requests.step(ticket, "refuse") {
            self.release(ticket);
        }
    }

    /// Delivers a verdict to the listener.
    pub(crate) fn decide(&mut self, ticket: Ticket, verdict: Verdict) {
        self.actions.push(Action::Decide { ticket, verdict });
    }
}

/// Minimum output tokens after the first for a per-token latency sample; with fewer, the sample reflects
/// the start of the output rather than the load.
const MIN_RATE_TOKENS: u32 = 8;

fn limit_outcome(outcome: Outcome, output: Option<(Instant, u32)>, now: Instant) -> LimitOutcome {
    match outcome {
        Outcome::Done => LimitOutcome::Done {
            per_token: output
                .filter(|(_, tokens)| *tokens >= MIN_RATE_TOKENS)
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
