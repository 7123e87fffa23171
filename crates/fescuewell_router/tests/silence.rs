//! Tests of attempts whose backend server is silent for a while, or for good.

mod common;

use std::time::Duration;

use common::{Caller, PATIENCE, STREAM, TOKENS, Task, any_port};
use fescuewell_node::request::End;
use fescuewell_standin::engine::{Control, Engine, Settings};

fn engine() -> Engine {
    Engine::start(any_port(), Settings::quick()).unwrap()
}

/// Guards against silence that is reported as a crash: three of them quarantine the request, at all servers.
#[test]
fn silence_before_the_head_is_reported_as_a_stall() {
    let engine = engine();
    engine.set_silent(true);

    let outcome = Caller::connect(engine.address(), Task::Run, PATIENCE).outcome();

    let end = outcome.unwrap().end;
    assert!(matches!(end, End::Lost { stalled: true, .. }), "{end:?}");
}

/// Longer than the timeouts of all resumptions that were made before a silent server was given up.
const SILENCE: Duration = Duration::from_millis(1_500);

/// Whether the response goes on until its engine has been silent for a while, and ends whole afterwards.
fn outlasts_silence(engine: &Engine, caller: Caller) -> bool {
    caller.wait_begun();
    engine.set_silent(true);
    let early = caller.outcomes.recv_timeout(SILENCE);
    engine.set_silent(false);
    if let Ok(outcome) = early {
        panic!("given up: {:?}", outcome.map(|outcome| outcome.end));
    }
    let end = caller.outcome().unwrap().end;
    assert!(matches!(end, End::Done { .. }), "{end:?}");
    caller.events() == (1..=TOKENS).collect::<Vec<u32>>()
}

/// Guards against a stream that is cut because its server was silent, although no other one can go on with it.
#[test]
fn a_stream_that_has_begun_outlasts_the_silence_of_its_server() {
    for inside in [false, true] {
        let engine = engine();
        engine.control(&Control {
            silent_inside_event: Some(inside),
            ..Control::default()
        });
        let caller = Caller::connect(engine.address(), Task::Run, PATIENCE);

        assert!(outlasts_silence(&engine, caller), "{inside}");
        assert_eq!(engine.counters().runs[STREAM], 1);
    }
}

/// Guards against a reader that leaves a stream because its server was silent, although the stream goes on.
#[test]
fn a_reader_outlasts_the_silence_of_its_server() {
    let engine = engine();
    let first = Caller::connect(engine.address(), Task::Run, PATIENCE);
    first.wait_begun();
    let reader = Caller::connect(engine.address(), Task::Read, PATIENCE);

    assert!(outlasts_silence(&engine, reader));
    assert_eq!(engine.counters().runs[STREAM], 1);
}

/// Guards against a stream that its silent server keeps open after the deadline of its request.
#[test]
fn the_deadline_ends_a_stream_whose_server_stays_silent() {
    let engine = engine();
    let caller = Caller::connect(engine.address(), Task::Run, SILENCE);
    caller.wait_begun();
    engine.set_silent(true);

    let outcome = caller.outcome().unwrap();

    assert!(outcome.deadline_exceeded, "{:?}", outcome.end);
}

/// Guards against an attempt that is cancelled on a guess: its server answers once the silence ends, but the
/// cancellation that waits there comes first.
#[test]
fn an_attempt_at_a_silent_server_is_not_cancelled_before_another_one_may_be_made() {
    let engine = engine();
    engine.set_silent(true);
    let caller = Caller::connect(engine.address(), Task::RunAndKeep, PATIENCE);
    let first = caller.outcome().unwrap().end;

    engine.set_silent(false);
    let mut last = first.clone();
    while matches!(last, End::Lost { stalled: true, .. }) {
        last = caller.outcome().unwrap().end;
    }

    assert!(matches!(first, End::Lost { stalled: true, .. }));
    assert!(matches!(last, End::Done { .. }), "{last:?}");
    assert_eq!(caller.events(), (1..=TOKENS).collect::<Vec<u32>>());
    assert_eq!(engine.counters().cancelled, 0);
}
