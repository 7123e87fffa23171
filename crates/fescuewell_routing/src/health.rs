//! Ejection of servers that make no progress, and their gradual return.
//!
//! A slow server answers health checks and stalls streams, so only the progress of own streams is
//! judged: the time between tokens against the median of the servers of the same models, streams
//! that went silent, and failures in a row. The steps are in `health.json`.

use std::collections::HashMap;
use std::fmt;
use std::sync::LazyLock;
use std::time::Duration;

use fescuewell_core::chart::{Chart, State};
use fescuewell_core::prelude::*;

use crate::pool::ModelKey;
use crate::server::{Entry, Outcome, Stream};
use crate::settings::{Health as Settings, millis};

fescuewell_core::message! {
    /// What the caller should log or do after a tick.
    #[derive(Copy)]
    pub enum Change {
        /// The server gets no more work for a while.
        Ejected {
            /// Which server.
            server: ServerKey,
            /// On what evidence.
            cause: Cause,
        },
        /// The server gets work again, a little at first.
        Returned {
            /// Which server.
            server: ServerKey,
        },
        /// A small request of our own should be sent to the server and reported like any other.
        Probe {
            /// Which server.
            server: ServerKey,
        },
    }

    /// The evidence against a server.
    #[derive(Copy)]
    pub enum Cause {
        /// Its tokens take this many times the median of its like.
        Slow {
            /// Time per token by the median.
            factor: f32,
        },
        /// Streams that went silent.
        Stalled {
            /// Silent own streams.
            streams: u32,
            /// All own streams.
            of: u32,
        },
        /// Attempts that failed, without a success between.
        Failing {
            /// How many.
            failures: u32,
        },
    }
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Slow { factor } => write!(f, "why=slow factor={factor:.1}"),
            Self::Stalled { streams, of } => write!(f, "why=stalled streams={streams}/{of}"),
            Self::Failing { failures } => write!(f, "why=failing failures={failures}"),
        }
    }
}

/// The states of `health.json`, resolved once.
struct States {
    chart: Chart,
    healthy: State,
    suspect: State,
    ejected: State,
    returning: State,
}

static STATES: LazyLock<States> = LazyLock::new(|| {
    let chart = Chart::parse(include_str!("health.json")).expect("health.json is a state chart");
    let state = |name| chart.state(name).expect("health.json has the state");
    States {
        healthy: state("healthy"),
        suspect: state("suspect"),
        ejected: state("ejected"),
        returning: state("returning"),
        chart,
    }
});

/// Step by which the tracked time per token follows a longer one; a shorter one counts three times
/// as much, so that the tracked time settles at the lower quartile.
const GAP_STEP: f32 = 0.025;
/// Servers of one kind that must have been measured before a median means anything.
const PEERS_LEAST: usize = 3;
/// Measured speeds older than this say nothing about now.
const SPEED_LIFE: Duration = Duration::from_secs(10);
/// Least share of its load that a returning server gets.
const RAMP_LEAST: f32 = 0.05;
/// After this many first pauses without a relapse the next pause is short again.
const FORGIVEN_AFTER: u32 = 10;
/// Time per token, as a multiple of the median, from which on it raises the predicted cost.
const SLOWNESS_FROM: f32 = 2.0;
/// Cost factor of a suspect server.
const SUSPECT_COST: f32 = 2.0;

/// The health of one server as this instance sees it.
#[derive(Debug, Clone)]
pub(crate) struct Health {
    state: State,
    since: Instant,
    gap: f32,
    tokens: u32,
    measured: Instant,
    failures: u32,
    ejections: u32,
    proved: Option<Instant>,
    slowness: f32,
}

impl Health {
    /// The health of a server that is first heard of now.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            state: STATES.chart.initial(),
            since: now,
            gap: 0.0,
            tokens: 0,
            measured: Instant::default(),
            failures: 0,
            ejections: 0,
            proved: None,
            slowness: 1.0,
        }
    }

    /// The name of its state in `health.json`.
    pub(crate) fn state(&self) -> &'static str {
        STATES.chart.name(self.state)
    }

    /// Whether the server gets less than its full share of the work.
    fn out(&self) -> bool {
        self.state == STATES.ejected || self.state == STATES.returning
    }

    /// Share of its full load that the server may get now.
    pub(crate) fn share(&self, now: Instant, settings: &Settings) -> f32 {
        if self.state == STATES.ejected {
            return 0.0;
        }
        if self.state != STATES.returning {
            return 1.0;
        }
        let Some(proved) = self.proved else {
            // No probe has come back. Should the caller send none, the server must not stay out
            // for ever: after a while one ordinary request at a time is let through.
            let waited = now.since(self.since) >= millis(settings.probe_ms);
            return if waited { RAMP_LEAST } else { 0.0 };
        };
        let ramp = now.since(proved).as_secs_f32() / millis(settings.ramp_ms).as_secs_f32();
        ramp.clamp(RAMP_LEAST, 1.0)
    }

    /// Factor on the server's predicted cost.
    pub(crate) fn cost(&self, now: Instant, settings: &Settings) -> f32 {
        let share = self.share(now, settings).max(RAMP_LEAST);
        let suspect = if self.state == STATES.suspect {
            SUSPECT_COST
        } else {
            1.0
        };
        suspect * self.slowness / share
    }

    /// Takes in the time that `tokens` tokens took.
    pub(crate) fn progressed(&mut self, now: Instant, took: Duration, tokens: u32) {
        let gap = took.as_secs_f32() / tokens.max(1) as f32;
        let fresh = self.tokens == 0 || now.since(self.measured) > SPEED_LIFE;
        if fresh {
            self.tokens = 0;
            self.gap = gap;
        }
        // The mean would not do: an engine that computes long prompts for a second or two is as slow
        // in the mean as a broken one, and one would see healthy engines ejected in turn. Between
        // prompts it is fast, though, and a broken one never is.
        self.gap *= if gap > self.gap {
            1.0 + GAP_STEP
        } else {
            1.0 - 3.0 * GAP_STEP
        };
        self.tokens = self.tokens.saturating_add(tokens);
        self.measured = now;
    }

    pub(crate) fn finished(&mut self, now: Instant, outcome: Outcome) {
        match outcome {
            Outcome::Done => {
                self.failures = 0;
                if self.state == STATES.returning {
                    self.proved = self.proved.or(Some(now));
                }
            }
            Outcome::Failed | Outcome::Stalled => self.failures += 1,
            Outcome::Busy | Outcome::Cancelled => {}
        }
    }

    fn speed(&self, now: Instant, settings: &Settings) -> Option<f32> {
        let known = self.tokens >= settings.least_tokens && now.since(self.measured) <= SPEED_LIFE;
        known.then_some(self.gap)
    }

    fn step(&mut self, now: Instant, signal: &str) {
        if STATES.chart.step(&mut self.state, signal).is_ok() {
            self.since = now;
        }
    }

    fn pause(&self, settings: &Settings) -> Duration {
        let doubled = settings
            .eject_ms
            .saturating_mul(1 << self.ejections.saturating_sub(1).min(10));
        millis(doubled.min(settings.eject_most_ms))
    }

    fn eject(&mut self, now: Instant, settings: &Settings) {
        let quiet = millis(settings.eject_ms.saturating_mul(FORGIVEN_AFTER));
        if self.state != STATES.returning && now.since(self.since) > quiet {
            self.ejections = 0;
        }
        self.ejections += 1;
        self.step(now, "eject");
        self.proved = None;
        self.failures = 0;
        self.tokens = 0;
        self.slowness = 1.0;
    }
}

/// Judges all servers once.
pub(crate) fn review(
    now: Instant,
    entries: &mut [Option<Entry>],
    settings: &Settings,
) -> Vec<Change> {
    let medians = medians(now, entries, settings);
    let mut quota = Quota::count(entries, settings.share_percent);
    let mut changes = Vec::new();
    for (index, slot) in entries.iter_mut().enumerate() {
        let Some(entry) = slot else {
            continue;
        };
        let server = ServerKey(index as u32);
        let cause = evidence(now, entry, &medians, settings);
        changes.extend(judge(now, server, entry, cause, &mut quota, settings));
    }
    changes
}

fn judge(
    now: Instant,
    server: ServerKey,
    entry: &mut Entry,
    cause: Option<Cause>,
    quota: &mut Quota,
    settings: &Settings,
) -> Option<Change> {
    let state = entry.health.state;
    if state == STATES.ejected {
        return end_pause(now, server, &mut entry.health, settings);
    }
    let Some(cause) = cause else {
        return recover(now, server, &mut entry.health, settings);
    };
    if state == STATES.healthy {
        entry.health.step(now, "bad");
        return None;
    }
    let waited = now.since(entry.health.since) >= millis(settings.suspect_ms);
    if state == STATES.suspect && !waited {
        return None;
    }
    // When many servers look bad at once, the fault is likely to be on our side or common to all;
    // ejecting them would put the whole load on the few that are left. A suspect server that
    // finds no room in the quota goes on at a higher cost.
    if state != STATES.returning && !quota.take(entry) {
        return None;
    }
    entry.health.eject(now, settings);
    Some(Change::Ejected { server, cause })
}

fn end_pause(
    now: Instant,
    server: ServerKey,
    health: &mut Health,
    settings: &Settings,
) -> Option<Change> {
    if now.since(health.since) < health.pause(settings) {
        return None;
    }
    health.step(now, "probe");
    Some(Change::Probe { server })
}

fn recover(
    now: Instant,
    server: ServerKey,
    health: &mut Health,
    settings: &Settings,
) -> Option<Change> {
    if health.state == STATES.suspect {
        health.step(now, "good");
        return None;
    }
    if health.state != STATES.returning {
        return None;
    }
    let proved = health.proved?;
    if now.since(proved) >= millis(settings.ramp_ms) {
        health.step(now, "ramped");
        return None;
    }
    // `since` moves to the proof, so that the return is told once.
    if health.since >= proved {
        return None;
    }
    health.since = proved;
    Some(Change::Returned { server })
}

fn evidence(
    now: Instant,
    entry: &mut Entry,
    medians: &HashMap<Vec<ModelKey>, f32>,
    settings: &Settings,
) -> Option<Cause> {
    let median = medians.get(entry.kind()).copied();
    let factor = match (entry.health.speed(now, settings), median) {
        (Some(gap), Some(median)) if median > 0.0 => gap / median,
        _ => 1.0,
    };
    // Smaller differences are those of the load, and to follow them makes the load swing.
    let clearly = factor >= SLOWNESS_FROM;
    entry.health.slowness = if clearly { factor } else { 1.0 };
    if entry.health.failures >= settings.failures {
        let failures = entry.health.failures;
        return Some(Cause::Failing { failures });
    }
    let of = entry.streams.len() as u32;
    let silent = |stream: &&Stream| is_silent(now, stream, settings);
    let streams = entry.streams.iter().filter(silent).count() as u32;
    // One silent stream among many may be its own connection's fault.
    if streams > 0 && streams * 2 >= of {
        return Some(Cause::Stalled { streams, of });
    }
    let slow = factor * 100.0 >= settings.slow_percent as f32;
    slow.then_some(Cause::Slow { factor })
}

fn is_silent(now: Instant, stream: &Stream, settings: &Settings) -> bool {
    let limit = if stream.first_token {
        settings.stall_ms
    } else {
        settings.first_token_ms
    };
    now.since(stream.last) >= millis(limit)
}

/// The median time per token of the servers of each set of models.
fn medians(
    now: Instant,
    entries: &[Option<Entry>],
    settings: &Settings,
) -> HashMap<Vec<ModelKey>, f32> {
    let mut speeds: HashMap<&[ModelKey], Vec<f32>> = HashMap::new();
    for entry in entries.iter().flatten() {
        let Some(gap) = entry.health.speed(now, settings) else {
            continue;
        };
        speeds.entry(entry.kind()).or_default().push(gap);
    }
    let mut medians = HashMap::new();
    for (kind, mut gaps) in speeds {
        if gaps.len() < PEERS_LEAST {
            continue;
        }
        let middle = gaps.len() / 2;
        let (_, median, _) = gaps.select_nth_unstable_by(middle, f32::total_cmp);
        medians.insert(kind.to_vec(), *median);
    }
    medians
}

/// How many servers of each model may still be ejected.
struct Quota {
    left: HashMap<Option<ModelKey>, i64>,
}

impl Quota {
    fn count(entries: &[Option<Entry>], share_percent: u32) -> Self {
        let mut counts: HashMap<Option<ModelKey>, (i64, i64)> = HashMap::new();
        for entry in entries.iter().flatten() {
            // A returning server carries little yet. Were it not counted, others could be ejected
            // while it comes back, and the rest would be fewer than the share allows.
            let missing = i64::from(entry.health.out());
            for model in models(entry) {
                let (all, out) = counts.entry(model).or_default();
                *all += 1;
                *out += missing;
            }
        }
        let mut left = HashMap::new();
        for (model, (all, out)) in counts {
            // Of three servers a share of 20 % would be none; one may go where two remain.
            let least = i64::from(all >= PEERS_LEAST as i64);
            let most = (all * i64::from(share_percent) / 100).max(least);
            left.insert(model, most - out);
        }
        Self { left }
    }

    /// Takes a place in the quota of each of the server's models, or none.
    fn take(&mut self, entry: &Entry) -> bool {
        let room = |model| self.left.get(&model).is_some_and(|left| *left > 0);
        if !models(entry).all(room) {
            return false;
        }
        for model in models(entry) {
            *self.left.entry(model).or_default() -= 1;
        }
        true
    }
}

/// The models of a server; one without any counts among the others without any.
fn models(entry: &Entry) -> impl Iterator<Item = Option<ModelKey>> + '_ {
    let none = entry.kind().is_empty().then_some(None);
    entry.kind().iter().copied().map(Some).chain(none)
}
