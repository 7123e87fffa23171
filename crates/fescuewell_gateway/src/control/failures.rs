//! Reports failures of model engines to the other instances, and applies theirs.

use std::net::SocketAddr;
use std::time::Duration;

use fescuewell_core::log_event;
use fescuewell_core::prelude::*;
use fescuewell_forward::health::failure::{self, Batch, MAX_RECEIVERS};
use fescuewell_forward::message::Message;
use rand::Rng;
use tokio::net::UdpSocket;

use super::Control;
use super::gossip::{random_peers, send};

/// Average bandwidth of the reports in bytes per second.
const BYTES_PER_S: f64 = 2_048.0;
/// Minimum interval between two reports.
const MIN_INTERVAL: Duration = Duration::from_millis(10);

/// Sends reports as soon as there are failures. Those that occur while the bandwidth is used up are
/// sent together.
pub(super) async fn report(control: &Control, socket: &UdpSocket) {
    let gateway = &control.gateway;
    loop {
        let Some(batch) = next_batch(control) else {
            gateway.failure_recorded().await;
            continue;
        };
        let bytes = send(
            control,
            socket,
            Message::Failures(batch),
            &receivers(control),
        );
        let pause = Duration::from_secs_f64(bytes as f64 / BYTES_PER_S);
        tokio::time::sleep(pause.max(MIN_INTERVAL)).await;
    }
}

fn next_batch(control: &Control) -> Option<Batch> {
    let gateway = &control.gateway;
    let now_ms = gateway.now_ms();
    let mut state = gateway.state();
    let store_ms = state.store_ms(now_ms);
    state.failures.take(&gateway.settings.name, store_ms)
}

fn receivers(control: &Control) -> Vec<SocketAddr> {
    let own = control.gateway.settings.peer;
    let (advertised, random) = {
        let mut state = control.gateway.state();
        let random = state.rng.random_range(0..usize::MAX);
        let advertised = state.directory.advertised();
        let peers = advertised.iter().filter_map(|(_, member)| member.peer);
        let peers: Vec<SocketAddr> = peers.filter(|peer| Some(*peer) != own).collect();
        (peers, random)
    };
    let others = random_peers(control, MAX_RECEIVERS);
    failure::receivers(advertised, others, random)
}

/// Applies the failures that another instance reports. Those of servers that have restarted since
/// are ignored.
pub(super) fn receive(control: &Control, batch: Batch) {
    let gateway = &control.gateway;
    if batch.instance == gateway.settings.name {
        return;
    }
    let now_ms = gateway.now_ms();
    let source = batch.instance.clone();
    let mut ejected = Vec::new();
    {
        let mut state = gateway.state();
        let store_ms = state.store_ms(now_ms);
        for failure in state.failures.receive(batch, store_ms) {
            let known = state.registry.entry(&failure.server);
            if known.is_none_or(|entry| entry.incarnation() != failure.incarnation) {
                continue;
            }
            if state.health.record_reported(&failure.server, now_ms) {
                ejected.push(failure.server);
            }
        }
    }
    for server in ejected {
        log_event!(
            Event::ServerEjected,
            "server={server} outcome=Reported source={source}"
        );
    }
}
