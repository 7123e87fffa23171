//! Counters of the transport, for the measure of control traffic.

use std::sync::atomic::{AtomicU64, Ordering};

use serde::Serialize;

/// What the transport did since it was started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize)]
pub struct Traffic {
    /// Messages that the peer's transport acknowledged.
    pub sent: u64,
    /// Bytes in them.
    pub sent_bytes: u64,
    /// Messages received and put into the inbox.
    pub received: u64,
    /// Bytes in them.
    pub received_bytes: u64,
    /// Messages that were never sent: a ring was full, or the peer could not be connected to.
    pub dropped: u64,
    /// Messages that were sent and not acknowledged.
    pub lost: u64,
    /// Messages received while the inbox was full.
    pub overflowed: u64,
    /// Connections and streams turned away.
    pub refused: u64,
    /// Connections made to peers.
    pub dialled: u64,
    /// Connections open now, in both directions.
    pub open: u64,
    /// Bytes of UDP datagrams sent on connections whose handshake was completed.
    pub wire_sent_bytes: u64,
    /// Bytes of UDP datagrams received on them.
    pub wire_received_bytes: u64,
}

/// The running counters behind [`Traffic`].
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
        let get = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        Traffic {
            sent: get(&self.sent),
            sent_bytes: get(&self.sent_bytes),
            received: get(&self.received),
            received_bytes: get(&self.received_bytes),
            dropped: get(&self.dropped),
            lost: get(&self.lost),
            overflowed: get(&self.overflowed),
            refused: get(&self.refused),
            dialled: get(&self.dialled),
            ..Traffic::default()
        }
    }
}
