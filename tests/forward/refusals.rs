//! Tests of refused requests: the status is correct and sent at once, and nothing runs.

use std::io::Write;
use std::sync::Arc;

use fescuewell::gateway::front::Front;
use fescuewell::http::listener::{self, Handler, Head, Listener, Reply};
use fescuewell::standin::sample;
use proptest::prelude::*;

use crate::fixture::{Fixture, Request, any_address, read_response, send};
use crate::wire;

#[test]
fn without_a_configuration_everything_is_refused_for_now_only() {
    let mut fixture = Fixture::without_configuration(1);
    fixture.start();

    let response = fixture.send(&Request::new("GET /safe/x", "r-1").with(wire::KEY, "wrong"));

    assert_eq!(response.status, 503);
    assert!(response.header("retry-after").is_some());
    assert_ne!(fixture.readiness(), 200);
}

#[test]
fn each_kind_of_bad_request_has_its_status_and_runs_nothing() {
    let fixture = Fixture::ready(1, 1_000_000);
    let good = || Request::new("GET /safe/x", "r-1");
    let cases = [
        (good().with(wire::KEY, ""), 401),
        (good().with(wire::KEY, "wrong"), 401),
        (good().with("Host", "other.example"), 404),
        (Request::new("GET /nowhere/x", "r-1"), 404),
        (good().with(wire::REQUEST_ID, ""), 400),
        (good().with("Content-Length", "99999999"), 413),
    ];

    for (request, status) in cases {
        assert_eq!(fixture.send(&request).status, status);
    }

    assert!(fixture.workers[0].runs().is_empty());
    assert_eq!(fixture.consumed(), 0);
}

/// Guards against request smuggling: a server runs a request from the body of another one, whose
/// length is given both by `Content-Length` and by `Transfer-Encoding`, because instance and server
/// use different lengths.
#[test]
fn a_smuggled_request_does_not_run() {
    let fixture = Fixture::ready(1, 1_000_000);
    let smuggled = Request::new("GET /safe/inner", "r-inner").bytes();
    let outer = Request::new("POST /unsafe/x", "r-1")
        .with("Content-Length", "0")
        .with("Transfer-Encoding", "chunked");
    let mut connection = fixture.connect();
    connection.write_all(&outer.bytes()).unwrap();
    connection.write_all(&smuggled).unwrap();

    let response = read_response(&mut connection);

    assert!(response.is_none_or(|response| response.status == 400));
    assert_eq!(fixture.runs("r-inner"), 0);
}

#[test]
fn a_server_at_a_reused_address_does_not_run_the_request() {
    let fixture = Fixture::ready(1, 1_000_000);
    let entry = sample::entry(fixture.workers[0].address(), "ready");
    fixture
        .store
        .put("servers", "", "i-gone", entry.to_string().as_bytes());
    fixture.store.remove("servers", "", "i-0");
    fixture.wait_server("i-gone", true);
    fixture.wait_server_gone("i-0");

    let response = fixture.send(&Request::new("POST /unsafe/x", "r-1").with_body(b""));

    assert_eq!(response.status, 503);
    assert_eq!(fixture.runs("r-1"), 0);
}

/// A listener that skipped a body because no route was known when the head was received.
struct Skipping(Front);

impl Handler for Skipping {
    fn needs_body(&self, _: &Head<'_>) -> bool {
        false
    }

    fn handle(&self, request: listener::Request, reply: Reply) {
        self.0.handle(request, reply);
    }
}

/// Guards against a request that is sent to a server without its body, because a configuration with its route came into
/// force after the body had been skipped.
#[test]
fn a_request_whose_body_was_skipped_is_not_sent_without_it() {
    let fixture = Fixture::ready(1, 1_000_000);
    let gateway = fixture.daemon.as_ref().unwrap().gateway();
    let handler = Arc::new(Skipping(Front::new(gateway.clone())));
    let skipping = Listener::start(listener::Settings::new(any_address()), handler).unwrap();
    let request = Request::new("POST /unsafe/x", "r-1");

    let with_body = send(skipping.address(), &request.clone().with_body(b"hello")).unwrap();
    let without_body = send(skipping.address(), &request.with(wire::REQUEST_ID, "r-2")).unwrap();

    assert_eq!(with_body.status, 503);
    assert!(with_body.header("retry-after").is_some());
    assert_eq!(fixture.runs("r-1"), 0);
    assert_eq!(without_body.status, 200);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(3), ..ProptestConfig::default() })]

    #[test]
    fn any_settings_text_is_read_or_refused(text in "[ -~\n]{0,300}") {
        let _ = fescuewell::adapter::settings::parse(&text, "boot.conf");
    }

    #[test]
    fn any_configuration_text_is_read_or_refused(text in "[ -~]{0,300}") {
        let _ = fescuewell::adapter::config::decode(text.as_bytes());
        let _ = fescuewell::adapter::server::decode("i-1".into(), text.as_bytes());
    }
}
