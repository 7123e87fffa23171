//! State shared by the threads of an instance.

pub(crate) mod condition;
mod crash;
mod drain;
mod gate;
mod path;
mod state;
mod streams;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU32, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use fescuewell_forward::admission;
use fescuewell_forward::choice::Load;
use fescuewell_forward::condition::Conditions;
use fescuewell_forward::config::{History, Lag, Table};
use fescuewell_forward::crash::{Detector, Quarantine};
use fescuewell_forward::directory::Directory;
use fescuewell_forward::drain::Drain;
use fescuewell_forward::health::{Health, failure};
use fescuewell_forward::hedge;
use fescuewell_forward::hop::{Guard, Peers};
use fescuewell_forward::message::{Key, Message};
use fescuewell_forward::path::{Monitor, Servers};
use fescuewell_forward::quota::Quota;
use fescuewell_forward::relay;
use fescuewell_forward::retry::Budget;
use fescuewell_forward::server::{ENTRY_EXPIRY_OUTAGE_MS, Registry};
use fescuewell_forward::stream;
use fescuewell_forward::warmup::Warmup;
use fescuewell_forward::window::Window;
use fescuewell_http::listener::{Gate, LimitsHandle, Memory};
use fescuewell_http::upstream;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::sync::{Notify, oneshot, watch};
use tokio::time::Instant;

use crate::dialect::Dialect;
use crate::metrics::{self, Metrics};
use crate::settings::Settings;

pub(crate) use crash::ANNOUNCED;
pub use crash::ProbeRequest;
pub(crate) use drain::OpenRequest;
pub use state::State;
pub(crate) use streams::Found;

/// Window over which accepted requests are counted, in seconds.
pub const ACCEPTED_WINDOW_S: u32 = 4;

/// Stage of the process's lifecycle.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum Stage {
    /// The configuration, the grants of the previous process or the quarantined requests have not
    /// been loaded.
    Starting,
    /// Accepts requests.
    Ready,
    /// Shutdown was requested: requests are still served, and callers are asked to use other
    /// instances.
    Draining,
}

/// Request to borrow tokens from other instances.
#[derive(Debug)]
pub struct BorrowRequest {
    /// Client account to borrow for.
    pub account: Arc<str>,
    /// Tokens that the request needs.
    pub tokens: u64,
    /// Receives whether the account has the tokens now.
    pub reply: oneshot::Sender<bool>,
}

/// The configuration in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InForce {
    /// Its version, or 0 if there is none.
    pub version: u64,
    /// Time since it came into force at this instance.
    pub age: Duration,
}

/// Receiving ends of the requests to the control thread.
#[derive(Debug, Clone)]
pub struct Inbox {
    /// Requests to update the grants now.
    pub plan_requests: flume::Receiver<()>,
    /// Requests to write the journal now.
    pub journal_requests: flume::Receiver<()>,
    /// Requests to borrow tokens.
    pub borrow_requests: flume::Receiver<BorrowRequest>,
    /// Requests for permission to probe a quarantined request.
    pub probe_requests: flume::Receiver<ProbeRequest>,
    /// Queries for the software versions that began streams, and answers to them, with their receivers.
    pub stream_messages: flume::Receiver<(SocketAddr, Message)>,
    /// Requests to read the records of streams in the store; each receives whether there are any.
    pub stream_reads: flume::Receiver<oneshot::Sender<bool>>,
}

/// Maximum time that a request waits for tokens from other instances. A lender that does not
/// respond costs 30 ms, one that responds a few.
///
/// Without this limit a request would wait forever if nothing receives borrow requests, because the
/// socket for peer messages could not be bound.
const BORROW_TIMEOUT: Duration = Duration::from_millis(150);
/// Maximum number of pending borrow requests. More could not be served before they time out.
const MAX_BORROW_REQUESTS: usize = 256;

/// Divisor of the memory limit; the result is what the connections of callers and of other instances may hold
/// together.
const CONNECTION_MEMORY_DIVISOR: usize = 3;
/// Divisor of the memory limit; the result is the maximum size of all buffered responses of backend servers
/// together.
const RESPONSE_MEMORY_DIVISOR: usize = 8;
/// Maximum number of pending probe requests.
const MAX_PROBE_REQUESTS: usize = 16;

/// Maximum number of queries and answers that wait to be sent.
const MAX_STREAM_MESSAGES: usize = 1_024;
/// Maximum number of look-ups that wait for the records in the store.
const MAX_STREAM_READS: usize = 256;

/// State and services shared by the threads of one instance.
pub struct Gateway {
    /// Settings of the instance.
    pub settings: Settings,
    /// Header names, paths and bodies of the platform.
    pub dialect: Arc<dyn Dialect>,
    /// Metrics of the instance.
    pub metrics: Metrics,
    /// Connection pool for backend servers.
    pub client: upstream::Client,
    /// Memory for the connections of callers and of other instances.
    pub memory: Memory,
    /// HTTP client for snapshots, whose memory the responses of backend servers cannot use up.
    pub(crate) control_client: upstream::Client,
    table: ArcSwapOption<Table>,
    configured_at_ms: AtomicU64,
    state: Mutex<State>,
    stage: AtomicU8,
    store_up: AtomicBool,
    last_store_response_ms: AtomicU64,
    in_flight_requests: AtomicUsize,
    plan_requests: flume::Sender<()>,
    journal_requests: flume::Sender<()>,
    borrow_requests: flume::Sender<BorrowRequest>,
    probe_requests: flume::Sender<ProbeRequest>,
    stream_messages: flume::Sender<(SocketAddr, Message)>,
    stream_reads: flume::Sender<oneshot::Sender<bool>>,
    stream_recorded: Notify,
    crash_changes: watch::Sender<u64>,
    last_peer_message_ms: AtomicU64,
    next_malformed_log_ms: AtomicU64,
    fleet_key: ArcSwapOption<Key>,
    fleet_key_era: AtomicU32,
    token_changes: watch::Sender<u64>,
    server_exits: watch::Sender<u64>,
    store_recoveries: watch::Sender<u64>,
    path_changes: watch::Sender<u64>,
    drain_begun: watch::Sender<bool>,
    load_change: Notify,
    limit_change: Notify,
    failure: Notify,
    gate: OnceLock<Gate>,
    limits: OnceLock<LimitsHandle>,
    started: Instant,
}

impl Gateway {
    /// Creates a gateway without any state, and the receivers of its requests to the control
    /// thread.
    ///
    /// # Errors
    ///
    /// Returns an error if the metrics cannot be set up.
    pub fn new(
        settings: Settings,
        dialect: Arc<dyn Dialect>,
    ) -> Result<(Arc<Self>, Inbox), metrics::Error> {
        let (plan_requests, plan_receiver) = flume::bounded(1);
        let (journal_requests, journal_receiver) = flume::bounded(1);
        let (borrow_requests, borrow_receiver) = flume::bounded(MAX_BORROW_REQUESTS);
        let (probe_requests, probe_receiver) = flume::bounded(MAX_PROBE_REQUESTS);
        let (stream_messages, stream_receiver) = flume::bounded(MAX_STREAM_MESSAGES);
        let (stream_reads, read_receiver) = flume::bounded(MAX_STREAM_READS);
        let (crash_changes, _) = watch::channel(0);
        let (token_changes, _) = watch::channel(0);
        let (server_exits, _) = watch::channel(0);
        let (store_recoveries, _) = watch::channel(0);
        let (path_changes, _) = watch::channel(0);
        let (drain_begun, _) = watch::channel(false);
        let state = State {
            registry: Registry::default(),
            cursor: relay::Cursor::default(),
            list_history: relay::History::default(),
            lag: Lag::default(),
            changes: History::default(),
            path: Monitor::default(),
            server_paths: Servers::default(),
            hops: Peers::default(),
            hop_guard: Guard::default(),
            warmup: Warmup::default(),
            activity: hedge::Monitor::default(),
            health: Health::default(),
            failures: failure::Exchange::default(),
            conditions: Conditions::new(settings.name.clone()),
            crashes: Detector::default(),
            quarantine: Quarantine::default(),
            part_quarantine: Quarantine::of_parts(),
            stream_records: stream::Records::default(),
            stream_outbox: stream::Outbox::default(),
            own_streams: stream::Records::default(),
            reach: stream::Reach::default(),
            stream_lookups: HashMap::new(),
            load: Load::default(),
            quota: Quota::new(settings.name.clone(), 0),
            retry: Budget::new(settings.retry_budget),
            directory: Directory::default(),
            drain: Drain::default(),
            accepted_requests: Window::new(u64::from(ACCEPTED_WINDOW_S) * 1_000),
            admission: admission::Limiter::new(settings.link_mbps, settings.cores),
            rng: SmallRng::from_os_rng(),
        };
        let client = upstream::Client::new(upstream::Settings {
            max_buffered_bytes: settings.memory_bytes / RESPONSE_MEMORY_DIVISOR,
            ..upstream::Settings::default()
        })
        .with_id_header(dialect.header_names().request_id.clone());
        let memory = Memory::new(settings.memory_bytes / CONNECTION_MEMORY_DIVISOR);
        let gateway = Self {
            settings,
            dialect,
            memory,
            metrics: Metrics::new()?,
            client,
            control_client: upstream::Client::default(),
            table: ArcSwapOption::empty(),
            configured_at_ms: AtomicU64::new(0),
            state: Mutex::new(state),
            stage: AtomicU8::new(Stage::Starting as u8),
            store_up: AtomicBool::new(false),
            last_store_response_ms: AtomicU64::new(0),
            in_flight_requests: AtomicUsize::new(0),
            plan_requests,
            journal_requests,
            borrow_requests,
            probe_requests,
            stream_messages,
            stream_reads,
            stream_recorded: Notify::new(),
            crash_changes,
            last_peer_message_ms: AtomicU64::new(0),
            next_malformed_log_ms: AtomicU64::new(0),
            fleet_key: ArcSwapOption::empty(),
            fleet_key_era: AtomicU32::new(0),
            token_changes,
            server_exits,
            store_recoveries,
            path_changes,
            drain_begun,
            load_change: Notify::new(),
            limit_change: Notify::new(),
            failure: Notify::new(),
            gate: OnceLock::new(),
            limits: OnceLock::new(),
            started: Instant::now(),
        };
        let gateway = Arc::new(gateway);
        gateway.metrics.register_gauges(&gateway);
        let inbox = Inbox {
            plan_requests: plan_receiver,
            journal_requests: journal_receiver,
            borrow_requests: borrow_receiver,
            probe_requests: probe_receiver,
            stream_messages: stream_receiver,
            stream_reads: read_receiver,
        };
        Ok((gateway, inbox))
    }

    /// Returns the configuration in force.
    pub fn table(&self) -> Option<Arc<Table>> {
        self.table.load_full()
    }

    /// Replaces the configuration.
    pub fn set_table(&self, table: Table) {
        self.configured_at_ms
            .store(self.now_ms(), Ordering::Relaxed);
        self.apply_limits(table.configuration().limits);
        self.table.store(Some(Arc::new(table)));
    }

    /// Returns which configuration is in force, and for how long.
    pub fn configuration_in_force(&self) -> InForce {
        let since_ms = self.configured_at_ms.load(Ordering::Relaxed);
        let table = self.table();
        InForce {
            version: table.map_or(0, |table| table.configuration().version),
            age: Duration::from_millis(self.now_ms().saturating_sub(since_ms)),
        }
    }

    /// Locks the shared state. The guard must be held briefly and never across an `await`.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a random number.
    pub fn random_u64(&self) -> u64 {
        self.state().rng.random()
    }

    /// Milliseconds since the process started, on the monotonic clock.
    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Time since the process started.
    pub fn uptime(&self) -> Duration {
        self.started.elapsed()
    }

    /// Returns the stage of the process's lifecycle.
    pub fn stage(&self) -> Stage {
        match self.stage.load(Ordering::Acquire) {
            0 => Stage::Starting,
            1 => Stage::Ready,
            _ => Stage::Draining,
        }
    }

    /// Advances to a later stage. Returns `true` if the stage changed.
    pub fn advance(&self, stage: Stage) -> bool {
        self.stage.fetch_max(stage as u8, Ordering::AcqRel) < stage as u8
    }

    /// Returns `true` while the instance drains and callers are asked to use other instances.
    pub fn is_draining(&self) -> bool {
        self.stage() == Stage::Draining
    }

    /// Returns `true` if the instance accepts requests.
    pub fn is_ready(&self) -> bool {
        self.stage() == Stage::Ready
    }

    /// Returns the time since the store's last response, or since the start before the first one.
    pub fn time_since_store_response(&self) -> Duration {
        let last_ms = self.last_store_response_ms.load(Ordering::Relaxed);
        Duration::from_millis(self.now_ms().saturating_sub(last_ms))
    }

    /// Returns `true` if the last store call got a response.
    pub fn is_store_up(&self) -> bool {
        self.store_up.load(Ordering::Relaxed)
    }

    /// Records whether the store responds. Returns `true` if that changed.
    pub fn set_store_up(&self, up: bool) -> bool {
        if up {
            let now_ms = self.now_ms();
            let last_response_ms = self.last_store_response_ms.swap(now_ms, Ordering::Relaxed);
            let silence_ms = now_ms.saturating_sub(last_response_ms);
            if silence_ms >= ENTRY_EXPIRY_OUTAGE_MS {
                self.state().registry.store_recovered(silence_ms, now_ms);
            }
        }
        let has_changed = self.store_up.swap(up, Ordering::Relaxed) != up;
        if up && has_changed {
            self.store_recoveries.send_modify(|count| *count += 1);
        }
        has_changed
    }

    /// Subscribes to recoveries of the store.
    pub fn store_recoveries(&self) -> watch::Receiver<u64> {
        self.store_recoveries.subscribe()
    }

    /// Records the arrival of another instance's message.
    pub fn record_peer_message(&self) {
        self.last_peer_message_ms
            .store(self.now_ms(), Ordering::Relaxed);
    }

    /// Returns the time since the last message of another instance, or since the start before the
    /// first one.
    pub fn time_since_peer_message(&self) -> Duration {
        let last_ms = self.last_peer_message_ms.load(Ordering::Relaxed);
        Duration::from_millis(self.now_ms().saturating_sub(last_ms))
    }

    /// Number of requests in flight.
    pub fn in_flight_requests(&self) -> &AtomicUsize {
        &self.in_flight_requests
    }

    /// Requests an immediate update of the grants, so that waiting requests get tokens.
    pub fn request_plan(&self) {
        // A full channel means that a request is already pending.
        let _ = self.plan_requests.try_send(());
    }

    /// Requests an immediate write of the journal.
    pub fn request_journal(&self) {
        // A full channel means that a request is already pending.
        let _ = self.journal_requests.try_send(());
    }

    /// Requests an immediate write of the journal and update of the grants.
    pub fn sync_quota(&self) {
        self.request_journal();
        self.request_plan();
    }

    /// Borrows the tokens that a request lacks from other instances. Returns `true` if the account
    /// now has enough.
    pub async fn borrow_tokens(&self, account: &Arc<str>, tokens: u64) -> bool {
        let (reply, response) = oneshot::channel();
        let request = BorrowRequest {
            account: account.clone(),
            tokens,
            reply,
        };
        if self.settings.peer.is_none() || self.borrow_requests.try_send(request).is_err() {
            // Full: too many requests are waiting already. Closed: the process is shutting down.
            return false;
        }
        let response = tokio::time::timeout(BORROW_TIMEOUT, response).await;
        matches!(response, Ok(Ok(true)))
    }

    /// Returns the key that authenticates messages between instances, once it has been read.
    pub fn fleet_key(&self) -> Option<Arc<Key>> {
        self.fleet_key.load_full()
    }

    /// Store era in which the key was last read or written.
    pub fn fleet_key_era(&self) -> u32 {
        self.fleet_key_era.load(Ordering::Relaxed)
    }

    /// Sets the key, as read from the store or written to it in an era.
    pub fn set_fleet_key(&self, key: Key, era: u32) {
        self.fleet_key.store(Some(Arc::new(key)));
        self.fleet_key_era.store(era, Ordering::Relaxed);
    }

    /// Notifies waiting requests that the available tokens may have changed: a journal or a plan
    /// was written, or a loan arrived.
    pub fn notify_token_changes(&self) {
        self.token_changes.send_modify(|count| *count += 1);
    }

    /// Notifies in-flight requests that backend servers restarted or were removed.
    pub fn notify_server_exits(&self) {
        self.server_exits.send_modify(|count| *count += 1);
    }

    /// Subscribes to restarts and removals of backend servers.
    pub fn server_exits(&self) -> watch::Receiver<u64> {
        self.server_exits.subscribe()
    }

    /// Notifies the sender of load reports that this instance's load changed.
    pub fn notify_load_changed(&self) {
        self.load_change.notify_one();
    }

    /// Waits until this instance's load changes.
    pub async fn load_changed(&self) {
        self.load_change.notified().await;
    }

    /// Notifies the sender of failure reports.
    pub fn notify_failure(&self) {
        self.failure.notify_one();
    }

    /// Waits until a model engine fails a request of this instance.
    pub async fn failure_recorded(&self) {
        self.failure.notified().await;
    }

    /// Subscribes to changes of the available tokens.
    pub fn token_changes(&self) -> watch::Receiver<u64> {
        self.token_changes.subscribe()
    }
}
