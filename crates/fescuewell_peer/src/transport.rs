//! The transport: its handle, and the thread that runs all its connections.

mod backoff;
mod link;
mod listener;
mod shared;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use bytes::Bytes;
use fescuewell_core::event::Event;
use snafu::{ResultExt, Snafu};
use tokio::runtime::Runtime;
use tokio::task::JoinSet;
use tokio::time::{Instant, timeout};

use crate::credentials::{self, Identity};
use crate::frame;
use crate::settings::Settings;
use crate::traffic::{Traffic, add};
use shared::Shared;

/// Timeout for the closing packets of a connection or endpoint.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Messages dispatched to links before the dispatch loop yields to the links' tasks.
const MESSAGES_PER_YIELD: u32 = 32;

/// Destination of a message.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Address {
    /// The instance's name, which must match its certificate.
    pub instance: Arc<str>,
    /// The address on which it listens for peers.
    pub address: SocketAddr,
}

/// A message received from a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// The sender's name, from its verified certificate.
    pub from: Arc<str>,
    /// The message's content.
    pub payload: Vec<u8>,
}

/// Why the transport could not be started or reloaded.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The credentials cannot be used.
    #[snafu(display("{source}"))]
    Credentials {
        /// The cause.
        source: credentials::Error,
    },
    /// A limit is zero.
    #[snafu(display("setting limits.{limit}: it must be at least 1"))]
    Limit {
        /// Name of the limit.
        limit: &'static str,
    },
    /// The socket could not be opened.
    #[snafu(display("setting listen: cannot listen on {address}"))]
    Listen {
        /// The listen address.
        address: SocketAddr,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// The thread could not be started.
    #[snafu(display("the transport's thread could not be started"))]
    Thread {
        /// The operating system's error.
        source: std::io::Error,
    },
    /// A reload can change keys and authorities, but not the instance's name or listen address.
    #[snafu(display("setting {setting}: it can only change with a restart"))]
    RestartRequired {
        /// Name of the setting.
        setting: &'static str,
    },
}

/// A message queued for sending.
struct Outgoing {
    to: Address,
    frame: Bytes,
}

/// Requests that the thread send queued messages and end within this time.
struct Close(Duration);

/// A running transport. Dropping it closes it immediately, without waiting for queued messages.
pub struct Transport {
    address: SocketAddr,
    shared: Arc<Shared>,
    outbox: flume::Sender<Outgoing>,
    control: flume::Sender<Close>,
    thread: Option<JoinHandle<()>>,
}

impl Transport {
    /// Opens the socket and starts the thread. Received messages go to `inbox`; when it is full, they are
    /// dropped and counted.
    ///
    /// # Errors
    ///
    /// When the settings are invalid, the socket cannot be opened, or the thread cannot be started.
    pub fn start(settings: Settings, inbox: flume::Sender<Message>) -> Result<Self, Error> {
        check_limits(&settings)?;
        let identity = Identity::load(&settings).context(CredentialsSnafu)?;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .context(ThreadSnafu)?;
        let listen = settings.listen;
        let endpoint = {
            let _guard = runtime.enter();
            quinn::Endpoint::server(identity.server.clone(), listen)
                .context(ListenSnafu { address: listen })?
        };
        let address = endpoint
            .local_addr()
            .context(ListenSnafu { address: listen })?;
        let (outbox, messages) = flume::bounded(settings.limits.ring as usize);
        let (control, closes) = flume::bounded(1);
        let shared = Arc::new(Shared::new(settings, identity, endpoint, inbox));
        let thread = std::thread::Builder::new()
            .name("peer".into())
            .spawn({
                let shared = shared.clone();
                move || run(&runtime, shared, &messages, &closes)
            })
            .context(ThreadSnafu)?;
        Ok(Self {
            address,
            shared,
            outbox,
            control,
            thread: Some(thread),
        })
    }

    /// Returns the address on which the transport listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns this instance's name, from its certificate.
    pub fn instance(&self) -> Arc<str> {
        self.shared.identity().instance.clone()
    }

    /// Queues a message for sending, without blocking.
    ///
    /// Returns `false` when the message is dropped because it is too large or the queue is full. `true`
    /// does not guarantee delivery: only a reply from the peer shows that the message arrived.
    pub fn send(&self, to: Address, payload: Vec<u8>) -> bool {
        let frame = match frame::encode(&payload) {
            Ok(frame) => frame.into(),
            Err(_) => return self.drop_message(),
        };
        match self.outbox.try_send(Outgoing { to, frame }) {
            Ok(()) => true,
            Err(_) => self.drop_message(),
        }
    }

    fn drop_message(&self) -> bool {
        add(&self.shared.counters.dropped, 1);
        false
    }

    /// Applies new keys and authorities without a restart.
    ///
    /// An outbound connection is replaced when the next message is sent. An inbound connection stays open
    /// if the new authorities accept the peer's certificate; otherwise it is closed.
    ///
    /// # Errors
    ///
    /// When the settings are invalid or change the listen address or the instance's name. The old
    /// credentials then stay in use.
    pub fn reload(&self, settings: &Settings) -> Result<(), Error> {
        check_limits(settings)?;
        if settings.listen != self.shared.settings.listen {
            return Err(Error::RestartRequired { setting: "listen" });
        }
        let identity = Identity::load(settings).context(CredentialsSnafu)?;
        if identity.instance != self.instance() {
            let setting = "certificate";
            return Err(Error::RestartRequired { setting });
        }
        self.shared.replace_identity(identity);
        fescuewell_core::log_event!(Event::KeysReloaded, "instance={}", self.instance());
        Ok(())
    }

    /// Returns the counters since the start.
    pub fn traffic(&self) -> Traffic {
        self.shared.traffic()
    }

    /// Sends the queued messages for at most `grace`, then closes all connections and ends the thread.
    pub fn close(mut self, grace: Duration) {
        self.shut_down(grace);
    }

    fn shut_down(&mut self, grace: Duration) {
        let _ = self.control.try_send(Close(grace));
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Drop for Transport {
    fn drop(&mut self) {
        self.shut_down(Duration::ZERO);
    }
}

fn check_limits(settings: &Settings) -> Result<(), Error> {
    let limits = &settings.limits;
    let checks = [
        ("acknowledge_ms", limits.acknowledge_ms),
        ("handshake_ms", limits.handshake_ms),
        ("keep_alive_ms", limits.keep_alive_ms),
        ("idle_ms", limits.idle_ms),
        ("unused_ms", limits.unused_ms),
        ("renew_ms", limits.renew_ms),
        ("max_incoming", limits.max_incoming),
        ("max_outgoing", limits.max_outgoing),
        ("max_streams", limits.max_streams),
        ("ring", limits.ring),
    ];
    for (limit, value) in checks {
        if value == 0 {
            return Err(Error::Limit { limit });
        }
    }
    Ok(())
}

fn run(
    runtime: &Runtime,
    shared: Arc<Shared>,
    messages: &flume::Receiver<Outgoing>,
    closes: &flume::Receiver<Close>,
) {
    runtime.block_on(async {
        let listener = tokio::spawn(listener::run(shared.clone()));
        let mut links = Links::new(shared.clone());
        let grace = links.serve(messages, closes).await;
        let deadline = Instant::now() + grace;
        for message in messages.drain() {
            links.dispatch(message);
        }
        links.finish(deadline).await;
        listener.abort();
        let _ = timeout(CLOSE_TIMEOUT, shared.close()).await;
    });
}

/// The links to peers, by instance name.
struct Links {
    shared: Arc<Shared>,
    entries: HashMap<Arc<str>, Entry>,
    tasks: JoinSet<()>,
}

struct Entry {
    queue: flume::Sender<Outgoing>,
    last_used: Instant,
}

impl Links {
    fn new(shared: Arc<Shared>) -> Self {
        Self {
            shared,
            entries: HashMap::new(),
            tasks: JoinSet::new(),
        }
    }

    /// Dispatches messages until the transport is closed. Returns the grace period for closing.
    async fn serve(
        &mut self,
        messages: &flume::Receiver<Outgoing>,
        closes: &flume::Receiver<Close>,
    ) -> Duration {
        let mut dispatched = 0u32;
        loop {
            // If messages arrive as fast as they are dispatched, this loop never waits. The links run on
            // the same thread and would never get to send.
            dispatched = dispatched.wrapping_add(1);
            if dispatched.is_multiple_of(MESSAGES_PER_YIELD) {
                tokio::task::yield_now().await;
            }
            tokio::select! {
                biased;
                close = closes.recv_async() => return close.map_or(Duration::ZERO, |Close(grace)| grace),
                Some(_) = self.tasks.join_next(), if !self.tasks.is_empty() => {}
                message = messages.recv_async() => match message {
                    Ok(message) => self.dispatch(message),
                    Err(flume::RecvError::Disconnected) => return Duration::ZERO,
                },
            }
        }
    }

    fn dispatch(&mut self, message: Outgoing) {
        let instance = message.to.instance.clone();
        let existing = self.entries.get_mut(&instance);
        let dropped = match existing.filter(|entry| !entry.queue.is_disconnected()) {
            Some(entry) => {
                entry.last_used = Instant::now();
                entry.queue.try_send(message).is_err()
            }
            None => self.start_link(instance).try_send(message).is_err(),
        };
        if dropped {
            add(&self.shared.counters.dropped, 1);
        }
    }

    fn start_link(&mut self, instance: Arc<str>) -> &flume::Sender<Outgoing> {
        self.entries
            .retain(|_, entry| !entry.queue.is_disconnected());
        if self.entries.len() >= self.shared.settings.limits.max_outgoing as usize {
            self.evict();
        }
        let (queue, inbox) = flume::bounded(self.shared.settings.limits.ring as usize);
        let link = link::Link::new(self.shared.clone(), instance.clone(), inbox);
        self.tasks.spawn(link.run());
        let last_used = Instant::now();
        let entry = self.entries.entry(instance);
        &entry
            .insert_entry(Entry { queue, last_used })
            .into_mut()
            .queue
    }

    /// Removes the least recently used link, which sends its queued messages and ends.
    fn evict(&mut self) {
        let oldest = self.entries.iter().min_by_key(|(_, entry)| entry.last_used);
        if let Some(instance) = oldest.map(|(instance, _)| instance.clone()) {
            self.entries.remove(&instance);
        }
    }

    /// Lets every link send its queued messages until `deadline`, then aborts the rest.
    async fn finish(&mut self, deadline: Instant) {
        self.entries.clear();
        let all = async { while self.tasks.join_next().await.is_some() {} };
        let _ = tokio::time::timeout_at(deadline, all).await;
        self.tasks.shutdown().await;
    }
}
