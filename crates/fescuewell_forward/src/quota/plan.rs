//! Division of the remaining tokens of an account among the instances.
//!
//! Each instance computes its own share from the same row, in proportion to demand, returns what
//! exceeds it and draws what others have returned. No instance assigns shares to others, so tokens
//! move only after their holder has returned them.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use super::row::Ledger;

/// Usage of an account as last reported by another holder.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Peer {
    /// Tokens consumed or held.
    pub consumed: u64,
    /// Demand in tokens per second.
    pub demand_per_s: u64,
    /// Whether callers are directed to it.
    pub is_advertised: bool,
}

/// The other live holders. All others count as absent: they get no share of the remaining tokens,
/// and their whole grants count as spent.
#[derive(Debug, Clone, Default)]
pub struct Peers {
    /// Usage of the account by the holders that have reported one.
    pub usages: HashMap<Arc<str>, Peer>,
    /// All live holders.
    pub live: Arc<HashSet<Arc<str>>>,
}

impl Peers {
    /// Returns the usage of a live holder. One that has not reported any has drawn its grant since,
    /// and may have consumed none of it.
    pub fn get(&self, holder: &Arc<str>) -> Option<Peer> {
        let reported = self.usages.get(holder).copied();
        reported.or_else(|| self.live.contains(holder).then(Peer::default))
    }
}

/// What a holder knows of itself and the others, for all accounts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Position {
    /// Whether callers are directed to it.
    pub is_advertised: bool,
    /// Number of holders that callers are directed to.
    pub advertised_count: u64,
}

/// State of the holder that computes the plan.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Holder {
    /// Name of the holder.
    pub holder: Arc<str>,
    /// Total that it may consume.
    pub granted: u64,
    /// Tokens consumed or held.
    pub consumed: u64,
    /// Demand in tokens per second.
    pub demand_per_s: u64,
    /// Mean size of its recent requests.
    pub mean_request_tokens: u64,
    /// Its position among the holders.
    pub position: Position,
}

/// Demand of waiting requests that the grant does not cover.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shortage {
    /// Tokens of the largest such request.
    pub tokens: u64,
}

/// Part of the remaining tokens, in percent, that stays unallocated for holders that run short
/// between two plans.
const RESERVE_PERCENT: u64 = 5;
/// Seconds of demand that the share of a holder covers at most: longer than a typical outage, so
/// that it needs no other holder during one.
///
/// Tokens without demand stay unallocated, where a single transaction can draw them. Without this
/// bound the advertised instances draw the whole account before its first request, and the
/// instances that its callers actually use have 5% until the others notice and return tokens, two
/// heartbeat rounds later.
const DEMAND_HORIZON_S: u64 = 16;
/// Requests of mean size that the share of an advertised holder covers however low its demand is.
const MIN_REQUESTS: u64 = 4;
/// Part of the remaining tokens, in percent, that all advertised holders together may hold without
/// demand. In a fleet of 300 with 50 advertised instances, four requests each would take all of a
/// small account.
const IDLE_SHARE_PERCENT: u64 = 25;
/// Minimum deviation, in percent, for a grant to be changed. All instances consume their shares in
/// parallel, so the shares stay in proportion; an unnecessary change conflicts with the necessary
/// ones.
const TOLERANCE_PERCENT: u64 = 10;

/// Returns the tokens that other holders have used, or hold while they are absent.
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

/// Returns the grant of a holder that shuts down: its consumption plus the needs of a waiting
/// request, and of what it had up to `kept` tokens for further ones.
pub fn shutdown_grant(
    ledger: &Ledger,
    own: &Holder,
    prepaid: u64,
    shortage: Option<Shortage>,
    kept: u64,
) -> u64 {
    let free = prepaid.saturating_sub(ledger.total());
    let held = own.granted.saturating_sub(own.consumed);
    let needed = shortage.map_or(0, |short| short.tokens);
    if needed > held {
        return own.granted + (needed - held).min(free);
    }
    own.granted.min(own.consumed + needed.max(kept))
}

/// Returns the grant that this holder should have.
pub fn target_grant(
    ledger: &Ledger,
    peers: &Peers,
    own: &Holder,
    prepaid: u64,
    shortage: Option<Shortage>,
) -> u64 {
    let used = own.consumed + used_by_others(ledger, &own.holder, peers);
    let left = prepaid.saturating_sub(used);
    let free = prepaid.saturating_sub(ledger.total());
    let share = share(left, own, peers).min(demand_cap(left, own));
    // A share smaller than one request serves no request; the remainder is then drawn request by
    // request.
    let share = if share < own.mean_request_tokens {
        0
    } else {
        share
    };
    let wanted = share.max(shortage.map_or(0, |short| short.tokens));
    let held = own.granted.saturating_sub(own.consumed);
    let slack = share * TOLERANCE_PERCENT / 100;
    let must_grow = shortage.is_some() || held + slack < share;
    if wanted > held && must_grow {
        return own.granted + (wanted - held).min(free);
    }
    // No tolerance applies when the grants exceed the prepaid total.
    let is_over = ledger.total() > prepaid;
    if held > wanted + slack || (is_over && held > wanted) {
        return own.consumed + wanted;
    }
    own.granted
}

/// Returns the maximum number of tokens that a holder can use, given its demand.
fn demand_cap(left: u64, own: &Holder) -> u64 {
    let demand = own.demand_per_s * DEMAND_HORIZON_S;
    if !own.position.is_advertised {
        return demand;
    }
    let minimum = own.mean_request_tokens * MIN_REQUESTS;
    let idle_share = left * IDLE_SHARE_PERCENT / 100 / own.position.advertised_count.max(1);
    demand.max(minimum.min(idle_share))
}

/// Part of the mean demand, in percent, that is added to the demand of each advertised holder. The
/// demand of the last few seconds is only a rough predictor of that of the next ones.
const SMOOTHING_PERCENT: u64 = 25;

/// Returns the share of this holder of the remaining tokens, by demand.
fn share(left: u64, own: &Holder, peers: &Peers) -> u64 {
    let usages = peers.usages.values();
    let advertised_count = usages.filter(|peer| peer.is_advertised).count() as u64;
    let advertised_count = advertised_count + u64::from(own.position.is_advertised);
    let demands = peers.usages.values().map(|peer| peer.demand_per_s);
    let total: u64 = demands.sum::<u64>() + own.demand_per_s;
    let smoothing = total / advertised_count.max(1) * SMOOTHING_PERCENT / 100 + 1;
    let weight = u128::from(
        own.demand_per_s
            + if own.position.is_advertised {
                smoothing
            } else {
                0
            },
    );
    let sum = u128::from(total + smoothing * advertised_count);
    let usable = u128::from(left * (100 - RESERVE_PERCENT) / 100);
    (usable * weight).checked_div(sum).unwrap_or_default() as u64
}
