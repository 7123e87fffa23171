//! Availability zones whose backend servers are to get no new work.
//!
//! The operator evacuates a zone and takes that back later. Readings of the operator's word may be old, and come by several ways:
//! own readings, and what other instances tell. An order therefore counts by the version of the store that it stems from,
//! and all ways may be mixed in any order: a stale reading neither ends an evacuation nor begins one again.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// What the operator last said of an availability zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The availability zone.
    pub zone: Arc<str>,
    /// Version of the store that this stems from.
    pub version: u64,
    /// Whether its backend servers are to get no new work.
    pub is_evacuated: bool,
}

/// The newest order of each availability zone that was ever evacuated.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Zones {
    orders: BTreeMap<Arc<str>, Order>,
}

impl Zones {
    /// Takes an order; returns whether the zone changes by it.
    pub fn take(&mut self, order: Order) -> bool {
        let known = self.orders.get(&order.zone);
        if known.is_some_and(|known| order.version <= known.version) {
            return false;
        }
        let was_evacuated = known.is_some_and(|known| known.is_evacuated);
        let is_evacuated = order.is_evacuated;
        self.orders.insert(order.zone.clone(), order);
        was_evacuated != is_evacuated
    }

    /// The orders to take so that only the zones of `listed` are evacuated, as in a whole reading at `version`.
    pub fn missing(&self, version: u64, listed: &[Order]) -> Vec<Order> {
        let is_listed = |zone: &str| listed.iter().any(|order| &*order.zone == zone);
        let known = self.orders.values();
        let missing = known.filter(|order| order.is_evacuated && !is_listed(&order.zone));
        let missing = missing.map(|order| Order {
            zone: order.zone.clone(),
            version,
            is_evacuated: false,
        });
        missing.collect()
    }

    /// Whether the backend servers of a zone are to get no new work.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        let order = self.orders.get(zone);
        order.is_some_and(|order| order.is_evacuated)
    }

    /// All orders, those that were taken back included.
    pub fn orders(&self) -> Vec<Order> {
        self.orders.values().cloned().collect()
    }
}
