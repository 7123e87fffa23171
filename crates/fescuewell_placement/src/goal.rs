//! Desired number of servers of each model, with hysteresis.

use std::collections::BTreeMap;
use std::sync::Arc;

use fescuewell_core::prelude::*;

use crate::settings::{Settings, millis};

/// Demand for one model and the servers that it needs.
#[derive(Debug, Clone, Default)]
pub(crate) struct Need {
    pub(crate) min_servers: u32,
    pub(crate) base: Option<Arc<str>>,
    demand_servers: u32,
    demand: u64,
    trend: Option<Trend>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Trend {
    rising: bool,
    since: Instant,
}

impl Need {
    /// Returns the number of servers that should have the model.
    pub(crate) fn servers(&self) -> u32 {
        self.min_servers.max(self.demand_servers)
    }

    pub(crate) fn demand(&self) -> u64 {
        self.demand
    }

    pub(crate) fn set_demand(&mut self, tokens_per_second: u64) {
        self.demand = tokens_per_second;
    }

    /// Adds or removes one server when demand has been above or below its threshold for long
    /// enough.
    ///
    /// Scaling up and down have separate thresholds and delays. With a single threshold, demand
    /// that oscillates around it would repeatedly unload the model and load it again from the
    /// weight store.
    pub(crate) fn review(&mut self, now: Instant, settings: &Settings) {
        let servers = u64::from(self.servers());
        let part = |servers: u64, percent: u32| {
            servers * settings.tokens_per_server * u64::from(percent) / 100
        };
        let high = self.demand > part(servers, settings.raise_percent);
        let low = servers > u64::from(self.min_servers)
            && self.demand < part(servers.saturating_sub(1), settings.lower_percent);
        if !high && !low {
            self.trend = None;
            return;
        }
        let trend = self.trend.filter(|trend| trend.rising == high);
        let trend = *self.trend.insert(trend.unwrap_or(Trend {
            rising: high,
            since: now,
        }));
        let wait = if high {
            settings.raise_after_ms
        } else {
            settings.lower_after_ms
        };
        if now.since(trend.since) < millis(wait) {
            return;
        }
        self.demand_servers = if high {
            self.servers() + 1
        } else {
            self.servers() - 1
        };
        self.trend = None;
    }
}

/// All models by name.
pub(crate) type Needs = BTreeMap<Arc<str>, Need>;
