//! How the instances divide what is left of an account.
//!
//! Each instance computes its own part from the same row, in proportion to demand, gives back what exceeds it and
//! takes what others have given back. Nobody assigns parts to others, so a part that was given back by its owner is
//! the only one that moves.

use super::row::{Grant, Ledger};

/// Tokens that waiting requests want.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Need {
    /// The largest of them.
    pub tokens: u64,
}

/// Age of a holder's last write, in milliseconds, from which it counts as absent: it gets no part of what is left,
/// and the whole of its grant counts as spent.
pub const HOLDER_LAPSE_MS: u64 = 5_000;
/// Part of what is left that stays with nobody, in percent, for those who run short between two plans.
const RESERVE_PERCENT: u64 = 5;
/// A part is given back only if it exceeds the own share by so much, in percent.
const KEEP_PERCENT: u64 = 10;

/// What other holders have used, or hold while they are absent.
pub fn used_by_others(ledger: &Ledger, holder: &str, at_ms: u64) -> u64 {
    let others = ledger
        .grants
        .iter()
        .filter(|grant| &*grant.holder != holder);
    others.map(|grant| used(grant, at_ms)).sum()
}

fn used(grant: &Grant, at_ms: u64) -> u64 {
    match is_present(grant, at_ms) {
        true => grant.consumed.min(grant.granted),
        false => grant.granted,
    }
}

/// The grant of a holder that is about to end: what it has used, and what a request waits for.
pub fn closing(ledger: &Ledger, own: &Grant, prepaid: u64, need: Option<Need>) -> u64 {
    let free = prepaid.saturating_sub(ledger.total());
    let held = own.granted.saturating_sub(own.consumed);
    let need = need.map_or(0, |need| need.tokens);
    if need > held {
        return own.granted + (need - held).min(free);
    }
    own.granted.min(own.consumed + need)
}

fn is_present(grant: &Grant, at_ms: u64) -> bool {
    at_ms < grant.at_ms.saturating_add(HOLDER_LAPSE_MS)
}

/// What the own grant should be. `own` is the state of the caller, `typical` the mean size of its recent requests.
pub fn grant(
    ledger: &Ledger,
    own: &Grant,
    prepaid: u64,
    typical: u64,
    need: Option<Need>,
    at_ms: u64,
) -> u64 {
    let others: Vec<u64> = ledger
        .grants
        .iter()
        .filter(|grant| grant.holder != own.holder && is_present(grant, at_ms))
        .map(|grant| grant.rate)
        .collect();
    let used = own.consumed + used_by_others(ledger, &own.holder, at_ms);
    let granted = ledger.total();
    let left = prepaid.saturating_sub(used);
    let free = prepaid.saturating_sub(granted);
    let share = share(left, own.rate, &others);
    // A share that does not cover a request serves nobody; what is left is then drawn request by request.
    let share = if share < typical { 0 } else { share };
    let wanted = share.max(need.map_or(0, |need| need.tokens));
    let held = own.granted.saturating_sub(own.consumed);
    if wanted > held {
        return own.granted + (wanted - held).min(free);
    }
    let kept = share + share * KEEP_PERCENT / 100;
    if held > kept.max(wanted) {
        return own.consumed + wanted;
    }
    own.granted
}

/// The own part of what is left, by demand; half of each part is the same for all, since the demand of a few
/// seconds foretells that of the next ones only roughly.
fn share(left: u64, own_rate: u64, others: &[u64]) -> u64 {
    let count = others.len() as u64 + 1;
    let total: u64 = others.iter().sum::<u64>() + own_rate;
    let mean = total / count;
    let weight = u128::from(own_rate + mean + 1);
    let sum = u128::from(total + (mean + 1) * count);
    let usable = u128::from(left * (100 - RESERVE_PERCENT) / 100);
    (usable * weight / sum) as u64
}
