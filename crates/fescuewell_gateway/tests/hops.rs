//! Calls by which instances ask each other to send requests to backend servers, over loopback.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;

use bytes::Bytes;
use common::{INSTANCE, MemoryStore, instance, settings};
use fescuewell_forward::hop::{Call, Forward, Server, Task, Timeouts as Limits};
use fescuewell_forward::message::Key;
use fescuewell_forward::server::{Change, Entry, State, Update};
use fescuewell_gateway::gateway::{Gateway, Stage};
use fescuewell_gateway::peer::PeerHandler;
use fescuewell_http::listener::{Handler, Listener, Reply, Request, Settings};
use fescuewell_http::upstream::{self, Client, Error, Target, Timeouts};
use http::{HeaderMap, StatusCode};

/// The store's clock at the instance, in milliseconds.
const STORE_MS: u64 = 1_000_000;

fn key() -> Key {
    Key::new([7; 32])
}

/// A backend server that counts nothing and answers everything.
struct Answering;

impl Handler for Answering {
    fn handle(&self, _: Request, reply: Reply) {
        reply.send(StatusCode::OK, HeaderMap::new(), Bytes::from("answer"));
    }
}

/// A backend server that runs everything and breaks off without a response.
struct Aborting;

impl Handler for Aborting {
    fn handle(&self, _: Request, reply: Reply) {
        reply.abort();
    }
}

/// Starts a backend server that sends a late response to another request before each response.
fn start_copying() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut buffer = [0; 1_024];
        while stream.read(&mut buffer).is_ok_and(|count| count > 0) {
            let response = "HTTP/1.1 503 Full\r\nx-unused: other\r\nContent-Length: 0\r\n\r\n\
                            HTTP/1.1 200 OK\r\nx-unused: r\r\nContent-Length: 6\r\n\r\nanswer";
            stream.write_all(response.as_bytes()).unwrap();
        }
    });
    address
}

fn listen(handler: Arc<dyn Handler>) -> Listener {
    Listener::start(Settings::new("127.0.0.1:0".parse().unwrap()), handler).unwrap()
}

/// An instance that lists one backend server.
struct Fixture {
    gateway: Arc<Gateway>,
    listener: Listener,
    server: Listener,
}

impl Fixture {
    fn start() -> Self {
        Self::with_server(Arc::new(Answering))
    }

    fn with_server(handler: Arc<dyn Handler>) -> Self {
        let store = MemoryStore::new(0);
        let (gateway, _control) = instance(settings(INSTANCE), &store, 1);
        let server = listen(handler);
        gateway.set_fleet_key(key(), 0);
        gateway.advance(Stage::Ready);
        {
            let now_ms = gateway.now_ms();
            let mut state = gateway.state();
            state.quota.observe_clock(STORE_MS, now_ms);
            let row = Update {
                id: "one".into(),
                version: 1,
                change: Change::Entry(entry(&server)),
            };
            state.registry.apply_snapshot(1, vec![row], 0);
        }
        let listener = listen(Arc::new(PeerHandler::new(gateway.clone())));
        Self {
            gateway,
            listener,
            server,
        }
    }

    fn call(&self, nonce: u64) -> Call {
        let entry = entry(&self.server);
        let forward = Forward {
            server: Server {
                id: entry.id.clone(),
                incarnation: entry.incarnation(),
            },
            timeouts: Limits {
                connect_ms: 300,
                first_byte_ms: 5_000,
                progress_ms: 5_000,
                left_ms: 5_000,
            },
            request: "r".into(),
            method: "POST".into(),
            target: "/unsafe/x".into(),
            headers: vec![("host".into(), b"desk.example".to_vec())],
            body: b"booking".to_vec(),
        };
        Call::new(Task::Forward(Box::new(forward)), nonce, STORE_MS)
    }

    /// Sends a body; returns the result that the response names, and its content.
    fn post(&self, body: Vec<u8>) -> (Option<String>, Bytes) {
        self.try_post(body).unwrap()
    }

    fn try_post(&self, body: Vec<u8>) -> Result<(Option<String>, Bytes), Error> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .unwrap();
        runtime.block_on(async {
            let client = Client::new(upstream::Settings::default());
            let request = http::Request::post("/hop").body(Bytes::from(body)).unwrap();
            let target = Target::new(self.listener.address());
            let exchange = client.open(&target, request, Timeouts::default());
            let exchange = exchange.await?;
            let result = exchange.headers.get("fescuewell-hop");
            let result = result.map(|value| value.to_str().unwrap().to_owned());
            Ok((result, exchange.collect(1_000).await?))
        })
    }

    fn result(&self, call: &Call) -> Option<String> {
        self.post(key().seal_content(call)).0
    }
}

fn entry(server: &Listener) -> Entry {
    Entry {
        id: "one".into(),
        started_at_ms: Some(5),
        service: "pool".into(),
        address: server.address(),
        zone: "a".into(),
        slots: 8,
        cold_left_ms: 0,
        version: None,
        state: State::Ready,
    }
}

#[test]
fn a_call_is_carried_out_and_its_response_passed_back() {
    let fixture = Fixture::start();

    let (result, body) = fixture.post(key().seal_content(&fixture.call(1)));

    assert_eq!(
        (result.as_deref(), &body[..]),
        (Some("sent"), &b"answer"[..])
    );
}

/// Guards against a request of another instance that is reported as rejected because the rejection of
/// another request arrives late.
#[test]
fn a_late_response_to_another_request_is_not_passed_back() {
    let fixture = Fixture::start();
    let mut entry = entry(&fixture.server);
    entry.address = start_copying();
    let row = Update {
        id: "one".into(),
        version: 2,
        change: Change::Entry(entry),
    };
    let mut state = fixture.gateway.state();
    state.registry.apply_snapshot(2, vec![row], 0);
    drop(state);
    let mut call = fixture.call(1);
    if let Task::Forward(forward) = &mut call.task {
        forward.headers.push(("x-unused".into(), b"r".to_vec()));
    }

    let (result, body) = fixture.post(key().seal_content(&call));

    assert_eq!(
        (result.as_deref(), &body[..]),
        (Some("sent"), &b"answer"[..])
    );
}

/// Guards against an unsafe request that runs twice because the instance that sent it took a server's
/// broken connection for a request that was not sent.
#[test]
fn a_request_whose_server_breaks_off_is_not_reported_as_not_sent() {
    let fixture = Fixture::with_server(Arc::new(Aborting));

    let response = fixture.try_post(key().seal_content(&fixture.call(1)));

    assert!(
        matches!(response, Err(Error::Unknown { .. })),
        "{response:?}"
    );
}

/// Guards against a request that runs again because its call was recorded and is sent again.
#[test]
fn a_recorded_call_is_not_carried_out_again() {
    let fixture = Fixture::start();
    let call = fixture.call(1);

    assert_eq!(fixture.result(&call).as_deref(), Some("sent"));
    assert_eq!(fixture.result(&call).as_deref(), Some("malformed"));
}

/// Guards against requests to backend servers by anyone who reaches the port.
#[test]
fn a_call_without_the_fleet_key_is_not_carried_out() {
    let fixture = Fixture::start();
    let forged = Key::new([8; 32]).seal_content(&fixture.call(1));

    assert_eq!(fixture.post(forged).0.as_deref(), Some("malformed"));
    assert_eq!(fixture.post(vec![0; 40]).0.as_deref(), Some("malformed"));
}

/// Guards against a request for a server that has restarted, or whose address another server has now.
#[test]
fn a_call_for_another_incarnation_is_not_carried_out() {
    let fixture = Fixture::start();
    let mut call = fixture.call(1);
    if let Task::Forward(forward) = &mut call.task {
        let mut other = entry(&fixture.server);
        other.started_at_ms = Some(6);
        forward.server.incarnation = other.incarnation();
    }

    assert_eq!(fixture.result(&call).as_deref(), Some("unknown-server"));
}

/// Guards against requests that are passed on twice, between instances that are all cut.
#[test]
fn an_instance_without_a_path_sends_nothing_for_others() {
    let fixture = Fixture::start();
    {
        let mut state = fixture.gateway.state();
        let lost = fescuewell_forward::path::Check {
            is_reached: false,
            is_reached_by_other: true,
        };
        state.path.end_check(lost, 0);
    }

    assert_eq!(fixture.result(&fixture.call(1)).as_deref(), Some("no-path"));
}

/// Guards against a stopping instance that takes on work of others.
#[test]
fn a_draining_instance_sends_nothing_for_others() {
    let fixture = Fixture::start();
    fixture.gateway.advance(Stage::Draining);

    assert_eq!(
        fixture.result(&fixture.call(1)).as_deref(),
        Some("not-ready")
    );
}

/// Guards against callers of an instance that are pushed out by the requests of another one.
#[test]
fn an_instance_at_its_limits_sends_nothing_for_others() {
    let fixture = Fixture::start();
    let now_ms = fixture.gateway.now_ms();
    {
        let mut state = fixture.gateway.state();
        let requests = state.admission.limit().requests as usize;
        for _ in 0..requests {
            state.admission.admit(now_ms, 0);
        }
    }

    assert_eq!(fixture.result(&fixture.call(1)).as_deref(), Some("busy"));
}
