//! A small HTTP/1.1 client.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// What a client has received.
#[derive(Debug, Default, Clone)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
    /// Whether the answer is complete by its framing.
    pub is_whole: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|line| {
            let (key, value) = line.split_once(':')?;
            key.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }
}

pub struct Request {
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn new(line: &str, host: &str, id: &str, key: &str, deadline_ms: u64) -> Self {
        let headers = [
            ("Host", host.to_owned()),
            ("X-Fescuewell-Request-Id", id.to_owned()),
            ("X-Fescuewell-Deadline-Ms", deadline_ms.to_string()),
            ("X-Fescuewell-Key", key.to_owned()),
        ];
        let headers = headers
            .into_iter()
            .map(|(name, value)| (name.to_owned(), value));
        Self {
            line: line.to_owned(),
            headers: headers.collect(),
            body: Vec::new(),
        }
    }

    pub fn with(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    pub fn with_body(mut self, body: Vec<u8>) -> Self {
        self.body = body;
        self
    }

    pub fn head(&self) -> Vec<u8> {
        let mut text = format!("{} HTTP/1.1\r\n", self.line);
        for (name, value) in &self.headers {
            text += &format!("{name}: {value}\r\n");
        }
        if !self.body.is_empty() || !self.line.starts_with("GET") {
            text += &format!("Content-Length: {}\r\n", self.body.len());
        }
        text += "\r\n";
        text.into_bytes()
    }
}

/// Sends a request on a new connection and reads the answer until `limit` is over.
pub fn send(address: SocketAddr, request: &Request, limit: Duration) -> Option<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    let _ = stream.set_nodelay(true);
    let until = Instant::now() + limit;
    let _ = stream.set_write_timeout(Some(limit));
    stream.write_all(&request.head()).ok()?;
    stream.write_all(&request.body).ok()?;
    read_answer(&mut stream, until)
}

/// Reads an answer; one that is incomplete at `until`, or when the connection ends, is returned as it is.
pub fn read_answer(stream: &mut TcpStream, until: Instant) -> Option<Answer> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 16 * 1024];
    let mut is_ended = false;
    loop {
        if let Some(answer) = parse(&bytes, is_ended) {
            return Some(answer);
        }
        if is_ended {
            return None;
        }
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            is_ended = true;
            continue;
        }
        let _ = stream.set_read_timeout(Some(left));
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => is_ended = true,
            Ok(count) => bytes.extend_from_slice(&buffer[..count]),
        }
    }
}

fn parse(bytes: &[u8], is_ended: bool) -> Option<Answer> {
    let end = bytes.windows(4).position(|four| four == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let mut answer = Answer {
        status,
        head,
        ..Answer::default()
    };
    let body = &bytes[end + 4..];
    if let Some(length) = answer
        .header("content-length")
        .and_then(|text| text.parse::<usize>().ok())
    {
        answer.is_whole = body.len() >= length;
        answer.body = body[..body.len().min(length)].to_vec();
    } else if answer.header("transfer-encoding").is_some() {
        (answer.body, answer.is_whole) = dechunk(body);
    } else {
        answer.body = body.to_vec();
    }
    (answer.is_whole || is_ended).then_some(answer)
}

fn dechunk(mut bytes: &[u8]) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    loop {
        let Some(end) = bytes.windows(2).position(|two| two == b"\r\n") else {
            return (body, false);
        };
        let size = std::str::from_utf8(&bytes[..end]).ok();
        let Some(size) = size.and_then(|text| usize::from_str_radix(text.trim(), 16).ok()) else {
            return (body, false);
        };
        let rest = &bytes[end + 2..];
        if size == 0 {
            return (body, true);
        }
        if rest.len() < size + 2 {
            body.extend_from_slice(&rest[..rest.len().min(size)]);
            return (body, false);
        }
        body.extend_from_slice(&rest[..size]);
        bytes = &rest[size + 2..];
    }
}

pub fn get_status(address: SocketAddr, path: &str) -> Option<u16> {
    let request = Request {
        line: format!("GET {path}"),
        headers: vec![("Host".into(), "x".into())],
        body: Vec::new(),
    };
    send(address, &request, Duration::from_secs(1)).map(|answer| answer.status)
}
