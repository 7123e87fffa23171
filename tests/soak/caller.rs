//! Threads that send random requests to the instances and record the responses.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::fixture::{Request, Response, read_response};
use crate::streams;

/// Prompt tokens that each streaming request declares.
pub const PROMPT_TOKENS: u64 = 500;
/// Upper bound of output tokens that each streaming request declares.
pub const MAX_OUTPUT_TOKENS: u64 = 100;
/// Socket read timeout. Exceeds every request deadline, so that a late response is still recorded.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(12);

/// Kind of request: whether it streams and whether a server may run it more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    Safe,
    Unsafe,
    Stream,
    StreamOnce,
}

/// A request and the response to it, or `None` if no response was read.
#[derive(Debug, Clone)]
pub struct Exchange {
    pub id: String,
    pub kind: Kind,
    /// Index of the instance.
    pub front: usize,
    pub sent: Instant,
    /// When the response ended.
    pub ended: Instant,
    pub response: Option<Response>,
    /// Responses to the attempts that took the stream up.
    pub resumed: Vec<Response>,
}

/// A thread that sends requests until `stop` is set.
pub struct Caller {
    thread: JoinHandle<Vec<Exchange>>,
}

impl Caller {
    pub fn start(seed: u64, index: usize, fronts: Vec<SocketAddr>, stop: Arc<AtomicBool>) -> Self {
        let random = SmallRng::seed_from_u64(seed * 1_000 + index as u64);
        let thread = std::thread::spawn(move || run(random, index, &fronts, &stop));
        Self { thread }
    }

    pub fn join(self) -> Vec<Exchange> {
        self.thread.join().unwrap_or_default()
    }
}

fn run(
    mut random: SmallRng,
    index: usize,
    fronts: &[SocketAddr],
    stop: &AtomicBool,
) -> Vec<Exchange> {
    // Separate, so that the requests of a seed stay the same.
    let mut resume_random = SmallRng::seed_from_u64(index as u64);
    let mut exchanges = Vec::new();
    let mut idle: Vec<Option<TcpStream>> = fronts.iter().map(|_| None).collect();
    for number in 0.. {
        if stop.load(Ordering::Acquire) {
            break;
        }
        let at = random.random_range(0..fronts.len());
        let kind = match random.random_range(0..4) {
            0 => Kind::Safe,
            1 => Kind::Unsafe,
            2 => Kind::Stream,
            _ => Kind::StreamOnce,
        };
        let id = format!("f{at}c{index}-{number}");
        // Reuses the connection until the instance closes it or ends.
        let connection = idle[at].take().or_else(|| connect(fronts[at]));
        let Some(mut connection) = connection else {
            std::thread::sleep(Duration::from_millis(random.random_range(1..20)));
            continue;
        };
        let sent = Instant::now();
        let response = send_request(&mut connection, kind, &id);
        let ended = Instant::now();
        if let Some(response) = &response
            && response.is_complete
            && response.header("connection") != Some("close")
        {
            idle[at] = Some(connection);
        }
        let resumed = match &response {
            Some(response) if kind == Kind::Stream => {
                streams::take_up(&mut resume_random, fronts, &id, response)
            }
            _ => Vec::new(),
        };
        exchanges.push(Exchange {
            id,
            kind,
            front: at,
            sent,
            ended,
            response,
            resumed,
        });
        std::thread::sleep(Duration::from_millis(random.random_range(1..15)));
    }
    exchanges
}

fn connect(front: SocketAddr) -> Option<TcpStream> {
    let connection = TcpStream::connect_timeout(&front, Duration::from_secs(1)).ok()?;
    connection.set_read_timeout(Some(RESPONSE_TIMEOUT)).ok()?;
    Some(connection)
}

pub fn request(kind: Kind, id: &str) -> Request {
    match kind {
        Kind::Safe => Request::new("GET /safe/x", id),
        Kind::Unsafe => Request::new("POST /unsafe/x", id).with_body(b"body"),
        Kind::Stream => stream("POST /stream/x", id),
        Kind::StreamOnce => stream("POST /stream-once/x", id),
    }
}

fn stream(line: &str, id: &str) -> Request {
    let request = Request::new(line, id).with_tokens(PROMPT_TOKENS, MAX_OUTPUT_TOKENS);
    request.with_body(b"prompt")
}

fn send_request(connection: &mut TcpStream, kind: Kind, id: &str) -> Option<Response> {
    connection.write_all(&request(kind, id).bytes()).ok()?;
    read_response(connection)
}
