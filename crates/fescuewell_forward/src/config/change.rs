//! Differences between versions of the configuration.
//!
//! Most changes concern a few routes or accounts, while the whole configuration takes hundreds of
//! kilobytes: too much for a narrow link that callers fill. Instances therefore exchange changes; a
//! small one fits a datagram.
//!
//! ```
//! use fescuewell_forward::config::{Change, Configuration};
//!
//! let before = Configuration { version: 1, ..Configuration::default() };
//! let after = Configuration { version: 4, ..Configuration::default() };
//! let change = Change::between(&before, &after).unwrap();
//! assert_eq!(change.apply(&before), Some(after.clone()));
//! assert_eq!(change.apply(&after), None);
//! ```

use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{Account, Configuration, Limits, Route, Service};

/// Maximum number of changes in a history.
const MAX_CHANGES: usize = 64;
/// Maximum number of changed and removed items in a history; an item takes some 200 bytes.
const MAX_ITEMS: usize = 4_096;
/// How often a change is sent again. A datagram may be lost.
const REPEATS: u8 = 2;

/// Something that a configuration lists by name.
pub trait Named: Clone + PartialEq {
    /// Returns the unique name.
    fn name(&self) -> &Arc<str>;
}

impl Named for Arc<Route> {
    fn name(&self) -> &Arc<str> {
        &self.name
    }
}

impl Named for Arc<Account> {
    fn name(&self) -> &Arc<str> {
        &self.name
    }
}

impl Named for Service {
    fn name(&self) -> &Arc<str> {
        &self.name
    }
}

/// Difference between two lists.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Edit<Item> {
    /// Items that were added or replaced.
    pub changed: Vec<Item>,
    /// Names of the items that were removed.
    pub removed: Vec<Arc<str>>,
}

impl<Item> Edit<Item>
where
    Item: Named,
{
    fn between(before: &[Item], after: &[Item]) -> Self {
        let known: HashMap<&Arc<str>, &Item> =
            before.iter().map(|item| (item.name(), item)).collect();
        let names: HashSet<&Arc<str>> = after.iter().map(Named::name).collect();
        let changed = after.iter();
        let changed = changed.filter(|item| known.get(item.name()) != Some(item));
        let removed = before.iter().map(Named::name);
        let removed = removed.filter(|name| !names.contains(name));
        Self {
            changed: changed.cloned().collect(),
            removed: removed.cloned().collect(),
        }
    }

    /// Returns the later list, sorted by name.
    fn apply(&self, before: &[Item]) -> Vec<Item> {
        let mut changed: HashMap<&Arc<str>, &Item> = self
            .changed
            .iter()
            .map(|item| (item.name(), item))
            .collect();
        let removed: HashSet<&Arc<str>> = self.removed.iter().collect();
        let mut after = Vec::with_capacity(before.len() + self.changed.len());
        for item in before {
            if removed.contains(item.name()) {
                continue;
            }
            after.push(changed.remove(item.name()).unwrap_or(item).clone());
        }
        let added = self.changed.iter();
        after.extend(
            added
                .filter(|item| changed.contains_key(item.name()))
                .cloned(),
        );
        after.sort_by(|left, right| left.name().cmp(right.name()));
        after
    }

    fn len(&self) -> usize {
        self.changed.len() + self.removed.len()
    }
}

/// Difference between two versions of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Version that it applies to.
    pub from: u64,
    /// Version that it results in.
    pub to: u64,
    /// Fingerprint of the resulting configuration.
    pub fingerprint: u64,
    /// Changes of the routes.
    pub routes: Edit<Arc<Route>>,
    /// Changes of the services.
    pub services: Edit<Service>,
    /// Changes of the client accounts.
    pub accounts: Edit<Arc<Account>>,
    /// Limits of the resulting configuration.
    pub limits: Option<Limits>,
}

impl Change {
    /// Returns the difference between two normalized configurations, or `None` if it cannot be
    /// expressed: items that are listed twice.
    pub fn between(before: &Configuration, after: &Configuration) -> Option<Self> {
        let change = Self {
            from: before.version,
            to: after.version,
            fingerprint: fingerprint(after),
            routes: Edit::between(&before.routes, &after.routes),
            services: Edit::between(&before.services, &after.services),
            accounts: Edit::between(&before.accounts, &after.accounts),
            limits: after.limits,
        };
        (change.result(before) == *after).then_some(change)
    }

    /// Applies the change. Returns `None` if the configuration is not the one that it applies to.
    pub fn apply(&self, before: &Configuration) -> Option<Configuration> {
        if before.version != self.from {
            return None;
        }
        let after = self.result(before);
        (fingerprint(&after) == self.fingerprint).then_some(after)
    }

    fn result(&self, before: &Configuration) -> Configuration {
        Configuration {
            version: self.to,
            routes: self.routes.apply(&before.routes),
            services: self.services.apply(&before.services),
            accounts: self.accounts.apply(&before.accounts),
            limits: self.limits,
        }
    }

    fn len(&self) -> usize {
        self.routes.len() + self.services.len() + self.accounts.len()
    }
}

/// Returns a hash of a configuration's content.
fn fingerprint(configuration: &Configuration) -> u64 {
    // Fails only for types that cannot be serialized at all.
    let bytes = postcard::to_allocvec(configuration).unwrap_or_default();
    let hash = blake3::hash(&bytes);
    let mut first = [0; 8];
    first.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(first)
}

/// Latest changes, for instances that are some versions behind.
#[derive(Debug, Default)]
pub struct History {
    changes: VecDeque<Change>,
    repeats_left: u8,
}

impl History {
    /// Adds a change. Earlier ones that do not lead to it are dropped.
    pub fn push(&mut self, change: Change) {
        if self
            .changes
            .back()
            .is_some_and(|last| last.to != change.from)
        {
            self.changes.clear();
        }
        self.changes.push_back(change);
        self.repeats_left = REPEATS;
        let mut items: usize = self.changes.iter().map(Change::len).sum();
        while self.changes.len() > MAX_CHANGES || items > MAX_ITEMS {
            let Some(oldest) = self.changes.pop_front() else {
                break;
            };
            items -= oldest.len();
        }
    }

    /// Drops all changes, because the next version does not follow from them.
    pub fn clear(&mut self) {
        self.changes.clear();
    }

    /// Returns the changes that lead from a version to the latest one, or `None` if they are not
    /// known.
    pub fn since(&self, version: u64) -> Option<Vec<Change>> {
        let start = self
            .changes
            .iter()
            .position(|change| change.from == version)?;
        Some(self.changes.iter().skip(start).cloned().collect())
    }

    /// Returns the latest change if it should be sent once more.
    pub fn take_repeat(&mut self) -> Option<Change> {
        self.repeats_left = self.repeats_left.checked_sub(1)?;
        self.changes.back().cloned()
    }
}
