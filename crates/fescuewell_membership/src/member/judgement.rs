//! Derives the view from the observations of [`Members`]: who is live, who has ended, and whether
//! this instance is isolated.

use std::collections::BTreeSet;
use std::sync::Arc;

use fescuewell_core::log_event;
use fescuewell_core::prelude::*;

use super::{MAX_WATCHED, Members};
use crate::row::{self, Row, State};
use crate::sighting::Sighting;
use crate::view::{Peer, View};

impl Members {
    /// Keys of the rows to read closely: this instance's own row, which proves that the read is
    /// fresh, and those of the members that it watches.
    pub(super) fn watched_keys(&self) -> Vec<Arc<str>> {
        let own = &self.own.info().instance;
        let suspects = self
            .sightings
            .iter()
            .filter(|(_, seen)| needs_confirmation(seen));
        let suspects: Vec<&Arc<str>> = suspects.map(|(name, _)| name).collect();
        let (urgent, others): (Vec<&Arc<str>>, Vec<&Arc<str>>) = suspects
            .into_iter()
            .partition(|name| self.requested_watch.contains(*name));
        let mut names: Vec<Arc<str>> = self.next_on_ring();
        names.extend(urgent.into_iter().cloned());
        names.extend(self.requested_watch.iter().cloned());
        names.extend(others.into_iter().cloned());
        let mut keys = vec![row::key(own)];
        // When a zone is lost, hundreds of members are suspected at once. Owners of slots come
        // first, and the limit keeps the reads of all instances together within what the table can
        // serve.
        for name in names {
            let key = row::key(&name);
            if keys.contains(&key) || keys.len() > MAX_WATCHED {
                continue;
            }
            keys.push(key);
        }
        keys
    }

    /// The members that follow this instance on a ring of hashed names, skipping lapsed ones. Each
    /// member is thus watched by `watchers` others, which the hash spreads over the zones.
    fn next_on_ring(&self) -> Vec<Arc<str>> {
        let own = &self.own.info().instance;
        let own_hash = Digest::of(own.as_bytes());
        let mut ring: Vec<(bool, Digest, &Arc<str>)> = Vec::with_capacity(self.sightings.len());
        for (name, sighting) in &self.sightings {
            if sighting.is_lapsed() || sighting.row().state == State::Gone {
                continue;
            }
            let hash = Digest::of(name.as_bytes());
            ring.push((hash < own_hash, hash, name));
        }
        ring.sort_unstable();
        let next = ring.into_iter().take(self.settings.watchers);
        next.map(|(_, _, name)| name.clone()).collect()
    }

    /// Determines whether this instance is cut off from both the table and its peers.
    ///
    /// Losing either alone is no reason to stop: in an outage of the store all instances would
    /// refuse everything, and an instance without peers still learns of new documents from the
    /// table. Without both it could serve an old document indefinitely, and only its callers would
    /// notice.
    pub(super) fn update_isolation(&mut self, now: Instant) {
        let limit = self.settings.isolation_limit;
        self.last_peer_responses
            .retain(|_, at| now.since(*at) <= limit);
        let responsive = self.last_peer_responses.len();
        let table_silent = now.since(self.last_table_reply) > limit;
        let isolated = table_silent && responsive < self.settings.isolation_peers;
        if isolated == self.isolated {
            return;
        }
        self.isolated = isolated;
        self.dirty = true;
        if isolated {
            log_event!(Event::Isolated, "instance={}", self.own.info().instance);
        }
        self.refresh_view();
    }

    /// Rebuilds the view if anything visible in it changed; a heartbeat alone is not visible.
    pub(super) fn refresh_view(&mut self) {
        if !std::mem::take(&mut self.dirty) {
            return;
        }
        let mut view = View {
            leaving_servers: self.statuses.leaving_servers(),
            complete: self.complete,
            isolated: self.isolated,
            superseded: self.own.is_superseded(),
            drain_requested: self.statuses.is_leaving(&self.own.info().instance),
            ..View::default()
        };
        view.ready = self.own.row().state == State::Ready && !view.isolated && !view.superseded;
        self.add_own(&mut view);
        for (instance, sighting) in &self.sightings {
            self.add_member(&mut view, instance, sighting);
        }
        view.live.sort_by(|a, b| a.instance.cmp(&b.instance));
        self.view = view;
    }

    fn add_own(&self, view: &mut View) {
        let instance = &self.own.info().instance;
        let row = self.own.row();
        add_earlier(view, instance, row, false);
        if !view.superseded && row.state != State::Gone {
            let holder = row::holder(instance, row.incarnation);
            view.live.push(peer(instance, holder, row, false));
        }
    }

    fn add_member(&self, view: &mut View, instance: &Arc<str>, sighting: &Sighting) {
        let row = sighting.row();
        let holder = sighting.holder().clone();
        let list_lag = self.settings.list_lag;
        let proved = self.statuses.proves_end(instance, sighting, list_lag);
        add_earlier(view, instance, row, proved);
        if row.settled {
            return;
        }
        if row.state == State::Gone || proved {
            view.terminated.insert(holder);
            return;
        }
        if sighting.is_lapsed() {
            view.lapsed.insert(holder);
            return;
        }
        let suspected = sighting.is_suspected() || self.statuses.is_leaving(instance);
        view.live.push(peer(instance, holder, row, suspected));
    }
}

/// An earlier incarnation can no longer write its row, so its slots may be taken over by epoch.
/// Until it is proved to have ended, it may still spend its allowances.
fn add_earlier(view: &mut View, instance: &str, row: &Row, all_ended: bool) {
    for earlier in &row.earlier {
        let holder = row::holder(instance, earlier.incarnation);
        let ended = earlier.ended || all_ended;
        let set: &mut BTreeSet<Arc<str>> = match ended {
            true => &mut view.terminated,
            false => &mut view.lapsed,
        };
        set.insert(holder);
    }
}

fn needs_confirmation(sighting: &Sighting) -> bool {
    let ended = sighting.is_lapsed() || sighting.row().state == State::Gone;
    sighting.is_suspected() && !ended
}

fn peer(instance: &Arc<str>, holder: Arc<str>, row: &Row, suspected: bool) -> Peer {
    Peer {
        instance: instance.clone(),
        holder,
        caller_address: row.caller_address,
        peer_address: row.peer_address,
        operator_address: row.operator_address,
        zone: row.zone.clone(),
        state: row.state,
        version: row.version,
        formats: row.formats,
        load: row.load,
        suspected,
    }
}
