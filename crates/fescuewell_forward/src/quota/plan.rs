//! How the instances divide what is left of an account.
//!
//! Each instance computes its own part from the same row, in proportion to demand, gives back what exceeds it and
//! takes what others have given back. Nobody assigns parts to others, so a part that was given back by its owner is
//! the only one that moves.

use std::collections::HashMap;
use std::sync::Arc;

use super::row::Ledger;

/// What another holder last said of its use of an account.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Peer {
    /// Consumed or held back.
    pub consumed: u64,
    /// Demand in tokens a second.
    pub demand_per_s: u64,
    /// Whether callers are sent to it.
    pub is_advertised: bool,
}

/// The other holders that gave a status lately; all others count as absent: they get no part of what is left, and the
/// whole of their grants counts as spent.
pub type Peers = HashMap<Arc<str>, Peer>;

/// The planning holder's own state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Holder {
    /// Its name.
    pub holder: Arc<str>,
    /// What it may consume in all.
    pub granted: u64,
    /// Consumed or held back.
    pub consumed: u64,
    /// Demand in tokens a second.
    pub demand_per_s: u64,
    /// Mean size of its recent requests.
    pub typical: u64,
    /// Whether callers are sent to it.
    pub is_advertised: bool,
    /// Number of holders to which callers are sent.
    pub advertised_count: u64,
}

/// Tokens that waiting requests want.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shortage {
    /// The largest of them.
    pub tokens: u64,
}

/// Part of what is left that stays with nobody, in percent, for those who run short between two plans.
const RESERVE_PERCENT: u64 = 5;
/// Demand, in seconds of it, that a holder's part covers at most: longer than a usual cut, so that it needs nobody meanwhile.
///
/// What nobody has asked for stays with nobody, where one transaction finds it. Without the bound the instances that callers are
/// sent to drew all of an account before its first request, and those to which its callers came had 5% until the others had
/// noticed and given back, two rounds of statuses later.
const HORIZON_S: u64 = 16;
/// Requests of the usual size that a advertised holder's part covers however little demand it has.
const LEAST_REQUESTS: u64 = 4;
/// Part of what is left, in percent, that all advertised holders together may hold without demand. In a fleet of 300 with 50 advertised ones
/// four requests each would be all of a small account.
const UNASKED_PERCENT: u64 = 25;
/// A grant is changed only if it is off by so much, in percent. All instances use up their parts
/// side by side, so the parts keep fitting; a change that is not needed is in conflict with those that are.
const TOLERANCE_PERCENT: u64 = 10;

/// What other holders have used, or hold while they are absent.
pub fn used_by_others(ledger: &Ledger, holder: &str, peers: &Peers) -> u64 {
    let others = ledger
        .grants
        .iter()
        .filter(|grant| &*grant.holder != holder);
    let used = others.map(|grant| match peers.get(&grant.holder) {
        Some(peer) => peer.consumed.min(grant.granted),
        None => grant.granted,
    });
    used.sum()
}

/// The grant of a holder that is about to end: what it has used, and what a request waits for.
pub fn shutdown_grant(ledger: &Ledger, own: &Holder, prepaid: u64, need: Option<Shortage>) -> u64 {
    let free = prepaid.saturating_sub(ledger.total());
    let held = own.granted.saturating_sub(own.consumed);
    let need = need.map_or(0, |need| need.tokens);
    if need > held {
        return own.granted + (need - held).min(free);
    }
    own.granted.min(own.consumed + need)
}

/// What the own grant should be.
pub fn target_grant(
    ledger: &Ledger,
    peers: &Peers,
    own: &Holder,
    prepaid: u64,
    need: Option<Shortage>,
) -> u64 {
    let used = own.consumed + used_by_others(ledger, &own.holder, peers);
    let left = prepaid.saturating_sub(used);
    let free = prepaid.saturating_sub(ledger.total());
    let share = share(left, own, peers).min(horizon(left, own));
    // A share that does not cover a request serves nobody; what is left is then drawn request by request.
    let share = if share < own.typical { 0 } else { share };
    let wanted = share.max(need.map_or(0, |need| need.tokens));
    let held = own.granted.saturating_sub(own.consumed);
    let slack = share * TOLERANCE_PERCENT / 100;
    let is_short = need.is_some() || held + slack < share;
    if wanted > held && is_short {
        return own.granted + (wanted - held).min(free);
    }
    // Above the prepaid total nothing is tolerated.
    let is_over = ledger.total() > prepaid;
    if held > wanted + slack || (is_over && held > wanted) {
        return own.consumed + wanted;
    }
    own.granted
}

/// Most that a holder has use for, by its demand.
fn horizon(left: u64, own: &Holder) -> u64 {
    let demand = own.demand_per_s * HORIZON_S;
    if !own.is_advertised {
        return demand;
    }
    let least = own.typical * LEAST_REQUESTS;
    let unasked = left * UNASKED_PERCENT / 100 / own.advertised_count.max(1);
    demand.max(least.min(unasked))
}

/// Part of the mean demand, in percent, that counts for each advertised holder beside its own demand: the demand of a few
/// seconds foretells that of the next ones only roughly.
const COMMON_PERCENT: u64 = 25;

/// The own part of what is left, by demand.
fn share(left: u64, own: &Holder, peers: &Peers) -> u64 {
    let advertised_count = peers.values().filter(|peer| peer.is_advertised).count() as u64;
    let advertised_count = advertised_count + u64::from(own.is_advertised);
    let total: u64 = peers.values().map(|peer| peer.demand_per_s).sum::<u64>() + own.demand_per_s;
    let common = total / advertised_count.max(1) * COMMON_PERCENT / 100 + 1;
    let weight = u128::from(own.demand_per_s + if own.is_advertised { common } else { 0 });
    let sum = u128::from(total + common * advertised_count);
    let usable = u128::from(left * (100 - RESERVE_PERCENT) / 100);
    (usable * weight).checked_div(sum).unwrap_or_default() as u64
}
