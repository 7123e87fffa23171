//! Two planners, of which the older one resumes after a pause, with servers that check fencing
//! numbers and servers that ignore them.

mod common;

use common::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// A random scenario of a takeover, with delays of the older leader's last orders.
#[derive(Debug, Clone)]
struct Scenario {
    servers: Vec<bool>,
    loaded: Vec<[bool; 3]>,
    pause_at: u64,
    delays: Vec<u64>,
    change_at: u64,
    /// Listed models in the first document, the last one of the older leader, and the newest one.
    listed: [Vec<[bool; 3]>; 3],
    lost_replies: Vec<bool>,
}

fn scenario() -> impl Strategy<Value = Scenario> {
    (4..8usize).prop_flat_map(|count| {
        let listed = || proptest::collection::vec(any::<[bool; 3]>(), count);
        (
            proptest::collection::vec(any::<bool>(), count),
            listed(),
            20_000..30_000u64,
            proptest::collection::vec(0..200_000u64, 8),
            // Most changes come just before the pause, so that their orders are in flight then.
            prop_oneof![3 => Just(0u64), 1 => 0..15_000u64],
            [listed(), listed(), listed()],
            proptest::collection::vec(proptest::bool::weighted(0.1), 32),
        )
            .prop_map(
                |(servers, loaded, pause_at, delays, before, listed, lost_replies)| Scenario {
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

fn check(scenario: &Scenario) {
    let [first, second, newest] =
        [0, 1, 2].map(|at| document(&scenario.servers, &scenario.listed[at]));
    let mut world = World::new(&first, &scenario.loaded);
    world.lost_replies.clone_from(&scenario.lost_replies);
    let mut satisfied = world.satisfied_models();
    let mut old = planner(&first, 1);
    let mut new: Option<Planner> = None;
    for now in (0..400_000).step_by(TICK as usize) {
        if now < scenario.pause_at {
            if now >= scenario.change_at {
                old.set_document(&second);
            }
            world.drive(now, &mut old, &[0]);
        } else {
            // The older leader is paused. The orders that it was about to send leave when it
            // resumes.
            if new.is_none() {
                old.set_document(&second);
                world.drive_before_pause(now, &mut old, &scenario.delays);
                satisfied = world.satisfied_models();
                new = Some(planner(&newest, 2));
            }
            world.drive(
                now,
                new.as_mut().expect("the planner was created above"),
                &[0],
            );
            if now >= 250_000 {
                // It resumes without knowing of the takeover. Its first write fails and shows that
                // it was superseded, so it must not send any further order.
                let sent = world.sent;
                world.drive(now, &mut old, &[0]);
                assert_eq!(world.sent, sent, "{:#?}", world.log);
            }
        }
        world.deliver(now);
        for (model, least) in &satisfied {
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
    // The leader is paused with orders that are written but unsent or in flight, and another one
    // takes over with a newer document. The old orders arrive at any time, some servers accept
    // them, and the old leader resumes. A model could lose its servers, or servers could keep an
    // old document's models.
    let config = Config {
        cases: 200,
        failure_persistence: None,
        ..Config::default()
    };
    let random = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, random);
    runner
        .run(&scenario(), |scenario| {
            check(&scenario);
            Ok(())
        })
        .unwrap();
}
