//! Listener: accepts connections from peers and receives their messages.

use std::net::SocketAddr;
use std::sync::Arc;

use quinn::{Connection, ReadToEndError, RecvStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;

use super::Message;
use super::shared::{CLOSING, Direction, MALFORMED, NOT_A_PEER, Shared, TOO_MANY};
use crate::credentials::{instance_name, peer_chain};
use crate::frame::{self, FRAME_LIMIT};
use crate::traffic::add;

/// Maximum number of inbound connections from one peer. A peer uses one; the rest allows for
/// connections that the peer has abandoned and that have not timed out on this side.
const MAX_CONNECTIONS_PER_PEER: usize = 8;

/// Handshakes in progress above which new connections must pass address validation (a QUIC Retry).
/// Otherwise datagrams with spoofed addresses could use up all permits and direct replies at a third party.
const MAX_UNVALIDATED_HANDSHAKES: usize = 32;

pub(super) async fn run(shared: Arc<Shared>) {
    let connection_permits = Arc::new(Semaphore::new(shared.settings.limits.max_incoming as usize));
    let handshake_permits = Arc::new(Semaphore::new(MAX_UNVALIDATED_HANDSHAKES));
    while let Some(incoming) = shared.endpoint.accept().await {
        let from = incoming.remote_address();
        let Ok(permit) = connection_permits.clone().try_acquire_owned() else {
            incoming.refuse();
            shared.refuse(&from.to_string(), "too many connections");
            continue;
        };
        let handshake_permit = handshake_permits.clone().try_acquire_owned().ok();
        if handshake_permit.is_none() && incoming.may_retry() {
            let _ = incoming.retry();
            continue;
        }
        tokio::spawn(serve(
            shared.clone(),
            incoming,
            from,
            permit,
            handshake_permit,
        ));
    }
}

async fn serve(
    shared: Arc<Shared>,
    incoming: quinn::Incoming,
    address: SocketAddr,
    _permit: OwnedSemaphorePermit,
    handshake_permit: Option<OwnedSemaphorePermit>,
) {
    let connected = connect(&shared, incoming).await;
    drop(handshake_permit);
    let (connection, from) = match connected {
        Ok(connected) => connected,
        Err(reason) => return shared.refuse(&address.to_string(), &reason),
    };
    if shared.inbound_count(&from) >= MAX_CONNECTIONS_PER_PEER {
        connection.close(TOO_MANY, b"too many connections");
        return shared.refuse(&from, "too many connections of one peer");
    }
    shared.track(&connection, Direction::Inbound(from.clone()));
    // The loop ends when the peer closes the connection or the idle timeout expires.
    while let Ok(stream) = connection.accept_uni().await {
        let (shared, connection, from) = (shared.clone(), connection.clone(), from.clone());
        tokio::spawn(receive(shared, connection, from, stream));
    }
}

async fn connect(
    shared: &Shared,
    incoming: quinn::Incoming,
) -> Result<(Connection, Arc<str>), String> {
    let connecting = incoming.accept().map_err(|error| error.to_string())?;
    let connection = match timeout(shared.settings.limits.handshake(), connecting).await {
        Ok(connection) => connection.map_err(|error| error.to_string())?,
        Err(_) => return Err("the handshake took too long".into()),
    };
    let Some(from) = instance_name(&peer_chain(&connection)) else {
        connection.close(NOT_A_PEER, b"the certificate names no instance");
        return Err("the certificate names no instance".into());
    };
    Ok((connection, from))
}

/// Receives one message. The timeout keeps a peer from holding streams open with incomplete messages.
async fn receive(
    shared: Arc<Shared>,
    connection: Connection,
    from: Arc<str>,
    mut stream: RecvStream,
) {
    let read = timeout(
        shared.settings.limits.handshake(),
        stream.read_to_end(FRAME_LIMIT),
    );
    let frame = match read.await {
        Ok(Ok(frame)) => frame,
        Ok(Err(ReadToEndError::TooLong)) => {
            return refuse(&shared, &connection, &from, "a message is too large");
        }
        // The connection ended or the peer reset the stream.
        Ok(Err(ReadToEndError::Read(_))) => return,
        Err(_) => return refuse(&shared, &connection, &from, "a message was not completed"),
    };
    match frame::decode(frame) {
        Ok(payload) => deliver(&shared, &connection, from, payload),
        Err(error) => refuse(&shared, &connection, &from, &error.to_string()),
    }
}

fn refuse(shared: &Shared, connection: &Connection, from: &str, reason: &str) {
    connection.close(MALFORMED, reason.as_bytes());
    shared.refuse(from, reason);
}

fn deliver(shared: &Shared, connection: &Connection, from: Arc<str>, payload: Vec<u8>) {
    let length = payload.len();
    match shared.inbox.try_send(Message { from, payload }) {
        Ok(()) => {
            add(&shared.counters.received, 1);
            add(&shared.counters.received_bytes, length);
        }
        Err(flume::TrySendError::Full(_)) => add(&shared.counters.overflowed, 1),
        Err(flume::TrySendError::Disconnected(_)) => connection.close(CLOSING, b""),
    }
}
