//! Which instance should arbitrate which slot of request ids.
//!
//! Every instance computes the same wish from the same members; the epoch in the row `slot/{nn}`
//! decides who really holds a slot, so that instances whose views differ for a while only disagree
//! about wishes.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use fescuewell_core::prelude::*;

use crate::row::State;
use crate::view::{Peer, View};

/// Flaps after which the settling time no longer doubles.
const MOST_FLAPS: u32 = 4;
/// Time without a flap after which one is forgiven, in settling times.
const FORGIVEN_AFTER: u32 = 40;

fescuewell_core::data! {
    /// An instance that may hold slots.
    #[derive(PartialOrd, Ord)]
    pub struct Candidate {
        /// Name of the instance.
        pub instance: Arc<str>,
        /// Its availability zone.
        pub zone: Arc<str>,
    }

    /// The wanted owner of each slot, by slot number; none while there is no candidate.
    #[derive(Default)]
    pub struct Assignment {
        owners: Vec<Option<Arc<str>>>,
    }
}

impl Assignment {
    /// The wanted owner of `slot`.
    pub fn owner(&self, slot: SlotKey) -> Option<&Arc<str>> {
        self.owners.get(slot.0 as usize)?.as_ref()
    }

    /// The slots that `instance` should hold.
    pub fn slots_of(&self, instance: &str) -> Vec<SlotKey> {
        let owned = self.owners.iter().enumerate();
        let owned = owned.filter(|(_, owner)| owner.as_deref() == Some(instance));
        owned.map(|(slot, _)| SlotKey(slot as u16)).collect()
    }
}

/// Distributes `slots` over the candidates.
///
/// First over the zones in proportion to their candidates, then over the instances within each; in both
/// steps the pair with the highest hash goes first and nobody takes more than an equal share, rounded
/// up. The hash keeps most slots where they are when a candidate comes or goes; the share keeps a
/// single instance, or a zone, from holding many more than the others. The order of the candidates
/// does not matter.
pub fn assign(slots: u16, candidates: &[Candidate]) -> Assignment {
    let mut zones: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for candidate in candidates {
        let instances = zones.entry(&candidate.zone).or_default();
        instances.push(&candidate.instance);
    }
    let mut owners = vec![None; slots as usize];
    if candidates.is_empty() {
        return Assignment { owners };
    }
    let all: Vec<u16> = (0..slots).collect();
    let share = |count: usize| (slots as usize * count).div_ceil(candidates.len());
    let zone_bins: Vec<(&str, usize)> = zones
        .iter()
        .map(|(zone, instances)| (*zone, share(instances.len())))
        .collect();
    for (zone, slots_of_zone) in spread("zone", &all, &zone_bins) {
        let instances = &zones[zone];
        let most = slots_of_zone.len().div_ceil(instances.len());
        let bins: Vec<(&str, usize)> = instances.iter().map(|name| (*name, most)).collect();
        for (instance, slots_of_instance) in spread("instance", &slots_of_zone, &bins) {
            let shared: Arc<str> = instance.into();
            for slot in slots_of_instance {
                owners[slot as usize] = Some(shared.clone());
            }
        }
    }
    Assignment { owners }
}

/// Gives each slot to a bin, none more than its limit; pairs of the highest score first.
fn spread<'a>(salt: &str, slots: &[u16], bins: &[(&'a str, usize)]) -> BTreeMap<&'a str, Vec<u16>> {
    let mut pairs = Vec::with_capacity(slots.len() * bins.len());
    for &slot in slots {
        for (index, (name, _)) in bins.iter().enumerate() {
            pairs.push((score(salt, slot, name), slot, index));
        }
    }
    pairs.sort_unstable_by(|a, b| b.cmp(a));
    let mut placed = BTreeSet::new();
    let mut result: BTreeMap<&str, Vec<u16>> = BTreeMap::new();
    for (_, slot, index) in pairs {
        let (name, most) = bins[index];
        let held = result.entry(name).or_default();
        if placed.contains(&slot) || held.len() >= most {
            continue;
        }
        held.push(slot);
        placed.insert(slot);
    }
    result
}

/// The state whose members hold the slots: ready ones, or draining ones once nobody is ready.
///
/// When a whole fleet is stopped at once, the streams that are still open have to be billed by somebody.
/// With no candidate left nobody holds the slots, all instances wait with their bills until
/// the limit of their drain, and the bills are lost with them.
fn last_state(live: &[Peer]) -> State {
    match live.iter().any(|peer| peer.state == State::Ready) {
        true => State::Ready,
        false => State::Draining,
    }
}

/// A suspicion moves the wishes at once, so that with the loss of a zone nobody waits until each of its
/// members has lapsed. Taking a slot still needs the lapse of its holder, and a holder that is wrongly
/// suspected goes on wishing for its own, since nobody suspects itself.
fn may_hold(peer: &Peer, last: State) -> bool {
    !peer.suspected && (peer.state == State::Ready || peer.state == last)
}

fn score(salt: &str, slot: u16, name: &str) -> u128 {
    Digest::of(format!("{salt}/{slot}/{name}").as_bytes()).0
}

/// How steady a member has been.
#[derive(Debug, Clone)]
struct Standing {
    present_since: Option<Instant>,
    left_at: Option<Instant>,
    flaps: u32,
    admitted: bool,
    zone: Arc<str>,
}

/// Keeps the assignment, with hysteresis.
///
/// ```
/// use fescuewell_core::prelude::*;
/// use fescuewell_membership::{slots::Assigner, view::View};
/// let mut keeper = Assigner::new("entry-1".into(), 16, std::time::Duration::from_secs(3));
/// keeper.update(Instant::from_millis(0), &View::default());
/// assert!(keeper.own_slots().is_empty());
/// ```
#[derive(Debug, Clone)]
pub struct Assigner {
    instance: Arc<str>,
    slots: u16,
    settle: Duration,
    standings: BTreeMap<Arc<str>, Standing>,
    candidates: Vec<Candidate>,
    assignment: Assignment,
    successions: BTreeSet<Arc<str>>,
    unchecked: BTreeSet<Arc<str>>,
    doubted: BTreeSet<Arc<str>>,
    watch: BTreeSet<Arc<str>>,
}

impl Assigner {
    /// A keeper for `instance`. A member counts once it has been ready for `settle`; for each time
    /// that it came and went lately, twice as long.
    pub fn new(instance: Arc<str>, slots: u16, settle: Duration) -> Self {
        Self {
            instance,
            slots,
            settle,
            standings: BTreeMap::new(),
            candidates: Vec::new(),
            assignment: Assignment::default(),
            successions: BTreeSet::new(),
            unchecked: BTreeSet::new(),
            doubted: BTreeSet::new(),
            watch: BTreeSet::new(),
        }
    }

    /// Takes the present view. Returns whether the assignment changed.
    pub fn update(&mut self, now: Instant, view: &View) -> bool {
        // Before the first round through the rows is over, the few members known would seem to have to
        // hold everything, and slots would move twice at every start.
        if !view.complete {
            return false;
        }
        self.note_present(now, &view.live);
        self.note_absent(now, &view.live);
        self.note_doubted(&view.live);
        let candidates = self.admitted();
        let changed = candidates != self.candidates;
        if changed {
            self.assignment = assign(self.slots, &candidates);
            self.candidates = candidates;
            self.successions.clear();
            self.unchecked = self.assignment.owners.iter().flatten().cloned().collect();
        }
        self.check_succession();
        self.watch = &self.doubted | &self.successions;
        changed
    }

    /// The slots that this instance should hold.
    pub fn own_slots(&self) -> Vec<SlotKey> {
        self.assignment.slots_of(&self.instance)
    }

    /// The wanted owner of each slot.
    pub fn assignment(&self) -> &Assignment {
        &self.assignment
    }

    /// Owners that this instance would probably succeed or that are suspected, to be watched closely.
    pub fn watch(&self) -> &BTreeSet<Arc<str>> {
        &self.watch
    }

    fn note_present(&mut self, now: Instant, live: &[Peer]) {
        let last = last_state(live);
        for peer in live {
            if !may_hold(peer, last) {
                continue;
            }
            let known = self.standings.entry(peer.instance.clone());
            let standing = known.or_insert_with(|| Standing {
                present_since: None,
                left_at: None,
                flaps: 0,
                admitted: false,
                zone: peer.zone.clone(),
            });
            standing.zone = peer.zone.clone();
            let since = *standing.present_since.get_or_insert(now);
            if now.since(since) >= self.settle * FORGIVEN_AFTER {
                standing.flaps = 0;
            }
            let wait = self.settle * 2u32.pow(standing.flaps.min(MOST_FLAPS));
            standing.admitted |= now.since(since) >= wait;
        }
    }

    /// Members that are suspected, lapsed, drain or are gone lose their slots at once. One that restarted under its
    /// name, and is about to be ready again, keeps them for a settling time: its new incarnation
    /// takes them over from the old one, which moves them once in place of twice.
    fn note_absent(&mut self, now: Instant, live: &[Peer]) {
        let last = last_state(live);
        let peers: BTreeMap<&str, &Peer> =
            live.iter().map(|peer| (&*peer.instance, peer)).collect();
        for (instance, standing) in &mut self.standings {
            let peer = peers.get(&**instance);
            if peer.is_some_and(|peer| may_hold(peer, last)) {
                standing.left_at = None;
                continue;
            }
            let left_at = *standing.left_at.get_or_insert(now);
            let starting = peer.is_some_and(|peer| peer.state == State::Starting);
            let restarting = starting && now.since(left_at) < self.settle;
            if restarting {
                continue;
            }
            if standing.present_since.take().is_some() {
                standing.flaps += 1;
            }
            standing.admitted = false;
        }
        let memory = self.settle * FORGIVEN_AFTER;
        self.standings
            .retain(|_, standing| standing.left_at.is_none_or(|at| now.since(at) < memory));
    }

    fn admitted(&self) -> Vec<Candidate> {
        let admitted = self
            .standings
            .iter()
            .filter(|(_, standing)| standing.admitted);
        admitted
            .map(|(instance, standing)| Candidate {
                instance: instance.clone(),
                zone: standing.zone.clone(),
            })
            .collect()
    }

    /// Finds out for one more owner whether its slots would come here if it went. One with each update:
    /// in a large fleet all at once would hold up the requests of this instance for a tenth of a second.
    fn check_succession(&mut self) {
        let Some(owner) = self.unchecked.pop_first() else {
            return;
        };
        let rest = self
            .candidates
            .iter()
            .filter(|other| other.instance != owner);
        let rest: Vec<Candidate> = rest.cloned().collect();
        let after = assign(self.slots, &rest).slots_of(&self.instance);
        let heir = after
            .iter()
            .any(|slot| self.assignment.owner(*slot) == Some(&owner));
        if heir && owner != self.instance {
            self.successions.insert(owner);
        }
    }

    /// Owners that somebody suspects, for as long as they are: their slots cannot be taken before this
    /// instance has confirmed the suspicion by a reading.
    fn note_doubted(&mut self, live: &[Peer]) {
        let owners: BTreeSet<&Arc<str>> = self.assignment.owners.iter().flatten().collect();
        let suspected = live.iter().filter(|peer| peer.suspected);
        let known = suspected.map(|peer| &peer.instance);
        let doubted = known.filter(|name| owners.contains(name) || self.doubted.contains(*name));
        self.doubted = doubted.cloned().collect();
    }
}
