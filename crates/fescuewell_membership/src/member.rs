//! Membership as one instance keeps it: its own heartbeats and its observation of the others.
//!
//! In a fleet whose rows fit into one page, every instance reads all rows each `read_interval`. In a
//! larger one it reads a few members' rows that often, those that follow it on a ring of hashed names
//! and those that it has reason to suspect, and goes through all rows a page at a time. Changes in
//! between reach it as [`Update`] from peers.

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

/// Most members that are watched by single reads.
const MOST_WATCHED: usize = 8;
/// Update kept until gossip fetches them; the table tells whatever is dropped.
const MOST_NEWS: usize = 64;
/// Rounds that are hurried at the start, as long as they show members that are starting too: after a
/// restart of all, slots wait until everybody is known to be ready.
const HURRIED_ROUNDS: u32 = 4;
/// Pages of a hurried round are this much larger.
const HURRIED_PAGE: u32 = 8;
/// Pages of a hurried round are read this much more often.
const HURRIED_SPEEDUP: u32 = 4;

mod judgement;
mod reading;
mod settling;

/// What the table was asked.
#[derive(Debug, Clone)]
enum Asked {
    OwnRow,
    Beat,
    Page {
        full_if_short: bool,
        acked: u64,
        at: Instant,
    },
    Watch {
        keys: Vec<Arc<str>>,
        acked: u64,
        at: Instant,
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
    words: Statuses,
    extra_watch: BTreeSet<Arc<str>>,
    outstanding: Option<Asked>,
    settled: VecDeque<(Arc<str>, Incarnation)>,
    news: VecDeque<Update>,
    due_beat: Instant,
    due_watch: Instant,
    due_page: Instant,
    cursor: Option<Arc<str>>,
    round_started: Instant,
    round_seen: BTreeSet<Arc<str>>,
    several_pages: bool,
    complete: bool,
    hurry: u32,
    trouble_at: Option<Instant>,
    table_answered: Instant,
    peers_answered: BTreeMap<Arc<str>, Instant>,
    isolated: bool,
    dirty: bool,
    view: View,
}

impl Members {
    /// A member that has read and written nothing yet.
    pub fn new(settings: Settings, me: InstanceInfo, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let first = Instant::default() + settings.start_spread.mul_f64(rng.random::<f64>());
        Self {
            settings,
            own: OwnRow::new(me),
            rng,
            sightings: BTreeMap::new(),
            words: Statuses::default(),
            extra_watch: BTreeSet::new(),
            outstanding: None,
            settled: VecDeque::new(),
            news: VecDeque::new(),
            due_beat: first,
            due_watch: first,
            due_page: first,
            cursor: None,
            round_started: Instant::default(),
            round_seen: BTreeSet::new(),
            several_pages: false,
            complete: false,
            hurry: HURRIED_ROUNDS,
            trouble_at: None,
            table_answered: Instant::default(),
            peers_answered: BTreeMap::new(),
            isolated: false,
            dirty: true,
            view: View::default(),
        }
    }

    /// The fleet as of the last call of [`Self::next_step`] or [`Self::reply`].
    pub fn view(&self) -> &View {
        &self.view
    }

    /// This instance's row as it would be written now.
    pub fn own_row(&self) -> &Row {
        self.own.row()
    }

    /// Whether the table has confirmed a row of this state.
    pub fn is_published(&self, state: State) -> bool {
        self.own.acked_state() >= state
    }

    /// Advances this instance's state and publishes it with the next step.
    pub fn set_state(&mut self, now: Instant, state: State) {
        if !self.own.advance(state) {
            return;
        }
        self.due_beat = now;
        self.dirty = true;
        self.tell_own();
        self.refresh();
    }

    /// Notes the version that is in force here.
    pub fn set_version(&mut self, version: Version) {
        self.own.set_version(version);
        self.dirty = true;
    }

    /// Notes this instance's load, published with the next heartbeat.
    pub fn set_load(&mut self, load: Load) {
        self.own.set_load(load);
        self.dirty = true;
    }

    /// Sets which members are watched closely besides those of the ring, such as the holders of slots
    /// that this instance would take over.
    pub fn set_watch(&mut self, instances: BTreeSet<Arc<str>>) {
        self.extra_watch = instances;
    }

    /// A peer answered, over whatever connection.
    pub fn record_peer_response(&mut self, now: Instant, instance: &str) {
        if let Some(at) = self.peers_answered.get_mut(instance) {
            *at = now;
            return;
        }
        self.peers_answered.insert(instance.into(), now);
    }

    /// Takes the instance list; one that could not be had is not passed.
    pub fn apply_instance_list(&mut self, now: Instant, list: &[Listing]) {
        self.words.apply_list(now, list, self.settings.list_lag);
        self.dirty = true;
        for (instance, sighting) in &mut self.sightings {
            if self.words.is_leaving(instance) {
                sighting.suspect();
            }
        }
        self.refresh();
    }

    /// A backend server said itself that it is leaving.
    pub fn mark_server_leaving(&mut self, now: Instant, server: &str) {
        self.words.mark_server_leaving(now, server);
        self.dirty = true;
        self.refresh();
    }

    /// Takes what a peer told.
    pub fn apply_update(&mut self, now: Instant, news: Update) {
        match news {
            Update::Member { instance, row } => self.learn(now, &instance, row, 0, true),
            Update::Suspicion { instance, beat } => self.hear_suspicion(&instance, beat),
        }
        self.refresh();
    }

    /// Update to pass on to peers since the last call.
    pub fn take_updates(&mut self) -> Vec<Update> {
        self.news.drain(..).collect()
    }

    /// The next piece of table work; at most one is outstanding.
    pub fn next_step(&mut self, now: Instant) -> Option<Step> {
        self.judge_isolation(now);
        if self.outstanding.is_some() || self.own.is_superseded() {
            return None;
        }
        let asked = self.choose(now)?;
        let step = self.step(&asked);
        self.outstanding = Some(asked);
        Some(step)
    }

    /// Takes the reply to the last step.
    pub fn reply(&mut self, now: Instant, reply: Reply) {
        let Some(asked) = self.outstanding.take() else {
            return;
        };
        if let Reply::Failed(_) = reply {
            self.table_failed(now, &asked);
            return;
        }
        self.table_answered = now;
        match (asked, reply) {
            (Asked::OwnRow, Reply::Rows(rows)) => self.own_row_read(&rows),
            (Asked::Beat, Reply::Outcome(outcome)) => self.beat_done(now, outcome),
            (
                Asked::Page {
                    full_if_short,
                    acked,
                    at,
                },
                Reply::Rows(rows),
            ) => {
                self.page_read(now, full_if_short, acked, at, &rows);
            }
            (Asked::Watch { keys, acked, at }, Reply::Rows(rows)) => {
                self.watch_read(now, &keys, acked, at, &rows);
            }
            (
                Asked::Settle {
                    instance,
                    incarnation,
                },
                Reply::Outcome(outcome),
            ) => {
                self.settling_done(now, instance, incarnation, outcome);
            }
            _ => {}
        }
        self.judge_isolation(now);
        self.refresh();
    }

    fn choose(&mut self, now: Instant) -> Option<Asked> {
        if !self.own.is_known() {
            return (now >= self.due_beat).then_some(Asked::OwnRow);
        }
        if self.own.acked_state() == State::Gone {
            return None;
        }
        let acked = self.own.acked_beat();
        if now >= self.due_beat {
            self.due_beat = now + self.jittered(self.settings.beat_interval);
            return Some(Asked::Beat);
        }
        if self.several_pages && now >= self.due_watch {
            self.due_watch = now + self.jittered(self.settings.read_interval);
            let keys = self.watched_keys();
            return Some(Asked::Watch {
                keys,
                acked,
                at: now,
            });
        }
        if now >= self.due_page {
            self.due_page = now + self.page_wait();
            let full_if_short = self.cursor.is_none();
            return Some(Asked::Page {
                full_if_short,
                acked,
                at: now,
            });
        }
        self.choose_settling()
    }

    fn step(&mut self, asked: &Asked) -> Step {
        match asked {
            Asked::OwnRow => Step::Read {
                keys: vec![row::key(&self.own.me().instance)],
            },
            Asked::Beat => Step::Commit(self.own.beat()),
            Asked::Watch { keys, .. } => Step::Read { keys: keys.clone() },
            Asked::Page { .. } => Step::Scan(Range {
                prefix: row::PREFIX.into(),
                after: self.cursor.clone(),
                limit: self.page_size(),
            }),
            Asked::Settle {
                instance,
                incarnation,
            } => self.settling_step(instance, *incarnation),
        }
    }

    fn page_size(&self) -> u32 {
        match self.hurry {
            0 => self.settings.page_size,
            _ => self.settings.page_size * HURRIED_PAGE,
        }
    }

    fn page_wait(&mut self) -> Duration {
        let interval = match (self.several_pages, self.hurry) {
            (false, _) => self.settings.read_interval,
            (true, 0) => self.settings.page_interval,
            (true, _) => self.settings.page_interval / HURRIED_SPEEDUP,
        };
        self.jittered(interval)
    }

    /// Between 0.8 and 1.2 times `interval`, so that instances that started together drift apart.
    fn jittered(&mut self, interval: Duration) -> Duration {
        interval.mul_f64(self.rng.random_range(0.8..1.2))
    }

    fn tell_own(&mut self) {
        let mut row = self.own.row().clone();
        // The row is published with the next beat; peers that hear it now must not take that for old.
        row.beat += 1;
        let instance = self.own.me().instance.clone();
        self.push_update(Update::Member { instance, row });
    }

    fn push_member_update(&mut self, spread: bool, instance: &Arc<str>, row: &Row) {
        if !spread {
            return;
        }
        self.push_update(Update::Member {
            instance: instance.clone(),
            row: row.clone(),
        });
    }

    fn push_update(&mut self, news: Update) {
        if self.news.len() >= MOST_NEWS {
            self.news.pop_front();
        }
        self.news.push_back(news);
    }
}
