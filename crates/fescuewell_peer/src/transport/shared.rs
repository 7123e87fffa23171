//! What the handle, the links and the listener share.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use fescuewell_core::event::Event;
use quinn::VarInt;

use super::Message;
use crate::credentials::{Identity, peer_chain};
use crate::settings::Settings;
use crate::traffic::{Counters, Traffic, add};

/// The transport is closing, or the connection is no longer used.
pub(super) const CLOSING: VarInt = VarInt::from_u32(0);
/// The connection stopped acknowledging.
pub(super) const SILENT: VarInt = VarInt::from_u32(1);
/// The peer is not, or no longer, a peer.
pub(super) const NOT_A_PEER: VarInt = VarInt::from_u32(2);
/// The peer sent something that no peer sends.
pub(super) const MALFORMED: VarInt = VarInt::from_u32(3);
/// Too many connections.
pub(super) const TOO_MANY: VarInt = VarInt::from_u32(4);

/// Time between two log lines about refusals or failures; whoever sends rubbish as fast as it can
/// must not fill the log.
const LOG_PAUSE: Duration = Duration::from_secs(1);

pub(super) struct Shared {
    pub settings: Settings,
    pub endpoint: quinn::Endpoint,
    pub inbox: flume::Sender<Message>,
    pub counters: Counters,
    identity: Mutex<Arc<Identity>>,
    connections: Mutex<Connections>,
    log_gates: Mutex<HashMap<u16, Gate>>,
}

/// The open connections, kept for their byte counts and for reloads.
#[derive(Default)]
struct Connections {
    open: HashMap<usize, Tracked>,
    next: usize,
    closed_sent: u64,
    closed_received: u64,
}

struct Tracked {
    connection: quinn::Connection,
    kind: Kind,
}

/// Which end made a connection.
pub(super) enum Kind {
    /// It was taken from this peer.
    Taken(Arc<str>),
    /// It was made here, from a socket of its own.
    Made(quinn::Endpoint),
}

#[derive(Default)]
struct Gate {
    last: Option<Instant>,
    suppressed: u64,
}

impl Shared {
    pub(super) fn new(
        settings: Settings,
        identity: Identity,
        endpoint: quinn::Endpoint,
        inbox: flume::Sender<Message>,
    ) -> Self {
        Self {
            settings,
            endpoint,
            inbox,
            counters: Counters::default(),
            identity: Mutex::new(Arc::new(identity)),
            connections: Mutex::default(),
            log_gates: Mutex::default(),
        }
    }

    pub(super) fn identity(&self) -> Arc<Identity> {
        lock(&self.identity).clone()
    }

    pub(super) fn replace_identity(&self, identity: Identity) {
        let identity = Arc::new(identity);
        *lock(&self.identity) = identity.clone();
        self.endpoint
            .set_server_config(Some(identity.server.clone()));
        for tracked in lock(&self.connections).open.values() {
            let taken = matches!(tracked.kind, Kind::Taken(_));
            if taken && !identity.accepts(&peer_chain(&tracked.connection)) {
                tracked
                    .connection
                    .close(NOT_A_PEER, b"certificate no longer accepted");
            }
        }
    }

    /// Counts a connection until it ends.
    pub(super) fn track(self: &Arc<Self>, connection: &quinn::Connection, kind: Kind) {
        let mut connections = lock(&self.connections);
        let number = connections.next;
        connections.next += 1;
        let tracked = Tracked {
            connection: connection.clone(),
            kind,
        };
        connections.open.insert(number, tracked);
        drop(connections);

        let shared = self.clone();
        let connection = connection.clone();
        tokio::spawn(async move {
            connection.closed().await;
            lock(&shared.connections).end(number);
        });
    }

    /// How many connections were taken from this peer and are open.
    pub(super) fn taken_from(&self, peer: &str) -> usize {
        let connections = lock(&self.connections);
        let taken = connections.open.values();
        taken
            .filter(|tracked| matches!(&tracked.kind, Kind::Taken(from) if **from == *peer))
            .count()
    }

    /// Tells every peer that its connections end, so that none has to find out by a timeout.
    pub(super) async fn close(&self) {
        let mut endpoints = vec![self.endpoint.clone()];
        for tracked in lock(&self.connections).open.values() {
            if let Kind::Made(endpoint) = &tracked.kind {
                endpoints.push(endpoint.clone());
            }
        }
        for endpoint in &endpoints {
            endpoint.close(CLOSING, b"");
        }
        for endpoint in &endpoints {
            endpoint.wait_idle().await;
        }
    }

    pub(super) fn traffic(&self) -> Traffic {
        let connections = lock(&self.connections);
        let mut traffic = self.counters.snapshot();
        traffic.open = connections.open.len() as u64;
        traffic.wire_sent_bytes = connections.closed_sent;
        traffic.wire_received_bytes = connections.closed_received;
        for tracked in connections.open.values() {
            let stats = tracked.connection.stats();
            traffic.wire_sent_bytes += stats.udp_tx.bytes;
            traffic.wire_received_bytes += stats.udp_rx.bytes;
        }
        traffic
    }

    /// Counts and logs something that was turned away.
    pub(super) fn refuse(&self, from: &str, reason: &str) {
        add(&self.counters.refused, 1);
        self.log(Event::ConnectionRefused, from, reason);
    }

    /// Logs at most one line a second of each event, with the number of those left out since.
    pub(super) fn log(&self, event: Event, peer: &str, reason: &str) {
        let mut gates = lock(&self.log_gates);
        let gate = gates.entry(event.number()).or_default();
        let now = Instant::now();
        if gate.last.is_some_and(|last| now - last < LOG_PAUSE) {
            gate.suppressed += 1;
            return;
        }
        gate.last = Some(now);
        let suppressed = std::mem::take(&mut gate.suppressed);
        drop(gates);
        fescuewell_core::log_event!(
            event,
            "listener=peer peer={peer} reason=\"{reason}\" suppressed={suppressed}"
        );
    }
}

impl Connections {
    fn end(&mut self, number: usize) {
        let Some(tracked) = self.open.remove(&number) else {
            return;
        };
        let stats = tracked.connection.stats();
        self.closed_sent += stats.udp_tx.bytes;
        self.closed_received += stats.udp_rx.bytes;
    }
}

fn lock<Content>(mutex: &Mutex<Content>) -> MutexGuard<'_, Content> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
