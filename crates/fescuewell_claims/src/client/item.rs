//! One message that waits for its answer, and when it is sent again.

use fescuewell_core::id::{Digest, SlotKey};
use fescuewell_core::time::Instant;

use super::{Client, Event, Outgoing};
use crate::message::{Owner, Request};

/// Why a message is sent.
#[derive(Debug, Clone, Copy)]
pub(super) enum Duty {
    Claim {
        ticket: u64,
        until: Instant,
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
        until: Instant,
    },
}

#[derive(Debug)]
pub(super) struct Item {
    pub(super) slot: SlotKey,
    pub(super) digest: Digest,
    pub(super) owner: Option<Owner>,
    pub(super) request: Request,
    pub(super) duty: Duty,
    tries: u32,
    due: Instant,
}

impl Item {
    fn until(&self) -> Option<Instant> {
        match self.duty {
            Duty::Claim { until, .. } | Duty::Lookup { until, .. } => Some(until),
            _ => None,
        }
    }
}

impl Client {
    pub(super) fn add(&mut self, now: Instant, digest: Digest, request: Request, duty: Duty) {
        let id = self.next_correlation;
        self.next_correlation += 1;
        let slot = self.slot(digest);
        let owner = match &request {
            Request::Claim(claim) => Some(claim.owner.clone()),
            Request::Bill(bill) => Some(bill.owner.clone()),
            Request::Assign { owner, .. } | Request::Release { owner, .. } => Some(owner.clone()),
            _ => None,
        };
        let item = Item {
            slot,
            digest,
            owner,
            request,
            duty,
            tries: 0,
            due: now,
        };
        self.items.insert(id, item);
        self.schedule.insert((now, id));
        self.by_slot.insert((slot, id));
    }

    pub(super) fn remove(&mut self, id: u64) {
        let Some(item) = self.items.remove(&id) else {
            return;
        };
        self.schedule.remove(&(item.due, id));
        self.by_slot.remove(&(item.slot, id));
    }

    pub(super) fn reschedule(&mut self, id: u64, due: Instant) {
        let Some(item) = self.items.get_mut(&id) else {
            return;
        };
        // Never beyond the moment at which the claim is given up.
        let due = item.until().map_or(due, |until| due.min(until));
        self.schedule.remove(&(item.due, id));
        item.due = due;
        self.schedule.insert((due, id));
    }

    pub(super) fn retry_soon(&mut self, now: Instant, id: u64) {
        let Some(item) = self.items.get(&id) else {
            return;
        };
        let doublings = item.tries.saturating_sub(1).min(16);
        let wait = self
            .settings
            .redirect_backoff
            .saturating_mul(1 << doublings);
        let wait = self.jitter(wait.min(self.settings.max_backoff));
        self.reschedule(id, now + wait);
    }

    /// The message `id`, unless it has nowhere to go or its time is up.
    pub(super) fn send(&mut self, now: Instant, id: u64) -> Option<Outgoing> {
        let item = self.items.get(&id)?;
        if item.until().is_some_and(|until| until <= now) {
            self.time_out(now, id);
            return None;
        }
        let is_assign = matches!(item.duty, Duty::Assign);
        if is_assign && item.tries >= self.settings.assign_tries {
            self.remove(id);
            return None;
        }
        let slot = item.slot;
        let Some(instance) = self.holders.get(&slot).cloned() else {
            let wait = self.settings.max_backoff;
            self.reschedule(id, now + wait);
            return None;
        };
        let doublings = item.tries.min(16);
        let timeout = match item.until() {
            Some(_) => self.settings.reply_timeout,
            None => self.settings.bill_timeout,
        };
        let wait = timeout.saturating_mul(1 << doublings);
        let wait = self.jitter(wait.min(self.settings.max_backoff));
        self.reschedule(id, now + wait);
        let item = self.items.get_mut(&id)?;
        item.tries += 1;
        let request = item.request.clone();
        let request = self.with_oldest(request);
        Some(Outgoing {
            slot,
            instance,
            correlation: id,
            request,
        })
    }

    /// The message with this router's oldest unfinished attempt as it is now.
    ///
    /// A bill that was taken over keeps the figure with which it came: the router it came from may
    /// still have earlier attempts open, and a figure computed from the bills that are here would
    /// tell the slot that these are settled.
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
        let Some(item) = self.items.get(&id) else {
            return;
        };
        let digest = item.digest;
        let attempt = item.owner.as_ref().map_or(0, |owner| owner.attempt);
        let duty = item.duty;
        self.remove(id);
        match duty {
            Duty::Claim {
                ticket, repeatable, ..
            } => {
                self.give_up(now, digest, attempt, repeatable);
                self.events.push(Event::ClaimTimedOut { ticket, attempt });
            }
            Duty::Lookup { ticket, .. } => {
                let known = None;
                self.events.push(Event::LookedUp { ticket, known });
            }
            _ => {}
        }
    }
}
