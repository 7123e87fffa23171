//! Selection of the instances that hold the record of an attempt.

use std::collections::{HashMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::sync::Arc;

use super::Attempt;

/// Number of instances that hold a record, besides the one that began the stream.
pub const COPIES: usize = 3;
/// The same in a large fleet, where few instances fail at the same time compared to its size.
pub const COPIES_IN_LARGE_FLEET: usize = 2;
/// Maximum number of instances that one look-up asks. In a smaller fleet it asks all of them.
pub const MAX_ASKED: usize = 12;
/// Instances asked beyond the number of copies, in each view of the members: the asking instance does not
/// know the one that began the stream, which is no holder of its own records, and an instance may have
/// joined since.
const SPARE: usize = 2;
/// Number of former views of the members that are kept.
const MAX_FORMER: usize = 3;
/// Age up to which a former view is kept, in milliseconds.
const FORMER_MS: u64 = 60_000;

/// An instance that may hold records.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Site {
    /// Address for messages of other instances.
    address: SocketAddr,
    /// Hash of the name.
    key: u64,
    /// Hash of the availability zone.
    zone: u64,
}

impl Site {
    /// Creates the site of an instance.
    pub fn new(name: &str, zone: &str, address: SocketAddr) -> Self {
        Self {
            address,
            key: hash(name),
            zone: hash(zone),
        }
    }
}

/// Equal on all instances of one program version.
fn hash(text: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    text.hash(&mut hasher);
    hasher.finish()
}

/// The instances that hold records, by the present and former views of the members.
///
/// Each attempt has an order of the instances, by rendezvous hashing with those of different availability
/// zones first. An instance that joins or leaves changes it by one place.
#[derive(Debug, Default)]
pub struct Holders {
    present: Arc<[Site]>,
    /// Former views with the time of the store's clock at which they were replaced.
    former: VecDeque<(u64, Arc<[Site]>)>,
    copies: usize,
}

impl Holders {
    /// Replaces the view of the members by one that was read at `now_ms` of the store's clock.
    pub fn update(&mut self, sites: Vec<Site>, copies: usize, now_ms: u64) {
        self.copies = copies;
        let is_old = |at_ms: u64| now_ms.saturating_sub(at_ms) >= FORMER_MS;
        self.former.retain(|(at_ms, _)| !is_old(*at_ms));
        if *self.present == *sites {
            return;
        }
        let former = std::mem::replace(&mut self.present, sites.into());
        if former.is_empty() {
            return;
        }
        self.former.push_front((now_ms, former));
        self.former.truncate(MAX_FORMER);
    }

    /// Returns `true` if this instance knows the members of the fleet.
    pub fn is_known(&self) -> bool {
        !self.present.is_empty()
    }

    /// Returns the instances other than `own` that hold the record of an attempt.
    pub fn of(&self, attempt: Attempt, own: Option<SocketAddr>) -> Vec<SocketAddr> {
        let order = order(&self.present, attempt).into_iter();
        let others = order.filter(|address| Some(*address) != own);
        others.take(self.copies).collect()
    }

    /// Returns the instances other than `own` that may hold the record of an attempt.
    pub fn candidates(&self, attempt: Attempt, own: Option<SocketAddr>) -> Vec<SocketAddr> {
        let mut asked = Vec::new();
        let views = std::iter::once(&self.present);
        let views = views.chain(self.former.iter().map(|(_, view)| view));
        for view in views {
            let most = match view.len() <= MAX_ASKED + 1 {
                true => MAX_ASKED,
                false => self.copies + SPARE,
            };
            let order = order(view, attempt).into_iter();
            for address in order.filter(|address| Some(*address) != own).take(most) {
                if !asked.contains(&address) {
                    asked.push(address);
                }
            }
        }
        asked.truncate(MAX_ASKED);
        asked
    }
}

/// Returns all sites in the order in which they hold the record of an attempt.
fn order(sites: &[Site], attempt: Attempt) -> Vec<SocketAddr> {
    let mut ranked: Vec<(u64, &Site)> = sites
        .iter()
        .map(|site| (mix(attempt.number() ^ site.key), site))
        .collect();
    ranked.sort_unstable_by_key(|(score, site)| (*score, site.key));
    let mut counts: HashMap<u64, usize> = HashMap::new();
    let mut placed: Vec<(usize, SocketAddr)> = Vec::with_capacity(ranked.len());
    for (_, site) in ranked {
        let count = counts.entry(site.zone).or_default();
        placed.push((*count, site.address));
        *count += 1;
    }
    // Stable, so that sites of the same place within their zones keep their order.
    placed.sort_by_key(|(place, _)| *place);
    placed.into_iter().map(|(_, address)| address).collect()
}

/// The finalizer of SplitMix64, which spreads each bit of its input over all bits.
fn mix(mut value: u64) -> u64 {
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
