//! Virtual time: engines, instances, lagging reports, late cache events with gaps.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use fescuewell_core::prelude::*;
use fescuewell_routing::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::engine::{Effect, Engine, Job};
use crate::load::{Load, Request, Shape};
use crate::policy::{self, Policy};

/// Time between two load reports of an engine, in microseconds.
const REPORT_US: u64 = 500_000;
/// Time that a report or a cache event is under way, in microseconds.
const LAG_US: u64 = 250_000;
/// Share of cache events that are lost.
const LOST: f64 = 0.001;
/// Time between two ticks of an instance, in microseconds.
const TICK_US: u64 = 250_000;
/// Time after which an instance asks again when it found every engine busy, in microseconds.
const AGAIN_US: u64 = 20_000;

/// One run.
pub struct Plan {
    pub policy: &'static str,
    pub shape: Shape,
    pub seed: u64,
    pub engines: usize,
    pub routers: usize,
    /// Requests a second, or `None` to keep all engines full.
    pub rate: Option<f64>,
    pub warm_us: u64,
    pub end_us: u64,
    /// Engine that becomes five times slower, and when.
    pub slow: Option<(usize, u64)>,
    pub events: bool,
}

/// What a run showed.
#[derive(Default)]
pub struct Figures {
    pub waits: Vec<u64>,
    pub hit: u64,
    pub prompt: u64,
    pub done: u64,
    pub changes: Vec<(u64, usize, Change)>,
    pub to_slow: u64,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum What {
    Arrive,
    Again(usize),
    Step(usize),
    Report(usize),
    Heard(usize),
    Tick(usize),
}

enum Note {
    Load(Report),
    Cache(u64, CacheEvent),
}

struct World {
    plan: Plan,
    load: Load,
    random: SmallRng,
    queue: BinaryHeap<Reverse<(u64, u64, What)>>,
    order: u64,
    engines: Vec<Engine>,
    sequences: Vec<u64>,
    notes: Vec<VecDeque<Note>>,
    routers: Vec<Box<dyn Policy>>,
    requests: Vec<(Request, usize)>,
    effects: Vec<Effect>,
    figures: Figures,
}

pub fn run(plan: Plan) -> Figures {
    let routers = (0..plan.routers)
        .map(|index| policy::make(plan.policy, index, plan.seed, plan.engines, plan.routers))
        .collect();
    let mut world = World {
        load: Load::new(plan.seed, plan.shape, plan.routers),
        random: SmallRng::seed_from_u64(plan.seed ^ 0xC0FFEE),
        queue: BinaryHeap::new(),
        order: 0,
        engines: (0..plan.engines).map(|_| Engine::new()).collect(),
        sequences: vec![0; plan.engines],
        notes: (0..plan.engines).map(|_| VecDeque::new()).collect(),
        routers,
        requests: Vec::new(),
        effects: Vec::new(),
        figures: Figures::default(),
        plan,
    };
    world.start();
    while let Some(Reverse((at, _, what))) = world.queue.pop() {
        if at > world.plan.end_us {
            break;
        }
        world.handle(at, what);
    }
    world.figures
}

impl World {
    fn start(&mut self) {
        for engine in 0..self.engines.len() {
            self.at(engine as u64 * 37_000, What::Report(engine));
        }
        for router in 0..self.routers.len() {
            self.at(router as u64 * 11_000, What::Tick(router));
        }
        let first = match self.plan.rate {
            Some(_) => 1,
            None => self.engines.len() * 48,
        };
        for _ in 0..first {
            self.at(0, What::Arrive);
        }
    }

    fn at(&mut self, at: u64, what: What) {
        self.order += 1;
        self.queue.push(Reverse((at, self.order, what)));
    }

    fn handle(&mut self, at: u64, what: What) {
        match what {
            What::Arrive => {
                let request = self.load.request(at);
                self.requests.push((request, usize::MAX));
                if let Some(rate) = self.plan.rate {
                    let gap = self.load.gap(rate);
                    self.at(at + gap, What::Arrive);
                }
                self.dispatch(at, self.requests.len() - 1);
            }
            What::Again(id) => self.dispatch(at, id),
            What::Step(engine) => self.step(at, engine),
            What::Report(engine) => self.report(at, engine),
            What::Heard(engine) => self.heard(at, engine),
            What::Tick(router) => {
                for change in self.routers[router].tick(Instant(at)) {
                    self.figures.changes.push((at, router, change));
                }
                self.at(at + TICK_US, What::Tick(router));
            }
        }
    }

    fn dispatch(&mut self, at: u64, id: usize) {
        let (request, chosen) = &mut self.requests[id];
        let Some(engine) = self.routers[request.router].choose(Instant(at), id, request) else {
            self.at(at + AGAIN_US, What::Again(id));
            return;
        };
        *chosen = engine;
        if let Some((slow, from)) = self.plan.slow {
            self.figures.to_slow += u64::from(slow == engine && at >= from);
        }
        self.engines[engine].waiting.push_back(Job {
            id,
            prefix: request.prefix.clone(),
            prompt: request.prompt,
            output: request.output,
            to_compute: 0,
            produced: 0,
        });
        if !self.engines[engine].stepping {
            self.begin(at, engine);
        }
    }

    fn begin(&mut self, at: u64, engine: usize) {
        if let Some((slow, from)) = self.plan.slow
            && slow == engine
            && at >= from
        {
            self.engines[engine].slowdown = 5.0;
        }
        let mut effects = std::mem::take(&mut self.effects);
        let step = self.engines[engine].begin(&mut effects);
        for effect in effects.drain(..) {
            if let Effect::Hit(tokens) = effect
                && at >= self.plan.warm_us
            {
                self.figures.hit += u64::from(tokens);
            }
        }
        self.effects = effects;
        self.engines[engine].stepping = step.is_some();
        if let Some(step) = step {
            self.at(at + step, What::Step(engine));
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
                    self.figures.done += u64::from(at >= self.plan.warm_us);
                    if self.plan.rate.is_none() {
                        self.at(at, What::Arrive);
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
        // The arrival time is taken away with the first token.
        if request.at != u64::MAX {
            if request.at >= self.plan.warm_us {
                self.figures.waits.push(now.0 - request.at);
                self.figures.prompt += u64::from(request.prompt);
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
            if self.plan.events && !self.random.random_bool(LOST) {
                let sequence = self.sequences[engine];
                self.notes[engine].push_back(Note::Cache(sequence, event));
            }
        }
        self.notes[engine].push_back(Note::Load(report));
        self.at(at + LAG_US, What::Heard(engine));
        self.at(at + REPORT_US, What::Report(engine));
    }

    fn heard(&mut self, at: u64, engine: usize) {
        while let Some(note) = self.notes[engine].pop_front() {
            for router in &mut self.routers {
                match &note {
                    Note::Load(report) => router.report(Instant(at), engine, *report),
                    Note::Cache(sequence, event) => {
                        router.cached(Instant(at), engine, *sequence, *event);
                    }
                }
            }
        }
    }
}
