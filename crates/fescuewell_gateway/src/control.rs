//! The duties of the control thread: the configuration, the list of backend servers, grants and membership.

mod crashes;
mod fence;
mod journal;
mod ledger;
mod lending;
mod members;
mod money;
mod overdue;
mod peers;
mod probe;
mod rows;
mod watch;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use fescuewell_core::log_event;
use fescuewell_core::prelude::*;
use fescuewell_forward::relay::Digest;

use tokio::time::Instant;

use crate::gateway::{Gateway, Inbox};
use crate::source::Source;
use crate::store::{Error, Store};

/// What the duties work with.
#[derive(Clone)]
pub struct Control {
    gateway: Arc<Gateway>,
    store: Arc<dyn Store>,
    source: Arc<dyn Source>,
    inbox: Inbox,
    next_silent_ms: Arc<AtomicU64>,
    /// Version of the last configuration that could not be read.
    unreadable: Arc<AtomicU64>,
    /// What this instance, as a reader, passes on.
    digests: (flume::Sender<Digest>, flume::Receiver<Digest>),
}

/// Longest time for one call to the store. It answers within milliseconds; one that was slowed down fiftyfold still
/// fits, and a connection that has gone silent costs no more than this.
const CALL: Duration = Duration::from_millis(1_200);
/// Times between calls vary from this part,
const SPREAD_FROM: f64 = 0.9;
/// to this part of what they should be.
const SPREAD_TO: f64 = 1.1;
/// Least time between two lines on calls that fail while the store is known to be down, in milliseconds: enough to see
/// when it was tried, and a bounded volume however often it is.
const SILENT_EVERY_MS: u64 = 500;
/// Time that a call which was sent into an outage is still waited for once another one has been answered, counted from its
/// beginning: an answer takes some milliseconds.
///
/// Without this each duty waits for its own lost call first, up to [`CALL`] long and one after the other: the journal stays as
/// old as the outage for that long, and a loss of power then is charged for all of it.
const OVERTAKEN: Duration = Duration::from_millis(60);
/// Digests that wait to be sent. Each holds what the one before held, so that one that finds no room is no loss.
const MOST_DIGESTS: usize = 2;
/// Pause after a failed call.
const PAUSE: Duration = Duration::from_millis(150);

impl Control {
    /// The duties of an instance.
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
            next_silent_ms: Arc::default(),
            unreadable: Arc::default(),
            digests: flume::bounded(MOST_DIGESTS),
        }
    }

    /// Carries the duties out for as long as it is polled.
    pub async fn run(self) {
        let configuration = watch::configuration(&self);
        let servers = watch::servers(&self);
        let money = money::run(&self);
        let peers = peers::run(&self);
        let overdue = overdue::run(&self);
        let probe = probe::run(&self);
        let crashes = crashes::keep(&self);
        tokio::join!(
            configuration,
            servers,
            money,
            peers,
            overdue,
            probe,
            crashes
        );
    }

    /// Notes what a call to the store came to, and the time that it took.
    fn note_outcome<Answer>(&self, answer: &Result<Answer, Error>, call: &str, took: Duration) {
        let up = matches!(answer, Ok(_) | Err(Error::Compacted));
        let silence = self.gateway.time_since_store_response();
        let is_news = self.gateway.set_store_up(up);
        let took_ms = took.as_millis();
        match answer {
            Err(error) if !up && is_news => {
                let reason = error.to_string().replace(' ', "_");
                log_event!(Event::TableDown, "call={call} reason={reason}");
            }
            Err(error) if !up => self.still_down(error, call, took_ms),
            _ if !is_news => {}
            _ => {
                log_event!(
                    Event::TableUp,
                    "call={call} took_ms={took_ms} silent_ms={}",
                    silence.as_millis()
                );
                // The journal is as old as the outage, and a restart now would be charged for all of that.
                self.gateway.sync_quota();
            }
        }
    }

    /// Ends when the store is back and a call that was begun before has had its time.
    async fn overtaken(&self, begun: Instant) {
        let mut returns = self.gateway.store_recoveries();
        if returns.changed().await.is_err() {
            // The gateway is gone, and nobody waits for calls any more.
            std::future::pending::<()>().await;
        }
        tokio::time::sleep_until(begun + OVERTAKEN).await;
    }

    /// Varies a time, so that instances that started together do not call at the same moment for ever.
    fn spread(&self, time: Duration) -> Duration {
        let part = self.gateway.random_u64() as f64 / u64::MAX as f64;
        time.mul_f64(SPREAD_FROM + (SPREAD_TO - SPREAD_FROM) * part)
    }

    /// Logs a call that failed while the store was known to be down.
    fn still_down(&self, error: &Error, call: &str, took_ms: u128) {
        let now_ms = self.gateway.now_ms();
        if now_ms < self.next_silent_ms.load(Ordering::Relaxed) {
            return;
        }
        let next_ms = now_ms + SILENT_EVERY_MS;
        self.next_silent_ms.store(next_ms, Ordering::Relaxed);
        let reason = error.to_string().replace(' ', "_");
        log_event!(
            Event::TableSilent,
            "call={call} took_ms={took_ms} reason={reason}"
        );
    }

    /// Limits a call's time: an answer that does not come in time is missing.
    async fn call<Answer, Call>(
        &self,
        name: &str,
        limit: Duration,
        call: Call,
    ) -> Result<Answer, Error>
    where
        Call: Future<Output = Result<Answer, Error>>,
    {
        let begun = Instant::now();
        let into_outage = !self.gateway.is_store_up();
        let answer = tokio::select! {
            answer = tokio::time::timeout(limit, call) => answer,
            () = self.overtaken(begun), if into_outage => {
                // It says nothing of the store as it is now.
                self.gateway.metrics.count_store_call(name, "overtaken");
                return Err(missing("another call was answered"));
            }
        };
        let answer = answer.unwrap_or_else(|_| Err(missing("no answer in time")));
        let outcome = match &answer {
            Ok(_) => "answered",
            Err(Error::NotDone { .. }) => "not_done",
            Err(Error::Unknown { .. }) => "unknown",
            Err(Error::Compacted) => "compacted",
        };
        self.gateway.metrics.count_store_call(name, outcome);
        self.note_outcome(&answer, name, begun.elapsed());
        answer
    }
}

fn missing(reason: &str) -> Error {
    Error::Unknown {
        reason: reason.into(),
    }
}
