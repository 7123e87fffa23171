//! Threads around the decisions: one for each duty at the table, one for the object store, one for
//! the instance list, one towards backend servers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use fescuewell_core::platform::{Instances, Objects};
use fescuewell_core::prelude::*;
use fescuewell_core::table::{Step, Table};
use fescuewell_core::timer;
use fescuewell_document::model::{Document, Server};
use fescuewell_node::event::{Component, Event as NodeEvent};
use fescuewell_placement::order::Order;
use fescuewell_platform::Worker;

/// Work that may wait for one of the threads.
const RING: usize = 64;
/// Time between two readings of the instance list.
const LIST_INTERVAL: Duration = Duration::from_secs(1);
/// Duties at the table; each has a thread of its own, so that a slow one holds up no other.
const DUTIES: [Component; 6] = [
    Component::Budget,
    Component::Claims,
    Component::Members,
    Component::Head,
    Component::Placement,
    Component::Reclaim,
];

/// Work towards backend servers.
#[derive(Debug, Clone)]
pub enum BackendWork {
    /// Ask for the streams of a holder.
    ListStreams {
        /// Name of the backend server.
        server: Arc<str>,
        /// Where it listens.
        address: SocketAddr,
        /// The holder.
        holder: Arc<str>,
        /// Plain services keep no streams.
        is_engine: bool,
    },
    /// Give an order.
    Order {
        /// Where the backend server listens.
        address: SocketAddr,
        /// The order.
        order: Order,
        /// When it was handed out.
        given: Instant,
    },
    /// End a stream.
    Cancel {
        /// Where the backend server listens.
        address: SocketAddr,
        /// The stream.
        stream: StreamId,
    },
}

/// The rings to the threads.
pub struct Rings {
    table: BTreeMap<Component, flume::Sender<(Component, Step)>>,
    fetches: flume::Sender<Arc<str>>,
    backend: flume::Sender<BackendWork>,
    /// Backend servers of the document in force, for the poller.
    pub servers: Arc<ArcSwap<Vec<Server>>>,
}

/// Nothing takes work from a ring any more.
#[derive(Debug)]
pub struct Closed;

impl Rings {
    /// Hands over table work.
    ///
    /// # Errors
    ///
    /// [`Closed`].
    pub fn give_table(&self, component: Component, step: Step) -> Result<(), Closed> {
        let ring = self.table.get(&component).ok_or(Closed)?;
        ring.try_send((component, step)).map_err(|_| Closed)
    }

    /// Hands over a fetch. One that finds no room is asked for again by the propagation.
    pub fn give_fetch(&self, name: Arc<str>) {
        let _ = self.fetches.try_send(name);
    }

    /// Hands over work towards a backend server. What finds no room is asked for again by the sweep.
    pub fn give_backend(&self, work: BackendWork) {
        let _ = self.backend.try_send(work);
    }

    /// Hands over an order.
    ///
    /// # Errors
    ///
    /// [`Closed`] when it finds no room and will not be sent.
    pub fn give_order(&self, work: BackendWork) -> Result<(), Closed> {
        self.backend.try_send(work).map_err(|_| Closed)
    }

    /// Tells the poller which backend servers there are.
    pub fn set_servers(&self, document: &Document) {
        self.servers.store(Arc::new(document.servers.clone()));
    }
}

/// The platform and the ends of the rings.
pub struct Outside {
    /// The table service.
    pub table: Arc<dyn Table>,
    /// The object store.
    pub objects: Arc<dyn Objects>,
    /// The instance list.
    pub instances: Arc<dyn Instances>,
    /// The decision thread's ring.
    pub events: flume::Sender<NodeEvent>,
}

/// Starts the threads.
///
/// # Errors
///
/// When the operating system starts no more threads.
pub fn start(
    outside: &Outside,
    timer: &timer::Service,
) -> std::io::Result<(Rings, flume::Receiver<BackendWork>)> {
    let mut table = BTreeMap::new();
    for component in DUTIES {
        let (ring, inbox) = flume::bounded(RING);
        let events = outside.events.clone();
        let answer = move |component, reply| {
            events
                .send(NodeEvent::TableReply { component, reply })
                .is_ok()
        };
        Worker::start(
            &format!("table-{component:?}"),
            outside.table.clone(),
            inbox,
            Box::new(answer),
        )?;
        table.insert(component, ring);
    }
    let fetches = start_objects(outside)?;
    start_instances(outside, timer)?;
    let (backend, backend_inbox) = flume::bounded(RING);
    let rings = Rings {
        table,
        fetches,
        backend,
        servers: Arc::default(),
    };
    Ok((rings, backend_inbox))
}

fn start_objects(outside: &Outside) -> std::io::Result<flume::Sender<Arc<str>>> {
    let (ring, inbox) = flume::bounded::<Arc<str>>(RING);
    let objects = outside.objects.clone();
    let events = outside.events.clone();
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
    Ok(ring)
}

fn start_instances(outside: &Outside, timer: &timer::Service) -> std::io::Result<()> {
    let (ticks, inbox) = flume::bounded(1);
    timer.subscribe("instance-list", LIST_INTERVAL, move |tick| {
        !matches!(
            ticks.try_send(tick),
            Err(flume::TrySendError::Disconnected(_))
        )
    });
    let instances = outside.instances.clone();
    let events = outside.events.clone();
    std::thread::Builder::new()
        .name("instances".into())
        .spawn(move || {
            for _ in inbox.iter() {
                // A list that could not be had changes nothing: the last one stands.
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
