//! A response body that is being collected.

use bytes::Bytes;

use super::Error;
use crate::buffer::Reservation;

/// First capacity of the buffer in bytes.
const MIN_CAPACITY: usize = 4 * 1024;

/// The received part of a body, and the memory that it takes of the budget.
pub(super) struct Buffer {
    bytes: Vec<u8>,
    max_bytes: usize,
    reservation: Reservation,
}

impl Buffer {
    pub(super) fn new(max_bytes: usize, reservation: Reservation) -> Self {
        Self {
            bytes: Vec::new(),
            max_bytes,
            reservation,
        }
    }

    /// Appends a copy: a chunk may be a part of a much larger allocation.
    pub(super) fn append(&mut self, chunk: &[u8]) -> Result<(), Error> {
        let length = self.bytes.len() + chunk.len();
        if length > self.max_bytes {
            return Err(over_size(self.max_bytes));
        }
        if length > self.bytes.capacity() {
            self.grow(length)?;
        }
        self.bytes.extend_from_slice(chunk);
        Ok(())
    }

    fn grow(&mut self, length: usize) -> Result<(), Error> {
        let doubled = self.bytes.capacity().saturating_mul(2).max(MIN_CAPACITY);
        let capacity = doubled.min(self.max_bytes).max(length);
        if !self.reservation.resize(capacity) {
            return Err(Error::OverBudget { bytes: capacity });
        }
        self.bytes.reserve_exact(capacity - self.bytes.len());
        Ok(())
    }

    /// Returns the body, which keeps its part of the budget until the last clone is dropped.
    pub(super) fn into_bytes(self) -> Bytes {
        match self.bytes.is_empty() {
            true => Bytes::new(),
            false => Bytes::from_owner(self),
        }
    }
}

impl AsRef<[u8]> for Buffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Returns the error for a body that exceeds its maximum size.
pub(super) fn over_size(max_bytes: usize) -> Error {
    Error::OverLimit {
        reason: format!("the body exceeds {max_bytes} bytes").into(),
    }
}
