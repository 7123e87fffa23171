//! Exchanges the limits that backend servers declare with other instances.
//!
//! A change is gossiped to a few random peers, which forward it if it is new to them; periodic
//! samples repair lost updates. Without limits nothing is sent.

use std::net::SocketAddr;
use std::time::Duration;

use fescuewell_forward::condition::limit::Update;
use fescuewell_forward::message::Message;
use tokio::net::UdpSocket;

use super::Control;
use super::gossip::{random_peers, send};

/// Declarations per message; fits one Ethernet frame.
const MAX_UPDATES: usize = 16;
/// Gossip fan-out of a change.
const FANOUT: usize = 4;
/// Average bandwidth of changes in bytes per second.
const BYTES_PER_S: f64 = 1_024.0;
/// Minimum interval between two gossip messages.
const MIN_ANNOUNCE_INTERVAL: Duration = Duration::from_millis(10);
/// Interval between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(600);

/// Exchanges limits with other instances.
pub(super) async fn exchange(control: &Control, socket: &UdpSocket) {
    tokio::join!(announce(control, socket), sample(control, socket));
}

/// Merges a peer's declarations.
pub(super) fn receive(control: &Control, updates: Vec<Update>, from: SocketAddr) {
    let updates = updates.into_iter().take(MAX_UPDATES);
    control.gateway.merge_limits(updates, &from.to_string());
}

/// Sends declarations to some peers, if there are any.
pub(super) fn send_sample(control: &Control, socket: &UdpSocket, peers: &[SocketAddr]) {
    let updates = control
        .gateway
        .state()
        .conditions
        .limits
        .sample(MAX_UPDATES);
    if !updates.is_empty() {
        send(control, socket, Message::Limits(updates), peers);
    }
}

/// Gossips changes.
async fn announce(control: &Control, socket: &UdpSocket) {
    let gateway = &control.gateway;
    loop {
        let updates = gateway.state().conditions.limits.take_fresh(MAX_UPDATES);
        if updates.is_empty() {
            gateway.limits_changed().await;
            continue;
        }
        let peers = random_peers(control, FANOUT);
        let bytes = send(control, socket, Message::Limits(updates), &peers);
        let pause = Duration::from_secs_f64(bytes as f64 / BYTES_PER_S);
        tokio::time::sleep(pause.max(MIN_ANNOUNCE_INTERVAL)).await;
    }
}

/// Sends periodic samples.
async fn sample(control: &Control, socket: &UdpSocket) {
    loop {
        tokio::time::sleep(control.jitter(SAMPLE_INTERVAL)).await;
        if !control.gateway.state().conditions.limits.is_empty() {
            let peers = random_peers(control, 1);
            send_sample(control, socket, &peers);
        }
    }
}
