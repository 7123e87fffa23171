//! Assigns the slots of request ids to the instances that should arbitrate them.
//!
//! Every instance computes the same wanted owners from the same members. The epoch in the row
//! `slot/{nn}` decides who actually holds a slot, so instances whose views differ for a while
//! disagree only about the wanted owners.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use fescuewell_core::prelude::*;

use crate::row::State;
use crate::view::{Peer, View};

/// Number of flaps after which the settle time no longer doubles.
const MAX_FLAPS: u32 = 4;
/// Settle times without a flap after which earlier flaps are forgotten.
const FLAP_MEMORY_PERIODS: u32 = 40;

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

/// Assigns `slots` to the candidates.
///
/// Slots are distributed first over the zones, in proportion to their candidates, and then over the
/// instances of each zone. Both steps take pairs in descending order of their hash and limit
/// every zone or instance to an equal share, rounded up. The hash keeps most slots where they are when a
/// candidate comes or goes; the limit keeps one instance, or one zone, from holding many more than
/// the others. The order of the candidates does not matter.
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
    for (zone, slots_of_zone) in distribute("zone", &all, &zone_bins) {
        let instances = &zones[zone];
        let limit = slots_of_zone.len().div_ceil(instances.len());
        let bins: Vec<(&str, usize)> = instances.iter().map(|name| (*name, limit)).collect();
        for (instance, slots_of_instance) in distribute("instance", &slots_of_zone, &bins) {
            let shared: Arc<str> = instance.into();
            for slot in slots_of_instance {
                owners[slot as usize] = Some(shared.clone());
            }
        }
    }
    Assignment { owners }
}

/// Assigns each slot to a bin, in descending order of the pairs' scores and up to each bin's limit.
fn distribute<'a>(
    salt: &str,
    slots: &[u16],
    bins: &[(&'a str, usize)],
) -> BTreeMap<&'a str, Vec<u16>> {
    let mut pairs = Vec::with_capacity(slots.len() * bins.len());
    for &slot in slots {
        for (index, (name, _)) in bins.iter().enumerate() {
            pairs.push((score(salt, slot, name), slot, index));
        }
    }
    pairs.sort_unstable_by(|a, b| b.cmp(a));
    let mut assigned = BTreeSet::new();
    let mut result: BTreeMap<&str, Vec<u16>> = BTreeMap::new();
    for (_, slot, index) in pairs {
        let (name, limit) = bins[index];
        let held = result.entry(name).or_default();
        if assigned.contains(&slot) || held.len() >= limit {
            continue;
        }
        held.push(slot);
        assigned.insert(slot);
    }
    result
}

/// The state that a member needs to hold slots: ready, or draining once nobody is ready.
///
/// When a whole fleet is stopped at once, open streams still have to be billed. Without a candidate
/// nobody would hold the slots; all instances would wait with their bills until their drain limit,
/// and the bills would be lost.
fn eligible_state(live: &[Peer]) -> State {
    match live.iter().any(|peer| peer.state == State::Ready) {
        true => State::Ready,
        false => State::Draining,
    }
}

/// A suspicion changes the wanted owners at once, so that after the loss of a zone nobody waits
/// until each of its members has lapsed. Taking a slot still requires that its holder has lapsed,
/// and a holder that is wrongly suspected still wants its own slots, since no instance suspects
/// itself.
fn can_hold(peer: &Peer, eligible: State) -> bool {
    !peer.suspected && (peer.state == State::Ready || peer.state == eligible)
}

fn score(salt: &str, slot: u16, name: &str) -> u128 {
    Digest::of(format!("{salt}/{slot}/{name}").as_bytes()).0
}

/// How stable a member has been.
#[derive(Debug, Clone)]
struct MemberHistory {
    present_since: Option<Instant>,
    left_at: Option<Instant>,
    flaps: u32,
    admitted: bool,
    zone: Arc<str>,
}

/// Maintains the assignment, with hysteresis against flapping members.
///
/// ```
/// use fescuewell_core::prelude::*;
/// use fescuewell_membership::{slots::Assigner, view::View};
/// let mut assigner = Assigner::new("entry-1".into(), 16, std::time::Duration::from_secs(3));
/// assigner.update(Instant::from_millis(0), &View::default());
/// assert!(assigner.own_slots().is_empty());
/// ```
#[derive(Debug, Clone)]
pub struct Assigner {
    instance: Arc<str>,
    slots: u16,
    settle_time: Duration,
    histories: BTreeMap<Arc<str>, MemberHistory>,
    candidates: Vec<Candidate>,
    assignment: Assignment,
    predecessors: BTreeSet<Arc<str>>,
    unchecked_owners: BTreeSet<Arc<str>>,
    suspected_owners: BTreeSet<Arc<str>>,
    watch: BTreeSet<Arc<str>>,
}

impl Assigner {
    /// Creates the assigner of `instance`. A member becomes a candidate once it has been ready for
    /// `settle_time`; the time doubles with each recent flap.
    pub fn new(instance: Arc<str>, slots: u16, settle_time: Duration) -> Self {
        Self {
            instance,
            slots,
            settle_time,
            histories: BTreeMap::new(),
            candidates: Vec::new(),
            assignment: Assignment::default(),
            predecessors: BTreeSet::new(),
            unchecked_owners: BTreeSet::new(),
            suspected_owners: BTreeSet::new(),
            watch: BTreeSet::new(),
        }
    }

    /// Updates the assignment from the view. Returns whether it changed.
    pub fn update(&mut self, now: Instant, view: &View) -> bool {
        // Until all rows have been read once, the few members known would seem to own everything,
        // and slots would move twice at every start.
        if !view.complete {
            return false;
        }
        self.update_present(now, &view.live);
        self.update_absent(now, &view.live);
        self.update_suspected(&view.live);
        let candidates = self.admitted();
        let changed = candidates != self.candidates;
        if changed {
            self.assignment = assign(self.slots, &candidates);
            self.candidates = candidates;
            self.predecessors.clear();
            self.unchecked_owners = self.assignment.owners.iter().flatten().cloned().collect();
        }
        self.check_next_owner();
        self.watch = &self.suspected_owners | &self.predecessors;
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

    /// Owners to watch closely: those that this instance would succeed, and those that are
    /// suspected.
    pub fn watch(&self) -> &BTreeSet<Arc<str>> {
        &self.watch
    }

    fn update_present(&mut self, now: Instant, live: &[Peer]) {
        let eligible = eligible_state(live);
        for peer in live {
            if !can_hold(peer, eligible) {
                continue;
            }
            let known = self.histories.entry(peer.instance.clone());
            let history = known.or_insert_with(|| MemberHistory {
                present_since: None,
                left_at: None,
                flaps: 0,
                admitted: false,
                zone: peer.zone.clone(),
            });
            history.zone = peer.zone.clone();
            let since = *history.present_since.get_or_insert(now);
            if now.since(since) >= self.settle_time * FLAP_MEMORY_PERIODS {
                history.flaps = 0;
            }
            let wait = self.settle_time * 2u32.pow(history.flaps.min(MAX_FLAPS));
            history.admitted |= now.since(since) >= wait;
        }
    }

    /// Members that are suspected, lapsed, draining or gone lose their slots at once. A member that
    /// restarted under the same name keeps them for one settle time: its new incarnation takes them
    /// over from the old one, so that they move once instead of twice.
    fn update_absent(&mut self, now: Instant, live: &[Peer]) {
        let eligible = eligible_state(live);
        let peers: BTreeMap<&str, &Peer> =
            live.iter().map(|peer| (&*peer.instance, peer)).collect();
        for (instance, history) in &mut self.histories {
            let peer = peers.get(&**instance);
            if peer.is_some_and(|peer| can_hold(peer, eligible)) {
                history.left_at = None;
                continue;
            }
            let left_at = *history.left_at.get_or_insert(now);
            let starting = peer.is_some_and(|peer| peer.state == State::Starting);
            let restarting = starting && now.since(left_at) < self.settle_time;
            if restarting {
                continue;
            }
            if history.present_since.take().is_some() {
                history.flaps += 1;
            }
            history.admitted = false;
        }
        let max_age = self.settle_time * FLAP_MEMORY_PERIODS;
        self.histories
            .retain(|_, history| history.left_at.is_none_or(|at| now.since(at) < max_age));
    }

    fn admitted(&self) -> Vec<Candidate> {
        let admitted = self
            .histories
            .iter()
            .filter(|(_, history)| history.admitted);
        admitted
            .map(|(instance, history)| Candidate {
                instance: instance.clone(),
                zone: history.zone.clone(),
            })
            .collect()
    }

    /// Checks for one more owner whether its slots would move to this instance if it went away.
    /// Checks one per update: in a large fleet, checking all at once would block this instance's
    /// requests for a tenth of a second.
    fn check_next_owner(&mut self) {
        let Some(owner) = self.unchecked_owners.pop_first() else {
            return;
        };
        let rest = self
            .candidates
            .iter()
            .filter(|other| other.instance != owner);
        let rest: Vec<Candidate> = rest.cloned().collect();
        let after = assign(self.slots, &rest).slots_of(&self.instance);
        let is_successor = after
            .iter()
            .any(|slot| self.assignment.owner(*slot) == Some(&owner));
        if is_successor && owner != self.instance {
            self.predecessors.insert(owner);
        }
    }

    /// Suspected owners, for as long as they are suspected: their slots cannot be taken before this
    /// instance has confirmed the suspicion by a read.
    fn update_suspected(&mut self, live: &[Peer]) {
        let owners: BTreeSet<&Arc<str>> = self.assignment.owners.iter().flatten().collect();
        let suspected = live.iter().filter(|peer| peer.suspected);
        let known = suspected.map(|peer| &peer.instance);
        let suspected_owners =
            known.filter(|name| owners.contains(name) || self.suspected_owners.contains(*name));
        self.suspected_owners = suspected_owners.cloned().collect();
    }
}
