//! Evacuation of availability zones and the return of their servers.

use std::sync::Arc;
use std::time::Duration;

use fescuewell_forward::evacuation::{Order, Zones};
use fescuewell_forward::server::{Change, Entry, Registry, State, Update};
use fescuewell_forward::warmup;
use proptest::prelude::*;

const SERVICE: &str = "pool";

fn order(zone: &str, version: u64, is_evacuated: bool) -> Order {
    Order {
        zone: zone.into(),
        version,
        is_evacuated,
    }
}

fn row(id: &str, zone: &str, version: u64, cold_left_ms: u64) -> Update {
    Update {
        id: id.into(),
        version,
        change: Change::Entry(Entry {
            id: id.into(),
            started_at_ms: None,
            service: SERVICE.into(),
            address: "127.0.0.1:1".parse().unwrap(),
            zone: zone.into(),
            slots: 8,
            cold_left_ms,
            version: None,
            state: State::Ready,
        }),
    }
}

/// A registry with one server in each of two zones; their service has a warmup limit.
fn registry() -> Registry {
    let mut registry = Registry::default();
    let limit = warmup::Limit {
        duration: Duration::from_secs(3),
        interval: Duration::from_millis(150),
    };
    registry.set_warmup_limits([(Arc::from(SERVICE), limit)].into_iter());
    registry.apply_snapshot(10, vec![row("one", "a", 8, 0), row("two", "b", 9, 0)], 0);
    registry
}

fn ready(registry: &Registry, now_ms: u64) -> Vec<Arc<str>> {
    let mut ids: Vec<Arc<str>> = registry
        .ready(SERVICE, now_ms)
        .map(|entry| entry.id.clone())
        .collect();
    ids.sort();
    ids
}

/// Guards against an ignored evacuation order: 470 requests reached servers of a zone more than
/// five seconds after its evacuation.
#[test]
fn servers_of_an_evacuated_zone_get_no_work() {
    let mut registry = registry();

    let is_changed = registry.apply_evacuation(order("a", 11, true), 100);

    assert!(is_changed);
    assert_eq!(ready(&registry, 100), ["two".into()]);
    assert!(!registry.is_ready("one", 100));
}

#[test]
fn no_server_is_left_when_all_zones_are_evacuated() {
    let mut registry = registry();

    registry.apply_evacuation(order("a", 11, true), 100);
    registry.apply_evacuation(order("b", 12, true), 100);

    assert!(ready(&registry, 100).is_empty());
}

#[test]
fn a_server_that_appears_in_an_evacuated_zone_gets_no_work() {
    let mut registry = registry();
    registry.apply_evacuation(order("a", 11, true), 100);

    registry.apply(row("new", "a", 12, 0), 200);

    assert_eq!(ready(&registry, 200), ["two".into()]);
}

#[test]
fn a_zone_that_is_taken_back_gets_work_again() {
    let mut registry = registry();
    registry.apply_evacuation(order("a", 11, true), 100);

    let is_changed = registry.apply_evacuation(order("a", 15, false), 5_000);

    assert!(is_changed);
    assert_eq!(ready(&registry, 5_000), ["one".into(), "two".into()]);
}

/// Guards against overloading servers that cooled down during an evacuation: their own reports are
/// read a second after its end, and until then all instances would send to the idle servers.
#[test]
fn servers_of_a_zone_that_is_taken_back_count_as_cold() {
    let mut registry = registry();
    registry.apply_evacuation(order("a", 11, true), 100);

    registry.apply_evacuation(order("a", 15, false), 5_000);

    assert!(registry.is_cold("one", 5_000));
    assert!(registry.is_cold("one", 7_999));
    assert!(!registry.is_cold("one", 8_000));
    assert!(!registry.is_cold("two", 5_000));
}

/// Guards against an evacuation that ends by itself: a snapshot from before the order arrives after
/// the feed has delivered it.
#[test]
fn an_old_reading_ends_no_evacuation() {
    let mut registry = registry();
    registry.apply_evacuation(order("a", 11, true), 100);

    let changes = registry.apply_evacuations(10, Vec::new(), 200);

    assert!(changes.is_empty());
    assert!(!registry.is_ready("one", 200));
}

#[test]
fn a_whole_reading_without_the_order_ends_an_evacuation() {
    let mut registry = registry();
    registry.apply_evacuation(order("a", 11, true), 100);

    let changes = registry.apply_evacuations(20, Vec::new(), 5_000);

    assert_eq!(changes, [order("a", 20, false)]);
    assert!(registry.is_ready("one", 5_000));
}

#[test]
fn an_order_that_comes_again_late_begins_nothing() {
    let mut registry = registry();
    registry.apply_evacuation(order("a", 11, true), 100);
    registry.apply_evacuation(order("a", 15, false), 5_000);

    let is_changed = registry.apply_evacuation(order("a", 11, true), 6_000);

    assert!(!is_changed);
    assert!(registry.is_ready("one", 6_000));
}

#[test]
fn a_server_says_how_long_it_stays_cold() {
    let mut registry = registry();

    registry.apply(row("new", "a", 12, 2_500), 1_000);

    assert!(registry.is_cold("new", 3_499));
    assert!(!registry.is_cold("new", 3_500));
}

#[test]
fn a_server_that_becomes_cold_again_is_news() {
    let registry = registry();

    let is_changed = registry.is_change(&row("one", "a", 12, 3_000), 1_000);

    assert!(is_changed);
}

/// Guards against relaying each heartbeat of a cold server to the whole fleet because the remaining
/// cold time differs.
#[test]
fn the_time_that_runs_off_is_no_news() {
    let mut registry = registry();
    registry.apply(row("new", "a", 12, 3_000), 1_000);

    let heartbeat = registry.is_change(&row("new", "a", 13, 1_800), 2_200);
    let last = registry.is_change(&row("new", "a", 14, 0), 4_600);

    assert!(!heartbeat);
    assert!(!last);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(31), ..ProptestConfig::default() })]

    /// Guards against instances that disagree after they received the same orders in another
    /// sequence or repeatedly.
    #[test]
    fn the_sequence_in_which_orders_are_heard_does_not_matter(
        written in prop::collection::vec(any::<bool>(), 1..12),
        received in prop::collection::vec(any::<prop::sample::Index>(), 0..40),
    ) {
        let orders: Vec<Order> = written
            .iter()
            .enumerate()
            .map(|(at, is_evacuated)| order("a", at as u64 + 1, *is_evacuated))
            .collect();
        let mut zones = Zones::default();
        for at in received {
            zones.apply(at.get(&orders).clone());
        }
        for order in orders.iter().rev() {
            zones.apply(order.clone());
        }
        prop_assert_eq!(zones.is_evacuated("a"), *written.last().unwrap());
    }
}
