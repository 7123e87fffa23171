//! Tests of attempts whose backend server is silent for a while, or for good.

mod common;

use common::{Caller, PATIENCE, Task, any_port};
use fescuewell_node::request::End;
use fescuewell_standin::engine::{Engine, Settings};

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
