//! What backend servers have, as they say themselves, and what they may lose.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use fescuewell_core::prelude::*;

use crate::order::{Action, LateOrder, Reason};

fescuewell_core::message! {
    /// What a backend server said of itself.
    #[derive(Eq)]
    pub struct Observation {
        /// When it was asked. An answer to a question from before an order says nothing about it.
        pub requested_at: Instant,
        /// Models that it serves.
        pub loaded: BTreeSet<Arc<str>>,
        /// Models that it is loading.
        pub loading: BTreeSet<Arc<str>>,
        /// Its role.
        pub role: Arc<str>,
    }
}

/// An order that may still arrive at a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Threat {
    pub(crate) late: LateOrder,
    /// When it has died out; `None` for those of a holder that may sleep for any time.
    pub(crate) until: Option<Instant>,
}

/// An order that was given and whose effect was not seen yet.
#[derive(Debug, Clone)]
pub(crate) struct Pending {
    pub(crate) action: Action,
    pub(crate) reason: Reason,
    /// When it was handed out to be sent; none while its row is being written.
    pub(crate) sent: Option<Instant>,
}

/// One engine of the document.
#[derive(Debug, Clone, Default)]
pub(crate) struct Server {
    pub(crate) listed: BTreeSet<Arc<str>>,
    pub(crate) checks: bool,
    pub(crate) leaving: bool,
    pub(crate) seen: Option<Observation>,
    pub(crate) pending: Option<Pending>,
    pub(crate) threats: Vec<Threat>,
    pub(crate) fenced: bool,
}

impl Server {
    pub(crate) fn fresh(&self, now: Instant, life: Duration) -> Option<&Observation> {
        let seen = self.seen.as_ref()?;
        (now.since(seen.requested_at) <= life).then_some(seen)
    }

    /// Whether the server has the model, as far as is known, and is not about to lose it by us.
    pub(crate) fn serves(&self, model: &str) -> bool {
        let unloading = self.pending.as_ref().is_some_and(
            |pending| matches!(&pending.action, Action::Unload { model: gone } if **gone == *model),
        );
        let loaded = self
            .seen
            .as_ref()
            .is_some_and(|seen| seen.loaded.contains(model));
        loaded && !unloading && !self.leaving
    }

    /// Whether the server will go on serving the model whatever late order arrives.
    ///
    /// An order of an earlier holder, sent before it was paused and delivered after it lost the
    /// duty, can still unload a model on a server that ignores fencing numbers. One would notice
    /// by a model with too few servers after the next regular unload. So a server under such a
    /// threat is not counted when it is decided whether another may unload.
    pub(crate) fn reliable(&self, now: Instant, life: Duration, model: &str) -> bool {
        let threatened = self.threats.iter().any(|threat| {
            matches!(&threat.late.action, Action::Unload { model: gone } if **gone == *model)
        });
        self.serves(model) && !threatened && self.fresh(now, life).is_some()
    }

    /// Whether the server was heard of lately enough to be counted at all.
    pub(crate) fn known(&self, now: Instant, lost_after: Duration) -> bool {
        self.fresh(now, lost_after).is_some()
    }

    /// Whether an order makes room on it.
    pub(crate) fn makes_room(&self) -> bool {
        let pending = self.pending.as_ref();
        pending.is_some_and(|pending| matches!(pending.action, Action::Unload { .. }))
    }

    /// Whether the model is being loaded or was ordered.
    pub(crate) fn awaits(&self, model: &str) -> bool {
        let ordered = self.pending.as_ref().is_some_and(
            |pending| matches!(&pending.action, Action::Load { model: new } if **new == *model),
        );
        let loading = self
            .seen
            .as_ref()
            .is_some_and(|seen| seen.loading.contains(model));
        (ordered || loading) && !self.leaving
    }

    /// Models that take up room.
    pub(crate) fn occupied(&self) -> usize {
        let seen = self.seen.as_ref();
        seen.map_or(0, |seen| seen.loaded.union(&seen.loading).count())
    }
}

/// Whether a read-back shows that an action took effect.
pub(crate) fn shows(seen: &Observation, action: &Action) -> bool {
    match action {
        Action::Load { model } => seen.loaded.contains(model),
        Action::Unload { model } => !seen.loaded.contains(model) && !seen.loading.contains(model),
        Action::Role { role } => seen.role == *role,
    }
}

/// All engines by name.
pub(crate) type Fleet = BTreeMap<Arc<str>, Server>;

impl Server {
    /// Drops threats that are over: timed out, or seen to have arrived.
    pub(crate) fn review_threats(&mut self, now: Instant) {
        let seen = self.seen.as_ref();
        self.threats.retain(|threat| {
            let over = threat.until.is_some_and(|until| now >= until);
            let arrived = threat.late.single
                && threat.until.is_none()
                && seen.is_some_and(|seen| shows(seen, &threat.late.action));
            !over && !arrived
        });
    }

    /// What would undo the changes since `before` that this planner did not order.
    pub(crate) fn unordered(&self, before: &Observation) -> Vec<Action> {
        let Some(seen) = &self.seen else {
            return Vec::new();
        };
        let pending = self.pending.as_ref().map(|pending| &pending.action);
        let mut undo = Vec::new();
        for model in before.loaded.difference(&seen.loaded).cloned() {
            let unload = Action::Unload {
                model: model.clone(),
            };
            if pending != Some(&unload) {
                undo.push(Action::Load { model });
            }
        }
        for model in seen.loaded.difference(&before.loaded).cloned() {
            let load = Action::Load {
                model: model.clone(),
            };
            if pending != Some(&load) && !before.loading.contains(&model) {
                undo.push(Action::Unload { model });
            }
        }
        undo
    }

    /// Notes an order that may still arrive; only unloads can do harm later.
    pub(crate) fn threaten(&mut self, threat: Threat) {
        let unload = matches!(threat.late.action, Action::Unload { .. });
        if unload && !self.threats.contains(&threat) {
            self.threats.push(threat);
        }
    }
}

/// How many servers serve each model.
pub(crate) fn serving(fleet: &Fleet) -> BTreeMap<Arc<str>, u64> {
    let mut counts = BTreeMap::new();
    for server in fleet.values() {
        let Some(seen) = &server.seen else {
            continue;
        };
        for model in &seen.loaded {
            *counts.entry(model.clone()).or_default() += u64::from(server.serves(model));
        }
    }
    counts
}
