//! How many servers each model needs, with hysteresis.

use std::collections::BTreeMap;
use std::sync::Arc;

use fescuewell_core::prelude::*;

use crate::settings::{Settings, millis};

/// The need of one model.
#[derive(Debug, Clone, Default)]
pub(crate) struct Need {
    pub(crate) least: u32,
    pub(crate) base: Option<Arc<str>>,
    extra: u32,
    demand: u64,
    leaning: Option<Leaning>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Leaning {
    up: bool,
    since: Instant,
}

impl Need {
    /// Servers that should have the model.
    pub(crate) fn servers(&self) -> u32 {
        self.least.max(self.extra)
    }

    pub(crate) fn demand(&self) -> u64 {
        self.demand
    }

    pub(crate) fn set_demand(&mut self, tokens_per_second: u64) {
        self.demand = tokens_per_second;
    }

    /// Moves the need by one server when demand has leaned that way for long enough.
    ///
    /// Rise and fall have thresholds and times of their own. With one threshold, a demand that
    /// swings around it would load and unload the same model in turn, each time through the weight
    /// store.
    pub(crate) fn review(&mut self, now: Instant, settings: &Settings) {
        let servers = u64::from(self.servers());
        let part = |servers: u64, percent: u32| {
            servers * settings.tokens_per_server * u64::from(percent) / 100
        };
        let high = self.demand > part(servers, settings.raise_percent);
        let low = servers > u64::from(self.least)
            && self.demand < part(servers.saturating_sub(1), settings.lower_percent);
        if !high && !low {
            self.leaning = None;
            return;
        }
        let leaning = self.leaning.filter(|leaning| leaning.up == high);
        let leaning = *self.leaning.insert(leaning.unwrap_or(Leaning {
            up: high,
            since: now,
        }));
        let wait = if high {
            settings.raise_after_ms
        } else {
            settings.lower_after_ms
        };
        if now.since(leaning.since) < millis(wait) {
            return;
        }
        self.extra = if high {
            self.servers() + 1
        } else {
            self.servers() - 1
        };
        self.leaning = None;
    }
}

/// All models by name.
pub(crate) type Needs = BTreeMap<Arc<str>, Need>;
