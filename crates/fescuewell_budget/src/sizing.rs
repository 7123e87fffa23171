//! Computes how large an allowance should be.
//!
//! An allowance covers `rate x outage` plus a margin: the expected use of the instance while the
//! table is unavailable. It is limited to a share of the unallocated tokens, so that the allowances
//! of all instances shrink as the budget runs out. If only a few tokens are left, none are drawn in
//! advance.

use fescuewell_core::prelude::*;

use crate::policy::Policy;

/// The minimum allowance applies only while this multiple of it is within reach. Otherwise the last
/// tokens would be spread evenly over all instances, whether they have callers or not, and requests
/// would be refused although the group has tokens.
pub const MIN_ALLOWANCE_FACTOR: u64 = 16;

/// Margin above the expected use, in standard deviations. The deviation is that of independently
/// arriving requests with the mean hold.
pub const MARGIN_DEVIATIONS: f32 = 2.0;

/// Percentage of the unlimited target to which a renewal refills. The next renewal is due when the
/// allowance falls below the unlimited target itself, so it covers the outage at any time and not
/// only right after a renewal.
pub const REFILL_PERCENT: u64 = 133;

/// Inputs of the size computation.
#[derive(Debug, Clone, Copy)]
pub struct Inputs {
    /// Expected use in tokens per second.
    pub rate: f32,
    /// Expected use of all other holders together, in tokens per second.
    pub others_rate: u64,
    /// Mean amount of recent holds.
    pub mean_hold: Tokens,
    /// Unallocated tokens in the cached row.
    pub unallocated: Tokens,
    /// Idle tokens of this instance.
    pub idle: Tokens,
}

/// Returns how many tokens should be idle at this instance.
///
/// Returns zero if the limit does not cover even a mean hold. Such an allowance would be of no use,
/// and each request draws exactly what it needs instead.
pub fn target(policy: &Policy, inputs: Inputs) -> Tokens {
    let within_reach = inputs.unallocated + inputs.idle;
    let share = percent(within_reach, policy.share_percent);
    let is_plenty = within_reach.0 >= policy.min_allowance.0.saturating_mul(MIN_ALLOWANCE_FACTOR);
    let limit = match is_plenty {
        true => share.max(policy.min_allowance),
        false => share,
    };
    let limit = limit.min(fair_share(inputs));
    if limit < inputs.mean_hold {
        return Tokens::ZERO;
    }
    let refill = unlimited_target(policy, inputs)
        .0
        .saturating_mul(REFILL_PERCENT)
        / 100;
    Tokens(refill).min(limit)
}

/// Limits an allowance by this holder's part of the expected use.
///
/// The idle tokens of a holder are at most its part of the use times the unallocated tokens. If all
/// holders reach this limit, half of the tokens are idle at the holders, in proportion to their
/// callers, and half are unallocated. Without it, instances with few callers would draw as much as
/// busy ones, as far as the share permits, and the tokens would be in the wrong places in an
/// outage.
fn fair_share(inputs: Inputs) -> Tokens {
    let total = inputs.rate + inputs.others_rate as f32;
    if total <= 0.0 {
        return inputs.unallocated + inputs.idle;
    }
    let part = f64::from(inputs.rate / total);
    // `idle = part x unallocated`, solved for the sum of both.
    let within_reach = (inputs.unallocated + inputs.idle).0 as f64;
    Tokens((within_reach * part / (1.0 + part)) as u64)
}

/// Returns the target if the budget had no limit.
///
/// It is the expected use over the outage, plus [`MARGIN_DEVIATIONS`] standard deviations, plus one
/// hold: the requests of one instance arrive irregularly, and a request is refused if its whole
/// hold does not fit.
pub fn unlimited_target(policy: &Policy, inputs: Inputs) -> Tokens {
    let expected = inputs.rate * policy.outage.as_secs_f32();
    let hold = inputs.mean_hold.0 as f32;
    let deviation = (expected * hold).sqrt();
    let wanted = expected + MARGIN_DEVIATIONS * deviation + hold;
    Tokens(wanted as u64).max(policy.min_allowance)
}

/// Returns `percent` of an amount, rounded down.
pub fn percent(amount: Tokens, percent: u8) -> Tokens {
    Tokens((u128::from(amount.0) * u128::from(percent) / 100) as u64)
}
