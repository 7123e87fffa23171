//! A model of a fleet whose streams ask for another server once theirs is silent.

use std::sync::Arc;

use fescuewell_forward::hedge::{Activity, Monitor};
use fescuewell_forward::retry::{Bounds, Budget};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

pub const RATIO: f64 = 0.2;
pub const SLACK: f64 = 52.0;
const WINDOW_MS: u64 = 10_000;
const SERVICE: &str = "pool";
/// Resolution of the model.
const STEP_MS: u64 = 100;
/// Silence after which a stream asks for another server, and time until it asks again.
const GAP_MS: u64 = 600;
/// Time within which another server must have been heard to be asked.
const VOICE_WINDOW_MS: u64 = GAP_MS / 2;
/// Time between two silences, during which streams run.
const REST_MS: u64 = 4_000;
/// Streams in flight at each instance.
const STREAMS: usize = 576;
/// Servers that an instance chooses among.
pub const SUBSET: usize = 128;
const ZONES: usize = 4;

/// Size of a fleet.
#[derive(Debug, Clone, Copy)]
pub struct Scale {
    pub instances: usize,
    pub requests_per_second: u64,
    pub servers: usize,
}

/// Servers that are silent.
#[derive(Debug, Clone, Copy)]
pub enum Silent {
    Zone,
    Share60,
    All,
}

/// Which other server a stream may ask.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rule {
    /// Any that is not silent, or any at all; a bound of what an instance may do that does not know.
    Any,
    /// One of those that may answer by what the instance has heard.
    Heard,
}

/// A silence of some servers.
#[derive(Debug, Clone, Copy)]
pub struct Outage {
    pub silent: Silent,
    pub silence_ms: u64,
}

/// Retries that a silence brought to servers.
#[derive(Debug)]
pub struct Extra {
    pub total: u64,
    /// Those that went to servers that were silent.
    pub silent: u64,
    /// Most of one server.
    pub most: u64,
    /// Most that the fleet sent within one step.
    pub at_once: u64,
}

/// Requests and retries of the fleet within a window of the budget.
#[derive(Debug, Clone, Copy, Default)]
pub struct Window {
    pub requests: u64,
    pub retries: u64,
}

struct Stream {
    server: usize,
    asks_at_ms: u64,
}

struct Instance {
    budget: Budget,
    monitor: Monitor,
    heard: Vec<Arc<Activity>>,
    subset: Vec<usize>,
    streams: Vec<usize>,
}

pub struct Fleet {
    scale: Scale,
    rule: Rule,
    servers: Vec<Arc<str>>,
    service: Arc<str>,
    instances: Vec<Instance>,
    steps: Vec<Window>,
    random: SmallRng,
    next_instance: usize,
}

impl Scale {
    pub fn in_flight_per_server(&self) -> u64 {
        (self.instances * STREAMS / self.servers) as u64
    }

    /// Retries that the fleet may send within a window.
    pub fn retries_per_window(&self) -> u64 {
        let requests = self.requests_per_second * WINDOW_MS / 1_000;
        (RATIO * requests as f64 + SLACK) as u64
    }
}

impl Silent {
    fn has(self, server: usize) -> bool {
        match self {
            Self::Zone => server.is_multiple_of(ZONES),
            // Spread over all zones.
            Self::Share60 => server / ZONES % 5 < 3,
            Self::All => true,
        }
    }
}

impl Fleet {
    /// Creates a fleet that has been serving requests for longer than the window.
    pub fn new(scale: Scale, rule: Rule) -> Self {
        let mut random = SmallRng::seed_from_u64(7);
        let name = |number: usize| format!("i-{number:08}").into();
        let servers: Vec<Arc<str>> = (0..scale.servers).map(name).collect();
        let service: Arc<str> = SERVICE.into();
        let instances = (0..scale.instances)
            .map(|_| Instance::new(&service, &servers, &mut random))
            .collect();
        let mut fleet = Self {
            scale,
            rule,
            servers,
            service,
            instances,
            steps: Vec::new(),
            random,
            next_instance: 0,
        };
        fleet.serve_until(WINDOW_MS + REST_MS);
        fleet
    }

    /// Makes some servers silent for a while and lets the streams go on for a moment afterwards.
    pub fn play(&mut self, outage: Outage) -> Extra {
        let began = self.now_ms();
        let ends = began + outage.silence_ms;
        let mut stalled = self.stalled(outage.silent, began);
        let mut extra = vec![0; self.scale.servers];
        let mut at_once = 0;
        while self.now_ms() < ends {
            self.hear(outage.silent);
            self.serve(Some(outage.silent), &mut stalled);
            let before = self.retries();
            for (index, streams) in stalled.iter_mut().enumerate() {
                self.ask(index, streams, outage.silent, &mut extra);
            }
            at_once = at_once.max(self.retries() - before);
        }
        self.serve_until(ends + REST_MS);
        let silent = extra.iter().enumerate();
        let silent = silent.filter(|(server, _)| outage.silent.has(*server));
        Extra {
            silent: silent.map(|(_, count)| count).sum(),
            total: extra.iter().sum(),
            most: extra.iter().copied().max().unwrap_or_default(),
            at_once,
        }
    }

    /// Returns the most servers that any instance has an entry for.
    pub fn entries(&self) -> usize {
        let entries = self.instances.iter().map(|instance| instance.monitor.len());
        entries.max().unwrap_or_default()
    }

    /// Returns the counts of every window of the budget.
    pub fn windows(&self) -> Vec<Window> {
        let width = (WINDOW_MS / STEP_MS) as usize;
        let windows = self.steps.windows(width);
        windows.map(sum).collect()
    }

    pub fn retries(&self) -> u64 {
        sum(&self.steps).retries
    }

    fn now_ms(&self) -> u64 {
        self.steps.len() as u64 * STEP_MS
    }

    fn serve_until(&mut self, end_ms: u64) {
        let mut stalled = Vec::new();
        while self.now_ms() < end_ms {
            self.serve(None, &mut stalled);
        }
    }

    /// Begins the requests of one step; those at silent servers are added to the stalled streams.
    fn serve(&mut self, silent: Option<Silent>, stalled: &mut [Vec<Stream>]) {
        let now_ms = self.now_ms();
        let begun = |at_ms: u64| at_ms * self.scale.requests_per_second / 1_000;
        let requests = begun(now_ms + STEP_MS) - begun(now_ms);
        for _ in 0..requests {
            let index = self.next_instance;
            self.next_instance = (index + 1) % self.instances.len();
            let instance = &mut self.instances[index];
            instance.budget.request(&self.service, now_ms);
            let Some(silent) = silent else {
                continue;
            };
            let server = instance.subset[self.random.random_range(0..instance.subset.len())];
            if silent.has(server) {
                let asks_at_ms = now_ms + GAP_MS;
                stalled[index].push(Stream { server, asks_at_ms });
            }
        }
        self.steps.push(Window {
            requests,
            retries: 0,
        });
    }

    /// Records that the servers that are not silent have sent something.
    fn hear(&self, silent: Silent) {
        let now_ms = self.now_ms();
        for instance in &self.instances {
            for (server, activity) in instance.subset.iter().zip(&instance.heard) {
                if !silent.has(*server) {
                    activity.record(now_ms);
                }
            }
        }
    }

    fn stalled(&self, silent: Silent, now_ms: u64) -> Vec<Vec<Stream>> {
        let mut stalled = Vec::new();
        for instance in &self.instances {
            let servers = instance.streams.iter().copied();
            let streams = servers.filter(|server| silent.has(*server));
            let streams = streams.map(|server| Stream {
                server,
                asks_at_ms: now_ms + GAP_MS,
            });
            stalled.push(streams.collect());
        }
        stalled
    }

    /// Lets the streams that have been silent for long enough ask for another server.
    fn ask(&mut self, index: usize, streams: &mut Vec<Stream>, silent: Silent, extra: &mut [u64]) {
        let now_ms = self.now_ms();
        let (service, instances) = (self.service.clone(), self.instances.len());
        let instance = &mut self.instances[index];
        let random = &mut self.random;
        let step = self.steps.last_mut().expect("a step has begun");
        let others = match self.rule {
            Rule::Any => instance.not_silent(silent),
            Rule::Heard => instance.may_answer(&service, &self.servers, now_ms),
        };
        // A budget that has none left for one stream has none for the others of the same step.
        let mut is_spent = others.is_empty();
        streams.retain_mut(|stream| {
            if stream.asks_at_ms > now_ms {
                return true;
            }
            is_spent = is_spent || !instance.budget.try_retry(&service, instances, now_ms);
            if is_spent {
                stream.asks_at_ms = now_ms + GAP_MS;
                return true;
            }
            step.retries += 1;
            let mut server = others[random.random_range(0..others.len())];
            while server == stream.server {
                server = others[random.random_range(0..others.len())];
            }
            extra[server] += 1;
            false
        });
    }
}

impl Instance {
    fn new(service: &Arc<str>, servers: &[Arc<str>], random: &mut SmallRng) -> Self {
        let bounds = Bounds {
            ratio: RATIO,
            slack: SLACK,
            window_ms: WINDOW_MS,
        };
        let amount = SUBSET.min(servers.len());
        let subset = rand::seq::index::sample(random, servers.len(), amount).into_vec();
        let streams = (0..STREAMS).map(|number| subset[number % subset.len()]);
        let streams: Vec<usize> = streams.collect();
        let mut monitor = Monitor::default();
        let begun = streams
            .iter()
            .map(|server| monitor.begin(service, &servers[*server], 0));
        let heard = begun.take(amount).collect();
        for server in streams.iter().skip(amount) {
            monitor.begin(service, &servers[*server], 0);
        }
        Self {
            budget: Budget::new(bounds),
            monitor,
            heard,
            streams,
            subset,
        }
    }

    fn not_silent(&self, silent: Silent) -> Vec<usize> {
        let servers = self.subset.iter().copied();
        let others: Vec<usize> = servers.filter(|server| !silent.has(*server)).collect();
        match others.is_empty() {
            true => self.subset.clone(),
            false => others,
        }
    }

    fn may_answer(&self, service: &str, servers: &[Arc<str>], now_ms: u64) -> Vec<usize> {
        let may_answer = self.monitor.candidates(service, VOICE_WINDOW_MS, now_ms);
        let subset = self.subset.iter().copied();
        subset
            .filter(|server| may_answer(&servers[*server]))
            .collect()
    }
}

fn sum(steps: &[Window]) -> Window {
    let mut total = Window::default();
    for step in steps {
        total.requests += step.requests;
        total.retries += step.retries;
    }
    total
}
