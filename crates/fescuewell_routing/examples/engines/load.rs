//! Seeded request generator: accounts of different size, prompts that share templates, callers that
//! reconnect to other instances.

use fescuewell_core::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::engine::BLOCK;

/// Properties of the prompts of a run.
#[derive(Clone, Copy)]
pub struct Workload {
    pub name: &'static str,
    /// Prompt templates of each account.
    pub templates: u32,
    /// Tokens per template.
    pub shared: u32,
    /// Mean tokens after the template.
    pub own: u32,
    /// Mean tokens of a response.
    pub output: u32,
}

pub const WORKLOADS: [Workload; 3] = [
    Workload {
        name: "long templates",
        templates: 40,
        shared: 1_536,
        own: 256,
        output: 96,
    },
    Workload {
        name: "short templates",
        templates: 80,
        shared: 512,
        own: 256,
        output: 96,
    },
    Workload {
        name: "one template per account",
        templates: 1,
        shared: 1_536,
        own: 512,
        output: 96,
    },
];

/// Share of the requests by account: ten accounts, a few of them large, as at Handsign.
const SHARES: [f64; 10] = [0.3, 0.2, 0.15, 0.1, 0.07, 0.06, 0.04, 0.04, 0.02, 0.02];
/// Number of callers per share of 0.1.
const CALLERS_PER_TENTH: f64 = 2.0;
/// Time for which a caller stays with one instance.
const CONNECTION_US: u64 = 30_000_000;

pub struct Request {
    pub at: u64,
    pub router: usize,
    pub prefix: Vec<Digest>,
    pub prompt: u32,
    pub output: u32,
}

pub struct Generator {
    rng: SmallRng,
    workload: Workload,
    routers: usize,
    seed: u64,
    created: u64,
}

impl Generator {
    pub fn new(seed: u64, workload: Workload, routers: usize) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            workload,
            routers,
            seed,
            created: 0,
        }
    }

    /// Creates a request that arrives at `at`.
    pub fn request(&mut self, at: u64) -> Request {
        let account = self.account();
        let callers = (SHARES[account] * 10.0 * CALLERS_PER_TENTH).ceil() as u64;
        let caller = self.rng.random_range(0..callers);
        // Squaring makes a few templates popular, as in real traffic.
        let draw: f64 = self.rng.random();
        let template = (draw * draw * f64::from(self.workload.templates)) as u32;
        let own = self.between(self.workload.own);
        let prompt = self.workload.shared + own;
        self.created += 1;
        Request {
            at,
            router: self.instance(account as u64, caller, at),
            prefix: self.blocks(account, template, prompt),
            prompt,
            output: self.between(self.workload.output),
        }
    }

    fn between(&mut self, mean: u32) -> u32 {
        self.rng.random_range(mean / 4..=mean * 7 / 4)
    }

    fn account(&mut self) -> usize {
        let mut draw: f64 = self.rng.random();
        for (account, share) in SHARES.iter().enumerate() {
            draw -= share;
            if draw < 0.0 {
                return account;
            }
        }
        SHARES.len() - 1
    }

    fn instance(&self, account: u64, caller: u64, at: u64) -> usize {
        let connection = format!("{}/{account}/{caller}/{}", self.seed, at / CONNECTION_US);
        (Digest::of(connection.as_bytes()).0 % self.routers as u128) as usize
    }

    fn blocks(&self, account: usize, template: u32, prompt: u32) -> Vec<Digest> {
        let shared = self.workload.shared / BLOCK;
        let digest = |block: u32| {
            let text = if block < shared {
                format!("{account}/{template}/{block}")
            } else {
                format!("{account}/{template}/{block}/{}", self.created)
            };
            Digest::of(text.as_bytes())
        };
        (0..prompt / BLOCK).map(digest).collect()
    }

    /// Time to the next arrival at `rate` requests per second.
    pub fn gap(&mut self, rate: f64) -> u64 {
        let draw: f64 = self.rng.random_range(1e-9..1.0);
        (-draw.ln() / rate * 1e6) as u64
    }
}
