//! Heartbeats, lapse, termination and isolation, with members that share a faulty table.

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

/// Goes on until that member asks to write that row; the step is left to the caller.
fn next_commit_to(fleet: &mut Fleet, index: usize, key: &str) -> Step {
    loop {
        fleet.now = fleet.now + TURN;
        let Some(step) = fleet.members[index].next_step(fleet.now) else {
            continue;
        };
        if matches!(&step, Step::Commit(transaction) if &*transaction.compares[0].key == key) {
            return step;
        }
        let reply = fleet.store.carry_out(&step, Fault::None);
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
    // Symptom: a paused instance keeps its slots for ever, or loses them for ever. Sequence: it is
    // stopped for longer than the lease and then goes on. Cause: its heartbeat stands still.
    let mut fleet = Fleet::new(3, &settings());
    fleet.run(seconds(5));
    let holder = fleet.holder(2);

    fleet.stopped[2] = true;
    fleet.run(seconds(4));
    assert!(
        fleet.members[0].view().lapsed.is_empty(),
        "before the lease is over"
    );
    fleet.run(seconds(5));
    assert!(fleet.members[0].view().lapsed.contains(&holder));
    assert!(
        fleet.members[0].view().terminated.is_empty(),
        "a lapse frees nothing"
    );
    fleet.stopped[2] = false;
    fleet.run(seconds(3));

    assert!(fleet.members[0].view().lapsed.is_empty());
    assert!(fleet.members[0].view().peer(&instance(2)).is_some());
}

#[test]
fn an_outage_of_the_table_lapses_nobody() {
    // Symptom: all slots change hands when the table comes back. Sequence: the table is down for an
    // hour, so nobody's heartbeat changes. Cause: the outage was counted as everybody's silence.
    let mut fleet = Fleet::new(9, &settings());
    fleet.run(seconds(5));

    fleet.fault = Box::new(|_, _| Fault::Unreachable);
    fleet.run(seconds(3_600));
    fleet.fault = Box::new(|_, _| Fault::None);

    for _ in 0..100 {
        fleet.turn();
        for member in &fleet.members {
            assert!(member.view().lapsed.is_empty());
        }
    }
}

#[test]
fn an_outage_of_writes_alone_lapses_nobody() {
    // Symptom: mutual lapse while the table serves reads. Sequence: the table refuses writes for a
    // minute. Cause: readings succeed and show heartbeats that stand still, for a reason of the table's.
    let mut fleet = Fleet::new(5, &settings());
    fleet.run(seconds(5));

    for _ in 0..600 {
        fleet.now = fleet.now + TURN;
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
            let reply = fleet.store.carry_out(&step, fault);
            fleet.members[index].reply(fleet.now, reply);
        }
        for member in &fleet.members {
            assert!(member.view().lapsed.is_empty());
        }
    }
}

#[test]
fn an_observer_that_was_paused_lapses_nobody() {
    // Symptom: an instance takes over everything when it wakes. Sequence: it is stopped; meanwhile the
    // others cannot write, since the table is down until just before it wakes. Cause: it took its own absence for silence.
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
    // Symptom: a live member lapses, or a draining one is named to callers again. Sequence: a lagging
    // replica answers with rows from before. Cause: an old row was taken for the present one.
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
        fleet.turn();
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
        fleet.turn();
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
    // Symptom: a crashed member is named to callers again. Sequence: its watchers tell that it stands
    // still; an instance that knew an older heartbeat reads the last one. Cause: taken for a new one.
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
    assert!(is_suspected(&fleet), "told by its watcher");
    fleet.run(seconds(2));
    assert!(
        fleet.members[0].view().peer(&instance(1)).is_none(),
        "confirmed by an own reading"
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
    // Symptom: two processes of one name write over each other's row. Sequence: the first is stopped,
    // a second one starts under its name, the first goes on. Cause: writes without a condition.
    let mut fleet = Fleet::new(2, &settings());
    fleet.run(seconds(5));
    fleet.stopped[0] = true;
    fleet.run(seconds(1));
    let mut second = Members::new(settings(), me(0, 2), 99);
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
        fleet.members[0] = Members::new(settings, me(0, 2), 99);
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
    // Symptom: allowances of a running process are freed. Sequence: an instance is replaced under its
    // name; the list still says "terminated" about its predecessor. Cause: the list's lag.
    let mut fleet = Fleet::new(2, &settings());
    fleet.run(seconds(5));
    let holder = fleet.holder(1);
    let list = [listing(&instance(1), Role::Entry, Listed::Terminated)];

    fleet.run(seconds(120));
    fleet.tell_list(&list);
    assert!(fleet.members[0].view().terminated.is_empty(), "it beats");
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
    fleet.tell_list(&list);
    assert!(fleet.members[0].view().terminated.is_empty());
    assert!(fleet.members[0].view().lapsed.contains(&holder));
    fleet.run(seconds(60));
    fleet.tell_list(&list);

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
    fleet.members[0] = Members::new(settings, me(0, 2), 99);
    fleet.run(seconds(5));
    let first = row::holder(&instance(0), Incarnation(1));

    fleet.members[1].mark_settled(&first);
    let strike = next_commit_to(&mut fleet, 1, &row::key(&instance(0)));
    fleet.stopped[1] = true;
    fleet.run(seconds(2));
    let reply = fleet.store.carry_out(&strike, Fault::None);
    assert!(
        matches!(reply, Reply::Outcome(Outcome::Conflict { .. })),
        "it beat meanwhile"
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
    // Symptom: a process ends without a farewell and its allowances stay charged. Sequence: the state
    // advances while a heartbeat is under way. Cause: the reply was taken for the new state's.
    let mut fleet = Fleet::new(1, &settings());
    fleet.run(seconds(5));
    let step = next_commit_to(&mut fleet, 0, &row::key(&instance(0)));
    let now = fleet.now;

    fleet.members[0].set_state(now, State::Gone);
    let reply = fleet.store.carry_out(&step, Fault::None);
    fleet.members[0].reply(now, reply);

    assert!(!fleet.members[0].is_published(State::Gone));
    fleet.run(seconds(1));
    assert!(fleet.members[0].is_published(State::Gone));
}

#[test]
fn a_row_stays_until_all_its_incarnations_are_settled() {
    // Symptom: an allowance stays charged for ever. Sequence: an instance is killed, restarts and says
    // farewell; the farewell is settled and its row removed. Cause: the row named the killed one too.
    let mut fleet = Fleet::new(2, &settings());
    fleet.run(seconds(5));
    fleet.members[1] = Members::new(settings(), me(1, 2), 9);
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
    fleet.tell_list(&list);
    assert!(fleet.members[0].view().terminated.contains(&holders[0]));
    assert!(!fleet.members[0].view().terminated.contains(&holders[1]));
    fleet.members[0].mark_settled(&holders[0]);
    fleet.run(seconds(3));

    assert!(!fleet.store.rows.contains_key(&row::key(&instance(1))));
}

#[test]
fn a_process_whose_row_was_removed_stops() {
    // Symptom: an instance that was declared ended goes on spending. Sequence: it is cut off, its
    // streams are settled, its row is removed, it comes back. Cause: it would write a new row.
    let mut fleet = Fleet::new(1, &settings());
    fleet.run(seconds(5));
    fleet.store.rows.clear();

    fleet.run(seconds(5));

    assert!(fleet.members[0].view().superseded);
    assert!(fleet.store.rows.is_empty());
}

#[test]
fn isolation_needs_both_silences() {
    // Symptom: false refusals in an outage of the store, or an old document served for ever by an
    // instance that is cut off. Sequence: the table goes silent, later the peers too.
    let mut fleet = Fleet::new(2, &settings());
    fleet.run(seconds(5));
    fleet.fault = Box::new(|_, _| Fault::Unreachable);
    for _ in 0..1_200 {
        let now = fleet.now;
        fleet.members[0].record_peer_response(now, &instance(1));
        fleet.turn();
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
    // Symptom: work goes to a backend server that said it leaves. Sequence: it refuses with "leaving";
    // a list from before still calls it live. Cause: the list lags.
    let mut member = Members::new(settings(), me(0, 1), 1);
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
