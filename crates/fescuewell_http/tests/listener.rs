//! Tests of the listener's responses, streams and limits.

mod common;

use std::io::Write;
use std::sync::Arc;
use std::time::Duration;

use common::*;
use fescuewell_core::code::Code;
use fescuewell_http::listener::{
    Ending, Handler, Head, Memory, Reply, Request, TrySendError, spawn,
};
use http::{HeaderMap, StatusCode};

const SHORT_TIMEOUT: Duration = Duration::from_millis(50);

#[test]
fn answers_requests_in_turn_on_one_connection() {
    let listener = listen(local(), echo());
    let mut stream = connect(listener.address());

    stream.write_all(post("/a", "first").as_bytes()).unwrap();
    let first = read_until(&mut stream, "first");
    stream.write_all(post("/b", "second").as_bytes()).unwrap();
    let second = read_until(&mut stream, "second");

    assert!(first.starts_with("HTTP/1.1 200 OK"));
    assert!(second.starts_with("HTTP/1.1 200 OK"));
    assert_eq!(listener.open_connections(), 1);
}

#[test]
fn a_chunk_reaches_the_caller_before_the_next_is_made() {
    // Guards against a server that buffers small chunks, so that all tokens arrive at the end. The handler
    // sends the second chunk only after the caller has received the first; a buffered chunk blocks the test.
    let (confirm, confirmed) = flume::bounded::<()>(1);
    let handler = FnHandler(move |_: Request, reply: Reply| {
        let confirmed = confirmed.clone();
        let sink = reply.stream(StatusCode::OK, HeaderMap::new());
        spawn(async move {
            sink.send(bytes("one")).await.unwrap();
            confirmed.recv_async().await.unwrap();
            sink.send(bytes("two")).await.unwrap();
            sink.finish();
        });
    });
    let listener = listen(local(), Arc::new(handler));
    let mut stream = connect(listener.address());

    stream.write_all(post("/", "").as_bytes()).unwrap();
    read_until(&mut stream, "one");
    confirm.send(()).unwrap();

    read_until(&mut stream, "two\r\n0\r\n\r\n");
}

#[test]
fn a_stream_dropped_before_its_end_is_cut_off() {
    // Guards against a truncated response that looks complete: if the producer stops early, the body must
    // not end with the terminating chunk.
    let handler = FnHandler(|_: Request, reply: Reply| {
        let sink = reply.stream(StatusCode::OK, HeaderMap::new());
        spawn(async move { sink.send(bytes("half")).await.unwrap() });
    });
    let listener = listen(local(), Arc::new(handler));

    let response = send_raw(listener.address(), post("/", "").as_bytes());

    assert!(!response.contains("0\r\n\r\n"), "{response:?}");
}

#[test]
fn the_handler_learns_that_the_caller_went_away_within_an_answer() {
    // Guards against an engine that continues to generate after the caller has disconnected during a
    // response, because the connection is not polled while there is nothing to write.
    let (sender, receiver) = flume::bounded(1);
    let handler = FnHandler(move |_: Request, reply: Reply| {
        let sink = reply.stream(StatusCode::OK, HeaderMap::new());
        sender.send(sink).unwrap();
    });
    let listener = listen(local(), Arc::new(handler));
    let mut stream = connect(listener.address());
    stream.write_all(post("/", "").as_bytes()).unwrap();
    let sink = receiver.recv_timeout(TEST_TIMEOUT).unwrap();

    drop(stream);

    eventually("the sink reports the disconnect", || {
        sink.closed().now() == Some(Ending::CallerGone)
    });
    eventually("the connection is closed", || {
        listener.open_connections() == 0
    });
}

#[test]
fn the_handler_learns_that_the_caller_went_away_before_any_answer() {
    // As above, but before the response starts, for instance while the request is queued.
    let (sender, receiver) = flume::bounded(1);
    let handler = FnHandler(move |_: Request, reply: Reply| sender.send(reply).unwrap());
    let listener = listen(local(), Arc::new(handler));
    let mut stream = connect(listener.address());
    stream.write_all(post("/", "").as_bytes()).unwrap();
    let reply = receiver.recv_timeout(TEST_TIMEOUT).unwrap();

    drop(stream);

    eventually("the reply reports the disconnect", || {
        reply.closed().now() == Some(Ending::CallerGone)
    });
}

#[test]
fn an_answer_that_arrived_whole_is_told_so() {
    let (sender, receiver) = flume::bounded(1);
    let handler = FnHandler(move |request: Request, reply: Reply| {
        let closed = reply.closed();
        let sender = sender.clone();
        spawn(async move { sender.send(closed.wait().await).unwrap() });
        reply.send(StatusCode::OK, HeaderMap::new(), request.body);
    });
    let listener = listen(local(), Arc::new(handler));
    let mut stream = connect(listener.address());

    stream.write_all(post("/", "whole").as_bytes()).unwrap();

    read_until(&mut stream, "whole");
    assert_eq!(receiver.recv_timeout(TEST_TIMEOUT), Ok(Ending::Answered));
}

#[test]
fn a_handler_that_panics_or_forgets_its_reply_costs_one_answer() {
    // Guards against a panic in a handler that ends a listener thread and all its connections.
    let handler = FnHandler(|request: Request, reply: Reply| match &*request.path {
        "/panic" => panic!("panic requested by the test"),
        "/forget" => drop(reply),
        _ => reply.send(StatusCode::OK, HeaderMap::new(), bytes("fine")),
    });
    let listener = listen(local(), Arc::new(handler));
    let mut stream = connect(listener.address());

    for path in ["/panic", "/forget"] {
        stream.write_all(post(path, "").as_bytes()).unwrap();
        let response = read_until(&mut stream, "}}");
        assert_refusal(&response, Code::Internal);
    }
    stream.write_all(post("/", "").as_bytes()).unwrap();

    read_until(&mut stream, "fine");
}

#[test]
fn half_a_head_is_refused_after_its_time() {
    // Guards against connections that are held forever by a caller that sends part of a head, or nothing,
    // and then stops, because receiving a head has no timeout.
    let mut settings = local();
    settings.header_timeout = SHORT_TIMEOUT;
    let listener = listen(settings, echo());

    for part in ["", "GE", "GET / HTTP/1.1\r\nHost: he"] {
        let response = send_raw(listener.address(), part.as_bytes());
        assert_refusal(&response, Code::RequestTimeout);
    }
    eventually("all closed", || listener.open_connections() == 0);
}

#[test]
fn half_a_body_is_refused_after_its_time() {
    // As above, for a caller that sends only part of the body announced by Content-Length.
    let mut settings = local();
    settings.body_timeout = SHORT_TIMEOUT;
    let listener = listen(settings, echo());
    let half = "POST / HTTP/1.1\r\nHost: here\r\nContent-Length: 100\r\n\r\nhalf";

    let response = send_raw(listener.address(), half.as_bytes());

    assert_refusal(&response, Code::RequestTimeout);
}

#[test]
fn an_idle_connection_is_closed_without_a_word() {
    let mut settings = local();
    settings.idle_timeout = SHORT_TIMEOUT;
    let listener = listen(settings, echo());
    let mut stream = connect(listener.address());
    stream.write_all(post("/", "done").as_bytes()).unwrap();

    let response = read_all(&mut stream);

    assert!(response.ends_with("done"), "{response:?}");
}

#[test]
fn a_response_in_progress_is_never_idle() {
    // Guards against a stream that is closed as idle while the server behind the listener is silent. Another
    // connection that is closed as idle shows that the time has passed.
    let (confirm, confirmed) = flume::bounded::<()>(1);
    let handler = FnHandler(move |request: Request, reply: Reply| {
        if &*request.path == "/done" {
            return reply.send(StatusCode::OK, HeaderMap::new(), request.body);
        }
        let confirmed = confirmed.clone();
        let sink = reply.stream(StatusCode::OK, HeaderMap::new());
        spawn(async move {
            sink.send(bytes("one")).await.unwrap();
            confirmed.recv_async().await.unwrap();
            sink.send(bytes("two")).await.unwrap();
            sink.finish();
        });
    });
    let mut settings = local();
    settings.idle_timeout = SHORT_TIMEOUT;
    settings.write_stall_timeout = SHORT_TIMEOUT;
    let listener = listen(settings, Arc::new(handler));
    let mut stream = connect(listener.address());
    stream.write_all(post("/", "").as_bytes()).unwrap();
    read_until(&mut stream, "one");

    let idle = send_raw(listener.address(), post("/done", "done").as_bytes());
    confirm.send(()).unwrap();

    assert!(idle.ends_with("done"), "{idle:?}");
    read_until(&mut stream, "two\r\n0\r\n\r\n");
}

#[test]
fn an_oversized_head_is_refused() {
    // Guards against a caller that exhausts the memory with a head of unlimited size. The path counts as
    // part of the head.
    let listener = listen(local(), echo());
    let long = "x".repeat(200_000);
    let header = format!("GET / HTTP/1.1\r\nHost: here\r\nX-Long: {long}\r\n\r\n");
    let path = format!("GET /{long} HTTP/1.1\r\nHost: here\r\n\r\n");
    let many = format!("GET / HTTP/1.1\r\n{}\r\n", "X-A: b\r\n".repeat(3_000));

    for head in [header, path, many] {
        let response = send_raw(listener.address(), head.as_bytes());
        assert_refusal(&response, Code::HeadTooLarge);
    }
}

#[test]
fn an_oversized_body_is_refused_announced_or_not() {
    // Guards against a caller that exhausts the memory with a body, with Content-Length or with chunked
    // encoding. The refusal must be received although the caller is still sending.
    let mut settings = local();
    settings.max_body_bytes = 1_000;
    let listener = listen(settings, echo());
    let large = "y".repeat(300_000);
    let announced = post("/", &large);
    let chunked = format!(
        "POST / HTTP/1.1\r\nHost: here\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{large}\r\n0\r\n\r\n",
        large.len()
    );

    for request in [announced, chunked] {
        let response = send_raw(listener.address(), request.as_bytes());
        assert_refusal(&response, Code::BodyTooLarge);
    }
}

#[test]
fn what_is_no_request_is_refused() {
    let listener = listen(local(), echo());
    let bodies = [
        "nonsense\r\n\r\n",
        "GET / HTTP/1.1\r\nHost here\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: here\r\nContent-Length: many\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: here\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        "\u{0}\u{1}\u{2}\r\n\r\n",
    ];

    for text in bodies {
        let response = send_raw(listener.address(), text.as_bytes());
        assert_refusal(&response, Code::MalformedRequest);
    }
}

#[test]
fn a_malformed_request_after_a_good_one_is_refused_after_its_answer() {
    // The refusal of the second request must neither replace nor precede the first response.
    let listener = listen(local(), echo());
    let mut stream = connect(listener.address());
    stream.write_all(post("/", "good").as_bytes()).unwrap();
    read_until(&mut stream, "good");

    stream.write_all(b"nonsense\r\n\r\n").unwrap();

    assert_refusal(&read_all(&mut stream), Code::MalformedRequest);
}

#[test]
fn a_connection_beyond_the_cap_is_told_and_closed() {
    // Guards against connections that exhaust the file descriptors of the instance, because there is no
    // connection limit or open connections are miscounted: up to the limit stay open, one more is refused,
    // and after one has closed the next is accepted.
    let mut settings = local().with_max_connections(2);
    settings.min_unused_time = TEST_TIMEOUT;
    let listener = listen(settings, echo());
    let mut open: Vec<_> = (0..2).map(|_| connect(listener.address())).collect();
    eventually("both are open", || listener.open_connections() == 2);

    let refused = read_all(&mut connect(listener.address()));
    assert_refusal(&refused, Code::TooManyConnections);
    assert!(refused.contains("retry-after: 1"), "{refused:?}");

    open.pop();
    eventually("one is closed", || listener.open_connections() == 1);
    let mut next = connect(listener.address());
    next.write_all(post("/", "room").as_bytes()).unwrap();
    read_until(&mut next, "room");
}

#[test]
fn a_caller_that_takes_nothing_is_cut_off_and_holds_little() {
    // Guards against responses that accumulate in memory for callers that stop reading without closing the
    // connection, because of an unbounded buffer or a missing timeout for blocked writes.
    let mut settings = local();
    settings.write_stall_timeout = SHORT_TIMEOUT;
    let (sender, receiver) = flume::bounded(1);
    let handler = FnHandler(move |_: Request, reply: Reply| {
        let sink = reply.stream(StatusCode::OK, HeaderMap::new());
        let sender = sender.clone();
        spawn(async move {
            let chunk = bytes(&"z".repeat(64 * 1024));
            while sink.send(chunk.clone()).await.is_ok() {}
            sender.send(sink.closed().wait().await).unwrap();
        });
    });
    let listener = listen(settings, Arc::new(handler));
    let mut stream = connect(listener.address());

    stream.write_all(post("/", "").as_bytes()).unwrap();

    assert_eq!(receiver.recv_timeout(TEST_TIMEOUT), Ok(Ending::CallerGone));
    eventually("the connection is closed", || {
        listener.open_connections() == 0
    });
}

#[test]
fn a_full_buffer_gives_the_chunk_back() {
    let (sender, receiver) = flume::bounded(1);
    let handler = FnHandler(move |_: Request, reply: Reply| {
        let sink = reply.stream(StatusCode::OK, HeaderMap::new());
        // Nothing is written while the handler runs, so the buffer fills.
        let refused = (0..10_000).find_map(|_| sink.try_send(bytes("chunk")).err());
        sender.send(refused).unwrap();
        sink.finish();
    });
    let listener = listen(local(), Arc::new(handler));

    read_stream_to_end(listener.address());

    let chunk = bytes("chunk");
    let refused = receiver.recv_timeout(TEST_TIMEOUT).unwrap();
    assert_eq!(refused, Some(TrySendError::Full { chunk }));
}

fn read_stream_to_end(address: std::net::SocketAddr) {
    let mut stream = connect(address);
    stream.write_all(post("/", "").as_bytes()).unwrap();
    read_until(&mut stream, "0\r\n\r\n");
}

#[test]
fn a_drain_finishes_what_is_open_and_takes_nothing_new() {
    // Guards against a shutdown that truncates a response, because connections are closed regardless of
    // open exchanges: a stream is open when the listener starts to drain, and finishes meanwhile.
    let (sender, receiver) = flume::bounded(1);
    let handler = FnHandler(move |_: Request, reply: Reply| {
        let sink = reply.stream(StatusCode::OK, HeaderMap::new());
        sender.send(sink).unwrap();
    });
    let listener = listen(local(), Arc::new(handler));
    let mut stream = connect(listener.address());
    stream.write_all(post("/", "").as_bytes()).unwrap();
    let sink = receiver.recv_timeout(TEST_TIMEOUT).unwrap();
    sink.try_send(bytes("begun")).unwrap();

    assert_eq!(listener.drain(SHORT_TIMEOUT), 1);
    eventually("new connections are refused", || {
        std::net::TcpStream::connect(listener.address()).is_err()
    });
    sink.try_send(bytes("ended")).unwrap();
    sink.finish();

    assert_eq!(listener.drain(TEST_TIMEOUT), 0);
    let response = read_all(&mut stream);
    assert!(
        response.contains("begun") && response.ends_with("ended\r\n0\r\n\r\n"),
        "{response:?}"
    );
}

/// Guards against callers that wait for seconds on an instance with a saturated network link: it reports that it takes
/// no more requests, but callers still know its address and its listener accepted their new connections.
#[test]
fn a_closed_gate_keeps_new_connections_out_and_open_ones_go_on() {
    let listener = listen(local(), echo());
    let address = listener.address();
    let mut open = connect(address);
    open.write_all(post("/a", "first").as_bytes()).unwrap();
    read_until(&mut open, "first");

    assert!(listener.gate().set(false));
    eventually("connections are refused", || {
        std::net::TcpStream::connect(address).is_err()
    });
    open.write_all(post("/b", "second").as_bytes()).unwrap();
    let second = read_until(&mut open, "second");

    assert!(second.starts_with("HTTP/1.1 200 OK"));
    assert!(listener.gate().set(true));
    eventually("connections are taken again", || {
        std::net::TcpStream::connect(address).is_ok()
    });
}

/// Guards against "address already in use" when an instance reopens its listening socket: if the port is released with the
/// socket, the operating system may assign it to an outgoing connection of another process while the gate is closed.
#[test]
fn a_closed_gate_keeps_the_port() {
    let listener = listen(local(), echo());
    let address = listener.address();
    listener.gate().set(false);
    // Does not connect to check this: an accepted connection would also occupy the port.
    eventually("the socket is closed", || !is_listened_on(address));

    let other = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    let taken = other.bind(&address.into());

    assert_eq!(
        taken.map_err(|error| error.kind()),
        Err(std::io::ErrorKind::AddrInUse)
    );
}

/// Whether the operating system lists a listening socket on the port.
fn is_listened_on(address: std::net::SocketAddr) -> bool {
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let local = format!(":{:04X} ", address.port());
    let mut lines = table.lines().skip(1);
    lines.any(|line| {
        let words: Vec<&str> = line.split_whitespace().collect();
        // Columns of proc_pid_net(5): number, local address, remote address, state; 0A is TCP_LISTEN.
        format!("{} ", words[1]).ends_with(&local) && words[3] == "0A"
    })
}

/// Guards against the rest of a body that is taken for the next request, after a response that did not wait for it.
#[test]
fn the_rest_of_a_refused_body_is_no_request() {
    struct Refusing(flume::Sender<String>);
    impl Handler for Refusing {
        fn needs_body(&self, head: &Head<'_>) -> bool {
            head.uri.path() == "/large"
        }

        fn handle(&self, request: Request, reply: Reply) {
            self.0.send(request.path.to_string()).unwrap();
            reply.send(StatusCode::NOT_FOUND, HeaderMap::new(), bytes("refused"));
        }
    }
    let (sender, paths) = flume::unbounded();
    let mut settings = local();
    settings.max_body_bytes = 1_000;
    let listener = listen(settings, Arc::new(Refusing(sender)));
    for path in ["/skipped", "/large"] {
        let mut stream = connect(listener.address());
        let head = format!("POST {path} HTTP/1.1\r\nHost: here\r\nContent-Length: 5000\r\n\r\n");
        stream.write_all(head.as_bytes()).unwrap();
        read_until(&mut stream, "\r\n\r\n");

        // The connection may be closed already.
        let _ = stream.write_all(b"GET /inside HTTP/1.1\r\nHost: here\r\n\r\n");

        let rest = read_all(&mut stream);
        assert!(!rest.contains("HTTP/1.1"), "{path}: {rest:?}");
        eventually("closed", || listener.open_connections() == 0);
    }
    assert_eq!(paths.drain().collect::<Vec<_>>(), ["/skipped"]);
}

#[test]
fn a_head_request_leaves_no_exchange_open() {
    // Guards against a drain that waits for a completed exchange, because hyper never polls the body of a response to HEAD.
    let listener = listen(local(), echo());
    let mut stream = connect(listener.address());
    stream
        .write_all(b"HEAD / HTTP/1.1\r\nHost: here\r\n\r\n")
        .unwrap();

    read_until(&mut stream, "\r\n\r\n");

    eventually("no exchange is open", || listener.open_exchanges() == 0);
}

#[test]
fn an_aborted_reply_ends_the_connection_without_a_byte() {
    let handler = FnHandler(|_: Request, reply: Reply| reply.abort());
    let listener = listen(local(), Arc::new(handler));

    let response = send_raw(listener.address(), post("/", "").as_bytes());

    assert_eq!(response, "");
}

#[test]
fn all_bodies_together_are_bounded() {
    // Guards against many bodies that exhaust the memory although each is within its own limit. While one body
    // awaits its response, a second that exceeds the total is refused; after the response it is accepted.
    let mut settings = local();
    settings.memory = Memory::new(1_300 * 1_024);
    let (sender, receiver) = flume::bounded(1);
    let handler = FnHandler(move |request: Request, reply: Reply| match &*request.path {
        "/wait" => sender.send(reply).unwrap(),
        _ => reply.send(StatusCode::OK, HeaderMap::new(), bytes("took it")),
    });
    let listener = listen(settings, Arc::new(handler));
    let mut first = connect(listener.address());
    let body = "x".repeat(500 * 1_024);
    first.write_all(post("/wait", &body).as_bytes()).unwrap();
    let reply = receiver.recv_timeout(TEST_TIMEOUT).unwrap();

    let refused = send_raw(listener.address(), post("/", &body).as_bytes());
    reply.send(StatusCode::OK, HeaderMap::new(), bytes("at last"));
    read_until(&mut first, "at last");
    let mut third = connect(listener.address());
    third.write_all(post("/", &body).as_bytes()).unwrap();

    assert_refusal(&refused, Code::Overloaded);
    read_until(&mut third, "took it");
}
