//! The HTTP interface for operators: live state and metrics. It does not accept callers' keys.

use std::sync::Arc;

use arc_swap::ArcSwap;
use bytes::Bytes;
use fescuewell_core::prelude::*;
use fescuewell_http::listener::{Handler, Head, Reply, Request};
use fescuewell_node::state::Summary;
use http::header::{AUTHORIZATION, CONTENT_TYPE, HeaderMap, HeaderValue};
use http::{Method, StatusCode};

use crate::metrics::Metrics;

/// Handler of the operators' listener.
pub struct Operator {
    /// The latest summary of the decision thread.
    pub summary: Arc<ArcSwap<Summary>>,
    /// Metrics of the instance.
    pub metrics: Arc<Metrics>,
    /// Hash of the operators' token; without a token, only loopback addresses are allowed.
    pub token_hash: Option<Arc<str>>,
}

impl Handler for Operator {
    /// No request here has a body.
    fn needs_body(&self, _head: &Head<'_>) -> bool {
        false
    }

    fn handle(&self, request: Request, reply: Reply) {
        if !self.is_allowed(&request) {
            return reply.refuse(&Refusal::new(Code::SignInRequired));
        }
        match (&request.method, &*request.path) {
            (&Method::GET, "/healthz") => send(reply, "text/plain", Bytes::from_static(b"ok\n")),
            (&Method::GET, "/v1/state") => {
                let body = serde_json::to_vec(&**self.summary.load()).unwrap_or_default();
                send(reply, "application/json", body.into());
            }
            (&Method::GET, "/metrics") => {
                send(
                    reply,
                    "text/plain; version=0.0.4",
                    self.metrics.text().into(),
                );
            }
            (_, "/healthz" | "/v1/state" | "/metrics") => {
                reply.refuse(&Refusal::new(Code::MethodNotAllowed));
            }
            _ => reply.refuse(&Refusal::new(Code::NoSuchPath)),
        }
    }
}

impl Operator {
    fn is_allowed(&self, request: &Request) -> bool {
        let Some(hash) = &self.token_hash else {
            return request.peer.ip().is_loopback();
        };
        let value = request.headers.get(AUTHORIZATION);
        let text = value
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default();
        let token = text.strip_prefix("Bearer ").unwrap_or_default();
        fescuewell_document::key::verify(token, hash)
    }
}

fn send(reply: Reply, content_type: &'static str, body: Bytes) {
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    reply.send(StatusCode::OK, headers, body);
}
