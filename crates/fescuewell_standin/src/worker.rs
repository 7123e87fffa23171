//! A stand-in for a backend server of the users' platform: sealed answers, event streams, and the ways in which they
//! go wrong.
//!
//! A path that holds `/stream` is answered by events, any other by a short body. Every request is noted with its
//! headers, so that a test can tell what really ran.
//!
//! ```
//! use fescuewell_standin::worker::Worker;
//! let worker = Worker::start("127.0.0.1:0".parse().unwrap(), "i-1").unwrap();
//! assert!(worker.runs().is_empty());
//! ```

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use fescuewell_http::listener::{self, Handler, Listener, Reply, Request, spawn};
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use tokio::sync::watch;

const REQUEST_ID: HeaderName = HeaderName::from_static("x-fescuewell-request-id");
const SEAL: HeaderName = HeaderName::from_static("x-fescuewell-response-seal");
const NOT_EXECUTED: HeaderName = HeaderName::from_static("x-fescuewell-not-executed");
const EXPECT_INSTANCE: HeaderName = HeaderName::from_static("x-fescuewell-expect-instance");
const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");

/// What becomes of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Behaviour {
    /// It runs and is answered.
    Answer,
    /// It runs and its answer is lost: the connection is closed.
    Lose,
    /// It is turned away without a run.
    TurnAway,
    /// It runs and is answered once [`Worker::release`] is called.
    Wait,
    /// It runs and fails.
    Fail,
    /// It runs and is not answered for as long as the caller waits.
    Hang,
    /// It runs and is answered under another request's id.
    WrongId,
    /// A stream breaks off in the middle of the event after so many.
    Break(u64),
    /// A stream waits for [`Worker::release`] after so many events.
    Pause(u64),
}

/// A request that ran.
#[derive(Debug, Clone)]
pub struct Run {
    /// Its id.
    pub id: Arc<str>,
    /// Method, path and query.
    pub target: Arc<str>,
    /// All its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

#[derive(Default)]
struct State {
    runs: Vec<Run>,
    refused: Vec<Run>,
    next: VecDeque<Behaviour>,
    gone: u64,
}

struct Shared {
    name: Arc<str>,
    events: u64,
    state: Mutex<State>,
    arrived: watch::Sender<u64>,
    released: watch::Sender<bool>,
}

/// A running stand-in.
pub struct Worker {
    shared: Arc<Shared>,
    listener: Listener,
}

/// Events of a whole stream.
pub const EVENTS: u64 = 6;

impl Worker {
    /// Starts a worker whose incarnation has this name.
    ///
    /// # Errors
    ///
    /// When the address cannot be listened on.
    pub fn start(address: SocketAddr, name: &str) -> Result<Self, listener::Error> {
        let shared = Arc::new(Shared {
            name: name.into(),
            events: EVENTS,
            state: Mutex::default(),
            arrived: watch::channel(0).0,
            released: watch::channel(false).0,
        });
        let handler = Arc::new(Server(shared.clone()));
        let settings = listener::Settings::new(address).with_name("worker");
        let listener = Listener::start(settings, handler)?;
        Ok(Self { shared, listener })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// What becomes of the next requests, in order; later ones are answered.
    pub fn next(&self, behaviours: &[Behaviour]) {
        self.shared.state().next.extend(behaviours);
    }

    /// Lets paused streams go on.
    pub fn release(&self) {
        self.shared.released.send_replace(true);
    }

    /// What ran, in order.
    pub fn runs(&self) -> Vec<Run> {
        self.shared.state().runs.clone()
    }

    /// What was turned away.
    pub fn refused(&self) -> usize {
        self.shared.state().refused.len()
    }

    /// Streams and answers whose caller left before their end.
    pub fn left(&self) -> u64 {
        self.shared.state().gone
    }

    /// Waits until so many requests have arrived; false when that takes too long.
    pub fn wait_for(&self, count: u64) -> bool {
        let seen = || *self.shared.arrived.borrow() >= count;
        wait_until(seen)
    }
}

/// Longest wait for an event of a test.
const PATIENCE: Duration = Duration::from_secs(20);
/// Time between two looks.
const LOOK: Duration = Duration::from_millis(3);

/// Looks until a condition holds; false when that takes too long.
pub fn wait_until<Condition>(condition: Condition) -> bool
where
    Condition: Fn() -> bool,
{
    let until = std::time::Instant::now() + PATIENCE;
    while std::time::Instant::now() < until {
        if condition() {
            return true;
        }
        std::thread::sleep(LOOK);
    }
    condition()
}

struct Server(Arc<Shared>);

impl Handler for Server {
    fn handle(&self, request: Request, reply: Reply) {
        let shared = self.0.clone();
        spawn(async move { shared.serve(request, reply).await });
    }
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn serve(&self, request: Request, reply: Reply) {
        let run = note(&request);
        if let Some(expected) = request.headers.get(EXPECT_INSTANCE)
            && expected.as_bytes() != self.name.as_bytes()
        {
            self.state().refused.push(run);
            return reply.whole(
                StatusCode::MISDIRECTED_REQUEST,
                HeaderMap::new(),
                Bytes::new(),
            );
        }
        let behaviour = self.state().next.pop_front();
        let behaviour = behaviour.unwrap_or(Behaviour::Answer);
        if behaviour == Behaviour::TurnAway {
            self.state().refused.push(run);
            self.arrived.send_modify(|count| *count += 1);
            let mut headers = HeaderMap::new();
            headers.insert(NOT_EXECUTED, HeaderValue::from_static("1"));
            return reply.whole(StatusCode::SERVICE_UNAVAILABLE, headers, Bytes::new());
        }
        self.state().runs.push(run.clone());
        self.arrived.send_modify(|count| *count += 1);
        let headers = self.headers(&run, behaviour);
        if behaviour == Behaviour::Wait {
            // An error means that the stand-in is being dropped.
            let _ = self
                .released
                .subscribe()
                .wait_for(|released| *released)
                .await;
        }
        match behaviour {
            Behaviour::Lose => reply.abort(),
            Behaviour::Fail => {
                reply.whole(StatusCode::INTERNAL_SERVER_ERROR, headers, Bytes::new());
            }
            Behaviour::Hang => {
                reply.closed().wait().await;
                self.state().gone += 1;
            }
            _ if request.path.contains("/stream") => {
                self.stream(reply, headers, &run, behaviour).await;
            }
            _ => reply.whole(
                StatusCode::OK,
                headers,
                Bytes::from(format!("{} ran", run.id)),
            ),
        }
    }

    fn headers(&self, run: &Run, behaviour: Behaviour) -> HeaderMap {
        let id = match behaviour {
            Behaviour::WrongId => "somebody-else",
            _ => &run.id,
        };
        let mut headers = HeaderMap::new();
        let seal = format!("{}.{}", self.name, run.id);
        for (name, value) in [(REQUEST_ID, id), (SEAL, &seal)] {
            if let Ok(value) = HeaderValue::from_str(value) {
                headers.insert(name, value);
            }
        }
        headers
    }

    async fn stream(&self, reply: Reply, headers: HeaderMap, run: &Run, behaviour: Behaviour) {
        let last = run.headers.get(LAST_EVENT_ID);
        let last = last.and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
        let first = last.map_or(1, |last| last + 1);
        let sink = reply.stream(StatusCode::OK, headers);
        let mut released = self.released.subscribe();
        for number in first..=self.events {
            match behaviour {
                Behaviour::Break(after) if number > after => {
                    // Half an event, and the connection is cut without the end of the body.
                    let half = format!("id: {number}\ndata: ha");
                    let _ = sink.send(Bytes::from(half)).await;
                    return;
                }
                Behaviour::Pause(after) if number > after => {
                    // An error means that the stand-in is being dropped.
                    let _ = released.wait_for(|released| *released).await;
                }
                _ => {}
            }
            let event = format!("id: {number}\ndata: piece {number}\n\n");
            if sink.send(Bytes::from(event)).await.is_err() {
                self.state().gone += 1;
                return;
            }
        }
        sink.finish();
    }
}

fn note(request: &Request) -> Run {
    let id = request.headers.get(REQUEST_ID);
    let id = id.and_then(|value| value.to_str().ok()).unwrap_or_default();
    Run {
        id: id.into(),
        target: format!("{} {}", request.method, request.target).into(),
        headers: request.headers.clone(),
        body: request.body.clone(),
    }
}
