//! Borrows tokens from other instances for requests that lack them, and lends tokens to others.

use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fescuewell_core::log_event;
use fescuewell_core::prelude::*;
use fescuewell_forward::loan::{self, Borrower, Lender, Reception};
use fescuewell_forward::message::{Key, Message};
use fescuewell_forward::quota::MAX_LENDERS;
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
/// Time without a response after which a request is repeated.
const REPEAT_DELAY: Duration = Duration::from_millis(loan::REPEAT_MS);
/// Timeout for a lender's response.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(loan::SILENCE_MS);

/// Reads the fleet key, or generates it if there is none. Without the key nothing is lent or
/// borrowed, and loading it is retried later.
///
/// A store restored from a backup may lack the key, so an instance that knows it writes it again.
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
/// Maximum number of loan requests that wait for a journal. Further ones get an immediate response
/// with the tokens available.
const MAX_DEFERRED: usize = 64;

/// A request whose tokens are being borrowed.
#[derive(Debug)]
struct PendingLoan {
    request: BorrowRequest,
    lenders: VecDeque<Arc<str>>,
    /// The lender that was asked last, its address, and the sealed loan request.
    lender: Arc<str>,
    address: SocketAddr,
    bytes: Vec<u8>,
    /// Time of the repeat, or of giving the lender up once the request was repeated.
    deadline: Instant,
    is_repeated: bool,
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

    /// Processes borrow requests and loan requests until the future is dropped.
    pub(super) async fn run(&self) {
        tokio::join!(
            self.receive_requests(),
            self.expire_requests(),
            self.serve_deferred()
        );
    }

    async fn receive_requests(&self) {
        while let Ok(request) = self.control.inbox.borrow_requests.recv_async().await {
            let now_ms = self.control.gateway.now_ms();
            let lenders = {
                let state = self.control.gateway.state();
                let candidates = state.quota.candidates(&request.account, now_ms);
                let holders = candidates.into_iter().map(|candidate| candidate.holder);
                holders.take(MAX_LENDERS as usize).collect()
            };
            self.request_next(request, lenders);
        }
    }

    /// Sends a loan request to the next lender, or fails the borrow request if there is none.
    fn request_next(&self, request: BorrowRequest, mut lenders: VecDeque<Arc<str>>) {
        let gateway = &self.control.gateway;
        let Some(key) = gateway.fleet_key() else {
            return complete(request, false);
        };
        let now_ms = gateway.now_ms();
        let shortfall = self.shortfall(&request, now_ms);
        if shortfall == 0 {
            return complete(request, true);
        }
        let prefetch = self.prefetch(&request, now_ms);
        while let Some(lender) = lenders.pop_front() {
            let id = gateway.random_u64();
            let state = gateway.state();
            let Some(address) = state.directory.peer_address(&lender) else {
                continue;
            };
            let mut borrower = self.borrower.borrow_mut();
            let loan_request = borrower.request(
                &state.quota,
                &request.account,
                (shortfall, prefetch),
                id,
                now_ms,
            );
            drop(state);
            let bytes = key.seal(&Message::LoanRequest(loan_request));
            // A send failure is handled like a lost datagram.
            let _ = self.socket.try_send_to(&bytes, address);
            gateway.metrics.count_loan_request(false);
            let pending = PendingLoan {
                request,
                lenders,
                lender,
                address,
                bytes,
                deadline: Instant::now() + REPEAT_DELAY,
                is_repeated: false,
            };
            self.pending.borrow_mut().insert(id, pending);
            self.request_sent.notify_one();
            return;
        }
        complete(request, false);
    }

    /// Repeats a request without a response once, and moves on to the next lender when the response
    /// times out.
    async fn expire_requests(&self) {
        loop {
            let next = self
                .pending
                .borrow()
                .values()
                .map(|pending| pending.deadline)
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
                    .filter(|(_, pending)| pending.deadline <= now);
                late.map(|(id, _)| *id).collect()
            };
            for id in late {
                let Some(mut pending) = self.pending.borrow_mut().remove(&id) else {
                    continue;
                };
                if !pending.is_repeated {
                    let _ = self.socket.try_send_to(&pending.bytes, pending.address);
                    self.control.gateway.metrics.count_loan_request(true);
                    pending.is_repeated = true;
                    pending.deadline += RESPONSE_TIMEOUT - REPEAT_DELAY;
                    self.pending.borrow_mut().insert(id, pending);
                    continue;
                }
                self.record_silence(&pending);
                self.try_next(pending);
            }
        }
    }

    /// Treats a lender that does not respond as having no tokens for a short time.
    fn record_silence(&self, pending: &PendingLoan) {
        let gateway = &self.control.gateway;
        let now_ms = gateway.now_ms();
        let account = &pending.request.account;
        let mut state = gateway.state();
        state
            .quota
            .record_report(account, &pending.lender, 0, now_ms);
    }

    fn try_next(&self, pending: PendingLoan) {
        self.request_next(pending.request, pending.lenders);
    }

    /// Returns the tokens to borrow beyond the shortfall, so that the next requests need no loan.
    /// During an outage lenders can give only what their journals cover, and that is left to
    /// requests that need it now.
    fn prefetch(&self, request: &BorrowRequest, now_ms: u64) -> u64 {
        let gateway = &self.control.gateway;
        let requests = self.pending.borrow();
        let mut others = requests.values();
        if !gateway.is_store_up() || others.any(|other| other.request.account == request.account) {
            return 0;
        }
        let demand = gateway.state().quota.demand_per_s(&request.account, now_ms);
        demand * PREFETCH_MS / 1_000
    }

    /// Handles a loan request, either at once or after a journal that raises the limit for it.
    pub(super) fn handle_request(&self, key: &Key, loan_request: loan::Request, from: SocketAddr) {
        let gateway = &self.control.gateway;
        let now_ms = gateway.now_ms();
        let may_defer = gateway.is_store_up() && self.deferred.borrow().len() < MAX_DEFERRED;
        let reception = {
            let mut state = gateway.state();
            let mut lender = self.lender.borrow_mut();
            let is_repeat = lender.is_known(loan_request.id);
            let reception = lender.receive(&mut state.quota, &loan_request, may_defer, now_ms);
            (reception, is_repeat)
        };
        match reception {
            (Reception::Ignore, _) => {}
            (Reception::Defer, _) => {
                self.deferred.borrow_mut().push((loan_request, from));
                self.deferred_added.notify_one();
                gateway.request_journal();
            }
            (Reception::Respond(response), true) => self.send(key, response, from),
            (Reception::Respond(response), false) => {
                log_lent(&loan_request, &response);
                self.send(key, response, from);
            }
        }
    }

    /// Responds to the loan requests that wait for a journal.
    async fn serve_deferred(&self) {
        let gateway = &self.control.gateway;
        let mut token_changes = gateway.token_changes();
        loop {
            self.deferred_added.notified().await;
            token_changes.mark_unchanged();
            // Respond after the journal or the timeout, with the tokens available by then.
            let _ = tokio::time::timeout(DEFER_TIMEOUT, token_changes.changed()).await;
            let Some(key) = gateway.fleet_key() else {
                continue;
            };
            let deferred = std::mem::take(&mut *self.deferred.borrow_mut());
            let now_ms = gateway.now_ms();
            for (loan_request, from) in deferred {
                let response = {
                    let mut state = gateway.state();
                    let mut lender = self.lender.borrow_mut();
                    lender.respond(&mut state.quota, &loan_request, now_ms)
                };
                let Some(response) = response else { continue };
                log_lent(&loan_request, &response);
                self.send(&key, response, from);
            }
        }
    }

    /// Sends a response. If it is lost, the borrower repeats its request and gets it again.
    fn send(&self, key: &Key, response: loan::Response, to: SocketAddr) {
        let bytes = key.seal(&Message::LoanResponse(response));
        let _ = self.socket.try_send_to(&bytes, to);
    }

    /// Handles a lender's response.
    pub(super) fn handle_response(&self, response: &loan::Response) {
        let now_ms = self.control.gateway.now_ms();
        {
            let mut state = self.control.gateway.state();
            let mut borrower = self.borrower.borrow_mut();
            borrower.accept(&mut state.quota, response, now_ms);
        }
        // Other requests of the account may be waiting for the same tokens, also after a late
        // response.
        self.control.gateway.notify_token_changes();
        let pending = self.pending.borrow_mut().remove(&response.id);
        let Some(pending) = pending else { return };
        match self.shortfall(&pending.request, now_ms) {
            0 => complete(pending.request, true),
            _ => self.try_next(pending),
        }
    }

    fn shortfall(&self, request: &BorrowRequest, now_ms: u64) -> u64 {
        let state = self.control.gateway.state();
        let quota = &state.quota;
        quota.shortfall(&request.account, request.tokens, now_ms)
    }
}

/// Logs a loan when it is booked. The response to a repeat is not logged again, since the sum of the
/// lines is what was lent.
fn log_lent(loan_request: &loan::Request, response: &loan::Response) {
    log_event!(
        Event::TokensLent,
        "account={} tokens={} wanted={} left={}",
        loan_request.account,
        response.tokens,
        loan_request.wanted_tokens,
        response.remaining
    );
}

fn complete(request: BorrowRequest, has_tokens: bool) {
    // The request may be gone; its tokens stay with the account.
    let _ = request.reply.send(has_tokens);
}
