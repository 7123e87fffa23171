//! Replay of loads of model engines without a network: engines with a prefix cache that process
//! prompts in turn, and instances that choose servers and exchange delayed load reports.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::sync::Arc;

use fescuewell_forward::choice::forecast::{Forecast, Sent, Summary};
use fescuewell_forward::choice::placement::{self, Assignment, Knowledge, Recent, Request};
use fescuewell_forward::choice::{self, Criteria, Load, Report};
use fescuewell_forward::health::Health;
use fescuewell_forward::server::{Entry, State};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

pub const SERVICE: &str = "chat";
/// Prefill rate of an engine in tokens per millisecond.
const RATE: f64 = 55.0;
/// Time to the first event without a prompt, and for each running stream, in milliseconds.
const FIXED_MS: f64 = 30.0;
const STREAM_MS: f64 = 0.5;
/// Gap between two events without a pause, and number of events.
const GAP_MS: f64 = 40.0;
const EVENTS: u64 = 40;
const KV_TOKENS: u64 = 432_457;
const SLOTS: u32 = 64;
pub const TARGET_GAP_MS: f64 = 400.0;
/// Prompts of this many uncached tokens count as long, and meet within this time.
const LONG: u64 = 8_000;
const MEETING_MS: u64 = 1_000;
/// Duration of a slow period, how many times slower it is, and one server in how many has one.
const SLOW_PERIOD_MS: u64 = 600;
const SLOW_FACTOR: f64 = 2.5;
const SLOW_SERVERS: u64 = 7;

/// Time at the beginning that is not counted; instances learn and caches fill in it.
const WARM_UP_MS: u64 = 8_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rule {
    /// `choice::pick`.
    Pick,
    /// `placement::pick`.
    Forecast,
}

/// A kind of request.
#[derive(Debug, Clone, Copy)]
pub struct Kind {
    pub per_s: f64,
    pub shared: u64,
    pub own: u64,
    pub target_ms: f64,
    /// Number of prefixes in use, and for how long.
    pub prefixes: u64,
    pub epoch_ms: u64,
}

#[derive(Debug, Clone)]
pub struct Mix(pub Vec<Kind>);

#[derive(Debug, Default, Clone, Copy)]
pub struct Outcome {
    pub requests: u64,
    pub late: u64,
    pub short: u64,
    pub late_short: u64,
    /// Streams that paused for longer than the target gap, counted once for each pause.
    pub paused: u64,
    /// Long uncached prompts, and those with one of another instance at the server shortly before.
    pub long: u64,
    pub meetings: u64,
    /// Prompt tokens that engines processed.
    pub prefill: u64,
}

impl Outcome {
    pub fn add(self, other: Self) -> Self {
        Self {
            requests: self.requests + other.requests,
            late: self.late + other.late,
            short: self.short + other.short,
            late_short: self.late_short + other.late_short,
            paused: self.paused + other.paused,
            long: self.long + other.long,
            meetings: self.meetings + other.meetings,
            prefill: self.prefill + other.prefill,
        }
    }
}

struct Instance {
    load: Load,
    forecast: Forecast,
    assignment: Assignment,
    health: Health,
    recent: Recent,
    is_advertised: bool,
    sequence: u64,
}

#[derive(Default)]
struct Engine {
    busy_until_ms: f64,
    cached: VecDeque<(Arc<str>, u64)>,
    streams: u32,
    last_long: VecDeque<(u64, usize)>,
    /// Times slower than the others in the whole replay.
    factor: f64,
    placed: u64,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Started(usize, usize, u64, SentOrd, u64),
    End(usize, usize),
    Report(usize),
    Receive(usize, usize),
    Arrival(usize),
}

type SentOrd = (u64, u64, u32);

pub struct Fleet {
    instances: Vec<Instance>,
    servers: Vec<Arc<Entry>>,
    engines: Vec<Engine>,
    rule: Rule,
    rng: SmallRng,
    seed: u64,
    reports: Vec<Report>,
    has_slow_periods: bool,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    number: u64,
    outcome: Outcome,
}

pub fn entries(count: usize) -> Vec<Arc<Entry>> {
    let entry = |index: usize| Entry {
        id: format!("engine-{index:03}").into(),
        started_at_ms: None,
        service: SERVICE.into(),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: "a".into(),
        slots: SLOTS,
        cold_left_ms: 0,
        state: State::Ready,
    };
    (0..count).map(|index| Arc::new(entry(index))).collect()
}

impl Fleet {
    pub fn new(instances: usize, advertised: usize, rule: Rule, seed: u64) -> Self {
        let servers = 60;
        let names: Vec<Arc<str>> = (0..instances)
            .map(|i| format!("router-{i}").into())
            .collect();
        let instance = |index: usize| {
            let mut assignment = Assignment::new(names[index].clone());
            assignment.set_instances(&names[..advertised]);
            Instance {
                load: Load::default(),
                forecast: Forecast::default(),
                assignment,
                health: Health::default(),
                recent: Recent::default(),
                is_advertised: index < advertised,
                sequence: 0,
            }
        };
        let engine = |_| Engine {
            factor: 1.0,
            ..Engine::default()
        };
        Self {
            instances: (0..instances).map(instance).collect(),
            servers: entries(servers),
            engines: (0..servers).map(engine).collect(),
            rule,
            rng: SmallRng::seed_from_u64(seed),
            seed,
            reports: vec![Report::default(); instances],
            has_slow_periods: true,
            events: BinaryHeap::new(),
            number: 0,
            outcome: Outcome::default(),
        }
    }

    /// Makes one server slower in the whole replay.
    pub fn with_slow_server(mut self, server: usize, factor: f64) -> Self {
        self.engines[server].factor = factor;
        self.has_slow_periods = false;
        self
    }

    /// Number of requests placed at a server after the warm-up.
    pub fn placed_at(&self, server: usize) -> u64 {
        self.engines[server].placed
    }

    fn push(&mut self, at_ms: u64, event: Event) {
        self.number += 1;
        self.events.push(Reverse((at_ms, self.number, event)));
    }

    fn slowness(&self, server: usize, now_ms: u64) -> f64 {
        let period = now_ms / SLOW_PERIOD_MS;
        let draw = choice::hash(&format!("{} {server} {period}", self.seed));
        let is_slow = self.has_slow_periods && draw.is_multiple_of(SLOW_SERVERS);
        self.engines[server].factor * if is_slow { SLOW_FACTOR } else { 1.0 }
    }

    /// Interval of load reports, as in the gateway.
    fn report_interval_ms(&self) -> u64 {
        10 * (self.instances.len() as u64 / 4).max(1)
    }

    pub fn run(&mut self, mix: &Mix, until_ms: u64) -> Outcome {
        for kind in 0..mix.0.len() {
            self.push(0, Event::Arrival(kind));
        }
        for instance in 0..self.instances.len() {
            let at = self.rng.random_range(0..self.report_interval_ms());
            self.push(at, Event::Report(instance));
        }
        while let Some(Reverse((now_ms, _, event))) = self.events.pop() {
            if now_ms >= until_ms {
                break;
            }
            if now_ms < WARM_UP_MS {
                self.outcome = Outcome::default();
            }
            self.apply(event, mix, now_ms);
        }
        self.outcome
    }

    fn apply(&mut self, event: Event, mix: &Mix, now_ms: u64) {
        match event {
            Event::Arrival(kind) => {
                let mean_ms = 1_000.0 / mix.0[kind].per_s;
                let uniform: f64 = self.rng.random_range(0.000_1..1.0);
                let next = now_ms + (-uniform.ln() * mean_ms).round() as u64;
                self.push(next.max(now_ms), Event::Arrival(kind));
                self.place(&mix.0[kind], now_ms);
            }
            Event::Started(index, server, pending, sent, sent_at_ms) => {
                let id = self.servers[server].id.clone();
                let instance = &mut self.instances[index];
                instance.load.finish_prefill(&id, pending);
                let sent = Sent {
                    tokens_ahead: sent.0,
                    own_tokens: sent.1,
                    in_flight: sent.2,
                };
                let took_ms = (now_ms - sent_at_ms) as f64;
                let service = SERVICE.into();
                let forecast = &mut instance.forecast;
                forecast.record_first_event(&service, &id, sent, took_ms, now_ms);
            }
            Event::End(index, server) => {
                let id = self.servers[server].id.clone();
                let gap_ms = GAP_MS * self.slowness(server, now_ms);
                self.engines[server].streams -= 1;
                let instance = &mut self.instances[index];
                instance.load.end(&id);
                let gaps = Summary {
                    median_ms: gap_ms,
                    longest_ms: gap_ms,
                    pending_tokens: 0,
                };
                instance
                    .forecast
                    .record_gaps(&SERVICE.into(), &id, gaps, now_ms);
            }
            Event::Report(index) => {
                let instance = &mut self.instances[index];
                instance.sequence += 1;
                instance.load.expire(now_ms);
                let name = format!("router-{index}").into();
                self.reports[index] = instance.load.report(name, instance.sequence, now_ms);
                let interval = self.report_interval_ms();
                self.push(now_ms + interval, Event::Report(index));
                for peer in 0..self.instances.len() {
                    let is_lost = self.rng.random_range(0..20) == 0;
                    if peer != index && self.instances[peer].is_advertised && !is_lost {
                        let delay = self.rng.random_range(3..10);
                        self.push(now_ms + delay, Event::Receive(index, peer));
                    }
                }
            }
            Event::Receive(from, to) => {
                let report = self.reports[from].clone();
                let instance = &mut self.instances[to];
                instance.recent.record_report(&report, now_ms);
                instance.load.apply_report(report, now_ms);
            }
        }
    }

    /// Sends a request of an instance to the server that it chooses.
    fn place(&mut self, kind: &Kind, now_ms: u64) {
        let index = self.rng.random_range(0..self.instances.len());
        let number = self.rng.random_range(0..kind.prefixes);
        let epoch = now_ms / kind.epoch_ms;
        let prefix: Arc<str> = format!("{} {number} {epoch}", kind.shared).into();
        let criteria = Criteria {
            affinity: Some(&prefix),
            shared_tokens: kind.shared,
            random: self.rng.random(),
        };
        let prompt = kind.shared + kind.own;
        let candidates: Vec<&Arc<Entry>> = self.servers.iter().collect();
        let Instance {
            load,
            forecast,
            assignment,
            health,
            recent,
            ..
        } = &mut self.instances[index];
        let chosen = match self.rule {
            Rule::Pick => choice::pick(&candidates, &criteria, load, health, |_| true, now_ms),
            Rule::Forecast => {
                let request = Request {
                    service: SERVICE,
                    criteria,
                    prompt_tokens: prompt,
                    target_ms: kind.target_ms,
                    target_gap_ms: TARGET_GAP_MS,
                };
                let known = Knowledge {
                    load,
                    health,
                    forecast,
                    recent,
                };
                let choice =
                    placement::pick(&candidates, &request, known, assignment, |_| true, now_ms);
                choice.map(|choice| choice.server)
            }
        };
        let entry = chosen.unwrap().clone();
        let id = &entry.id;
        let own = load.uncached_tokens(prompt, &criteria, id);
        let sent = (load.pending_prefill(id), own, load.in_flight(id));
        load.record_prefix(&prefix, id, now_ms);
        load.begin(id, own);
        let server = self
            .servers
            .iter()
            .position(|other| other.id == *id)
            .unwrap();
        let slowness = self.slowness(server, now_ms);
        let engine = &mut self.engines[server];
        let uncached = engine.process(&prefix, kind, index, now_ms, &mut self.outcome);
        let prefill_ms = uncached as f64 / RATE * slowness;
        engine.busy_until_ms = engine.busy_until_ms.max(now_ms as f64) + prefill_ms;
        let fixed_ms = (FIXED_MS + STREAM_MS * f64::from(engine.streams)) * slowness;
        let first_at = (engine.busy_until_ms + fixed_ms) as u64;
        if prefill_ms > TARGET_GAP_MS {
            self.outcome.paused += u64::from(engine.streams);
        }
        engine.streams += 1;
        engine.placed += u64::from(now_ms >= WARM_UP_MS);
        let is_late = (first_at - now_ms) as f64 > kind.target_ms;
        let is_short = prompt < 2_000;
        self.outcome.requests += 1;
        self.outcome.late += u64::from(is_late);
        self.outcome.short += u64::from(is_short);
        self.outcome.late_short += u64::from(is_short && is_late);
        let end_at = first_at + (GAP_MS * slowness) as u64 * EVENTS;
        self.push(first_at, Event::Started(index, server, own, sent, now_ms));
        self.push(end_at, Event::End(index, server));
    }
}

impl Engine {
    /// Takes in a prompt. Returns the tokens that are not cached.
    fn process(
        &mut self,
        prefix: &Arc<str>,
        kind: &Kind,
        instance: usize,
        now_ms: u64,
        outcome: &mut Outcome,
    ) -> u64 {
        let cached = self.cached.iter().position(|(known, _)| known == prefix);
        let uncached = kind.own + if cached.is_some() { 0 } else { kind.shared };
        if let Some(cached) = cached {
            self.cached.remove(cached);
        }
        self.cached.push_back((prefix.clone(), kind.shared));
        while self.cached.iter().map(|(_, tokens)| tokens).sum::<u64>() > KV_TOKENS {
            self.cached.pop_front();
        }
        outcome.prefill += uncached;
        if uncached >= LONG {
            let last = &mut self.last_long;
            last.retain(|(at, _)| now_ms < at + MEETING_MS);
            outcome.long += 1;
            let meets = last.iter().any(|(_, other)| *other != instance);
            outcome.meetings += u64::from(meets);
            last.push_back((now_ms, instance));
        }
        uncached
    }
}
