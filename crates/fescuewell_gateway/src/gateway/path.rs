//! Finds out whether this instance reaches the backend servers by itself.

mod servers;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use fescuewell_core::log_event;
use fescuewell_core::prelude::*;
use fescuewell_forward::hop::{MAX_ATTEMPTS, MAX_PROBED};
use fescuewell_forward::path::Check;
use fescuewell_forward::server::Entry;
use fescuewell_http::listener::spawn;
use fescuewell_http::upstream::Reachability;
use rand::seq::SliceRandom;
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::Gateway;

/// Timeout of a connection to a server that is probed.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval between two probes while the path is lost.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);
/// Number of servers that are probed at a time while the path is lost.
const PROBED_SERVERS: usize = 3;
/// Maximum time that a request waits for a check: probes of this instance, then of another one.
const CHECK_TIMEOUT: Duration = Duration::from_millis(1_000);

impl Gateway {
    /// Records that a new connection to a server failed, which may start a check. Must be called
    /// inside a listener's runtime.
    pub(crate) fn record_connect_failure(self: &Arc<Self>, server: &Arc<Entry>) {
        self.check_server(server);
        let now_ms = self.now_ms();
        let is_due = {
            let mut state = self.state();
            let listed = state.registry.count();
            state.path.connection_failed(&server.id, listed, now_ms)
        };
        if is_due {
            spawn(check(self.clone()));
        }
    }

    /// Records that a server has not responded to a request for some time, which may start a check.
    /// Must be called inside a listener's runtime.
    pub(crate) fn record_silence(self: &Arc<Self>, server: &Arc<Entry>) {
        self.check_server(server);
        let now_ms = self.now_ms();
        let is_due = {
            let mut state = self.state();
            let listed = state.registry.count();
            state.path.server_silent(&server.id, listed, now_ms)
        };
        if is_due {
            spawn(check(self.clone()));
        }
    }

    /// Waits until no check is in progress.
    pub(crate) async fn path_checked(&self) {
        let mut changes = self.path_changes.subscribe();
        let checked = async {
            while self.state().path.is_checking() {
                if changes.changed().await.is_err() {
                    return;
                }
            }
        };
        let _ = tokio::time::timeout(CHECK_TIMEOUT, checked).await;
    }

    /// Receives a value whenever a path was checked or is back.
    pub(crate) fn path_changes(&self) -> watch::Receiver<u64> {
        self.path_changes.subscribe()
    }

    /// Returns `true` if the connection that a server refused is evidence against the server: this
    /// instance reaches others, and no other instance reaches this one. Must be called inside a listener's
    /// runtime.
    pub(crate) async fn confirm_refusal(self: &Arc<Self>, server: &Arc<Entry>) -> bool {
        self.check_server(server);
        let now_ms = self.now_ms();
        if self.state().path.begin_check(now_ms) {
            spawn(check(self.clone()));
        }
        self.path_checked().await;
        let is_server_lost = self.server_checked(server).await;
        !self.state().path.is_lost() && !is_server_lost
    }

    /// Connects to servers and returns how many accepted the connection.
    pub(crate) async fn probe_servers(self: &Arc<Self>, servers: Vec<Arc<Entry>>) -> usize {
        let mut reached = 0;
        let mut probes = self.begin_probes(servers);
        while let Some(result) = probes.join_next().await {
            reached += usize::from(result.unwrap_or(false));
        }
        reached
    }

    /// Returns `true` as soon as one of some servers accepts a connection.
    async fn reaches_any(self: &Arc<Self>, servers: Vec<Arc<Entry>>) -> bool {
        let mut probes = self.begin_probes(servers);
        while let Some(result) = probes.join_next().await {
            if result.unwrap_or(false) {
                return true;
            }
        }
        false
    }

    fn begin_probes(self: &Arc<Self>, servers: Vec<Arc<Entry>>) -> JoinSet<bool> {
        let mut probes = JoinSet::new();
        for server in servers {
            let gateway = self.clone();
            probes.spawn(async move {
                let probe = gateway.client.probe(server.address, PROBE_TIMEOUT);
                probe.await == Reachability::Accepted
            });
        }
        probes
    }

    /// Asks some other instances whether they reach one of some servers.
    async fn is_reached_by_other(self: &Arc<Self>, servers: &[Arc<Entry>]) -> bool {
        let mut questions = JoinSet::new();
        for peer in self.random_senders(MAX_ATTEMPTS) {
            let (gateway, servers) = (self.clone(), servers.to_vec());
            questions.spawn(async move { gateway.ask_reached(&servers, peer.address).await });
        }
        while let Some(reached) = questions.join_next().await {
            if reached.unwrap_or(0) > 0 {
                return true;
            }
        }
        false
    }

    /// Returns random ready servers of as many services as possible.
    fn sample_servers(&self, count: usize) -> Vec<Arc<Entry>> {
        let now_ms = self.now_ms();
        let mut state = self.state();
        let state = &mut *state;
        let mut services: HashMap<Arc<str>, Vec<Arc<Entry>>> = HashMap::new();
        for entry in state.registry.entries() {
            if state.registry.is_ready(&entry.id, now_ms) {
                let servers = services.entry(entry.service.clone()).or_default();
                servers.push(entry.clone());
            }
        }
        let mut services: Vec<Vec<Arc<Entry>>> = services.into_values().collect();
        services.shuffle(&mut state.rng);
        for servers in &mut services {
            servers.shuffle(&mut state.rng);
        }
        let mut sample = Vec::with_capacity(count);
        while sample.len() < count && services.iter().any(|servers| !servers.is_empty()) {
            sample.extend(services.iter_mut().filter_map(Vec::pop));
        }
        sample.truncate(count);
        sample
    }
}

/// Finds out whether this instance or another one reaches a server.
async fn check(gateway: Arc<Gateway>) {
    let servers = gateway.sample_servers(MAX_PROBED);
    let is_reached = servers.is_empty() || gateway.reaches_any(servers.clone()).await;
    let is_reached_by_other = !is_reached && gateway.is_reached_by_other(&servers).await;
    let outcome = Check {
        is_reached,
        is_reached_by_other,
    };
    let now_ms = gateway.now_ms();
    let is_lost = {
        let mut state = gateway.state();
        let is_lost = state.path.end_check(outcome, now_ms);
        if is_lost {
            // The recorded failures were caused by the path, not by the servers.
            state.health.clear();
            state.server_paths.clear();
        }
        is_lost
    };
    let event = match is_lost {
        true => Event::PathLost,
        false => Event::PathChecked,
    };
    log_event!(
        event,
        "instance={} probed={} reached={is_reached} reached_by_other={is_reached_by_other}",
        gateway.settings.name,
        servers.len()
    );
    gateway.path_changes.send_modify(|count| *count += 1);
    if is_lost {
        // Connections on which nothing arrives any more look like idle ones.
        gateway.client.close_all_idle();
        restore(&gateway).await;
    }
}

/// Probes servers until this instance reaches them again.
async fn restore(gateway: &Arc<Gateway>) {
    loop {
        tokio::time::sleep(PROBE_INTERVAL).await;
        let servers = gateway.sample_servers(PROBED_SERVERS);
        let probed = servers.len();
        let reached = gateway.probe_servers(servers).await;
        let now_ms = gateway.now_ms();
        let is_back = gateway.state().path.probed(reached, probed, now_ms);
        if is_back {
            log_event!(
                Event::PathRestored,
                "instance={} probed={probed} reached={reached}",
                gateway.settings.name
            );
            return;
        }
    }
}
