//! Random sequences of duplicates, crashes, pauses and outages in a small fleet.
//!
//! Attempt `n` costs 4^n tokens and has a hold of the same size, so a total shows exactly which
//! attempts were charged: a base-4 digit of 2 is a double charge.

#[path = "../support/mod.rs"]
mod support;
mod world;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

use support::Fault;
use world::World;

/// One step of a sequence.
#[derive(Debug, Clone)]
pub(crate) enum Event {
    /// A caller sends request `key` to a router. Keys from [`world::FIRST_REPEATABLE`] on are
    /// repeatable.
    Submit {
        router: usize,
        key: usize,
        other_body: bool,
    },
    /// A running stream ends.
    End { pick: usize, is_complete: bool },
    /// Time passes, and messages are delivered.
    Run { ticks: u8 },
    /// An instance terminates and restarts as another incarnation.
    Kill { instance: usize },
    /// An instance stops running, and its slots go to the others.
    Pause { instance: usize },
    /// All paused instances resume where they stopped.
    Resume,
    /// A backend server is terminated with all its records, and a new one replaces it.
    KillServer { server: usize },
    /// The sweeping instance terminates, and another one starts over.
    KillSweep,
    /// The table's behaviour changes.
    Table(Fault),
    /// Messages between instances are lost, delayed and duplicated, or no longer.
    Network { is_bad: bool },
}

struct Script;

impl ReferenceStateMachine for Script {
    type State = ();
    type Transition = Event;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_: &()) -> BoxedStrategy<Event> {
        let instance = 0..world::INSTANCES;
        let fault = prop_oneof![
            3 => Just(Fault::None),
            1 => Just(Fault::Down),
            1 => Just(Fault::LosesReplies),
            1 => Just(Fault::Delays),
            1 => Just(Fault::Busy),
        ];
        let submit = (
            instance.clone(),
            0..world::KEYS,
            proptest::bool::weighted(0.1),
        );
        prop_oneof![
            8 => submit.prop_map(|(router, key, other_body)| Event::Submit { router, key, other_body }),
            4 => (any::<usize>(), proptest::bool::weighted(0.8))
                .prop_map(|(pick, is_complete)| Event::End { pick, is_complete }),
            8 => (1..40u8).prop_map(|ticks| Event::Run { ticks }),
            1 => instance.clone().prop_map(|instance| Event::Kill { instance }),
            1 => instance.prop_map(|instance| Event::Pause { instance }),
            1 => Just(Event::Resume),
            1 => (0..world::SERVERS).prop_map(|server| Event::KillServer { server }),
            1 => Just(Event::KillSweep),
            2 => fault.prop_map(Event::Table),
            1 => any::<bool>().prop_map(|is_bad| Event::Network { is_bad }),
        ]
        .boxed()
    }

    fn apply(state: (), _: &Event) -> Self::State {
        state
    }
}

struct Fleet;

impl StateMachineTest for Fleet {
    type SystemUnderTest = World;
    type Reference = Script;

    fn init_test(_: &()) -> World {
        World::new()
    }

    fn apply(mut world: World, _: &(), event: Event) -> World {
        world.apply(&event);
        world
    }

    fn check_invariants(world: &World, _: &()) {
        world.check();
    }

    fn teardown(mut world: World, _: ()) {
        world.settle();
        world.check();
        world.check_settled();
    }
}

fn config() -> Config {
    Config {
        cases: 300,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20),
        max_shrink_iters: 4_000,
        ..Config::default()
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn every_answer_is_billed_once_and_single_calls_run_once(sequential 20..80 => Fleet);
}
