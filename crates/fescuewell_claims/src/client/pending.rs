//! A message that waits for its reply, and its retransmission schedule.

use std::time::Duration;

use fescuewell_core::id::{Digest, SlotKey};
use fescuewell_core::time::Instant;

use super::{Client, Event, Outgoing};
use crate::message::{Owner, Request};

/// The kind of a message and what its reply needs.
#[derive(Debug, Clone, Copy)]
pub(super) enum Kind {
    Claim {
        ticket: u64,
        deadline: Instant,
        repeatable: bool,
    },
    Assign,
    Bill {
        /// `None` for a bill taken over from another router.
        ticket: Option<u64>,
    },
    Release,
    Lookup {
        ticket: u64,
        deadline: Instant,
    },
}

#[derive(Debug)]
pub(super) struct Pending {
    pub(super) slot: SlotKey,
    pub(super) digest: Digest,
    pub(super) owner: Option<Owner>,
    pub(super) request: Request,
    pub(super) kind: Kind,
    sends: u32,
    due: Instant,
}

impl Pending {
    fn deadline(&self) -> Option<Instant> {
        match self.kind {
            Kind::Claim { deadline, .. } | Kind::Lookup { deadline, .. } => Some(deadline),
            _ => None,
        }
    }
}

impl Client {
    pub(super) fn enqueue(&mut self, now: Instant, digest: Digest, request: Request, kind: Kind) {
        let id = self.next_correlation;
        self.next_correlation += 1;
        let slot = self.slot(digest);
        let owner = match &request {
            Request::Claim(claim) => Some(claim.owner.clone()),
            Request::Bill(bill) => Some(bill.owner.clone()),
            Request::Assign { owner, .. } | Request::Release { owner, .. } => Some(owner.clone()),
            _ => None,
        };
        let item = Pending {
            slot,
            digest,
            owner,
            request,
            kind,
            sends: 0,
            due: now,
        };
        self.pending.insert(id, item);
        self.schedule.insert((now, id));
        self.by_slot.insert((slot, id));
    }

    pub(super) fn remove(&mut self, id: u64) {
        let Some(item) = self.pending.remove(&id) else {
            return;
        };
        self.schedule.remove(&(item.due, id));
        self.by_slot.remove(&(item.slot, id));
    }

    pub(super) fn reschedule(&mut self, id: u64, due: Instant) {
        let Some(item) = self.pending.get_mut(&id) else {
            return;
        };
        // Never after the deadline, so that the message times out on time.
        let due = item.deadline().map_or(due, |deadline| due.min(deadline));
        self.schedule.remove(&(item.due, id));
        item.due = due;
        self.schedule.insert((due, id));
    }

    pub(super) fn retry_soon(&mut self, now: Instant, id: u64, max_wait: Duration) {
        let Some(item) = self.pending.get(&id) else {
            return;
        };
        let doublings = item.sends.saturating_sub(1).min(16);
        let wait = self
            .settings
            .redirect_backoff
            .saturating_mul(1 << doublings);
        let wait = self.jitter(wait.min(max_wait));
        self.reschedule(id, now + wait);
    }

    /// Returns message `id` for sending, unless its slot has no holder or its deadline has passed.
    pub(super) fn prepare_send(&mut self, now: Instant, id: u64) -> Option<Outgoing> {
        let item = self.pending.get(&id)?;
        if item.deadline().is_some_and(|deadline| deadline <= now) {
            self.time_out(now, id);
            return None;
        }
        let is_assign = matches!(item.kind, Kind::Assign);
        if is_assign && item.sends >= self.settings.assign_tries {
            self.remove(id);
            return None;
        }
        let slot = item.slot;
        let Some(instance) = self.holders.get(&slot).cloned() else {
            let wait = self.settings.max_backoff;
            self.reschedule(id, now + wait);
            return None;
        };
        let doublings = item.sends.min(16);
        let timeout = match item.deadline() {
            Some(_) => self.settings.reply_timeout,
            None => self.settings.bill_timeout,
        };
        let wait = timeout.saturating_mul(1 << doublings);
        let wait = self.jitter(wait.min(self.settings.max_backoff));
        self.reschedule(id, now + wait);
        let item = self.pending.get_mut(&id)?;
        item.sends += 1;
        let request = item.request.clone();
        let request = self.with_oldest(request);
        Some(Outgoing {
            slot,
            instance,
            correlation: id,
            request,
        })
    }

    /// Sets this router's current oldest unfinished attempt in a message.
    ///
    /// A bill that was taken over keeps its original value: the router it came from may still have
    /// earlier attempts open, and a value computed from the bills known here would mark those as
    /// settled.
    pub(super) fn with_oldest(&self, mut request: Request) -> Request {
        match &mut request {
            Request::Claim(claim) => claim.oldest = self.oldest(&claim.owner),
            Request::Bill(bill) if bill.owner.holder == self.holder => {
                bill.oldest = self.oldest(&bill.owner);
            }
            _ => {}
        }
        request
    }

    fn time_out(&mut self, now: Instant, id: u64) {
        let Some(item) = self.pending.get(&id) else {
            return;
        };
        let digest = item.digest;
        let attempt = item.owner.as_ref().map_or(0, |owner| owner.attempt);
        let kind = item.kind;
        self.remove(id);
        match kind {
            Kind::Claim {
                ticket, repeatable, ..
            } => {
                self.abandon_claim(now, digest, attempt, repeatable);
                self.events.push(Event::ClaimTimedOut { ticket, attempt });
            }
            Kind::Lookup { ticket, .. } => {
                let known = None;
                self.events.push(Event::LookedUp { ticket, known });
            }
            _ => {}
        }
    }
}
