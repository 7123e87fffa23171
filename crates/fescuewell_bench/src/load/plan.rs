//! The load's file, and the arrivals drawn from it.
//!
//! ```
//! use fescuewell_bench::load::plan::Plan;
//! let text = r#"{
//!     "seed": 1, "seconds": 5, // comments are allowed
//!     "traffic": [{"name": "cards", "group": "teinte", "target": "chat", "per_second": 2.0}]
//! }"#;
//! let plan = Plan::read(text, "example.json").unwrap();
//! assert_eq!(plan.arrivals(), plan.arrivals());
//! ```

use std::collections::BTreeMap;

use fescuewell_core::tokens::Tokens;
use fescuewell_document::settings;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};

use super::{ACCOUNTS, Error};

/// Most requests of one run; what is kept of each is about 200 bytes.
const MOST_REQUESTS: f64 = 200_000.0;
/// Most streams that the callers may hold open at once.
const MOST_OPEN: usize = 4_000;
/// Longest run.
const MOST_SECONDS: u64 = 3_600;
/// Largest prompt, in tokens.
const MOST_PROMPT: usize = 16_000;

/// A load.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Seed of the arrivals.
    pub seed: u64,
    /// Length of the load in seconds.
    pub seconds: u64,
    /// Entry instances.
    #[serde(default = "three")]
    pub routers: usize,
    /// Model engines.
    #[serde(default = "three")]
    pub engines: usize,
    /// Pace of the engines.
    #[serde(default)]
    pub engine: Pace,
    /// Prepaid tokens of groups, where they differ from the demo's.
    #[serde(default)]
    pub prepaid: BTreeMap<String, Tokens>,
    /// Exponent of the callers' skew: router `k` gets a part in proportion to `1 / k^skew`.
    #[serde(default)]
    pub skew: f64,
    /// Requests that callers hold open at once; what would exceed it is left out and counted.
    #[serde(default = "most_open")]
    pub most_open: usize,
    /// Pairs of probes a second: one to an engine directly, one through a router.
    #[serde(default)]
    pub probes_per_second: f64,
    /// Streams of requests.
    pub traffic: Vec<Traffic>,
    /// Times at which more arrives.
    #[serde(default)]
    pub surges: Vec<Surge>,
    /// Faults.
    #[serde(default)]
    pub faults: Vec<Fault>,
}

/// Pace of an engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Pace {
    /// Time of a step without streams.
    pub base_step_us: u64,
    /// What each stream adds to a step.
    pub step_per_stream_us: u64,
    /// What each uncached prompt token adds to a step.
    pub prefill_per_token_us: u64,
    /// Most streams in the batch.
    pub max_batch: usize,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            base_step_us: 20_000,
            step_per_stream_us: 200,
            prefill_per_token_us: 50,
            max_batch: 64,
        }
    }
}

/// What a request asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ask {
    /// A streamed chat.
    Chat,
    /// A call that may be repeated.
    Status,
    /// A call that may not be repeated.
    Confirm,
}

/// Requests of one sort, arriving independently of each other.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Traffic {
    /// Name in the report.
    pub name: String,
    /// Group that pays.
    pub group: String,
    /// What is asked for.
    pub target: Ask,
    /// Kind of request; the account's or the call's own if left out.
    #[serde(default)]
    pub kind: Option<String>,
    /// Arrivals a second, on average.
    pub per_second: f64,
    /// Prompt templates that requests share.
    #[serde(default = "one")]
    pub templates: usize,
    /// Tokens of a template.
    #[serde(default)]
    pub template_tokens: usize,
    /// Tokens of the prompt's own part.
    #[serde(default = "own_tokens")]
    pub own_tokens: usize,
    /// Fewest and most output tokens; drawn for each request, which gets as many.
    #[serde(default = "output")]
    pub output: [u64; 2],
    /// Of 100 answered requests, so many are sent once more to another router under the same id.
    #[serde(default)]
    pub again_percent: u32,
}

/// A time at which more arrives.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Surge {
    /// Begin, in seconds.
    pub at: u64,
    /// Length in seconds.
    pub seconds: u64,
    /// Factor on all arrivals.
    pub factor: f64,
}

/// What fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Failure {
    /// The table answers nothing.
    TableDown,
    /// The first engine gets nowhere.
    EngineFrozen,
    /// The first engine's streams are cut off once, at the begin.
    EngineCut,
    /// The services' next replies are lost, as many as the fault lasts seconds.
    RepliesLost,
}

/// A fault.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// What fails.
    pub what: Failure,
    /// Begin, in seconds.
    pub at: u64,
    /// Length in seconds.
    pub seconds: u64,
}

/// One request to be sent.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// When, in milliseconds from the begin.
    pub at_ms: u64,
    /// Index into [`Plan::traffic`].
    pub traffic: usize,
    /// Index of the router.
    pub router: usize,
    /// Which template the prompt begins with.
    pub template: usize,
    /// Output tokens.
    pub output: u64,
    /// Whether it is sent once more after its answer.
    pub again: bool,
}

fn three() -> usize {
    3
}

fn one() -> usize {
    1
}

fn own_tokens() -> usize {
    20
}

fn output() -> [u64; 2] {
    [20, 120]
}

fn most_open() -> usize {
    1_000
}

impl Plan {
    /// Reads a load's file: JSON with comments.
    ///
    /// # Errors
    ///
    /// The first fault, with file and line where it is known.
    pub fn read(text: &str, file: &str) -> Result<Self, Error> {
        let plan: Self =
            settings::read(text, file).map_err(|error| Error::new("load file", error))?;
        plan.check()?;
        Ok(plan)
    }

    /// Checks all bounds, so that no run outgrows the machine's memory.
    ///
    /// # Errors
    ///
    /// The first field that is out of its bounds.
    pub fn check(&self) -> Result<(), Error> {
        let bad = |what: &str| Err(Error::new("load file", format!("{what} is out of bounds")));
        if !(1..=MOST_SECONDS).contains(&self.seconds) {
            return bad("seconds");
        }
        if !(1..=32).contains(&self.routers) || !(1..=64).contains(&self.engines) {
            return bad("routers or engines");
        }
        if !(1..=MOST_OPEN).contains(&self.most_open) {
            return bad("most_open");
        }
        let rates = self.traffic.iter().map(|traffic| traffic.per_second);
        let rate = rates.sum::<f64>() + self.probes_per_second;
        let peak = self.surges.iter().map(|surge| surge.factor);
        let expected = rate * peak.fold(1.0, f64::max) * self.seconds as f64;
        if !(0.0..=MOST_REQUESTS).contains(&expected) {
            return bad("the number of requests");
        }
        for traffic in &self.traffic {
            let [least, most] = traffic.output;
            let prompt = traffic.template_tokens.saturating_add(traffic.own_tokens);
            if least == 0 || least > most || most > 8_192 || prompt > MOST_PROMPT {
                return bad(&traffic.name);
            }
            let known = ACCOUNTS.iter().any(|own| own.group == traffic.group);
            if !known || traffic.templates == 0 {
                return bad(&traffic.name);
            }
        }
        Ok(())
    }

    /// Draws all arrivals, in the order of time. The same plan gives the same arrivals.
    pub fn arrivals(&self) -> Vec<Arrival> {
        let mut all = Vec::new();
        for (index, traffic) in self.traffic.iter().enumerate() {
            let seed = self.seed.wrapping_mul(1_000).wrapping_add(index as u64);
            let mut random = SmallRng::seed_from_u64(seed);
            let mut at = 0.0;
            loop {
                let rate = traffic.per_second * self.factor(at);
                if rate <= 0.0 {
                    break;
                }
                at += -(1.0 - random.random::<f64>()).ln() / rate;
                if at >= self.seconds as f64 {
                    break;
                }
                all.push(self.arrival(at, index, &mut random));
            }
        }
        all.sort_by_key(|arrival| arrival.at_ms);
        all
    }

    fn arrival(&self, at: f64, index: usize, random: &mut SmallRng) -> Arrival {
        let traffic = &self.traffic[index];
        let [least, most] = traffic.output;
        Arrival {
            at_ms: (at * 1_000.0) as u64,
            traffic: index,
            router: self.router(random),
            template: random.random_range(0..traffic.templates),
            output: random.random_range(least..=most),
            again: random.random_range(0..100) < traffic.again_percent,
        }
    }

    fn router(&self, random: &mut SmallRng) -> usize {
        let part = |router: usize| (router as f64 + 1.0).powf(-self.skew);
        let sum: f64 = (0..self.routers).map(part).sum();
        let mut left = random.random::<f64>() * sum;
        for router in 0..self.routers {
            left -= part(router);
            if left < 0.0 {
                return router;
            }
        }
        self.routers - 1
    }

    fn factor(&self, at: f64) -> f64 {
        for surge in &self.surges {
            let from = surge.at as f64;
            if (from..from + surge.seconds as f64).contains(&at) {
                return surge.factor;
            }
        }
        1.0
    }
}
