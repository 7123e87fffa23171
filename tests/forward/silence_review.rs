//! Tests of the end of streams whose servers are silent, and of the answers of their second servers.

use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use fescuewell::standin::worker::{Behaviour, EVENTS, Worker, wait_until};
use serde_json::{Value, json};

use crate::fixture::{Fixture, Request, Response, configuration, send};
use crate::wire;

/// Prepaid tokens of the client account; more than any test uses.
const PREPAID: u64 = 1_000_000;
/// When the last of some streams whose deadline passes after 2.5 s has ended also on a busy machine.
const LATEST_END: Duration = Duration::from_secs(10);

fn stream(id: &str) -> Request {
    Request::new("POST /stream/x", id)
        .with_tokens(10, 100)
        .with_body(b"prompt")
}

/// A configuration whose routes have this gap objective and a short target latency.
fn with_gap(gap: Value) -> Value {
    let mut configuration = configuration(1, PREPAID);
    for route in configuration["routes"].as_array_mut().unwrap() {
        route["gapAimMs"] = gap.clone();
        route["targetLatencyMs"] = json!(200);
    }
    configuration
}

fn instance(workers: usize, gap: Value) -> Fixture {
    let mut fixture = Fixture::without_instance(workers, PREPAID);
    fixture.configure(&with_gap(gap));
    fixture.start();
    fixture.wait_ready();
    fixture
}

/// Sends a request from a thread of its own.
fn spawn(fixture: &Fixture, request: Request) -> JoinHandle<Option<Response>> {
    let front = fixture.front;
    std::thread::spawn(move || send(front, &request))
}

/// Guards against streams that go on after their callers' deadline, and an instance that is busy with waiting,
/// because the timers of the requests and of their exchanges elapse together.
#[test]
fn streams_end_at_the_deadline_while_their_servers_are_silent() {
    let fixture = instance(4, json!(200));
    for worker in &fixture.workers {
        worker.next(&[Behaviour::Pause(2); 200]);
    }
    let begun = Instant::now();
    let streams: Vec<_> = (0..200)
        .map(|number| stream(&format!("r-{number}")).with(wire::DEADLINE, "2500"))
        .map(|request| spawn(&fixture, request))
        .collect();

    for response in streams {
        let response = response.join().unwrap().expect("no response");
        assert!(!response.is_complete || response.status != 200);
    }
    let took = begun.elapsed();
    assert!(took < LATEST_END, "the last stream ended after {took:?}");
}

/// Guards against an instance that is busy with waiting for a server because the route has no gap objective.
#[test]
fn a_silent_server_costs_no_work_on_a_route_without_a_gap_objective() {
    let fixture = instance(1, json!(0));
    fixture.workers[0].next(&[Behaviour::Pause(2)]);

    let response = spawn(&fixture, stream("r-1"));
    assert!(wait_until(|| fixture.runs("r-1") == 1));
    std::thread::sleep(Duration::from_secs(1));
    let decisions = fixture.silent_decisions();
    fixture.workers[0].release();

    let response = response.join().unwrap().expect("no response");
    assert_eq!(response.events(), (1..=EVENTS).collect::<Vec<u64>>());
    assert!(decisions <= 2, "{decisions} decisions within a second");
}

/// Guards against a stream that loses its server because the second one answers with an error.
#[test]
fn a_stream_goes_on_at_its_server_when_the_second_one_answers_with_an_error() {
    for error in [Behaviour::Deny, Behaviour::Fail] {
        let fixture = instance(2, json!(200));
        for worker in &fixture.workers {
            worker.next(&[Behaviour::Pause(2)]);
        }
        let response = spawn(&fixture, stream("r-1"));
        assert!(wait_until(|| fixture.runs("r-1") == 1));
        for worker in &fixture.workers {
            worker.clear_next();
            worker.next(&[error]);
        }
        assert!(
            wait_until(|| fixture.runs("r-1") == 2),
            "no second server was asked"
        );
        let has_failed = || fixture.metrics().contains("outcome=\"failed\"");
        assert!(wait_until(has_failed), "the second server did not answer");
        fixture.workers.iter().for_each(Worker::release);

        let response = response.join().unwrap().expect("no response");

        assert_eq!(response.events(), (1..=EVENTS).collect::<Vec<u64>>());
        assert!(response.is_complete, "{error:?}");
    }
}
