//! Snapshots that instances request from each other, over loopback.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use common::{INSTANCE, MemoryStore, instance, settings};
use fescuewell_forward::config::{Configuration, Table};
use fescuewell_forward::directory::Member;
use fescuewell_forward::message::{Key, Message};
use fescuewell_forward::server::{Change, Entry, State, Update};
use fescuewell_forward::snapshot::{Request, Servers, Snapshot, Subject};
use fescuewell_gateway::gateway::Gateway;
use fescuewell_gateway::snapshot::SnapshotHandler;
use fescuewell_http::listener::{Listener, Settings};
use fescuewell_http::upstream::{self, Client, Target, Timeouts};
use http::StatusCode;

/// Version of the server list at the responding instance.
const VERSION: u64 = 7;

/// The store's clock at the responding instance, in milliseconds.
const STORE_MS: u64 = 1_000_000;

/// Age of a list, in milliseconds, that is certainly not up to date.
const OLD_MS: u64 = 2_500;

fn key() -> Key {
    Key::new([7; 32])
}

fn row(id: &str) -> Update {
    Update {
        id: id.into(),
        version: VERSION,
        change: Change::Entry(Entry {
            id: id.into(),
            started_at_ms: None,
            service: "pool".into(),
            address: "127.0.0.1:1".parse().unwrap(),
            zone: "a".into(),
            slots: 8,
            cold_left_ms: 0,
            version: None,
            state: State::Ready,
        }),
    }
}

/// An instance that knows two servers and a configuration, with its listener.
fn responder() -> (Arc<Gateway>, Listener) {
    responder_with(5)
}

/// The same, with a configuration of some version.
fn responder_with(version: u64) -> (Arc<Gateway>, Listener) {
    let store = MemoryStore::new(0);
    let (gateway, _control) = instance(settings(INSTANCE), &store, 1);
    gateway.set_fleet_key(key(), 0);
    gateway.set_store_up(true);
    gateway.set_table(Table::new(Configuration {
        version,
        ..Configuration::default()
    }));
    {
        let now_ms = gateway.now_ms();
        let mut state = gateway.state();
        state.quota.observe_clock(STORE_MS, now_ms);
        let rows = vec![row("one"), row("two")];
        state.registry.apply_snapshot(VERSION, rows, 0);
        state.cursor.advance(VERSION, now_ms);
    }
    let handler = Arc::new(SnapshotHandler::new(gateway.clone()));
    let listener = Listener::start(Settings::new("127.0.0.1:0".parse().unwrap()), handler);
    (gateway, listener.unwrap())
}

fn member(address: SocketAddr, weight: u32) -> Member {
    Member {
        address,
        peer: Some(address),
        zone: "zone-0".into(),
        weight,
        requests_per_s: 0,
        usage: Vec::new(),
        heartbeat_at_ms: u64::MAX / 2,
        unready_until_ms: 0,
        era: 0,
        knows_grants: true,
        interval_ms: 0,
    }
}

fn post(listener: &Listener, body: Vec<u8>) -> (StatusCode, Bytes) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        let client = Client::new(upstream::Settings::default());
        let request = http::Request::post("/snapshot").body(Bytes::from(body));
        let target = Target::new(listener.address());
        let exchange = client.open(&target, request.unwrap(), Timeouts::default());
        let exchange = exchange.await.unwrap();
        (exchange.status, exchange.collect(1_000_000).await.unwrap())
    })
}

fn wanted(subject: Subject, sent_at_ms: u64) -> Message {
    Message::SnapshotWanted(Request::new(subject, sent_at_ms))
}

#[test]
fn a_request_with_the_fleet_key_gets_the_list_and_the_configuration() {
    let (_gateway, listener) = responder();

    let (_, list) = post(&listener, key().seal(&wanted(Subject::Servers, STORE_MS)));
    let (_, configuration) = post(
        &listener,
        key().seal(&wanted(Subject::Configuration, STORE_MS)),
    );

    let Some(Snapshot::Servers(Servers { version, mut rows })) = key().open_content(&list) else {
        panic!("the response is not a list");
    };
    rows.sort_by(|left, right| left.id.cmp(&right.id));
    assert_eq!((version, rows), (VERSION, vec![row("one"), row("two")]));
    let configuration = key().open_content(&configuration);
    assert!(
        matches!(configuration, Some(Snapshot::Configuration(configuration)) if configuration.version == 5)
    );
}

/// Guards against API keys in a configuration that anyone may read who reaches the port.
#[test]
fn a_request_without_the_fleet_key_gets_nothing() {
    let (_gateway, listener) = responder();

    let (status, body) = post(
        &listener,
        Key::new([8; 32]).seal(&wanted(Subject::Configuration, STORE_MS)),
    );

    assert_ne!(status, StatusCode::OK);
    assert_eq!(key().open_content::<Snapshot>(&body), None);
}

/// Guards against a request that was recorded and is sent again later.
#[test]
fn an_old_request_gets_nothing() {
    let (_gateway, listener) = responder();

    let (status, _) = post(
        &listener,
        key().seal(&wanted(Subject::Configuration, STORE_MS - 60_000)),
    );

    assert_ne!(status, StatusCode::OK);
}

/// Guards against a list of an instance that no longer learns of changes: a server that is draining
/// would get new work. Calls of the store that have nothing to do with the list may still succeed.
#[test]
fn an_instance_whose_list_is_old_gives_no_list() {
    let (gateway, listener) = responder();
    let list = || post(&listener, key().seal(&wanted(Subject::Servers, STORE_MS))).0;
    let is_given = list();

    let until_ms = gateway.now_ms() + OLD_MS;
    while gateway.now_ms() < until_ms {
        std::thread::sleep(Duration::from_millis(20));
    }

    assert_eq!(is_given, StatusCode::OK);
    assert!(gateway.is_store_up());
    assert_ne!(list(), StatusCode::OK);
}

/// Guards against a configuration that stays old: a follower that gets no digests copied it again and
/// again from a reader that was cut off from the store (`CONFIG`, refused with 404 more than three
/// seconds after a newer version).
#[test]
fn without_digests_a_follower_reads_the_configuration_from_the_store() {
    let (_reader, listener) = responder_with(0);
    let store = MemoryStore::new(0);
    for number in 0..2 {
        let reader = member(listener.address(), 1_000);
        store.insert(
            "member",
            "fleet",
            &format!("reader-{number}"),
            reader.encode(),
        );
    }
    for number in 0..8 {
        let other = member(([127, 0, 0, 1], 1 + number).into(), 500);
        store.insert(
            "member",
            "fleet",
            &format!("other-{number}"),
            other.encode(),
        );
    }
    store.insert("key", "fleet", "fleet", key().bytes().to_vec());
    let mut settings = settings(INSTANCE);
    settings.zone = "zone-0".into();
    settings.cores = 0.1;
    let (gateway, control) = instance(settings, &store, 1);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();

    let version = runtime.block_on(async {
        let current = async {
            // The store holds version 1.
            while gateway
                .table()
                .is_none_or(|table| table.configuration().version < 1)
            {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        tokio::select! {
            () = control.run() => unreachable!("the control tasks run until the process ends"),
            () = current => 1,
            () = tokio::time::sleep(Duration::from_secs(60)) => 0,
        }
    });

    assert_eq!(version, 1);
}
