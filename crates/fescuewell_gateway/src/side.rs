//! The small questions beside the traffic: which addresses to use, whether this instance is ready, its metrics.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fescuewell_core::prelude::*;
use fescuewell_http::listener::{Handler, Reply, Request};
use http::header::{CONTENT_TYPE, HeaderValue};
use http::{HeaderMap, StatusCode};

use crate::gateway::Gateway;
use crate::refusal;

/// Path of the metrics, as scrapers expect it.
const METRICS_PATH: &str = "/metrics";

/// Time from the start after which an instance that could not read the list names itself.
const ALONE_AFTER: Duration = Duration::from_secs(5);

/// Answers them.
pub struct Side {
    gateway: Arc<Gateway>,
}

impl Side {
    /// A handler for the listeners beside the traffic.
    pub fn new(gateway: Arc<Gateway>) -> Self {
        Self { gateway }
    }

    fn ready(&self, reply: Reply) {
        if self.gateway.takes_callers() {
            reply.whole(StatusCode::OK, HeaderMap::new(), Bytes::new());
            return;
        }
        refusal::answer(reply, Code::NotReady, None, false);
    }

    fn addresses(&self, reply: Reply) {
        // An instance that knows no other yet would name itself alone, and callers of its zone would all come to it and
        // keep that answer while its link is too full for a new one. They ask another instance meanwhile.
        let is_read = self.gateway.state().directory.is_loaded();
        let alone = is_read || self.gateway.uptime() > ALONE_AFTER;
        let own = self.gateway.is_ready() && alone;
        let own = own.then_some(self.gateway.settings.front);
        let draw = self.gateway.draw();
        let addresses = self.gateway.state().directory.addresses(own, draw);
        if addresses.is_empty() {
            refusal::answer(reply, Code::NotReady, None, false);
            return;
        }
        let keep = self.gateway.settings.keep_addresses;
        let body = self.gateway.dialect.addresses(&addresses, keep);
        let mut headers = HeaderMap::new();
        if let Ok(kind) = HeaderValue::from_str(self.gateway.dialect.content_type()) {
            headers.insert(CONTENT_TYPE, kind);
        }
        reply.whole(StatusCode::OK, headers, body);
    }
}

impl Handler for Side {
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
            reply.whole(StatusCode::OK, HeaderMap::new(), text);
            return;
        }
        refusal::answer(reply, Code::NoSuchPath, None, false);
    }
}
