//! The listener's answers, streams and bounds.

mod common;

use std::io::Write;
use std::sync::Arc;
use std::time::Duration;

use common::*;
use fescuewell_core::code::Code;
use fescuewell_http::listener::{Ending, Reply, Request, TrySendError, spawn};
use http::{HeaderMap, StatusCode};

const SHORT: Duration = Duration::from_millis(50);

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
    // Symptom: tokens arrive all at once at the end. Sequence: a small chunk is sent and then nothing for a
    // while. Cause: a server that fills a buffer before it writes. Here the second chunk is made only
    // after the caller has confirmed the first, so a held-back chunk would block the test.
    let (confirm, confirmed) = flume::bounded::<()>(1);
    let handler = Answer(move |_: Request, reply: Reply| {
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
    // Symptom: a caller takes a broken answer for a whole one. Sequence: the producer gives up half way. Cause:
    // ending the chunked body properly in that case too.
    let handler = Answer(|_: Request, reply: Reply| {
        let sink = reply.stream(StatusCode::OK, HeaderMap::new());
        spawn(async move { sink.send(bytes("half")).await.unwrap() });
    });
    let listener = listen(local(), Arc::new(handler));

    let answer = talk(listener.address(), post("/", "").as_bytes());

    assert!(!answer.contains("0\r\n\r\n"), "{answer:?}");
}

#[test]
fn the_handler_learns_that_the_caller_went_away_within_an_answer() {
    // Symptom: an engine goes on producing for nobody. Sequence: the caller closes its connection in
    // the middle of an answer. Cause: nobody looks at a connection while there is nothing to write on it.
    let (hand_over, handed) = flume::bounded(1);
    let handler = Answer(move |_: Request, reply: Reply| {
        let sink = reply.stream(StatusCode::OK, HeaderMap::new());
        hand_over.send(sink).unwrap();
    });
    let listener = listen(local(), Arc::new(handler));
    let mut stream = connect(listener.address());
    stream.write_all(post("/", "").as_bytes()).unwrap();
    let sink = handed.recv_timeout(PATIENCE).unwrap();

    drop(stream);

    eventually("the sink is told", || {
        sink.closed().now() == Some(Ending::CallerGone)
    });
    eventually("the connection is closed", || {
        listener.open_connections() == 0
    });
}

#[test]
fn the_handler_learns_that_the_caller_went_away_before_any_answer() {
    // As above, but the request is still waiting for its answer, for instance in a queue.
    let (hand_over, handed) = flume::bounded(1);
    let handler = Answer(move |_: Request, reply: Reply| hand_over.send(reply).unwrap());
    let listener = listen(local(), Arc::new(handler));
    let mut stream = connect(listener.address());
    stream.write_all(post("/", "").as_bytes()).unwrap();
    let reply = handed.recv_timeout(PATIENCE).unwrap();

    drop(stream);

    eventually("the reply is told", || {
        reply.closed().now() == Some(Ending::CallerGone)
    });
}

#[test]
fn an_answer_that_arrived_whole_is_told_so() {
    let (tell, told) = flume::bounded(1);
    let handler = Answer(move |request: Request, reply: Reply| {
        let closed = reply.closed();
        let tell = tell.clone();
        spawn(async move { tell.send(closed.wait().await).unwrap() });
        reply.send(StatusCode::OK, HeaderMap::new(), request.body);
    });
    let listener = listen(local(), Arc::new(handler));
    let mut stream = connect(listener.address());

    stream.write_all(post("/", "whole").as_bytes()).unwrap();

    read_until(&mut stream, "whole");
    assert_eq!(told.recv_timeout(PATIENCE), Ok(Ending::Answered));
}

#[test]
fn a_handler_that_panics_or_forgets_its_reply_costs_one_answer() {
    // Symptom: one odd request ends a listener thread and all its connections. Cause: a panic in a handler.
    let handler = Answer(|request: Request, reply: Reply| match &*request.path {
        "/panic" => panic!("as the test wants"),
        "/forget" => drop(reply),
        _ => reply.send(StatusCode::OK, HeaderMap::new(), bytes("fine")),
    });
    let listener = listen(local(), Arc::new(handler));
    let mut stream = connect(listener.address());

    for path in ["/panic", "/forget"] {
        stream.write_all(post(path, "").as_bytes()).unwrap();
        let answer = read_until(&mut stream, "}}");
        assert_refusal(&answer, Code::Internal);
    }
    stream.write_all(post("/", "").as_bytes()).unwrap();

    read_until(&mut stream, "fine");
}

#[test]
fn half_a_head_is_refused_after_its_time() {
    // Symptom: half-open requests hold connections for ever. Sequence: a caller sends part of a head, or
    // nothing, and goes silent. Cause: no bound on the time of a head.
    let mut settings = local();
    settings.header_timeout = SHORT;
    let listener = listen(settings, echo());

    for part in ["", "GE", "GET / HTTP/1.1\r\nHost: he"] {
        let answer = talk(listener.address(), part.as_bytes());
        assert_refusal(&answer, Code::RequestTimeout);
    }
    eventually("all closed", || listener.open_connections() == 0);
}

#[test]
fn half_a_body_is_refused_after_its_time() {
    // As above, for a caller that announces a body and never sends all of it.
    let mut settings = local();
    settings.body_timeout = SHORT;
    let listener = listen(settings, echo());
    let half = "POST / HTTP/1.1\r\nHost: here\r\nContent-Length: 100\r\n\r\nhalf";

    let answer = talk(listener.address(), half.as_bytes());

    assert_refusal(&answer, Code::RequestTimeout);
}

#[test]
fn an_idle_connection_is_closed_without_a_word() {
    let mut settings = local();
    settings.idle_timeout = SHORT;
    let listener = listen(settings, echo());
    let mut stream = connect(listener.address());
    stream.write_all(post("/", "done").as_bytes()).unwrap();

    let answer = read_all(&mut stream);

    assert!(answer.ends_with("done"), "{answer:?}");
}

#[test]
fn an_oversized_head_is_refused() {
    // Symptom: one caller fills the memory with headers. Cause: a head without bounds. A path beyond the bound
    // is part of the head, too.
    let listener = listen(local(), echo());
    let long = "x".repeat(200_000);
    let header = format!("GET / HTTP/1.1\r\nHost: here\r\nX-Long: {long}\r\n\r\n");
    let path = format!("GET /{long} HTTP/1.1\r\nHost: here\r\n\r\n");
    let many = format!("GET / HTTP/1.1\r\n{}\r\n", "X-A: b\r\n".repeat(500));

    for head in [header, path, many] {
        let answer = talk(listener.address(), head.as_bytes());
        assert_refusal(&answer, Code::HeadTooLarge);
    }
}

#[test]
fn an_oversized_body_is_refused_announced_or_not() {
    // Symptom: one caller fills the memory with a body. Sequence: the size is announced, or the body comes in
    // chunks without an announcement. The refusal must arrive although the caller is still sending.
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
        let answer = talk(listener.address(), request.as_bytes());
        assert_refusal(&answer, Code::BodyTooLarge);
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
        let answer = talk(listener.address(), text.as_bytes());
        assert_refusal(&answer, Code::MalformedRequest);
    }
}

#[test]
fn a_malformed_request_after_a_good_one_is_refused_after_its_answer() {
    // The refusal of the second must neither replace nor precede the first answer.
    let listener = listen(local(), echo());
    let mut stream = connect(listener.address());
    stream.write_all(post("/", "good").as_bytes()).unwrap();
    read_until(&mut stream, "good");

    stream.write_all(b"nonsense\r\n\r\n").unwrap();

    assert_refusal(&read_all(&mut stream), Code::MalformedRequest);
}

#[test]
fn a_connection_beyond_the_cap_is_told_and_closed() {
    // Symptom: one caller's many connections use up the descriptors of the instance. Sequence: connections up to
    // the cap stay open; one more comes; one of them closes. Cause: no cap, or a cap that counts wrongly.
    let listener = listen(local().with_max_connections(2), echo());
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
    // Symptom: answers pile up in memory for callers that went silent without closing. Sequence: the caller sends a
    // request and never reads; the producer goes on. Cause: an unbounded buffer, or no bound on
    // the time for which nothing can be written.
    let mut settings = local();
    settings.write_stall_timeout = SHORT;
    let (tell, told) = flume::bounded(1);
    let handler = Answer(move |_: Request, reply: Reply| {
        let sink = reply.stream(StatusCode::OK, HeaderMap::new());
        let tell = tell.clone();
        spawn(async move {
            let chunk = bytes(&"z".repeat(64 * 1024));
            while sink.send(chunk.clone()).await.is_ok() {}
            tell.send(sink.closed().wait().await).unwrap();
        });
    });
    let listener = listen(settings, Arc::new(handler));
    let mut stream = connect(listener.address());

    stream.write_all(post("/", "").as_bytes()).unwrap();

    assert_eq!(told.recv_timeout(PATIENCE), Ok(Ending::CallerGone));
    eventually("the connection is closed", || {
        listener.open_connections() == 0
    });
}

#[test]
fn a_full_buffer_gives_the_chunk_back() {
    let (tell, told) = flume::bounded(1);
    let handler = Answer(move |_: Request, reply: Reply| {
        let sink = reply.stream(StatusCode::OK, HeaderMap::new());
        // Nothing is written while this function runs, so the buffer fills.
        let refused = (0..10_000).find_map(|_| sink.try_send(bytes("chunk")).err());
        tell.send(refused).unwrap();
        sink.finish();
    });
    let listener = listen(local(), Arc::new(handler));

    talk_to_end(listener.address());

    let chunk = bytes("chunk");
    let refused = told.recv_timeout(PATIENCE).unwrap();
    assert_eq!(refused, Some(TrySendError::Full { chunk }));
}

fn talk_to_end(address: std::net::SocketAddr) {
    let mut stream = connect(address);
    stream.write_all(post("/", "").as_bytes()).unwrap();
    read_until(&mut stream, "0\r\n\r\n");
}

#[test]
fn a_drain_finishes_what_is_open_and_takes_nothing_new() {
    // Symptom: a shutdown cuts off an answer. Sequence: a stream is open, another connection is idle; the listener
    // drains; the stream is finished meanwhile. Cause: closing connections without looking at exchanges.
    let (hand_over, handed) = flume::bounded(1);
    let handler = Answer(move |_: Request, reply: Reply| {
        let sink = reply.stream(StatusCode::OK, HeaderMap::new());
        hand_over.send(sink).unwrap();
    });
    let listener = listen(local(), Arc::new(handler));
    let mut stream = connect(listener.address());
    stream.write_all(post("/", "").as_bytes()).unwrap();
    let sink = handed.recv_timeout(PATIENCE).unwrap();
    sink.try_send(bytes("begun")).unwrap();

    assert_eq!(listener.drain(SHORT), 1);
    eventually("new connections are refused", || {
        std::net::TcpStream::connect(listener.address()).is_err()
    });
    sink.try_send(bytes("ended")).unwrap();
    sink.finish();

    assert_eq!(listener.drain(PATIENCE), 0);
    let answer = read_all(&mut stream);
    assert!(
        answer.contains("begun") && answer.ends_with("ended\r\n0\r\n\r\n"),
        "{answer:?}"
    );
}

/// Symptom: callers queued for seconds at an instance whose link was full. Sequence: it says that it takes no more; callers
/// keep its address and open further connections. Cause: its listener took them in.
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

/// Symptom: an instance that had kept connections out for a moment could not listen again: "address already in use". Sequence:
/// the gate closes, a connection that another program opens gets the free port as its own, the gate opens. Cause: the port was
/// given up together with the listening socket.
#[test]
fn a_closed_gate_keeps_the_port() {
    let listener = listen(local(), echo());
    let address = listener.address();
    listener.gate().set(false);
    // No connection is tried: one that is accepted would hold the port as well.
    eventually("the socket is closed", || !is_listened_on(address));

    let other = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    let taken = other.bind(&address.into());

    assert_eq!(
        taken.map_err(|error| error.kind()),
        Err(std::io::ErrorKind::AddrInUse)
    );
}

/// Whether the operating system lists a listening socket at the port.
fn is_listened_on(address: std::net::SocketAddr) -> bool {
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let local = format!(":{:04X} ", address.port());
    let mut lines = table.lines().skip(1);
    lines.any(|line| {
        let words: Vec<&str> = line.split_whitespace().collect();
        // Columns of proc_pid_net(5): number, local address, remote address, state; 0A is "listening".
        format!("{} ", words[1]).ends_with(&local) && words[3] == "0A"
    })
}

#[test]
fn a_head_request_leaves_no_exchange_open() {
    // Symptom: a drain waits for an exchange that has ended. Cause: the body of an answer to HEAD is never read.
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
    let handler = Answer(|_: Request, reply: Reply| reply.abort());
    let listener = listen(local(), Arc::new(handler));

    let answer = talk(listener.address(), post("/", "").as_bytes());

    assert_eq!(answer, "");
}

#[test]
fn all_bodies_together_are_bounded() {
    // Symptom: the process ends for want of memory although each body keeps its bound. Sequence: a body waits for
    // its answer; another one comes that does not fit beside it; the first is answered; the second comes again.
    let mut settings = local();
    settings.max_buffered_bytes = 1_000;
    let (hand_over, handed) = flume::bounded(1);
    let handler = Answer(move |request: Request, reply: Reply| match &*request.path {
        "/wait" => hand_over.send(reply).unwrap(),
        _ => reply.send(StatusCode::OK, HeaderMap::new(), bytes("took it")),
    });
    let listener = listen(settings, Arc::new(handler));
    let mut first = connect(listener.address());
    let body = "x".repeat(700);
    first.write_all(post("/wait", &body).as_bytes()).unwrap();
    let reply = handed.recv_timeout(PATIENCE).unwrap();

    let refused = talk(listener.address(), post("/", &body).as_bytes());
    reply.send(StatusCode::OK, HeaderMap::new(), bytes("at last"));
    read_until(&mut first, "at last");
    let mut third = connect(listener.address());
    third.write_all(post("/", &body).as_bytes()).unwrap();

    assert_refusal(&refused, Code::Overloaded);
    read_until(&mut third, "took it");
}
