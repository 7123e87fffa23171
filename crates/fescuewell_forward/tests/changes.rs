//! Changes of the configuration that instances exchange.

use std::sync::Arc;
use std::time::Duration;

use fescuewell_forward::config::{
    Account, Change, Configuration, History, Kind, Lag, Limits, Route, Service, Split,
};
use fescuewell_forward::message::{Key, Message};
use proptest::prelude::*;

/// Maximum size of a message in bytes.
const MAX_MESSAGE_BYTES: usize = 1_400;
/// Bandwidth of an instance for control traffic in bytes per second.
const CONTROL_BYTES_S: f64 = 4_096.0;
/// Changes of the configuration per second at the size that the fleet is built for: 40,000 a day.
const CHANGES_PER_S: f64 = 40_000.0 / 86_400.0;
/// How often a change is sent.
const SENDS: f64 = 3.0;

fn route(name: &str, timeout_ms: u64) -> Arc<Route> {
    Arc::new(Route {
        name: name.into(),
        host: "host.example".into(),
        prefix: format!("/{name}/").into(),
        kind: Kind::Safe,
        timeout: Duration::from_millis(timeout_ms),
        target_latency: Duration::from_millis(100),
        priority: 0,
        splits: vec![Split {
            service: "pool".into(),
            weight: 1,
        }],
        max_attempts: 2,
        public: false,
        sticky: false,
        target_gap: Duration::ZERO,
    })
}

fn account(name: &str, prepaid: u64) -> Arc<Account> {
    Arc::new(Account {
        name: name.into(),
        keys: vec![format!("key-of-{name}").into()],
        priority: None,
        prepaid: Some(prepaid),
    })
}

fn service(name: &str, max_connections: usize) -> Service {
    Service {
        name: name.into(),
        max_connections,
        engine: None,
        warmup: None,
    }
}

fn configuration(version: u64, routes: usize, accounts: usize) -> Configuration {
    let routes = (0..routes).map(|number| route(&format!("r-{number}"), 1_000));
    let accounts = (0..accounts).map(|number| account(&format!("a-{number}"), 1_000));
    let mut configuration = Configuration {
        version,
        routes: routes.collect(),
        services: vec![service("pool", 100)],
        accounts: accounts.collect(),
        limits: None,
    };
    configuration.normalize();
    configuration
}

fn sealed_bytes(change: Change) -> usize {
    let key = Key::new([7; 32]);
    key.seal(&Message::Configuration(change)).len()
}

/// Guards against a change that costs each instance the whole configuration: with 22,000 accounts it
/// takes seconds of a narrow link.
#[test]
fn a_change_costs_the_same_in_a_configuration_of_any_size() {
    let mut sizes = Vec::new();
    for (routes, accounts) in [(10, 10), (1_650, 24), (2_000, 22_000)] {
        let before = configuration(1, routes, accounts);
        let mut topped_up = configuration(2, routes, accounts);
        let name = topped_up.accounts[3].name.clone();
        topped_up.accounts[3] = account(&name, 2_000);
        topped_up.routes.push(route("added", 500));
        topped_up.normalize();

        let change = Change::between(&before, &topped_up).unwrap();

        assert_eq!(change.apply(&before), Some(topped_up));
        sizes.push(sealed_bytes(change));
    }

    let largest = *sizes.iter().max().unwrap();
    assert!(largest < MAX_MESSAGE_BYTES, "{sizes:?}");
    let bytes_s = largest as f64 * SENDS * CHANGES_PER_S;
    // An instance receives each message from both readers of its availability zone.
    assert!(bytes_s * 2.0 < CONTROL_BYTES_S / 4.0, "{bytes_s} bytes/s");
}

/// Guards against a change that is applied to a configuration with the same version and other content.
#[test]
fn a_change_of_another_configuration_is_not_applied() {
    let before = configuration(1, 10, 10);
    let after = configuration(2, 11, 10);
    let other = configuration(1, 9, 10);

    let change = Change::between(&before, &after).unwrap();

    assert_eq!(change.apply(&other), None);
    assert_eq!(change.apply(&after), None);
}

/// Guards against a whole configuration for each change, because the operator lists the same items in
/// another order each time.
#[test]
fn the_order_of_items_is_no_change() {
    let before = configuration(1, 30, 30);
    let mut after = configuration(2, 30, 30);
    after.routes.reverse();
    after.accounts.swap(3, 20);
    after.normalize();

    let change = Change::between(&before, &after).unwrap();

    assert!(change.routes.changed.is_empty() && change.accounts.changed.is_empty());
}

#[test]
fn an_item_that_is_listed_twice_is_no_change() {
    let before = configuration(1, 3, 0);
    let mut after = configuration(2, 3, 0);
    after.routes.push(route("r-1", 5));
    after.normalize();

    assert_eq!(Change::between(&before, &after), None);
}

#[test]
fn a_history_returns_what_follows_a_version() {
    let versions = [
        configuration(1, 1, 0),
        configuration(4, 2, 0),
        configuration(6, 3, 0),
    ];
    let mut history = History::default();
    for pair in versions.windows(2) {
        history.push(Change::between(&pair[0], &pair[1]).unwrap());
    }

    let changes = history.since(1).unwrap();

    let result = changes
        .iter()
        .try_fold(versions[0].clone(), |before, change| change.apply(&before));
    assert_eq!(result.as_ref(), Some(&versions[2]));
    assert_eq!(history.since(4).unwrap().len(), 1);
    assert_eq!(history.since(2), None);
}

/// Guards against a history that grows with each change of a large fleet.
#[test]
fn a_history_is_bounded() {
    let mut history = History::default();
    let mut before = configuration(1, 0, 0);
    for version in 2..200 {
        let after = configuration(version, 0, version as usize * 40);
        history.push(Change::between(&before, &after).unwrap());
        before = after;
    }

    let oldest = (1..200).find_map(|version| history.since(version));

    let items: usize = oldest
        .unwrap()
        .iter()
        .map(|change| change.accounts.changed.len())
        .sum();
    assert!(items <= 4_096, "{items}");
}

/// Guards against a change that is sent repeatedly without a limit.
#[test]
fn a_change_is_sent_again_twice() {
    let mut history = History::default();
    let change = Change::between(&configuration(1, 1, 0), &configuration(2, 2, 0));
    history.push(change.unwrap());

    let repeats = (0..10).filter_map(|_| history.take_repeat()).count();

    assert_eq!(repeats, 2);
}

#[test]
fn the_lag_begins_with_the_first_report_of_a_newer_version() {
    let mut lag = Lag::default();
    lag.apply(4);
    lag.report(4, 100);
    assert!(!lag.is_behind());

    lag.report(6, 1_000);
    lag.report(9, 2_000);
    lag.report(5, 3_000);
    let before = lag.behind_ms(3_500);
    lag.apply(6);
    let between = lag.behind_ms(3_500);
    lag.apply(9);

    assert_eq!((before, between, lag.behind_ms(3_500)), (2_500, 2_500, 0));
}

/// Some of the items of a configuration, each in one of three states.
fn any_configuration(version: u64) -> impl Strategy<Value = Configuration> {
    let states = prop::collection::vec(0..4_u64, 12);
    (states, any::<bool>()).prop_map(move |(states, is_limited)| {
        let chosen = |first: usize| {
            let range = states[first..first + 4].iter().enumerate();
            range.filter(|(_, state)| **state > 0)
        };
        let named = |number: usize| format!("n-{number}");
        Configuration {
            version,
            routes: chosen(0)
                .map(|(number, state)| route(&named(number), *state))
                .collect(),
            services: chosen(4)
                .map(|(number, state)| service(&named(number), *state as usize))
                .collect(),
            accounts: chosen(8)
                .map(|(number, state)| account(&named(number), *state))
                .collect(),
            limits: is_limited.then_some(Limits {
                head_bytes: 1,
                body_bytes: 2,
                head_timeout: Duration::from_secs(3),
                idle_timeout: Duration::from_secs(4),
            }),
        }
    })
}

proptest! {
    /// Guards against a configuration that an instance puts together wrongly: a key that was taken
    /// away would stay valid there.
    #[test]
    fn applying_a_change_gives_exactly_the_later_configuration(
        before in any_configuration(1),
        after in any_configuration(2),
    ) {
        if let Some(change) = Change::between(&before, &after) {
            prop_assert_eq!(change.apply(&before), Some(after));
        }
    }
}
