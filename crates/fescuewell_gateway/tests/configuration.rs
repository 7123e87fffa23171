//! How a change of the configuration reaches an instance whose link is full.

mod common;

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use common::{Behaviour, MemoryStore, instance, settings};
use fescuewell_forward::config::{Configuration, Kind, Route, Split};
use fescuewell_forward::directory::Member;
use fescuewell_forward::message::{Key, Message};
use fescuewell_forward::snapshot::Subject;
use fescuewell_gateway::control::Control;
use fescuewell_gateway::gateway::Gateway;
use fescuewell_gateway::snapshot::SnapshotHandler;
use fescuewell_http::listener::{Handler, Listener, Reply, Request, Settings};
use http::{HeaderMap, StatusCode};
use socket2::{Domain, Socket, Type};

const ZONE: &str = "zone-0";
const READER: &str = "reader";
const FOLLOWER: &str = "follower";
/// Time that a change may take.
const LIMIT: Duration = Duration::from_secs(20);

/// A loopback address that is free for datagrams and reserved for a listener. A port that was only looked up
/// could be assigned to a connection of another test before the listener is started.
struct Reserved {
    address: SocketAddr,
    _socket: Socket,
}

impl Reserved {
    fn new() -> Self {
        loop {
            let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
            socket.set_reuse_address(true).unwrap();
            socket
                .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
                .unwrap();
            let address = socket.local_addr().unwrap().as_socket().unwrap();
            if UdpSocket::bind(address).is_ok() {
                return Self {
                    address,
                    _socket: socket,
                };
            }
        }
    }
}

fn member(peer: SocketAddr, weight: u32) -> Member {
    Member {
        address: peer,
        peer: Some(peer),
        zone: ZONE.into(),
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

fn route(number: usize) -> Route {
    Route {
        name: format!("r-{number}").into(),
        host: "host".into(),
        prefix: format!("/{number}/").into(),
        kind: Kind::Safe,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_millis(100),
        priority: 0,
        splits: vec![Split {
            service: "pool".into(),
            weight: 1,
        }],
        max_attempts: 2,
        public: true,
        sticky: false,
        target_gap: Duration::ZERO,
    }
}

/// A configuration whose routes are listed in another order in each version.
fn configuration(version: u64, routes: usize) -> Configuration {
    let first = version as usize * 7 % routes;
    let numbers = (first..routes).chain(0..first);
    Configuration {
        version,
        routes: numbers.map(route).map(Arc::new).collect(),
        ..Configuration::default()
    }
}

/// The peer addresses of a zone with a reader and a follower.
struct Zone {
    reader: Reserved,
    follower: Reserved,
}

impl Zone {
    fn new() -> Self {
        Self {
            reader: Reserved::new(),
            follower: Reserved::new(),
        }
    }

    /// Starts an instance with a store of its own that knows all members of the zone.
    fn start(&self, name: &str, peer: SocketAddr, cores: f64) -> Started {
        let store = MemoryStore::new(0);
        store.set_configuration(configuration(1, 400));
        store.insert("key", "fleet", "fleet", vec![7; 32]);
        let nobody: SocketAddr = ([127, 0, 0, 1], 1).into();
        let mut members = vec![
            (READER.to_owned(), member(self.reader.address, 1_000_000)),
            (FOLLOWER.to_owned(), member(self.follower.address, 1)),
        ];
        members.extend((0..8).map(|number| (format!("other-{number}"), member(nobody, 1_000))));
        for (other, member) in members {
            store.insert("member", "fleet", &other, member.encode());
        }
        let mut settings = settings(name);
        settings.zone = ZONE.into();
        settings.cores = cores;
        settings.peer = Some(peer);
        let (gateway, control) = instance(settings, &store, 1);
        Started {
            store,
            gateway,
            control,
        }
    }

    /// Starts both instances.
    fn start_both(&self) -> (Started, Started) {
        (
            self.start(READER, self.reader.address, 1_000.0),
            self.start(FOLLOWER, self.follower.address, 0.1),
        )
    }
}

/// Plays a change at the reader, which the follower's store does not tell. Returns whether the follower
/// acts by it in time.
fn play_change(reader: &Started, follower: &Started) -> bool {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        let play = async {
            wait_version(&reader.gateway, 1).await;
            wait_version(&follower.gateway, 1).await;
            follower.store.set_behaviour(Behaviour::Silent);
            reader.store.set_configuration(configuration(2, 401));
            wait_version(&reader.gateway, 2).await;
            wait_version(&follower.gateway, 2).await;
        };
        tokio::select! {
            () = reader.control.clone().run() => unreachable!("the control tasks run until the process ends"),
            () = follower.control.clone().run() => unreachable!("the control tasks run until the process ends"),
            () = play => true,
            () = tokio::time::sleep(LIMIT) => false,
        }
    })
}

/// A reader of an earlier program version: it cannot read a request for changes.
struct EarlierReader(SnapshotHandler);

impl Handler for EarlierReader {
    fn handle(&self, request: Request, reply: Reply) {
        let wanted = Key::new([7; 32]).open(&request.body);
        let is_known = matches!(
            wanted,
            Some(Message::SnapshotWanted(wanted)) if !matches!(wanted.subject, Subject::ConfigurationAfter(_))
        );
        match is_known {
            true => self.0.handle(request, reply),
            false => reply.send(StatusCode::NOT_FOUND, HeaderMap::new(), Bytes::new()),
        }
    }
}

struct Started {
    store: Arc<MemoryStore>,
    gateway: Arc<Gateway>,
    control: Control,
}

async fn wait_version(gateway: &Gateway, version: u64) {
    while gateway
        .table()
        .is_none_or(|table| table.configuration().version < version)
    {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against an old configuration behind a full link, on which no new connection opens in time
/// and only datagrams arrive.
#[test]
fn a_change_reaches_a_follower_that_can_open_no_connection() {
    let zone = Zone::new();
    let (reader, follower) = zone.start_both();

    let is_current = play_change(&reader, &follower);

    assert!(
        is_current,
        "the follower still acts by the old configuration"
    );
    let table = follower.gateway.table().unwrap();
    let mut expected = configuration(2, 401);
    expected.normalize();
    assert_eq!(*table.configuration(), expected);
}

/// Guards against a rolling upgrade in which instances of the new version get no configuration from
/// readers of the earlier one.
#[test]
fn a_follower_copies_the_configuration_of_an_earlier_reader() {
    let zone = Zone::new();
    let (reader, follower) = zone.start_both();
    // The change does not apply to another content of version 1.
    follower.store.set_configuration(configuration(1, 300));
    let handler = EarlierReader(SnapshotHandler::new(reader.gateway.clone()));
    let listener = Listener::start(Settings::new(zone.reader.address), Arc::new(handler)).unwrap();

    let is_current = play_change(&reader, &follower);

    drop(listener);
    assert!(
        is_current,
        "the follower still acts by the old configuration"
    );
}
