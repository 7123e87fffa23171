//! Membership of the fleet, and the instance addresses advertised to callers.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::quota::era;
use crate::quota::row::Usage;
use crate::relay::{MAX_ALL_READERS, READERS};

/// Heartbeat of an instance, as written to the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Address for callers.
    pub address: SocketAddr,
    /// Address for messages of other instances, if it accepts them.
    pub peer: Option<SocketAddr>,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Traffic capacity relative to other instances, in thousandths of a core with a link to match.
    pub weight: u32,
    /// Requests of callers that it accepts per second; those refused before a server is picked are
    /// not counted.
    pub requests_per_s: u32,
    /// Its usage of the prepaid accounts.
    pub usage: Vec<Usage>,
    /// When it wrote this heartbeat, in milliseconds of the store's clock; 0 once it has left.
    pub heartbeat_at_ms: u64,
    /// Until when it is unready because callers overloaded it, in milliseconds of the store's
    /// clock; see [`crate::admission`].
    pub unready_until_ms: u64,
    /// Era of the store in which it has confirmed its grants; see [`crate::quota::era`].
    pub era: u32,
    /// Whether it knew its grants when it started.
    pub knows_grants: bool,
}

/// Encoded defaults of the last two fields, which the previous program version does not write:
/// `era` 0 and `knows_grants` true.
const LEGACY_DEFAULTS: [u8; 2] = [0, 1];

/// Age of its last heartbeat, in milliseconds, from which a member counts as failed and its grants
/// as spent. Longer in large fleets, which send heartbeats less often; see
/// [`Directory::set_member_timeout`].
pub const MEMBER_TIMEOUT_MS: u64 = 3_500;
/// Age of its last heartbeat, in milliseconds, from which a member is no longer advertised. Longer
/// than [`MEMBER_TIMEOUT_MS`]: an instance without a connection to the store still serves requests,
/// with tokens that no other instance holds.
const ADVERTISED_TIMEOUT_MS: u64 = 6_000;
/// Weight, in thousandths of a core, per request a second: a request takes about 0.9 ms of
/// processor time, and half of the processor is left free.
const WEIGHT_PER_REQUEST: u32 = 2;
/// Ratio of the advertised instances' capacity to the present traffic, to absorb bursts and the
/// loss of some instances.
const HEADROOM_FACTOR: u32 = 2;
/// An instance whose weight is below the highest weight divided by this is not advertised just to
/// represent its zone: a narrow link that receives an equal share of the callers would delay all of
/// them.
const WEAK_DIVISOR: u32 = 3;
/// One instance in this many is advertised even without traffic, so that a sudden rise finds
/// instances that hold tokens.
const MIN_ADVERTISED_DIVISOR: usize = 6;
/// One instance in this many of an availability zone may be unready.
const MAX_UNREADY_DIVISOR: usize = 3;
/// Maximum number of addresses in a response.
const MAX_ADDRESSES: usize = 64;

/// Members of the fleet as of the last read.
#[derive(Debug, Default)]
pub struct Directory {
    members: BTreeMap<Arc<str>, Member>,
    read_at_ms: u64,
    member_timeout_ms: u64,
    era: u32,
}

impl Directory {
    /// Returns `true` once the members have been read.
    pub fn is_loaded(&self) -> bool {
        self.read_at_ms > 0
    }

    /// Sets the age of the last heartbeat from which a member counts as failed, in milliseconds.
    pub fn set_member_timeout(&mut self, timeout_ms: u64) {
        self.member_timeout_ms = timeout_ms;
    }

    /// Age of the last heartbeat from which a member counts as failed, in milliseconds.
    pub fn member_timeout_ms(&self) -> u64 {
        self.member_timeout_ms.max(MEMBER_TIMEOUT_MS)
    }

    /// Replaces the members with those read at `now_ms` of the store's clock.
    pub fn replace(&mut self, members: BTreeMap<Arc<str>, Member>, now_ms: u64) {
        self.members = members;
        self.read_at_ms = now_ms;
    }

    /// Replaces the members with those read in an era of the store. The first read of an era
    /// returns a backup that is some seconds old; known newer heartbeats are kept, or most
    /// instances would count as failed until their next one.
    pub fn replace_in_era(
        &mut self,
        era: u32,
        mut members: BTreeMap<Arc<str>, Member>,
        now_ms: u64,
    ) {
        if self.era < era {
            self.era = era;
            let known = std::mem::take(&mut self.members);
            for (name, member) in known {
                let listed = members.get(&name);
                if listed.is_none_or(|listed| listed.heartbeat_at_ms < member.heartbeat_at_ms) {
                    members.insert(name, member);
                }
            }
        }
        self.replace(members, now_ms);
    }

    /// Returns the grant status of the instances. Instances without a recent heartbeat are included
    /// only if they were alive when the backup was made from which the store was restored: one that
    /// had failed before cannot have drawn tokens since.
    pub fn statuses(&self) -> Vec<era::Status> {
        let live: BTreeSet<&Arc<str>> = self.live().map(|(name, _)| name).collect();
        let former = self.members.values().filter(|member| member.era < self.era);
        let backup_ms = former
            .map(|member| member.heartbeat_at_ms)
            .max()
            .unwrap_or_default();
        let mut statuses = Vec::new();
        for (name, member) in &self.members {
            let is_live = live.contains(name);
            let is_former = member.heartbeat_at_ms > 0 && member.era < self.era;
            let was_live =
                is_former && member.heartbeat_at_ms + self.member_timeout_ms() >= backup_ms;
            if !(is_live || was_live) {
                continue;
            }
            statuses.push(era::Status {
                holder: name.clone(),
                era: member.era,
                knows_grants: member.knows_grants,
                is_live,
            });
        }
        statuses
    }

    /// Returns the members with a recent heartbeat as of the last read.
    ///
    /// During a store outage the result does not change, since no newer heartbeats can be read.
    pub fn live(&self) -> impl Iterator<Item = (&Arc<str>, &Member)> {
        let now_ms = self.read_at_ms;
        let timeout_ms = self.member_timeout_ms();
        self.members.iter().filter(move |(_, member)| {
            member.heartbeat_at_ms > 0 && now_ms < member.heartbeat_at_ms + timeout_ms
        })
    }

    /// Number of live members, at least 1.
    pub fn count(&self) -> usize {
        self.live().count().max(1)
    }

    /// Returns `true` if an instance may be unready: it is not advertised, its availability zone
    /// has an instance that is, and at most a third of the zone's instances would be unready. If
    /// half of them are, callers ignore readiness and use all of them; since heartbeats are late,
    /// the limit is lower.
    pub fn can_spare(&self, name: &str) -> bool {
        let Some(own) = self.members.get(name) else {
            return false;
        };
        let advertised = self.advertised();
        let has_other = advertised.iter().any(|(_, member)| member.zone == own.zone);
        let others: Vec<&Member> = self
            .live()
            .filter(|(other, member)| &***other != name && member.zone == own.zone)
            .map(|(_, member)| member)
            .collect();
        let now_ms = self.read_at_ms;
        let unready = others
            .iter()
            .filter(|member| now_ms < member.unready_until_ms);
        let is_within_limit = (unready.count() + 1) * MAX_UNREADY_DIVISOR <= others.len() + 1;
        !self.is_advertised(name) && has_other && is_within_limit
    }

    /// Returns `true` if an instance is advertised to callers.
    pub fn is_advertised(&self, name: &str) -> bool {
        self.advertised()
            .iter()
            .any(|(advertised, _)| &***advertised == name)
    }

    /// Returns `true` if the other advertised instances have spare capacity.
    pub fn has_capacity_beside(&self, name: &str) -> bool {
        let advertised = self.advertised();
        let others = advertised.iter().filter(|(other, _)| &***other != name);
        let (mut requests, mut capacity) = (0, 0);
        for (_, member) in others {
            requests += member.requests_per_s;
            capacity += member.capacity();
        }
        requests < capacity
    }

    /// Returns the readers of an availability zone (see [`crate::relay`]): the instances with the
    /// highest weights, with ties broken the same way on all instances. Empty if all instances are
    /// readers.
    pub fn readers(&self, zone: &str) -> Vec<&Arc<str>> {
        let mut members = self.live_in_zone(zone);
        if members.len() <= MAX_ALL_READERS {
            return Vec::new();
        }
        members.sort_by_key(|(name, member)| (Reverse(member.weight), name_hash(name)));
        let first = members.into_iter().take(READERS);
        first.map(|(name, _)| name).collect()
    }

    /// Returns `true` if an instance is a reader.
    pub fn is_reader(&self, name: &str) -> bool {
        let Some(own) = self.members.get(name) else {
            return true;
        };
        let readers = self.readers(&own.zone);
        readers.is_empty() || readers.iter().any(|reader| &***reader == name)
    }

    /// Returns the addresses of an availability zone's followers.
    pub fn followers(&self, zone: &str) -> Vec<SocketAddr> {
        let readers = self.readers(zone);
        if readers.is_empty() {
            return Vec::new();
        }
        let members = self.live_in_zone(zone).into_iter();
        let others = members.filter(|(name, _)| !readers.contains(name));
        others.filter_map(|(_, member)| member.peer).collect()
    }

    fn live_in_zone(&self, zone: &str) -> Vec<(&Arc<str>, &Member)> {
        let members = self.live();
        members
            .filter(|(_, member)| &*member.zone == zone)
            .collect()
    }

    /// Returns the address at which an instance accepts messages of others.
    pub fn peer_address(&self, name: &str) -> Option<SocketAddr> {
        self.members.get(name)?.peer
    }

    /// Remaining time for which an instance's own row declares it unready, in milliseconds.
    pub fn unready_left_ms(&self, name: &str) -> u64 {
        let own = self.members.get(name);
        own.map_or(0, |own| {
            own.unready_until_ms.saturating_sub(self.read_at_ms)
        })
    }

    /// Returns the addresses for a caller, at most 64: those of the advertised instances, or `own`
    /// if there are none. The random number selects among more than 64.
    pub fn addresses(&self, own: Option<SocketAddr>, random: u64) -> Vec<SocketAddr> {
        let advertised = self.advertised();
        let mut addresses: Vec<SocketAddr> = advertised
            .iter()
            .map(|(_, member)| member.address)
            .collect();
        if let Some(own) = own.filter(|_| addresses.is_empty()) {
            addresses.push(own);
        }
        if addresses.len() > MAX_ADDRESSES {
            let start = random as usize % addresses.len();
            addresses.rotate_left(start);
            addresses.truncate(MAX_ADDRESSES);
        }
        addresses
    }

    /// Returns the instances advertised to callers: as many as the traffic requires, and one in
    /// each availability zone that has one of sufficient weight.
    ///
    /// Prepaid tokens are divided among the instances that receive requests. With more of them than
    /// the traffic requires, the share of each covers only a few requests, and requests are
    /// rejected although the account has tokens at other instances. All instances select the same
    /// ones, since they read the same rows.
    pub fn advertised(&self) -> Vec<(&Arc<str>, &Member)> {
        let mut known: Vec<(&Arc<str>, &Member)> = self
            .members
            .iter()
            .filter(|(_, member)| member.heartbeat_at_ms > 0)
            .filter(|(_, member)| self.read_at_ms < member.heartbeat_at_ms + ADVERTISED_TIMEOUT_MS)
            .collect();
        let now_ms = self.read_at_ms;
        known.sort_by_key(|(name, member)| {
            let is_unready = now_ms < member.unready_until_ms;
            (is_unready, Reverse(member.weight), name_hash(name))
        });
        let requests: u32 = known.iter().map(|(_, member)| member.requests_per_s).sum();
        let required = requests * HEADROOM_FACTOR;
        let min_count = known.len() / MIN_ADVERTISED_DIVISOR;
        let weights = known.iter().map(|(_, member)| member.weight);
        let highest = weights.max().unwrap_or(0);
        let mut zones: Vec<&Arc<str>> = Vec::new();
        let mut selected = Vec::new();
        let mut rest = Vec::new();
        for (name, member) in known {
            let is_strong = member.weight >= highest / WEAK_DIVISOR;
            if zones.contains(&&member.zone) || !is_strong {
                rest.push((name, member));
            } else {
                zones.push(&member.zone);
                selected.push((name, member));
            }
        }
        let mut capacity: u32 = selected.iter().map(|(_, member)| member.capacity()).sum();
        for (name, member) in rest {
            let is_strong = member.weight >= highest / WEAK_DIVISOR;
            if capacity >= required && (selected.len() >= min_count || !is_strong) {
                break;
            }
            capacity += member.capacity();
            selected.push((name, member));
        }
        selected
    }
}

impl Member {
    /// Encodes the row. The previous program version ignores trailing fields that it does not know.
    pub fn encode(&self) -> Vec<u8> {
        // Fails only for types that cannot be serialized at all.
        postcard::to_extend(self, Vec::new()).unwrap_or_default()
    }

    /// Decodes a row, including one of the previous program version.
    ///
    /// # Errors
    ///
    /// Returns the decoder's error.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        postcard::from_bytes(bytes)
            .or_else(|_| postcard::from_bytes(&[bytes, LEGACY_DEFAULTS.as_slice()].concat()))
    }

    /// Capacity in requests per second.
    fn capacity(&self) -> u32 {
        (self.weight / WEIGHT_PER_REQUEST).max(1)
    }
}

/// Hash of an instance's name; equal on all instances.
fn name_hash(name: &str) -> u64 {
    let mut hasher = std::hash::DefaultHasher::new();
    std::hash::Hash::hash(name, &mut hasher);
    std::hash::Hasher::finish(&hasher)
}
