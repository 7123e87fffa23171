//! Simulation in virtual time: engines, instances, delayed load reports, late and lost cache
//! events.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use fescuewell_core::prelude::*;
use fescuewell_routing::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::engine::{Effect, Engine, Job};
use crate::load::{Generator, Request, Workload};
use crate::policy::{self, Policy};

/// Time between two load reports of an engine, in microseconds.
const REPORT_US: u64 = 500_000;
/// Delivery delay of a report or a cache event, in microseconds.
const LAG_US: u64 = 250_000;
/// Share of cache events that are lost.
const LOST: f64 = 0.001;
/// Time between two ticks of an instance, in microseconds.
const TICK_US: u64 = 250_000;
/// Time after which an instance retries when every engine is busy, in microseconds.
const RETRY_US: u64 = 20_000;

/// Parameters of one run.
pub struct Scenario {
    pub policy: &'static str,
    pub workload: Workload,
    pub seed: u64,
    pub engines: usize,
    pub routers: usize,
    /// Requests per second, or `None` to keep all engines full.
    pub rate: Option<f64>,
    pub warm_us: u64,
    pub end_us: u64,
    /// Engine that becomes five times slower, and the time at which it does.
    pub slow: Option<(usize, u64)>,
    pub events: bool,
}

/// Measurements of a run.
#[derive(Default)]
pub struct Results {
    pub waits: Vec<u64>,
    pub hit: u64,
    pub prompt: u64,
    pub done: u64,
    pub changes: Vec<(u64, usize, Change)>,
    pub to_slow: u64,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Retry(usize),
    Step(usize),
    Report(usize),
    Deliver(usize),
    Tick(usize),
}

enum Message {
    Load(Report),
    Cache(u64, CacheEvent),
}

struct World {
    scenario: Scenario,
    generator: Generator,
    rng: SmallRng,
    queue: BinaryHeap<Reverse<(u64, u64, Event)>>,
    order: u64,
    engines: Vec<Engine>,
    sequences: Vec<u64>,
    messages: Vec<VecDeque<Message>>,
    routers: Vec<Box<dyn Policy>>,
    requests: Vec<(Request, usize)>,
    effects: Vec<Effect>,
    results: Results,
}

pub fn run(scenario: Scenario) -> Results {
    let routers = (0..scenario.routers)
        .map(|index| {
            policy::create(
                scenario.policy,
                index,
                scenario.seed,
                scenario.engines,
                scenario.routers,
            )
        })
        .collect();
    let mut world = World {
        generator: Generator::new(scenario.seed, scenario.workload, scenario.routers),
        rng: SmallRng::seed_from_u64(scenario.seed ^ 0xC0FFEE),
        queue: BinaryHeap::new(),
        order: 0,
        engines: (0..scenario.engines).map(|_| Engine::new()).collect(),
        sequences: vec![0; scenario.engines],
        messages: (0..scenario.engines).map(|_| VecDeque::new()).collect(),
        routers,
        requests: Vec::new(),
        effects: Vec::new(),
        results: Results::default(),
        scenario,
    };
    world.start();
    while let Some(Reverse((at, _, event))) = world.queue.pop() {
        if at > world.scenario.end_us {
            break;
        }
        world.handle(at, event);
    }
    world.results
}

impl World {
    fn start(&mut self) {
        for engine in 0..self.engines.len() {
            self.at(engine as u64 * 37_000, Event::Report(engine));
        }
        for router in 0..self.routers.len() {
            self.at(router as u64 * 11_000, Event::Tick(router));
        }
        let first = match self.scenario.rate {
            Some(_) => 1,
            None => self.engines.len() * 48,
        };
        for _ in 0..first {
            self.at(0, Event::Arrive);
        }
    }

    fn at(&mut self, at: u64, event: Event) {
        self.order += 1;
        self.queue.push(Reverse((at, self.order, event)));
    }

    fn handle(&mut self, at: u64, event: Event) {
        match event {
            Event::Arrive => {
                let request = self.generator.request(at);
                self.requests.push((request, usize::MAX));
                if let Some(rate) = self.scenario.rate {
                    let gap = self.generator.gap(rate);
                    self.at(at + gap, Event::Arrive);
                }
                self.dispatch(at, self.requests.len() - 1);
            }
            Event::Retry(id) => self.dispatch(at, id),
            Event::Step(engine) => self.step(at, engine),
            Event::Report(engine) => self.report(at, engine),
            Event::Deliver(engine) => self.deliver(at, engine),
            Event::Tick(router) => {
                for change in self.routers[router].tick(Instant(at)) {
                    self.results.changes.push((at, router, change));
                }
                self.at(at + TICK_US, Event::Tick(router));
            }
        }
    }

    fn dispatch(&mut self, at: u64, id: usize) {
        let (request, chosen) = &mut self.requests[id];
        let Some(engine) = self.routers[request.router].choose(Instant(at), id, request) else {
            self.at(at + RETRY_US, Event::Retry(id));
            return;
        };
        *chosen = engine;
        if let Some((slow, from)) = self.scenario.slow {
            self.results.to_slow += u64::from(slow == engine && at >= from);
        }
        self.engines[engine].waiting.push_back(Job {
            id,
            prefix: request.prefix.clone(),
            prompt: request.prompt,
            output: request.output,
            remaining_prompt: 0,
            produced: 0,
        });
        if !self.engines[engine].stepping {
            self.begin(at, engine);
        }
    }

    fn begin(&mut self, at: u64, engine: usize) {
        if let Some((slow, from)) = self.scenario.slow
            && slow == engine
            && at >= from
        {
            self.engines[engine].slowdown = 5.0;
        }
        let mut effects = std::mem::take(&mut self.effects);
        let step = self.engines[engine].begin(&mut effects);
        for effect in effects.drain(..) {
            if let Effect::Hit(tokens) = effect
                && at >= self.scenario.warm_us
            {
                self.results.hit += u64::from(tokens);
            }
        }
        self.effects = effects;
        self.engines[engine].stepping = step.is_some();
        if let Some(step) = step {
            self.at(at + step, Event::Step(engine));
        }
    }

    fn step(&mut self, at: u64, engine: usize) {
        let now = Instant(at);
        let mut effects = std::mem::take(&mut self.effects);
        self.engines[engine].end(&mut effects);
        for effect in effects.drain(..) {
            match effect {
                Effect::Token(id) => self.token(now, engine, id),
                Effect::Done(id) => {
                    let router = self.requests[id].0.router;
                    self.routers[router].done(now, engine, id);
                    self.results.done += u64::from(at >= self.scenario.warm_us);
                    if self.scenario.rate.is_none() {
                        self.at(at, Event::Arrive);
                    }
                }
                Effect::Hit(_) => {}
            }
        }
        self.effects = effects;
        self.begin(at, engine);
    }

    fn token(&mut self, now: Instant, engine: usize, id: usize) {
        let request = &mut self.requests[id].0;
        self.routers[request.router].token(now, engine, id);
        // The first token clears the arrival time.
        if request.at != u64::MAX {
            if request.at >= self.scenario.warm_us {
                self.results.waits.push(now.0 - request.at);
                self.results.prompt += u64::from(request.prompt);
            }
            request.at = u64::MAX;
        }
    }

    fn report(&mut self, at: u64, engine: usize) {
        let state = &mut self.engines[engine];
        let report = Report {
            running: state.running.len() as u32,
            waiting: state.waiting.len() as u32,
            cache_used: state.cache_used(),
            age: Duration::from_micros(LAG_US),
        };
        for event in state.events.drain(..) {
            self.sequences[engine] += 1;
            if self.scenario.events && !self.rng.random_bool(LOST) {
                let sequence = self.sequences[engine];
                self.messages[engine].push_back(Message::Cache(sequence, event));
            }
        }
        self.messages[engine].push_back(Message::Load(report));
        self.at(at + LAG_US, Event::Deliver(engine));
        self.at(at + REPORT_US, Event::Report(engine));
    }

    fn deliver(&mut self, at: u64, engine: usize) {
        while let Some(message) = self.messages[engine].pop_front() {
            for router in &mut self.routers {
                match &message {
                    Message::Load(report) => router.report(Instant(at), engine, *report),
                    Message::Cache(sequence, event) => {
                        router.cached(Instant(at), engine, *sequence, *event);
                    }
                }
            }
        }
    }
}
