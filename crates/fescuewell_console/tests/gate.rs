//! The listener under callers that are slow, large, many or half open.

mod fixture;

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use fescuewell_console::gate::{Gate, Limits};
use fixture::{TOKEN, World, start_with};

fn strict() -> Limits {
    Limits {
        connections: 2,
        head_bytes: 4_096,
        head_time: Duration::from_millis(100),
        ..Limits::default()
    }
}

fn connect(world: &World) -> TcpStream {
    TcpStream::connect(world.console.address()).unwrap()
}

fn answer(mut stream: TcpStream) -> String {
    let mut text = Vec::new();
    // A reset after the answer is not what these tests are about.
    let _ = stream.read_to_end(&mut text);
    String::from_utf8_lossy(&text).into_owned()
}

fn exchange(world: &World, request: &str) -> String {
    let mut stream = connect(world);
    // The console may answer and close before it has read everything.
    let _ = stream.write_all(request.as_bytes());
    answer(stream)
}

fn health(world: &World) -> String {
    exchange(world, "GET /healthz HTTP/1.1\r\nHost: console\r\n\r\n")
}

#[test]
fn a_half_sent_head_is_answered_and_closed() {
    // Symptom: the console stops answering. Sequence: callers send half a head and stay. Cause: the server under
    // the console waits for the rest without a limit, with a thread for each.
    let world = start_with(strict());
    let mut stream = connect(&world);
    stream.write_all(b"GET / HT").unwrap();
    assert!(answer(stream).starts_with("HTTP/1.1 408"));
    assert!(health(&world).ends_with("ok\n"));
}

#[test]
fn connections_beyond_the_cap_are_told_so_and_others_go_on() {
    let limits = Limits {
        head_time: Duration::from_secs(60),
        ..strict()
    };
    let world = start_with(limits);
    let mut held = vec![connect(&world), connect(&world)];
    assert!(answer(connect(&world)).starts_with("HTTP/1.1 503"));
    // One that is held is let through; it frees its place when it ends.
    let mut first = held.remove(0);
    first
        .write_all(b"GET /healthz HTTP/1.1\r\nHost: console\r\n\r\n")
        .unwrap();
    assert!(answer(first).ends_with("ok\n"));
    drop(held);
    while !health(&world).ends_with("ok\n") {
        std::thread::yield_now();
    }
}

#[test]
fn an_oversized_head_is_refused() {
    let world = start_with(strict());
    let large = "x".repeat(8_192);
    let text = exchange(
        &world,
        &format!("GET / HTTP/1.1\r\nX-Large: {large}\r\n\r\n"),
    );
    assert!(text.starts_with("HTTP/1.1 431"), "{text}");
    assert!(health(&world).ends_with("ok\n"));
}

#[test]
fn lines_that_parsers_read_differently_are_refused() {
    let world = start_with(strict());
    for line in ["X-A : b", " folded", "no colon", "X-A: b\r\n\tfolded: c"] {
        let text = exchange(&world, &format!("GET / HTTP/1.1\r\n{line}\r\n\r\n"));
        assert!(text.starts_with("HTTP/1.1 400"), "{line}: {text}");
    }
}

/// Guards against a caller that is refused for want of room right after its own last connection was rejected.
#[test]
fn room_is_free_once_a_rejected_caller_has_seen_the_end() {
    let world = start_with(Limits {
        connections: 1,
        ..strict()
    });
    for _ in 0..200 {
        let malformed = exchange(&world, "GET / HTTP/1.1\r\nno colon\r\n\r\n");
        assert!(malformed.starts_with("HTTP/1.1 400"), "{malformed}");
    }
}

#[test]
fn an_oversized_body_gets_its_numbered_error() {
    let world = start_with(strict());
    let body = format!("operator={}", "x".repeat((1 << 20) + 1_000));
    let length = body.len();
    let head = "POST /sign-in HTTP/1.1\r\nHost: console\r\nContent-Type: application/x-www-form-urlencoded";
    let text = exchange(
        &world,
        &format!("{head}\r\nContent-Length: {length}\r\n\r\n{body}"),
    );
    assert!(
        text.starts_with("HTTP/1.1 413") && text.contains("E1006"),
        "{text}"
    );
}

#[test]
fn a_body_that_stops_half_way_changes_nothing() {
    let world = start_with(strict());
    let mut stream = connect(&world);
    let head = format!(
        "POST /api/document?base=0 HTTP/1.1\r\nHost: c\r\nAuthorization: Bearer {TOKEN}\r\nContent-Length: 99\r\n\r\n{{}}"
    );
    stream.write_all(head.as_bytes()).unwrap();
    stream.shutdown(Shutdown::Write).unwrap();
    let text = answer(stream);
    assert!(!text.starts_with("HTTP/1.1 200"), "{text}");
    assert!(world.table.rows().is_empty());
    assert!(health(&world).ends_with("ok\n"));
}

#[test]
fn the_gates_own_headers_cannot_be_sent_from_outside() {
    // Symptom: one stranger's failed sign-ins lock an operator out, or guesses are counted nowhere. Sequence: the
    // stranger sends the header from which the console takes the peer's address. Cause: passing it on.
    // A connection is counted until its thread has ended, so each needs room beside the one before.
    let world = start_with(Limits {
        connections: Limits::default().connections,
        ..strict()
    });
    let body = "operator=ana&password=guess";
    let mut last = String::new();
    for number in 0..=fescuewell_console::session::MOST_FAILURES {
        last = exchange(
            &world,
            &format!(
                "POST /sign-in HTTP/1.1\r\nHost: c\r\nx-console-peer: 10.0.0.{number}:1\r\n\
                 Content-Length: {}\r\n\r\n{body}",
                body.len()
            ),
        );
    }
    assert!(last.starts_with("HTTP/1.1 429"), "{last}");
}

#[test]
fn a_lost_inner_server_is_noticed_and_replaced() {
    // Symptom: the console refuses everybody until it is restarted. Sequence: descriptors run out for a moment, and
    // the inner server's accept loop ends at the first error. Cause: nobody notices.
    let closed: SocketAddr = {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.local_addr().unwrap()
    };
    let gate = Gate::start(([127, 0, 0, 1], 0).into(), closed, "t".into(), strict()).unwrap();
    let ask = || {
        let mut stream = TcpStream::connect(gate.address()).unwrap();
        stream.write_all(b"GET / HTTP/1.1\r\n\r\n").unwrap();
        answer(stream)
    };
    assert!(ask().starts_with("HTTP/1.1 503") && gate.inner_is_lost());
    let fresh = TcpListener::bind("127.0.0.1:0").unwrap();
    gate.set_inner(fresh.local_addr().unwrap());
    let serving = std::thread::spawn(move || {
        let (mut stream, _) = fresh.accept().unwrap();
        let mut head = [0u8; 512];
        let count = stream.read(&mut head).unwrap();
        stream.write_all(b"fresh").unwrap();
        String::from_utf8_lossy(&head[..count]).into_owned()
    });
    assert_eq!(ask(), "fresh");
    let passed_on = serving.join().unwrap();
    assert!(passed_on.contains("X-Console-Gate: t") && passed_on.contains("Connection: close"));
    assert!(!gate.inner_is_lost());
}

#[test]
fn a_stopped_console_frees_its_address() {
    let mut world = start_with(strict());
    let address = world.console.address();
    world.console.stop();
    assert!(TcpStream::connect(address).is_err());
}
