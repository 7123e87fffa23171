//! Reservation of prepaid tokens for a request, settled when the request ends for any reason.

use std::sync::Arc;
use std::time::{Duration, Instant};

use fescuewell_core::log_event;
use fescuewell_core::prelude::*;
use fescuewell_forward::quota::HoldOutcome;
use fescuewell_forward::retry_after::outage_left_ms;

use crate::dialect::TokenCounts;
use crate::gateway::Gateway;

/// Minimum time that a request waits for tokens that this instance does not have: two transactions
/// with the store and their retries.
const MIN_WAIT: Duration = Duration::from_millis(250);

/// Retry delay during a store outage, when only the store can provide more tokens.
fn outage_delay(gateway: &Gateway) -> Duration {
    let silence_ms = gateway.time_since_store_response().as_millis() as u64;
    Duration::from_millis(outage_left_ms(silence_ms, gateway.random_u64()))
}

/// Prepaid tokens reserved for one request. Dropping it charges the tokens that were used and
/// releases the rest.
pub struct Hold {
    gateway: Arc<Gateway>,
    account: Arc<str>,
    request: Arc<str>,
    tokens: TokenCounts,
    is_executed: bool,
    delivered: u64,
    is_logged: bool,
}

impl Hold {
    /// Reserves the maximum cost of a request. Waits for tokens up to the longer of `max_wait` and
    /// `MIN_WAIT`.
    ///
    /// # Errors
    ///
    /// [`Code::BudgetExhausted`] if the fleet does not have enough tokens, [`Code::BudgetUnknown`]
    /// if this instance cannot get them in time.
    pub async fn acquire(
        gateway: &Arc<Gateway>,
        account: &Arc<str>,
        tokens: TokenCounts,
        id: &Arc<str>,
        max_wait: Duration,
    ) -> Result<Self, Refusal> {
        let max_cost = tokens.prompt + tokens.max_output;
        let until = Instant::now() + max_wait.max(MIN_WAIT);
        let refuse = |code: Code, retry_after: Option<Duration>| {
            let refusal = Refusal::new(code);
            match retry_after {
                Some(retry_after) => refusal.with_retry_after(retry_after),
                None => refusal,
            }
        };
        let mut token_changes = gateway.token_changes();
        let mut is_wait_logged = false;
        let now_ms = gateway.now_ms();
        gateway
            .state()
            .quota
            .record_demand(account, max_cost, now_ms);
        loop {
            token_changes.mark_unchanged();
            let now_ms = gateway.now_ms();
            let outcome = gateway.state().quota.hold(account, max_cost, now_ms);
            match outcome {
                HoldOutcome::Held => return Ok(Self::new(gateway, account, id, tokens)),
                HoldOutcome::Exhausted => return Err(refuse(Code::BudgetExhausted, None)),
                HoldOutcome::InsufficientGrant | HoldOutcome::RateLimited(_) => {}
            }
            let retry_after = match outcome {
                HoldOutcome::RateLimited(wait_ms) => wait_ms.map(Duration::from_millis),
                _ => None,
            };
            let remaining = until.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return Err(refuse(Code::BudgetUnknown, retry_after));
            }
            if !gateway.is_store_up() {
                if gateway.borrow_tokens(account, max_cost).await {
                    continue;
                }
                // No other instance can lend. Only the rate limit allows more tokens as time
                // passes.
                match retry_after.filter(|retry_after| *retry_after <= remaining) {
                    Some(retry_after) => tokio::time::sleep(retry_after).await,
                    None => {
                        let retry_after = retry_after.unwrap_or(outage_delay(gateway));
                        return Err(refuse(Code::BudgetUnknown, Some(retry_after)));
                    }
                }
                continue;
            }
            let lacks_grant = outcome == HoldOutcome::InsufficientGrant;
            let prefers_loans = gateway.state().quota.prefers_loans();
            if lacks_grant && prefers_loans && gateway.borrow_tokens(account, max_cost).await {
                gateway.state().quota.clear_shortage(account);
                continue;
            }
            match lacks_grant {
                true => gateway.request_plan(),
                false => gateway.request_journal(),
            }
            // A loan is requested while the plan is written; whichever succeeds first provides the
            // tokens.
            if lacks_grant && !prefers_loans && gateway.borrow_tokens(account, max_cost).await {
                continue;
            }
            if !is_wait_logged {
                log_event!(
                    Event::TokensAwaited,
                    "request={id} account={account} tokens={max_cost}"
                );
                is_wait_logged = true;
            }
            // The next iteration evaluates the new state, or the timeout.
            let _ = tokio::time::timeout(remaining, token_changes.changed()).await;
        }
    }

    fn new(
        gateway: &Arc<Gateway>,
        account: &Arc<str>,
        request: &Arc<str>,
        tokens: TokenCounts,
    ) -> Self {
        Self {
            gateway: gateway.clone(),
            account: account.clone(),
            request: request.clone(),
            tokens,
            is_executed: false,
            delivered: 0,
            is_logged: false,
        }
    }

    /// Marks the request as possibly executed, so that its prompt is charged.
    pub fn mark_executed(&mut self) {
        self.is_executed = true;
    }

    /// Adds output tokens that the backend server produced.
    pub fn add_output(&mut self, tokens: u64) {
        self.delivered += tokens;
    }

    /// Marks the cost as logged with the end of the request.
    pub fn mark_logged(&mut self) {
        self.is_logged = true;
    }

    /// Returns the cost of the request so far.
    pub fn cost(&self) -> u64 {
        let output = self.delivered.min(self.tokens.max_output);
        match self.is_executed {
            true => self.tokens.prompt + output,
            false => 0,
        }
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        let held = self.tokens.prompt + self.tokens.max_output;
        let cost = self.cost();
        // The costs in the log must add up to the ledger, and a request whose caller disconnected
        // has no other log line with its cost.
        if !self.is_logged && cost > 0 {
            log_event!(
                Event::TokensCharged,
                "request={} account={} tokens={cost} delivered={}",
                self.request,
                self.account,
                self.delivered
            );
        }
        self.gateway.state().quota.settle(&self.account, held, cost);
    }
}
