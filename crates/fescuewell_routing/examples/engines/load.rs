//! Seeded load: accounts of uneven size, prompts that share templates, callers that move.

use fescuewell_core::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::engine::BLOCK;

/// What the prompts of a run look like.
#[derive(Clone, Copy)]
pub struct Shape {
    pub name: &'static str,
    /// Prompt templates of each account.
    pub templates: u32,
    /// Tokens of a template.
    pub shared: u32,
    /// Mean tokens of what follows the template.
    pub own: u32,
    /// Mean tokens of an answer.
    pub output: u32,
}

pub const SHAPES: [Shape; 3] = [
    Shape {
        name: "long templates",
        templates: 40,
        shared: 1_536,
        own: 256,
        output: 96,
    },
    Shape {
        name: "short templates",
        templates: 80,
        shared: 512,
        own: 256,
        output: 96,
    },
    Shape {
        name: "one template per account",
        templates: 1,
        shared: 1_536,
        own: 512,
        output: 96,
    },
];

/// Accounts, as at Handsign: ten, a few of them large.
const SHARES: [f64; 10] = [0.3, 0.2, 0.15, 0.1, 0.07, 0.06, 0.04, 0.04, 0.02, 0.02];
/// Callers of a share of 0.1.
const CALLERS_PER_TENTH: f64 = 2.0;
/// Time for which a caller keeps an address.
const KEPT_US: u64 = 30_000_000;

pub struct Request {
    pub at: u64,
    pub router: usize,
    pub prefix: Vec<Digest>,
    pub prompt: u32,
    pub output: u32,
}

pub struct Load {
    random: SmallRng,
    shape: Shape,
    routers: usize,
    seed: u64,
    made: u64,
}

impl Load {
    pub fn new(seed: u64, shape: Shape, routers: usize) -> Self {
        Self {
            random: SmallRng::seed_from_u64(seed),
            shape,
            routers,
            seed,
            made: 0,
        }
    }

    /// A request that arrives at `at`.
    pub fn request(&mut self, at: u64) -> Request {
        let account = self.account();
        let callers = (SHARES[account] * 10.0 * CALLERS_PER_TENTH).ceil() as u64;
        let caller = self.random.random_range(0..callers);
        // Squaring makes a few templates popular, as real ones are.
        let draw: f64 = self.random.random();
        let template = (draw * draw * f64::from(self.shape.templates)) as u32;
        let own = self.between(self.shape.own);
        let prompt = self.shape.shared + own;
        self.made += 1;
        Request {
            at,
            router: self.address(account as u64, caller, at),
            prefix: self.blocks(account, template, prompt),
            prompt,
            output: self.between(self.shape.output),
        }
    }

    fn between(&mut self, mean: u32) -> u32 {
        self.random.random_range(mean / 4..=mean * 7 / 4)
    }

    fn account(&mut self) -> usize {
        let mut draw: f64 = self.random.random();
        for (account, share) in SHARES.iter().enumerate() {
            draw -= share;
            if draw < 0.0 {
                return account;
            }
        }
        SHARES.len() - 1
    }

    fn address(&self, account: u64, caller: u64, at: u64) -> usize {
        let place = format!("{}/{account}/{caller}/{}", self.seed, at / KEPT_US);
        (Digest::of(place.as_bytes()).0 % self.routers as u128) as usize
    }

    fn blocks(&self, account: usize, template: u32, prompt: u32) -> Vec<Digest> {
        let shared = self.shape.shared / BLOCK;
        let digest = |block: u32| {
            let text = if block < shared {
                format!("{account}/{template}/{block}")
            } else {
                format!("{account}/{template}/{block}/{}", self.made)
            };
            Digest::of(text.as_bytes())
        };
        (0..prompt / BLOCK).map(digest).collect()
    }

    /// Time to the next arrival at `rate` requests a second.
    pub fn gap(&mut self, rate: f64) -> u64 {
        let draw: f64 = self.random.random_range(1e-9..1.0);
        (-draw.ln() / rate * 1e6) as u64
    }
}
