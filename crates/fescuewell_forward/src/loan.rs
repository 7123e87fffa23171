//! Token loans between instances.
//!
//! While the store is unreachable no grant can move, and the tokens of an account may be held by
//! instances that its callers do not use. An instance that runs short requests the missing tokens
//! from other instances. The lender counts them as consumed before it responds, against its own
//! grant and rate limit; the borrower may spend them once the response arrives. A lost message or a
//! killed instance therefore loses tokens but never lets them be spent twice, and no row has to be
//! written.

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

/// Responds to the loan requests of other instances.
#[derive(Debug, Default)]
pub struct Lender {
    /// Expiry time, by the store clock, of each request already handled.
    seen: HashMap<u64, u64>,
}

impl Lender {
    /// Responds to a request, or returns `None` if it is too old or was handled before.
    ///
    /// A datagram may be delivered twice, and each duplicate would cost tokens that nobody
    /// receives.
    pub fn respond(
        &mut self,
        quota: &mut Quota,
        request: &Request,
        now_ms: u64,
    ) -> Option<Response> {
        let store_ms = quota.store_time(now_ms);
        self.seen.retain(|_, expires_ms| store_ms < *expires_ms);
        let is_fresh = request.sent_at_ms.abs_diff(store_ms) < REQUEST_MAX_AGE_MS;
        // A request from a clock that is ahead expires later by that difference.
        let expires_ms = request.sent_at_ms.max(store_ms) + REQUEST_MAX_AGE_MS;
        if !is_fresh || self.seen.insert(request.id, expires_ms).is_some() {
            return None;
        }
        let tokens = quota.lend(request, now_ms);
        Some(Response {
            id: request.id,
            lender: quota.holder().clone(),
            tokens,
            remaining: quota.available(&request.account, now_ms),
        })
    }
}

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
        quota.record_report(
            &pending.account,
            &response.lender,
            response.remaining,
            now_ms,
        );
        tokens > 0
    }
}
