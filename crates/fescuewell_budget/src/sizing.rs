//! How large an allowance should be.
//!
//! An allowance is worth `rate x outage`: what the instance is expected to use while the table is away.
//! It is limited to a share of what is free, so that the allowances of all instances shrink as the
//! money runs out; when little is free at all, nothing is drawn ahead.

use fescuewell_core::prelude::*;

use crate::policy::Policy;

/// While less than so many times the least draw (or the usual hold) is free, nothing is drawn beyond
/// what requests wait for. Otherwise the last tokens lie in small pieces on many instances, and a
/// request is refused although the group has money.
pub const RESERVE_FACTOR: u64 = 16;

/// What sizing looks at.
#[derive(Debug, Clone, Copy)]
pub struct View {
    /// Expected use in tokens per second.
    pub rate: f32,
    /// Average size of recent holds.
    pub usual_hold: Tokens,
    /// Free in the row, as last seen.
    pub free: Tokens,
    /// What this instance has idle already.
    pub idle: Tokens,
}

/// How much should lie idle at this instance.
pub fn target(policy: &Policy, view: View) -> Tokens {
    let within_reach = view.free + view.idle;
    let piece = policy.least.max(view.usual_hold);
    if within_reach.0 < piece.0.saturating_mul(RESERVE_FACTOR) {
        return Tokens::ZERO;
    }
    let share = percent(within_reach, policy.share_percent);
    wanted(policy, view).min(share.max(policy.least))
}

/// How much would be wanted if money were no limit.
pub fn wanted(policy: &Policy, view: View) -> Tokens {
    let outlast = view.rate * policy.outage.as_secs_f32();
    Tokens(outlast as u64).max(policy.least)
}

/// `percent` of an amount, rounded down.
pub fn percent(amount: Tokens, percent: u8) -> Tokens {
    Tokens((u128::from(amount.0) * u128::from(percent) / 100) as u64)
}
