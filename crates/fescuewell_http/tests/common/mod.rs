//! Fixtures shared by the tests of the listener and the client.
#![allow(dead_code)] // Each test program uses some of them.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fescuewell_http::listener::{Handler, Listener, Reply, Request, Settings};
use http::{HeaderMap, StatusCode};

/// Longest that a test waits for something that must happen; reached only when it fails.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// A handler made of a closure.
pub struct Answer<Body>(pub Body);

impl<Body> Handler for Answer<Body>
where
    Body: Fn(Request, Reply) + Send + Sync,
{
    fn handle(&self, request: Request, reply: Reply) {
        (self.0)(request, reply);
    }
}

/// Answers each request with its own body.
pub fn echo() -> Arc<dyn Handler> {
    Arc::new(Answer(|request: Request, reply: Reply| {
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
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    stream.set_write_timeout(Some(PATIENCE)).unwrap();
    stream
}

/// Reads until the peer closes the connection.
pub fn read_all(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let _ = stream.read_to_end(&mut bytes);
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Reads until what came contains `mark`.
pub fn read_until(stream: &mut TcpStream, mark: &str) -> String {
    let mut text = String::new();
    let mut buffer = [0u8; 4096];
    while !text.contains(mark) {
        let count = stream.read(&mut buffer).unwrap();
        assert!(count > 0, "connection ended before {mark:?}: {text:?}");
        text.push_str(&String::from_utf8_lossy(&buffer[..count]));
    }
    text
}

/// Sends raw bytes and returns everything that comes back until the connection ends.
pub fn talk(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = connect(address);
    let _ = stream.write_all(bytes);
    read_all(&mut stream)
}

/// Asserts that an answer is a refusal of this code, in status, header and body.
pub fn assert_refusal(answer: &str, code: fescuewell_core::code::Code) {
    let status = format!("HTTP/1.1 {} ", code.status());
    assert!(answer.starts_with(&status), "{answer:?}");
    let header = format!("x-fescuewell-code: {}", code.number());
    assert!(answer.contains(&header), "{answer:?}");
    let body = format!("{{\"error\":{{\"code\":{},", code.number());
    assert!(answer.contains(&body), "{answer:?}");
    assert!(answer.contains("\"run\":"), "{answer:?}");
}

/// Waits until `holds`, for what another thread does.
pub fn eventually<Condition>(what: &str, holds: Condition)
where
    Condition: Fn() -> bool,
{
    let deadline = std::time::Instant::now() + PATIENCE;
    while !holds() {
        assert!(std::time::Instant::now() < deadline, "never: {what}");
        std::thread::yield_now();
    }
}

/// A request in text form.
pub fn post(path: &str, body: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: here\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

pub fn bytes(text: &str) -> Bytes {
    Bytes::copy_from_slice(text.as_bytes())
}
