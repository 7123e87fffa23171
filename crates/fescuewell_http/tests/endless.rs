//! Tests of the upstream client against servers that send without end.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use common::{TEST_TIMEOUT, read_until};
use fescuewell_http::upstream::{Client, Error, Exchange, Phase, Settings, Target, Timeouts};

/// A time limit that a test waits for.
const SHORT_TIMEOUT: Duration = Duration::from_millis(100);
/// Pause between two bytes of a server that drips.
const DRIP_INTERVAL: Duration = Duration::from_millis(1);
/// Maximum size of a collected body in the tests, in bytes.
const MAX_BODY_BYTES: usize = 1024 * 1024;

const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const UNTIL_CLOSE: &str = "HTTP/1.1 200 OK\r\n\r\n";

/// A server that responds to the first request of each connection with a start and then with a unit again
/// and again until the client closes the connection.
struct Endless {
    address: SocketAddr,
    /// Number of connections with a request.
    opened: Arc<AtomicUsize>,
    /// Number of these that the client has closed.
    closed: Arc<AtomicUsize>,
}

impl Endless {
    fn start(start: &'static str, unit: &'static str) -> Self {
        // Units are sent together; one system call for each would keep the machine busy.
        Self::run(start, unit.repeat(16 * 1024 / unit.len() + 1), None)
    }

    /// Sends a unit after each [`DRIP_INTERVAL`].
    fn drip(start: &'static str, unit: &'static str) -> Self {
        Self::run(start, unit.to_owned(), Some(DRIP_INTERVAL))
    }

    fn run(start: &'static str, block: String, pause: Option<Duration>) -> Self {
        let opened = Arc::new(AtomicUsize::new(0));
        let closed = Arc::new(AtomicUsize::new(0));
        let (requests, ends) = (opened.clone(), closed.clone());
        let address = serve(move |mut stream| {
            if !read_request(&mut stream) {
                return;
            }
            requests.fetch_add(1, Ordering::SeqCst);
            if stream.write_all(start.as_bytes()).is_ok() {
                while stream.write_all(block.as_bytes()).is_ok() {
                    if let Some(pause) = pause {
                        std::thread::sleep(pause);
                    }
                }
            }
            ends.fetch_add(1, Ordering::SeqCst);
        });
        Self {
            address,
            opened,
            closed,
        }
    }

    /// Waits until the client has closed all connections.
    async fn wait_closed(&self) {
        let is_closed = || match self.opened.load(Ordering::SeqCst) {
            0 => false,
            opened => self.closed.load(Ordering::SeqCst) == opened,
        };
        eventually("the connections are closed", is_closed).await;
    }
}

/// Runs a script for each connection.
fn serve<Script>(script: Script) -> SocketAddr
where
    Script: Fn(TcpStream) + Send + Sync + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let script = Arc::new(script);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
            stream.set_write_timeout(Some(TEST_TIMEOUT)).unwrap();
            let script = script.clone();
            std::thread::spawn(move || script(stream));
        }
    });
    address
}

/// Reads a request head; returns `false` if the connection ends.
fn read_request(stream: &mut TcpStream) -> bool {
    let mut text = Vec::new();
    let mut byte = [0u8; 1];
    while !text.ends_with(b"\r\n\r\n") {
        if !matches!(stream.read(&mut byte), Ok(1)) {
            return false;
        }
        text.push(byte[0]);
    }
    true
}

fn long_timeouts() -> Timeouts {
    Timeouts {
        connect: TEST_TIMEOUT,
        first_byte: TEST_TIMEOUT,
        progress: TEST_TIMEOUT,
    }
}

async fn open(client: &Client, target: &Target) -> Result<Exchange, Error> {
    let request = http::Request::get("/").body(Bytes::new()).unwrap();
    client.open(target, request, long_timeouts()).await
}

/// Opens an exchange whose head is received before the deadline, which is late enough even on a busy machine.
async fn open_in_time(
    client: &Client,
    address: SocketAddr,
    shortest: Duration,
) -> (Exchange, Instant) {
    let mut time = shortest;
    loop {
        let deadline = Instant::now() + time;
        let target = Target::new(address).with_deadline(deadline);
        if let Ok(exchange) = open(client, &target).await {
            return (exchange, deadline);
        }
        assert!(time < TEST_TIMEOUT, "no response within {time:?}");
        time *= 2;
    }
}

async fn fetch(client: &Client, address: SocketAddr) -> Result<Bytes, Error> {
    let exchange = open(client, &Target::new(address)).await?;
    exchange.collect(MAX_BODY_BYTES).await
}

async fn eventually<Condition>(what: &str, holds: Condition)
where
    Condition: Fn() -> bool,
{
    let deadline = Instant::now() + TEST_TIMEOUT;
    while !holds() {
        assert!(Instant::now() < deadline, "condition not met: {what}");
        tokio::task::yield_now().await;
    }
}

/// Asserts that the request may have run, that the server is not taken for one that crashed, and that its
/// connection is closed.
async fn assert_head_given_up(server: &Endless, expected: &str) {
    let client = Client::default();

    let error = fetch(&client, server.address).await.unwrap_err();

    let Error::Unknown { phase, reason, .. } = &error else {
        panic!("{error:?}");
    };
    assert_eq!(*phase, Phase::AwaitingHead);
    assert!(reason.contains(expected), "{reason}");
    assert!(!error.is_broken(), "{error:?}");
    server.wait_closed().await;
    assert_eq!(client.idle_connections(), 0);
}

/// Asserts that the body is given up by a limit and that its connection is closed.
async fn assert_body_given_up(server: &Endless, client: &Client, expected: &str) {
    let error = fetch(client, server.address).await.unwrap_err();

    assert!(matches!(error, Error::OverLimit { .. }), "{error:?}");
    assert!(error.to_string().contains(expected), "{error}");
    assert!(!error.is_broken(), "{error:?}");
    server.wait_closed().await;
    assert_eq!(client.idle_connections(), 0);
    assert_eq!(client.budget().used(), 0);
}

#[tokio::test]
async fn an_endless_header_line_is_given_up() {
    let server = Endless::start("HTTP/1.1 200 OK\r\nX-Long: ", "x");

    assert_head_given_up(&server, "too large").await;
}

#[tokio::test]
async fn header_lines_without_end_are_given_up() {
    let server = Endless::start("HTTP/1.1 200 OK\r\n", "X-More: x\r\n");

    assert_head_given_up(&server, "too large").await;
}

#[tokio::test]
async fn a_header_line_that_drips_without_end_ends_with_the_time_for_the_head() {
    // Guards against a time limit that each byte renews.
    let server = Endless::drip("HTTP/1.1 200 OK\r\nX-Long: ", "x");
    let client = Client::default();
    let request = http::Request::get("/").body(Bytes::new()).unwrap();
    let timeouts = Timeouts {
        first_byte: SHORT_TIMEOUT,
        ..long_timeouts()
    };

    let opened = client
        .open(&Target::new(server.address), request, timeouts)
        .await;

    assert!(matches!(opened, Err(Error::Unknown { .. })));
    server.wait_closed().await;
}

#[tokio::test]
async fn interim_responses_without_end_are_given_up() {
    // Guards against reading interim responses until the time for the head is over: hyper skips any number.
    let server = Endless::start("", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n");

    assert_head_given_up(&server, "without a head").await;
}

#[tokio::test]
async fn a_head_after_some_interim_responses_is_received() {
    let address = serve(|mut stream| {
        read_request(&mut stream);
        for _ in 0..100 {
            let interim = b"HTTP/1.1 102 Processing\r\n\r\n";
            stream.write_all(interim).unwrap();
        }
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        let _ = stream.read(&mut [0u8; 1]);
    });
    let client = Client::default();

    let body = fetch(&client, address).await.unwrap();

    assert_eq!(body, "ok");
    assert_eq!(client.idle_connections(), 1);
}

#[tokio::test]
async fn chunk_sizes_and_trailers_without_end_are_given_up() {
    // Guards against reading the digits and spaces of a chunk's size, its extensions or trailers until the
    // deadline: none of them is a part of the body, which has limits of its own.
    let framings = [
        ("", "0", "without a head or a chunk"),
        ("5", " ", "without a head or a chunk"),
        ("5;", "x", "chunk extensions over limit"),
        ("", "1;x\r\na\r\n", "chunk extensions over limit"),
        ("0\r\n", "X-More: x\r\n", "chunk trailers count overflow"),
        ("0\r\nX-Long: ", "x", "chunk trailers bytes over limit"),
    ];
    for (start, unit, expected) in framings {
        let start: &'static str = format!("{CHUNKED}{start}").leak();
        let server = Endless::start(start, unit);

        assert_body_given_up(&server, &Client::default(), expected).await;
    }
}

#[tokio::test]
async fn an_endless_body_is_given_up_at_its_maximum_size() {
    let length = "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n";
    for (start, unit) in [
        (length, "x"),
        (CHUNKED, "4\r\nabcd\r\n"),
        (UNTIL_CLOSE, "x"),
    ] {
        let server = Endless::start(start, unit);

        assert_body_given_up(&server, &Client::default(), "exceeds 1048576 bytes").await;
    }
}

#[tokio::test]
async fn a_body_that_drips_without_end_is_given_up_after_its_maximum_time() {
    // Guards against a time limit that each byte renews.
    let server = Endless::drip(UNTIL_CLOSE, "x");
    let client = Client::new(Settings {
        max_body_time: SHORT_TIMEOUT,
        ..Settings::default()
    });

    assert_body_given_up(&server, &client, "longer than 100ms").await;
}

#[tokio::test]
async fn a_body_that_drips_without_end_ends_at_the_deadline() {
    let server = Endless::drip(UNTIL_CLOSE, "x");
    // Shorter than the time until the deadline, which alone counts.
    let client = Client::new(Settings {
        max_body_time: Duration::ZERO,
        ..Settings::default()
    });
    let (exchange, deadline) = open_in_time(&client, server.address, SHORT_TIMEOUT).await;

    let error = exchange.collect(MAX_BODY_BYTES).await.unwrap_err();

    assert_eq!(error, Error::DeadlineExceeded);
    assert!(Instant::now() >= deadline);
    server.wait_closed().await;
}

#[tokio::test]
async fn a_stream_without_end_ends_after_the_deadline_although_more_is_always_there() {
    // Guards against a timeout that is never looked at: it is polled after the body, which is always ready.
    let server = Endless::start(CHUNKED, "9\r\ndata: x\n\n\r\n");
    let client = Client::default();
    let (mut exchange, deadline) = open_in_time(&client, server.address, SHORT_TIMEOUT).await;

    let error = loop {
        assert!(deadline.elapsed() < TEST_TIMEOUT, "the stream goes on");
        match exchange.next_chunk().await {
            Some(Ok(_)) => {}
            other => break other,
        }
    };

    assert_eq!(error, Some(Err(Error::DeadlineExceeded)));
    server.wait_closed().await;
}

/// Holds this thread up until after the deadline, as a paused process is.
fn pause_until(deadline: Instant) {
    std::thread::sleep(deadline.saturating_duration_since(Instant::now()));
}

#[tokio::test]
async fn a_body_that_was_there_before_the_deadline_is_received_after_it() {
    // Guards against losing an answer because this process was held up.
    let length = 64 * 1024;
    let is_sent = Arc::new(AtomicBool::new(false));
    let sent = is_sent.clone();
    let address = serve(move |mut stream| {
        read_request(&mut stream);
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
        stream.write_all(head.as_bytes()).unwrap();
        stream.write_all(&vec![b'x'; length]).unwrap();
        sent.store(true, Ordering::SeqCst);
        let _ = stream.read(&mut [0u8; 1]);
    });
    let client = Client::default();

    let (exchange, deadline) = open_in_time(&client, address, SHORT_TIMEOUT).await;
    while !is_sent.load(Ordering::SeqCst) {
        std::thread::yield_now();
    }
    pause_until(deadline);
    let body = exchange.collect(MAX_BODY_BYTES).await.unwrap();

    assert_eq!(body.len(), length);
}

#[tokio::test]
async fn a_body_that_is_received_slowly_is_whole() {
    // Guards against taking what hyper reads ahead for bytes without progress.
    let length = 4 * MAX_BODY_BYTES;
    let address = serve(move |mut stream| {
        read_request(&mut stream);
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
        stream.write_all(head.as_bytes()).unwrap();
        stream.write_all(&vec![b'x'; length]).unwrap();
        let _ = stream.read(&mut [0u8; 1]);
    });
    let client = Client::default();
    let mut exchange = open(&client, &Target::new(address)).await.unwrap();

    let mut received = 0;
    while let Some(chunk) = exchange.next_chunk().await {
        received += chunk.unwrap().len();
        for _ in 0..100 {
            tokio::task::yield_now().await;
        }
    }

    assert_eq!(received, length);
    assert_eq!(client.idle_connections(), 1);
}

#[tokio::test]
async fn bytes_without_end_on_an_idle_connection_close_it() {
    let server = Endless::start("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "x");
    let client = Client::default();

    let body = fetch(&client, server.address).await.unwrap();

    assert_eq!(body, "ok");
    server.wait_closed().await;
    assert_eq!(client.idle_connections(), 0);
}

fn small_budget(max_buffered_bytes: usize) -> Client {
    Client::new(Settings {
        max_buffered_bytes,
        ..Settings::default()
    })
}

#[tokio::test]
async fn endless_bodies_share_one_budget() {
    let server = Endless::start(UNTIL_CLOSE, "x");
    let client = small_budget(MAX_BODY_BYTES / 2);

    let error = fetch(&client, server.address).await.unwrap_err();

    assert!(matches!(error, Error::OverBudget { .. }), "{error:?}");
    assert!(!error.is_broken());
    server.wait_closed().await;
    assert_eq!(client.budget().used(), 0);
}

#[tokio::test]
async fn a_body_keeps_its_part_of_the_budget_until_it_is_dropped() {
    let address = serve(|mut stream| {
        while read_request(&mut stream) {
            let response = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
            let _ = stream.write_all(response);
        }
    });
    let client = small_budget(6 * 1024);

    let first = fetch(&client, address).await.unwrap();
    let second = fetch(&client, address).await;
    drop(first.clone());
    let third = fetch(&client, address).await;
    drop(first);
    let fourth = fetch(&client, address).await;

    for refused in [second, third] {
        assert!(matches!(refused, Err(Error::OverBudget { .. })));
    }
    assert_eq!(fourth.as_deref(), Ok(&b"ok"[..]));
    drop(fourth);
    assert_eq!(client.budget().used(), 0);
}

#[tokio::test]
async fn large_bodies_leave_a_part_of_the_budget_to_small_ones() {
    let server = Endless::drip(UNTIL_CLOSE, "x");
    let client = small_budget(MAX_BODY_BYTES);
    let mut large = client.budget().reserve();
    let mut larger = client.budget().reserve();

    assert!(large.resize(MAX_BODY_BYTES * 3 / 4));
    assert!(!larger.resize(64 * 1024 + 1));
    assert!(larger.resize(64 * 1024));

    let mut exchange = open(&client, &Target::new(server.address)).await.unwrap();
    assert_eq!(exchange.reserve(64 * 1024), Ok(()));
    drop((large, larger, exchange));
    assert_eq!(client.budget().used(), 0);
}

#[tokio::test]
async fn an_endless_event_draws_on_the_budget() {
    let server = Endless::start(CHUNKED, "4\r\nabcd\r\n");
    let client = small_budget(32 * 1024);
    let mut exchange = open(&client, &Target::new(server.address)).await.unwrap();
    let mut event = Vec::new();

    let error = loop {
        event.extend_from_slice(&exchange.next_chunk().await.unwrap().unwrap());
        if let Err(error) = exchange.reserve(event.len()) {
            break error;
        }
    };

    assert!(matches!(error, Error::OverBudget { .. }), "{error:?}");
    assert_eq!(exchange.next_chunk().await, None);
    server.wait_closed().await;
    drop(exchange);
    assert_eq!(client.budget().used(), 0);
}

#[tokio::test]
async fn a_discarded_body_without_end_closes_its_connection() {
    for server in [
        Endless::start(UNTIL_CLOSE, "x"),
        Endless::drip(UNTIL_CLOSE, "x"),
    ] {
        let client = Client::default();
        let exchange = open(&client, &Target::new(server.address)).await.unwrap();

        exchange.discard();

        server.wait_closed().await;
        assert_eq!(client.idle_connections(), 0);
    }
}

#[tokio::test]
async fn the_connection_of_a_discarded_short_body_is_used_again() {
    let address = serve(|mut stream| {
        read_until(&mut stream, "\r\n\r\n");
        let _ = stream.write_all(b"HTTP/1.1 503 Busy\r\nContent-Length: 2\r\n\r\nno");
        let _ = stream.read(&mut [0u8; 1]);
    });
    let client = Client::default();
    let exchange = open(&client, &Target::new(address)).await.unwrap();

    exchange.discard();

    eventually("the connection is idle", || client.idle_connections() == 1).await;
}
