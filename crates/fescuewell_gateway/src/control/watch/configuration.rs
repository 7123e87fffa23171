//! Watches the configuration and the operator's evacuation orders.

use std::sync::atomic::Ordering;
use std::time::Duration;

use fescuewell_core::log_event;
use fescuewell_core::prelude::*;
use fescuewell_forward::config::{Configuration, Table};
use fescuewell_forward::directory::Role;
use fescuewell_forward::evacuation::Order;
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
/// Interval at which a follower checks whether readers reported a newer configuration.
const FOLLOWER_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Where a configuration was obtained.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Origin {
    /// The store.
    Store,
    /// Another instance.
    Instance,
}

impl Origin {
    fn name(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Instance => "instance",
        }
    }
}

/// Watches the configuration.
///
/// A copy of a reader is used at the start and while digests arrive. Otherwise the reader may be cut
/// off from the store, and its configuration is as old as that.
pub(in crate::control) async fn configuration(control: &Control) {
    control.wait_for_members().await;
    let mut may_copy = true;
    loop {
        if may_copy && copy_configuration(control).await {
            follow(control).await;
        } else {
            watch_store(control).await;
        }
        may_copy = follows_readers(control);
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
        if is_followed && is_due(control, copied_at, 0) {
            return;
        }
    }
}

/// Reads the configuration from the store and watches it until it must be read again.
async fn watch_store(control: &Control) {
    let read = control.source.read_state();
    let Ok(response) = control.call("configuration", CALL_TIMEOUT, read).await else {
        control
            .gateway
            .metrics
            .count_configuration(Origin::Store.name(), "failed");
        return tokio::time::sleep(RETRY_DELAY).await;
    };
    let mut version = response.version;
    apply_full(control, response);
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

/// Applies the configuration of a reader of the availability zone. Returns `false` if there is none,
/// or if it is older than one that a reader reported.
async fn copy_configuration(control: &Control) -> bool {
    let snapshot =
        snapshots::request(control, Subject::Configuration, snapshots::Patience::Start).await;
    let gateway = &control.gateway;
    let Some(Snapshot::Configuration(configuration)) = snapshot else {
        if control.role() != Role::Primary {
            gateway
                .metrics
                .count_configuration(Origin::Instance.name(), "failed");
        }
        return false;
    };
    if configuration.version < gateway.state().cursor.configuration_version() {
        gateway
            .metrics
            .count_configuration(Origin::Instance.name(), "older");
        return false;
    }
    apply_configuration(control, Some(configuration), Origin::Instance);
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
    let Some(configuration) = configuration else {
        return;
    };
    // The version never decreases, even if a read is stale.
    let known = gateway.table().map(|table| table.configuration().version);
    if known.is_some_and(|known| known >= configuration.version) {
        return;
    }
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
        gateway.table().is_some() && state.quota.is_adopted() && state.quarantine.is_loaded()
    };
    if complete && gateway.advance(Stage::Ready) {
        log_event!(Event::Ready, "instance={}", gateway.settings.name);
    }
}
