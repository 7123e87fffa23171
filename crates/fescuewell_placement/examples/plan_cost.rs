//! Benchmark of a planner's takeover and tick with 12,000 engines and 40 models.
//!
//! `cargo run --release -p fescuewell_placement --example plan_cost`

use std::time::Instant as Stopwatch;

use fescuewell_core::prelude::*;
use fescuewell_core::table::{Outcome, Reply, Step};
use fescuewell_document::prelude::*;
use fescuewell_placement::prelude::*;

const SERVERS: usize = 12_000;
const MODELS: usize = 40;
const LISTED: usize = 8;

fn name(model: usize) -> std::sync::Arc<str> {
    format!("model-{}", model % MODELS).into()
}

fn document() -> Document {
    let mut document = Document::default();
    for index in 0..SERVERS {
        document.servers.push(Server {
            name: format!("engine-{index}").into(),
            role: ServerRole::Engine,
            address: "127.0.0.1:1".parse().expect("the address is well formed"),
            zone: "zone-a".into(),
            models: (index..index + LISTED).map(name).collect(),
            concurrency: 32,
            checks_fencing: true,
        });
    }
    for model in 0..MODELS {
        document.models.push(Model {
            name: name(model),
            context_tokens: 8_192,
            default_output: 256,
            base: None,
            min_servers: 300,
        });
    }
    document
}

fn observe_all(planner: &mut Planner, now: Instant) {
    for index in 0..SERVERS {
        let observation = Observation {
            requested_at: now,
            loaded: [name(index)].into(),
            loading: [].into(),
            role: "mixed".into(),
        };
        planner.observe(now, &format!("engine-{index}"), observation);
    }
}

fn main() {
    let mut planner = Planner::new(Settings::default());
    planner.set_document(&document());
    let start = Instant::from_millis(0);
    let epoch = Epoch(1);
    planner.set_leadership(start, Some(Leadership { epoch }));
    let watch = Stopwatch::now();
    let mut steps = 0;
    while let Some(step) = planner.next_step(start) {
        let reply = match step {
            Step::Commit(_) => Reply::Outcome(Outcome::Committed { revision: 1 }),
            Step::Scan(_) | Step::Read { .. } => Reply::Rows(Vec::new()),
        };
        planner.reply(start, reply);
        steps += 1;
    }
    println!(
        "take-over: {steps} table steps, {} ms",
        watch.elapsed().as_millis()
    );
    observe_all(&mut planner, start);
    let watch = Stopwatch::now();
    planner.tick(Instant::from_millis(1_000));
    println!(
        "tick with nothing to do: {} ms",
        watch.elapsed().as_millis()
    );
    for model in 0..MODELS {
        planner.set_demand(&name(model), 1_000_000);
    }
    planner.tick(Instant::from_millis(2_000));
    observe_all(&mut planner, Instant::from_millis(13_000));
    let watch = Stopwatch::now();
    planner.tick(Instant::from_millis(13_000));
    println!(
        "tick with {MODELS} models in need: {} ms",
        watch.elapsed().as_millis()
    );
}
