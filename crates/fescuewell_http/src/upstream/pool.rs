//! Connections, and those of them that wait for their next request.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use tokio::task::AbortHandle;

use super::gate::Gate;

/// One open connection. Dropping it closes the socket at once, whatever was under way on it.
pub(super) struct Connection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    gate: Arc<Gate>,
    driver: AbortHandle,
}

impl Connection {
    pub(super) fn new(
        address: SocketAddr,
        sender: SendRequest<Full<Bytes>>,
        gate: Arc<Gate>,
        driver: AbortHandle,
    ) -> Self {
        Self {
            address,
            sender,
            gate,
            driver,
        }
    }

    pub(super) fn gate(&self) -> &Gate {
        &self.gate
    }

    pub(super) async fn send(
        &mut self,
        request: http::Request<Full<Bytes>>,
    ) -> hyper::Result<http::Response<Incoming>> {
        // A connection that comes from the pool may still be finishing its last exchange.
        self.sender.ready().await?;
        self.sender.send_request(request).await
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.gate.shut();
        self.driver.abort();
    }
}

struct Idle {
    connection: Connection,
    since: Instant,
}

/// The unused connections, by address.
#[derive(Default)]
pub(super) struct Pool(Mutex<HashMap<SocketAddr, Vec<Idle>>>);

impl Pool {
    fn idle(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<Idle>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The connection to `address` that was used last, if it is younger than `most` and still open.
    pub(super) fn take(&self, address: SocketAddr, most: Duration) -> Option<Connection> {
        let mut idle = self.idle();
        let kept = idle.get_mut(&address)?;
        // Those at the front have waited longest.
        let expired = kept.iter().take_while(|idle| idle.since.elapsed() > most);
        let expired = expired.count();
        kept.drain(..expired);
        while let Some(last) = kept.pop() {
            if !last.connection.sender.is_closed() {
                return Some(last.connection);
            }
        }
        idle.remove(&address);
        None
    }

    /// Keeps a connection whose exchange ended whole and in time, unless `most` are kept already.
    pub(super) fn keep(&self, connection: Connection, most: usize) {
        let mut idle = self.idle();
        let kept = idle.entry(connection.address).or_default();
        if kept.len() >= most || connection.sender.is_closed() {
            return;
        }
        let since = Instant::now();
        kept.push(Idle { connection, since });
    }

    pub(super) fn close_idle(&self, address: SocketAddr) {
        self.idle().remove(&address);
    }

    /// Whether one to `address` is kept that its server has not closed.
    pub(super) fn has(&self, address: SocketAddr) -> bool {
        let idle = self.idle();
        let kept = idle.get(&address);
        kept.is_some_and(|kept| kept.iter().any(|idle| !idle.connection.sender.is_closed()))
    }

    /// How many are kept that their servers have not closed.
    pub(super) fn len(&self) -> usize {
        let idle = self.idle();
        let open = idle.values().flatten();
        open.filter(|idle| !idle.connection.sender.is_closed())
            .count()
    }
}
