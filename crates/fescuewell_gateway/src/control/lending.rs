//! Borrows tokens from other instances for requests that lack them, and lends tokens to others.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use fescuewell_core::log_event;
use fescuewell_core::prelude::*;
use fescuewell_forward::loan::round::{Action, Context, Rounds};
use fescuewell_forward::loan::{self, Lender, Reception};
use fescuewell_forward::message::{Key, Message};
use fescuewell_forward::quota::Quota;
use fescuewell_forward::version;
use rand::rngs::OsRng;
use rand::{Rng, TryRngCore};
use tokio::net::UdpSocket;
use tokio::sync::Notify;

use super::Control;
use super::rows::{log_unreadable, read, row_id};
use crate::gateway::{BorrowRequest, State};
use crate::store::{Outcome, Row, Transaction};

/// Table of the fleet key.
const KEY_TABLE: &str = "key";
/// Partition and key of the fleet key's row.
const FLEET_KEY: &str = "fleet";
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

/// Maximum time a loan request waits for the lender's journal: one transaction plus the wait for
/// its turn.
const DEFER_TIMEOUT: Duration = Duration::from_millis(60);
/// Maximum number of loan requests that wait for a journal. Further ones get an immediate response
/// with the tokens available.
const MAX_DEFERRED: usize = 64;

/// Lends and borrows the tokens of this instance.
pub(super) struct Lending<'a> {
    control: &'a Control,
    socket: &'a UdpSocket,
    lender: RefCell<Lender>,
    rounds: RefCell<Rounds>,
    /// Borrow requests without a reply, by their key in `rounds`.
    waiters: RefCell<HashMap<u64, BorrowRequest>>,
    last_waiter: Cell<u64>,
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
            rounds: RefCell::default(),
            waiters: RefCell::default(),
            last_waiter: Cell::default(),
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
            if self.control.gateway.fleet_key().is_none() {
                complete(request, false);
                continue;
            }
            let key = self.last_waiter.get() + 1;
            self.last_waiter.set(key);
            let account = request.account.clone();
            let waiter = (key, request.tokens);
            self.waiters.borrow_mut().insert(key, request);
            self.decide(|rounds, quota, context| rounds.join(quota, &account, waiter, context));
        }
    }

    /// Repeats requests without a response, and moves on to the next lender when a response times
    /// out.
    async fn expire_requests(&self) {
        loop {
            let next_ms = self.rounds.borrow().deadline_ms();
            let Some(next_ms) = next_ms else {
                self.request_sent.notified().await;
                continue;
            };
            let left_ms = next_ms.saturating_sub(self.control.gateway.now_ms());
            tokio::time::sleep(Duration::from_millis(left_ms)).await;
            self.decide(Rounds::expire);
        }
    }

    /// Makes a decision on the loans of this instance and performs the resulting actions.
    fn decide<Decide>(&self, decide: Decide)
    where
        Decide: FnOnce(&mut Rounds, &mut Quota, &mut Context<'_>) -> Vec<Action>,
    {
        self.remove_gone();
        let gateway = &self.control.gateway;
        let is_store_up = gateway.is_store_up();
        let now_ms = gateway.now_ms();
        let actions = {
            let mut state = gateway.state();
            let State {
                quota,
                directory,
                rng,
                ..
            } = &mut *state;
            let mut context = Context {
                now_ms,
                is_store_up,
                next_id: &mut || rng.random(),
                is_reachable: &|lender| directory.peer_address(lender).is_some(),
            };
            decide(&mut self.rounds.borrow_mut(), quota, &mut context)
        };
        for action in actions {
            self.perform(action);
        }
    }

    /// Removes the requests whose callers disconnected or stopped waiting for a loan.
    fn remove_gone(&self) {
        let mut rounds = self.rounds.borrow_mut();
        self.waiters.borrow_mut().retain(|key, request| {
            let is_gone = request.reply.is_closed();
            if is_gone {
                rounds.leave(&request.account, *key);
            }
            !is_gone
        });
    }

    fn perform(&self, action: Action) {
        let gateway = &self.control.gateway;
        match action {
            Action::Complete { waiter, has_tokens } => {
                let request = self.waiters.borrow_mut().remove(&waiter);
                if let Some(request) = request {
                    complete(request, has_tokens);
                }
            }
            Action::Send {
                lender,
                request,
                is_repeat,
            } => {
                let address = gateway.state().directory.peer_address(&lender);
                if let (Some(address), Some(key)) = (address, gateway.fleet_key()) {
                    let bytes = key.seal(&Message::LoanRequest(request));
                    // A send failure is handled like a lost datagram.
                    let _ = self.socket.try_send_to(&bytes, address);
                }
                gateway.metrics.count_loan_request(is_repeat);
                self.request_sent.notify_one();
            }
        }
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
        self.decide(|rounds, quota, context| rounds.receive(quota, response, context));
        // Other requests of the account may be waiting for the same tokens, also after a late
        // response.
        self.control.gateway.notify_token_changes();
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
