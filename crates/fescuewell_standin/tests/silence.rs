//! The worker's silence: what goes out before it, and that answers go on where they stopped.

mod common;

use std::time::{Duration, Instant};

use common::*;
use fescuewell_http::upstream::Exchange;
use fescuewell_standin::worker::{EVENTS, Silence, Worker};
use serde_json::json;
use tokio::time::timeout;

/// Time in which nothing must arrive.
const QUIET: Duration = Duration::from_millis(100);

fn worker() -> Worker {
    Worker::start(any_port(), "i-1").unwrap()
}

async fn open_stream(worker: &Worker) -> Exchange {
    let request = request("POST", "/stream/x", &[], &json!({}));
    open(worker.address(), request).await.unwrap()
}

fn event(number: u64) -> String {
    format!("id: {number}\ndata: piece {number} of v1\n\n")
}

fn events(count: u64) -> String {
    (1..=count).map(event).collect()
}

/// Reads what arrives until there is so much of it.
async fn read(exchange: &mut Exchange, length: usize) -> String {
    let mut text = String::new();
    while text.len() < length {
        let chunk = exchange.next_chunk().await.unwrap().unwrap();
        text.push_str(std::str::from_utf8(&chunk).unwrap());
    }
    text
}

async fn assert_quiet(exchange: &mut Exchange) {
    let next = timeout(QUIET, exchange.next_chunk()).await;
    assert!(next.is_err(), "{next:?}");
}

async fn rest(exchange: Exchange) -> String {
    let rest = exchange.collect(10_000).await.unwrap();
    String::from_utf8(rest.to_vec()).unwrap()
}

/// Guards against a stand-in that loses what arrives during a silence.
#[tokio::test]
async fn a_request_that_arrives_in_a_silence_is_answered_after_it() {
    let worker = worker();
    worker.set_silent(true);
    let address = worker.address();
    let answer = async { post(address, "/safe/x", &json!({})).await };
    tokio::pin!(answer);

    let early = timeout(QUIET, &mut answer).await;
    let runs = worker.runs().len();
    worker.set_silent(false);

    assert!(early.is_err());
    assert_eq!(runs, 1);
    assert_eq!(answer.await.0, 200);
}

#[tokio::test]
async fn a_stream_stops_between_two_events_and_goes_on() {
    let worker = worker();
    worker.set_silence(Some(Silence::After(2)));
    let mut stream = open_stream(&worker).await;

    let first = read(&mut stream, events(2).len()).await;
    assert_quiet(&mut stream).await;
    worker.set_silent(false);

    assert_eq!(first, events(2));
    assert_eq!(first + &rest(stream).await, events(EVENTS));
}

#[tokio::test]
async fn a_stream_stops_within_an_event_and_goes_on() {
    let worker = worker();
    worker.set_silence(Some(Silence::Inside(2)));
    let mut stream = open_stream(&worker).await;

    let first = read(&mut stream, events(2).len() + 1).await;
    assert_quiet(&mut stream).await;
    worker.set_silent(false);

    assert!(first.len() < events(3).len());
    assert_eq!(first + &rest(stream).await, events(EVENTS));
}

#[tokio::test]
async fn a_stream_stops_before_its_end() {
    let worker = worker();
    worker.set_silence(Some(Silence::After(EVENTS)));
    let mut stream = open_stream(&worker).await;

    let all = read(&mut stream, events(EVENTS).len()).await;
    assert_quiet(&mut stream).await;
    worker.set_silent(false);

    assert_eq!(all, events(EVENTS));
    assert_eq!(rest(stream).await, "");
}

/// Guards against a silence that streams under way do not notice.
#[tokio::test]
async fn a_stream_under_way_stops_within_its_next_event() {
    let worker = worker();
    worker.set_silence(Some(Silence::After(1)));
    let mut stream = open_stream(&worker).await;
    let mut text = read(&mut stream, events(1).len()).await;

    worker.set_silence(Some(Silence::InsideEvent));
    text += &read(&mut stream, 1).await;
    assert_quiet(&mut stream).await;
    worker.set_silent(false);

    assert_eq!(text + &rest(stream).await, events(EVENTS));
}

#[tokio::test]
async fn a_caller_that_leaves_in_a_silence_is_counted() {
    let worker = worker();
    worker.set_silence(Some(Silence::After(1)));
    let stream = open_stream(&worker).await;

    drop(stream);

    eventually("its stream ends", || worker.left() == 1).await;
}

#[tokio::test]
async fn events_are_paced() {
    let worker = worker();
    worker.set_event_interval(Duration::from_millis(10));
    let started = Instant::now();

    let text = rest(open_stream(&worker).await).await;

    assert_eq!(text, events(EVENTS));
    assert!(started.elapsed() >= Duration::from_millis(10) * EVENTS as u32);
}

/// Guards against a new process that inherits the silence of the one before.
#[tokio::test]
async fn a_worker_that_is_started_again_speaks() {
    let worker = worker();
    worker.set_silent(true);

    worker.replace("i-2", "v1").unwrap();

    assert_eq!(post(worker.address(), "/safe/x", &json!({})).await.0, 200);
}
