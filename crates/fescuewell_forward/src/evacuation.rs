//! Evacuation of availability zones: servers in an evacuated zone receive no new work.
//!
//! The operator evacuates a zone and later withdraws the order. Orders arrive through store reads
//! and through other instances, out of order and possibly late. Each carries the store version of
//! its write and only the newest per zone counts, so that a stale read neither ends an evacuation
//! nor starts it again.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Evacuation order for an availability zone, or its withdrawal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The availability zone.
    pub zone: Arc<str>,
    /// Version of the store at which it was written.
    pub version: u64,
    /// Whether the zone is evacuated.
    pub is_evacuated: bool,
}

/// The newest order for each availability zone that was ever evacuated.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Zones {
    orders: BTreeMap<Arc<str>, Order>,
}

impl Zones {
    /// Applies an order. Returns `true` if it changes the zone's state.
    pub fn apply(&mut self, order: Order) -> bool {
        let known = self.orders.get(&order.zone);
        if known.is_some_and(|known| order.version <= known.version) {
            return false;
        }
        let was_evacuated = known.is_some_and(|known| known.is_evacuated);
        let is_evacuated = order.is_evacuated;
        self.orders.insert(order.zone.clone(), order);
        was_evacuated != is_evacuated
    }

    /// Returns withdrawals at `version` for the evacuated zones that the full list `listed` lacks.
    pub fn withdrawn(&self, version: u64, listed: &[Order]) -> Vec<Order> {
        let is_listed = |zone: &str| listed.iter().any(|order| &*order.zone == zone);
        let known = self.orders.values();
        let missing = known.filter(|order| order.is_evacuated && !is_listed(&order.zone));
        let withdrawn = missing.map(|order| Order {
            zone: order.zone.clone(),
            version,
            is_evacuated: false,
        });
        withdrawn.collect()
    }

    /// Returns `true` if the zone is evacuated.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        let order = self.orders.get(zone);
        order.is_some_and(|order| order.is_evacuated)
    }

    /// Returns all orders, including withdrawals.
    pub fn orders(&self) -> Vec<Order> {
        self.orders.values().cloned().collect()
    }
}
