//! Tests of evacuated availability zones and of server warm-up, through the whole forwarding path.

use fescuewell::standin::sample;
use serde_json::json;

use crate::fixture::{Fixture, Request};

/// Key of the row that evacuates the availability zone of the sample servers.
const EVACUATION_KEY: &str = "evacuate/a";

fn safe_request(id: &str) -> Request {
    Request::new("GET /safe/x", id)
}

/// Guards against sending requests to servers of an evacuated zone, because the instance does not
/// read the evacuation when nothing else changes: 470 of them were sent later than the time limit.
#[test]
fn an_evacuated_zone_gets_no_request_until_it_is_taken_back() {
    let fixture = Fixture::ready(1, 1_000_000);

    fixture.store.put("op", "", EVACUATION_KEY, b"{}");
    fixture.wait_server("i-0", false);
    let refused = fixture.send(&safe_request("r-1"));
    fixture.store.remove("op", "", EVACUATION_KEY);
    fixture.wait_server("i-0", true);
    let served = fixture.send(&safe_request("r-2"));

    assert_eq!(refused.status, 503);
    assert!(refused.header("retry-after").is_some());
    assert_eq!(fixture.runs("r-1"), 0);
    assert_eq!(served.status, 200);
}

/// Guards against an instance that starts during an evacuation and sends requests to the zone until
/// the next change.
#[test]
fn an_evacuation_outlives_a_restart() {
    let mut fixture = Fixture::ready(1, 1_000_000);
    fixture.store.put("op", "", EVACUATION_KEY, b"{}");
    fixture.wait_server("i-0", false);

    fixture.kill();
    fixture.start();
    fixture.wait_listed("i-0");

    assert_eq!(fixture.send(&safe_request("r-1")).status, 503);
    assert_eq!(fixture.runs("r-1"), 0);
}

/// Guards against waiting for tokens before refusing a request that no server can run because all
/// zones are evacuated.
#[test]
fn a_request_without_any_server_is_refused_before_it_waits_for_tokens() {
    let fixture = Fixture::ready(1, 10_000);
    fixture.store.put("op", "", EVACUATION_KEY, b"{}");
    fixture.wait_server("i-0", false);

    let request = Request::new("POST /stream/x", "r-1").with_tokens(900_000, 100);
    let response = fixture.send(&request.with_body(b""));

    assert_eq!(response.status, 503);
    assert_eq!(fixture.consumed(), 0);
}

/// Guards against overloading a server that has just started with the requests of all instances,
/// because the warm-up time in its entry is ignored.
#[test]
fn a_cold_server_gets_few_requests_at_a_time() {
    let fixture = Fixture::without_instance(1, 1_000_000);
    let mut configuration = sample::configuration(2, 1_000_000);
    configuration["services"][0]["coldStartS"] = json!(600.0);
    configuration["services"][0]["coldPerS"] = json!(0.01);
    fixture.configure(&configuration);
    let mut fixture = fixture;
    let mut entry = sample::entry(fixture.workers[0].address(), "ready");
    entry["coldLeftMs"] = json!(600_000);
    let row = entry.to_string();
    fixture.store.put("servers", "", "i-0", row.as_bytes());
    fixture.start();
    fixture.wait_ready();
    // Only an instance that the directory returns to callers sends requests to cold servers.
    fixture.wait_advertised();

    let first = fixture.send(&safe_request("r-1"));
    let second = fixture.send(&safe_request("r-2"));

    assert_eq!(first.status, 200);
    assert_eq!(second.status, 503);
    assert!(second.header("retry-after").is_some());
    assert_eq!(fixture.runs("r-2"), 0);
}
