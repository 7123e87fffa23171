//! The kinds in force and the room that each has in the queue.

use std::collections::{BTreeMap, HashMap};

use fescuewell_core::prelude::*;

use super::KindPolicy;

/// Policies of the kinds, their order, and how many requests of each wait.
#[derive(Debug, Default)]
pub(crate) struct Kinds {
    kinds: BTreeMap<KindKey, Kind>,
    /// Kinds of equal priority stand in one tier; the most urgent tier comes first.
    tiers: Vec<Vec<KindKey>>,
    queued: usize,
    groups: HashMap<(KindKey, GroupKey), usize>,
}

#[derive(Debug)]
struct Kind {
    policy: KindPolicy,
    tier: usize,
    queued: usize,
    /// Taken out of the document while requests of it still wait: they are served, new ones refused.
    retired: bool,
}

impl Kind {
    /// Places, of `most`, that no other kind may take.
    fn promised(&self, most: usize) -> usize {
        most * usize::from(self.policy.floor_percent.min(100)) / 100
    }
}

/// Share of the queue that the least urgent tier may fill, in percent; tiers between lie evenly
/// between this and the whole.
const LEAST_URGENT_PERCENT: usize = 50;

/// Priority of retired kinds, after all others.
const RETIRED_PRIORITY: u8 = u8::MAX;

impl Kinds {
    /// Takes over new policies; kinds that still have requests waiting are kept until these are gone.
    pub fn set(&mut self, policies: &[KindPolicy]) {
        for kind in self.kinds.values_mut() {
            kind.retired = true;
            kind.policy.priority = RETIRED_PRIORITY;
            kind.policy.floor_percent = 0;
        }
        for &policy in policies {
            let queued = self.kinds.get(&policy.key).map_or(0, |kind| kind.queued);
            let kind = Kind {
                policy,
                tier: 0,
                queued,
                retired: false,
            };
            self.kinds.insert(policy.key, kind);
        }
        self.kinds
            .retain(|_, kind| !kind.retired || kind.queued > 0);
        self.rank();
    }

    fn rank(&mut self) {
        let mut priorities: BTreeMap<u8, Vec<KindKey>> = BTreeMap::new();
        for (&key, kind) in &self.kinds {
            let tier = priorities.entry(kind.policy.priority).or_default();
            tier.push(key);
        }
        self.tiers = priorities.into_values().collect();
        for (index, tier) in self.tiers.iter().enumerate() {
            for key in tier {
                if let Some(kind) = self.kinds.get_mut(key) {
                    kind.tier = index;
                }
            }
        }
    }

    /// Whether new requests of the kind are taken.
    pub fn is_open(&self, key: KindKey) -> bool {
        self.kinds.get(&key).is_some_and(|kind| !kind.retired)
    }

    /// Position of the kind's tier; 0 is the most urgent.
    pub fn tier(&self, key: KindKey) -> usize {
        self.kinds
            .get(&key)
            .map_or(self.tiers.len(), |kind| kind.tier)
    }

    /// The tiers, most urgent first.
    pub fn tiers(&self) -> &[Vec<KindKey>] {
        &self.tiers
    }

    /// Share of the tokens that the kind gets while more urgent work waits, between 0 and 1.
    pub fn floor(&self, key: KindKey) -> f64 {
        self.kinds.get(&key).map_or(0.0, |kind| {
            f64::from(kind.policy.floor_percent.min(100)) / 100.0
        })
    }

    /// Requests of the kind that wait.
    pub fn queued(&self, key: KindKey) -> usize {
        self.kinds.get(&key).map_or(0, |kind| kind.queued)
    }

    /// Whether there is room for one more request, of `most` in all.
    ///
    /// Each tier and the less urgent ones below it together may fill only their share, so bulk work cannot
    /// take the places of urgent work. Places that a floor promises are kept free of other kinds, so that a
    /// flood of urgent work cannot keep bulk work out of the queue and thereby void its floor.
    pub fn has_room(&self, key: KindKey, most: usize) -> bool {
        if self.queued >= most {
            return false;
        }
        (0..=self.tier(key)).all(|tier| self.claimed_from(tier, key, most) <= self.cap(tier, most))
    }

    fn claimed_from(&self, tier: usize, newcomer: KindKey, most: usize) -> usize {
        let below = self.kinds.iter().filter(|(_, kind)| kind.tier >= tier);
        below
            .map(|(&key, kind)| {
                (kind.queued + usize::from(key == newcomer)).max(kind.promised(most))
            })
            .sum()
    }

    /// Most requests of the tier and all below it.
    fn cap(&self, tier: usize, most: usize) -> usize {
        let steps = self.tiers.len().saturating_sub(1).max(1);
        let percent = 100 - (100 - LEAST_URGENT_PERCENT) * tier / steps;
        let below = self.kinds.values().filter(|kind| kind.tier >= tier);
        let promised: usize = below.map(|kind| kind.promised(most)).sum();
        (most * percent / 100).max(promised).max(1)
    }

    /// Whether the group may take one more of the kind's places.
    ///
    /// A group may hold `factor` times what is still free (dynamic thresholds, Choudhury and Hahne, 1998), so no
    /// single group fills the queue and leaves the others nothing but refusals.
    pub fn has_share(&self, key: KindKey, group: GroupKey, most: usize, factor: usize) -> bool {
        let tier = self.tier(key);
        let claimed = self.claimed_from(tier, key, most).saturating_sub(1);
        let free = self.cap(tier, most).saturating_sub(claimed);
        let held = self.groups.get(&(key, group)).copied().unwrap_or(0);
        held < (free * factor).max(1)
    }

    /// Counts a request in.
    pub fn add(&mut self, key: KindKey, group: GroupKey) {
        if !self.kinds.contains_key(&key) {
            self.retire(key);
        }
        let Some(kind) = self.kinds.get_mut(&key) else {
            return;
        };
        kind.queued += 1;
        self.queued += 1;
        *self.groups.entry((key, group)).or_default() += 1;
    }

    /// Takes in a kind that left the document while a request of it was popped and then put back.
    fn retire(&mut self, key: KindKey) {
        let policy = KindPolicy {
            key,
            priority: RETIRED_PRIORITY,
            floor_percent: 0,
        };
        let kind = Kind {
            policy,
            tier: 0,
            queued: 0,
            retired: true,
        };
        self.kinds.insert(key, kind);
        self.rank();
    }

    /// Counts a request out.
    pub fn subtract(&mut self, key: KindKey, group: GroupKey) {
        let Some(kind) = self.kinds.get_mut(&key) else {
            return;
        };
        kind.queued -= 1;
        self.queued -= 1;
        let gone = kind.retired && kind.queued == 0;
        if let Some(held) = self.groups.get_mut(&(key, group)) {
            *held -= 1;
            if *held == 0 {
                self.groups.remove(&(key, group));
            }
        }
        if gone {
            self.kinds.remove(&key);
            self.rank();
        }
    }
}
