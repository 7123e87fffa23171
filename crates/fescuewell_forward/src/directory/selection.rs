//! Selection of the instances that callers are sent to and of those that read the server list.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use super::Member;
use super::summary::MIN_MEMBERS;
use crate::hop::Peer;
use crate::relay::{MAX_ALL_READERS, READERS};

/// Ratio of the advertised instances' capacity to the present traffic, to absorb bursts and the
/// loss of some instances.
const HEADROOM_FACTOR: u32 = 2;
/// An instance whose weight is below the highest weight divided by this is not advertised just to
/// represent its zone: a narrow link that receives an equal share of the callers would delay all of
/// them.
pub(super) const WEAK_DIVISOR: u32 = 3;
/// One instance in this many is advertised even without traffic, so that a sudden rise finds
/// instances that hold tokens.
const MIN_ADVERTISED_DIVISOR: usize = 6;
/// Number of instances per availability zone that is enough for that in a large fleet. Tokens must
/// not be divided among more instances the larger the fleet is.
const MIN_ADVERTISED_PER_ZONE: usize = 2;

/// Members by name.
pub(super) type Members = BTreeMap<Arc<str>, Member>;

/// What follows from the members as of one read. Computed once per read, since it is used for each
/// request and message.
#[derive(Debug, Default)]
pub(super) struct Selection {
    /// Members with a recent heartbeat.
    pub(super) live: Vec<Arc<str>>,
    /// Members that callers are sent to.
    pub(super) advertised: Vec<Arc<str>>,
    /// Readers of each availability zone in which not all instances are readers.
    pub(super) readers: BTreeMap<Arc<str>, Vec<Arc<str>>>,
    /// Addresses of the live members for messages.
    pub(super) peers: Vec<SocketAddr>,
    /// The same instances, with their weights.
    pub(super) senders: Vec<Peer>,
}

/// Returns an instance that can send requests for others.
pub(super) fn sender(member: &Member) -> Option<Peer> {
    Some(Peer {
        address: member.peer?,
        weight: member.weight,
    })
}

impl Selection {
    pub(super) fn new(members: &Members, now_ms: u64, timeout_ms: u64) -> Self {
        let live = members.iter();
        let live: Vec<(&Arc<str>, &Member)> = live
            .filter(|(_, member)| member.is_live(now_ms, timeout_ms))
            .collect();
        Self {
            advertised: advertised(members, now_ms),
            readers: readers(&live),
            peers: live.iter().filter_map(|(_, member)| member.peer).collect(),
            senders: live
                .iter()
                .filter_map(|(_, member)| sender(member))
                .collect(),
            live: live.into_iter().map(|(name, _)| name.clone()).collect(),
        }
    }
}

/// Selects as many instances as the traffic requires, and one in each availability zone that has
/// one of sufficient weight.
///
/// Prepaid tokens are divided among the instances that receive requests. With more of them than
/// the traffic requires, the share of each covers only a few requests, and requests are rejected
/// although the account has tokens at other instances.
fn advertised(members: &Members, now_ms: u64) -> Vec<Arc<str>> {
    let known = members.iter();
    let known = known.filter(|(_, member)| member.may_be_advertised(now_ms));
    let mut known: Vec<(&Arc<str>, &Member)> = known.collect();
    known.sort_by_cached_key(|(name, member)| {
        let is_unready = now_ms < member.unready_until_ms;
        (is_unready, rank(name, member))
    });
    let requests: u32 = known.iter().map(|(_, member)| member.requests_per_s).sum();
    let required = requests * HEADROOM_FACTOR;
    let min_count = min_count(&known);
    let highest = known.iter().map(|(_, member)| member.weight).max();
    let is_strong = |member: &Member| member.weight >= highest.unwrap_or(0) / WEAK_DIVISOR;
    let mut zones: Vec<&Arc<str>> = Vec::new();
    let mut selected = Vec::new();
    let mut rest = Vec::new();
    for (name, member) in known {
        if zones.contains(&&member.zone) || !is_strong(member) {
            rest.push((name, member));
        } else {
            zones.push(&member.zone);
            selected.push((name, member));
        }
    }
    let mut capacity: u32 = selected.iter().map(|(_, member)| member.capacity()).sum();
    for (name, member) in rest {
        if capacity >= required && (selected.len() >= min_count || !is_strong(member)) {
            break;
        }
        capacity += member.capacity();
        selected.push((name, member));
    }
    selected.into_iter().map(|(name, _)| name.clone()).collect()
}

/// Returns the number of strong instances to advertise even without traffic.
fn min_count(known: &[(&Arc<str>, &Member)]) -> usize {
    let part = known.len() / MIN_ADVERTISED_DIVISOR;
    if known.len() < MIN_MEMBERS {
        return part;
    }
    let zones: BTreeSet<&Arc<str>> = known.iter().map(|(_, member)| &member.zone).collect();
    part.min(zones.len() * MIN_ADVERTISED_PER_ZONE)
}

/// Selects the readers of each availability zone: the instances with the highest weights, with ties
/// broken the same way on all instances.
fn readers(live: &[(&Arc<str>, &Member)]) -> BTreeMap<Arc<str>, Vec<Arc<str>>> {
    let mut zones: BTreeMap<&Arc<str>, Vec<(&Arc<str>, &Member)>> = BTreeMap::new();
    for (name, member) in live {
        zones.entry(&member.zone).or_default().push((name, member));
    }
    let mut readers = BTreeMap::new();
    for (zone, mut members) in zones {
        if members.len() <= MAX_ALL_READERS {
            continue;
        }
        members.sort_by_cached_key(|(name, member)| rank(name, member));
        let first = members.into_iter().take(READERS);
        readers.insert(zone.clone(), first.map(|(name, _)| name.clone()).collect());
    }
    readers
}

/// Order of the instances for duties: by weight, then by a hash of the name.
pub(super) fn rank(name: &str, member: &Member) -> (Reverse<u32>, u64) {
    let mut hasher = std::hash::DefaultHasher::new();
    std::hash::Hash::hash(name, &mut hasher);
    (Reverse(member.weight), std::hash::Hasher::finish(&hasher))
}
