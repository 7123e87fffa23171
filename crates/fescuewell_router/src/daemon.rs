//! Assembles one entry instance from its parts and runs it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use arc_swap::ArcSwap;
use fescuewell_core::prelude::*;
use fescuewell_core::time::SystemClock;
use fescuewell_core::timer;
use fescuewell_document::lookup::Index;
use fescuewell_http::listener::{self, Listener};
use fescuewell_http::upstream::{Client, Timeouts};
use fescuewell_membership::address;
use fescuewell_membership::member::InstanceInfo;
use fescuewell_node::event::Event as NodeEvent;
use fescuewell_node::node::Node;
use fescuewell_node::state::Summary;
use fescuewell_peer::Transport;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use snafu::{ResultExt, Snafu};

use crate::adapters::{self, Outside, Rings};
use crate::backends::{self, Backends};
use crate::brain::Brain;
use crate::desk::Desk;
use crate::metrics::{self, Metrics};
use crate::operator::Operator;
use crate::plane::{Front, Plane};
use crate::settings::Settings;

/// Events that may wait for the decision thread.
const EVENT_RING: usize = 16_384;
/// Messages of peers that may wait to be decoded.
const PEER_RING: usize = 1_024;
/// Time between two ticks of the decision thread.
const TICK: Duration = Duration::from_millis(5);
/// How long open exchanges may take to end once the decisions say that nothing is left.
const LAST_EXCHANGES: Duration = Duration::from_secs(5);
/// How long peers' last messages may take.
const LAST_MESSAGES: Duration = Duration::from_millis(500);

/// Why a router could not start.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A listener.
    #[snafu(display("{source}"))]
    Listener {
        /// What was wrong.
        source: listener::Error,
    },
    /// The transport between instances.
    #[snafu(display("peers: {source}"))]
    Peers {
        /// What was wrong.
        source: fescuewell_peer::Error,
    },
    /// The token that the settings name.
    #[snafu(display("setting operator_token: {source}"))]
    Token {
        /// What was wrong.
        source: fescuewell_platform::settings::Error,
    },
    /// Metrics.
    #[snafu(display("{source}"))]
    Metrics {
        /// What was wrong.
        source: metrics::Error,
    },
    /// A thread.
    #[snafu(display("cannot start a thread: {source}"))]
    Thread {
        /// What the operating system said.
        source: std::io::Error,
    },
    /// A file that the settings name.
    #[snafu(display("setting {setting}: cannot read {file}: {source}"))]
    File {
        /// Which setting.
        setting: &'static str,
        /// The file.
        file: Arc<str>,
        /// What the operating system said.
        source: std::io::Error,
    },
}

/// A running entry instance.
pub struct Router {
    listener: Listener,
    operator: Listener,
    events: flume::Sender<NodeEvent>,
    transport: Arc<Transport>,
    plane: Arc<Plane>,
    brain: JoinHandle<()>,
    _timer: timer::Service,
}

impl Router {
    /// Starts an instance that keeps its state in a store.
    ///
    /// # Errors
    ///
    /// When a part cannot be started.
    pub fn start(
        settings: &Settings,
        services: fescuewell_platform::Services,
    ) -> Result<Self, Error> {
        let (events, inbox) = flume::bounded(EVENT_RING);
        let timer = timer::Service::start(Arc::new(SystemClock::default()));
        let metrics = Arc::new(Metrics::new().context(MetricsSnafu)?);
        let transport = start_transport(settings, &events)?;
        let outside = Outside {
            table: services.table,
            objects: services.objects,
            instances: services.instances,
            events: events.clone(),
        };
        let (rings, work) = adapters::start(&outside, &timer).context(ThreadSnafu)?;
        let clock: Arc<dyn Clock> = Arc::new(SystemClock::default());
        start_backends(&rings, &events, work, clock.clone())?;
        let mut random = SmallRng::from_os_rng();
        let incarnation = rising(&mut random);
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
        let brain = Brain {
            node: Node::new(settings.node(), me, random.random()),
            clock,
            inbox,
            plane: plane.clone(),
            rings,
            transport: transport.clone(),
            summary,
        };
        let brain = std::thread::Builder::new()
            .name("decisions".into())
            .spawn(move || brain.run())
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
            brain,
            _timer: timer,
        })
    }

    /// Where callers connect.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Where operators connect.
    pub fn operator_address(&self) -> SocketAddr {
        self.operator.address()
    }

    /// Where other instances connect.
    pub fn peer_address(&self) -> SocketAddr {
        self.transport.address()
    }

    /// Bytes and messages exchanged with peers.
    pub fn traffic(&self) -> fescuewell_peer::Traffic {
        self.transport.traffic()
    }

    /// Takes renewed certificates from the settings.
    ///
    /// # Errors
    ///
    /// When they cannot be used; the old ones stay in use.
    pub fn reload(&self, settings: &Settings) -> Result<(), Error> {
        self.transport.reload(&settings.peers).context(PeersSnafu)
    }

    /// Whether the instance takes requests.
    pub fn is_ready(&self) -> bool {
        self.plane.published.load().is_ready
    }

    /// Begins the drain; a second call changes nothing.
    pub fn terminate(&self) {
        let _ = self.events.send(NodeEvent::Terminate);
    }

    /// Whether the decisions have ended, for instance after a drain.
    pub fn is_finished(&self) -> bool {
        self.brain.is_finished()
    }

    /// Waits for the drain to end, then for the last exchanges.
    pub fn join(self) {
        let _ = self.brain.join();
        self.listener.stop_accepting();
        self.listener.drain(LAST_EXCHANGES);
        if let Ok(transport) = Arc::try_unwrap(self.transport) {
            transport.close(LAST_MESSAGES);
        }
    }
}

// An incarnation must rise with each start of an instance. Seconds since 1970 do, unless the machine's clock
// is set back; the random lower bits tell two starts within a second apart.
fn rising(random: &mut SmallRng) -> Incarnation {
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
    let (inbox, messages) = flume::bounded::<fescuewell_peer::Message>(PEER_RING);
    let transport = Transport::start(settings.peers.clone(), inbox).context(PeersSnafu)?;
    let events = events.clone();
    std::thread::Builder::new()
        .name("peer-messages".into())
        .spawn(move || decode(&messages, &events))
        .context(ThreadSnafu)?;
    Ok(Arc::new(transport))
}

fn decode(messages: &flume::Receiver<fescuewell_peer::Message>, events: &flume::Sender<NodeEvent>) {
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
    rings: &Rings,
    events: &flume::Sender<NodeEvent>,
    work: flume::Receiver<adapters::BackendWork>,
    clock: Arc<dyn Clock>,
) -> Result<(), Error> {
    let backends = Backends {
        servers: rings.servers.clone(),
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
        desk: Desk::new(events.clone()),
        client: Client::default(),
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

fn start_listener(settings: &Settings, plane: &Arc<Plane>) -> Result<Listener, Error> {
    let limits = &settings.limits;
    let mut bounds = listener::Settings::new(settings.listen)
        .with_name("callers")
        .with_threads(limits.threads);
    bounds.max_connections = limits.connections;
    bounds.max_body_bytes = limits.body_bytes;
    bounds.max_head_bytes = limits.head_bytes;
    if let Some(tls) = &settings.tls {
        bounds.tls = Some(listener::Tls {
            certificate: read_file("tls.certificate", &tls.certificate)?,
            key: read_file("tls.key", &tls.key)?,
        });
    }
    Listener::start(bounds, Arc::new(Front(plane.clone()))).context(ListenerSnafu)
}

fn read_file(setting: &'static str, file: &Arc<str>) -> Result<Arc<[u8]>, Error> {
    let content = std::fs::read(&**file);
    content.map(Arc::from).context(FileSnafu {
        setting,
        file: file.clone(),
    })
}

/// Connections of operators and of their monitoring.
const OPERATOR_CONNECTIONS: usize = 64;

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
    let mut bounds = listener::Settings::new(settings.operator_listen).with_name("operators");
    bounds.max_connections = OPERATOR_CONNECTIONS;
    Listener::start(bounds, Arc::new(operator)).context(ListenerSnafu)
}

fn subscribe(timer: &timer::Service, events: &flume::Sender<NodeEvent>) {
    let events = events.clone();
    timer.subscribe("decisions", TICK, move |_| {
        !matches!(
            events.try_send(NodeEvent::Tick),
            Err(flume::TrySendError::Disconnected(_))
        )
    });
}
