//! Callers that send requests of all kinds and note what comes back.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::fixture::{Request, Response, read_response};

/// Tokens of a prompt.
pub const PROMPT: u64 = 500;
/// Most tokens of an answer.
pub const MOST_OUTPUT: u64 = 100;
/// Longest wait for an answer: longer than any deadline.
const PATIENCE: Duration = Duration::from_secs(12);

/// What a caller asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    Safe,
    Unsafe,
    Stream,
    StreamOnce,
}

/// One request and what became of it.
#[derive(Debug, Clone)]
pub struct Note {
    pub id: String,
    pub kind: Kind,
    pub answer: Option<Response>,
}

/// A thread that goes on until it is told to stop.
pub struct Caller {
    thread: JoinHandle<Vec<Note>>,
}

impl Caller {
    pub fn start(seed: u64, name: usize, fronts: Vec<SocketAddr>, stop: Arc<AtomicBool>) -> Self {
        let random = SmallRng::seed_from_u64(seed * 1_000 + name as u64);
        let thread = std::thread::spawn(move || run(random, name, &fronts, &stop));
        Self { thread }
    }

    pub fn join(self) -> Vec<Note> {
        self.thread.join().unwrap_or_default()
    }
}

fn run(mut random: SmallRng, name: usize, fronts: &[SocketAddr], stop: &AtomicBool) -> Vec<Note> {
    let mut notes = Vec::new();
    let mut kept: Vec<Option<TcpStream>> = fronts.iter().map(|_| None).collect();
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
        let id = format!("c{name}-{number}");
        // Open connections are used until their process is gone.
        let connection = kept[at].take().or_else(|| open(fronts[at]));
        let Some(mut connection) = connection else {
            std::thread::sleep(Duration::from_millis(random.random_range(1..20)));
            continue;
        };
        let answer = ask(&mut connection, kind, &id);
        if let Some(answer) = &answer
            && answer.is_complete
            && answer.header("connection") != Some("close")
        {
            kept[at] = Some(connection);
        }
        notes.push(Note { id, kind, answer });
        std::thread::sleep(Duration::from_millis(random.random_range(1..15)));
    }
    notes
}

fn open(front: SocketAddr) -> Option<TcpStream> {
    let connection = TcpStream::connect_timeout(&front, Duration::from_secs(1)).ok()?;
    connection.set_read_timeout(Some(PATIENCE)).ok()?;
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
    let request = Request::new(line, id).with_tokens(PROMPT, MOST_OUTPUT);
    request.with_body(b"prompt")
}

fn ask(connection: &mut TcpStream, kind: Kind, id: &str) -> Option<Response> {
    connection.write_all(&request(kind, id).bytes()).ok()?;
    read_response(connection)
}
