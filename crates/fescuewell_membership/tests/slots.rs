//! Slot assignment: balanced, stable, resistant to flapping, and converging to one owner per slot.

mod common;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use common::*;
use fescuewell_core::prelude::*;
use fescuewell_membership::sighting::Beat;
use fescuewell_membership::slots::{Assigner, Assignment, Candidate, assign};
use fescuewell_membership::update::Update;
use rand::Rng;

const SLOTS: u16 = 64;

fn candidates(count: usize) -> Vec<Candidate> {
    let candidate = |index: usize| Candidate {
        instance: instance(index),
        zone: ["a", "b", "c"][index % 3].into(),
    };
    (0..count).map(candidate).collect()
}

fn counts(assignment: &Assignment) -> BTreeMap<Arc<str>, usize> {
    let mut counts = BTreeMap::new();
    for slot in 0..SLOTS {
        let owner = assignment
            .owner(SlotKey(slot))
            .expect("each slot has an owner");
        *counts.entry(owner.clone()).or_default() += 1;
    }
    counts
}

fn moved(before: &Assignment, after: &Assignment) -> usize {
    let differs = |slot: &u16| before.owner(SlotKey(*slot)) != after.owner(SlotKey(*slot));
    (0..SLOTS).filter(differs).count()
}

#[test]
fn slots_are_balanced_over_instances_and_zones() {
    for count in [1, 2, 3, 6, 7, 9, 30, 64, 850] {
        let candidates = candidates(count);

        let counts = counts(&assign(SLOTS, &candidates));

        let most = (SLOTS as usize).div_ceil(count) + 1;
        assert!(
            counts.values().all(|held| *held <= most),
            "{count}: {counts:?}"
        );
        for zone in ["a", "b", "c"] {
            let of_zone: Vec<_> = candidates.iter().filter(|c| &*c.zone == zone).collect();
            let held: usize = of_zone.iter().filter_map(|c| counts.get(&c.instance)).sum();
            assert!(held <= (SLOTS as usize * of_zone.len()).div_ceil(count));
        }
    }
}

#[test]
fn a_member_that_goes_moves_little_more_than_its_own_slots() {
    let all = candidates(9);
    let before = assign(SLOTS, &all);
    for removed in 0..9 {
        let mut rest = all.clone();
        rest.remove(removed);

        let after = assign(SLOTS, &rest);

        let own = before.slots_of(&instance(removed)).len();
        assert!(moved(&before, &after) <= 3 * own, "{removed}");
    }
}

#[test]
fn the_order_of_the_candidates_does_not_matter() {
    let mut reversed = candidates(9);
    reversed.reverse();

    assert_eq!(assign(SLOTS, &reversed), assign(SLOTS, &candidates(9)));
}

fn assigners(count: usize) -> Vec<Assigner> {
    let settle_time = Duration::from_secs(3);
    let assigner = |index| Assigner::new(instance(index), SLOTS, settle_time);
    (0..count).map(assigner).collect()
}

fn tick(fleet: &mut Fleet, assigners: &mut [Assigner]) {
    fleet.tick();
    for (index, assigner) in assigners.iter_mut().enumerate() {
        if fleet.stopped[index] {
            continue;
        }
        let now = fleet.now;
        assigner.update(now, fleet.members[index].view());
        fleet.members[index].set_watch(assigner.watch().clone());
    }
}

#[test]
fn wishes_converge_to_one_owner_for_each_slot_after_any_faults() {
    let mut fleet = Fleet::new(9, &settings());
    let mut assigners = assigners(9);
    fleet.fault = Box::new(|_, rng| match rng.random_range(0..10) {
        0 => Fault::Unreachable,
        1 => Fault::LostReply,
        2 => Fault::StaleRead,
        _ => Fault::None,
    });
    for round in 0..20 {
        fleet.stopped[round % 9] = true;
        fleet.stopped[(round * 5 + 2) % 9] = false;
        for _ in 0..60 {
            tick(&mut fleet, &mut assigners);
        }
    }

    fleet.fault = Box::new(|_, _| Fault::None);
    for _ in 0..900 {
        tick(&mut fleet, &mut assigners);
    }

    let running: Vec<usize> = (0..9).filter(|index| !fleet.stopped[*index]).collect();
    assert!(running.len() < 9, "at least one instance stays stopped");
    for slot in (0..SLOTS).map(SlotKey) {
        let wanting = running
            .iter()
            .filter(|index| assigners[**index].own_slots().contains(&slot));
        assert_eq!(wanting.count(), 1, "{slot:?}");
    }
}

#[test]
fn a_flapping_member_moves_slots_ever_less_often() {
    // A member pauses for longer than its lease and resumes, repeatedly. If it got its slots back
    // as soon as it was seen, they would change hands every few seconds.
    let mut fleet = Fleet::new(6, &settings());
    let mut assigners = assigners(6);
    for _ in 0..100 {
        tick(&mut fleet, &mut assigners);
    }
    let mut changes = 0;
    let mut last = assigners[0].assignment().clone();

    for flap in 0..24 {
        fleet.stopped[5] = flap % 2 == 0;
        for _ in 0..120 {
            tick(&mut fleet, &mut assigners);
            changes += usize::from(*assigners[0].assignment() != last);
            last.clone_from(assigners[0].assignment());
        }
    }

    assert!(changes <= 5, "12 flaps made {changes} changes");
}

#[test]
fn a_restart_under_the_same_name_keeps_its_slots() {
    let mut fleet = Fleet::new(6, &settings());
    let mut assigners = assigners(6);
    for _ in 0..100 {
        tick(&mut fleet, &mut assigners);
    }
    let before = assigners[0].assignment().clone();

    fleet.members[5] = fescuewell_membership::member::Members::new(settings(), info(5, 2), 50);
    for _ in 0..20 {
        tick(&mut fleet, &mut assigners);
    }
    let now = fleet.now;
    fleet.members[5].set_state(now, fescuewell_membership::row::State::Ready);
    for _ in 0..100 {
        tick(&mut fleet, &mut assigners);
        assert_eq!(*assigners[0].assignment(), before);
    }
}

#[test]
fn owners_are_watched_by_those_that_would_follow() {
    const COUNT: usize = 24;
    let mut fleet = Fleet::new(COUNT, &settings());
    let mut assigners = assigners(COUNT);
    for _ in 0..90 {
        tick(&mut fleet, &mut assigners);
    }
    let mut watched = 0;

    for slot in (0..SLOTS).map(SlotKey) {
        let owner = assigners[0]
            .assignment()
            .owner(slot)
            .expect("an owner")
            .clone();
        let mut rest = candidates(COUNT);
        rest.retain(|candidate| candidate.instance != owner);
        let successor = assign(SLOTS, &rest)
            .owner(slot)
            .expect("a successor")
            .clone();
        let assigner = (0..COUNT)
            .find(|index| instance(*index) == successor)
            .expect("known");
        watched += usize::from(assigners[assigner].watch().contains(&owner));
    }

    assert_eq!(watched, SLOTS as usize);
}

#[test]
fn a_suspected_owner_is_watched_and_its_slots_are_wished_elsewhere() {
    let mut fleet = Fleet::new(9, &settings());
    let mut assigners = assigners(9);
    for _ in 0..100 {
        tick(&mut fleet, &mut assigners);
    }
    let left = fleet.now;
    fleet.stopped[4] = true;
    let beat = Beat {
        incarnation: Incarnation(1),
        number: u64::MAX,
    };
    for member in &mut fleet.members {
        member.apply_update(
            left,
            Update::Suspicion {
                instance: instance(4),
                beat,
            },
        );
    }

    let before = assigners[0].assignment().slots_of(&instance(4));
    for _ in 0..2 {
        assigners[0].update(left, fleet.members[0].view());
    }

    assert!(
        assigners[0].watch().contains(&instance(4)),
        "watched, so that the suspicion is confirmed soon"
    );
    assert!(!before.is_empty() && assigners[0].assignment().slots_of(&instance(4)).is_empty());
}
