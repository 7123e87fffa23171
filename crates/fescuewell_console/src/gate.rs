//! A small gate in front of the HTTP server, which bounds what the server itself does not.
//!
//! rouille (by way of tiny_http) holds a thread for each connection, waits for a request's head without
//! any limit of time, and stops accepting for good at the first accept error. The gate therefore owns the operators'
//! listener: it caps the number of connections, reads the head within [`Limits::head_time`] and
//! [`Limits::head_bytes`], passes at most [`Limits::body_bytes`] on, ends silent connections, and goes on after accept errors.
//! Each connection carries one request (`Connection: close`), so that no second head escapes these limits. At the cap, the
//! connection that has been sending its request for the longest time is closed for a new one.
//!
//! Not bounded here: how many connections of one sender count towards the cap, and the kernel's backlog.
//! The inner server listens on loopback only and refuses requests without the gate's random token.

mod head;

use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use fescuewell_core::log_event;
use fescuewell_core::prelude::Event;
use slotmap::{SlotMap, new_key_type};

pub use head::{PEER_HEADER, TOKEN_HEADER};

/// What the gate lets through.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Most connections at once.
    pub connections: usize,
    /// A connection that has been sending its request for this long can be closed for a new one at the cap.
    pub closable_after: Duration,
    /// Largest request head, in bytes.
    pub head_bytes: usize,
    /// Time in which the whole head must have arrived.
    pub head_time: Duration,
    /// Most bytes after the head.
    pub body_bytes: u64,
    /// Longest time without any byte in the direction that is being waited for.
    pub idle_time: Duration,
    /// Longest life of a connection.
    pub total_time: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 64,
            closable_after: Duration::from_secs(1),
            head_bytes: 16 << 10,
            head_time: Duration::from_secs(5),
            body_bytes: 34 << 20,
            idle_time: Duration::from_secs(30),
            total_time: Duration::from_secs(300),
        }
    }
}

/// Pause after an accept error, so that one that persists does not keep a processor busy.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// How long a caller that still sends is listened to after its answer.
const LINGER: Duration = Duration::from_secs(1);
/// Connections beyond the cap while others are closed for them.
const MAX_EXCESS_CONNECTIONS: usize = 8;
/// Bytes copied at once.
const COPY_BYTES: usize = 16 << 10;

const FULL: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 1\r\n\
    Content-Length: 40\r\n\r\nE1010 The console has no room, wait 1 s\n";
const TOO_LARGE: &[u8] = b"HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\n\
    Content-Length: 0\r\n\r\n";
const TOO_SLOW: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
const MALFORMED: &[u8] =
    b"HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
const INNER_DOWN: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

/// What the gate's threads share.
struct Shared {
    limits: Limits,
    token: Arc<str>,
    inner: Mutex<SocketAddr>,
    inner_lost: AtomicBool,
    open: Mutex<SlotMap<ConnectionKey, Arc<Connection>>>,
    stopping: AtomicBool,
}

new_key_type! {
    /// Identifies an open connection.
    struct ConnectionKey;
}

/// An open connection.
struct Connection {
    stream: TcpStream,
    started: Instant,
    /// Whether the request has been received completely, or the connection is being closed for another one.
    is_settled: AtomicBool,
}

/// A running gate.
pub struct Gate {
    address: SocketAddr,
    shared: Arc<Shared>,
    accepting: Option<JoinHandle<()>>,
}

impl Gate {
    /// Listens on `listen` and passes requests on to the server at `inner`, with `token` added to each.
    ///
    /// # Errors
    ///
    /// When the address cannot be listened on or no thread can be started.
    pub fn start(
        listen: SocketAddr,
        inner: SocketAddr,
        token: Arc<str>,
        limits: Limits,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(listen)?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            limits,
            token,
            inner: Mutex::new(inner),
            inner_lost: AtomicBool::new(false),
            open: Mutex::default(),
            stopping: AtomicBool::new(false),
        });
        let for_thread = shared.clone();
        let accepting = thread::Builder::new()
            .name("console-gate".into())
            .spawn(move || accept_all(&listener, &for_thread))?;
        Ok(Self {
            address,
            shared,
            accepting: Some(accepting),
        })
    }

    /// Where operators connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether the inner server refused a connection since it was last set.
    pub fn inner_is_lost(&self) -> bool {
        self.shared.inner_lost.load(Ordering::SeqCst)
    }

    /// Names a new inner server.
    pub fn set_inner(&self, inner: SocketAddr) {
        let mut current = lock(&self.shared.inner);
        *current = inner;
        self.shared.inner_lost.store(false, Ordering::SeqCst);
    }

    /// Stops accepting; connections that are open go on until they end or reach their limits.
    pub fn stop(&mut self) {
        self.shared.stopping.store(true, Ordering::SeqCst);
        // A connection of our own wakes the thread that waits in accept.
        let mut wake = self.address;
        if wake.ip().is_unspecified() {
            wake.set_ip(Ipv4Addr::LOCALHOST.into());
        }
        let _ = TcpStream::connect_timeout(&wake, Duration::from_secs(1));
        if let Some(accepting) = self.accepting.take() {
            let _ = accepting.join();
        }
    }
}

impl Drop for Gate {
    fn drop(&mut self) {
        if self.accepting.is_some() {
            self.stop();
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn accept_all(listener: &TcpListener, shared: &Arc<Shared>) {
    loop {
        let accepted = listener.accept();
        if shared.stopping.load(Ordering::SeqCst) {
            return;
        }
        match accepted {
            Ok((stream, peer)) => admit(stream, peer, shared),
            // Out of descriptors, for instance. Leaving the loop here would close the console for
            // good; the condition passes when connections end.
            Err(error) => {
                log_event!(Event::AcceptFailed, "listener=console error={error}");
                thread::sleep(ACCEPT_PAUSE);
            }
        }
    }
}

/// Lists a connection for as long as it lives.
struct Place {
    shared: Arc<Shared>,
    key: ConnectionKey,
    connection: Arc<Connection>,
}

impl Drop for Place {
    fn drop(&mut self) {
        lock(&self.shared.open).remove(self.key);
    }
}

impl Place {
    /// Takes a place. At the cap, one more is given for a connection that is closed for it.
    fn take(stream: &TcpStream, shared: &Arc<Shared>) -> io::Result<Option<Self>> {
        let connection = Arc::new(Connection {
            stream: stream.try_clone()?,
            started: Instant::now(),
            is_settled: AtomicBool::new(false),
        });
        let mut open = lock(&shared.open);
        let limits = &shared.limits;
        let is_full = open.len() >= limits.connections;
        let has_excess = open.len() >= limits.connections + MAX_EXCESS_CONNECTIONS;
        if is_full && (has_excess || !close_oldest(&open, limits.closable_after)) {
            return Ok(None);
        }
        let key = open.insert(connection.clone());
        drop(open);
        Ok(Some(Self {
            shared: shared.clone(),
            key,
            connection,
        }))
    }
}

/// Closes the connection that has been sending its request for the longest time, and for at least `min_age`. Returns
/// `false` if there is none.
fn close_oldest(open: &SlotMap<ConnectionKey, Arc<Connection>>, min_age: Duration) -> bool {
    let mut oldest: Option<&Connection> = None;
    for connection in open.values() {
        let is_settled = connection.is_settled.load(Ordering::SeqCst);
        if is_settled || connection.started.elapsed() < min_age {
            continue;
        }
        if oldest.is_none_or(|known| connection.started < known.started) {
            oldest = Some(connection);
        }
    }
    let Some(oldest) = oldest else {
        return false;
    };
    oldest.is_settled.store(true, Ordering::SeqCst);
    let _ = oldest.stream.shutdown(Shutdown::Both);
    true
}

fn admit(mut stream: TcpStream, peer: SocketAddr, shared: &Arc<Shared>) {
    let place = match Place::take(&stream, shared) {
        Ok(Some(place)) => place,
        Ok(None) => {
            log_event!(
                Event::ConnectionRefused,
                "listener=console peer={peer} code=1010"
            );
            // The answer fits into an empty send buffer; a peer that does not read cannot hold this thread.
            let _ = stream.set_nonblocking(true);
            let _ = stream.write_all(FULL);
            return;
        }
        Err(error) => {
            log_event!(
                Event::ConnectionRefused,
                "listener=console peer={peer} error={error}"
            );
            return;
        }
    };
    let spawned = thread::Builder::new()
        .name("console-connection".into())
        .spawn(move || {
            let shared = place.shared.clone();
            serve(stream, peer, &shared, place);
        });
    if let Err(error) = spawned {
        log_event!(
            Event::ConnectionRefused,
            "listener=console peer={peer} error={error}"
        );
    }
}

/// Serves one connection. `place` is released before a rejected connection is closed, so that a caller finds room as soon as it
/// sees the end of the answer.
fn serve(mut stream: TcpStream, peer: SocketAddr, shared: &Arc<Shared>, place: Place) {
    let started = Instant::now();
    let request = match head::read(&mut stream, &shared.limits, started) {
        Ok(request) => request,
        Err(problem) => {
            refuse(&mut stream, peer, problem);
            return drop(place);
        }
    };
    let Some(passed_on) = head::rewrite(&request.head, peer, &shared.token) else {
        refuse(&mut stream, peer, head::Problem::Malformed);
        return drop(place);
    };
    let Some(mut inner) = connect_inner(shared) else {
        let _ = stream.write_all(INNER_DOWN);
        return drop(place);
    };
    if inner.write_all(&passed_on).is_err() || inner.write_all(&request.rest).is_err() {
        return;
    }
    let received = request.rest.len() as u64;
    let upload = Upload {
        most: shared.limits.body_bytes.saturating_sub(received),
        missing: head::body_length(&request.head).map(|length| length.saturating_sub(received)),
        connection: place.connection.clone(),
    };
    splice(stream, inner, &shared.limits, started, upload);
}

fn refuse(stream: &mut TcpStream, peer: SocketAddr, problem: head::Problem) {
    let (answer, code) = match problem {
        head::Problem::Gone => return,
        head::Problem::TooLarge => (TOO_LARGE, 1007),
        head::Problem::TooSlow => (TOO_SLOW, 1009),
        head::Problem::Malformed => (MALFORMED, 1005),
    };
    log_event!(
        Event::ConnectionRefused,
        "listener=console peer={peer} code={code}"
    );
    let _ = stream.write_all(answer);
}

fn connect_inner(shared: &Shared) -> Option<TcpStream> {
    let address = *lock(&shared.inner);
    match TcpStream::connect_timeout(&address, Duration::from_secs(1)) {
        Ok(stream) => Some(stream),
        Err(error) => {
            // Refused means that nothing listens any more: the server's accept loop has ended and its owner has
            // to start another one. Other errors (no descriptors left) pass by themselves.
            if error.kind() == io::ErrorKind::ConnectionRefused {
                shared.inner_lost.store(true, Ordering::SeqCst);
            }
            None
        }
    }
}

/// The rest of a request's body.
struct Upload {
    /// Most bytes that are passed on.
    most: u64,
    /// Bytes that are missing; `None` for a body without a length.
    missing: Option<u64>,
    connection: Arc<Connection>,
}

/// Copies the body one way and the answer the other way until both ends are done or a limit is met.
fn splice(outer: TcpStream, inner: TcpStream, limits: &Limits, started: Instant, upload: Upload) {
    let (Ok(outer_reader), Ok(inner_writer)) = (outer.try_clone(), inner.try_clone()) else {
        return;
    };
    let (done, upload_done) = flume::bounded::<()>(1);
    let limits = *limits;
    let upload = thread::Builder::new()
        .name("console-upload".into())
        .spawn(move || {
            upload.run(outer_reader, inner_writer, &limits, started);
            drop(done);
        });
    let (Ok(inner_end), Ok(outer_end)) = (inner.try_clone(), outer.try_clone()) else {
        return;
    };
    copy(inner, outer, &limits, started, u64::MAX, |_| {});
    // The answer is complete. A caller that is still sending has to be listened to a little longer: closing
    // with unread bytes resets the connection, and the caller would lose the answer that says why.
    let _ = inner_end.shutdown(Shutdown::Both);
    let _ = upload_done.recv_timeout(LINGER);
    let _ = outer_end.shutdown(Shutdown::Both);
    if let Ok(upload) = upload {
        let _ = upload.join();
    }
}

impl Upload {
    /// Passes the body on, and marks the connection once all of it has been received.
    fn run(self, from: TcpStream, to: TcpStream, limits: &Limits, started: Instant) {
        let settle = || self.connection.is_settled.store(true, Ordering::SeqCst);
        let mut missing = self.missing;
        if missing == Some(0) {
            settle();
        }
        copy(from, to, limits, started, self.most, |count| {
            missing = missing.map(|missing| missing.saturating_sub(count));
            if missing == Some(0) {
                settle();
            }
        });
    }
}

/// Copies at most `left` bytes; calls `on_read` with the size of each piece.
fn copy<OnRead>(
    mut from: TcpStream,
    mut to: TcpStream,
    limits: &Limits,
    started: Instant,
    mut left: u64,
    mut on_read: OnRead,
) where
    OnRead: FnMut(u64),
{
    let mut buffer = [0u8; COPY_BYTES];
    let mut takes_more = true;
    let _ = to.set_write_timeout(Some(limits.idle_time));
    while left > 0 {
        let remaining = limits.total_time.saturating_sub(started.elapsed());
        if remaining.is_zero() {
            break;
        }
        let _ = from.set_read_timeout(Some(remaining.min(limits.idle_time)));
        let wanted = buffer
            .len()
            .min(usize::try_from(left).unwrap_or(usize::MAX));
        let Ok(count @ 1..) = from.read(&mut buffer[..wanted]) else {
            break;
        };
        takes_more = takes_more && to.write_all(&buffer[..count]).is_ok();
        left -= count as u64;
        on_read(count as u64);
    }
    // The end of a body must reach the server, or it would wait for the rest.
    let _ = to.shutdown(Shutdown::Write);
}
