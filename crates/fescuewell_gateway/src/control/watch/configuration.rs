//! Watches the configuration and the operator's evacuation orders.

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use fescuewell_core::log_event;
use fescuewell_core::prelude::*;
use fescuewell_forward::config::{Change, Configuration, Table};
use fescuewell_forward::directory::Role;
use fescuewell_forward::evacuation::Order;
use fescuewell_forward::message::Message;
use fescuewell_forward::snapshot::{Snapshot, Subject};
use tokio::time::Instant;

use super::{REREAD_INTERVAL, WATCH_TIMEOUT, WATCH_WAIT, follows_readers};
use crate::control::{CALL_TIMEOUT, Control, RETRY_DELAY, snapshots};
use crate::gateway::Stage;
use crate::source::{InvalidConfiguration, OperatorState, Versioned};

/// Interval after which a follower, which is informed of newer versions by readers, rereads the
/// configuration.
const FOLLOWER_REREAD_INTERVAL: Duration = Duration::from_secs(20);
/// Time after a copy of the configuration within which the first digest must arrive.
const FIRST_DIGEST_TIME: Duration = Duration::from_secs(2);
/// Timeout of a read of the configuration whose response has begun: 4 MB at a third of a link of
/// 10 Mbit/s.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval at which a follower checks whether readers reported a newer configuration.
const FOLLOWER_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Where a configuration was obtained.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Origin {
    /// The store.
    Store,
    /// A snapshot of another instance.
    Instance,
    /// A change that another instance sent.
    Change,
}

impl Origin {
    fn name(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Instance => "instance",
            Self::Change => "change",
        }
    }
}

/// Watches the configuration.
///
/// A copy of a reader is used at the start, while digests arrive, and if a reader has reported a newer
/// version. Otherwise the reader may be cut off from the store, and its configuration is as old as
/// that.
pub(in crate::control) async fn configuration(control: &Control) {
    control.wait_for_members().await;
    let mut may_copy = true;
    loop {
        if may_copy && copy_configuration(control).await {
            follow(control).await;
        } else {
            watch_store(control).await;
        }
        may_copy = follows_readers(control) || control.gateway.state().lag.is_behind();
    }
}

/// Waits until a reader reports a newer configuration, the copy is old, or digests are missing.
async fn follow(control: &Control) {
    let copied_at = Instant::now();
    loop {
        tokio::time::sleep(FOLLOWER_POLL_INTERVAL).await;
        let is_followed = follows_readers(control);
        if !is_followed && copied_at.elapsed() >= FIRST_DIGEST_TIME {
            return;
        }
        if is_due(control, copied_at) && (is_followed || is_behind(control)) {
            return;
        }
    }
}

/// Reads the configuration from the store and watches it until it must be read again.
async fn watch_store(control: &Control) {
    let read = control.source.read_state(CALL_TIMEOUT);
    let Ok(response) = control.call("configuration", TRANSFER_TIMEOUT, read).await else {
        control
            .gateway
            .metrics
            .count_configuration(Origin::Store.name(), "failed");
        return tokio::time::sleep(RETRY_DELAY).await;
    };
    let mut version = response.version;
    apply_full(control, response);
    let read_at = Instant::now();
    while !is_due(control, read_at) {
        if follows_readers(control) {
            tokio::time::sleep(FOLLOWER_POLL_INTERVAL).await;
            continue;
        }
        let changes = control
            .source
            .watch_state(version, WATCH_WAIT, WATCH_TIMEOUT);
        match control
            .call("configuration_after", TRANSFER_TIMEOUT, changes)
            .await
        {
            Ok(response) => {
                version = version.max(response.version);
                apply_changes(control, response);
            }
            Err(_) => break,
        }
    }
    if !control.gateway.is_store_up() || is_behind(control) {
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Applies the configuration of a reader of the availability zone. Returns `false` if there is none,
/// or if it is older than one that a reader reported.
async fn copy_configuration(control: &Control) -> bool {
    let gateway = &control.gateway;
    let known = gateway.table();
    let (subject, patience) = match &known {
        Some(table) => (
            Subject::ConfigurationAfter(table.configuration().version),
            snapshots::Patience::Update,
        ),
        None => (Subject::Configuration, snapshots::Patience::Start),
    };
    let configuration = match snapshots::request(control, subject, patience).await {
        Some(Snapshot::Configuration(configuration)) => Some(configuration),
        Some(Snapshot::Changes(changes)) => known.and_then(|table| {
            let current = table.configuration().clone();
            let mut changes = changes.iter();
            changes.try_fold(current, |before, change| change.apply(&before))
        }),
        Some(Snapshot::Servers(_)) | None => None,
    };
    let Some(configuration) = configuration else {
        if control.role() != Role::Primary {
            gateway
                .metrics
                .count_configuration(Origin::Instance.name(), "failed");
        }
        return false;
    };
    if configuration.version < gateway.state().lag.reported() {
        gateway
            .metrics
            .count_configuration(Origin::Instance.name(), "older");
        return false;
    }
    apply_configuration(control, Some(configuration), Origin::Instance);
    true
}

/// Returns `true` if another instance reported a newer configuration than the one in force.
fn is_behind(control: &Control) -> bool {
    control.gateway.state().lag.is_behind()
}

/// Returns `true` if the full configuration must be reread: periodically, or because a reader
/// reported a newer version.
fn is_due(control: &Control, read_at: Instant) -> bool {
    let interval = match follows_readers(control) {
        true => FOLLOWER_REREAD_INTERVAL,
        false => REREAD_INTERVAL,
    };
    is_behind(control) || read_at.elapsed() >= interval
}

/// Applies a change that another instance sent. One that does not follow from the configuration in
/// force is requested together with those before it.
pub(in crate::control) fn receive_change(control: &Control, change: &Change) {
    let gateway = &control.gateway;
    let now_ms = gateway.now_ms();
    gateway.state().lag.report(change.to, now_ms);
    let Some(table) = gateway.table() else {
        return;
    };
    let next = change.apply(table.configuration());
    apply_configuration(control, next, Origin::Change);
}

/// Sends the latest change once more to the instances that this one informs.
pub(super) fn repeat_change(control: &Control) {
    let change = control.gateway.state().changes.take_repeat();
    if let Some(change) = change {
        control.broadcast(Message::Configuration(change));
    }
}

/// Sends the difference to a new configuration to the instances that this one informs.
fn broadcast_change(control: &Control, configuration: &Configuration) {
    let gateway = &control.gateway;
    let settings = &gateway.settings;
    let informs_others = {
        let state = gateway.state();
        let receivers = state
            .directory
            .digest_receivers(&settings.name, &settings.zone);
        !receivers.is_empty()
    };
    let table = gateway.table().filter(|_| informs_others);
    let change = table.and_then(|table| Change::between(table.configuration(), configuration));
    let mut state = gateway.state();
    let Some(change) = change else {
        state.changes.clear();
        return;
    };
    state.changes.push(change.clone());
    drop(state);
    control.broadcast(Message::Configuration(change));
}

/// Applies the full operator state.
fn apply_full(control: &Control, response: Versioned<OperatorState>) {
    let now_ms = control.gateway.now_ms();
    observe_clock(control, response.now_ms);
    apply_configuration(control, response.content.configuration, Origin::Store);
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
    apply_configuration(control, response.content.configuration, Origin::Store);
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

pub(super) fn evacuate(control: &Control, orders: Vec<Order>) {
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

fn apply_configuration(control: &Control, configuration: Option<Configuration>, origin: Origin) {
    let gateway = &control.gateway;
    let Some(mut configuration) = configuration else {
        return;
    };
    // The version never decreases, even if a read is stale.
    let known = gateway.table().map(|table| table.configuration().version);
    if known.is_some_and(|known| known >= configuration.version) {
        return;
    }
    configuration.normalize();
    broadcast_change(control, &configuration);
    let now_ms = gateway.now_ms();
    let behind_ms = gateway.state().lag.behind_ms(now_ms);
    gateway
        .metrics
        .count_configuration(origin.name(), "applied");
    log_event!(
        Event::DocumentInForce,
        "configuration={} before={} source={} behind_ms={behind_ms} routes={} services={} accounts={}",
        configuration.version,
        known.unwrap_or_default(),
        origin.name(),
        configuration.routes.len(),
        configuration.services.len(),
        configuration.accounts.len()
    );
    {
        let mut state = gateway.state();
        state.lag.apply(configuration.version);
        for account in &configuration.accounts {
            state.quota.set_prepaid(&account.name, account.prepaid);
        }
        let services = configuration.services.iter();
        let warmups = services.filter_map(|service| Some((service.name.clone(), service.warmup?)));
        state.registry.set_warmup_limits(warmups);
        let routes = configuration.routes.iter();
        let routes: HashSet<Arc<str>> = routes.map(|route| route.name.clone()).collect();
        state.drain.retain_routes(|route| routes.contains(route));
    }
    gateway.set_table(Table::new(configuration));
    gateway.sync_quota();
    advance_stage(control);
}

/// Marks the instance ready once it knows the configuration, the consumption of its previous
/// process and the quarantined requests.
pub(in crate::control) fn advance_stage(control: &Control) {
    let gateway = &control.gateway;
    let complete = {
        let state = gateway.state();
        gateway.table().is_some()
            && state.quota.is_adopted()
            && state.quarantine.is_loaded()
            && state.part_quarantine.is_loaded()
    };
    if complete && gateway.advance(Stage::Ready) {
        log_event!(Event::Ready, "instance={}", gateway.settings.name);
    }
}
