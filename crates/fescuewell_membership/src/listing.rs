//! Reported statuses of instances and backend servers, from the platform's lagging instance list
//! and from the servers themselves.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use fescuewell_core::platform::{Listing, Role, State};
use fescuewell_core::prelude::*;

use crate::sighting::Sighting;

/// The latest status of each instance and backend server.
#[derive(Debug, Clone, Default)]
pub struct Statuses {
    listed_at: Instant,
    entries: BTreeMap<Arc<str>, State>,
    servers: BTreeMap<Arc<str>, State>,
    self_reported: BTreeMap<Arc<str>, Instant>,
}

impl Statuses {
    /// Applies a list. It is not called when fetching failed, so that the previous list stays in
    /// effect.
    pub fn apply_list(&mut self, now: Instant, list: &[Listing], list_lag: Duration) {
        self.listed_at = now;
        for listing in list {
            let statuses = match listing.role {
                Role::Entry => &mut self.entries,
                Role::Engine | Role::Service => &mut self.servers,
            };
            statuses.insert(listing.name.clone(), listing.state);
        }
        // A list that still says "live" may be older, by up to the list's lag, than the server's
        // own report that it is leaving. Trusting it would send work to a server that is about to
        // stop.
        let servers = &self.servers;
        self.self_reported.retain(|name, reported_at| {
            let listed_live = servers.get(name) == Some(&State::Live);
            !(listed_live && now.since(*reported_at) > list_lag)
        });
    }

    /// Records a backend server's own report: a refusal because it is leaving, or its "leaving"
    /// header.
    pub fn mark_server_leaving(&mut self, now: Instant, server: &str) {
        self.self_reported.insert(server.into(), now);
    }

    /// Backend servers that get no new work.
    pub fn leaving_servers(&self) -> BTreeSet<Arc<str>> {
        let mut leaving: BTreeSet<Arc<str>> = self.self_reported.keys().cloned().collect();
        for (name, state) in &self.servers {
            if *state == State::Live {
                continue;
            }
            leaving.insert(name.clone());
        }
        leaving
    }

    /// Whether the list says that the instance is leaving or has terminated.
    pub fn is_leaving(&self, instance: &str) -> bool {
        let status = self.entries.get(instance);
        matches!(status, Some(State::Leaving | State::Terminated))
    }

    /// Whether the list proves that the member's current incarnation, and so each earlier one, has
    /// ended.
    ///
    /// The list names instances, not incarnations, and describes a time up to `list_lag` ago. Its
    /// status may therefore belong to a predecessor of the same name; if it were trusted at once,
    /// the allowances of a running process would be freed and spent twice. It counts only if it was
    /// fetched at least `list_lag` after this incarnation was first seen, and if the member's
    /// heartbeat has lapsed.
    pub fn proves_end(&self, instance: &str, sighting: &Sighting, list_lag: Duration) -> bool {
        let terminated = self.entries.get(instance) == Some(&State::Terminated);
        let late_enough = self.listed_at >= sighting.first_seen() + list_lag;
        terminated && late_enough && sighting.is_lapsed()
    }

    /// Forgets an entry instance whose row was removed.
    pub fn forget(&mut self, instance: &str) {
        self.entries.remove(instance);
    }
}
