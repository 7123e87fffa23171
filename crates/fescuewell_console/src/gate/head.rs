//! Reading one request's head within its limits, and what is passed on of it.

use std::io::{ErrorKind, Read};
use std::net::{SocketAddr, TcpStream};
use std::time::Instant;

use super::Limits;

/// Header that carries the gate's token to the inner server.
pub const TOKEN_HEADER: &str = "X-Console-Gate";
/// Header that carries the peer's address to the inner server.
pub const PEER_HEADER: &str = "X-Console-Peer";

const END: &[u8] = b"\r\n\r\n";

/// A head and what arrived after it.
pub(super) struct Request {
    pub(super) head: Vec<u8>,
    pub(super) rest: Vec<u8>,
}

/// Why no head could be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Problem {
    Gone,
    TooLarge,
    TooSlow,
    Malformed,
}

pub(super) fn read(
    stream: &mut TcpStream,
    limits: &Limits,
    started: Instant,
) -> Result<Request, Problem> {
    let mut bytes = Vec::new();
    let mut buffer = [0u8; 2_048];
    loop {
        // The time left, not a fixed one: a peer that sends a byte now and then must not
        // stay in this loop for ever.
        let left = limits.head_time.saturating_sub(started.elapsed());
        if left.is_zero() {
            return Err(Problem::TooSlow);
        }
        let _ = stream.set_read_timeout(Some(left));
        let count = match stream.read(&mut buffer) {
            Ok(0) => return Err(Problem::Gone),
            Ok(count) => count,
            Err(error) => match error.kind() {
                ErrorKind::Interrupted => continue,
                ErrorKind::WouldBlock | ErrorKind::TimedOut => return Err(Problem::TooSlow),
                _ => return Err(Problem::Gone),
            },
        };
        let searched = bytes.len().saturating_sub(END.len());
        bytes.extend_from_slice(&buffer[..count]);
        let end = bytes[searched..].windows(END.len()).position(|w| w == END);
        if let Some(at) = end {
            let rest = bytes.split_off(searched + at + END.len());
            return Ok(Request { head: bytes, rest });
        }
        if bytes.len() > limits.head_bytes {
            return Err(Problem::TooLarge);
        }
    }
}

/// The head for the inner server: one request per connection, and headers that only the gate may set.
/// `None` when a line is no header.
pub(super) fn rewrite(head: &[u8], peer: SocketAddr, token: &str) -> Option<Vec<u8>> {
    let text = std::str::from_utf8(head).ok()?;
    let mut lines = text.split("\r\n").filter(|line| !line.is_empty());
    let mut rewritten = format!("{}\r\n", lines.next()?);
    for line in lines {
        let (name, _) = line.split_once(':')?;
        // Folded lines and names with blanks are read differently by different parsers.
        if name.is_empty() || name.contains(|c: char| c.is_whitespace()) {
            return None;
        }
        let replaced = ["Connection", "Keep-Alive", TOKEN_HEADER, PEER_HEADER];
        if replaced.iter().any(|own| own.eq_ignore_ascii_case(name)) {
            continue;
        }
        rewritten.push_str(line);
        rewritten.push_str("\r\n");
    }
    rewritten.push_str(&format!(
        "Connection: close\r\n{TOKEN_HEADER}: {token}\r\n{PEER_HEADER}: {peer}\r\n\r\n"
    ));
    Some(rewritten.into_bytes())
}

/// Returns the length of the request's body; `None` if it has none that is known.
pub(super) fn body_length(head: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(head).ok()?;
    let mut length = Some(0);
    for line in text.split("\r\n").skip(1) {
        let Some((name, value)) = line.split_once(':') else {
            continue;
        };
        if name.eq_ignore_ascii_case("Content-Length") {
            length = value.trim().parse().ok();
        }
        if name.eq_ignore_ascii_case("Transfer-Encoding") {
            return None;
        }
    }
    length
}
