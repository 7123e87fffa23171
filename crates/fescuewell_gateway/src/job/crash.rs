//! What a broken connection to a backend server shows: a crash of the server, or a lost connection.

use std::time::Duration;

use fescuewell_forward::crash::{Content, Evidence, Finding, Fingerprint};
use fescuewell_http::listener::spawn;
use fescuewell_http::upstream::Reach;

use super::{Job, Place};
use crate::header;

/// Time for finding out whether a server still accepts connections.
const PROBE: Duration = Duration::from_millis(300);

impl Job {
    /// Identity of the request over all of its tries.
    pub(super) fn identify(&self) -> Fingerprint {
        let account = self.tenant.as_ref().map_or("", |tenant| &tenant.name);
        let target = self.target.path_and_query();
        Fingerprint::new(&Content {
            account,
            method: self.method.as_str(),
            host: header::host(&self.headers),
            target: target.map_or("", |target| target.as_str()),
            body: &self.body,
        })
    }

    /// The connection to a server broke, or the server stayed silent, while it may have been running the request.
    pub(crate) fn broke(&self, place: &Place, is_broken: bool) {
        let gateway = &self.gateway;
        let server = place.server.clone();
        let now_ms = gateway.now_ms();
        let finding = {
            let mut state = gateway.state();
            let is_sound = state.registry.is_ready(&server.id, now_ms);
            if !is_sound || state.registry.is_reborn(&server) {
                // Servers that leave close their connections; a restart is found by the list.
                return;
            }
            state.crashes.broke(&server, self.fingerprint, now_ms)
        };
        if !is_broken || finding != (Finding::Doubted { is_first: true }) {
            return;
        }
        // A task of its own: the caller may leave before the finding, which concerns others too.
        let gateway = gateway.clone();
        spawn(async move {
            match gateway.client.probe(server.address, PROBE).await {
                Reach::Refused => gateway.crashed(&server, Evidence::Refused),
                Reach::Accepted => gateway.state().crashes.accepted(server.incarnation()),
                // The list may still tell.
                Reach::Silent => {}
            }
        });
    }
}
