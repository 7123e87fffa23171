//! A limit on the memory that received bytes take in all exchanges together.
//!
//! The limit of one response times the number of exchanges exceeds the memory of any instance.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Size up to which a reservation is small unless the budget has another one, in bytes.
const SMALL_BYTES: usize = 64 * 1024;
/// Divisor of the budget; the result is kept for small reservations, so that a few large responses do
/// not make all others fail.
const SMALL_SHARE_DIVISOR: usize = 4;

/// The memory for received bytes. Clones share it.
#[derive(Debug, Clone)]
pub struct Budget(Arc<State>);

#[derive(Debug)]
struct State {
    max_bytes: usize,
    small_bytes: usize,
    used: AtomicUsize,
}

impl Budget {
    /// Creates a budget of `max_bytes` bytes.
    pub fn new(max_bytes: usize) -> Self {
        Self(Arc::new(State {
            max_bytes,
            small_bytes: SMALL_BYTES,
            used: AtomicUsize::new(0),
        }))
    }

    /// Returns an unused budget of the same size whose reservations are small up to `small_bytes`.
    pub fn with_small_bytes(self, small_bytes: usize) -> Self {
        Self(Arc::new(State {
            max_bytes: self.0.max_bytes,
            small_bytes,
            used: AtomicUsize::new(0),
        }))
    }

    /// Returns the size of the budget in bytes.
    pub fn max_bytes(&self) -> usize {
        self.0.max_bytes
    }

    /// Returns the bytes that are reserved at present.
    pub fn used(&self) -> usize {
        self.0.used.load(Ordering::Relaxed)
    }

    /// Returns an empty reservation.
    pub fn reserve(&self) -> Reservation {
        Reservation {
            budget: self.clone(),
            bytes: 0,
        }
    }

    fn limit(&self, bytes: usize) -> usize {
        match bytes <= self.0.small_bytes {
            true => self.0.max_bytes,
            false => self.0.max_bytes - self.0.max_bytes / SMALL_SHARE_DIVISOR,
        }
    }
}

/// Bytes of a [`Budget`], released on drop.
#[derive(Debug)]
pub struct Reservation {
    budget: Budget,
    bytes: usize,
}

impl Reservation {
    /// Returns the size of the reservation.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Changes the size of the reservation. Returns `false`, without a change, if the budget does not
    /// suffice.
    #[must_use]
    pub fn resize(&mut self, bytes: usize) -> bool {
        let used = &self.budget.0.used;
        if bytes <= self.bytes {
            used.fetch_sub(self.bytes - bytes, Ordering::Relaxed);
            self.bytes = bytes;
            return true;
        }
        let (added, limit) = (bytes - self.bytes, self.budget.limit(bytes));
        let grow = |used: usize| used.checked_add(added).filter(|sum| *sum <= limit);
        let is_granted = used
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, grow)
            .is_ok();
        if is_granted {
            self.bytes = bytes;
        }
        is_granted
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.0.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
