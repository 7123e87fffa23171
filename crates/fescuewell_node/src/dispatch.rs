//! Dispatch of queued requests to backend servers.

use std::time::Duration;

use fescuewell_claims::message::Assignment as ClaimAssignment;
use fescuewell_core::prelude::*;
use fescuewell_queue::admission::Entry;
use fescuewell_queue::limit::Class;
use fescuewell_routing::choice::{Choice, NoChoice, Query};
use fescuewell_routing::server::Ticket as RouteTicket;

use crate::node::Node;
use crate::record::Record;
use crate::request::{Assignment, Ticket, Verdict, Work};

/// Maximum requests started per call. The rest waits for the next event, so that a burst does not
/// delay heartbeats and commits.
const MAX_BATCH: usize = 64;
/// Minimum interval between two increases of the urgent reserve; each visits every eligible server.
const RAISE_RESERVE_INTERVAL: Duration = Duration::from_millis(100);

impl Node {
    /// Starts the requests that can start and refuses those that cannot start in time.
    pub(crate) fn dispatch(&mut self) {
        self.refuse_late();
        for _ in 0..MAX_BATCH {
            let Some((entry, choice)) = self.next_start() else {
                self.needs_dispatch = false;
                return;
            };
            self.start_attempt(entry, choice);
        }
    }

    // Refuses requests that will miss their deadline early, while the caller can still react.
    fn refuse_late(&mut self) {
        for entry in self.admission.expire(self.now) {
            let ticket = Ticket(entry.ticket);
            let record = self.requests.get(ticket);
            let passed = record.is_some_and(|record| self.now >= record.deadline);
            let code = if passed {
                Code::DeadlinePassed
            } else {
                Code::DeadlineTooNear
            };
            self.refuse(ticket, Refusal::new(code));
        }
    }

    fn next_start(&mut self) -> Option<(Entry, Choice)> {
        let now = self.now;
        let mut chosen = None;
        let Self {
            admission,
            router,
            requests,
            catalog,
            limits,
            reserve_raised_at,
            ..
        } = self;
        let may_raise = now.since(*reserve_raised_at) >= RAISE_RESERVE_INTERVAL;
        let mut can_start = |entry: &Entry| {
            let Some(record) = requests.get(Ticket(entry.ticket)) else {
                return false;
            };
            let urgent = catalog.is_urgent(record.kind);
            let choice = router.choose(now, &query(record, urgent));
            if urgent && may_raise && choice == Err(NoChoice::AllBusy) {
                *reserve_raised_at = now;
                limits.raise_reserves(now, &record.reach);
            }
            chosen = choice.ok();
            chosen.is_some()
        };
        let entry = admission.pop(now, &mut can_start)?;
        chosen.map(|choice| (entry, choice))
    }

    /// Whether another server than the one of the current attempt can start the request now, and is not as
    /// silent as that one.
    pub(crate) fn can_start_elsewhere(&mut self, ticket: Ticket) -> bool {
        let Some(record) = self.requests.get(ticket) else {
            return false;
        };
        let urgent = self.catalog.is_urgent(record.kind);
        let mut exclude = record.excluded.clone();
        exclude.extend(record.server);
        let query = Query {
            exclude: &exclude,
            ..query(record, urgent)
        };
        let silent_since = record.kept_at.unwrap_or(record.sent_at);
        let choice = self.router.choose(self.now, &query);
        choice.is_ok_and(|choice| !self.router.is_quiet(choice.server, silent_since))
    }

    fn start_attempt(&mut self, entry: Entry, choice: Choice) {
        let ticket = Ticket(entry.ticket);
        let Some(endpoint) = self.catalog.endpoint(choice.server).cloned() else {
            return;
        };
        if !self.requests.step(ticket, "sent") {
            return;
        }
        let now = self.now;
        let holder = self.identity.holder.clone();
        let Some(record) = self.requests.get_mut(ticket) else {
            return;
        };
        record.server = Some(choice.server);
        record.entry = Some(entry);
        record.sent_at = now;
        record.kept_at = None;
        record.output = None;
        record.class = match self.catalog.is_urgent(record.kind) {
            true => Class::Urgent,
            false => Class::Bulk,
        };
        let class = record.class;
        record.sent += 1;
        let Some(grant) = record.grant else {
            return;
        };
        let digest = record.arrival.key.digest();
        let owner = self.claims_client.owner(grant.attempt);
        let stream = fescuewell_claims::stream::id(&owner, digest);
        let assignment = Assignment {
            server: endpoint.name.clone(),
            address: endpoint.address,
            stream: stream.clone(),
            hold: record.arrival.work.bound(),
            attempt: grant.attempt,
            priority: self.catalog.priority(record.kind),
            group: record.arrival.group.clone(),
            cache_salt: cache_salt(&record.arrival.group),
            deadline: record.deadline.since(now),
            holder,
        };
        let text = format!(
            "ticket={} account={} request={} kind={} group={} server={} attempt={} {} waited_ms={:.1}",
            ticket.0,
            record.arrival.key.account,
            record.arrival.key.id,
            record.arrival.kind,
            record.arrival.group,
            endpoint.name,
            grant.attempt,
            choice.reason,
            now.since(record.arrived).as_secs_f64() * 1e3,
        );
        self.limits
            .start(now, choice.server, class, &mut self.router);
        self.router.started(
            now,
            choice.server,
            RouteTicket(ticket.0),
            choice.expected_tokens,
        );
        let claim_assignment = ClaimAssignment {
            server: endpoint.name,
            stream,
        };
        self.claims_client
            .assign(now, digest, grant.attempt, claim_assignment);
        self.log(Event::RouteChosen, text);
        self.decide(ticket, Verdict::Run(assignment));
    }
}

fn query(record: &Record, urgent: bool) -> Query<'_> {
    let (model, prefix, prompt_tokens) = match &record.arrival.work {
        Work::Model {
            model,
            prefix,
            prompt_bound,
            ..
        } => (Some(model.clone()), prefix.as_slice(), *prompt_bound),
        Work::Call { .. } => (None, &[][..], 0),
    };
    Query {
        model,
        reach: &record.reach,
        prefix,
        prompt_tokens,
        urgent,
        exclude: &record.excluded,
    }
}

/// Returns a group's salt for the engines' prefix caches; not derivable from another group's salt.
pub fn cache_salt(group: &str) -> std::sync::Arc<str> {
    Digest::of(format!("cache-salt/{group}").as_bytes())
        .to_string()
        .into()
}
