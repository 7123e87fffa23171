//! The client for backend servers.
//!
//! What matters here is what a failure means. A request of which no byte was handed to the operating
//! system did not run, and [`Error::NotSent`] says so. Once a byte may have left, the outcome is unknown
//! until the backend server's own record tells, whatever the connection did afterwards.
//!
//! Connections are kept for reuse by address, and only those whose last exchange ended whole and in
//! time. One on which anything was late or broke is closed: its late bytes could otherwise be taken for the
//! answer to somebody else's request.

mod exchange;
mod gate;
mod pool;
mod tls;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::header::{HOST, HeaderValue};
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::rt::{Read, Write};
use hyper_util::rt::TokioIo;
use snafu::Snafu;
use tokio::net::TcpStream;
use tokio::time::{timeout, timeout_at};

pub use exchange::Exchange;
use gate::{Count, Gate, Gated};
use pool::{Connection, Pool};
pub use tls::{InvalidCertificate, RootCertificates};

/// Where a request goes, and until when its answer is of use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Target {
    /// Address of the backend server.
    pub address: SocketAddr,
    /// When the exchange is given up, however well it goes.
    pub deadline: Option<Instant>,
}

impl Target {
    /// A target without a deadline.
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

/// How long each part of an exchange may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timeouts {
    /// Opening a connection.
    pub connect: Duration,
    /// From sending the request to the head of the answer.
    pub first_byte: Duration,
    /// Between two chunks of the answer's body. Any bytes count, comments of an event stream too.
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

/// How far an exchange had come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// The request was being written.
    Sending,
    /// The request was written; the head of the answer was awaited.
    AwaitingHead,
}

/// Why an exchange failed, told by what it means for the request.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// No byte of the request left this process: it did not run.
    #[snafu(display("the request was not sent: {reason}"))]
    NotSent {
        /// What failed.
        reason: Arc<str>,
    },
    /// The request may have arrived and no answer came: it may have run.
    #[snafu(display("the request's outcome is unknown ({phase:?}): {reason}"))]
    Unknown {
        /// How far the exchange had come.
        phase: Phase,
        /// Whether the connection broke, rather than that no answer came in time.
        is_broken: bool,
        /// What failed.
        reason: Arc<str>,
    },
    /// The answer began and then nothing more came in time.
    #[snafu(display("the answer stalled"))]
    Stalled,
    /// The answer began and the connection broke before its end.
    #[snafu(display("the connection broke within the answer: {reason}"))]
    Closed {
        /// What failed.
        reason: Arc<str>,
    },
    /// The answer began and was still under way at the target's deadline; this says nothing against
    /// the backend server.
    #[snafu(display("the deadline passed within the answer"))]
    DeadlineExceeded,
}

impl Error {
    /// Whether the connection broke while the request was under way, rather than that the server was slow.
    pub fn is_broken(&self) -> bool {
        match self {
            Self::Unknown { is_broken, .. } => *is_broken,
            Self::Closed { .. } => true,
            Self::NotSent { .. } | Self::Stalled | Self::DeadlineExceeded => false,
        }
    }
}

/// What a connection attempt shows of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reachability {
    /// It accepts connections.
    Accepted,
    /// Nothing listens at its address.
    Refused,
    /// Neither was seen in time.
    NoResponse,
}

/// Bounds of a [`Client`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// Unused connections kept for each address.
    pub max_idle: usize,
    /// How long an unused connection is kept. Shorter than what backend servers use, so that it is rarely
    /// the server that closes first: a request sent into a closing connection has an unknown outcome.
    pub idle_timeout: Duration,
    /// Largest head of an answer, in bytes; at least 8,192.
    pub max_head_bytes: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            max_idle: 64,
            idle_timeout: Duration::from_secs(15),
            max_head_bytes: 16 * 1024,
        }
    }
}

/// A client for backend servers; clones share their connections. Used inside a tokio runtime.
#[derive(Clone, Default)]
pub struct Client {
    settings: Settings,
    roots: Option<RootCertificates>,
    pool: Arc<Pool>,
}

/// hyper's lower bound on the buffer that a head has to fit.
const LEAST_HEAD_BYTES: usize = 8_192;

impl Client {
    /// A client with its own connections.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            roots: None,
            pool: Arc::default(),
        }
    }

    /// Uses TLS on new connections, with servers that these authorities certify.
    pub fn with_root_certificates(mut self, roots: RootCertificates) -> Self {
        self.roots = Some(roots);
        self
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// The request's URI is a path with its query; a `Host` header is added if there is none.
    ///
    /// # Errors
    ///
    /// [`Error::NotSent`] or [`Error::Unknown`].
    pub async fn open(
        &self,
        target: &Target,
        mut request: http::Request<Bytes>,
        timeouts: Timeouts,
    ) -> Result<Exchange, Error> {
        add_host(&mut request, target.address);
        while let Some(connection) = self.pool.take(target.address, self.settings.idle_timeout) {
            let sent = self
                .attempt(connection, request.clone(), target, timeouts)
                .await;
            match sent {
                // The server had closed the kept connection; the next one, or a new one, may still do.
                Err(Error::NotSent { .. }) => continue,
                outcome => return outcome,
            }
        }
        let connection = self.connect(target, timeouts).await?;
        self.attempt(connection, request, target, timeouts).await
    }

    /// Probes whether a backend server accepts connections, within `limit`. An accepted connection is kept for the next request.
    pub async fn probe(&self, address: SocketAddr, limit: Duration) -> Reachability {
        let stream = match connect(address, limit).await {
            Ok(stream) => stream,
            Err(reach) => return reach,
        };
        if let Ok(connection) = self.handshake(stream, address).await {
            self.pool.keep(connection, self.settings.max_idle);
        }
        Reachability::Accepted
    }

    /// Closes the unused connections to an address.
    ///
    /// When one connection has gone silent, others that were idle for as long have probably been forgotten
    /// by whatever stands between as well.
    pub fn close_idle(&self, address: SocketAddr) {
        self.pool.close_idle(address);
    }

    /// Whether an unused connection to an address is open.
    pub fn has_idle(&self, address: SocketAddr) -> bool {
        self.pool.has(address)
    }

    /// How many unused connections are open, over all addresses.
    pub fn idle_connections(&self) -> usize {
        self.pool.len()
    }

    async fn connect(&self, target: &Target, timeouts: Timeouts) -> Result<Connection, Error> {
        let limit = remaining(target).map_or(timeouts.connect, |left| left.min(timeouts.connect));
        let stream = match timeout(limit, TcpStream::connect(target.address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(not_sent(&error)),
            Err(_) => return Err(not_sent(&"connecting took too long")),
        };
        match timeout(limit, self.handshake(stream, target.address)).await {
            Ok(connection) => connection,
            Err(_) => Err(not_sent(&"the handshake took too long")),
        }
    }

    async fn handshake(&self, stream: TcpStream, address: SocketAddr) -> Result<Connection, Error> {
        let _ = stream.set_nodelay(true);
        let gate = Arc::new(Gate::default());
        let stream = Gated::new(stream, gate.clone());
        let Some(roots) = &self.roots else {
            return self.start_http(TokioIo::new(stream), address, gate).await;
        };
        let secured = roots.secure(stream, address).await;
        let secured = secured.map_err(|error| not_sent(&error))?;
        self.start_http(TokioIo::new(secured), address, gate).await
    }

    async fn start_http<Stream>(
        &self,
        stream: Stream,
        address: SocketAddr,
        gate: Arc<Gate>,
    ) -> Result<Connection, Error>
    where
        Stream: Read + Write + Unpin + Send + 'static,
    {
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(self.settings.max_head_bytes.max(LEAST_HEAD_BYTES))
            .handshake::<_, Full<Bytes>>(stream)
            .await
            .map_err(|error| not_sent(&error))?;
        let task = tokio::spawn(async move {
            let _ = driver.await;
        });
        Ok(Connection::new(address, sender, gate, task.abort_handle()))
    }

    async fn attempt(
        &self,
        mut connection: Connection,
        request: http::Request<Bytes>,
        target: &Target,
        timeouts: Timeouts,
    ) -> Result<Exchange, Error> {
        let before = connection.gate().written();
        if remaining(target).is_some_and(|left| left.is_zero()) {
            return Err(not_sent(&"the deadline has passed"));
        }
        let limit =
            remaining(target).map_or(timeouts.first_byte, |left| left.min(timeouts.first_byte));
        let until = tokio::time::Instant::now() + limit;
        let answer = timeout_at(until, connection.send(request.map(Full::new))).await;
        let is_broken = answer.is_ok();
        let reason: Arc<str> = match answer {
            Ok(Ok(response)) => {
                let pool = self.pool.clone();
                let keep = self.settings.max_idle;
                return Ok(Exchange::new(
                    response, connection, pool, keep, target, timeouts,
                ));
            }
            Ok(Err(error)) => cause(&error).into(),
            Err(_) => "no answer in time".into(),
        };
        self.close_idle(target.address);
        // Shut first, then count: after this no byte can leave, so the count is final.
        let count = connection.gate().shut();
        Err(classify(count, before, is_broken, reason))
    }
}

/// Probes whether a backend server accepts connections, within `limit`, and closes the connection.
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

fn classify(count: Count, before: u64, is_broken: bool, reason: Arc<str>) -> Error {
    if count.written == before {
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

/// hyper's errors name their kind; what the operating system said is in their source.
fn cause(error: &hyper::Error) -> String {
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
