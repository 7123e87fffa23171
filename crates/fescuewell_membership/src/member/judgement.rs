//! What [`Members`] concludes from its observations: who lives, who has ended, whether it is cut off.

use std::collections::BTreeSet;
use std::sync::Arc;

use fescuewell_core::log_event;
use fescuewell_core::prelude::*;

use super::{MOST_WATCHED, Members};
use crate::row::{self, Row, State};
use crate::sighting::Sighting;
use crate::view::{Peer, View};

impl Members {
    /// Keys of the rows to read closely: the own row, which proves the reading fresh, and those of
    /// the members that this instance watches.
    pub(super) fn watched_keys(&self) -> Vec<Arc<str>> {
        let own = &self.own.me().instance;
        let suspects = self.sightings.iter().filter(|(_, seen)| is_in_doubt(seen));
        let suspects: Vec<&Arc<str>> = suspects.map(|(name, _)| name).collect();
        let (urgent, others): (Vec<&Arc<str>>, Vec<&Arc<str>>) = suspects
            .into_iter()
            .partition(|name| self.extra_watch.contains(*name));
        let mut names: Vec<Arc<str>> = self.next_on_ring();
        names.extend(urgent.into_iter().cloned());
        names.extend(self.extra_watch.iter().cloned());
        names.extend(others.into_iter().cloned());
        let mut keys = vec![row::key(own)];
        // In the loss of a zone hundreds are suspected at once. The owners of slots come first, and the
        // limit keeps all instances together within what the table can read.
        for name in names {
            let key = row::key(&name);
            if keys.contains(&key) || keys.len() > MOST_WATCHED {
                continue;
            }
            keys.push(key);
        }
        keys
    }

    /// The members that follow this instance on a ring of hashed names, lapsed ones left out. Each
    /// member is so watched by `watchers` others, which a hash spreads over the zones.
    fn next_on_ring(&self) -> Vec<Arc<str>> {
        let own = &self.own.me().instance;
        let own_place = Digest::of(own.as_bytes());
        let mut ring: Vec<(bool, Digest, &Arc<str>)> = Vec::with_capacity(self.sightings.len());
        for (name, sighting) in &self.sightings {
            if sighting.is_lapsed() || sighting.row().state == State::Gone {
                continue;
            }
            let place = Digest::of(name.as_bytes());
            ring.push((place < own_place, place, name));
        }
        ring.sort_unstable();
        let next = ring.into_iter().take(self.settings.watchers);
        next.map(|(_, _, name)| name.clone()).collect()
    }

    /// Finds out whether this instance is cut off from the table and from its peers.
    ///
    /// Either alone is no reason to stop: in an outage of the store all instances would refuse
    /// everything, and an instance without peers still learns of new documents from the table. With
    /// both gone it could serve an old document for ever and nobody would notice but its callers.
    pub(super) fn judge_isolation(&mut self, now: Instant) {
        let limit = self.settings.isolation_limit;
        self.peers_answered.retain(|_, at| now.since(*at) <= limit);
        let near = self.peers_answered.len();
        let table_silent = now.since(self.table_answered) > limit;
        let isolated = table_silent && near < self.settings.isolation_peers;
        if isolated == self.isolated {
            return;
        }
        self.isolated = isolated;
        self.dirty = true;
        if isolated {
            log_event!(Event::Isolated, "instance={}", self.own.me().instance);
        }
        self.refresh();
    }

    /// Makes the view anew if something that it shows has changed; a heartbeat alone has not.
    pub(super) fn refresh(&mut self) {
        if !std::mem::take(&mut self.dirty) {
            return;
        }
        let mut view = View {
            leaving_servers: self.words.leaving_servers(),
            complete: self.complete,
            isolated: self.isolated,
            superseded: self.own.is_superseded(),
            drain_requested: self.words.is_leaving(&self.own.me().instance),
            ..View::default()
        };
        view.ready = self.own.row().state == State::Ready && !view.isolated && !view.superseded;
        self.judge_own(&mut view);
        for (instance, sighting) in &self.sightings {
            self.judge_other(&mut view, instance, sighting);
        }
        view.live.sort_by(|a, b| a.instance.cmp(&b.instance));
        self.view = view;
    }

    fn judge_own(&self, view: &mut View) {
        let instance = &self.own.me().instance;
        let row = self.own.row();
        judge_earlier(view, instance, row, false);
        if !view.superseded && row.state != State::Gone {
            let holder = row::holder(instance, row.incarnation);
            view.live.push(peer(instance, holder, row, false));
        }
    }

    fn judge_other(&self, view: &mut View, instance: &Arc<str>, sighting: &Sighting) {
        let row = sighting.row();
        let holder = sighting.holder().clone();
        let list_lag = self.settings.list_lag;
        let proved = self.words.proves_end(instance, sighting, list_lag);
        judge_earlier(view, instance, row, proved);
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
        let suspected = sighting.is_suspected() || self.words.is_leaving(instance);
        view.live.push(peer(instance, holder, row, suspected));
    }
}

/// An earlier incarnation can write its row no more, so its slots may be taken by their epoch; but
/// until it is proved to have ended it may still spend its allowances.
fn judge_earlier(view: &mut View, instance: &str, row: &Row, all_ended: bool) {
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

fn is_in_doubt(sighting: &Sighting) -> bool {
    let over = sighting.is_lapsed() || sighting.row().state == State::Gone;
    sighting.is_suspected() && !over
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
