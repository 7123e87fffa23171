//! The memory that connections hold, and which of them are closed when it is used up.
//!
//! Each connection reserves what it makes the process hold, by the capacity of the buffers and not by the bytes
//! that were received. A reservation that does not fit closes connections whose requests have not been passed to a
//! handler, the longest first, and waits until they have released theirs. One that cannot be made to fit fails at
//! once, and its request is refused.

use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use slotmap::{SlotMap, new_key_type};
use tokio::sync::Notify;
use tokio::time::{Instant, timeout};

use super::Shared as Listener;
use super::guard::ConnectionState;
use crate::allocator;
use crate::buffer::{Budget, Reservation};

/// Held by any connection, in bytes: its task, timer and registration, and the response of a refusal.
pub(super) const IDLE_BYTES: usize = 4 * 1024;
/// Held by an encrypted connection in addition: the buffers and keys of its session.
pub(super) const TLS_BYTES: usize = 40 * 1024;
/// Held from the first byte of a request to the end of its response, in addition: hyper's state and buffers, the state
/// of the handler with its connection to a backend server, and the part of the read buffer that the headers refer to.
const EXCHANGE_BYTES: usize = 48 * 1024;
/// Held while a head is received, in addition: the read buffer doubles up to 32 KiB for a head of 16 KiB.
const HEAD_BUFFER_BYTES: usize = 16 * 1024;
/// Held for each header field, as received and as passed on: two map entries with their names.
const FIELD_BYTES: usize = 288;

/// Size up to which a reservation may use all of the memory, in bytes.
const SMALL_BYTES: usize = 128 * 1024;
/// Divisor of the memory; as much is released at once, so that not every reservation looks for connections to close.
const RELEASE_DIVISOR: usize = 32;
/// Maximum time that a reservation waits for connections to close.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum number of such waits of one reservation; each follows a release that others were faster to use.
const MAX_WAITS: u32 = 20;
/// Maximum number of reservations that wait at the same time. Meanwhile the kernel keeps what they receive.
const MAX_WAITING: usize = 32;
/// Divisor of the memory; when no more than that is left in use after connections were closed, the allocator returns what
/// is free to the operating system.
const TRIM_DIVISOR: usize = 4;

new_key_type! {
    /// Identifies an open connection.
    pub(super) struct ConnectionKey;
}

/// What is held while a head of at most so many fields is received, in bytes.
pub(super) fn head_bytes(fields: usize) -> usize {
    HEAD_BUFFER_BYTES + exchange_bytes(fields)
}

/// What an exchange holds beside its body, in bytes.
pub(super) fn exchange_bytes(fields: usize) -> usize {
    EXCHANGE_BYTES + fields * FIELD_BYTES
}

/// Figures of a [`Memory`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Usage {
    /// Size in bytes.
    pub max_bytes: usize,
    /// Bytes that are reserved at present.
    pub used_bytes: usize,
    /// Connections that were closed so that others were served.
    pub closed: u64,
    /// Requests that were refused for lack of memory.
    pub refused: u64,
}

/// The memory for the connections of one or more listeners. Clones share it.
#[derive(Clone)]
pub struct Memory(Arc<Inner>);

struct Inner {
    budget: Budget,
    connections: Mutex<SlotMap<ConnectionKey, Arc<ConnectionState>>>,
    released: Notify,
    waiting: AtomicUsize,
    /// Whether reservations did not fit since the allocator last returned memory.
    was_full: AtomicBool,
    closed: AtomicU64,
    refused: AtomicU64,
}

/// Counts a reservation that waits; removed on drop.
struct Waiting<'a>(&'a AtomicUsize);

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl std::fmt::Debug for Memory {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_tuple("Memory").field(&self.usage()).finish()
    }
}

/// How a connection ranks among those that can be closed; the lowest is closed first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Rank {
    /// It was refused and may still be sending.
    Refused,
    /// A head or a body is being received.
    Receiving,
    /// The caller does not read its response.
    Unread,
    /// Nothing has been received yet.
    Silent,
    /// Idle between two requests.
    Idle,
}

/// A connection that can be closed.
#[derive(Debug, Clone, Copy)]
pub(super) struct Candidate {
    pub(super) rank: Rank,
    /// Since when it has been in this state.
    pub(super) since: Instant,
    /// Bytes that it holds.
    pub(super) bytes: usize,
    /// Whether it is being closed already.
    pub(super) is_closing: bool,
}

/// An entry of a [`Memory`]; removed on drop.
pub(super) struct Registration {
    memory: Memory,
    key: ConnectionKey,
}

impl Drop for Registration {
    fn drop(&mut self) {
        let connection = self.memory.connections().remove(self.key);
        if let Some(connection) = connection {
            connection.release();
        }
    }
}

impl Memory {
    /// Creates a memory of so many bytes. A quarter is kept for reservations of up to 128 KiB.
    pub fn new(max_bytes: usize) -> Self {
        Self(Arc::new(Inner {
            budget: Budget::new(max_bytes).with_small_bytes(SMALL_BYTES),
            connections: Mutex::default(),
            released: Notify::new(),
            waiting: AtomicUsize::new(0),
            was_full: AtomicBool::new(false),
            closed: AtomicU64::new(0),
            refused: AtomicU64::new(0),
        }))
    }

    /// Returns the current figures.
    pub fn usage(&self) -> Usage {
        Usage {
            max_bytes: self.0.budget.max_bytes(),
            used_bytes: self.0.budget.used(),
            closed: self.0.closed.load(Ordering::Relaxed),
            refused: self.0.refused.load(Ordering::Relaxed),
        }
    }

    fn connections(&self) -> MutexGuard<'_, SlotMap<ConnectionKey, Arc<ConnectionState>>> {
        let connections = self.0.connections.lock();
        connections.unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns an empty reservation.
    pub(super) fn reserve(&self) -> Reservation {
        self.0.budget.reserve()
    }

    /// Lists a connection until the registration is dropped.
    pub(super) fn register(&self, connection: Arc<ConnectionState>) -> Registration {
        let key = self.connections().insert(connection);
        Registration {
            memory: self.clone(),
            key,
        }
    }

    /// Wakes the reservations that wait, after bytes were released. Returns memory to the operating system after a
    /// shortage: freed buffers between others would stay resident.
    pub(super) fn notify_released(&self) {
        self.0.released.notify_waiters();
        let is_small = self.0.budget.used() <= self.0.budget.max_bytes() / TRIM_DIVISOR;
        if is_small && self.0.was_full.swap(false, Ordering::Relaxed) {
            allocator::trim();
        }
    }

    /// Changes what `connection` holds to `bytes`; closes others if it does not fit. Returns `false`, without a
    /// change, if it cannot be made to fit.
    pub(super) async fn hold(&self, connection: &ConnectionState, bytes: usize) -> bool {
        if connection.resize(bytes) {
            return true;
        }
        self.0.was_full.store(true, Ordering::Relaxed);
        let waiting = Waiting(&self.0.waiting);
        if self.0.waiting.fetch_add(1, Ordering::Relaxed) >= MAX_WAITING {
            self.count_refusal();
            return false;
        }
        for _ in 0..MAX_WAITS {
            let mut released = std::pin::pin!(self.0.released.notified());
            released.as_mut().enable();
            if connection.resize(bytes) {
                return true;
            }
            let wanted = bytes.saturating_sub(connection.held_bytes());
            if !self.close_for(connection, wanted) {
                break;
            }
            if timeout(RELEASE_TIMEOUT, released).await.is_err() {
                break;
            }
        }
        drop(waiting);
        self.count_refusal();
        false
    }

    /// Counts a request that is refused for lack of memory.
    pub(super) fn count_refusal(&self) {
        self.0.refused.fetch_add(1, Ordering::Relaxed);
    }

    /// Closes connections other than `own` until `wanted` bytes are about to be released. Returns `false` if too few
    /// can be closed.
    fn close_for(&self, own: &ConnectionState, wanted: usize) -> bool {
        let connections = self.connections();
        let mut pending = 0;
        let mut found = Vec::new();
        for connection in connections.values() {
            if std::ptr::eq(&**connection, own) {
                continue;
            }
            let Some(candidate) = connection.candidate() else {
                continue;
            };
            if candidate.is_closing {
                pending += candidate.bytes;
                continue;
            }
            found.push((candidate.rank, candidate.since, candidate.bytes, connection));
        }
        if pending >= wanted {
            return true;
        }
        found.sort_unstable_by_key(|(rank, since, _, _)| (*rank, *since));
        let goal = wanted.max(self.0.budget.max_bytes() / RELEASE_DIVISOR);
        for (_, _, bytes, connection) in found {
            if pending >= goal {
                break;
            }
            if connection.close() {
                pending += bytes;
                self.0.closed.fetch_add(1, Ordering::Relaxed);
            }
        }
        pending >= wanted
    }

    /// Closes the connection of `listener` that has been unused for the longest time, and for at least
    /// [`min_unused_time`](super::Settings::min_unused_time). Returns `false` if there is none.
    pub(super) fn close_unused(&self, listener: &Listener) -> bool {
        let connections = self.connections();
        let mut oldest: Option<(Rank, Instant, &Arc<ConnectionState>)> = None;
        let now = Instant::now();
        for connection in connections.values() {
            if !connection.is_of(listener) {
                continue;
            }
            let Some(candidate) = connection.candidate() else {
                continue;
            };
            let unused_for = now.saturating_duration_since(candidate.since);
            if candidate.is_closing || unused_for < listener.settings.min_unused_time {
                continue;
            }
            let key = (candidate.rank, candidate.since);
            if oldest.is_none_or(|(rank, since, _)| key < (rank, since)) {
                oldest = Some((key.0, key.1, connection));
            }
        }
        let is_closed = oldest.is_some_and(|(_, _, connection)| connection.close());
        if is_closed {
            self.0.closed.fetch_add(1, Ordering::Relaxed);
        }
        is_closed
    }
}
