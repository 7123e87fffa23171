//! Link to one peer: sends its messages on an outbound connection, which it opens, reuses and replaces.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use fescuewell_core::event::Event;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use snafu::{ResultExt, Snafu};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, timeout};

use super::backoff::Backoff;
use super::shared::{ACK_TIMEOUT, CLOSING, Direction, Shared};
use super::{CLOSE_TIMEOUT, Outgoing};
use crate::credentials::Identity;
use crate::traffic::add;

/// Why connecting to a peer failed.
#[derive(Debug, Snafu)]
enum Error {
    #[snafu(display("no socket: {source}"))]
    Socket { source: io::Error },
    #[snafu(display("{source}"))]
    Connect { source: quinn::ConnectError },
    #[snafu(display("{source}"))]
    Handshake { source: quinn::ConnectionError },
    #[snafu(display("the handshake took too long"))]
    Timeout,
}

/// The task that sends the messages for one peer.
pub(super) struct Link {
    shared: Arc<Shared>,
    instance: Arc<str>,
    inbox: flume::Receiver<Outgoing>,
    peer: Option<Arc<PeerConnection>>,
    stream_permits: Arc<Semaphore>,
    backoff: Backoff,
    retry_at: Instant,
}

/// An outbound connection with its own socket.
struct PeerConnection {
    endpoint: quinn::Endpoint,
    connection: quinn::Connection,
    address: SocketAddr,
    /// The credentials used for the handshake.
    identity: Arc<Identity>,
    /// When the connection reaches its maximum age.
    renew_at: Instant,
    /// Whether the peer has acknowledged a message on this connection.
    acknowledged: AtomicBool,
}

impl Link {
    pub(super) fn new(
        shared: Arc<Shared>,
        instance: Arc<str>,
        inbox: flume::Receiver<Outgoing>,
    ) -> Self {
        let max_streams = shared.settings.limits.max_streams as usize;
        Self {
            shared,
            instance,
            inbox,
            peer: None,
            stream_permits: Arc::new(Semaphore::new(max_streams)),
            backoff: Backoff::new(SmallRng::from_os_rng()),
            retry_at: Instant::now(),
        }
    }

    /// Sends messages until the queue's sender is dropped, or no message arrives for `unused_ms`.
    pub(super) async fn run(mut self) {
        let unused = self.shared.settings.limits.unused();
        while let Ok(Ok(message)) = timeout(unused, self.inbox.recv_async()).await {
            self.send(message).await;
        }
        // Nothing is sent after this point. Dropping the receiver makes the queue reject further messages;
        // otherwise they would be lost without being counted.
        drop(self.inbox);
        let max_streams = self.shared.settings.limits.max_streams;
        let _ = self.stream_permits.acquire_many(max_streams).await;
        if let Some(peer) = self.peer {
            peer.connection.close(CLOSING, b"");
            let _ = timeout(CLOSE_TIMEOUT, peer.endpoint.wait_idle()).await;
        }
    }

    async fn send(&mut self, message: Outgoing) {
        let Some(peer) = self.get_or_connect(message.to.address).await else {
            add(&self.shared.counters.dropped, 1);
            return;
        };
        // Each message in flight ends within the acknowledgement timeout, which bounds this wait.
        let Ok(permit) = self.stream_permits.clone().acquire_owned().await else {
            return;
        };
        tokio::spawn(deliver(self.shared.clone(), peer, message, permit));
    }

    /// Returns a connection to `address` with the current credentials, and opens one if necessary.
    async fn get_or_connect(&mut self, address: SocketAddr) -> Option<Arc<PeerConnection>> {
        let identity = self.shared.identity();
        if let Some(peer) = &self.peer {
            if peer.is_usable(address, &identity) {
                return Some(peer.clone());
            }
            self.retire_connection();
        }
        if Instant::now() < self.retry_at {
            return None;
        }
        match dial(&self.shared, &self.instance, address, identity).await {
            Ok(peer) => {
                self.peer = Some(Arc::new(peer));
                self.peer.clone()
            }
            Err(error) => {
                self.retry_at = Instant::now() + self.backoff.next();
                let reason = error.to_string();
                self.shared.log(Event::LinkFailed, &self.instance, &reason);
                None
            }
        }
    }

    /// Stops using the current connection. It is closed after the acknowledgement timeout, so that its
    /// messages in flight can complete.
    ///
    /// A peer that rejects this instance's certificate closes the connection after the handshake has
    /// succeeded on this side. Such a connection counts as a failure for the backoff; otherwise every
    /// message would open a new connection.
    fn retire_connection(&mut self) {
        let Some(peer) = self.peer.take() else {
            return;
        };
        if peer.acknowledged.load(Ordering::Relaxed) {
            self.backoff.reset();
        } else if peer.connection.close_reason().is_some() {
            self.retry_at = Instant::now() + self.backoff.next();
        }
        let limit = self.shared.settings.limits.acknowledge();
        tokio::spawn(async move {
            let _ = timeout(limit, peer.connection.closed()).await;
            peer.connection.close(CLOSING, b"");
        });
    }
}

impl PeerConnection {
    fn is_usable(&self, address: SocketAddr, identity: &Arc<Identity>) -> bool {
        let open = self.connection.close_reason().is_none();
        let below_max_age = Instant::now() < self.renew_at;
        open && below_max_age && self.address == address && Arc::ptr_eq(&self.identity, identity)
    }
}

/// Opens a connection from a new socket.
///
/// A network device between two instances can drop a flow (one pair of addresses and ports)
/// permanently while new flows work. A new connection from the same port would belong to the dropped
/// flow; one from a new port does not.
async fn dial(
    shared: &Arc<Shared>,
    instance: &str,
    address: SocketAddr,
    identity: Arc<Identity>,
) -> Result<PeerConnection, Error> {
    let local = SocketAddr::new(shared.settings.listen.ip(), 0);
    let endpoint = quinn::Endpoint::client(local).context(SocketSnafu)?;
    let connecting = endpoint
        .connect_with(identity.client.clone(), address, instance)
        .context(ConnectSnafu)?;
    let connected = timeout(shared.settings.limits.handshake(), connecting).await;
    let connection = match connected {
        Ok(connection) => connection.context(HandshakeSnafu)?,
        Err(_) => return Err(Error::Timeout),
    };
    add(&shared.counters.dialled, 1);
    shared.track(&connection, Direction::Outbound(endpoint.clone()));
    Ok(PeerConnection {
        endpoint,
        connection,
        address,
        identity,
        renew_at: Instant::now() + shared.settings.limits.renew(),
        acknowledged: AtomicBool::default(),
    })
}

/// Sends one message and waits until the peer's transport has acknowledged all of it.
///
/// Writes to a connection whose packets are dropped still succeed. The missing acknowledgement shows
/// the failure long before the idle timeout; the connection is then closed, so that the next message
/// opens a new one.
async fn deliver(
    shared: Arc<Shared>,
    peer: Arc<PeerConnection>,
    message: Outgoing,
    _permit: OwnedSemaphorePermit,
) {
    let length = message.frame.len() - 1;
    let limit = shared.settings.limits.acknowledge();
    match timeout(limit, transmit(&peer.connection, message)).await {
        Ok(true) => {
            peer.acknowledged.store(true, Ordering::Relaxed);
            add(&shared.counters.sent, 1);
            add(&shared.counters.sent_bytes, length);
        }
        Ok(false) => add(&shared.counters.lost, 1),
        Err(_) => {
            add(&shared.counters.lost, 1);
            let reason = "no acknowledgement";
            shared.log(Event::LinkSilent, &peer.address.to_string(), reason);
            peer.connection.close(ACK_TIMEOUT, reason.as_bytes());
        }
    }
}

/// Returns whether the message was acknowledged: `false` when the connection ended first or the peer
/// stopped the stream.
async fn transmit(connection: &quinn::Connection, message: Outgoing) -> bool {
    let Ok(mut stream) = connection.open_uni().await else {
        return false;
    };
    if stream.write_chunk(message.frame).await.is_err() || stream.finish().is_err() {
        return false;
    }
    matches!(stream.stopped().await, Ok(None))
}
