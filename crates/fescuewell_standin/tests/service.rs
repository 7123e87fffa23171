//! The stand-in service: runs, records and faults.

mod common;

use common::*;
use fescuewell_http::upstream::Error;
use fescuewell_standin::service::{Control, Service, Settings};
use serde_json::{Value, json};

fn service(settings: Settings) -> Service {
    Service::start(any_port(), settings).unwrap()
}

async fn call(service: &Service, id: &str) -> Result<u16, Error> {
    let request = request(
        "POST",
        "/calls/confirm",
        &[("x-request-id", id)],
        &json!({"job": 7}),
    );
    let exchange = open(service.address(), request).await?;
    Ok(exchange.status.as_u16())
}

#[tokio::test]
async fn counts_each_run_and_keeps_its_answer() {
    let service = service(Settings::default().with_name("desk"));

    assert_eq!(call(&service, "a").await, Ok(200));
    assert_eq!(call(&service, "a").await, Ok(200));

    assert_eq!(service.counters().runs["a"], 2);
    assert_eq!(service.counters().most_runs(), 2);
    let (status, record) = get(service.address(), "/calls/a").await;
    assert_eq!((status, &record["ran"]), (200, &json!(true)));
    assert_eq!(record["answer"]["service"], "desk");
    let (status, record) = get(service.address(), "/calls/b").await;
    assert_eq!((status, &record["ran"]), (404, &json!(false)));
}

#[tokio::test]
async fn a_call_cut_off_before_its_run_and_one_after_look_alike_but_for_the_record() {
    // Symptom: a booking is confirmed twice. Sequence: the connection breaks without an answer, once before the
    // call ran and once after. Cause: taking the broken connection for "not run".
    let service = service(Settings::default());
    service.control(&Control {
        fail_before_run: Some(1),
        drop_reply: Some(1),
        ..Control::default()
    });

    let before = call(&service, "before").await;
    let after = call(&service, "after").await;

    assert!(matches!(before, Err(Error::Unknown { .. })), "{before:?}");
    assert!(matches!(after, Err(Error::Unknown { .. })), "{after:?}");
    assert_eq!(get(service.address(), "/calls/before").await.0, 404);
    assert_eq!(get(service.address(), "/calls/after").await.0, 200);
    assert_eq!(call(&service, "third").await, Ok(200));
}

#[tokio::test]
async fn a_service_without_records_says_so() {
    let service = service(Settings::default().with_records(false));
    assert_eq!(call(&service, "a").await, Ok(200));

    let (status, answer) = get(service.address(), "/calls/a").await;

    assert_eq!((status, &answer["error"]["run"]), (501, &json!("unknown")));
}

#[tokio::test]
async fn a_refused_call_did_not_run_and_a_delayed_one_runs_although_its_caller_left() {
    let service = service(Settings::default());
    let (status, _) = post(service.address(), "/control", &json!({"refuse": true})).await;
    assert_eq!(status, 200);
    assert_eq!(call(&service, "refused").await, Ok(503));
    post(
        service.address(),
        "/control",
        &json!({"refuse": false, "delay_ms": 1500}),
    )
    .await;

    let before = service.counters().arrived;
    tokio::select! {
        answer = call(&service, "left") => panic!("answered before the delay: {answer:?}"),
        () = eventually("it arrived", || service.counters().arrived > before) => {}
    }

    eventually("the call has run", || {
        service.counters().runs.contains_key("left")
    })
    .await;
    assert!(!service.counters().runs.contains_key("refused"));
}

#[tokio::test]
async fn an_unknown_control_is_refused() {
    let service = service(Settings::default());
    let (status, _) = post(service.address(), "/control", &json!({"refuze": true})).await;
    assert_eq!(status, 400);
    assert_eq!(
        get(service.address(), "/nowhere").await,
        (404, get(service.address(), "/nowhere").await.1)
    );
    let (_, health) = get(service.address(), "/health").await;
    assert_eq!(health, json!({"status": "ok"}));
    assert_ne!(health, Value::Null);
}

/// Guards against a stand-in whose silence drops calls: what tests of silence rely on.
#[tokio::test]
async fn a_silent_service_runs_and_answers_afterwards() {
    let service = service(Settings::default());
    service.set_silent(true);

    let call = call(&service, "a");
    tokio::pin!(call);
    let early = tokio::time::timeout(std::time::Duration::from_millis(300), &mut call).await;
    service.set_silent(false);

    assert!(early.is_err());
    assert_eq!(call.await, Ok(200));
    assert_eq!(service.counters().runs["a"], 1);
}
