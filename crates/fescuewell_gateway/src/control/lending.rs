//! Borrows tokens from other instances for requests that lack them, and lends tokens to others.

use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fescuewell_core::log_event;
use fescuewell_core::prelude::*;
use fescuewell_forward::loan::{self, Borrower, Lender};
use fescuewell_forward::message::{Key, Message};
use fescuewell_forward::version;
use rand::TryRngCore;
use rand::rngs::OsRng;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::Instant;

use super::Control;
use super::rows::{log_unreadable, read, row_id};
use crate::gateway::BorrowRequest;
use crate::store::{Outcome, Row, Transaction};

/// Table of the fleet key.
const KEY_TABLE: &str = "key";
/// Partition and key of the fleet key's row.
const FLEET_KEY: &str = "fleet";
/// Maximum number of lenders tried for one request, one after the other. During a store outage the
/// journal of each lender permits few tokens, so a large request needs several lenders.
const MAX_LENDERS: usize = 8;
/// Timeout for a lender's reply: a few milliseconds between availability zones, plus scheduling
/// delay on a small processor.
const REPLY_TIMEOUT: Duration = Duration::from_millis(30);

/// Reads the fleet key, or generates it if there is none. Without the key nothing is lent or
/// borrowed, and loading it is retried later.
///
/// A store restored from a snapshot may lack the key, so an instance that knows it writes it again.
/// Otherwise instances that start later would generate another key, and the fleet would split into
/// two groups that reject each other's messages.
pub(super) async fn load_key(control: &Control) {
    let gateway = &control.gateway;
    let known = gateway.fleet_key();
    if known.is_some() && gateway.fleet_key_era() == control.store.era() {
        return;
    }
    let Ok(response) = read(control, KEY_TABLE, FLEET_KEY).await else {
        return;
    };
    let era = version::era(response.version);
    if let Some(row) = response.rows.first() {
        return apply_key(control, row, era);
    }
    let Some(key) = known.map(|key| Key::clone(&key)).or_else(generate_key) else {
        return;
    };
    let row = row_id(KEY_TABLE, FLEET_KEY, FLEET_KEY);
    let transaction = Transaction {
        preconditions: vec![(row.clone(), 0)],
        puts: vec![(row, key.bytes().to_vec())],
        deletes: Vec::new(),
    };
    let commit = control.store.commit(&transaction);
    match control.call("key", super::CALL_TIMEOUT, commit).await {
        Ok(Outcome::Committed { .. }) => gateway.set_fleet_key(key, era),
        Ok(Outcome::Conflict(response)) => {
            for row in &response.rows {
                apply_key(control, row, era);
            }
        }
        // The write may still have been applied; the next attempt reads it.
        Err(_) => {}
    }
}

fn generate_key() -> Option<Key> {
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

fn apply_key(control: &Control, row: &Row, era: u32) {
    let bytes = row.value.as_deref().unwrap_or_default();
    match <[u8; 32]>::try_from(bytes) {
        Ok(bytes) => control.gateway.set_fleet_key(Key::new(bytes), era),
        Err(error) => log_unreadable(row, &error.to_string()),
    }
}

/// Future demand that a loan covers in addition to the request, in milliseconds, while the store is
/// reachable: until the next draw.
const PREFETCH_MS: u64 = 2_000;
/// Maximum time a loan request waits for the lender's journal: one transaction plus the wait for
/// its turn.
const DEFER_TIMEOUT: Duration = Duration::from_millis(60);
/// Maximum number of loan requests that wait for a journal. Further ones get an immediate reply
/// with the tokens available.
const MAX_DEFERRED: usize = 64;

/// A request whose tokens are being borrowed.
#[derive(Debug)]
struct PendingLoan {
    shortage: BorrowRequest,
    lenders: VecDeque<Arc<str>>,
    /// The lender that was asked last, and the deadline for its reply.
    lender: Arc<str>,
    deadline: Instant,
}

/// Lends and borrows the tokens of this instance.
pub(super) struct Lending<'a> {
    control: &'a Control,
    socket: &'a UdpSocket,
    lender: RefCell<Lender>,
    borrower: RefCell<Borrower>,
    /// Pending loans by the id of the current loan request.
    pending: RefCell<HashMap<u64, PendingLoan>>,
    request_sent: Notify,
    /// Loan requests that wait for a journal, with their senders.
    deferred: RefCell<Vec<(loan::Request, SocketAddr)>>,
    deferred_added: Notify,
}

impl<'a> Lending<'a> {
    pub(super) fn new(control: &'a Control, socket: &'a UdpSocket) -> Self {
        Self {
            control,
            socket,
            lender: RefCell::default(),
            borrower: RefCell::default(),
            pending: RefCell::default(),
            request_sent: Notify::new(),
            deferred: RefCell::default(),
            deferred_added: Notify::new(),
        }
    }

    /// Processes shortages and loan requests until the future is dropped.
    pub(super) async fn run(&self) {
        tokio::join!(
            self.handle_shortages(),
            self.expire_requests(),
            self.reply_deferred()
        );
    }

    async fn handle_shortages(&self) {
        while let Ok(shortage) = self.control.inbox.borrow_requests.recv_async().await {
            let now_ms = self.control.gateway.now_ms();
            let lenders = {
                let state = self.control.gateway.state();
                let candidates = state.quota.candidates(&shortage.account, now_ms);
                let holders = candidates.into_iter().map(|candidate| candidate.holder);
                holders.take(MAX_LENDERS).collect()
            };
            self.request_next(shortage, lenders);
        }
    }

    /// Sends a loan request to the next lender, or fails the shortage if there is none.
    fn request_next(&self, shortage: BorrowRequest, mut lenders: VecDeque<Arc<str>>) {
        let gateway = &self.control.gateway;
        let Some(key) = gateway.fleet_key() else {
            return complete(shortage, false);
        };
        let now_ms = gateway.now_ms();
        let missing = self.missing(&shortage, now_ms);
        if missing == 0 {
            return complete(shortage, true);
        }
        let prefetch = self.prefetch(&shortage, now_ms);
        while let Some(lender) = lenders.pop_front() {
            let id = gateway.random_u64();
            let state = gateway.state();
            let Some(address) = state.directory.peer(&lender) else {
                continue;
            };
            let mut borrower = self.borrower.borrow_mut();
            let ask = borrower.request(
                &state.quota,
                &shortage.account,
                (missing, prefetch),
                id,
                now_ms,
            );
            drop(state);
            let bytes = key.seal(&Message::Ask(ask));
            // A send failure is handled like a lost datagram.
            let _ = self.socket.try_send_to(&bytes, address);
            let request = PendingLoan {
                shortage,
                lenders,
                lender,
                deadline: Instant::now() + REPLY_TIMEOUT,
            };
            self.pending.borrow_mut().insert(id, request);
            self.request_sent.notify_one();
            return;
        }
        complete(shortage, false);
    }

    /// Moves on to the next lender when a reply times out.
    async fn expire_requests(&self) {
        loop {
            let next = self
                .pending
                .borrow()
                .values()
                .map(|request| request.deadline)
                .min();
            let Some(next) = next else {
                self.request_sent.notified().await;
                continue;
            };
            tokio::time::sleep_until(next).await;
            let now = Instant::now();
            let late: Vec<u64> = {
                let requests = self.pending.borrow();
                let late = requests
                    .iter()
                    .filter(|(_, request)| request.deadline <= now);
                late.map(|(id, _)| *id).collect()
            };
            for id in late {
                let Some(request) = self.pending.borrow_mut().remove(&id) else {
                    continue;
                };
                self.record_silence(&request);
                self.try_next(request);
            }
        }
    }

    /// Treats a lender that does not reply as having no tokens for a short time.
    fn record_silence(&self, request: &PendingLoan) {
        let gateway = &self.control.gateway;
        let now_ms = gateway.now_ms();
        let account = &request.shortage.account;
        let mut state = gateway.state();
        state
            .quota
            .record_report(account, &request.lender, 0, now_ms);
    }

    fn try_next(&self, request: PendingLoan) {
        self.request_next(request.shortage, request.lenders);
    }

    /// Returns the tokens to request beyond the shortage, so that the next requests need no loan.
    /// During an outage lenders can give only what their journals cover, and that is left to
    /// requests that need it now.
    fn prefetch(&self, shortage: &BorrowRequest, now_ms: u64) -> u64 {
        let gateway = &self.control.gateway;
        let requests = self.pending.borrow();
        let mut others = requests.values();
        if !gateway.is_store_up() || others.any(|other| other.shortage.account == shortage.account)
        {
            return 0;
        }
        let demand = gateway
            .state()
            .quota
            .demand_per_s(&shortage.account, now_ms);
        demand * PREFETCH_MS / 1_000
    }

    /// Handles a loan request, either at once or after a journal that raises the limit for it.
    pub(super) fn handle_request(&self, key: &Key, ask: loan::Request, from: SocketAddr) {
        let gateway = &self.control.gateway;
        let now_ms = gateway.now_ms();
        if gateway.is_store_up() && gateway.state().quota.admit_loan(&ask, now_ms) {
            let mut deferred = self.deferred.borrow_mut();
            if deferred.len() < MAX_DEFERRED {
                deferred.push((ask, from));
                self.deferred_added.notify_one();
                gateway.request_journal();
                return;
            }
        }
        self.send_reply(key, &ask, from, now_ms);
    }

    /// Replies to the loan requests that wait for a journal.
    async fn reply_deferred(&self) {
        let gateway = &self.control.gateway;
        let mut plans = gateway.token_changes();
        loop {
            self.deferred_added.notified().await;
            plans.mark_unchanged();
            // Reply after the journal or the timeout, with the tokens available by then.
            let _ = tokio::time::timeout(DEFER_TIMEOUT, plans.changed()).await;
            let Some(key) = gateway.fleet_key() else {
                continue;
            };
            let deferred = std::mem::take(&mut *self.deferred.borrow_mut());
            let now_ms = gateway.now_ms();
            for (ask, from) in deferred {
                self.send_reply(&key, &ask, from, now_ms);
            }
        }
    }

    fn send_reply(&self, key: &Key, ask: &loan::Request, from: SocketAddr, now_ms: u64) {
        let answer = {
            let mut state = self.control.gateway.state();
            let mut lender = self.lender.borrow_mut();
            lender.respond(&mut state.quota, ask, now_ms)
        };
        let Some(answer) = answer else { return };
        log_event!(
            Event::TokensLent,
            "account={} tokens={} wanted={} left={}",
            ask.account,
            answer.tokens,
            ask.wanted_tokens,
            answer.remaining
        );
        let bytes = key.seal(&Message::Answer(answer));
        // If the reply is lost, its tokens count as consumed although nobody spends them.
        let _ = self.socket.try_send_to(&bytes, from);
    }

    /// Handles a lender's reply.
    pub(super) fn handle_reply(&self, answer: &loan::Response) {
        let now_ms = self.control.gateway.now_ms();
        {
            let mut state = self.control.gateway.state();
            let mut borrower = self.borrower.borrow_mut();
            borrower.accept(&mut state.quota, answer, now_ms);
        }
        // Other requests of the account may be waiting for the same tokens, also after a late
        // reply.
        self.control.gateway.notify_token_changes();
        let request = self.pending.borrow_mut().remove(&answer.id);
        let Some(request) = request else { return };
        match self.missing(&request.shortage, now_ms) {
            0 => complete(request.shortage, true),
            _ => self.try_next(request),
        }
    }

    fn missing(&self, shortage: &BorrowRequest, now_ms: u64) -> u64 {
        let state = self.control.gateway.state();
        let quota = &state.quota;
        quota.shortfall(&shortage.account, shortage.tokens, now_ms)
    }
}

fn complete(shortage: BorrowRequest, has_tokens: bool) {
    // The request may be gone; its tokens stay with the account.
    let _ = shortage.reply.send(has_tokens);
}
