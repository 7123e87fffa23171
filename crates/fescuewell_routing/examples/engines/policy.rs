//! The router under test and the baseline policies, behind one trait.

use fescuewell_core::prelude::*;
use fescuewell_routing::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::load::Request;

/// Load balancing policy of one instance.
pub trait Policy {
    fn choose(&mut self, now: Instant, id: usize, request: &Request) -> Option<usize>;
    fn token(&mut self, _now: Instant, _engine: usize, _id: usize) {}
    fn done(&mut self, _now: Instant, _engine: usize, _id: usize) {}
    fn report(&mut self, _now: Instant, _engine: usize, _report: Report) {}
    fn cached(&mut self, _now: Instant, _engine: usize, _sequence: u64, _event: CacheEvent) {}
    fn tick(&mut self, _now: Instant) -> Vec<Change> {
        Vec::new()
    }
}

pub struct Random {
    pub rng: SmallRng,
    pub engines: usize,
}

impl Policy for Random {
    fn choose(&mut self, _: Instant, _: usize, _: &Request) -> Option<usize> {
        Some(self.rng.random_range(0..self.engines))
    }
}

pub struct RoundRobin {
    pub next: usize,
    pub engines: usize,
}

impl Policy for RoundRobin {
    fn choose(&mut self, _: Instant, _: usize, _: &Request) -> Option<usize> {
        self.next = (self.next + 1) % self.engines;
        Some(self.next)
    }
}

/// Fewest requests in flight from this instance; ties are broken at random.
pub struct LeastInFlight {
    pub rng: SmallRng,
    pub counts: Vec<u32>,
}

impl Policy for LeastInFlight {
    fn choose(&mut self, _: Instant, _: usize, _: &Request) -> Option<usize> {
        let least = *self.counts.iter().min()?;
        let ties: Vec<usize> = (0..self.counts.len())
            .filter(|&engine| self.counts[engine] == least)
            .collect();
        let engine = ties[self.rng.random_range(0..ties.len())];
        self.counts[engine] += 1;
        Some(engine)
    }
    fn done(&mut self, _: Instant, engine: usize, _: usize) {
        self.counts[engine] -= 1;
    }
}

pub struct Fescuewell {
    router: Router,
    reach: Vec<ServerKey>,
}

impl Fescuewell {
    pub fn new(seed: u64, engines: usize, routers: usize, settings: Settings) -> Self {
        let mut router = Router::new(settings, "zone-a".into(), seed);
        let reach: Vec<ServerKey> = (0..engines as u32).map(ServerKey).collect();
        let mut specs = Vec::new();
        for &key in &reach {
            specs.push(Spec {
                key,
                name: format!("engine-{}", key.0).into(),
                zone: "zone-a".into(),
                models: vec!["model".into()],
                concurrency: 64,
            });
        }
        router.set_servers(Instant(0), &specs);
        router.set_instances(routers as u32);
        Self { router, reach }
    }
}

impl Policy for Fescuewell {
    fn choose(&mut self, now: Instant, id: usize, request: &Request) -> Option<usize> {
        let query = Query {
            model: Some("model".into()),
            reach: &self.reach,
            prefix: &request.prefix,
            prompt_tokens: request.prompt,
            urgent: false,
            exclude: &[],
        };
        let choice = self.router.choose(now, &query).ok()?;
        let ticket = Ticket(id as u64);
        self.router
            .started(now, choice.server, ticket, choice.expected_tokens);
        Some(choice.server.0 as usize)
    }
    fn token(&mut self, now: Instant, engine: usize, id: usize) {
        let ticket = Ticket(id as u64);
        self.router
            .progressed(now, ServerKey(engine as u32), ticket, 1);
    }
    fn done(&mut self, now: Instant, engine: usize, id: usize) {
        let ticket = Ticket(id as u64);
        self.router
            .finished(now, ServerKey(engine as u32), ticket, Outcome::Done);
    }
    fn report(&mut self, now: Instant, engine: usize, report: Report) {
        self.router
            .record_load(now, ServerKey(engine as u32), report);
    }
    fn cached(&mut self, now: Instant, engine: usize, sequence: u64, event: CacheEvent) {
        self.router
            .record_cache_event(now, ServerKey(engine as u32), sequence, event);
    }
    fn tick(&mut self, now: Instant) -> Vec<Change> {
        self.router.tick(now)
    }
}

/// Names of the policies, in the order of the output.
pub const NAMES: [&str; 4] = ["random", "round robin", "least in flight", "fescuewell"];

/// Creates the policy `name` for one instance.
pub fn create(
    name: &str,
    index: usize,
    seed: u64,
    engines: usize,
    routers: usize,
) -> Box<dyn Policy> {
    let seed = seed * 1_000 + index as u64;
    let rng = SmallRng::seed_from_u64(seed);
    match name {
        "random" => Box::new(Random { rng, engines }),
        "round robin" => Box::new(RoundRobin {
            next: index * 5 % engines,
            engines,
        }),
        "least in flight" => Box::new(LeastInFlight {
            rng,
            counts: vec![0; engines],
        }),
        _ => Box::new(Fescuewell::new(seed, engines, routers, crate::settings())),
    }
}
