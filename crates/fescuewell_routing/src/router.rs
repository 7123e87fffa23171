//! The router, which compares a few candidates by their predicted time to first token.

use std::sync::Arc;
use std::time::Duration;

use fescuewell_core::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::choice::{Basis, Choice, NoChoice, Query, Reason};
use crate::gather::{Admission, Candidate, Collector};
use crate::health::{self, Change, Health};
use crate::load::{self, PeerLoad, Report};
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
    rng: SmallRng,
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
    /// Creates the router of an instance in `zone`. `seed` seeds its random generator.
    pub fn new(settings: Settings, zone: Arc<str>, seed: u64) -> Self {
        Self {
            zone,
            rng: SmallRng::seed_from_u64(seed),
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

    /// Applies the backend servers of a configuration document. Remaining servers keep their state.
    pub fn set_servers(&mut self, now: Instant, specs: &[Spec]) {
        let mut old = std::mem::take(&mut self.entries);
        for spec in specs {
            let index = spec.key.0 as usize;
            if index >= self.entries.len() {
                self.entries.resize(index + 1, None);
            }
            let known = old.get_mut(index).and_then(Option::take);
            let known = known.filter(|entry| entry.name == spec.name);
            if known.is_none() {
                self.history.forget(spec.key);
            }
            self.entries[index] = Some(self.entry(now, spec, known));
        }
        self.pools.clear();
    }

    fn entry(&mut self, now: Instant, spec: &Spec, known: Option<Entry>) -> Entry {
        let mut entry = known.unwrap_or_else(|| Entry {
            name: spec.name.clone(),
            local: true,
            ring_position: ring_position(&spec.name),
            models: Vec::new(),
            loaded: None,
            concurrency: 0,
            leaving: false,
            busy_until: Instant::default(),
            headroom: None,
            streams: Vec::new(),
            heard_at: None,
            pending_tokens: 0,
            peer_load: PeerLoad::default(),
            health: Health::new(now),
        });
        entry.local = spec.zone == self.zone;
        entry.concurrency = spec.concurrency;
        entry.models = self.intern(&spec.models);
        entry
    }

    fn intern(&mut self, names: &[Arc<str>]) -> Vec<ModelKey> {
        let mut keys: Vec<ModelKey> = names.iter().map(|name| self.models.intern(name)).collect();
        keys.sort_unstable();
        keys.dedup();
        keys
    }

    /// Sets the models that a server has loaded.
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
            // With a model that the document does not list, the server joins further pools.
            self.pools.clear();
            return;
        }
        for model in before.iter().chain(&keys) {
            self.pools.relocate(*model, server, entry);
        }
    }

    /// Sets how many instances send to the same backend servers.
    pub fn set_instances(&mut self, instances: u32) {
        self.instances = instances.max(1);
    }

    /// Sets whether a server is draining. A draining server gets no new requests.
    pub fn set_leaving(&mut self, server: ServerKey, leaving: bool) {
        if let Some(Some(entry)) = self.entries.get_mut(server.0 as usize) {
            entry.leaving = leaving;
        }
    }

    /// Sets which requests this instance's concurrency limit for a server still admits. Once set,
    /// it replaces [`Settings::urgent_reserve_percent`].
    pub fn set_headroom(&mut self, server: ServerKey, headroom: Headroom) {
        if let Some(Some(entry)) = self.entries.get_mut(server.0 as usize) {
            entry.headroom = Some(headroom);
        }
    }

    /// Chooses a backend server. The request counts as in flight once [`Router::started`] is
    /// called.
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
        // Ties are common. A random start keeps them from all going to the first candidate.
        let len = self.candidates.len();
        let first = self.rng.random_range(0..len.max(1));
        for step in 0..len {
            let candidate = self.candidates[(first + step) % len];
            let scored = self.score(now, query, candidate);
            if best.is_none_or(|best| scored.cost < best.cost) {
                best = Some(scored);
            }
        }
        let best = best.ok_or(NoChoice::NoneLeft)?;
        let server = best.candidate.server;
        self.history.record_send(now, query.prefix, server);
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

    /// Collects candidates: servers that cache the prefix, its home servers on the hash ring, and a
    /// random sample.
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
        let mut collector = Collector {
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
        collector.holders(self.settings.holders as usize);
        collector.homes(self.settings.homes as usize);
        collector.samples(self.settings.samples as usize, &mut self.rng);
        if !collector.candidates.is_empty() {
            return Ok(());
        }
        collector.scan(&mut self.rng)
    }

    fn score(&self, now: Instant, query: &Query<'_>, candidate: Candidate) -> Scored {
        let entry = self.entries[candidate.server.0 as usize]
            .as_ref()
            .expect("every candidate has an entry");
        let own = entry.streams.len() as f32;
        let parameters = load_parameters(&self.settings, self.instances);
        let estimate = entry.peer_load.estimate(now, own, &parameters);
        let cached_share = candidate.hit.map_or(0.0, |hit| {
            let share = hit.blocks as f32 / query.prefix.len().max(1) as f32;
            share.min(1.0) * hit.confidence
        });
        let expected_tokens = query.prompt_tokens as f32 * (1.0 - cached_share);
        let outstanding = own + estimate.others;
        let backlog = Backlog {
            prompt_tokens: entry.pending_tokens as f32 + expected_tokens,
            outstanding,
            waiting: estimate.waiting,
            running: estimate.running,
            stream_tokens: self.settings.stream_tokens as f32,
        };
        let mut cost = self.speed.predict(&backlog) * entry.health.cost(now, &self.settings.health);
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

    /// Records that an attempt was sent; `tokens` is [`Choice::expected_tokens`].
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

    /// Records that `tokens` more tokens of an attempt arrived.
    pub fn progressed(&mut self, now: Instant, server: ServerKey, ticket: Ticket, tokens: u32) {
        let Some(Some(entry)) = self.entries.get_mut(server.0 as usize) else {
            return;
        };
        entry.heard_at = Some(now);
        let Some(stream) = entry.find(ticket) else {
            return;
        };
        let before = *stream;
        stream.last = now;
        stream.first_token = true;
        if before.first_token {
            entry
                .health
                .record_progress(now, now.since(before.last), tokens);
            return;
        }
        entry.pending_tokens = entry.pending_tokens.saturating_sub(before.tokens);
        self.speed
            .record_first_token(now.since(before.start), before.queued_tokens);
    }

    /// Records the end of an attempt.
    pub fn finished(&mut self, now: Instant, server: ServerKey, ticket: Ticket, outcome: Outcome) {
        let Some(Some(entry)) = self.entries.get_mut(server.0 as usize) else {
            return;
        };
        let Some(stream) = entry.close(now, ticket) else {
            return;
        };
        entry.health.record_outcome(now, outcome);
        if matches!(outcome, Outcome::Done | Outcome::Busy) {
            entry.heard_at = Some(now);
        }
        match outcome {
            Outcome::Busy => entry.busy_until = now + millis(self.settings.busy_pause_ms),
            Outcome::Done => self
                .speed
                .record_completion(now.since(stream.start), stream.tokens),
            Outcome::Failed | Outcome::Stalled | Outcome::Cancelled => {}
        }
    }

    /// Whether a server was heard before `since` and not again. One that was never heard is not quiet, and
    /// neither is one that has nothing to send: no attempts in flight, and no load reports.
    pub fn is_quiet(&self, server: ServerKey, since: Instant) -> bool {
        let Some(Some(entry)) = self.entries.get(server.0 as usize) else {
            return false;
        };
        let has_more = !entry.streams.is_empty() || entry.peer_load.has_reported();
        has_more && entry.heard_at.is_some_and(|heard_at| heard_at < since)
    }

    /// Records a server's load report.
    pub fn record_load(&mut self, now: Instant, server: ServerKey, report: Report) {
        let Some(Some(entry)) = self.entries.get_mut(server.0 as usize) else {
            return;
        };
        let open = entry.streams.iter().map(|stream| stream.start);
        entry.peer_load.record_report(now, report, open);
        entry.heard_at = Some(now);
        self.history.record_usage(server, report.cache_used);
    }

    /// Records a cache event. Returns whether its sequence number shows that events were lost.
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
        known && self.history.record_event(server, sequence, event)
    }

    /// Updates the health of all servers; to be called a few times a second.
    pub fn tick(&mut self, now: Instant) -> Vec<Change> {
        health::update_all(now, &mut self.entries, &self.settings.health)
    }

    /// Returns the name of a server's health state in `health.json`.
    pub fn health_state(&self, server: ServerKey) -> Option<&'static str> {
        let entry = self.entries.get(server.0 as usize)?.as_ref()?;
        Some(entry.health.state())
    }

    /// Returns the number of this instance's attempts in flight on a server.
    pub fn in_flight(&self, server: ServerKey) -> usize {
        let entry = self.entries.get(server.0 as usize);
        entry
            .and_then(Option::as_ref)
            .map_or(0, |entry| entry.streams.len())
    }

    /// Returns the number of prompt blocks in the prefix index.
    pub fn block_count(&self) -> usize {
        self.history.len()
    }
}

/// Work that a server has to do before a request's first token.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Backlog {
    /// Prompt tokens of this instance that are not computed yet, including this request's.
    pub(crate) prompt_tokens: f32,
    /// Requests on the server, from all instances.
    pub(crate) outstanding: f32,
    /// Requests in the server's queue.
    pub(crate) waiting: f32,
    /// Requests in the server's batch.
    pub(crate) running: f32,
    /// Delay of a first token by one running stream, as a number of prompt tokens.
    pub(crate) stream_tokens: f32,
}

fn load_parameters(settings: &Settings, instances: u32) -> load::Parameters {
    load::Parameters {
        max_age: millis(settings.report_life_ms),
        report_weight: f32::from(settings.report_percent.min(100)) / 100.0,
        peers: (instances - 1) as f32,
    }
}
