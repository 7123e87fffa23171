//! Tests of calls whose service is silent for a while, or for good.

mod common;

use std::time::{Duration, Instant};

use bytes::Bytes;
use common::{PATIENCE, any_port, assignment, impatient};
use fescuewell_core::prelude::*;
use fescuewell_http::upstream::Client;
use fescuewell_node::request::{Assignment, End};
use fescuewell_router::call::{Call, Exchanges, Outcome};
use fescuewell_standin::service::{Service, Settings};

fn service() -> Service {
    Service::start(any_port(), Settings::default()).unwrap()
}

async fn run(call: &Call<'_>, service: &Service) -> Outcome {
    let mut open = Exchanges::default();
    call.run(&assignment(service.address()), &mut open).await
}

fn call<'a>(client: &'a Client, body: &'a Bytes, deadline: Duration) -> Call<'a> {
    Call {
        client,
        timeouts: impatient(),
        deadline: Instant::now() + deadline,
        call: "confirm",
        body,
        content_type: None,
        price: Tokens(20),
        repeatable: true,
    }
}

/// Guards against silence that is reported as a crash: three of them quarantine the call, at all services.
#[tokio::test]
async fn silence_is_reported_as_a_stall() {
    let service = service();
    service.set_silent(true);
    let (client, body) = (Client::default(), Bytes::from_static(b"{}"));
    let call = call(&client, &body, PATIENCE);

    let end = run(&call, &service).await.end;

    assert!(matches!(end, End::Lost { stalled: true, .. }), "{end:?}");
}

/// Longer than the timeouts after which the outcome of a call at a silent service was told as unknown.
const SILENCE: Duration = Duration::from_millis(2_500);

/// Guards against a caller that is told that the outcome of its booking is unknown while its service, which
/// keeps records or not, is silent for a moment.
#[tokio::test]
async fn a_call_that_may_not_be_repeated_outlasts_a_silence() {
    for records in [true, false] {
        let service = Service::start(any_port(), Settings::default().with_records(records));
        let service = service.unwrap();
        service.set_silent(true);
        let (client, body) = (Client::default(), Bytes::from_static(b"{}"));
        let call = Call {
            repeatable: false,
            ..call(&client, &body, PATIENCE)
        };

        let mut outcome = Box::pin(run(&call, &service));
        let early = tokio::time::timeout(SILENCE, &mut outcome).await;
        service.set_silent(false);
        assert!(early.is_err(), "given up: {:?}", early.unwrap().end);
        let outcome = outcome.await;

        assert!(outcome.response.is_some(), "{records}: {:?}", outcome.end);
        assert_eq!(service.counters().most_runs(), 1);
    }
}

/// Guards against a call that is lost at its silent service while another attempt waits at another one that
/// is silent for longer.
#[tokio::test]
async fn the_first_of_two_silent_services_to_answer_is_heard() {
    let (first, second) = (service(), service());
    first.set_silent(true);
    second.set_silent(true);
    let (client, body) = (Client::default(), Bytes::from_static(b"{}"));
    let call = call(&client, &body, PATIENCE);
    let mut open = Exchanges::default();
    let asked = call.run(&assignment(first.address()), &mut open).await;

    first.set_silent(false);
    let again = Assignment {
        attempt: 2,
        ..assignment(second.address())
    };
    let outcome = call.run(&again, &mut open).await;

    assert!(asked.response.is_none());
    assert!(outcome.response.is_some(), "{:?}", outcome.end);
    assert!(second.counters().runs.is_empty());
}

/// Guards against a call that waits for its silent service beyond its deadline, and is then taken for a crash.
#[tokio::test]
async fn the_deadline_ends_a_call_whose_service_stays_silent() {
    let service = service();
    service.set_silent(true);
    let (client, body) = (Client::default(), Bytes::from_static(b"{}"));
    let call = Call {
        repeatable: false,
        ..call(&client, &body, Duration::from_millis(400))
    };

    let outcome = tokio::time::timeout(PATIENCE, run(&call, &service)).await;

    let end = outcome.expect("it ends").end;
    assert!(matches!(end, End::Lost { stalled: true, .. }), "{end:?}");
}
