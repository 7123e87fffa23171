//! The router's side: carries claims, bills and releases to the holders of slots until they are
//! answered.
//!
//! The caller sends what [`Client::take_outgoing`] gives and passes answers to
//! [`Client::receive`]. A message without an response is sent again, after a growing wait or at once
//! when its slot has a new holder; `(holder, attempt)` in it makes that harmless.
//!
//! Every attempt that [`Client::claim`] numbers must end in [`Client::bill`] or
//! [`Client::release`], unless its claim was not granted. Until the slot has confirmed that, the
//! attempt counts against the capacity, so that [`Client::is_full`] turns true while there is still
//! room for the bill of every request under way.
//!
//! ```
//! use fescuewell_claims::client::{ClaimRequest, Client, Event, Settings};
//! use fescuewell_claims::message::Reply;
//! use fescuewell_core::prelude::*;
//!
//! let now = Instant::from_millis(0);
//! let mut courier = Client::new(Settings::default(), "entry-1.1f", 7);
//! let request = RequestKey::new("clinic", "job-7").digest();
//! courier.set_holder(now, courier.slot(request), Some("entry-2".into()));
//! let ask = ClaimRequest {
//!     request,
//!     fingerprint: Digest::of(b"body"),
//!     group: "signwise".into(),
//!     hold: Tokens(500),
//!     repeatable: true,
//!     lost: None,
//! };
//! let attempt = courier.claim(now, 1, &ask);
//! let outgoing = courier.take_outgoing(now);
//! courier.receive(now, outgoing[0].correlation, Reply::Granted { attempt, durable: false });
//! assert!(matches!(courier.take_events()[..], [Event::ClaimAnswered { ticket: 1, .. }]));
//! ```

mod event;
mod item;
mod settings;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use fescuewell_core::id::{Digest, SlotKey};
use fescuewell_core::time::Instant;
use fescuewell_core::tokens::Tokens;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::message::{Assignment, Bill, Claim, Owner, Reply, Request, StoredResponse, slot_of};

pub use event::Event;
pub use settings::Settings;

use item::{Duty, Item};

/// A request for which a claim is asked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimRequest {
    /// Digest of the request's key.
    pub request: Digest,
    /// Hash of the request's body.
    pub fingerprint: Digest,
    /// Group that pays.
    pub group: Arc<str>,
    /// Upper bound of the cost.
    pub hold: Tokens,
    /// Whether the call may run more than once without harm.
    pub repeatable: bool,
    /// A run by a terminated router of whose stream its backend server has no record.
    pub lost: Option<Owner>,
}

/// What a finished attempt cost.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Cost {
    /// True cost; what exceeds the hold is not charged.
    pub tokens: Tokens,
    /// Whether a repeat must not run again; see [`Bill::complete`].
    pub complete: bool,
    /// StoredResponse for repeats of a non-repeatable call.
    pub response: Option<StoredResponse>,
}

/// A message to be sent to the holder of a slot.
#[derive(Debug, Clone, PartialEq)]
pub struct Outgoing {
    /// The slot.
    pub slot: SlotKey,
    /// The instance that holds it, as last set.
    pub instance: Arc<str>,
    /// To be given back with the answer.
    pub correlation: u64,
    /// The message.
    pub request: Request,
}

/// Carries messages to slots until they are answered.
#[derive(Debug)]
pub struct Client {
    settings: Settings,
    holder: Arc<str>,
    rng: SmallRng,
    next_attempt: u32,
    next_correlation: u64,
    holders: BTreeMap<SlotKey, Arc<str>>,
    items: HashMap<u64, Item>,
    schedule: BTreeSet<(Instant, u64)>,
    by_slot: BTreeSet<(SlotKey, u64)>,
    /// Attempts, of this router and of those whose bills were taken over, that are not settled yet.
    unfinished: BTreeMap<Arc<str>, BTreeSet<u32>>,
    unfinished_count: usize,
    events: Vec<Event>,
}

impl Client {
    /// A courier for the router `holder` (`instance.incarnation`).
    pub fn new<Holder>(settings: Settings, holder: Holder, seed: u64) -> Self
    where
        Holder: Into<Arc<str>>,
    {
        Self {
            settings,
            holder: holder.into(),
            rng: SmallRng::seed_from_u64(seed),
            next_attempt: 1,
            next_correlation: 1,
            holders: BTreeMap::new(),
            items: HashMap::new(),
            schedule: BTreeSet::new(),
            by_slot: BTreeSet::new(),
            unfinished: BTreeMap::new(),
            unfinished_count: 0,
            events: Vec::new(),
        }
    }

    /// The slot that arbitrates a request.
    pub fn slot(&self, request: Digest) -> SlotKey {
        slot_of(request, self.settings.slots)
    }

    /// This router and one of its attempts.
    pub fn owner(&self, attempt: u32) -> Owner {
        let holder = self.holder.clone();
        Owner { holder, attempt }
    }

    /// Asks for a claim and returns the number of the attempt, under which the request may later be
    /// assigned, billed or released.
    pub fn claim(&mut self, now: Instant, ticket: u64, ask: &ClaimRequest) -> u32 {
        let attempt = self.next_attempt;
        self.next_attempt += 1;
        let owner = self.owner(attempt);
        self.begin(&owner);
        let request = Request::Claim(Claim {
            request: ask.request,
            fingerprint: ask.fingerprint,
            group: ask.group.clone(),
            owner,
            hold: ask.hold,
            repeatable: ask.repeatable,
            lost: ask.lost.clone(),
            oldest: 0,
        });
        let duty = Duty::Claim {
            ticket,
            until: now
                + if ask.repeatable {
                    self.settings.claim_timeout
                } else {
                    self.settings.non_repeatable_claim_timeout
                },
            repeatable: ask.repeatable,
        };
        self.add(now, ask.request, request, duty);
        attempt
    }

    /// Tells the slot where an attempt runs. Best effort, nothing comes back.
    pub fn assign(&mut self, now: Instant, request: Digest, attempt: u32, assignment: Assignment) {
        let message = Request::Assign {
            request,
            owner: self.owner(attempt),
            assignment,
        };
        self.add(now, request, message, Duty::Assign);
    }

    /// Sends the bill of an attempt until it is durable. It is never refused; see [`Client::is_full`].
    pub fn bill(
        &mut self,
        now: Instant,
        ticket: u64,
        ask: &ClaimRequest,
        attempt: u32,
        cost: Cost,
    ) {
        let owner = self.owner(attempt);
        self.begin(&owner);
        let message = Request::Bill(Bill {
            request: ask.request,
            fingerprint: ask.fingerprint,
            group: ask.group.clone(),
            owner,
            hold: ask.hold,
            cost: cost.tokens,
            complete: cost.complete,
            repeatable: ask.repeatable,
            response: cost.response,
            oldest: 0,
        });
        let ticket = Some(ticket);
        self.add(now, ask.request, message, Duty::Bill { ticket });
    }

    /// Gives an attempt up of which nothing was sent. Sent until the slot has confirmed it.
    pub fn release(&mut self, now: Instant, request: Digest, attempt: u32) {
        let owner = self.owner(attempt);
        self.begin(&owner);
        let message = Request::Release { request, owner };
        self.add(now, request, message, Duty::Release);
    }

    /// Asks what is known of a request.
    pub fn lookup(&mut self, now: Instant, ticket: u64, request: Digest) {
        let until = now + self.settings.claim_timeout;
        let message = Request::Lookup { request };
        self.add(now, request, message, Duty::Lookup { ticket, until });
    }

    /// Sets which instance holds a slot; everything for that slot is sent again at once.
    pub fn set_holder(&mut self, now: Instant, slot: SlotKey, instance: Option<Arc<str>>) {
        let is_same = self.holders.get(&slot) == instance.as_ref();
        if is_same {
            return;
        }
        match instance {
            Some(instance) => self.holders.insert(slot, instance),
            None => self.holders.remove(&slot),
        };
        let range = (slot, 0)..=(slot, u64::MAX);
        let affected: Vec<u64> = self.by_slot.range(range).map(|&(_, id)| id).collect();
        for id in affected {
            self.reschedule(id, now);
        }
    }

    /// The messages to send now, at most [`Settings::max_batch`].
    pub fn take_outgoing(&mut self, now: Instant) -> Vec<Outgoing> {
        let mut outgoing = Vec::new();
        while outgoing.len() < self.settings.max_batch {
            let Some(&(due, id)) = self.schedule.first() else {
                break;
            };
            if due > now {
                break;
            }
            if let Some(message) = self.send(now, id) {
                outgoing.push(message);
            }
        }
        outgoing
    }

    /// When [`Client::take_outgoing`] has something to do next.
    pub fn next_due(&self) -> Option<Instant> {
        self.schedule.first().map(|&(due, _)| due)
    }

    /// Takes an answer.
    pub fn receive(&mut self, now: Instant, correlation: u64, reply: Reply) {
        let Some(item) = self.items.get(&correlation) else {
            return;
        };
        match (&item.duty, reply) {
            (_, Reply::NotHolder) => self.retry_soon(now, correlation),
            (&Duty::Claim { ticket, .. }, reply) => {
                self.claim_answered(now, correlation, ticket, reply)
            }
            (&Duty::Bill { ticket }, Reply::Billed { charged }) => {
                let attempt = self.finish(correlation);
                let event = |ticket| Event::BillDurable {
                    ticket,
                    attempt,
                    charged,
                };
                self.events.extend(ticket.map(event));
            }
            (Duty::Release, Reply::Released) => {
                self.finish(correlation);
            }
            (Duty::Assign, Reply::Assigned) => self.remove(correlation),
            (&Duty::Lookup { ticket, .. }, Reply::Known(known)) => {
                self.remove(correlation);
                let known = Some(known);
                self.events.push(Event::LookedUp { ticket, known });
            }
            // Unavailable, or an answer to something else: the message stays and is sent again when its time comes.
            _ => {}
        }
    }

    /// Notes that a message could not be sent or its connection broke.
    pub fn send_failed(&mut self, now: Instant, correlation: u64) {
        self.retry_soon(now, correlation);
    }

    /// What the router learned.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// Whether the router should accept no more requests, since there might be no room for their bills.
    pub fn is_full(&self) -> bool {
        self.unfinished_count >= self.settings.capacity
    }

    /// Whether nothing waits for an answer of a slot.
    pub fn is_idle(&self) -> bool {
        self.items.is_empty()
    }

    /// How many attempts are not settled with their slot yet.
    pub fn unfinished(&self) -> usize {
        self.unfinished_count
    }

    /// Bills and releases that are not durable, for a peer that goes on sending them after a drain. They stay
    /// here too: both may send them without harm.
    pub fn export_bills(&self) -> Vec<Request> {
        let mut ids: Vec<&u64> = self.items.keys().collect();
        ids.sort_unstable();
        let mut messages = Vec::new();
        for id in ids {
            let item = &self.items[id];
            if matches!(item.duty, Duty::Bill { .. } | Duty::Release) {
                messages.push(self.with_oldest(item.request.clone()));
            }
        }
        messages
    }

    /// Takes over bills and releases that [`Client::export_bills`] of a draining router gave.
    pub fn import_bills(&mut self, now: Instant, messages: Vec<Request>) {
        for message in messages {
            let (request, owner, duty) = match &message {
                Request::Bill(bill) => (
                    bill.request,
                    bill.owner.clone(),
                    Duty::Bill { ticket: None },
                ),
                Request::Release { request, owner } => (*request, owner.clone(), Duty::Release),
                _ => continue,
            };
            self.begin(&owner);
            self.add(now, request, message, duty);
        }
    }

    fn claim_answered(&mut self, now: Instant, id: u64, ticket: u64, reply: Reply) {
        let Some(item) = self.items.get(&id) else {
            return;
        };
        let (request, owner) = (item.digest, item.owner.clone());
        let Duty::Claim { repeatable, .. } = item.duty else {
            return;
        };
        let attempt = owner.as_ref().map_or(0, |owner| owner.attempt);
        match reply {
            // What may not be repeated is only sent on a durable claim; a holder that grants another kind
            // is not to be trusted with it.
            Reply::Granted { durable, .. } if durable || repeatable => {
                self.remove(id);
                let result = Ok(durable);
                self.events.push(Event::ClaimAnswered {
                    ticket,
                    attempt,
                    result,
                });
            }
            Reply::Known(known) => {
                self.finish(id);
                let result = Err(known);
                self.events.push(Event::ClaimAnswered {
                    ticket,
                    attempt,
                    result,
                });
            }
            Reply::Unavailable => {
                self.remove(id);
                self.give_up(now, request, attempt, repeatable);
                self.events
                    .push(Event::ClaimUnavailable { ticket, attempt });
            }
            _ => {}
        }
    }

    /// The claim may be on record although no answer came. Nothing will be sent on it, which the slot has
    /// to be told: otherwise the caller's retry would be refused as under way until this router ends.
    fn give_up(&mut self, now: Instant, request: Digest, attempt: u32, repeatable: bool) {
        if !repeatable {
            self.release(now, request, attempt);
        }
    }

    fn oldest(&self, owner: &Owner) -> u32 {
        let unfinished = self.unfinished.get(&owner.holder);
        let first = unfinished.and_then(|attempts| attempts.first().copied());
        first.unwrap_or(owner.attempt)
    }

    fn begin(&mut self, owner: &Owner) {
        let attempts = self.unfinished.entry(owner.holder.clone()).or_default();
        self.unfinished_count += usize::from(attempts.insert(owner.attempt));
    }

    /// Removes a message whose attempt is settled; returns the attempt's number.
    fn finish(&mut self, id: u64) -> u32 {
        let owner = self.items.get(&id).and_then(|item| item.owner.clone());
        self.remove(id);
        let Some(owner) = owner else {
            return 0;
        };
        if let Some(attempts) = self.unfinished.get_mut(&owner.holder) {
            self.unfinished_count -= usize::from(attempts.remove(&owner.attempt));
            if attempts.is_empty() {
                self.unfinished.remove(&owner.holder);
            }
        }
        owner.attempt
    }

    fn jitter(&mut self, wait: Duration) -> Duration {
        wait.mul_f64(self.rng.random_range(0.75..1.25))
    }
}
