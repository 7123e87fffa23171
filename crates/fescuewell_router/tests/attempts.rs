//! Tests of attempts whose backend server loses the response that it has begun.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use fescuewell_http::listener::{Handler, Listener, Reply, Request, Settings, spawn};
use fescuewell_http::upstream::{self, Client, Timeouts};
use fescuewell_node::request::{End, Ticket};
use fescuewell_router::attempt::{Outcome, Runner, STREAM_HEADER};
use fescuewell_router::chat::Path;
use fescuewell_router::delivery::{Delivery, ResponseOptions};
use fescuewell_router::pending::PendingRequests;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};

const STREAM: &str = "stream-1";
const TIMEOUT: Duration = Duration::from_secs(5);

/// A backend server that breaks off its first response after some events and then has no record of it, as
/// after a restart.
struct Engine {
    events: u64,
    /// Request that the response without a record names.
    named: Option<&'static str>,
    requests: AtomicUsize,
}

impl Handler for Engine {
    fn handle(&self, _: Request, reply: Reply) {
        if self.requests.fetch_add(1, Ordering::SeqCst) > 0 {
            let named = self.named.map(HeaderValue::from_static);
            let headers = named.map(|name| (HeaderName::from_static(STREAM_HEADER), name));
            return reply.send(
                StatusCode::NOT_FOUND,
                headers.into_iter().collect(),
                Bytes::new(),
            );
        }
        let events = self.events;
        spawn(async move {
            let mut headers = HeaderMap::new();
            headers.insert(STREAM_HEADER, HeaderValue::from_static(STREAM));
            let sink = reply.stream(StatusCode::OK, headers);
            for number in 1..=events {
                let event = format!("id: {number}\ndata: {{\"choices\":[{{}}]}}\n\n");
                let _ = sink.send(Bytes::from(event)).await;
            }
        });
    }
}

/// An instance that reads the response of another request for its caller.
struct Reader {
    engine: SocketAddr,
    outcomes: flume::Sender<Option<Outcome>>,
}

impl Handler for Reader {
    fn handle(&self, _: Request, reply: Reply) {
        let (engine, outcomes) = (self.engine, self.outcomes.clone());
        spawn(async move {
            let client = Client::new(upstream::Settings::default());
            let pending = PendingRequests::new(flume::unbounded().0);
            let options = ResponseOptions {
                path: Path::Chat,
                stream: true,
                include_usage: true,
                id: "r-1".into(),
                last_event: 0,
            };
            let mut delivery = Delivery::new(options, reply);
            let runner = Runner {
                client: &client,
                pending: &pending,
                timeouts: Timeouts {
                    connect: TIMEOUT,
                    first_byte: TIMEOUT,
                    progress: TIMEOUT,
                },
                ticket: Ticket(1),
                deadline: Instant::now() + TIMEOUT,
                may_retry: true,
            };
            let outcome = runner.read(engine, STREAM, &mut delivery).await;
            let _ = outcomes.send(outcome);
        });
    }
}

/// Reads a response that breaks off after `events`; the server has no record of one without any.
fn read(events: u64) -> Option<Outcome> {
    read_named(events, None)
}

/// Does the same at a server whose response without a record names a request.
fn read_named(events: u64, named: Option<&'static str>) -> Option<Outcome> {
    let listen = |handler: Arc<dyn Handler>| {
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        Listener::start(Settings::new(address), handler).unwrap()
    };
    let engine = listen(Arc::new(Engine {
        events,
        named,
        requests: AtomicUsize::new(usize::from(events == 0)),
    }));
    let (outcomes, received) = flume::unbounded();
    let reader = listen(Arc::new(Reader {
        engine: engine.address(),
        outcomes,
    }));
    let mut caller = std::net::TcpStream::connect(reader.address()).unwrap();
    std::io::Write::write_all(&mut caller, b"GET / HTTP/1.1\r\nHost: x\r\n\r\n").unwrap();
    received.recv_timeout(2 * TIMEOUT).unwrap()
}

/// Guards against a response whose caller gets the first events of one run and then those of another one,
/// at a server of any software version: the first server has lost the run.
#[test]
fn a_response_that_has_begun_is_not_run_again() {
    let outcome = read(2).expect("the request would run again");

    let is_lost = matches!(
        outcome.end,
        End::Lost {
            delivered: true,
            ..
        }
    );
    assert!(is_lost);
}

/// Guards against a request that runs again because a late response says that the server has no record of
/// another one.
#[test]
fn a_missing_record_of_another_request_says_nothing() {
    let outcome = read_named(0, Some("stream-2")).expect("the request would run again");

    assert!(matches!(outcome.end, End::Lost { .. }));
}

#[test]
fn a_response_of_which_nothing_arrived_may_run_again() {
    assert!(read(0).is_none());
}
