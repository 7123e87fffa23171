//! Address selection: local zone first, spread by rate, weighted by load, without leaving
//! instances.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use common::*;
use fescuewell_core::platform::{Role, State as Listed};
use fescuewell_membership::address::{Caller, Response, Settings, resolve};
use fescuewell_membership::row::{Load, State};
use fescuewell_membership::view::View;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

fn started_fleet(count: usize) -> Fleet {
    let mut fleet = Fleet::new(count, &settings());
    fleet.run(Duration::from_secs(5));
    fleet
}

fn caller(account: &str, rate: u32) -> Caller {
    Caller {
        account: account.into(),
        client: "10.0.0.1".into(),
        zone: Some("a".into()),
        rate,
    }
}

fn request(view: &View, caller: &Caller) -> Response {
    resolve(&Settings::default(), caller, view)
}

#[test]
fn the_nearest_zone_comes_first_and_others_stand_by() {
    let fleet = started_fleet(9);

    let answer = request(fleet.members[0].view(), &caller("signwise", 1));

    let zones: Vec<&str> = answer
        .addresses
        .iter()
        .map(|address| &*address.zone)
        .collect();
    assert_eq!(&zones[..2], ["a", "a"]);
    assert!(zones[2..].iter().all(|zone| *zone != "a") && zones.len() == 4);
    assert!(answer.addresses[0].weight > answer.addresses[3].weight);
}

#[test]
fn the_same_view_gives_the_same_answer_on_each_instance() {
    let fleet = started_fleet(9);
    let first = request(fleet.members[0].view(), &caller("signwise", 30));

    for member in &fleet.members {
        assert_eq!(request(member.view(), &caller("signwise", 30)), first);
    }
}

#[test]
fn an_account_spreads_over_more_instances_as_its_rate_grows() {
    let fleet = started_fleet(30);
    let view = fleet.members[0].view();

    let few = request(view, &caller("signwise", 10)).addresses;
    let many = request(view, &caller("signwise", 150)).addresses;

    let local = |addresses: &[fescuewell_membership::address::Address]| {
        addresses
            .iter()
            .filter(|address| &*address.zone == "a")
            .count()
    };
    assert_eq!((local(&few), local(&many)), (2, 6));
}

#[test]
fn clients_of_a_large_account_are_told_different_parts() {
    let fleet = started_fleet(60);
    let view = fleet.members[0].view();
    let mut counts: BTreeMap<_, u32> = BTreeMap::new();

    for client in 0..400 {
        let caller = Caller {
            client: format!("10.0.0.{client}").into(),
            ..caller("signwise", 400)
        };
        let first = request(view, &caller).addresses.remove(0);
        *counts.entry(first.address).or_default() += 1;
    }

    assert_eq!(counts.len(), 20, "all instances of the zone are used");
    assert!(counts.values().all(|count| *count < 60), "{counts:?}");
}

#[test]
fn a_busy_instance_gets_less() {
    // Responses that ignored the load would send a few heavy callers, which hash to one instance,
    // back to it whenever their addresses expire: it would stay at its limit while others idle.
    let mut fleet = started_fleet(9);
    let before = request(fleet.members[0].view(), &caller("signwise", 1));
    let busy = before.addresses[0].address;
    for member in &mut fleet.members {
        if member.own_row().caller_address == busy {
            member.set_load(Load {
                streams: 900,
                permille: 950,
            });
        }
    }
    fleet.run(Duration::from_secs(4));

    let after = request(fleet.members[0].view(), &caller("signwise", 1));

    let weight = |answer: &Response| {
        let all: u32 = answer
            .addresses
            .iter()
            .map(|address| u32::from(address.weight))
            .sum();
        let own = answer
            .addresses
            .iter()
            .find(|address| address.address == busy);
        f64::from(own.map_or(0, |address| address.weight)) / f64::from(all)
    };
    assert!(
        weight(&before) > 0.4 && weight(&after) < 0.15,
        "{} {}",
        weight(&before),
        weight(&after)
    );
}

#[test]
fn the_loss_of_a_zone_leaves_full_answers() {
    // All instances of the caller's zone stop; its callers must still get a full set of addresses.
    let mut fleet = started_fleet(9);
    for index in [0, 3, 6] {
        fleet.stopped[index] = true;
    }
    fleet.run(Duration::from_secs(10));

    let answer = request(fleet.members[1].view(), &caller("signwise", 1));

    assert_eq!(answer.addresses.len(), 4);
    assert!(
        answer
            .addresses
            .iter()
            .all(|address| &*address.zone != "a" && address.weight == 100)
    );
}

#[test]
fn an_instance_that_leaves_is_not_named_once_it_is_known() {
    // Members drain, lapse or are listed as leaving while others send heartbeats; callers must not
    // be sent to an instance that shuts down.
    let config = Config {
        cases: 40,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let kinds = prop::collection::vec(0u8..4, 8);
    let checked = runner.run(&kinds, |kinds| {
        let mut fleet = started_fleet(9);
        let mut leaving = Vec::new();
        for (index, kind) in (1..).zip(kinds) {
            let now = fleet.now;
            match kind {
                1 => fleet.members[index].set_state(now, State::Draining),
                2 => fleet.stopped[index] = true,
                3 => fleet.apply_instance_list(&[listing(
                    &instance(index),
                    Role::Entry,
                    Listed::Leaving,
                )]),
                _ => continue,
            }
            leaving.push(fleet.members[index].own_row().caller_address);
        }
        fleet.run(Duration::from_secs(10));
        for account in ["signwise", "reef", "brolga"] {
            let answer = request(fleet.members[0].view(), &caller(account, 200));
            prop_assert!(!answer.addresses.is_empty());
            let is_listed = |address: &std::net::SocketAddr| {
                answer
                    .addresses
                    .iter()
                    .any(|known| known.address == *address)
            };
            prop_assert!(!leaving.iter().any(is_listed));
        }
        Ok(())
    });
    checked.unwrap();
}

#[test]
fn a_wrong_suspicion_of_all_does_not_empty_the_answer() {
    let mut fleet = started_fleet(3);
    let list: Vec<_> = (0..3)
        .map(|index| listing(&instance(index), Role::Entry, Listed::Leaving))
        .collect();
    fleet.apply_instance_list(&list);

    let answer = request(fleet.members[0].view(), &caller("signwise", 1));

    assert!(!answer.addresses.is_empty());
}
