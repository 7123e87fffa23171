//! Loans for the waiting requests of an account: one request for tokens in flight at a time, for
//! all of them together.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use super::{Borrower, REPEAT_MS, Request, Response, SILENCE_MS};
use crate::quota::{MAX_LENDERS, Quota};

/// Demand in milliseconds that a loan covers in addition to the waiting requests while the store is
/// reachable: until the next draw.
const PREFETCH_MS: u64 = 2_000;
/// The same during an outage of the store, when lenders can give only what their journals cover.
/// Without it, each request that arrives alone would need a loan of its own.
const OUTAGE_PREFETCH_MS: u64 = 500;

/// Circumstances of a decision.
pub struct Context<'a> {
    /// Local time in milliseconds.
    pub now_ms: u64,
    /// Whether the store is reachable.
    pub is_store_up: bool,
    /// Returns a random request ID.
    pub next_id: &'a mut dyn FnMut() -> u64,
    /// Returns whether the address of a lender is known.
    pub is_reachable: &'a dyn Fn(&Arc<str>) -> bool,
}

/// What the caller has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Sends a request to a lender.
    Send {
        /// Name of the lender.
        lender: Arc<str>,
        /// The loan request.
        request: Request,
        /// Whether it was sent before.
        is_repeat: bool,
    },
    /// Tells a waiting request whether the account has tokens for it.
    Complete {
        /// Key of the waiting request.
        waiter: u64,
        /// Whether the tokens were there at the time of the decision.
        has_tokens: bool,
    },
}

/// A waiting request.
#[derive(Debug, Clone, Copy)]
struct Waiter {
    key: u64,
    tokens: u64,
    /// Whether it came after the lenders of the round were listed.
    is_late: bool,
}

/// A loan request that awaits its response.
#[derive(Debug)]
struct InFlight {
    lender: Arc<str>,
    request: Request,
    sent_ms: u64,
    is_repeated: bool,
}

impl InFlight {
    fn deadline_ms(&self) -> u64 {
        match self.is_repeated {
            false => self.sent_ms + REPEAT_MS,
            true => self.sent_ms + SILENCE_MS,
        }
    }
}

/// The waiting requests of one account and the lenders not asked yet.
#[derive(Debug, Default)]
struct Round {
    waiters: Vec<Waiter>,
    lenders: VecDeque<Arc<str>>,
    in_flight: Option<InFlight>,
}

impl Round {
    /// Completes the requests that the spendable tokens cover, from the first one on, up to one
    /// that they do not cover. Returns the tokens left.
    fn complete_covered(&mut self, mut spendable: u64, actions: &mut Vec<Action>) -> u64 {
        while let Some(first) = self.waiters.first() {
            if first.tokens > spendable {
                break;
            }
            spendable -= first.tokens;
            actions.push(Action::Complete {
                waiter: first.key,
                has_tokens: true,
            });
            self.waiters.remove(0);
        }
        spendable
    }

    /// Completes the requests that have seen all lenders of the round. Those that the spendable
    /// tokens cover succeed although earlier ones do not.
    ///
    /// Returns the tokens left.
    fn complete_rest(&mut self, mut spendable: u64, actions: &mut Vec<Action>) -> u64 {
        for waiter in &mut self.waiters {
            if std::mem::take(&mut waiter.is_late) {
                continue;
            }
            let has_tokens = waiter.tokens <= spendable;
            if has_tokens {
                spendable -= waiter.tokens;
            }
            actions.push(Action::Complete {
                waiter: waiter.key,
                has_tokens,
            });
            waiter.tokens = 0;
        }
        self.waiters.retain(|waiter| waiter.tokens > 0);
        spendable
    }

    /// Returns the tokens that the waiting requests lack, and the part of them to declare as
    /// required.
    ///
    /// A lender gives nothing if it has less than the fraction `MAX_LENDERS` of the required
    /// tokens. The bound lets it serve the smallest waiting request.
    fn shortfall(&self, spendable: u64) -> (u64, u64) {
        let tokens = self.waiters.iter().map(|waiter| waiter.tokens);
        let smallest = tokens.clone().min().unwrap_or_default();
        let shortfall = tokens.sum::<u64>().saturating_sub(spendable);
        (shortfall, shortfall.min(smallest * MAX_LENDERS))
    }
}

/// Borrows tokens for the waiting requests of all accounts.
#[derive(Debug, Default)]
pub struct Rounds {
    borrower: Borrower,
    rounds: HashMap<Arc<str>, Round>,
}

impl Rounds {
    /// Adds a waiting request with a unique key. If a loan is in flight for its account, it waits
    /// for the response.
    pub fn join(
        &mut self,
        quota: &mut Quota,
        account: &Arc<str>,
        (key, tokens): (u64, u64),
        context: &mut Context<'_>,
    ) -> Vec<Action> {
        let round = self.rounds.entry(account.clone()).or_default();
        let is_late = round.in_flight.is_some();
        if !is_late {
            round.lenders = lenders(quota, account, context);
        }
        let waiter = Waiter {
            key,
            tokens,
            is_late,
        };
        round.waiters.push(waiter);
        match is_late {
            true => Vec::new(),
            false => self.advance(quota, account, context),
        }
    }

    /// Removes a request whose caller is gone or no longer waits.
    pub fn leave(&mut self, account: &str, key: u64) {
        if let Some(round) = self.rounds.get_mut(account) {
            round.waiters.retain(|waiter| waiter.key != key);
        }
    }

    /// Handles a lender's response, which may be late or a duplicate.
    pub fn receive(
        &mut self,
        quota: &mut Quota,
        response: &Response,
        context: &mut Context<'_>,
    ) -> Vec<Action> {
        self.borrower.accept(quota, response, context.now_ms);
        let mut rounds = self.rounds.iter_mut();
        let is_answered = |round: &Round| {
            let in_flight = round.in_flight.as_ref();
            in_flight.is_some_and(|in_flight| in_flight.request.id == response.id)
        };
        let answered = rounds.find(|(_, round)| is_answered(round));
        let Some((account, round)) = answered else {
            return Vec::new();
        };
        round.in_flight = None;
        let account = account.clone();
        self.advance(quota, &account, context)
    }

    /// Repeats requests without a response, and moves on from lenders that stay silent.
    pub fn expire(&mut self, quota: &mut Quota, context: &mut Context<'_>) -> Vec<Action> {
        let now_ms = context.now_ms;
        let mut actions = Vec::new();
        let mut silent = Vec::new();
        for (account, round) in &mut self.rounds {
            let Some(in_flight) = &mut round.in_flight else {
                continue;
            };
            if now_ms < in_flight.deadline_ms() {
                continue;
            }
            if !in_flight.is_repeated && now_ms < in_flight.sent_ms + SILENCE_MS {
                in_flight.is_repeated = true;
                actions.push(Action::Send {
                    lender: in_flight.lender.clone(),
                    request: in_flight.request.clone(),
                    is_repeat: true,
                });
                continue;
            }
            // A silent lender counts as having no tokens for a short time.
            quota.record_report(account, &in_flight.lender, 0, now_ms);
            round.in_flight = None;
            silent.push(account.clone());
        }
        silent.sort();
        for account in silent {
            actions.extend(self.advance(quota, &account, context));
        }
        actions
    }

    /// Returns the time of the next call of [`Rounds::expire`].
    pub fn deadline_ms(&self) -> Option<u64> {
        let in_flight = self
            .rounds
            .values()
            .filter_map(|round| round.in_flight.as_ref());
        in_flight.map(InFlight::deadline_ms).min()
    }

    /// Completes the requests that have tokens, and asks the next lender for the others.
    fn advance(
        &mut self,
        quota: &mut Quota,
        account: &Arc<str>,
        context: &mut Context<'_>,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        let Some(mut round) = self.rounds.remove(account) else {
            return actions;
        };
        let spendable = quota.spendable(account, context.now_ms);
        let mut left = round.complete_covered(spendable, &mut actions);
        if !round.waiters.is_empty() && round.lenders.is_empty() {
            left = round.complete_rest(left, &mut actions);
            round.lenders = lenders(quota, account, context);
        }
        if round.waiters.is_empty() {
            return actions;
        }
        let Some(lender) = round.lenders.pop_front() else {
            round.complete_rest(left, &mut actions);
            return actions;
        };
        let (shortfall, required) = round.shortfall(left);
        let prefetch_ms = match context.is_store_up {
            true => PREFETCH_MS,
            false => OUTAGE_PREFETCH_MS,
        };
        let prefetch = quota.demand_per_s(account, context.now_ms) * prefetch_ms / 1_000;
        let extra = shortfall - required + prefetch;
        let id = (context.next_id)();
        let request = self
            .borrower
            .request(quota, account, (required, extra), id, context.now_ms);
        actions.push(Action::Send {
            lender: lender.clone(),
            request: request.clone(),
            is_repeat: false,
        });
        round.in_flight = Some(InFlight {
            lender,
            request,
            sent_ms: context.now_ms,
            is_repeated: false,
        });
        self.rounds.insert(account.clone(), round);
        actions
    }
}

/// Returns the lenders to ask, one after the other.
fn lenders(quota: &Quota, account: &Arc<str>, context: &Context<'_>) -> VecDeque<Arc<str>> {
    let candidates = quota.candidates(account, context.now_ms);
    let holders = candidates.into_iter().map(|candidate| candidate.holder);
    let reachable = holders.filter(|holder| (context.is_reachable)(holder));
    reachable.take(MAX_LENDERS as usize).collect()
}
