//! Observed state of the backend servers, and orders that may still change it.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use fescuewell_core::prelude::*;

use crate::order::{Action, LateOrder, Reason};

fescuewell_core::message! {
    /// State that a backend server reported.
    #[derive(Eq)]
    pub struct Observation {
        /// Time of the request for the state. A state requested before an order was sent says
        /// nothing about the order's effect.
        pub requested_at: Instant,
        /// Models that it has loaded.
        pub loaded: BTreeSet<Arc<str>>,
        /// Models that it is loading.
        pub loading: BTreeSet<Arc<str>>,
        /// Its role.
        pub role: Arc<str>,
    }
}

/// An order that may still arrive at a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Undelivered {
    pub(crate) late: LateOrder,
    /// Time after which it can no longer arrive; `None` for an order of an earlier leader, which
    /// may be paused for any time.
    pub(crate) expires_at: Option<Instant>,
}

/// An order whose effect has not been observed yet.
#[derive(Debug, Clone)]
pub(crate) struct Pending {
    pub(crate) action: Action,
    pub(crate) reason: Reason,
    /// Time at which it was returned for sending; `None` while its row is being written.
    pub(crate) sent_at: Option<Instant>,
}

/// An engine of the document.
#[derive(Debug, Clone, Default)]
pub(crate) struct Server {
    pub(crate) listed_models: BTreeSet<Arc<str>>,
    pub(crate) checks_fencing: bool,
    pub(crate) leaving: bool,
    pub(crate) observed: Option<Observation>,
    pub(crate) pending: Option<Pending>,
    pub(crate) undelivered: Vec<Undelivered>,
    pub(crate) fenced: bool,
}

impl Server {
    pub(crate) fn fresh(&self, now: Instant, max_age: Duration) -> Option<&Observation> {
        let observed = self.observed.as_ref()?;
        (now.since(observed.requested_at) <= max_age).then_some(observed)
    }

    /// Whether the server has the model loaded, as last observed, is not draining, and no pending
    /// order unloads it.
    pub(crate) fn serves(&self, model: &str) -> bool {
        let unloading = self.pending.as_ref().is_some_and(
            |pending| matches!(&pending.action, Action::Unload { model: gone } if **gone == *model),
        );
        let loaded = self
            .observed
            .as_ref()
            .is_some_and(|observed| observed.loaded.contains(model));
        loaded && !unloading && !self.leaving
    }

    /// Whether the server keeps serving the model, whichever late order arrives.
    ///
    /// An order that an earlier leader sent may arrive after it lost leadership, and unload the
    /// model on a server that does not check fencing numbers. Together with the next regular unload
    /// it would leave the model with too few servers. So such a server does not count when the
    /// planner checks whether another one may unload the model.
    pub(crate) fn reliable(&self, now: Instant, max_age: Duration, model: &str) -> bool {
        let at_risk = self.undelivered.iter().any(|undelivered| {
            matches!(&undelivered.late.action, Action::Unload { model: gone } if **gone == *model)
        });
        self.serves(model) && !at_risk && self.fresh(now, max_age).is_some()
    }

    /// Whether the server was observed within `lost_after`; otherwise it does not count at all.
    pub(crate) fn known(&self, now: Instant, lost_after: Duration) -> bool {
        self.fresh(now, lost_after).is_some()
    }

    /// Whether a pending order unloads a model.
    pub(crate) fn is_unloading(&self) -> bool {
        let pending = self.pending.as_ref();
        pending.is_some_and(|pending| matches!(pending.action, Action::Unload { .. }))
    }

    /// Whether the model is being loaded or a pending order loads it.
    pub(crate) fn is_gaining(&self, model: &str) -> bool {
        let ordered = self.pending.as_ref().is_some_and(
            |pending| matches!(&pending.action, Action::Load { model: new } if **new == *model),
        );
        let loading = self
            .observed
            .as_ref()
            .is_some_and(|observed| observed.loading.contains(model));
        (ordered || loading) && !self.leaving
    }

    /// Number of models that are loaded or being loaded.
    pub(crate) fn model_count(&self) -> usize {
        let observed = self.observed.as_ref();
        observed.map_or(0, |observed| {
            observed.loaded.union(&observed.loading).count()
        })
    }
}

/// Whether an observed state shows that an action took effect.
pub(crate) fn has_effect(observed: &Observation, action: &Action) -> bool {
    match action {
        Action::Load { model } => observed.loaded.contains(model),
        Action::Unload { model } => {
            !observed.loaded.contains(model) && !observed.loading.contains(model)
        }
        Action::Role { role } => observed.role == *role,
    }
}

/// All engines by name.
pub(crate) type Fleet = BTreeMap<Arc<str>, Server>;

impl Server {
    /// Removes undelivered orders that have expired or whose effect was observed.
    pub(crate) fn prune_undelivered(&mut self, now: Instant) {
        let observed = self.observed.as_ref();
        self.undelivered.retain(|undelivered| {
            let expired = undelivered
                .expires_at
                .is_some_and(|expires_at| now >= expires_at);
            let arrived = undelivered.late.single
                && undelivered.expires_at.is_none()
                && observed.is_some_and(|observed| has_effect(observed, &undelivered.late.action));
            !expired && !arrived
        });
    }

    /// Returns the actions that undo the changes since `before` that this planner did not order.
    pub(crate) fn undo_external(&self, before: &Observation) -> Vec<Action> {
        let Some(observed) = &self.observed else {
            return Vec::new();
        };
        let pending = self.pending.as_ref().map(|pending| &pending.action);
        let mut undo = Vec::new();
        for model in before.loaded.difference(&observed.loaded).cloned() {
            let unload = Action::Unload {
                model: model.clone(),
            };
            if pending != Some(&unload) {
                undo.push(Action::Load { model });
            }
        }
        for model in observed.loaded.difference(&before.loaded).cloned() {
            let load = Action::Load {
                model: model.clone(),
            };
            if pending != Some(&load) && !before.loading.contains(&model) {
                undo.push(Action::Unload { model });
            }
        }
        undo
    }

    /// Adds an order that may still arrive. Only unloads are kept, since only they can do harm.
    pub(crate) fn add_undelivered(&mut self, order: Undelivered) {
        let unload = matches!(order.late.action, Action::Unload { .. });
        if unload && !self.undelivered.contains(&order) {
            self.undelivered.push(order);
        }
    }
}

/// Counts the servers that serve each model.
pub(crate) fn serving_counts(fleet: &Fleet) -> BTreeMap<Arc<str>, u64> {
    let mut counts = BTreeMap::new();
    for server in fleet.values() {
        let Some(observed) = &server.observed else {
            continue;
        };
        for model in &observed.loaded {
            *counts.entry(model.clone()).or_default() += u64::from(server.serves(model));
        }
    }
    counts
}
