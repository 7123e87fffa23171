//! Stand-in for the platform: table service, object store, instance list and weight store on one
//! listener, over the in-memory versions of `fescuewell_platform`, with faults.
//!
//! | request | what |
//! | --- | --- |
//! | `POST /v3/kv/txn`, `POST /v3/kv/range` | the table service, as etcd's JSON gateway |
//! | `PUT`, `GET /objects/{name}` | the object store; its bucket is `objects` |
//! | `GET /instances` | the instance list, in the HTTP service-discovery format of Prometheus |
//! | `GET /weights/{model}` | the weight store: a model's bytes, at a rate that all downloads share |
//! | `POST /control`, `GET /control` | faults on and off (see [`Control`]); both answer with counters |
//!
//! What the in-memory versions report as down or lost closes the connection without a reply.
//!
//! The server is `tiny_http`, on which rouille is built: rouille's loop cannot be stopped while
//! requests keep arriving, and it cannot leave a request unanswered.

mod control;
mod route;
mod table;
mod weights;

use std::net::{Shutdown, SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use fescuewell_core::time::SystemClock;
use fescuewell_platform::settings::{Bucket, Endpoint};
use fescuewell_platform::{memory, sd};
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};
use socket2::SockRef;

pub use control::{Control, Fault, Report};
pub use weights::Weights;

/// How many requests are worked on at once.
const WORKERS: usize = 24;
/// Name of the object store's only bucket.
const BUCKET: &str = "objects";

/// Settings of the stand-in.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// The bearer token that every request must carry, if any.
    pub token: Option<Arc<str>>,
    /// Limit on writing transactions; 0 for none.
    pub writes_per_second: u32,
    /// Limit on the table's reads; 0 for none.
    pub reads_per_second: u32,
    /// The first content of the instance list.
    pub instances: Vec<sd::Group>,
    /// How long changes to the instance list take to be seen, in milliseconds.
    pub lag_ms: u64,
    /// The weight store.
    pub weights: Weights,
}

/// Why the stand-in could not start.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The listener could not be opened.
    #[snafu(display("cannot listen on {address}: {reason}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the operating system said.
        reason: Arc<str>,
    },
    /// The first content of the instance list makes no sense.
    #[snafu(display("setting instances: {source}"))]
    Instances {
        /// What is wrong with it.
        source: sd::Malformed,
    },
    /// A thread could not be started.
    #[snafu(display("cannot start a thread"))]
    Thread {
        /// What the operating system said.
        source: std::io::Error,
    },
}

/// The in-memory services behind a stand-in. A clone shares their content, so that a stand-in that
/// was stopped can be started again with what it had.
#[derive(Clone, Default)]
pub struct Content {
    /// The table service.
    pub table: memory::Table,
    /// The object store.
    pub objects: memory::Objects,
    /// The instance list.
    pub instances: memory::Instances,
}

/// What the workers share.
struct Shared {
    content: Content,
    clock: Arc<SystemClock>,
    token: Option<Arc<str>>,
    table_delay: Delay,
    objects_delay: Delay,
    instances_delay: Delay,
    weights: Arc<weights::Store>,
    stopped: Arc<AtomicBool>,
}

/// How long a service waits before it looks at a request, in milliseconds.
#[derive(Default)]
struct Delay(AtomicU64);

impl Delay {
    fn set(&self, millis: u64) {
        self.0.store(millis, Ordering::Relaxed);
    }

    fn pass(&self) {
        let millis = self.0.load(Ordering::Relaxed);
        if millis > 0 {
            std::thread::sleep(Duration::from_millis(millis));
        }
    }
}

/// A running stand-in. Dropping it stops it.
///
/// ```
/// use fescuewell_core::table::Transaction;
/// use fescuewell_standin::platform::{Platform, Settings};
///
/// let listen = "127.0.0.1:0".parse().unwrap();
/// let platform = Platform::start(listen, Settings::default()).unwrap();
/// let services = fescuewell_platform::connect(&platform.client_settings()).unwrap();
/// services.table.commit(&Transaction::default().with_put("a", *b"1")).unwrap();
/// assert_eq!(platform.content().table.rows().len(), 1);
/// platform.stop();
/// ```
pub struct Platform {
    address: SocketAddr,
    /// Another handle to the socket that the server accepts on.
    listener: TcpListener,
    server: Arc<tiny_http::Server>,
    shared: Arc<Shared>,
    workers: Vec<JoinHandle<()>>,
}

impl Platform {
    /// Starts a stand-in with empty services. Port 0 picks a free port.
    ///
    /// # Errors
    ///
    /// When the address cannot be listened on or the first instance list makes no sense.
    pub fn start(listen: SocketAddr, settings: Settings) -> Result<Self, Error> {
        Self::start_with(listen, settings, Content::default())
    }

    /// Starts a stand-in over services that exist already.
    ///
    /// # Errors
    ///
    /// Those of [`Self::start`].
    pub fn start_with(
        listen: SocketAddr,
        settings: Settings,
        content: Content,
    ) -> Result<Self, Error> {
        let shared = Arc::new(Shared::new(settings, content)?);
        let (server, listener, address) = open(listen).map_err(|reason| Error::Listen {
            address: listen,
            reason: reason.to_string().into(),
        })?;
        let mut platform = Self {
            address,
            listener,
            server: Arc::new(server),
            shared,
            workers: Vec::with_capacity(WORKERS),
        };
        for _ in 0..WORKERS {
            platform.start_worker()?;
        }
        Ok(platform)
    }

    fn start_worker(&mut self) -> Result<(), Error> {
        let server = self.server.clone();
        let shared = self.shared.clone();
        let thread = std::thread::Builder::new()
            .name("platform".into())
            .spawn(move || work(&server, &shared))
            .context(ThreadSnafu)?;
        self.workers.push(thread);
        Ok(())
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The services behind it.
    pub fn content(&self) -> &Content {
        &self.shared.content
    }

    /// Carries out what `POST /control` would.
    ///
    /// # Errors
    ///
    /// When the control names an unknown state or a malformed listing; nothing of it is done then.
    pub fn control(&self, control: &Control) -> Result<Report, sd::Malformed> {
        control.apply(&self.shared)?;
        Ok(Report::of(&self.shared))
    }

    /// Settings with which [`fescuewell_platform::connect`] reaches this stand-in, without a token.
    pub fn client_settings(&self) -> fescuewell_platform::Settings {
        let base = format!("http://{}", self.address);
        fescuewell_platform::Settings {
            table: Endpoint::new(base.clone()),
            objects: Bucket {
                endpoint: Endpoint::new(base.clone()),
                bucket: BUCKET.into(),
            },
            instances: Endpoint::new(format!("{base}/instances")),
        }
    }

    /// Closes the listener, cuts downloads off and waits for the requests under way.
    pub fn stop(self) {
        drop(self);
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        self.shared.stopped.store(true, Ordering::Release);
        // Dropping the server closes its socket some time later, from another thread. Until then a client
        // would be let in and cut off, and take for a lost reply what should be a refused connection.
        let _ = SockRef::from(&self.listener).shutdown(Shutdown::Both);
        for _ in &self.workers {
            self.server.unblock();
        }
        for worker in self.workers.drain(..) {
            let _ = worker.join();
        }
    }
}

impl Shared {
    fn new(settings: Settings, content: Content) -> Result<Self, Error> {
        let clock = Arc::new(SystemClock::default());
        for group in &settings.instances {
            for listing in group.listings().context(InstancesSnafu)? {
                content.instances.put(listing);
            }
        }
        let lag = Duration::from_millis(settings.lag_ms);
        content.instances.set_lag(lag, clock.clone());
        let table = content.table.fault();
        table.set_writes_per_second(settings.writes_per_second, clock.clone());
        table.set_reads_per_second(settings.reads_per_second, clock.clone());
        let stopped = Arc::new(AtomicBool::default());
        Ok(Self {
            content,
            clock,
            token: settings.token,
            table_delay: Delay::default(),
            objects_delay: Delay::default(),
            instances_delay: Delay::default(),
            weights: Arc::new(weights::Store::new(settings.weights, stopped.clone())),
            stopped,
        })
    }
}

type Opened = (tiny_http::Server, TcpListener, SocketAddr);

fn open(listen: SocketAddr) -> Result<Opened, Box<dyn std::error::Error + Send + Sync>> {
    let listener = TcpListener::bind(listen)?;
    let address = listener.local_addr()?;
    let server = tiny_http::Server::from_listener(listener.try_clone()?, None)?;
    Ok((server, listener, address))
}

fn work(server: &tiny_http::Server, shared: &Shared) {
    while !shared.stopped.load(Ordering::Acquire) {
        // An error here is the wake-up call of `stop`, or the end of the listener.
        let Ok(request) = server.recv() else {
            continue;
        };
        route::handle(shared, request);
    }
}
