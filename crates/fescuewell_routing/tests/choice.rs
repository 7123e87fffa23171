//! Which servers are eligible, and which one is preferred.

mod common;

use common::*;
use fescuewell_core::prelude::*;
use fescuewell_routing::prelude::*;

#[test]
fn a_model_that_nobody_lists_is_unknown() {
    let mut router = router(3);
    let reach = keys(3);
    let mut query = query(&reach, &[]);
    query.model = Some("other".into());

    let refused = router.choose(at(0), &query);

    assert_eq!(refused, Err(NoChoice::UnknownModel));
}

#[test]
fn only_servers_in_reach_are_chosen() {
    let mut router = router(8);
    let reach = [ServerKey(2), ServerKey(5)];

    for _ in 0..50 {
        let choice = router.choose(at(0), &query(&reach, &[])).unwrap();
        assert!(reach.contains(&choice.server));
    }
}

#[test]
fn a_model_that_is_loaded_nowhere_is_told_apart_from_an_unknown_one() {
    let mut router = router(2);
    let reach = keys(2);
    router.choose(at(0), &query(&reach, &[])).unwrap();
    for server in keys(2) {
        router.set_loaded(server, &[]);
    }

    let none = router.choose(at(0), &query(&reach, &[]));
    router.set_loaded(ServerKey(1), &[MODEL.into()]);
    let one = router.choose(at(0), &query(&reach, &[])).unwrap();

    assert_eq!(none, Err(NoChoice::NotLoaded));
    assert_eq!(one.server, ServerKey(1));
}

#[test]
fn excluded_and_leaving_servers_get_nothing() {
    // Draining must take effect on the next choice. If it waited for the next document, a server
    // that shuts down would get a new request and abort it.
    let mut router = router(2);
    let reach = keys(2);
    router.set_leaving(ServerKey(0), true);
    let mut query = query(&reach, &[]);

    let remaining = router.choose(at(0), &query).unwrap();
    query.exclude = &[ServerKey(1)];
    let none = router.choose(at(0), &query);

    assert_eq!(remaining.server, ServerKey(1));
    assert_eq!(none, Err(NoChoice::NoneLeft));
}

#[test]
fn a_full_fleet_is_busy_and_keeps_a_part_for_urgent_work() {
    let mut router = router(1);
    let reach = keys(1);
    send(&mut router, at(0), ServerKey(0), 0, 29);
    let mut query = query(&reach, &[]);

    let bulk = router.choose(at(0), &query);
    query.urgent = true;
    let urgent = router.choose(at(0), &query);
    send(&mut router, at(0), ServerKey(0), 100, 3);
    let full = router.choose(at(0), &query);

    assert_eq!(bulk, Err(NoChoice::AllBusy));
    assert!(urgent.is_ok());
    assert_eq!(full, Err(NoChoice::AllBusy));
}

#[test]
fn a_server_that_says_busy_is_left_alone_for_a_moment() {
    let mut router = router(1);
    let reach = keys(1);
    send(&mut router, at(0), ServerKey(0), 0, 1);
    router.finished(at(0), ServerKey(0), Ticket(0), Outcome::Busy);

    let at_once = router.choose(at(1), &query(&reach, &[]));
    let later = router.choose(at(1_000), &query(&reach, &[]));

    assert_eq!(at_once, Err(NoChoice::AllBusy));
    assert!(later.is_ok());
}

#[test]
fn the_own_zone_wins_between_equals_and_loses_to_load() {
    let mut router = Router::new(Settings::default(), "zone-a".into(), 7);
    router.set_servers(at(0), &[spec(0, "zone-a"), spec(1, "zone-b")]);
    let reach = keys(2);

    let equal = router.choose(at(0), &query(&reach, &[])).unwrap();
    send(&mut router, at(0), ServerKey(0), 0, 8);
    let loaded = router.choose(at(0), &query(&reach, &[])).unwrap();

    assert_eq!(equal.server, ServerKey(0));
    assert_eq!(loaded.server, ServerKey(1));
}

#[test]
fn a_new_document_keeps_what_is_known_of_servers_that_stay() {
    let mut router = router(2);
    send(&mut router, at(0), ServerKey(0), 0, 4);

    router.set_servers(at(1), &[spec(0, "zone-a")]);

    assert_eq!(router.in_flight(ServerKey(0)), 4);
    assert_eq!(router.in_flight(ServerKey(1)), 0);
    let reach = keys(2);
    let choice = router.choose(at(1), &query(&reach, &[])).unwrap();
    assert_eq!(choice.server, ServerKey(0));
}

#[test]
fn the_reason_is_fit_for_a_log_line() {
    let mut router = router(1);
    let reach = keys(1);

    let choice = router.choose(at(0), &query(&reach, &[])).unwrap();

    let text = choice.reason.to_string();
    assert!(
        text.starts_with("basis=only-one compared=1 hit=0/0"),
        "{text}"
    );
}
