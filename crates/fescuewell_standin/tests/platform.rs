//! The store's client against the stand-in, over loopback.

use std::sync::Arc;
use std::time::{Duration, Instant};

use fescuewell_adapter::product::connect;
use fescuewell_core::platform::{Listing, Role, State};
use fescuewell_core::table::{Error, Outcome, Range, Table as _, Transaction};
use fescuewell_core::time::ManualClock;
use fescuewell_platform::{Services, memory};
use fescuewell_standin::platform::{Control, Instances, Platform, Settings, Weights};

fn start(settings: Settings) -> (Platform, Services) {
    let listen = "127.0.0.1:0".parse().unwrap();
    let platform = Platform::start(listen, settings).unwrap();
    let services = connect(&platform.client_settings()).unwrap();
    (platform, services)
}

fn insert(key: &str) -> Transaction {
    Transaction::default()
        .with_compare(key, 0)
        .with_put(key, *b"content")
}

fn control(platform: &Platform, text: &str) {
    let control: Control = serde_json::from_str(text).unwrap();
    platform.control(&control).unwrap();
}

fn listing(name: &str, state: State) -> Listing {
    Listing {
        name: name.into(),
        role: Role::Service,
        address: "127.0.0.1:9000".parse().unwrap(),
        zone: "b".into(),
        state,
    }
}

#[test]
fn transactions_and_reads_go_through_the_store() {
    let (platform, services) = start(Settings::default());
    let table = &services.table;

    let inserted = table.commit(&insert("budget/a")).unwrap();
    let raced = table
        .commit(&insert("budget/a").with_compare("none", 0))
        .unwrap();
    let removed = Transaction::default()
        .with_compare("budget/a", 1)
        .with_delete("budget/a")
        .with_put("budget/ä", *b"")
        .with_put("budget/ä", [0xff, 0x00]);
    let outcome = table.commit(&removed).unwrap();

    assert_eq!(inserted, Outcome::Committed { revision: 1 });
    let Outcome::Conflict { rows } = raced else {
        panic!("{raced:?}")
    };
    assert_eq!(
        (&*rows[0].key, rows[0].revision, rows.len()),
        ("budget/a", 1, 1)
    );
    assert_eq!(outcome, Outcome::Committed { revision: 2 });
    assert_eq!(table.read("budget/a").unwrap(), None);
    let row = table.read("budget/ä").unwrap().unwrap();
    assert_eq!((&*row.value, row.revision), (&[0xff, 0x00][..], 2));
    assert_eq!(platform.content().product(), [row]);
}

#[test]
fn scans_page_through_the_store_as_in_memory() {
    let (_platform, services) = start(Settings::default());
    let direct = memory::Table::default();
    for key in ["a", "b/1", "b/2", "b/3", "c"] {
        services.table.commit(&insert(key)).unwrap();
        direct.commit(&insert(key)).unwrap();
    }
    let mut page = Range::prefix("b/");
    page.limit = 2;
    let mut rest = page.clone();
    rest.after = Some("b/2".into());

    for range in [page, rest, Range::prefix(""), Range::prefix("b/")] {
        let rows = services.table.scan(&range).unwrap();
        assert_eq!(rows, direct.scan(&range).unwrap(), "{range:?}");
        assert!(!rows.is_empty());
    }
}

// Guards against an allowance that is drawn twice, after a write whose reply was lost.
#[test]
fn a_lost_reply_is_unknown_and_took_effect() {
    let (platform, services) = start(Settings::default());
    control(&platform, r#"{"rows": {"lose_replies": 1}}"#);

    let lost = services.table.commit(&insert("a"));

    assert!(matches!(lost, Err(Error::Unknown { .. })), "{lost:?}");
    assert!(services.table.read("a").unwrap().is_some());
}

// Guards against a write that counts as possibly made though its connection was refused.
#[test]
fn a_refused_connection_is_unreachable() {
    let (platform, services) = start(Settings::default());
    platform.stop();

    let refused = services.table.commit(&insert("a"));

    assert!(
        matches!(refused, Err(Error::Unreachable { .. })),
        "{refused:?}"
    );
    assert!(services.objects.get("x").is_err());
    assert!(services.instances.list().is_err());
}

#[test]
fn a_stopped_platform_starts_again_with_what_it_had() {
    let (platform, services) = start(Settings::default());
    services.table.commit(&insert("a")).unwrap();
    let (address, content) = (platform.address(), platform.content().clone());
    platform.stop();

    let again = Platform::start_with(address, Settings::default(), content).unwrap();

    assert_eq!(again.address(), address);
    assert!(services.table.read("a").unwrap().is_some());
}

// Guards against a call that hangs for as long as the store does.
#[test]
fn a_slow_service_is_given_up_and_unknown() {
    let (platform, _) = start(Settings::default());
    let mut settings = platform.client_settings();
    settings = settings.with_timeout(Duration::from_millis(50));
    let services = connect(&settings).unwrap();
    control(&platform, r#"{"rows": {"slow_ms": 400}}"#);

    let slow = services.table.commit(&insert("a"));

    assert!(matches!(slow, Err(Error::Unknown { .. })), "{slow:?}");
}

#[test]
fn the_limit_on_writes_is_busy() {
    let (platform, services) = start(Settings::default());
    let clock = Arc::new(ManualClock::default());
    let fault = platform.content().fault();
    fault.set_writes_per_second(1, clock.clone());

    let first = services.table.commit(&insert("a"));
    let second = services.table.commit(&insert("b"));
    clock.advance(Duration::from_secs(1));
    let third = services.table.commit(&insert("b"));

    assert!(first.is_ok());
    assert_eq!(second, Err(Error::Busy));
    assert!(third.is_ok());
}

#[test]
fn objects_are_stored_under_escaped_names() {
    let (platform, services) = start(Settings::default());

    services.objects.put("../a b", b"content").unwrap();
    services.objects.put("../a b", b"content").unwrap();

    let content = services.objects.get("../a b").unwrap();
    assert_eq!(content.as_deref(), Some(&b"content"[..]));
    assert_eq!(services.objects.get("absent").unwrap(), None);
    assert_eq!(platform.content().objects.names(), [Arc::from("../a b")]);
}

#[test]
fn the_instance_list_follows_control() {
    let (platform, services) = start(Settings::default());
    let put = Instances {
        put: vec![listing("desk-1", State::Live)],
        ..Instances::default()
    };
    let put = Control {
        instances: Some(put),
        ..Control::default()
    };
    platform.control(&put).unwrap();
    let before = services.instances.list().unwrap();
    control(
        &platform,
        r#"{"instances": {"state": {"desk-1": "Leaving"}}}"#,
    );
    let after = services.instances.list().unwrap();

    assert_eq!(before, [listing("desk-1", State::Live)]);
    assert_eq!(after, [listing("desk-1", State::Leaving)]);
    let bad: Control = serde_json::from_str(
        r#"{"instances": {"state": {"desk-2": "Leaving"}, "remove": ["desk-1"]}}"#,
    )
    .unwrap();
    assert!(platform.control(&bad).is_err());
    assert_eq!(services.instances.list().unwrap(), after);
}

#[test]
fn only_the_token_opens_it() {
    let settings = Settings {
        token: Some("secret".into()),
        ..Settings::default()
    };
    let (platform, services) = start(settings);
    let url = format!("http://{}/-/rows-get?table=instances", platform.address());

    let without = services.table.commit(&insert("a"));
    let with = attohttpc::get(url).bearer_auth("secret").send().unwrap();

    assert!(without.is_err());
    assert_eq!(platform.content().product(), []);
    assert_eq!(with.status(), 200);
}

#[test]
fn downloads_share_the_weight_stores_rate() {
    let models = [(Arc::from("m"), 20_000)].into();
    let weights = Weights {
        bytes_per_second: 100_000,
        models,
    };
    let (platform, _) = start(Settings {
        weights,
        ..Settings::default()
    });
    let url = format!("http://{}/weights/m", platform.address());
    let began = Instant::now();

    std::thread::scope(|scope| {
        for _ in 0..2 {
            let download = || attohttpc::get(&url).send().unwrap().bytes().unwrap();
            scope.spawn(move || assert_eq!(download().len(), 20_000));
        }
    });

    // 40,000 bytes at 100,000 a second, less the first chunk, which does not wait. Only a lower bound
    // is asserted: the pauses of a download are never shorter than asked for.
    assert!(began.elapsed() >= Duration::from_millis(300));
    let missing = attohttpc::get(format!("{url}x")).send().unwrap();
    assert_eq!(missing.status(), 404);
}
