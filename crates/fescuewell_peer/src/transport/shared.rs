//! State shared by the transport's handle, its links and its listener.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use fescuewell_core::event::Event;
use quinn::VarInt;

use super::Message;
use crate::credentials::{Identity, peer_chain};
use crate::settings::Settings;
use crate::traffic::{Counters, Traffic, add};

/// Close code: the transport is closing, or the connection is no longer used.
pub(super) const CLOSING: VarInt = VarInt::from_u32(0);
/// Close code: a message was not acknowledged in time.
pub(super) const ACK_TIMEOUT: VarInt = VarInt::from_u32(1);
/// Close code: the peer's certificate is not, or no longer, accepted.
pub(super) const NOT_A_PEER: VarInt = VarInt::from_u32(2);
/// Close code: the peer sent an invalid message.
pub(super) const MALFORMED: VarInt = VarInt::from_u32(3);
/// Close code: too many connections.
pub(super) const TOO_MANY: VarInt = VarInt::from_u32(4);

/// Minimum interval between two log lines for the same event, so that a flood of invalid packets
/// cannot fill the log.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

pub(super) struct Shared {
    pub settings: Settings,
    pub endpoint: quinn::Endpoint,
    pub inbox: flume::Sender<Message>,
    pub counters: Counters,
    identity: Mutex<Arc<Identity>>,
    connections: Mutex<Connections>,
    log_limiters: Mutex<HashMap<u16, LogLimiter>>,
}

/// The open connections, tracked for byte counts and reloads.
#[derive(Default)]
struct Connections {
    open: HashMap<usize, Tracked>,
    next_id: usize,
    closed_sent_bytes: u64,
    closed_received_bytes: u64,
}

struct Tracked {
    connection: quinn::Connection,
    direction: Direction,
}

/// Which side opened a connection.
pub(super) enum Direction {
    /// Opened by this peer.
    Inbound(Arc<str>),
    /// Opened by this instance, from a socket of its own.
    Outbound(quinn::Endpoint),
}

#[derive(Default)]
struct LogLimiter {
    logged_at: Option<Instant>,
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
            log_limiters: Mutex::default(),
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
            let inbound = matches!(tracked.direction, Direction::Inbound(_));
            if inbound && !identity.accepts(&peer_chain(&tracked.connection)) {
                tracked
                    .connection
                    .close(NOT_A_PEER, b"certificate no longer accepted");
            }
        }
    }

    /// Tracks a connection until it ends.
    pub(super) fn track(self: &Arc<Self>, connection: &quinn::Connection, direction: Direction) {
        let mut connections = lock(&self.connections);
        let id = connections.next_id;
        connections.next_id += 1;
        let tracked = Tracked {
            connection: connection.clone(),
            direction,
        };
        connections.open.insert(id, tracked);
        drop(connections);

        let shared = self.clone();
        let connection = connection.clone();
        tokio::spawn(async move {
            connection.closed().await;
            lock(&shared.connections).remove(id);
        });
    }

    /// Returns the number of open connections that this peer opened.
    pub(super) fn inbound_count(&self, peer: &str) -> usize {
        let connections = lock(&self.connections);
        let open = connections.open.values();
        open.filter(
            |tracked| matches!(&tracked.direction, Direction::Inbound(from) if **from == *peer),
        )
        .count()
    }

    /// Sends a close to every peer, so that none has to wait for a timeout.
    pub(super) async fn close(&self) {
        let mut endpoints = vec![self.endpoint.clone()];
        for tracked in lock(&self.connections).open.values() {
            if let Direction::Outbound(endpoint) = &tracked.direction {
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
        traffic.wire_sent_bytes = connections.closed_sent_bytes;
        traffic.wire_received_bytes = connections.closed_received_bytes;
        for tracked in connections.open.values() {
            let stats = tracked.connection.stats();
            traffic.wire_sent_bytes += stats.udp_tx.bytes;
            traffic.wire_received_bytes += stats.udp_rx.bytes;
        }
        traffic
    }

    /// Counts and logs a refused connection or message.
    pub(super) fn refuse(&self, from: &str, reason: &str) {
        add(&self.counters.refused, 1);
        self.log(Event::ConnectionRefused, from, reason);
    }

    /// Logs at most one line per second for each event, with the number of lines suppressed since the last.
    pub(super) fn log(&self, event: Event, peer: &str, reason: &str) {
        let mut limiters = lock(&self.log_limiters);
        let limiter = limiters.entry(event.number()).or_default();
        let now = Instant::now();
        if limiter
            .logged_at
            .is_some_and(|last| now - last < LOG_INTERVAL)
        {
            limiter.suppressed += 1;
            return;
        }
        limiter.logged_at = Some(now);
        let suppressed = std::mem::take(&mut limiter.suppressed);
        drop(limiters);
        fescuewell_core::log_event!(
            event,
            "listener=peer peer={peer} reason=\"{reason}\" suppressed={suppressed}"
        );
    }
}

impl Connections {
    fn remove(&mut self, id: usize) {
        let Some(tracked) = self.open.remove(&id) else {
            return;
        };
        let stats = tracked.connection.stats();
        self.closed_sent_bytes += stats.udp_tx.bytes;
        self.closed_received_bytes += stats.udp_rx.bytes;
    }
}

fn lock<Content>(mutex: &Mutex<Content>) -> MutexGuard<'_, Content> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
