//! How [`Members`] takes what the table replied and what peers told.

use std::sync::Arc;

use fescuewell_core::log_event;
use fescuewell_core::prelude::*;
use fescuewell_core::table::{self, Outcome};

use super::{Asked, Members};
use crate::row::{self, Row, State};
use crate::sighting::{Beat, Sighting};
use crate::update::Update;

/// Gap between two fresh readings, in read intervals, above which silence is not counted.
const MOST_GAP: u32 = 3;

impl Members {
    pub(super) fn table_failed(&mut self, now: Instant, asked: &Asked) {
        self.trouble_at = Some(now);
        for sighting in self.sightings.values_mut() {
            sighting.interrupt();
        }
        if matches!(asked, Asked::OwnRow | Asked::Beat) {
            self.due_beat = now + self.jittered(self.settings.beat_interval / 2);
        }
        if let Asked::Settle {
            instance,
            incarnation,
        } = asked
        {
            self.settled.push_back((instance.clone(), *incarnation));
        }
        self.judge_isolation(now);
    }

    pub(super) fn own_row_read(&mut self, rows: &[table::Row]) {
        let exclusive = self.settings.exclusive_address;
        self.dirty = true;
        match rows.first() {
            Some(found) => self.own.inherit(found, exclusive),
            None => self.own.inherit_nothing(),
        }
    }

    pub(super) fn beat_done(&mut self, now: Instant, outcome: Outcome) {
        match outcome {
            Outcome::Committed { revision } => self.own.committed(revision),
            Outcome::Conflict { rows } => {
                self.dirty = true;
                let exclusive = self.settings.exclusive_address;
                if !self.own.conflicted(rows.first(), exclusive) {
                    self.due_beat = now;
                }
            }
        }
    }

    fn is_fresh(&self, acked: u64, rows: &[table::Row]) -> bool {
        // A reading may come from a replica that lags. One that does not show this instance's own last
        // heartbeat is older than that heartbeat and proves nobody's silence.
        let own_key = row::key(&self.own.me().instance);
        let Some(found) = rows.iter().find(|found| found.key == own_key) else {
            return false;
        };
        let Ok(content) = Row::decode(&found.value) else {
            return false;
        };
        acked > 0 && content.incarnation == self.own.me().incarnation && content.beat >= acked
    }

    pub(super) fn page_read(
        &mut self,
        now: Instant,
        full_if_short: bool,
        acked: u64,
        at: Instant,
        rows: &[table::Row],
    ) {
        let last = rows.len() < self.page_size() as usize;
        self.several_pages = !(full_if_short && last);
        self.learn_rows(now, rows);
        if full_if_short && last && self.is_fresh(acked, rows) {
            let all: Vec<Arc<str>> = self.sightings.keys().cloned().collect();
            self.observe(at, &all, rows);
        }
        if self.several_pages {
            self.suspect_quiet(now, rows);
        }
        self.note_round(now, full_if_short, last, rows);
        self.dirty |= last && !self.complete;
        self.complete |= last;
        self.cursor = match last {
            true => None,
            false => rows.last().map(|row| row.key.clone()),
        };
    }

    /// Keeps track of which rows a round showed. A member known only from a peer's late news, whose row
    /// was removed meanwhile, would otherwise stay for ever: no page ever shows that it is silent.
    fn note_round(&mut self, now: Instant, first: bool, last: bool, rows: &[table::Row]) {
        if first {
            self.round_started = now;
            self.round_seen.clear();
        }
        let names = rows.iter().filter_map(|found| row::instance(&found.key));
        self.round_seen.extend(names.map(Arc::from));
        if !last {
            return;
        }
        self.hurry = self.hurry.saturating_sub(1);
        let mut states = self.sightings.values().map(|sighting| sighting.row().state);
        if !states.any(|state| state == State::Starting) {
            self.hurry = 0;
        }
        for (instance, sighting) in &mut self.sightings {
            let older = sighting.changed_at() < self.round_started;
            if older && !self.round_seen.contains(instance) {
                self.dirty |= sighting.suspect();
            }
        }
    }

    pub(super) fn watch_read(
        &mut self,
        now: Instant,
        keys: &[Arc<str>],
        acked: u64,
        at: Instant,
        rows: &[table::Row],
    ) {
        self.learn_rows(now, rows);
        if !self.is_fresh(acked, rows) {
            return;
        }
        let names = keys.iter().filter_map(|key| row::instance(key));
        let watched: Vec<Arc<str>> = names.map(Arc::from).collect();
        self.observe(at, &watched, rows);
    }

    pub(super) fn learn_rows(&mut self, now: Instant, rows: &[table::Row]) {
        for found in rows {
            let Some(instance) = row::instance(&found.key) else {
                continue;
            };
            let Ok(content) = Row::decode(&found.value) else {
                continue;
            };
            let spread = self.complete;
            self.learn(now, instance, content, found.revision, spread);
        }
    }

    pub(super) fn learn(
        &mut self,
        now: Instant,
        instance: &str,
        row: Row,
        revision: u64,
        spread: bool,
    ) {
        if instance == &*self.own.me().instance {
            return;
        }
        let Some(sighting) = self.sightings.get_mut(instance) else {
            let name: Arc<str> = instance.into();
            log_event!(Event::PeerJoined, "instance={name} zone={}", row.zone);
            self.push_member_update(spread && row.state != State::Starting, &name, &row);
            let sighting = Sighting::new(now, &name, row, revision);
            self.sightings.insert(name, sighting);
            self.dirty = true;
            return;
        };
        let before = (sighting.row().incarnation, sighting.row().state);
        let shows = sighting.is_suspected() || !row.equals_except_beat(sighting.row());
        let newer = sighting.learn(now, instance, row, revision);
        self.dirty |= shows;
        if !newer {
            return;
        }
        let row = sighting.row();
        if (row.incarnation, row.state) != before {
            let row = row.clone();
            self.push_member_update(spread, &instance.into(), &row);
        }
    }

    fn observe(&mut self, at: Instant, instances: &[Arc<str>], rows: &[table::Row]) {
        let most_gap = self.settings.read_interval * MOST_GAP;
        let mut removed = Vec::new();
        for instance in instances {
            let Some(sighting) = self.sightings.get_mut(instance) else {
                continue;
            };
            let was_lapsed = sighting.is_lapsed();
            sighting.observe(at, most_gap, self.settings.lease);
            if sighting.is_lapsed() && !was_lapsed {
                self.dirty = true;
                let beat = Beat::of(sighting.row());
                log_event!(Event::PeerLost, "instance={instance} beat={}", beat.number);
                self.news.push_back(Update::Suspicion {
                    instance: instance.clone(),
                    beat,
                });
            }
            let present = rows
                .iter()
                .any(|found| row::instance(&found.key) == Some(instance));
            let over = sighting.is_lapsed() || sighting.row().state == State::Gone;
            if over && !present {
                removed.push(instance.clone());
            }
        }
        for instance in removed {
            self.sightings.remove(&instance);
            self.dirty = true;
        }
    }

    /// Members that nobody may be watching any more: a heartbeat that stands still between two rounds
    /// puts them on this instance's own watch list, where they lapse or prove to be alive.
    fn suspect_quiet(&mut self, now: Instant, rows: &[table::Row]) {
        let lease = self.settings.lease;
        if self.trouble_at.is_some_and(|at| now.since(at) <= lease) {
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

    pub(super) fn hear_suspicion(&mut self, instance: &Arc<str>, beat: Beat) {
        let Some(sighting) = self.sightings.get_mut(instance) else {
            return;
        };
        if !sighting.report(beat) {
            return;
        }
        self.dirty = true;
        self.push_update(Update::Suspicion {
            instance: instance.clone(),
            beat,
        });
    }
}
