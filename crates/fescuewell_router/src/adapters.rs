//! Channels and threads for blocking calls of platform services: the table service, the object store and the
//! instance list. The channel to the thread for backend servers is created here as well.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use fescuewell_core::platform::{InstanceList, ObjectStore};
use fescuewell_core::prelude::*;
use fescuewell_core::table::{Step, Table};
use fescuewell_core::timer;
use fescuewell_document::model::{Document, Server};
use fescuewell_node::event::{Component, Event as NodeEvent};
use fescuewell_placement::order::Order;
use fescuewell_platform::Worker;

/// Capacity of the channel to each thread.
const CHANNEL_CAPACITY: usize = 64;
/// Interval at which the instance list is read.
const LIST_INTERVAL: Duration = Duration::from_secs(1);
/// Components that use the table service; each has a thread of its own, so that a slow one delays no other.
const COMPONENTS: [Component; 6] = [
    Component::Budget,
    Component::Claims,
    Component::Members,
    Component::Head,
    Component::Placement,
    Component::Reclaim,
];

/// A request to a backend server.
#[derive(Debug, Clone)]
pub enum BackendWork {
    /// List the streams of a holder.
    ListStreams {
        /// Name of the backend server.
        server: Arc<str>,
        /// Address of the backend server.
        address: SocketAddr,
        /// The instance whose streams are listed, as `instance.incarnation`.
        holder: Arc<str>,
        /// Whether the backend server is an engine; plain services have no streams.
        is_engine: bool,
    },
    /// Send an order.
    Order {
        /// Address of the backend server.
        address: SocketAddr,
        /// The order.
        order: Order,
        /// When it was created.
        created_at: Instant,
    },
    /// Cancel a stream.
    Cancel {
        /// Address of the backend server.
        address: SocketAddr,
        /// The stream.
        stream: StreamId,
    },
}

/// Senders to the adapter threads.
pub struct Channels {
    table: BTreeMap<Component, flume::Sender<(Component, Step)>>,
    fetches: flume::Sender<Arc<str>>,
    backend: flume::Sender<BackendWork>,
    /// Backend servers of the active document, for the `backends` thread.
    pub servers: Arc<ArcSwap<Vec<Server>>>,
}

/// The channel is full or its thread has stopped.
#[derive(Debug)]
pub struct SendError;

impl Channels {
    /// Sends a step to the component's table thread.
    ///
    /// # Errors
    ///
    /// [`SendError`] when the channel is full or the thread has stopped.
    pub fn send_table(&self, component: Component, step: Step) -> Result<(), SendError> {
        let channel = self.table.get(&component).ok_or(SendError)?;
        channel.try_send((component, step)).map_err(|_| SendError)
    }

    /// Sends the name of an object to fetch. It is dropped when the channel is full; document propagation
    /// requests it again.
    pub fn send_fetch(&self, name: Arc<str>) {
        let _ = self.fetches.try_send(name);
    }

    /// Sends a request to a backend server. It is dropped when the channel is full; the sweep requests it
    /// again.
    pub fn send_backend(&self, work: BackendWork) {
        let _ = self.backend.try_send(work);
    }

    /// Sends an order.
    ///
    /// # Errors
    ///
    /// [`SendError`] when the channel is full or the thread has stopped; the order will not be sent.
    pub fn send_order(&self, work: BackendWork) -> Result<(), SendError> {
        self.backend.try_send(work).map_err(|_| SendError)
    }

    /// Replaces the backend servers that are polled.
    pub fn set_servers(&self, document: &Document) {
        self.servers.store(Arc::new(document.servers.clone()));
    }
}

/// The platform services and the channel for their results.
pub struct Platform {
    /// The table service.
    pub table: Arc<dyn Table>,
    /// The object store.
    pub objects: Arc<dyn ObjectStore>,
    /// The instance list.
    pub instances: Arc<dyn InstanceList>,
    /// Channel to the decision thread.
    pub events: flume::Sender<NodeEvent>,
}

/// Starts the threads and returns the senders to them, with the receiver for the `backends` thread.
///
/// # Errors
///
/// When a thread cannot be started.
pub fn start(
    platform: &Platform,
    timer: &timer::Service,
) -> std::io::Result<(Channels, flume::Receiver<BackendWork>)> {
    let mut table = BTreeMap::new();
    for component in COMPONENTS {
        let (channel, inbox) = flume::bounded(CHANNEL_CAPACITY);
        let events = platform.events.clone();
        let send_reply = move |component, reply| {
            events
                .send(NodeEvent::TableReply { component, reply })
                .is_ok()
        };
        Worker::start(
            &format!("table-{component:?}"),
            platform.table.clone(),
            inbox,
            Box::new(send_reply),
        )?;
        table.insert(component, channel);
    }
    let fetches = start_objects(platform)?;
    start_instances(platform, timer)?;
    let (backend, backend_inbox) = flume::bounded(CHANNEL_CAPACITY);
    let channels = Channels {
        table,
        fetches,
        backend,
        servers: Arc::default(),
    };
    Ok((channels, backend_inbox))
}

fn start_objects(platform: &Platform) -> std::io::Result<flume::Sender<Arc<str>>> {
    let (channel, inbox) = flume::bounded::<Arc<str>>(CHANNEL_CAPACITY);
    let objects = platform.objects.clone();
    let events = platform.events.clone();
    std::thread::Builder::new()
        .name("objects".into())
        .spawn(move || {
            for name in inbox.iter() {
                let content = objects.get(&name).ok().flatten();
                if events
                    .send(NodeEvent::ObjectFetched { name, content })
                    .is_err()
                {
                    return;
                }
            }
        })?;
    Ok(channel)
}

fn start_instances(platform: &Platform, timer: &timer::Service) -> std::io::Result<()> {
    let (ticks, inbox) = flume::bounded(1);
    timer.subscribe("instance-list", LIST_INTERVAL, move |tick| {
        !matches!(
            ticks.try_send(tick),
            Err(flume::TrySendError::Disconnected(_))
        )
    });
    let instances = platform.instances.clone();
    let events = platform.events.clone();
    std::thread::Builder::new()
        .name("instances".into())
        .spawn(move || {
            for _ in inbox.iter() {
                // After a failed read the last list stays valid.
                let Ok(list) = instances.list() else {
                    continue;
                };
                if events.send(NodeEvent::InstancesListed(list)).is_err() {
                    return;
                }
            }
        })?;
    Ok(())
}
