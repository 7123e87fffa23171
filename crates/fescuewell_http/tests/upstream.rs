//! Tests of the upstream client against servers that fail in different ways.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use common::{TEST_TIMEOUT, read_until};
use fescuewell_http::upstream::{Client, Error, Phase, Reachability, Settings, Target, Timeouts};

const SHORT_TIMEOUT: Duration = Duration::from_millis(40);

/// A server that runs a script for each connection; the script receives the connection's index, starting at 0.
struct Server {
    address: SocketAddr,
    connections: Arc<AtomicUsize>,
}

impl Server {
    fn start<Script>(script: Script) -> Self
    where
        Script: Fn(usize, TcpStream) + Send + Sync + 'static,
    {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let connections = Arc::new(AtomicUsize::new(0));
        let counter = connections.clone();
        let script = Arc::new(script);
        std::thread::spawn(move || {
            for (number, stream) in listener.incoming().enumerate() {
                let Ok(stream) = stream else {
                    return;
                };
                stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
                counter.fetch_add(1, Ordering::SeqCst);
                let script = script.clone();
                std::thread::spawn(move || script(number, stream));
            }
        });
        Self {
            address,
            connections,
        }
    }

    fn connections(&self) -> usize {
        self.connections.load(Ordering::SeqCst)
    }
}

/// Reads a request head and returns its path, or `None` if the connection ends.
fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut text = String::new();
    let mut byte = [0u8; 1];
    while !text.ends_with("\r\n\r\n") {
        if !matches!(stream.read(&mut byte), Ok(1)) {
            return None;
        }
        text.push(byte[0] as char);
    }
    text.split(' ').nth(1).map(str::to_owned)
}

fn respond(stream: &mut TcpStream, body: &str) {
    let length = body.len();
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}");
    let _ = stream.write_all(head.as_bytes());
}

/// Responds to every request with its path.
fn echo(_: usize, mut stream: TcpStream) {
    while let Some(path) = read_request(&mut stream) {
        respond(&mut stream, &path);
    }
}

fn get(path: &str) -> http::Request<Bytes> {
    http::Request::get(path).body(Bytes::new()).unwrap()
}

fn long_timeouts() -> Timeouts {
    Timeouts {
        connect: TEST_TIMEOUT,
        first_byte: TEST_TIMEOUT,
        progress: TEST_TIMEOUT,
    }
}

async fn fetch(
    client: &Client,
    target: &Target,
    path: &str,
    timeouts: Timeouts,
) -> Result<Bytes, Error> {
    client
        .open(target, get(path), timeouts)
        .await?
        .collect(1_000)
        .await
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

#[tokio::test]
async fn a_connection_is_used_again_after_a_whole_answer() {
    let server = Server::start(echo);
    let client = Client::default();
    let target = Target::new(server.address);

    for path in ["/a", "/b", "/c"] {
        assert_eq!(
            fetch(&client, &target, path, long_timeouts())
                .await
                .unwrap(),
            path
        );
    }

    assert_eq!(server.connections(), 1);
    assert_eq!(client.idle_connections(), 1);
}

#[tokio::test]
async fn a_refused_connection_means_not_sent() {
    // This is the only failure after which a request may be retried elsewhere without further checks.
    let address = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();

    let failed = fetch(
        &Client::default(),
        &Target::new(address),
        "/",
        long_timeouts(),
    )
    .await;

    assert!(matches!(failed, Err(Error::NotSent { .. })), "{failed:?}");
}

#[tokio::test]
async fn a_passed_deadline_means_not_sent() {
    let server = Server::start(echo);
    let target = Target::new(server.address).with_deadline(Instant::now());

    let failed = fetch(&Client::default(), &target, "/", long_timeouts()).await;

    assert!(matches!(failed, Err(Error::NotSent { .. })), "{failed:?}");
}

#[tokio::test]
async fn a_connection_closed_after_the_request_means_unknown() {
    // Guards against a request that runs twice: the server reads it, the connection fails, and the client
    // reports it as not sent. The outcome must be the same on a new and on a reused connection.
    let server = Server::start(|number, mut stream| {
        if number == 0 {
            read_request(&mut stream);
            return;
        }
        read_request(&mut stream);
        respond(&mut stream, "kept");
        read_request(&mut stream);
    });
    let client = Client::default();
    let target = Target::new(server.address);

    let on_new = fetch(&client, &target, "/", long_timeouts()).await;
    let kept = fetch(&client, &target, "/", long_timeouts()).await;
    let on_kept = fetch(&client, &target, "/", long_timeouts()).await;

    let phase = Phase::AwaitingHead;
    assert!(
        matches!(on_new, Err(Error::Unknown { phase: p, .. }) if p == phase),
        "{on_new:?}"
    );
    assert_eq!(kept.unwrap(), "kept");
    assert!(
        matches!(on_kept, Err(Error::Unknown { phase: p, .. }) if p == phase),
        "{on_kept:?}"
    );
    assert_eq!(server.connections(), 2);
}

#[tokio::test]
async fn a_kept_connection_that_the_server_closed_is_replaced() {
    // Guards against a request that fails after an idle period although the server is healthy: the server has
    // closed the idle connection, and the client must use a new one since no byte was sent.
    let server = Server::start(|_, mut stream| {
        let path = read_request(&mut stream).unwrap_or_default();
        respond(&mut stream, &path);
    });
    let client = Client::default();
    let target = Target::new(server.address);
    fetch(&client, &target, "/a", long_timeouts())
        .await
        .unwrap();
    eventually("the client detects the close", || {
        client.idle_connections() == 0
    })
    .await;

    let second = fetch(&client, &target, "/b", long_timeouts()).await;

    assert_eq!(second.unwrap(), "/b");
    assert_eq!(server.connections(), 2);
}

/// Calls `attempt` with increasing timeouts until its request reaches the server in time. On a busy machine a
/// short timeout may expire earlier, which is not what is tested.
async fn with_increasing_timeout<Attempt, Output, Reached>(
    attempt: Attempt,
    has_reached_server: Reached,
) -> Output
where
    Attempt: AsyncFn(Duration) -> Output,
    Reached: Fn(&Output) -> bool,
{
    let mut timeout = SHORT_TIMEOUT;
    loop {
        let output = attempt(timeout).await;
        if has_reached_server(&output) || timeout > TEST_TIMEOUT {
            return output;
        }
        timeout *= 2;
    }
}

#[tokio::test]
async fn a_late_answer_is_never_taken_for_that_of_the_next_request() {
    // Guards against a response that is delivered to the wrong request: the first request times out, its late
    // response follows on the same connection, and the second request reuses that connection.
    let (release, released) = flume::bounded::<()>(0);
    let server = Server::start(move |number, mut stream| {
        let path = read_request(&mut stream).unwrap_or_default();
        if path == "/first" {
            // Returns when the sender is dropped.
            let _ = released.recv_timeout(TEST_TIMEOUT);
        }
        respond(&mut stream, &path);
        echo(number, stream);
    });
    let client = Client::default();
    let target = Target::new(server.address);

    let first = with_increasing_timeout(
        async |first_byte| {
            let short_timeouts = Timeouts {
                first_byte,
                ..long_timeouts()
            };
            fetch(&client, &target, "/first", short_timeouts).await
        },
        |first| !matches!(first, Err(Error::NotSent { .. })),
    );
    let first = first.await;
    drop(release);
    let second = fetch(&client, &target, "/second", long_timeouts()).await;

    assert!(matches!(first, Err(Error::Unknown { .. })), "{first:?}");
    assert_eq!(second.unwrap(), "/second");
    assert!(server.connections() >= 2);
}

/// Starts a server that sends the head of a chunked response and one chunk, then calls `then`.
fn start_response<Then>(then: Then) -> Server
where
    Then: Fn(&mut TcpStream) + Send + Sync + 'static,
{
    Server::start(move |_, mut stream| {
        read_request(&mut stream);
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nbegun\r\n";
        stream.write_all(head.as_bytes()).unwrap();
        then(&mut stream);
    })
}

/// Waits until the client has closed the connection.
fn wait_closed(stream: &mut TcpStream) {
    let _ = stream.read(&mut [0u8; 16]);
}

#[tokio::test]
async fn an_answer_that_stalls_is_told_from_one_that_breaks() {
    // Guards against waiting forever for a stalled response, and against treating a truncated one as complete.
    let short_timeouts = Timeouts {
        progress: SHORT_TIMEOUT,
        ..long_timeouts()
    };
    let silent = start_response(wait_closed);
    let broken = start_response(|_| {});
    let client = Client::default();

    let stalled = fetch(&client, &Target::new(silent.address), "/", short_timeouts).await;
    let closed = fetch(&client, &Target::new(broken.address), "/", long_timeouts()).await;

    assert_eq!(stalled, Err(Error::Stalled));
    assert!(matches!(closed, Err(Error::Closed { .. })), "{closed:?}");
    assert_eq!(client.idle_connections(), 0);
}

#[tokio::test]
async fn a_deadline_within_an_answer_says_nothing_against_the_server() {
    let server = start_response(wait_closed);
    let client = Client::default();

    let late = with_increasing_timeout(
        async |timeout| {
            let target = Target::new(server.address).with_deadline(Instant::now() + timeout);
            fetch(&client, &target, "/", long_timeouts()).await
        },
        |late| !matches!(late, Err(Error::NotSent { .. } | Error::Unknown { .. })),
    );
    let late = late.await;

    assert_eq!(late, Err(Error::DeadlineExceeded));
}

#[tokio::test]
async fn an_answer_larger_than_allowed_is_given_up() {
    let server = Server::start(|_, mut stream| {
        read_request(&mut stream);
        respond(&mut stream, &"x".repeat(2_000));
    });

    let client = Client::default();

    let large = fetch(&client, &Target::new(server.address), "/", long_timeouts()).await;

    assert!(matches!(large, Err(Error::OverLimit { .. })), "{large:?}");
    assert_eq!(client.idle_connections(), 0);
}

#[tokio::test]
async fn dropping_an_exchange_closes_its_connection() {
    // Guards against an engine that continues to generate for a disconnected caller because the connection stays open.
    let (sender, receiver) = flume::bounded(1);
    let server = start_response(move |stream| {
        wait_closed(stream);
        sender.send(()).unwrap();
    });
    let client = Client::default();
    let mut exchange = client
        .open(&Target::new(server.address), get("/"), long_timeouts())
        .await
        .unwrap();
    assert_eq!(exchange.next_chunk().await, Some(Ok("begun".into())));

    drop(exchange);

    let closed = tokio::time::timeout(TEST_TIMEOUT, receiver.recv_async()).await;
    assert_eq!(closed.unwrap(), Ok(()));
    assert_eq!(client.idle_connections(), 0);
}

#[tokio::test]
async fn closing_idle_connections_spares_a_silent_exchange() {
    // Guards against a response that ends because its server is silent while idle connections are closed.
    let (confirm, confirmed) = flume::bounded::<()>(1);
    let server = start_response(move |stream| {
        confirmed.recv().unwrap();
        stream.write_all(b"5\r\nended\r\n0\r\n\r\n").unwrap();
    });
    let client = Client::new(Settings {
        max_idle: 0,
        idle_timeout: Duration::ZERO,
        ..Settings::default()
    });
    let target = Target::new(server.address);
    let opened = client.open(&target, get("/"), long_timeouts()).await;
    let mut exchange = opened.unwrap();
    assert_eq!(exchange.next_chunk().await, Some(Ok("begun".into())));

    client.close_idle(server.address);
    client.close_all_idle();
    confirm.send(()).unwrap();

    assert_eq!(exchange.collect(100).await, Ok("ended".into()));
}

#[tokio::test]
async fn a_failure_closes_the_other_unused_connections_to_that_address() {
    // The cause of the failure probably affects the other idle connections to the address too.
    let server = Server::start(|_, mut stream| {
        while let Some(path) = read_request(&mut stream) {
            if path == "/break" {
                return;
            }
            respond(&mut stream, &path);
        }
    });
    let client = Client::default();
    let target = Target::new(server.address);
    let held = client
        .open(&target, get("/held"), long_timeouts())
        .await
        .unwrap();
    fetch(&client, &target, "/a", long_timeouts())
        .await
        .unwrap();
    held.collect(100).await.unwrap();
    assert_eq!(client.idle_connections(), 2);

    let broken = fetch(&client, &target, "/break", long_timeouts()).await;

    assert!(matches!(broken, Err(Error::Unknown { .. })));
    assert_eq!(client.idle_connections(), 0);
}

#[test]
fn the_fixture_reads_what_is_sent() {
    let server = Server::start(echo);
    let mut stream = common::connect(server.address);
    stream.write_all(b"GET /x HTTP/1.1\r\n\r\n").unwrap();
    read_until(&mut stream, "/x");
}

#[tokio::test]
async fn a_probe_tells_a_server_that_accepts_from_one_that_does_not() {
    let server = Server::start(echo);
    // Binds a port without listening on it.
    let held = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    held.bind(&any.into()).unwrap();
    let unused_address = held.local_addr().unwrap().as_socket().unwrap();
    let client = Client::default();

    let accepted = client.probe(server.address, TEST_TIMEOUT).await;
    let refused = client.probe(unused_address, TEST_TIMEOUT).await;
    let response = fetch(&client, &Target::new(server.address), "/a", long_timeouts()).await;

    assert_eq!(accepted, Reachability::Accepted);
    assert_eq!(refused, Reachability::Refused);
    assert_eq!(response.unwrap(), "/a");
    assert_eq!(server.connections(), 1);
}

/// Guards against a request that is sent although its server began to leave while the connection was
/// established.
#[tokio::test]
async fn a_request_that_may_no_longer_be_sent_is_not_sent_on_a_new_connection() {
    let requests = Arc::new(AtomicUsize::new(0));
    let counter = requests.clone();
    let server = Server::start(move |_, mut stream| {
        while let Some(path) = read_request(&mut stream) {
            counter.fetch_add(1, Ordering::SeqCst);
            respond(&mut stream, &path);
        }
    });
    let client = Client::default();
    let target = Target::new(server.address);
    let request = || http::Request::new(Bytes::new());
    let asked = AtomicUsize::new(0);
    // The answer changes after the first question, which precedes the connection.
    let may_send = || asked.fetch_add(1, Ordering::SeqCst) == 0;

    let withdrawn = client.open_if(&target, request(), Timeouts::default(), &may_send);
    let withdrawn = withdrawn.await.err();
    let answered = client.open(&target, request(), Timeouts::default()).await;

    assert!(
        matches!(withdrawn, Some(Error::NotSent { .. })),
        "{withdrawn:?}"
    );
    assert!(answered.is_ok());
    assert_eq!(requests.load(Ordering::SeqCst), 1);
    assert_eq!(server.connections(), 1);
}
