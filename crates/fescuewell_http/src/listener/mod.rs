//! The HTTP listener: accepts connections within limits and passes complete requests to a [`Handler`].
//!
//! Every resource that a caller can hold is limited: connections, the time and size of a request's
//! head and body, the time for which a response may remain unread, and the buffered response chunks.
//! Exceeding a limit results in a numbered refusal or a closed connection for that caller and does not
//! affect others.
//!
//! ```
//! use std::sync::Arc;
//! use bytes::Bytes;
//! use fescuewell_http::listener::{Handler, Listener, Reply, Request, Settings};
//!
//! struct Echo;
//! impl Handler for Echo {
//!     fn handle(&self, request: Request, reply: Reply) {
//!         reply.send(http::StatusCode::OK, http::HeaderMap::new(), request.body);
//!     }
//! }
//!
//! let settings = Settings::new("127.0.0.1:0".parse().unwrap());
//! let listener = Listener::start(settings, Arc::new(Echo)).unwrap();
//! assert_ne!(listener.address().port(), 0);
//! ```

mod accept;
mod body;
mod connection;
mod guard;
mod limits;
mod memory;
mod refusal_log;
mod reply;
mod settings;
mod tls;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use bytes::Bytes;
use snafu::{ResultExt, Snafu};
use tokio::sync::watch;

pub use limits::{Limits, LimitsHandle};
pub use memory::{Memory, Usage};
pub use reply::{Closed, Disconnected, Ending, Reply, Sink, TrySendError};
pub use settings::{Settings, Tls};

/// A request with its complete body, unless its handler does not need that.
#[derive(Debug, Clone)]
pub struct Request {
    /// Request method.
    pub method: http::Method,
    /// Path without the query.
    pub path: Arc<str>,
    /// Query string without `?`; empty if there is none.
    pub query: Arc<str>,
    /// Request target as received.
    pub target: http::Uri,
    /// Headers as received.
    pub headers: http::HeaderMap,
    /// The complete body; empty if it was not read.
    pub body: Bytes,
    /// Whether there is a body that was not read, since [`Handler::needs_body`] returned `false`. Such a request must
    /// not be carried out by a handler that would need its body now.
    pub is_body_skipped: bool,
    /// Remote address of the connection.
    pub peer: SocketAddr,
    /// When the head had been received.
    pub arrived: std::time::Instant,
}

/// The head of a request whose body has not been read.
#[derive(Debug, Clone, Copy)]
pub struct Head<'a> {
    /// Request target as received.
    pub uri: &'a http::Uri,
    /// Headers as received.
    pub headers: &'a http::HeaderMap,
}

/// Handles requests.
pub trait Handler: Send + Sync {
    /// Whether a request's body is read. Otherwise the request is passed on with an empty body at once, and the
    /// connection is closed after the response unless the body has arrived already.
    fn needs_body(&self, _head: &Head<'_>) -> bool {
        true
    }

    /// Handles a request. Runs inside the runtime of a listener thread and must not block: longer work
    /// belongs in a [`spawn`]ed task or another thread, which then owns the [`Reply`].
    fn handle(&self, request: Request, reply: Reply);
}

/// Spawns a task on the runtime of the current listener thread.
///
/// # Panics
///
/// Panics outside a tokio runtime.
pub fn spawn<Task>(task: Task)
where
    Task: Future<Output = ()> + Send + 'static,
{
    tokio::spawn(task);
}

/// Why a listener failed to start.
#[derive(Debug, Snafu)]
pub enum Error {
    /// Binding the address or listening on it failed.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The certificate or key is invalid.
    #[snafu(display("invalid certificate or key for the listener: {reason}"))]
    Certificate {
        /// Why it is invalid.
        reason: Arc<str>,
    },
    /// A thread or its runtime could not be started.
    #[snafu(display("cannot start a listener thread: {source}"))]
    Thread {
        /// The error of the operating system.
        source: std::io::Error,
    },
}

/// The shutdown stages of a listener, in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Stage {
    /// Connections are accepted.
    Open,
    /// No new connections are accepted; open ones continue.
    Closed,
    /// Each connection is closed after its current exchange.
    Draining,
    /// All connections are dropped.
    Ended,
}

/// State that the threads of one listener share.
struct Shared {
    settings: Settings,
    handler: Arc<dyn Handler>,
    acceptor: Option<tokio_rustls::TlsAcceptor>,
    connections: AtomicUsize,
    refusals: AtomicUsize,
    exchanges: AtomicUsize,
    limits: LimitsHandle,
    refusal_log: refusal_log::RefusalLog,
    stage: watch::Sender<Stage>,
    gate: Gate,
}

/// Controls whether new connections are accepted; open connections are not affected.
#[derive(Debug, Clone)]
pub struct Gate {
    open: Arc<watch::Sender<bool>>,
}

impl Default for Gate {
    fn default() -> Self {
        let (open, _) = watch::channel(true);
        Self {
            open: Arc::new(open),
        }
    }
}

impl Gate {
    /// Opens or closes the listening socket; returns whether this changed its state. While the socket is closed, the
    /// operating system rejects new connections with a single packet; an HTTP refusal would require receiving the
    /// whole request first.
    pub fn set(&self, open: bool) -> bool {
        self.open.send_if_modified(|current| {
            let changed = *current != open;
            *current = open;
            changed
        })
    }
}

/// An accepted connection, queued for the thread that will serve it.
struct AcceptedConnection {
    stream: std::net::TcpStream,
    peer: SocketAddr,
    permit: accept::ConnectionPermit,
}

/// A running listener. Dropping it closes all connections and joins its threads.
pub struct Listener {
    address: SocketAddr,
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

/// Maximum number of accepted connections queued for each thread; they count as open.
const MAX_QUEUED_CONNECTIONS: usize = 256;

/// Interval at which [`Listener::drain`] checks for open exchanges.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(2);

impl Listener {
    /// Binds the address and starts the threads.
    ///
    /// # Errors
    ///
    /// Returns an error if listening on the address fails, the certificate or key is invalid, or a thread cannot be started.
    pub fn start(settings: Settings, handler: Arc<dyn Handler>) -> Result<Self, Error> {
        let address = settings.address;
        let reserved = accept::ReservedAddress::reserve(address).context(BindSnafu { address })?;
        let socket = reserved.listen().context(BindSnafu { address })?;
        let address = reserved.address();
        let acceptor = settings.tls.as_ref().map(tls::acceptor).transpose()?;
        let (stage, _) = watch::channel(Stage::Open);
        let limits = LimitsHandle::new(Limits::of(&settings));
        let shared = Arc::new(Shared {
            settings,
            handler,
            acceptor,
            connections: AtomicUsize::new(0),
            refusals: AtomicUsize::new(0),
            exchanges: AtomicUsize::new(0),
            limits,
            refusal_log: refusal_log::RefusalLog::default(),
            stage,
            gate: Gate::default(),
        });
        let mut listener = Self {
            address,
            shared,
            threads: Vec::new(),
        };
        listener
            .start_threads(reserved, socket)
            .context(ThreadSnafu)?;
        Ok(listener)
    }

    fn start_threads(
        &mut self,
        reserved: accept::ReservedAddress,
        socket: std::net::TcpListener,
    ) -> std::io::Result<()> {
        let count = self.shared.settings.threads.max(1);
        let (senders, receivers): (Vec<_>, Vec<_>) = (0..count)
            .map(|_| flume::bounded(MAX_QUEUED_CONNECTIONS))
            .unzip();
        let mut pending_accept_loop = Some((reserved, socket, senders));
        for (index, connections) in receivers.into_iter().enumerate() {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()?;
            let shared = self.shared.clone();
            let accept_loop = pending_accept_loop.take();
            let name = format!("{}-{index}", shared.settings.name);
            let thread = std::thread::Builder::new().name(name).spawn(move || {
                runtime.block_on(run_thread(&shared, accept_loop, &connections));
            })?;
            self.threads.push(thread);
        }
        Ok(())
    }

    /// The listening address, with the assigned port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The number of open connections.
    pub fn open_connections(&self) -> usize {
        self.shared.connections.load(Ordering::Relaxed)
    }

    /// The number of requests that are being read or answered.
    pub fn open_exchanges(&self) -> usize {
        self.shared.exchanges.load(Ordering::Relaxed)
    }

    /// Returns the control that starts and stops accepting connections.
    pub fn gate(&self) -> Gate {
        self.shared.gate.clone()
    }

    /// Returns the control that sets the limits on requests.
    pub fn limits(&self) -> LimitsHandle {
        self.shared.limits.clone()
    }

    /// Closes the listening socket: the operating system refuses new connections; open connections
    /// continue and may send further requests.
    pub fn stop_accepting(&self) {
        self.advance_to(Stage::Closed);
    }

    /// Stops accepting, closes each connection after its current exchange, and waits up to `limit` until
    /// no exchange is open. Blocks the calling thread, which must not be a listener thread.
    ///
    /// Returns the number of exchanges still open at the limit; 0 means that all requests completed.
    pub fn drain(&self, limit: Duration) -> usize {
        self.advance_to(Stage::Draining);
        let deadline = std::time::Instant::now() + limit;
        loop {
            let open = self.open_exchanges();
            if open == 0 || std::time::Instant::now() >= deadline {
                return open;
            }
            std::thread::sleep(DRAIN_POLL_INTERVAL);
        }
    }

    fn advance_to(&self, stage: Stage) {
        self.shared.stage.send_if_modified(|current| {
            let is_later = stage > *current;
            if is_later {
                *current = stage;
            }
            is_later
        });
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.advance_to(Stage::Ended);
        let current = std::thread::current().id();
        for thread in self.threads.drain(..) {
            // A handler may own the listener; a thread that joins itself would block forever.
            if thread.thread().id() != current {
                let _ = thread.join();
            }
        }
    }
}

/// Arguments of the accept loop: the reserved address, the listening socket and a queue per thread.
type AcceptLoop = (
    accept::ReservedAddress,
    std::net::TcpListener,
    Vec<flume::Sender<AcceptedConnection>>,
);

async fn run_thread(
    shared: &Arc<Shared>,
    accept_loop: Option<AcceptLoop>,
    connections: &flume::Receiver<AcceptedConnection>,
) {
    let mut stage = shared.stage.subscribe();
    if let Some((reserved, socket, workers)) = accept_loop {
        tokio::spawn(accept::run(reserved, socket, workers, shared.clone()));
    }
    let serve = async {
        while let Ok(accepted) = connections.recv_async().await {
            tokio::spawn(connection::serve(accepted, shared.clone()));
        }
        // The accept loop has ended; open connections are served until the listener is dropped.
        std::future::pending::<()>().await;
    };
    tokio::select! {
        () = serve => {}
        _ = stage.wait_for(|stage| *stage == Stage::Ended) => {}
    }
}
