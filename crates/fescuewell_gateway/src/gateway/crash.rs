//! Crashes of backend servers, as far as this instance can tell.

use fescuewell_core::log_event;
use fescuewell_core::prelude::*;
use fescuewell_forward::crash::{Evidence, Fingerprint};
use fescuewell_forward::server::Entry;

use super::Gateway;

/// Most requests that one log line names.
const MOST_NAMED: usize = 8;

impl Gateway {
    /// A backend server has crashed.
    pub fn crashed(&self, server: &Entry, evidence: Evidence) {
        let now_ms = self.now_ms();
        let requests = self.state().crashes.crashed(server.incarnation(), now_ms);
        self.metrics.server_crashed(&server.service);
        log_event!(
            Event::ServerCrashed,
            "server={} service={} evidence={evidence:?} count={} fingerprints={}",
            server.id,
            server.service,
            requests.len(),
            named(&requests)
        );
    }
}

fn named(requests: &[Fingerprint]) -> String {
    let named = requests.iter().take(MOST_NAMED);
    let named: Vec<String> = named.map(Fingerprint::to_string).collect();
    named.join(",")
}
