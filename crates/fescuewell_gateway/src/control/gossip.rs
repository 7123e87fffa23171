//! Sends messages to random other instances.

use std::net::SocketAddr;

use fescuewell_forward::message::Message;
use rand::seq::IndexedRandom;
use tokio::net::UdpSocket;

use super::Control;

/// Sends a message and returns the bytes sent. Messages may be lost.
pub(super) fn send(
    control: &Control,
    socket: &UdpSocket,
    message: Message,
    peers: &[SocketAddr],
) -> usize {
    let Some(key) = control.gateway.fleet_key() else {
        return 0;
    };
    let bytes = key.seal(&message);
    for peer in peers {
        let _ = socket.try_send_to(&bytes, *peer);
    }
    bytes.len() * peers.len()
}

/// Selects random peers.
pub(super) fn random_peers(control: &Control, max: usize) -> Vec<SocketAddr> {
    let gateway = &control.gateway;
    let own = gateway.settings.peer;
    let mut state = gateway.state();
    let state = &mut *state;
    // One more, because this instance may be among them.
    let peers = state
        .directory
        .peers()
        .choose_multiple(&mut state.rng, max + 1);
    let others = peers.filter(|peer| Some(**peer) != own);
    others.take(max).copied().collect()
}
