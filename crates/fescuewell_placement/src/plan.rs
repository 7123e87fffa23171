//! Which order comes next: a pure function of the fleet, the needs and the limits.

use std::collections::BTreeMap;
use std::sync::Arc;

use fescuewell_core::prelude::*;

use crate::fleet::{Fleet, Observation, Server};
use crate::goal::Needs;
use crate::order::{Action, Reason};
use crate::settings::{Settings, millis};

/// An order to be.
pub(crate) struct Idea {
    pub(crate) server: Arc<str>,
    pub(crate) action: Action,
    pub(crate) reason: Reason,
}

/// What a plan is made from.
pub(crate) struct View<'a> {
    pub(crate) now: Instant,
    pub(crate) settings: &'a Settings,
    pub(crate) fleet: &'a Fleet,
    pub(crate) needs: &'a Needs,
    /// Servers of each model.
    pub(crate) serving: &'a BTreeMap<Arc<str>, u64>,
    /// Servers that ignore fencing numbers may be ordered, as the settling time is over.
    pub(crate) settled: bool,
    /// A load may begin now.
    pub(crate) load_allowed: bool,
}

impl View<'_> {
    /// The most pressing order.
    pub(crate) fn next(&self) -> Option<Idea> {
        self.fence()
            .or_else(|| self.needed())
            .or_else(|| self.unlisted())
            .or_else(|| self.role())
    }

    /// Servers that may be given an order now, with what they have.
    fn orderable(&self) -> impl Iterator<Item = (&Arc<str>, &Server, &Observation)> {
        let life = millis(self.settings.seen_life_ms);
        self.fleet.iter().filter_map(move |(name, server)| {
            let free = server.pending.is_none() && (server.checks || self.settled);
            let seen = server.fresh(self.now, life)?;
            free.then_some((name, server, seen))
        })
    }

    fn idea(server: &Arc<str>, action: Action, reason: Reason) -> Idea {
        Idea {
            server: server.clone(),
            action,
            reason,
        }
    }

    /// A server that checks fencing numbers only refuses an old one once it knows a newer one.
    fn fence(&self) -> Option<Idea> {
        for (name, server, seen) in self.orderable() {
            if !server.checks || server.fenced || server.threats.is_empty() {
                continue;
            }
            let role = seen.role.clone();
            return Some(Self::idea(name, Action::Role { role }, Reason::Fence));
        }
        None
    }

    fn role(&self) -> Option<Idea> {
        for (name, server, seen) in self.orderable() {
            if server.leaving || seen.role == self.settings.role {
                continue;
            }
            let role = self.settings.role.clone();
            return Some(Self::idea(name, Action::Role { role }, Reason::Role));
        }
        None
    }

    fn unlisted(&self) -> Option<Idea> {
        for (name, server, seen) in self.orderable() {
            for model in &seen.loaded {
                if server.listed.contains(model) || !self.may_unload(server, seen, model) {
                    continue;
                }
                let model = model.clone();
                return Some(Self::idea(name, Action::Unload { model }, Reason::Unlisted));
            }
        }
        None
    }

    /// Whether enough servers keep the model without this one, whatever late order arrives.
    fn may_unload(&self, server: &Server, seen: &Observation, model: &str) -> bool {
        let adapter = |other: &Arc<str>| {
            let need = self.needs.get(other);
            need.and_then(|need| need.base.as_deref()) == Some(model)
        };
        if seen.loaded.union(&seen.loading).any(adapter) {
            return false;
        }
        let Some(need) = self.needs.get(model) else {
            return true;
        };
        let life = millis(self.settings.seen_life_ms);
        let reliable = |server: &Server| server.reliable(self.now, life, model);
        let all = self
            .fleet
            .values()
            .filter(|server| reliable(server))
            .count();
        let without = all - usize::from(reliable(server));
        without >= need.least as usize
    }

    /// Loads for the model that lacks most, or makes room for it.
    fn needed(&self) -> Option<Idea> {
        let mut lacking: Vec<(u32, &Arc<str>)> = Vec::new();
        for (model, need) in self.needs {
            let lack = need.servers().saturating_sub(self.coming(model));
            if lack > 0 {
                lacking.push((lack, model));
            }
        }
        lacking.sort_by(|a, b| b.0.cmp(&a.0).then(a.1.cmp(b.1)));
        for (_, model) in lacking {
            let idea = self.load(model).or_else(|| self.make_room(model));
            if idea.is_some() {
                return idea;
            }
        }
        None
    }

    /// Listed servers that have the model for good, or are about to have it.
    fn coming(&self, model: &str) -> u32 {
        let mut count = 0;
        for server in self.fleet.values() {
            let known = server.known(self.now, millis(self.settings.lost_after_ms));
            if !known || !server.listed.contains(model) {
                continue;
            }
            let threatened = !server.threats.is_empty()
                && !server.reliable(self.now, millis(self.settings.seen_life_ms), model);
            let has = server.serves(model) && !threatened;
            count += u32::from(has || server.awaits(model));
        }
        count
    }

    /// Servers that may load the model, least used first.
    fn takers(&self, model: &Arc<str>) -> Vec<(&Arc<str>, &Server, &Observation)> {
        let mut takers: Vec<(u64, &Arc<str>, &Server, &Observation)> = Vec::new();
        for (name, server, seen) in self.orderable() {
            let has = seen.loaded.contains(model) || seen.loading.contains(model);
            if has || server.leaving || !server.listed.contains(model) {
                continue;
            }
            takers.push((self.used(seen), name, server, seen));
        }
        takers.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.cmp(b.1)));
        takers
            .into_iter()
            .map(|(_, name, server, seen)| (name, server, seen))
            .collect()
    }

    /// Tokens per second that a server's models bring to it.
    fn used(&self, seen: &Observation) -> u64 {
        let mut used = 0;
        for model in seen.loaded.union(&seen.loading) {
            let demand = self.needs.get(model).map_or(0, |need| need.demand());
            let servers = self.serving.get(model).copied().unwrap_or(0);
            used += demand / servers.max(1);
        }
        used
    }

    fn load(&self, model: &Arc<str>) -> Option<Idea> {
        if !self.load_allowed {
            return None;
        }
        for (name, server, seen) in self.takers(model) {
            if server.occupied() >= self.settings.models_per_server as usize {
                continue;
            }
            let Some(model) = self.first_load(model, server, seen) else {
                continue;
            };
            return Some(Self::idea(name, Action::Load { model }, Reason::Needed));
        }
        None
    }

    /// What to load first: an adapter needs its base model on the same server.
    fn first_load(
        &self,
        model: &Arc<str>,
        server: &Server,
        seen: &Observation,
    ) -> Option<Arc<str>> {
        let base = self.needs.get(model).and_then(|need| need.base.as_ref());
        let Some(base) = base.filter(|base| !seen.loaded.contains(*base)) else {
            return Some(model.clone());
        };
        // A base that the document does not list here would be unloaded again, and one that
        // leaves no room for the adapter is of no use.
        let fits = server.occupied() + 2 <= self.settings.models_per_server as usize;
        let wanted = server.listed.contains(base) && !seen.loading.contains(base) && fits;
        wanted.then(|| base.clone())
    }

    /// Unloads a model that has servers to spare where the lacking one could go.
    fn make_room(&self, model: &Arc<str>) -> Option<Idea> {
        let takers = self.takers(model);
        let room = self.settings.models_per_server as usize;
        let coming = |server: &Server| server.makes_room() && server.listed.contains(model);
        let free = takers.iter().any(|(_, server, _)| server.occupied() < room);
        if free || self.fleet.values().any(coming) {
            return None;
        }
        for (name, server, seen) in takers {
            for other in &seen.loaded {
                let spare = self.needs.get(other).is_none_or(|need| {
                    !server.listed.contains(other) || self.coming(other) > need.servers()
                });
                if !spare || !self.may_unload(server, seen, other) {
                    continue;
                }
                let model = other.clone();
                return Some(Self::idea(name, Action::Unload { model }, Reason::Room));
            }
        }
        None
    }
}
