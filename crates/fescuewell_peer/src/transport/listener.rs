//! Connections taken from peers, and the messages on them.

use std::net::SocketAddr;
use std::sync::Arc;

use quinn::{Connection, ReadToEndError, RecvStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;

use super::Message;
use super::shared::{CLOSING, Kind, MALFORMED, NOT_A_PEER, Shared, TOO_MANY};
use crate::credentials::{instance_name, peer_chain};
use crate::frame::{self, FRAME_LIMIT};
use crate::traffic::add;

/// Most connections taken from one peer. One is enough; the others allow for those that the peer
/// gave up and that have not timed out here.
const CONNECTIONS_PER_PEER: usize = 8;

/// Handshakes under way above which a newcomer must first show that its address is its own. Datagrams
/// with forged addresses could otherwise take up all room, and the answers go to a third party.
const UNPROVEN_HANDSHAKES: usize = 32;

pub(super) async fn run(shared: Arc<Shared>) {
    let room = Arc::new(Semaphore::new(shared.settings.limits.max_incoming as usize));
    let handshakes = Arc::new(Semaphore::new(UNPROVEN_HANDSHAKES));
    while let Some(incoming) = shared.endpoint.accept().await {
        let from = incoming.remote_address();
        let Ok(place) = room.clone().try_acquire_owned() else {
            incoming.refuse();
            shared.refuse(&from.to_string(), "too many connections");
            continue;
        };
        let handshake = handshakes.clone().try_acquire_owned().ok();
        if handshake.is_none() && incoming.may_retry() {
            let _ = incoming.retry();
            continue;
        }
        tokio::spawn(serve(shared.clone(), incoming, from, place, handshake));
    }
}

async fn serve(
    shared: Arc<Shared>,
    incoming: quinn::Incoming,
    address: SocketAddr,
    _place: OwnedSemaphorePermit,
    handshake: Option<OwnedSemaphorePermit>,
) {
    let connected = connect(&shared, incoming).await;
    drop(handshake);
    let (connection, from) = match connected {
        Ok(connected) => connected,
        Err(reason) => return shared.refuse(&address.to_string(), &reason),
    };
    if shared.taken_from(&from) >= CONNECTIONS_PER_PEER {
        connection.close(TOO_MANY, b"too many connections");
        return shared.refuse(&from, "too many connections of one peer");
    }
    shared.track(&connection, Kind::Taken(from.clone()));
    // The peer ends the connection, or it times out for want of any sign of life.
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

/// Reads one message. The time limit keeps a peer from holding streams open with half a message.
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
        // The connection ended, or the peer gave the message up.
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
