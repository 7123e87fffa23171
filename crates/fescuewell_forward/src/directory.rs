//! Which addresses callers are told to use.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::quota::era;
use crate::quota::row::Usage;
use crate::relay::{MOST_READING, READERS};

/// What an instance tells the others of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Address for callers.
    pub address: SocketAddr,
    /// Address for the other instances, if it takes their words.
    pub peer: Option<SocketAddr>,
    /// Availability zone.
    pub zone: Arc<str>,
    /// How much traffic it can carry against others, in thousandths of a core with a link to match.
    pub weight: u32,
    /// Requests a second that callers send it.
    pub requests: u32,
    /// Its use of the accounts that pay by tokens.
    pub usage: Vec<Usage>,
    /// When it wrote this, by the store's clock, in milliseconds; 0 once it has left.
    pub at_ms: u64,
    /// Until when it stays out because callers sent it too much, by the store's clock, in milliseconds; see
    /// [`crate::admission`].
    pub out_until_ms: u64,
    /// Era of the store in which it has confirmed its grants; see [`crate::quota::era`].
    pub era: u32,
    /// Whether it knew what it was granted when it started.
    pub is_certain: bool,
}

/// What the program version before did not write: era 0, and certain.
const NO_ERA: [u8; 2] = [0, 1];

/// Age of a member's last sign, in milliseconds, from which it counts as absent and its grants count as
/// spent. Large fleets sign less often than small ones; see [`Directory::set_lapse`].
pub const MEMBER_LAPSE_MS: u64 = 3_500;
/// Age of a member's last sign, in milliseconds, up to which callers are still sent to it. Longer than the other: an
/// instance that is cut from the store still serves, with tokens that nobody else has.
const NAMED_LAPSE_MS: u64 = 6_000;
/// Weight, in thousandths of a core, that one request a second takes with ease: a request costs about 0.9 ms of
/// processor time, half of which is left free.
const WEIGHT_EACH: u32 = 2;
/// Named instances carry so many times the present traffic, so that the loss of some of them, or a burst, finds room.
const HEADROOM: u32 = 2;
/// An instance with less than such a part of the strongest one's weight is not named for its zone's sake: a narrow link
/// that gets an equal share of the callers delays all of them.
const WEAKEST_PART: u32 = 3;
/// One instance in so many is named however low the traffic is, so that a sudden rise finds them with tokens.
const LEAST_PART: usize = 6;
/// One instance in so many of an availability zone may stay out.
const MOST_OUT_PART: usize = 3;
/// Most addresses in one answer.
const MOST: usize = 64;

/// The instances as last read.
#[derive(Debug, Default)]
pub struct Directory {
    members: BTreeMap<Arc<str>, Member>,
    read_at_ms: u64,
    lapse_ms: u64,
    era: u32,
}

impl Directory {
    /// Whether the list was ever read.
    pub fn is_read(&self) -> bool {
        self.read_at_ms > 0
    }

    /// Sets the age from which a member counts as absent, in milliseconds.
    pub fn set_lapse(&mut self, lapse_ms: u64) {
        self.lapse_ms = lapse_ms;
    }

    /// Age from which a member counts as absent, in milliseconds.
    pub fn lapse_ms(&self) -> u64 {
        self.lapse_ms.max(MEMBER_LAPSE_MS)
    }

    /// Takes the list as read at `now_ms` of the store's clock.
    pub fn replace(&mut self, members: BTreeMap<Arc<str>, Member>, now_ms: u64) {
        self.members = members;
        self.read_at_ms = now_ms;
    }

    /// Takes the list of an era of the store. The first one of an era is a copy some seconds old: signs that are known and newer count
    /// on, or most instances would seem to be gone until they have signed again.
    pub fn replace_in(&mut self, era: u32, mut members: BTreeMap<Arc<str>, Member>, now_ms: u64) {
        if self.era < era {
            self.era = era;
            let known = std::mem::take(&mut self.members);
            for (name, member) in known {
                let listed = members.get(&name);
                if listed.is_none_or(|listed| listed.at_ms < member.at_ms) {
                    members.insert(name, member);
                }
            }
        }
        self.replace(members, now_ms);
    }

    /// What all instances say of their grants. Those without a fresh sign count only if they lived when the copy was made from which the
    /// store has come back: whoever was gone by then can have drawn nothing since.
    pub fn signs(&self) -> Vec<era::Status> {
        let live: BTreeSet<&Arc<str>> = self.live().map(|(name, _)| name).collect();
        let former = self.members.values().filter(|member| member.era < self.era);
        let copied_ms = former.map(|member| member.at_ms).max().unwrap_or_default();
        let mut signs = Vec::new();
        for (name, member) in &self.members {
            let is_live = live.contains(name);
            let is_former = member.at_ms > 0 && member.era < self.era;
            let lived = is_former && member.at_ms + self.lapse_ms() >= copied_ms;
            if !(is_live || lived) {
                continue;
            }
            signs.push(era::Status {
                holder: name.clone(),
                era: member.era,
                knows_grants: member.is_certain,
                is_live,
            });
        }
        signs
    }

    /// The instances that gave a sign lately, as of the last reading.
    ///
    /// While the store cannot be reached nobody's sign gets newer; the list then stays as it was last read.
    pub fn live(&self) -> impl Iterator<Item = (&Arc<str>, &Member)> {
        let now = self.read_at_ms;
        let lapse = self.lapse_ms();
        self.members
            .iter()
            .filter(move |(_, member)| member.at_ms > 0 && now < member.at_ms + lapse)
    }

    /// Number of live instances, at least 1.
    pub fn count(&self) -> usize {
        self.live().count().max(1)
    }

    /// Whether an instance may stay out: callers are not sent to it, its availability zone has one to which they are, and
    /// no more than a third of the zone's instances would be out. Where half are not ready, readiness tells callers nothing
    /// any more: they then go on as if all were. Signs are late, so the bound is below a half.
    pub fn can_spare(&self, name: &str) -> bool {
        let Some(own) = self.members.get(name) else {
            return false;
        };
        let named = self.named();
        let has_other = named.iter().any(|(_, member)| member.zone == own.zone);
        let beside: Vec<&Member> = self
            .live()
            .filter(|(other, member)| &***other != name && member.zone == own.zone)
            .map(|(_, member)| member)
            .collect();
        let now = self.read_at_ms;
        let out = beside.iter().filter(|member| now < member.out_until_ms);
        let is_few = (out.count() + 1) * MOST_OUT_PART <= beside.len() + 1;
        !self.is_named(name) && has_other && is_few
    }

    /// Whether callers are sent to an instance.
    pub fn is_named(&self, name: &str) -> bool {
        self.named().iter().any(|(named, _)| &***named == name)
    }

    /// Returns `true` if the other instances that address answers name have spare capacity.
    pub fn has_capacity_beside(&self, name: &str) -> bool {
        let named = self.named();
        let others = named.iter().filter(|(other, _)| &***other != name);
        let (mut requests, mut carried) = (0, 0);
        for (_, member) in others {
            requests += member.requests;
            carried += member.carries();
        }
        requests < carried
    }

    /// The instances that read the list of backend servers for an availability zone, see [`crate::relay`]: the strongest, and
    /// of equals those that all instances agree on. Nothing where all read.
    pub fn readers(&self, zone: &str) -> Vec<&Arc<str>> {
        let mut members = self.zone(zone);
        if members.len() <= MOST_READING {
            return Vec::new();
        }
        members.sort_by_key(|(name, member)| (Reverse(member.weight), spread(name)));
        let first = members.into_iter().take(READERS);
        first.map(|(name, _)| name).collect()
    }

    /// Whether an instance reads the list of backend servers by itself.
    pub fn is_reader(&self, name: &str) -> bool {
        let Some(own) = self.members.get(name) else {
            return true;
        };
        let readers = self.readers(&own.zone);
        readers.is_empty() || readers.iter().any(|reader| &***reader == name)
    }

    /// Where those of an availability zone listen to whom readers tell what changed.
    pub fn followers(&self, zone: &str) -> Vec<SocketAddr> {
        let readers = self.readers(zone);
        if readers.is_empty() {
            return Vec::new();
        }
        let members = self.zone(zone).into_iter();
        let others = members.filter(|(name, _)| !readers.contains(name));
        others.filter_map(|(_, member)| member.peer).collect()
    }

    fn zone(&self, zone: &str) -> Vec<(&Arc<str>, &Member)> {
        let members = self.live();
        members
            .filter(|(_, member)| &*member.zone == zone)
            .collect()
    }

    /// Where an instance takes the words of others.
    pub fn peer(&self, name: &str) -> Option<SocketAddr> {
        self.members.get(name)?.peer
    }

    /// How much longer an instance stays out by its own row, in milliseconds.
    pub fn unready_left_ms(&self, name: &str) -> u64 {
        let own = self.members.get(name);
        own.map_or(0, |own| own.out_until_ms.saturating_sub(self.read_at_ms))
    }

    /// Addresses for a caller, at most 64: those of the named instances, or `own` where none is known.
    pub fn addresses(&self, own: Option<SocketAddr>, draw: u64) -> Vec<SocketAddr> {
        let named = self.named();
        let mut addresses: Vec<SocketAddr> =
            named.iter().map(|(_, member)| member.address).collect();
        if let Some(own) = own.filter(|_| addresses.is_empty()) {
            addresses.push(own);
        }
        if addresses.len() > MOST {
            let start = draw as usize % addresses.len();
            addresses.rotate_left(start);
            addresses.truncate(MOST);
        }
        addresses
    }

    /// The instances that callers are sent to: as many as the traffic needs, and one in each availability zone
    /// that has one to match the others.
    ///
    /// What is prepaid is divided among the instances that take requests. Spread over more of them than the traffic
    /// needs, the part of each covers only a few requests, and requests are refused although the account has
    /// tokens elsewhere. All instances choose the same ones, since they read the same rows.
    pub fn named(&self) -> Vec<(&Arc<str>, &Member)> {
        let mut known: Vec<(&Arc<str>, &Member)> = self
            .members
            .iter()
            .filter(|(_, member)| member.at_ms > 0)
            .filter(|(_, member)| self.read_at_ms < member.at_ms + NAMED_LAPSE_MS)
            .collect();
        let now = self.read_at_ms;
        known.sort_by_key(|(name, member)| {
            let is_out = now < member.out_until_ms;
            (is_out, Reverse(member.weight), spread(name))
        });
        let requests: u32 = known.iter().map(|(_, member)| member.requests).sum();
        let wanted = requests * HEADROOM;
        let least = known.len() / LEAST_PART;
        let weights = known.iter().map(|(_, member)| member.weight);
        let strongest = weights.max().unwrap_or(0);
        let mut zones: Vec<&Arc<str>> = Vec::new();
        let mut first = Vec::new();
        let mut rest = Vec::new();
        for (name, member) in known {
            let is_strong = member.weight >= strongest / WEAKEST_PART;
            if zones.contains(&&member.zone) || !is_strong {
                rest.push((name, member));
            } else {
                zones.push(&member.zone);
                first.push((name, member));
            }
        }
        let mut carried: u32 = first.iter().map(|(_, member)| member.carries()).sum();
        for (name, member) in rest {
            let is_strong = member.weight >= strongest / WEAKEST_PART;
            if carried >= wanted && (first.len() >= least || !is_strong) {
                break;
            }
            carried += member.carries();
            first.push((name, member));
        }
        first
    }
}

impl Member {
    /// The row's bytes; the program version before passes over what it does not know at their end.
    pub fn encode(&self) -> Vec<u8> {
        // Only a type that cannot be written at all fails here.
        postcard::to_extend(self, Vec::new()).unwrap_or_default()
    }

    /// Reads a row, also one of the program version before.
    ///
    /// # Errors
    ///
    /// What the decoder says of it.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        postcard::from_bytes(bytes)
            .or_else(|_| postcard::from_bytes(&[bytes, NO_ERA.as_slice()].concat()))
    }

    /// Requests a second that it carries with ease.
    fn carries(&self) -> u32 {
        (self.weight / WEIGHT_EACH).max(1)
    }
}

/// A number that spreads names evenly and is the same on all instances.
fn spread(name: &str) -> u64 {
    let mut hasher = std::hash::DefaultHasher::new();
    std::hash::Hash::hash(name, &mut hasher);
    std::hash::Hasher::finish(&hasher)
}
