//! The router's client for slot holders: sends claims, bills and releases until they are confirmed.
//!
//! The caller sends the messages from [`Client::take_outgoing`] and passes replies to
//! [`Client::receive`]. A message without a reply is sent again with exponential backoff, or at
//! once when its slot gets a new holder. Retransmissions are safe, since `(holder, attempt)`
//! identifies them.
//!
//! Every attempt numbered by [`Client::claim`] must end in [`Client::bill`] or [`Client::release`],
//! unless its claim was not granted. The attempt counts against the capacity until the slot has
//! confirmed its end, so [`Client::is_full`] returns true while there is still room for the bills
//! of all requests in progress.
//!
//! ```
//! use fescuewell_claims::client::{ClaimRequest, Client, Event, Settings};
//! use fescuewell_claims::message::Reply;
//! use fescuewell_core::prelude::*;
//!
//! let now = Instant::from_millis(0);
//! let mut client = Client::new(Settings::default(), "entry-1.1f", 7);
//! let request = RequestKey::new("clinic", "job-7").digest();
//! client.set_holder(now, client.slot(request), Some("entry-2".into()));
//! let call = ClaimRequest {
//!     request,
//!     fingerprint: Digest::of(b"body"),
//!     group: "signwise".into(),
//!     hold: Tokens(500),
//!     repeatable: true,
//!     lost: None,
//! };
//! let attempt = client.claim(now, 1, &call);
//! let outgoing = client.take_outgoing(now);
//! client.receive(now, outgoing[0].correlation, Reply::Granted { attempt, durable: false });
//! assert!(matches!(client.take_events()[..], [Event::ClaimAnswered { ticket: 1, .. }]));
//! ```

mod event;
mod pending;
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

use pending::{Kind, Pending};

/// A request to be claimed and billed.
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
    /// Whether the call can safely run more than once.
    pub repeatable: bool,
    /// An attempt by a terminated router whose stream is unknown to its backend server.
    pub lost: Option<Owner>,
}

/// The cost of a finished attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Cost {
    /// Actual cost; anything above the hold is not charged.
    pub tokens: Tokens,
    /// Whether repeats must not run again; see [`Bill::complete`].
    pub complete: bool,
    /// Response for repeats of a non-repeatable call.
    pub response: Option<StoredResponse>,
}

/// A message to be sent to the holder of a slot.
#[derive(Debug, Clone, PartialEq)]
pub struct Outgoing {
    /// The slot.
    pub slot: SlotKey,
    /// The slot's holder, as last set.
    pub instance: Arc<str>,
    /// Identifies the reply; pass it to [`Client::receive`].
    pub correlation: u64,
    /// The message.
    pub request: Request,
}

/// Sends messages to the holders of slots and retries them until they are confirmed.
#[derive(Debug)]
pub struct Client {
    settings: Settings,
    holder: Arc<str>,
    rng: SmallRng,
    next_attempt: u32,
    next_correlation: u64,
    holders: BTreeMap<SlotKey, Arc<str>>,
    pending: HashMap<u64, Pending>,
    schedule: BTreeSet<(Instant, u64)>,
    by_slot: BTreeSet<(SlotKey, u64)>,
    /// Unfinished attempts by holder: this router's and those whose bills it has taken over.
    unfinished: BTreeMap<Arc<str>, BTreeSet<u32>>,
    unfinished_count: usize,
    events: Vec<Event>,
}

impl Client {
    /// Creates a client for the router `holder` (`instance.incarnation`).
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
            pending: HashMap::new(),
            schedule: BTreeSet::new(),
            by_slot: BTreeSet::new(),
            unfinished: BTreeMap::new(),
            unfinished_count: 0,
            events: Vec::new(),
        }
    }

    /// Returns the slot that decides a request.
    pub fn slot(&self, request: Digest) -> SlotKey {
        slot_of(request, self.settings.slots)
    }

    /// Returns the id of one of this router's attempts.
    pub fn owner(&self, attempt: u32) -> Owner {
        let holder = self.holder.clone();
        Owner { holder, attempt }
    }

    /// Requests a claim and returns the number of the attempt, with which the request is later
    /// assigned, billed or released.
    pub fn claim(&mut self, now: Instant, ticket: u64, call: &ClaimRequest) -> u32 {
        let attempt = self.next_attempt;
        self.next_attempt += 1;
        let owner = self.owner(attempt);
        self.track_attempt(&owner);
        let request = Request::Claim(Claim {
            request: call.request,
            fingerprint: call.fingerprint,
            group: call.group.clone(),
            owner,
            hold: call.hold,
            repeatable: call.repeatable,
            lost: call.lost.clone(),
            oldest: 0,
        });
        let kind = Kind::Claim {
            ticket,
            deadline: now
                + if call.repeatable {
                    self.settings.claim_timeout
                } else {
                    self.settings.non_repeatable_claim_timeout
                },
            repeatable: call.repeatable,
        };
        self.enqueue(now, call.request, request, kind);
        attempt
    }

    /// Reports to the slot where an attempt runs. Best effort, without confirmation.
    pub fn assign(&mut self, now: Instant, request: Digest, attempt: u32, assignment: Assignment) {
        let message = Request::Assign {
            request,
            owner: self.owner(attempt),
            assignment,
        };
        self.enqueue(now, request, message, Kind::Assign);
    }

    /// Sends the bill of an attempt until it is durable. It is never refused; see
    /// [`Client::is_full`].
    pub fn bill(
        &mut self,
        now: Instant,
        ticket: u64,
        call: &ClaimRequest,
        attempt: u32,
        cost: Cost,
    ) {
        let owner = self.owner(attempt);
        self.track_attempt(&owner);
        let message = Request::Bill(Bill {
            request: call.request,
            fingerprint: call.fingerprint,
            group: call.group.clone(),
            owner,
            hold: call.hold,
            cost: cost.tokens,
            complete: cost.complete,
            repeatable: call.repeatable,
            response: cost.response,
            oldest: 0,
        });
        let ticket = Some(ticket);
        self.enqueue(now, call.request, message, Kind::Bill { ticket });
    }

    /// Gives up an attempt of which nothing was sent. The release is sent until the slot confirms
    /// it.
    pub fn release(&mut self, now: Instant, request: Digest, attempt: u32) {
        let owner = self.owner(attempt);
        self.track_attempt(&owner);
        let message = Request::Release { request, owner };
        self.enqueue(now, request, message, Kind::Release);
    }

    /// Requests the state of a request.
    pub fn lookup(&mut self, now: Instant, ticket: u64, request: Digest) {
        let deadline = now + self.settings.claim_timeout;
        let message = Request::Lookup { request };
        self.enqueue(now, request, message, Kind::Lookup { ticket, deadline });
    }

    /// Sets the holder of a slot. On a change, all messages for the slot are sent again at once.
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

    /// Returns the messages to send now, at most [`Settings::max_batch`].
    pub fn take_outgoing(&mut self, now: Instant) -> Vec<Outgoing> {
        let mut outgoing = Vec::new();
        while outgoing.len() < self.settings.max_batch {
            let Some(&(due, id)) = self.schedule.first() else {
                break;
            };
            if due > now {
                break;
            }
            if let Some(message) = self.prepare_send(now, id) {
                outgoing.push(message);
            }
        }
        outgoing
    }

    /// Returns when [`Client::take_outgoing`] next has something to do.
    pub fn next_due(&self) -> Option<Instant> {
        self.schedule.first().map(|&(due, _)| due)
    }

    /// Processes a reply.
    pub fn receive(&mut self, now: Instant, correlation: u64, reply: Reply) {
        let Some(item) = self.pending.get(&correlation) else {
            return;
        };
        match (&item.kind, reply) {
            (_, Reply::NotHolder) => {
                self.retry_soon(now, correlation, self.settings.max_redirect_backoff);
            }
            (&Kind::Claim { ticket, .. }, reply) => {
                self.claim_answered(now, correlation, ticket, reply)
            }
            (&Kind::Bill { ticket }, Reply::Billed { charged }) => {
                let attempt = self.finish_attempt(correlation);
                let event = |ticket| Event::BillDurable {
                    ticket,
                    attempt,
                    charged,
                };
                self.events.extend(ticket.map(event));
            }
            (Kind::Release, Reply::Released) => {
                self.finish_attempt(correlation);
            }
            (Kind::Assign, Reply::Assigned) => self.remove(correlation),
            (&Kind::Lookup { ticket, .. }, Reply::Known(known)) => {
                self.remove(correlation);
                let known = Some(known);
                self.events.push(Event::LookedUp { ticket, known });
            }
            // `Unavailable`, or a reply of another type: the message is sent again when it is next
            // due.
            _ => {}
        }
    }

    /// Reports that a message could not be sent or that its connection broke.
    pub fn send_failed(&mut self, now: Instant, correlation: u64) {
        self.retry_soon(now, correlation, self.settings.max_backoff);
    }

    /// Takes the events for the router.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// Whether the router should accept no more requests, since there might be no room for their
    /// bills.
    pub fn is_full(&self) -> bool {
        self.unfinished_count >= self.settings.capacity
    }

    /// Whether no message waits for a reply.
    pub fn is_idle(&self) -> bool {
        self.pending.is_empty()
    }

    /// The number of attempts whose end the slot has not confirmed.
    pub fn unfinished(&self) -> usize {
        self.unfinished_count
    }

    /// Returns the bills and releases that are not durable, so that a peer can continue to send
    /// them after a drain. They also stay here, since it is safe for both to send them.
    pub fn export_bills(&self) -> Vec<Request> {
        let mut ids: Vec<&u64> = self.pending.keys().collect();
        ids.sort_unstable();
        let mut messages = Vec::new();
        for id in ids {
            let item = &self.pending[id];
            if matches!(item.kind, Kind::Bill { .. } | Kind::Release) {
                messages.push(self.with_oldest(item.request.clone()));
            }
        }
        messages
    }

    /// Takes over the messages that [`Client::export_bills`] of a draining router returned.
    pub fn import_bills(&mut self, now: Instant, messages: Vec<Request>) {
        for message in messages {
            let (request, owner, kind) = match &message {
                Request::Bill(bill) => (
                    bill.request,
                    bill.owner.clone(),
                    Kind::Bill { ticket: None },
                ),
                Request::Release { request, owner } => (*request, owner.clone(), Kind::Release),
                _ => continue,
            };
            self.track_attempt(&owner);
            self.enqueue(now, request, message, kind);
        }
    }

    fn claim_answered(&mut self, now: Instant, id: u64, ticket: u64, reply: Reply) {
        let Some(item) = self.pending.get(&id) else {
            return;
        };
        let (request, owner) = (item.digest, item.owner.clone());
        let Kind::Claim { repeatable, .. } = item.kind else {
            return;
        };
        let attempt = owner.as_ref().map_or(0, |owner| owner.attempt);
        match reply {
            // Non-repeatable requests may only be sent on a durable claim, so any other grant is
            // ignored.
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
                self.finish_attempt(id);
                let result = Err(known);
                self.events.push(Event::ClaimAnswered {
                    ticket,
                    attempt,
                    result,
                });
            }
            Reply::Unavailable => {
                self.remove(id);
                self.abandon_claim(now, request, attempt, repeatable);
                self.events
                    .push(Event::ClaimUnavailable { ticket, attempt });
            }
            _ => {}
        }
    }

    /// Releases a claim that may be recorded although its reply was not received. Nothing will be
    /// sent on it; without the release, the caller's retry would be refused as in progress until
    /// this router terminates.
    fn abandon_claim(&mut self, now: Instant, request: Digest, attempt: u32, repeatable: bool) {
        if !repeatable {
            self.release(now, request, attempt);
        }
    }

    fn oldest(&self, owner: &Owner) -> u32 {
        let unfinished = self.unfinished.get(&owner.holder);
        let first = unfinished.and_then(|attempts| attempts.first().copied());
        first.unwrap_or(owner.attempt)
    }

    fn track_attempt(&mut self, owner: &Owner) {
        let attempts = self.unfinished.entry(owner.holder.clone()).or_default();
        self.unfinished_count += usize::from(attempts.insert(owner.attempt));
    }

    /// Removes a message whose attempt is finished and returns the attempt's number.
    fn finish_attempt(&mut self, id: u64) -> u32 {
        let owner = self.pending.get(&id).and_then(|item| item.owner.clone());
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
