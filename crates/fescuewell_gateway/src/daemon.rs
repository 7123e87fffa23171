//! The daemon of one instance: its listeners, its control thread and its graceful shutdown.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use fescuewell_core::log_event;
use fescuewell_core::prelude::*;
use fescuewell_http::listener::{self, Handler, Listener, Memory};
use snafu::{ResultExt, Snafu};
use tokio::sync::oneshot;

use crate::control::Control;
use crate::dialect::Dialect;
use crate::front::Front;
use crate::gateway::Gateway;
use crate::metrics;
use crate::peer::PeerHandler;
use crate::settings::Settings;
use crate::side::AuxiliaryHandler;
use crate::source::Source;
use crate::store::Store;

/// Why an instance cannot start.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A listener cannot be started.
    #[snafu(display("{source}"))]
    Listen {
        /// The cause.
        source: listener::Error,
    },
    /// The metrics cannot be set up.
    #[snafu(display("{source}"))]
    Metrics {
        /// The cause.
        source: metrics::Error,
    },
    /// A thread or its runtime cannot be started.
    #[snafu(display("cannot start the control thread: {source}"))]
    Thread {
        /// The cause.
        source: std::io::Error,
    },
}

/// Time for writing the last responses, which are made when the shutdown ends.
const FLUSH_TIME: Duration = Duration::from_millis(100);
/// Time for returning the last tokens. The next process takes over those that it does not suffice for.
const RETURN_TIME: Duration = Duration::from_millis(200);
/// Interval between two checks whether requests are open, and whether all tokens have been returned.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Sockets reserved for backend servers, the store and the auxiliary listeners; callers get the
/// rest.
const RESERVED_SOCKETS: usize = 1_200;
/// Maximum number of connections of an auxiliary listener.
const MAX_AUXILIARY_CONNECTIONS: usize = 200;
/// Maximum number of connections of other instances. Each request that is sent for one of them takes
/// a connection until its response is complete.
const MAX_PEER_CONNECTIONS: usize = 512;
/// Maximum size of a request of another instance in bytes: a caller's request with its head.
const MAX_PEER_BODY_BYTES: usize = 5 * 1024 * 1024;
/// Size of the memory for the connections of the auxiliary listeners together, in bytes. It is kept for them, so that
/// they respond while callers use up theirs.
const AUXILIARY_MEMORY_BYTES: usize = 2 * 1024 * 1024;

/// A running instance.
pub struct Daemon {
    gateway: Arc<Gateway>,
    front: Listener,
    peer: Option<Listener>,
    _auxiliary_listeners: Vec<Listener>,
    control: Option<ControlThread>,
}

/// The running control thread.
struct ControlThread {
    /// Ends the thread when it is dropped.
    running: oneshot::Sender<()>,
    thread: JoinHandle<()>,
}

impl Drop for Daemon {
    /// Ends the instance without a shutdown. Its control thread would go on to write heartbeats, and to
    /// answer other instances.
    fn drop(&mut self) {
        let Some(control) = self.control.take() else {
            return;
        };
        drop(control.running);
        // A panic has been reported by the thread.
        let _ = control.thread.join();
    }
}

impl Daemon {
    /// Binds the listeners and starts the threads.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if a listener or a thread cannot be started.
    pub fn start(
        settings: Settings,
        dialect: Arc<dyn Dialect>,
        store: Arc<dyn Store>,
        source: Arc<dyn Source>,
    ) -> Result<Self, Error> {
        let (gateway, inbox) = Gateway::new(settings, dialect).context(MetricsSnafu)?;
        let settings = &gateway.settings;
        let front = front_settings(&gateway);
        let handler: Arc<dyn Handler> = Arc::new(Front::new(gateway.clone()));
        let front = Listener::start(front, handler).context(ListenSnafu)?;
        gateway.set_gate(front.gate());
        gateway.set_limits_handle(front.limits());
        // These sockets stay bound even while the front listener rejects connections, so that no
        // second process with the same name can start next to this one.
        let mut auxiliary_listeners = Vec::new();
        let memory = Memory::new(AUXILIARY_MEMORY_BYTES);
        for (name, address) in auxiliary_addresses(settings) {
            let listen = listener::Settings::new(address)
                .with_name(name)
                .with_memory(memory.clone())
                .with_max_connections(MAX_AUXILIARY_CONNECTIONS);
            let handler: Arc<dyn Handler> = Arc::new(AuxiliaryHandler::new(gateway.clone()));
            auxiliary_listeners.push(Listener::start(listen, handler).context(ListenSnafu)?);
        }
        let peer = start_peer(&gateway);
        let control = Control::new(gateway.clone(), store, source, inbox);
        let control = start_control(control)?;
        log_event!(
            Event::Started,
            "instance={} zone={} front={}",
            gateway.settings.name,
            gateway.settings.zone,
            front.address()
        );
        Ok(Self {
            gateway,
            front,
            peer,
            _auxiliary_listeners: auxiliary_listeners,
            control: Some(control),
        })
    }

    /// Returns the address for callers.
    pub fn address(&self) -> SocketAddr {
        self.front.address()
    }

    /// Returns the state shared by the threads, for tests and reports.
    pub fn gateway(&self) -> &Arc<Gateway> {
        &self.gateway
    }

    /// Shuts the instance down gracefully: returns tokens, redirects callers to other instances and
    /// completes requests in flight. Callers whose requests cannot end in time are told that these
    /// have not run.
    pub fn stop(&self) {
        let requested = Instant::now();
        let Some(schedule) = self.gateway.begin_drain() else {
            return;
        };
        let open = self.gateway.in_flight_requests().load(Ordering::Acquire);
        log_event!(
            Event::DrainStarted,
            "open={open} serve_until_ms={} ends_ms={}",
            schedule.serve_until_ms,
            schedule.ends_ms
        );
        self.gateway
            .state()
            .quota
            .begin_shutdown(schedule.serve_until_ms);
        self.gateway.sync_quota();
        // Callers with an old address list still send requests.
        let left_ms = schedule
            .serve_until_ms
            .saturating_sub(self.gateway.now_ms());
        std::thread::sleep(Duration::from_millis(left_ms));
        self.gateway.sync_quota();
        // The listeners stay open: an answer is better for a caller than a refused connection.
        while self.open_exchanges() > 0 && self.gateway.now_ms() < schedule.ends_ms {
            std::thread::sleep(POLL_INTERVAL);
        }
        let mut cut = self.front.drain(FLUSH_TIME);
        if let Some(peer) = &self.peer {
            cut += peer.drain(FLUSH_TIME);
        }
        self.wait_returned();
        log_event!(
            Event::DrainFinished,
            "cut={cut} took_ms={}",
            requested.elapsed().as_millis()
        );
    }

    /// Number of requests of callers and of other instances that are being read or answered.
    fn open_exchanges(&self) -> usize {
        let peer = self.peer.as_ref().map_or(0, Listener::open_exchanges);
        self.front.open_exchanges() + peer
    }

    /// Waits until the tokens of requests that ended during the drain have been returned as well.
    fn wait_returned(&self) {
        let until = Instant::now() + RETURN_TIME;
        let is_returned = || self.gateway.state().quota.is_returned();
        while !is_returned() && Instant::now() < until {
            self.gateway.sync_quota();
            std::thread::sleep(POLL_INTERVAL);
        }
    }
}

fn front_settings(gateway: &Gateway) -> listener::Settings {
    let settings = &gateway.settings;
    let connections = settings
        .max_sockets
        .saturating_sub(RESERVED_SOCKETS)
        .max(64);
    listener::Settings::new(settings.front)
        .with_name("front")
        .with_memory(gateway.memory.clone())
        .with_max_connections(connections)
}

/// Starts the listener for other instances. Without it, they read the store, and this one sends no
/// requests for them.
fn start_peer(gateway: &Arc<Gateway>) -> Option<Listener> {
    let address = gateway.settings.peer?;
    let mut listen = listener::Settings::new(address)
        .with_name("peer")
        .with_memory(gateway.memory.clone())
        .with_max_connections(MAX_PEER_CONNECTIONS);
    listen.max_body_bytes = MAX_PEER_BODY_BYTES;
    let handler: Arc<dyn Handler> = Arc::new(PeerHandler::new(gateway.clone()));
    Listener::start(listen, handler)
        .inspect_err(|error| {
            let reason = error.to_string().replace(' ', "_");
            log_event!(Event::LinkFailed, "address={address} reason={reason}");
        })
        .ok()
}

fn auxiliary_addresses(settings: &Settings) -> Vec<(&'static str, SocketAddr)> {
    let ready = settings.ready.map(|address| ("ready", address));
    let directory = settings.directory.map(|address| ("directory", address));
    let metrics = settings.metrics.map(|address| ("metrics", address));
    ready.into_iter().chain(directory).chain(metrics).collect()
}

fn start_control(control: Control) -> Result<ControlThread, Error> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context(ThreadSnafu)?;
    let (running, ended) = oneshot::channel();
    let thread = std::thread::Builder::new()
        .name("control".into())
        .spawn(move || {
            runtime.block_on(async move {
                tokio::select! {
                    () = control.run() => {}
                    _ = ended => {}
                }
            });
        })
        .context(ThreadSnafu)?;
    Ok(ControlThread { running, thread })
}
