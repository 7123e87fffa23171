//! Tokens held back for one request, settled whatever becomes of it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use fescuewell_core::log_event;
use fescuewell_core::prelude::*;
use fescuewell_forward::quota::Verdict;
use fescuewell_forward::retry_after::outage_left_ms;

use crate::dialect::TokenCounts;
use crate::gateway::Gateway;

/// How long a request waits for tokens that this instance has not: two transactions with the store and
/// their repeats.
const WAIT: Duration = Duration::from_millis(250);

/// How long callers are told to stay away where only the store can give more.
fn outage_left(gateway: &Gateway) -> Duration {
    let silence_ms = gateway.time_since_store_response().as_millis() as u64;
    Duration::from_millis(outage_left_ms(silence_ms, gateway.random_u64()))
}

/// Tokens held back for one request. Dropped, it charges what was delivered.
pub struct Hold {
    gateway: Arc<Gateway>,
    account: Arc<str>,
    request: Arc<str>,
    tokens: TokenCounts,
    ran: bool,
    delivered: u64,
    is_told: bool,
}

impl Hold {
    /// Holds the most that a request may cost, waiting a little for tokens of others, or up to `patience` for the
    /// own pace.
    ///
    /// # Errors
    ///
    /// [`Code::BudgetExhausted`] when the fleet has not enough, [`Code::BudgetUnknown`] when this instance has not.
    pub async fn take(
        gateway: &Arc<Gateway>,
        account: &Arc<str>,
        tokens: TokenCounts,
        id: &Arc<str>,
        patience: Duration,
    ) -> Result<Self, Refusal> {
        let most = tokens.prompt + tokens.max_output;
        let until = Instant::now() + patience.max(WAIT);
        let refuse = |code: Code, later: Option<Duration>| {
            let refusal = Refusal::new(code);
            match later {
                Some(later) => refusal.with_retry_after(later),
                None => refusal,
            }
        };
        let mut plans = gateway.token_changes();
        let mut waited = false;
        let now_ms = gateway.now_ms();
        gateway.state().quota.ask(account, most, now_ms);
        loop {
            plans.mark_unchanged();
            let now_ms = gateway.now_ms();
            let verdict = gateway.state().quota.hold(account, most, now_ms);
            match verdict {
                Verdict::Held => return Ok(Self::new(gateway, account, id, tokens)),
                Verdict::Exhausted => return Err(refuse(Code::BudgetExhausted, None)),
                Verdict::Short | Verdict::Later(_) => {}
            }
            let later = match verdict {
                Verdict::Later(wait_ms) => wait_ms.map(Duration::from_millis),
                _ => None,
            };
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(refuse(Code::BudgetUnknown, later));
            }
            if !gateway.is_store_up() {
                if gateway.borrow_tokens(account, most).await {
                    continue;
                }
                // Nobody can give more now; only the pace moves on by itself.
                match later.filter(|later| *later <= left) {
                    Some(later) => tokio::time::sleep(later).await,
                    None => {
                        let later = later.unwrap_or(outage_left(gateway));
                        return Err(refuse(Code::BudgetUnknown, Some(later)));
                    }
                }
                continue;
            }
            match verdict {
                Verdict::Short => gateway.request_plan(),
                _ => gateway.request_journal(),
            }
            // Whichever comes first serves it: tokens that another instance has, or those that nobody holds.
            if verdict == Verdict::Short && gateway.borrow_tokens(account, most).await {
                continue;
            }
            if !waited {
                log_event!(
                    Event::TokensAwaited,
                    "request={id} account={account} tokens={most}"
                );
                waited = true;
            }
            // A plan, or the end of the time; the next look decides.
            let _ = tokio::time::timeout(left, plans.changed()).await;
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
            ran: false,
            delivered: 0,
            is_told: false,
        }
    }

    /// The request reached a backend server and may have run: its prompt is charged.
    pub fn ran(&mut self) {
        self.ran = true;
    }

    /// Output tokens came.
    pub fn deliver(&mut self, tokens: u64) {
        self.delivered += tokens;
    }

    /// The request's last log line tells what it cost.
    pub fn tell(&mut self) {
        self.is_told = true;
    }

    /// What the request costs so far.
    pub fn cost(&self) -> u64 {
        let output = self.delivered.min(self.tokens.max_output);
        match self.ran {
            true => self.tokens.prompt + output,
            false => 0,
        }
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        let held = self.tokens.prompt + self.tokens.max_output;
        let cost = self.cost();
        // Log lines and ledger are to come to the same sum: a request whose caller left has no line with its cost.
        if !self.is_told && cost > 0 {
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
