//! Heartbeats, lapse, termination and isolation of members that share a faulty table.

mod common;

use std::time::Duration;

use common::*;
use fescuewell_core::platform::{Role, State as Listed};
use fescuewell_core::prelude::*;
use fescuewell_core::table::{Outcome, Reply, Step};
use fescuewell_membership::prelude::*;
use fescuewell_membership::row::{self, State};
use fescuewell_membership::sighting::Beat;
use fescuewell_membership::update::Update;
use rand::Rng;

/// Advances until the member commits to that row, and returns the step without executing it.
fn next_commit_to(fleet: &mut Fleet, index: usize, key: &str) -> Step {
    loop {
        fleet.now = fleet.now + TICK;
        let Some(step) = fleet.members[index].next_step(fleet.now) else {
            continue;
        };
        if matches!(&step, Step::Commit(transaction) if &*transaction.compares[0].key == key) {
            return step;
        }
        let reply = fleet.store.execute(&step, Fault::None);
        fleet.members[index].reply(fleet.now, reply);
    }
}

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

#[test]
fn everybody_sees_everybody() {
    let mut fleet = Fleet::new(9, &settings());

    fleet.run(seconds(5));

    for member in &fleet.members {
        assert_eq!(member.view().live.len(), 9);
        assert!(member.view().complete && member.view().ready);
        assert!(member.view().lapsed.is_empty());
    }
}

#[test]
fn silence_lapses_and_a_return_is_seen() {
    // An instance paused for longer than the lease must lose its slots, and be seen again once it
    // resumes.
    let mut fleet = Fleet::new(3, &settings());
    fleet.run(seconds(5));
    let holder = fleet.holder(2);

    fleet.stopped[2] = true;
    fleet.run(seconds(4));
    assert!(
        fleet.members[0].view().lapsed.is_empty(),
        "lapsed before the lease ended"
    );
    fleet.run(seconds(5));
    assert!(fleet.members[0].view().lapsed.contains(&holder));
    assert!(
        fleet.members[0].view().terminated.is_empty(),
        "a lapse alone must not terminate"
    );
    fleet.stopped[2] = false;
    fleet.run(seconds(3));

    assert!(fleet.members[0].view().lapsed.is_empty());
    assert!(fleet.members[0].view().peer(&instance(2)).is_some());
}

#[test]
fn an_outage_of_the_table_lapses_nobody() {
    // No heartbeat changes during a table outage of an hour. If the outage counted as silence, all
    // slots would change hands when the table comes back.
    let mut fleet = Fleet::new(9, &settings());
    fleet.run(seconds(5));

    fleet.fault = Box::new(|_, _| Fault::Unreachable);
    fleet.run(seconds(3_600));
    fleet.fault = Box::new(|_, _| Fault::None);

    for _ in 0..100 {
        fleet.tick();
        for member in &fleet.members {
            assert!(member.view().lapsed.is_empty());
        }
    }
}

#[test]
fn an_outage_of_writes_alone_lapses_nobody() {
    // The table refuses writes but serves reads for a minute, so fresh reads show unchanged
    // heartbeats. Members must not lapse each other for that.
    let mut fleet = Fleet::new(5, &settings());
    fleet.run(seconds(5));

    for _ in 0..600 {
        fleet.now = fleet.now + TICK;
        for index in 0..fleet.members.len() {
            let Some(step) = fleet.members[index].next_step(fleet.now) else {
                continue;
            };
            let writes = matches!(step, Step::Commit(_));
            let fault = if writes {
                Fault::Unreachable
            } else {
                Fault::None
            };
            let reply = fleet.store.execute(&step, fault);
            fleet.members[index].reply(fleet.now, reply);
        }
        for member in &fleet.members {
            assert!(member.view().lapsed.is_empty());
        }
    }
}

#[test]
fn an_observer_that_was_paused_lapses_nobody() {
    // An observer is paused while the others cannot write, since the table is down until just
    // before it resumes. If it counted its own absence as their silence, it would take over
    // everything.
    let mut fleet = Fleet::new(3, &settings());
    fleet.run(seconds(5));

    fleet.stopped = vec![false, true, true];
    fleet.run(seconds(3));
    fleet.stopped[0] = true;
    fleet.run(seconds(600));
    fleet.stopped[0] = false;
    fleet.run(seconds(4));

    assert!(fleet.members[0].view().lapsed.is_empty());
}

#[test]
fn stale_readings_lapse_nobody_and_turn_nothing_back() {
    // A lagging replica returns old rows. Taken for current, they would lapse a live member or
    // advertise a draining one to callers again.
    let mut fleet = Fleet::new(3, &settings());
    fleet.run(seconds(10));
    let now = fleet.now;
    fleet.members[2].set_state(now, State::Draining);
    fleet.run(seconds(2));

    fleet.fault = Box::new(|index, _| {
        if index == 0 {
            Fault::StaleRead
        } else {
            Fault::None
        }
    });
    for _ in 0..300 {
        fleet.tick();
        let view = fleet.members[0].view();
        assert!(view.lapsed.is_empty());
        assert_eq!(view.peer(&instance(2)).unwrap().state, State::Draining);
    }
}

#[test]
fn random_faults_lapse_only_the_silent() {
    let mut fleet = Fleet::new(6, &settings());
    fleet.run(seconds(5));
    fleet.fault = Box::new(|_, rng| match rng.random_range(0..40) {
        0 => Fault::Unreachable,
        1 => Fault::LostReply,
        2 => Fault::StaleRead,
        _ => Fault::None,
    });
    fleet.stopped[5] = true;
    let silent = fleet.holder(5);

    for _ in 0..3_000 {
        fleet.tick();
        for member in &fleet.members[..5] {
            assert!(member.view().lapsed.iter().all(|holder| *holder == silent));
        }
    }

    for member in &fleet.members[..5] {
        assert!(member.view().lapsed.contains(&silent));
        assert!(!member.view().superseded);
    }
}

#[test]
fn only_a_later_heartbeat_refutes_a_suspicion() {
    // A watcher reports a crashed member as silent; an instance that knew an older heartbeat then
    // reads the last one. Taken for a new one, it would put the crashed member back into responses
    // to callers.
    let mut fleet = Fleet::new(2, &settings());
    fleet.run(seconds(5));
    fleet.stopped = vec![true, false];
    fleet.run(seconds(5));
    fleet.stopped = vec![false, true];
    let beat = Beat {
        incarnation: Incarnation(1),
        number: fleet.members[1].own_row().beat,
    };
    let now = fleet.now;

    let report = Update::Suspicion {
        instance: instance(1),
        beat,
    };
    fleet.members[0].apply_update(now, report);
    assert!(is_suspected(&fleet), "suspected by its watcher");
    fleet.run(seconds(2));
    assert!(
        fleet.members[0].view().peer(&instance(1)).is_none(),
        "confirmed by a read of its own"
    );
    fleet.stopped[1] = false;
    fleet.run(seconds(3));

    assert!(!is_suspected(&fleet));
}

fn is_suspected(fleet: &Fleet) -> bool {
    let peer = fleet.members[0].view().peer(&instance(1));
    peer.is_none_or(|peer| peer.suspected)
}

#[test]
fn a_newer_incarnation_wins() {
    // A process is paused, a second one starts under its name, then the first resumes. With
    // unconditional writes, the two would overwrite each other's row.
    let mut fleet = Fleet::new(2, &settings());
    fleet.run(seconds(5));
    fleet.stopped[0] = true;
    fleet.run(seconds(1));
    let mut second = Members::new(settings(), info(0, 2), 99);
    second.set_state(fleet.now, State::Ready);
    fleet.members.push(second);
    fleet.stopped.push(false);
    fleet.run(seconds(3));

    fleet.stopped[0] = false;
    fleet.run(seconds(5));

    assert!(fleet.members[0].view().superseded && !fleet.members[0].view().ready);
    assert!(!fleet.members[2].view().superseded);
    let view = fleet.members[1].view();
    assert_eq!(
        view.peer(&instance(0)).unwrap().holder,
        row::holder(&instance(0), Incarnation(2))
    );
    let first = row::holder(&instance(0), Incarnation(1));
    assert!(view.lapsed.contains(&first) && !view.terminated.contains(&first));
}

#[test]
fn a_bound_address_proves_an_end_only_where_settings_say_so() {
    for exclusive_address in [false, true] {
        let settings = Settings {
            exclusive_address,
            ..settings()
        };
        let mut fleet = Fleet::new(2, &settings);
        fleet.run(seconds(5));
        fleet.members[0] = Members::new(settings, info(0, 2), 99);
        fleet.run(seconds(5));

        let first = row::holder(&instance(0), Incarnation(1));

        assert_eq!(
            fleet.members[1].view().terminated.contains(&first),
            exclusive_address
        );
    }
}

#[test]
fn the_list_ends_nobody_who_beats_and_no_one_too_early() {
    // An instance is replaced under its name while the lagging list still says "terminated" for its
    // predecessor. Trusting that would free the allowances of a running process.
    let mut fleet = Fleet::new(2, &settings());
    fleet.run(seconds(5));
    let holder = fleet.holder(1);
    let list = [listing(&instance(1), Role::Entry, Listed::Terminated)];

    fleet.run(seconds(120));
    fleet.apply_instance_list(&list);
    assert!(
        fleet.members[0].view().terminated.is_empty(),
        "it still sends heartbeats"
    );
    fleet.stopped[1] = true;
    fleet.run(seconds(8));

    assert!(fleet.members[0].view().terminated.contains(&holder));
}

#[test]
fn the_list_is_not_believed_before_its_lag_has_passed() {
    let mut fleet = Fleet::new(2, &settings());
    fleet.run(seconds(2));
    fleet.stopped[1] = true;
    let holder = fleet.holder(1);
    let list = [listing(&instance(1), Role::Entry, Listed::Terminated)];

    fleet.run(seconds(20));
    fleet.apply_instance_list(&list);
    assert!(fleet.members[0].view().terminated.is_empty());
    assert!(fleet.members[0].view().lapsed.contains(&holder));
    fleet.run(seconds(60));
    fleet.apply_instance_list(&list);

    assert!(fleet.members[0].view().terminated.contains(&holder));
}

#[test]
fn a_farewell_ends_and_a_settled_row_is_removed() {
    let mut fleet = Fleet::new(3, &settings());
    fleet.run(seconds(5));
    let holder = fleet.holder(2);
    let now = fleet.now;
    fleet.members[2].set_state(now, State::Gone);
    for update in fleet.members[2].take_updates() {
        fleet.members[0].apply_update(now, update);
    }
    fleet.run(seconds(3));
    assert!(fleet.members[2].is_published(State::Gone));
    assert!(fleet.members[0].view().terminated.contains(&holder));

    fleet.members[0].mark_settled(&holder);
    fleet.run(seconds(3));

    assert!(!fleet.store.rows.contains_key(&row::key(&instance(2))));
    assert!(fleet.members[1].view().terminated.is_empty());
}

#[test]
fn a_live_instance_lets_others_settle_its_predecessor() {
    let settings = Settings {
        exclusive_address: true,
        ..settings()
    };
    let mut fleet = Fleet::new(2, &settings);
    fleet.run(seconds(5));
    fleet.members[0] = Members::new(settings, info(0, 2), 99);
    fleet.run(seconds(5));
    let first = row::holder(&instance(0), Incarnation(1));

    fleet.members[1].mark_settled(&first);
    let settlement = next_commit_to(&mut fleet, 1, &row::key(&instance(0)));
    fleet.stopped[1] = true;
    fleet.run(seconds(2));
    let reply = fleet.store.execute(&settlement, Fault::None);
    assert!(
        matches!(reply, Reply::Outcome(Outcome::Conflict { .. })),
        "its heartbeat changed the row meanwhile"
    );
    let now = fleet.now;
    fleet.members[1].reply(now, reply);
    fleet.stopped[1] = false;
    fleet.run(seconds(3));

    assert!(fleet.members[0].own_row().earlier.is_empty());
    assert!(!fleet.members[0].view().superseded);
    for member in &fleet.members {
        assert!(member.view().terminated.is_empty());
        assert_eq!(member.view().live.len(), 2);
    }
}

#[test]
fn a_farewell_counts_only_once_it_is_written() {
    // The state advances while a heartbeat is in flight. If its reply counted for the new state,
    // the process would end without a farewell and leave its allowances charged.
    let mut fleet = Fleet::new(1, &settings());
    fleet.run(seconds(5));
    let step = next_commit_to(&mut fleet, 0, &row::key(&instance(0)));
    let now = fleet.now;

    fleet.members[0].set_state(now, State::Gone);
    let reply = fleet.store.execute(&step, Fault::None);
    fleet.members[0].reply(now, reply);

    assert!(!fleet.members[0].is_published(State::Gone));
    fleet.run(seconds(1));
    assert!(fleet.members[0].is_published(State::Gone));
}

#[test]
fn a_row_stays_until_all_its_incarnations_are_settled() {
    // An instance is killed, restarts and publishes its farewell. If settling the farewell removed
    // the row, which also names the killed incarnation, that one's allowances would stay charged
    // forever.
    let mut fleet = Fleet::new(2, &settings());
    fleet.run(seconds(5));
    fleet.members[1] = Members::new(settings(), info(1, 2), 9);
    fleet.run(seconds(5));
    let now = fleet.now;
    fleet.members[1].set_state(now, State::Gone);
    fleet.run(seconds(70));
    let list = [listing(&instance(1), Role::Entry, Listed::Terminated)];
    let holders = [1, 2].map(|start| row::holder(&instance(1), Incarnation(start)));

    fleet.members[0].mark_settled(&holders[1]);
    fleet.run(seconds(3));
    assert!(fleet.members[0].view().lapsed.contains(&holders[0]));
    assert!(fleet.store.rows.contains_key(&row::key(&instance(1))));
    fleet.apply_instance_list(&list);
    assert!(fleet.members[0].view().terminated.contains(&holders[0]));
    assert!(!fleet.members[0].view().terminated.contains(&holders[1]));
    fleet.members[0].mark_settled(&holders[0]);
    fleet.run(seconds(3));

    assert!(!fleet.store.rows.contains_key(&row::key(&instance(1))));
}

#[test]
fn a_process_whose_row_was_removed_stops() {
    // An instance is cut off, its streams are settled and its row is removed. If it came back and
    // wrote a new row, it would spend although it was declared ended.
    let mut fleet = Fleet::new(1, &settings());
    fleet.run(seconds(5));
    fleet.store.rows.clear();

    fleet.run(seconds(5));

    assert!(fleet.members[0].view().superseded);
    assert!(fleet.store.rows.is_empty());
}

#[test]
fn isolation_needs_both_silences() {
    // The table goes silent first and the peers later. Isolation by the table alone would refuse
    // requests in every store outage; without isolation, an instance that is cut off would serve an
    // old document forever.
    let mut fleet = Fleet::new(2, &settings());
    fleet.run(seconds(5));
    fleet.fault = Box::new(|_, _| Fault::Unreachable);
    for _ in 0..1_200 {
        let now = fleet.now;
        fleet.members[0].record_peer_response(now, &instance(1));
        fleet.tick();
        assert!(!fleet.members[0].view().isolated);
    }

    fleet.run(seconds(31));

    assert!(fleet.members[0].view().isolated && !fleet.members[0].view().ready);
    fleet.fault = Box::new(|_, _| Fault::None);
    fleet.run(seconds(3));
    assert!(fleet.members[0].view().ready);
}

#[test]
fn a_leaving_server_is_known_at_once_and_outlasts_the_lists_lag() {
    // A server refuses with "leaving", but an older list still says "live". Trusting the lagging
    // list would send work to the server.
    let mut member = Members::new(settings(), info(0, 1), 1);
    let at = Instant::from_millis;
    let live = [listing("engine-1", Role::Engine, Listed::Live)];
    member.mark_server_leaving(at(1_000), "engine-1");
    assert!(member.view().leaving_servers.contains("engine-1"));

    member.apply_instance_list(at(2_000), &live);
    assert!(member.view().leaving_servers.contains("engine-1"));
    member.apply_instance_list(at(100_000), &live);
    assert!(member.view().leaving_servers.is_empty());
    member.apply_instance_list(
        at(101_000),
        &[listing("engine-1", Role::Engine, Listed::Leaving)],
    );
    assert!(member.view().leaving_servers.contains("engine-1"));
}
