//! Starts and stops a router: all threads, listeners and connections of one instance.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use arc_swap::ArcSwap;
use fescuewell_core::prelude::*;
use fescuewell_core::time::SystemClock;
use fescuewell_core::timer;
use fescuewell_document::lookup::Index;
use fescuewell_http::listener::{self, Listener, Memory};
use fescuewell_http::upstream::{Client, Timeouts};
use fescuewell_membership::address;
use fescuewell_membership::member::InstanceInfo;
use fescuewell_node::event::Event as NodeEvent;
use fescuewell_node::node::Node;
use fescuewell_node::state::Summary;
use fescuewell_peer::Transport;
use http::HeaderName;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use snafu::{ResultExt, Snafu};

use crate::adapters::{self, Channels, Platform};
use crate::attempt::STREAM_HEADER;
use crate::backends::{self, Backends};
use crate::event_loop::EventLoop;
use crate::metrics::{self, Metrics};
use crate::operator::Operator;
use crate::pending::PendingRequests;
use crate::plane::{Front, Plane};
use crate::settings::Settings;

/// Capacity of the channel of events to the decision thread.
const EVENT_CHANNEL_CAPACITY: usize = 16_384;
/// Capacity of the channel of peer messages that wait to be decoded.
const PEER_CHANNEL_CAPACITY: usize = 1_024;
/// Interval of the decision thread's ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(5);
/// How long open connections of callers may take to finish after the decision thread ended.
const EXCHANGE_DRAIN_TIMEOUT: Duration = Duration::from_secs(5);
/// How long the last messages to peers may take to be sent.
const PEER_FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

/// An error while starting or reloading a router.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A listener could not start.
    #[snafu(display("{source}"))]
    Listener {
        /// The cause.
        source: listener::Error,
    },
    /// The transport between instances could not start, or rejected new certificates.
    #[snafu(display("peers: {source}"))]
    Peers {
        /// The cause.
        source: fescuewell_peer::Error,
    },
    /// The operators' token could not be read.
    #[snafu(display("setting operator_token: {source}"))]
    Token {
        /// The cause.
        source: fescuewell_platform::settings::Error,
    },
    /// The metrics could not be set up.
    #[snafu(display("{source}"))]
    Metrics {
        /// The cause.
        source: metrics::Error,
    },
    /// A thread could not start.
    #[snafu(display("cannot start a thread: {source}"))]
    Thread {
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// A file named in the settings could not be read.
    #[snafu(display("setting {setting}: cannot read {file}: {source}"))]
    File {
        /// Name of the setting.
        setting: &'static str,
        /// Path of the file.
        file: Arc<str>,
        /// The error of the operating system.
        source: std::io::Error,
    },
}

/// A running router instance.
pub struct Router {
    listener: Listener,
    operator: Listener,
    events: flume::Sender<NodeEvent>,
    transport: Arc<Transport>,
    plane: Arc<Plane>,
    event_loop: JoinHandle<()>,
    _timer: timer::Service,
}

impl Router {
    /// Starts an instance that uses the given platform services.
    ///
    /// # Errors
    ///
    /// When a thread, a listener, the peer transport or the metrics cannot be started, or a file that the
    /// settings name cannot be read.
    pub fn start(
        settings: &Settings,
        services: fescuewell_platform::Services,
    ) -> Result<Self, Error> {
        let (events, inbox) = flume::bounded(EVENT_CHANNEL_CAPACITY);
        let timer = timer::Service::start(Arc::new(SystemClock::default()));
        let metrics = Arc::new(Metrics::new().context(MetricsSnafu)?);
        let transport = start_transport(settings, &events)?;
        let platform = Platform {
            table: services.table,
            objects: services.objects,
            instances: services.instances,
            events: events.clone(),
        };
        let (channels, work) = adapters::start(&platform, &timer).context(ThreadSnafu)?;
        let clock: Arc<dyn Clock> = Arc::new(SystemClock::default());
        start_backends(&channels, &events, work, clock.clone())?;
        let mut random = SmallRng::from_os_rng();
        let incarnation = new_incarnation(&mut random);
        let holder: Arc<str> = format!("{}.{:x}", settings.instance, incarnation.0).into();
        let plane = Arc::new(new_plane(settings, &events, holder, metrics.clone()));
        let summary: Arc<ArcSwap<Summary>> = Arc::default();
        let listener = start_listener(settings, &plane)?;
        let operator = start_operator(settings, &summary, &metrics)?;
        let me = InstanceInfo {
            instance: settings.instance.clone(),
            incarnation,
            caller_address: listener.address(),
            peer_address: transport.address(),
            operator_address: operator.address(),
            zone: settings.zone.clone(),
            formats: fescuewell_document::chunk::FORMAT,
        };
        let event_loop = EventLoop {
            node: Node::new(settings.node(), me, random.random()),
            clock,
            inbox,
            plane: plane.clone(),
            channels,
            transport: transport.clone(),
            summary,
        };
        let event_loop = std::thread::Builder::new()
            .name("decisions".into())
            .spawn(move || event_loop.run())
            .context(ThreadSnafu)?;
        subscribe(&timer, &events);
        fescuewell_core::log_event!(
            Event::Started,
            "instance={} zone={} callers={} operators={} peers={}",
            settings.instance,
            settings.zone,
            listener.address(),
            operator.address(),
            transport.address()
        );
        Ok(Self {
            listener,
            operator,
            events,
            transport,
            plane,
            event_loop,
            _timer: timer,
        })
    }

    /// Address of the callers' listener.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Address of the operators' listener.
    pub fn operator_address(&self) -> SocketAddr {
        self.operator.address()
    }

    /// Address of the listener for other instances.
    pub fn peer_address(&self) -> SocketAddr {
        self.transport.address()
    }

    /// Counts of bytes and messages exchanged with peers.
    pub fn traffic(&self) -> fescuewell_peer::Traffic {
        self.transport.traffic()
    }

    /// Loads renewed peer certificates from the settings.
    ///
    /// # Errors
    ///
    /// When they are invalid; the previous certificates stay in use.
    pub fn reload(&self, settings: &Settings) -> Result<(), Error> {
        self.transport.reload(&settings.peers).context(PeersSnafu)
    }

    /// Whether the instance accepts requests.
    pub fn is_ready(&self) -> bool {
        self.plane.published.load().is_ready
    }

    /// Starts the drain; a second call has no effect.
    pub fn terminate(&self) {
        let _ = self.events.send(NodeEvent::Terminate);
    }

    /// Whether the decision thread has ended, for example after a drain.
    pub fn is_finished(&self) -> bool {
        self.event_loop.is_finished()
    }

    /// Waits for the drain to end, then for open connections and the last messages to peers.
    pub fn join(self) {
        let _ = self.event_loop.join();
        self.listener.stop_accepting();
        self.listener.drain(EXCHANGE_DRAIN_TIMEOUT);
        if let Ok(transport) = Arc::try_unwrap(self.transport) {
            transport.close(PEER_FLUSH_TIMEOUT);
        }
    }
}

// An incarnation must increase with each start of an instance. Seconds since 1970 do, unless the system clock
// is set back; 16 random low bits distinguish two starts within the same second.
fn new_incarnation(random: &mut SmallRng) -> Incarnation {
    let now = std::time::SystemTime::now();
    let since = now
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default();
    Incarnation((since.as_secs() << 16) | u64::from(random.random::<u16>()))
}

fn start_transport(
    settings: &Settings,
    events: &flume::Sender<NodeEvent>,
) -> Result<Arc<Transport>, Error> {
    let (inbox, messages) = flume::bounded::<fescuewell_peer::Message>(PEER_CHANNEL_CAPACITY);
    let transport = Transport::start(settings.peers.clone(), inbox).context(PeersSnafu)?;
    let events = events.clone();
    std::thread::Builder::new()
        .name("peer-messages".into())
        .spawn(move || decode_messages(&messages, &events))
        .context(ThreadSnafu)?;
    Ok(Arc::new(transport))
}

fn decode_messages(
    messages: &flume::Receiver<fescuewell_peer::Message>,
    events: &flume::Sender<NodeEvent>,
) {
    for incoming in messages.iter() {
        let Ok(message) = postcard::from_bytes(&incoming.payload) else {
            fescuewell_core::log_event!(
                Event::ConnectionRefused,
                "peer={} reason=unreadable",
                incoming.from
            );
            continue;
        };
        let from = incoming.from;
        if events
            .send(NodeEvent::PeerMessage { from, message })
            .is_err()
        {
            return;
        }
    }
}

fn start_backends(
    channels: &Channels,
    events: &flume::Sender<NodeEvent>,
    work: flume::Receiver<adapters::BackendWork>,
    clock: Arc<dyn Clock>,
) -> Result<(), Error> {
    let backends = Backends {
        servers: channels.servers.clone(),
        events: events.clone(),
        client: Client::default(),
        clock,
    };
    backends::start(backends, work).context(ThreadSnafu)
}

fn new_plane(
    settings: &Settings,
    events: &flume::Sender<NodeEvent>,
    holder: Arc<str>,
    metrics: Arc<Metrics>,
) -> Plane {
    let timing = &settings.timing;
    Plane {
        index: ArcSwap::from_pointee(Index::new(Arc::default())),
        published: ArcSwap::default(),
        pending: PendingRequests::new(events.clone()),
        client: Client::default().with_id_header(HeaderName::from_static(STREAM_HEADER)),
        timeouts: Timeouts {
            connect: Duration::from_millis(timing.connect_ms),
            first_byte: Duration::from_millis(timing.first_byte_ms),
            progress: Duration::from_millis(timing.progress_ms),
        },
        addresses: address::Settings {
            ttl: Duration::from_millis(timing.address_ttl_ms),
            ..address::Settings::default()
        },
        holder,
        metrics,
    }
}

/// Divisor of the process's memory; the result is what the connections of callers may hold together.
const CONNECTION_MEMORY_DIVISOR: usize = 2;
/// Copies of a body that a request holds: as received, the text of its prompt, and the body for the backend server.
const BODY_COPIES: usize = 3;

fn start_listener(settings: &Settings, plane: &Arc<Plane>) -> Result<Listener, Error> {
    let limits = &settings.limits;
    let mut listener = listener::Settings::new(settings.listen)
        .with_name("callers")
        .with_threads(limits.threads);
    listener.max_connections = limits.connections;
    listener.max_body_bytes = limits.body_bytes;
    listener.max_head_bytes = limits.head_bytes;
    listener.memory = Memory::new(limits.memory_mb * 1024 * 1024 / CONNECTION_MEMORY_DIVISOR);
    listener.body_copies = BODY_COPIES;
    if let Some(tls) = &settings.tls {
        listener.tls = Some(listener::Tls {
            certificate: read_file("tls.certificate", &tls.certificate)?,
            key: read_file("tls.key", &tls.key)?,
        });
    }
    Listener::start(listener, Arc::new(Front(plane.clone()))).context(ListenerSnafu)
}

fn read_file(setting: &'static str, file: &Arc<str>) -> Result<Arc<[u8]>, Error> {
    let content = std::fs::read(&**file);
    content.map(Arc::from).context(FileSnafu {
        setting,
        file: file.clone(),
    })
}

/// Maximum number of connections of operators and their monitoring.
const MAX_OPERATOR_CONNECTIONS: usize = 64;
/// Memory for these connections in bytes.
const OPERATOR_MEMORY_BYTES: usize = 8 * 1024 * 1024;

fn start_operator(
    settings: &Settings,
    summary: &Arc<ArcSwap<Summary>>,
    metrics: &Arc<Metrics>,
) -> Result<Listener, Error> {
    let token = settings.operator_token.as_ref();
    let token = token
        .map(|secret| secret.read())
        .transpose()
        .context(TokenSnafu)?;
    let operator = Operator {
        summary: summary.clone(),
        metrics: metrics.clone(),
        token_hash: token.map(|token| fescuewell_document::key::hash_key(&token)),
    };
    let mut listener = listener::Settings::new(settings.operator_listen).with_name("operators");
    listener.max_connections = MAX_OPERATOR_CONNECTIONS;
    listener.memory = Memory::new(OPERATOR_MEMORY_BYTES);
    Listener::start(listener, Arc::new(operator)).context(ListenerSnafu)
}

fn subscribe(timer: &timer::Service, events: &flume::Sender<NodeEvent>) {
    let events = events.clone();
    timer.subscribe("decisions", TICK_INTERVAL, move |_| {
        !matches!(
            events.try_send(NodeEvent::Tick),
            Err(flume::TrySendError::Disconnected(_))
        )
    });
}
