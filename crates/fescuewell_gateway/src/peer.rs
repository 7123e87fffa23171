//! HTTP handler for the requests of other instances.

use std::sync::Arc;

use fescuewell_core::prelude::*;
use fescuewell_http::listener::{Handler, Head, Reply, Request};

use crate::gateway::Gateway;
use crate::hop::{self, HopHandler};
use crate::refusal;
use crate::snapshot::{self, SnapshotHandler};

/// Dispatches the requests of other instances by their path.
pub struct PeerHandler {
    snapshots: SnapshotHandler,
    hops: HopHandler,
}

impl PeerHandler {
    /// Creates a handler.
    pub fn new(gateway: Arc<Gateway>) -> Self {
        Self {
            snapshots: SnapshotHandler::new(gateway.clone()),
            hops: HopHandler::new(gateway),
        }
    }
}

impl Handler for PeerHandler {
    fn needs_body(&self, head: &Head<'_>) -> bool {
        matches!(head.uri.path(), hop::PATH | snapshot::PATH)
    }

    fn handle(&self, request: Request, reply: Reply) {
        match &*request.path {
            snapshot::PATH => self.snapshots.handle(request, reply),
            hop::PATH => self.hops.handle(request, reply),
            _ => refusal::send(reply, Code::NoSuchPath, None, false),
        }
    }
}
