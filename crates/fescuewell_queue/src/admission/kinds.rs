//! Request kinds and their limits in the queue.

use std::collections::{BTreeMap, HashMap};

use fescuewell_core::prelude::*;

use super::KindPolicy;

/// Policies and tiers of all kinds, and the number of queued requests of each.
#[derive(Debug, Default)]
pub(crate) struct Kinds {
    kinds: BTreeMap<KindKey, Kind>,
    /// Kinds of equal priority form a tier; the most urgent tier is first.
    tiers: Vec<Vec<KindKey>>,
    queued: usize,
    groups: HashMap<(KindKey, GroupKey), usize>,
}

#[derive(Debug)]
struct Kind {
    policy: KindPolicy,
    tier: usize,
    queued: usize,
    /// The kind was removed from the document while requests of it wait: these are served, new ones are refused.
    retired: bool,
}

impl Kind {
    /// Returns the part of `max_queued` that no other kind may use.
    fn guaranteed(&self, max_queued: usize) -> usize {
        max_queued * usize::from(self.policy.floor_percent.min(100)) / 100
    }
}

/// Part of the queue that the least urgent tier may use. The tiers between are interpolated linearly up to 100.
const LEAST_URGENT_TIER_PERCENT: usize = 50;

/// Priority of retired kinds, which are served last.
const RETIRED_PRIORITY: u8 = u8::MAX;

impl Kinds {
    /// Replaces the policies. Removed kinds with queued requests are retired, and dropped once these have left the queue.
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
        self.assign_tiers();
    }

    fn assign_tiers(&mut self) {
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

    /// Returns whether new requests of the kind are accepted.
    pub fn accepts(&self, key: KindKey) -> bool {
        self.kinds.get(&key).is_some_and(|kind| !kind.retired)
    }

    /// Returns the index of the kind's tier; 0 is the most urgent.
    pub fn tier(&self, key: KindKey) -> usize {
        self.kinds
            .get(&key)
            .map_or(self.tiers.len(), |kind| kind.tier)
    }

    /// Returns the tiers, most urgent first.
    pub fn tiers(&self) -> &[Vec<KindKey>] {
        &self.tiers
    }

    /// Returns the fraction of the tokens, from 0 to 1, that the kind receives while more urgent requests wait.
    pub fn floor(&self, key: KindKey) -> f64 {
        self.kinds.get(&key).map_or(0.0, |kind| {
            f64::from(kind.policy.floor_percent.min(100)) / 100.0
        })
    }

    /// Returns the number of queued requests of the kind.
    pub fn queued(&self, key: KindKey) -> usize {
        self.kinds.get(&key).map_or(0, |kind| kind.queued)
    }

    /// Returns whether a queue of at most `max_queued` requests has room for one more of the kind.
    ///
    /// Each tier, together with the less urgent ones, may use only part of the queue, so that bulk requests cannot
    /// take the room of urgent ones. The part guaranteed by a floor is kept free of other kinds: if urgent requests
    /// could keep bulk requests out of the queue, the floor would have no effect.
    pub fn has_room(&self, key: KindKey, max_queued: usize) -> bool {
        if self.queued >= max_queued {
            return false;
        }
        (0..=self.tier(key))
            .all(|tier| self.used_from(tier, key, max_queued) <= self.capacity(tier, max_queued))
    }

    /// Returns the room used by the tier and all less urgent ones after adding a request of kind `added`. Unused guarantees
    /// count as used.
    fn used_from(&self, tier: usize, added: KindKey, max_queued: usize) -> usize {
        let below = self.kinds.iter().filter(|(_, kind)| kind.tier >= tier);
        below
            .map(|(&key, kind)| {
                (kind.queued + usize::from(key == added)).max(kind.guaranteed(max_queued))
            })
            .sum()
    }

    /// Returns the maximum number of queued requests of the tier and all less urgent ones.
    fn capacity(&self, tier: usize, max_queued: usize) -> usize {
        let steps = self.tiers.len().saturating_sub(1).max(1);
        let percent = 100 - (100 - LEAST_URGENT_TIER_PERCENT) * tier / steps;
        let below = self.kinds.values().filter(|kind| kind.tier >= tier);
        let guaranteed: usize = below.map(|kind| kind.guaranteed(max_queued)).sum();
        (max_queued * percent / 100).max(guaranteed).max(1)
    }

    /// Returns whether the group may queue one more request of the kind.
    ///
    /// A group may have `factor` times as many requests queued as there is free room (dynamic thresholds, Choudhury and
    /// Hahne, 1998), so that a single group cannot fill the queue and cause refusals for all others.
    pub fn has_group_room(
        &self,
        key: KindKey,
        group: GroupKey,
        max_queued: usize,
        factor: usize,
    ) -> bool {
        let tier = self.tier(key);
        let used = self.used_from(tier, key, max_queued).saturating_sub(1);
        let free = self.capacity(tier, max_queued).saturating_sub(used);
        let held = self.groups.get(&(key, group)).copied().unwrap_or(0);
        held < (free * factor).max(1)
    }

    /// Adds a queued request.
    pub fn add(&mut self, key: KindKey, group: GroupKey) {
        if !self.kinds.contains_key(&key) {
            self.add_retired(key);
        }
        let Some(kind) = self.kinds.get_mut(&key) else {
            return;
        };
        kind.queued += 1;
        self.queued += 1;
        *self.groups.entry((key, group)).or_default() += 1;
    }

    /// Adds a retired kind for a request that is requeued after its kind was removed from the document.
    fn add_retired(&mut self, key: KindKey) {
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
        self.assign_tiers();
    }

    /// Removes a queued request.
    pub fn remove(&mut self, key: KindKey, group: GroupKey) {
        let Some(kind) = self.kinds.get_mut(&key) else {
            return;
        };
        kind.queued -= 1;
        self.queued -= 1;
        let is_unused = kind.retired && kind.queued == 0;
        if let Some(held) = self.groups.get_mut(&(key, group)) {
            *held -= 1;
            if *held == 0 {
                self.groups.remove(&(key, group));
            }
        }
        if is_unused {
            self.kinds.remove(&key);
            self.assign_tiers();
        }
    }
}
