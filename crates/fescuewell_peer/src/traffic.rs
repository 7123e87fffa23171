//! Counters of the transport's control traffic.

use std::sync::atomic::{AtomicU64, Ordering};

use serde::Serialize;

/// Counters of a transport since its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize)]
pub struct Traffic {
    /// Messages acknowledged by the peer's transport.
    pub sent: u64,
    /// Payload bytes of the acknowledged messages.
    pub sent_bytes: u64,
    /// Messages received and queued in the inbox.
    pub received: u64,
    /// Payload bytes of the received messages.
    pub received_bytes: u64,
    /// Messages never sent, because they were too large, a queue was full or the connection failed.
    pub dropped: u64,
    /// Messages sent but not acknowledged.
    pub lost: u64,
    /// Messages dropped on receipt because the inbox was full.
    pub overflowed: u64,
    /// Inbound connections and streams refused.
    pub refused: u64,
    /// Outbound connections established.
    pub dialled: u64,
    /// Connections currently open, in both directions.
    pub open: u64,
    /// Bytes of UDP datagrams sent on connections that completed the handshake.
    pub wire_sent_bytes: u64,
    /// Bytes of UDP datagrams received on connections that completed the handshake.
    pub wire_received_bytes: u64,
}

/// Atomic counters from which [`Traffic`] is built.
#[derive(Debug, Default)]
pub(crate) struct Counters {
    pub sent: AtomicU64,
    pub sent_bytes: AtomicU64,
    pub received: AtomicU64,
    pub received_bytes: AtomicU64,
    pub dropped: AtomicU64,
    pub lost: AtomicU64,
    pub overflowed: AtomicU64,
    pub refused: AtomicU64,
    pub dialled: AtomicU64,
}

pub(crate) fn add(counter: &AtomicU64, amount: usize) {
    counter.fetch_add(amount as u64, Ordering::Relaxed);
}

impl Counters {
    pub(crate) fn snapshot(&self) -> Traffic {
        let load = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        Traffic {
            sent: load(&self.sent),
            sent_bytes: load(&self.sent_bytes),
            received: load(&self.received),
            received_bytes: load(&self.received_bytes),
            dropped: load(&self.dropped),
            lost: load(&self.lost),
            overflowed: load(&self.overflowed),
            refused: load(&self.refused),
            dialled: load(&self.dialled),
            ..Traffic::default()
        }
    }
}
