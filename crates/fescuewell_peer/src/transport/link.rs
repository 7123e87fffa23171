//! The connection to one peer: made, kept, given up and made again.

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
use super::shared::{CLOSING, Kind, SILENT, Shared};
use super::{LINGER, Outgoing};
use crate::credentials::Identity;
use crate::traffic::add;

/// Why a peer could not be connected to.
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

/// The task that sends one peer's messages.
pub(super) struct Link {
    shared: Arc<Shared>,
    instance: Arc<str>,
    inbox: flume::Receiver<Outgoing>,
    wire: Option<Arc<Wire>>,
    streams: Arc<Semaphore>,
    backoff: Backoff,
    retry_at: Instant,
}

/// One connection, with the socket that it alone uses.
struct Wire {
    endpoint: quinn::Endpoint,
    connection: quinn::Connection,
    address: SocketAddr,
    /// The credentials that it was made with.
    identity: Arc<Identity>,
    /// When it is too old.
    renew_at: Instant,
    /// Whether the peer acknowledged any message on it.
    proven: AtomicBool,
}

impl Link {
    pub(super) fn new(
        shared: Arc<Shared>,
        instance: Arc<str>,
        inbox: flume::Receiver<Outgoing>,
    ) -> Self {
        let streams = shared.settings.limits.max_streams as usize;
        Self {
            shared,
            instance,
            inbox,
            wire: None,
            streams: Arc::new(Semaphore::new(streams)),
            backoff: Backoff::new(SmallRng::from_os_rng()),
            retry_at: Instant::now(),
        }
    }

    /// Sends messages until its ring is given up, or nothing was sent for long.
    pub(super) async fn run(mut self) {
        let unused = self.shared.settings.limits.unused();
        while let Ok(Ok(message)) = timeout(unused, self.inbox.recv_async()).await {
            self.send(message).await;
        }
        // From here on nothing is sent any more. A ring that still took messages would swallow them.
        drop(self.inbox);
        let all = self.shared.settings.limits.max_streams;
        let _ = self.streams.acquire_many(all).await;
        if let Some(wire) = self.wire {
            wire.connection.close(CLOSING, b"");
            let _ = timeout(LINGER, wire.endpoint.wait_idle()).await;
        }
    }

    async fn send(&mut self, message: Outgoing) {
        let Some(wire) = self.ready(message.to.address).await else {
            add(&self.shared.counters.dropped, 1);
            return;
        };
        // Each message under way ends within the time limit for acknowledgements, so this does too.
        let Ok(place) = self.streams.clone().acquire_owned().await else {
            return;
        };
        tokio::spawn(deliver(self.shared.clone(), wire, message, place));
    }

    /// A connection to `address` by the credentials in force, made if need be.
    async fn ready(&mut self, address: SocketAddr) -> Option<Arc<Wire>> {
        let identity = self.shared.identity();
        if let Some(wire) = &self.wire {
            if wire.fits(address, &identity) {
                return Some(wire.clone());
            }
            self.give_up();
        }
        if Instant::now() < self.retry_at {
            return None;
        }
        match dial(&self.shared, &self.instance, address, identity).await {
            Ok(wire) => {
                self.wire = Some(Arc::new(wire));
                self.wire.clone()
            }
            Err(error) => {
                self.retry_at = Instant::now() + self.backoff.next();
                let reason = error.to_string();
                self.shared.log(Event::LinkFailed, &self.instance, &reason);
                None
            }
        }
    }

    /// Leaves the connection to the messages under way on it.
    ///
    /// A peer that refuses our certificate does so after the handshake has succeeded here. Without
    /// counting such a connection as a failure, every message would make a new one.
    fn give_up(&mut self) {
        let Some(wire) = self.wire.take() else {
            return;
        };
        if wire.proven.load(Ordering::Relaxed) {
            self.backoff.reset();
        } else if wire.connection.close_reason().is_some() {
            self.retry_at = Instant::now() + self.backoff.next();
        }
        let limit = self.shared.settings.limits.acknowledge();
        tokio::spawn(async move {
            let _ = timeout(limit, wire.connection.closed()).await;
            wire.connection.close(CLOSING, b"");
        });
    }
}

impl Wire {
    fn fits(&self, address: SocketAddr, identity: &Arc<Identity>) -> bool {
        let open = self.connection.close_reason().is_none();
        let fresh = Instant::now() < self.renew_at;
        open && fresh && self.address == address && Arc::ptr_eq(&self.identity, identity)
    }
}

/// Connects from a socket of its own.
///
/// What lies between two instances may lose track of a flow (one pair of addresses and ports) for good,
/// while new flows work. A new connection from the same port would be the same flow, and as silent
/// as the old one; from a new port it is not.
async fn dial(
    shared: &Arc<Shared>,
    instance: &str,
    address: SocketAddr,
    identity: Arc<Identity>,
) -> Result<Wire, Error> {
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
    shared.track(&connection, Kind::Made(endpoint.clone()));
    Ok(Wire {
        endpoint,
        connection,
        address,
        identity,
        renew_at: Instant::now() + shared.settings.limits.renew(),
        proven: AtomicBool::default(),
    })
}

/// Sends one message and waits until the peer's transport has all of it.
///
/// A connection that went silent still takes what is written to it. That the acknowledgement fails
/// to come is the first sign, long before the idle timeout; the connection is then closed, so that the
/// next message makes a new one.
async fn deliver(
    shared: Arc<Shared>,
    wire: Arc<Wire>,
    message: Outgoing,
    _place: OwnedSemaphorePermit,
) {
    let length = message.frame.len() - 1;
    let limit = shared.settings.limits.acknowledge();
    match timeout(limit, transmit(&wire.connection, message)).await {
        Ok(true) => {
            wire.proven.store(true, Ordering::Relaxed);
            add(&shared.counters.sent, 1);
            add(&shared.counters.sent_bytes, length);
        }
        Ok(false) => add(&shared.counters.lost, 1),
        Err(_) => {
            add(&shared.counters.lost, 1);
            let reason = "no acknowledgement";
            shared.log(Event::LinkSilent, &wire.address.to_string(), reason);
            wire.connection.close(SILENT, reason.as_bytes());
        }
    }
}

/// Returns whether the message was acknowledged; `false` when the connection ended first or the peer
/// refused the stream.
async fn transmit(connection: &quinn::Connection, message: Outgoing) -> bool {
    let Ok(mut stream) = connection.open_uni().await else {
        return false;
    };
    if stream.write_chunk(message.frame).await.is_err() || stream.finish().is_err() {
        return false;
    }
    matches!(stream.stopped().await, Ok(None))
}
