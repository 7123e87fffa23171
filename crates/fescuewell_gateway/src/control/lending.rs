//! Borrows tokens from other instances for requests that miss them, and lends to others.

use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fescuewell_core::log_event;
use fescuewell_core::prelude::*;
use fescuewell_forward::loan::{Answer, Ask, Borrower, Lender};
use fescuewell_forward::message::{Key, Message};
use fescuewell_forward::version;
use rand::TryRngCore;
use rand::rngs::OsRng;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::Instant;

use super::Control;
use super::rows::{place, read, unreadable};
use crate::gateway::Shortage;
use crate::store::{Change, Outcome, Row};

/// Table of the fleet's key.
const KEYS: &str = "key";
/// Name of its part and its row.
const FLEET_KEY: &str = "fleet";
/// Lenders that are asked for one request, one after the other. In a cut each of them has promised little, so that a large request
/// takes several.
const TRIES: usize = 8;
/// Time in which a lender has to answer: a few milliseconds between availability zones, and its turn of a small processor.
const ANSWER: Duration = Duration::from_millis(30);

/// Reads the fleet's key, or makes it where there is none. Without it nothing is lent or borrowed; it is tried again later.
///
/// A store that comes back from a copy may lack it: whoever knows it writes it again. Otherwise instances that start later would make
/// another one, and the fleet would fall into two that do not believe each other.
pub(super) async fn learn_key(control: &Control) {
    let gateway = &control.gateway;
    let known = gateway.fleet_key();
    if known.is_some() && gateway.fleet_key_era() == control.store.era() {
        return;
    }
    let Ok(reading) = read(control, KEYS, FLEET_KEY).await else {
        return;
    };
    let era = version::era(reading.version);
    if let Some(row) = reading.rows.first() {
        return take_key(control, row, era);
    }
    let Some(key) = known.map(|key| Key::clone(&key)).or_else(new_key) else {
        return;
    };
    let row = place(KEYS, FLEET_KEY, FLEET_KEY);
    let change = Change {
        expects: vec![(row.clone(), 0)],
        puts: vec![(row, key.bytes().to_vec())],
        removes: Vec::new(),
    };
    let commit = control.store.commit(&change);
    match control.call("key", super::CALL, commit).await {
        Ok(Outcome::Done { .. }) => gateway.set_fleet_key(key, era),
        Ok(Outcome::Conflict(reading)) => {
            for row in &reading.rows {
                take_key(control, row, era);
            }
        }
        // It may have been written all the same: the next look reads it.
        Err(_) => {}
    }
}

fn new_key() -> Option<Key> {
    let mut bytes = [0; 32];
    match OsRng.try_fill_bytes(&mut bytes) {
        Ok(()) => Some(Key::new(bytes)),
        Err(error) => {
            let reason = error.to_string().replace(' ', "_");
            log_event!(Event::InternalFault, "part=key reason={reason}");
            None
        }
    }
}

fn take_key(control: &Control, row: &Row, era: u32) {
    let bytes = row.value.as_deref().unwrap_or_default();
    match <[u8; 32]>::try_from(bytes) {
        Ok(bytes) => control.gateway.set_fleet_key(Key::new(bytes), era),
        Err(error) => unreadable(row, &error.to_string()),
    }
}

/// Demand that a loan covers beyond the request that misses tokens, in milliseconds, while the store can be reached: until the next
/// draw.
const AHEAD_MS: u64 = 2_000;
/// Longest time for which an ask waits for a journal of the lender: a transaction and its turn.
const DEFERRED: Duration = Duration::from_millis(60);
/// Asks that may wait for a journal; more of them are answered at once with what there is.
const MOST_DEFERRED: usize = 64;

/// A request whose tokens are being borrowed.
#[derive(Debug)]
struct Request {
    shortage: Shortage,
    lenders: VecDeque<Arc<str>>,
    /// Who was asked last, and until when an answer is waited for.
    asked: Arc<str>,
    until: Instant,
}

/// The loans of this instance.
pub(super) struct Lending<'a> {
    control: &'a Control,
    socket: &'a UdpSocket,
    lender: RefCell<Lender>,
    borrower: RefCell<Borrower>,
    /// By the id of the ask that is waited for.
    requests: RefCell<HashMap<u64, Request>>,
    asked: Notify,
    /// Asks, and who sent them, that wait for a journal.
    deferred: RefCell<Vec<(Ask, SocketAddr)>>,
    deferring: Notify,
}

impl<'a> Lending<'a> {
    pub(super) fn new(control: &'a Control, socket: &'a UdpSocket) -> Self {
        Self {
            control,
            socket,
            lender: RefCell::default(),
            borrower: RefCell::default(),
            requests: RefCell::default(),
            asked: Notify::new(),
            deferred: RefCell::default(),
            deferring: Notify::new(),
        }
    }

    /// Borrows for requests, for as long as it is polled.
    pub(super) async fn run(&self) {
        tokio::join!(
            self.take_shortages(),
            self.give_up_in_time(),
            self.answer_deferred()
        );
    }

    async fn take_shortages(&self) {
        while let Ok(shortage) = self.control.inbox.shortages.recv_async().await {
            let now_ms = self.control.gateway.now_ms();
            let lenders = {
                let state = self.control.gateway.state();
                let candidates = state.quota.candidates(&shortage.account, now_ms);
                let holders = candidates.into_iter().map(|candidate| candidate.holder);
                holders.take(TRIES).collect()
            };
            self.ask_next(shortage, lenders);
        }
    }

    /// Asks the next lender, or tells the request that there is none.
    fn ask_next(&self, shortage: Shortage, mut lenders: VecDeque<Arc<str>>) {
        let gateway = &self.control.gateway;
        let Some(key) = gateway.fleet_key() else {
            return reply(shortage, false);
        };
        let now_ms = gateway.now_ms();
        let missing = self.missing(&shortage, now_ms);
        if missing == 0 {
            return reply(shortage, true);
        }
        let more = self.more(&shortage, now_ms);
        while let Some(lender) = lenders.pop_front() {
            let id = gateway.draw();
            let state = gateway.state();
            let Some(address) = state.directory.peer_address(&lender) else {
                continue;
            };
            let mut borrower = self.borrower.borrow_mut();
            let ask = borrower.ask(&state.quota, &shortage.account, (missing, more), id, now_ms);
            drop(state);
            let bytes = key.seal(&Message::Ask(ask));
            // One that cannot be sent is like one that was lost.
            let _ = self.socket.try_send_to(&bytes, address);
            let request = Request {
                shortage,
                lenders,
                asked: lender,
                until: Instant::now() + ANSWER,
            };
            self.requests.borrow_mut().insert(id, request);
            self.asked.notify_one();
            return;
        }
        reply(shortage, false);
    }

    /// Goes on to the next lender where one does not answer.
    async fn give_up_in_time(&self) {
        loop {
            let next = self
                .requests
                .borrow()
                .values()
                .map(|asked| asked.until)
                .min();
            let Some(next) = next else {
                self.asked.notified().await;
                continue;
            };
            tokio::time::sleep_until(next).await;
            let now = Instant::now();
            let late: Vec<u64> = {
                let requests = self.requests.borrow();
                let late = requests.iter().filter(|(_, asked)| asked.until <= now);
                late.map(|(id, _)| *id).collect()
            };
            for id in late {
                let Some(request) = self.requests.borrow_mut().remove(&id) else {
                    continue;
                };
                self.note_silence(&request);
                self.go_on(request);
            }
        }
    }

    /// A lender that does not answer counts as one that has nothing, for a moment.
    fn note_silence(&self, request: &Request) {
        let gateway = &self.control.gateway;
        let now_ms = gateway.now_ms();
        let account = &request.shortage.account;
        let mut state = gateway.state();
        state.quota.lender_said(account, &request.asked, 0, now_ms);
    }

    fn go_on(&self, request: Request) {
        self.ask_next(request.shortage, request.lenders);
    }

    /// What is asked for beyond what a request misses, so that the next requests need not ask again. In an outage lenders
    /// can give only what they have promised, and it is to go to requests that are here.
    fn more(&self, shortage: &Shortage, now_ms: u64) -> u64 {
        let gateway = &self.control.gateway;
        let requests = self.requests.borrow();
        let mut open = requests.values();
        if !gateway.is_store_up() || open.any(|open| open.shortage.account == shortage.account) {
            return 0;
        }
        let demand = gateway.state().quota.demand(&shortage.account, now_ms);
        demand * AHEAD_MS / 1_000
    }

    /// Answers an ask, at once or after a journal that makes room for it.
    pub(super) fn lend(&self, key: &Key, ask: Ask, from: SocketAddr) {
        let gateway = &self.control.gateway;
        let now_ms = gateway.now_ms();
        if gateway.is_store_up() && gateway.state().quota.make_room(&ask, now_ms) {
            let mut deferred = self.deferred.borrow_mut();
            if deferred.len() < MOST_DEFERRED {
                deferred.push((ask, from));
                self.deferring.notify_one();
                gateway.want_journal();
                return;
            }
        }
        self.answer(key, &ask, from, now_ms);
    }

    /// Answers the asks that wait for a journal.
    async fn answer_deferred(&self) {
        let gateway = &self.control.gateway;
        let mut plans = gateway.plans();
        loop {
            self.deferring.notified().await;
            plans.mark_unchanged();
            // The journal, or the end of the time; what there is then decides.
            let _ = tokio::time::timeout(DEFERRED, plans.changed()).await;
            let Some(key) = gateway.fleet_key() else {
                continue;
            };
            let deferred = std::mem::take(&mut *self.deferred.borrow_mut());
            let now_ms = gateway.now_ms();
            for (ask, from) in deferred {
                self.answer(&key, &ask, from, now_ms);
            }
        }
    }

    fn answer(&self, key: &Key, ask: &Ask, from: SocketAddr, now_ms: u64) {
        let answer = {
            let mut state = self.control.gateway.state();
            let mut lender = self.lender.borrow_mut();
            lender.answer(&mut state.quota, ask, now_ms)
        };
        let Some(answer) = answer else { return };
        log_event!(
            Event::TokensLent,
            "account={} tokens={} wanted={} left={}",
            ask.account,
            answer.tokens,
            ask.tokens,
            answer.left
        );
        let bytes = key.seal(&Message::Answer(answer));
        // A lost answer costs the tokens, and nobody spends them.
        let _ = self.socket.try_send_to(&bytes, from);
    }

    /// Takes a lender's answer.
    pub(super) fn take(&self, answer: &Answer) {
        let now_ms = self.control.gateway.now_ms();
        {
            let mut state = self.control.gateway.state();
            let mut borrower = self.borrower.borrow_mut();
            borrower.take(&mut state.quota, answer, now_ms);
        }
        // Others of the account may have been waiting for the same, and for a late answer.
        self.control.gateway.notify_planned();
        let request = self.requests.borrow_mut().remove(&answer.id);
        let Some(request) = request else { return };
        match self.missing(&request.shortage, now_ms) {
            0 => reply(request.shortage, true),
            _ => self.go_on(request),
        }
    }

    fn missing(&self, shortage: &Shortage, now_ms: u64) -> u64 {
        let state = self.control.gateway.state();
        let quota = &state.quota;
        quota.missing(&shortage.account, shortage.tokens, now_ms)
    }
}

fn reply(shortage: Shortage, has_tokens: bool) {
    // A request that is gone needs no answer; the tokens stay with the account.
    let _ = shortage.reply.send(has_tokens);
}
