//! From the queue to a backend server.

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

/// Requests started in one go; the rest waits for the next event, so that one burst does not keep
/// heartbeats and commits waiting.
const BURST: usize = 64;
/// Time between two notes that urgent work found no place; each looks at every server in reach.
const CROWDED_INTERVAL: Duration = Duration::from_millis(100);

impl Node {
    /// Starts what can start and gives up what cannot be started in time.
    pub(crate) fn dispatch(&mut self) {
        self.give_up_late();
        for _ in 0..BURST {
            let Some((entry, choice)) = self.next_start() else {
                self.needs_dispatch = false;
                return;
            };
            self.send(entry, choice);
        }
    }

    // A request that will miss its deadline is told so now: the caller can still act on it.
    fn give_up_late(&mut self) {
        for entry in self.admission.expire(self.now) {
            let ticket = Ticket(entry.ticket);
            let record = self.book.get(ticket);
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
            book,
            catalog,
            limits,
            crowded_at,
            ..
        } = self;
        let may_tell = now.since(*crowded_at) >= CROWDED_INTERVAL;
        let mut can_start = |entry: &Entry| {
            let Some(record) = book.get(Ticket(entry.ticket)) else {
                return false;
            };
            let urgent = catalog.is_urgent(record.kind);
            let choice = router.choose(now, &query(record, urgent));
            if urgent && may_tell && choice == Err(NoChoice::AllBusy) {
                *crowded_at = now;
                limits.crowded(now, &record.reach);
            }
            chosen = choice.ok();
            chosen.is_some()
        };
        let entry = admission.pop(now, &mut can_start)?;
        chosen.map(|choice| (entry, choice))
    }

    fn send(&mut self, entry: Entry, choice: Choice) {
        let ticket = Ticket(entry.ticket);
        let Some(place) = self.catalog.place(choice.server).cloned() else {
            return;
        };
        if !self.book.step(ticket, "sent") {
            return;
        }
        let now = self.now;
        let holder = self.me.holder.clone();
        let Some(record) = self.book.get_mut(ticket) else {
            return;
        };
        record.server = Some(choice.server);
        record.entry = Some(entry);
        record.sent_at = now;
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
            server: place.name.clone(),
            address: place.address,
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
            place.name,
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
        let told = ClaimAssignment {
            server: place.name,
            stream,
        };
        self.claims_client.assign(now, digest, grant.attempt, told);
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

/// Salt of the engines' prefix caches: one for each group, not guessable from another group's.
pub fn cache_salt(group: &str) -> std::sync::Arc<str> {
    Digest::of(format!("cache-salt/{group}").as_bytes())
        .to_string()
        .into()
}
