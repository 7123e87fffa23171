//! Keeps the configuration and the list of backend servers in step with the store.
//!
//! Both are read whole once and then followed by a call that waits for changes. Such a call can stay silent
//! while changes are made, and a whole reading can be old; so the whole is read again now and then, and nothing
//! older than what is known counts.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use fescuewell_core::log_event;
use fescuewell_core::prelude::*;
use fescuewell_forward::config::{Configuration, Table};
use fescuewell_forward::crash::Evidence;
use fescuewell_forward::evacuation::Order;
use fescuewell_forward::relay::{Digest, Outbox};
use fescuewell_forward::server::{Change, Entry, Update};
use fescuewell_http::upstream::{self, Reach};
use tokio::time::Instant;

use super::{CALL, Control, PAUSE};
use crate::gateway::{Stage, State};
use crate::source::{News, Unreadable, Word};
use crate::store::Error;

/// How long a call waits for changes. Short, since a connection that has gone silent shows only when the
/// answer is overdue, and a change must be in force within two seconds.
const WAIT: Duration = Duration::from_millis(700);
/// Time for such a call in all.
const WAIT_LIMIT: Duration = Duration::from_millis(1_100);
/// Time after which the whole is read again though the changes seem to come.
const REREAD: Duration = Duration::from_secs(4);
/// Bytes of a row of the list as it is read.
const ROW_BYTES: f64 = 250.0;
/// Bytes a second that a reader spends on reading the whole list again.
const READER_BYTES_S: f64 = 20_000.0;
/// The same for an instance that readers tell what changes: half of what an instance may spend on control.
const FOLLOWER_BYTES_S: f64 = 2_000.0;
/// Time after which the whole configuration is read again by an instance that readers tell of newer ones.
const FED_REREAD: Duration = Duration::from_secs(20);
/// Time between two looks at what readers told.
const FED_LOOK: Duration = Duration::from_millis(100);
/// Least time between two calls for changes of backend servers: each of them writes about once a second, and
/// every write would answer the call. A server that leaves is still noticed within this time.
const SERVERS_PAUSE: Duration = Duration::from_millis(250);

/// Timeout for connecting to a delisted server.
const REACHED_WITHIN: Duration = Duration::from_millis(300);

/// Follows the configuration.
pub(super) async fn configuration(control: &Control) {
    loop {
        let read = control.source.word();
        let Ok(news) = control.call("configuration", CALL, read).await else {
            tokio::time::sleep(PAUSE).await;
            continue;
        };
        let mut version = news.version;
        whole(control, news);
        let read_at = Instant::now();
        while !is_due(control, read_at, version) {
            if is_fed(control) {
                tokio::time::sleep(FED_LOOK).await;
                continue;
            }
            let changes = control.source.word_after(version, WAIT);
            match control
                .call("configuration_after", WAIT_LIMIT, changes)
                .await
            {
                Ok(news) => {
                    version = version.max(news.version);
                    changed(control, news);
                }
                Err(_) => break,
            }
        }
        if !control.gateway.is_store_up() {
            tokio::time::sleep(PAUSE).await;
        }
    }
}

/// Whether the whole configuration is to be read again: now and then, or since a reader told of a newer one.
fn is_due(control: &Control, read_at: Instant, version: u64) -> bool {
    if !is_fed(control) {
        return read_at.elapsed() >= REREAD;
    }
    let gateway = &control.gateway;
    let known = gateway.table().map(|table| table.configuration().version);
    let told = gateway.state().cursor.configuration_version();
    told > known.unwrap_or(version) || read_at.elapsed() >= FED_REREAD
}

/// Takes all that the operator has written.
fn whole(control: &Control, news: News<Word>) {
    let now_ms = control.gateway.now_ms();
    apply(control, news.now_ms, news.content.configuration);
    log_unreadable(control, news.content.unreadable);
    let mut state = control.gateway.state();
    let orders = news.content.evacuations;
    for order in state
        .registry
        .apply_evacuations(news.version, orders, now_ms)
    {
        log_evacuation(&order);
    }
}

/// Takes what the operator has changed.
fn changed(control: &Control, news: News<Word>) {
    apply(control, news.now_ms, news.content.configuration);
    log_unreadable(control, news.content.unreadable);
    evacuate(control, news.content.evacuations);
}

/// Logs a configuration that cannot be read, once. The one before stays in force.
fn log_unreadable(control: &Control, unreadable: Option<Unreadable>) {
    let Some(Unreadable { version, reason }) = unreadable else {
        return;
    };
    if control.unreadable.fetch_max(version, Ordering::Relaxed) >= version {
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

fn apply(control: &Control, store_ms: u64, configuration: Option<Configuration>) {
    let gateway = &control.gateway;
    let now_ms = gateway.now_ms();
    gateway.state().quota.clock(store_ms, now_ms);
    let Some(configuration) = configuration else {
        return;
    };
    // A version never goes back, whatever an old reading says.
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
        for tenant in &configuration.accounts {
            state.quota.prepaid(&tenant.name, tenant.prepaid);
        }
        let services = configuration.services.iter();
        let warmups = services.filter_map(|service| Some((service.name.clone(), service.warmup?)));
        state.registry.set_warmup_limits(warmups);
    }
    gateway.set_table(Table::new(configuration));
    gateway.want_tokens();
    ready_if_complete(control);
}

/// The instance is ready once it knows the configuration, what its former process may have spent, and which requests are
/// quarantined.
pub(super) fn ready_if_complete(control: &Control) {
    let gateway = &control.gateway;
    let complete = {
        let state = gateway.state();
        gateway.table().is_some() && state.quota.is_adopted() && state.quarantine.is_loaded()
    };
    if complete && gateway.advance(Stage::Ready) {
        log_event!(Event::Ready, "instance={}", gateway.settings.name);
    }
}

/// Follows the backend servers.
pub(super) async fn servers(control: &Control) {
    loop {
        let read = control.source.servers();
        let Ok(news) = control.call("servers", CALL, read).await else {
            tokio::time::sleep(PAUSE).await;
            continue;
        };
        let mut outbox = Outbox::default();
        outbox.restart(news.version);
        control.gateway.state().cursor.advance(news.version);
        list(control, news);
        let reread_at = Instant::now() + reread(control);
        while Instant::now() < reread_at {
            tokio::time::sleep(pause(control)).await;
            if is_fed(control) {
                continue;
            }
            if follow_feed(control, &mut outbox).await.is_err() {
                break;
            }
        }
        if !control.gateway.is_store_up() {
            tokio::time::sleep(PAUSE).await;
        }
    }
}

/// Reads the next changes, and passes on those that others wait for.
async fn follow_feed(control: &Control, outbox: &mut Outbox) -> Result<(), Error> {
    let gateway = &control.gateway;
    let version = gateway.state().cursor.version();
    let changes = control.source.servers_after(version, WAIT);
    let news = control.call("servers_after", WAIT_LIMIT, changes).await?;
    let mut rows = Vec::new();
    for change in news.content {
        // Row by row: one server may come and go within one reading.
        let now_ms = gateway.now_ms();
        if gateway.state().registry.is_change(&change, now_ms) {
            rows.push(change.clone());
        }
        follow(control, change);
    }
    let now_ms = gateway.now_ms();
    outbox.add(rows, version, version.max(news.version), now_ms);
    {
        let mut state = gateway.state();
        state.cursor.advance(news.version);
        if !state.directory.is_reader(&gateway.settings.name) {
            // It reads for itself alone, until readers are heard again.
            return Ok(());
        }
    }
    let configuration = gateway.table().map(|table| table.configuration().version);
    let name = gateway.settings.name.clone();
    let evacuations = gateway.state().registry.zones().orders();
    let configuration = configuration.unwrap_or_default();
    let digest = outbox.digest(name, news.now_ms, configuration, evacuations);
    // Where the last ones have not been sent yet this one is not needed.
    let _ = control.digests.0.try_send(digest);
    Ok(())
}

/// Takes what a reader tells.
pub(super) fn receive_digest(control: &Control, digest: Digest) {
    let gateway = &control.gateway;
    let now_ms = gateway.now_ms();
    // Each order stands for itself, also in a digest that is late or follows a lost one.
    evacuate(control, digest.evacuations.clone());
    {
        let mut state = gateway.state();
        let store_ms = state.quota.store_time(now_ms);
        if !state.cursor.apply(&digest, store_ms, now_ms) {
            return;
        }
    }
    for row in digest.rows {
        follow(control, row);
    }
}

/// Whether others read the list for this instance.
fn is_fed(control: &Control) -> bool {
    let gateway = &control.gateway;
    let now_ms = gateway.now_ms();
    let state = gateway.state();
    !state.directory.is_reader(&gateway.settings.name) && state.cursor.is_following(now_ms)
}

/// Time after which the whole list is read again: so rarely that it stays within the bytes that an instance may read.
fn reread(control: &Control) -> Duration {
    let gateway = &control.gateway;
    let state = gateway.state();
    let bytes_s = match state.directory.readers(&gateway.settings.zone).is_empty() {
        true => f64::INFINITY,
        false if state.directory.is_reader(&gateway.settings.name) => READER_BYTES_S,
        false => FOLLOWER_BYTES_S,
    };
    let bytes = state.registry.count() as f64 * ROW_BYTES;
    REREAD.max(Duration::from_secs_f64(bytes / bytes_s))
}

/// Time between two looks for changes. Where all instances read, a larger fleet asks less often, so that all of them together
/// stay within a quarter of the store's readings.
fn pause(control: &Control) -> Duration {
    let state = control.gateway.state();
    let settings = &control.gateway.settings;
    if !state.directory.readers(&settings.zone).is_empty() {
        return SERVERS_PAUSE;
    }
    let instances = state.directory.count() as f64;
    let share = instances / (settings.reads * 0.25);
    SERVERS_PAUSE.max(Duration::from_secs_f64(share))
}

fn list(control: &Control, news: News<Vec<Update>>) {
    let count = news.content.len();
    let now_ms = control.gateway.now_ms();
    let mut guard = control.gateway.state();
    let state = &mut *guard;
    let changed = state
        .registry
        .apply_snapshot(news.version, news.content, now_ms);
    state.health.retain(|id| state.registry.is_known(id));
    state.warmup.retain(|id| state.registry.is_cold(id, now_ms));
    log_event!(
        Event::ServerListed,
        "servers={count} version={} changed={}",
        news.version,
        changed.len()
    );
    log_unreadable_rows(&changed);
    let ended = forget_ended(state);
    drop(guard);
    conclude_ended(control, ended);
}

fn follow(control: &Control, movement: Update) {
    let id = movement.id.clone();
    let version = movement.version;
    let now_ms = control.gateway.now_ms();
    let mut state = control.gateway.state();
    let was_ready = state.registry.is_ready(&id, now_ms);
    if !state.registry.apply(movement.clone(), now_ms) {
        return;
    }
    let is_ready = state.registry.is_ready(&id, now_ms);
    log_unreadable_rows(&[movement]);
    if was_ready && !is_ready {
        log_event!(Event::ServerLeaving, "server={id} version={version}");
    } else if !was_ready && is_ready {
        log_event!(Event::ServerListed, "server={id} version={version}");
    }
    let ended = forget_ended(&mut state);
    drop(state);
    conclude_ended(control, ended);
}

/// Logs rows that name no server, once for each of their versions. One such row must not hide the others: it is passed over.
fn log_unreadable_rows(news: &[Update]) {
    for movement in news {
        let Change::Unreadable { reason } = &movement.change else {
            continue;
        };
        log_event!(
            Event::ServerUnreadable,
            "server={} version={} reason={}",
            movement.id,
            movement.version,
            reason.replace(' ', "_")
        );
    }
}

/// Forgets what was observed of servers that started again: they keep no prompt part, and their failures and times were
/// those of another process. Returns them, with the evidence where they have crashed.
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

/// Counts the crash of a delisted server unless it still accepts connections: a server that leaves without draining continues
/// serving for a while.
fn confirm_removed(control: &Control, server: Arc<Entry>) {
    let gateway = control.gateway.clone();
    tokio::spawn(async move {
        match upstream::reach(server.address, REACHED_WITHIN).await {
            Reach::Accepted => gateway.state().crashes.accepted(server.incarnation()),
            Reach::Refused | Reach::Silent => gateway.crashed(&server, Evidence::Removed),
        }
    });
}

/// Counts the crashes, and then tells the requests that were under way at these servers: they ask whether it was one.
fn conclude_ended(control: &Control, ended: Vec<(Arc<Entry>, Option<Evidence>)>) {
    if ended.is_empty() {
        return;
    }
    for (server, evidence) in ended {
        match evidence {
            Some(Evidence::Removed) => confirm_removed(control, server),
            Some(evidence) => control.gateway.crashed(&server, evidence),
            None => {}
        }
    }
    control.gateway.notify_ended();
}
