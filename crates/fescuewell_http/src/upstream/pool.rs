//! The pool of idle connections.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use tokio::task::AbortHandle;

use super::gate::{ReadMeter, WriteGate};

/// An open connection. Dropping it closes the socket immediately and cancels any exchange in progress.
pub(super) struct Connection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    gate: Arc<WriteGate>,
    meter: Arc<ReadMeter>,
    driver: AbortHandle,
}

impl Connection {
    pub(super) fn new(
        address: SocketAddr,
        sender: SendRequest<Full<Bytes>>,
        gate: Arc<WriteGate>,
        meter: Arc<ReadMeter>,
        driver: AbortHandle,
    ) -> Self {
        Self {
            address,
            sender,
            gate,
            meter,
            driver,
        }
    }

    pub(super) fn gate(&self) -> &WriteGate {
        &self.gate
    }

    pub(super) fn meter(&self) -> &ReadMeter {
        &self.meter
    }

    pub(super) async fn send(
        &mut self,
        request: http::Request<Full<Bytes>>,
    ) -> hyper::Result<http::Response<Incoming>> {
        // A pooled connection may still be completing its last exchange.
        self.sender.ready().await?;
        self.meter.record_progress();
        self.sender.send_request(request).await
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.gate.close();
        self.driver.abort();
    }
}

struct Idle {
    connection: Connection,
    since: Instant,
}

/// Idle connections by address.
#[derive(Default)]
pub(super) struct Pool(Mutex<HashMap<SocketAddr, Vec<Idle>>>);

impl Pool {
    fn idle(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<Idle>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes the most recently used connection to `address` that is open and has been idle for at most `max_idle_time`.
    pub(super) fn take(&self, address: SocketAddr, max_idle_time: Duration) -> Option<Connection> {
        let mut idle = self.idle();
        let connections = idle.get_mut(&address)?;
        // Connections are ordered by idle time, longest first.
        let expired = connections
            .iter()
            .take_while(|idle| idle.since.elapsed() > max_idle_time);
        let expired = expired.count();
        connections.drain(..expired);
        while let Some(last) = connections.pop() {
            if !last.connection.sender.is_closed() {
                return Some(last.connection);
            }
        }
        idle.remove(&address);
        None
    }

    /// Stores a connection whose exchange completed in time, unless it is closed or `max_idle` are stored
    /// for its address.
    pub(super) fn put(&self, connection: Connection, max_idle: usize) {
        let mut idle = self.idle();
        let connections = idle.entry(connection.address).or_default();
        if connections.len() >= max_idle || connection.sender.is_closed() {
            return;
        }
        let since = Instant::now();
        connections.push(Idle { connection, since });
    }

    pub(super) fn close_all_idle(&self) {
        self.idle().clear();
    }

    pub(super) fn close_idle(&self, address: SocketAddr) {
        self.idle().remove(&address);
    }

    /// Whether an idle connection to `address` is open.
    pub(super) fn has_idle(&self, address: SocketAddr) -> bool {
        let idle = self.idle();
        let connections = idle.get(&address);
        connections.is_some_and(|connections| {
            connections
                .iter()
                .any(|idle| !idle.connection.sender.is_closed())
        })
    }

    /// The number of open idle connections.
    pub(super) fn len(&self) -> usize {
        let idle = self.idle();
        let open = idle.values().flatten();
        open.filter(|idle| !idle.connection.sender.is_closed())
            .count()
    }
}
