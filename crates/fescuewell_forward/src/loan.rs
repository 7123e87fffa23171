//! Loans of tokens between instances that hear each other.
//!
//! While the store cannot be reached nobody can move grants, and an account's tokens stand at instances to which its callers do
//! not come. An instance that runs short then asks others for the missing tokens. The lender counts them as consumed before
//! it answers, against its own grant and pace; the borrower may spend them once the answer is there. So a message that is lost, or
//! an instance that is killed, costs tokens and never lets them be spent twice: no row is written, and none has to be.

use std::collections::HashMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::quota::Quota;

/// Age in milliseconds, by the store's clock, from which an ask counts as none: its asker has given it up. It also bounds what a
/// lender has to remember.
const STALE_MS: u64 = 1_000;
/// Time in milliseconds for which an answer is still taken. What comes later is lost to the borrower.
const OPEN_MS: u64 = 2_000;

/// An instance wants tokens.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Drawn at random; an answer bears the same.
    pub id: u64,
    /// The client account.
    pub account: Arc<str>,
    /// Tokens that a request misses.
    pub required_tokens: u64,
    /// Tokens that are wanted in all: what the next requests will miss as well.
    pub wanted_tokens: u64,
    /// When it was sent, by the store's clock in milliseconds.
    pub sent_at_ms: u64,
}

/// What a lender gives.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Response {
    /// The ask's.
    pub id: u64,
    /// Who lends.
    pub lender: Arc<str>,
    /// Tokens that the borrower may spend; 0 if there are none.
    pub tokens: u64,
    /// Tokens that the lender could still give now.
    pub remaining: u64,
}

/// Answers asks of others.
#[derive(Debug, Default)]
pub struct Lender {
    /// Asks that were answered, with the time of the store's clock from which each counts as stale.
    answered: HashMap<u64, u64>,
}

impl Lender {
    /// What to answer. Nothing for an ask that is stale or was answered before: a datagram may come twice, and each copy would
    /// cost tokens that nobody gets.
    pub fn respond(&mut self, quota: &mut Quota, ask: &Request, now_ms: u64) -> Option<Response> {
        let store_ms = quota.store_time(now_ms);
        self.answered.retain(|_, stale_ms| store_ms < *stale_ms);
        let is_fresh = ask.sent_at_ms.abs_diff(store_ms) < STALE_MS;
        // One from a clock that is ahead becomes stale that much later.
        let stale_ms = ask.sent_at_ms.max(store_ms) + STALE_MS;
        if !is_fresh || self.answered.insert(ask.id, stale_ms).is_some() {
            return None;
        }
        let tokens = quota.lend(ask, now_ms);
        Some(Response {
            id: ask.id,
            lender: quota.holder().clone(),
            tokens,
            remaining: quota.available(&ask.account, now_ms),
        })
    }
}

/// An ask that may still be answered.
#[derive(Debug)]
struct Open {
    account: Arc<str>,
    tokens: u64,
    until_ms: u64,
}

/// Keeps the asks of this instance.
#[derive(Debug, Default)]
pub struct Borrower {
    open: HashMap<u64, Open>,
}

impl Borrower {
    /// An ask for `least` tokens of an account, and for `more` beyond that; `id` is a random number.
    pub fn request(
        &mut self,
        quota: &Quota,
        account: &Arc<str>,
        (least, more): (u64, u64),
        id: u64,
        now_ms: u64,
    ) -> Request {
        let tokens = least + more;
        self.open.retain(|_, open| now_ms < open.until_ms);
        let open = Open {
            account: account.clone(),
            tokens,
            until_ms: now_ms + OPEN_MS,
        };
        self.open.insert(id, open);
        Request {
            id,
            account: account.clone(),
            required_tokens: least,
            wanted_tokens: tokens,
            sent_at_ms: quota.store_time(now_ms),
        }
    }

    /// Takes an answer: once, and only to an ask of this process. Returns whether it gave tokens.
    pub fn accept(&mut self, quota: &mut Quota, answer: &Response, now_ms: u64) -> bool {
        let Some(open) = self.open.remove(&answer.id) else {
            return false;
        };
        // More than was asked for can only be an error.
        let tokens = answer.tokens.min(open.tokens);
        quota.borrow(&open.account, tokens);
        quota.record_report(&open.account, &answer.lender, answer.remaining, now_ms);
        tokens > 0
    }
}
