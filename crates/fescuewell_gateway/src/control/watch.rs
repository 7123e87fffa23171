//! Keeps the configuration and the backend server list up to date with the store.
//!
//! Both are first read in full and then watched with long polls. A long poll can miss changes, and
//! a full read can be stale. The full state is therefore reread from time to time, and anything
//! older than the known version is ignored.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use fescuewell_core::log_event;
use fescuewell_core::prelude::*;
use fescuewell_forward::config::{Configuration, Table};
use fescuewell_forward::crash::Evidence;
use fescuewell_forward::directory::Role;
use fescuewell_forward::evacuation::Order;
use fescuewell_forward::message::Message;
use fescuewell_forward::relay::{Digest, Outbox};
use fescuewell_forward::server::{Change, Entry, Registry, Update};
use fescuewell_forward::snapshot::{Snapshot, Subject};
use fescuewell_http::upstream::{self, Reachability};
use tokio::time::Instant;

use super::{CALL_TIMEOUT, Control, RETRY_DELAY, snapshots};
use crate::gateway::{Stage, State};
use crate::source::{InvalidConfiguration, OperatorState, Versioned};
use crate::store::Error;

/// Maximum time a long poll waits for changes. It is short because a dead connection is noticed
/// only when the response is overdue, and a change must take effect within two seconds.
const WATCH_WAIT: Duration = Duration::from_millis(700);
/// Timeout for reading the server list: 20,000 entries over a link of 10 Mbit/s. Each page has a
/// shorter timeout of its own.
const LIST_TIMEOUT: Duration = Duration::from_secs(8);
/// Timeout of a long poll.
const WATCH_TIMEOUT: Duration = Duration::from_millis(1_100);
/// Interval after which the full state is reread even if changes arrive.
const REREAD_INTERVAL: Duration = Duration::from_secs(4);
/// Size of one row of the server list in bytes, as read from the store.
const ROW_BYTES: f64 = 250.0;
/// Bandwidth that a reader may use for full reads of the list, in bytes per second.
const READER_BYTES_S: f64 = 20_000.0;
/// The same limit for a follower, which gets changes from readers: half of the bandwidth that an
/// instance may use for control traffic.
const FOLLOWER_BYTES_S: f64 = 2_000.0;
/// Interval after which a follower, which is informed of newer versions by readers, rereads the
/// configuration.
const FOLLOWER_REREAD_INTERVAL: Duration = Duration::from_secs(20);
/// Interval at which a follower checks whether readers reported a newer configuration.
const FOLLOWER_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum interval between two forwarded digests without new changes, in milliseconds.
const MIN_FORWARD_INTERVAL_MS: u64 = 200;
/// Minimum interval between two polls for server changes. Each server writes about once a second,
/// and every write completes a poll. A leaving server is still noticed within this time.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Interval between two copies of the list from a reader while digests are missing.
const RESYNC_INTERVAL: Duration = Duration::from_millis(500);
/// The same for an instance of a large fleet that serves no callers.
const IDLE_RESYNC_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum number of servers that are logged one by one. Thousands register when a fleet starts.
const MAX_LOGGED_SERVERS: usize = 4;
/// Timeout for connecting to a delisted server.
const REACH_TIMEOUT: Duration = Duration::from_millis(300);

/// Watches the configuration.
pub(super) async fn configuration(control: &Control) {
    control.wait_for_members().await;
    loop {
        let mut version = 0;
        if !copy_configuration(control).await {
            let read = control.source.read_state();
            let Ok(response) = control.call("configuration", CALL_TIMEOUT, read).await else {
                tokio::time::sleep(RETRY_DELAY).await;
                continue;
            };
            version = response.version;
            apply_full(control, response);
        }
        let read_at = Instant::now();
        while !is_due(control, read_at, version) {
            if follows_readers(control) {
                tokio::time::sleep(FOLLOWER_POLL_INTERVAL).await;
                continue;
            }
            let changes = control.source.watch_state(version, WATCH_WAIT);
            match control
                .call("configuration_after", WATCH_TIMEOUT, changes)
                .await
            {
                Ok(response) => {
                    version = version.max(response.version);
                    apply_changes(control, response);
                }
                Err(_) => break,
            }
        }
        if !control.gateway.is_store_up() {
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}

/// Applies the configuration of a reader of the availability zone. Returns `false` if there is none,
/// or if it is older than one that a reader reported.
async fn copy_configuration(control: &Control) -> bool {
    let snapshot =
        snapshots::request(control, Subject::Configuration, snapshots::Patience::Start).await;
    let Some(Snapshot::Configuration(configuration)) = snapshot else {
        return false;
    };
    let gateway = &control.gateway;
    if configuration.version < gateway.state().cursor.configuration_version() {
        return false;
    }
    apply_configuration(control, Some(configuration));
    true
}

/// Returns `true` if the full configuration must be reread: periodically, or because a reader
/// reported a newer version.
fn is_due(control: &Control, read_at: Instant, version: u64) -> bool {
    if !follows_readers(control) {
        return read_at.elapsed() >= REREAD_INTERVAL;
    }
    let gateway = &control.gateway;
    let known = gateway.table().map(|table| table.configuration().version);
    let reported = gateway.state().cursor.configuration_version();
    reported > known.unwrap_or(version) || read_at.elapsed() >= FOLLOWER_REREAD_INTERVAL
}

/// Applies the full operator state.
fn apply_full(control: &Control, response: Versioned<OperatorState>) {
    let now_ms = control.gateway.now_ms();
    observe_clock(control, response.now_ms);
    apply_configuration(control, response.content.configuration);
    log_invalid(control, response.content.invalid_configuration);
    let mut state = control.gateway.state();
    let orders = response.content.evacuations;
    for order in state
        .registry
        .apply_evacuations(response.version, orders, now_ms)
    {
        log_evacuation(&order);
    }
}

/// Applies changes made by the operator.
fn apply_changes(control: &Control, response: Versioned<OperatorState>) {
    observe_clock(control, response.now_ms);
    apply_configuration(control, response.content.configuration);
    log_invalid(control, response.content.invalid_configuration);
    evacuate(control, response.content.evacuations);
}

/// Logs an invalid configuration once. The previous one stays in force.
fn log_invalid(control: &Control, invalid: Option<InvalidConfiguration>) {
    let Some(InvalidConfiguration { version, reason }) = invalid else {
        return;
    };
    if control
        .last_invalid_version
        .fetch_max(version, Ordering::Relaxed)
        >= version
    {
        return;
    }
    let reason = reason.replace(' ', "_");
    log_event!(
        Event::DocumentUnreadable,
        "version={version} reason={reason}"
    );
}

fn evacuate(control: &Control, orders: Vec<Order>) {
    let now_ms = control.gateway.now_ms();
    for order in orders {
        if control
            .gateway
            .state()
            .registry
            .apply_evacuation(order.clone(), now_ms)
        {
            log_evacuation(&order);
        }
    }
}

fn log_evacuation(order: &Order) {
    let event = match order.is_evacuated {
        true => Event::ZoneEvacuated,
        false => Event::ZoneReturned,
    };
    log_event!(event, "zone={} version={}", order.zone, order.version);
}

fn observe_clock(control: &Control, store_ms: u64) {
    let now_ms = control.gateway.now_ms();
    control
        .gateway
        .state()
        .quota
        .observe_clock(store_ms, now_ms);
}

fn apply_configuration(control: &Control, configuration: Option<Configuration>) {
    let gateway = &control.gateway;
    let Some(configuration) = configuration else {
        return;
    };
    // The version never decreases, even if a read is stale.
    let known = gateway.table().map(|table| table.configuration().version);
    if known.is_some_and(|known| known >= configuration.version) {
        return;
    }
    log_event!(
        Event::DocumentInForce,
        "configuration={} before={} routes={} services={} accounts={}",
        configuration.version,
        known.unwrap_or_default(),
        configuration.routes.len(),
        configuration.services.len(),
        configuration.accounts.len()
    );
    {
        let mut state = gateway.state();
        for account in &configuration.accounts {
            state.quota.set_prepaid(&account.name, account.prepaid);
        }
        let services = configuration.services.iter();
        let warmups = services.filter_map(|service| Some((service.name.clone(), service.warmup?)));
        state.registry.set_warmup_limits(warmups);
    }
    gateway.set_table(Table::new(configuration));
    gateway.sync_quota();
    advance_stage(control);
}

/// Marks the instance ready once it knows the configuration, the consumption of its previous
/// process and the quarantined requests.
pub(super) fn advance_stage(control: &Control) {
    let gateway = &control.gateway;
    let complete = {
        let state = gateway.state();
        gateway.table().is_some() && state.quota.is_adopted() && state.quarantine.is_loaded()
    };
    if complete && gateway.advance(Stage::Ready) {
        log_event!(Event::Ready, "instance={}", gateway.settings.name);
    }
}

/// Watches the backend server list.
pub(super) async fn servers(control: &Control) {
    control.wait_for_members().await;
    loop {
        let Some(response) = list_servers(control).await else {
            tokio::time::sleep(RETRY_DELAY).await;
            continue;
        };
        let mut outbox = Outbox::default();
        outbox.restart(response.version);
        apply_list(control, response);
        let reread_at = Instant::now() + reread_interval(control);
        while Instant::now() < reread_at {
            tokio::time::sleep(poll_interval(control)).await;
            if follows_readers(control) {
                continue;
            }
            if let Some(response) = copy_servers(control, snapshots::Patience::Resync).await {
                outbox.restart(response.version);
                apply_list(control, response);
                tokio::time::sleep(control.jitter(resync_interval(control))).await;
                continue;
            }
            match poll_changes(control, &mut outbox).await {
                Ok(()) => {}
                Err(Error::Compacted) => break,
                Err(_) => tokio::time::sleep(RETRY_DELAY).await,
            }
        }
        if !control.gateway.is_store_up() {
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}

/// Returns the interval between two copies of the list while digests are missing.
fn resync_interval(control: &Control) -> Duration {
    match control.cadence().reconciles() {
        true => RESYNC_INTERVAL,
        false => IDLE_RESYNC_INTERVAL,
    }
}

/// Reads the server list from a reader of the availability zone, or from the store.
async fn list_servers(control: &Control) -> Option<Versioned<Vec<Update>>> {
    let copy = copy_servers(control, snapshots::Patience::Start).await;
    if copy.is_some() {
        return copy;
    }
    let read = control.source.list_servers();
    control.call("servers", LIST_TIMEOUT, read).await.ok()
}

/// Reads the server list from a reader of the availability zone.
async fn copy_servers(
    control: &Control,
    patience: snapshots::Patience,
) -> Option<Versioned<Vec<Update>>> {
    let snapshot = snapshots::request(control, Subject::Servers, patience).await;
    let Some(Snapshot::Servers(servers)) = snapshot else {
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
    outbox.add(changes, version, version.max(response.version), now_ms);
    gateway.state().cursor.advance(response.version);
    let configuration = gateway.table().map(|table| table.configuration().version);
    let name = gateway.settings.name.clone();
    let evacuations = gateway.state().registry.zones().orders();
    let configuration = configuration.unwrap_or_default();
    for digest in outbox.take_overflow(&name, response.now_ms, configuration) {
        control.broadcast(Message::Digest(digest));
    }
    let digest = outbox.digest(name, response.now_ms, configuration, evacuations);
    control.broadcast(Message::Digest(digest));
    Ok(())
}

/// Applies a digest from a reader.
pub(super) fn receive_digest(control: &Control, digest: Digest) {
    let gateway = &control.gateway;
    let now_ms = gateway.now_ms();
    // Evacuations are versioned individually, so they apply even from a late digest or after a lost
    // one.
    evacuate(control, digest.evacuations.clone());
    {
        let state = gateway.state();
        let store_ms = state.quota.store_time(now_ms);
        if !state.cursor.accepts(&digest, store_ms) {
            return;
        }
    }
    let has_changes = apply_rows(control, digest.rows.clone());
    gateway.state().cursor.finish(&digest, now_ms);
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
}

/// Returns `true` if readers provide the list to this instance.
fn follows_readers(control: &Control) -> bool {
    let now_ms = control.gateway.now_ms();
    control.role() != Role::Primary && control.gateway.state().cursor.is_following(now_ms)
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

fn apply_list(control: &Control, response: Versioned<Vec<Update>>) {
    let count = response.content.len();
    let now_ms = control.gateway.now_ms();
    let mut guard = control.gateway.state();
    let state = &mut *guard;
    state.cursor.advance(response.version);
    for row in &response.content {
        log_unreadable_row(&state.registry, row);
    }
    let changed = state
        .registry
        .apply_snapshot(response.version, response.content, now_ms);
    state.health.retain(|id| state.registry.is_known(id));
    state.warmup.retain(|id| state.registry.is_cold(id, now_ms));
    log_event!(
        Event::ServerListed,
        "servers={count} version={} changed={}",
        response.version,
        changed.len()
    );
    let ended = forget_ended(state);
    drop(guard);
    handle_ended(control, ended);
}

/// Applies changed rows. Returns `true` if any of them was new.
fn apply_rows(control: &Control, rows: Vec<Update>) -> bool {
    let now_ms = control.gateway.now_ms();
    let mut state = control.gateway.state();
    let (mut listed, mut leaving) = (Vec::new(), Vec::new());
    let mut has_changes = false;
    for row in rows {
        let (id, version) = (row.id.clone(), row.version);
        let was_ready = state.registry.is_ready(&id, now_ms);
        log_unreadable_row(&state.registry, &row);
        if !state.registry.apply(row, now_ms) {
            continue;
        }
        has_changes = true;
        match (was_ready, state.registry.is_ready(&id, now_ms)) {
            (true, false) => leaving.push((id, version)),
            (false, true) => listed.push((id, version)),
            _ => {}
        }
    }
    log_servers(Event::ServerListed, &listed);
    log_servers(Event::ServerLeaving, &leaving);
    let ended = forget_ended(&mut state);
    drop(state);
    handle_ended(control, ended);
    has_changes
}

/// Logs a line for each server, or one line for many of them.
fn log_servers(event: Event, servers: &[(Arc<str>, u64)]) {
    if servers.len() > MAX_LOGGED_SERVERS {
        let version = servers.iter().map(|(_, version)| *version).max();
        let version = version.unwrap_or_default();
        log_event!(event, "servers={} version={version}", servers.len());
        return;
    }
    for (id, version) in servers {
        log_event!(event, "server={id} version={version}");
    }
}

/// Logs a new row that does not describe a server. It is skipped so that it does not hide the other
/// rows.
fn log_unreadable_row(registry: &Registry, row: &Update) {
    let Change::Unreadable { reason } = &row.change else {
        return;
    };
    if !registry.is_stale(row) {
        log_event!(
            Event::ServerUnreadable,
            "server={} version={} reason={}",
            row.id,
            row.version,
            reason.replace(' ', "_")
        );
    }
}

/// Discards what was observed of servers that have restarted or ended: their prompt caches are
/// gone, and their failures and timings belong to another process. Returns these servers, with
/// evidence if they crashed.
fn forget_ended(state: &mut State) -> Vec<(Arc<Entry>, Option<Evidence>)> {
    let ended = state.registry.take_ended();
    let mut findings = Vec::with_capacity(ended.len());
    for former in ended {
        let id = &former.id;
        state.health.forget(id);
        state.load.forget(id);
        let restarted = state.registry.is_known(id);
        log_event!(Event::ServerEnded, "server={id} restarted={restarted}");
        let evidence = state.crashes.ended(&former, restarted);
        findings.push((former, evidence));
    }
    findings
}

/// Records the crash of a delisted server unless it still accepts connections: a server that leaves
/// without draining continues serving for a while.
fn confirm_removed(control: &Control, server: Arc<Entry>) {
    let gateway = control.gateway.clone();
    tokio::spawn(async move {
        match upstream::probe(server.address, REACH_TIMEOUT).await {
            Reachability::Accepted => gateway.state().crashes.accepted(server.incarnation()),
            Reachability::Refused | Reachability::NoResponse => {
                gateway.record_crash(&server, Evidence::Removed)
            }
        }
    });
}

/// Records the crashes, then notifies the requests in flight on these servers, which check whether
/// their server crashed.
fn handle_ended(control: &Control, ended: Vec<(Arc<Entry>, Option<Evidence>)>) {
    if ended.is_empty() {
        return;
    }
    for (server, evidence) in ended {
        match evidence {
            Some(Evidence::Removed) => confirm_removed(control, server),
            Some(evidence) => control.gateway.record_crash(&server, evidence),
            None => {}
        }
    }
    control.gateway.notify_server_exits();
}
