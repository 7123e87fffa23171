//! Announces the long prompts that this instance places to other instances, and receives theirs.

use std::net::SocketAddr;

use fescuewell_forward::choice::announcement::Batch;
use fescuewell_forward::message::Message;
use rand::Rng;
use tokio::net::UdpSocket;

use super::Control;
use super::peers::MAX_MESSAGE_BYTES;

/// Sends announcements as soon as prompts are placed. Prompts that are placed before this task runs
/// again share a datagram.
pub(super) async fn announce(control: &Control, socket: &UdpSocket) {
    loop {
        control.gateway.prompt_placed().await;
        while let Some((batch, receivers)) = next_batch(control) {
            send(control, socket, batch, &receivers);
        }
    }
}

/// Takes the next batch and selects its receivers.
fn next_batch(control: &Control) -> Option<(Batch, Vec<SocketAddr>)> {
    let settings = &control.gateway.settings;
    let now_ms = control.gateway.now_ms();
    let mut state = control.gateway.state();
    let batch = state.announcements.queue.take(&settings.name)?;
    let random = state.rng.random();
    let receivers = state
        .announcements
        .receivers(&state.directory, settings.peer, random, now_ms);
    Some((batch, receivers))
}

/// Sends a batch to as many of its receivers as the budget allows.
fn send(control: &Control, socket: &UdpSocket, batch: Batch, receivers: &[SocketAddr]) {
    let gateway = &control.gateway;
    let Some(key) = gateway.fleet_key().filter(|_| !receivers.is_empty()) else {
        return;
    };
    let bytes = key.seal(&Message::Prefills(batch));
    let now_ms = gateway.now_ms();
    let allowed = match bytes.len() <= MAX_MESSAGE_BYTES {
        true => {
            let budget = &mut gateway.state().announcements.budget;
            budget.take(bytes.len(), receivers.len(), now_ms)
        }
        // Caused by unusually long names.
        false => 0,
    };
    let (sent, dropped) = receivers.split_at(allowed);
    for receiver in sent {
        // The load reports to advertised instances repeat the content.
        let _ = socket.try_send_to(&bytes, *receiver);
    }
    gateway.metrics.count_announcements("sent", sent.len());
    gateway
        .metrics
        .count_announcements("dropped", dropped.len());
}

/// Applies another instance's announcement.
pub(super) fn receive(control: &Control, batch: Batch, from: SocketAddr) {
    let gateway = &control.gateway;
    if batch.instance == gateway.settings.name {
        return;
    }
    let now_ms = gateway.now_ms();
    let is_applied = {
        let mut state = gateway.state();
        state.announcements.reporters.record(from, now_ms);
        state.load.apply_announcement(batch, now_ms)
    };
    let outcome = if is_applied { "received" } else { "ignored" };
    gateway.metrics.count_announcements(outcome, 1);
}
