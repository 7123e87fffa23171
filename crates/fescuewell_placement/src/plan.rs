//! Choice of the next order, as a pure function of the fleet, the needs and the limits.

use std::collections::BTreeMap;
use std::sync::Arc;

use fescuewell_core::prelude::*;

use crate::fleet::{Fleet, Observation, Server};
use crate::goal::Needs;
use crate::order::{Action, Reason};
use crate::settings::{Settings, millis};

/// A proposed order.
pub(crate) struct Proposal {
    pub(crate) server: Arc<str>,
    pub(crate) action: Action,
    pub(crate) reason: Reason,
}

/// Inputs of a planning step.
pub(crate) struct Context<'a> {
    pub(crate) now: Instant,
    pub(crate) settings: &'a Settings,
    pub(crate) fleet: &'a Fleet,
    pub(crate) needs: &'a Needs,
    /// Number of servers that serve each model.
    pub(crate) serving: &'a BTreeMap<Arc<str>, u64>,
    /// Whether the settling time is over, so that servers that ignore fencing numbers may get
    /// orders.
    pub(crate) settled: bool,
    /// Whether a load may begin now.
    pub(crate) load_allowed: bool,
}

impl Context<'_> {
    /// Returns the order with the highest priority.
    pub(crate) fn next(&self) -> Option<Proposal> {
        self.fence()
            .or_else(|| self.load_needed())
            .or_else(|| self.unlisted())
            .or_else(|| self.role())
    }

    /// Servers that may get an order now, with their observed state.
    fn orderable(&self) -> impl Iterator<Item = (&Arc<str>, &Server, &Observation)> {
        let max_age = millis(self.settings.seen_life_ms);
        self.fleet.iter().filter_map(move |(name, server)| {
            let is_free = server.pending.is_none() && (server.checks_fencing || self.settled);
            let observed = server.fresh(self.now, max_age)?;
            is_free.then_some((name, server, observed))
        })
    }

    fn proposal(server: &Arc<str>, action: Action, reason: Reason) -> Proposal {
        Proposal {
            server: server.clone(),
            action,
            reason,
        }
    }

    /// Proposes an order that informs a server of the new fencing number. A server that checks
    /// fencing numbers rejects an old one only once it knows a newer one.
    fn fence(&self) -> Option<Proposal> {
        for (name, server, observed) in self.orderable() {
            if !server.checks_fencing || server.fenced || server.undelivered.is_empty() {
                continue;
            }
            let role = observed.role.clone();
            return Some(Self::proposal(name, Action::Role { role }, Reason::Fence));
        }
        None
    }

    fn role(&self) -> Option<Proposal> {
        for (name, server, observed) in self.orderable() {
            if server.leaving || observed.role == self.settings.role {
                continue;
            }
            let role = self.settings.role.clone();
            return Some(Self::proposal(name, Action::Role { role }, Reason::Role));
        }
        None
    }

    fn unlisted(&self) -> Option<Proposal> {
        for (name, server, observed) in self.orderable() {
            for model in &observed.loaded {
                if server.listed_models.contains(model) || !self.may_unload(server, observed, model)
                {
                    continue;
                }
                let model = model.clone();
                return Some(Self::proposal(
                    name,
                    Action::Unload { model },
                    Reason::Unlisted,
                ));
            }
        }
        None
    }

    /// Whether enough servers keep the model without this one, whichever late order arrives.
    fn may_unload(&self, server: &Server, observed: &Observation, model: &str) -> bool {
        let is_adapter = |other: &Arc<str>| {
            let need = self.needs.get(other);
            need.and_then(|need| need.base.as_deref()) == Some(model)
        };
        if observed.loaded.union(&observed.loading).any(is_adapter) {
            return false;
        }
        let Some(need) = self.needs.get(model) else {
            return true;
        };
        let max_age = millis(self.settings.seen_life_ms);
        let is_reliable = |server: &Server| server.reliable(self.now, max_age, model);
        let reliable_servers = self
            .fleet
            .values()
            .filter(|server| is_reliable(server))
            .count();
        let without = reliable_servers - usize::from(is_reliable(server));
        without >= need.min_servers as usize
    }

    /// Proposes a load of the model that lacks most servers, or an unload that frees capacity for
    /// it.
    fn load_needed(&self) -> Option<Proposal> {
        let mut short: Vec<(u32, &Arc<str>)> = Vec::new();
        for (model, need) in self.needs {
            let missing = need.servers().saturating_sub(self.expected_servers(model));
            if missing > 0 {
                short.push((missing, model));
            }
        }
        short.sort_by(|a, b| b.0.cmp(&a.0).then(a.1.cmp(b.1)));
        for (_, model) in short {
            let proposal = self.load(model).or_else(|| self.free_capacity(model));
            if proposal.is_some() {
                return proposal;
            }
        }
        None
    }

    /// Counts the listed servers that have the model and will keep it, or are about to have it.
    fn expected_servers(&self, model: &str) -> u32 {
        let mut count = 0;
        for server in self.fleet.values() {
            let known = server.known(self.now, millis(self.settings.lost_after_ms));
            if !known || !server.listed_models.contains(model) {
                continue;
            }
            let at_risk = !server.undelivered.is_empty()
                && !server.reliable(self.now, millis(self.settings.seen_life_ms), model);
            let serves = server.serves(model) && !at_risk;
            count += u32::from(serves || server.is_gaining(model));
        }
        count
    }

    /// Servers that may load the model, by increasing expected load.
    fn candidates(&self, model: &Arc<str>) -> Vec<(&Arc<str>, &Server, &Observation)> {
        let mut candidates: Vec<(u64, &Arc<str>, &Server, &Observation)> = Vec::new();
        for (name, server, observed) in self.orderable() {
            let has = observed.loaded.contains(model) || observed.loading.contains(model);
            if has || server.leaving || !server.listed_models.contains(model) {
                continue;
            }
            candidates.push((self.expected_load(observed), name, server, observed));
        }
        candidates.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.cmp(b.1)));
        candidates
            .into_iter()
            .map(|(_, name, server, observed)| (name, server, observed))
            .collect()
    }

    /// Expected load of a server in tokens per second, by the demand for its models.
    fn expected_load(&self, observed: &Observation) -> u64 {
        let mut load = 0;
        for model in observed.loaded.union(&observed.loading) {
            let demand = self.needs.get(model).map_or(0, |need| need.demand());
            let servers = self.serving.get(model).copied().unwrap_or(0);
            load += demand / servers.max(1);
        }
        load
    }

    fn load(&self, model: &Arc<str>) -> Option<Proposal> {
        if !self.load_allowed {
            return None;
        }
        for (name, server, observed) in self.candidates(model) {
            if server.model_count() >= self.settings.models_per_server as usize {
                continue;
            }
            let Some(model) = self.model_to_load(model, server, observed) else {
                continue;
            };
            return Some(Self::proposal(name, Action::Load { model }, Reason::Needed));
        }
        None
    }

    /// Returns the model to load first: an adapter needs its base model on the same server.
    fn model_to_load(
        &self,
        model: &Arc<str>,
        server: &Server,
        observed: &Observation,
    ) -> Option<Arc<str>> {
        let base = self.needs.get(model).and_then(|need| need.base.as_ref());
        let Some(base) = base.filter(|base| !observed.loaded.contains(*base)) else {
            return Some(model.clone());
        };
        // A base model that the document does not list for the server would be unloaded again, and
        // one that leaves no capacity for the adapter is useless.
        let fits = server.model_count() + 2 <= self.settings.models_per_server as usize;
        let can_load_base =
            server.listed_models.contains(base) && !observed.loading.contains(base) && fits;
        can_load_base.then(|| base.clone())
    }

    /// Proposes to unload a model with spare servers from a candidate for `model`.
    fn free_capacity(&self, model: &Arc<str>) -> Option<Proposal> {
        let candidates = self.candidates(model);
        let capacity = self.settings.models_per_server as usize;
        let is_unloading =
            |server: &Server| server.is_unloading() && server.listed_models.contains(model);
        let free = candidates
            .iter()
            .any(|(_, server, _)| server.model_count() < capacity);
        if free || self.fleet.values().any(is_unloading) {
            return None;
        }
        for (name, server, observed) in candidates {
            for other in &observed.loaded {
                let has_spare = self.needs.get(other).is_none_or(|need| {
                    !server.listed_models.contains(other)
                        || self.expected_servers(other) > need.servers()
                });
                if !has_spare || !self.may_unload(server, observed, other) {
                    continue;
                }
                let model = other.clone();
                return Some(Self::proposal(name, Action::Unload { model }, Reason::Room));
            }
        }
        None
    }
}
