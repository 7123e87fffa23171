//! Tests of responses: they reach their own caller completely, and unsafe requests run at most
//! once.

use std::io::Write;
use std::time::Duration;

use fescuewell::standin::worker::{Behaviour, EVENTS, Worker, wait_until};

use crate::fixture::{Fixture, GROUP, KEY, Request, configuration, read_response, send};
use crate::server_proxy::ServerProxy;
use crate::wire;

#[test]
fn a_request_arrives_unchanged_and_its_answer_too() {
    let fixture = Fixture::ready(1, 1_000_000);
    let request = Request::new("POST /unsafe/a%20b/?x=1&y=%2F", "r-1")
        .with("X-Own", "kept")
        .with("Connection", "X-Hop")
        .with("X-Hop", "dropped")
        .with_body(b"body");

    let response = fixture.send(&request);

    assert_eq!(response.status, 200);
    assert_eq!(response.text(), "r-1 ran");
    assert_eq!(response.header(wire::SEAL), Some("i-0.r-1"));
    let run = &fixture.workers[0].runs()[0];
    assert_eq!(&*run.target, "POST /unsafe/a%20b/?x=1&y=%2F");
    assert_eq!(&run.body[..], b"body");
    assert_eq!(run.headers["x-own"], "kept");
    assert_eq!(run.headers[wire::ACCOUNT], GROUP);
    assert_eq!(run.headers[wire::EXPECTED_SERVER], "i-0");
    assert!(!run.headers.contains_key("x-hop"));
    assert!(!run.headers.contains_key(wire::KEY));
}

/// Guards against a caller that uses another account's name or memory reservation, because reserved
/// headers of its request are forwarded.
#[test]
fn headers_of_the_system_are_not_taken_from_callers() {
    let fixture = Fixture::ready(1, 1_000_000);
    let request = Request::new("GET /safe/x", "r-1")
        .with(wire::ACCOUNT, "other")
        .with(wire::EXPECTED_SERVER, "i-9")
        .with(wire::HOLD, "h")
        .with(wire::KEEP, "9")
        .with(wire::COPY_TO, "1.2.3.4:5")
        .with(wire::COPY_FROM, "1.2.3.4:5/6");

    let response = fixture.send(&request);

    assert_eq!(response.status, 200);
    let run = &fixture.workers[0].runs()[0];
    assert_eq!(run.headers[wire::ACCOUNT], GROUP);
    for name in [wire::HOLD, wire::KEEP, wire::COPY_TO, wire::COPY_FROM] {
        assert!(!run.headers.contains_key(name), "{name}");
    }
}

/// Guards against a booking that is made twice: after its response is lost, an unsafe request must
/// neither be sent to a second server nor be reported as not run.
#[test]
fn an_unsafe_request_whose_answer_is_lost_is_not_repeated() {
    let fixture = Fixture::ready(2, 1_000_000);
    fixture
        .workers
        .iter()
        .for_each(|worker| worker.next(&[Behaviour::Lose]));

    let response = fixture.send(&Request::new("POST /unsafe/x", "r-1").with_body(b""));

    assert_eq!(response.status, 502);
    assert_eq!(fixture.runs("r-1"), 1);
}

#[test]
fn a_safe_request_whose_answer_is_lost_goes_to_another_server() {
    let fixture = Fixture::ready(2, 1_000_000);
    fixture
        .workers
        .iter()
        .for_each(|worker| worker.next(&[Behaviour::Lose]));
    // Both servers lose the response to `r-1`; later requests are answered.
    fixture.workers[1].next(&[Behaviour::Answer]);

    let first = fixture.send(&Request::new("GET /safe/x", "r-1"));
    let second = fixture.send(&Request::new("GET /safe/x", "r-2"));

    assert_eq!(first.status, 502);
    assert_eq!(fixture.runs("r-1"), 2);
    assert_eq!(second.status, 200);
}

#[test]
fn a_request_that_was_turned_away_is_told_so() {
    let fixture = Fixture::ready(1, 1_000_000);
    fixture.workers[0].next(&[Behaviour::TurnAway]);

    let response = fixture.send(&Request::new("POST /unsafe/x", "r-1").with_body(b""));

    assert_eq!(response.status, 503);
    assert!(response.header("retry-after").is_some());
    assert_eq!(fixture.runs("r-1"), 0);
}

/// Guards against returning the response to another request when it arrives on the connection,
/// because the echoed request id is not compared.
#[test]
fn an_answer_to_another_request_is_not_passed_on() {
    let fixture = Fixture::ready(1, 1_000_000);
    fixture.workers[0].next(&[Behaviour::WrongId]);

    let response = fixture.send(&Request::new("POST /unsafe/x", "r-1").with_body(b""));

    assert_eq!(response.status, 502);
    assert_eq!(response.header(wire::SEAL), None);
}

/// Guards against a booking that is refused as not run although it runs: the rejection of another request
/// arrives late, in place of its answer.
#[test]
fn a_late_rejection_of_another_request_does_not_say_that_this_one_has_not_run() {
    let fixture = Fixture::ready(2, 1_000_000);
    for worker in &fixture.workers {
        worker.next(&[Behaviour::LateRejection]);
    }

    let booking = fixture.send(&Request::new("POST /unsafe/x", "r-1").with_body(b""));
    let look_up = fixture.send(&Request::new("GET /safe/x", "r-2"));

    assert_eq!(booking.status, 502, "{}", booking.text());
    assert_eq!(fixture.runs("r-1"), 1);
    assert_eq!(look_up.status, 200, "{}", look_up.text());
}

/// Guards against a booking that is refused as not run although it runs: its response names no request, so
/// nothing shows that it is the response to this one.
#[test]
fn a_rejection_that_names_no_request_does_not_say_that_this_one_has_not_run() {
    let fixture = Fixture::ready(1, 1_000_000);
    fixture.workers[0].next(&[Behaviour::UnnamedRejection]);

    let booking = fixture.send(&Request::new("POST /unsafe/x", "r-1").with_body(b""));

    assert_eq!(booking.status, 502, "{}", booking.text());
    assert_eq!(fixture.runs("r-1"), 1);
}

/// Guards against a booking whose response is dropped because a late copy of the response before it comes
/// first.
#[test]
fn a_response_behind_a_late_rejection_reaches_its_caller() {
    let mut fixture = Fixture::without_instance(1, 1_000_000);
    fixture.proxies = vec![ServerProxy::open(fixture.workers[0].address())];
    fixture.start();
    fixture.wait_ready();
    fixture.proxies[0].copy_late(true);
    fixture.workers[0].next(&[Behaviour::TurnAway]);

    let rejected = fixture.send(&Request::new("POST /unsafe/x", "r-1").with_body(b""));
    let booking = fixture.send(&Request::new("POST /unsafe/x", "r-2").with_body(b""));
    let look_up = fixture.send(&Request::new("GET /safe/x", "r-3"));

    assert_eq!(rejected.status, 503, "{}", rejected.text());
    assert_eq!((booking.status, booking.text()), (200, "r-2 ran".into()));
    assert_eq!((look_up.status, look_up.text()), (200, "r-3 ran".into()));
    let metrics = fixture.metrics();
    let skipped = metrics.lines().find(|line| {
        line.starts_with("fescuewell_foreign_responses_total") && line.contains("skipped")
    });
    assert!(
        skipped.is_some_and(|line| line.ends_with(" 2")),
        "{skipped:?}"
    );
}

/// Guards against a stream with a repeated or partial event: when a server fails in the middle of
/// an event, the partial event must not be forwarded before the complete one of the next server.
#[test]
fn a_broken_stream_goes_on_at_another_server_within_the_answer() {
    let fixture = Fixture::ready(2, 1_000_000);
    fixture
        .workers
        .iter()
        .for_each(|worker| worker.next(&[Behaviour::Break(2)]));
    let request = Request::new("POST /stream/x", "r-1")
        .with_tokens(10, 100)
        .with_body(b"");
    fixture.workers[0].next(&[Behaviour::Answer]);

    let response = fixture.send(&request);

    let all: Vec<u64> = (1..=EVENTS).collect();
    let first_two: Vec<u64> = vec![1, 2];
    // If both servers break after event 2, the second one, which resumes at event 3, breaks at
    // once.
    assert!(response.events() == all || (response.events() == first_two && !response.is_complete));
    assert!(!response.text().contains("ha\n") && !response.text().ends_with("ha"));
    assert_eq!(fixture.runs("r-1"), 2);
}

#[test]
fn a_stream_that_breaks_once_arrives_whole() {
    let fixture = Fixture::ready(2, 1_000_000);
    let request = |id: &str| {
        Request::new("POST /stream/x", id)
            .with_tokens(10, 100)
            .with_body(b"")
    };
    fixture.send(&request("r-0"));
    let first_server = usize::from(fixture.workers[0].runs().is_empty());
    fixture.workers[first_server].next(&[Behaviour::Break(3)]);

    let responses: Vec<_> = (1..=6)
        .map(|number| fixture.send(&request(&format!("r-{number}"))))
        .collect();

    let all: Vec<u64> = (1..=EVENTS).collect();
    for response in responses {
        assert_eq!(response.events(), all);
        assert!(response.is_complete);
    }
}

/// Guards against an interrupted stream that looks complete: if the stream may not be resumed, the
/// end of the response must not be written.
#[test]
fn a_stream_that_may_not_be_resumed_ends_without_its_end() {
    let fixture = Fixture::ready(2, 1_000_000);
    fixture
        .workers
        .iter()
        .for_each(|worker| worker.next(&[Behaviour::Break(2)]));
    let request = Request::new("POST /stream-once/x", "r-1")
        .with_tokens(10, 100)
        .with_body(b"");

    let response = fixture.send(&request);

    assert_eq!(response.events(), [1, 2]);
    assert!(!response.is_complete);
    assert_eq!(fixture.runs("r-1"), 1);
}

/// Guards against servers that continue to work for a caller that has closed its connection,
/// because the upstream request is kept open.
#[test]
fn a_caller_that_leaves_frees_the_server() {
    let fixture = Fixture::ready(1, 1_000_000);
    fixture.workers[0].next(&[Behaviour::Hang]);
    let mut connection = fixture.connect();
    let request = Request::new("POST /unsafe/x", "r-1").with_body(b"");
    connection.write_all(&request.bytes()).unwrap();
    assert!(fixture.workers[0].wait_for(1));

    drop(connection);

    assert!(wait_until(|| fixture.workers[0].left() == 1));
}

#[test]
fn a_connection_serves_one_request_after_the_other() {
    let fixture = Fixture::ready(1, 1_000_000);
    let mut connection = fixture.connect();

    for number in 0..5 {
        let id = format!("r-{number}");
        let request = Request::new("GET /safe/x", &id).with(wire::KEY, KEY);
        connection.write_all(&request.bytes()).unwrap();
        let response = read_response(&mut connection).unwrap();
        assert_eq!(response.text(), format!("{id} ran"));
    }
}

/// Guards against a planned stop that interrupts streams, because the process exits on SIGTERM
/// before they end.
#[test]
fn a_stop_lets_streams_end() {
    let mut fixture = Fixture::ready(1, 1_000_000);
    fixture.workers[0].next(&[Behaviour::Pause(1)]);
    let mut connection = fixture.connect();
    let request = Request::new("POST /stream/x", "r-1")
        .with_tokens(10, 100)
        .with_body(b"");
    connection.write_all(&request.bytes()).unwrap();
    assert!(fixture.workers[0].wait_for(1));
    let daemon = fixture.daemon.take().unwrap();

    let stopping = std::thread::spawn(move || daemon.stop());
    assert!(wait_until(|| fixture.readiness() != 200));
    fixture.workers[0].release();
    let response = read_response(&mut connection).unwrap();

    stopping.join().unwrap();
    assert!(response.is_complete);
    assert_eq!(response.events().len() as u64, EVENTS);
}

/// Guards against an instance that goes on to write heartbeats and to answer others after it was dropped.
#[test]
fn an_instance_that_is_dropped_ends_its_control_thread() {
    let mut first = Fixture::without_instance(1, 1_000_000);
    let mut second = first.add_instance();
    for instance in [&mut first, &mut second] {
        instance.start();
        instance.wait_listed("i-0");
    }

    // Asserts that the address for messages of other instances becomes free.
    second.kill();
}

/// Configuration of a route with an attempt timeout of 200 ms and a request timeout of 20 s.
fn with_short_attempt_timeout() -> serde_json::Value {
    let mut configuration = configuration(1, 1_000_000);
    configuration["routes"][0]["targetLatencyMs"] = 50.into();
    configuration["routes"][0]["timeoutMs"] = 20_000.into();
    configuration
}

/// Guards against cancelling an attempt that has taken twice its target latency before it is known
/// whether the retry budget allows another one. At three times the traffic, with all servers slow
/// and no retry left, one request in eight ended with an unknown outcome, its prompt processed and
/// charged.
#[test]
fn a_send_is_not_given_up_without_a_repeat() {
    let mut fixture = Fixture::without_configuration(2);
    fixture.configure(&with_short_attempt_timeout());
    fixture.retry_slack = 0.0;
    fixture.start();
    fixture.wait_ready();
    for worker in &fixture.workers {
        worker.next(&[Behaviour::Wait]);
    }
    let front = fixture.front;
    let request = Request::new("GET /safe/x", "r-1").with(wire::DEADLINE, "20000");
    let caller = std::thread::spawn(move || send(front, &request));
    assert!(wait_until(|| fixture.runs("r-1") == 1));

    // Longer than the attempt timeout.
    std::thread::sleep(Duration::from_millis(600));
    fixture.workers.iter().for_each(Worker::release);

    let response = caller.join().unwrap().expect("no response");
    assert_eq!(response.status, 200);
    assert_eq!(fixture.runs("r-1"), 1);
}

#[test]
fn with_a_repeat_in_hand_a_silent_server_is_given_up() {
    let mut fixture = Fixture::without_configuration(2);
    fixture.configure(&with_short_attempt_timeout());
    fixture.start();
    fixture.wait_ready();
    let front = fixture.front;
    let request = Request::new("GET /safe/x", "r-1").with(wire::DEADLINE, "20000");
    // Neither server responds.
    for worker in &fixture.workers {
        worker.next(&[Behaviour::Hang]);
    }
    let caller = std::thread::spawn(move || send(front, &request));

    assert!(wait_until(|| fixture.runs("r-1") == 2));

    drop(fixture);
    // Stopping the instance closes the caller's connection.
    let _ = caller.join();
}
