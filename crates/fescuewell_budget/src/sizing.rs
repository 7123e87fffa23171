//! How large an allowance should be.
//!
//! An allowance is worth `rate x outage` with a margin: what the instance is likely to use while the
//! table is away. It is limited to a share of what is free, so that the allowances of all instances shrink as the
//! money runs out; when little is left at all, nothing is drawn ahead.

use fescuewell_core::prelude::*;

use crate::policy::Policy;

/// While less than so many times the least draw is within reach, the least draw no longer raises a
/// target above its share. Otherwise the last tokens lie in equal pieces on all instances, whether
/// they have callers or not, and a request is refused although the group has money.
pub const MIN_ALLOWANCE_FACTOR: u64 = 16;

/// Standard deviations of use that are drawn beyond the expected use. The deviation is taken as that of
/// requests of the usual hold which arrive independently of each other.
pub const MARGIN: f32 = 2.0;

/// A renewal fills up to so many percent of what is wanted, and the next one is due when that is fallen
/// below. At any moment the allowance therefore covers the outage, not only after a renewal.
pub const REFILL_PERCENT: u64 = 133;

/// What sizing looks at.
#[derive(Debug, Clone, Copy)]
pub struct View {
    /// Expected use in tokens per second.
    pub rate: f32,
    /// The same for all other holders together.
    pub others: u64,
    /// Average size of recent holds.
    pub usual_hold: Tokens,
    /// Free in the row, as last seen.
    pub unallocated: Tokens,
    /// What this instance has idle already.
    pub idle: Tokens,
}

/// How much should lie idle at this instance.
///
/// Nothing when the share would not even cover a usual hold: it would lie here and serve nobody, while each
/// request draws exactly what it needs.
pub fn target(policy: &Policy, view: View) -> Tokens {
    let within_reach = view.unallocated + view.idle;
    let share = percent(within_reach, policy.share_percent);
    let is_plenty = within_reach.0 >= policy.min_allowance.0.saturating_mul(MIN_ALLOWANCE_FACTOR);
    let limit = match is_plenty {
        true => share.max(policy.min_allowance),
        false => share,
    };
    let limit = limit.min(fair_part(view));
    if limit < view.usual_hold {
        return Tokens::ZERO;
    }
    let refill = wanted(policy, view).0.saturating_mul(REFILL_PERCENT) / 100;
    Tokens(refill).min(limit)
}

/// The part of what is left that goes with this holder's part of the use.
///
/// Each holder keeps at most as much of what is free as its part of the use. When all do, half of the
/// money lies with the holders, in proportion to their callers, and half is free. Without this the
/// instances with few callers take as much as those with many, as long as the share allows it, and an
/// outage finds the money in the wrong places.
fn fair_part(view: View) -> Tokens {
    let total = view.rate + view.others as f32;
    if total <= 0.0 {
        return view.unallocated + view.idle;
    }
    let part = f64::from(view.rate / total);
    // `idle = part x free`, solved for what is reached by drawing from both.
    let within_reach = (view.unallocated + view.idle).0 as f64;
    Tokens((within_reach * part / (1.0 + part)) as u64)
}

/// How much would be wanted if money were no limit.
///
/// The expected use over the outage, plus [`MARGIN`] standard deviations, plus one hold: requests of one
/// instance arrive irregularly, and a request is refused when its whole hold does not fit.
pub fn wanted(policy: &Policy, view: View) -> Tokens {
    let expected = view.rate * policy.outage.as_secs_f32();
    let hold = view.usual_hold.0 as f32;
    let deviation = (expected * hold).sqrt();
    let wanted = expected + MARGIN * deviation + hold;
    Tokens(wanted as u64).max(policy.min_allowance)
}

/// `percent` of an amount, rounded down.
pub fn percent(amount: Tokens, percent: u8) -> Tokens {
    Tokens((u128::from(amount.0) * u128::from(percent) / 100) as u64)
}
