//! HTTP handler of the auxiliary listeners: readiness, the address list for callers, and metrics.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fescuewell_core::prelude::*;
use fescuewell_http::listener::{Handler, Head, Reply, Request};
use http::header::{CONTENT_TYPE, HeaderValue};
use http::{HeaderMap, StatusCode};

use crate::gateway::Gateway;
use crate::refusal;

/// Path of the metrics, as scrapers expect it.
const METRICS_PATH: &str = "/metrics";

/// Time after the start from which an instance that could not read the member list returns only its
/// own address.
const SELF_LIST_DELAY: Duration = Duration::from_secs(5);

/// Serves the requests of the auxiliary listeners.
pub struct AuxiliaryHandler {
    gateway: Arc<Gateway>,
}

impl AuxiliaryHandler {
    /// Creates a handler.
    pub fn new(gateway: Arc<Gateway>) -> Self {
        Self { gateway }
    }

    fn ready(&self, reply: Reply) {
        if self.gateway.reports_ready() {
            reply.send(StatusCode::OK, HeaderMap::new(), Bytes::new());
            return;
        }
        refusal::send(reply, Code::NotReady, None, false);
    }

    fn addresses(&self, reply: Reply) {
        // An instance that does not know the other members yet would return only itself. All
        // callers of its zone would then connect to it and cache that list while its link has no
        // capacity left for a new response. An error makes them ask another instance.
        let is_loaded = self.gateway.state().directory.is_loaded();
        let may_list_self = is_loaded || self.gateway.uptime() > SELF_LIST_DELAY;
        let own = self.gateway.is_ready() && may_list_self;
        let own = own.then_some(self.gateway.settings.front);
        let random = self.gateway.random_u64();
        let addresses = self.gateway.state().directory.addresses(own, random);
        if addresses.is_empty() {
            refusal::send(reply, Code::NotReady, None, false);
            return;
        }
        let ttl = self.gateway.settings.address_ttl;
        let body = self.gateway.dialect.addresses_body(&addresses, ttl);
        let mut headers = HeaderMap::new();
        if let Ok(kind) = HeaderValue::from_str(self.gateway.dialect.addresses_content_type()) {
            headers.insert(CONTENT_TYPE, kind);
        }
        reply.send(StatusCode::OK, headers, body);
    }
}

impl Handler for AuxiliaryHandler {
    /// No request here has a body.
    fn needs_body(&self, _head: &Head<'_>) -> bool {
        false
    }

    fn handle(&self, request: Request, reply: Reply) {
        let dialect = &self.gateway.dialect;
        if &*request.path == dialect.ready_path() {
            self.ready(reply);
            return;
        }
        if &*request.path == dialect.directory_path() {
            self.addresses(reply);
            return;
        }
        if &*request.path == METRICS_PATH {
            let text = Bytes::from(self.gateway.metrics.text());
            reply.send(StatusCode::OK, HeaderMap::new(), text);
            return;
        }
        refusal::send(reply, Code::NoSuchPath, None, false);
    }
}
