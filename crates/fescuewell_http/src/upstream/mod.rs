//! The client for backend servers.
//!
//! Errors distinguish whether a request may have run. [`Error::NotSent`] means that no byte of the request
//! was passed to the operating system, so it did not run. Once a byte may have been sent, the outcome is
//! unknown, whatever happens on the connection; only the backend server's own record resolves it.
//!
//! Idle connections are pooled by address, but only if their last exchange completed in time. After a
//! timeout or error the connection is closed; otherwise a late response could be taken for the response to
//! another request.
//!
//! With [`Client::with_id_header`], a response that names another request is skipped, and a connection is
//! not used twice for the same request, whose first response may arrive a second time.
//!
//! A server in trouble may send without end. What is received is limited in size for one response, in memory
//! for all responses of a [`Client`] by its [`Budget`], and in time.

mod body;
mod exchange;
mod filter;
mod gate;
mod pool;
mod skip;
mod tls;

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::HeaderName;
use http::header::{HOST, HeaderValue};
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use snafu::Snafu;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::time::error::Elapsed;
use tokio::time::{timeout, timeout_at};

use crate::buffer::Budget;
pub use exchange::{BodyEnd, Exchange};
use filter::{Expected, Filter};
use gate::{GatedStream, ReadMeter, WriteCount, WriteGate};
use pool::{Connection, Pool};
pub use tls::{InvalidCertificate, RootCertificates};

/// The address of a request and its optional deadline.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Target {
    /// Address of the backend server.
    pub address: SocketAddr,
    /// When the exchange is cancelled, even if it is making progress.
    pub deadline: Option<Instant>,
}

impl Target {
    /// Creates a target without a deadline.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            deadline: None,
        }
    }

    /// Sets the deadline.
    pub fn with_deadline(mut self, deadline: Instant) -> Self {
        self.deadline = Some(deadline);
        self
    }
}

/// Timeouts of the parts of an exchange.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timeouts {
    /// Opening a connection.
    pub connect: Duration,
    /// From sending the request to receiving the response head.
    pub first_byte: Duration,
    /// Between two chunks of the response body. Any bytes count, including comments of an event stream.
    pub progress: Duration,
}

impl Default for Timeouts {
    fn default() -> Self {
        Self {
            connect: Duration::from_millis(500),
            first_byte: Duration::from_secs(30),
            progress: Duration::from_secs(10),
        }
    }
}

/// The phase of an exchange in which it failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// The request was being written.
    Sending,
    /// The request was written; the response head had not been received.
    AwaitingHead,
}

/// Why an exchange failed, classified by whether the request may have run.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// No byte of the request was sent: it did not run.
    #[snafu(display("the request was not sent: {reason}"))]
    NotSent {
        /// What failed.
        reason: Arc<str>,
    },
    /// The request may have been received, but there was no response: it may have run.
    #[snafu(display("the request's outcome is unknown ({phase:?}): {reason}"))]
    Unknown {
        /// The phase in which the exchange failed.
        phase: Phase,
        /// Whether the connection failed, as opposed to a timeout.
        is_broken: bool,
        /// What failed.
        reason: Arc<str>,
    },
    /// The response started, but the next chunk was not received in time.
    #[snafu(display("the response stalled"))]
    Stalled,
    /// The response started, but the connection failed before its end.
    #[snafu(display("the connection failed during the response: {reason}"))]
    Closed {
        /// What failed.
        reason: Arc<str>,
    },
    /// The response exceeded a limit of its own: it may go on without end.
    #[snafu(display("the response exceeds a limit: {reason}"))]
    OverLimit {
        /// Which limit.
        reason: Arc<str>,
    },
    /// The memory for the responses of all exchanges did not suffice. This does not indicate a fault of the
    /// backend server.
    #[snafu(display(
        "the response needs {bytes} bytes, more than is left of the memory for all responses"
    ))]
    OverBudget {
        /// The memory that this response would have taken.
        bytes: usize,
    },
    /// The response was still in progress at the target's deadline. This does not indicate a fault of the
    /// backend server.
    #[snafu(display("the deadline passed during the response"))]
    DeadlineExceeded,
}

impl Error {
    /// Whether the connection failed during the exchange, as opposed to a slow server.
    pub fn is_broken(&self) -> bool {
        match self {
            Self::Unknown { is_broken, .. } => *is_broken,
            Self::Closed { .. } => true,
            Self::NotSent { .. }
            | Self::Stalled
            | Self::OverLimit { .. }
            | Self::OverBudget { .. }
            | Self::DeadlineExceeded => false,
        }
    }
}

/// The result of a connection attempt to a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reachability {
    /// The server accepts connections.
    Accepted,
    /// The connection was refused: no process listens on the address.
    Refused,
    /// The attempt timed out or failed with another error.
    NoResponse,
}

/// Limits of a [`Client`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// Maximum number of idle connections per address.
    pub max_idle: usize,
    /// How long an idle connection is kept. Shorter than the idle timeout of backend servers, so that the
    /// server rarely closes first: a request sent on a closing connection has an unknown outcome.
    pub idle_timeout: Duration,
    /// Maximum size of a response head in bytes; at least 8,192.
    pub max_head_bytes: usize,
    /// Maximum time for receiving a body with [`Exchange::collect`] if the target has no deadline. The server
    /// may send a byte within each [`Timeouts::progress`].
    pub max_body_time: Duration,
    /// Maximum time for the response of a request after a response to another one was skipped; it may never
    /// come.
    pub max_skipped_wait: Duration,
    /// Size of the client's [`Budget`] in bytes.
    pub max_buffered_bytes: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            max_idle: 64,
            idle_timeout: Duration::from_secs(15),
            max_head_bytes: 16 * 1024,
            max_body_time: Duration::from_secs(30),
            max_skipped_wait: Duration::from_secs(1),
            max_buffered_bytes: 16 * 1024 * 1024,
        }
    }
}

/// A client for backend servers. Clones share the connection pool and the [`Budget`]. Requires a tokio runtime.
#[derive(Clone)]
pub struct Client {
    settings: Settings,
    roots: Option<RootCertificates>,
    id_header: Option<HeaderName>,
    pool: Arc<Pool>,
    budget: Budget,
}

impl Default for Client {
    fn default() -> Self {
        Self::new(Settings::default())
    }
}

/// hyper's minimum for the buffer that must hold a head.
const MIN_HEAD_BYTES: usize = 8_192;

impl Client {
    /// Creates a client with its own connection pool and [`Budget`].
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            roots: None,
            id_header: None,
            pool: Arc::default(),
            budget: Budget::new(settings.max_buffered_bytes),
        }
    }

    /// Uses TLS on new connections and verifies server certificates against `roots`.
    pub fn with_root_certificates(mut self, roots: RootCertificates) -> Self {
        self.roots = Some(roots);
        self
    }

    /// Sets the header that names a request and that its response echoes. A response with another value
    /// than the request's is skipped; one without the header is returned.
    pub fn with_id_header(mut self, name: HeaderName) -> Self {
        self.id_header = Some(name);
        self
    }

    /// Sends a request and waits for the response head.
    ///
    /// The request's URI consists of path and query; a missing `Host` header is added.
    ///
    /// # Errors
    ///
    /// [`Error::NotSent`] or [`Error::Unknown`].
    pub async fn open(
        &self,
        target: &Target,
        request: http::Request<Bytes>,
        timeouts: Timeouts,
    ) -> Result<Exchange, Error> {
        self.open_if(target, request, timeouts, &|| true).await
    }

    /// Does the same if `may_send` still returns `true` once there is a connection, which may take as long
    /// as its timeout.
    ///
    /// # Errors
    ///
    /// As for [`Client::open`]; [`Error::NotSent`] if `may_send` returns `false`.
    pub async fn open_if(
        &self,
        target: &Target,
        mut request: http::Request<Bytes>,
        timeouts: Timeouts,
        may_send: &(dyn Fn() -> bool + Send + Sync),
    ) -> Result<Exchange, Error> {
        add_host(&mut request, target.address);
        if !may_send() {
            return Err(not_sent(&"the server no longer accepts requests"));
        }
        let id = self.id_of(&request);
        while let Some(connection) =
            self.pool
                .take(target.address, id.as_ref(), self.settings.idle_timeout)
        {
            let result = self
                .attempt(connection, request.clone(), target, timeouts)
                .await;
            match result {
                // The server had closed the idle connection: try the next one or a new one.
                Err(Error::NotSent { .. }) => continue,
                outcome => return outcome,
            }
        }
        let connection = self.connect(target, timeouts).await?;
        if !may_send() {
            self.pool.put(connection, self.settings.max_idle);
            return Err(not_sent(&"the server no longer accepts requests"));
        }
        self.attempt(connection, request, target, timeouts).await
    }

    /// Probes whether a backend server accepts connections within `limit`. An accepted connection is added to the pool.
    pub async fn probe(&self, address: SocketAddr, limit: Duration) -> Reachability {
        let stream = match connect(address, limit).await {
            Ok(stream) => stream,
            Err(reach) => return reach,
        };
        if let Ok(connection) = self.handshake(stream, address).await {
            self.pool.put(connection, self.settings.max_idle);
        }
        Reachability::Accepted
    }

    /// Returns the memory for the responses of all exchanges.
    pub fn budget(&self) -> &Budget {
        &self.budget
    }

    /// Closes all idle connections.
    pub fn close_all_idle(&self) {
        self.pool.close_all_idle();
    }

    /// Closes the idle connections to an address.
    ///
    /// When one connection stops responding, for instance because an intermediary has dropped its state,
    /// the idle connections to the same address are probably affected too.
    pub fn close_idle(&self, address: SocketAddr) {
        self.pool.close_idle(address);
    }

    /// Whether an idle connection to an address is open.
    pub fn has_idle(&self, address: SocketAddr) -> bool {
        self.pool.has_idle(address)
    }

    /// The number of open idle connections to all addresses.
    pub fn idle_connections(&self) -> usize {
        self.pool.len()
    }

    fn id_of<Body>(&self, request: &http::Request<Body>) -> Option<HeaderValue> {
        request.headers().get(self.id_header.as_ref()?).cloned()
    }

    async fn connect(&self, target: &Target, timeouts: Timeouts) -> Result<Connection, Error> {
        let limit = remaining(target).map_or(timeouts.connect, |left| left.min(timeouts.connect));
        let stream = match timeout(limit, TcpStream::connect(target.address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(not_sent(&error)),
            Err(_) => return Err(not_sent(&"connecting timed out")),
        };
        match timeout(limit, self.handshake(stream, target.address)).await {
            Ok(connection) => connection,
            Err(_) => Err(not_sent(&"the handshake timed out")),
        }
    }

    async fn handshake(&self, stream: TcpStream, address: SocketAddr) -> Result<Connection, Error> {
        let _ = stream.set_nodelay(true);
        let gate = Arc::new(WriteGate::default());
        let meter = Arc::new(ReadMeter::default());
        let stream = GatedStream::new(stream, gate.clone(), meter.clone());
        let Some(roots) = &self.roots else {
            return self.start_http(stream, address, gate, meter).await;
        };
        let secured = roots.handshake(stream, address).await;
        let secured = secured.map_err(|error| not_sent(&error))?;
        self.start_http(secured, address, gate, meter).await
    }

    async fn start_http<Stream>(
        &self,
        stream: Stream,
        address: SocketAddr,
        gate: Arc<WriteGate>,
        meter: Arc<ReadMeter>,
    ) -> Result<Connection, Error>
    where
        Stream: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    {
        let expected = Arc::new(Expected::new(self.id_header.clone()));
        let stream = TokioIo::new(Filter::new(stream, expected.clone()));
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(self.settings.max_head_bytes.max(MIN_HEAD_BYTES))
            .handshake::<_, Full<Bytes>>(stream)
            .await
            .map_err(|error| not_sent(&error))?;
        let task = tokio::spawn(async move {
            let _ = driver.await;
        });
        let driver = task.abort_handle();
        Ok(Connection::new(
            address, sender, gate, meter, expected, driver,
        ))
    }

    /// Returns once an exchange has waited too long since a response to another request was skipped.
    async fn await_own(&self, expected: &Expected) -> Elapsed {
        expected.wait_skipped().await;
        let limit = self.settings.max_skipped_wait;
        match timeout(limit, std::future::pending::<Infallible>()).await {
            Ok(never) => match never {},
            Err(elapsed) => elapsed,
        }
    }

    async fn attempt(
        &self,
        mut connection: Connection,
        request: http::Request<Bytes>,
        target: &Target,
        timeouts: Timeouts,
    ) -> Result<Exchange, Error> {
        let written_before = connection.gate().written();
        if remaining(target).is_some_and(|left| left.is_zero()) {
            return Err(not_sent(&"the deadline has passed"));
        }
        let limit =
            remaining(target).map_or(timeouts.first_byte, |left| left.min(timeouts.first_byte));
        let deadline = tokio::time::Instant::now() + limit;
        let id = self.id_of(&request);
        let expected = connection.expected().clone();
        expected.reset();
        let send = timeout_at(deadline, connection.send(request.map(Full::new), id));
        let result = tokio::select! {
            biased;
            result = send => result,
            elapsed = self.await_own(&expected) => Err(elapsed),
        };
        // Bytes that are no response do not come from a server that crashes.
        let is_malformed = matches!(&result, Ok(Err(error)) if error.is_parse());
        let is_broken = result.is_ok() && !is_malformed && !connection.meter().is_exceeded();
        let reason: Arc<str> = match result {
            Ok(Ok(response)) => {
                return Ok(Exchange::new(response, connection, self, target, timeouts));
            }
            Ok(Err(error)) => describe(&error).into(),
            Err(_) if expected.skipped() > 0 => "only responses to other requests".into(),
            Err(_) => "no response in time".into(),
        };
        self.close_idle(target.address);
        // Closing the gate returns the final count: no byte can be written afterwards.
        let count = connection.gate().close();
        Err(classify(count, written_before, is_broken, reason))
    }
}

/// Probes whether a backend server accepts connections within `limit`, then closes the connection.
pub async fn probe(address: SocketAddr, limit: Duration) -> Reachability {
    match connect(address, limit).await {
        Ok(_) => Reachability::Accepted,
        Err(reach) => reach,
    }
}

async fn connect(address: SocketAddr, limit: Duration) -> Result<TcpStream, Reachability> {
    match timeout(limit, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => Ok(stream),
        Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
            Err(Reachability::Refused)
        }
        _ => Err(Reachability::NoResponse),
    }
}

fn classify(count: WriteCount, written_before: u64, is_broken: bool, reason: Arc<str>) -> Error {
    if count.written == written_before {
        return Error::NotSent { reason };
    }
    let phase = match count.flushed {
        true => Phase::AwaitingHead,
        false => Phase::Sending,
    };
    Error::Unknown {
        phase,
        is_broken,
        reason,
    }
}

fn not_sent<Cause>(cause: &Cause) -> Error
where
    Cause: std::fmt::Display,
{
    Error::NotSent {
        reason: cause.to_string().into(),
    }
}

/// Formats a hyper error with its source, which holds the error of the operating system.
fn describe(error: &hyper::Error) -> String {
    match std::error::Error::source(error) {
        Some(source) => format!("{error}: {source}"),
        None => error.to_string(),
    }
}

fn remaining(target: &Target) -> Option<Duration> {
    let deadline = target.deadline?;
    Some(deadline.saturating_duration_since(Instant::now()))
}

fn add_host(request: &mut http::Request<Bytes>, address: SocketAddr) {
    if request.headers().contains_key(HOST) {
        return;
    }
    if let Ok(host) = HeaderValue::from_str(&address.to_string()) {
        request.headers_mut().insert(HOST, host);
    }
}
