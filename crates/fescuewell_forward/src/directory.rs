//! Membership of the fleet, and the instance addresses advertised to callers.

mod member;
mod selection;
pub mod summary;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

pub use member::{MAX_MISSED_HEARTBEATS, Member};
use selection::{Members, Selection, WEAK_DIVISOR, rank, sender};
use summary::Summary;

use crate::hop::Peer;
use crate::quota::era;
use crate::stream::{COPIES, COPIES_IN_LARGE_FLEET, Holders, Site};

/// Age of its last heartbeat, in milliseconds, from which a member counts as failed and its grants
/// as spent. Longer in large fleets, which send heartbeats less often; see
/// [`Directory::set_member_timeout`].
pub const MEMBER_TIMEOUT_MS: u64 = 3_500;
/// One instance in this many of an availability zone may be unready.
const MAX_UNREADY_DIVISOR: usize = 3;
/// Shortest time in which callers move from an instance that becomes unready to the next one, in
/// milliseconds: two readiness checks.
const MIN_MOVE_MS: u64 = 2_000;
/// Maximum number of addresses in a response.
const MAX_ADDRESSES: usize = 64;

/// Number of instances that read the server list in a large fleet; one may fail at any time.
const PRIMARY_READERS: usize = 2;

/// How an instance learns of changes of the server list; see [`crate::relay`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// It reads them from the store.
    Primary,
    /// It receives them from the primary readers and forwards them in its availability zone.
    Relay,
    /// It receives them from the readers of its availability zone.
    Follower,
}

/// Members of the fleet as of the last read.
#[derive(Debug, Default)]
pub struct Directory {
    members: Members,
    selection: Selection,
    /// Instances that hold the records of streams; unknown if only a summary of the members is.
    holders: Holders,
    /// Number of live members according to a summary; 0 if all members are known.
    summary_count: usize,
    read_at_ms: u64,
    member_timeout_ms: u64,
    era: u32,
}

impl Directory {
    /// Returns `true` once the members have been read.
    pub fn is_loaded(&self) -> bool {
        self.read_at_ms > 0
    }

    /// Time of the last read, in milliseconds of the store's clock.
    pub fn read_at_ms(&self) -> u64 {
        self.read_at_ms
    }

    /// Sets the age of the last heartbeat from which a member counts as failed, in milliseconds.
    pub fn set_member_timeout(&mut self, timeout_ms: u64) {
        let former_ms = self.member_timeout_ms();
        self.member_timeout_ms = timeout_ms;
        if self.summary_count == 0 && self.member_timeout_ms() != former_ms {
            self.select();
        }
    }

    /// Age of the last heartbeat from which a member counts as failed, in milliseconds.
    pub fn member_timeout_ms(&self) -> u64 {
        self.member_timeout_ms.max(MEMBER_TIMEOUT_MS)
    }

    /// Replaces the members with those read at `now_ms` of the store's clock.
    pub fn replace(&mut self, members: BTreeMap<Arc<str>, Member>, now_ms: u64) {
        self.members = members;
        self.read_at_ms = now_ms;
        self.summary_count = 0;
        self.select();
    }

    fn select(&mut self) {
        self.selection = Selection::new(&self.members, self.read_at_ms, self.member_timeout_ms());
        let live = self.with_members(&self.selection.live);
        let sites =
            live.filter_map(|(name, member)| Some(Site::new(name, &member.zone, member.peer?)));
        let sites = sites.collect();
        let copies = match self.is_large() {
            true => COPIES_IN_LARGE_FLEET,
            false => COPIES,
        };
        self.holders.update(sites, copies, self.read_at_ms);
    }

    /// Returns the instances that hold the records of streams, or `None` if only a summary of the members
    /// is known.
    pub fn holders(&self) -> Option<&Holders> {
        (self.summary_count == 0).then_some(&self.holders)
    }

    /// Replaces the members with those of a summary.
    pub fn apply_summary(&mut self, summary: Summary) {
        self.read_at_ms = summary.at_ms;
        self.summary_count = summary.count as usize;
        self.selection = Selection {
            live: summary.members.keys().cloned().collect(),
            advertised: summary.advertised,
            readers: summary.readers,
            peers: summary
                .members
                .values()
                .filter_map(|member| member.peer)
                .collect(),
            senders: summary.members.values().filter_map(sender).collect(),
        };
        self.members = summary.members;
    }

    /// Returns the summary of all members, or `None` if this instance does not know all of them.
    pub fn summarize(&self) -> Option<Summary> {
        if self.summary_count > 0 || !self.is_loaded() {
            return None;
        }
        let advertised = self.selection.advertised.iter();
        let advertised: Vec<Arc<str>> = advertised.take(summary::MAX_ADVERTISED).cloned().collect();
        let readers = self.selection.readers.values().flatten();
        let mut members = BTreeMap::new();
        for name in advertised.iter().chain(readers) {
            let Some(member) = self.members.get(name) else {
                continue;
            };
            let member = Member {
                usage: Vec::new(),
                ..member.clone()
            };
            members.insert(name.clone(), member);
        }
        Some(Summary {
            at_ms: self.read_at_ms,
            count: self.selection.live.len() as u32,
            advertised,
            readers: self.selection.readers.clone(),
            members,
        })
    }

    /// Returns `true` if only a summary of the members is known.
    pub fn is_summary(&self) -> bool {
        self.summary_count > 0
    }

    /// Returns `true` if the fleet is so large that most instances know only a summary.
    pub fn is_large(&self) -> bool {
        self.count() >= summary::MIN_MEMBERS
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

    /// Returns the members with a recent heartbeat as of the last read, or those in the summary.
    ///
    /// During a store outage the result does not change, since no newer heartbeats can be read.
    pub fn live(&self) -> impl Iterator<Item = (&Arc<str>, &Member)> {
        self.with_members(&self.selection.live)
    }

    fn with_members<'a>(
        &'a self,
        names: &'a [Arc<str>],
    ) -> impl Iterator<Item = (&'a Arc<str>, &'a Member)> {
        let members = names.iter();
        members.filter_map(|name| self.members.get_key_value(name))
    }

    /// Number of live members, at least 1.
    pub fn count(&self) -> usize {
        self.summary_count.max(self.selection.live.len()).max(1)
    }

    /// Returns the addresses of the live members for messages.
    pub fn peers(&self) -> &[SocketAddr] {
        &self.selection.peers
    }

    /// Returns the live instances that can send requests for others, with their weights. In a large
    /// fleet only those of the summary are known.
    pub fn senders(&self) -> &[Peer] {
        &self.selection.senders
    }

    /// Returns `true` if an instance may be unready: it is not advertised, its availability zone
    /// has an instance that is, at most a third of the zone's instances would be unready, and it is
    /// not a strong one in a zone with ready weak ones. If half of them are unready, callers ignore
    /// readiness and use all of them; since heartbeats are late, the limit is lower.
    pub fn can_spare(&self, name: &str) -> bool {
        self.further_unready(name).is_some()
    }

    /// Returns how long after the last read an instance may become unready, in milliseconds; 0 if
    /// it may not. `heartbeats_ms` is the time for which the read heartbeats count as recent.
    ///
    /// Without newer heartbeats the others may have become unready too. Where callers can move to
    /// a stronger instance, one of them is assumed to have done so in each [`MIN_MOVE_MS`], so
    /// that an instance that is cut off from the store does not have to keep callers that it
    /// cannot serve.
    pub fn spare_ms(&self, name: &str, heartbeats_ms: u64) -> u64 {
        let Some(further) = self.further_unready(name) else {
            return 0;
        };
        match self.has_stronger_peer(name) {
            true => heartbeats_ms.max(further as u64 * MIN_MOVE_MS),
            false => heartbeats_ms,
        }
    }

    /// Returns how many instances of the availability zone may become unready in addition to this
    /// one, or `None` if this one may not.
    fn further_unready(&self, name: &str) -> Option<usize> {
        let own = self.members.get(name)?;
        let advertised = self.advertised();
        let has_other = advertised.iter().any(|(_, member)| member.zone == own.zone);
        if self.is_advertised(name) || !has_other || self.is_stronger_than_ready(own) {
            return None;
        }
        let (others, unready_others) = self.zone_peers(name);
        ((others + 1) / MAX_UNREADY_DIVISOR).checked_sub(unready_others + 1)
    }

    /// Returns `true` if an instance is strong and its availability zone has a ready weak one, to
    /// which its callers would move.
    fn is_stronger_than_ready(&self, own: &Member) -> bool {
        let zone = self.live().filter(|(_, member)| member.zone == own.zone);
        let zone: Vec<&Member> = zone.map(|(_, member)| member).collect();
        let highest = zone.iter().map(|member| member.weight).max();
        let is_weak = |member: &Member| member.weight < highest.unwrap_or(0) / WEAK_DIVISOR;
        let mut ready = zone
            .iter()
            .filter(|member| self.read_at_ms >= member.unready_until_ms);
        !is_weak(own) && ready.any(|member| is_weak(member))
    }

    /// Returns the number of other live instances in the availability zone of an instance, and how
    /// many of them are unready.
    pub fn zone_peers(&self, name: &str) -> (usize, usize) {
        let Some(own) = self.members.get(name) else {
            return (0, 0);
        };
        let zone = self.live().filter(|(_, member)| member.zone == own.zone);
        let (mut count, mut unready) = (0, 0);
        for (_, member) in zone.filter(|(other, _)| &***other != name) {
            count += 1;
            unready += usize::from(self.read_at_ms < member.unready_until_ms);
        }
        (count, unready)
    }

    /// Returns `true` if the availability zone has an instance that is so much stronger that it can
    /// take callers that overload this one.
    pub fn has_stronger_peer(&self, name: &str) -> bool {
        let Some(own) = self.members.get(name) else {
            return false;
        };
        let mut zone = self.live().filter(|(_, member)| member.zone == own.zone);
        zone.any(|(_, member)| own.weight < member.weight / WEAK_DIVISOR)
    }

    /// Returns `true` if an instance is advertised to callers.
    pub fn is_advertised(&self, name: &str) -> bool {
        let advertised = &self.selection.advertised;
        advertised.iter().any(|advertised| **advertised == *name)
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

    /// Returns the readers of an availability zone (see [`crate::relay`]). Empty if all instances
    /// are readers.
    pub fn readers(&self, zone: &str) -> &[Arc<str>] {
        let readers = self.selection.readers.get(zone);
        readers.map_or(&[], Vec::as_slice)
    }

    /// Returns the role of an instance. In a large fleet two of all readers are primary, otherwise
    /// each of them.
    pub fn role(&self, name: &str, zone: &str) -> Role {
        let readers = self.readers(zone);
        if readers.is_empty() {
            return Role::Primary;
        }
        if !readers.iter().any(|reader| **reader == *name) {
            return Role::Follower;
        }
        let primary = self.primary_readers();
        let is_primary = primary.iter().any(|primary| ***primary == *name);
        match self.is_large() && !is_primary {
            true => Role::Relay,
            false => Role::Primary,
        }
    }

    fn primary_readers(&self) -> Vec<&Arc<str>> {
        let readers = self.selection.readers.values().flatten();
        let readers = readers.filter_map(|name| self.members.get_key_value(name));
        let mut readers: Vec<(&Arc<str>, &Member)> = readers.collect();
        readers.sort_by_cached_key(|(name, member)| rank(name, member));
        let first = readers.into_iter().take(PRIMARY_READERS);
        first.map(|(name, _)| name).collect()
    }

    /// Returns the addresses to which a reader sends or forwards digests and changes of the
    /// configuration: the other instances of its availability zone, and from a primary reader of a
    /// large fleet the relays of all zones. Empty for a follower, which reads for itself only.
    ///
    /// A member without recent heartbeats is among them for a while: it may be running without a
    /// connection to the store, and has no other source then.
    pub fn digest_receivers(&self, name: &str, zone: &str) -> Vec<SocketAddr> {
        let readers = self.readers(zone);
        let role = self.role(name, zone);
        if readers.is_empty() || role == Role::Follower {
            return Vec::new();
        }
        let mut receivers = Vec::new();
        for (other, member) in &self.members {
            let is_informed = member.is_informed(self.read_at_ms, self.member_timeout_ms());
            if is_informed && *member.zone == *zone && !readers.contains(other) {
                receivers.extend(member.peer);
            }
        }
        if self.is_large() && role == Role::Primary {
            receivers.extend(self.relays().filter_map(|(_, member)| member.peer));
        }
        receivers
    }

    fn relays(&self) -> impl Iterator<Item = (&Arc<str>, &Member)> {
        let primary = self.primary_readers();
        let readers = self.selection.readers.values().flatten();
        let relays = readers.filter(move |name| !primary.contains(name));
        relays.filter_map(|name| self.members.get_key_value(name))
    }

    /// Returns the addresses from which an instance requests snapshots: the readers of its zone, the
    /// primary readers if it is a relay, none if it reads the store itself.
    pub fn snapshot_sources(&self, name: &str, zone: &str) -> Vec<SocketAddr> {
        let sources: Vec<&Arc<str>> = match self.role(name, zone) {
            Role::Primary => Vec::new(),
            Role::Relay => self.primary_readers(),
            Role::Follower => self.readers(zone).iter().collect(),
        };
        let sources = sources.into_iter();
        sources.filter_map(|name| self.peer_address(name)).collect()
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

    /// Returns the instances advertised to callers. All instances select the same ones, since they
    /// read the same rows.
    pub fn advertised(&self) -> Vec<(&Arc<str>, &Member)> {
        self.with_members(&self.selection.advertised).collect()
    }
}
