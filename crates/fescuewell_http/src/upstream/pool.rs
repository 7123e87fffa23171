//! The pool of idle connections.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::header::HeaderValue;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use tokio::task::AbortHandle;

use super::filter::Expected;
use super::gate::{ReadMeter, WriteGate};

/// Number of requests that a connection remembers. Other requests use a connection between two attempts of
/// one request.
const REMEMBERED_REQUESTS: usize = 8;

/// An open connection. Dropping it closes the socket immediately and cancels any exchange in progress.
pub(super) struct Connection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    gate: Arc<WriteGate>,
    meter: Arc<ReadMeter>,
    expected: Arc<Expected>,
    /// Ids of the last requests, the newest last.
    carried: VecDeque<HeaderValue>,
    driver: AbortHandle,
}

impl Connection {
    pub(super) fn new(
        address: SocketAddr,
        sender: SendRequest<Full<Bytes>>,
        gate: Arc<WriteGate>,
        meter: Arc<ReadMeter>,
        expected: Arc<Expected>,
        driver: AbortHandle,
    ) -> Self {
        Self {
            address,
            sender,
            gate,
            meter,
            expected,
            carried: VecDeque::new(),
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
        id: Option<HeaderValue>,
    ) -> hyper::Result<http::Response<Incoming>> {
        // A pooled connection may still be completing its last exchange.
        self.sender.ready().await?;
        self.meter.record_progress();
        self.expected.begin(id.clone());
        if self.carried.len() == REMEMBERED_REQUESTS {
            self.carried.pop_front();
        }
        self.carried.extend(id);
        self.sender.send_request(request).await
    }

    /// Returns the response that the connection waits for.
    pub(super) fn expected(&self) -> &Arc<Expected> {
        &self.expected
    }

    /// Whether a request with this id was sent recently, whose response might arrive a second time.
    fn has_carried(&self, id: Option<&HeaderValue>) -> bool {
        id.is_some_and(|id| self.carried.contains(id))
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

    /// Takes the most recently used connection to `address` that is open, has been idle for at most
    /// `max_idle_time` and has not carried a request with this id.
    pub(super) fn take(
        &self,
        address: SocketAddr,
        id: Option<&HeaderValue>,
        max_idle_time: Duration,
    ) -> Option<Connection> {
        let mut idle = self.idle();
        let connections = idle.get_mut(&address)?;
        // Connections are ordered by idle time, longest first.
        let expired = connections
            .iter()
            .take_while(|idle| idle.since.elapsed() > max_idle_time);
        let expired = expired.count();
        connections.drain(..expired);
        connections.retain(|idle| !idle.connection.sender.is_closed());
        let mut candidates = connections.iter();
        let last = candidates.rposition(|idle| !idle.connection.has_carried(id));
        let taken = last.map(|index| connections.remove(index).connection);
        if connections.is_empty() {
            idle.remove(&address);
        }
        taken
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
