//! Outlier ejection of servers that make no progress, and their slow start afterwards.
//!
//! A slow server passes health checks while its streams stall, so health is derived from the
//! progress of this instance's streams: the time per token compared with the median of the servers
//! of the same models, stalled streams, and consecutive failures. The state chart is in
//! `health.json`.

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
    /// A change that the caller has to log or act on after a tick.
    #[derive(Copy)]
    pub enum Change {
        /// The server gets no more requests for some time.
        Ejected {
            /// The server.
            server: ServerKey,
            /// Cause of the ejection.
            cause: Cause,
        },
        /// The server gets requests again and starts to ramp up.
        Returned {
            /// The server.
            server: ServerKey,
        },
        /// The caller should send a small probe request to the server and report it like any other.
        Probe {
            /// The server.
            server: ServerKey,
        },
    }

    /// Cause of an ejection.
    #[derive(Copy)]
    pub enum Cause {
        /// Its time per token is a multiple of the median of the servers with the same models.
        Slow {
            /// Time per token divided by the median.
            factor: f32,
        },
        /// Its streams stalled.
        Stalled {
            /// Stalled streams of this instance.
            streams: u32,
            /// All streams of this instance.
            of: u32,
        },
        /// Attempts failed without a success in between.
        Failing {
            /// Number of consecutive failures.
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

/// The chart of `health.json` with its states resolved by name.
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

/// Relative step by which the tracked time per token rises on a longer sample. It falls by three
/// times this step on a shorter one, so it converges to the lower quartile.
const TOKEN_TIME_STEP: f32 = 0.025;
/// Minimum number of measured servers of the same models for a meaningful median.
const MIN_PEERS: usize = 3;
/// Measurements of the time per token are discarded after this time.
const MEASUREMENT_TTL: Duration = Duration::from_secs(10);
/// Minimum share of its full load that a returning server gets.
const MIN_RAMP_SHARE: f32 = 0.05;
/// The ejection time is reset after this many initial ejection times without an ejection.
const BACKOFF_RESET_PAUSES: u32 = 10;
/// Time per token, as a multiple of the median, from which it raises the predicted cost.
const MIN_SLOWNESS: f32 = 2.0;
/// Factor on the predicted cost of a suspect server.
const SUSPECT_COST: f32 = 2.0;

/// Health of one server as observed by this instance.
#[derive(Debug, Clone)]
pub(crate) struct Health {
    state: State,
    since: Instant,
    token_time: f32,
    measured_tokens: u32,
    measured_at: Instant,
    failures: u32,
    ejections: u32,
    probed_at: Option<Instant>,
    slowness: f32,
}

impl Health {
    /// Creates the health of a new server.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            state: STATES.chart.initial(),
            since: now,
            token_time: 0.0,
            measured_tokens: 0,
            measured_at: Instant::default(),
            failures: 0,
            ejections: 0,
            probed_at: None,
            slowness: 1.0,
        }
    }

    /// Returns the name of the state in `health.json`.
    pub(crate) fn state(&self) -> &'static str {
        STATES.chart.name(self.state)
    }

    /// Whether the server gets less than its full load.
    fn is_reduced(&self) -> bool {
        self.state == STATES.ejected || self.state == STATES.returning
    }

    /// Returns the share of its full load that the server may get now.
    pub(crate) fn share(&self, now: Instant, settings: &Settings) -> f32 {
        if self.state == STATES.ejected {
            return 0.0;
        }
        if self.state != STATES.returning {
            return 1.0;
        }
        let Some(probed_at) = self.probed_at else {
            // No probe has succeeded. The caller may not send probes at all, so after `probe_ms`
            // one regular request at a time is let through; the server would stay ejected
            // otherwise.
            let waited = now.since(self.since) >= millis(settings.probe_ms);
            return if waited { MIN_RAMP_SHARE } else { 0.0 };
        };
        let ramp = now.since(probed_at).as_secs_f32() / millis(settings.ramp_ms).as_secs_f32();
        ramp.clamp(MIN_RAMP_SHARE, 1.0)
    }

    /// Returns the factor on the server's predicted cost.
    pub(crate) fn cost(&self, now: Instant, settings: &Settings) -> f32 {
        let share = self.share(now, settings).max(MIN_RAMP_SHARE);
        let suspect = if self.state == STATES.suspect {
            SUSPECT_COST
        } else {
            1.0
        };
        suspect * self.slowness / share
    }

    /// Records that `tokens` tokens took the time `took`.
    pub(crate) fn record_progress(&mut self, now: Instant, took: Duration, tokens: u32) {
        let token_time = took.as_secs_f32() / tokens.max(1) as f32;
        let fresh = self.measured_tokens == 0 || now.since(self.measured_at) > MEASUREMENT_TTL;
        if fresh {
            self.measured_tokens = 0;
            self.token_time = token_time;
        }
        // A mean would eject healthy engines: an engine that computes long prompts for a second or
        // two has the same mean as a faulty one. Unlike a faulty one, it is fast between prompts.
        self.token_time *= if token_time > self.token_time {
            1.0 + TOKEN_TIME_STEP
        } else {
            1.0 - 3.0 * TOKEN_TIME_STEP
        };
        self.measured_tokens = self.measured_tokens.saturating_add(tokens);
        self.measured_at = now;
    }

    pub(crate) fn record_outcome(&mut self, now: Instant, outcome: Outcome) {
        match outcome {
            Outcome::Done => {
                self.failures = 0;
                if self.state == STATES.returning {
                    self.probed_at = self.probed_at.or(Some(now));
                }
            }
            Outcome::Failed | Outcome::Stalled => self.failures += 1,
            Outcome::Busy | Outcome::Cancelled => {}
        }
    }

    fn measured_token_time(&self, now: Instant, settings: &Settings) -> Option<f32> {
        let known = self.measured_tokens >= settings.least_tokens
            && now.since(self.measured_at) <= MEASUREMENT_TTL;
        known.then_some(self.token_time)
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
        let reset_after = millis(settings.eject_ms.saturating_mul(BACKOFF_RESET_PAUSES));
        if self.state != STATES.returning && now.since(self.since) > reset_after {
            self.ejections = 0;
        }
        self.ejections += 1;
        self.step(now, "eject");
        self.probed_at = None;
        self.failures = 0;
        self.measured_tokens = 0;
        self.slowness = 1.0;
    }
}

/// Updates the health of all servers.
pub(crate) fn update_all(
    now: Instant,
    entries: &mut [Option<Entry>],
    settings: &Settings,
) -> Vec<Change> {
    let medians = medians(now, entries, settings);
    let mut budget = EjectionBudget::count(entries, settings.share_percent);
    let mut changes = Vec::new();
    for (index, slot) in entries.iter_mut().enumerate() {
        let Some(entry) = slot else {
            continue;
        };
        let server = ServerKey(index as u32);
        let cause = diagnose(now, entry, &medians, settings);
        changes.extend(update(now, server, entry, cause, &mut budget, settings));
    }
    changes
}

fn update(
    now: Instant,
    server: ServerKey,
    entry: &mut Entry,
    cause: Option<Cause>,
    budget: &mut EjectionBudget,
    settings: &Settings,
) -> Option<Change> {
    let state = entry.health.state;
    if state == STATES.ejected {
        return probe_if_due(now, server, &mut entry.health, settings);
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
    // When many servers look bad at once, the fault is probably local or common to all, and
    // ejecting them would put the whole load on the few that remain. A suspect server beyond the
    // budget stays in use at a higher cost.
    if state != STATES.returning && !budget.take(entry) {
        return None;
    }
    entry.health.eject(now, settings);
    Some(Change::Ejected { server, cause })
}

fn probe_if_due(
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
    let probed_at = health.probed_at?;
    if now.since(probed_at) >= millis(settings.ramp_ms) {
        health.step(now, "ramped");
        return None;
    }
    // `since` is set to the time of the successful probe, so that the return is reported once.
    if health.since >= probed_at {
        return None;
    }
    health.since = probed_at;
    Some(Change::Returned { server })
}

fn diagnose(
    now: Instant,
    entry: &mut Entry,
    medians: &HashMap<Vec<ModelKey>, f32>,
    settings: &Settings,
) -> Option<Cause> {
    let median = medians.get(entry.model_set()).copied();
    let factor = match (entry.health.measured_token_time(now, settings), median) {
        (Some(token_time), Some(median)) if median > 0.0 => token_time / median,
        _ => 1.0,
    };
    // Smaller differences come from the load itself, and following them makes the load oscillate.
    let is_slow = factor >= MIN_SLOWNESS;
    entry.health.slowness = if is_slow { factor } else { 1.0 };
    if entry.health.failures >= settings.failures {
        let failures = entry.health.failures;
        return Some(Cause::Failing { failures });
    }
    let of = entry.streams.len() as u32;
    let silent = |stream: &&Stream| is_silent(now, stream, settings);
    let streams = entry.streams.iter().filter(silent).count() as u32;
    // A single stalled stream among many may be caused by its connection.
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

/// Computes the median time per token of the servers of each set of models.
fn medians(
    now: Instant,
    entries: &[Option<Entry>],
    settings: &Settings,
) -> HashMap<Vec<ModelKey>, f32> {
    let mut speeds: HashMap<&[ModelKey], Vec<f32>> = HashMap::new();
    for entry in entries.iter().flatten() {
        let Some(token_time) = entry.health.measured_token_time(now, settings) else {
            continue;
        };
        speeds
            .entry(entry.model_set())
            .or_default()
            .push(token_time);
    }
    let mut medians = HashMap::new();
    for (model_set, mut token_times) in speeds {
        if token_times.len() < MIN_PEERS {
            continue;
        }
        let middle = token_times.len() / 2;
        let (_, median, _) = token_times.select_nth_unstable_by(middle, f32::total_cmp);
        medians.insert(model_set.to_vec(), *median);
    }
    medians
}

/// Number of servers of each model that may still be ejected.
struct EjectionBudget {
    left: HashMap<Option<ModelKey>, i64>,
}

impl EjectionBudget {
    fn count(entries: &[Option<Entry>], share_percent: u32) -> Self {
        let mut counts: HashMap<Option<ModelKey>, (i64, i64)> = HashMap::new();
        for entry in entries.iter().flatten() {
            // A returning server carries little load yet, so it counts as ejected. Otherwise others
            // could be ejected during its slow start, beyond the allowed share.
            let missing = i64::from(entry.health.is_reduced());
            for model in models(entry) {
                let (all, out) = counts.entry(model).or_default();
                *all += 1;
                *out += missing;
            }
        }
        let mut left = HashMap::new();
        for (model, (all, out)) in counts {
            // 20 % of three servers rounds down to none; one may be ejected if two remain.
            let min = i64::from(all >= MIN_PEERS as i64);
            let max = (all * i64::from(share_percent) / 100).max(min);
            left.insert(model, max - out);
        }
        Self { left }
    }

    /// Takes one ejection from the budget of each of the server's models, or from none.
    fn take(&mut self, entry: &Entry) -> bool {
        let has_budget = |model| self.left.get(&model).is_some_and(|left| *left > 0);
        if !models(entry).all(has_budget) {
            return false;
        }
        for model in models(entry) {
            *self.left.entry(model).or_default() -= 1;
        }
        true
    }
}

/// Iterates over the models of a server. Servers without models share the key `None`.
fn models(entry: &Entry) -> impl Iterator<Item = Option<ModelKey>> + '_ {
    let none = entry.model_set().is_empty().then_some(None);
    entry.model_set().iter().copied().map(Some).chain(none)
}
