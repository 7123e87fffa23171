//! The router: compares a few candidates by the predicted time to the first token.

use std::sync::Arc;
use std::time::Duration;

use fescuewell_core::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::choice::{Basis, Choice, NoChoice, Query, Reason};
use crate::gather::{Admission, Candidate, Gathering};
use crate::health::{self, Change, Health};
use crate::load::{self, Others, Report};
use crate::pool::{ModelKey, Pools, ring_position};
use crate::prefix::{Event, History, Hit};
use crate::server::{Entry, Headroom, Outcome, Spec, Stream, Ticket};
use crate::settings::{Settings, millis};
use crate::speed::Speed;

/// Chooses backend servers for one instance.
///
/// ```
/// use fescuewell_core::prelude::*;
/// use fescuewell_routing::prelude::*;
///
/// let mut router = Router::new(Settings::default(), "zone-a".into(), 1);
/// let now = Instant::from_millis(0);
/// router.set_servers(now, &[Spec {
///     key: ServerKey(0),
///     name: "engine-1".into(),
///     zone: "zone-a".into(),
///     models: vec!["auslan".into()],
///     concurrency: 32,
/// }]);
/// let query = Query {
///     model: Some("auslan".into()),
///     reach: &[ServerKey(0)],
///     prefix: &[],
///     prompt_tokens: 100,
///     urgent: false,
///     exclude: &[],
/// };
/// let choice = router.choose(now, &query).unwrap();
/// assert_eq!(choice.server, ServerKey(0));
/// router.started(now, choice.server, Ticket(1), choice.expected_tokens);
/// router.finished(now, choice.server, Ticket(1), Outcome::Done);
/// ```
pub struct Router {
    settings: Settings,
    zone: Arc<str>,
    random: SmallRng,
    instances: u32,
    entries: Vec<Option<Entry>>,
    models: Interner<ModelKey>,
    pools: Pools,
    history: History,
    speed: Speed,
    hits: Vec<Hit>,
    candidates: Vec<Candidate>,
}

#[derive(Debug, Clone, Copy)]
struct Scored {
    candidate: Candidate,
    cost: f32,
    outstanding: f32,
    expected_tokens: f32,
}

impl Router {
    /// A router of an instance in `zone`; `seed` fixes its random draws.
    pub fn new(settings: Settings, zone: Arc<str>, seed: u64) -> Self {
        Self {
            zone,
            random: SmallRng::seed_from_u64(seed),
            instances: 1,
            entries: Vec::new(),
            models: Interner::default(),
            pools: Pools::default(),
            history: History::new(settings),
            speed: Speed::new(settings.prefill_tokens_per_second),
            hits: Vec::new(),
            candidates: Vec::new(),
            settings,
        }
    }

    /// Takes over the backend servers of a document; what is known of those that stay is kept.
    pub fn set_servers(&mut self, now: Instant, policies: &[Spec]) {
        let mut old = std::mem::take(&mut self.entries);
        for policy in policies {
            let index = policy.key.0 as usize;
            if index >= self.entries.len() {
                self.entries.resize(index + 1, None);
            }
            let known = old.get_mut(index).and_then(Option::take);
            let known = known.filter(|entry| entry.name == policy.name);
            if known.is_none() {
                self.history.forget(policy.key);
            }
            self.entries[index] = Some(self.entry(now, policy, known));
        }
        self.pools.clear();
    }

    fn entry(&mut self, now: Instant, policy: &Spec, known: Option<Entry>) -> Entry {
        let mut entry = known.unwrap_or_else(|| Entry {
            name: policy.name.clone(),
            local: true,
            ring: ring_position(&policy.name),
            models: Vec::new(),
            loaded: None,
            concurrency: 0,
            leaving: false,
            busy_until: Instant::default(),
            room: None,
            streams: Vec::new(),
            pending_tokens: 0,
            others: Others::default(),
            health: Health::new(now),
        });
        entry.local = policy.zone == self.zone;
        entry.concurrency = policy.concurrency;
        entry.models = self.intern(&policy.models);
        entry
    }

    fn intern(&mut self, names: &[Arc<str>]) -> Vec<ModelKey> {
        let mut keys: Vec<ModelKey> = names.iter().map(|name| self.models.intern(name)).collect();
        keys.sort_unstable();
        keys.dedup();
        keys
    }

    /// Notes which models a server has loaded.
    pub fn set_loaded(&mut self, server: ServerKey, models: &[Arc<str>]) {
        let keys = self.intern(models);
        let Some(Some(entry)) = self.entries.get_mut(server.0 as usize) else {
            return;
        };
        if entry.loaded.as_ref() == Some(&keys) {
            return;
        }
        let unlisted = keys.iter().any(|key| !entry.models.contains(key));
        let before = entry.loaded.replace(keys.clone());
        let before = before.unwrap_or_else(|| entry.models.clone());
        if unlisted {
            // A model that the document does not list makes the server a member of new pools.
            self.pools.clear();
            return;
        }
        for model in before.iter().chain(&keys) {
            self.pools.relocate(*model, server, entry);
        }
    }

    /// Notes how many entry instances send to the same backend servers.
    pub fn set_instances(&mut self, instances: u32) {
        self.instances = instances.max(1);
    }

    /// Notes whether a server is leaving; a leaving one gets no new work.
    pub fn set_leaving(&mut self, server: ServerKey, leaving: bool) {
        if let Some(Some(entry)) = self.entries.get_mut(server.0 as usize) {
            entry.leaving = leaving;
        }
    }

    /// Notes for which requests the own limit on a server leaves a place. Once it is set, it takes the place of
    /// [`Settings::urgent_reserve_percent`].
    pub fn set_headroom(&mut self, server: ServerKey, room: Headroom) {
        if let Some(Some(entry)) = self.entries.get_mut(server.0 as usize) {
            entry.room = Some(room);
        }
    }

    /// Chooses a backend server. Nothing is counted as sent until [`Router::started`] is called.
    ///
    /// # Errors
    ///
    /// [`NoChoice`] when no server can take the request.
    pub fn choose(&mut self, now: Instant, query: &Query<'_>) -> Result<Choice, NoChoice> {
        let model = match &query.model {
            None => None,
            Some(name) => Some(self.models.get(name).ok_or(NoChoice::UnknownModel)?),
        };
        self.gather(now, query, model)?;
        let mut best: Option<Scored> = None;
        // Equals are common, and always taking the first of them would load that one.
        let len = self.candidates.len();
        let first = self.random.random_range(0..len.max(1));
        for step in 0..len {
            let candidate = self.candidates[(first + step) % len];
            let scored = self.score(now, query, candidate);
            if best.is_none_or(|best| scored.cost < best.cost) {
                best = Some(scored);
            }
        }
        let best = best.ok_or(NoChoice::NoneLeft)?;
        let server = best.candidate.server;
        self.history.sent(now, query.prefix, server);
        Ok(self.answer(query, &best))
    }

    fn answer(&self, query: &Query<'_>, best: &Scored) -> Choice {
        let hit_blocks = best.candidate.hit.map_or(0, |hit| hit.blocks);
        let basis = match (self.candidates.len(), best.candidate.source) {
            (1, _) => Basis::OnlyOne,
            (_, source) => source,
        };
        let reason = Reason {
            basis,
            compared: self.candidates.len() as u16,
            hit_blocks,
            blocks: query.prefix.len() as u32,
            outstanding: best.outstanding,
            predicted: Duration::from_secs_f32(best.cost.clamp(0.0, 1e6)),
        };
        Choice {
            server: best.candidate.server,
            reason,
            expected_hit_blocks: hit_blocks,
            expected_tokens: best.expected_tokens as u32,
        }
    }

    /// Collects candidates: known holders of the prefix, its agreed homes, and a random few.
    fn gather(
        &mut self,
        now: Instant,
        query: &Query<'_>,
        model: Option<ModelKey>,
    ) -> Result<(), NoChoice> {
        self.candidates.clear();
        self.history.lookup(now, query.prefix, &mut self.hits);
        let pool = self.pools.find(model, query.reach, &self.entries);
        if pool.loaded.is_empty() {
            return Err(if pool.orderable.is_empty() {
                NoChoice::UnknownModel
            } else {
                NoChoice::NotLoaded
            });
        }
        let mut gathering = Gathering {
            admission: Admission {
                now,
                query,
                entries: &self.entries,
                settings: &self.settings,
                instances: self.instances,
            },
            pool,
            hits: &self.hits,
            candidates: &mut self.candidates,
        };
        gathering.holders(self.settings.holders as usize);
        gathering.homes(self.settings.homes as usize);
        gathering.samples(self.settings.samples as usize, &mut self.random);
        if !gathering.candidates.is_empty() {
            return Ok(());
        }
        gathering.anyone(&mut self.random)
    }

    fn score(&self, now: Instant, query: &Query<'_>, candidate: Candidate) -> Scored {
        let entry = self.entries[candidate.server.0 as usize]
            .as_ref()
            .expect("candidates are known servers");
        let own = entry.streams.len() as f32;
        let basis = basis(&self.settings, self.instances);
        let estimate = entry.others.estimate(now, own, &basis);
        let held = candidate.hit.map_or(0.0, |hit| {
            let share = hit.blocks as f32 / query.prefix.len().max(1) as f32;
            share.min(1.0) * hit.trust
        });
        let expected_tokens = query.prompt_tokens as f32 * (1.0 - held);
        let outstanding = own + estimate.others;
        let ahead = Ahead {
            prompt_tokens: entry.pending_tokens as f32 + expected_tokens,
            outstanding,
            waiting: estimate.waiting,
            running: estimate.running,
            stream_tokens: self.settings.stream_tokens as f32,
        };
        let mut cost = self.speed.predict(&ahead) * entry.health.cost(now, &self.settings.health);
        if !entry.local {
            cost += self.settings.zone_penalty_us as f32 * 1e-6;
        }
        Scored {
            candidate,
            cost,
            outstanding,
            expected_tokens,
        }
    }

    /// Notes that an attempt was sent; `tokens` is [`Choice::expected_tokens`].
    pub fn started(&mut self, now: Instant, server: ServerKey, ticket: Ticket, tokens: u32) {
        let Some(Some(entry)) = self.entries.get_mut(server.0 as usize) else {
            return;
        };
        entry.open(Stream {
            ticket,
            start: now,
            last: now,
            first_token: false,
            tokens,
            queued_tokens: (entry.pending_tokens + tokens) as f32,
        });
    }

    /// Notes that `tokens` more tokens of an attempt arrived.
    pub fn progressed(&mut self, now: Instant, server: ServerKey, ticket: Ticket, tokens: u32) {
        let Some(Some(entry)) = self.entries.get_mut(server.0 as usize) else {
            return;
        };
        let Some(stream) = entry.find(ticket) else {
            return;
        };
        let before = *stream;
        stream.last = now;
        stream.first_token = true;
        if before.first_token {
            entry.health.progressed(now, now.since(before.last), tokens);
            return;
        }
        entry.pending_tokens = entry.pending_tokens.saturating_sub(before.tokens);
        self.speed
            .first_token(now.since(before.start), before.queued_tokens);
    }

    /// Notes the end of an attempt.
    pub fn finished(&mut self, now: Instant, server: ServerKey, ticket: Ticket, outcome: Outcome) {
        let Some(Some(entry)) = self.entries.get_mut(server.0 as usize) else {
            return;
        };
        let Some(stream) = entry.close(now, ticket) else {
            return;
        };
        entry.health.finished(now, outcome);
        match outcome {
            Outcome::Busy => entry.busy_until = now + millis(self.settings.busy_pause_ms),
            Outcome::Done => self.speed.finished(now.since(stream.start), stream.tokens),
            Outcome::Failed | Outcome::Stalled | Outcome::Cancelled => {}
        }
    }

    /// Takes in a server's load report.
    pub fn record_load(&mut self, now: Instant, server: ServerKey, report: Report) {
        let Some(Some(entry)) = self.entries.get_mut(server.0 as usize) else {
            return;
        };
        let open = entry.streams.iter().map(|stream| stream.start);
        entry.others.report(now, report, open);
        self.history.cache_used(server, report.cache_used);
    }

    /// Takes in a cache event. Returns whether its number revealed a gap.
    pub fn record_cache_event(
        &mut self,
        _now: Instant,
        server: ServerKey,
        sequence: u64,
        event: Event,
    ) -> bool {
        let known = self
            .entries
            .get(server.0 as usize)
            .is_some_and(Option::is_some);
        known && self.history.event(server, sequence, event)
    }

    /// Judges the servers' progress; to be called a few times a second.
    pub fn tick(&mut self, now: Instant) -> Vec<Change> {
        health::review(now, &mut self.entries, &self.settings.health)
    }

    /// The name of a server's health state.
    pub fn health_state(&self, server: ServerKey) -> Option<&'static str> {
        let entry = self.entries.get(server.0 as usize)?.as_ref()?;
        Some(entry.health.state())
    }

    /// Own open attempts on a server.
    pub fn in_flight(&self, server: ServerKey) -> usize {
        let entry = self.entries.get(server.0 as usize);
        entry
            .and_then(Option::as_ref)
            .map_or(0, |entry| entry.streams.len())
    }

    /// Prompt blocks that are remembered.
    pub fn block_count(&self) -> usize {
        self.history.len()
    }
}

/// What stands before a request on one server.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Ahead {
    /// Own prompt tokens that are not computed yet, this request's included.
    pub(crate) prompt_tokens: f32,
    /// Requests on the server.
    pub(crate) outstanding: f32,
    /// Requests in the server's queue.
    pub(crate) waiting: f32,
    /// Requests in its batch.
    pub(crate) running: f32,
    /// Prompt tokens that delay a first token as much as one running stream does.
    pub(crate) stream_tokens: f32,
}

fn basis(settings: &Settings, instances: u32) -> load::Basis {
    load::Basis {
        life: millis(settings.report_life_ms),
        report_share: f32::from(settings.report_percent.min(100)) / 100.0,
        peers: (instances - 1) as f32,
    }
}
