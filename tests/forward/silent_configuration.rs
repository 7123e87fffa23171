//! Tests of configurations that come into force while the server of an open stream is silent.

use std::io::Write;

use fescuewell::standin::worker::{Behaviour, EVENTS, wait_until};
use serde_json::{Value, json};

use crate::fixture::{Fixture, KEY, Request, Response, configuration, read_response};
use crate::wire;

/// Events that the caller has when its server falls silent.
const FORWARDED: u64 = 3;
/// Index of the route of resumable streams in the configuration.
const STREAM_ROUTE: usize = 2;
/// Prepaid tokens of the account, and what one stream holds of them.
const PREPAID: u64 = 1_000;
const TOKENS: (u64, u64) = (900, 60);
/// Objectives long enough that the instance waits for a silent server in all tests.
const OBJECTIVE_MS: u64 = 15_000;

/// Returns the configuration that is in force when the stream begins.
fn before() -> Value {
    let mut document = configuration(1, PREPAID);
    let route = &mut document["routes"][STREAM_ROUTE];
    route["gapAimMs"] = OBJECTIVE_MS.into();
    route["targetLatencyMs"] = OBJECTIVE_MS.into();
    route["timeoutMs"] = OBJECTIVE_MS.into();
    document
}

/// Brings a changed configuration into force while the server of a stream is silent. Returns what the caller gets, and
/// the status of a request that comes under the new configuration.
fn change_during_silence<Change>(change: Change) -> (Fixture, Response, u16)
where
    Change: FnOnce(&mut Value),
{
    let mut fixture = Fixture::without_configuration(1);
    fixture.configure(&before());
    fixture.start();
    fixture.wait_ready();
    fixture.workers[0].next(&[Behaviour::Pause(FORWARDED)]);
    let request = Request::new("POST /stream/x", "r-1")
        .with(wire::DEADLINE, "20000")
        .with_tokens(TOKENS.0, TOKENS.1);
    let mut connection = fixture.connect();
    connection.write_all(&request.bytes()).unwrap();
    let last = format!("id: {FORWARDED}\n");
    let has_last = || {
        let mut received = [0; 4_096];
        let count = connection.peek(&mut received).unwrap();
        String::from_utf8_lossy(&received[..count]).contains(&last)
    };
    assert!(wait_until(has_last), "the stream did not begin");

    let mut after = before();
    after["version"] = 2.into();
    change(&mut after);
    fixture.configure(&after);
    assert!(wait_until(|| fixture.version() == 2));
    let later = Request::new("POST /stream/x", "r-2").with(wire::DEADLINE, "20000");
    let later = fixture.send(&later).status;
    fixture.workers[0].release();

    let response = read_response(&mut connection).unwrap();
    fixture.wait_idle();
    (fixture, response, later)
}

/// Asserts that the caller has the whole stream, of one run.
fn assert_whole(fixture: &Fixture, response: &Response) {
    assert_eq!(response.status, 200);
    assert!(response.is_complete, "{}", response.text());
    assert_eq!(response.events(), (1..=EVENTS).collect::<Vec<u64>>());
    assert_eq!(fixture.runs("r-1"), 1);
}

/// Guards against an idle time that counts the silence of a server as an idle connection of its caller.
#[test]
fn a_shorter_idle_time_ends_no_silent_stream() {
    let (fixture, response, later) = change_during_silence(|document| {
        document["limits"]["idleTimeoutMs"] = 1.into();
        document["limits"]["headerTimeoutMs"] = 1.into();
    });

    assert_whole(&fixture, &response);
    assert_eq!(later, 200);
}

/// Guards against limits of a new configuration that are applied to a request that was accepted before.
#[test]
fn smaller_limits_end_no_silent_stream() {
    let (fixture, response, _) = change_during_silence(|document| {
        document["limits"]["maxHeaderBytes"] = 1.into();
        document["limits"]["maxBodyBytes"] = 1.into();
        document["services"][0]["maxConns"] = 1.into();
    });

    assert_whole(&fixture, &response);
}

/// Guards against a shorter timeout of the route that ends a stream whose time has passed by it.
#[test]
fn a_shorter_timeout_ends_no_silent_stream() {
    let (fixture, response, later) = change_during_silence(|document| {
        document["routes"][STREAM_ROUTE]["timeoutMs"] = 0.into();
    });

    assert_whole(&fixture, &response);
    assert_ne!(later, 200);
}

/// Guards against a shorter gap objective, or fewer attempts, that make a server look stalled in the middle of a gap.
#[test]
fn a_shorter_gap_objective_ends_no_silent_stream() {
    let (fixture, response, later) = change_during_silence(|document| {
        document["routes"][STREAM_ROUTE]["gapAimMs"] = 1.into();
        document["routes"][STREAM_ROUTE]["maxAttempts"] = 1.into();
    });

    assert_whole(&fixture, &response);
    assert_eq!(later, 200);
}

/// Guards against a stream that loses its route when the operator moves it.
#[test]
fn a_moved_route_ends_no_silent_stream() {
    let (fixture, response, later) = change_during_silence(|document| {
        document["routes"][STREAM_ROUTE]["prefix"] = "/moved/".into();
    });

    assert_whole(&fixture, &response);
    assert_eq!(later, 404);
}

/// Guards against a stream that loses its route when the operator removes it.
#[test]
fn a_removed_route_ends_no_silent_stream() {
    let (fixture, response, later) = change_during_silence(|document| {
        let routes = document["routes"].as_array_mut().unwrap();
        routes.remove(STREAM_ROUTE);
    });

    assert_whole(&fixture, &response);
    assert_eq!(later, 404);
}

/// Guards against a stream that loses its server when all weight moves to another service.
#[test]
fn moved_weights_end_no_silent_stream() {
    let (fixture, response, later) = change_during_silence(|document| {
        let mut other = document["services"][0].clone();
        other["name"] = "other".into();
        document["services"].as_array_mut().unwrap().push(other);
        document["routes"][STREAM_ROUTE]["trafficSplit"] =
            json!([{"service": "pool", "weight": 0}, {"service": "other", "weight": 1}]);
    });

    assert_whole(&fixture, &response);
    assert_eq!(later, 503);
}

/// Guards against a stream that is charged twice or refused its tokens when the account's total rises.
#[test]
fn a_raised_total_ends_no_silent_stream() {
    let (fixture, response, later) = change_during_silence(|document| {
        document["tenants"][0]["prepaid"] = (PREPAID * 2).into();
    });

    assert_whole(&fixture, &response);
    assert_eq!(later, 200);
    let engine = &before()["services"][0]["engine"];
    let output = EVENTS * engine["stride"].as_u64().unwrap();
    assert_eq!(fixture.consumed(), TOKENS.0 + output);
    let next = Request::new("POST /stream/x", "r-3").with_tokens(TOKENS.0, TOKENS.1);
    assert_eq!(fixture.send(&next).status, 200);
}

/// Guards against a stream that ends when the key of its caller is replaced.
#[test]
fn a_removed_key_ends_no_silent_stream() {
    let (fixture, response, later) = change_during_silence(|document| {
        document["tenants"][0]["apiKeys"] = json!([format!("{KEY}-next")]);
    });

    assert_whole(&fixture, &response);
    assert_eq!(later, 401);
}
