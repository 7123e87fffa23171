//! What the platform's lagging instance list, and backend servers themselves, say about leaving.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use fescuewell_core::platform::{Listing, Role, State};
use fescuewell_core::prelude::*;

use crate::sighting::Sighting;

/// The newest word on each instance and backend server.
#[derive(Debug, Clone, Default)]
pub struct Statuses {
    heard_at: Instant,
    entries: BTreeMap<Arc<str>, State>,
    servers: BTreeMap<Arc<str>, State>,
    own_words: BTreeMap<Arc<str>, Instant>,
}

impl Statuses {
    /// Takes a list. A list that could not be had is not passed, so that the last one stands.
    pub fn apply_list(&mut self, now: Instant, list: &[Listing], list_lag: Duration) {
        self.heard_at = now;
        for listing in list {
            let words = match listing.role {
                Role::Entry => &mut self.entries,
                Role::Engine | Role::Service => &mut self.servers,
            };
            words.insert(listing.name.clone(), listing.state);
        }
        // A list that still says "live" may be older than the server's own word that it leaves, by as
        // much as the list lags. Believing it would send work to a server that is about to go.
        let servers = &self.servers;
        self.own_words.retain(|name, said_at| {
            let listed_live = servers.get(name) == Some(&State::Live);
            !(listed_live && now.since(*said_at) > list_lag)
        });
    }

    /// Takes a backend server's own word: a refusal because it leaves, or its "leaving" header.
    pub fn mark_server_leaving(&mut self, now: Instant, server: &str) {
        self.own_words.insert(server.into(), now);
    }

    /// Backend servers that get no new work.
    pub fn leaving_servers(&self) -> BTreeSet<Arc<str>> {
        let mut leaving: BTreeSet<Arc<str>> = self.own_words.keys().cloned().collect();
        for (name, state) in &self.servers {
            if *state == State::Live {
                continue;
            }
            leaving.insert(name.clone());
        }
        leaving
    }

    /// Whether the list says that the instance leaves or has gone.
    pub fn is_leaving(&self, instance: &str) -> bool {
        let word = self.entries.get(instance);
        matches!(word, Some(State::Leaving | State::Terminated))
    }

    /// Whether the list proves that the member's present incarnation, and so each earlier one, ended.
    ///
    /// The list names instances, not incarnations, and describes a time up to `list_lag` ago. Its
    /// word may therefore be about a predecessor of the same name. If it were believed at once, the
    /// allowances of a running process would be freed and spent twice. It counts only when it was
    /// heard `list_lag` after this incarnation was first seen, and the member's heartbeat has lapsed.
    pub fn proves_end(&self, instance: &str, sighting: &Sighting, list_lag: Duration) -> bool {
        let terminated = self.entries.get(instance) == Some(&State::Terminated);
        let late_enough = self.heard_at >= sighting.first_seen() + list_lag;
        terminated && late_enough && sighting.is_lapsed()
    }

    /// Forgets an entry instance whose row was removed.
    pub fn forget(&mut self, instance: &str) {
        self.entries.remove(instance);
    }
}
