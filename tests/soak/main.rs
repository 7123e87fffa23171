//! A randomized soak test of the forwarding path. It runs instances as processes, injects faults from outside, and checks the
//! guarantees against what callers and backend servers observe.
//!
//! ```sh
//! cargo test --test soak                                    # the regression seeds and seeds 1 and 2
//! SOAK_SEED=100 SOAK_SEEDS=50 cargo test --release --test soak    # fifty seeds from 100 on
//! ```

mod caller;
mod conditions;
mod document;
mod fault;
#[path = "../forward/fixture.rs"]
#[allow(dead_code, reason = "the soak uses a part of the fixture")]
mod fixture;
mod instance;
mod lists;
mod lost;
mod parts;
mod poison;
#[path = "../scenario/proxy.rs"]
#[allow(dead_code, reason = "the soak uses a part of the proxy")]
mod proxy;
#[path = "../forward/server_proxy.rs"]
#[allow(dead_code, reason = "the soak uses a part of the fixture")]
mod server_proxy;
mod streams;
mod verdict;
#[path = "../forward/wire.rs"]
#[allow(dead_code, reason = "the soak uses a part of the constants")]
mod wire;
mod world;

use world::World;

/// Seeds that failed before, each with its cause.
const REGRESSIONS: &str = include_str!("regressions.txt");
/// Number of seeds, from 1, that run by default in addition to the regressions.
const DEFAULT_SEEDS: u64 = 2;

fn seeds() -> Vec<u64> {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse().ok());
    if let Some(first) = number("SOAK_SEED") {
        return (first..first + number("SOAK_SEEDS").unwrap_or(1)).collect();
    }
    let known = REGRESSIONS.lines().filter(|line| !line.starts_with('#'));
    let known = known.filter_map(|line| line.split_whitespace().next()?.parse().ok());
    known.chain(1..=DEFAULT_SEEDS).collect()
}

/// Guards against violated guarantees under a random sequence of faults drawn from the seed. Add the seed of a failure to
/// `regressions.txt`, with a line on the cause.
#[test]
fn promises_hold_under_drawn_faults() {
    for seed in seeds() {
        let mut world = World::start(seed);
        world.inject_faults();
        let violations = world.finish();
        assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
    }
}
