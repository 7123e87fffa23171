//! Whole answers, to their own callers, after at most one run where that is asked.

use std::io::Write;
use std::time::Duration;

use fescuewell::standin::worker::{Behaviour, EVENTS, Worker, wait_until};

use crate::fixture::{Fixture, GROUP, KEY, Request, configuration, read_answer, send};
use crate::wire;

#[test]
fn a_request_arrives_unchanged_and_its_answer_too() {
    let fixture = Fixture::ready(1, 1_000_000);
    let request = Request::new("POST /unsafe/a%20b/?x=1&y=%2F", "r-1")
        .with("X-Own", "kept")
        .with("Connection", "X-Hop")
        .with("X-Hop", "dropped")
        .with_body(b"body");

    let answer = fixture.send(&request);

    assert_eq!(answer.status, 200);
    assert_eq!(answer.text(), "r-1 ran");
    assert_eq!(answer.header(wire::SEAL), Some("i-0.r-1"));
    let run = &fixture.workers[0].runs()[0];
    assert_eq!(&*run.target, "POST /unsafe/a%20b/?x=1&y=%2F");
    assert_eq!(&run.body[..], b"body");
    assert_eq!(run.headers["x-own"], "kept");
    assert_eq!(run.headers[wire::ACCOUNT], GROUP);
    assert_eq!(run.headers[wire::EXPECTED_SERVER], "i-0");
    assert!(!run.headers.contains_key("x-hop"));
    assert!(!run.headers.contains_key(wire::KEY));
}

/// Symptom: a caller took another account's name, or memory that was reserved for somebody else. Sequence: it sends the
/// headers that only the system sets. Cause: they were passed on.
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

    let answer = fixture.send(&request);

    assert_eq!(answer.status, 200);
    let run = &fixture.workers[0].runs()[0];
    assert_eq!(run.headers[wire::ACCOUNT], GROUP);
    for name in [wire::HOLD, wire::KEEP, wire::COPY_TO, wire::COPY_FROM] {
        assert!(!run.headers.contains_key(name), "{name}");
    }
}

/// Symptom: a booking was made twice. Sequence: the answer to a call that may not be repeated is lost. Cause: the
/// call was sent to a second server, or called "not run".
#[test]
fn an_unsafe_request_whose_answer_is_lost_is_not_repeated() {
    let fixture = Fixture::ready(2, 1_000_000);
    fixture
        .workers
        .iter()
        .for_each(|worker| worker.next(&[Behaviour::Lose]));

    let answer = fixture.send(&Request::new("POST /unsafe/x", "r-1").with_body(b""));

    assert_eq!(answer.status, 502);
    assert_eq!(fixture.runs("r-1"), 1);
}

#[test]
fn a_safe_request_whose_answer_is_lost_goes_to_another_server() {
    let fixture = Fixture::ready(2, 1_000_000);
    fixture
        .workers
        .iter()
        .for_each(|worker| worker.next(&[Behaviour::Lose]));
    // The first server loses it; what the second one does is taken back.
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

    let answer = fixture.send(&Request::new("POST /unsafe/x", "r-1").with_body(b""));

    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some());
    assert_eq!(fixture.runs("r-1"), 0);
}

/// Symptom: a caller got somebody else's answer. Sequence: an answer that belongs to another request comes on the
/// connection. Cause: the echoed id was not compared.
#[test]
fn an_answer_to_another_request_is_not_passed_on() {
    let fixture = Fixture::ready(1, 1_000_000);
    fixture.workers[0].next(&[Behaviour::WrongId]);

    let answer = fixture.send(&Request::new("POST /unsafe/x", "r-1").with_body(b""));

    assert_eq!(answer.status, 502);
    assert_eq!(answer.header(wire::SEAL), None);
}

/// Symptom: a stream had a piece twice, or half a piece. Sequence: a server breaks off in the middle of an event.
/// Cause: its half event was passed on before the next server's whole one.
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

    let answer = fixture.send(&request);

    let all: Vec<u64> = (1..=EVENTS).collect();
    let first_two: Vec<u64> = vec![1, 2];
    // Both servers break after event 2; the second one, asked from event 3 on, breaks at once.
    assert!(answer.events() == all || (answer.events() == first_two && !answer.whole));
    assert!(!answer.text().contains("ha\n") && !answer.text().ends_with("ha"));
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
    let usual = usize::from(fixture.workers[0].runs().is_empty());
    fixture.workers[usual].next(&[Behaviour::Break(3)]);

    let answers: Vec<_> = (1..=6)
        .map(|number| fixture.send(&request(&format!("r-{number}"))))
        .collect();

    let all: Vec<u64> = (1..=EVENTS).collect();
    for answer in answers {
        assert_eq!(answer.events(), all);
        assert!(answer.whole);
    }
}

/// Symptom: a cut stream looked complete. Sequence: a stream that may not be resumed breaks off. Cause: the answer's
/// end was written all the same.
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

    let answer = fixture.send(&request);

    assert_eq!(answer.events(), [1, 2]);
    assert!(!answer.whole);
    assert_eq!(fixture.runs("r-1"), 1);
}

/// Symptom: servers worked on for callers that had left. Sequence: a caller closes its connection during a stream.
/// Cause: the call to the server was kept.
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
        let answer = read_answer(&mut connection).unwrap();
        assert_eq!(answer.text(), format!("{id} ran"));
    }
}

/// Symptom: a request was cut off by a planned stop. Sequence: SIGTERM comes while a stream is under way. Cause: the
/// process ended before its streams.
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
    let answer = read_answer(&mut connection).unwrap();

    stopping.join().unwrap();
    assert!(answer.whole);
    assert_eq!(answer.events().len() as u64, EVENTS);
}

/// A route whose servers are thought of as silent after 200 ms, and that waits for 20 s.
fn with_short_patience() -> serde_json::Value {
    let mut configuration = configuration(1, 1_000_000);
    configuration["routes"][0]["targetLatencyMs"] = 50.into();
    configuration["routes"][0]["timeoutMs"] = 20_000.into();
    configuration
}

/// Symptom: at three times the traffic one request in eight ended "outcome unknown", its prompt read and charged. Sequence: all
/// servers are slow; a request has waited for twice its target; the fleet has no repeat left. Cause: the send was given up first,
/// and only then was it asked whether there might be another.
#[test]
fn a_send_is_not_given_up_without_a_repeat() {
    let mut fixture = Fixture::empty(2);
    fixture.configure(&with_short_patience());
    fixture.repeats = 0.0;
    fixture.start();
    fixture.wait_ready();
    for worker in &fixture.workers {
        worker.next(&[Behaviour::Wait]);
    }
    let front = fixture.front;
    let request = Request::new("GET /safe/x", "r-1").with(wire::DEADLINE, "20000");
    let asked = std::thread::spawn(move || send(front, &request));
    assert!(wait_until(|| fixture.runs("r-1") == 1));

    // Longer than the patience; any longer wait has the same end.
    std::thread::sleep(Duration::from_millis(600));
    fixture.workers.iter().for_each(Worker::release);

    let answer = asked.join().unwrap().expect("an answer");
    assert_eq!(answer.status, 200);
    assert_eq!(fixture.runs("r-1"), 1);
}

#[test]
fn with_a_repeat_in_hand_a_silent_server_is_given_up() {
    let mut fixture = Fixture::empty(2);
    fixture.configure(&with_short_patience());
    fixture.start();
    fixture.wait_ready();
    let front = fixture.front;
    let request = Request::new("GET /safe/x", "r-1").with(wire::DEADLINE, "20000");
    // Whichever server comes first never answers.
    for worker in &fixture.workers {
        worker.next(&[Behaviour::Hang]);
    }
    let asked = std::thread::spawn(move || send(front, &request));

    assert!(wait_until(|| fixture.runs("r-1") == 2));

    drop(fixture);
    // The callers' connection ends with the instance.
    let _ = asked.join();
}
