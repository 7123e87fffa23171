//! Requests the server list and the configuration from readers.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use fescuewell_forward::directory::Role;
use fescuewell_forward::message::Message;
use fescuewell_forward::snapshot::{Request, Snapshot, Subject};
use fescuewell_http::upstream::{Target, Timeouts};
use http::StatusCode;
use rand::seq::SliceRandom;
use tokio::time::Instant;

use super::Control;
use crate::snapshot::PATH;

/// Timeouts of a request to a reader.
const TIMEOUTS: Timeouts = Timeouts {
    connect: Duration::from_millis(300),
    first_byte: Duration::from_millis(1_000),
    progress: Duration::from_millis(1_000),
};
/// Maximum size of a snapshot in bytes; 20,000 servers take about 1.5 MB.
const MAX_BYTES: usize = 8 * 1024 * 1024;
/// Interval between two attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// Time for which an instance asks the readers before it reads the store. All instances may have
/// started together, and the readers need some time.
const PATIENCE: Duration = Duration::from_millis(600);
/// The same in a large fleet, whose instances together would fill the store's link.
const PATIENCE_IN_LARGE_FLEET: Duration = Duration::from_secs(4);

/// Why a snapshot is requested, which decides for how long.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Patience {
    /// The instance has started.
    Start,
    /// A newer configuration was reported. Each reader is asked once before the store is read.
    Update,
    /// Digests are missing or have left a gap.
    Resync,
}

/// Requests a snapshot. Returns `None` if this instance reads the store itself, or if no reader
/// responds in time.
pub(super) async fn request(
    control: &Control,
    subject: Subject,
    patience: Patience,
) -> Option<Snapshot> {
    let deadline = Instant::now() + duration(control, patience)?;
    loop {
        for reader in readers(control) {
            let response = exchange_or_copy(control, reader, subject).await;
            if response.is_some() {
                return response;
            }
        }
        let next = Instant::now() + control.jitter(RETRY_INTERVAL);
        if next >= deadline {
            return None;
        }
        tokio::time::sleep_until(next).await;
    }
}

/// Requests a snapshot from one instance.
pub(super) async fn copy(
    control: &Control,
    instance: SocketAddr,
    subject: Subject,
) -> Option<Snapshot> {
    exchange(control, instance, subject).await.ok()
}

/// Returns how long to ask the readers, or `None` for a primary one. An instance that serves callers asks
/// each reader only once for the list, because servers may be draining meanwhile.
fn duration(control: &Control, patience: Patience) -> Option<Duration> {
    if control.role() == Role::Primary {
        return None;
    }
    let cadence = control.cadence();
    match (patience, cadence.is_large) {
        (Patience::Update, _) => Some(Duration::ZERO),
        (Patience::Resync, false) => Some(Duration::ZERO),
        (Patience::Resync, true) if cadence.reconciles() => Some(Duration::ZERO),
        (Patience::Start, false) => Some(PATIENCE),
        (_, true) => Some(PATIENCE_IN_LARGE_FLEET),
    }
}

/// Returns the readers that this instance requests snapshots from, in random order.
fn readers(control: &Control) -> Vec<SocketAddr> {
    let gateway = &control.gateway;
    let mut state = gateway.state();
    let settings = &gateway.settings;
    let mut readers = state
        .directory
        .snapshot_sources(&settings.name, &settings.zone);
    readers.shuffle(&mut state.rng);
    readers
}

/// Why a reader sent no snapshot.
enum Failure {
    /// It refused the request.
    Refused,
    /// It did not respond in time, or the response cannot be read.
    NoResponse,
}

/// Requests a snapshot from one reader. Returns `None` on any failure. A reader of an earlier program
/// version refuses a request for changes, which it cannot read, and is asked for the whole
/// configuration.
async fn exchange_or_copy(
    control: &Control,
    reader: SocketAddr,
    subject: Subject,
) -> Option<Snapshot> {
    match (exchange(control, reader, subject).await, subject) {
        (Err(Failure::Refused), Subject::ConfigurationAfter(_)) => {
            let copy = exchange(control, reader, Subject::Configuration);
            copy.await.ok()
        }
        (response, _) => response.ok(),
    }
}

async fn exchange(
    control: &Control,
    reader: SocketAddr,
    subject: Subject,
) -> Result<Snapshot, Failure> {
    let gateway = &control.gateway;
    let key = gateway.fleet_key().ok_or(Failure::NoResponse)?;
    let now_ms = gateway.now_ms();
    let store_ms = gateway.state().quota.store_time(now_ms);
    let message = Message::SnapshotWanted(Request::new(subject, store_ms));
    let request = http::Request::post(PATH).body(Bytes::from(key.seal(&message)));
    let request = request.map_err(|_| Failure::NoResponse)?;
    let target = Target::new(reader);
    let opened = gateway.control_client.open(&target, request, TIMEOUTS);
    let exchange = opened.await.map_err(|_| Failure::NoResponse)?;
    if exchange.status != StatusCode::OK {
        return Err(Failure::Refused);
    }
    let body = exchange.collect(MAX_BYTES).await;
    let body = body.map_err(|_| Failure::NoResponse)?;
    key.open_content(&body).ok_or(Failure::NoResponse)
}
