//! Fixtures of the placement tests: a table, servers and a network with delays, in virtual time.
#![allow(dead_code, unused_imports)]

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

pub use fescuewell_core::prelude::*;
use fescuewell_core::table::{Error, Outcome, Reply, Row, Step, Transaction, Write};
pub use fescuewell_document::prelude::*;
pub use fescuewell_placement::prelude::*;

/// Milliseconds per simulation step.
pub const TICK: u64 = 500;
pub const MODELS: [&str; 3] = ["a", "b", "c"];
const LOAD_MS: u64 = 3_000;
const CAPACITY: usize = 3;

pub fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

pub fn settings() -> Settings {
    Settings {
        models_per_server: CAPACITY as u32,
        stagger_ms: 1_000,
        ..Settings::default()
    }
}

pub fn server(
    index: usize,
    checks_fencing: bool,
    models: &[&str],
) -> fescuewell_document::prelude::Server {
    fescuewell_document::prelude::Server {
        name: format!("engine-{index}").into(),
        role: ServerRole::Engine,
        address: "127.0.0.1:1".parse().unwrap(),
        zone: "zone-a".into(),
        models: models.iter().map(|&model| model.into()).collect(),
        concurrency: 8,
        checks_fencing,
    }
}

pub fn model(name: &str, least_servers: u32) -> Model {
    Model {
        name: name.into(),
        context_tokens: 8_192,
        default_output: 256,
        base: None,
        min_servers: least_servers,
    }
}

/// A document with three models that need two servers each; `listed` is by server and model. The
/// first two servers list all models, so that the document can be satisfied.
pub fn document(checks: &[bool], listed: &[[bool; 3]]) -> Document {
    let mut servers = Vec::new();
    for (index, &checks) in checks.iter().enumerate() {
        let here = |number: &usize| index < 2 || listed[index][*number];
        let models: Vec<&str> = (0..3).filter(here).map(|number| MODELS[number]).collect();
        servers.push(server(index, checks, &models));
    }
    Document {
        models: MODELS.iter().map(|name| model(name, 2)).collect(),
        servers,
        ..Document::default()
    }
}

pub fn planner(document: &Document, epoch: u64) -> Planner {
    let mut planner = Planner::new(settings());
    planner.set_document(document);
    planner.set_leadership(
        at(0),
        Some(Leadership {
            epoch: Epoch(epoch),
        }),
    );
    planner
}

#[derive(Debug, Clone, Default)]
pub struct Engine {
    pub checks: bool,
    pub fence: u64,
    pub loaded: BTreeSet<Arc<str>>,
    pub loading: BTreeMap<Arc<str>, u64>,
}

#[derive(Default)]
pub struct World {
    pub engines: BTreeMap<Arc<str>, Engine>,
    pub log: Vec<String>,
    pub lost_replies: Vec<bool>,
    /// Started loads as (time, server).
    pub loads: Vec<(u64, Arc<str>)>,
    pub unloads: u32,
    /// Number of orders issued by all planners.
    pub sent: u64,
    rows: BTreeMap<Arc<str>, (Arc<[u8]>, u64)>,
    revision: u64,
    network: Vec<(u64, Order)>,
    commits: usize,
}

impl World {
    pub fn new(document: &Document, loaded: &[[bool; 3]]) -> Self {
        let mut world = Self::default();
        for (index, server) in document.servers.iter().enumerate() {
            let has = |number: &usize| loaded[index][*number];
            let loaded = (0..3).filter(has).map(|number| MODELS[number].into());
            let engine = Engine {
                checks: server.checks_fencing,
                loaded: loaded.collect(),
                ..Engine::default()
            };
            world.engines.insert(server.name.clone(), engine);
        }
        world
    }

    pub fn serving(&self, model: &str) -> usize {
        let has = |engine: &&Engine| engine.loaded.contains(model);
        self.engines.values().filter(has).count()
    }

    /// The models that have enough servers now, with their minimum number.
    pub fn satisfied_models(&self) -> Vec<(&'static str, usize)> {
        let satisfied = MODELS.iter().filter(|model| self.serving(model) >= 2);
        satisfied.map(|model| (*model, 2)).collect()
    }

    /// Runs one step of a planner: observed states, table steps, orders.
    pub fn drive(&mut self, now: u64, planner: &mut Planner, delays: &[u64]) {
        for name in self.engines.keys().cloned().collect::<Vec<_>>() {
            let observation = self.observation(now, &name);
            planner.observe(at(now), &name, observation);
        }
        let notices = planner.tick(at(now));
        self.log
            .extend(notices.iter().map(|notice| format!("{now} {notice:?}")));
        while let Some(step) = planner.next_step(at(now)) {
            let reply = self.run_step(&step);
            planner.reply(at(now), reply);
        }
        let mut sent = 0;
        while let Some(order) = planner.next_order(at(now)) {
            self.log.push(format!("{now} send {order}"));
            let delay = delays[sent % delays.len()];
            sent += 1;
            self.sent += 1;
            if delay > 0 {
                self.network.push((now + delay, order));
                continue;
            }
            let response = self.execute(now, &order);
            planner.handle_response(at(now), &order, response);
        }
    }

    /// Runs a last step of a planner before a pause; its orders are delivered after `delays`.
    pub fn drive_before_pause(&mut self, now: u64, planner: &mut Planner, delays: &[u64]) {
        let later: Vec<u64> = delays.iter().map(|delay| delay + 1).collect();
        self.drive(now, planner, &later);
    }

    /// Delivers delayed orders and finishes loads.
    pub fn deliver(&mut self, now: u64) {
        let network = std::mem::take(&mut self.network);
        for (due, order) in network {
            if due > now {
                self.network.push((due, order));
                continue;
            }
            self.log.push(format!("{now} late {order}"));
            self.execute(now, &order);
        }
        for engine in self.engines.values_mut() {
            let done = |(model, due): (&Arc<str>, &u64)| (*due <= now).then(|| model.clone());
            let done: Vec<Arc<str>> = engine.loading.iter().filter_map(done).collect();
            for model in done {
                engine.loading.remove(&model);
                engine.loaded.insert(model);
            }
        }
    }

    pub fn observation(&self, now: u64, name: &str) -> Observation {
        let engine = &self.engines[name];
        Observation {
            requested_at: at(now),
            loaded: engine.loaded.clone(),
            loading: engine.loading.keys().cloned().collect(),
            role: "mixed".into(),
        }
    }

    fn execute(&mut self, now: u64, order: &Order) -> Response {
        let Some(engine) = self.engines.get_mut(&order.server) else {
            return Response::Unknown;
        };
        if engine.checks && order.epoch.0 < engine.fence {
            self.log.push(format!("{now} refused {order}"));
            return Response::Stale;
        }
        engine.fence = engine.fence.max(order.epoch.0);
        match &order.action {
            Action::Load { model } => {
                if engine.loaded.len() + engine.loading.len() >= CAPACITY {
                    return Response::Refused;
                }
                engine.loading.insert(model.clone(), now + LOAD_MS);
                self.loads.push((now, order.server.clone()));
            }
            Action::Unload { model } => {
                engine.loaded.remove(model);
                engine.loading.remove(model);
                self.unloads += 1;
            }
            Action::Role { .. } => {}
        }
        Response::Accepted
    }

    fn run_step(&mut self, step: &Step) -> Reply {
        match step {
            Step::Scan(range) => {
                let rows = self
                    .rows
                    .iter()
                    .filter(|(key, _)| key.starts_with(&*range.prefix));
                Reply::Rows(
                    rows.map(|(key, (value, revision))| row(key, value, *revision))
                        .collect(),
                )
            }
            Step::Read { .. } => unreachable!("the planner scans"),
            Step::Commit(transaction) => self.commit(transaction),
        }
    }

    fn commit(&mut self, transaction: &Transaction) -> Reply {
        for compare in &transaction.compares {
            let revision = self.rows.get(&compare.key).map_or(0, |row| row.1);
            if revision != compare.revision {
                return Reply::Outcome(Outcome::Conflict { rows: Vec::new() });
            }
        }
        self.revision += 1;
        for write in &transaction.writes {
            let Write::Put { key, value } = write else {
                continue;
            };
            self.rows
                .insert(key.clone(), (value.clone(), self.revision));
        }
        self.commits += 1;
        if self
            .lost_replies
            .get(self.commits)
            .copied()
            .unwrap_or(false)
        {
            return Reply::Failed(Error::Unknown {
                reason: "the reply was lost".into(),
            });
        }
        let revision = self.revision;
        Reply::Outcome(Outcome::Committed { revision })
    }

    /// Asserts that every model has enough servers, and that no server has a model that the
    /// document does not list for it.
    pub fn assert_matches(&self, document: &Document) {
        for model in &document.models {
            let serving = self.serving(&model.name);
            assert!(
                serving >= model.min_servers as usize,
                "{}: {:#?}",
                model.name,
                self.log
            );
        }
        for server in &document.servers {
            for model in &self.engines[&server.name].loaded {
                let name = &server.name;
                assert!(
                    server.models.contains(model),
                    "{name} has {model}: {:#?}",
                    self.log
                );
            }
        }
    }
}

fn row(key: &Arc<str>, value: &Arc<[u8]>, revision: u64) -> Row {
    Row {
        key: key.clone(),
        value: value.clone(),
        revision,
    }
}
