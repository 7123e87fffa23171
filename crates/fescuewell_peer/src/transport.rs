//! The transport's handle and its one thread.

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

/// How long the last packets of a closed transport may take.
const LINGER: Duration = Duration::from_millis(500);

/// Messages passed on to links before the links get their turn.
const MESSAGES_PER_TURN: u32 = 32;

/// Whom to send a message to.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Address {
    /// The instance's name, which its certificate must prove.
    pub instance: Arc<str>,
    /// Where it listens for peers.
    pub address: SocketAddr,
}

/// A message from a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// The sender's name, as its certificate proved it.
    pub from: Arc<str>,
    /// The message.
    pub payload: Vec<u8>,
}

/// Why the transport could not start or be reloaded.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The credentials cannot be used.
    #[snafu(display("{source}"))]
    Credentials {
        /// What is wrong with them.
        source: credentials::Error,
    },
    /// A limit is zero or out of range.
    #[snafu(display("setting limits.{limit}: it must be at least 1"))]
    Limit {
        /// Which limit.
        limit: &'static str,
    },
    /// The socket could not be opened.
    #[snafu(display("setting listen: cannot listen on {address}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the operating system said.
        source: std::io::Error,
    },
    /// The thread could not be started.
    #[snafu(display("the transport's thread could not be started"))]
    Thread {
        /// What the operating system said.
        source: std::io::Error,
    },
    /// A reload may change keys and authorities, not who or where the instance is.
    #[snafu(display("setting {setting}: it can only change with a restart"))]
    RestartRequired {
        /// Which setting.
        setting: &'static str,
    },
}

/// One message on its way to the thread.
struct Outgoing {
    to: Address,
    frame: Bytes,
}

/// Ask the thread to end within this time.
struct Close(Duration);

/// A running transport. Dropping it closes it at once.
pub struct Transport {
    address: SocketAddr,
    shared: Arc<Shared>,
    outbox: flume::Sender<Outgoing>,
    control: flume::Sender<Close>,
    thread: Option<JoinHandle<()>>,
}

impl Transport {
    /// Opens the socket and starts the thread. Messages of peers go to `inbox`; one that finds it full
    /// is dropped and counted.
    ///
    /// # Errors
    ///
    /// When the settings cannot be used, the address cannot be listened on, or no thread can be started.
    pub fn start(settings: Settings, inbox: flume::Sender<Message>) -> Result<Self, Error> {
        check_limits(&settings)?;
        let identity = Identity::load(&settings).context(CredentialsSnafu)?;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .context(ThreadSnafu)?;
        let listen = settings.listen;
        let endpoint = {
            let _entered = runtime.enter();
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

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The instance's own name, from its certificate.
    pub fn instance(&self) -> Arc<str> {
        self.shared.identity().instance.clone()
    }

    /// Hands a message over to be sent and returns at once.
    ///
    /// Returns `false` when it was dropped here: too large, or too many are waiting. `true` is no promise
    /// either: only an answer of the peer shows that a message arrived.
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

    /// Takes new keys and authorities into use without a restart.
    ///
    /// Connections to peers are made anew with the next message. Connections from peers stay if
    /// their certificate is good by the new authorities, and are closed if not.
    ///
    /// # Errors
    ///
    /// When the settings cannot be used, or change the address or the name; the old ones stay in force.
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

    /// Counters since the start.
    pub fn traffic(&self) -> Traffic {
        self.shared.traffic()
    }

    /// Sends what was handed over, for at most `grace`, then closes all connections and ends the thread.
    pub fn close(mut self, grace: Duration) {
        self.end(grace);
    }

    fn end(&mut self, grace: Duration) {
        let _ = self.control.try_send(Close(grace));
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Drop for Transport {
    fn drop(&mut self) {
        self.end(Duration::ZERO);
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
        let _ = timeout(LINGER, shared.close()).await;
    });
}

/// The connections to peers, by instance name.
struct Links {
    shared: Arc<Shared>,
    entries: HashMap<Arc<str>, Entry>,
    tasks: JoinSet<()>,
}

struct Entry {
    ring: flume::Sender<Outgoing>,
    used: Instant,
}

impl Links {
    fn new(shared: Arc<Shared>) -> Self {
        Self {
            shared,
            entries: HashMap::new(),
            tasks: JoinSet::new(),
        }
    }

    /// Passes messages on until the transport is to be closed; returns the time left for that.
    async fn serve(
        &mut self,
        messages: &flume::Receiver<Outgoing>,
        closes: &flume::Receiver<Close>,
    ) -> Duration {
        let mut passed_on = 0u32;
        loop {
            // Messages that arrive as fast as they are passed on would keep this loop busy for ever,
            // and the links on the same thread would never send any of them.
            passed_on = passed_on.wrapping_add(1);
            if passed_on.is_multiple_of(MESSAGES_PER_TURN) {
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
        let known = self.entries.get_mut(&instance);
        let refused = match known.filter(|entry| !entry.ring.is_disconnected()) {
            Some(entry) => {
                entry.used = Instant::now();
                entry.ring.try_send(message).is_err()
            }
            None => self.start_link(instance).try_send(message).is_err(),
        };
        if refused {
            add(&self.shared.counters.dropped, 1);
        }
    }

    fn start_link(&mut self, instance: Arc<str>) -> &flume::Sender<Outgoing> {
        self.entries
            .retain(|_, entry| !entry.ring.is_disconnected());
        if self.entries.len() >= self.shared.settings.limits.max_outgoing as usize {
            self.evict();
        }
        let (ring, inbox) = flume::bounded(self.shared.settings.limits.ring as usize);
        let link = link::Link::new(self.shared.clone(), instance.clone(), inbox);
        self.tasks.spawn(link.run());
        let used = Instant::now();
        let entry = self.entries.entry(instance);
        &entry.insert_entry(Entry { ring, used }).into_mut().ring
    }

    /// Gives up the link that was used least recently; it sends what it has and ends.
    fn evict(&mut self) {
        let oldest = self.entries.iter().min_by_key(|(_, entry)| entry.used);
        if let Some(instance) = oldest.map(|(instance, _)| instance.clone()) {
            self.entries.remove(&instance);
        }
    }

    /// Lets every link send what it has, until `deadline`.
    async fn finish(&mut self, deadline: Instant) {
        self.entries.clear();
        let all = async { while self.tasks.join_next().await.is_some() {} };
        let _ = tokio::time::timeout_at(deadline, all).await;
        self.tasks.shutdown().await;
    }
}
