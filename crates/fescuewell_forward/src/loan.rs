//! Token loans between instances.
//!
//! While the store is unreachable no grant can move, and the tokens of an account may be held by
//! instances that its callers do not use. An instance that runs short requests the missing tokens
//! from other instances. The lender counts them as consumed before it responds, against its own
//! grant and rate limit; the borrower may spend them once the response arrives. A killed instance
//! therefore loses tokens but never lets them be spent twice, and no row has to be written. A lost
//! message costs nothing if the repeat of the request and its response arrive.

pub mod round;

use std::collections::HashMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::quota::Quota;

/// Age in milliseconds, by the store clock, from which a request is ignored because the borrower
/// has given it up. It also bounds how long a lender has to remember request IDs.
const REQUEST_MAX_AGE_MS: u64 = 1_000;
/// Time in milliseconds for which a response is accepted. The tokens of a later response are lost
/// to the borrower.
const RESPONSE_TIMEOUT_MS: u64 = 2_000;

/// Request of an instance for tokens of another one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Random ID, repeated in the response.
    pub id: u64,
    /// Client account.
    pub account: Arc<str>,
    /// Tokens missing for the current request.
    pub required_tokens: u64,
    /// Total tokens wanted, including those for the next requests.
    pub wanted_tokens: u64,
    /// Time of sending, by the store clock in milliseconds.
    pub sent_at_ms: u64,
}

/// Response of a lender.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Response {
    /// ID of the request.
    pub id: u64,
    /// Name of the lending holder.
    pub lender: Arc<str>,
    /// Tokens that the borrower may spend, or 0.
    pub tokens: u64,
    /// Tokens that the lender could still lend.
    pub remaining: u64,
}

/// State of a loan request that a lender has received.
#[derive(Debug)]
enum Progress {
    /// Waits for the lender's journal; nothing is booked yet.
    Deferred,
    /// Booked.
    Answered(Response),
}

/// A loan request that a lender has received.
#[derive(Debug)]
struct Known {
    request: Request,
    /// Time by the store clock from which the request is too old to be repeated.
    expires_ms: u64,
    progress: Progress,
}

/// What a lender does with a loan request that has arrived.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reception {
    /// Sends no response: the request is too old, or already waits for a journal.
    Ignore,
    /// Waits for the next journal, then calls [`Lender::respond`].
    Defer,
    /// Sends the response.
    Respond(Response),
}

/// Responds to the loan requests of other instances.
#[derive(Debug, Default)]
pub struct Lender {
    /// Recent requests by ID.
    known: HashMap<u64, Known>,
}

impl Lender {
    /// Receives a request from the network. One that only the next journal can serve is deferred if
    /// `may_defer`.
    ///
    /// A request with a known ID is a repeat or a duplicate and admits nothing to the journal
    /// again: while the first one is deferred it is ignored, afterwards it gets the same response.
    pub fn receive(
        &mut self,
        quota: &mut Quota,
        request: &Request,
        may_defer: bool,
        now_ms: u64,
    ) -> Reception {
        let store_ms = quota.store_time(now_ms);
        self.expire(store_ms);
        let is_new = !self.known.contains_key(&request.id);
        let is_fresh = request.sent_at_ms.abs_diff(store_ms) < REQUEST_MAX_AGE_MS;
        if is_new && is_fresh && may_defer && quota.admit_loan(request, now_ms) {
            self.remember(request, Progress::Deferred, store_ms);
            return Reception::Defer;
        }
        if let Some(known) = self.known.get(&request.id)
            && matches!(known.progress, Progress::Deferred)
        {
            return Reception::Ignore;
        }
        let response = self.respond(quota, request, now_ms);
        response.map_or(Reception::Ignore, Reception::Respond)
    }

    /// Returns whether a request with this ID was received recently.
    pub fn is_known(&self, id: u64) -> bool {
        self.known.contains_key(&id)
    }

    /// Responds to a request, or returns `None` if it is too old. A request that was answered
    /// before gets the same response and books nothing again, so that a lost response costs no
    /// tokens.
    pub fn respond(
        &mut self,
        quota: &mut Quota,
        request: &Request,
        now_ms: u64,
    ) -> Option<Response> {
        let store_ms = quota.store_time(now_ms);
        self.expire(store_ms);
        if let Some(known) = self.known.get(&request.id) {
            if known.request != *request {
                // The loan belongs to another borrower, which would spend the tokens as well.
                return None;
            }
            if let Progress::Answered(response) = &known.progress {
                return Some(response.clone());
            }
        }
        if request.sent_at_ms.abs_diff(store_ms) >= REQUEST_MAX_AGE_MS {
            return None;
        }
        let tokens = quota.lend(request, now_ms);
        let response = Response {
            id: request.id,
            lender: quota.holder().clone(),
            tokens,
            remaining: quota.available(&request.account, now_ms),
        };
        let progress = Progress::Answered(response.clone());
        self.remember(request, progress, store_ms);
        Some(response)
    }

    fn expire(&mut self, store_ms: u64) {
        self.known.retain(|_, known| store_ms < known.expires_ms);
    }

    fn remember(&mut self, request: &Request, progress: Progress, store_ms: u64) {
        // A request from a clock that is ahead expires later by that difference.
        let expires_ms = request.sent_at_ms.max(store_ms) + REQUEST_MAX_AGE_MS;
        let known = Known {
            request: request.clone(),
            expires_ms,
            progress,
        };
        self.known.insert(request.id, known);
    }
}

/// Time in milliseconds without a response after which a borrower repeats its request, unchanged,
/// to the same lender. A response takes a few milliseconds between availability zones. Lenders of
/// older builds ignore the repeat.
pub const REPEAT_MS: u64 = 15;
/// Time in milliseconds without a response after which a borrower asks the next lender.
pub const SILENCE_MS: u64 = 30;

/// A loan request that awaits its response.
#[derive(Debug)]
struct Pending {
    account: Arc<str>,
    tokens: u64,
    until_ms: u64,
}

/// Tracks the loan requests sent by this instance.
#[derive(Debug, Default)]
pub struct Borrower {
    pending: HashMap<u64, Pending>,
}

impl Borrower {
    /// Creates a request for `required` tokens of an account plus `extra` ones; `id` is a random
    /// number.
    pub fn request(
        &mut self,
        quota: &Quota,
        account: &Arc<str>,
        (required, extra): (u64, u64),
        id: u64,
        now_ms: u64,
    ) -> Request {
        let tokens = required + extra;
        self.pending.retain(|_, pending| now_ms < pending.until_ms);
        let pending = Pending {
            account: account.clone(),
            tokens,
            until_ms: now_ms + RESPONSE_TIMEOUT_MS,
        };
        self.pending.insert(id, pending);
        Request {
            id,
            account: account.clone(),
            required_tokens: required,
            wanted_tokens: tokens,
            sent_at_ms: quota.store_time(now_ms),
        }
    }

    /// Accepts the first response to a pending request of this process. Returns whether it contains
    /// tokens.
    pub fn accept(&mut self, quota: &mut Quota, response: &Response, now_ms: u64) -> bool {
        let Some(pending) = self.pending.remove(&response.id) else {
            return false;
        };
        // A lender that gives more than was requested is faulty.
        let tokens = response.tokens.min(pending.tokens);
        quota.borrow(&pending.account, tokens);
        // A lender that keeps what it has for its own requests would lend nothing again.
        let remaining = match response.tokens {
            0 => 0,
            _ => response.remaining,
        };
        quota.record_report(&pending.account, &response.lender, remaining, now_ms);
        tokens > 0
    }
}
