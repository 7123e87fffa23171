//! Applies the server list and its changes, and what follows for servers that have ended.

use std::sync::Arc;
use std::time::Duration;

use fescuewell_core::log_event;
use fescuewell_core::prelude::*;
use fescuewell_forward::crash::Evidence;
use fescuewell_forward::server::{Change, Entry, Registry, Update};
use fescuewell_http::upstream::{self, Reachability};

use crate::control::Control;
use crate::gateway::State;
use crate::source::Versioned;

/// Maximum number of servers that are logged one by one. Thousands register when a fleet starts.
const MAX_LOGGED_SERVERS: usize = 4;
/// Timeout for connecting to a delisted server.
const REACH_TIMEOUT: Duration = Duration::from_millis(300);

/// Applies the whole list.
pub(super) fn apply_list(control: &Control, response: Versioned<Vec<Update>>) {
    let count = response.content.len();
    let now_ms = control.gateway.now_ms();
    let mut guard = control.gateway.state();
    let state = &mut *guard;
    for row in &response.content {
        log_unreadable_row(&state.registry, row);
    }
    let changed = state
        .registry
        .apply_snapshot(response.version, response.content, now_ms);
    state.health.retain(|id| state.registry.is_known(id));
    state.warmup.retain(|id| state.registry.is_cold(id, now_ms));
    let now = state.moment(now_ms);
    state.conditions.expire(now);
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
pub(super) fn apply_rows(control: &Control, rows: Vec<Update>) -> bool {
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
    log_servers(&state.registry, Event::ServerListed, &listed);
    log_servers(&state.registry, Event::ServerLeaving, &leaving);
    let ended = forget_ended(&mut state);
    drop(state);
    handle_ended(control, ended);
    has_changes
}

/// Logs a line for each server, or one line for many of them.
fn log_servers(registry: &Registry, event: Event, servers: &[(Arc<str>, u64)]) {
    if servers.len() > MAX_LOGGED_SERVERS {
        let version = servers.iter().map(|(_, version)| *version).max();
        let version = version.unwrap_or_default();
        log_event!(event, "servers={} version={version}", servers.len());
        return;
    }
    for (id, version) in servers {
        let software = registry.entry(id).map_or("-", |entry| entry.software());
        log_event!(event, "server={id} version={version} software={software}");
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
        state.conditions.forget(id);
        state.load.forget(id);
        state.server_paths.forget(&former);
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
            _ if gateway.state().has_lost_path(&server) => {}
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
