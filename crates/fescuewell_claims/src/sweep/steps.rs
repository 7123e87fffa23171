//! The steps of the sweep and the transitions between them.

use fescuewell_core::prelude::*;

use super::{Action, Evidence, Request, SentRequest, ServerState, Settlement, Sweep, slot_of};
use crate::message::{Owner, Phase};

impl Sweep {
    pub(super) fn list_servers(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let since = *self.listing_since.get_or_insert(now);
        if now.since(since) < self.settings.listing_delay {
            return;
        }
        let retry = self.settings.retry_interval;
        for (name, server) in &mut self.servers {
            let is_due = match *server {
                ServerState::Due { at } => at <= now,
                ServerState::Requested { sent } => now.since(sent) >= retry,
                ServerState::Settled => false,
            };
            if !is_due || actions.len() >= self.settings.max_batch {
                continue;
            }
            *server = ServerState::Requested { sent: now };
            let server = name.clone();
            actions.push(Action::ListStreams { server });
        }
    }

    pub(super) fn request_slots(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let slots: Vec<SlotKey> = self.pending.keys().copied().collect();
        for slot in slots {
            if actions.len() >= self.settings.max_batch {
                return;
            }
            let last = self.pending[&slot];
            if last.is_some_and(|last| now.since(last.sent) < self.settings.retry_interval) {
                continue;
            }
            let Some(request) = self.sent_request(slot) else {
                continue;
            };
            let correlation = self.next_correlation;
            self.next_correlation += 1;
            let sent = now;
            self.pending
                .insert(slot, Some(SentRequest { correlation, sent }));
            actions.push(Action::Send {
                slot,
                correlation,
                request,
            });
        }
    }

    fn sent_request(&self, slot: SlotKey) -> Option<Request> {
        let holder = self.holder.clone();
        let phase = match self.step() {
            "freezing" => Phase::Freeze,
            "finishing" => Phase::Finish,
            "forgetting" => return Some(Request::Forget { holder }),
            _ => {
                let bill = self.bills.get(&slot)?.front()?;
                return Some(Request::Settle(bill.clone()));
            }
        };
        Some(Request::Close { holder, phase })
    }

    pub(super) fn reset_slots(&mut self) {
        for slot in 0..self.settings.slots {
            self.pending.insert(SlotKey(slot), None);
        }
    }

    /// Keeps the preferred one of two records of an attempt. A router that sent the attempt to a
    /// second backend server after the first one failed leaves a record on each; only one is
    /// charged.
    pub(super) fn add_stream(&mut self, settlement: Settlement) {
        let key = (settlement.request, settlement.owner.attempt);
        let is_better = match self.streams.get(&key) {
            None => true,
            Some(known) => preference(&settlement) > preference(known),
        };
        if is_better {
            self.streams.insert(key, settlement);
        }
    }

    pub(super) fn bill_recorded(&mut self, slot: SlotKey) {
        let Some(bills) = self.bills.get_mut(&slot) else {
            return;
        };
        bills.pop_front();
        match bills.is_empty() {
            true => self.pending.remove(&slot),
            false => self.pending.insert(slot, None),
        };
        self.advance();
    }

    /// Enters the next step if no requests of the current one are left.
    pub(super) fn advance(&mut self) {
        let are_servers_settled = self
            .servers
            .values()
            .all(|server| *server == ServerState::Settled);
        let signal = match self.step() {
            "freezing" if self.pending.is_empty() => "slots_frozen",
            "listing" if are_servers_settled => "servers_settled",
            "settling" if self.pending.is_empty() => "streams_billed",
            "doubting" if self.pending.is_empty() => "doubts_billed",
            "finishing" if self.pending.is_empty() => "slots_finished",
            "forgetting" if self.pending.is_empty() => "slots_forgot",
            _ => return,
        };
        self.enter(signal);
        self.advance();
    }

    pub(super) fn enter(&mut self, signal: &str) {
        // Each signal is only raised in the state that accepts it.
        let step = self.chart.step(&mut self.state, signal);
        debug_assert!(step.is_ok(), "{step:?}");
        match self.step() {
            "settling" => self.queue_streams(),
            "doubting" => self.queue_in_doubt(),
            "finishing" | "forgetting" => self.reset_slots(),
            _ => {}
        }
    }

    fn queue_streams(&mut self) {
        let mut settlements: Vec<Settlement> = self.streams.values().cloned().collect();
        // Complete streams first: of two attempts at one request, the one whose response the caller
        // received is charged.
        settlements.sort_by_key(|settlement| std::cmp::Reverse(preference(settlement)));
        self.queue(settlements);
    }

    fn queue_in_doubt(&mut self) {
        let mut settlements = Vec::new();
        for (key, open) in &self.open {
            if self.streams.contains_key(key) {
                continue;
            }
            settlements.push(Settlement {
                request: open.request,
                group: open.group.clone(),
                owner: Owner {
                    holder: self.holder.clone(),
                    attempt: open.attempt,
                },
                hold: open.hold,
                evidence: Evidence::InDoubt,
            });
        }
        self.queue(settlements);
    }

    fn queue(&mut self, settlements: Vec<Settlement>) {
        self.bills.clear();
        for settlement in settlements {
            let slot = slot_of(settlement.request, self.settings.slots);
            self.pending.insert(slot, None);
            let bills = self.bills.entry(slot).or_default();
            bills.push_back(settlement);
        }
    }
}

fn preference(settlement: &Settlement) -> (bool, Tokens) {
    match &settlement.evidence {
        Evidence::Stream { cost, complete, .. } => (*complete, *cost),
        Evidence::InDoubt => (false, Tokens::ZERO),
    }
}
