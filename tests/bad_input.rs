//! Sends invalid requests to a whole fleet in one process. Each must be refused with its numbered code, spend no
//! tokens, run nothing and leave the fleet able to respond.
//!
//! All invalid requests use the key of the group `handsign`; requests of the group `teinte` check that the fleet
//! still responds.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::OnceLock;

use fescuewell::adapter::product;
use fescuewell::core::code::Code;
use fescuewell::demo::document::{HANDSIGN_KEY, MODEL, TEINTE_KEY};
use fescuewell::demo::fleet::{Fleet, Settings};
use fescuewell::peer::credentials::Authority;
use fescuewell::platform::settings::Secret;
use fescuewell::router::daemon::Router;
use fescuewell::router::settings::{Limits, Settings as RouterSettings, Timing};
use fescuewell::standin::platform::{Platform, Settings as PlatformSettings};
use serde_json::{Value, json};

const CHAT: &str = "/v1/chat/completions";
const STATUS: &str = "/v1/services/desk/status";
/// One byte above a router's default limit for bodies.
const BODY_ABOVE_LIMIT: usize = 4 * 1024 * 1024 + 1;
/// Size of a header above a router's default limit for heads.
const HEAD_ABOVE_LIMIT: usize = 64 * 1024;

/// Returns the fleet that all tests of this file share.
fn fleet() -> &'static Fleet {
    static FLEET: OnceLock<Fleet> = OnceLock::new();
    FLEET.get_or_init(|| {
        let fleet = Fleet::start(&Settings::default()).expect("the fleet should start");
        assert!(fleet.wait_ready(), "a router stopped");
        fleet
    })
}

/// Sends raw bytes, reads until the connection is closed, and returns status and body of the response.
fn exchange(address: SocketAddr, bytes: &[u8]) -> (u16, Value) {
    let mut stream =
        TcpStream::connect(address).expect("the listener should accept the connection");
    stream
        .write_all(bytes)
        .expect("the listener should read the request");
    let mut response = Vec::new();
    stream
        .read_to_end(&mut response)
        .expect("the listener should respond and close the connection");
    let text = String::from_utf8(response).expect("the response should be UTF-8");
    let status = text.split(' ').nth(1).and_then(|word| word.parse().ok());
    let body = text.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    let value = serde_json::from_str(body).unwrap_or_default();
    (
        status.expect("the response should have a status line"),
        value,
    )
}

fn request_head(method: &str, path: &str, headers: &[(&str, &str)], length: usize) -> String {
    let mut text = format!("{method} {path} HTTP/1.1\r\nHost: fleet\r\nConnection: close\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text + &format!("Content-Length: {length}\r\n\r\n")
}

fn bearer(key: &str) -> String {
    format!("Bearer {key}")
}

/// Sends a request with the key of `handsign` to the first router.
fn send(method: &str, path: &str, extra: &[(&str, &str)], body: &str) -> (u16, Value) {
    let key = bearer(HANDSIGN_KEY);
    let headers = [&[("Authorization", key.as_str())], extra].concat();
    let bytes = request_head(method, path, &headers, body.len()) + body;
    exchange(fleet().addresses()[0], bytes.as_bytes())
}

fn chat() -> Value {
    json!({"model": MODEL, "max_tokens": 5, "messages": [{"role": "user", "content": "hello"}]})
}

/// Returns the body of a chat request with one field changed.
fn chat_with(field: &str, value: Value) -> String {
    let mut body = chat();
    body[field] = value;
    body.to_string()
}

/// Asserts that the response is a refusal with this code and that the request had no side effects.
fn assert_refused(response: &(u16, Value), code: Code) {
    let (status, body) = response;
    assert_eq!(body["error"]["code"], code.number(), "{response:?}");
    assert_eq!(body["error"]["run"], "not_run", "{response:?}");
    assert_eq!(*status, code.status(), "{response:?}");
    assert_no_side_effects();
}

/// Asserts that nothing ran, `handsign` spent no tokens and every router responds.
fn assert_no_side_effects() {
    let fleet = fleet();
    for router in &fleet.routers {
        let (status, state) = exchange(
            router.operator_address(),
            request_head("GET", "/v1/state", &[], 0).as_bytes(),
        );
        assert_eq!(status, 200);
        let allowances = state["allowances"]
            .as_array()
            .expect("the state should list allowances");
        let handsign = allowances
            .iter()
            .filter(|allowance| allowance["group"] == "handsign");
        for allowance in handsign {
            for field in ["held", "owed", "spent"] {
                assert_eq!(allowance[field], 0, "{field} of handsign");
            }
        }
        assert_responds(router.address());
    }
    let rows = fleet.platform.content().product();
    let row = rows.iter().find(|row| &*row.key == "budget/handsign");
    let row = row.expect("the group should have a budget row");
    let budget: Value = serde_json::from_slice(&row.value).expect("budget rows should be JSON");
    assert_eq!(budget["spent"], 0, "{budget}");
    for engine in &fleet.engines {
        assert!(engine.counters().runs.is_empty(), "an engine ran a request");
    }
}

/// Asserts that the router responds to a call of the group `teinte`.
fn assert_responds(address: SocketAddr) {
    let key = bearer(TEINTE_KEY);
    let body = r#"{"booking":"1"}"#;
    let bytes = request_head("POST", STATUS, &[("Authorization", &key)], body.len()) + body;
    let (status, response) = exchange(address, bytes.as_bytes());
    assert_eq!(status, 200, "{response}");
}

#[test]
fn wrong_and_missing_keys() {
    let address = fleet().addresses()[0];
    let body = chat().to_string();
    let wrong = request_head(
        "POST",
        CHAT,
        &[("Authorization", "Bearer nobody")],
        body.len(),
    ) + &body;
    let missing = request_head("POST", CHAT, &[], body.len()) + &body;

    assert_refused(&exchange(address, wrong.as_bytes()), Code::Unauthorized);
    assert_refused(&exchange(address, missing.as_bytes()), Code::Unauthorized);
}

#[test]
fn a_callers_key_opens_nothing_at_the_console() {
    let key = bearer(HANDSIGN_KEY);
    let address = fleet().console.address();
    let read = request_head("GET", "/api/document", &[("Authorization", &key)], 0);
    let write = request_head(
        "POST",
        "/api/document?base=1",
        &[("Authorization", &key)],
        2,
    ) + "{}";

    assert_refused(&exchange(address, read.as_bytes()), Code::SignInRequired);
    assert_refused(&exchange(address, write.as_bytes()), Code::SignInRequired);
}

#[test]
fn a_callers_key_opens_nothing_at_the_operators_listener() {
    let platform = Platform::start(loopback(), PlatformSettings::default())
        .expect("the platform stand-in should start");
    let token = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("bad_input_token");
    std::fs::write(&token, "operators-token").expect("the token file should be writable");
    let authority = Authority::new("bad input").expect("the authority should be created");
    let settings = RouterSettings {
        instance: "alone".into(),
        zone: "a".into(),
        listen: loopback(),
        operator_listen: loopback(),
        operator_token: Some(Secret::File(token.to_string_lossy().into())),
        tls: None,
        peers: authority
            .settings("alone", loopback())
            .expect("the certificate should be issued"),
        platform: platform.client_settings(),
        fleet: 1,
        limits: Limits::default(),
        timing: Timing::default(),
    };
    let services = product::connect(&settings.platform).expect("the settings should be valid");
    let router = Router::start(&settings, services).expect("the router should start");
    let get_state = |key: &str| {
        let bytes = request_head("GET", "/v1/state", &[("Authorization", &bearer(key))], 0);
        exchange(router.operator_address(), bytes.as_bytes())
    };

    assert_refused(&get_state(HANDSIGN_KEY), Code::SignInRequired);
    assert_eq!(get_state("operators-token").0, 200);
}

#[test]
fn names_that_the_document_does_not_have() {
    let model = chat_with("model", json!("no-such-model"));
    let kind = [("X-Request-Kind", "no-such-kind")];

    assert_refused(&send("POST", CHAT, &[], &model), Code::UnknownModel);
    assert_refused(
        &send("POST", "/v1/services/bakery/status", &[], "{}"),
        Code::UnknownService,
    );
    assert_refused(
        &send("POST", "/v1/services/desk/burn", &[], "{}"),
        Code::UnknownService,
    );
    assert_refused(
        &send("POST", CHAT, &kind, &chat().to_string()),
        Code::UnknownKind,
    );
    assert_refused(&send("GET", "/no/such/path", &[], ""), Code::NoSuchPath);
}

#[test]
fn bodies_that_are_no_request() {
    let deep = format!("{}{}", "[".repeat(1_000), "]".repeat(1_000));
    let deep_field = format!(r#"{{"model":"{MODEL}","messages":{deep}}}"#);

    assert_refused(
        &send("POST", CHAT, &[], "{\"model\":"),
        Code::MalformedRequest,
    );
    assert_refused(&send("POST", CHAT, &[], "[]"), Code::MalformedRequest);
    assert_refused(&send("POST", CHAT, &[], &deep), Code::TooDeep);
    assert_refused(&send("POST", CHAT, &[], &deep_field), Code::TooDeep);
}

#[test]
fn heads_and_bodies_above_the_limits() {
    let address = fleet().addresses()[0];
    let key = bearer(HANDSIGN_KEY);
    let oversized = request_head("POST", CHAT, &[("Authorization", &key)], BODY_ABOVE_LIMIT);
    let long = "x".repeat(HEAD_ABOVE_LIMIT);

    assert_refused(&exchange(address, oversized.as_bytes()), Code::BodyTooLarge);
    assert_refused(
        &send("GET", CHAT, &[("X-Long", &long)], ""),
        Code::HeadTooLarge,
    );
}

// The caller disconnects in the middle of a head or a body. No response can reach it, and the request must leave
// nothing behind.
#[test]
fn half_a_request_and_then_nothing() {
    let key = bearer(HANDSIGN_KEY);
    let body = chat().to_string();
    let request = request_head("POST", CHAT, &[("Authorization", &key)], body.len()) + &body;
    for length in [10, 60, request.len() - body.len(), request.len() - 1] {
        let mut stream = TcpStream::connect(fleet().addresses()[0])
            .expect("the router should accept the connection");
        stream
            .write_all(&request.as_bytes()[..length])
            .expect("the partial request should be sent");
        drop(stream);

        assert_no_side_effects();
    }
}

#[test]
fn wrong_methods() {
    assert_refused(&send("GET", CHAT, &[], ""), Code::MethodNotAllowed);
    assert_refused(&send("DELETE", STATUS, &[], ""), Code::MethodNotAllowed);
    assert_refused(
        &send("POST", "/v1/models", &[], "{}"),
        Code::MethodNotAllowed,
    );
}

#[test]
fn fields_that_are_not_allowed() {
    let long = "i".repeat(129);
    let ids = ["", "with space", &long];
    for id in ids {
        let headers = [("Idempotency-Key", id)];
        let response = send("POST", CHAT, &headers, &chat().to_string());
        assert_refused(&response, Code::InvalidField);
    }
    let picture = json!([{"role": "user", "content": [
        {"type": "image_url", "image_url": {"url": "http://127.0.0.1:1/picture.png"}},
    ]}]);
    let bodies = [
        chat_with("n", json!(2)),
        chat_with("max_tokens", json!(-1)),
        chat_with("max_tokens", json!(0)),
        chat_with("max_tokens", json!("many")),
        chat_with("messages", json!([])),
        chat_with("messages", picture),
        chat_with("stream", json!("yes")),
    ];
    for body in bodies {
        assert_refused(&send("POST", CHAT, &[], &body), Code::InvalidField);
    }
    let deadline = [("X-Deadline-Ms", "soon")];
    let response = send("POST", CHAT, &deadline, &chat().to_string());
    assert_refused(&response, Code::InvalidField);
}

fn loopback() -> SocketAddr {
    "127.0.0.1:0".parse().expect("the address should parse")
}
