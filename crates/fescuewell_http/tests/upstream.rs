//! What the client for backend servers reports, against servers that fail in each way.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use common::{PATIENCE, read_until};
use fescuewell_http::upstream::{Client, Error, Phase, Reachability, Target, Timeouts};

const SHORT: Duration = Duration::from_millis(40);

/// A server that treats connection number `n`, counted from 0, as its script says.
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
        let counted = connections.clone();
        let script = Arc::new(script);
        std::thread::spawn(move || {
            for (number, stream) in listener.incoming().enumerate() {
                let Ok(stream) = stream else {
                    return;
                };
                stream.set_read_timeout(Some(PATIENCE)).unwrap();
                counted.fetch_add(1, Ordering::SeqCst);
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

/// Reads the head of a request and returns its path, or nothing when the connection ends.
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

fn answer(stream: &mut TcpStream, body: &str) {
    let length = body.len();
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}");
    let _ = stream.write_all(head.as_bytes());
}

/// Answers every request with its path.
fn echo(_: usize, mut stream: TcpStream) {
    while let Some(path) = read_request(&mut stream) {
        answer(&mut stream, &path);
    }
}

fn get(path: &str) -> http::Request<Bytes> {
    http::Request::get(path).body(Bytes::new()).unwrap()
}

fn patient() -> Timeouts {
    Timeouts {
        connect: PATIENCE,
        first_byte: PATIENCE,
        progress: PATIENCE,
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
    let deadline = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < deadline, "never: {what}");
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
            fetch(&client, &target, path, patient()).await.unwrap(),
            path
        );
    }

    assert_eq!(server.connections(), 1);
    assert_eq!(client.idle_connections(), 1);
}

#[tokio::test]
async fn a_refused_connection_means_not_sent() {
    // The one failure after which a call may be sent elsewhere without asking anybody.
    let address = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();

    let failed = fetch(&Client::default(), &Target::new(address), "/", patient()).await;

    assert!(matches!(failed, Err(Error::NotSent { .. })), "{failed:?}");
}

#[tokio::test]
async fn a_passed_deadline_means_not_sent() {
    let server = Server::start(echo);
    let target = Target::new(server.address).with_deadline(Instant::now());

    let failed = fetch(&Client::default(), &target, "/", patient()).await;

    assert!(matches!(failed, Err(Error::NotSent { .. })), "{failed:?}");
}

#[tokio::test]
async fn a_connection_closed_after_the_request_means_unknown() {
    // Symptom: a call runs twice. Sequence: the server reads the request and the connection breaks. Cause: taking
    // that for "not run". The outcome is the same on a new connection and on one that was used before.
    let server = Server::start(|number, mut stream| {
        if number == 0 {
            read_request(&mut stream);
            return;
        }
        read_request(&mut stream);
        answer(&mut stream, "kept");
        read_request(&mut stream);
    });
    let client = Client::default();
    let target = Target::new(server.address);

    let on_new = fetch(&client, &target, "/", patient()).await;
    let kept = fetch(&client, &target, "/", patient()).await;
    let on_kept = fetch(&client, &target, "/", patient()).await;

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
    // Symptom: a request fails after a pause although the server is well. Sequence: the server closes an unused
    // connection; the client has noticed and no byte has left on it. Cause: reporting the closed connection.
    let server = Server::start(|_, mut stream| {
        let path = read_request(&mut stream).unwrap_or_default();
        answer(&mut stream, &path);
    });
    let client = Client::default();
    let target = Target::new(server.address);
    fetch(&client, &target, "/a", patient()).await.unwrap();
    eventually("the closing is noticed", || client.idle_connections() == 0).await;

    let second = fetch(&client, &target, "/b", patient()).await;

    assert_eq!(second.unwrap(), "/b");
    assert_eq!(server.connections(), 2);
}

/// Calls `attempt` with longer and longer times until its request got as far as the server in time: on a busy
/// machine a short one may pass before that, which is not what is tested.
async fn with_time<Attempt, Answer, Begun>(attempt: Attempt, begun: Begun) -> Answer
where
    Attempt: AsyncFn(Duration) -> Answer,
    Begun: Fn(&Answer) -> bool,
{
    let mut time = SHORT;
    loop {
        let answer = attempt(time).await;
        if begun(&answer) || time > PATIENCE {
            return answer;
        }
        time *= 2;
    }
}

#[tokio::test]
async fn a_late_answer_is_never_taken_for_that_of_the_next_request() {
    // Symptom: a caller gets somebody else's answer. Sequence: the first request times out; its answer comes
    // later, on the same connection; a second request is sent. Cause: using that connection again.
    let (release, released) = flume::bounded::<()>(0);
    let server = Server::start(move |number, mut stream| {
        let path = read_request(&mut stream).unwrap_or_default();
        if path == "/first" {
            // Until the other half is dropped.
            let _ = released.recv_timeout(PATIENCE);
        }
        answer(&mut stream, &path);
        echo(number, stream);
    });
    let client = Client::default();
    let target = Target::new(server.address);

    let first = with_time(
        async |first_byte| {
            let hasty = Timeouts {
                first_byte,
                ..patient()
            };
            fetch(&client, &target, "/first", hasty).await
        },
        |first| !matches!(first, Err(Error::NotSent { .. })),
    );
    let first = first.await;
    drop(release);
    let second = fetch(&client, &target, "/second", patient()).await;

    assert!(matches!(first, Err(Error::Unknown { .. })), "{first:?}");
    assert_eq!(second.unwrap(), "/second");
    assert!(server.connections() >= 2);
}

/// Sends the head of a chunked answer and one chunk, then does as `then` says.
fn begin<Then>(then: Then) -> Server
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
    // Symptom: a connection that has gone silent is waited on for ever, or one that broke is taken for whole.
    let hasty = Timeouts {
        progress: SHORT,
        ..patient()
    };
    let silent = begin(wait_closed);
    let broken = begin(|_| {});
    let client = Client::default();

    let stalled = fetch(&client, &Target::new(silent.address), "/", hasty).await;
    let closed = fetch(&client, &Target::new(broken.address), "/", patient()).await;

    assert_eq!(stalled, Err(Error::Stalled));
    assert!(matches!(closed, Err(Error::Closed { .. })), "{closed:?}");
    assert_eq!(client.idle_connections(), 0);
}

#[tokio::test]
async fn a_deadline_within_an_answer_says_nothing_against_the_server() {
    let server = begin(wait_closed);
    let client = Client::default();

    let late = with_time(
        async |time| {
            let target = Target::new(server.address).with_deadline(Instant::now() + time);
            fetch(&client, &target, "/", patient()).await
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
        answer(&mut stream, &"x".repeat(2_000));
    });

    let large = fetch(
        &Client::default(),
        &Target::new(server.address),
        "/",
        patient(),
    )
    .await;

    assert!(matches!(large, Err(Error::Closed { .. })));
}

#[tokio::test]
async fn dropping_an_exchange_closes_its_connection() {
    // Symptom: an engine goes on producing for a caller that left. Cause: the connection stays open.
    let (tell, told) = flume::bounded(1);
    let server = begin(move |stream| {
        wait_closed(stream);
        tell.send(()).unwrap();
    });
    let client = Client::default();
    let mut exchange = client
        .open(&Target::new(server.address), get("/"), patient())
        .await
        .unwrap();
    assert_eq!(exchange.next_chunk().await, Some(Ok("begun".into())));

    drop(exchange);

    let closed = tokio::time::timeout(PATIENCE, told.recv_async()).await;
    assert_eq!(closed.unwrap(), Ok(()));
    assert_eq!(client.idle_connections(), 0);
}

#[tokio::test]
async fn a_failure_closes_the_other_unused_connections_to_that_address() {
    // Whatever forgot one connection has probably forgotten those that were idle as long.
    let server = Server::start(|_, mut stream| {
        while let Some(path) = read_request(&mut stream) {
            if path == "/break" {
                return;
            }
            answer(&mut stream, &path);
        }
    });
    let client = Client::default();
    let target = Target::new(server.address);
    let held = client.open(&target, get("/held"), patient()).await.unwrap();
    fetch(&client, &target, "/a", patient()).await.unwrap();
    held.collect(100).await.unwrap();
    assert_eq!(client.idle_connections(), 2);

    let broken = fetch(&client, &target, "/break", patient()).await;

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
    // Holds a port on which nobody listens.
    let held = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    held.bind(&any.into()).unwrap();
    let gone = held.local_addr().unwrap().as_socket().unwrap();
    let client = Client::default();

    let accepted = client.probe(server.address, PATIENCE).await;
    let refused = client.probe(gone, PATIENCE).await;
    let answer = fetch(&client, &Target::new(server.address), "/a", patient()).await;

    assert_eq!(accepted, Reachability::Accepted);
    assert_eq!(refused, Reachability::Refused);
    assert_eq!(answer.unwrap(), "/a");
    assert_eq!(server.connections(), 1);
}
