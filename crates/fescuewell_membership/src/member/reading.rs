//! Handles table replies and updates from peers for [`Members`].

use std::sync::Arc;

use fescuewell_core::log_event;
use fescuewell_core::prelude::*;
use fescuewell_core::table::{self, Outcome};

use super::{Members, Request};
use crate::row::{self, Row, State};
use crate::sighting::{Beat, Sighting};
use crate::update::Update;

/// Gap between two fresh reads, in read intervals, above which silence is not counted.
const MAX_READ_GAP: u32 = 3;

impl Members {
    pub(super) fn table_failed(&mut self, now: Instant, request: &Request) {
        self.last_table_failure = Some(now);
        for sighting in self.sightings.values_mut() {
            sighting.restart_count();
        }
        if matches!(request, Request::OwnRow | Request::Beat) {
            self.next_beat_at = now + self.jittered(self.settings.beat_interval / 2);
        }
        if let Request::Settle {
            instance,
            incarnation,
        } = request
        {
            self.settled.push_back((instance.clone(), *incarnation));
        }
        self.update_isolation(now);
    }

    pub(super) fn take_own_row(&mut self, rows: &[table::Row]) {
        let exclusive_address = self.settings.exclusive_address;
        self.dirty = true;
        match rows.first() {
            Some(found) => self.own.inherit(found, exclusive_address),
            None => self.own.inherit_none(),
        }
    }

    pub(super) fn finish_beat(&mut self, now: Instant, outcome: Outcome) {
        match outcome {
            Outcome::Committed { revision } => self.own.record_commit(revision),
            Outcome::Conflict { rows } => {
                self.dirty = true;
                let exclusive_address = self.settings.exclusive_address;
                if !self.own.resolve_conflict(rows.first(), exclusive_address) {
                    self.next_beat_at = now;
                }
            }
        }
    }

    fn is_fresh(&self, acked_beat: u64, rows: &[table::Row]) -> bool {
        // The read may come from a lagging replica. If it does not show this instance's own last
        // confirmed heartbeat, it is older than that heartbeat and proves nobody's silence.
        let own_key = row::key(&self.own.info().instance);
        let Some(found) = rows.iter().find(|found| found.key == own_key) else {
            return false;
        };
        let Ok(content) = Row::decode(&found.value) else {
            return false;
        };
        acked_beat > 0
            && content.incarnation == self.own.info().incarnation
            && content.beat >= acked_beat
    }

    pub(super) fn take_page(
        &mut self,
        now: Instant,
        is_first_page: bool,
        acked_beat: u64,
        requested_at: Instant,
        rows: &[table::Row],
    ) {
        let is_last = rows.len() < self.page_size() as usize;
        self.is_multi_page = !(is_first_page && is_last);
        self.apply_rows(now, rows);
        if is_first_page && is_last && self.is_fresh(acked_beat, rows) {
            let all: Vec<Arc<str>> = self.sightings.keys().cloned().collect();
            self.observe(requested_at, &all, rows);
        }
        if self.is_multi_page {
            self.suspect_silent(now, rows);
        }
        self.track_round(now, is_first_page, is_last, rows);
        self.dirty |= is_last && !self.complete;
        self.complete |= is_last;
        self.cursor = match is_last {
            true => None,
            false => rows.last().map(|row| row.key.clone()),
        };
    }

    /// Tracks which rows a scan round has shown. A member known only from a peer's delayed update,
    /// whose row has been removed, would otherwise stay forever, since no page shows that it is
    /// silent.
    fn track_round(
        &mut self,
        now: Instant,
        is_first_page: bool,
        is_last: bool,
        rows: &[table::Row],
    ) {
        if is_first_page {
            self.round_started = now;
            self.seen_this_round.clear();
        }
        let names = rows.iter().filter_map(|found| row::instance(&found.key));
        self.seen_this_round.extend(names.map(Arc::from));
        if !is_last {
            return;
        }
        self.fast_rounds = self.fast_rounds.saturating_sub(1);
        let mut states = self.sightings.values().map(|sighting| sighting.row().state);
        if !states.any(|state| state == State::Starting) {
            self.fast_rounds = 0;
        }
        for (instance, sighting) in &mut self.sightings {
            let unchanged = sighting.changed_at() < self.round_started;
            if unchanged && !self.seen_this_round.contains(instance) {
                self.dirty |= sighting.suspect();
            }
        }
    }

    pub(super) fn take_watched(
        &mut self,
        now: Instant,
        keys: &[Arc<str>],
        acked_beat: u64,
        requested_at: Instant,
        rows: &[table::Row],
    ) {
        self.apply_rows(now, rows);
        if !self.is_fresh(acked_beat, rows) {
            return;
        }
        let names = keys.iter().filter_map(|key| row::instance(key));
        let watched: Vec<Arc<str>> = names.map(Arc::from).collect();
        self.observe(requested_at, &watched, rows);
    }

    pub(super) fn apply_rows(&mut self, now: Instant, rows: &[table::Row]) {
        for found in rows {
            let Some(instance) = row::instance(&found.key) else {
                continue;
            };
            let Ok(content) = Row::decode(&found.value) else {
                continue;
            };
            let propagate = self.complete;
            self.apply_row(now, instance, content, found.revision, propagate);
        }
    }

    pub(super) fn apply_row(
        &mut self,
        now: Instant,
        instance: &str,
        row: Row,
        revision: u64,
        propagate: bool,
    ) {
        if instance == &*self.own.info().instance {
            return;
        }
        let Some(sighting) = self.sightings.get_mut(instance) else {
            let name: Arc<str> = instance.into();
            log_event!(Event::PeerJoined, "instance={name} zone={}", row.zone);
            self.push_member_update(propagate && row.state != State::Starting, &name, &row);
            let sighting = Sighting::new(now, &name, row, revision);
            self.sightings.insert(name, sighting);
            self.dirty = true;
            return;
        };
        let before = (sighting.row().incarnation, sighting.row().state);
        let is_visible = sighting.is_suspected() || !row.equals_except_beat(sighting.row());
        let newer = sighting.apply_row(now, instance, row, revision);
        self.dirty |= is_visible;
        if !newer {
            return;
        }
        let row = sighting.row();
        if (row.incarnation, row.state) != before {
            let row = row.clone();
            self.push_member_update(propagate, &instance.into(), &row);
        }
    }

    fn observe(&mut self, requested_at: Instant, instances: &[Arc<str>], rows: &[table::Row]) {
        let max_gap = self.settings.read_interval * MAX_READ_GAP;
        let mut removed = Vec::new();
        for instance in instances {
            let Some(sighting) = self.sightings.get_mut(instance) else {
                continue;
            };
            let was_lapsed = sighting.is_lapsed();
            sighting.observe(requested_at, max_gap, self.settings.lease);
            if sighting.is_lapsed() && !was_lapsed {
                self.dirty = true;
                let beat = Beat::of(sighting.row());
                log_event!(Event::PeerLost, "instance={instance} beat={}", beat.number);
                self.updates.push_back(Update::Suspicion {
                    instance: instance.clone(),
                    beat,
                });
            }
            let present = rows
                .iter()
                .any(|found| row::instance(&found.key) == Some(instance));
            let ended = sighting.is_lapsed() || sighting.row().state == State::Gone;
            if ended && !present {
                removed.push(instance.clone());
            }
        }
        for instance in removed {
            self.sightings.remove(&instance);
            self.dirty = true;
        }
    }

    /// Suspects members whose heartbeat has not changed for a lease. Nobody may be watching them
    /// any more; suspicion puts them on this instance's own watch list, where they lapse or prove
    /// to be alive.
    fn suspect_silent(&mut self, now: Instant, rows: &[table::Row]) {
        let lease = self.settings.lease;
        if self
            .last_table_failure
            .is_some_and(|at| now.since(at) <= lease)
        {
            return;
        }
        for found in rows {
            let Some(instance) = row::instance(&found.key) else {
                continue;
            };
            let Some(sighting) = self.sightings.get_mut(instance) else {
                continue;
            };
            if now.since(sighting.changed_at()) > lease {
                self.dirty |= sighting.suspect();
            }
        }
    }

    pub(super) fn apply_suspicion(&mut self, instance: &Arc<str>, beat: Beat) {
        let Some(sighting) = self.sightings.get_mut(instance) else {
            return;
        };
        if !sighting.apply_report(beat) {
            return;
        }
        self.dirty = true;
        self.push_update(Update::Suspicion {
            instance: instance.clone(),
            beat,
        });
    }
}
