//! Reads request bodies, limited per body and in total.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use fescuewell_core::prelude::*;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::time::timeout;

use super::{Settings, Shared};

/// `Retry-After` of a refusal due to the total limit.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The bytes that one body reserves of the total limit, released on drop.
///
/// The limit per body times the connection limit exceeds the memory of any instance. Without a limit on
/// the total, many concurrent large bodies would exhaust the memory and end the process.
pub(super) struct BufferReservation {
    shared: Arc<Shared>,
    bytes: usize,
}

impl BufferReservation {
    pub(super) fn new(shared: Arc<Shared>) -> Self {
        Self { shared, bytes: 0 }
    }

    fn reserve(&mut self, bytes: usize) -> bool {
        self.bytes += bytes;
        let before = self.shared.body_bytes.fetch_add(bytes, Ordering::Relaxed);
        before + bytes <= self.shared.settings.max_buffered_bytes
    }
}

impl Drop for BufferReservation {
    fn drop(&mut self) {
        self.shared
            .body_bytes
            .fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// Reads the complete body.
pub(super) async fn read(
    body: Incoming,
    settings: &Settings,
    reservation: &mut BufferReservation,
) -> Result<Bytes, Refusal> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    // A content length above the limit is refused before the body is read.
    if body.size_hint().lower() > settings.max_body_bytes as u64 {
        return Err(Refusal::new(Code::BodyTooLarge));
    }
    let collected = Box::pin(collect(body, settings.max_body_bytes, reservation));
    let on_timeout = |_| Err(Refusal::new(Code::RequestTimeout));
    timeout(settings.body_timeout, collected)
        .await
        .unwrap_or_else(on_timeout)
}

async fn collect(
    mut body: Incoming,
    max_bytes: usize,
    reservation: &mut BufferReservation,
) -> Result<Bytes, Refusal> {
    let mut first = Bytes::new();
    let mut collected = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Refusal::new(Code::MalformedRequest))?;
        // Trailers are ignored.
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if first.len() + collected.len() + data.len() > max_bytes {
            return Err(Refusal::new(Code::BodyTooLarge));
        }
        if !reservation.reserve(data.len()) {
            return Err(Refusal::new(Code::Overloaded).with_retry_after(RETRY_AFTER));
        }
        // Most bodies consist of a single frame, which is returned without a copy.
        if first.is_empty() && collected.is_empty() {
            first = data;
            continue;
        }
        collected.extend_from_slice(&std::mem::take(&mut first));
        collected.extend_from_slice(&data);
    }
    if collected.is_empty() {
        return Ok(first);
    }
    Ok(collected.freeze())
}
