//! Reads request bodies, limited per body and by the memory of all connections.

use std::time::Duration;

use bytes::Bytes;
use fescuewell_core::prelude::*;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::time::timeout;

use super::Settings;
use super::guard::ConnectionState;

/// `Retry-After` of a refusal for lack of memory.
pub(super) const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Maximum size of a body that remains in the read buffer, which the headers keep anyway.
const MAX_SHARED_BYTES: usize = 8 * 1024;
/// Initial capacity of the buffer for a body, in bytes.
const MIN_CAPACITY: usize = 16 * 1024;

/// Reads the complete body, whose connection holds `held` bytes for the head.
///
/// # Errors
///
/// A refusal, if the body exceeds `max_bytes`, does not arrive in time, is malformed, or if there is no
/// memory for it.
pub(super) async fn read(
    body: Incoming,
    max_bytes: usize,
    settings: &Settings,
    connection: &ConnectionState,
    held: usize,
) -> Result<Bytes, Refusal> {
    // A content length above the limit is refused before the body is read.
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(Refusal::new(Code::BodyTooLarge));
    }
    let buffer = Buffer {
        data: Vec::new(),
        expected: body.size_hint().exact().unwrap_or(0) as usize,
        max_bytes,
        copies: settings.body_copies,
        connection,
        held,
    };
    let on_timeout = |_| Err(Refusal::new(Code::RequestTimeout));
    timeout(settings.body_timeout, Box::pin(buffer.collect(body)))
        .await
        .unwrap_or_else(on_timeout)
}

/// Collects a body in memory that it reserves before it grows.
struct Buffer<'a> {
    data: Vec<u8>,
    /// The announced length, or 0.
    expected: usize,
    max_bytes: usize,
    copies: usize,
    connection: &'a ConnectionState,
    held: usize,
}

impl Buffer<'_> {
    async fn collect(mut self, mut body: Incoming) -> Result<Bytes, Refusal> {
        let mut first = Bytes::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| Refusal::new(Code::MalformedRequest))?;
            // Trailers are ignored.
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if first.len() + self.data.len() + data.len() > self.max_bytes {
                return Err(Refusal::new(Code::BodyTooLarge));
            }
            // Most bodies consist of a single frame, which is returned without a copy.
            let is_first = first.is_empty() && self.data.is_empty();
            if is_first && data.len() <= MAX_SHARED_BYTES {
                first = data;
                continue;
            }
            self.append(&std::mem::take(&mut first)).await?;
            self.append(&data).await?;
        }
        if self.data.is_empty() {
            return Ok(first);
        }
        Ok(self.data.into())
    }

    async fn append(&mut self, data: &[u8]) -> Result<(), Refusal> {
        let length = self.data.len() + data.len();
        if length > self.data.capacity() {
            self.grow(length).await?;
        }
        self.data.extend_from_slice(data);
        Ok(())
    }

    /// Grows the buffer to at least `length` bytes. Both the old and the new one are reserved while the bytes are copied.
    async fn grow(&mut self, length: usize) -> Result<(), Refusal> {
        let doubled = (2 * self.data.capacity()).max(MIN_CAPACITY);
        let most = match self.expected {
            0 => self.max_bytes,
            expected => expected,
        };
        let capacity = doubled.min(most).max(length);
        let old = self.data.capacity();
        let held = self.held + self.copies * capacity;
        if !self.connection.hold(held + old).await {
            let refusal = Refusal::new(Code::Overloaded);
            return Err(refusal.with_retry_after(RETRY_AFTER));
        }
        self.data.reserve_exact(capacity - self.data.len());
        // A smaller reservation always fits.
        let _ = self.connection.hold(held).await;
        Ok(())
    }
}
