//! A randomized soak test of the forwarding path. It runs instances as processes, injects faults from outside, and checks the
//! guarantees against what callers and backend servers observe.
//!
//! ```sh
//! cargo test --test soak                                    # the regression seeds and seeds 1 and 2
//! SOAK_SEED=100 SOAK_SEEDS=50 cargo test --release --test soak    # fifty seeds from 100 on
//! SOAK_INSTANCES=12 SOAK_JOBS=4 SOAK_SEED=100 cargo test --release --test soak    # more processes
//! ```

mod caller;
mod conditions;
mod crowd;
mod document;
mod fault;
#[path = "../forward/fixture.rs"]
#[allow(dead_code, reason = "the soak uses a part of the fixture")]
mod fixture;
mod instance;
mod lists;
mod lost;
#[path = "../crowd/meter.rs"]
#[allow(dead_code, reason = "the soak uses a part of the meter")]
mod meter;
mod parts;
mod poison;
#[path = "../scenario/proxy.rs"]
#[allow(dead_code, reason = "the soak uses a part of the proxy")]
mod proxy;
#[path = "../forward/server_proxy.rs"]
#[allow(dead_code, reason = "the soak uses a part of the fixture")]
mod server_proxy;
mod stops;
mod streams;
mod verdict;
#[path = "../crowd/way.rs"]
#[allow(dead_code, reason = "the soak uses a part of the crowds")]
mod way;
#[path = "../forward/wire.rs"]
#[allow(dead_code, reason = "the soak uses a part of the constants")]
mod wire;
mod world;

use std::sync::{Mutex, PoisonError};

use world::World;

/// Seeds that failed before, each with its cause.
const REGRESSIONS: &str = include_str!("regressions.txt");
/// Number of seeds, from 1, that run by default in addition to the regressions.
const DEFAULT_SEEDS: u64 = 2;

/// Seeds that are played at a time, unless `SOAK_JOBS` says otherwise.
const DEFAULT_JOBS: u64 = 3;

/// Held by the test that plays.
static ALONE: Mutex<()> = Mutex::new(());

fn number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

fn seeds() -> Vec<u64> {
    if let Some(first) = number("SOAK_SEED") {
        return (first..first + number("SOAK_SEEDS").unwrap_or(1)).collect();
    }
    let known = REGRESSIONS.lines().filter(|line| !line.starts_with('#'));
    let known = known.filter_map(|line| line.split_whitespace().next()?.parse().ok());
    known.chain(1..=DEFAULT_SEEDS).collect()
}

/// Plays all seeds, some at a time, and describes the violations of each.
fn play<Finish>(finish: Finish) -> Vec<String>
where
    Finish: Fn(World) -> Vec<String> + Sync,
{
    // The tests use the same names of files.
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    let seeds = Mutex::new(seeds().into_iter());
    let failures = Mutex::new(Vec::new());
    let jobs = number("SOAK_JOBS").unwrap_or(DEFAULT_JOBS);
    std::thread::scope(|scope| {
        for _ in 0..jobs {
            scope.spawn(|| {
                loop {
                    let Some(seed) = seeds.lock().unwrap().next() else {
                        return;
                    };
                    let mut world = World::start(seed);
                    world.inject_faults();
                    let violations = finish(world);
                    if !violations.is_empty() {
                        let failure = format!("seed {seed}: {violations:#?}");
                        failures.lock().unwrap().push(failure);
                    }
                }
            });
        }
    });
    failures.into_inner().unwrap()
}

/// Guards against violated guarantees under a random sequence of faults drawn from the seed. Add the seed of a failure to
/// `regressions.txt`, with a line on the cause.
#[test]
fn promises_hold_under_drawn_faults() {
    let failures = play(World::finish);
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

/// Guards against a poison request that crashes one server after the other after the same faults.
#[test]
fn poison_is_quarantined_after_drawn_faults() {
    let failures = play(World::finish_with_quarantine);
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}
