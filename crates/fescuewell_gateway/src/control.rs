//! The control thread: watches the configuration and the backend server list, and synchronizes
//! token grants and membership with the store.

mod behind;
mod crashes;
mod digests;
mod failures;
mod fence;
mod gossip;
mod journal;
mod ledger;
mod lending;
mod limits;
mod members;
mod overdue;
mod peers;
mod probe;
mod queries;
mod rows;
mod snapshots;
mod streams;
mod sync;
mod watch;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use fescuewell_core::log_event;
use fescuewell_core::prelude::*;
use fescuewell_forward::cadence::{Activity, Cadence};
use fescuewell_forward::directory::Role;
use fescuewell_forward::message::Message;

use tokio::sync::watch as watch_channel;
use tokio::time::Instant;

use crate::gateway::{Gateway, Inbox};
use crate::source::Source;
use crate::store::{Error, Store};

/// Shared context of the control tasks.
#[derive(Clone)]
pub struct Control {
    gateway: Arc<Gateway>,
    store: Arc<dyn Store>,
    source: Arc<dyn Source>,
    inbox: Inbox,
    next_silent_log_ms: Arc<AtomicU64>,
    /// Version of the last invalid configuration that was logged.
    last_invalid_version: Arc<AtomicU64>,
    /// Digests and summaries that this instance sends to others if it is a reader.
    broadcasts: (flume::Sender<Message>, flume::Receiver<Message>),
    /// Set once the members are known, at the first start of the fleet after they have written
    /// their first heartbeats.
    members_known: watch_channel::Sender<bool>,
    /// Digests received since the last check of the list's age.
    digest_counts: Arc<digests::Counts>,
    /// Instances whose digests left a gap.
    list_sources: Arc<queries::Sources>,
    /// Time of the last forwarded digest on the clock of [`Gateway::now_ms`].
    forwarded_at_ms: Arc<AtomicU64>,
    /// Time of the last summary that a reader sent, on the same clock.
    summary_at_ms: Arc<AtomicU64>,
}

/// Timeout of one store call. The store normally responds within milliseconds; the timeout still
/// allows for a store that is fifty times slower, and bounds the cost of a dead connection.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Lower bound of the jitter factor applied to intervals.
const JITTER_MIN: f64 = 0.9;
/// Upper bound of the jitter factor applied to intervals.
const JITTER_MAX: f64 = 1.1;
/// Minimum interval between log lines about calls that fail while the store is known to be down, in
/// milliseconds. It shows when calls were tried and bounds the log volume at any call rate.
const SILENT_LOG_INTERVAL_MS: u64 = 500;
/// Timeout, from the start of the call, of a call that was sent during an outage, once another call
/// has got a response. A response takes a few milliseconds.
///
/// Without it, each task first waits up to [`CALL_TIMEOUT`] for its own lost call, one after the
/// other. The journal stays as old as the outage for that long, and a power loss is charged for all
/// of that time.
const SUPERSEDED_TIMEOUT: Duration = Duration::from_millis(60);
/// Maximum number of queued digests and summaries; several hundred changes at once take some tens. Followers
/// request a snapshot if one does not fit in the queue.
const MAX_QUEUED_BROADCASTS: usize = 512;
/// Maximum time for which the first reads of the configuration and the server list wait for the
/// members.
const MEMBERS_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Delay before a failed call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(150);

impl Control {
    /// Creates the control context of an instance.
    pub fn new(
        gateway: Arc<Gateway>,
        store: Arc<dyn Store>,
        source: Arc<dyn Source>,
        inbox: Inbox,
    ) -> Self {
        Self {
            gateway,
            store,
            source,
            inbox,
            next_silent_log_ms: Arc::default(),
            last_invalid_version: Arc::default(),
            broadcasts: flume::bounded(MAX_QUEUED_BROADCASTS),
            members_known: watch_channel::Sender::new(false),
            digest_counts: Arc::default(),
            list_sources: Arc::default(),
            forwarded_at_ms: Arc::default(),
            summary_at_ms: Arc::default(),
        }
    }

    /// Runs the control tasks until the future is dropped.
    pub async fn run(self) {
        let configuration = watch::configuration(&self);
        let servers = watch::servers(&self);
        let sync = sync::run(&self);
        let peers = peers::run(&self);
        let overdue = overdue::run(&self);
        let probe = probe::run(&self);
        let crashes = crashes::sync(&self);
        let behind = behind::run(&self);
        let streams = streams::table::sync(&self);
        tokio::join!(
            configuration,
            servers,
            sync,
            peers,
            overdue,
            probe,
            crashes,
            behind,
            streams
        );
    }

    /// Queues a message for the instances that this reader sends its digests to.
    fn broadcast(&self, message: Message) {
        // If the queue is full, receivers of a digest notice the gap; a summary is repeated.
        let _ = self.broadcasts.0.try_send(message);
    }

    /// Waits until the members are known, but not for long: the store may be unreachable.
    async fn wait_for_members(&self) {
        let mut known = self.members_known.subscribe();
        let known = known.wait_for(|known| *known);
        let _ = tokio::time::timeout(MEMBERS_TIMEOUT, known).await;
    }

    /// Returns what this instance does if the fleet is large.
    ///
    /// After the store was restored from a backup, each instance has to know all members: their
    /// statuses decide who may draw tokens; see [`fescuewell_forward::quota::era`].
    fn activity(&self) -> Activity {
        let settings = &self.gateway.settings;
        let now_ms = self.gateway.now_ms();
        let mut state = self.gateway.state();
        let is_reader = state.directory.role(&settings.name, &settings.zone) != Role::Follower;
        let is_advertised = state.directory.is_advertised(&settings.name);
        if is_reader || is_advertised || state.quota.era() > 0 {
            return Activity::Full;
        }
        match state.quota.active_accounts(now_ms).is_empty() {
            true => Activity::Idle,
            false => Activity::Serving,
        }
    }

    /// Returns how this instance learns of changes of the server list.
    fn role(&self) -> Role {
        let settings = &self.gateway.settings;
        let state = self.gateway.state();
        state.directory.role(&settings.name, &settings.zone)
    }

    /// Returns what the intervals of this instance follow from.
    fn cadence(&self) -> Cadence {
        let activity = self.activity();
        let state = self.gateway.state();
        Cadence {
            instances: state.directory.count(),
            advertised: state.directory.advertised().len(),
            is_large: state.directory.is_large(),
            activity,
            partition_writes_per_s: self.gateway.settings.partition_writes_per_s,
            writes_per_s: self.gateway.settings.writes_per_s,
        }
    }

    /// Records the result and the duration of a store call.
    fn record_outcome<Response>(
        &self,
        result: &Result<Response, Error>,
        call: &str,
        took: Duration,
    ) {
        let up = matches!(result, Ok(_) | Err(Error::Compacted));
        let silence = self.gateway.time_since_store_response();
        let has_changed = self.gateway.set_store_up(up);
        let took_ms = took.as_millis();
        match result {
            Err(error) if !up && has_changed => {
                let reason = error.to_string().replace(' ', "_");
                log_event!(Event::TableDown, "call={call} reason={reason}");
            }
            Err(error) if !up => self.log_still_down(error, call, took_ms),
            _ if !has_changed => {}
            _ => {
                log_event!(
                    Event::TableUp,
                    "call={call} took_ms={took_ms} silent_ms={}",
                    silence.as_millis()
                );
                // The journal is as old as the outage, and a restart now is charged for all of that
                // time.
                self.gateway.sync_quota();
            }
        }
    }

    /// Completes when the store is reachable again and a call sent before that has had time to get
    /// its response.
    async fn wait_superseded(&self, started: Instant) {
        let mut recoveries = self.gateway.store_recoveries();
        if recoveries.changed().await.is_err() {
            // The gateway was dropped, so no call is waiting any more.
            std::future::pending::<()>().await;
        }
        tokio::time::sleep_until(started + SUPERSEDED_TIMEOUT).await;
    }

    /// Applies jitter to an interval, so that instances that start together do not keep calling at
    /// the same time.
    fn jitter(&self, time: Duration) -> Duration {
        let fraction = self.gateway.random_u64() as f64 / u64::MAX as f64;
        time.mul_f64(JITTER_MIN + (JITTER_MAX - JITTER_MIN) * fraction)
    }

    /// Logs a call that failed while the store was known to be down.
    fn log_still_down(&self, error: &Error, call: &str, took_ms: u128) {
        let now_ms = self.gateway.now_ms();
        if now_ms < self.next_silent_log_ms.load(Ordering::Relaxed) {
            return;
        }
        let next_ms = now_ms + SILENT_LOG_INTERVAL_MS;
        self.next_silent_log_ms.store(next_ms, Ordering::Relaxed);
        let reason = error.to_string().replace(' ', "_");
        log_event!(
            Event::TableSilent,
            "call={call} took_ms={took_ms} reason={reason}"
        );
    }

    /// Applies a timeout to a store call and records its result.
    async fn call<Response, Call>(
        &self,
        name: &str,
        limit: Duration,
        call: Call,
    ) -> Result<Response, Error>
    where
        Call: Future<Output = Result<Response, Error>>,
    {
        let started = Instant::now();
        let was_store_down = !self.gateway.is_store_up();
        let result = tokio::select! {
            result = tokio::time::timeout(limit, call) => result,
            () = self.wait_superseded(started), if was_store_down => {
                // A call that was sent during the outage says nothing about the store's current
                // state.
                self.gateway.metrics.count_store_call(name, "overtaken");
                return Err(no_response("superseded by another call"));
            }
        };
        let result = result.unwrap_or_else(|_| Err(no_response("timed out")));
        let outcome = match &result {
            Ok(_) => "answered",
            Err(Error::NotApplied { .. }) => "not_done",
            Err(Error::Unknown { .. }) => "unknown",
            Err(Error::Compacted) => "compacted",
        };
        self.gateway.metrics.count_store_call(name, outcome);
        self.record_outcome(&result, name, started.elapsed());
        result
    }
}

fn no_response(reason: &str) -> Error {
    Error::Unknown {
        reason: reason.into(),
    }
}
