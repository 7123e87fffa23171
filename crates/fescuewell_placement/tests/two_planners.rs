//! Two planners, of which the older one wakes up late, against servers that check and that ignore fencing.

mod common;

use common::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// What happens to the older holder's last orders.
#[derive(Debug, Clone)]
struct Scene {
    servers: Vec<bool>,
    loaded: Vec<[bool; 3]>,
    pause_at: u64,
    delays: Vec<u64>,
    change_at: u64,
    /// What the document lists: at first, as the older holder last knew it, and the newest.
    listed: [Vec<[bool; 3]>; 3],
    lost_replies: Vec<bool>,
}

fn scene() -> impl Strategy<Value = Scene> {
    (4..8usize).prop_flat_map(|count| {
        let listed = || proptest::collection::vec(any::<[bool; 3]>(), count);
        (
            proptest::collection::vec(any::<bool>(), count),
            listed(),
            20_000..30_000u64,
            proptest::collection::vec(0..200_000u64, 8),
            // Most changes come just before the pause, so that their orders are on their way then.
            prop_oneof![3 => Just(0u64), 1 => 0..15_000u64],
            [listed(), listed(), listed()],
            proptest::collection::vec(proptest::bool::weighted(0.1), 32),
        )
            .prop_map(
                |(servers, loaded, pause_at, delays, before, listed, lost_replies)| Scene {
                    servers,
                    loaded,
                    pause_at,
                    delays,
                    change_at: pause_at - before,
                    listed,
                    lost_replies,
                },
            )
    })
}

fn check(scene: &Scene) {
    let [first, second, newest] = [0, 1, 2].map(|at| document(&scene.servers, &scene.listed[at]));
    let mut world = World::new(&first, &scene.loaded);
    world.lost_replies.clone_from(&scene.lost_replies);
    let mut enough = world.enough();
    let mut old = planner(&first, 1);
    let mut new: Option<Planner> = None;
    for now in (0..400_000).step_by(TICK as usize) {
        if now < scene.pause_at {
            if now >= scene.change_at {
                old.set_document(&second);
            }
            world.drive(now, &mut old, &[0]);
        } else {
            // The older holder sleeps. What it was about to send leaves when it wakes, much later.
            if new.is_none() {
                old.set_document(&second);
                world.take_out(now, &mut old, &scene.delays);
                enough = world.enough();
                new = Some(planner(&newest, 2));
            }
            world.drive(now, new.as_mut().expect("it was made above"), &[0]);
            if now >= 250_000 {
                // It is awake again and goes on as if nothing had happened. Its first write shows it
                // that it was superseded, so no order of its own may leave any more.
                let sent = world.sent;
                world.drive(now, &mut old, &[0]);
                assert_eq!(world.sent, sent, "{:#?}", world.log);
            }
        }
        world.deliver(now);
        for (model, least) in &enough {
            let serving = world.serving(model);
            assert!(
                serving >= *least,
                "{model} has {serving} at {now} ms: {:#?}",
                world.log
            );
        }
    }
    world.assert_matches(&newest);
}

#[test]
fn the_end_state_is_that_of_the_newest_document_and_no_model_lacks_servers() {
    // Symptom: a model vanishes from the fleet, or servers keep what an old document said.
    // Events: the holder of the duty is paused with orders written and unsent or under way; another
    // one takes over with a newer document; the old orders arrive at any time; the old one wakes.
    // Cause: orders of a holder that lost its lease arrive late, and some servers take them.
    let config = Config {
        cases: 200,
        failure_persistence: None,
        ..Config::default()
    };
    let random = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, random);
    runner
        .run(&scene(), |scene| {
            check(&scene);
            Ok(())
        })
        .unwrap();
}
