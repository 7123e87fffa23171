//! Finds out which backend servers this instance does not reach while another one does.

use std::sync::Arc;
use std::time::Duration;

use fescuewell_core::log_event;
use fescuewell_core::prelude::*;
use fescuewell_forward::choice::{MAX_SUBSET_SIZE, hash};
use fescuewell_forward::server::Entry;
use fescuewell_http::listener::spawn;
use fescuewell_http::upstream::Reachability;
use rand::seq::IndexedRandom;
use tokio::task::JoinSet;

use super::super::Gateway;
use super::{PROBE_INTERVAL, PROBE_TIMEOUT};

/// Number of other instances that are asked whether they reach a server.
const ASKED: usize = 3;
/// Maximum time that a request waits for the check of a server.
const CHECK_TIMEOUT: Duration = Duration::from_millis(700);
/// Delay before a server that refused a connection is probed again.
const SECOND_PROBE_DELAY: Duration = Duration::from_millis(50);
/// Maximum number of servers that are probed at a time.
const MAX_PROBED: usize = 32;

impl Gateway {
    /// Checks the path to a server to which a new connection failed, or that has not responded for some
    /// time. Must be called inside a listener's runtime.
    pub(crate) fn check_server(self: &Arc<Self>, server: &Arc<Entry>) {
        let now_ms = self.now_ms();
        if self.state().server_paths.begin_check(server, now_ms) {
            spawn(check(self.clone(), server.clone()));
        }
    }

    /// Waits until no check of a server is in progress. Returns `true` if the path to it is lost.
    pub(crate) async fn server_checked(&self, server: &Entry) -> bool {
        let mut changes = self.path_changes.subscribe();
        let checked = async {
            while self.state().server_paths.is_checking(server) {
                if changes.changed().await.is_err() {
                    return;
                }
            }
        };
        let _ = tokio::time::timeout(CHECK_TIMEOUT, checked).await;
        self.state().server_paths.is_lost(server)
    }

    /// Returns `true` if another instance reaches a server.
    async fn is_reached_elsewhere(self: &Arc<Self>, server: &Arc<Entry>) -> bool {
        let mut questions = JoinSet::new();
        for peer in self.random_senders(ASKED) {
            let (gateway, servers) = (self.clone(), vec![server.clone()]);
            questions.spawn(async move { gateway.ask_reached(&servers, peer.address).await });
        }
        while let Some(reached) = questions.join_next().await {
            if reached.unwrap_or(0) > 0 {
                return true;
            }
        }
        false
    }

    async fn reach(&self, server: &Entry) -> Reachability {
        self.client.probe(server.address, PROBE_TIMEOUT).await
    }

    /// Returns the other servers among which requests of this instance choose.
    fn used_servers(&self, server: &Entry) -> Vec<Arc<Entry>> {
        let now_ms = self.now_ms();
        let state = self.state();
        let key = hash(&self.settings.name);
        let mut used = Vec::new();
        for service in state.registry.services() {
            let subset = state.registry.subset(service, key, MAX_SUBSET_SIZE, now_ms);
            used.extend(subset.into_iter().cloned());
        }
        used.retain(|used| used.id != server.id);
        used.truncate(MAX_SUBSET_SIZE);
        used
    }
}

/// Finds out whether this instance or another one reaches a server. If only another one does, checks the
/// other servers as well: each that is out of reach would cost a request a timeout.
async fn check(gateway: Arc<Gateway>, server: Arc<Entry>) {
    if !check_one(&gateway, &server).await {
        return;
    }
    for other in gateway.used_servers(&server) {
        let now_ms = gateway.now_ms();
        if gateway.state().server_paths.begin_check(&other, now_ms) {
            let gateway = gateway.clone();
            spawn(async move {
                check_one(&gateway, &other).await;
            });
        }
    }
    restore(gateway).await;
}

/// Checks a server. Returns `true` if the path to it is lost, and to no other server was before.
async fn check_one(gateway: &Arc<Gateway>, server: &Arc<Entry>) -> bool {
    let (mut reachability, mut is_reached_elsewhere) =
        tokio::join!(gateway.reach(server), gateway.is_reached_elsewhere(server));
    if reachability == Reachability::Refused && is_reached_elsewhere {
        // A server that crashes may accept a connection of another instance just before, or start again
        // just after.
        tokio::time::sleep(SECOND_PROBE_DELAY).await;
        (reachability, is_reached_elsewhere) =
            tokio::join!(gateway.reach(server), gateway.is_reached_elsewhere(server));
    }
    let is_reached = reachability == Reachability::Accepted;
    let now_ms = gateway.now_ms();
    let (is_lost, is_first, is_path_suspect) = {
        let mut state = gateway.state();
        // Without a path to any server, all requests are sent by others already.
        let is_lost = !is_reached && is_reached_elsewhere && !state.path.is_lost();
        let is_first = state.server_paths.count() == 0;
        if state.server_paths.end_check(server, is_lost, now_ms) {
            // The recorded failures were caused by the path, not by the server.
            state.health.forget(&server.id);
        }
        let listed = state.registry.count();
        let is_path_suspect = is_lost && state.path.connection_failed(&server.id, listed, now_ms);
        (is_lost, is_first, is_path_suspect)
    };
    if is_path_suspect {
        spawn(super::check(gateway.clone()));
    }
    if is_lost {
        log_event!(
            Event::ServerPathLost,
            "server={} service={}",
            server.id,
            server.service
        );
        // Connections on which nothing arrives any more look like idle ones.
        gateway.client.close_idle(server.address);
    }
    gateway.path_changes.send_modify(|count| *count += 1);
    is_lost && is_first
}

/// Probes the servers to which the path is lost until it is back to all of them.
async fn restore(gateway: Arc<Gateway>) {
    loop {
        tokio::time::sleep(PROBE_INTERVAL).await;
        let servers: Vec<Arc<Entry>> = {
            let mut guard = gateway.state();
            let state = &mut *guard;
            let lost: Vec<Arc<Entry>> = state.server_paths.lost().cloned().collect();
            let chosen = lost.choose_multiple(&mut state.rng, MAX_PROBED);
            chosen.cloned().collect()
        };
        if servers.is_empty() {
            return;
        }
        let mut probes = JoinSet::new();
        for server in servers {
            let gateway = gateway.clone();
            probes.spawn(async move {
                let is_reached = gateway.reach(&server).await == Reachability::Accepted;
                (server, is_reached)
            });
        }
        while let Some(probe) = probes.join_next().await {
            let Ok((server, is_reached)) = probe else {
                continue;
            };
            let now_ms = gateway.now_ms();
            let is_back = {
                let mut state = gateway.state();
                state.server_paths.probed(&server, is_reached, now_ms)
            };
            if is_back {
                log_event!(
                    Event::ServerPathRestored,
                    "server={} service={}",
                    server.id,
                    server.service
                );
            }
        }
    }
}
