//! Fixtures shared by the tests of the listener and the upstream client.
#![allow(dead_code)] // No test binary uses all of them.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fescuewell_http::listener::{Handler, Listener, Reply, Request, Settings};
use http::{HeaderMap, StatusCode};

/// How long a test waits for an expected event; reached only if the test fails.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// A handler that calls a closure.
pub struct FnHandler<Callback>(pub Callback);

impl<Callback> Handler for FnHandler<Callback>
where
    Callback: Fn(Request, Reply) + Send + Sync,
{
    fn handle(&self, request: Request, reply: Reply) {
        (self.0)(request, reply);
    }
}

/// Returns a handler that responds to each request with the request's body.
pub fn echo() -> Arc<dyn Handler> {
    Arc::new(FnHandler(|request: Request, reply: Reply| {
        reply.send(StatusCode::OK, HeaderMap::new(), request.body);
    }))
}

pub fn local() -> Settings {
    Settings::new("127.0.0.1:0".parse().unwrap())
}

pub fn listen(settings: Settings, handler: Arc<dyn Handler>) -> Listener {
    Listener::start(settings, handler).unwrap()
}

pub fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    stream.set_write_timeout(Some(TEST_TIMEOUT)).unwrap();
    stream
}

/// Reads until the peer closes the connection.
pub fn read_all(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let _ = stream.read_to_end(&mut bytes);
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Reads until the received text contains `mark`.
pub fn read_until(stream: &mut TcpStream, mark: &str) -> String {
    let mut text = String::new();
    let mut buffer = [0u8; 4096];
    while !text.contains(mark) {
        let count = stream.read(&mut buffer).unwrap();
        assert!(
            count > 0,
            "connection ended before {mark:?} was received: {text:?}"
        );
        text.push_str(&String::from_utf8_lossy(&buffer[..count]));
    }
    text
}

/// Sends raw bytes and returns everything that is received until the connection ends.
pub fn send_raw(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = connect(address);
    let _ = stream.write_all(bytes);
    read_all(&mut stream)
}

/// Asserts that status, header and body of a response are those of a refusal with this code.
pub fn assert_refusal(response: &str, code: fescuewell_core::code::Code) {
    let status = format!("HTTP/1.1 {} ", code.status());
    assert!(response.starts_with(&status), "{response:?}");
    let header = format!("x-fescuewell-code: {}", code.number());
    assert!(response.contains(&header), "{response:?}");
    let body = format!("{{\"error\":{{\"code\":{},", code.number());
    assert!(response.contains(&body), "{response:?}");
    assert!(response.contains("\"run\":"), "{response:?}");
}

/// Polls until `holds` returns true, for effects of another thread.
pub fn eventually<Condition>(what: &str, holds: Condition)
where
    Condition: Fn() -> bool,
{
    let deadline = std::time::Instant::now() + TEST_TIMEOUT;
    while !holds() {
        assert!(
            std::time::Instant::now() < deadline,
            "condition not met: {what}"
        );
        std::thread::yield_now();
    }
}

/// Encodes a POST request.
pub fn post(path: &str, body: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: here\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

pub fn bytes(text: &str) -> Bytes {
    Bytes::copy_from_slice(text.as_bytes())
}
