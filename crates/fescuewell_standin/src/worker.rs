//! A stand-in for a backend server of the users' platform: sealed answers, event streams, and the ways in which they
//! go wrong.
//!
//! A path that holds `/stream` is answered by events, any other by a short body. Every request is noted with its
//! headers, so that a test can tell what really ran.
//!
//! A request whose body is the one of [`Worker::crash_on`] crashes the worker as soon as it runs, unless [`Behaviour::Fail`] comes
//! first: all connections break, and new ones are refused until [`Worker::revive`] is called.
//!
//! A request with the part of [`Worker::crash_on_part`] in its prompt does the same. With [`Worker::set_unframed`] its answers end
//! with their connections, so that one that a crash cuts off between two events looks whole.
//!
//! Each event of a stream names the version of the worker's software ([`Worker::set_version`]), so that a test can tell which versions
//! a stream's events come from.
//!
//! Responses declare conditions of the worker: a request rate that it accepts ([`Worker::set_limit`]), that it leaves
//! ([`Worker::set_leaving`]), and in rejections a time in which it wants no requests ([`Worker::set_rest`]).
//!
//! A worker that is silent ([`Worker::set_silent`], [`Worker::set_silence`]) accepts connections and reads requests, but sends nothing,
//! as a process that is stopped; afterwards it goes on where it stopped.
//!
//! ```
//! use fescuewell_standin::worker::Worker;
//! let worker = Worker::start("127.0.0.1:0".parse().unwrap(), "i-1").unwrap();
//! assert!(worker.runs().is_empty());
//! ```

mod silence;
mod stream;

use std::collections::VecDeque;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use fescuewell_http::listener::{self, Handler, Listener, Reply, Request, spawn};
use http::header::{CONNECTION, RETRY_AFTER};
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use socket2::{Domain, Socket, Type};
use tokio::sync::watch;

use silence::Point;
pub use silence::Silence;

const REQUEST_ID: HeaderName = HeaderName::from_static("x-fescuewell-request-id");
const SEAL: HeaderName = HeaderName::from_static("x-fescuewell-response-seal");
const NOT_EXECUTED: HeaderName = HeaderName::from_static("x-fescuewell-not-executed");
const EXPECT_INSTANCE: HeaderName = HeaderName::from_static("x-fescuewell-expect-instance");
const SERVER_LIMIT: HeaderName = HeaderName::from_static("server-limit");
const SERVER_LEAVING: HeaderName = HeaderName::from_static("server-leaving");
const PROMPT_PARTS: HeaderName = HeaderName::from_static("x-fescuewell-prompt-prefix");
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
    /// It is answered with a client error.
    Deny,
    /// It runs and is not answered for as long as the caller waits.
    Hang,
    /// It runs and is answered under another request's id.
    WrongId,
    /// It runs and is answered by the rejection of another request.
    LateRejection,
    /// It runs and is answered by a rejection that names no request.
    UnnamedRejection,
    /// A stream breaks off in the middle of the event after so many.
    Break(u64),
    /// A stream waits for [`Worker::release`] after so many events.
    Pause(u64),
}

/// A request that arrived.
#[derive(Debug, Clone)]
pub struct Run {
    /// When it arrived.
    pub at: Instant,
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
    name: Arc<str>,
    version: Arc<str>,
    limit: Option<HeaderValue>,
    rest: Option<HeaderValue>,
    is_leaving: bool,
    is_closing: bool,
    is_unframed: bool,
    crashes_on: Option<Bytes>,
    crashes_on_part: Option<Arc<str>>,
    crashes: u64,
    revivals: u64,
    event_interval: Duration,
}

struct Shared {
    events: u64,
    state: Mutex<State>,
    arrived: watch::Sender<u64>,
    released: watch::Sender<bool>,
    silence: watch::Sender<Option<Silence>>,
    crashed: flume::Sender<()>,
}

/// The listener while the worker runs.
type Slot = Arc<Mutex<Option<Listener>>>;

/// A running stand-in.
pub struct Worker {
    shared: Arc<Shared>,
    listener: Slot,
    address: SocketAddr,
    // Keeps the address while the worker is down, so that connections to it are refused.
    _held: Socket,
}

/// Time in which a chunk is written before a crash.
const WRITE_TIME: Duration = Duration::from_millis(20);
/// Events of a whole stream.
pub const EVENTS: u64 = 6;
/// Version of a worker's software unless another one is set.
pub const FIRST_VERSION: &str = "v1";

impl Worker {
    /// Starts a worker whose incarnation has this name.
    ///
    /// # Errors
    ///
    /// When the address cannot be listened on.
    pub fn start(address: SocketAddr, name: &str) -> Result<Self, listener::Error> {
        let held = held(address).map_err(|source| listener::Error::Bind { address, source })?;
        let address = held.local_addr().ok().and_then(|held| held.as_socket());
        let address = address.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)));
        let (crashed, crashes) = flume::bounded(1);
        let shared = Arc::new(Shared {
            events: EVENTS,
            state: Mutex::new(State {
                name: name.into(),
                version: FIRST_VERSION.into(),
                ..State::default()
            }),
            arrived: watch::channel(0).0,
            released: watch::channel(false).0,
            silence: watch::channel(None).0,
            crashed,
        });
        let listener = listen(&shared, address)?;
        let listener: Slot = Arc::new(Mutex::new(Some(listener)));
        let slot = listener.clone();
        // A listener's own thread cannot end it.
        std::thread::spawn(move || {
            while crashes.recv().is_ok() {
                refuse(&slot, address);
                take(&slot);
            }
        });
        Ok(Self {
            shared,
            listener,
            address,
            _held: held,
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the version of its software, which its events name.
    pub fn set_version(&self, version: &str) {
        self.shared.state().version = version.into();
    }

    /// Version of its software.
    pub fn version(&self) -> Arc<str> {
        self.shared.state().version.clone()
    }

    /// Requests with this body crash it from now on.
    pub fn crash_on(&self, body: &[u8]) {
        self.shared.state().crashes_on = Some(Bytes::copy_from_slice(body));
    }

    /// Requests with this part in their prompts, but as the last one, crash it from now on as it begins to answer.
    pub fn crash_on_part(&self, id: Option<&str>) {
        self.shared.state().crashes_on_part = id.map(Arc::from);
    }

    /// Sets whether its answers have neither a length nor chunks and end with their connections.
    pub fn set_unframed(&self, is_unframed: bool) {
        self.shared.state().is_unframed = is_unframed;
    }

    /// Crashes it, whatever it runs.
    pub fn crash_now(&self) {
        self.shared.state().crashes += 1;
        // A full channel means that it is ending already.
        let _ = self.shared.crashed.try_send(());
    }

    /// Sets the value of the header in which each response declares the request rate that the worker accepts.
    ///
    /// # Panics
    ///
    /// If the text is not a header value.
    pub fn set_limit(&self, limit: Option<&str>) {
        let value = |text| HeaderValue::from_str(text).expect("the limit is a header value");
        self.shared.state().limit = limit.map(value);
    }

    /// Sets the value of `Retry-After` in rejections, or removes the header.
    ///
    /// # Panics
    ///
    /// If the text is not a header value.
    pub fn set_rest(&self, rest: Option<&str>) {
        let value = |text| HeaderValue::from_str(text).expect("the rest is a header value");
        self.shared.state().rest = rest.map(value);
    }

    /// Sets whether each response says that the worker is leaving.
    pub fn set_leaving(&self, is_leaving: bool) {
        self.shared.state().is_leaving = is_leaving;
    }

    /// Sets whether each response closes its connection, as those of a worker that shuts down do.
    pub fn set_closing(&self, is_closing: bool) {
        self.shared.state().is_closing = is_closing;
    }

    /// Sets whether it sends nothing.
    pub fn set_silent(&self, is_silent: bool) {
        self.set_silence(is_silent.then_some(Silence::Whole));
    }

    /// Sets where its answers stop, or lets them go on.
    pub fn set_silence(&self, silence: Option<Silence>) {
        self.shared.silence.send_replace(silence);
    }

    /// Sets the time before each event of a stream.
    pub fn set_event_interval(&self, interval: Duration) {
        self.shared.state().event_interval = interval;
    }

    /// How often it has crashed.
    pub fn crashes(&self) -> u64 {
        self.shared.state().crashes
    }

    /// How often it was started again.
    pub fn revivals(&self) -> u64 {
        self.shared.state().revivals
    }

    /// Whether it has crashed and was not started again since.
    pub fn has_crashed(&self) -> bool {
        let state = self.shared.state();
        state.crashes > state.revivals
    }

    /// Whether nothing listens at its address.
    pub fn is_down(&self) -> bool {
        lock(&self.listener).is_none()
    }

    /// Starts it again after a crash, as an incarnation of this name.
    ///
    /// # Errors
    ///
    /// When the address cannot be listened on.
    pub fn revive(&self, name: &str) -> Result<(), listener::Error> {
        {
            let mut state = self.shared.state();
            state.name = name.into();
            state.revivals = state.crashes;
        }
        self.set_silence(None);
        let mut slot = lock(&self.listener);
        if slot.is_none() {
            *slot = Some(listen(&self.shared, self.address)?);
        }
        Ok(())
    }

    /// Replaces its process by one of another name and software version at the same address. All connections
    /// break.
    ///
    /// # Errors
    ///
    /// When the address cannot be listened on.
    pub fn replace(&self, name: &str, version: &str) -> Result<(), listener::Error> {
        refuse(&self.listener, self.address);
        take(&self.listener);
        {
            let mut state = self.shared.state();
            state.name = name.into();
            state.version = version.into();
            state.next.clear();
            state.revivals = state.crashes;
        }
        self.set_silence(None);
        *lock(&self.listener) = Some(listen(&self.shared, self.address)?);
        Ok(())
    }

    /// Name of its incarnation.
    pub fn name(&self) -> Arc<str> {
        self.shared.state().name.clone()
    }

    /// What becomes of the next requests, in order; later ones are answered.
    pub fn next(&self, behaviours: &[Behaviour]) {
        self.shared.state().next.extend(behaviours);
    }

    /// Drops what [`Worker::next`] has set for requests that have not arrived yet.
    pub fn clear_next(&self) {
        self.shared.state().next.clear();
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

    /// What was turned away, in order.
    pub fn rejections(&self) -> Vec<Run> {
        self.shared.state().refused.clone()
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

impl Drop for Worker {
    fn drop(&mut self) {
        take(&self.listener);
    }
}

fn held(address: SocketAddr) -> std::io::Result<Socket> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    Ok(socket)
}

fn listen(shared: &Arc<Shared>, address: SocketAddr) -> Result<Listener, listener::Error> {
    let handler = Arc::new(Server(shared.clone()));
    let settings = listener::Settings::new(address).with_name("worker");
    Listener::start(settings, handler)
}

fn lock(slot: &Slot) -> MutexGuard<'_, Option<Listener>> {
    slot.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Closes the listening socket. A process that ends closes it before its connections, which it has opened later.
fn refuse(slot: &Slot, address: SocketAddr) {
    if let Some(listener) = &*lock(slot) {
        listener.stop_accepting();
    }
    while TcpStream::connect(address).is_ok() {
        std::thread::sleep(LOOK);
    }
}

/// Ends the listener, if there is one, and all of its connections.
fn take(slot: &Slot) {
    let listener = lock(slot).take();
    drop(listener);
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
            && expected.as_bytes() != self.state().name.as_bytes()
        {
            self.state().refused.push(run.clone());
            // A response to a caller that has left goes nowhere.
            let _ = self.hold(Point::Head, reply.closed()).await;
            let mut headers = HeaderMap::new();
            echo(&run, &mut headers);
            return reply.send(StatusCode::MISDIRECTED_REQUEST, headers, Bytes::new());
        }
        let behaviour = self.state().next.pop_front();
        let behaviour = behaviour.unwrap_or(Behaviour::Answer);
        if behaviour == Behaviour::TurnAway {
            self.state().refused.push(run.clone());
            self.arrived.send_modify(|count| *count += 1);
            let _ = self.hold(Point::Head, reply.closed()).await;
            let mut headers = self.conditions();
            headers.insert(NOT_EXECUTED, HeaderValue::from_static("1"));
            echo(&run, &mut headers);
            if let Some(rest) = self.state().rest.clone() {
                headers.insert(RETRY_AFTER, rest);
            }
            return reply.send(StatusCode::SERVICE_UNAVAILABLE, headers, Bytes::new());
        }
        self.state().runs.push(run.clone());
        self.arrived.send_modify(|count| *count += 1);
        if self.hold(Point::Head, reply.closed()).await.is_err() {
            self.state().gone += 1;
            return;
        }
        let headers = self.headers(&run, behaviour);
        if behaviour == Behaviour::Wait {
            // An error means that the stand-in is being dropped.
            let _ = self
                .released
                .subscribe()
                .wait_for(|released| *released)
                .await;
        }
        if behaviour != Behaviour::Fail && self.crashes_on(&run) {
            return self.crash(&request, reply, headers).await;
        }
        match behaviour {
            Behaviour::Lose => reply.abort(),
            Behaviour::LateRejection | Behaviour::UnnamedRejection => {
                let mut headers = headers;
                if behaviour == Behaviour::UnnamedRejection {
                    headers.remove(REQUEST_ID);
                }
                if let Some(rest) = self.state().rest.clone() {
                    headers.insert(RETRY_AFTER, rest);
                }
                headers.insert(NOT_EXECUTED, HeaderValue::from_static("1"));
                reply.send(StatusCode::SERVICE_UNAVAILABLE, headers, Bytes::new());
            }
            Behaviour::Fail => {
                reply.send(StatusCode::INTERNAL_SERVER_ERROR, headers, Bytes::new());
            }
            Behaviour::Deny => reply.send(StatusCode::NOT_FOUND, headers, Bytes::new()),
            Behaviour::Hang => {
                reply.closed().wait().await;
                self.state().gone += 1;
            }
            _ if request.path.contains("/stream") => {
                self.stream(reply, headers, &run, behaviour).await;
            }
            _ => self.answer(reply, headers, &run).await,
        }
    }

    async fn answer(&self, reply: Reply, headers: HeaderMap, run: &Run) {
        let body = Bytes::from(format!("{} ran", run.id));
        if !self.state().is_unframed {
            return reply.send(StatusCode::OK, headers, body);
        }
        let sink = reply.stream_until_close(StatusCode::OK, headers);
        // An error means that the caller has left.
        let _ = sink.send(body).await;
        sink.finish();
    }

    fn crashes_on(&self, run: &Run) -> bool {
        let state = self.state();
        let has_part = state.crashes_on_part.as_ref().is_some_and(|id| {
            let parts = run.headers.get(PROMPT_PARTS);
            let parts = parts
                .and_then(|value| value.to_str().ok())
                .unwrap_or_default();
            let mut ids = parts.split(',').map(|part| part.split(':').next());
            ids.next_back();
            ids.any(|known| known.is_some_and(|known| known.trim().eq_ignore_ascii_case(id)))
        });
        has_part || state.crashes_on.as_ref() == Some(&run.body)
    }

    /// A stream's head goes out before the end, as it does from a server that begins to answer. Without a
    /// length or chunks a whole event goes out, too, so that what has arrived looks complete.
    async fn crash(&self, request: &Request, reply: Reply, headers: HeaderMap) {
        self.state().crashes += 1;
        let mut reply = Some(reply);
        let is_stream = request.path.contains("/stream");
        let sink = is_stream
            .then(|| reply.take())
            .flatten()
            .map(|reply| self.begin_stream(reply, headers));
        if let Some(sink) = sink.as_ref().filter(|_| self.state().is_unframed) {
            let event = Bytes::from_static(b"id: 1\ndata: piece 1 before the crash\n\n");
            // An error means that the caller has left.
            let _ = sink.send(event).await;
            tokio::time::sleep(WRITE_TIME).await;
        }
        // A full channel means that it is ending already.
        let _ = self.crashed.try_send(());
        std::future::pending::<()>().await;
    }

    /// Headers in which the worker declares its condition.
    fn conditions(&self) -> HeaderMap {
        let state = self.state();
        let leaving = state.is_leaving.then_some(HeaderValue::from_static("1"));
        let closing = state
            .is_closing
            .then_some(HeaderValue::from_static("close"));
        let declared = [
            (SERVER_LIMIT, state.limit.clone()),
            (SERVER_LEAVING, leaving),
            (CONNECTION, closing),
        ];
        let declared = declared.into_iter();
        let headers = declared.filter_map(|(name, value)| Some((name, value?)));
        headers.collect()
    }

    fn headers(&self, run: &Run, behaviour: Behaviour) -> HeaderMap {
        let id = match behaviour {
            Behaviour::WrongId | Behaviour::LateRejection => "somebody-else",
            _ => &run.id,
        };
        let mut headers = self.conditions();
        let seal = format!("{}.{}", self.state().name, run.id);
        for (name, value) in [(REQUEST_ID, id), (SEAL, &seal)] {
            if let Ok(value) = HeaderValue::from_str(value) {
                headers.insert(name, value);
            }
        }
        headers
    }
}

/// Names the request in a response.
fn echo(run: &Run, headers: &mut HeaderMap) {
    if let Ok(id) = HeaderValue::from_str(&run.id) {
        headers.insert(REQUEST_ID, id);
    }
}

fn note(request: &Request) -> Run {
    let id = request.headers.get(REQUEST_ID);
    let id = id.and_then(|value| value.to_str().ok()).unwrap_or_default();
    Run {
        at: Instant::now(),
        id: id.into(),
        target: format!("{} {}", request.method, request.target).into(),
        headers: request.headers.clone(),
        body: request.body.clone(),
    }
}
