//! Fixtures for the tests of attempts at servers that are silent for a while.
#![allow(dead_code)] // Each test program uses some of them.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use bytes::Bytes;
use fescuewell_core::prelude::*;
use fescuewell_http::listener::{Handler, Listener, Reply, Request, Settings, spawn};
use fescuewell_http::upstream::{self, Client, Timeouts};
use fescuewell_node::request::{Assignment, End, Ticket};
use fescuewell_router::attempt::{Outcome, Runner};
use fescuewell_router::chat::{Path, Prompt};
use fescuewell_router::delivery::{Delivery, ResponseOptions};
use fescuewell_router::pending::PendingRequests;

pub const MODEL: &str = "auslan-7b";
/// Tokens of each response.
pub const TOKENS: u32 = 1_000;
pub const STREAM: &str = "stream-1";
/// Longest that a test waits for something that must happen; reached only when it fails.
pub const PATIENCE: Duration = Duration::from_secs(30);
/// Timeout of each connection, and of a cancellation at a server that is silent.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of each exchange; every test's silence is a multiple of it.
pub const TIMEOUT: Duration = Duration::from_millis(100);

/// What an instance does for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Task {
    /// Sends the request.
    Run,
    /// Sends the request, and goes on with it for as long as its server is silent.
    RunAndKeep,
    /// Reads the response of another request.
    Read,
}

/// An instance that serves each caller by one task.
pub struct Front {
    pub server: SocketAddr,
    pub task: Task,
    pub timeouts: Timeouts,
    pub deadline: Duration,
    pub outcomes: flume::Sender<Option<Outcome>>,
}

/// A caller that reads its response.
pub struct Caller {
    pub outcomes: flume::Receiver<Option<Outcome>>,
    response: JoinHandle<String>,
    begun: flume::Receiver<()>,
    _front: Listener,
}

pub fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

pub fn impatient() -> Timeouts {
    Timeouts {
        connect: CONNECT_TIMEOUT,
        first_byte: TIMEOUT,
        progress: TIMEOUT,
    }
}

pub fn prompt(tokens: u32) -> Prompt {
    let body = format!(
        r#"{{"model":"{MODEL}","messages":[{{"role":"user","content":"hello"}}],"max_tokens":{tokens},"ignore_eos":true,"stream":true}}"#
    );
    Prompt::read(Path::Chat, &Bytes::from(body)).unwrap()
}

pub fn assignment(address: SocketAddr) -> Assignment {
    Assignment {
        server: "engine-1".into(),
        address,
        stream: STREAM.into(),
        hold: Tokens(u64::from(prompt(TOKENS).bound + TOKENS)),
        attempt: 1,
        priority: 1,
        group: "signwise".into(),
        cache_salt: "salt".into(),
        deadline: PATIENCE,
        holder: "entry-1.1".into(),
    }
}

pub fn options() -> ResponseOptions {
    ResponseOptions {
        path: Path::Chat,
        stream: true,
        include_usage: true,
        id: "r-1".into(),
        last_event: 0,
    }
}

impl Handler for Front {
    fn handle(&self, _: Request, reply: Reply) {
        let (server, task, outcomes) = (self.server, self.task, self.outcomes.clone());
        let (timeouts, deadline) = (self.timeouts, Instant::now() + self.deadline);
        spawn(async move {
            let client = Client::new(upstream::Settings::default());
            let pending = PendingRequests::new(flume::unbounded().0);
            let runner = Runner {
                client: &client,
                pending: &pending,
                timeouts,
                ticket: Ticket(1),
                deadline,
                may_retry: true,
            };
            let mut delivery = Delivery::new(options(), reply);
            let outcome = match task {
                Task::Read => runner.read(server, STREAM, &mut delivery).await,
                Task::Run | Task::RunAndKeep => {
                    let (prompt, options) = (prompt(TOKENS), options());
                    let assignment = assignment(server);
                    let run = runner.run(&assignment, &prompt, &options, &mut delivery);
                    let mut outcome = run.await;
                    while task == Task::RunAndKeep && is_stalled(&outcome) {
                        let _ = outcomes.send(Some(outcome));
                        outcome = runner.keep(&assignment, &prompt, &mut delivery).await;
                    }
                    Some(outcome)
                }
            };
            delivery.finish().await;
            let _ = outcomes.send(outcome);
        });
    }
}

fn is_stalled(outcome: &Outcome) -> bool {
    matches!(outcome.end, End::Lost { stalled: true, .. })
}

impl Caller {
    /// Connects a caller to an instance that serves it from `server`.
    pub fn connect(server: SocketAddr, task: Task, deadline: Duration) -> Self {
        let (outcomes, received) = flume::unbounded();
        let front = Front {
            server,
            task,
            timeouts: impatient(),
            deadline,
            outcomes,
        };
        let front = Listener::start(Settings::new(any_port()), Arc::new(front)).unwrap();
        let mut stream = TcpStream::connect(front.address()).unwrap();
        stream
            .write_all(b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            .unwrap();
        let (started, begun) = flume::unbounded();
        let response = std::thread::spawn(move || read_all(&mut stream, &started));
        Self {
            outcomes: received,
            response,
            begun,
            _front: front,
        }
    }

    /// Waits until the caller has an event.
    pub fn wait_begun(&self) {
        self.begun.recv_timeout(PATIENCE).expect("an event arrives");
    }

    /// Waits until the attempt ends.
    pub fn outcome(&self) -> Option<Outcome> {
        self.outcomes.recv_timeout(PATIENCE).expect("it ends")
    }

    /// Numbers of the events that arrived.
    pub fn events(self) -> Vec<u32> {
        let text = self.response.join().unwrap();
        let lines = text.lines().filter_map(|line| line.strip_prefix("id: "));
        lines.map(|number| number.parse().unwrap()).collect()
    }
}

fn read_all(stream: &mut TcpStream, begun: &flume::Sender<()>) -> String {
    let mut text = String::new();
    let mut buffer = [0; 16_384];
    while let Ok(count @ 1..) = stream.read(&mut buffer) {
        text.push_str(&String::from_utf8_lossy(&buffer[..count]));
        if text.contains("id: 1\n") {
            let _ = begun.send(());
        }
    }
    text
}
