//! A randomized soak of the forwarding path: real processes of the program, faults from outside, promises checked by what
//! callers and backend servers see.
//!
//! ```sh
//! cargo test --test soak                                    # the regression seeds and two more
//! SOAK_SEED=100 SOAK_SEEDS=50 cargo test --release --test soak    # fifty seeds from 100 on
//! ```

mod caller;
mod fault;
#[path = "../forward/fixture.rs"]
#[allow(dead_code, reason = "the soak uses a part of the fixture")]
mod fixture;
mod instance;
mod poison;
#[path = "../scenario/proxy.rs"]
#[allow(dead_code, reason = "the soak uses a part of the proxy")]
mod proxy;
mod verdict;
#[path = "../forward/wire.rs"]
#[allow(dead_code, reason = "the soak uses a part of the names")]
mod wire;
mod world;

use world::World;

/// Seeds that ever failed, with the cause of each; see `regressions.txt`.
const REGRESSIONS: &str = include_str!("regressions.txt");
/// Seeds of a run in CI beside those.
const SEEDS: u64 = 2;

fn seeds() -> Vec<u64> {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse().ok());
    if let Some(first) = number("SOAK_SEED") {
        return (first..first + number("SOAK_SEEDS").unwrap_or(1)).collect();
    }
    let known = REGRESSIONS.lines().filter(|line| !line.starts_with('#'));
    let known = known.filter_map(|line| line.split_whitespace().next()?.parse().ok());
    known.chain(1..=SEEDS).collect()
}

/// Symptom looked for: any broken promise. Sequence: drawn from the seed. Each failure names its seed, which goes into
/// `regressions.txt` with a line on the cause.
#[test]
fn promises_hold_under_drawn_faults() {
    for seed in seeds() {
        let mut world = World::start(seed);
        world.play();
        let broken = world.finish();
        assert!(broken.is_empty(), "seed {seed}: {broken:#?}");
    }
}
