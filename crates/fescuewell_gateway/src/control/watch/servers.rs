//! Watches the server list: reads it, or receives its changes from readers.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use fescuewell_forward::directory::Role;
use fescuewell_forward::message::Message;
use fescuewell_forward::relay::{Digest, Outbox, QUERY_AGE_MS, Rejection};
use fescuewell_forward::server::Update;
use fescuewell_forward::snapshot::{Snapshot, Subject};
use tokio::time::Instant;

use super::configuration::{evacuate, repeat_change};
use super::list::{apply_list, apply_rows};
use super::{REREAD_INTERVAL, WATCH_TIMEOUT, WATCH_WAIT, follows_readers};
use crate::control::{Control, RETRY_DELAY, snapshots};
use crate::snapshot;
use crate::source::Versioned;
use crate::store::Error;

/// Timeout for reading the server list: 20,000 entries over a link of 10 Mbit/s. Each page has a
/// shorter timeout of its own.
const LIST_TIMEOUT: Duration = Duration::from_secs(8);
/// Size of one row of the server list in bytes, as read from the store.
const ROW_BYTES: f64 = 250.0;
/// Bandwidth that a reader may use for full reads of the list, in bytes per second.
const READER_BYTES_S: f64 = 20_000.0;
/// The same limit for a follower, which gets changes from readers: half of the bandwidth that an
/// instance may use for control traffic.
const FOLLOWER_BYTES_S: f64 = 2_000.0;
/// Minimum interval between two forwarded digests without new changes, in milliseconds.
const MIN_FORWARD_INTERVAL_MS: u64 = 200;
/// Minimum interval between two polls for server changes. Each server writes about once a second,
/// and every write completes a poll. A leaving server is still noticed within this time.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between two copies of the list from a reader while digests are missing.
const RESYNC_INTERVAL: Duration = Duration::from_millis(500);
/// The same for an instance of a large fleet that serves no callers.
const IDLE_RESYNC_INTERVAL: Duration = Duration::from_secs(2);

/// Where the whole list was obtained.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Origin {
    /// The store.
    Store,
    /// Another instance.
    Instance,
}

/// Watches the backend server list.
pub(in crate::control) async fn servers(control: &Control) {
    control.wait_for_members().await;
    let mut outbox = Outbox::default();
    let mut has_gap = true;
    loop {
        let Some((response, origin)) = list_servers(control).await else {
            tokio::time::sleep(RETRY_DELAY).await;
            continue;
        };
        match has_gap || origin == Origin::Instance {
            true => restart_list(control, &mut outbox, response, origin),
            false => correct_list(control, &mut outbox, &response),
        }
        has_gap = false;
        let reread_at = Instant::now() + reread_interval(control);
        while Instant::now() < reread_at {
            tokio::time::sleep(poll_interval(control)).await;
            if follows_readers(control) {
                continue;
            }
            if let Some(response) = copy_from_source(control).await {
                restart_list(control, &mut outbox, response, Origin::Instance);
                continue;
            }
            if let Some(response) = copy_servers(control, snapshots::Patience::Resync).await {
                restart_list(control, &mut outbox, response, Origin::Instance);
                tokio::time::sleep(control.jitter(resync_interval(control))).await;
                continue;
            }
            match poll_changes(control, &mut outbox).await {
                Ok(()) => {}
                Err(Error::Compacted) => {
                    has_gap = true;
                    break;
                }
                Err(_) => tokio::time::sleep(RETRY_DELAY).await,
            }
        }
        if !control.gateway.is_store_up() {
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}

/// Applies the whole list and continues with the changes after it. Digests start again, since changes
/// before its version may be unknown here.
fn restart_list(
    control: &Control,
    outbox: &mut Outbox,
    response: Versioned<Vec<Update>>,
    origin: Origin,
) {
    let now_ms = control.gateway.now_ms();
    let version = response.version;
    outbox.restart(version);
    apply_list(control, response);
    let as_of_ms = match origin {
        Origin::Store => now_ms,
        Origin::Instance => now_ms.saturating_sub(snapshot::MAX_LIST_AGE_MS),
    };
    let mut state = control.gateway.state();
    state.cursor.advance(version, as_of_ms);
    state.list_history.restart(version);
}

/// Corrects what polls have missed by the whole list, and passes the corrections on. Later changes
/// are left to the next poll: a server that joined and left meanwhile is not listed, and followers
/// may have learned of it elsewhere.
fn correct_list(control: &Control, outbox: &mut Outbox, response: &Versioned<Vec<Update>>) {
    let now_ms = control.gateway.now_ms();
    let (known, corrections) = {
        let mut state = control.gateway.state();
        let known = state.cursor.version();
        let (version, rows) = (response.version, &response.content);
        let corrections = state.registry.corrections(known, version, rows, now_ms);
        if !corrections.is_empty() {
            state.list_history.restart(known);
        }
        (known, corrections)
    };
    outbox.add(corrections.clone(), known, known, now_ms);
    apply_rows(control, corrections);
}

/// Returns the interval between two copies of the list while digests are missing.
fn resync_interval(control: &Control) -> Duration {
    match control.cadence().reconciles() {
        true => RESYNC_INTERVAL,
        false => IDLE_RESYNC_INTERVAL,
    }
}

/// Reads the server list from a reader of the availability zone, or from the store.
async fn list_servers(control: &Control) -> Option<(Versioned<Vec<Update>>, Origin)> {
    let copy = copy_servers(control, snapshots::Patience::Start).await;
    if let Some(copy) = copy {
        return Some((copy, Origin::Instance));
    }
    let read = control.source.list_servers();
    let response = control.call("servers", LIST_TIMEOUT, read).await.ok()?;
    Some((response, Origin::Store))
}

/// Reads the server list from a reader of the availability zone.
async fn copy_servers(
    control: &Control,
    patience: snapshots::Patience,
) -> Option<Versioned<Vec<Update>>> {
    let snapshot = snapshots::request(control, Subject::Servers, patience).await;
    snapshot.and_then(|snapshot| versioned(control, snapshot))
}

/// Reads the server list from an instance whose digest left a gap, while this one has no newer list
/// by other ways.
async fn copy_from_source(control: &Control) -> Option<Versioned<Vec<Update>>> {
    let source = control.list_sources.take()?;
    let now_ms = control.gateway.now_ms();
    let age_ms = control.gateway.state().cursor.age_ms(now_ms);
    if age_ms.is_some_and(|age_ms| age_ms < QUERY_AGE_MS) {
        return None;
    }
    let snapshot = snapshots::copy(control, source, Subject::Servers).await?;
    let response = versioned(control, snapshot)?;
    (response.version > control.gateway.state().cursor.version()).then_some(response)
}

fn versioned(control: &Control, snapshot: Snapshot) -> Option<Versioned<Vec<Update>>> {
    let Snapshot::Servers(servers) = snapshot else {
        return None;
    };
    let now_ms = control.gateway.now_ms();
    Some(Versioned {
        content: servers.rows,
        version: servers.version,
        now_ms: control.gateway.state().quota.store_time(now_ms),
    })
}

/// Polls for changes and queues a digest for the followers.
async fn poll_changes(control: &Control, outbox: &mut Outbox) -> Result<(), Error> {
    let gateway = &control.gateway;
    let version = gateway.state().cursor.version();
    let changes = control.source.watch_servers(version, WATCH_WAIT);
    let response = control
        .call("servers_after", WATCH_TIMEOUT, changes)
        .await?;
    let mut changes = Vec::new();
    for row in response.content {
        // Row by row, because a server may appear and disappear within one response.
        let now_ms = gateway.now_ms();
        if gateway.state().registry.is_change(&row, now_ms) {
            changes.push(row.clone());
        }
        apply_rows(control, vec![row]);
    }
    let now_ms = gateway.now_ms();
    let until = version.max(response.version);
    {
        let mut state = gateway.state();
        state.list_history.add(changes.clone(), version, until);
        state.cursor.advance(until, now_ms);
    }
    outbox.add(changes, version, until, now_ms);
    let configuration = gateway.table().map(|table| table.configuration().version);
    let name = gateway.settings.name.clone();
    let evacuations = gateway.state().registry.zones().orders();
    let configuration = configuration.unwrap_or_default();
    for digest in outbox.take_overflow(&name, response.now_ms, configuration) {
        control.broadcast(Message::Digest(digest));
    }
    let digest = outbox.digest(name, response.now_ms, configuration, evacuations);
    control.broadcast(Message::Digest(digest));
    repeat_change(control);
    Ok(())
}

/// Applies a digest that the instance at `from` sent, a reader or one that was asked.
pub(in crate::control) fn receive_digest(control: &Control, digest: Digest, from: SocketAddr) {
    let gateway = &control.gateway;
    let now_ms = gateway.now_ms();
    // Evacuations are versioned individually, so they apply even from a late digest or after a lost
    // one.
    evacuate(control, digest.evacuations.clone());
    let (checked, age_ms) = {
        let mut state = gateway.state();
        state.lag.report(digest.configuration, now_ms);
        let store_ms = state.quota.store_time(now_ms);
        let age_ms = store_ms.saturating_sub(digest.at_ms);
        state.cursor.hear(now_ms.saturating_sub(age_ms), now_ms);
        (state.cursor.check(&digest, store_ms), age_ms)
    };
    control.digest_counts.add(checked, age_ms);
    if let Err(rejection) = checked {
        gateway.metrics.count_digest(rejection.name());
        if rejection == Rejection::Gap {
            control.list_sources.push(from);
        }
        return;
    }
    gateway.metrics.count_digest("applied");
    let has_changes = apply_rows(control, digest.rows.clone());
    {
        let mut state = gateway.state();
        let rows = digest.rows.iter().cloned();
        state.list_history.add(rows, digest.after, digest.until);
        let as_of_ms = now_ms.saturating_sub(age_ms);
        state.cursor.finish(&digest, as_of_ms);
    }
    forward(control, digest, has_changes, now_ms);
}

/// Forwards a digest to the followers if this instance is a relay: at once if it has changes that
/// were new here, otherwise as often as they need it to know that nothing has changed.
///
/// It names the configuration in force here, since the followers request that from this instance.
fn forward(control: &Control, mut digest: Digest, has_changes: bool, now_ms: u64) {
    if control.role() != Role::Relay {
        return;
    }
    let last_ms = control.forwarded_at_ms.load(Ordering::Relaxed);
    if !has_changes && now_ms < last_ms + MIN_FORWARD_INTERVAL_MS {
        return;
    }
    control.forwarded_at_ms.store(now_ms, Ordering::Relaxed);
    let table = control.gateway.table();
    digest.configuration = table.map_or(0, |table| table.configuration().version);
    control.broadcast(Message::Digest(digest));
    repeat_change(control);
}

/// Returns the interval between full reads of the server list, chosen to stay within the bandwidth
/// limit of the instance.
fn reread_interval(control: &Control) -> Duration {
    let gateway = &control.gateway;
    let state = gateway.state();
    let bytes_s = match state.directory.readers(&gateway.settings.zone).is_empty() {
        true => f64::INFINITY,
        false => match state
            .directory
            .role(&gateway.settings.name, &gateway.settings.zone)
        {
            Role::Primary => READER_BYTES_S,
            Role::Relay | Role::Follower => FOLLOWER_BYTES_S,
        },
    };
    let bytes = state.registry.count() as f64 * ROW_BYTES;
    REREAD_INTERVAL.max(Duration::from_secs_f64(bytes / bytes_s))
}

/// Returns the interval between two polls for server changes. Where all instances read, it grows
/// with the fleet, so that together they use at most a quarter of the store's read capacity.
fn poll_interval(control: &Control) -> Duration {
    let state = control.gateway.state();
    let settings = &control.gateway.settings;
    if !state.directory.readers(&settings.zone).is_empty() {
        return MIN_POLL_INTERVAL;
    }
    let instances = state.directory.count() as f64;
    let share = instances / (settings.reads_per_s * 0.25);
    MIN_POLL_INTERVAL.max(Duration::from_secs_f64(share))
}
