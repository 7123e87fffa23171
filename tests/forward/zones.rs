//! Evacuated availability zones and cold backend servers, through the whole path.

use fescuewell::standin::sample;
use serde_json::json;

use crate::fixture::{Fixture, Request};

/// Row by which the operator evacuates the sample's availability zone.
const EVACUATION: &str = "evacuate/a";

fn safe(id: &str) -> Request {
    Request::new("GET /safe/x", id)
}

/// Symptom: requests reached servers of a zone that had been evacuated, 470 of them later than the bound. Sequence: the operator writes
/// the order; nothing else happens. Cause: the instance did not read it.
#[test]
fn an_evacuated_zone_gets_no_request_until_it_is_taken_back() {
    let fixture = Fixture::ready(1, 1_000_000);

    fixture.store.put("op", "", EVACUATION, b"{}");
    fixture.wait_server("i-0", false);
    let refused = fixture.send(&safe("r-1"));
    fixture.store.remove("op", "", EVACUATION);
    fixture.wait_server("i-0", true);
    let answered = fixture.send(&safe("r-2"));

    assert_eq!(refused.status, 503);
    assert!(refused.header("retry-after").is_some());
    assert_eq!(fixture.runs("r-1"), 0);
    assert_eq!(answered.status, 200);
}

/// Symptom looked for: an instance that starts during an evacuation sends to the zone until the next change.
#[test]
fn an_evacuation_outlives_a_restart() {
    let mut fixture = Fixture::ready(1, 1_000_000);
    fixture.store.put("op", "", EVACUATION, b"{}");
    fixture.wait_server("i-0", false);

    fixture.kill();
    fixture.start();
    fixture.wait_listed("i-0");

    assert_eq!(fixture.send(&safe("r-1")).status, 503);
    assert_eq!(fixture.runs("r-1"), 0);
}

/// Symptom looked for: requests that cannot be served wait for tokens first. With all zones evacuated the answer is known at once.
#[test]
fn a_request_without_any_server_is_refused_before_it_waits_for_tokens() {
    let fixture = Fixture::ready(1, 10_000);
    fixture.store.put("op", "", EVACUATION, b"{}");
    fixture.wait_server("i-0", false);

    let request = Request::new("POST /stream/x", "r-1").with_tokens(900_000, 100);
    let answer = fixture.send(&request.with_body(b""));

    assert_eq!(answer.status, 503);
    assert_eq!(fixture.consumed(), 0);
}

/// Symptom: a server that had just started fell over under the requests of all instances. Cause: what it said of being cold was
/// thrown away.
#[test]
fn a_cold_server_gets_few_requests_at_a_time() {
    let fixture = Fixture::platform(1, 1_000_000);
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
    // Only an instance that callers are sent to introduces cold servers.
    fixture.wait_named();

    let first = fixture.send(&safe("r-1"));
    let second = fixture.send(&safe("r-2"));

    assert_eq!(first.status, 200);
    assert_eq!(second.status, 503);
    assert!(second.header("retry-after").is_some());
    assert_eq!(fixture.runs("r-2"), 0);
}
