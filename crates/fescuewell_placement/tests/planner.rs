//! A single planner: limits, hysteresis, the sequence of an order, repair.

mod common;

use std::collections::BTreeSet;

use common::*;
use fescuewell_core::table::{Error, Outcome, Reply, Step};

const ALL: [bool; 3] = [true; 3];
const NONE: [bool; 3] = [false; 3];

fn run(world: &mut World, planner: &mut Planner, from: u64, to: u64) {
    for now in (from..to).step_by(TICK as usize) {
        world.drive(now, planner, &[0]);
        world.deliver(now);
    }
}

#[test]
fn servers_that_ignore_fencing_get_no_order_before_old_ones_died_out() {
    // Such servers apply orders as they arrive, whatever their fencing number. The old leader's
    // last order, in flight during the takeover, could unload a model that the new leader has just
    // loaded.
    let document = document(&[false, false, true], &[ALL; 3]);
    let mut world = World::new(&document, &[NONE; 3]);
    let mut planner = planner(&document, 1);

    run(&mut world, &mut planner, 0, 10_000);
    let early: Vec<_> = world
        .loads
        .iter()
        .map(|(_, server)| server.to_string())
        .collect();
    run(&mut world, &mut planner, 10_000, 60_000);

    assert!(
        !early.is_empty() && early.iter().all(|server| server == "engine-2"),
        "{early:?}"
    );
    world.assert_matches(&document);
}

#[test]
fn loads_are_limited_and_staggered_over_the_fleet() {
    // Eight engines are empty, and three models need two servers each. Unlimited concurrent loads
    // after a full restart would overload the weight store.
    let document = document(&[true; 8], &[ALL; 8]);
    let mut world = World::new(&document, &[NONE; 8]);
    let mut planner = planner(&document, 1);

    run(&mut world, &mut planner, 0, 60_000);

    assert_eq!(world.loads.len(), 6);
    for pair in world.loads.windows(2) {
        assert!(pair[1].0 - pair[0].0 >= 1_000, "{:?}", world.loads);
    }
    for (begun, _) in &world.loads {
        let others = world
            .loads
            .iter()
            .filter(|(at, _)| at <= begun && at + 3_000 > *begun);
        assert!(others.count() <= 2, "{:?}", world.loads);
    }
    world.assert_matches(&document);
}

#[test]
fn loads_go_to_the_least_used_servers() {
    let document = document(&[true; 4], &[ALL; 4]);
    let loaded = [[true, true, false], [true, true, false], NONE, NONE];
    let mut world = World::new(&document, &loaded);
    let mut planner = planner(&document, 1);
    planner.set_demand("a", 1_000);

    run(&mut world, &mut planner, 0, 30_000);

    let chosen: BTreeSet<_> = world.loads.iter().map(|(_, server)| &**server).collect();
    assert_eq!(chosen, BTreeSet::from(["engine-2", "engine-3"]));
}

#[test]
fn demand_that_swings_does_not_make_models_flap() {
    // Demand for one model doubles and halves every five seconds for five minutes. Without
    // hysteresis the model would repeatedly be unloaded and loaded again from the weight store.
    let document = document(&[true; 4], &[ALL; 4]);
    let mut world = World::new(&document, &[ALL, ALL, NONE, NONE]);
    let mut planner = planner(&document, 1);
    for swing in 0..60 {
        let demand = if swing % 2 == 0 { 4_500 } else { 2_000 };
        planner.set_demand("a", demand);
        run(&mut world, &mut planner, swing * 5_000, (swing + 1) * 5_000);
    }
    assert_eq!((world.loads.len(), world.unloads), (0, 0));

    planner.set_demand("a", 4_500);
    run(&mut world, &mut planner, 300_000, 330_000);
    assert_eq!((world.loads.len(), world.unloads), (1, 0));
    assert_eq!(world.serving("a"), 3);
}

#[test]
fn a_leaving_server_is_replaced() {
    let document = document(&[true; 3], &[ALL; 3]);
    let mut world = World::new(&document, &[ALL, ALL, NONE]);
    let mut planner = planner(&document, 1);
    planner.set_leaving("engine-1", true);

    run(&mut world, &mut planner, 0, 30_000);

    let here = &world.engines["engine-2"].loaded;
    assert_eq!(here.len(), 3);
}

#[test]
fn a_server_that_loses_a_model_gets_it_again_and_that_is_told() {
    // The planner loads a model, and a late order of another leader unloads it. The planner notices
    // it only if it keeps observing the server after its order took effect.
    let document = document(&[true; 2], &[ALL; 2]);
    let mut world = World::new(&document, &[ALL, NONE]);
    let mut planner = planner(&document, 1);
    run(&mut world, &mut planner, 0, 30_000);
    world
        .engines
        .get_mut("engine-1")
        .unwrap()
        .loaded
        .remove("b");

    run(&mut world, &mut planner, 30_000, 60_000);

    assert_eq!(world.serving("b"), 2);
    let told = |line: &&String| line.contains("Repaired") && line.contains("engine-1");
    assert_eq!(world.log.iter().filter(told).count(), 1);
}

#[test]
fn what_a_late_order_took_away_is_put_right_and_told() {
    // A late order unloads a model that this leader did not order itself. The repair must be
    // reported to operators as well, not only those of the leader's own orders.
    let document = document(&[false; 2], &[ALL; 2]);
    let mut world = World::new(&document, &[ALL, ALL]);
    let mut planner = planner(&document, 2);
    run(&mut world, &mut planner, 0, 15_000);
    world
        .engines
        .get_mut("engine-1")
        .unwrap()
        .loaded
        .remove("b");

    run(&mut world, &mut planner, 15_000, 30_000);

    assert_eq!(world.serving("b"), 2);
    let told = |line: &&String| line.contains("Repaired") && line.contains("engine-1");
    assert_eq!(world.log.iter().filter(told).count(), 1);
}

#[test]
fn a_slow_weight_store_spreads_the_loads_further() {
    let document = document(&[true; 2], &[ALL; 2]);
    let mut world = World::new(&document, &[NONE; 2]);
    let mut planner = planner(&document, 1);
    planner.set_store_rate(1_000_000_000, 8_000_000_000);

    run(&mut world, &mut planner, 0, 60_000);

    assert_eq!(world.loads.len(), 6);
    for pair in world.loads.windows(2) {
        assert!(pair[1].0 - pair[0].0 >= 8_000, "{:?}", world.loads);
    }
}

/// A planner that is about to write the row of its first order, and that step.
fn about_to_write() -> (Planner, Step) {
    let document = document(&[true; 2], &[ALL; 2]);
    let world = World::new(&document, &[ALL, NONE]);
    let mut planner = planner(&document, 1);
    let revision = 1;
    planner.next_step(at(0)).unwrap();
    planner.reply(at(0), Reply::Rows(Vec::new()));
    planner.next_step(at(0)).unwrap();
    planner.reply(at(0), Reply::Outcome(Outcome::Committed { revision }));
    for name in ["engine-0", "engine-1"] {
        planner.observe(at(1), name, world.observation(1, name));
    }
    planner.tick(at(1));
    let step = planner.next_step(at(1)).unwrap();
    (planner, step)
}

#[test]
fn an_order_leaves_once_and_only_after_its_row_is_written() {
    let (mut planner, step) = about_to_write();
    assert!(matches!(step, Step::Commit(_)));
    assert_eq!(planner.next_order(at(1)), None);

    planner.reply(at(2), Reply::Outcome(Outcome::Committed { revision: 2 }));

    assert!(planner.next_order(at(3)).is_some());
    assert_eq!(planner.next_order(at(3)), None);
}

#[test]
fn an_order_whose_row_may_not_be_written_is_not_sent() {
    // The reply to the row's write is lost. If the write failed its precondition and the order were
    // sent, two leaders would send conflicting orders to one server.
    let (mut planner, _) = about_to_write();

    let reason = "lost".into();
    planner.reply(at(2), Reply::Failed(Error::Unknown { reason }));

    assert_eq!(planner.next_order(at(3)), None);
    assert!(matches!(planner.next_step(at(1_000)), Some(Step::Scan(_))));
}

#[test]
fn an_order_that_was_held_up_by_a_pause_is_not_sent() {
    // The process is paused after the row is written. Without a check of the elapsed time, the
    // order would be sent minutes after it was planned.
    let (mut planner, _) = about_to_write();
    planner.reply(at(2), Reply::Outcome(Outcome::Committed { revision: 2 }));

    assert_eq!(planner.next_order(at(60_000)), None);
}

#[test]
fn an_adapter_is_loaded_where_its_base_is_or_the_base_goes_first() {
    let mut document = document(&[true; 2], &[ALL; 2]);
    document.models[2].base = Some("a".into());
    document.models.remove(1);
    let mut world = World::new(&document, &[[true, false, false], NONE]);
    let mut planner = planner(&document, 1);

    run(&mut world, &mut planner, 0, 40_000);

    assert_eq!((world.serving("a"), world.serving("c")), (2, 2));
}

#[test]
fn a_holder_that_was_superseded_gives_up() {
    let document = document(&[true; 2], &[ALL; 2]);
    let mut world = World::new(&document, &[ALL, ALL]);
    let mut newer = planner(&document, 2);
    let mut older = planner(&document, 1);
    run(&mut world, &mut newer, 0, 1_000);

    run(&mut world, &mut older, 1_000, 2_000);

    assert_eq!((newer.state(), older.state()), ("settling", "idle"));
}

#[test]
fn the_end_of_the_old_holder_frees_what_its_last_order_blocked() {
    // The old leader wrote the row of an unload that never arrived, and terminated. If that order
    // kept counting as undelivered, a model that the document no longer lists would stay loaded
    // forever.
    let first = document(&[false; 4], &[ALL, ALL, NONE, [true, false, false]]);
    let newest = document(&[false; 4], &[ALL, ALL, [true, false, false], NONE]);
    let loaded = [NONE, ALL, [true, false, false], [true, false, false]];
    let mut world = World::new(&first, &loaded);
    let mut old = planner(&first, 1);
    run(&mut world, &mut old, 0, 9_500);
    world.drive(10_000, &mut old, &[10_000_000]);
    let mut new = planner(&newest, 2);
    // No other server can load the model, so engine-3 has to keep it.
    new.set_leaving("engine-0", true);
    run(&mut world, &mut new, 10_500, 60_000);
    assert!(world.engines["engine-3"].loaded.contains("a"));

    new.leader_terminated(Epoch(1));
    run(&mut world, &mut new, 60_000, 120_000);

    assert!(!world.engines["engine-3"].loaded.contains("a"));
    assert!(world.serving("a") >= 2);
}
