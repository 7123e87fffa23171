//! The membership state machine of one instance: it writes its own heartbeats and observes those of
//! the others.
//!
//! In a fleet whose rows fit into one page, every instance reads all rows each `read_interval`. In
//! a larger fleet it reads only a few rows that often: those of the members that follow it on a
//! ring of hashed names and of those that it suspects. It also scans all rows page by page. Between
//! scans, changes arrive as [`Update`]s from peers.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use fescuewell_core::platform::Listing;
use fescuewell_core::prelude::*;
use fescuewell_core::table::{Range, Reply, Step};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::listing::Statuses;
pub use crate::own::InstanceInfo;
use crate::own::OwnRow;
use crate::row::{self, Load, Row, State};
use crate::settings::Settings;
use crate::sighting::Sighting;
use crate::update::Update;
use crate::view::View;

/// Maximum number of members that are watched by single reads.
const MAX_WATCHED: usize = 8;
/// Maximum number of updates kept for gossip; dropped ones are still learned from the table.
const MAX_UPDATES: usize = 64;
/// Number of fast scan rounds after the start. They end early once a round shows no other starting
/// member. After a restart of the whole fleet, slots wait until everybody is known to be ready.
const FAST_ROUNDS: u32 = 4;
/// Factor by which pages of a fast round are larger.
const FAST_PAGE_FACTOR: u32 = 8;
/// Factor by which pages of a fast round are read more often.
const FAST_PAGE_SPEEDUP: u32 = 4;

mod judgement;
mod reading;
mod settling;

/// The table request that is outstanding.
#[derive(Debug, Clone)]
enum Request {
    OwnRow,
    Beat,
    Page {
        is_first_page: bool,
        acked_beat: u64,
        requested_at: Instant,
    },
    Watch {
        keys: Vec<Arc<str>>,
        acked_beat: u64,
        requested_at: Instant,
    },
    Settle {
        instance: Arc<str>,
        incarnation: Incarnation,
    },
}

/// The membership state machine of one instance.
///
/// ```
/// use fescuewell_core::prelude::*;
/// use fescuewell_core::table::{Reply, Step};
/// use fescuewell_membership::prelude::*;
/// let me = InstanceInfo {
///     instance: "entry-1".into(),
///     incarnation: Incarnation(1),
///     caller_address: "127.0.0.1:8080".parse().unwrap(),
///     peer_address: "127.0.0.1:8081".parse().unwrap(),
///     operator_address: "127.0.0.1:8082".parse().unwrap(),
///     zone: "a".into(),
///     formats: 1,
/// };
/// let settings = Settings { start_spread: std::time::Duration::ZERO, ..Settings::default() };
/// let mut members = Members::new(settings, me, 7);
/// let now = Instant::from_millis(1);
/// assert!(matches!(members.next_step(now), Some(Step::Read { .. })));
/// members.reply(now, Reply::Rows(vec![]));
/// assert!(matches!(members.next_step(now), Some(Step::Commit(_))));
/// assert!(!members.view().ready);
/// ```
#[derive(Debug)]
pub struct Members {
    settings: Settings,
    own: OwnRow,
    rng: SmallRng,
    sightings: BTreeMap<Arc<str>, Sighting>,
    statuses: Statuses,
    requested_watch: BTreeSet<Arc<str>>,
    outstanding: Option<Request>,
    settled: VecDeque<(Arc<str>, Incarnation)>,
    updates: VecDeque<Update>,
    next_beat_at: Instant,
    next_watch_at: Instant,
    next_page_at: Instant,
    cursor: Option<Arc<str>>,
    round_started: Instant,
    seen_this_round: BTreeSet<Arc<str>>,
    is_multi_page: bool,
    complete: bool,
    fast_rounds: u32,
    last_table_failure: Option<Instant>,
    last_table_reply: Instant,
    last_peer_responses: BTreeMap<Arc<str>, Instant>,
    isolated: bool,
    dirty: bool,
    view: View,
}

impl Members {
    /// Creates a member that has read and written nothing yet.
    pub fn new(settings: Settings, info: InstanceInfo, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let first = Instant::default() + settings.start_spread.mul_f64(rng.random::<f64>());
        Self {
            settings,
            own: OwnRow::new(info),
            rng,
            sightings: BTreeMap::new(),
            statuses: Statuses::default(),
            requested_watch: BTreeSet::new(),
            outstanding: None,
            settled: VecDeque::new(),
            updates: VecDeque::new(),
            next_beat_at: first,
            next_watch_at: first,
            next_page_at: first,
            cursor: None,
            round_started: Instant::default(),
            seen_this_round: BTreeSet::new(),
            is_multi_page: false,
            complete: false,
            fast_rounds: FAST_ROUNDS,
            last_table_failure: None,
            last_table_reply: Instant::default(),
            last_peer_responses: BTreeMap::new(),
            isolated: false,
            dirty: true,
            view: View::default(),
        }
    }

    /// The fleet as of the last call that changed it.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// This instance's row as it would be written now.
    pub fn own_row(&self) -> &Row {
        self.own.row()
    }

    /// Whether the table has confirmed a row with this state or a later one.
    pub fn is_published(&self, state: State) -> bool {
        self.own.acked_state() >= state
    }

    /// Advances this instance's state and schedules a heartbeat at once to publish it.
    pub fn set_state(&mut self, now: Instant, state: State) {
        if !self.own.advance(state) {
            return;
        }
        self.next_beat_at = now;
        self.dirty = true;
        self.broadcast_own_row();
        self.refresh_view();
    }

    /// Sets the document version in force, published with the next heartbeat.
    pub fn set_version(&mut self, version: Version) {
        self.own.set_version(version);
        self.dirty = true;
    }

    /// Sets this instance's load, published with the next heartbeat.
    pub fn set_load(&mut self, load: Load) {
        self.own.set_load(load);
        self.dirty = true;
    }

    /// Sets which members are watched closely besides those of the ring, such as the holders of
    /// slots that this instance would take over.
    pub fn set_watch(&mut self, instances: BTreeSet<Arc<str>>) {
        self.requested_watch = instances;
    }

    /// Records that a peer responded, over whatever connection.
    pub fn record_peer_response(&mut self, now: Instant, instance: &str) {
        if let Some(at) = self.last_peer_responses.get_mut(instance) {
            *at = now;
            return;
        }
        self.last_peer_responses.insert(instance.into(), now);
    }

    /// Applies the platform's instance list. It is not called when fetching the list failed.
    pub fn apply_instance_list(&mut self, now: Instant, list: &[Listing]) {
        self.statuses.apply_list(now, list, self.settings.list_lag);
        self.dirty = true;
        for (instance, sighting) in &mut self.sightings {
            if self.statuses.is_leaving(instance) {
                sighting.suspect();
            }
        }
        self.refresh_view();
    }

    /// Records that a backend server itself reported that it is leaving.
    pub fn mark_server_leaving(&mut self, now: Instant, server: &str) {
        self.statuses.mark_server_leaving(now, server);
        self.dirty = true;
        self.refresh_view();
    }

    /// Applies an update received from a peer.
    pub fn apply_update(&mut self, now: Instant, update: Update) {
        match update {
            Update::Member { instance, row } => self.apply_row(now, &instance, row, 0, true),
            Update::Suspicion { instance, beat } => self.apply_suspicion(&instance, beat),
        }
        self.refresh_view();
    }

    /// Takes the updates to gossip that were queued since the last call.
    pub fn take_updates(&mut self) -> Vec<Update> {
        self.updates.drain(..).collect()
    }

    /// The next table access; at most one is outstanding.
    pub fn next_step(&mut self, now: Instant) -> Option<Step> {
        self.update_isolation(now);
        if self.outstanding.is_some() || self.own.is_superseded() {
            return None;
        }
        let request = self.next_request(now)?;
        let step = self.step(&request);
        self.outstanding = Some(request);
        Some(step)
    }

    /// Handles the reply to the last step.
    pub fn reply(&mut self, now: Instant, reply: Reply) {
        let Some(request) = self.outstanding.take() else {
            return;
        };
        if let Reply::Failed(_) = reply {
            self.table_failed(now, &request);
            return;
        }
        self.last_table_reply = now;
        match (request, reply) {
            (Request::OwnRow, Reply::Rows(rows)) => self.take_own_row(&rows),
            (Request::Beat, Reply::Outcome(outcome)) => self.finish_beat(now, outcome),
            (
                Request::Page {
                    is_first_page,
                    acked_beat,
                    requested_at,
                },
                Reply::Rows(rows),
            ) => {
                self.take_page(now, is_first_page, acked_beat, requested_at, &rows);
            }
            (
                Request::Watch {
                    keys,
                    acked_beat,
                    requested_at,
                },
                Reply::Rows(rows),
            ) => {
                self.take_watched(now, &keys, acked_beat, requested_at, &rows);
            }
            (
                Request::Settle {
                    instance,
                    incarnation,
                },
                Reply::Outcome(outcome),
            ) => {
                self.finish_settlement(now, instance, incarnation, outcome);
            }
            _ => {}
        }
        self.update_isolation(now);
        self.refresh_view();
    }

    fn next_request(&mut self, now: Instant) -> Option<Request> {
        if !self.own.is_known() {
            return (now >= self.next_beat_at).then_some(Request::OwnRow);
        }
        if self.own.acked_state() == State::Gone {
            return None;
        }
        let acked_beat = self.own.acked_beat();
        if now >= self.next_beat_at {
            self.next_beat_at = now + self.jittered(self.settings.beat_interval);
            return Some(Request::Beat);
        }
        if self.is_multi_page && now >= self.next_watch_at {
            self.next_watch_at = now + self.jittered(self.settings.read_interval);
            let keys = self.watched_keys();
            return Some(Request::Watch {
                keys,
                acked_beat,
                requested_at: now,
            });
        }
        if now >= self.next_page_at {
            self.next_page_at = now + self.page_wait();
            let is_first_page = self.cursor.is_none();
            return Some(Request::Page {
                is_first_page,
                acked_beat,
                requested_at: now,
            });
        }
        self.next_settlement()
    }

    fn step(&mut self, request: &Request) -> Step {
        match request {
            Request::OwnRow => Step::Read {
                keys: vec![row::key(&self.own.info().instance)],
            },
            Request::Beat => Step::Commit(self.own.beat()),
            Request::Watch { keys, .. } => Step::Read { keys: keys.clone() },
            Request::Page { .. } => Step::Scan(Range {
                prefix: row::PREFIX.into(),
                after: self.cursor.clone(),
                limit: self.page_size(),
            }),
            Request::Settle {
                instance,
                incarnation,
            } => self.settlement_step(instance, *incarnation),
        }
    }

    fn page_size(&self) -> u32 {
        match self.fast_rounds {
            0 => self.settings.page_size,
            _ => self.settings.page_size * FAST_PAGE_FACTOR,
        }
    }

    fn page_wait(&mut self) -> Duration {
        let interval = match (self.is_multi_page, self.fast_rounds) {
            (false, _) => self.settings.read_interval,
            (true, 0) => self.settings.page_interval,
            (true, _) => self.settings.page_interval / FAST_PAGE_SPEEDUP,
        };
        self.jittered(interval)
    }

    /// Returns between 0.8 and 1.2 times `interval`, so that instances that started together drift
    /// apart.
    fn jittered(&mut self, interval: Duration) -> Duration {
        interval.mul_f64(self.rng.random_range(0.8..1.2))
    }

    fn broadcast_own_row(&mut self) {
        let mut row = self.own.row().clone();
        // The row is published with the next beat; a peer that receives it now must not discard it
        // as old.
        row.beat += 1;
        let instance = self.own.info().instance.clone();
        self.push_update(Update::Member { instance, row });
    }

    fn push_member_update(&mut self, propagate: bool, instance: &Arc<str>, row: &Row) {
        if !propagate {
            return;
        }
        self.push_update(Update::Member {
            instance: instance.clone(),
            row: row.clone(),
        });
    }

    fn push_update(&mut self, update: Update) {
        if self.updates.len() >= MAX_UPDATES {
            self.updates.pop_front();
        }
        self.updates.push_back(update);
    }
}
