//! What the clients of a crowd send.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::fixture::{HOST, KEY};
use crate::wire;

/// Where a crowd connects, and for what it asks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Door {
    /// The callers' listener, for a route that exists, with a valid key.
    Front,
    /// The callers' listener, for a path without a route.
    NoRoute,
    /// The callers' listener, with a key that no client account has.
    UnknownKey,
    /// The readiness check.
    Ready,
    /// The address list.
    Directory,
    /// The metrics.
    Metrics,
    /// The listener for other instances.
    Peer,
    /// All listeners at once.
    All,
}

/// How the clients of a crowd misbehave.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    /// Bodies of 4 MiB, one byte short.
    LargeBodies,
    /// Bodies of 12,000 bytes, one byte short, on very many connections.
    SmallBodies,
    /// Bodies in pieces of 64 bytes, one byte short.
    Pieces,
    /// Bodies in chunks of one byte, without their end.
    Chunks,
    /// Bodies far over the limit, by their length and in chunks.
    OverLimit,
    /// Heads of 16 KiB that consist of very many fields, with a body that is one byte short.
    ManyFields,
    /// Heads of 15 KB without their end, on very many connections.
    Heads,
    /// Requests sent one after the other, whose responses are not read.
    SentAhead,
    /// Large responses that are not read.
    Unread,
    /// Connections on which nothing is sent.
    Silent,
    /// Connections that stay open after one request.
    Idle,
    /// Heads and bodies a byte at a time.
    Drip,
}

/// Size of a legal body.
pub const BODY_BYTES: usize = 4 * 1024 * 1024;
/// Clients with a large body each; together they exceed the memory limit twice.
const LARGE_CLIENTS: usize = 24;
/// Size of a small body, and of a head without its end.
const SMALL_BODY_BYTES: usize = 12_000;
const HEAD_BYTES: usize = 15_000;
/// Clients with a small body or a head each. What they send is within the memory limit.
const MANY_CLIENTS: usize = 1_500;
/// Clients with pieces and what each sends.
const PIECE_CLIENTS: usize = 200;
const PIECES_BODY_BYTES: usize = 65_536;
const PIECE_BYTES: usize = 64;
/// Clients with chunks of one byte and the chunks of each.
const CHUNK_CLIENTS: usize = 20;
const CHUNKS: usize = 16_384;
/// Clients with a body over the limit, and what each sends at most.
const OVERSIZED_CLIENTS: usize = 60;
const OVERSIZED_BYTES: usize = 6 * 1024 * 1024;
/// Clients with many fields.
const FIELD_CLIENTS: usize = 400;
/// Size of a legal head.
pub const MAX_HEAD_BYTES: usize = 16_384;
/// Clients that send ahead, and the most that each sends.
const AHEAD_CLIENTS: usize = 100;
const AHEAD_BYTES: usize = 1024 * 1024;
/// Clients that read no response.
const UNREAD_CLIENTS: usize = 40;
/// Clients that send a byte at a time, and the bytes of each.
const DRIP_CLIENTS: usize = 200;
const DRIP_BYTES: usize = 20;
/// Clients go on after this time without progress of any.
const STALL: Duration = Duration::from_millis(400);
/// Bytes written at a time.
const BLOCK_BYTES: usize = 64 * 1024;

impl Way {
    /// Number of clients.
    pub fn clients(self) -> usize {
        match self {
            Self::LargeBodies => LARGE_CLIENTS,
            Self::SmallBodies | Self::Heads | Self::Silent | Self::Idle => MANY_CLIENTS,
            Self::Pieces => PIECE_CLIENTS,
            Self::Chunks => CHUNK_CLIENTS,
            Self::OverLimit => OVERSIZED_CLIENTS,
            Self::ManyFields => FIELD_CLIENTS,
            Self::SentAhead => AHEAD_CLIENTS,
            Self::Unread => UNREAD_CLIENTS,
            Self::Drip => DRIP_CLIENTS,
        }
    }

    /// Bytes that are written at a time.
    fn step(self) -> usize {
        match self {
            Self::Pieces => PIECE_BYTES,
            Self::Drip => 1,
            _ => BLOCK_BYTES,
        }
    }

    /// What the client with this number sends.
    fn bytes(self, door: Door, number: usize) -> Vec<u8> {
        let start = start(door, self, number);
        let with_length = |length: usize, sent: usize| {
            let mut bytes = format!("{start}Content-Length: {length}\r\n\r\n").into_bytes();
            bytes.resize(bytes.len() + sent, b'x');
            bytes
        };
        match self {
            Self::LargeBodies => with_length(BODY_BYTES, BODY_BYTES - 1),
            Self::SmallBodies => with_length(SMALL_BODY_BYTES, SMALL_BODY_BYTES - 1),
            Self::Pieces => with_length(PIECES_BODY_BYTES, PIECES_BODY_BYTES - 1),
            Self::Drip if number.is_multiple_of(2) => with_length(1_000, DRIP_BYTES),
            Self::Drip => start.into_bytes()[..DRIP_BYTES].to_vec(),
            Self::Chunks => {
                let head = format!("{start}Transfer-Encoding: chunked\r\n\r\n");
                (head + &"1\r\nx\r\n".repeat(CHUNKS)).into_bytes()
            }
            Self::OverLimit if number.is_multiple_of(2) => with_length(1 << 40, OVERSIZED_BYTES),
            Self::OverLimit => {
                let head = format!("{start}Transfer-Encoding: chunked\r\n\r\n");
                let chunk = format!("4000\r\n{}\r\n", "x".repeat(0x4000));
                (head + &chunk.repeat(OVERSIZED_BYTES / 0x4000)).into_bytes()
            }
            Self::ManyFields => {
                let end = "Content-Length: 2\r\n\r\n";
                let room = MAX_HEAD_BYTES - start.len() - end.len();
                let mut bytes = fill_fields(start, room).into_bytes();
                bytes.extend_from_slice(end.as_bytes());
                bytes.push(b'x');
                bytes
            }
            Self::Heads => {
                let mut bytes = format!("{start}X-Long: ").into_bytes();
                bytes.resize(HEAD_BYTES, b'x');
                bytes
            }
            Self::SentAhead => format!("{start}Content-Length: 5\r\n\r\nhello")
                .repeat(AHEAD_BYTES / (start.len() + 30))
                .into_bytes(),
            Self::Unread | Self::Idle => with_length(0, 0),
            Self::Silent => Vec::new(),
        }
    }
}

/// Appends as many short fields as fit into `room` bytes.
pub fn fill_fields(mut head: String, room: usize) -> String {
    let end = head.len() + room;
    for number in 0.. {
        let field = format!("{}:\r\n", name(number));
        if head.len() + field.len() > end {
            return head;
        }
        head.push_str(&field);
    }
    head
}

/// Short names that differ.
fn name(mut number: usize) -> String {
    let mut text = String::from("z");
    while number > 0 {
        text.push(char::from(b'a' + (number % 25) as u8));
        number /= 25;
    }
    text
}

/// Returns the request line and the first headers of a request.
fn start(door: Door, way: Way, number: usize) -> String {
    let (line, key) = match door {
        Door::Front if way == Way::Unread => ("POST /unsafe/large", KEY),
        Door::Front => ("POST /unsafe/crowd", KEY),
        Door::NoRoute => ("POST /no/such/route", KEY),
        Door::UnknownKey => ("POST /unsafe/crowd", "nobody"),
        Door::Ready => ("POST /-/readyz", KEY),
        Door::Directory | Door::All => ("POST /-/resolve?name=x&region=a&zone=a", KEY),
        Door::Metrics => ("POST /metrics", KEY),
        Door::Peer => ("POST /hop", KEY),
    };
    let (id, deadline) = (wire::REQUEST_ID, wire::DEADLINE);
    let own = wire::KEY;
    format!(
        "{line} HTTP/1.1\r\nHost: {HOST}\r\n{id}: c-{number}\r\n{deadline}: 19000\r\n{own}: {key}\r\n"
    )
}

/// A client of a crowd.
struct Client {
    stream: TcpStream,
    bytes: Vec<u8>,
    sent: usize,
}

/// The clients of a crowd, which hold their connections until the crowd is dropped.
pub struct Crowd {
    way: Way,
    clients: Vec<Client>,
}

impl Crowd {
    /// Connects all clients; those whose connections are refused are left out.
    pub fn connect(addresses: &[SocketAddr], door: Door, way: Way) -> Self {
        let mut clients = Vec::new();
        for number in 0..way.clients() {
            for address in addresses {
                let connected = TcpStream::connect_timeout(address, Duration::from_secs(1));
                let Ok(stream) = connected else {
                    continue;
                };
                stream.set_nonblocking(true).unwrap();
                stream.set_nodelay(true).unwrap();
                clients.push(Client {
                    stream,
                    bytes: way.bytes(door, number),
                    sent: 0,
                });
            }
        }
        Self { way, clients }
    }

    /// Connects so many clients to one address.
    pub fn of(address: SocketAddr, door: Door, way: Way, clients: usize) -> Self {
        let mut crowd = Self::of_bytes(address, clients, b"");
        crowd.way = way;
        for (number, client) in crowd.clients.iter_mut().enumerate() {
            client.bytes = way.bytes(door, number);
        }
        crowd
    }

    /// Connects so many clients that send these bytes each.
    pub fn of_bytes(address: SocketAddr, clients: usize, bytes: &[u8]) -> Self {
        let connect = |_| {
            let stream = TcpStream::connect(address).ok()?;
            stream.set_nonblocking(true).ok()?;
            Some(Client {
                stream,
                bytes: bytes.to_vec(),
                sent: 0,
            })
        };
        Self {
            way: Way::LargeBodies,
            clients: (0..clients).filter_map(connect).collect(),
        }
    }

    /// Sends what each client has to send, as far as the process takes it.
    pub fn send(&mut self) {
        let mut progress_at = Instant::now();
        while progress_at.elapsed() < STALL {
            let mut has_progress = false;
            let mut is_done = true;
            for client in &mut self.clients {
                has_progress |= client.step(self.way.step());
                is_done &= client.sent == client.bytes.len();
            }
            if is_done {
                return;
            }
            if has_progress {
                progress_at = Instant::now();
            } else {
                std::thread::sleep(Duration::from_millis(5));
            }
        }
    }
}

impl Client {
    /// Writes the next piece; returns whether a byte was taken. A client whose connection was closed is done.
    fn step(&mut self, most: usize) -> bool {
        let end = self.bytes.len().min(self.sent + most);
        if self.sent == end {
            return false;
        }
        match self.stream.write(&self.bytes[self.sent..end]) {
            Ok(count) => {
                self.sent += count;
                count > 0
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => false,
            Err(_) => {
                self.sent = self.bytes.len();
                true
            }
        }
    }
}

/// Reads what a connection receives until it is closed or nothing comes for a while.
pub fn read_some(stream: &mut TcpStream) -> Vec<u8> {
    let mut bytes = vec![0; 4_096];
    let count = stream.read(&mut bytes).unwrap_or(0);
    bytes.truncate(count);
    bytes
}
