//! The listener: accepts callers' connections within bounds and hands whole requests to a [`Handler`].
//!
//! Every resource that a caller can hold is bounded: connections, the time and size of a request's
//! head and body, the time for which a caller may leave an answer unread, and the chunks that wait for it.
//! A bound that is passed gives the caller a numbered refusal and costs nobody else anything.
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

pub use reply::{Closed, Disconnected, Ending, Reply, Sink, TrySendError};
pub use settings::{Settings, Tls};

/// One request, its body read whole and within the bounds.
#[derive(Debug, Clone)]
pub struct Request {
    /// Method of the request line.
    pub method: http::Method,
    /// Path, without the query.
    pub path: Arc<str>,
    /// What follows `?`, or nothing.
    pub query: Arc<str>,
    /// Path and query as sent.
    pub target: http::Uri,
    /// Headers as sent.
    pub headers: http::HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// The caller's address.
    pub peer: SocketAddr,
    /// When the head had been read.
    pub arrived: std::time::Instant,
}

/// What answers requests.
pub trait Handler: Send + Sync {
    /// Takes a request. Runs on a listener thread, inside its runtime, and must not block: longer work
    /// goes to [`spawn`] or to another thread, which keeps the [`Reply`].
    fn handle(&self, request: Request, reply: Reply);
}

/// Starts a task on the runtime of the listener thread that calls it.
///
/// # Panics
///
/// Outside a runtime.
pub fn spawn<Task>(task: Task)
where
    Task: Future<Output = ()> + Send + 'static,
{
    tokio::spawn(task);
}

/// Why a listener could not start.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The address could not be listened on.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Bind {
        /// The address.
        address: SocketAddr,
        /// What the operating system said.
        source: std::io::Error,
    },
    /// The certificate or key cannot be used.
    #[snafu(display("cannot use the listener's certificate and key: {reason}"))]
    Certificate {
        /// What was wrong.
        reason: Arc<str>,
    },
    /// A thread or its runtime could not be started.
    #[snafu(display("cannot start a listener thread: {source}"))]
    Thread {
        /// What the operating system said.
        source: std::io::Error,
    },
}

/// How far the listener has come on its way to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Stage {
    /// Connections are accepted.
    Open,
    /// No more connections are accepted; those that are open go on.
    Closed,
    /// Each connection ends after the exchange under way.
    Draining,
    /// Everything is cut off.
    Ended,
}

/// What the threads of one listener have in common.
struct Shared {
    settings: Settings,
    handler: Arc<dyn Handler>,
    acceptor: Option<tokio_rustls::TlsAcceptor>,
    connections: AtomicUsize,
    refusals: AtomicUsize,
    exchanges: AtomicUsize,
    body_bytes: AtomicUsize,
    refusal_log: refusal_log::RefusalLog,
    stage: watch::Sender<Stage>,
    gate: Gate,
}

/// Lets new connections in or keeps them out; open connections go on either way.
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
    /// Opens or closes the listening socket. While it is closed the operating system refuses new connections: that costs the
    /// link one packet, where a refusal costs a whole request first. Returns whether that is news.
    pub fn set(&self, open: bool) -> bool {
        self.open.send_if_modified(|current| {
            let changed = *current != open;
            *current = open;
            changed
        })
    }
}

/// A connection on its way to the thread that will serve it.
struct Arrival {
    stream: std::net::TcpStream,
    peer: SocketAddr,
    place: accept::Place,
}

/// A running listener. Dropping it cuts off every connection and joins its threads.
pub struct Listener {
    address: SocketAddr,
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

/// Connections that may wait for a thread to take them up; they count as open meanwhile.
const ARRIVALS: usize = 256;

/// How often [`Listener::drain`] looks whether all exchanges have ended.
const DRAIN_POLL: Duration = Duration::from_millis(2);

impl Listener {
    /// Binds the address and starts the threads.
    ///
    /// # Errors
    ///
    /// When the address cannot be listened on, the certificate cannot be used or a thread cannot be started.
    pub fn start(settings: Settings, handler: Arc<dyn Handler>) -> Result<Self, Error> {
        let address = settings.address;
        let port = accept::Port::take(address).context(BindSnafu { address })?;
        let socket = port.listen().context(BindSnafu { address })?;
        let address = port.address();
        let acceptor = settings.tls.as_ref().map(tls::acceptor).transpose()?;
        let (stage, _) = watch::channel(Stage::Open);
        let shared = Arc::new(Shared {
            settings,
            handler,
            acceptor,
            connections: AtomicUsize::new(0),
            refusals: AtomicUsize::new(0),
            exchanges: AtomicUsize::new(0),
            body_bytes: AtomicUsize::new(0),
            refusal_log: refusal_log::RefusalLog::default(),
            stage,
            gate: Gate::default(),
        });
        let mut listener = Self {
            address,
            shared,
            threads: Vec::new(),
        };
        listener.start_threads(port, socket).context(ThreadSnafu)?;
        Ok(listener)
    }

    fn start_threads(
        &mut self,
        port: accept::Port,
        socket: std::net::TcpListener,
    ) -> std::io::Result<()> {
        let count = self.shared.settings.threads.max(1);
        let (senders, receivers): (Vec<_>, Vec<_>) =
            (0..count).map(|_| flume::bounded(ARRIVALS)).unzip();
        let mut acceptor = Some((port, socket, senders));
        for (index, arrivals) in receivers.into_iter().enumerate() {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()?;
            let shared = self.shared.clone();
            let duty = acceptor.take();
            let name = format!("{}-{index}", shared.settings.name);
            let thread = std::thread::Builder::new().name(name).spawn(move || {
                runtime.block_on(run_thread(&shared, duty, &arrivals));
            })?;
            self.threads.push(thread);
        }
        Ok(())
    }

    /// The address that is listened on, with the port that was given out.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// How many connections are open.
    pub fn open_connections(&self) -> usize {
        self.shared.connections.load(Ordering::Relaxed)
    }

    /// How many requests are being read or answered.
    pub fn open_exchanges(&self) -> usize {
        self.shared.exchanges.load(Ordering::Relaxed)
    }

    /// What lets new connections in and keeps them out.
    pub fn gate(&self) -> Gate {
        self.shared.gate.clone()
    }

    /// Closes the listening socket: new connections are refused by the operating system, those that
    /// are open go on and may bring more requests.
    pub fn stop_accepting(&self) {
        self.advance(Stage::Closed);
    }

    /// Stops accepting, ends each connection after its exchange, and waits up to `limit` until none
    /// is left. Blocks the calling thread, which must not be a listener's.
    ///
    /// Returns how many exchanges were still open at the limit; 0 means that no request was cut off.
    pub fn drain(&self, limit: Duration) -> usize {
        self.advance(Stage::Draining);
        let deadline = std::time::Instant::now() + limit;
        loop {
            let open = self.open_exchanges();
            if open == 0 || std::time::Instant::now() >= deadline {
                return open;
            }
            std::thread::sleep(DRAIN_POLL);
        }
    }

    fn advance(&self, stage: Stage) {
        self.shared.stage.send_if_modified(|current| {
            let later = stage > *current;
            if later {
                *current = stage;
            }
            later
        });
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.advance(Stage::Ended);
        let own = std::thread::current().id();
        for thread in self.threads.drain(..) {
            // A handler may hold the last handle; joining its own thread would never end.
            if thread.thread().id() != own {
                let _ = thread.join();
            }
        }
    }
}

/// What the accepting thread gets besides: the port, its socket and the way to each serving thread.
type Acceptor = (
    accept::Port,
    std::net::TcpListener,
    Vec<flume::Sender<Arrival>>,
);

async fn run_thread(
    shared: &Arc<Shared>,
    duty: Option<Acceptor>,
    arrivals: &flume::Receiver<Arrival>,
) {
    let mut stage = shared.stage.subscribe();
    if let Some((port, socket, workers)) = duty {
        tokio::spawn(accept::run(port, socket, workers, shared.clone()));
    }
    let serve = async {
        while let Ok(arrival) = arrivals.recv_async().await {
            tokio::spawn(connection::serve(arrival, shared.clone()));
        }
        // The accept loop has ended; what is open goes on until the listener is dropped.
        std::future::pending::<()>().await;
    };
    tokio::select! {
        () = serve => {}
        _ = stage.wait_for(|stage| *stage == Stage::Ended) => {}
    }
}
